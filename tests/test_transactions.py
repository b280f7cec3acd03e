"""Guards against mixed-up transactions and refusals with a wrong outcome."""

import itertools
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from poplarspoke import connections, pools, transactions
from poplarspoke.generated.common import ErrorCode, Outcome, Position, Tick
from poplarspoke.generated.connections import (
    Acquire,
    CloseConnection,
    CloseReason,
    ConnectionClosed,
    ConnectionGone,
    ConnectionLent,
    ConnectionOpened,
    EndExchange,
    ExchangeEnded,
    OpenConnection,
    Release,
    StartExchange,
)
from poplarspoke.generated.requests import TransactionStep
from poplarspoke.generated.transactions import (
    BeginTransaction,
    DrainTransactions,
    EndReason,
    ReturnEndpoint,
    StatementEnded,
    TransactionAllowed,
    TransactionBegun,
    TransactionCommitted,
    TransactionEnded,
    TransactionRefused,
    UseTransaction,
)

ENDPOINT = 'label-core-1'
COMMIT = TransactionStep.COMMIT
INSIDE = TransactionStep.INSIDE
POSITION = Position(2, 7)
index_numbers = st.integers(0, 9)


class Host:
    """The transactions of one host with one open transaction."""

    def __init__(self) -> None:
        """Begins a transaction."""
        self.state = transactions.create_state('host-1', 9, log_task='logs')
        self.now_s: float = 0
        begun = self.send(
            BeginTransaction(
                'begin', 'deli', 'label-core', ENDPOINT, 1, 'holder', 2
            ),
        )[0]
        assert isinstance(begun, TransactionBegun)
        self.name = begun.transaction

    def send(self, message: Any) -> list[Any]:
        """Sends a message and returns the outgoing messages."""
        outgoing = transactions.decide(message, self.state, self.now_s)
        return [entry.message for entry in outgoing]

    def use(
        self,
        step: TransactionStep = INSIDE,
        workspace: str = 'deli',
    ) -> Any:
        """Requests to run a statement and returns the answer."""
        return self.send(UseTransaction('use', self.name, workspace, step))[0]

    def end(self, **fields: Any) -> list[Any]:
        """Ends the running statement."""
        ended = StatementEnded('use', self.name, answered=True)
        return self.send(ended._replace(**fields))

    def find_end_reason(self) -> EndReason:
        """Returns how the transaction ended."""
        return self.state['ended'][self.name]['reason']


@pytest.fixture
def host() -> Host:
    """A host with one open transaction."""
    return Host()


def test_id_names_host(host: Host) -> None:
    """Guards against a statement that cannot be forwarded to its owner."""
    assert transactions.find_host(host.name) == 'host-1'
    assert not transactions.find_host('garbage')


def test_other_workspace_learns_nothing(host: Host) -> None:
    """Guards against access to another workspace's transaction (R4)."""
    foreign = host.use(workspace='bakery')
    assert isinstance(foreign, TransactionRefused)
    host.name = 'host-1~9~ff'
    assert host.use(workspace='bakery') == foreign


def test_second_statement_is_refused(host: Host) -> None:
    """Guards against two statements on one connection."""
    assert isinstance(host.use(), TransactionAllowed)
    assert host.use().refusal.outcome is Outcome.NOT_RUN
    host.end(open=True)
    assert isinstance(host.use(), TransactionAllowed)


def test_idle_transaction_is_rolled_back(host: Host) -> None:
    """Guards against a connection held forever by a caller that left."""
    host.use()
    host.now_s = transactions.IDLE_TIMEOUT_S
    assert not host.send(Tick())
    host.end(open=True)
    host.now_s += transactions.IDLE_TIMEOUT_S
    assert host.send(Tick())[1] == TransactionEnded(
        host.name, 'deli', ENDPOINT, EndReason.IDLE
    )
    refused = host.use()
    assert refused.refusal.code is ErrorCode.TRANSACTION_ENDED
    assert refused.refusal.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('drained', [ENDPOINT, transactions.WHOLE_HOST])
