"""Request path of a statement to an endpoint: admission, placement, sending.

A statement that has not been sent may be placed again until the timeout of its
route. One that has been sent may be placed again only if it reads or starts a
transaction, or if the endpoint's answer shows that it did not run.
"""

import functools
from typing import Any

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    ExecutePrepared,
    PrepareStatement,
    ReadItem,
    RefusalCause,
)
from poplarspoke.generated.rules import RouteKind
from poplarspoke.relay import (
    admissions,
    contention,
    forwarding,
    gateways,
    measurements,
    outcomes,
    pool,
    quotas,
    routing,
    shutdown,
    transactions,
    usage,
)
from poplarspoke.relay.messages import Forward
from poplarspoke.relay.state import (
    NO_CONNECTION,
    NO_POSITION,
    Connection,
    Operation,
    RelayState,
    Session,
)


def start(
    state: RelayState,
    session: Session,
    statement: Any,
    now_s: float,
) -> list[Any]:
    """Starts a single statement or a transaction.

    Checks the route, the key and the rate limit, then places the operation on
    an endpoint. The host that another host's caller reached has checked these.
    """
    if session['channel'] is not None:
        operation = _open_operation(state, session, statement, now_s)
        return place(state, operation, now_s)
    route = state['routes'].get(session['database'])
    if route is None:
        return outcomes.refuse(
            state, session, statement, AnswerCode.UNKNOWN_DATABASE
        )
    workspace = ''
    if not route.open:
        workspace = state['key_owners'].get(session['key'], '')
        if not workspace:
            return outcomes.refuse(
                state, session, statement, AnswerCode.KEY_REFUSED
            )
    session['route'] = route
    session['workspace'] = workspace
    operation = _open_operation(state, session, statement, now_s)
    timeout_s = route.statement_timeout_s
    if not shutdown.may_start(statement, state, timeout_s, now_s):
        return outcomes.refuse_retryable(
            state,
            operation,
            now_s,
            shutdown.REASON,
            cause=RefusalCause.SHUTDOWN,
        )
    is_limited = workspace and not state['settings'].rates_unlimited
    if is_limited:
        quotas.count_demand(state, workspace, now_s)
    if is_limited and not admissions.admit_operation(state, operation, now_s):
        operation['awaits_rate'] = True
        return quotas.request_tokens(state, workspace, now_s, waits=True)
    outgoing = place(state, operation, now_s)
    if is_limited:
        outgoing.extend(
            quotas.request_tokens(state, workspace, now_s, waits=False)
        )
    return outgoing


def continue_transaction(
    state: RelayState,
    session: Session,
    statement: Any,
    now_s: float,
) -> list[Any]:
    """Runs a statement on the connection of the open transaction.

    Writes, and commits of transactions that wrote, need a valid primary lease;
    without one the transaction is rolled back. A gateway that holds the
    transaction judges its own lease. The key must still be valid, the zone of the
    endpoint not be evacuated, and the statement end before this host does.
    """
    obstacle = transactions.find_obstacle(state, session, now_s)
    timeout_s = session['route'].statement_timeout_s
    if not obstacle and not shutdown.may_run(state, timeout_s, now_s):
        obstacle = shutdown.REASON
    if obstacle:
        return [
            *transactions.roll_back(state, session),
            *transactions.answer_rolled_back(
                state, session, statement, obstacle
            ),
        ]
    if session['gateway']:
        operation = _create(state, session, statement, now_s)
        writes = outcomes.is_write(statement, session)
        session['wrote'] = session['wrote'] or writes
        state['operations'][session['session']] = operation
        return forwarding.continue_transaction(state, operation, now_s)
    connection = state['connections'].get(session['connection'])
    if connection is None:
        return outcomes.fail_transaction(
            state, session, statement, 'connection lost'
        )
    writes = outcomes.is_write(statement, session)
    operation = _create(state, session, statement, now_s)
    operation['connection'] = connection['connection']
    commits = outcomes.is_write_commit(statement, session)
    if (writes or commits) and not is_leased(state, session, connection, now_s):
        outgoing: list[Any] = [pool.close(state, connection['connection'])]
        session['connection'] = NO_CONNECTION
        outgoing.extend(
            outcomes.fail_transaction(
                state, session, statement, 'primary changes'
            ),
        )
        return outgoing
    session['wrote'] = session['wrote'] or writes
    state['operations'][session['session']] = operation
    return send_next(state, operation, connection, now_s)


