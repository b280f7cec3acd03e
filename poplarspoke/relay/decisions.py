"""Decisions of the relay, dispatched on the type of the message.

``decide`` reads no clock and no socket. ``transport`` carries out the messages
that it returns, in their order.
"""

import functools
from typing import Any

from poplarspoke.generated.common import Tick
from poplarspoke.generated.control import QueryReachability, Reachability
from poplarspoke.generated.loads import LoadReport
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.generated.relay import (
    AnswerCode,
    AnswersPaused,
    ConnectionLost,
    ConnectionReady,
    EndpointAnswered,
    LeaseRevoked,
    LeasesRenewed,
    ReadinessChanged,
    RefuseSession,
    ReleaseIdle,
    SessionClosed,
    SessionOpened,
    SessionStarted,
    ShutDown,
    StartSession,
)
from poplarspoke.generated.usage import UsageClock
from poplarspoke.relay import (
    answers,
    channels,
    contention,
    deadlines,
    fleet,
    gateway_links,
    maintenance,
    operations,
    outcomes,
    pool,
    quotas,
    regions,
    sharing,
    shutdown,
    statements,
    usage,
    waits,
)
from poplarspoke.relay.loads import record_report
from poplarspoke.relay.messages import (
    GatewayFrame,
    GatewayLost,
    PeerFrame,
    PeerLost,
)
from poplarspoke.relay.state import (
    NO_CONNECTION,
    RelayState,
    Session,
    create_session,
)
from poplarspoke.tasks import ToHost

# Limit on pipelined statements of one caller.
MAX_BACKLOG = 64


@functools.singledispatch
def decide(message: Any, state: RelayState, now_s: float) -> list[Any]:
    """Updates the state for a message and returns the resulting messages.

    Args:
        message: Message from a caller, an endpoint, a peer or another task.
        state: State of the relay, which is changed in place.
        now_s: Boot clock in seconds.

    Returns:
        Messages to carry out, in order.

    Raises:
        TypeError: The relay does not handle messages of this type.
    """
    raise TypeError(f'{type(message).__name__} is not a relay message')


@decide.register
def _(message: SessionOpened, state: RelayState, now_s: float) -> list[Any]:
    session = create_session(message.session, now_s)
    state['sessions'][message.session] = session
    return []


@decide.register
def _(message: SessionClosed, state: RelayState, now_s: float) -> list[Any]:
    session = state['sessions'].get(message.session)
    if session is None:
        return []
    return outcomes.end_session(state, session)


@decide.register
def _(message: AnswersPaused, state: RelayState, now_s: float) -> list[Any]:
    session = state['sessions'].get(message.session)
    if session is not None:
        session['is_paused'] = message.paused
        session['used_s'] = now_s
    return []


@decide.register
def _(message: StartSession, state: RelayState, now_s: float) -> list[Any]:
    session = state['sessions'].get(message.session)
    if session is None:
        return []
    if session['started']:
        return outcomes.end_session(state, session)
    route = state['routes'].get(message.database)
    code = AnswerCode.DONE
    if route is None:
        code = AnswerCode.UNKNOWN_DATABASE
    elif not route.open and message.key not in state['key_owners']:
        code = AnswerCode.KEY_REFUSED
    elif not shutdown.may_run(state, route.statement_timeout_s, now_s):
        code = AnswerCode.BUSY
    if not state['rules'].version:
        code = AnswerCode.BUSY
    if code is not AnswerCode.DONE:
        state['sessions'].pop(message.session)
        return [RefuseSession(message.session, code, 'not run')]
    session['started'] = True
    session['database'] = message.database
    session['key'] = message.key
    return [SessionStarted(message.session)]


@decide.register
def _(
    message: statements.Statement,
    state: RelayState,
    now_s: float,
) -> list[Any]:
    session = state['sessions'].get(message.session)
    if session is None:
        return []
    if not session['started'] or len(session['backlog']) > MAX_BACKLOG:
        return outcomes.end_session(state, session)
    session['backlog'].append(message)
    return _run_backlog(state, session, now_s)


