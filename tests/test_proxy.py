"""Guards the path of a request: key, rate, plan, attempts and answer."""

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
from poplarspoke.tasks import Mesh, Outgoing, Reply, Task

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
    """Runs the tests on the back end that the daemons use."""
    return 'asyncio'


class Host:
    """A host whose tasks answer by its attributes."""

    def __init__(self) -> None:
        """Accepts every key and request; its endpoint answers at once."""
        self.seen: list[str] = []
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
        """Answers for the keys, the rates and the dispatcher."""
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
        self.seen.append(type(message).__name__)
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


class Stage:
    """A proxy with its host."""

    def __init__(self, host: Host, request_proxy: proxy.Proxy) -> None:
        """Keeps both."""
        self.host = host
        self._proxy = request_proxy

    async def ask(self, **changes: Any) -> CallerAnswer:
        """Returns the answer to the request, with changes."""
        with anyio.fail_after(REQUEST.budget_s):
            return await self._proxy.handle(REQUEST._replace(**changes))


@pytest.fixture
async def stage(anyio_backend: str) -> AsyncIterator[Stage]:
    """A proxy whose tasks run."""
    host = Host()
    mesh = Mesh(
        send_to_host=_drop,
        send_to_store=_drop,
        now_s=host_clock,
    )
    request_proxy = proxy.Proxy(
        proxy.Identity('h1', 'z1', SECRETS),
        mesh,
        host.run_statement,
        host_clock,
        random.Random(1),
    )
    async with anyio.create_task_group() as group:
        for name in ('keys', 'rates', 'dispatch'):
            mesh.start(Task(name, host.decide, {}, tick_s=60), group)
        yield Stage(host, request_proxy)
        group.cancel_scope.cancel()
    for task in mesh.tasks.values():
        task.__exit__()


def host_clock() -> float:
    """Returns the time of a clock that stands still."""
    return 0


def _drop(target: str, message: Any) -> None:
    """Drops a message; nothing leaves the test."""


def lose() -> StatementResult:
    """Returns a result that was lost on its way."""
    return StatementResult(request_id='r1', refused=True, refusal=LOST)


def refuse() -> StatementResult:
    """Returns a result of a member that is no primary any more."""
    return StatementResult(request_id='r1', refused=True, refusal=MOVED)


async def test_key_and_rate_come_before_the_statement(stage: Stage) -> None:
    """A statement that runs before its key is checked breaks R4."""
    answer = await stage.ask()
    assert not answer.refused
    assert stage.host.seen == ['CheckKey', 'AdmitRequest', 'PlanStatement']


async def test_refused_key_runs_nothing(stage: Stage) -> None:
    """A request without a valid key must not spend the rate either (R4)."""
    stage.host.key_refusal = KeyRefused(reason='revoked')
    answer = await stage.ask()
    assert answer.refusal.code is ErrorCode.KEY_REFUSED
    stage.host.key_refusal = KeyRefused(reason='stale', status_unknown=True)
    answer = await stage.ask()
    assert answer.refusal.code is ErrorCode.KEY_STATUS_UNKNOWN
    assert not stage.host.statements
    assert set(stage.host.seen) == {'CheckKey'}


async def test_request_over_rate_runs_nothing(stage: Stage) -> None:
    """A request over the rate must say when to come back (R7)."""
    stage.host.admits = False
    answer = await stage.ask()
    assert answer.refusal.code is ErrorCode.RATE_EXCEEDED
    assert answer.refusal.retry_after_s == 3
    assert not stage.host.statements


async def test_statement_has_no_key(stage: Stage) -> None:
    """A key inside of a statement would reach an endpoint (R5)."""
    await stage.ask()
    assert KEY not in repr(stage.host.statements)
    assert stage.host.owners == ['h2']


async def test_answer_carries_position_of_write(stage: Stage) -> None:
    """A session without the position of its write breaks R1."""
    answer = await stage.ask()
    session = tokens.verify(answer.session_token, 'w1', SECRETS)
    assert session.positions == (DatabasePosition('db', Position(2, 9)),)


