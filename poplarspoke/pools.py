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

# Kept free so that the status and adopt calls of a failover always get a
# connection.
RESERVED_CONNECTIONS = 2
# Transactions hold connections even while they run no statement, so one
# connection is kept for single statements.
RESERVED_FOR_SINGLE = 1
MIN_IDLE_CONNECTIONS = 2
MAX_WAITERS = 64
UNUSED_CLOSE_S = 30.0
# The message that releases a connection is lost if an inbox is full. A
# transaction ends after 10 s without a statement, so a connection that is
# lent and unused for longer no longer has a holder.
ABANDONED_S = 30.0
OPEN_TIMEOUT_S = 1.0
# Backoff after a member did not accept a connection.
OPEN_BACKOFF_S = 0.2
CLOSE_REPEAT_INTERVAL_S = 1.0
# Ticks arrive every 0.1 s; a longer gap between two means that the host was
# paused.
PAUSE_THRESHOLD_S = 2.0
# Requests that were buffered in a socket during a pause arrive right after it,
# when the settings that routed them here may have changed (R8).
RESUME_REFUSAL_S = 0.5


class Connection(TypedDict):
    """One connection; times are on the monotonic clock.

    Attributes:
        status: What it is used for.
        since_s: When it was lent, became idle, started its exchange, or last
            had its close requested.
        answered_s: When its last accepted answer arrived or it was opened.
        deadline_s: When the current exchange or the attempt to open it times
            out.
        holder: Request id of the ``Acquire`` that it was lent for, empty if
            it is not lent.
        workspace: Workspace of the holder.
        transaction: Whether the holder is a transaction.
        request_id: Id that the outstanding answer must echo.
        dirty: Whether it must not be reused, since a transaction may be open
            or an answer outstanding on it.
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
        holder_task: Task that is notified when a connection that a
            transaction holds closes.
        limit: Connections that the member accepts.
        connections: Connections that are not closed yet, by number.
        last_number: Number of the connection that was created last.
        waiters: Requests without a connection, in the order of arrival.
        open_after_s: Earliest time of the next attempt to open one.
        closed: Number of closed connections by reason.
        ticked_s: When the last tick arrived, None before the first.
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


def serve_waiters(state: PoolState, now_s: float) -> list[Outgoing]:
    """Lends idle connections to waiters and opens the missing ones."""
    outgoing = refuse_expired(state, now_s)
    while True:
        number = _find_idle(state)
        waiter = _find_next_waiter(state)
        if number is None or waiter is None:
            break
        state['waiters'].remove(waiter)
        outgoing.append(_lend(state, number, waiter.acquire, now_s))
    opening = len(_select_by_status(state, ConnectionStatus.OPENING))
    for _ in range(len(_list_servable(state)) - opening):
        outgoing.extend(_open_connection(state, now_s))
    return outgoing


def _find_idle(state: PoolState) -> int | None:
    """Returns the most recently used idle connection.

    Surplus connections thus stay idle until they are closed as unused.
    """
    idle = list(_select_by_status(state, ConnectionStatus.IDLE))
    return idle[-1] if idle else None


def _find_next_waiter(state: PoolState) -> Waiter | None:
    """Returns the first waiter of the workspace with the fewest connections."""
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
    """Returns the waiters that the limit on transactions does not block."""
    held = sum(
        connection['transaction']
        for connection in state['connections'].values()
    )
    transaction_limit = max(count_usable(state) - RESERVED_FOR_SINGLE, 1)
    return [
        waiter
        for waiter in state['waiters']
        if held < transaction_limit or not waiter.acquire.transaction
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
    # Only an accepted answer marks it as clean again, so that the loss of a
    # message from the holder cannot make a used connection look unused.
    connection['dirty'] = True
    connection['holder'] = acquire.request_id
    connection['workspace'] = acquire.workspace
    connection['transaction'] = acquire.transaction
    return Reply(
        acquire.request_id,
        ConnectionLent(acquire.request_id, number),
    )


def release(
    state: PoolState,
    number: int,
    now_s: float,
) -> list[Outgoing]:
    """Makes a connection idle if it is clean, else closes it."""
    connection = state['connections'][number]
    if connection['status'] is ConnectionStatus.CLOSING:
        return []
    if connection['dirty']:
        return close_connection(state, number, CloseReason.DIRTY, now_s)
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


def _open_connection(state: PoolState, now_s: float) -> list[Outgoing]:
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


def close_connection(
    state: PoolState,
    number: int,
    reason: CloseReason,
    now_s: float,
) -> list[Outgoing]:
    """Closes a connection.

    It counts against the limit until the socket task confirms the close.
    """
    connection = state['connections'][number]
    outgoing = notify_holder(state, number, connection, reason)
    connection['status'] = ConnectionStatus.CLOSING
    connection['since_s'] = now_s
    connection['reason'] = reason
    _clear_holder(connection)
    record_close(state, reason)
    outgoing.append(
        ToTask(state['socket_task'], CloseConnection(number, reason)),
    )
    return outgoing


def notify_holder(
    state: PoolState,
    number: int,
    connection: Connection,
    reason: CloseReason,
) -> list[Outgoing]:
    if not connection['transaction']:
        return []
    gone = ConnectionGone(state['endpoint'], number, reason)
    return [ToTask(state['holder_task'], gone)]


def record_close(state: PoolState, reason: CloseReason) -> None:
    name = reason.name.lower()
    state['closed'][name] = state['closed'].get(name, 0) + 1


def find_connection(state: PoolState, number: int) -> Connection | None:
    return state['connections'].get(number)


def _select_by_status(
    state: PoolState,
    status: ConnectionStatus,
) -> dict[int, Connection]:
    """Returns the connections with a status, least recently answered first."""
    selected = {
        number: connection
        for number, connection in state['connections'].items()
        if connection['status'] is status
    }
    return dict(
        sorted(selected.items(), key=lambda entry: entry[1]['answered_s']),
    )


def close_overdue(state: PoolState, now_s: float) -> list[Outgoing]:
    """Closes connections that timed out and repeats unanswered closes."""
    outgoing = _repeat_closes(state, now_s)
    for overdue, opening in _select_by_status(
        state, ConnectionStatus.OPENING
    ).items():
        if now_s < opening['deadline_s']:
            continue
        state['open_after_s'] = now_s + OPEN_BACKOFF_S
        outgoing.extend(
            close_connection(state, overdue, CloseReason.OPEN_TIMEOUT, now_s)
        )
        outgoing.extend(refuse_unreachable(state))
    for unresponsive, busy in _select_by_status(
        state, ConnectionStatus.BUSY
    ).items():
        if now_s < busy['deadline_s']:
            continue
        outgoing.extend(_close_unresponsive(state, unresponsive, now_s))
    return outgoing


def _repeat_closes(state: PoolState, now_s: float) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    for number, closing in _select_by_status(
        state, ConnectionStatus.CLOSING
    ).items():
        if now_s < closing['since_s'] + CLOSE_REPEAT_INTERVAL_S:
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
    so an idle one stays open only if it answered after the exchange began.
    """
    started_s = state['connections'][number]['since_s']
    outgoing = close_connection(state, number, CloseReason.UNRESPONSIVE, now_s)
    for idle, connection in _select_by_status(
        state, ConnectionStatus.IDLE
    ).items():
        if connection['answered_s'] <= started_s:
            outgoing.extend(
                close_connection(state, idle, CloseReason.SUSPECT, now_s)
            )
    return outgoing


