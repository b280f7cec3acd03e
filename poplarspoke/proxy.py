"""Handles a caller's request, from the check of its key to its answer."""

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import anyio

from poplarspoke import (
    errors,
    request_state,
    retries,
    routing,
    tokens,
    transactions,
)
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
from poplarspoke.request_state import RequestState
from poplarspoke.tasks import MessageBus

STEPS_IN_TRANSACTION = frozenset(
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
    """Location of a proxy and the secrets that sign its session tokens.

    Attributes:
        host: Name of the entry host.
        zone: Availability zone of the host.
        token_secrets: Signing secrets, oldest first; the last one signs.
    """

    host: str
    zone: str
    token_secrets: tuple[str, ...]


class Proxy:
    """Handles callers' requests on one entry host."""

    def __init__(
        self,
        identity: Identity,
        bus: MessageBus,
        run_statement: RunStatement,
        now_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates a proxy with a full retry budget.

        Args:
            identity: Host, zone and token secrets.
            bus: Message bus to the other tasks of the daemon.
            run_statement: Runs a statement on the host with the given name.
            now_s: Monotonic clock in seconds.
            rng: Source of the random jitter of the retry delays.
        """
        self._identity = identity
        self._bus = bus
        self._run_statement = run_statement
        self._now_s = now_s
        self._rng = rng
        self._budget = retries.create_budget(now_s())
        self._request_numbers = itertools.count(1)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Returns the answer to a request.

        A ``PoplarspokeError`` becomes an answer with a refusal.
        """
        name = f'{self._identity.host}-{next(self._request_numbers)}'
        state = request_state.create_state(name, request, self._now_s())
        try:
            answer = await self._process(state)
        except errors.PoplarspokeError as exc:
            refusal = request_state.build_final_refusal(
                state, errors.refuse_from(exc)
            )
            answer = self._build_refusal_answer(state, refusal)
        self._record_outcome(state, answer)
        return answer

    async def _process(self, state: RequestState) -> CallerAnswer:
        await self._check_key(state)
        await self._admit(state)
        request = state['request']
        state['session'] = tokens.verify(
            request.session_token,
            request.workspace,
            self._identity.token_secrets,
        )
        if request.step in STEPS_IN_TRANSACTION:
            return await self._continue_transaction(state)
        return await self._send_with_retries(state)

    async def _send_with_retries(self, state: RequestState) -> CallerAnswer:
        """Retries the statement until it succeeds or must not be repeated."""
        self._budget = retries.credit_request(
            retries.refill(self._budget, self._now_s()),
        )
        while True:
            plan = await self._plan_statement(state)
            if plan.refused:
                attempt = self._build_attempt(state, plan, plan.refusal)
            else:
                outcome = await self._run_attempt(state, plan)
                if not outcome.refused:
                    return self._build_answer(state, plan.statement, outcome)
                if outcome.replica:
                    # The replica is behind the session: retry on the primary
                    # at once, without a backoff.
                    continue
                request_state.record_unknown_outcome(
                    state, plan.statement, outcome
                )
                attempt = self._build_attempt(state, plan, outcome.refusal)
            refusal = await self._wait_for_retry(state, attempt)
            if refusal is not None:
                return self._build_refusal_answer(state, refusal)

    async def _check_key(self, state: RequestState) -> None:
        request = state['request']
        check = CheckKey(
            state['name'],
            request.key,
            request.workspace,
            request.route,
        )
        answer = await self._bus.tasks['keys'].ask(
            check,
            timeout_s=request.budget_s,
        )
        if isinstance(answer, KeyAccepted):
            state['key_accepted'] = True
            return
        code = ErrorCode.KEY_REFUSED
        if answer.status_unknown:
            code = ErrorCode.KEY_STATUS_UNKNOWN
        raise errors.RefusedError(errors.refuse(code, answer.reason))

    async def _admit(self, state: RequestState) -> None:
        request = state['request']
        remaining_s = state['until_s'] - self._now_s()
        answer = await self._bus.tasks['rates'].ask(
            AdmitRequest(
                state['name'],
                request.workspace,
                remaining_s,
            ),
            timeout_s=max(remaining_s, 0),
        )
        admitted = isinstance(answer, Admitted)
        self._bus.post(
            'metrics',
            AdmissionCounted(request.workspace, admitted),
        )
        if admitted:
            request_state.record_step(
                state, self._now_s(), 'admitted', request.workspace, ''
            )
            return
        raise errors.RefusedError(
            errors.refuse(
                ErrorCode.RATE_EXCEEDED,
                f'workspace {request.workspace!r} is over its rate',
                retry_after_s=answer.retry_after_s,
            ),
        )

    async def _plan_statement(self, state: RequestState) -> StatementPlan:
        """Returns a plan with an endpoint or a refusal.

        Waits and plans again while a replica may still catch up.
        """
        while True:
            plan = await self._request_plan(state)
            state['settings_version'] = plan.settings_version
            if plan.refused or plan.choice.endpoint:
                break
            state['waited_s'] += plan.choice.wait_s
            await anyio.sleep(plan.choice.wait_s)
        request_state.record_step(
            state,
            self._now_s(),
            'planned',
            plan.choice.endpoint,
            plan.choice.reason.name.lower(),
        )
        return plan

    async def _request_plan(self, state: RequestState) -> StatementPlan:
        request = state['request']
        state['number'] += 1
        plan: StatementPlan = await self._bus.tasks['dispatch'].ask(
            PlanStatement(
                request_id=f'{state["name"]}.{state["number"]}',
                workspace=request.workspace,
                route=request.route,
                positions=state['session'].positions,
                overflowed=state['session'].overflowed,
                waited_s=state['waited_s'],
                transactional=request.step is TransactionStep.BEGIN,
                primary_only=state['primary_only'],
            ),
            timeout_s=max(state['until_s'] - self._now_s(), 0),
        )
        return plan._replace(
            statement=self._complete_statement(state, plan.statement)
        )

    def _complete_statement(
        self, state: RequestState, statement: Statement
    ) -> Statement:
        """Returns the statement with the text and deadline of the caller."""
        request = state['request']
        return statement._replace(
            request_id=request.request_id,
            text=request.text,
            parameters=request.parameters,
            transaction=request.transaction,
            step=request.step,
            budget_s=max(state['until_s'] - self._now_s(), 0),
        )

    async def _run_attempt(
        self,
        state: RequestState,
        plan: StatementPlan,
    ) -> StatementResult:
        statement = plan.statement
        request_state.record_step(
            state, self._now_s(), 'sent', plan.owner, statement.endpoint
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
        # The view of a replica may be ahead of its answers, so the next plan
        # uses the primary.
        is_first = not state['primary_only']
        state['primary_only'] = True
        return outcome._replace(
            replica=outcome.replica and is_first,
            refused=True,
            refusal=errors.refuse(
                ErrorCode.NO_ENDPOINT,
                f'endpoint {outcome.endpoint} is behind the session',
                outcome=Outcome.UNKNOWN,
            ),
        )

    async def _continue_transaction(self, state: RequestState) -> CallerAnswer:
        request = state['request']
        owner = transactions.find_host(request.transaction)
        if not owner:
            raise errors.RefusedError(
                errors.refuse(
                    ErrorCode.TRANSACTION_ENDED,
                    'the transaction id is not valid',
                ),
            )
        statement = self._complete_statement(
            state,
            Statement(
                workspace=request.workspace,
                route=request.route,
                write=True,
                confirm=request.step is TransactionStep.COMMIT,
            ),
        )
        request_state.record_step(
            state, self._now_s(), 'sent', owner, request.transaction
        )
        outcome = await self._run_statement(owner, statement)
        if outcome.refused:
            request_state.record_unknown_outcome(state, statement, outcome)
            return self._build_refusal_answer(state, outcome.refusal)
        return self._build_answer(state, statement, outcome)

    async def _wait_for_retry(
        self,
        state: RequestState,
        attempt: Attempt,
    ) -> Refusal | None:
        """Waits for the backoff, or returns the refusal if no retry follows."""
        decision = retries.plan_retry(
            attempt,
            retries.refill(self._budget, self._now_s()),
            draw=self._rng.random(),
        )
        self._budget = decision.budget
        if decision.plan.retry:
            request_state.record_step(
                state, self._now_s(), 'retry', '', attempt.kind.name.lower()
            )
            await anyio.sleep(decision.plan.delay_s)
            return None
        return retries.build_refusal(attempt, decision.plan)

    def _build_attempt(
        self,
        state: RequestState,
        plan: StatementPlan,
        refusal: Refusal,
    ) -> Attempt:
        return request_state.build_attempt(state, plan, refusal, self._now_s())

    def _build_answer(
        self,
        state: RequestState,
        statement: Statement,
        outcome: StatementResult,
    ) -> CallerAnswer:
        request_state.record_position(state, statement, outcome)
        views = request_state.list_views(statement, outcome)
        self._bus.post('dispatch', EndpointViews(views))
        if not statement.write:
            self._bus.post('metrics', ReadCounted(outcome.replica))
        return CallerAnswer(
            request_id=state['request'].request_id,
            session_token=self._sign_session(state),
            host=self._identity.host,
            endpoint=outcome.endpoint,
            replica=outcome.replica,
            age_s=outcome.age_s,
            rows=outcome.rows,
            repeated=outcome.repeated,
            transaction=outcome.transaction,
            settings_version=state['settings_version'],
        )

    def _build_refusal_answer(
        self, state: RequestState, refusal: Refusal
    ) -> CallerAnswer:
        return CallerAnswer(
            request_id=state['request'].request_id,
            session_token=self._sign_session(state),
            host=self._identity.host,
            transaction=state['request'].transaction,
            settings_version=state['settings_version'],
            refused=True,
            refusal=refusal,
        )

    def _sign_session(self, state: RequestState) -> str:
        if state['session'] == Session():
            return ''
        return tokens.sign(
            state['session'],
            state['request'].workspace,
            self._identity.token_secrets,
        )

    def _record_outcome(
        self, state: RequestState, answer: CallerAnswer
    ) -> None:
        request = state['request']
        self._bus.post(
            'metrics',
            ServiceCounted(
                self._identity.zone,
                # The metrics keep a bounded number of workspace labels, which
                # names from unauthenticated requests would use up.
                request.workspace if state['key_accepted'] else '',
                answer.refused,
                answer.refusal.code,
            ),
        )
        self._bus.post('traces', request_state.build_trace(state, answer))
