"""Statements at a host that shuts down: each is answered before the host ends."""

import functools
from typing import Any, NamedTuple

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarspoke import session_host
from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    CloseConnection,
    CommitTransaction,
    EndSession,
    OpenConnection,
    ReadItem,
    RefuseSession,
    RollBackTransaction,
    SendAnswer,
    SessionOpened,
    SessionPhase,
    SessionStarted,
    ShutDown,
    StartSession,
    WriteItem,
)
from poplarspoke.relay.messages import Forward
from tests.gateway_simulation import ZoneSimulation
from tests.relay_simulation import (
    KEY,
    PRIMARY,
    RelaySimulation,
    create_rules,
    find_messages,
)
from tests.test_session_host import Site, run_steps

GRACE_S = 6.0
TICK_S = 0.025
# A host answers by then: its process ends, and the platform kills it soon after.
LAST_ANSWER_S = GRACE_S - session_host.EXIT_MARGIN_S
TIMEOUTS_S = (0.8, 1.5, 3, 9)
PROMISES = frozenset((AnswerCode.BUSY, AnswerCode.ABORTED))
KINDS = {
    'BEGIN': BeginTransaction,
    'READ': ReadItem,
    'WRITE': WriteItem,
    'COMMIT': CommitTransaction,
    'ROLLBACK': RollBackTransaction,
}


class Step(NamedTuple):
    """A statement of a caller, sent after the answer to the one before.

    Attributes:
        kind: Its verb.
        pause_s: Time between that answer and the statement.
        work_s: Time that the endpoint takes.
    """

    kind: str
    pause_s: float
    work_s: float


class Script(NamedTuple):
    """What one caller sends.

    Attributes:
        timeout_s: Timeout of the route.
        sent_ahead: Statements that are sent without waiting for answers.
    """

    timeout_s: float
    sent_ahead: int
    steps: tuple[Step, ...]


STEPS = st.builds(
    Step,
    st.sampled_from(tuple(KINDS)),
    st.sampled_from((0, 0, 0.05, 0.3, 1.0)),
    st.sampled_from((0.005, 0.15, 0.15, 0.5, 2.0, 20.0)),
)
SCRIPTS = st.builds(
    Script,
    st.sampled_from(TIMEOUTS_S),
    st.integers(1, 3),
    st.lists(STEPS, min_size=4, max_size=24).map(tuple),
)


def create_simulation(timeout_s: float) -> RelaySimulation:
    """Returns a relay whose routes have a timeout."""
    simulation = RelaySimulation()
    rules = create_rules(2)
    routes = [
        route._replace(statement_timeout_s=timeout_s) for route in rules.routes
    ]
    simulation.post(rules._replace(routes=tuple(routes)))
    simulation.start_session(1, 'primary')
    return simulation


def create_statement(kind: str, number: int) -> Any:
    """Returns a statement of the session."""
    if kind in {'READ', 'WRITE'}:
        return KINDS[kind](1, f'r{number}', f'{kind} 1 x')
    return KINDS[kind](1, f'r{number}')


class Run:
    """A host that has just got its SIGTERM, with one caller."""

    def __init__(self, script: Script) -> None:
        """Begins the shutdown."""
        self.simulation = create_simulation(script.timeout_s)
        self.script = script
        self.sent: list[tuple[float, Any]] = []
        self.answers: list[SendAnswer] = []
        self.forwarded: set[str] = set()
        self.is_closed = False
        self._running: list[tuple[float, Forward]] = []
        self._next_s = self.simulation.now_s
        self.began_s = self.simulation.now_s
        self.handle(self.simulation.post(ShutDown(GRACE_S)))

    @property
    def elapsed_s(self) -> float:
        """Time in seconds since the SIGTERM."""
        return self.simulation.now_s - self.began_s

    def advance(self) -> None:
        """Plays one tick: the caller, the endpoint and the clock."""
        self.simulation.grant_lease(PRIMARY)
        for _ in range(self.script.sent_ahead):
            if self._may_send():
                self._send()
        now_s = self.simulation.now_s
        for due in list(self._running):
            if due[0] <= now_s:
                self._running.remove(due)
                phase = self._find_phase(due[1].statement)
                self.handle(self.simulation.reply(due[1], phase=phase))
        self.handle(self.simulation.advance(TICK_S / 2))

    def handle(self, outgoing: list[Any]) -> None:
        """Carries out what the relay returns."""
        for message in outgoing:
            if isinstance(message, OpenConnection):
                self.handle(self.simulation.connect([message]))
            if isinstance(message, CloseConnection):
                self._running = [
                    due
                    for due in self._running
                    if due[1].connection != message.connection
                ]
            if isinstance(message, Forward):
                self._receive(message)
            if isinstance(message, SendAnswer):
                self.answers.append(message)
                pause_s = self._find_step(len(self.answers)).pause_s
                self._next_s = self.simulation.now_s + pause_s
            if isinstance(message, EndSession):
                self.is_closed = True

    def _may_send(self) -> bool:
        ahead = len(self.sent) - len(self.answers)
        if self.is_closed or ahead >= self.script.sent_ahead:
            return False
        if self.elapsed_s > LAST_ANSWER_S - 0.1:
            return False
        return ahead > 0 or self.simulation.now_s >= self._next_s

    def _send(self) -> None:
        step = self._find_step(len(self.sent))
        statement = create_statement(step.kind, len(self.sent))
        self.sent.append((self.elapsed_s, statement))
        self.handle(self.simulation.post(statement))

    def _find_step(self, number: int) -> Step:
        return self.script.steps[number % len(self.script.steps)]

    def _receive(self, forward: Forward) -> None:
        """The endpoint begins to run a statement."""
        request = forward.statement.request_id
        work_s = 0.005
        if request != '-':
            self.forwarded.add(request)
            work_s = self._find_step(int(request[1:])).work_s
        self._running.append((self.simulation.now_s + work_s, forward))

    def _find_phase(self, statement: Any) -> SessionPhase:
        if isinstance(statement, BeginTransaction):
            return SessionPhase.OPEN
        if isinstance(statement, CommitTransaction | RollBackTransaction):
            return SessionPhase.IDLE
        session = self.simulation.state['sessions'].get(1)
        is_open = session is not None and session['connection']
        return SessionPhase.OPEN if is_open else SessionPhase.IDLE


