"""Guards the request path: key, rate, plan, attempts and answer."""

import random
from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from poplarspoke import errors, proxy, tokens, web
from poplarspoke.generated.common import (
    DatabasePosition,
    ErrorCode,
    Outcome,
    Position,
)
from poplarspoke.generated.dispatch import PlanStatement, StatementPlan
from poplarspoke.generated.keys import CheckKey, KeyAccepted, KeyRefused
from poplarspoke.generated.rates import AdmitRequest, Admitted, RateRefused
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    Repeat,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.routing import RouteChoice
from poplarspoke.generated.sessions import Session
from poplarspoke.tasks import MessageBus, Outgoing, Reply, Task

pytestmark = pytest.mark.anyio
SECRETS = ('session-secret-0',)
KEY = 'pk_k1_secret'
REQUEST = CallerRequest(
    request_id='r1',
    key=KEY,
    workspace='w1',
    route='release',
    text='ADD a 1',
    budget_s=5,
)
LOST = errors.refuse(ErrorCode.OUTCOME_UNKNOWN, 'the link broke')
MOVED = errors.refuse(ErrorCode.NOT_PRIMARY, 'the primary has changed')


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the event loop that the daemons use."""
    return 'asyncio'


class StubHost:
    """Stub of the tasks and the owner, whose answers the attributes set.

    Attributes:
        handled: Names of the handled messages, in order.
        key_refusal: Refusal of every key, None to accept.
        admits: Whether requests are within the rate.
        plan: Plan for every request.
        results: Results of the next statements; a success follows the last.
        statements: Statements that were run.
        owners: Host of each statement.
    """

    def __init__(self) -> None:
        """Accepts every key and request; the endpoint answers at once."""
        self.handled: list[str] = []
        self.key_refusal: KeyRefused | None = None
        self.admits = True
        self.plan = StatementPlan(
            statement=Statement(
                workspace='w1',
                database='db',
                endpoint='m1',
                write=True,
                confirm=True,
                repeat=Repeat.RECORDED,
                term=2,
            ),
            owner='h2',
            choice=RouteChoice(endpoint='m1'),
            settings_version=7,
        )
        self.results: list[StatementResult] = []
        self.statements: list[Statement] = []
        self.owners: list[str] = []
        self.now_s: float = 0

    def decide(self, message: Any, state: Any, now_s: float) -> list[Outgoing]:
        """Answers as the tasks of the keys, the rates and the dispatcher."""
        answer: Any = None
        if isinstance(message, CheckKey):
            answer = self.key_refusal or KeyAccepted(message.request_id)
        elif isinstance(message, AdmitRequest):
            answer = RateRefused(message.request_id, retry_after_s=3)
            if self.admits:
                answer = Admitted(message.request_id)
        elif isinstance(message, PlanStatement):
            answer = self.plan
        if answer is None:
            return []
        self.handled.append(type(message).__name__)
        return [Reply(message.request_id, answer)]

    async def run_statement(
        self,
        owner: str,
        statement: Statement,
    ) -> StatementResult:
        """Returns the next result, or a success."""
        self.owners.append(owner)
        self.statements.append(statement)
        if self.results:
            return self.results.pop(0)
        return StatementResult(
            request_id=statement.request_id,
            endpoint='m1',
            position=Position(2, 9),
            database='db',
        )


class ProxyHarness:
    """A proxy with its stub host."""

    def __init__(self, host: StubHost, request_proxy: proxy.Proxy) -> None:
        """Stores the proxy and its host."""
        self.host = host
        self._proxy = request_proxy

    async def send(self, **changes: Any) -> CallerAnswer:
        """Returns the answer to the standard request with changed fields."""
        with anyio.fail_after(REQUEST.budget_s):
            return await self._proxy.handle(REQUEST._replace(**changes))


@pytest.fixture
async def harness(anyio_backend: str) -> AsyncIterator[ProxyHarness]:
    """A proxy with running tasks."""
    host = StubHost()
    bus = MessageBus(
        send_to_host=_drop,
        send_to_store=_drop,
        now_s=read_frozen_clock,
    )
    request_proxy = proxy.Proxy(
        proxy.Identity('h1', 'z1', SECRETS),
        bus,
        host.run_statement,
        read_frozen_clock,
        random.Random(1),
    )
    async with anyio.create_task_group() as group:
        for name in ('keys', 'rates', 'dispatch'):
            bus.start(Task(name, host.decide, {}, tick_s=60), group)
        yield ProxyHarness(host, request_proxy)
        group.cancel_scope.cancel()
    for task in bus.tasks.values():
        task.__exit__()


def read_frozen_clock() -> float:
    """Returns the time of a stopped clock."""
    return 0


def _drop(target: str, message: Any) -> None:
    """Discards a message to another host or to the store."""


def create_lost_result() -> StatementResult:
    """Returns the result of a statement whose answer was lost."""
    return StatementResult(request_id='r1', refused=True, refusal=LOST)


def create_refused_result() -> StatementResult:
    """Returns the refusal of a member that is no longer the primary."""
    return StatementResult(request_id='r1', refused=True, refusal=MOVED)


async def test_statement_waits_for_key_and_rate(harness: ProxyHarness) -> None:
    """A statement that runs before its key is checked breaks R4."""
    answer = await harness.send()
    assert not answer.refused
    assert harness.host.handled == ['CheckKey', 'AdmitRequest', 'PlanStatement']


async def test_refused_key_stops_the_request(harness: ProxyHarness) -> None:
    """A request without a valid key must not spend the rate either (R4)."""
    harness.host.key_refusal = KeyRefused(reason='revoked')
    answer = await harness.send()
    assert answer.refusal.code is ErrorCode.KEY_REFUSED
    harness.host.key_refusal = KeyRefused(reason='stale', status_unknown=True)
    answer = await harness.send()
    assert answer.refusal.code is ErrorCode.KEY_STATUS_UNKNOWN
    assert not harness.host.statements
    assert set(harness.host.handled) == {'CheckKey'}


async def test_request_over_rate_is_not_run(harness: ProxyHarness) -> None:
    """A refusal over the rate must say when to retry (R7)."""
    harness.host.admits = False
    answer = await harness.send()
    assert answer.refusal.code is ErrorCode.RATE_EXCEEDED
    assert answer.refusal.retry_after_s == 3
    assert not harness.host.statements


async def test_statement_has_no_key(harness: ProxyHarness) -> None:
    """A key inside a statement would reach an endpoint (R5)."""
    await harness.send()
    assert KEY not in repr(harness.host.statements)
    assert harness.host.owners == ['h2']


async def test_answer_carries_position_of_write(harness: ProxyHarness) -> None:
    """A session without the position of its write breaks R1."""
    answer = await harness.send()
    session = tokens.verify(answer.session_token, 'w1', SECRETS)
    assert session.positions == (DatabasePosition('db', Position(2, 9)),)


async def test_token_of_other_workspace_is_refused(
    harness: ProxyHarness,
) -> None:
    """A session token is valid for one workspace only."""
    foreign = Session((DatabasePosition('db', Position(2, 9)),))
    token = tokens.sign(foreign, 'w2', SECRETS)
    answer = await harness.send(session_token=token)
    assert answer.refusal.code is ErrorCode.TOKEN_REFUSED
    assert not harness.host.statements


async def test_recorded_write_keeps_its_id_in_retries(
    harness: ProxyHarness,
) -> None:
    """A retry with another id would run the write twice."""
    harness.host.results = [create_lost_result(), create_refused_result()]
    answer = await harness.send()
    assert not answer.refused
    ids = [statement.request_id for statement in harness.host.statements]
    assert ids == ['r1', 'r1', 'r1']


async def test_lost_write_is_not_retried(harness: ProxyHarness) -> None:
    """A write that may not be repeated runs at most once (R11)."""
    statement = harness.host.plan.statement._replace(repeat=Repeat.NEVER)
    harness.host.plan = harness.host.plan._replace(statement=statement)
    harness.host.results = [create_lost_result()]
    answer = await harness.send()
    assert answer.refusal.outcome is Outcome.UNKNOWN
    assert len(harness.host.statements) == 1
    session = tokens.verify(answer.session_token, 'w1', SECRETS)
    assert session.positions[0].position.term == 2


async def test_refused_write_is_retried(harness: ProxyHarness) -> None:
    """A failover must not reach callers as an error."""
    statement = harness.host.plan.statement._replace(repeat=Repeat.NEVER)
    harness.host.plan = harness.host.plan._replace(statement=statement)
    harness.host.results = [create_refused_result()]
    assert not (await harness.send()).refused
    assert len(harness.host.statements) == 2


async def test_stale_answer_is_not_returned(harness: ProxyHarness) -> None:
    """An answer that is behind the session must not reach a caller (R1)."""
    statement = harness.host.plan.statement._replace(
        write=False,
        repeat=Repeat.SAFE,
        minimum=Position(2, 8),
        replica=True,
        max_age_s=2,
    )
    harness.host.plan = harness.host.plan._replace(statement=statement)
    harness.host.results = [
        StatementResult(
            request_id='r1',
            position=Position(2, 7),
            replica=True,
            rows='[]',
        ),
    ]
    answer = await harness.send()
    assert not answer.refused
    assert len(harness.host.statements) == 2


async def test_transaction_statement_goes_to_its_host(
    harness: ProxyHarness,
) -> None:
    """A transaction has one owner, which is part of its id (R3)."""
    answer = await harness.send(
        step=TransactionStep.INSIDE,
        transaction='h3~1~1',
    )
    assert not answer.refused
    assert harness.host.owners == ['h3']
    assert 'CheckKey' in harness.host.handled
    answer = await harness.send(step=TransactionStep.COMMIT, transaction='x')
    assert answer.refusal.code is ErrorCode.TRANSACTION_ENDED


@pytest.mark.parametrize(
    'step', [TransactionStep.INSIDE, TransactionStep.COMMIT]
)
async def test_statement_of_a_transaction_needs_a_valid_key(
    harness: ProxyHarness, step: TransactionStep
) -> None:
    """Guards against a withdrawn key that works on in a transaction (R6)."""
    harness.host.key_refusal = KeyRefused('r1', reason='the key is revoked')
    answer = await harness.send(step=step, transaction='h3~1~1')
    assert answer.refusal.code is ErrorCode.KEY_REFUSED
    assert not harness.host.statements


async def test_lost_commit_marks_session_unknown(harness: ProxyHarness) -> None:
    """A read after a commit that may have run must see it (R1)."""
    lost = create_lost_result()._replace(database='db', position=Position(2, 0))
    harness.host.results = [lost]
    answer = await harness.send(
        step=TransactionStep.COMMIT,
        transaction='h3~1~1',
    )
    assert answer.refusal.outcome is Outcome.UNKNOWN
    session = tokens.verify(answer.session_token, 'w1', SECRETS)
    assert session.positions[0].position.term == 2


async def test_error_of_owner_becomes_refusal(harness: ProxyHarness) -> None:
    """An exception would close the caller's connection without an answer."""

    async def fail(owner: str, statement: Statement) -> StatementResult:
        raise web.AnswerLostError('lost')

    harness._proxy._run_statement = fail
    answer = await harness.send()
    assert answer.refusal.outcome is Outcome.UNKNOWN