def close_unused(state: PoolState, now_s: float) -> list[Outgoing]:
    """Closes surplus idle connections and those that were not released."""
    outgoing: list[Outgoing] = []
    for number, lent in _select_by_status(state, ConnectionStatus.LENT).items():
        if now_s >= lent['since_s'] + ABANDONED_S:
            outgoing.extend(
                close_connection(state, number, CloseReason.ABANDONED, now_s)
            )
    idle = _select_by_status(state, ConnectionStatus.IDLE)
    for spare in list(idle)[: max(len(idle) - MIN_IDLE_CONNECTIONS, 0)]:
        if now_s >= idle[spare]['since_s'] + UNUSED_CLOSE_S:
            outgoing.extend(
                close_connection(state, spare, CloseReason.UNUSED, now_s)
            )
    return outgoing


def close_surplus(state: PoolState, now_s: float) -> list[Outgoing]:
    """Closes idle connections above a limit that was lowered."""
    closing = _select_by_status(state, ConnectionStatus.CLOSING)
    surplus = len(state['connections']) - len(closing) - count_usable(state)
    idle = list(_select_by_status(state, ConnectionStatus.IDLE))
    outgoing: list[Outgoing] = []
    for number in idle[: max(surplus, 0)]:
        outgoing.extend(
            close_connection(state, number, CloseReason.OVER_LIMIT, now_s)
        )
    return outgoing


def prewarm(state: PoolState, now_s: float) -> list[Outgoing]:
    """Opens connections before they are needed; opening takes about 10 ms."""
    ready = len(_select_by_status(state, ConnectionStatus.IDLE))
    ready += len(_select_by_status(state, ConnectionStatus.OPENING))
    outgoing: list[Outgoing] = []
    for _ in range(MIN_IDLE_CONNECTIONS - ready):
        outgoing.extend(_open_connection(state, now_s))
    return outgoing


def record_tick(state: PoolState, now_s: float) -> list[Outgoing]:
    """Records a tick; refuses all waiters if the host was paused before it."""
    outgoing: list[Outgoing] = []
    if _is_tick_overdue(state, now_s):
        state['resumed_s'] = now_s
        for waiter in state['waiters']:
            outgoing.append(refuse_after_pause(waiter.acquire, state))
        state['waiters'] = []
    state['ticked_s'] = now_s
    return outgoing


def _is_tick_overdue(state: PoolState, now_s: float) -> bool:
    ticked_s = state['ticked_s']
    return ticked_s is not None and now_s - ticked_s > PAUSE_THRESHOLD_S


def was_paused(state: PoolState, now_s: float) -> bool:
    """Returns whether a request may date from before a pause of the host."""
    if _is_tick_overdue(state, now_s):
        return True
    return now_s < state['resumed_s'] + RESUME_REFUSAL_S


def refuse_after_pause(message: Acquire, state: PoolState) -> Reply:
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
    """Refuses all waiters unless a connection is open or being opened."""
    closing = _select_by_status(state, ConnectionStatus.CLOSING)
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


def build_exchange_ended(message: EndExchange, *, accepted: bool) -> Reply:
    ended = ExchangeEnded(message.request_id, accepted)
    return Reply(message.request_id, ended)
