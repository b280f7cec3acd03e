"""Path of a simulated request: entry host, owner, endpoint and back.

The decision modules of the request path are called in the same order as by the
proxy and the executor. Callbacks replace waiting, so that requests run on the
virtual clock of ``request_simulation``.
"""

from collections.abc import Callable
from typing import Any

from poplarspoke import (
    errors,
    execution,
    invariants,
    retries,
    routing,
    sessions,
    tokens,
    transactions,
)
from poplarspoke.generated import members as schema
from poplarspoke.generated import transactions as transaction_messages
from poplarspoke.generated.acknowledgements import AwaitMajority, MajorityMissed
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal
from poplarspoke.generated.connections import (
    Acquire,
    ConnectionLent,
    EndExchange,
    ExchangeEnded,
    Release,
    StartExchange,
)
from poplarspoke.generated.dispatch import PlanStatement, StatementPlan
from poplarspoke.generated.keys import CheckKey, KeyAccepted
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    Repeat,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.retries import Attempt, FailureKind
from poplarspoke.generated.routing import RouteQuery
from poplarspoke.generated.sessions import Session
from tests.request_simulation import (
    IN_FORCE_LIMIT_S,
    KEY,
    SECRETS,
    WORKSPACE,
    Daemon,
    RequestSimulation,
)

ATTEMPT_S = 1.0  # Longest wait for one answer, so that a retry has time.
PEER_TIMEOUT_S = 1.2  # Added to a statement's budget for the reply of a peer.
FAILURE_KINDS = {
    Outcome.NOT_RUN: FailureKind.REFUSED_NOT_RUN,
    Outcome.FAILED: FailureKind.STATEMENT_FAILED,
    Outcome.UNKNOWN: FailureKind.ANSWER_LOST,
}
# Steps that routing assigns to an endpoint; the others run on the connection
# of their transaction.
ROUTED_STEPS = (TransactionStep.SINGLE, TransactionStep.BEGIN)
UNKNOWN_REFUSAL = errors.refuse(
    ErrorCode.OUTCOME_UNKNOWN, 'no answer came in time'
)
DEADLINE_REFUSAL = errors.refuse(
    ErrorCode.DEADLINE_EXCEEDED, 'the deadline has passed'
)


