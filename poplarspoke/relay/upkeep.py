"""Upkeep of connections and sessions with the passing of time."""

from typing import Any

from poplarspoke.generated.relay import EndpointSilent, SessionPhase
from poplarspoke.relay import answers, outcomes, pool
from poplarspoke.relay.state import (
    NO_CONNECTION,
    Connection,
    Endpoint,
    RelayState,
    Session,
)
from poplarspoke.tasks import ToTask

# An endpoint that leaves everything unanswered for so long is silent. The
# longest work is 0.17 s; one that is only slow answers other statements, and
# the holder of the duty asks it and the other hosts before it acts.
SILENCE_S = 0.4
# A silence counts for so long after it was last noticed; failed endpoints are
# tried again after a second at most.
SILENCE_KEPT_S = 1.5
# New connections that no answer came to; TCP alone would wait for seconds.
OPEN_TIMEOUT_S = 0.4
# Sessions are closed spread over this time at a shutdown.
CLOSE_SPREAD_S = 2.5
# Part of the grace period that open transactions have to end.
TRANSACTION_PART = 0.5
# Transactions are ended this much later than the platform's bound allows.
IDLE_MARGIN_S = 0.2
# A caller that has just connected may be about to send its first message.
CLOSE_QUIET_S = 0.3
# An endpoint that failed is left out for this long, doubled each time.
AVOID_S = 0.1
MAX_AVOID_S = 1.0
MAX_DOUBLINGS = 10
# The platform probes each second and leaves a host out after two misses; callers
# that come back sooner may reach the same zone again.
MOVE_S = 2.2
# They come back spread over this time.
MOVE_SPREAD_S = 0.4
# Groups of sessions that close at the same moment of a shutdown.
CLOSE_GROUPS = 16


def note_failure(state: RelayState, name: str, now_s: float) -> None:
    """Leaves an endpoint out for a while after a failed connection."""
    endpoint = state['endpoints'][name]
    endpoint['failures'] += 1
    wait_s = AVOID_S * 2 ** min(endpoint['failures'], MAX_DOUBLINGS)
    endpoint['avoid_until_s'] = now_s + min(wait_s, MAX_AVOID_S)
    _extend_silence(endpoint, now_s, now_s)


def check_connections(state: RelayState, now_s: float) -> list[Any]:
    """Gives up connections that do not open and reports silent endpoints."""
    outgoing: list[Any] = []
    for connection in list(state['connections'].values()):
        waited_s = now_s - connection['sent_s']
        if connection['in_flight'] is not None and waited_s >= SILENCE_S:
            _note_silence(state, connection, now_s)
        if not connection['ready'] and waited_s > OPEN_TIMEOUT_S:
            outgoing.extend(_fail_connection(state, connection, now_s))
    for name, endpoint in state['endpoints'].items():
        if is_silent(endpoint, now_s):
            silent = EndpointSilent(
                name, endpoint['entry'].service, endpoint['silent_since_s']
            )
            outgoing.append(ToTask('control', silent))
    return outgoing


def check_sessions(state: RelayState, now_s: float) -> list[Any]:
    """Ends idle transactions, and idle sessions at a shutdown."""
    outgoing: list[Any] = []
    for session in list(state['sessions'].values()):
        if session['session'] in state['operations'] or session['backlog']:
            continue
        if session['phase'] is not SessionPhase.IDLE:
            outgoing.extend(_end_idle_transaction(state, session, now_s))
        elif _is_time_to_close(state, session, now_s):
            outgoing.extend(outcomes.end_session(state, session))
    return outgoing


def _end_idle_transaction(
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    number = session['connection']
    quiet_s = now_s - session['used_s']
    if not number or quiet_s <= _limit_quiet(state, session):
        return []
    session['connection'] = NO_CONNECTION
    session['phase'] = SessionPhase.FAILED
    return [pool.close(state, number)]


def _note_silence(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> None:
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is None or endpoint['heard_s'] > connection['sent_s']:
        return
    _extend_silence(endpoint, connection['sent_s'], now_s)


def _extend_silence(endpoint: Endpoint, since_s: float, now_s: float) -> None:
    # An earlier silence that nobody has noticed for a while says nothing.
    if now_s - endpoint['failed_s'] > SILENCE_KEPT_S:
        endpoint['silent_since_s'] = 0
    if not endpoint['silent_since_s']:
        endpoint['silent_since_s'] = since_s
    endpoint['failed_s'] = now_s


def is_silent(endpoint: Endpoint, now_s: float) -> bool:
    """Returns whether an endpoint has not answered for too long."""
    since_s = endpoint['silent_since_s']
    if not since_s or now_s - endpoint['failed_s'] > SILENCE_KEPT_S:
        return False
    return now_s - since_s >= SILENCE_S


def _fail_connection(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    if connection['connection'] not in state['connections']:
        return []
    closing = pool.close(state, connection['connection'])
    name = connection['endpoint']
    if name in state['endpoints']:
        note_failure(state, name, now_s)
    lost = answers.lose_connection(
        state, connection, now_s, f'{name} does not accept connections'
    )
    return [closing, *lost]


def _limit_quiet(state: RelayState, session: Session) -> float:
    """Returns how long an open transaction may be without a statement."""
    limit_s = state['rules'].transaction_idle_s + IDLE_MARGIN_S
    leaving_s = state['leaving_s']
    if not leaving_s:
        return limit_s
    grace_s = state['settings'].grace_s * TRANSACTION_PART
    return min(limit_s, grace_s + leaving_s - session['used_s'])


def _is_time_to_close(
    state: RelayState,
    session: Session,
    now_s: float,
) -> bool:
    """Spreads the closes, so that callers do not all reconnect at once."""
    if now_s - session['used_s'] < CLOSE_QUIET_S:
        return False
    part = (session['session'] % CLOSE_GROUPS) / CLOSE_GROUPS
    unready_s = state['unready_s']
    if unready_s and now_s - unready_s > MOVE_S + part * MOVE_SPREAD_S:
        return True
    leaving_s = state['leaving_s']
    if not leaving_s:
        return False
    return now_s - leaving_s > part * CLOSE_SPREAD_S