# Guards against statements that were read and never answered, and against promises
# that nothing ran where it did, until the process has ended.
@settings(max_examples=300)
@given(SCRIPTS)
def test_statements_are_answered_before_the_host_ends(script: Script) -> None:
    """Statements of any length arrive at any time, with and without pauses."""
    run = Run(script)
    while run.elapsed_s < LAST_ANSWER_S:
        run.advance()
    assert len(run.answers) == len(run.sent), run.sent[len(run.answers) :]
    for (_sent_s, statement), answer in zip(run.sent, run.answers, strict=True):
        if isinstance(statement, WriteItem) and answer.code is AnswerCode.BUSY:
            assert statement.request_id not in run.forwarded


# Guards against refusals of what can end before the process does.
@pytest.mark.parametrize('timeout_s', TIMEOUTS_S)
@pytest.mark.parametrize('sent_s', [0.1, 2.9, 3.5, 3.7, 4.4, 5.0])
def test_statement_is_accepted_if_it_ends_in_time(
    timeout_s: float, sent_s: float
) -> None:
    """It counts whether the timeout of the route ends before the host."""
    simulation = create_simulation(timeout_s)
    simulation.post(ShutDown(GRACE_S))
    simulation.now_s += sent_s
    simulation.grant_lease(PRIMARY)
    outgoing = simulation.send_write(1)
    forwards = find_messages(
        [*outgoing, *simulation.connect(outgoing)], Forward
    )
    # The last 0.7 s are kept for the answer and the end of the process.
    left_s = GRACE_S - sent_s
    assert bool(forwards) is (left_s >= GRACE_S / 2 or left_s > timeout_s + 0.7)
    if not forwards:
        assert simulation.get_answer(outgoing).code is AnswerCode.BUSY


# Guards against a write that takes effect after its connection was closed without
# an answer.
def test_write_that_runs_until_the_end_is_answered() -> None:
    """It was sent in the first half and has a long timeout."""
    simulation = create_simulation(9)
    simulation.post(ShutDown(GRACE_S))
    simulation.now_s += 1
    simulation.get_forward(simulation.send_write(1))
    outgoing = simulation.advance(LAST_ANSWER_S - 1)
    assert simulation.get_answer(outgoing).code is AnswerCode.UNKNOWN_OUTCOME


# Guards against the same for statements that were under way at the SIGTERM.
def test_statement_from_before_the_shutdown_is_answered() -> None:
    """Its deadline was set before the end of the host was known."""
    simulation = create_simulation(9)
    simulation.get_forward(simulation.send_read(1))
    simulation.post(ShutDown(GRACE_S))
    outgoing = simulation.advance(LAST_ANSWER_S)
    assert simulation.get_answer(outgoing).code is AnswerCode.TIMEOUT


def begin(simulation: RelaySimulation) -> list[Any]:
    """Begins a transaction."""
    return simulation.post(BeginTransaction(1, 'b1'))


# Guards against transactions that begin when they cannot end any more.
@pytest.mark.parametrize(('sent_s', 'is_accepted'), [(2.9, True), (3.1, False)])
def test_transactions_begin_in_the_first_half_only(
    sent_s: float, is_accepted: bool
) -> None:
    """Single statements are accepted for longer."""
    simulation = create_simulation(0.8)
    simulation.post(ShutDown(GRACE_S))
    simulation.now_s += sent_s
    simulation.grant_lease(PRIMARY)
    outgoing = begin(simulation)
    assert bool(find_messages(outgoing, OpenConnection)) is is_accepted
    if not is_accepted:
        assert simulation.get_answer(outgoing).code is AnswerCode.BUSY


