"""Answers to callers that do not come from an endpoint.

A statement is refused as "not run" only if it certainly has not run. One that
may have run is answered with an unknown outcome.
"""

import functools
import math
from typing import Any

from poplarspoke.generated.common import Position
from poplarspoke.generated.gateways import CloseChannel, ForwardedAnswer
from poplarspoke.generated.relay import (
    AnswerCode,
    CommitTransaction,
    EndSession,
    ExecutePrepared,
    Hop,
    LogDecision,
    OperationEnded,
    RefusalCause,
    RollBackTransaction,
    SendAnswer,
    SessionPhase,
    WriteItem,
)
from poplarspoke.relay import admissions, contention, pool, usage
from poplarspoke.relay.messages import ToGateway, ToPeer
from poplarspoke.relay.state import (
    NO_CONNECTION,
    NO_POSITION,
    Operation,
    RelayState,
    Session,
)

MS_PER_S = 1000
# Delay before a refused caller retries; jitter of up to the same time is added.
RETRY_DELAY_S = 0.2
# Where hosts share load, the delay is at least this fraction of the objective.
# Another host may have a place, so a retry may still end within the objective.
RETRY_FRACTION = 0.1
# It is at most this before the spread; together 1.5 s, in which most failovers
# end.
MAX_RETRY_DELAY_S = 0.5
# Callers are spread over this many times the delay, since those of a burst are
# refused at the same moment.
RETRY_SPREAD = 2.0


@functools.singledispatch
def is_write(statement: Any, session: Session) -> bool:
    """Returns whether a statement writes."""
    return False


@is_write.register
def _(statement: WriteItem, session: Session) -> bool:
    return True


@is_write.register
def _(statement: ExecutePrepared, session: Session) -> bool:
    prepared = session['prepared'].get(statement.name)
    return prepared is not None and prepared.writes


@functools.singledispatch
def is_write_commit(statement: Any, session: Session) -> bool:
    """Returns whether a statement commits a transaction that has written."""
    return False


@is_write_commit.register
def _(statement: CommitTransaction, session: Session) -> bool:
    return session['wrote']


def refuse_retryable(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
    *,
    cause: RefusalCause = RefusalCause.FAILURES,
    wait_s: float = 0,
) -> list[Any]:
    """Refuses an operation that has not run and states a retry delay.

    Args:
        state: State of the relay.
        operation: Operation to refuse.
        now_s: Boot clock in seconds.
        reason: What decided, for the caller and the log.
        cause: The same, for metrics.
        wait_s: When it could be served, as far as this is known.

    Returns:
        Messages to carry out.
    """
    session = state['sessions'][operation['session']]
    untried = not operation['attempts']
    if untried:
        admissions.return_token(state, operation, now_s)
    wait_ms = int(_choose_retry_delay(state, operation, wait_s) * MS_PER_S)
    state['operations'].pop(session['session'], None)
    usage.withdraw(state, operation)
    detail = f'{reason}; retry-after-ms={wait_ms}'
    return [
        summarize_operation(
            operation, session, AnswerCode.BUSY, now_s, cause=cause
        ),
        log_operation(operation, 'refused', AnswerCode.BUSY, reason, now_s),
        *answer(
            state,
            session,
            AnswerCode.BUSY,
            detail,
            SessionPhase.IDLE,
            untried=untried,
        ),
    ]


