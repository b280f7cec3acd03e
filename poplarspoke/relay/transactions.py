"""Ends of open transactions for which nothing more may run.

A transaction goes on without the checks of a new operation, so what may end it is
checked with each of its statements and with each tick.
"""

from typing import Any

from poplarspoke.generated.gateways import CloseChannel
from poplarspoke.generated.relay import AnswerCode, SessionPhase
from poplarspoke.relay import outcomes, pool, routing
from poplarspoke.relay.messages import ToGateway
from poplarspoke.relay.state import NO_CONNECTION, RelayState, Session


def is_detached(session: Session) -> bool:
    """Returns whether nothing holds the open transaction of a session."""
    return session['connection'] == NO_CONNECTION and not session['gateway']


def find_obstacle(state: RelayState, session: Session, now_s: float) -> str:
    """Returns why an open transaction must be rolled back; empty if it may go on."""
    if is_key_withdrawn(state, session):
        return 'the key was withdrawn'
    if is_evacuated(state, session, now_s):
        return 'the zone is evacuated'
    return ''


def is_key_withdrawn(state: RelayState, session: Session) -> bool:
    """Returns whether the key of an open transaction is no longer valid.

    A key that belongs to another workspace now is withdrawn, too. The host that
    another host's caller reached checks its key.
    """
    if session['channel'] is not None or session['route'].open:
        return False
    owner = state['key_owners'].get(session['key'], '')
    return owner != session['workspace']


def is_evacuated(state: RelayState, session: Session, now_s: float) -> bool:
    """Returns whether an open transaction must leave its evacuated zone.

    At an endpoint that only drains, open transactions may end.
    """
    connection = state['connections'].get(session['connection'])
    if connection is None:
        return False
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is None or not endpoint['evacuated']:
        return False
    return routing.must_be_unused(endpoint, now_s)


def roll_back(state: RelayState, session: Session) -> list[Any]:
    """Rolls back an open transaction by closing its connection."""
    number = session['connection']
    gateway = session['gateway']
    session['connection'] = NO_CONNECTION
    session['gateway'] = ''
    session['phase'] = SessionPhase.FAILED
    outgoing: list[Any] = []
    if number:
        outgoing.append(pool.close(state, number))
    if gateway:
        outgoing.append(ToGateway(gateway, CloseChannel(session['session'])))
    return outgoing


def answer_rolled_back(
    state: RelayState,
    session: Session,
    statement: Any,
    reason: str,
) -> list[Any]:
    """Answers a statement whose transaction has been rolled back."""
    if not is_key_withdrawn(state, session):
        return outcomes.fail_transaction(state, session, statement, reason)
    return outcomes.fail_transaction(
        state,
        session,
        statement,
        'the key was withdrawn; the transaction was rolled back',
        code=AnswerCode.KEY_REFUSED,
    )
