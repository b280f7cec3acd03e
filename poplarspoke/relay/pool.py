"""Connection pool of the endpoints.

An endpoint limits the connections of all hosts together, and a connection
belongs to one workspace. Each host keeps up to its share of idle connections
open, and opens more while the endpoint accepts them. A connection whose state
is unknown is closed, never reused.
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
from poplarspoke.relay import contention, gateways, keeping, places
from poplarspoke.relay.state import (
    NO_CONNECTION,
    Connection,
    Operation,
    RelayState,
    Session,
)
from poplarspoke.tasks import ToHost

SYSTEM_REQUEST_ID = '-'
# Limit on busy connections of one host to one endpoint. Further statements
# wait on the host, which controls their order, instead of at the endpoint.
MAX_BUSY_CONNECTIONS = 6
# Statements that a gateway has at one endpoint at the same time, at least. With
# the gateways of other zones they keep the endpoint's slots busy.
MIN_GATEWAY_STATEMENTS = 3
# Peers that are asked to close an idle connection to a full endpoint.
RELEASE_PEERS = 3
# Idle connections beyond the host's share are closed after this time.
EXTRA_IDLE_S = 1.0
# Idle connections are closed after this time if the host's share is 0, as with
# 70 hosts and 53 connections; an endpoint then gets about 50 statements a
# second, each on its own connection.
NO_SHARE_IDLE_S = 0.4
# Idle connections within the share are closed after this time, before the
# endpoint closes them itself after 60 s.
MAX_IDLE_S = 20.0
# Limit on prepared statements on one connection, to spare the endpoint.
MAX_ALIASES = 200
# Backoff after an endpoint refused a connection at its limit. A round trip
# between zones and closing an idle connection take about 10 ms.
FULL_BACKOFF_S = 0.03


def name_alias(statement: PrepareStatement) -> str:
    """Returns the name under which connections prepare a statement.

    It depends only on the shape and on whether the statement writes, so that
    sessions share the statements that are prepared on a connection.
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
    """Assigns an idle or new connection to an operation.

    Args:
        state: State of the relay.
        operation: Operation that needs a connection.
        endpoint: Endpoint to connect to.
        now_s: Boot clock in seconds.

    Returns:
        Connections to close and to open, empty if an idle one is reused; None
        if the endpoint has no free connection.
    """
    session = state['sessions'][operation['session']]
    found = _find_best_idle(state, operation, session, endpoint)
    known = state['endpoints'][endpoint]
    service = known['entry'].service
    is_contended = contention.is_active(state, service)
    if is_contended and not places.admits(
        state, operation, endpoint, now_s, opens=found is None
    ):
        return None
    if found is not None and (
        is_contended or not _is_saturated(state, endpoint)
    ):
        _assign_connection(found, operation)
        return []
    if not is_contended and _is_busy(state, endpoint):
        return None
    outgoing = _make_room(state, endpoint, now_s)
    if outgoing is None:
        return None
    if len(known['connections']) >= gateways.count_open_share(state, service):
        return None
    outgoing.append(_open(state, operation, endpoint, now_s))
    return outgoing


def _make_room(
    state: RelayState, endpoint: str, now_s: float
) -> list[Any] | None:
    """Closes an idle connection for a new one, if there are enough.

    Returns:
        Connections to close; None if the endpoint is full and none can be closed.
    """
    known = state['endpoints'][endpoint]
    # A full endpoint accepts a connection only in place of another one.
    is_full = now_s < known['full_until_s']
    count = len(known['connections'])
    if not is_full and count < count_idle_share(state, endpoint):
        return []
    evicted = _find_evictable(state, endpoint)
    if evicted is not None:
        return [close(state, evicted)]
    return None if is_full else []


def count_idle_share(state: RelayState, endpoint: str) -> int:
    """Returns how many idle connections to an endpoint this host may keep."""
    service = state['endpoints'][endpoint]['entry'].service
    return gateways.count_idle_share(state, service)


def release(state: RelayState, number: int, now_s: float) -> None:
    """Returns a connection to the pool."""
    connection = state['connections'].get(number)
    if connection is None:
        return
    connection['session'] = 0
    connection['in_flight'] = None
    connection['used_s'] = now_s


def close(state: RelayState, number: int) -> CloseConnection:
    """Removes a connection and closes it; an open transaction rolls back."""
    remove(state, number)
    return CloseConnection(number)


def remove(state: RelayState, number: int) -> Connection | None:
    """Removes a connection from the pool and returns it, None if unknown."""
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
    """Returns the setup statements that must run before a statement.

    They set session values and prepare the statement where the connection
    differs from the session.
    """
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


