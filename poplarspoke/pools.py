"""State and rules of the connection pool of one endpoint."""

from collections import Counter
from typing import NamedTuple, TypedDict

from poplarspoke import errors, invariants
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.connections import (
    Acquire,
    CloseConnection,
    CloseReason,
    ConnectionGone,
    ConnectionLent,
    ConnectionRefused,
    ConnectionStatus,
    EndExchange,
    ExchangeEnded,
    OpenConnection,
)
from poplarspoke.tasks import Outgoing, Reply, ToTask

# Status and adopt calls of failover always get a connection.
RESERVED_CONNECTIONS = 2
# Transactions hold connections while they run no statement; one connection
# stays for single statements.
RESERVED_FOR_SINGLE = 1
WARM_CONNECTIONS = 2
MAX_WAITERS = 64
UNUSED_CLOSE_S = 30.0
# The message that releases a connection may be dropped when an inbox is full.
# Transactions are ended after 10 s without a statement, so a connection that
# is lent and unused for longer has no holder any more.
ABANDONED_S = 30.0
OPEN_TIMEOUT_S = 1.0
# A member that refuses connections is not asked again at once.
OPEN_PAUSE_S = 0.2
CLOSE_REPEAT_S = 1.0
# Ticks come every 0.1 s; a host without one for this long was paused.
PAUSE_S = 2.0
# Requests that waited in a socket through a pause arrive at once after it,
# when the settings that sent them here may have changed (R8).
RESUME_S = 0.5


class Connection(TypedDict):
    """One connection; times are on the monotonic clock.

    Attributes:
        status: What it is used for.
        since_s: When the status began.
        answered_s: When its last accepted answer came or it was opened.
        deadline_s: When the current exchange is overdue.
        holder: Request id of the ``Acquire`` that it was lent for.
        workspace: Workspace of the holder.
        transaction: Whether the holder is a transaction.
        request_id: Id that the outstanding answer must echo.
        dirty: Whether it must not be reused.
        reason: Why it is closing.
    """

    status: ConnectionStatus
    since_s: float
    answered_s: float
    deadline_s: float
    holder: str
    workspace: str
    transaction: bool
    request_id: str
    dirty: bool
    reason: CloseReason


class Waiter(NamedTuple):
    """Request that waits for a connection."""

    acquire: Acquire
    deadline_s: float


class PoolState(TypedDict):
    """State of the connection pool of one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        socket_task: Task that owns the sockets.
        holder_task: Task that is told of lost transaction connections.
        limit: Connections that the member accepts.
        connections: Connections that are not closed yet, by number.
        last_number: Number that was given to a connection last.
        waiters: Requests without a connection, in the order of arrival.
        open_after_s: Earliest time of the next attempt to open one.
        closed: Number of closed connections by reason.
        ticked_s: When the last tick came, None before the first.
        resumed_s: When the host last resumed after a pause.
    """

    endpoint: str
    socket_task: str
    holder_task: str
    limit: int
    connections: dict[int, Connection]
    last_number: int
    waiters: list[Waiter]
    open_after_s: float
    closed: dict[str, int]
    ticked_s: float | None
    resumed_s: float


def create_state(
    endpoint: str,
    *,
    limit: int,
    socket_task: str,
    holder_task: str,
) -> PoolState:
    """Returns the state of an empty pool.

    Args:
        endpoint: Name of the endpoint.
        limit: Connections that the member accepts from this owner.
        socket_task: Task that opens and closes the connections.
        holder_task: Task that owns the transactions.
    """
    return {
        'endpoint': endpoint,
        'socket_task': socket_task,
        'holder_task': holder_task,
        'limit': limit,
        'connections': {},
        'last_number': 0,
        'waiters': [],
        'open_after_s': 0,
        'closed': {},
        'ticked_s': None,
        'resumed_s': float('-inf'),
    }


def count_usable(state: PoolState) -> int:
    """Returns how many connections the pool may hold."""
    return max(state['limit'] - RESERVED_CONNECTIONS, 1)


def serve(state: PoolState, now_s: float) -> list[Outgoing]:
    """Lends idle connections to waiters and opens what is missing."""
    outgoing = refuse_expired(state, now_s)
    while True:
        number = _find_idle(state)
        waiter = _find_waiter(state)
        if number is None or waiter is None:
            break
        state['waiters'].remove(waiter)
        outgoing.append(_lend(state, number, waiter.acquire, now_s))
    opening = len(_select(state, ConnectionStatus.OPENING))
    for _ in range(len(_list_servable(state)) - opening):
        outgoing.extend(_open(state, now_s))
    return outgoing


def _find_idle(state: PoolState) -> int | None:
    """Returns the idle connection used last, so that surplus ones age."""
    idle = list(_select(state, ConnectionStatus.IDLE))
    return idle[-1] if idle else None


def _find_waiter(state: PoolState) -> Waiter | None:
    """Returns the first waiter of the workspace that holds the least."""
    held = _count_held(state)
    servable = _list_servable(state)
    if not servable:
        return None
    return min(servable, key=lambda waiter: held[waiter.acquire.workspace])