class Execution:
    """Execution of a statement on the owner of its endpoint."""

    def __init__(
        self,
        simulation: RequestSimulation,
        daemon: Daemon,
        statement: Statement,
        finish: Callable[[StatementResult], None],
    ) -> None:
        """Stores the statement and the callback that receives its result."""
        self.simulation = simulation
        self.daemon = daemon
        self.statement = statement
        self.finish = finish
        self.deadline_s = simulation.now_s + statement.budget_s
        self.holder = f'{daemon.host}.{next(simulation.numbers)}'
        self.connection = 0

    def run(self) -> None:
        """Acquires a connection or uses that of the statement's transaction."""
        if self.statement.step not in ROUTED_STEPS:
            use = transaction_messages.UseTransaction(
                self.holder,
                self.statement.transaction,
                self.statement.workspace,
                self.statement.step,
            )
            self.query_task('transactions', use, self.handle_allowed)
            return
        self.report_step('acquire')
        acquire = Acquire(
            self.holder,
            self.statement.workspace,
            self.statement.step is TransactionStep.BEGIN,
            self.deadline_s - self.simulation.now_s,
        )
        self.query_task(self.pool, acquire, self.handle_lent)

    @property
    def pool(self) -> str:
        """Name of the pool of the endpoint."""
        return transactions.name_pool(self.statement.endpoint)

    def query_task(
        self, task: str, message: Any, answered: Callable[[Any], None]
    ) -> None:
        """Sends a request to a task of the owner."""
        self.simulation.query_task(self.daemon, task, message, answered)

    def report_step(self, step: str) -> None:
        """Reports the step that the statement reaches."""
        name = step
        if self.statement.step is not TransactionStep.SINGLE:
            name = f'{self.statement.step.name.lower()}: {step}'
        self.simulation.report_step(
            name, self.daemon.host, self.statement.request_id
        )

    def refuse(self, refusal: Refusal) -> None:
        """Ends the execution with a refusal."""
        self.finish(execution.build_refused_result(self.statement, refusal))

    def handle_lent(self, message: Any) -> None:
        """Sends the statement on the connection."""
        if not isinstance(message, ConnectionLent):
            self.refuse(message.refusal)
            return
        self.connection = message.connection
        if self.statement.step is TransactionStep.BEGIN:
            self.exchange(
                schema.BeginTransaction(self.build_control()), self.handle_begun
            )
            return
        body = execution.build_execute(self.statement)
        self.exchange(body, self.handle_executed)

    def handle_allowed(self, message: Any) -> None:
        """Sends a statement of a transaction on its connection."""
        if isinstance(message, transaction_messages.TransactionCommitted):
            answer = schema.MemberAnswer(position=message.position)
            self.finish(execution.build_result(self.statement, answer, 0))
            return
        if isinstance(message, transaction_messages.TransactionRefused):
            self.refuse(message.refusal)
            return
        self.statement = self.statement._replace(
            endpoint=message.endpoint,
            term=message.term,
            database=message.database,
        )
        self.connection = message.connection
        self.holder_of_transaction = message.holder
        if self.statement.step is TransactionStep.COMMIT:
            self.exchange(
                schema.CommitTransaction(self.build_control()),
                self.handle_ended,
            )
            return
        body = execution.build_execute(
            self.statement._replace(repeat=Repeat.SAFE),
        )
        self.exchange(body, self.handle_ended)

    def build_control(self) -> schema.TransactionControl:
        """Returns the fields of a message that begins or commits."""
        return schema.TransactionControl(
            self.statement.request_id,
            self.statement.workspace,
            self.statement.term,
            record=True,
        )

    def exchange(
        self, body: Any, answered: Callable[[schema.MemberAnswer | None], None]
    ) -> None:
        """Sends a message; a lost answer is passed on as ``None``."""
        holder = getattr(self, 'holder_of_transaction', self.holder)
        timeout_s = min(self.deadline_s - self.simulation.now_s, ATTEMPT_S)
        if timeout_s <= 0:
            self.release_connection()
            self.refuse(DEADLINE_REFUSAL)
            return
        request_id = self.statement.request_id
        start = StartExchange(self.connection, holder, request_id, timeout_s)
        self.simulation.send_to_task(self.daemon, self.pool, start)
        settled: list[bool] = []

        def receive_answer(answer: schema.MemberAnswer) -> None:
            if settled:
                return
            settled.append(True)
            self.report_step('answered')
            self.check_answer(answer, answered)

        def time_out() -> None:
            if not settled:
                settled.append(True)
                answered(None)

        self.report_step('execute')
        self.simulation.call_on_connection(
            self.daemon,
            self.statement.endpoint,
            self.connection,
            body,
            receive_answer,
        )
        self.simulation.at_daemon(self.daemon, timeout_s, time_out)

    def check_answer(
        self,
        answer: schema.MemberAnswer,
        answered: Callable[[schema.MemberAnswer | None], None],
    ) -> None:
        """Has the pool check that the answer belongs to the request."""
        single = self.statement.step is TransactionStep.SINGLE
        commit = self.statement.step is TransactionStep.COMMIT
        ended = EndExchange(
            self.statement.request_id,
            self.connection,
            answer.request_id,
            clean=single or commit or answer.refused,
        )

        def handle_exchange_ended(message: ExchangeEnded) -> None:
            answered(answer if message.accepted else None)

        self.query_task(self.pool, ended, handle_exchange_ended)

    def release_connection(self) -> None:
        """Releases the connection of a statement outside a transaction."""
        if self.statement.step in ROUTED_STEPS:
            release = Release(self.connection, self.holder)
            self.simulation.send_to_task(self.daemon, self.pool, release)

    def handle_executed(self, answer: schema.MemberAnswer | None) -> None:
        """Confirms or refuses a single statement after its exchange."""
        self.release_connection()
        if answer is None:
            self.refuse(UNKNOWN_REFUSAL)
        elif answer.refused:
            self.refuse(answer.refusal)
        else:
            self.confirm(answer)

    def handle_begun(self, answer: schema.MemberAnswer | None) -> None:
        """Registers the transaction that the endpoint began."""
        if answer is None or answer.refused:
            self.release_connection()
            self.refuse(UNKNOWN_REFUSAL if answer is None else answer.refusal)
            return
        begin = transaction_messages.BeginTransaction(
            self.holder,
            self.statement.workspace,
            self.statement.database,
            self.statement.endpoint,
            self.connection,
            self.holder,
            self.statement.term,
        )

        def handle_registered(message: Any) -> None:
            if isinstance(message, transaction_messages.TransactionRefused):
                self.refuse(message.refusal)
                return
            self.statement = self.statement._replace(
                transaction=message.transaction
            )
            result = execution.build_result(self.statement, answer, 0)
            self.finish(
                result._replace(position=schema.MemberAnswer().position)
            )

        self.query_task('transactions', begin, handle_registered)

    def handle_ended(self, answer: schema.MemberAnswer | None) -> None:
        """Ends a statement of a transaction after its exchange."""
        if answer is not None and not answer.refused:
            if self.statement.step is TransactionStep.COMMIT:
                self.confirm(answer)
                return
            self.end_statement(answered=True, open=True)
            result = execution.build_result(self.statement, answer, 0)
            self.finish(
                result._replace(position=schema.MemberAnswer().position)
            )
            return
        self.end_statement(answered=answer is not None, refused=True)
        self.refuse(UNKNOWN_REFUSAL if answer is None else answer.refusal)

    def end_statement(self, **fields: Any) -> None:
        """Notifies the transactions task that the statement ended."""
        if self.statement.step in ROUTED_STEPS:
            return
        lost = not fields.get('answered', False)
        fields['refused'] = fields.get('refused', False) and not lost
        ended = transaction_messages.StatementEnded(
            self.holder, self.statement.transaction
        )
        self.simulation.send_to_task(
            self.daemon, 'transactions', ended._replace(**fields)
        )

    def confirm(self, answer: schema.MemberAnswer) -> None:
        """Waits for the majority of a write or a strict read."""
        if not self.statement.confirm:
            result = execution.build_result(
                self.statement, answer, answer.age_s
            )
            self.finish(result)
            return
        self.report_step('confirm')
        wait = AwaitMajority(
            f'{self.holder}.c',
            self.statement.endpoint,
            answer.position,
            max(self.deadline_s - self.simulation.now_s, 0),
        )

        def handle_confirmed(message: Any) -> None:
            if isinstance(message, MajorityMissed):
                self.end_statement(answered=True)
                self.refuse(
                    UNKNOWN_REFUSAL
                    if self.statement.write
                    else UNCONFIRMED_READ_REFUSAL
                )
                return
            self.record_acknowledged(answer)
            self.end_statement(
                answered=True, committed=True, position=answer.position
            )
            self.finish(execution.build_result(self.statement, answer, 0))

        self.query_task('acknowledgements', wait, handle_confirmed)

    def record_acknowledged(self, answer: schema.MemberAnswer) -> None:
        """Records the write, which every later primary must then have."""
        if self.statement.write:
            self.simulation.acknowledge(answer)


