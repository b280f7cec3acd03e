"""Connection pool of one endpoint.

A connection is lent to one holder at a time and is reused only if its state is
known to be clean: every exchange ended with a complete answer to its own
request, and no transaction is open. Any other connection is closed, whereupon
the endpoint rolls back its transaction.
"""

import functools
from typing import Any

from poplarspoke import invariants, pools
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.connections import (
    Acquire,
    CancelAcquire,
    CloseConnection,
    CloseReason,
    ConnectionClosed,
    ConnectionOpened,
    ConnectionStatus,
    EndExchange,
    Release,
    SetConnectionLimit,
    StartExchange,
)
from poplarspoke.tasks import Outgoing, ToTask


@functools.singledispatch
def decide(
    message: Any, state: pools.PoolState, now_s: float
) -> list[Outgoing]:
    """Handles one message and returns the messages to send."""
    raise TypeError(f'a pool cannot handle {type(message).__name__}')


@decide.register
def _(message: Acquire, state: pools.PoolState, now_s: float) -> list[Outgoing]:
    if pools.was_paused(state, now_s):
        return [pools.refuse_after_pause(message, state)]
    if len(state['waiters']) >= pools.MAX_WAITERS:
        return [
            pools.refuse(
                message.request_id,
                ErrorCode.OVERLOADED,
                f'{pools.MAX_WAITERS} requests wait for a connection '
                f'to {state["endpoint"]}',
            ),
        ]
    deadline_s = now_s + message.budget_s
    state['waiters'].append(pools.Waiter(message, deadline_s))
    return pools.serve_waiters(state, now_s)


@decide.register
def _(
    message: CancelAcquire, state: pools.PoolState, now_s: float
) -> list[Outgoing]:
    state['waiters'] = [
        waiter
        for waiter in state['waiters']
        if waiter.acquire.request_id != message.request_id
    ]
    outgoing: list[Outgoing] = []
    for number, connection in state['connections'].items():
        if connection['holder'] != message.request_id:
            continue
        # Without a started exchange it is as clean as when it was lent.
        connection['dirty'] = bool(connection['request_id'])
        outgoing.extend(pools.release(state, number, now_s))
    return outgoing + pools.serve_waiters(state, now_s)


@decide.register
def _(
    message: ConnectionOpened,
    state: pools.PoolState,
    now_s: float,
) -> list[Outgoing]:
    connection = pools.find_connection(state, message.connection)
    if connection is None:
        # The pool dropped it before it was opened. If it stayed open, it would
        # count against the connections that the member accepts.
        return [
            ToTask(
                state['socket_task'],
                CloseConnection(message.connection, CloseReason.OPEN_TIMEOUT),
            ),
        ]
    if connection['status'] is not ConnectionStatus.OPENING:
        return []
    connection['answered_s'] = now_s
    pools.set_idle(connection, now_s)
    return pools.serve_waiters(state, now_s)


@decide.register
def _(
    message: ConnectionClosed,
    state: pools.PoolState,
    now_s: float,
) -> list[Outgoing]:
    connection = state['connections'].pop(message.connection, None)
    if connection is None:
        return []
    if connection['status'] is ConnectionStatus.CLOSING:
        return pools.serve_waiters(state, now_s)
    pools.record_close(state, CloseReason.LOST)
    outgoing = pools.notify_holder(
        state,
        message.connection,
        connection,
        CloseReason.LOST,
    )
    if connection['status'] is ConnectionStatus.OPENING:
        state['open_after_s'] = now_s + pools.OPEN_BACKOFF_S
        outgoing.extend(pools.refuse_unreachable(state))
    return outgoing + pools.serve_waiters(state, now_s)


@decide.register
def _(
    message: StartExchange, state: pools.PoolState, now_s: float
) -> list[Outgoing]:
    connection = pools.find_connection(state, message.connection)
    if connection is None or connection['status'] is ConnectionStatus.CLOSING:
        return []
    invariants.check(
        holds=connection['holder'] == message.holder,
        code='R3',
        detail=f'connection {message.connection} to {state["endpoint"]} is '
        f'lent to {connection["holder"]!r}, used by {message.holder!r}',
    )
    invariants.check(
        holds=connection['status'] is ConnectionStatus.LENT,
        code='R9',
        detail=f'a second request on connection {message.connection} '
        f'to {state["endpoint"]}',
    )
    connection['status'] = ConnectionStatus.BUSY
    connection['since_s'] = now_s
    connection['deadline_s'] = now_s + message.timeout_s
    connection['request_id'] = message.request_id
    connection['dirty'] = True
    return []


@decide.register
def _(
    message: EndExchange, state: pools.PoolState, now_s: float
) -> list[Outgoing]:
    connection = pools.find_connection(state, message.connection)
    if connection is None or connection['status'] is not ConnectionStatus.BUSY:
        return [pools.build_exchange_ended(message, accepted=False)]
    is_own = connection['request_id'] == message.request_id
    if not is_own or message.echoed_id != message.request_id:
        closed = pools.close_connection(
            state,
            message.connection,
            CloseReason.LATE_ANSWER,
            now_s,
        )
        return [pools.build_exchange_ended(message, accepted=False), *closed]
    connection['status'] = ConnectionStatus.LENT
    connection['since_s'] = now_s
    connection['answered_s'] = now_s
    connection['dirty'] = not message.clean
    return [pools.build_exchange_ended(message, accepted=True)]


@decide.register
def _(message: Release, state: pools.PoolState, now_s: float) -> list[Outgoing]:
    connection = pools.find_connection(state, message.connection)
    if connection is None or connection['holder'] != message.holder:
        return []
    released = pools.release(state, message.connection, now_s)
    return released + pools.serve_waiters(state, now_s)


@decide.register
def _(
    message: SetConnectionLimit,
    state: pools.PoolState,
    now_s: float,
) -> list[Outgoing]:
    state['limit'] = message.connections
    return pools.close_surplus(state, now_s) + pools.serve_waiters(state, now_s)


@decide.register
def _(message: Tick, state: pools.PoolState, now_s: float) -> list[Outgoing]:
    outgoing = pools.record_tick(state, now_s)
    outgoing.extend(pools.close_overdue(state, now_s))
    outgoing.extend(pools.close_unused(state, now_s))
    outgoing.extend(pools.refuse_expired(state, now_s))
    outgoing.extend(pools.serve_waiters(state, now_s))
    outgoing.extend(pools.prewarm(state, now_s))
    return outgoing