def time_out(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Answers an operation that may have run but has changed nothing."""
    session = state['sessions'][operation['session']]
    state['operations'].pop(session['session'], None)
    code = AnswerCode.TIMEOUT
    return [
        summarize_operation(operation, session, code, now_s),
        log_operation(operation, 'timed out', code, reason, now_s),
        *answer(state, session, code, reason, SessionPhase.IDLE),
    ]


def summarize_operation(
    operation: Operation,
    session: Session,
    code: AnswerCode,
    now_s: float,
    *,
    replica: bool = False,
    cause: RefusalCause = RefusalCause.NONE,
) -> OperationEnded:
    """Returns the code, route kind and latency of an operation for metrics."""
    latency_s = now_s - operation['arrived_s']
    hop = Hop.NONE if session['channel'] is None else Hop.SERVED
    kind = operation['route'].kind
    return OperationEnded(code, kind, latency_s, replica, hop, cause)


def answer_unknown(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Answers a write or commit that may have taken effect."""
    session = state['sessions'][operation['session']]
    session['position_unknown'] = True
    session['connection'] = NO_CONNECTION
    state['operations'].pop(session['session'], None)
    code = AnswerCode.UNKNOWN_OUTCOME
    return [
        summarize_operation(operation, session, code, now_s),
        log_operation(operation, 'outcome unknown', code, reason, now_s),
        *answer(state, session, code, reason, SessionPhase.IDLE),
    ]


def fail_transaction(
    state: RelayState,
    session: Session,
    statement: Any,
    reason: str,
    *,
    code: AnswerCode = AnswerCode.ABORTED,
) -> list[Any]:
    """Answers a statement whose transaction has been rolled back.

    The session stays in the failed phase until the caller ends the
    transaction.
    """
    state['operations'].pop(session['session'], None)
    ends = isinstance(statement, CommitTransaction | RollBackTransaction)
    phase = SessionPhase.IDLE if ends else SessionPhase.FAILED
    if isinstance(statement, RollBackTransaction):
        return answer(state, session, AnswerCode.DONE, '-', phase)
    line = LogDecision(
        request_id=statement.request_id,
        event='transaction rolled back',
        outcome=code.name.lower(),
        database=session['database'],
        workspace=session['workspace'],
        reason=reason,
    )
    return [line, *answer(state, session, code, reason, phase)]


def answer(
    state: RelayState,
    session: Session,
    code: AnswerCode,
    detail: str,
    phase: SessionPhase,
    *,
    untried: bool = False,
) -> list[Any]:
    """Answers a caller without rows and sets the phase of its session."""
    session['phase'] = phase
    reply = SendAnswer(session['session'], code, (), detail, phase)
    return [send(state, session, reply, untried=untried)]


def send(
    state: RelayState,
    session: Session,
    reply: SendAnswer,
    *,
    position: Position = NO_POSITION,
    replica: bool = False,
    untried: bool = False,
) -> SendAnswer | ToPeer:
    """Addresses an answer to the caller, or to the host that it reached.

    Args:
        state: State of the relay.
        session: Session that the answer is for; one of another host's caller
            is removed when nothing of it is open.
        reply: The answer.
        position: Log position of a write that it acknowledges.
        replica: Whether a replica gave it.
        untried: Whether no endpoint has received the statement.
    """
    channel = session['channel']
    if channel is None:
        return reply
    sequence = state['channel_sequences'].get(channel, 0)
    if reply.phase is SessionPhase.IDLE:
        _remove_channel(state, session)
    frame = ForwardedAnswer(
        channel.number,
        sequence,
        reply.code,
        reply.rows,
        reply.detail,
        reply.phase,
        position,
        replica,
        untried,
    )
    return ToPeer(channel.link, frame)


def refuse(
    state: RelayState,
    session: Session,
    statement: Any,
    code: AnswerCode,
) -> list[Any]:
    """Refuses a statement that the session may not run now."""
    line = LogDecision(
        request_id=statement.request_id,
        event='refused',
        outcome=code.name.lower(),
        database=session['database'],
    )
    reply = answer(state, session, code, 'not run', session['phase'])
    return [line, *reply]


def log_operation(
    operation: Operation,
    event: str,
    code: AnswerCode,
    reason: str,
    now_s: float,
) -> LogDecision:
    """Returns the log line of an operation that did not succeed."""
    age_s = max(now_s - operation['arrived_s'], 0) if now_s else 0
    return LogDecision(
        request_id=operation['statement'].request_id,
        event=event,
        outcome=code.name.lower(),
        endpoint=','.join(sorted(operation['tried'])),
        database=operation['route'].database,
        workspace=operation['workspace'],
        reason=reason,
        age_s=age_s,
        gateway=operation['gateway'],
    )


def end_session(state: RelayState, session: Session) -> list[Any]:
    """Closes a caller's connection and the endpoint connection it uses."""
    number = session['connection']
    gateway = session['gateway']
    state['sessions'].pop(session['session'], None)
    _remove_channel(state, session)
    operation = state['operations'].pop(session['session'], None)
    if operation is not None:
        number = operation['connection'] or number
        gateway = operation['gateway'] or gateway
    outgoing: list[Any] = []
    if session['channel'] is None:
        outgoing.append(EndSession(session['session']))
    if number:
        outgoing.append(pool.close(state, number))
    if gateway:
        outgoing.append(ToGateway(gateway, CloseChannel(session['session'])))
    return outgoing


def _choose_retry_delay(
    state: RelayState, operation: Operation, wait_s: float
) -> float:
    if not contention.is_active(state, operation['route'].service):
        return RETRY_DELAY_S + state['rng'].uniform(0, RETRY_DELAY_S)
    least_s = operation['route'].target_latency_s * RETRY_FRACTION
    if not math.isfinite(wait_s):
        wait_s = RETRY_DELAY_S
    base_s = min(max(wait_s, least_s), MAX_RETRY_DELAY_S)
    return base_s * (1 + state['rng'].uniform(0, RETRY_SPREAD))


def _remove_channel(state: RelayState, session: Session) -> None:
    channel = session['channel']
    if channel is None:
        return
    state['sessions'].pop(session['session'], None)
    state['channels'].pop(channel, None)
    state['channel_sequences'].pop(channel, None)