UNCONFIRMED_READ_REFUSAL = errors.refuse(
    ErrorCode.NOT_PRIMARY, 'no majority', outcome=Outcome.FAILED
)


class RequestFlow:
    """Processing of a request on its entry host."""

    def __init__(
        self,
        simulation: RequestSimulation,
        host: str,
        request: CallerRequest,
        done: Callable[[CallerAnswer | None], None],
    ) -> None:
        """Stores the request; a lost connection is reported as ``done(None)``."""
        self.simulation = simulation
        self.daemon = simulation.daemons[host]
        self.request = request
        self.done = done
        self.name = f'request {next(simulation.numbers)}'
        self.deadline_s = simulation.now_s + request.budget_s
        self.session = Session()
        self.number = 0
        self.unknown = False
        self.waited_s = float(0)
        self.primary_only = False

    def start(self) -> None:
        """Starts the processing on the entry host."""
        self.simulation.host_loss_handlers.append(self.handle_host_loss)
        self.daemon.open_requests.add(self.name)
        self.report_step('key check')
        self.simulation.arrive(self.daemon.host, self.admit)

    def report_step(self, step: str) -> None:
        """Reports the step that the request reaches."""
        name = step
        if self.request.step is not TransactionStep.SINGLE:
            name = f'{self.request.step.name.lower()}: {step}'
        self.simulation.report_step(
            name, self.daemon.host, self.request.request_id
        )

    def handle_host_loss(self, host: str) -> None:
        """Reports the loss of the connection if its entry host has died."""
        if host == self.daemon.host:
            self.end(None)

    def end(self, answer: CallerAnswer | None) -> None:
        """Answers the caller unless it was answered before."""
        if self.handle_host_loss not in self.simulation.host_loss_handlers:
            return
        self.simulation.host_loss_handlers.remove(self.handle_host_loss)
        self.daemon.open_requests.discard(self.name)
        self.done(answer)

    def admit(self) -> None:
        """Requests the check of the key unless the host is leaving."""
        if not self.simulation.is_running(self.daemon):
            return
        check = CheckKey(
            self.name, self.request.key, WORKSPACE, self.request.route
        )
        if not self.daemon.accepting:
            self.refuse(errors.refuse(ErrorCode.HOST_LEAVING, 'leaving'))
            return
        self.simulation.query_task(
            self.daemon, 'keys', check, self.handle_key_check
        )

    def handle_key_check(self, answer: Any) -> None:
        """Verifies the session and routes or forwards the request."""
        if not isinstance(answer, KeyAccepted):
            code = ErrorCode.KEY_REFUSED
            if answer.status_unknown:
                code = ErrorCode.KEY_STATUS_UNKNOWN
            self.refuse(errors.refuse(code, answer.reason))
            return
        invariants.check(
            holds=self.simulation.now_s
            <= self.simulation.revoked_s + IN_FORCE_LIMIT_S,
            code='R6',
            detail='a revoked key was accepted',
        )
        self.session = tokens.verify(
            self.request.session_token, WORKSPACE, SECRETS
        )
        if self.request.step in ROUTED_STEPS:
            self.plan()
            return
        owner = transactions.find_host(self.request.transaction)
        statement = self.complete(
            Statement(
                workspace=WORKSPACE,
                route=self.request.route,
                write=True,
                confirm=self.request.step is TransactionStep.COMMIT,
            ),
        )
        self.forward(owner, statement, self.handle_continued)

    def plan(self) -> None:
        """Requests from the dispatcher where the statement runs."""
        if self.simulation.now_s >= self.deadline_s:
            self.refuse(UNKNOWN_REFUSAL if self.unknown else DEADLINE_REFUSAL)
            return
        self.report_step('plan')
        self.number += 1
        plan = PlanStatement(
            f'{self.name}.{self.number}',
            WORKSPACE,
            self.request.route,
            self.session.positions,
            self.session.overflowed,
            self.waited_s,
            transactional=self.request.step is TransactionStep.BEGIN,
            primary_only=self.primary_only,
        )
        self.simulation.query_task(
            self.daemon, 'dispatch', plan, self.handle_plan
        )

    def handle_plan(self, plan: StatementPlan) -> None:
        """Forwards the statement, waits for a replica, or retries."""
        if plan.refused:
            self.retry(plan.statement, plan.refusal)
            return
        if not plan.choice.endpoint:
            self.number -= 1
            self.waited_s += plan.choice.wait_s
            self.simulation.at_daemon(
                self.daemon, plan.choice.wait_s, self.plan
            )
            return
        statement = self.complete(plan.statement)

        def answered(result: StatementResult) -> None:
            self.handle_result(statement, self.check_read(statement, result))

        self.forward(plan.owner, statement, answered)

    def complete(self, statement: Statement) -> Statement:
        """Returns the statement with the fields of the caller's request."""
        return statement._replace(
            request_id=self.request.request_id,
            text=self.request.text,
            transaction=self.request.transaction,
            step=self.request.step,
            budget_s=min(
                self.deadline_s - self.simulation.now_s, 2 * ATTEMPT_S
            ),
        )

    def forward(
        self,
        owner: str,
        statement: Statement,
        answered: Callable[[StatementResult], None],
    ) -> None:
        """Sends a statement to the owner of its endpoint."""
        settled: list[bool] = []
        is_never = statement.repeat is Repeat.NEVER
        invariants.check(
            holds=not (is_never and self.unknown),
            code='R11',
            detail='a statement that may have run is sent again',
        )
        invariants.check(
            holds=KEY.key not in repr(statement),
            code='R5',
            detail='a key is forwarded',
        )

        def settle(result: StatementResult) -> None:
            if not settled and self.simulation.is_running(self.daemon):
                settled.append(True)
                answered(result)

        def finish(result: StatementResult) -> None:
            self.simulation.send(
                owner, self.daemon.host, lambda: settle(result)
            )

        def action() -> None:
            daemon = self.simulation.daemons.get(owner)
            if daemon is not None:
                Execution(self.simulation, daemon, statement, finish).run()

        def time_out() -> None:
            settle(execution.build_refused_result(statement, UNKNOWN_REFUSAL))

        self.report_step('forward')
        self.simulation.send(self.daemon.host, owner, action)
        self.simulation.at_daemon(
            self.daemon, statement.budget_s + PEER_TIMEOUT_S, time_out
        )

    def check_read(
        self, statement: Statement, result: StatementResult
    ) -> StatementResult:
        """Refuses an answer that is behind the session."""
        if result.refused or statement.write:
            return result
        query = RouteQuery(
            max_age_s=statement.max_age_s, required=statement.minimum
        )
        if routing.accepts(
            query, result.position, result.age_s, primary=not result.replica
        ):
            return result
        is_first = not self.primary_only
        self.primary_only = True
        refusal = errors.refuse(
            ErrorCode.NO_ENDPOINT,
            'behind the session',
            outcome=Outcome.UNKNOWN,
        )
        return result._replace(
            replica=result.replica and is_first,
            refused=True,
            refusal=refusal,
        )

    def handle_result(
        self, statement: Statement, result: StatementResult
    ) -> None:
        """Answers the caller or retries."""
        if not result.refused:
            self.answer(statement, result)
            return
        if result.replica:
            self.plan()
            return
        self.record_unknown(statement, result.refusal)
        self.retry(statement, result.refusal)

    def handle_continued(self, result: StatementResult) -> None:
        """Answers a statement of a transaction, which is not repeated."""
        if result.refused:
            self.refuse(result.refusal)
            return
        self.answer(Statement(write=True, database=result.database), result)

    def record_unknown(self, statement: Statement, refusal: Refusal) -> None:
        """Marks the session after a write that may have run."""
        if refusal.outcome is not Outcome.UNKNOWN or not statement.write:
            return
        self.unknown = True
        marked = sessions.mark_unknown(
            self.session.positions, statement.database, statement.term
        )
        self.session = self.session._replace(positions=marked)

    def retry(self, statement: Statement, refusal: Refusal) -> None:
        """Retries after a delay if the retry rules allow it."""
        attempt = Attempt(
            kind=FAILURE_KINDS[refusal.outcome],
            repeat=statement.repeat,
            step=self.request.step,
            write=statement.write,
            number=self.number,
            remaining_s=self.deadline_s - self.simulation.now_s,
            earlier_unknown=self.unknown,
            refusal=refusal,
        )
        spending = retries.plan_retry(
            attempt,
            retries.refill(self.daemon.budget, self.simulation.now_s),
            draw=self.simulation.rng.random(),
        )
        self.daemon.budget = spending.budget
        if spending.plan.retry:
            delay_s = spending.plan.delay_s
            self.simulation.at_daemon(self.daemon, delay_s, self.plan)
            return
        self.refuse(retries.build_refusal(attempt, spending.plan))

    def answer(self, statement: Statement, result: StatementResult) -> None:
        """Returns the result with the new session token."""
        invariants.check(
            holds=result.request_id == self.request.request_id,
            code='R9',
            detail=f'{self.request.request_id} got {result.request_id}',
        )
        if not result.replica and result.position.term:
            positions = sessions.replace_position(
                self.session.positions,
                result.database or statement.database,
                result.position,
            )
            self.session = self.session._replace(positions=positions)
        self.report_step('reply')
        self.end(
            CallerAnswer(
                request_id=result.request_id,
                session_token=self.sign(),
                host=self.daemon.host,
                endpoint=result.endpoint,
                replica=result.replica,
                rows=result.rows,
                repeated=result.repeated,
                transaction=result.transaction,
            ),
        )

    def refuse(self, refusal: Refusal) -> None:
        """Returns a refusal with the session token."""
        self.end(
            CallerAnswer(
                request_id=self.request.request_id,
                session_token=self.sign(),
                host=self.daemon.host,
                refused=True,
                refusal=refusal,
            ),
        )

    def sign(self) -> str:
        """Returns the token of the session."""
        return tokens.sign(self.session, WORKSPACE, SECRETS)


