"""Runs statements on the endpoints that this host owns.

A statement gets a slot from the fair queue, then a clean connection, then its
answer, and a write or a strict read waits for a majority of members.
"""

import functools
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias

from poplarspoke import errors, web
from poplarspoke.generated.acknowledgements import (
    AwaitMajority,
    MajorityMissed,
)
from poplarspoke.generated.common import ErrorCode, Outcome, Position, Refusal
from poplarspoke.generated.connections import (
    Acquire,
    ConnectionLent,
    EndExchange,
    ExchangeEnded,
    Release,
    StartExchange,
)
from poplarspoke.generated.members import (
    BeginTransaction,
    CommitTransaction,
    Execute,
    MemberAnswer,
    RollbackTransaction,
)
from poplarspoke.generated.queues import Enqueue, Finish, SlotGranted
from poplarspoke.generated.requests import (
    Repeat,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.transactions import TransactionAllowed
from poplarspoke.sockets import EndpointSockets
from poplarspoke.tasks import Task

# Part of the caller's time that is kept for the way back.
RETURN_S = 0.02
ATTEMPT_PART = 0.33
# Slower answers are usual while an endpoint is busy.
MIN_EXCHANGE_S = 0.5


class EndpointUnit(NamedTuple):
    """The tasks that serve one endpoint on its owner.

    Attributes:
        endpoint: Name of the endpoint.
        database: Its database.
        queue: Fair queue before its slots.
        pool: Its connection pool.
        sockets: Owner of its sockets.
        acknowledgements: Majority confirmations of the database.
    """

    endpoint: str
    database: str
    queue: Task
    pool: Task
    sockets: EndpointSockets
    acknowledgements: Task


FindUnit: TypeAlias = Callable[[str], Awaitable[EndpointUnit | None]]


class Executor:
    """Runs statements for one daemon."""

    def __init__(
        self,
        host: str,
        find_unit: FindUnit,
        now_s: Callable[[], float],
    ) -> None:
        """Takes the host's name, the lookup of units and the clock."""
        self._host = host
        self._find_unit = find_unit
        self._now_s = now_s
        self._numbers = itertools.count(1)

    async def run(self, statement: Statement) -> StatementResult:
        """Returns the result of a single statement, or its refusal."""
        until_s = self.find_deadline(statement)
        try:
            unit = await self.get_unit(statement.endpoint)
            answer = await self.run_in_slot(
                statement,
                unit,
                until_s,
                None,
                build_execute(statement),
            )
            if answer.refused:
                return refuse_result(statement, answer.refusal)
            return await self.confirm(statement, unit, answer, until_s)
        except errors.PoplarspokeError as exc:
            return refuse_result(statement, errors.refuse_from(exc))

    async def get_unit(self, endpoint: str) -> EndpointUnit:
        """Returns the tasks that serve an endpoint.

        Raises:
            errors.RefusedError: The settings do not have the endpoint.
        """
        unit = await self._find_unit(endpoint)
        if unit is not None:
            return unit
        raise errors.RefusedError(
            errors.refuse(
                ErrorCode.NO_ENDPOINT,
                f'endpoint {endpoint!r} is not in the settings of this host',
            ),
        )

    async def run_in_slot(
        self,
        statement: Statement,
        unit: EndpointUnit,
        until_s: float,
        allowed: TransactionAllowed | None,
        message: Any,
    ) -> MemberAnswer:
        """Sends a message when the fair queue grants a slot.

        Args:
            statement: Statement that the message runs.
            unit: Tasks of the endpoint.
            until_s: Deadline on the monotonic clock.
            allowed: Connection of the transaction, None outside of one.
            message: What is sent to the endpoint.

        Raises:
            errors.RefusedError: The message was refused and did not run.
            web.AnswerLostError: No whole answer came.
        """
        attempt = self.name_attempt()
        budget_s = self.count_left(until_s)
        granted = await unit.queue.ask(
            Enqueue(attempt, statement.workspace, budget_s),
            timeout_s=budget_s,
        )
        if not isinstance(granted, SlotGranted):
            raise errors.RefusedError(granted.refusal)
        try:
            if allowed is None:
                return await self._borrow(statement, unit, until_s, message)
            return await self.exchange(
                unit,
                allowed.connection,
                allowed.holder,
                message,
                until_s,
                clean=statement.step is not TransactionStep.INSIDE,
            )
        finally:
            unit.queue.post(Finish(attempt))

    async def exchange(
        self,
        unit: EndpointUnit,
        connection: int,
        holder: str,
        message: Any,
        until_s: float,
        *,
        clean: bool,
    ) -> MemberAnswer:
        """Sends a message on a connection and returns its checked answer.

        Args:
            unit: Tasks of the endpoint.
            connection: Number of the connection.
            holder: Who holds the connection.
            message: What is sent to the endpoint.
            until_s: Deadline on the monotonic clock.
            clean: Whether no transaction is open after it.

        Raises:
            web.AnswerLostError: No whole answer to this message came.
            errors.RefusedError: The endpoint refused the message.
        """
        timeout_s = self.count_left(until_s)
        request_id = find_request_id(message)
        unit.pool.post(
            StartExchange(connection, holder, request_id, timeout_s),
        )
        answer: MemberAnswer = await unit.sockets.exchange(
            connection,
            message,
            timeout_s=timeout_s,
        )
        # The statement has run, so a late pool must not be told as not run.
        try:
            ended = await unit.pool.ask(
                EndExchange(request_id, connection, answer.request_id, clean),
                timeout_s=max(self.count_left(until_s), RETURN_S),
            )
        except errors.RefusedError as exc:
            raise web.AnswerLostError('the pool did not answer') from exc
        if isinstance(ended, ExchangeEnded) and ended.accepted:
            return answer
        raise web.AnswerLostError('a late answer to another request came')

    async def confirm(
        self,
        statement: Statement,
        unit: EndpointUnit,
        answer: MemberAnswer,
        until_s: float,
    ) -> StatementResult:
        """Returns the result once a majority has confirmed its position."""
        if not statement.confirm:
            return build_result(statement, answer, answer.age_s)
        attempt = self.name_attempt()
        budget_s = self.count_left(until_s)
        question = AwaitMajority(
            attempt,
            unit.endpoint,
            answer.position,
            budget_s,
        )
        try:
            reply = await unit.acknowledgements.ask(
                question,
                timeout_s=budget_s + RETURN_S,
            )
        except errors.RefusedError:
            # A change of the settings may have ended the task.
            reply = MajorityMissed(attempt)
        if isinstance(reply, MajorityMissed):
            return refuse_result(statement, _refuse_missed(statement, reply))
        found = build_result(statement, answer, 0)
        return found._replace(holders=reply.holders)

    def name_attempt(self) -> str:
        """Returns an id that no other attempt of this daemon has."""
        return f'{self._host}.{next(self._numbers)}'

    def find_deadline(self, statement: Statement) -> float:
        """Returns when a statement must have ended on this host."""
        return self._now_s() + statement.budget_s - RETURN_S

    def count_left(self, until_s: float) -> float:
        """Returns the seconds until a deadline, 0 if it has passed."""
        return max(until_s - self._now_s(), 0)

    async def _borrow(
        self,
        statement: Statement,
        unit: EndpointUnit,
        until_s: float,
        message: Any,
    ) -> MemberAnswer:
        """Sends a message on a connection that is lent for it alone."""
        holder = self.name_attempt()
        timeout_s = self.count_left(until_s)
        limit_s = limit_exchange(statement, timeout_s)
        lent = await unit.pool.ask(
            Acquire(holder, statement.workspace, budget_s=timeout_s),
            timeout_s=timeout_s,
        )
        if not isinstance(lent, ConnectionLent):
            raise errors.RefusedError(lent.refusal)
        try:
            return await self.exchange(
                unit,
                lent.connection,
                holder,
                message,
                min(until_s, self._now_s() + limit_s),
                clean=True,
            )
        finally:
            unit.pool.post(Release(lent.connection, holder))


def limit_exchange(statement: Statement, budget_s: float) -> float:
    """Returns the seconds after which an exchange counts as lost.

    A statement that may be repeated gets a third of the time that is left, so
    that a connection that went silent leaves time for further attempts.
    """
    if statement.repeat is Repeat.NEVER:
        return budget_s
    return max(budget_s * ATTEMPT_PART, MIN_EXCHANGE_S)


@functools.singledispatch
def find_request_id(message: Any) -> str:
    """Returns the request id that the endpoint's answer must echo."""
    return str(message.request_id)


@find_request_id.register
def _(
    message: BeginTransaction | CommitTransaction | RollbackTransaction,
) -> str:
    return message.control.request_id


def build_execute(statement: Statement) -> Execute:
    """Returns the message that runs a statement on an endpoint."""
    return Execute(
        request_id=statement.request_id,
        workspace=statement.workspace,
        term=statement.term if statement.write else 0,
        text=statement.text,
        parameters=statement.parameters,
        write=statement.write,
        record=statement.write and statement.repeat is not Repeat.SAFE,
    )


def build_result(
    statement: Statement,
    answer: MemberAnswer,
    age_s: float,
) -> StatementResult:
    """Returns the result that carries an endpoint's answer."""
    return StatementResult(
        request_id=statement.request_id,
        endpoint=statement.endpoint,
        position=answer.position,
        age_s=age_s,
        rows=answer.rows,
        repeated=answer.repeated,
        replica=statement.replica,
        transaction=statement.transaction,
        queued=answer.queued,
        database=statement.database,
    )


def refuse_result(statement: Statement, refusal: Refusal) -> StatementResult:
    """Returns the result of a statement that was refused or is unknown.

    It names the database and term, which the host that a commit came to does
    not know and needs to mark the session.
    """
    return StatementResult(
        request_id=statement.request_id,
        endpoint=statement.endpoint,
        database=statement.database,
        position=Position(statement.term, 0),
        transaction=statement.transaction,
        refused=True,
        refusal=refusal,
    )


def _refuse_missed(statement: Statement, reply: MajorityMissed) -> Refusal:
    if statement.write:
        return errors.refuse(
            ErrorCode.OUTCOME_UNKNOWN,
            'no majority of members confirmed the write',
            outcome=Outcome.UNKNOWN,
        )
    # The read ran, so it was not "not run"; it may be repeated.
    return errors.refuse(
        ErrorCode.NOT_PRIMARY,
        'no majority of members confirmed the primary; '
        f'highest term {reply.adopted_term}',
        outcome=Outcome.UNKNOWN,
    )
