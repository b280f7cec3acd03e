"""Periodic maintenance of connections, endpoints and sessions."""

from typing import Any

from poplarspoke.generated.relay import EndpointUnresponsive, SessionPhase
from poplarspoke.relay import (
    answers,
    outcomes,
    pool,
    shutdown,
    speeds,
    transactions,
)
from poplarspoke.relay.state import (
    Connection,
    Endpoint,
    RelayState,
    Session,
)
from poplarspoke.tasks import ToTask

# An endpoint that answers nothing for this long is unresponsive. The longest
# statement takes 0.17 s, and a slow endpoint still answers other statements.
# The leader queries the endpoint and other hosts before it acts on a report.
UNRESPONSIVE_AFTER_S = 0.4
# An endpoint no longer counts as unresponsive this long after its last failure,
# unless it fails again. Failed endpoints are tried again within a second.
FAILURE_TTL_S = 1.5
# Timeout of opening a connection; that of TCP is several seconds.
OPEN_TIMEOUT_S = 0.4
# A shutdown closes idle sessions in groups over this time.
CLOSE_WINDOW_S = 2.5
# Idle transactions are ended this long after the platform's limit.
IDLE_MARGIN_S = 0.2
# Sessions that were used more recently are not closed: a caller that has just
# connected may be about to send its first message.
MIN_CLOSE_IDLE_S = 0.3
# Backoff after a failed connection to an endpoint, doubled with each failure.
BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_DOUBLINGS = 10
# Sessions of a host that is not ready are closed after this time. The platform
# probes each host every second and takes it out of rotation after two failed
# probes; callers that reconnect sooner may reach the same zone again.
MOVE_DELAY_S = 2.2
# These sessions are closed in groups over this time.
MOVE_WINDOW_S = 0.4
# Groups of sessions that are closed at the same time.
CLOSE_GROUPS = 16


def record_failure(state: RelayState, name: str, now_s: float) -> None:
    """Backs off from an endpoint after a failed connection."""
    endpoint = state['endpoints'][name]
    endpoint['failures'] += 1
    wait_s = BACKOFF_S * 2 ** min(endpoint['failures'], MAX_DOUBLINGS)
    endpoint['backoff_until_s'] = now_s + min(wait_s, MAX_BACKOFF_S)
    _mark_unresponsive(endpoint, now_s, now_s)
    speeds.record_failure(state, name, now_s)


def check_connections(state: RelayState, now_s: float) -> list[Any]:
    """Closes connections that do not open and reports unresponsive endpoints.

    The reports go to the control task with each tick.
    """
    outgoing: list[Any] = []
    for connection in list(state['connections'].values()):
        waited_s = now_s - connection['sent_s']
        if (
            connection['in_flight'] is not None
            and waited_s >= UNRESPONSIVE_AFTER_S
        ):
            _record_missing_answer(state, connection, now_s)
        if not connection['ready'] and waited_s > OPEN_TIMEOUT_S:
            outgoing.extend(_fail_connection(state, connection, now_s))
    for name, endpoint in state['endpoints'].items():
        if is_unresponsive(endpoint, now_s):
            report = EndpointUnresponsive(
                name,
                endpoint['entry'].service,
                endpoint['unresponsive_since_s'],
            )
            outgoing.append(ToTask('control', report))
    return outgoing


def check_sessions(state: RelayState, now_s: float) -> list[Any]:
    """Ends idle transactions, and sessions whose callers should reconnect.

    Sessions are closed at a shutdown, or if the host is not ready.
    """
    outgoing: list[Any] = []
    for session in list(state['sessions'].values()):
        if session['session'] in state['operations'] or session['backlog']:
            continue
        if session['phase'] is not SessionPhase.IDLE:
            outgoing.extend(_check_transaction(state, session, now_s))
        elif _is_close_due(state, session, now_s):
            outgoing.extend(outcomes.end_session(state, session))
    return outgoing


def _check_transaction(
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    """Rolls back a transaction that is idle or may not go on."""
    if transactions.is_detached(session):
        return []
    idle_s = now_s - session['used_s']
    if idle_s > _compute_idle_limit(state, session):
        return transactions.roll_back(state, session)
    if transactions.find_obstacle(state, session, now_s):
        return transactions.roll_back(state, session)
    return []


def _record_missing_answer(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> None:
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is None or endpoint['heard_s'] > connection['sent_s']:
        return
    _mark_unresponsive(endpoint, connection['sent_s'], now_s)


def _mark_unresponsive(
    endpoint: Endpoint, since_s: float, now_s: float
) -> None:
    # Earlier failures that were not followed by others no longer count.
    if now_s - endpoint['last_failure_s'] > FAILURE_TTL_S:
        endpoint['unresponsive_since_s'] = 0
    if not endpoint['unresponsive_since_s']:
        endpoint['unresponsive_since_s'] = since_s
    endpoint['last_failure_s'] = now_s


def is_unresponsive(endpoint: Endpoint, now_s: float) -> bool:
    """Returns whether an endpoint has been failing to answer for too long."""
    since_s = endpoint['unresponsive_since_s']
    if not since_s or now_s - endpoint['last_failure_s'] > FAILURE_TTL_S:
        return False
    return now_s - since_s >= UNRESPONSIVE_AFTER_S


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
        record_failure(state, name, now_s)
    lost = answers.handle_connection_loss(
        state, connection, now_s, f'{name} does not accept connections'
    )
    return [closing, *lost]


def _compute_idle_limit(state: RelayState, session: Session) -> float:
    """Returns how long an open transaction may be idle, in seconds.

    One whose caller goes on without a longer pause may end while the host shuts
    down, as far as its statements are accepted.
    """
    limit_s = state['rules'].transaction_idle_s + IDLE_MARGIN_S
    left_s = shutdown.find_transaction_end(state) - session['used_s']
    return min(limit_s, max(left_s, MIN_CLOSE_IDLE_S))


def _is_close_due(
    state: RelayState,
    session: Session,
    now_s: float,
) -> bool:
    """Returns whether an idle session must be closed now.

    Groups of sessions are closed at different times, so that their callers do
    not all reconnect at once. One whose caller does not read is not idle: it may
    have sent further statements ahead.
    """
    if session['is_paused'] or now_s - session['used_s'] < MIN_CLOSE_IDLE_S:
        return False
    fraction = (session['session'] % CLOSE_GROUPS) / CLOSE_GROUPS
    unready_since_s = state['unready_since_s']
    if (
        unready_since_s
        and now_s - unready_since_s > MOVE_DELAY_S + fraction * MOVE_WINDOW_S
    ):
        return True
    shutdown_since_s = state['shutdown_since_s']
    if not shutdown_since_s:
        return False
    return now_s - shutdown_since_s > fraction * CLOSE_WINDOW_S