def test_drain_leaves_grace_period(host: Host, drained: str) -> None:
    """Guards against interrupted transactions and against endless drains."""
    host.send(DrainTransactions(drained, 10))
    assert isinstance(host.use(), TransactionAllowed)
    host.now_s = 9
    host.send(DrainTransactions(drained, 10))
    assert not host.send(Tick())
    begin = BeginTransaction('b', 'deli', 'label-core', ENDPOINT, 2, 'h', 2)
    assert host.send(begin)[0].refusal.code is ErrorCode.HOST_LEAVING
    host.now_s = 10
    assert host.send(Tick())[1].reason is EndReason.DRAINED
    host.send(ReturnEndpoint(drained))
    assert isinstance(host.send(begin)[0], TransactionBegun)


def test_drain_does_not_interrupt_commit(host: Host) -> None:
    """Guards against a drain that makes the outcome of a commit unknown."""
    host.use(COMMIT)
    host.send(DrainTransactions(ENDPOINT, 0))
    assert not host.send(Tick())
    host.end(committed=True, position=POSITION)
    assert host.find_end_reason() is EndReason.COMMITTED


def test_repeated_commit_gets_first_answer(host: Host) -> None:
    """Guards against "not run" for a commit that was executed (R10)."""
    host.use(COMMIT)
    host.end(committed=True, position=POSITION)
    assert host.use(COMMIT) == TransactionCommitted('use', POSITION)
    assert host.use().refusal.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('answered', [True, False])
def test_unconfirmed_commit_is_unknown(host: Host, answered: bool) -> None:
    """Guards against a wrong outcome of a commit without a majority."""
    host.use(COMMIT)
    host.end(answered=answered)
    assert host.find_end_reason() is EndReason.COMMIT_UNKNOWN
    assert host.use(COMMIT).refusal.outcome is Outcome.UNKNOWN


def test_refused_commit_is_rolled_back(host: Host) -> None:
    """Guards against an unknown outcome of a commit that was refused."""
    host.use(COMMIT)
    host.end(refused=True)
    assert host.use(COMMIT).refusal.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('step', 'reason', 'outcome'),
    [
        (INSIDE, EndReason.CONNECTION_LOST, Outcome.NOT_RUN),
        (COMMIT, EndReason.COMMIT_UNKNOWN, Outcome.UNKNOWN),
    ],
)
def test_lost_connection_ends_transaction(
    host: Host,
    step: TransactionStep,
    reason: EndReason,
    outcome: Outcome,
) -> None:
    """Guards against continuing a transaction on another connection."""
    host.use(step)
    host.send(ConnectionGone('other', 1, CloseReason.LOST))
    host.send(ConnectionGone(ENDPOINT, 1, CloseReason.LOST))
    assert host.find_end_reason() is reason
    assert host.use(step).refusal.outcome is outcome


def test_commit_of_forgotten_transaction_is_unknown(host: Host) -> None:
    """Guards against "not run" for a commit after a restart (R10)."""
    restarted = transactions.create_state('host-1', 10, log_task='logs')
    host.state = restarted
    assert host.use(COMMIT).refusal.outcome is Outcome.UNKNOWN
    assert host.use(INSIDE).refusal.outcome is Outcome.NOT_RUN


class Socket:
    """The endpoint's side of a connection."""

    def __init__(self) -> None:
        """Starts open and without a transaction."""
        self.open = True
        self.context = ''
        self.answers: list[str] = []


