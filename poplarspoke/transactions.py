"""Transactions that this host owns.

A transaction holds one connection of its endpoint until it ends. To roll it
back without a statement, its connection is released while it is not clean: the
pool then closes the connection, and the endpoint rolls back.
"""

import functools
from typing import Any, TypedDict

from poplarspoke import errors, invariants
from poplarspoke.generated.common import (
    ErrorCode,
    Outcome,
    Position,
    Refusal,
    Tick,
)
from poplarspoke.generated.connections import ConnectionGone, Release
from poplarspoke.generated.drains import EndTransactions
from poplarspoke.generated.requests import TransactionStep
from poplarspoke.generated.transactions import (
    BeginTransaction,
    DrainTransactions,
    EndReason,
    ReturnEndpoint,
    StatementEnded,
    TransactionAllowed,
    TransactionBegun,
    TransactionCommitted,
    TransactionEnded,
    TransactionRefused,
    UseTransaction,
)
from poplarspoke.tasks import Outgoing, Reply, ToTask

# An idle transaction blocks one of about 3 connections and keeps its locks.
IDLE_TIMEOUT_S = 10.0
# Commits are repeated within the caller's deadline, which is shorter.
ENDED_RETENTION_S = 60.0
MAX_ENDED = 1024
ID_SEPARATOR = '~'
# Host, incarnation and counter.
ID_PARTS = 3
WHOLE_HOST = ''
NO_POSITION = Position()

END_TEXTS = {
    EndReason.COMMITTED: 'was committed',
    EndReason.ROLLED_BACK: 'was rolled back',
    EndReason.COMMIT_UNKNOWN: 'ended by a commit with unknown outcome',
    EndReason.IDLE: f'was rolled back after {IDLE_TIMEOUT_S:.0f} s without use',
    EndReason.DRAINED: 'was rolled back as its endpoint or host leaves service',
    EndReason.CONNECTION_LOST: 'was rolled back as its connection was lost',
}


class Transaction(TypedDict):
    """One open transaction.

    Attributes:
        workspace: The only workspace that may use it.
        database: Database that it runs on.
        endpoint: Endpoint that it runs on.
        connection: Number of the connection that it holds.
        holder: Request id of the ``Acquire`` that its connection was lent for.
        term: Term of the primary that it runs on.
        busy: Request id of the running statement, empty if none.
        committing: Whether that statement is a commit.
        used_s: When its last statement began or ended.
        end_at_s: When a drain rolls it back, infinite without a drain.
    """

    workspace: str
    database: str
    endpoint: str
    connection: int
    holder: str
    term: int
    busy: str
    committing: bool
    used_s: float
    end_at_s: float


class EndedTransaction(TypedDict):
    """A transaction that ended.

    Attributes:
        workspace: Workspace that used it.
        reason: How it ended.
        position: Position of the commit, empty if none was confirmed.
        ended_s: When it ended.
    """

    workspace: str
    reason: EndReason
    position: Position
    ended_s: float


class TransactionState(TypedDict):
    """State of the transactions of one host.

    Attributes:
        host: Name of the host.
        incarnation: Unique for each start of the daemon.
        counter: Number of the last transaction.
        open: Open transactions by id.
        ended: Transactions that ended recently by id, the oldest first.
        draining: End of the grace period of each draining endpoint;
            ``WHOLE_HOST`` stands for all endpoints.
        log_task: Task that is notified of the end of each transaction.
    """

    host: str
    incarnation: int
    counter: int
    open: dict[str, Transaction]
    ended: dict[str, EndedTransaction]
    draining: dict[str, float]
    log_task: str


def create_state(
    host: str,
    incarnation: int,
    *,
    log_task: str,
) -> TransactionState:
    """Returns the state of a host without transactions."""
    return {
        'host': host,
        'incarnation': incarnation,
        'counter': 0,
        'open': {},
        'ended': {},
        'draining': {},
        'log_task': log_task,
    }


def find_host(transaction: str) -> str:
    """Returns the host that owns a transaction; empty if the id is invalid."""
    parts = transaction.rsplit(ID_SEPARATOR, ID_PARTS - 1)
    if len(parts) != ID_PARTS:
        return ''
    return parts[0]


def name_pool(endpoint: str) -> str:
    """Returns the name of the task that owns the pool of an endpoint."""
    return f'connections {endpoint}'


