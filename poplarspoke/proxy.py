"""The story of one caller's request, from its key to its answer."""

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import anyio

from poplarspoke import courses, errors, retries, routing, tokens, transactions
from poplarspoke.courses import Course
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal
from poplarspoke.generated.dispatch import PlanStatement, StatementPlan
from poplarspoke.generated.keys import CheckKey, KeyAccepted
from poplarspoke.generated.membership import EndpointViews
from poplarspoke.generated.operators import (
    AdmissionCounted,
    ReadCounted,
    ServiceCounted,
)
from poplarspoke.generated.rates import AdmitRequest, Admitted
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.retries import Attempt
from poplarspoke.generated.routing import RouteQuery
from poplarspoke.generated.sessions import Session
from poplarspoke.tasks import Mesh

INSIDE_STEPS = frozenset(
    (
        TransactionStep.INSIDE,
        TransactionStep.COMMIT,
        TransactionStep.ROLLBACK,
    ),
)
RunStatement: TypeAlias = Callable[
    [str, Statement],
    Awaitable[StatementResult],
]


class Identity(NamedTuple):
    """What a proxy is and the secrets that sign its session tokens."""

    host: str
    zone: str
    token_secrets: tuple[str, ...]


class Proxy:
    """Handles callers' requests on one entry host."""

    def __init__(
        self,
        identity: Identity,
        mesh: Mesh,
        run_statement: RunStatement,
        now_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Takes the tasks of the daemon and what reaches the owners.

        Args:
            identity: Host, zone and token secrets.
            mesh: Tasks that decide.
            run_statement: Runs a statement on a host by name.
            now_s: Monotonic clock in seconds.
            rng: Source of the jitter.
        """
        self._identity = identity
        self._mesh = mesh
        self._run_statement = run_statement
        self._now_s = now_s
        self._rng = rng
        self._budget = retries.create_budget(now_s())
        self._numbers = itertools.count(1)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Returns the answer to a request; never raises a coded error."""
        name = f'{self._identity.host}-{next(self._numbers)}'
        course = courses.create_course(name, request, self._now_s())
        try:
            answer = await self._serve(course)
        except errors.PoplarspokeError as exc:
            refusal = courses.keep_unknown(course, errors.refuse_from(exc))
            answer = self._refuse(course, refusal)
        self._record(course, answer)
        return answer

    async def _serve(self, course: Course) -> CallerAnswer:
        await self._check_key(course)
        await self._admit(course)
        request = course['request']
        course['session'] = tokens.verify(
            request.session_token,
            request.workspace,
            self._identity.token_secrets,
        )
        if request.step in INSIDE_STEPS:
            return await self._continue_transaction(course)
        return await self._send(course)

    async def _send(self, course: Course) -> CallerAnswer:
        """Sends the statement until it succeeds or must not be repeated."""
        self._budget = retries.count_request(
            retries.refill(self._budget, self._now_s()),
        )
        while True:
            plan = await self._plan(course)
            if plan.refused:
                attempt = self._describe(course, plan, plan.refusal)
            else:
                outcome = await self._attempt(course, plan)
                if not outcome.refused:
                    return self._answer(course, plan.statement, outcome)
                if outcome.replica:
                    # Its position is behind; the primary is asked at once.
                    continue
                courses.note_unknown(course, plan.statement, outcome)
                attempt = self._describe(course, plan, outcome.refusal)
            refusal = await self._prepare_retry(course, attempt)
            if refusal is not None:
                return self._refuse(course, refusal)

    async def _check_key(self, course: Course) -> None:
        request = course['request']
        check = CheckKey(
            course['name'],
            request.key,
            request.workspace,
            request.route,
        )
        answer = await self._mesh.tasks['keys'].ask(
            check,
            timeout_s=request.budget_s,
        )
        if isinstance(answer, KeyAccepted):
            course['is_known'] = True
            return
        code = ErrorCode.KEY_REFUSED
        if answer.status_unknown:
            code = ErrorCode.KEY_STATUS_UNKNOWN
        raise errors.RefusedError(errors.refuse(code, answer.reason))

    async def _admit(self, course: Course) -> None:
        request = course['request']
        remaining_s = course['until_s'] - self._now_s()
        answer = await self._mesh.tasks['rates'].ask(
            AdmitRequest(
                course['name'],
                request.workspace,
                remaining_s,
            ),
            timeout_s=max(remaining_s, 0),
        )
        admitted = isinstance(answer, Admitted)
        self._mesh.post(
            'metrics',
            AdmissionCounted(request.workspace, admitted),
        )
        if admitted:
            courses.note_step(
                course, self._now_s(), 'admitted', request.workspace, ''
            )
            return
        raise errors.RefusedError(
            errors.refuse(
                ErrorCode.RATE_EXCEEDED,
                f'workspace {request.workspace!r} is over its rate',
                retry_after_s=answer.retry_after_s,
            ),
        )

    async def _plan(self, course: Course) -> StatementPlan:
        """Returns where the request runs, after a wait for a replica."""
        while True:
            plan = await self._ask_plan(course)
            course['settings_version'] = plan.settings_version
            if plan.refused or plan.choice.endpoint:
                break
            course['waited_s'] += plan.choice.wait_s
            await anyio.sleep(plan.choice.wait_s)
        courses.note_step(
            course,
            self._now_s(),
            'planned',
            plan.choice.endpoint,
            plan.choice.reason.name.lower(),
        )
        return plan

    async def _ask_plan(self, course: Course) -> StatementPlan:
        request = course['request']
        course['number'] += 1
        plan: StatementPlan = await self._mesh.tasks['dispatch'].ask(
            PlanStatement(
                request_id=f'{course["name"]}.{course["number"]}',
                workspace=request.workspace,
                route=request.route,
                positions=course['session'].positions,
                overflowed=course['session'].overflowed,
                waited_s=course['waited_s'],
                transactional=request.step is TransactionStep.BEGIN,
                primary_only=course['primary_only'],
            ),
            timeout_s=max(course['until_s'] - self._now_s(), 0),
        )
        return plan._replace(statement=self._complete(course, plan.statement))

    def _complete(self, course: Course, statement: Statement) -> Statement:
        """Returns the planned statement with what the caller sent."""
        request = course['request']
        return statement._replace(
            request_id=request.request_id,
            text=request.text,
            parameters=request.parameters,
            transaction=request.transaction,
            step=request.step,
            budget_s=max(course['until_s'] - self._now_s(), 0),
        )

    async def _attempt(
        self,
        course: Course,
        plan: StatementPlan,
    ) -> StatementResult:
        statement = plan.statement
        courses.note_step(
            course, self._now_s(), 'sent', plan.owner, statement.endpoint
        )
        outcome = await self._run_statement(plan.owner, statement)
        if outcome.refused or statement.write:
            return outcome
        query = RouteQuery(
            max_age_s=statement.max_age_s,
            required=statement.minimum,
        )
        if routing.accepts(
            query,
            outcome.position,
            outcome.age_s,
            primary=not outcome.replica,
        ):
            return outcome
        # The view of a replica may promise more than it answers, so the next
        # plan asks the primary.
        is_first = not course['primary_only']
        course['primary_only'] = True
        return outcome._replace(
            replica=outcome.replica and is_first,
            refused=True,
            refusal=errors.refuse(
                ErrorCode.NO_ENDPOINT,
                f'endpoint {outcome.endpoint} is behind the session',
                outcome=Outcome.UNKNOWN,
            ),
        )

    async def _continue_transaction(self, course: Course) -> CallerAnswer:
        request = course['request']
        owner = transactions.find_host(request.transaction)
        if not owner:
            raise errors.RefusedError(
                errors.refuse(
                    ErrorCode.TRANSACTION_ENDED,
                    'the transaction id is not valid',
                ),
            )
        statement = self._complete(
            course,
            Statement(
                workspace=request.workspace,
                route=request.route,
                write=True,
                confirm=request.step is TransactionStep.COMMIT,
            ),
        )
        courses.note_step(
            course, self._now_s(), 'sent', owner, request.transaction
        )
        outcome = await self._run_statement(owner, statement)
        if outcome.refused:
            courses.note_unknown(course, statement, outcome)
            return self._refuse(course, outcome.refusal)
        return self._answer(course, statement, outcome)

    async def _prepare_retry(
        self,
        course: Course,
        attempt: Attempt,
    ) -> Refusal | None:
        """Waits before the next attempt, or returns the final refusal."""
        spending = retries.plan_retry(
            attempt,
            retries.refill(self._budget, self._now_s()),
            draw=self._rng.random(),
        )
        self._budget = spending.budget
        if spending.plan.retry:
            courses.note_step(
                course, self._now_s(), 'retry', '', attempt.kind.name.lower()
            )
            await anyio.sleep(spending.plan.delay_s)
            return None
        return retries.report(attempt, spending.plan)

    def _describe(
        self,
        course: Course,
        plan: StatementPlan,
        refusal: Refusal,
    ) -> Attempt:
        return courses.describe_attempt(course, plan, refusal, self._now_s())

    def _answer(
        self,
        course: Course,
        statement: Statement,
        outcome: StatementResult,
    ) -> CallerAnswer:
        courses.note_position(course, statement, outcome)
        views = courses.list_views(statement, outcome)
        self._mesh.post('dispatch', EndpointViews(views))
        if not statement.write:
            self._mesh.post('metrics', ReadCounted(outcome.replica))
        return CallerAnswer(
            request_id=course['request'].request_id,
            session_token=self._sign(course),
            host=self._identity.host,
            endpoint=outcome.endpoint,
            replica=outcome.replica,
            age_s=outcome.age_s,
            rows=outcome.rows,
            repeated=outcome.repeated,
            transaction=outcome.transaction,
            settings_version=course['settings_version'],
        )

    def _refuse(self, course: Course, refusal: Refusal) -> CallerAnswer:
        return CallerAnswer(
            request_id=course['request'].request_id,
            session_token=self._sign(course),
            host=self._identity.host,
            transaction=course['request'].transaction,
            settings_version=course['settings_version'],
            refused=True,
            refusal=refusal,
        )

    def _sign(self, course: Course) -> str:
        if course['session'] == Session():
            return ''
        return tokens.sign(
            course['session'],
            course['request'].workspace,
            self._identity.token_secrets,
        )

    def _record(self, course: Course, answer: CallerAnswer) -> None:
        request = course['request']
        self._mesh.post(
            'metrics',
            ServiceCounted(
                self._identity.zone,
                # Names that no key proves would fill the bounded labels.
                request.workspace if course['is_known'] else '',
                answer.refused,
                answer.refusal.code,
            ),
        )
        self._mesh.post('traces', courses.build_trace(course, answer))