@decide.register
def _(message: ConnectionReady, state: RelayState, now_s: float) -> list[Any]:
    connection = state['connections'].get(message.connection)
    if connection is None:
        return []
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is not None:
        endpoint['failures'] = 0
        endpoint['unresponsive_since_s'] = 0
        endpoint['heard_s'] = now_s
        took_s = now_s - connection['sent_s']
        regions.record_opening(state, endpoint['entry'].zone, took_s)
    return operations.handle_connection_ready(state, connection, now_s)


@decide.register
def _(message: EndpointAnswered, state: RelayState, now_s: float) -> list[Any]:
    connection = state['connections'].get(message.connection)
    if connection is None:
        return []
    session = state['sessions'].get(connection['session'])
    outgoing = answers.handle_answer(state, connection, message, now_s)
    if session is not None:
        outgoing.extend(_run_backlog(state, session, now_s))
    return outgoing


@decide.register
def _(message: ConnectionLost, state: RelayState, now_s: float) -> list[Any]:
    connection = pool.remove(state, message.connection)
    if connection is None:
        return []
    outgoing: list[Any] = []
    name = connection['endpoint']
    endpoint = state['endpoints'].get(name)
    if message.code is AnswerCode.TOO_MANY and endpoint is not None:
        outgoing.extend(pool.request_release(state, name, now_s))
    elif endpoint is not None and not message.connected:
        maintenance.record_failure(state, name, now_s)
    session = state['sessions'].get(connection['session'])
    if message.code is AnswerCode.TOO_MANY and session is not None:
        outgoing.extend(
            _defer_operation(state, session, connection['connection'], now_s)
        )
        return outgoing
    reason = f'connection to {name} was lost'
    outgoing.extend(
        answers.handle_connection_loss(state, connection, now_s, reason)
    )
    if session is not None:
        outgoing.extend(_run_backlog(state, session, now_s))
    return outgoing


@decide.register
def _(message: fleet.Change, state: RelayState, now_s: float) -> list[Any]:
    return fleet.apply(message, state, now_s)


@decide.register
def _(message: LeasesRenewed, state: RelayState, now_s: float) -> list[Any]:
    before = state['leases']
    ordered_before = state['promotion_ordered_s']
    state['leases'] = {lease.service: lease for lease in message.leases}
    state['promotion_ordered_s'] = {
        service: state['promotion_ordered_s'].get(service, now_s)
        for service in message.expected
    }
    waits.record_leases(state, before, now_s)
    waits.record_promotions(state, ordered_before, now_s)
    outgoing: list[Any] = []
    for service, lease in state['leases'].items():
        known = before.get(service)
        if known is None or known.endpoint != lease.endpoint:
            state['leased_since_s'][service] = now_s
            outgoing.extend(operations.place_waiting(state, service, now_s))
    outgoing.extend(channels.accept_links(state, now_s))
    return outgoing


@decide.register
def _(message: LeaseRevoked, state: RelayState, now_s: float) -> list[Any]:
    before = dict(state['leases'])
    state['leases'].pop(message.service, None)
    waits.record_leases(state, before, now_s)
    return []


@decide.register
def _(message: BorrowTokens, state: RelayState, now_s: float) -> list[Any]:
    return [quotas.lend(state, message, now_s)]


@decide.register
def _(message: LendTokens, state: RelayState, now_s: float) -> list[Any]:
    quotas.add_loan(state, message, now_s)
    return deadlines.admit_waiting(state, message, now_s)


@decide.register
def _(message: LoadReport, state: RelayState, now_s: float) -> list[Any]:
    record_report(state, message, now_s)
    return []


@decide.register
def _(message: ReleaseIdle, state: RelayState, now_s: float) -> list[Any]:
    return pool.release_idle(state, message.endpoint)


