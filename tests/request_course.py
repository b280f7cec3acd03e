"""The course of a request: entry host, owner, endpoint and the way back.

It joins the decisions of the request path in the order of the proxy and the
executor, with callbacks in place of waiting, so that it runs on the virtual
clock of ``request_world``.
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
from tests.request_world import (
    IN_FORCE_S,
    KEY,
    SECRETS,
    WORKSPACE,
    Daemon,
    RequestWorld,
)

ATTEMPT_S = 1.0  # Longest wait for one answer, so that a retry has time.
LINK_LOST_S = 1.2
FAILURE_KINDS = {
    Outcome.NOT_RUN: FailureKind.REFUSED_NOT_RUN,
    Outcome.FAILED: FailureKind.STATEMENT_FAILED,
    Outcome.UNKNOWN: FailureKind.ANSWER_LOST,
}
FREE_STEPS = (TransactionStep.SINGLE, TransactionStep.BEGIN)
UNKNOWN = errors.refuse(ErrorCode.OUTCOME_UNKNOWN, 'no answer came in time')
LATE = errors.refuse(ErrorCode.DEADLINE_EXCEEDED, 'the deadline has passed')


class Execution:
    """A statement on the owner of its endpoint."""

    def __init__(
        self,
        world: RequestWorld,
        daemon: Daemon,
        statement: Statement,
        finish: Callable[[StatementResult], None],
    ) -> None:
        """Keeps the statement and who waits for its result."""
        self.world = world
        self.daemon = daemon
        self.statement = statement
        self.finish = finish
        self.until_s = world.now_s + statement.budget_s
        self.holder = f'{daemon.host}.{next(world.numbers)}'
        self.connection = 0

    def run(self) -> None:
        """Takes a connection, or the one of the statement's transaction."""
        if self.statement.step not in FREE_STEPS:
            use = transaction_messages.UseTransaction(
                self.holder,
                self.statement.transaction,
                self.statement.workspace,
                self.statement.step,
            )
            self.ask('transactions', use, self.allowed)
            return
        self.reach('acquire')
        acquire = Acquire(
            self.holder,
            self.statement.workspace,
            self.statement.step is TransactionStep.BEGIN,
            self.until_s - self.world.now_s,
        )
        self.ask(self.pool, acquire, self.lent)

    @property
    def pool(self) -> str:
        """Name of the pool of the endpoint."""
        return transactions.name_pool(self.statement.endpoint)

    def ask(
        self, task: str, message: Any, answered: Callable[[Any], None]
    ) -> None:
        """Asks a task of the owner."""
        self.world.ask(self.daemon, task, message, answered)

    def reach(self, step: str) -> None:
        """Tells which step the statement reaches."""
        name = step
        if self.statement.step is not TransactionStep.SINGLE:
            name = f'{self.statement.step.name.lower()}: {step}'
        self.world.reach(name, self.daemon.host, self.statement.request_id)

    def refuse(self, refusal: Refusal) -> None:
        """Ends without a result."""
        self.finish(execution.build_refused_result(self.statement, refusal))

    def lent(self, message: Any) -> None:
        """Sends the statement on the connection."""
        if not isinstance(message, ConnectionLent):
            self.refuse(message.refusal)
            return
        self.connection = message.connection
        if self.statement.step is TransactionStep.BEGIN:
            self.exchange(schema.BeginTransaction(self.control()), self.begun)
            return
        body = execution.build_execute(self.statement)
        self.exchange(body, self.executed)

    def allowed(self, message: Any) -> None:
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
            self.exchange(schema.CommitTransaction(self.control()), self.ended)
            return
        body = execution.build_execute(
            self.statement._replace(repeat=Repeat.SAFE),
        )
        self.exchange(body, self.ended)

    def control(self) -> schema.TransactionControl:
        """Returns what begins or commits the transaction."""
        return schema.TransactionControl(
            self.statement.request_id,
            self.statement.workspace,
            self.statement.term,
            record=True,
        )

    def exchange(
        self, body: Any, answered: Callable[[schema.MemberAnswer | None], None]
    ) -> None:
        """Sends a message; ``None`` stands for a lost answer."""
        holder = getattr(self, 'holder_of_transaction', self.holder)
        timeout_s = min(self.until_s - self.world.now_s, ATTEMPT_S)
        if timeout_s <= 0:
            self.give_back()
            self.refuse(LATE)
            return
        request_id = self.statement.request_id
        start = StartExchange(self.connection, holder, request_id, timeout_s)
        self.world.tell(self.daemon, self.pool, start)
        settled: list[bool] = []

        def got(answer: schema.MemberAnswer) -> None:
            if settled:
                return
            settled.append(True)
            self.reach('answered')
            self.check_answer(answer, answered)

        def lose() -> None:
            if not settled:
                settled.append(True)
                answered(None)

        self.reach('execute')
        self.world.call_over(
            self.daemon, self.statement.endpoint, self.connection, body, got
        )
        self.world.at_daemon(self.daemon, timeout_s, lose)

    def check_answer(
        self,
        answer: schema.MemberAnswer,
        answered: Callable[[schema.MemberAnswer | None], None],
    ) -> None:
        """Lets the pool check that the answer belongs to the request."""
        single = self.statement.step is TransactionStep.SINGLE
        commit = self.statement.step is TransactionStep.COMMIT
        ended = EndExchange(
            self.statement.request_id,
            self.connection,
            answer.request_id,
            clean=single or commit or answer.refused,
        )

        def judge(message: ExchangeEnded) -> None:
            answered(answer if message.accepted else None)

        self.ask(self.pool, ended, judge)

    def give_back(self) -> None:
        """Releases the connection of a statement outside a transaction."""
        if self.statement.step in FREE_STEPS:
            release = Release(self.connection, self.holder)
            self.world.tell(self.daemon, self.pool, release)

    def executed(self, answer: schema.MemberAnswer | None) -> None:
        """Goes on to the confirmation of a single statement."""
        self.give_back()
        if answer is None:
            self.refuse(UNKNOWN)
        elif answer.refused:
            self.refuse(answer.refusal)
        else:
            self.confirm(answer)

    def begun(self, answer: schema.MemberAnswer | None) -> None:
        """Registers the transaction that the endpoint began."""
        if answer is None or answer.refused:
            self.give_back()
            self.refuse(UNKNOWN if answer is None else answer.refusal)
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

        def registered(message: Any) -> None:
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

        self.ask('transactions', begin, registered)

    def ended(self, answer: schema.MemberAnswer | None) -> None:
        """Notes the end of a statement of a transaction."""
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
        self.refuse(UNKNOWN if answer is None else answer.refusal)

    def end_statement(self, **fields: Any) -> None:
        """Tells the transactions that the statement ended."""
        if self.statement.step in FREE_STEPS:
            return
        lost = not fields.get('answered', False)
        fields['refused'] = fields.get('refused', False) and not lost
        ended = transaction_messages.StatementEnded(
            self.holder, self.statement.transaction
        )
        self.world.tell(self.daemon, 'transactions', ended._replace(**fields))

    def confirm(self, answer: schema.MemberAnswer) -> None:
        """Waits for the majority of a write or a strict read."""
        if not self.statement.confirm:
            result = execution.build_result(
                self.statement, answer, answer.age_s
            )
            self.finish(result)
            return
        self.reach('confirm')
        wait = AwaitMajority(
            f'{self.holder}.c',
            self.statement.endpoint,
            answer.position,
            max(self.until_s - self.world.now_s, 0),
        )

        def confirmed(message: Any) -> None:
            if isinstance(message, MajorityMissed):
                self.end_statement(answered=True)
                self.refuse(UNKNOWN if self.statement.write else MISSED_READ)
                return
            self.note_acknowledged(answer)
            self.end_statement(
                answered=True, committed=True, position=answer.position
            )
            self.finish(execution.build_result(self.statement, answer, 0))

        self.ask('acknowledgements', wait, confirmed)

    def note_acknowledged(self, answer: schema.MemberAnswer) -> None:
        """Lets the world hold every later primary to the write."""
        if self.statement.write:
            self.world.acknowledge(answer)


