"""Guards against reuse of connections in an unknown state."""

from typing import Any

import pytest

from poplarspoke import connections, invariants, pools
from poplarspoke.generated.common import ErrorCode, Outcome, Tick
from poplarspoke.generated.connections import (
    Acquire,
    CancelAcquire,
    CloseConnection,
    CloseReason,
    ConnectionClosed,
    ConnectionGone,
    ConnectionLent,
    ConnectionOpened,
    ConnectionRefused,
    ConnectionStatus,
    EndExchange,
    ExchangeEnded,
    OpenConnection,
    Release,
    SetConnectionLimit,
    StartExchange,
)

LIMIT = 5


class Pool:
    """A pool whose sockets open at once."""

    def __init__(self, *, opens: bool = True) -> None:
        """Starts with warm connections."""
        self.state = pools.create_state(
            'endpoint',
            limit=LIMIT,
            socket_task='sockets',
            holder_task='transactions',
        )
        self.opens = opens
        self.now_s: float = 0
        self.sent: list[Any] = []
        self.send(Tick())

    def send(self, message: Any) -> list[Any]:
        """Sends a message and returns all messages that result from it."""
        outgoing = connections.decide(message, self.state, self.now_s)
        messages = [entry.message for entry in outgoing]
        for entry in list(messages):
            if isinstance(entry, OpenConnection) and self.opens:
                messages.extend(self.send(ConnectionOpened(entry.connection)))
        self.sent.extend(messages)
        return messages

    def lend(self, holder: str, *, transaction: bool = False) -> int:
        """Returns the number of a connection that was lent."""
        acquire = Acquire(holder, holder, transaction, 60)
        lent = self.send(acquire)[-1]
        assert isinstance(lent, ConnectionLent)
        return lent.connection

    def exchange(self, number: int, holder: str, *, clean: bool) -> Any:
        """Runs one statement and returns the pool's reply to its answer."""
        self.send(StartExchange(number, holder, holder, 1))
        return self.send(EndExchange(holder, number, holder, clean))[0]

    def closed(self) -> list[CloseReason]:
        """Returns why connections were closed."""
        return [
            entry.reason
            for entry in self.sent
            if isinstance(entry, CloseConnection)
        ]


@pytest.fixture
def pool() -> Pool:
    """A pool with warm connections."""
    return Pool()


def test_clean_connection_is_reused(pool: Pool) -> None:
    """Guards against opening a connection, 10 ms, for each statement."""
    number = pool.lend('first')
    assert pool.exchange(number, 'first', clean=True).accepted
    pool.send(Release(number, 'first'))
    assert pool.lend('second') == number
    assert not pool.closed()


@pytest.mark.parametrize('answered', [True, False])
def test_dirty_connection_is_closed(pool: Pool, answered: bool) -> None:
    """Guards against a transaction that the next holder continues (R3)."""
    number = pool.lend('first')
    if answered:
        pool.exchange(number, 'first', clean=False)
    else:
        pool.send(StartExchange(number, 'first', 'first', 1))
    pool.send(Release(number, 'first'))
    assert pool.closed() == [CloseReason.DIRTY]
    assert pool.lend('second') != number


def test_late_answer_is_dropped(pool: Pool) -> None:
    """Guards against accepting the answer to an earlier request (R9)."""
    number = pool.lend('first')
    pool.send(StartExchange(number, 'first', 'now', 1))
    ended, close = pool.send(EndExchange('now', number, 'earlier', True))
    assert ended == ExchangeEnded('now', accepted=False)
    assert close.reason is CloseReason.LATE_ANSWER
    again = pool.send(EndExchange('now', number, 'now', True))
    assert again == [ExchangeEnded('now', accepted=False)]


def test_unresponsive_connection_closes_suspect_idle_ones(pool: Pool) -> None:
    """Guards against a time-out on each of several dead idle connections."""
    number = pool.lend('first')
    pool.now_s = 0.5
    pool.send(StartExchange(number, 'first', 'first', 1))
    pool.now_s = 1.9
    pool.send(Tick())
    assert pool.closed() == [CloseReason.UNRESPONSIVE, CloseReason.SUSPECT]
    for closing in (1, 2):
        pool.send(ConnectionClosed(closing))
    assert pool.lend('second') > 2


def test_request_from_before_a_pause_is_refused(pool: Pool) -> None:
    """Guards against running requests from before a pause of the host (R8).

    The settings that routed them here may have changed during the pause.
    """
    held = [pool.lend(name) for name in ('first', 'second', 'third')]
    assert not pool.send(Acquire('waiting', 'w', budget_s=60))
    pool.now_s = pools.PAUSE_THRESHOLD_S + 1
    refused = pool.send(Acquire('in the socket', 'w', budget_s=60))
    refused += pool.send(Tick())
    refused += pool.send(Acquire('late', 'w', budget_s=60))
    answers = [one for one in refused if isinstance(one, ConnectionRefused)]
    assert [one.request_id for one in answers] == [
        'in the socket',
        'waiting',
        'late',
    ]
    outcomes = {one.refusal.outcome for one in answers}
    assert outcomes == {Outcome.NOT_RUN}
    pool.now_s += pools.RESUME_REFUSAL_S
    pool.exchange(held[0], 'first', clean=True)
    pool.send(Release(held[0], 'first'))
    assert pool.lend('new') == held[0]