@decide.register
def _(message: QueryReachability, state: RelayState, now_s: float) -> list[Any]:
    endpoint = state['endpoints'].get(message.endpoint)
    last_response_ago_s = float(-1)
    unresponsive = False
    if endpoint is not None:
        unresponsive = maintenance.is_unresponsive(endpoint, now_s)
        if endpoint['heard_s']:
            last_response_ago_s = now_s - endpoint['heard_s']
    host = state['settings'].name
    reply = Reachability(
        host, message.endpoint, unresponsive, last_response_ago_s
    )
    return [ToHost(message.sender, reply)]


@decide.register
def _(message: ReadinessChanged, state: RelayState, now_s: float) -> list[Any]:
    state['unready_since_s'] = 0 if message.ready else now_s
    return []


@decide.register
def _(message: ShutDown, state: RelayState, now_s: float) -> list[Any]:
    state['shutdown_since_s'] = now_s
    shutdown.limit_deadlines(state)
    return channels.leave(state)


@decide.register
def _(message: GatewayFrame, state: RelayState, now_s: float) -> list[Any]:
    if not gateway_links.record_frame(state, message.host, now_s):
        return []
    outgoing = gateway_links.handle(message.body, state, message.host, now_s)
    number = getattr(message.body, 'channel', 0)
    session = state['sessions'].get(number)
    if session is not None:
        outgoing.extend(_run_backlog(state, session, now_s))
    return outgoing


@decide.register
def _(message: GatewayLost, state: RelayState, now_s: float) -> list[Any]:
    return gateway_links.handle_loss(state, message.host, now_s, message.reason)


@decide.register
def _(message: PeerFrame, state: RelayState, now_s: float) -> list[Any]:
    outgoing = channels.handle(message.body, state, message.link, now_s)
    number = channels.find_session(message.body, state, message.link)
    return [*outgoing, *deadlines.check_arrival(state, number, now_s)]


@decide.register
def _(message: PeerLost, state: RelayState, now_s: float) -> list[Any]:
    return channels.handle_loss(state, message.link)


@decide.register
def _(message: UsageClock, state: RelayState, now_s: float) -> list[Any]:
    usage.set_offset(state, message.offset_s)
    return []


@decide.register
def _(message: Tick, state: RelayState, now_s: float) -> list[Any]:
    contention.measure_excess(state, now_s)
    outgoing = operations.place_contended(state, now_s)
    for number in list(state['operations']):
        operation = state['operations'].get(number)
        if operation is None:
            continue
        outgoing.extend(deadlines.check_deadline(state, operation, now_s))
        session = state['sessions'].get(number)
        if session is not None and number not in state['operations']:
            outgoing.extend(_run_backlog(state, session, now_s))
    outgoing.extend(gateway_links.check_links(state, now_s))
    outgoing.extend(maintenance.check_connections(state, now_s))
    outgoing.extend(pool.close_idle(state, now_s))
    quotas.update(state, now_s)
    outgoing.extend(maintenance.check_sessions(state, now_s))
    return [*outgoing, *_send_reports(state, now_s)]


def _send_reports(state: RelayState, now_s: float) -> list[Any]:
    """Returns counts for usage reports, and the load for other hosts."""
    return [*usage.check(state, now_s), *sharing.send_reports(state, now_s)]


def _run_backlog(
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    outgoing: list[Any] = []
    number = session['session']
    while session['backlog']:
        if number in state['operations'] or number not in state['sessions']:
            break
        session['used_s'] = now_s
        statement = session['backlog'].popleft()
        outgoing.extend(statements.run(statement, state, session, now_s))
        outgoing.extend(deadlines.check_arrival(state, number, now_s))
    return outgoing


def _defer_operation(
    state: RelayState,
    session: Session,
    connection: int,
    now_s: float,
) -> list[Any]:
    operation = state['operations'].get(session['session'])
    if operation is None or operation['connection'] != connection:
        return []
    operation['connection'] = NO_CONNECTION
    operation['not_before_s'] = now_s + pool.FULL_BACKOFF_S
    operation['attempts'] -= 1
    return []
