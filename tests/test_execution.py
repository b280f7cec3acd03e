"""Guards what the owner of an endpoint says about a statement's outcome."""

from collections.abc import Callable
from typing import Any, NamedTuple, cast

import pytest

from poplarspoke import errors, execution, web
from poplarspoke.generated.acknowledgements import (
    AwaitMajority,
    MajorityMissed,
    MajorityReached,
)
from poplarspoke.generated.common import ErrorCode, Outcome, Position
from poplarspoke.generated.connections import (
    Acquire,
    ConnectionLent,
    ConnectionRefused,
    EndExchange,
    ExchangeEnded,
)
from poplarspoke.generated.members import MemberAnswer
from poplarspoke.generated.queues import Enqueue, SlotGranted
from poplarspoke.generated.requests import Repeat, Statement, StatementResult
from poplarspoke.sockets import EndpointSockets
from poplarspoke.tasks import Task

pytestmark = pytest.mark.anyio
POSITION = Position(3, 7)
WRITE = Statement(
    request_id='r1',
    workspace='w1',
    endpoint='m1',
    write=True,
    confirm=True,
    repeat=Repeat.RECORDED,
    term=3,
    budget_s=1,
)


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the back end that the daemons use."""
    return 'asyncio'


def read_clock() -> float:
    """Returns the time of a clock that stands still."""
    return 0


@pytest.mark.parametrize(
    ('repeat', 'limit_s'),
    [(Repeat.SAFE, 2), (Repeat.RECORDED, 2), (Repeat.NEVER, 6)],
)
def test_silent_connection_leaves_time_to_repeat(
    repeat: Repeat,
    limit_s: float,
) -> None:
    """One silent connection must not use up the caller's whole deadline."""
    statement = WRITE._replace(repeat=repeat)
    limited_s = execution.limit_exchange(statement, 6)
    assert limited_s == pytest.approx(limit_s, abs=0.1)


class FakeTask:
    """Answers each type of message by a rule; one without rule is late."""

    def __init__(self, *rules: Any) -> None:
        """Takes pairs of a message type and what answers it."""
        self.rules: dict[type[Any], Callable[[Any], Any]] = dict(rules)
        self.posted: list[Any] = []

    def post(self, message: Any) -> bool:
        """Keeps a message."""
        self.posted.append(message)
        return True

    async def ask(self, message: Any, *, timeout_s: float) -> Any:
        """Returns the answer of the rule."""
        rule = self.rules.get(type(message))
        if rule is None:
            raise errors.RefusedError(
                errors.refuse(ErrorCode.DEADLINE_EXCEEDED, 'no answer'),
            )
        return rule(message)


class FakeSockets:
    """Answers each exchange, or raises."""

    def __init__(self) -> None:
        """Answers with an empty success."""
        self.sent: list[Any] = []
        self.answer = MemberAnswer(request_id='r1', position=POSITION)
        self.error: Exception | None = None

    async def exchange(self, number: int, message: Any, **_: float) -> Any:
        """Returns the answer to a message."""
        self.sent.append(message)
        if self.error:
            raise self.error
        return self.answer


class Unit(NamedTuple):
    """An endpoint of fakes and the executor on it."""

    queue: FakeTask
    pool: FakeTask
    sockets: FakeSockets
    majority: FakeTask
    executor: execution.Executor


def accept(message: EndExchange) -> ExchangeEnded:
    """Returns what the pool says of an answer that echoes its request."""
    same = message.request_id == message.echoed_id
    return ExchangeEnded(message.request_id, accepted=same)


@pytest.fixture
def unit() -> Unit:
    """An endpoint on which everything goes well."""
    queue = FakeTask((Enqueue, lambda sent: SlotGranted(sent.request_id)))
    pool = FakeTask(
        (Acquire, lambda sent: ConnectionLent(sent.request_id, 1)),
        (EndExchange, accept),
    )
    majority = FakeTask(
        (AwaitMajority, lambda sent: MajorityReached(sent.request_id)),
    )
    sockets = FakeSockets()
    endpoint = execution.EndpointUnit(
        'm1',
        'db',
        cast(Task, queue),
        cast(Task, pool),
        cast(EndpointSockets, sockets),
        cast(Task, majority),
    )

    async def find_unit(name: str) -> execution.EndpointUnit | None:
        return endpoint if name == 'm1' else None

    executor = execution.Executor('h1', find_unit, read_clock)
    return Unit(queue, pool, sockets, majority, executor)


