"""Handles each type of statement, depending on the phase of its session."""

import functools
from typing import Any, TypeAlias

from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    CommitTransaction,
    DeallocateStatement,
    ExecutePrepared,
    PrepareStatement,
    ReadItem,
    RollBackTransaction,
    SessionPhase,
    SetValue,
    UnknownStatement,
    WriteItem,
)
from poplarspoke.relay import keeping, operations, outcomes, pool, transactions
from poplarspoke.relay.state import RelayState, Session

Statement: TypeAlias = (
    BeginTransaction
    | CommitTransaction
    | RollBackTransaction
    | ReadItem
    | WriteItem
    | SetValue
    | PrepareStatement
    | ExecutePrepared
    | DeallocateStatement
    | UnknownStatement
)


@functools.singledispatch
def run(
    statement: Any,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    """Runs one statement of a session and returns the resulting messages.

    Raises:
        TypeError: The message is not a statement.
    """
    raise TypeError(f'{type(statement).__name__} is not a statement')


@run.register
def _(
    statement: UnknownStatement,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)


@run.register
def _(
    statement: BeginTransaction,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if session['phase'] is not SessionPhase.IDLE:
        return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)
    return operations.start(state, session, statement, now_s)


@run.register
def _(
    statement: ReadItem | WriteItem,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    return _run_item(statement, state, session, now_s)


@run.register
def _(
    statement: ExecutePrepared,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if statement.name not in session['prepared']:
        return outcomes.refuse(
            state, session, statement, AnswerCode.NO_STATEMENT
        )
    return _run_item(statement, state, session, now_s)


@run.register
def _(
    statement: CommitTransaction | RollBackTransaction,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if session['phase'] is SessionPhase.IDLE:
        return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)
    if transactions.is_detached(session):
        # The endpoint has rolled the transaction back already.
        return transactions.answer_rolled_back(
            state, session, statement, 'the transaction was rolled back'
        )
    return operations.continue_transaction(state, session, statement, now_s)


@run.register
def _(
    statement: SetValue,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if session['phase'] is SessionPhase.FAILED:
        return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)
    if not keeping.reserve_value(session, statement):
        return outcomes.refuse(state, session, statement, AnswerCode.TOO_LARGE)
    if session['phase'] is SessionPhase.OPEN:
        return operations.continue_transaction(state, session, statement, now_s)
    session['values'][statement.name] = statement.content
    return outcomes.answer(
        state, session, AnswerCode.DONE, '-', session['phase']
    )


@run.register
def _(
    statement: PrepareStatement,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if session['phase'] is SessionPhase.FAILED:
        return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)
    if not keeping.reserve_prepared(session, statement):
        return outcomes.refuse(state, session, statement, AnswerCode.TOO_LARGE)
    session['prepared'][statement.name] = statement
    connection = state['connections'].get(session['connection'])
    if connection is not None:
        # Preparing it now saves a setup statement at its first execution.
        alias = pool.name_alias(statement)
        if alias not in connection['aliases']:
            return operations.continue_transaction(
                state, session, statement, now_s
            )
    return outcomes.answer(
        state, session, AnswerCode.DONE, '-', session['phase']
    )


@run.register
def _(
    statement: DeallocateStatement,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if session['phase'] is SessionPhase.FAILED:
        return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)
    if session['prepared'].pop(statement.name, None) is None:
        return outcomes.refuse(
            state, session, statement, AnswerCode.NO_STATEMENT
        )
    return outcomes.answer(
        state, session, AnswerCode.DONE, '-', session['phase']
    )


def _run_item(
    statement: Any,
    state: RelayState,
    session: Session,
    now_s: float,
) -> list[Any]:
    if session['phase'] is SessionPhase.FAILED:
        if transactions.is_detached(session):
            return transactions.answer_rolled_back(
                state, session, statement, 'the transaction was rolled back'
            )
        return outcomes.refuse(state, session, statement, AnswerCode.MALFORMED)
    if session['phase'] is SessionPhase.OPEN:
        return operations.continue_transaction(state, session, statement, now_s)
    return operations.start(state, session, statement, now_s)