# Guards against transactions without pauses, which went on until the process ended.
@pytest.mark.parametrize('statement', ['WRITE', 'COMMIT'])
def test_transaction_is_rolled_back_when_it_cannot_go_on(
    statement: str,
) -> None:
    """The answer is true: the endpoint's transaction ends with its connection."""
    simulation = create_simulation(1.5)
    simulation.post(ShutDown(GRACE_S))
    simulation.now_s += 2.5
    simulation.grant_lease(PRIMARY)
    forward = simulation.get_forward(begin(simulation))
    simulation.reply(forward, phase=SessionPhase.OPEN)
    for number in range(5):
        simulation.now_s += 0.24
        read = simulation.post(create_statement('READ', number))
        simulation.reply(simulation.get_forward(read), phase=SessionPhase.OPEN)
    simulation.now_s += 0.24
    outgoing = simulation.post(create_statement(statement, 9))
    assert simulation.get_answer(outgoing).code is AnswerCode.ABORTED
    assert CloseConnection(forward.connection) in outgoing
    assert not find_messages(outgoing, Forward)


# Guards against a commit that is refused although it can end.
def test_transaction_may_commit_after_the_first_half() -> None:
    """Its timeout ends before the host does."""
    simulation = create_simulation(0.8)
    simulation.post(ShutDown(GRACE_S))
    simulation.now_s += 2.9
    simulation.grant_lease(PRIMARY)
    forward = simulation.get_forward(begin(simulation))
    simulation.reply(forward, phase=SessionPhase.OPEN)
    outgoing = simulation.advance(0.2)
    commit = simulation.get_forward(
        [*outgoing, *simulation.post(create_statement('COMMIT', 1))]
    )
    answer = simulation.get_answer(simulation.reply(commit))
    assert answer.code is AnswerCode.DONE


# Guards against a transaction whose caller pauses while the host ends.
def test_idle_transaction_is_rolled_back_after_the_first_half() -> None:
    """Its next statement is answered at once."""
    simulation = create_simulation(0.8)
    forward = simulation.get_forward(begin(simulation))
    simulation.reply(forward, phase=SessionPhase.OPEN)
    simulation.post(ShutDown(GRACE_S))
    assert not find_messages(simulation.advance(2.9), CloseConnection)
    outgoing = simulation.advance(0.5)
    assert CloseConnection(forward.connection) in outgoing
    outgoing = simulation.post(create_statement('READ', 1))
    assert simulation.get_answer(outgoing).code is AnswerCode.ABORTED


# Guards against sessions that start where nothing can be served any more.
@pytest.mark.parametrize(
    ('started_s', 'expected'), [(3.5, SessionStarted), (5.0, RefuseSession)]
)
def test_session_starts_if_a_statement_would_be_accepted(
    started_s: float, expected: type
) -> None:
    """Its caller can use another host at once."""
    simulation = create_simulation(0.8)
    simulation.post(ShutDown(GRACE_S))
    simulation.now_s += started_s
    simulation.post(SessionOpened(2))
    outgoing = simulation.post(StartSession(2, 'primary', KEY))
    assert isinstance(outgoing[0], expected)


# Guards against callers of other hosts whose statement ends with the gateway.
def test_gateway_answers_the_statements_of_other_hosts() -> None:
    """The write runs longer than the gateway does."""
    zone = ZoneSimulation()
    host = zone.find_other()
    zone.start_session(host, 1, 'primary')
    zone.post(host, create_statement('WRITE', 1))
    gateway, _forward = zone.find_forward()
    state = zone.get_state(gateway)
    for name in (host, gateway):
        for operation in zone.get_state(name)['operations'].values():
            operation['deadline_s'] = zone.now_s + 9
    zone.post(gateway, ShutDown(GRACE_S))
    zone.advance(LAST_ANSWER_S)
    assert not state['operations']
    assert zone.take_answer(host).code is AnswerCode.UNKNOWN_OUTCOME


# Guards against answers that are discarded with the connection of a slow reader,
# and against statements sent ahead that are read and not answered.
def test_host_delivers_answers_before_it_ends() -> None:
    """The caller reads only when the host has nothing else left to do."""

    async def steps(site: Site) -> None:
        site.service.log['items']['1'] = 'x' * 500_000
        caller = await site.connect()
        await caller.start('primary')
        async with anyio.create_task_group() as group:
            ended = anyio.Event()
            group.start_soon(functools.partial(shut_down, site, ended))
            for number in range(20):
                await caller.send(f'QUERY r{number} READ 1')
            await anyio.sleep(session_host.MIN_SHUTDOWN_S + 0.5)
            assert not ended.is_set()
            for _ in range(20):
                lines = await caller.read()
                assert lines[-1].startswith('READY'), lines
            await ended.wait()

    run_steps(1, steps)


async def shut_down(site: Site, ended: anyio.Event) -> None:
    """Shuts the first host down."""
    await site.hosts[0].shut_down()
    ended.set()