async def run(unit: Unit, **changes: Any) -> StatementResult:
    """Runs the write, with changes."""
    return await unit.executor.run(WRITE._replace(**changes))


async def test_write_is_acknowledged_after_majority(unit: Unit) -> None:
    """An acknowledgement without a majority could be lost (R2)."""
    assert not (await run(unit)).refused
    unit.majority.rules[AwaitMajority] = lambda sent: MajorityMissed(
        sent.request_id,
    )
    missed = await run(unit)
    assert missed.refusal.outcome is Outcome.UNKNOWN


async def test_late_majority_is_unknown(unit: Unit) -> None:
    """A write that ran must not be told as not run (R10)."""
    unit.majority.rules.clear()
    late = await run(unit)
    assert late.refused
    assert late.refusal.outcome is Outcome.UNKNOWN


async def test_unknown_write_names_database_and_term(unit: Unit) -> None:
    """The host of a commit knows them from this result only (R1)."""
    unit.sockets.error = web.AnswerLostError('lost')
    lost = await run(unit, database='db')
    assert lost.database == 'db'
    assert lost.position == Position(WRITE.term, 0)


async def test_late_pool_after_answer_is_unknown(unit: Unit) -> None:
    """A pool that stopped meanwhile says nothing about the write (R10)."""
    unit.pool.rules.pop(EndExchange)
    late = await run(unit)
    assert late.refused
    assert late.refusal.outcome is Outcome.UNKNOWN


async def test_lost_answer_is_unknown(unit: Unit) -> None:
    """A lost answer says nothing about the write (R10)."""
    unit.sockets.error = web.AnswerLostError('lost')
    assert (await run(unit)).refusal.outcome is Outcome.UNKNOWN


async def test_answer_to_another_request_is_lost(unit: Unit) -> None:
    """A late answer must not reach the next caller (R9)."""
    unit.sockets.answer = MemberAnswer(request_id='r0', rows='[1]')
    mixed = await run(unit)
    assert mixed.refusal.outcome is Outcome.UNKNOWN
    assert not mixed.rows


async def test_refused_before_sending_is_not_run(unit: Unit) -> None:
    """A statement without slot or connection has not run (R10)."""
    unit.pool.rules[Acquire] = lambda sent: ConnectionRefused(
        sent.request_id,
        errors.refuse(ErrorCode.OVERLOADED, 'no connection'),
    )
    refused = await run(unit)
    assert refused.refusal.outcome is Outcome.NOT_RUN
    unit.queue.rules.clear()
    refused = await run(unit)
    assert refused.refusal.outcome is Outcome.NOT_RUN
    assert not unit.sockets.sent


async def test_slot_and_connection_are_given_back(unit: Unit) -> None:
    """A slot that a lost answer keeps would starve the endpoint."""
    unit.sockets.error = web.AnswerLostError('lost')
    await run(unit)
    assert [type(sent).__name__ for sent in unit.queue.posted] == ['Finish']
    assert [type(sent).__name__ for sent in unit.pool.posted] == [
        'StartExchange',
        'Release',
    ]


async def test_unknown_endpoint_is_not_run(unit: Unit) -> None:
    """A host with older settings must say so instead of failing."""
    refused = await run(unit, endpoint='m9')
    assert refused.refusal.code is ErrorCode.NO_ENDPOINT


async def test_only_repeatable_writes_are_recorded(unit: Unit) -> None:
    """A write without its request id could run twice (R11)."""
    for repeat in Repeat:
        await run(unit, repeat=repeat)
    recorded = [sent.record for sent in unit.sockets.sent]
    assert recorded == [repeat is not Repeat.SAFE for repeat in Repeat]


async def test_read_carries_no_term(unit: Unit) -> None:
    """A replica refuses a statement that names a term."""
    await run(unit, write=False, confirm=False, repeat=Repeat.SAFE)
    assert unit.sockets.sent[0].term == 0