def close_idle(
    state: RelayState,
    now_s: float,
) -> list[Any]:
    """Closes connections that have been idle for too long."""
    outgoing: list[Any] = []
    for name in state['endpoints']:
        outgoing.extend(_close_endpoint_idle(state, name, now_s))
    return outgoing


def list_idle(state: RelayState, endpoint: str) -> list[int]:
    """Returns idle connections to an endpoint, the longest idle first."""
    idle = _list_idle_connections(state, endpoint)
    idle.sort(key=lambda connection: connection['used_s'])
    return [connection['connection'] for connection in idle]


def request_release(
    state: RelayState,
    endpoint: str,
    now_s: float,
) -> list[ToHost]:
    """Backs off from a full endpoint; returns requests to some peers.

    Each asks a peer to close an idle connection. Gateways keep to their part of
    the limit and ask nobody.
    """
    known = state['endpoints'][endpoint]
    known['full_until_s'] = now_s + FULL_BACKOFF_S
    if gateways.needs_gateways(state, known['entry'].service):
        return []
    request = ReleaseIdle(state['settings'].name, endpoint)
    count = min(RELEASE_PEERS, len(state['peers']))
    peers = state['rng'].sample(state['peers'], count)
    return [ToHost(peer, request) for peer in peers]


def release_idle(state: RelayState, endpoint: str) -> list[Any]:
    """Closes the longest idle connection, so that a peer can open one."""
    if endpoint not in state['endpoints']:
        return []
    idle = list_idle(state, endpoint)
    return [close(state, number) for number in idle[:1]]


def _list_idle_connections(
    state: RelayState, endpoint: str
) -> list[Connection]:
    idle: list[Connection] = []
    for number in state['endpoints'][endpoint]['connections']:
        connection = state['connections'][number]
        if connection['ready'] and not connection['session']:
            idle.append(connection)
    return idle


def _close_endpoint_idle(
    state: RelayState,
    name: str,
    now_s: float,
) -> list[Any]:
    outgoing: list[Any] = []
    endpoint = state['endpoints'][name]
    share = count_idle_share(state, name)
    extra = len(endpoint['connections']) - share
    extra_s = EXTRA_IDLE_S if share else NO_SHARE_IDLE_S
    for number in list_idle(state, name):
        connection = state['connections'][number]
        idle_s = now_s - connection['used_s']
        limit_s = extra_s if extra > 0 else MAX_IDLE_S
        if keeping.is_laden(connection):
            limit_s = 0
        if idle_s < limit_s and not endpoint['leaving_since_s']:
            continue
        extra -= 1
        outgoing.append(close(state, number))
    return outgoing


def _find_best_idle(
    state: RelayState,
    operation: Operation,
    session: Session,
    endpoint: str,
) -> Connection | None:
    best: Connection | None = None
    best_steps = 0
    for connection in _list_idle_connections(state, endpoint):
        if connection['workspace'] != operation['workspace']:
            continue
        if not _is_reusable(connection, session):
            continue
        steps = len(list_steps(session, connection, operation['statement']))
        if best is None or steps < best_steps:
            best = connection
            best_steps = steps
    return best


def _is_reusable(connection: Connection, session: Session) -> bool:
    # Unsetting a value needs a reset, which costs more than a new connection.
    if not connection['values'].keys() <= session['values'].keys():
        return False
    return len(connection['aliases']) <= MAX_ALIASES


def _is_busy(state: RelayState, endpoint: str) -> bool:
    """Returns whether no further connection may be opened for now."""
    known = state['endpoints'][endpoint]
    if gateways.needs_gateways(state, known['entry'].service):
        return _is_saturated(state, endpoint)
    busy = sum(
        state['connections'][number]['session'] != 0
        for number in known['connections']
    )
    return busy >= MAX_BUSY_CONNECTIONS


def _is_saturated(state: RelayState, endpoint: str) -> bool:
    """Returns whether a gateway has enough statements at an endpoint.

    Transactions that wait for their caller do not count.
    """
    known = state['endpoints'][endpoint]
    if not gateways.needs_gateways(state, known['entry'].service):
        return False
    running = 0
    for number in known['connections']:
        connection = state['connections'][number]
        running += connection['in_flight'] is not None
        running += not connection['ready']
    return running >= max(known['entry'].slots, MIN_GATEWAY_STATEMENTS)


def _find_evictable(state: RelayState, endpoint: str) -> int | None:
    idle = list_idle(state, endpoint)
    return idle[0] if idle else None


def _assign_connection(connection: Connection, operation: Operation) -> None:
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
    _assign_connection(connection, operation)
    return OpenConnection(
        number,
        known['entry'].address,
        known['entry'].service,
        endpoint,
        operation['workspace'],
    )


def is_begin(statement: Any) -> bool:
    """Returns whether a statement begins a transaction."""
    return isinstance(statement, BeginTransaction)
