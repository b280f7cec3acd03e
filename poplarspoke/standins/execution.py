"""Statements and transactions of a database member.

A transaction buffers its writes and appends one log entry when it commits. The
commit is refused if a value that the transaction read has changed since.
"""

import json
from collections import ChainMap

from poplarspoke import codec, errors, invariants
from poplarspoke.generated.common import ErrorCode, Refusal
from poplarspoke.generated.members import (
    Execute,
    LogEntry,
    MemberAnswer,
    TransactionControl,
)
from poplarspoke.standins import database, statements
from poplarspoke.standins.member_state import (
    MemberState,
    Transaction,
    append_entry,
    is_primary_of,
)

NO_EFFECT = '{}'


def execute(
    body: Execute,
    connection: str,
    state: MemberState,
) -> MemberAnswer:
    """Executes one statement, in the connection's transaction if it has one."""
    try:
        return _execute(body, connection, state)
    except errors.PoplarspokeError as exc:
        return _refuse(body.request_id, exc)


def begin(
    control: TransactionControl,
    connection: str,
    state: MemberState,
) -> MemberAnswer:
    """Begins a transaction on a connection."""
    if not is_primary_of(state, control.term):
        exc = errors.RefusedError(_build_term_refusal(state, control.term))
        return _refuse(control.request_id, exc)
    if connection in state['transactions']:
        refusal = errors.refuse(
            ErrorCode.BAD_REQUEST,
            'the connection has a transaction already',
        )
        return _refuse(control.request_id, errors.RefusedError(refusal))
    state['transactions'][connection] = Transaction(
        workspace=control.workspace,
        seen={},
        changed={},
        ended=False,
    )
    return MemberAnswer(request_id=control.request_id)


def commit(
    control: TransactionControl,
    connection: str,
    state: MemberState,
) -> MemberAnswer:
    """Commits the transaction of a connection as one log entry."""
    try:
        return _commit(control, connection, state)
    except errors.PoplarspokeError as exc:
        return _refuse(control.request_id, exc)


def roll_back(
    control: TransactionControl,
    connection: str,
    state: MemberState,
) -> MemberAnswer:
    """Rolls back the transaction of a connection."""
    state['transactions'].pop(connection, None)
    return MemberAnswer(request_id=control.request_id)


def _execute(
    body: Execute,
    connection: str,
    state: MemberState,
) -> MemberAnswer:
    if (body.write or body.term) and not is_primary_of(state, body.term):
        raise errors.RefusedError(_build_term_refusal(state, body.term))
    transaction = state['transactions'].get(connection)
    if transaction is not None:
        return _execute_in_transaction(body, transaction, state)
    recorded = None
    if body.record:
        recorded = _find_recorded_answer(body.workspace, body.request_id, state)
    return recorded or _execute_autocommit(body, state)


def _execute_autocommit(body: Execute, state: MemberState) -> MemberAnswer:
    table = state['database']['tables'].get(body.workspace, {})
    evaluation = statements.evaluate(body.text, body.parameters, table)
    _check_is_write(body, evaluation)
    rows = _serialize_rows(evaluation)
    if body.write:
        entry = LogEntry(
            workspace=body.workspace,
            effect=json.dumps(dict(evaluation.effect)),
            answer=rows,
        )
        _append_change(state, entry, body.request_id, record=body.record)
    return MemberAnswer(request_id=body.request_id, rows=rows)


def _execute_in_transaction(
    body: Execute,
    transaction: Transaction,
    state: MemberState,
) -> MemberAnswer:
    _check_transaction(transaction, body.workspace)
    table = state['database']['tables'].get(body.workspace, {})
    evaluation = statements.evaluate(
        body.text,
        body.parameters,
        ChainMap(transaction['changed'], table),
    )
    _check_is_write(body, evaluation)
    for key in evaluation.reads:
        if key not in transaction['changed']:
            transaction['seen'].setdefault(key, table.get(key))
    transaction['changed'].update(dict(evaluation.effect))
    return MemberAnswer(
        request_id=body.request_id,
        rows=_serialize_rows(evaluation),
    )


def _commit(
    control: TransactionControl,
    connection: str,
    state: MemberState,
) -> MemberAnswer:
    if not is_primary_of(state, control.term):
        raise errors.RefusedError(_build_term_refusal(state, control.term))
    transaction = state['transactions'].pop(connection, None)
    recorded = None
    if control.record:
        recorded = _find_recorded_answer(
            control.workspace, control.request_id, state
        )
    if recorded is not None:
        return recorded
    transaction = _check_transaction(transaction, control.workspace)
    _check_reads(transaction, state)
    entry = LogEntry(
        workspace=control.workspace,
        effect=json.dumps(transaction['changed']),
        answer='[]',
    )
    _append_change(state, entry, control.request_id, record=control.record)
    return MemberAnswer(request_id=control.request_id, rows='[]')


def _append_change(
    state: MemberState,
    entry: LogEntry,
    request_id: str,
    *,
    record: bool,
) -> None:
    """Appends an entry.

    With ``record`` it stores the request id and the answer; otherwise an entry
    without effect is omitted.
    """
    if record:
        append_entry(state, entry._replace(request_id=request_id))
    elif entry.effect != NO_EFFECT:
        append_entry(state, entry._replace(answer=''))


def _check_is_write(body: Execute, evaluation: statements.Evaluation) -> None:
    if evaluation.effect and not body.write:
        refusal = errors.refuse(
            ErrorCode.BAD_REQUEST,
            'the statement changes values but was sent as a read',
        )
        raise errors.RefusedError(refusal)


def _check_transaction(
    transaction: Transaction | None,
    workspace: str,
) -> Transaction:
    if transaction is None or transaction['ended']:
        refusal = errors.refuse(
            ErrorCode.TRANSACTION_ENDED,
            'the connection has no open transaction',
        )
        raise errors.RefusedError(refusal)
    invariants.check(
        holds=transaction['workspace'] == workspace,
        code='R3',
        detail='a statement reached the transaction of another workspace',
    )
    return transaction


def _check_reads(transaction: Transaction, state: MemberState) -> None:
    """Refuses a commit if a value that it read was overwritten since."""
    table = state['database']['tables'].get(transaction['workspace'], {})
    for key, value in transaction['seen'].items():
        if table.get(key) == value:
            continue
        refusal = errors.refuse(
            ErrorCode.CONFLICT,
            'another transaction has changed a value that this one read',
        )
        raise errors.RefusedError(refusal)


def _find_recorded_answer(
    workspace: str,
    request_id: str,
    state: MemberState,
) -> MemberAnswer | None:
    """Returns the recorded answer of a request, None if there is none.

    The caller sets its position to the end of the log, an entry of the current
    term: confirmation of that entry by a majority covers the recorded entry.
    """
    entry = database.find_recorded_entry(
        state['database'], workspace, request_id
    )
    if entry is None:
        return None
    return MemberAnswer(
        request_id=request_id,
        rows=entry.answer,
        repeated=True,
    )


def _refuse(request_id: str, exc: Exception) -> MemberAnswer:
    return MemberAnswer(
        request_id=request_id,
        refused=True,
        refusal=errors.refuse_from(exc),
    )


def _build_term_refusal(state: MemberState, term: int) -> Refusal:
    adopted = state['adopted_term']
    return errors.refuse(
        ErrorCode.NOT_PRIMARY,
        f'{state["endpoint"]} is no primary of term {term}; '
        f'it has adopted term {adopted}',
    )


def _serialize_rows(evaluation: statements.Evaluation) -> str:
    return json.dumps(codec.to_object(evaluation.rows))