def test_limit_counts_closing_connections(pool: Pool) -> None:
    """Guards against pools without a connection for status and adopt calls."""
    numbers = [pool.lend(holder) for holder in ('a', 'b', 'c')]
    assert len(pool.state['connections']) == LIMIT - 2
    assert not pool.send(Acquire('d', 'd', False, 60))
    pool.send(StartExchange(numbers[0], 'a', 'a', 1))
    messages = pool.send(Release(numbers[0], 'a'))
    assert [type(entry) for entry in messages] == [CloseConnection]
    messages = pool.send(ConnectionClosed(numbers[0]))
    assert isinstance(messages[0], OpenConnection)
    assert isinstance(messages[1], ConnectionLent)


def test_lowered_limit_closes_surplus(pool: Pool) -> None:
    """Guards against keeping connections above a lowered limit."""
    pool.send(SetConnectionLimit(3))
    assert pool.closed() == [CloseReason.OVER_LIMIT]


def test_transactions_leave_one_connection(pool: Pool) -> None:
    """Guards against single statements that wait for idle transactions."""
    pool.lend('a', transaction=True)
    pool.lend('b', transaction=True)
    assert not pool.send(Acquire('c', 'c', True, 60))
    assert pool.lend('single')


def test_workspace_with_fewest_connections_is_served_first(pool: Pool) -> None:
    """Guards against a workspace that holds all transaction connections."""
    number = pool.lend('greedy', transaction=True)
    pool.lend('other', transaction=True)
    pool.send(Acquire('again', 'other', True, 60))
    pool.send(Acquire('modest', 'modest', True, 60))
    pool.exchange(number, 'greedy', clean=True)
    messages = pool.send(Release(number, 'greedy'))
    assert messages == [ConnectionLent('modest', number)]


def test_refused_waiter_gets_no_connection(pool: Pool) -> None:
    """Guards against lending to a request that was refused as not run (R10)."""
    number = pool.lend('a', transaction=True)
    pool.lend('b', transaction=True)
    pool.send(Acquire('late', 'late', True, 1))
    pool.send(Acquire('left', 'left', True, 9))
    pool.send(CancelAcquire('left'))
    pool.now_s = 2
    refused = pool.send(Tick())[0]
    assert isinstance(refused, ConnectionRefused)
    assert refused.refusal.outcome is Outcome.NOT_RUN
    pool.exchange(number, 'a', clean=True)
    assert not pool.send(Release(number, 'a'))


def test_unreachable_endpoint_refuses_at_once() -> None:
    """Guards against callers that wait while an endpoint is down."""
    pool = Pool(opens=False)
    pool.send(Acquire('first', 'first', False, 60))
    assert not pool.send(ConnectionClosed(1))
    refused = pool.send(ConnectionClosed(2))[0]
    assert refused.refusal.code is ErrorCode.NO_ENDPOINT
    assert not pool.send(Tick())
    pool.now_s = pools.OPEN_BACKOFF_S
    assert isinstance(pool.send(Tick())[0], OpenConnection)


def test_lost_messages_leak_no_connection(pool: Pool) -> None:
    """Guards against connections that stay lent or closing forever."""
    number = pool.lend('first', transaction=True)
    pool.now_s = pools.ABANDONED_S
    messages = pool.send(Tick())
    gone = ConnectionGone('endpoint', number, CloseReason.ABANDONED)
    assert gone in messages
    pool.now_s += pools.CLOSE_REPEAT_INTERVAL_S
    closing = CloseConnection(number, CloseReason.ABANDONED)
    assert closing in pool.send(Tick())


def test_lost_start_of_exchange_closes(pool: Pool) -> None:
    """Guards against reuse of a connection whose start message was lost (R3)."""
    number = pool.lend('first')
    answered = pool.send(EndExchange('first', number, 'first', True))
    assert answered == [ExchangeEnded('first', accepted=False)]
    pool.send(Release(number, 'first'))
    assert pool.closed() == [CloseReason.DIRTY]


def test_foreign_holder_breaks_invariant(pool: Pool) -> None:
    """Guards against a statement on the connection of another holder."""
    number = pool.lend('first')
    with pytest.raises(invariants.InvariantError):
        pool.send(StartExchange(number, 'second', 'second', 1))


def test_surplus_idle_connections_are_closed(pool: Pool) -> None:
    """Guards against keeping surplus connections after a burst."""
    for holder in ('a', 'b', 'c'):
        pool.lend(holder)
    for number in (1, 2, 3):
        pool.send(CancelAcquire('abc'[number - 1]))
    pool.now_s = pools.UNUSED_CLOSE_S
    pool.send(Tick())
    assert pool.closed() == [CloseReason.UNUSED]
    idle = [
        connection
        for connection in pool.state['connections'].values()
        if connection['status'] is ConnectionStatus.IDLE
    ]
    assert len(idle) == pools.MIN_IDLE_CONNECTIONS
