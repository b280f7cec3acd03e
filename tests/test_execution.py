"""Guards against wrong outcomes reported by the owner of an endpoint."""

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
    """Runs the tests on the event loop that the daemons use."""
    return 'asyncio'


def read_clock() -> float:
    """Returns the time of a stopped clock."""
    return 0


@pytest.mark.parametrize(
    ('repeat', 'timeout_s'),
    [(Repeat.SAFE, 2), (Repeat.RECORDED, 2), (Repeat.NEVER, 6)],
)
def test_unresponsive_connection_leaves_time_to_retry(
    repeat: Repeat,
    timeout_s: float,
) -> None:
    """Guards against one connection that uses up the caller's deadline."""
    statement = WRITE._replace(repeat=repeat)
    found_s = execution.find_exchange_timeout(statement, 6)
    assert found_s == pytest.approx(timeout_s, abs=0.1)


class FakeTask:
    """Answers messages by rules for their types; times out without a rule."""

    def __init__(self, *rules: Any) -> None:
        """Takes pairs of a message type and the function that answers it."""
        self.rules: dict[type[Any], Callable[[Any], Any]] = dict(rules)
        self.posted: list[Any] = []

    def post(self, message: Any) -> bool:
        """Records a message."""
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
    """Answers each exchange or raises an error."""

    def __init__(self) -> None:
        """Prepares an answer without rows."""
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
    """The fake tasks of an endpoint and the executor that uses them."""

    queue: FakeTask
    pool: FakeTask
    sockets: FakeSockets
    majority: FakeTask
    executor: execution.Executor


def accept(message: EndExchange) -> ExchangeEnded:
    """Returns the pool's reply: accepted if the answer echoes its request."""
    same = message.request_id == message.echoed_id
    return ExchangeEnded(message.request_id, accepted=same)


@pytest.fixture
def unit() -> Unit:
    """An endpoint that answers every message with success."""
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
    """Runs the write with some fields changed."""
    return await unit.executor.run(WRITE._replace(**changes))


async def test_write_is_acknowledged_after_majority(unit: Unit) -> None:
    """Guards against acknowledged writes that no majority confirmed (R2)."""
    assert not (await run(unit)).refused
    unit.majority.rules[AwaitMajority] = lambda sent: MajorityMissed(
        sent.request_id,
    )
    missed = await run(unit)
    assert missed.refusal.outcome is Outcome.UNKNOWN


async def test_majority_timeout_is_unknown(unit: Unit) -> None:
    """Guards against "not run" for a write that was executed (R10)."""
    unit.majority.rules.clear()
    late = await run(unit)
    assert late.refused
    assert late.refusal.outcome is Outcome.UNKNOWN


async def test_unknown_write_names_database_and_term(unit: Unit) -> None:
    """Guards against an unknown write that the session does not record (R1).

    The entry host of a commit knows database and term from this result only.
    """
    unit.sockets.error = web.AnswerLostError('lost')
    lost = await run(unit, database='db')
    assert lost.database == 'db'
    assert lost.position == Position(WRITE.term, 0)


async def test_pool_timeout_after_answer_is_unknown(unit: Unit) -> None:
    """Guards against "not run" if the pool stops after the answer (R10)."""
    unit.pool.rules.pop(EndExchange)
    late = await run(unit)
    assert late.refused
    assert late.refusal.outcome is Outcome.UNKNOWN


async def test_lost_answer_is_unknown(unit: Unit) -> None:
    """Guards against "not run" for a write whose answer was lost (R10)."""
    unit.sockets.error = web.AnswerLostError('lost')
    assert (await run(unit)).refusal.outcome is Outcome.UNKNOWN


async def test_answer_to_another_request_is_lost(unit: Unit) -> None:
    """Guards against a late answer that reaches another caller (R9)."""
    unit.sockets.answer = MemberAnswer(request_id='r0', rows='[1]')
    mixed = await run(unit)
    assert mixed.refusal.outcome is Outcome.UNKNOWN
    assert not mixed.rows


async def test_refused_before_sending_is_not_run(unit: Unit) -> None:
    """Guards against "unknown" without a slot or a connection (R10)."""
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


async def test_slot_and_connection_are_released(unit: Unit) -> None:
    """Guards against leaked slots, which would starve the endpoint."""
    unit.sockets.error = web.AnswerLostError('lost')
    await run(unit)
    assert [type(sent).__name__ for sent in unit.queue.posted] == ['Finish']
    assert [type(sent).__name__ for sent in unit.pool.posted] == [
        'StartExchange',
        'Release',
    ]


async def test_unknown_endpoint_is_not_run(unit: Unit) -> None:
    """Guards against a crash on a host whose settings lack the endpoint."""
    refused = await run(unit, endpoint='m9')
    assert refused.refusal.code is ErrorCode.NO_ENDPOINT


async def test_only_repeatable_writes_are_recorded(unit: Unit) -> None:
    """Guards against repeating a write that was not recorded (R11)."""
    for repeat in Repeat:
        await run(unit, repeat=repeat)
    recorded = [sent.record for sent in unit.sockets.sent]
    assert recorded == [repeat is not Repeat.SAFE for repeat in Repeat]


async def test_read_carries_no_term(unit: Unit) -> None:
    """Guards against reads that name a term, which replicas refuse."""
    await run(unit, write=False, confirm=False, repeat=Repeat.SAFE)
    assert unit.sockets.sent[0].term == 0