@functools.singledispatch
def decide(
    message: Any,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    """Handles one message and returns the messages to send."""
    raise TypeError(f'transactions cannot handle {type(message).__name__}')


@decide.register
def _(
    message: BeginTransaction,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    if _is_draining(state, message.endpoint):
        refused = _refuse(
            message.request_id,
            errors.refuse(
                ErrorCode.HOST_LEAVING,
                f'{message.endpoint} or its host takes no new transaction',
            ),
        )
        released = Release(message.connection, message.holder)
        return [refused, ToTask(name_pool(message.endpoint), released)]
    _check_single_owner(message, state)
    state['counter'] += 1
    transaction = ID_SEPARATOR.join(
        (state['host'], f'{state["incarnation"]:x}', f'{state["counter"]:x}'),
    )
    state['open'][transaction] = {
        'workspace': message.workspace,
        'database': message.database,
        'endpoint': message.endpoint,
        'connection': message.connection,
        'holder': message.holder,
        'term': message.term,
        'busy': '',
        'committing': False,
        'used_s': now_s,
        'end_at_s': float('inf'),
    }
    begun = TransactionBegun(message.request_id, transaction)
    return [Reply(message.request_id, begun)]


@decide.register
def _(
    message: UseTransaction,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    transaction = state['open'].get(message.transaction)
    if transaction is None:
        return [_answer_ended(message, state)]
    if transaction['workspace'] != message.workspace:
        # The same answer as for an unknown id, so that it reveals nothing.
        return [_refuse_unknown(message)]
    if transaction['busy']:
        return [_refuse_concurrent(message)]
    if now_s >= transaction['end_at_s']:
        outgoing = _end_transaction(
            state, message.transaction, EndReason.DRAINED, now_s
        )
        return [*outgoing, _answer_ended(message, state)]
    transaction['busy'] = message.request_id
    transaction['committing'] = message.step is TransactionStep.COMMIT
    transaction['used_s'] = now_s
    allowed = TransactionAllowed(
        message.request_id,
        transaction['database'],
        transaction['endpoint'],
        transaction['connection'],
        transaction['holder'],
        transaction['term'],
    )
    return [Reply(message.request_id, allowed)]


@decide.register
def _(
    message: StatementEnded,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    transaction = state['open'].get(message.transaction)
    if transaction is None or transaction['busy'] != message.request_id:
        return _resolve_commit(message, state)
    committing = transaction['committing']
    transaction['busy'] = ''
    transaction['committing'] = False
    transaction['used_s'] = now_s
    if message.answered and message.open:
        return []
    reason = _find_end_reason(message, committing=committing)
    return _end_transaction(
        state,
        message.transaction,
        reason,
        now_s,
        position=message.position,
    )


@decide.register
def _(
    message: ConnectionGone,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    for name, transaction in list(state['open'].items()):
        if transaction['endpoint'] != message.endpoint:
            continue
        if transaction['connection'] != message.connection:
            continue
        reason = EndReason.CONNECTION_LOST
        if transaction['committing']:
            reason = EndReason.COMMIT_UNKNOWN
        return _end_transaction(
            state, name, reason, now_s, closed_connection=message
        )
    return []


@decide.register
def _(
    message: DrainTransactions,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    end_at_s = now_s + message.grace_s
    # A repeated drain must not extend the grace period.
    end_at_s = min(state['draining'].get(message.endpoint, end_at_s), end_at_s)
    state['draining'][message.endpoint] = end_at_s
    for transaction in state['open'].values():
        if message.endpoint in {WHOLE_HOST, transaction['endpoint']}:
            transaction['end_at_s'] = min(transaction['end_at_s'], end_at_s)
    return []


@decide.register
def _(
    message: ReturnEndpoint,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    state['draining'].pop(message.endpoint, None)
    for transaction in state['open'].values():
        transaction['end_at_s'] = min(
            state['draining'].get(transaction['endpoint'], float('inf')),
            state['draining'].get(WHOLE_HOST, float('inf')),
        )
    return []


@decide.register
def _(
    message: EndTransactions,
    state: TransactionState,
    now_s: float,
) -> list[Outgoing]:
    for transaction in state['open'].values():
        if message.endpoint in {WHOLE_HOST, transaction['endpoint']}:
            transaction['end_at_s'] = now_s
    return []


@decide.register
def _(message: Tick, state: TransactionState, now_s: float) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    for name, transaction in list(state['open'].items()):
        reason = _find_automatic_end(transaction, now_s)
        if reason is not None:
            outgoing.extend(_end_transaction(state, name, reason, now_s))
    _expire_ended(state, now_s)
    return outgoing


def count_open(state: TransactionState, endpoint: str = WHOLE_HOST) -> int:
    """Returns the number of open transactions of an endpoint or of the host."""
    return sum(
        endpoint in {WHOLE_HOST, transaction['endpoint']}
        for transaction in state['open'].values()
    )


def _is_draining(state: TransactionState, endpoint: str) -> bool:
    return endpoint in state['draining'] or WHOLE_HOST in state['draining']


def _check_single_owner(
    message: BeginTransaction,
    state: TransactionState,
) -> None:
    for name, transaction in state['open'].items():
        invariants.check(
            holds=(transaction['endpoint'], transaction['connection'])
            != (message.endpoint, message.connection),
            code='R3',
            detail=f'connection {message.connection} to {message.endpoint} '
            f'is held by transaction {name}',
        )


def _find_automatic_end(
    transaction: Transaction, now_s: float
) -> EndReason | None:
    """Returns the reason to end a transaction now, None if there is none.

    A commit that was sent runs until its own deadline, since interrupting it
    would only make its outcome unknown.
    """
    if transaction['committing']:
        return None
    if now_s >= transaction['end_at_s']:
        return EndReason.DRAINED
    idle_s = now_s - transaction['used_s']
    if not transaction['busy'] and idle_s >= IDLE_TIMEOUT_S:
        return EndReason.IDLE
    return None


def _find_end_reason(message: StatementEnded, *, committing: bool) -> EndReason:
    if message.committed:
        return EndReason.COMMITTED
    if committing and not message.refused:
        # It may have been executed, but no majority confirmed it.
        return EndReason.COMMIT_UNKNOWN
    if message.answered:
        return EndReason.ROLLED_BACK
    return EndReason.CONNECTION_LOST


def _end_transaction(
    state: TransactionState,
    name: str,
    reason: EndReason,
    now_s: float,
    *,
    position: Position = NO_POSITION,
    closed_connection: ConnectionGone | None = None,
) -> list[Outgoing]:
    transaction = state['open'].pop(name)
    state['ended'][name] = {
        'workspace': transaction['workspace'],
        'reason': reason,
        'position': position,
        'ended_s': now_s,
    }
    event = TransactionEnded(
        name,
        transaction['workspace'],
        transaction['endpoint'],
        reason,
    )
    if closed_connection is not None:
        event = event._replace(close_reason=closed_connection.reason)
    release = Release(transaction['connection'], transaction['holder'])
    return [
        ToTask(name_pool(transaction['endpoint']), release),
        ToTask(state['log_task'], event),
    ]


def _resolve_commit(
    message: StatementEnded,
    state: TransactionState,
) -> list[Outgoing]:
    """Records the late outcome of a commit whose connection was lost.

    Once a majority confirmed the commit, its outcome is no longer unknown.
    """
    ended = state['ended'].get(message.transaction)
    if ended is None or ended['reason'] is not EndReason.COMMIT_UNKNOWN:
        return []
    if message.committed:
        ended['reason'] = EndReason.COMMITTED
        ended['position'] = message.position
    return []


def _answer_ended(message: UseTransaction, state: TransactionState) -> Reply:
    ended = state['ended'].get(message.transaction)
    if ended is None or ended['workspace'] != message.workspace:
        return _refuse_unknown(message)
    detail = f'transaction {message.transaction} {END_TEXTS[ended["reason"]]}'
    commit = message.step is TransactionStep.COMMIT
    if commit and ended['reason'] is EndReason.COMMITTED:
        committed = TransactionCommitted(
            message.request_id,
            ended['position'],
        )
        return Reply(message.request_id, committed)
    code = ErrorCode.TRANSACTION_ENDED
    if commit and ended['reason'] is EndReason.COMMIT_UNKNOWN:
        code = ErrorCode.OUTCOME_UNKNOWN
    return _refuse(message.request_id, errors.refuse(code, detail))


def _refuse_unknown(message: UseTransaction) -> Reply:
    """Refuses a statement whose transaction id has no record on this host.

    The daemon may have restarted after an earlier attempt to commit took
    effect, so the outcome of a commit is unknown. Other statements did not run.
    """
    code = ErrorCode.TRANSACTION_ENDED
    if message.step is TransactionStep.COMMIT:
        code = ErrorCode.OUTCOME_UNKNOWN
    refusal = errors.refuse(code, 'the transaction is not open on its host')
    return _refuse(message.request_id, refusal)


def _refuse_concurrent(message: UseTransaction) -> Reply:
    outcome = Outcome.NOT_RUN
    if message.step is TransactionStep.COMMIT:
        # The running statement may be an earlier attempt of this commit.
        outcome = Outcome.UNKNOWN
    refusal = errors.refuse(
        ErrorCode.BAD_REQUEST,
        f'transaction {message.transaction} runs another statement',
        outcome=outcome,
    )
    return _refuse(message.request_id, refusal)


def _refuse(request_id: str, refusal: Refusal) -> Reply:
    return Reply(request_id, TransactionRefused(request_id, refusal))


def _expire_ended(state: TransactionState, now_s: float) -> None:
    surplus = len(state['ended']) - MAX_ENDED
    for name, ended in list(state['ended'].items()):
        if surplus <= 0 and now_s < ended['ended_s'] + ENDED_RETENTION_S:
            break
        surplus -= 1
        state['ended'].pop(name)