def place(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Assigns an operation to the best endpoint that has a free connection.

    If a gateway holds the connections, the operation is passed to it. The
    operation stays unassigned if there is no free connection or no link; it is
    placed again when there is one and with each tick.
    """
    gateway = _find_gateway(state, operation)
    if gateway != state['settings'].name:
        return forwarding.start(state, operation, gateway, now_s)
    if not operation['needs_primary'] and not operation['after'].term:
        operation['after'] = routing.find_needed_position(
            state,
            state['sessions'][operation['session']],
            operation['route'],
            operation['arrived_s'],
        )
    for name in routing.rank_endpoints(state, operation, now_s):
        outgoing = pool.assign(state, operation, name, now_s)
        if outgoing is None:
            continue
        measurements.record_start(state, operation, name, now_s)
        connection = state['connections'][operation['connection']]
        if connection['ready']:
            outgoing.extend(
                _start_on_connection(state, operation, connection, now_s)
            )
        return outgoing
    return []


def place_waiting(
    state: RelayState,
    service: str,
    now_s: float,
) -> list[Any]:
    """Places the operations that wait for an endpoint of a service.

    They are ordered by the number of running operations of their workspace,
    then by the priority of the route, then by the deadline; where hosts share
    load, as ``contention.order_waiting`` says.
    """
    waiting = [
        operation
        for operation in state['operations'].values()
        if _is_waiting(operation, service, now_s)
    ]
    if not waiting:
        return []
    if contention.is_active(state, service):
        return _place_in_order(state, waiting, now_s)
    running: dict[str, int] = {}
    for operation in state['operations'].values():
        if is_assigned(operation):
            name = operation['workspace']
            running[name] = running.get(name, 0) + 1
    waiting.sort(
        key=lambda entry: (
            running.get(entry['workspace'], 0),
            entry['route'].priority,
            entry['deadline_s'],
        ),
    )
    outgoing: list[Any] = []
    for operation in waiting:
        outgoing.extend(place(state, operation, now_s))
    return outgoing


def place_contended(state: RelayState, now_s: float) -> list[Any]:
    """Places waiting operations of the services whose hosts share load."""
    services = {
        operation['route'].service
        for operation in state['operations'].values()
        if not is_assigned(operation)
    }
    outgoing: list[Any] = []
    for service in sorted(services):
        if contention.is_active(state, service):
            outgoing.extend(place_waiting(state, service, now_s))
    return outgoing


def _place_in_order(
    state: RelayState,
    waiting: list[Operation],
    now_s: float,
) -> list[Any]:
    outgoing: list[Any] = []
    misses: dict[tuple[int, bool], int] = {}
    for operation in contention.order_waiting(state, waiting, now_s):
        group = (
            operation['route'].priority,
            contention.needs_only_primary(operation),
        )
        if misses.get(group, 0) >= contention.MAX_MISSES:
            continue
        outgoing.extend(place(state, operation, now_s))
        if not is_assigned(operation):
            misses[group] = misses.get(group, 0) + 1
    return outgoing


def handle_connection_ready(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    """Runs the operation that a new connection was opened for."""
    connection['ready'] = True
    connection['used_s'] = now_s
    operation = state['operations'].get(connection['session'])
    if operation is None or (
        operation['connection'] != connection['connection']
    ):
        pool.release(state, connection['connection'], now_s)
        return []
    return _start_on_connection(state, operation, connection, now_s)


def is_assigned(operation: Operation) -> bool:
    """Returns whether an operation has a connection or a gateway."""
    return bool(operation['connection'] or operation['gateway'])


def _find_gateway(state: RelayState, operation: Operation) -> str:
    session = state['sessions'][operation['session']]
    if session['channel'] is not None:
        return state['settings'].name
    service = operation['route'].service
    return gateways.find_gateway(state, service, operation['workspace'])


def _open_operation(
    state: RelayState,
    session: Session,
    statement: Any,
    now_s: float,
) -> Operation:
    operation = _create(state, session, statement, now_s)
    writes = outcomes.is_write(statement, session)
    starts = pool.is_begin(statement)
    needs_primary = writes or (starts and not statement.read_only)
    operation['may_repeat'] = not writes
    operation['needs_primary'] = needs_primary or (
        session['route'].kind is RouteKind.PRIMARY
    )
    session['wrote'] = False
    state['operations'][session['session']] = operation
    contention.record_arrival(state, operation, now_s)
    return operation


def _create(
    state: RelayState,
    session: Session,
    statement: Any,
    now_s: float,
) -> Operation:
    route = session['route']
    return Operation(
        session=session['session'],
        statement=statement,
        route=route,
        workspace=session['workspace'],
        arrived_s=now_s,
        deadline_s=min(
            now_s + route.statement_timeout_s, shutdown.find_end(state)
        ),
        needs_primary=False,
        may_repeat=False,
        after=NO_POSITION,
        tried=set(),
        connection=NO_CONNECTION,
        steps=[],
        sent_s=0,
        awaits_rate=False,
        not_before_s=0,
        attempts=0,
        rejections=0,
        gateway='',
        sequence=0,
        token_until_s=0,
        committed=False,
        placed_s=0,
        counted_s=0,
    )


def _is_waiting(operation: Operation, service: str, now_s: float) -> bool:
    if is_assigned(operation) or operation['awaits_rate']:
        return False
    if operation['route'].service != service:
        return False
    return now_s >= operation['not_before_s']


def is_leased(
    state: RelayState,
    session: Session,
    connection: Connection,
    now_s: float,
) -> bool:
    """Returns whether a connection is to the leased primary."""
    primary = routing.find_lease(state, session['route'].service, now_s)
    return primary is not None and primary.endpoint == connection['endpoint']


def _start_on_connection(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    operation['steps'] = pool.list_steps(
        session, connection, operation['statement']
    )
    return send_next(state, operation, connection, now_s)


def send_next(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    """Sends the next setup statement, or the statement itself.

    The operation is placed again if its endpoint may no longer run it.
    """
    session = state['sessions'][operation['session']]
    statement = operation['statement']
    prepared = pool.find_prepared(statement, session)
    in_transaction = session['connection'] == connection['connection']
    if in_transaction and prepared and not operation['steps']:
        if pool.name_alias(prepared) not in connection['aliases']:
            operation['steps'] = [prepared._replace(request_id='-')]
    after = NO_POSITION
    if operation['steps']:
        statement = operation['steps'][0]
        prepared = _find_prepare_step(statement)
    elif in_transaction or _may_still_run(state, operation, connection, now_s):
        operation['sent_s'] = now_s
        usage.count(state, operation, now_s)
        after = _find_required_position(state, operation, connection, now_s)
        if _find_prepare_step(statement):
            prepared = statement
    else:
        pool.release(state, connection['connection'], now_s)
        operation['connection'] = NO_CONNECTION
        return place(state, operation, now_s)
    connection['in_flight'] = statement
    connection['sent_s'] = now_s
    alias = pool.name_alias(prepared) if prepared else ''
    return [Forward(connection['connection'], statement, after, alias)]


def _may_still_run(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> bool:
    """Returns whether the endpoint may still run the operation.

    The primary lease may have expired while the connection was being opened.
    """
    service = operation['route'].service
    if connection['endpoint'] == routing.find_primary(state, service, now_s):
        return True
    return not operation['needs_primary'] and operation['after'].term > 0


@functools.singledispatch
def _find_prepare_step(statement: Any) -> PrepareStatement | None:
    """Returns the statement if it is a prepare, otherwise None."""
    return None


@_find_prepare_step.register
def _(statement: PrepareStatement) -> PrepareStatement | None:
    return statement


@functools.singledispatch
def _accepts_position(statement: Any) -> bool:
    """Returns whether the protocol lets a statement require a position."""
    return False


@_accepts_position.register
def _(statement: ReadItem | BeginTransaction) -> bool:
    return True


@_accepts_position.register
def _(statement: ExecutePrepared) -> bool:
    return True


def _find_required_position(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> Position:
    """Returns the position to require of a replica; term 0 for none."""
    if operation['needs_primary'] or not operation['after'].term:
        return NO_POSITION
    service = operation['route'].service
    if connection['endpoint'] == routing.find_primary(state, service, now_s):
        return NO_POSITION
    if not _accepts_position(operation['statement']):
        return NO_POSITION
    return operation['after']