async def test_token_of_other_workspace_runs_nothing(stage: Stage) -> None:
    """A session token is bound to its workspace."""
    foreign = Session((DatabasePosition('db', Position(2, 9)),))
    token = tokens.sign(foreign, 'w2', SECRETS)
    answer = await stage.ask(session_token=token)
    assert answer.refusal.code is ErrorCode.TOKEN_REFUSED
    assert not stage.host.statements


async def test_recorded_write_repeats_with_its_id(stage: Stage) -> None:
    """A repeat with another id would run the write twice."""
    stage.host.results = [lose(), refuse()]
    answer = await stage.ask()
    assert not answer.refused
    ids = [statement.request_id for statement in stage.host.statements]
    assert ids == ['r1', 'r1', 'r1']


async def test_lost_write_is_never_repeated(stage: Stage) -> None:
    """A write that may not be repeated runs at most once (R11)."""
    statement = stage.host.plan.statement._replace(repeat=Repeat.NEVER)
    stage.host.plan = stage.host.plan._replace(statement=statement)
    stage.host.results = [lose()]
    answer = await stage.ask()
    assert answer.refusal.outcome is Outcome.UNKNOWN
    assert len(stage.host.statements) == 1
    session = tokens.verify(answer.session_token, 'w1', SECRETS)
    assert session.positions[0].position.term == 2


async def test_refused_write_is_sent_again(stage: Stage) -> None:
    """A change of the primary must not reach callers as an error."""
    statement = stage.host.plan.statement._replace(repeat=Repeat.NEVER)
    stage.host.plan = stage.host.plan._replace(statement=statement)
    stage.host.results = [refuse()]
    assert not (await stage.ask()).refused
    assert len(stage.host.statements) == 2


async def test_stale_answer_is_not_returned(stage: Stage) -> None:
    """A replica that fell behind meanwhile must not answer (R1)."""
    statement = stage.host.plan.statement._replace(
        write=False,
        repeat=Repeat.SAFE,
        minimum=Position(2, 8),
        replica=True,
        max_age_s=2,
    )
    stage.host.plan = stage.host.plan._replace(statement=statement)
    stage.host.results = [
        StatementResult(
            request_id='r1',
            position=Position(2, 7),
            replica=True,
            rows='[]',
        ),
    ]
    answer = await stage.ask()
    assert not answer.refused
    assert len(stage.host.statements) == 2


async def test_transaction_goes_to_its_host(stage: Stage) -> None:
    """A transaction has one owner, which its id names (R3)."""
    answer = await stage.ask(
        step=TransactionStep.INSIDE,
        transaction='h3~1~1',
    )
    assert not answer.refused
    assert stage.host.owners == ['h3']
    assert 'CheckKey' in stage.host.seen
    answer = await stage.ask(step=TransactionStep.COMMIT, transaction='x')
    assert answer.refusal.code is ErrorCode.TRANSACTION_ENDED


async def test_lost_commit_marks_the_session(stage: Stage) -> None:
    """After a commit that may have landed a read must see it (R1)."""
    lost = lose()._replace(database='db', position=Position(2, 0))
    stage.host.results = [lost]
    answer = await stage.ask(
        step=TransactionStep.COMMIT,
        transaction='h3~1~1',
    )
    assert answer.refusal.outcome is Outcome.UNKNOWN
    session = tokens.verify(answer.session_token, 'w1', SECRETS)
    assert session.positions[0].position.term == 2


async def test_error_of_the_owner_is_an_answer(stage: Stage) -> None:
    """An exception would close the caller's connection without an answer."""

    async def fail(owner: str, statement: Statement) -> StatementResult:
        raise web.AnswerLostError('lost')

    stage._proxy._run_statement = fail
    answer = await stage.ask()
    assert answer.refusal.outcome is Outcome.UNKNOWN