def _count_held(state: PoolState) -> Counter[str]:
    return Counter(
        connection['workspace']
        for connection in state['connections'].values()
        if connection['holder']
    )


def _list_servable(state: PoolState) -> list[Waiter]:
    """Returns the waiters that may get a connection now."""
    held = sum(
        connection['transaction']
        for connection in state['connections'].values()
    )
    most = max(count_usable(state) - RESERVED_FOR_SINGLE, 1)
    return [
        waiter
        for waiter in state['waiters']
        if held < most or not waiter.acquire.transaction
    ]


def _lend(
    state: PoolState,
    number: int,
    acquire: Acquire,
    now_s: float,
) -> Reply:
    connection = state['connections'][number]
    invariants.check(
        holds=not connection['dirty'] and not connection['holder'],
        code='R3',
        detail=f'connection {number} to {state["endpoint"]} is lent dirty',
    )
    connection['status'] = ConnectionStatus.LENT
    connection['since_s'] = now_s
    # Only an accepted answer makes it clean again, so that a lost message of
    # the holder cannot make a used connection look unused.
    connection['dirty'] = True
    connection['holder'] = acquire.request_id
    connection['workspace'] = acquire.workspace
    connection['transaction'] = acquire.transaction
    return Reply(
        acquire.request_id,
        ConnectionLent(acquire.request_id, number),
    )


def give_back(
    state: PoolState,
    number: int,
    now_s: float,
) -> list[Outgoing]:
    connection = state['connections'][number]
    if connection['status'] is ConnectionStatus.CLOSING:
        return []
    if connection['dirty']:
        return close(state, number, CloseReason.DIRTY, now_s)
    set_idle(connection, now_s)
    return close_surplus(state, now_s)


def set_idle(connection: Connection, now_s: float) -> None:
    connection['status'] = ConnectionStatus.IDLE
    connection['since_s'] = now_s
    connection['dirty'] = False
    _clear_holder(connection)


def _clear_holder(connection: Connection) -> None:
    connection['holder'] = ''
    connection['workspace'] = ''
    connection['transaction'] = False
    connection['request_id'] = ''


def _open(state: PoolState, now_s: float) -> list[Outgoing]:
    full = len(state['connections']) >= count_usable(state)
    if full or now_s < state['open_after_s']:
        return []
    state['last_number'] += 1
    number = state['last_number']
    state['connections'][number] = {
        'status': ConnectionStatus.OPENING,
        'since_s': now_s,
        'answered_s': now_s,
        'deadline_s': now_s + OPEN_TIMEOUT_S,
        'holder': '',
        'workspace': '',
        'transaction': False,
        'request_id': '',
        'dirty': False,
        'reason': CloseReason.UNUSED,
    }
    return [ToTask(state['socket_task'], OpenConnection(number))]


def close(
    state: PoolState,
    number: int,
    reason: CloseReason,
    now_s: float,
) -> list[Outgoing]:
    """Closes a connection; it counts until the owner of the socket agrees."""
    connection = state['connections'][number]
    outgoing = tell_holder(state, number, connection, reason)
    connection['status'] = ConnectionStatus.CLOSING
    connection['since_s'] = now_s
    connection['reason'] = reason
    _clear_holder(connection)
    count_closed(state, reason)
    outgoing.append(
        ToTask(state['socket_task'], CloseConnection(number, reason)),
    )
    return outgoing


def tell_holder(
    state: PoolState,
    number: int,
    connection: Connection,
    reason: CloseReason,
) -> list[Outgoing]:
    if not connection['transaction']:
        return []
    gone = ConnectionGone(state['endpoint'], number, reason)
    return [ToTask(state['holder_task'], gone)]


def count_closed(state: PoolState, reason: CloseReason) -> None:
    name = reason.name.lower()
    state['closed'][name] = state['closed'].get(name, 0) + 1


def find(state: PoolState, number: int) -> Connection | None:
    return state['connections'].get(number)


def _select(
    state: PoolState,
    status: ConnectionStatus,
) -> dict[int, Connection]:
    """Returns the connections with a status, the least used one first."""
    selected = {
        number: connection
        for number, connection in state['connections'].items()
        if connection['status'] is status
    }
    return dict(
        sorted(selected.items(), key=lambda entry: entry[1]['answered_s']),
    )


def close_overdue(state: PoolState, now_s: float) -> list[Outgoing]:
    """Closes what did not answer and repeats requests to close."""
    outgoing = _repeat_closes(state, now_s)
    for late, opening in _select(state, ConnectionStatus.OPENING).items():
        if now_s < opening['deadline_s']:
            continue
        state['open_after_s'] = now_s + OPEN_PAUSE_S
        outgoing.extend(close(state, late, CloseReason.OPEN_TIMEOUT, now_s))
        outgoing.extend(refuse_unreachable(state))
    for silent, busy in _select(state, ConnectionStatus.BUSY).items():
        if now_s < busy['deadline_s']:
            continue
        outgoing.extend(_close_unresponsive(state, silent, now_s))
    return outgoing


