"""Connections to endpoints: which one a statement gets, and what it needs.

An endpoint accepts a bounded number of connections of all hosts together, and
a connection belongs to one workspace. Each host keeps its share of them open
and takes more while an endpoint has room. A connection in an unknown state is
closed, never reused.
"""

import functools
from typing import Any

import xxhash

from poplarspoke.generated.relay import (
    BeginTransaction,
    CloseConnection,
    ExecutePrepared,
    OpenConnection,
    PrepareStatement,
    ReleaseIdle,
    SetValue,
)
from poplarspoke.relay.state import (
    NO_CONNECTION,
    Connection,
    Operation,
    RelayState,
    Session,
)

SYSTEM_REQUEST_ID = '-'
# Busy connections of one host to one endpoint; beyond it statements wait
# here, in an order that the host controls, and not at the endpoint.
MAX_BUSY = 6
# Part of an endpoint's connections that the hosts keep unused. The endpoint
# drops those of hosts that have lost power after 3 s only; until then the same
# hosts, started again, need others.
KEPT_PART = 0.6
# Unused connections beyond the host's share close after this time.
EXTRA_IDLE_S = 1.0
# With 70 hosts and 53 connections there is no share; an endpoint gets about 50
# statements a second, each on a connection of its own.
NO_SHARE_IDLE_S = 0.4
# Unused connections within the share close after this time; endpoints close
# them themselves after 60 s.
IDLE_S = 20.0
# Prepared statements on one connection, bounded for the endpoint's sake.
MAX_ALIASES = 200
# An endpoint without room is tried again after this time; one round trip
# between zones and the closing of an unused connection take about 10 ms.
FULL_WAIT_S = 0.03


def name_alias(statement: PrepareStatement) -> str:
    """Returns the name of a prepared statement on connections.

    The same shape has the same name in all sessions, so that a connection can
    change its session without forgetting what is prepared on it.
    """
    kind = 'w' if statement.writes else 'r'
    digest: str = xxhash.xxh64_hexdigest(statement.shape)
    return kind + digest


def assign(
    state: RelayState,
    operation: Operation,
    endpoint: str,
    now_s: float,
) -> list[Any] | None:
    """Assigns a connection to an operation.

    Returns:
        What is to be done, or None if the endpoint has no room for it. A
        ready connection needs nothing; ``list_steps`` says what to send.
    """
    session = state['sessions'][operation['session']]
    found = _find_idle(state, operation, session, endpoint)
    if found is not None:
        _take(found, operation)
        return []
    known = state['endpoints'][endpoint]
    if _count_busy(state, endpoint) >= MAX_BUSY:
        return None
    outgoing: list[Any] = []
    if len(known['connections']) >= share_connections(state, endpoint):
        evicted = _find_evictable(state, endpoint)
        if evicted is not None:
            outgoing.append(close(state, evicted))
        elif now_s < known['full_until_s']:
            return None
    outgoing.append(_open(state, operation, endpoint, now_s))
    return outgoing


def share_connections(state: RelayState, endpoint: str) -> int:
    """Returns how many unused connections this host may keep."""
    service = state['endpoints'][endpoint]['entry'].service
    limit = state['max_connections'].get(service, 0)
    return int(limit * KEPT_PART / max(state['hosts'], 1))


def release(state: RelayState, number: int, now_s: float) -> None:
    """Makes a connection available to other sessions."""
    connection = state['connections'].get(number)
    if connection is None:
        return
    connection['session'] = 0
    connection['in_flight'] = None
    connection['used_s'] = now_s


def close(state: RelayState, number: int) -> CloseConnection:
    """Forgets a connection; its open transaction rolls back."""
    forget(state, number)
    return CloseConnection(number)


def forget(state: RelayState, number: int) -> Connection | None:
    """Removes a connection that has ended."""
    connection = state['connections'].pop(number, None)
    if connection is None:
        return None
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is not None:
        endpoint['connections'].discard(number)
    return connection


def list_steps(
    session: Session,
    connection: Connection,
    statement: Any,
) -> list[Any]:
    """Returns the system statements that must run before a statement."""
    steps: list[Any] = []
    for name, content in session['values'].items():
        if connection['values'].get(name) == content:
            continue
        steps.append(SetValue(0, SYSTEM_REQUEST_ID, name, content))
    prepared = find_prepared(statement, session)
    if prepared and name_alias(prepared) not in connection['aliases']:
        steps.append(prepared._replace(request_id=SYSTEM_REQUEST_ID))
    return steps