class Caller:
    """A caller that roams between hosts with one session.

    Attributes:
        token: Latest session token.
        acknowledged: Request ids of its acknowledged writes.
        outcomes: Outcome of each answer by request id, ``None`` if lost.
        transactions: Transaction id by the request id that began it.
        done: Requests and steps of transactions that had a result.
    """

    def __init__(self, simulation: RequestSimulation, name: str) -> None:
        """Creates a caller without a session."""
        self.simulation = simulation
        self.name = name
        self.token = ''
        self.acknowledged: set[str] = set()
        self.outcomes: dict[str, list[Outcome | None]] = {}
        self.busy = False
        self.transactions: dict[str, str] = {}
        self.done: set[tuple[str, TransactionStep]] = set()

    def send(
        self,
        host: str,
        request_id: str,
        route: str,
        *,
        text: str = 'GET n',
        step: TransactionStep = TransactionStep.SINGLE,
        budget_s: float = 4,
    ) -> None:
        """Sends a request to a host if it is running."""
        if host not in self.simulation.daemons:
            return
        self.busy = True
        request = CallerRequest(
            request_id=request_id,
            key=KEY.key,
            session_token=self.token,
            workspace=WORKSPACE,
            route=route,
            text=text,
            transaction=self.transactions.get(request_id, ''),
            step=step,
            budget_s=budget_s,
        )
        needed = frozenset(self.acknowledged)

        def done(answer: CallerAnswer | None) -> None:
            self.busy = False
            self.record_answer(request, answer, needed)

        RequestFlow(self.simulation, host, request, done).start()

    def record_answer(
        self,
        request: CallerRequest,
        answer: CallerAnswer | None,
        needed: frozenset[str],
    ) -> None:
        """Records an answer; a read must show all acknowledged writes."""
        outcomes = self.outcomes.setdefault(request.request_id, [])
        if answer is None:
            outcomes.append(None)
            return
        self.token = answer.session_token or self.token
        if answer.refused:
            outcomes.append(answer.refusal.outcome)
            return
        self.record_result(request, answer, needed)

    def record_result(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        needed: frozenset[str],
    ) -> None:
        """Records a result and checks the writes that a read saw."""
        self.done.add((request.request_id, request.step))
        if request.step is TransactionStep.BEGIN:
            self.transactions[request.request_id] = answer.transaction
        if request.step is TransactionStep.COMMIT:
            self.acknowledged.add(request.request_id)
        if request.step is not TransactionStep.SINGLE:
            return
        if request.route in {'recorded', 'never'}:
            self.acknowledged.add(request.request_id)
            return
        visible = self.simulation.visible_writes[
            answer.endpoint, request.request_id
        ]
        invariants.check(
            holds=needed <= visible,
            code='R1',
            detail=f'{answer.endpoint} does not show {needed - visible}',
        )

    def check_final(self) -> None:
        """Checks all outcomes against the final log after every fault ended."""
        primary = self.simulation.find_primary()
        recorded = self.simulation.list_recorded(primary)
        lost = self.acknowledged - recorded
        invariants.check(holds=not lost, code='R2', detail=f'{lost} is lost')
        for request_id, outcomes in self.outcomes.items():
            if set(outcomes) != {Outcome.NOT_RUN}:
                continue
            invariants.check(
                holds=request_id in self.acknowledged
                or request_id not in recorded,
                code='R10',
                detail=f'{request_id} was called not run and ran',
            )