def _repeat_closes(state: PoolState, now_s: float) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    for number, closing in _select(state, ConnectionStatus.CLOSING).items():
        if now_s < closing['since_s'] + CLOSE_REPEAT_S:
            continue
        closing['since_s'] = now_s
        repeat = CloseConnection(number, closing['reason'])
        outgoing.append(ToTask(state['socket_task'], repeat))
    return outgoing


def _close_unresponsive(
    state: PoolState,
    number: int,
    now_s: float,
) -> list[Outgoing]:
    """Closes an overdue connection and idle ones that may share its fault.

    Open connections often become unresponsive together while new ones work,
    so an idle one is kept only if it answered after the exchange began.
    """
    started_s = state['connections'][number]['since_s']
    outgoing = close(state, number, CloseReason.UNRESPONSIVE, now_s)
    for idle, connection in _select(state, ConnectionStatus.IDLE).items():
        if connection['answered_s'] <= started_s:
            outgoing.extend(close(state, idle, CloseReason.SUSPECT, now_s))
    return outgoing


def close_unused(state: PoolState, now_s: float) -> list[Outgoing]:
    """Closes surplus idle connections and those that are never released."""
    outgoing: list[Outgoing] = []
    for number, lent in _select(state, ConnectionStatus.LENT).items():
        if now_s >= lent['since_s'] + ABANDONED_S:
            outgoing.extend(close(state, number, CloseReason.ABANDONED, now_s))
    idle = _select(state, ConnectionStatus.IDLE)
    for spare in list(idle)[: max(len(idle) - WARM_CONNECTIONS, 0)]:
        if now_s >= idle[spare]['since_s'] + UNUSED_CLOSE_S:
            outgoing.extend(close(state, spare, CloseReason.UNUSED, now_s))
    return outgoing


def close_surplus(state: PoolState, now_s: float) -> list[Outgoing]:
    """Closes idle connections over a limit that was lowered."""
    closing = _select(state, ConnectionStatus.CLOSING)
    surplus = len(state['connections']) - len(closing) - count_usable(state)
    idle = list(_select(state, ConnectionStatus.IDLE))
    outgoing: list[Outgoing] = []
    for number in idle[: max(surplus, 0)]:
        outgoing.extend(close(state, number, CloseReason.OVER_LIMIT, now_s))
    return outgoing


def warm(state: PoolState, now_s: float) -> list[Outgoing]:
    """Opens connections ahead of their use; a new one takes about 10 ms."""
    ready = len(_select(state, ConnectionStatus.IDLE))
    ready += len(_select(state, ConnectionStatus.OPENING))
    outgoing: list[Outgoing] = []
    for _ in range(WARM_CONNECTIONS - ready):
        outgoing.extend(_open(state, now_s))
    return outgoing


def note_tick(state: PoolState, now_s: float) -> list[Outgoing]:
    """Refuses what waited through a pause of the host."""
    outgoing: list[Outgoing] = []
    if _is_overdue(state, now_s):
        state['resumed_s'] = now_s
        for waiter in state['waiters']:
            outgoing.append(refuse_old(waiter.acquire, state))
        state['waiters'] = []
    state['ticked_s'] = now_s
    return outgoing


def _is_overdue(state: PoolState, now_s: float) -> bool:
    ticked_s = state['ticked_s']
    return ticked_s is not None and now_s - ticked_s > PAUSE_S


def was_paused(state: PoolState, now_s: float) -> bool:
    """Returns whether a request may have waited through a pause."""
    if _is_overdue(state, now_s):
        return True
    return now_s < state['resumed_s'] + RESUME_S


def refuse_old(message: Acquire, state: PoolState) -> Reply:
    return refuse(
        message.request_id,
        ErrorCode.OVERLOADED,
        f'the owner of {state["endpoint"]} was paused',
    )


def refuse_expired(state: PoolState, now_s: float) -> list[Outgoing]:
    expired = [
        waiter for waiter in state['waiters'] if waiter.deadline_s <= now_s
    ]
    outgoing: list[Outgoing] = []
    for waiter in expired:
        state['waiters'].remove(waiter)
        outgoing.append(
            refuse(
                waiter.acquire.request_id,
                ErrorCode.OVERLOADED,
                f'no connection to {state["endpoint"]} became free in time',
            ),
        )
    return outgoing


def refuse_unreachable(state: PoolState) -> list[Outgoing]:
    """Refuses all waiters if the endpoint accepts no connection."""
    closing = _select(state, ConnectionStatus.CLOSING)
    if len(closing) < len(state['connections']):
        return []
    waiters = state['waiters']
    state['waiters'] = []
    return [
        refuse(
            waiter.acquire.request_id,
            ErrorCode.NO_ENDPOINT,
            f'{state["endpoint"]} accepts no connection',
        )
        for waiter in waiters
    ]


def refuse(request_id: str, code: ErrorCode, detail: str) -> Reply:
    refusal = errors.refuse(code, detail)
    return Reply(request_id, ConnectionRefused(request_id, refusal))


def end_exchange(message: EndExchange, *, accepted: bool) -> Reply:
    ended = ExchangeEnded(message.request_id, accepted)
    return Reply(message.request_id, ended)