@functools.singledispatch
def find_prepared(statement: Any, session: Session) -> PrepareStatement | None:
    """Returns the prepared statement that a statement runs, if any."""
    return None


@find_prepared.register
def _(statement: ExecutePrepared, session: Session) -> PrepareStatement | None:
    return session['prepared'].get(statement.name)


def close_unused(
    state: RelayState,
    now_s: float,
) -> list[Any]:
    """Closes connections that have been unused for long."""
    outgoing: list[Any] = []
    for name in state['endpoints']:
        outgoing.extend(_close_endpoint_unused(state, name, now_s))
    return outgoing


def list_idle(state: RelayState, endpoint: str) -> list[int]:
    """Returns unused connections to an endpoint, the longest unused first."""
    idle = _list_unused(state, endpoint)
    idle.sort(key=lambda connection: connection['used_s'])
    return [connection['connection'] for connection in idle]


def refuse_room(
    state: RelayState,
    endpoint: str,
    now_s: float,
) -> ReleaseIdle:
    """Notes that an endpoint has no room and asks the other hosts for some."""
    state['endpoints'][endpoint]['full_until_s'] = now_s + FULL_WAIT_S
    return ReleaseIdle(state['settings'].name, endpoint)


def give_room(state: RelayState, endpoint: str) -> list[Any]:
    """Closes one unused connection for another host."""
    if endpoint not in state['endpoints']:
        return []
    idle = list_idle(state, endpoint)
    return [close(state, number) for number in idle[:1]]


def _list_unused(state: RelayState, endpoint: str) -> list[Connection]:
    unused: list[Connection] = []
    for number in state['endpoints'][endpoint]['connections']:
        connection = state['connections'][number]
        if connection['ready'] and not connection['session']:
            unused.append(connection)
    return unused


def _close_endpoint_unused(
    state: RelayState,
    name: str,
    now_s: float,
) -> list[Any]:
    outgoing: list[Any] = []
    endpoint = state['endpoints'][name]
    share = share_connections(state, name)
    extra = len(endpoint['connections']) - share
    extra_s = EXTRA_IDLE_S if share else NO_SHARE_IDLE_S
    for number in list_idle(state, name):
        idle_s = now_s - state['connections'][number]['used_s']
        limit_s = extra_s if extra > 0 else IDLE_S
        if idle_s < limit_s and not endpoint['leaving_since_s']:
            continue
        extra -= 1
        outgoing.append(close(state, number))
    return outgoing


def _find_idle(
    state: RelayState,
    operation: Operation,
    session: Session,
    endpoint: str,
) -> Connection | None:
    best: Connection | None = None
    best_steps = 0
    for connection in _list_unused(state, endpoint):
        if connection['workspace'] != operation['workspace']:
            continue
        if not _is_fit(connection, session):
            continue
        steps = len(list_steps(session, connection, operation['statement']))
        if best is None or steps < best_steps:
            best = connection
            best_steps = steps
    return best


def _is_fit(connection: Connection, session: Session) -> bool:
    # A value cannot be unset without a reset, which costs more than a new
    # connection.
    if not connection['values'].keys() <= session['values'].keys():
        return False
    return len(connection['aliases']) <= MAX_ALIASES


def _count_busy(state: RelayState, endpoint: str) -> int:
    numbers = state['endpoints'][endpoint]['connections']
    return sum(
        state['connections'][number]['session'] != 0 for number in numbers
    )


def _find_evictable(state: RelayState, endpoint: str) -> int | None:
    idle = list_idle(state, endpoint)
    return idle[0] if idle else None


def _take(connection: Connection, operation: Operation) -> None:
    connection['session'] = operation['session']
    operation['connection'] = connection['connection']
    operation['attempts'] += 1


def _open(
    state: RelayState,
    operation: Operation,
    endpoint: str,
    now_s: float,
) -> OpenConnection:
    number = state['next_connection']
    state['next_connection'] += 1
    connection = Connection(
        connection=number,
        endpoint=endpoint,
        workspace=operation['workspace'],
        ready=False,
        session=NO_CONNECTION,
        values={},
        aliases=set(),
        in_flight=None,
        sent_s=now_s,
        used_s=now_s,
    )
    state['connections'][number] = connection
    known = state['endpoints'][endpoint]
    known['connections'].add(number)
    _take(connection, operation)
    return OpenConnection(
        number,
        known['entry'].address,
        known['entry'].service,
        endpoint,
        operation['workspace'],
    )


def is_start(statement: Any) -> bool:
    """Returns whether a statement starts a transaction."""
    return isinstance(statement, BeginTransaction)