class PoolMachine(RuleBasedStateMachine):
    """Transactions and single statements that share the pool of an endpoint.

    The endpoint runs each statement in the transaction of its connection. If a
    dirty connection were reused, a statement would join the transaction of an
    earlier holder or get its late answer.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        super().__init__()
        self.now_s: float = 0
        self.pool = pools.create_state(
            ENDPOINT,
            limit=5,
            socket_task='sockets',
            holder_task='transactions',
        )
        self.host = transactions.create_state('host-1', 1, log_task='logs')
        self.numbers = itertools.count()
        self.sockets: dict[int, Socket] = {}
        self.opening: list[int] = []
        self.lent: dict[str, int] = {}
        self.running: dict[str, tuple[str, int, str]] = {}
        self.names: list[str] = []
        self.accepted = False

    def send(self, message: Any, *, host: bool = False) -> None:
        """Sends a message to the pool or host and delivers the outgoing ones."""
        module: Any = transactions if host else connections
        state: Any = self.host if host else self.pool
        for entry in module.decide(message, state, self.now_s):
            self.deliver(entry)

    def deliver(self, entry: Any) -> None:
        """Delivers one outgoing message."""
        message = entry.message
        if isinstance(message, ConnectionGone):
            self.send(message, host=True)
        elif isinstance(message, Release):
            self.send(message)
        elif isinstance(message, OpenConnection):
            self.opening.append(message.connection)
            self.sockets[message.connection] = Socket()
        elif isinstance(message, CloseConnection):
            self.sockets[message.connection].open = False
            self.send(ConnectionClosed(message.connection))
        self.receive(message)

    def receive(self, message: Any) -> None:
        """Handles the reply to a request."""
        if isinstance(message, ConnectionLent):
            self.lent[message.request_id] = message.connection
        elif isinstance(message, TransactionBegun):
            self.names.append(message.transaction)
        elif isinstance(message, ExchangeEnded):
            self.accepted = message.accepted
        elif isinstance(message, TransactionAllowed):
            self.start(
                message.request_id,
                message.connection,
                message.holder,
            )

    def start(self, request_id: str, number: int, holder: str) -> None:
        """Sends a statement; the endpoint runs it in the open transaction."""
        self.send(StartExchange(number, holder, request_id, 1))
        socket = self.sockets[number]
        if not socket.open:
            return
        assert socket.context in {'', holder}
        socket.context = holder
        socket.answers.append(request_id)
        self.running[request_id] = (holder, number, '')

    @rule(
        transaction=st.booleans(),
        workspace=st.sampled_from('ab'),
        opens=st.sampled_from([True, True, True, False]),
    )
    def acquire(self, transaction: bool, workspace: str, opens: bool) -> None:
        """A statement or a transaction requests a connection."""
        prefix = 'tx' if transaction else 'single'
        request_id = f'{prefix}-{next(self.numbers)}'
        self.send(Acquire(request_id, workspace, transaction, 5))
        while opens and self.opening:
            self.open_socket(0, opens=True)
        if opens and self.lent:
            self.use_lent(0)

    @precondition(lambda machine: machine.opening)
    @rule(index=index_numbers, opens=st.booleans())
    def open_socket(self, index: int, opens: bool) -> None:
        """An attempt to open a connection succeeds or fails."""
        number = self.opening.pop(index % len(self.opening))
        if not opens:
            self.sockets[number].open = False
            self.send(ConnectionClosed(number))
            return
        self.send(ConnectionOpened(number))

    @precondition(lambda machine: machine.lent)
    @rule(index=index_numbers)
    def use_lent(self, index: int) -> None:
        """A holder runs its single statement or begins its transaction."""
        holder = sorted(self.lent)[index % len(self.lent)]
        number = self.lent.pop(holder)
        if holder.startswith('single'):
            self.start(holder, number, holder)
            return
        if not self.sockets[number].open:
            return
        self.start(holder, number, holder)
        self.running.pop(holder)
        self.sockets[number].answers.clear()
        self.send(EndExchange(holder, number, holder, clean=False))
        begin = BeginTransaction('b', 'a', 'db', ENDPOINT, number, holder, 1)
        self.send(begin, host=True)

    @precondition(lambda machine: machine.names)
    @rule(index=index_numbers, step=st.sampled_from([INSIDE, COMMIT]))
    def use_transaction(self, index: int, step: TransactionStep) -> None:
        """A caller sends a statement, whose transaction may have ended."""
        name = self.names[index % len(self.names)]
        request_id = f'use-{next(self.numbers)}'
        self.send(UseTransaction(request_id, name, 'a', step), host=True)
        sent = self.running.get(request_id)
        if sent is not None:
            self.running[request_id] = (sent[0], sent[1], f'{name} {step}')

    @precondition(lambda machine: machine.running)
    @rule(index=index_numbers, stale=st.sampled_from([False, False, True]))
    def answer(self, index: int, stale: bool) -> None:
        """The endpoint answers this or an earlier request."""
        request_id = sorted(self.running)[index % len(self.running)]
        holder, number, use = self.running.pop(request_id)
        socket = self.sockets[number]
        name, _, step = use.partition(' ')
        echoed = socket.answers.pop(0) if socket.open else ''
        if stale and echoed:
            echoed = 'earlier'
        if not name or step == str(COMMIT):
            socket.context = ''
        clean = not socket.context
        self.accepted = False
        if echoed:
            self.send(EndExchange(request_id, number, echoed, clean))
        assert not self.accepted or echoed == request_id
        if not name:
            self.send(Release(number, holder))
            return
        self.send(
            StatementEnded(
                request_id,
                name,
                answered=self.accepted,
                open=not clean,
                committed=self.accepted and clean,
            ),
            host=True,
        )

    @precondition(lambda machine: machine.running)
    @rule(index=index_numbers)
    def abandon(self, index: int) -> None:
        """A caller of a single statement leaves before the answer."""
        singles = [name for name in self.running if name.startswith('single')]
        if not singles:
            return
        request_id = singles[index % len(singles)]
        holder, number, _ = self.running.pop(request_id)
        self.send(Release(number, holder))

    @precondition(lambda machine: machine.sockets)
    @rule(index=index_numbers)
    def lose_connection(self, index: int) -> None:
        """A connection fails."""
        alive = [key for key, socket in self.sockets.items() if socket.open]
        if not alive:
            return
        number = alive[index % len(alive)]
        self.sockets[number].open = False
        self.send(ConnectionClosed(number))

    @rule(wait_s=st.sampled_from([0, 0, 0.1, 0.1, 0.5, 2, 11, 31]))
    def tick(self, wait_s: float) -> None:
        """Time passes; deadlines and idle time-outs expire."""
        self.now_s += wait_s
        self.send(Tick())
        self.send(Tick(), host=True)

    @precondition(lambda machine: len(machine.names) > 1)
    @rule(grace_s=st.sampled_from([0, 10]))
    def drain(self, grace_s: float) -> None:
        """The endpoint is drained, or returns if it is draining."""
        if self.host['draining']:
            self.send(ReturnEndpoint(ENDPOINT), host=True)
            return
        self.send(DrainTransactions(ENDPOINT, grace_s), host=True)

    @invariant()
    def check_limit(self) -> None:
        """Guards against more connections than the limit minus 2."""
        alive = [socket for socket in self.sockets.values() if socket.open]
        assert len(alive) <= 3
        assert len(self.pool['connections']) <= 3

    @invariant()
    def check_single_holder(self) -> None:
        """Guards against two holders of one connection (R3)."""
        held = [entry['connection'] for entry in self.host['open'].values()]
        assert len(held) == len(set(held))
        for entry in self.host['open'].values():
            connection = self.pool['connections'][entry['connection']]
            assert connection['holder'] == entry['holder']
        held_by = {entry['holder'] for entry in self.host['open'].values()}
        for connection in self.pool['connections'].values():
            if connection['holder'].startswith('tx'):
                assert connection['holder'] in held_by | set(self.lent)


PoolMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
)
TestPool = PoolMachine.TestCase