MISSED_READ = errors.refuse(
    ErrorCode.NOT_PRIMARY, 'no majority', outcome=Outcome.FAILED
)


class Course:
    """A request on its entry host."""

    def __init__(
        self,
        world: RequestWorld,
        host: str,
        request: CallerRequest,
        done: Callable[[CallerAnswer | None], None],
    ) -> None:
        """Keeps the request; ``done(None)`` tells a lost connection."""
        self.world = world
        self.daemon = world.daemons[host]
        self.request = request
        self.done = done
        self.name = f'course {next(world.numbers)}'
        self.until_s = world.now_s + request.budget_s
        self.session = Session()
        self.number = 0
        self.unknown = False
        self.waited_s = float(0)
        self.primary_only = False

    def start(self) -> None:
        """Admits the request and verifies its session."""
        self.world.lost.append(self.lose)
        self.daemon.open.add(self.name)
        self.reach('key check')
        self.world.arrive(self.daemon.host, self.admit)

    def reach(self, step: str) -> None:
        """Tells which step the request reaches."""
        name = step
        if self.request.step is not TransactionStep.SINGLE:
            name = f'{self.request.step.name.lower()}: {step}'
        self.world.reach(name, self.daemon.host, self.request.request_id)

    def lose(self, host: str) -> None:
        """Tells the caller that its connection closed."""
        if host == self.daemon.host:
            self.end(None)

    def end(self, answer: CallerAnswer | None) -> None:
        """Answers the caller once."""
        if self.lose not in self.world.lost:
            return
        self.world.lost.remove(self.lose)
        self.daemon.open.discard(self.name)
        self.done(answer)

    def admit(self) -> None:
        """Checks key, session and deadline."""
        if not self.world.is_running(self.daemon):
            return
        check = CheckKey(
            self.name, self.request.key, WORKSPACE, self.request.route
        )
        if not self.daemon.accepting:
            self.refuse(errors.refuse(ErrorCode.HOST_LEAVING, 'leaving'))
            return
        self.world.ask(self.daemon, 'keys', check, self.checked)

    def checked(self, answer: Any) -> None:
        """Goes on with an accepted key."""
        if not isinstance(answer, KeyAccepted):
            code = ErrorCode.KEY_REFUSED
            if answer.status_unknown:
                code = ErrorCode.KEY_STATUS_UNKNOWN
            self.refuse(errors.refuse(code, answer.reason))
            return
        invariants.check(
            holds=self.world.now_s <= self.world.revoked_s + IN_FORCE_S,
            code='R6',
            detail='a revoked key was accepted',
        )
        self.session = tokens.verify(
            self.request.session_token, WORKSPACE, SECRETS
        )
        if self.request.step in FREE_STEPS:
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
        self.forward(owner, statement, self.continued)

    def plan(self) -> None:
        """Asks the dispatcher where the request runs."""
        if self.world.now_s >= self.until_s:
            self.refuse(UNKNOWN if self.unknown else LATE)
            return
        self.reach('plan')
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
        self.world.ask(self.daemon, 'dispatch', plan, self.planned)

    def planned(self, plan: StatementPlan) -> None:
        """Forwards the statement, waits for a replica, or retries."""
        if plan.refused:
            self.retry(plan.statement, plan.refusal)
            return
        if not plan.choice.endpoint:
            self.number -= 1
            self.waited_s += plan.choice.wait_s
            self.world.at_daemon(self.daemon, plan.choice.wait_s, self.plan)
            return
        statement = self.complete(plan.statement)

        def answered(result: StatementResult) -> None:
            self.answered(statement, self.check_read(statement, result))

        self.forward(plan.owner, statement, answered)

    def complete(self, statement: Statement) -> Statement:
        """Returns the statement with what the caller sent."""
        return statement._replace(
            request_id=self.request.request_id,
            text=self.request.text,
            transaction=self.request.transaction,
            step=self.request.step,
            budget_s=min(self.until_s - self.world.now_s, 2 * ATTEMPT_S),
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
            if not settled and self.world.is_running(self.daemon):
                settled.append(True)
                answered(result)

        def finish(result: StatementResult) -> None:
            self.world.send(owner, self.daemon.host, lambda: settle(result))

        def act() -> None:
            daemon = self.world.daemons.get(owner)
            if daemon is not None:
                Execution(self.world, daemon, statement, finish).run()

        def give_up() -> None:
            settle(execution.build_refused_result(statement, UNKNOWN))

        self.reach('forward')
        self.world.send(self.daemon.host, owner, act)
        self.world.at_daemon(
            self.daemon, statement.budget_s + LINK_LOST_S, give_up
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

    def answered(self, statement: Statement, result: StatementResult) -> None:
        """Answers the caller or tries again."""
        if not result.refused:
            self.answer(statement, result)
            return
        if result.replica:
            self.plan()
            return
        self.note_unknown(statement, result.refusal)
        self.retry(statement, result.refusal)

    def continued(self, result: StatementResult) -> None:
        """Answers a statement of a transaction, which is not repeated."""
        if result.refused:
            self.refuse(result.refusal)
            return
        self.answer(Statement(write=True, database=result.database), result)

    def note_unknown(self, statement: Statement, refusal: Refusal) -> None:
        """Marks the session after a write that may have run."""
        if refusal.outcome is not Outcome.UNKNOWN or not statement.write:
            return
        self.unknown = True
        marked = sessions.mark_unknown(
            self.session.positions, statement.database, statement.term
        )
        self.session = self.session._replace(positions=marked)

    def retry(self, statement: Statement, refusal: Refusal) -> None:
        """Tries again later if that is allowed."""
        attempt = Attempt(
            kind=FAILURE_KINDS[refusal.outcome],
            repeat=statement.repeat,
            step=self.request.step,
            write=statement.write,
            number=self.number,
            remaining_s=self.until_s - self.world.now_s,
            earlier_unknown=self.unknown,
            refusal=refusal,
        )
        spending = retries.plan_retry(
            attempt,
            retries.refill(self.daemon.budget, self.world.now_s),
            draw=self.world.rng.random(),
        )
        self.daemon.budget = spending.budget
        if spending.plan.retry:
            delay_s = spending.plan.delay_s
            self.world.at_daemon(self.daemon, delay_s, self.plan)
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
        self.reach('reply')
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

    def __init__(self, world: RequestWorld, name: str) -> None:
        """Starts without a session."""
        self.world = world
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
        """Sends a request to a host if the host runs."""
        if host not in self.world.daemons:
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
            self.take(request, answer, needed)

        Course(self.world, host, request, done).start()

    def take(
        self,
        request: CallerRequest,
        answer: CallerAnswer | None,
        needed: frozenset[str],
    ) -> None:
        """Notes an answer and checks what a read saw."""
        outcomes = self.outcomes.setdefault(request.request_id, [])
        if answer is None:
            outcomes.append(None)
            return
        self.token = answer.session_token or self.token
        if answer.refused:
            outcomes.append(answer.refusal.outcome)
            return
        self.take_result(request, answer, needed)

    def take_result(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        needed: frozenset[str],
    ) -> None:
        """Notes a result."""
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
        seen = self.world.seen[answer.endpoint, request.request_id]
        invariants.check(
            holds=needed <= seen,
            code='R1',
            detail=f'{answer.endpoint} does not show {needed - seen}',
        )

    def check_final(self) -> None:
        """Checks all outcomes against the logs after every fault ended."""
        primary = self.world.find_primary()
        recorded = self.world.list_recorded(primary)
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
