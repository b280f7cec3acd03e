"""Handles answers of endpoints and connections that end without one."""

import functools
from typing import Any

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import (
    AnswerCode,
    EndpointAnswered,
    PrepareStatement,
    RefusalCause,
    SendAnswer,
    SessionPhase,
    SetValue,
)
from poplarspoke.relay import (
    backoffs,
    contention,
    freshness,
    measurements,
    operations,
    outcomes,
    pool,
    routing,
    speeds,
)
from poplarspoke.relay.state import (
    NO_CONNECTION,
    NO_POSITION,
    Connection,
    Endpoint,
    Operation,
    RelayState,
    Session,
)

# Weight of the newest answer in an endpoint's average latency.
LATENCY_WEIGHT = 0.2
# Backoff of reads from a replica whose log lags, doubled with each refusal,
# because a refused read costs a round trip. Hosts do not share this state.
LAG_BACKOFF_S = 0.15
MAX_LAG_BACKOFF_S = 1.2
# Limit on the connections that one statement is tried on.
MAX_ATTEMPTS = 6
# Backoff of a statement that an endpoint was too busy for, doubled with each
# refusal, because many hosts send to the same endpoint.
BUSY_BACKOFF_S = 0.02
MAX_BUSY_BACKOFF_S = 0.16
# Answers after which a statement may be placed again; a statement that ran must
# also be safe to repeat.
RETRYABLE_CODES = frozenset(
    (
        AnswerCode.BUSY,
        AnswerCode.LAGGING,
        AnswerCode.READ_ONLY,
        AnswerCode.NO_STATEMENT,
        AnswerCode.FAILED,
        AnswerCode.TIMEOUT,
    )
)
# Answers that an endpoint gives only after it has run the statement.
RUN_CODES = frozenset((AnswerCode.FAILED, AnswerCode.TIMEOUT))


