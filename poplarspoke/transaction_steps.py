"""Runs the steps of transactions on the host that owns their endpoint."""

from typing import Any

from poplarspoke import errors, web
from poplarspoke.execution import (
    EndpointUnit,
    Executor,
    build_execute,
    build_refused_result,
)
from poplarspoke.generated import members
from poplarspoke.generated.common import ErrorCode, Outcome
from poplarspoke.generated.connections import (
    Acquire,
    ConnectionLent,
    Release,
)
from poplarspoke.generated.members import TransactionControl
from poplarspoke.generated.requests import (
    Repeat,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.transactions import (
    BeginTransaction,
    StatementEnded,
    TransactionAllowed,
    TransactionBegun,
    TransactionCommitted,
    UseTransaction,
)
from poplarspoke.tasks import Task

ENDING_STEPS = {
    TransactionStep.COMMIT: members.CommitTransaction,
    TransactionStep.ROLLBACK: members.RollbackTransaction,
}


class TransactionExecutor:
    """Begins, continues and ends transactions for one daemon."""

    def __init__(self, executor: Executor, transactions: Task) -> None:
        """Stores the executor of statements and the task of transactions."""
        self._executor = executor
        self._transactions = transactions

    async def run(self, statement: Statement) -> StatementResult:
        """Runs a statement of any step and returns its result."""
        if statement.step is TransactionStep.SINGLE:
            return await self._executor.run(statement)
        deadline_s = self._executor.find_deadline(statement)
        try:
            if statement.step is TransactionStep.BEGIN:
                return await self._begin(statement, deadline_s)
            return await self._continue(statement, deadline_s)
        except errors.PoplarspokeError as exc:
            return build_refused_result(statement, errors.refuse_from(exc))

    async def _begin(
        self,
        statement: Statement,
        deadline_s: float,
    ) -> StatementResult:
        unit = await self._executor.get_unit(statement.endpoint)
        holder = self._executor.create_attempt_id()
        timeout_s = self._executor.count_remaining_s(deadline_s)
        lent = await unit.pool.ask(
            Acquire(
                holder,
                statement.workspace,
                transaction=True,
                budget_s=timeout_s,
            ),
            timeout_s=timeout_s,
        )
        if not isinstance(lent, ConnectionLent):
            return build_refused_result(statement, lent.refusal)
        try:
            answer = await self._executor.exchange(
                unit,
                lent.connection,
                holder,
                members.BeginTransaction(_build_control(statement, holder)),
                deadline_s,
                clean=False,
            )
        except errors.PoplarspokeError:
            unit.pool.post(Release(lent.connection, holder))
            raise
        if answer.refused:
            unit.pool.post(Release(lent.connection, holder))
            return build_refused_result(statement, answer.refusal)
        begun = await self._transactions.ask(
            BeginTransaction(
                request_id=holder,
                workspace=statement.workspace,
                database=statement.database,
                endpoint=statement.endpoint,
                connection=lent.connection,
                holder=holder,
                term=statement.term,
            ),
            timeout_s=timeout_s,
        )
        if not isinstance(begun, TransactionBegun):
            return build_refused_result(statement, begun.refusal)
        return StatementResult(
            request_id=statement.request_id,
            endpoint=statement.endpoint,
            transaction=begun.transaction,
            database=statement.database,
        )

    async def _continue(
        self,
        statement: Statement,
        deadline_s: float,
    ) -> StatementResult:
        attempt = self._executor.create_attempt_id()
        allowed = await self._transactions.ask(
            UseTransaction(
                attempt,
                statement.transaction,
                statement.workspace,
                statement.step,
            ),
            timeout_s=self._executor.count_remaining_s(deadline_s),
        )
        if isinstance(allowed, TransactionCommitted):
            return StatementResult(
                request_id=statement.request_id,
                position=allowed.position,
                transaction=statement.transaction,
                repeated=True,
            )
        if not isinstance(allowed, TransactionAllowed):
            return build_refused_result(statement, allowed.refusal)
        located = statement._replace(
            database=allowed.database,
            endpoint=allowed.endpoint,
            term=allowed.term,
        )
        unit = await self._executor.get_unit(allowed.endpoint)
        ended = StatementEnded(attempt, statement.transaction)
        try:
            outcome, ended = await self._run_step(
                located, allowed, unit, deadline_s
            )
        finally:
            self._transactions.post(ended._replace(request_id=attempt))
        return outcome

    async def _run_step(
        self,
        statement: Statement,
        allowed: TransactionAllowed,
        unit: EndpointUnit,
        deadline_s: float,
    ) -> tuple[StatementResult, StatementEnded]:
        """Runs one statement on the connection of its transaction.

        Returns:
            The result and the message that ends the statement.
        """
        ended = StatementEnded(transaction=statement.transaction)
        is_ending = statement.step in ENDING_STEPS
        try:
            answer = await self._executor.run_in_slot(
                statement,
                unit,
                deadline_s,
                allowed,
                _build_message(statement),
            )
        except web.AnswerLostError as exc:
            return (_refuse_lost_answer(statement, exc), ended)
        ended = ended._replace(
            answered=True,
            open=not is_ending,
            refused=answer.refused,
        )
        if answer.refused:
            return (build_refused_result(statement, answer.refusal), ended)
        outcome = await self._executor.confirm(
            statement,
            unit,
            answer,
            deadline_s,
        )
        committed = statement.step is TransactionStep.COMMIT
        return (
            outcome._replace(replica=False),
            ended._replace(
                committed=committed and not outcome.refused,
                position=answer.position,
            ),
        )


def _build_control(statement: Statement, request_id: str) -> TransactionControl:
    return TransactionControl(
        request_id=request_id,
        workspace=statement.workspace,
        term=statement.term,
    )


def _build_message(statement: Statement) -> Any:
    ending = ENDING_STEPS.get(statement.step)
    if ending is None:
        return build_execute(statement._replace(repeat=Repeat.SAFE))
    control = _build_control(statement, statement.request_id)
    return ending(control._replace(record=True))


def _refuse_lost_answer(
    statement: Statement,
    exc: web.AnswerLostError,
) -> StatementResult:
    """Returns the result of a statement whose answer was lost.

    Only a commit has an unknown outcome. After any other statement the
    connection is closed, and the endpoint rolls back the transaction.
    """
    outcome = Outcome.FAILED
    if statement.step is TransactionStep.COMMIT:
        outcome = Outcome.UNKNOWN
    refusal = errors.refuse(
        ErrorCode.OUTCOME_UNKNOWN,
        str(exc),
        outcome=outcome,
    )
    return build_refused_result(statement, refusal)
