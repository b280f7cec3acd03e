"""Runs statements on the endpoints that this host owns.

A statement first gets a slot from the fair queue, then a clean connection, and
then the endpoint's answer. A write or a strict read also waits until a majority
of members confirms it.
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

# Reserved from the caller's budget for the reply to travel back.
REPLY_MARGIN_S = 0.02
# Fraction of the remaining budget for one attempt of a repeatable statement.
ATTEMPT_FRACTION = 0.33
# A busy endpoint often needs longer than this fraction of a short budget.
MIN_EXCHANGE_S = 0.5


class EndpointUnit(NamedTuple):
    """The tasks that serve one endpoint on its owner.

    Attributes:
        endpoint: Name of the endpoint.
        database: Its database.
        queue: Task of the fair queue that grants its slots.
        pool: Task of its connection pool.
        sockets: Sockets of the pool.
        acknowledgements: Task that awaits majorities of the database.
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
        """Creates an executor.

        Args:
            host: Name of this host.
            find_unit: Returns the tasks of an endpoint, None if unknown.
            now_s: Reads the monotonic clock.
        """
        self._host = host
        self._find_unit = find_unit
        self._now_s = now_s
        self._numbers = itertools.count(1)

    async def run(self, statement: Statement) -> StatementResult:
        """Runs a single statement and returns its result or refusal."""
        deadline_s = self.find_deadline(statement)
        try:
            unit = await self.get_unit(statement.endpoint)
            answer = await self.run_in_slot(
                statement,
                unit,
                deadline_s,
                None,
                build_execute(statement),
            )
            if answer.refused:
                return build_refused_result(statement, answer.refusal)
            return await self.confirm(statement, unit, answer, deadline_s)
        except errors.PoplarspokeError as exc:
            return build_refused_result(statement, errors.refuse_from(exc))

    async def get_unit(self, endpoint: str) -> EndpointUnit:
        """Returns the tasks that serve an endpoint.

        Raises:
            errors.RefusedError: The endpoint is not in the settings.
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
        deadline_s: float,
        allowed: TransactionAllowed | None,
        message: Any,
    ) -> MemberAnswer:
        """Waits for a slot of the fair queue, then sends a message.

        Args:
            statement: Statement that the message runs.
            unit: Tasks of the endpoint.
            deadline_s: Deadline on the monotonic clock.
            allowed: Connection of the transaction, None outside of one.
            message: Message to the endpoint.

        Raises:
            errors.RefusedError: The message was refused and did not run.
            web.AnswerLostError: No complete answer arrived.
        """
        attempt = self.create_attempt_id()
        budget_s = self.count_remaining_s(deadline_s)
        granted = await unit.queue.ask(
            Enqueue(attempt, statement.workspace, budget_s),
            timeout_s=budget_s,
        )
        if not isinstance(granted, SlotGranted):
            raise errors.RefusedError(granted.refusal)
        try:
            if allowed is None:
                return await self._exchange_on_lent(
                    statement, unit, deadline_s, message
                )
            return await self.exchange(
                unit,
                allowed.connection,
                allowed.holder,
                message,
                deadline_s,
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
        deadline_s: float,
        *,
        clean: bool,
    ) -> MemberAnswer:
        """Sends a message on a connection and returns its checked answer.

        Args:
            unit: Tasks of the endpoint.
            connection: Number of the connection.
            holder: Request id of the ``Acquire`` that it was lent for.
            message: Message to the endpoint.
            deadline_s: Deadline on the monotonic clock.
            clean: Whether no transaction is open after it.

        Raises:
            web.AnswerLostError: No complete answer to this message arrived.
            errors.RefusedError: The endpoint refused the message.
        """
        timeout_s = self.count_remaining_s(deadline_s)
        request_id = find_request_id(message)
        unit.pool.post(
            StartExchange(connection, holder, request_id, timeout_s),
        )
        answer: MemberAnswer = await unit.sockets.exchange(
            connection,
            message,
            timeout_s=timeout_s,
        )
        # The statement has run, so a pool that does not answer in time must
        # not lead to the outcome "not run".
        try:
            ended = await unit.pool.ask(
                EndExchange(request_id, connection, answer.request_id, clean),
                timeout_s=max(
                    self.count_remaining_s(deadline_s), REPLY_MARGIN_S
                ),
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
        deadline_s: float,
    ) -> StatementResult:
        """Returns the result of an answer.

        If the statement requires it, waits until a majority has confirmed the
        position of the answer.
        """
        if not statement.confirm:
            return build_result(statement, answer, answer.age_s)
        attempt = self.create_attempt_id()
        budget_s = self.count_remaining_s(deadline_s)
        query = AwaitMajority(
            attempt,
            unit.endpoint,
            answer.position,
            budget_s,
        )
        try:
            reply = await unit.acknowledgements.ask(
                query,
                timeout_s=budget_s + REPLY_MARGIN_S,
            )
        except errors.RefusedError:
            # A change of the settings may have stopped the task.
            reply = MajorityMissed(attempt)
        if isinstance(reply, MajorityMissed):
            return build_refused_result(
                statement, _refuse_unconfirmed(statement, reply)
            )
        result = build_result(statement, answer, 0)
        return result._replace(holders=reply.holders)

    def create_attempt_id(self) -> str:
        """Returns an id that is unique among the attempts of this daemon."""
        return f'{self._host}.{next(self._numbers)}'

    def find_deadline(self, statement: Statement) -> float:
        """Returns the time by which a statement must end on this host."""
        return self._now_s() + statement.budget_s - REPLY_MARGIN_S

    def count_remaining_s(self, deadline_s: float) -> float:
        """Returns the seconds until a deadline, 0 if it has passed."""
        return max(deadline_s - self._now_s(), 0)

    async def _exchange_on_lent(
        self,
        statement: Statement,
        unit: EndpointUnit,
        deadline_s: float,
        message: Any,
    ) -> MemberAnswer:
        """Sends a message on a connection that is lent for this exchange."""
        holder = self.create_attempt_id()
        timeout_s = self.count_remaining_s(deadline_s)
        exchange_timeout_s = find_exchange_timeout(statement, timeout_s)
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
                min(deadline_s, self._now_s() + exchange_timeout_s),
                clean=True,
            )
        finally:
            unit.pool.post(Release(lent.connection, holder))


def find_exchange_timeout(statement: Statement, budget_s: float) -> float:
    """Returns the seconds after which an exchange times out.

    A statement that may be repeated gets a third of the remaining time, so
    that an unresponsive connection leaves time for further attempts.
    """
    if statement.repeat is Repeat.NEVER:
        return budget_s
    return max(budget_s * ATTEMPT_FRACTION, MIN_EXCHANGE_S)


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


def build_refused_result(
    statement: Statement, refusal: Refusal
) -> StatementResult:
    """Returns the result of a statement that was refused or is unknown.

    It has the database and term of the statement, since the entry host of a
    commit knows neither and needs both to mark the session.
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


def _refuse_unconfirmed(statement: Statement, reply: MajorityMissed) -> Refusal:
    if statement.write:
        return errors.refuse(
            ErrorCode.OUTCOME_UNKNOWN,
            'no majority of members confirmed the write',
            outcome=Outcome.UNKNOWN,
        )
    # The read was executed, so "not run" would be wrong; it may be repeated.
    return errors.refuse(
        ErrorCode.NOT_PRIMARY,
        'no majority of members confirmed the primary; '
        f'highest term {reply.adopted_term}',
        outcome=Outcome.UNKNOWN,
    )