def handle_answer(
    state: RelayState,
    connection: Connection,
    answer: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    """Handles the answer to the statement in flight on a connection.

    Depending on the answer, sends the next statement, places the operation
    again or answers the caller.
    """
    statement = connection['in_flight']
    connection['in_flight'] = None
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is not None:
        _record_answer(state, endpoint, connection, answer, now_s)
    operation = state['operations'].get(connection['session'])
    if statement is None or operation is None:
        # The connection's state is unknown after an unexpected answer.
        return [pool.close(state, connection['connection'])]
    if statement is not operation['statement']:
        return _handle_step_answer(state, operation, connection, answer, now_s)
    measurements.record_answer(state, operation, connection, answer, now_s)
    speeds.record_answer(state, operation, connection, answer.code, now_s)
    _apply_effect(connection, statement, answer)
    retried = _retry(state, operation, connection, answer, now_s)
    if retried is not None:
        return retried
    return _finish(state, operation, connection, answer, now_s)


def handle_connection_loss(
    state: RelayState,
    connection: Connection,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Handles a connection that has ended or failed to open.

    An open transaction fails. A single statement that may have taken effect gets
    an unknown outcome; others are placed again.

    Args:
        state: State of the relay.
        connection: Connection that is no longer usable.
        now_s: Boot clock in seconds.
        reason: Cause of the loss, for the caller and the log.

    Returns:
        Messages to carry out.
    """
    session = state['sessions'].get(connection['session'])
    if session is None:
        return []
    pinned = session['connection'] == connection['connection']
    if pinned:
        session['connection'] = NO_CONNECTION
    operation = state['operations'].get(session['session'])
    if operation is None or (
        operation['connection'] != connection['connection']
    ):
        return []
    if operation['sent_s']:
        speeds.record_failure(state, connection['endpoint'], now_s)
    operation['connection'] = NO_CONNECTION
    operation['steps'] = []
    if pinned:
        return handle_transaction_loss(state, operation, now_s, reason)
    if operation['sent_s'] and not operation['may_repeat']:
        return outcomes.answer_unknown(state, operation, now_s, reason)
    operation['sent_s'] = 0
    operation['tried'].add(connection['endpoint'])
    if operation['attempts'] >= MAX_ATTEMPTS:
        return outcomes.refuse_retryable(state, operation, now_s, reason)
    return operations.place(state, operation, now_s)


def update_latency(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> None:
    """Adds the time since the last statement was sent to the average latency.

    This includes statements that are abandoned without an answer. Otherwise an
    endpoint that loses some of its answers would look as fast as the others.
    """
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is None:
        return
    if connection['in_flight'] is not None:
        speeds.record_failure(state, connection['endpoint'], now_s)
    latency_s = now_s - connection['sent_s']
    change_s = latency_s - endpoint['latency_s']
    endpoint['latency_s'] += LATENCY_WEIGHT * change_s


def _record_answer(
    state: RelayState,
    endpoint: Endpoint,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> None:
    """Updates the endpoint's state, and the position of a leased primary."""
    endpoint['heard_s'] = now_s
    endpoint['unresponsive_since_s'] = 0
    endpoint['failures'] = 0
    endpoint['position'] = reply.position
    if reply.code is AnswerCode.DONE:
        endpoint['consecutive_lags'] = 0
    update_latency(state, connection, now_s)
    service = endpoint['entry'].service
    lease = routing.find_lease(state, service, now_s)
    if lease is None or lease.endpoint != connection['endpoint']:
        return
    # A statement sent before the lease started may have been answered by the
    # new primary as a replica, before it applied all the log it had received.
    if connection['sent_s'] < state['leased_since_s'].get(service, 0):
        return
    if reply.position.term and reply.code is AnswerCode.DONE:
        freshness.record_observation(
            state, service, connection['sent_s'], reply.position
        )


def _handle_step_answer(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    step = operation['steps'].pop(0)
    if reply.code is AnswerCode.DONE:
        _apply_effect(connection, step, reply)
        return operations.send_next(state, operation, connection, now_s)
    # The connection's state is unknown; the caller's statement was not sent.
    number = connection['connection']
    lost = handle_connection_loss(state, connection, now_s, 'setup failed')
    return [pool.close(state, number), *lost]


@functools.singledispatch
def _apply_to_connection(statement: Any, connection: Connection) -> None:
    """Records what a successful statement changed on its connection."""


@_apply_to_connection.register
def _(statement: SetValue, connection: Connection) -> None:
    connection['values'][statement.name] = statement.content


@_apply_to_connection.register
def _(statement: PrepareStatement, connection: Connection) -> None:
    connection['aliases'].add(pool.name_alias(statement))


@functools.singledispatch
def apply_to_session(statement: Any, session: Session) -> None:
    """Records what a successful statement changed in its session."""


@apply_to_session.register
def _(statement: SetValue, session: Session) -> None:
    session['values'][statement.name] = statement.content


def _apply_effect(
    connection: Connection,
    statement: Any,
    reply: EndpointAnswered,
) -> None:
    if reply.code is AnswerCode.DONE:
        _apply_to_connection(statement, connection)


def _retry(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> list[Any] | None:
    """Places an operation again that has not run or is safe to repeat.

    Returns:
        Messages to carry out, or None if the operation must not be retried.
    """
    if not _may_retry(state, operation, reply):
        return None
    if backoffs.is_retry_costly(reply.code) and not backoffs.take_retry(
        state, operation['route'].service
    ):
        return _end_without_retry(state, operation, connection, reply, now_s)
    if reply.code is AnswerCode.NO_STATEMENT:
        connection['aliases'].clear()
    service = operation['route'].service
    name = connection['endpoint']
    endpoint = state['endpoints'].get(name)
    operation['tried'].add(name)
    if reply.code is AnswerCode.LAGGING and endpoint is not None:
        backoff_s = LAG_BACKOFF_S * 2 ** endpoint['consecutive_lags']
        endpoint['lagging_until_s'] = now_s + min(backoff_s, MAX_LAG_BACKOFF_S)
        endpoint['consecutive_lags'] += backoff_s < MAX_LAG_BACKOFF_S
    if reply.code in {AnswerCode.BUSY, AnswerCode.READ_ONLY}:
        wait_s = BUSY_BACKOFF_S * 2 ** operation['rejections']
        wait_s *= state['rng'].uniform(0.5, 1)
        wait_s = min(wait_s, MAX_BUSY_BACKOFF_S)
        if contention.is_active(state, service):
            wait_s = backoffs.compute_backoff(operation, state['rng'].random())
        operation['not_before_s'] = now_s + wait_s
        operation['rejections'] += wait_s < MAX_BUSY_BACKOFF_S
        operation['attempts'] -= 1
    pool.release(state, connection['connection'], now_s)
    operation['connection'] = NO_CONNECTION
    operation['sent_s'] = 0
    outgoing: list[Any] = []
    if now_s >= operation['not_before_s']:
        outgoing.extend(operations.place(state, operation, now_s))
    outgoing.extend(operations.place_waiting(state, service, now_s))
    return outgoing


def _end_without_retry(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> list[Any] | None:
    """Ends an operation whose retry the budget does not cover.

    Returns:
        None if the answer of the endpoint says what the caller must know.
    """
    if reply.code in RUN_CODES:
        return None
    pool.release(state, connection['connection'], now_s)
    operation['tried'].add(connection['endpoint'])
    refused = outcomes.refuse_retryable(
        state,
        operation,
        now_s,
        f'endpoint answered {reply.code.name}, no retry is left',
        cause=RefusalCause.RETRIES,
    )
    service = operation['route'].service
    return [*refused, *operations.place_waiting(state, service, now_s)]


def _may_retry(
    state: RelayState,
    operation: Operation,
    reply: EndpointAnswered,
) -> bool:
    session = state['sessions'][operation['session']]
    if session['connection'] or reply.code not in RETRYABLE_CODES:
        return False
    if reply.code in RUN_CODES and not operation['may_repeat']:
        return False
    if reply.phase is not SessionPhase.IDLE:
        return False
    return operation['attempts'] < MAX_ATTEMPTS


def _is_acknowledgement(
    session: Session,
    connection: Connection,
    statement: Any,
) -> bool:
    """Returns whether a success acknowledges a committed write."""
    if outcomes.is_write_commit(statement, session):
        return True
    in_transaction = session['connection'] == connection['connection']
    return outcomes.is_write(statement, session) and not in_transaction


def _finish(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    statement = operation['statement']
    done = reply.code is AnswerCode.DONE
    acknowledged = NO_POSITION
    if done and _is_acknowledgement(session, connection, statement):
        # Without a valid lease another endpoint may be the primary by now, and
        # the write may be missing from its log.
        if not operations.is_leased(state, session, connection, now_s):
            number = connection['connection']
            return [
                pool.close(state, number),
                *outcomes.answer_unknown(
                    state, operation, now_s, 'primary changed'
                ),
            ]
        acknowledged = reply.position
        session['position'] = reply.position
        session['position_unknown'] = False
        session['wrote_s'] = now_s
    if done:
        apply_to_session(statement, session)
    state['operations'].pop(session['session'], None)
    session['phase'] = reply.phase
    session['used_s'] = now_s
    replica = not operations.is_leased(state, session, connection, now_s)
    outgoing = _send_answer(
        state, operation, reply, acknowledged, replica=replica
    )
    outgoing.append(
        outcomes.summarize_operation(
            operation, session, reply.code, now_s, replica=replica
        ),
    )
    if not done:
        reason = f'endpoint answered {reply.detail}'
        outgoing.append(
            outcomes.log_operation(
                operation, 'failed', reply.code, reason, now_s
            ),
        )
    if reply.phase is SessionPhase.IDLE:
        session['connection'] = NO_CONNECTION
        pool.release(state, connection['connection'], now_s)
        service = operation['route'].service
        outgoing.extend(operations.place_waiting(state, service, now_s))
        return outgoing
    session['connection'] = connection['connection']
    return outgoing


def _send_answer(
    state: RelayState,
    operation: Operation,
    reply: EndpointAnswered,
    acknowledged: Position,
    *,
    replica: bool,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    sent = SendAnswer(
        session['session'], reply.code, reply.rows, reply.detail, reply.phase
    )
    return [
        outcomes.send(
            state, session, sent, position=acknowledged, replica=replica
        ),
    ]


def handle_transaction_loss(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Ends a transaction whose connection is lost.

    A commit that was sent gets an unknown outcome; otherwise the transaction
    has been rolled back.
    """
    session = state['sessions'][operation['session']]
    statement = operation['statement']
    commits = outcomes.is_write_commit(statement, session)
    if commits and operation['sent_s']:
        return outcomes.answer_unknown(state, operation, now_s, reason)
    return outcomes.fail_transaction(state, session, statement, reason)
