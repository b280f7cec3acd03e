"""Answers of endpoints, and connections that end without one."""

import functools
from typing import Any

from poplarspoke.generated.relay import (
    AnswerCode,
    EndpointAnswered,
    PrepareStatement,
    SendAnswer,
    SessionPhase,
    SetValue,
)
from poplarspoke.relay import freshness, operations, outcomes, pool, routing
from poplarspoke.relay.state import (
    NO_CONNECTION,
    Connection,
    Endpoint,
    Operation,
    RelayState,
    Session,
)

# Weight of the newest answer in an endpoint's average latency.
LATENCY_WEIGHT = 0.2
# A replica whose log lags is left out for this long, doubled each time, so that
# reads do not ask it in vain; hosts do not tell each other.
BEHIND_S = 0.15
MAX_BEHIND_S = 1.2
# Tries of one statement on different connections.
MAX_ATTEMPTS = 6
# A statement that an endpoint was too busy for is placed again after this time,
# doubled each time: many hosts send to the same endpoint.
BUSY_WAIT_S = 0.02
MAX_BUSY_WAIT_S = 0.16
# Answers after which a statement may be placed again.
RETRIED_CODES = frozenset(
    (
        AnswerCode.BUSY,
        AnswerCode.LAGGING,
        AnswerCode.READ_ONLY,
        AnswerCode.NO_STATEMENT,
        AnswerCode.FAILED,
        AnswerCode.TIMEOUT,
    )
)
# The endpoint ran the statement before it answered with one of these.
RUN_CODES = frozenset((AnswerCode.FAILED, AnswerCode.TIMEOUT))


def take_answer(
    state: RelayState,
    connection: Connection,
    answer: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    """Handles the answer to the statement in flight on a connection."""
    statement = connection['in_flight']
    connection['in_flight'] = None
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is not None:
        _learn(state, endpoint, connection, answer, now_s)
    operation = state['operations'].get(connection['session'])
    if statement is None or operation is None:
        # An answer that nobody waits for leaves the state unknown.
        return [pool.close(state, connection['connection'])]
    if statement is not operation['statement']:
        return _take_step(state, operation, connection, answer, now_s)
    _note_effect(connection, statement, answer)
    retried = _retry(state, operation, connection, answer, now_s)
    if retried is not None:
        return retried
    return _finish(state, operation, connection, answer, now_s)


def lose_connection(
    state: RelayState,
    connection: Connection,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Handles the end of a connection that was not closed by this host."""
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
    operation['connection'] = NO_CONNECTION
    operation['steps'] = []
    if pinned:
        return lose_in_transaction(state, operation, now_s, reason)
    if operation['sent_s'] and not operation['may_repeat']:
        return outcomes.answer_unknown(state, operation, now_s, reason)
    operation['sent_s'] = 0
    operation['tried'].add(connection['endpoint'])
    if operation['attempts'] >= MAX_ATTEMPTS:
        return outcomes.give_up(state, operation, now_s, reason)
    return operations.place(state, operation, now_s)


def learn_latency(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> None:
    """Counts the time since a statement was sent into the average.

    A statement that is given up counts as well: an endpoint that loses some of
    its answers would otherwise look as good as the others.
    """
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is None:
        return
    latency_s = now_s - connection['sent_s']
    change_s = latency_s - endpoint['latency_s']
    endpoint['latency_s'] += LATENCY_WEIGHT * change_s


def _learn(
    state: RelayState,
    endpoint: Endpoint,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> None:
    endpoint['heard_s'] = now_s
    endpoint['silent_since_s'] = 0
    endpoint['failures'] = 0
    endpoint['position'] = reply.position
    if reply.code is AnswerCode.DONE:
        endpoint['lags'] = 0
    learn_latency(state, connection, now_s)
    service = endpoint['entry'].service
    lease = routing.find_lease(state, service, now_s)
    if lease is None or lease.endpoint != connection['endpoint']:
        return
    # A question from before the lease may have been answered by a replica that
    # had not applied all that it had received when it was promoted.
    if connection['sent_s'] < state['leased_since_s'].get(service, 0):
        return
    if reply.position.term and reply.code is AnswerCode.DONE:
        freshness.observe(state, service, connection['sent_s'], reply.position)


def _take_step(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    step = operation['steps'].pop(0)
    if reply.code is AnswerCode.DONE:
        _note_effect(connection, step, reply)
        return operations.send_next(state, operation, connection, now_s)
    # The connection's state is unknown now; the statement was not sent.
    number = connection['connection']
    lost = lose_connection(state, connection, now_s, 'setup failed')
    return [pool.close(state, number), *lost]


@functools.singledispatch
def _note_success(statement: Any, connection: Connection) -> None:
    """Keeps what a statement changed on its connection."""


@_note_success.register
def _(statement: SetValue, connection: Connection) -> None:
    connection['values'][statement.name] = statement.content


@_note_success.register
def _(statement: PrepareStatement, connection: Connection) -> None:
    connection['aliases'].add(pool.name_alias(statement))


@functools.singledispatch
def _note_session(statement: Any, session: Session) -> None:
    """Keeps what a statement changed for its session."""


@_note_session.register
def _(statement: SetValue, session: Session) -> None:
    session['values'][statement.name] = statement.content


def _note_effect(
    connection: Connection,
    statement: Any,
    reply: EndpointAnswered,
) -> None:
    if reply.code is AnswerCode.DONE:
        _note_success(statement, connection)


def _retry(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    reply: EndpointAnswered,
    now_s: float,
) -> list[Any] | None:
    """Places an operation again that provably did not run, or only reads."""
    if not _may_retry(state, operation, reply):
        return None
    if reply.code is AnswerCode.NO_STATEMENT:
        connection['aliases'].clear()
    service = operation['route'].service
    name = connection['endpoint']
    endpoint = state['endpoints'].get(name)
    operation['tried'].add(name)
    if reply.code is AnswerCode.LAGGING and endpoint is not None:
        behind_s = BEHIND_S * 2 ** endpoint['lags']
        endpoint['behind_until_s'] = now_s + min(behind_s, MAX_BEHIND_S)
        endpoint['lags'] += behind_s < MAX_BEHIND_S
    if reply.code in {AnswerCode.BUSY, AnswerCode.READ_ONLY}:
        wait_s = BUSY_WAIT_S * 2 ** operation['rejections']
        wait_s *= state['rng'].uniform(0.5, 1)
        operation['not_before_s'] = now_s + min(wait_s, MAX_BUSY_WAIT_S)
        operation['rejections'] += wait_s < MAX_BUSY_WAIT_S
        operation['attempts'] -= 1
    pool.release(state, connection['connection'], now_s)
    operation['connection'] = NO_CONNECTION
    operation['sent_s'] = 0
    outgoing: list[Any] = []
    if now_s >= operation['not_before_s']:
        outgoing.extend(operations.place(state, operation, now_s))
    outgoing.extend(operations.place_waiting(state, service, now_s))
    return outgoing


def _may_retry(
    state: RelayState,
    operation: Operation,
    reply: EndpointAnswered,
) -> bool:
    session = state['sessions'][operation['session']]
    if session['connection'] or reply.code not in RETRIED_CODES:
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
    """Returns whether a success tells the caller that a write is kept."""
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
    service = operation['route'].service
    if done and _is_acknowledgement(session, connection, statement):
        # The lease must still hold: another endpoint may lead by now.
        if not operations.is_leased(state, session, connection, now_s):
            number = connection['connection']
            return [
                pool.close(state, number),
                *outcomes.answer_unknown(
                    state, operation, now_s, 'primary changed'
                ),
            ]
        session['position'] = reply.position
        session['position_unknown'] = False
        session['wrote_s'] = now_s
    if done:
        _note_session(statement, session)
    state['operations'].pop(session['session'], None)
    session['phase'] = reply.phase
    session['used_s'] = now_s
    outgoing: list[Any] = [
        SendAnswer(
            session['session'],
            reply.code,
            reply.rows,
            reply.detail,
            reply.phase,
        ),
        outcomes.end_operation(
            operation,
            reply.code,
            now_s,
            replica=not operations.is_leased(state, session, connection, now_s),
        ),
    ]
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
        outgoing.extend(operations.place_waiting(state, service, now_s))
        return outgoing
    session['connection'] = connection['connection']
    return outgoing


def lose_in_transaction(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    statement = operation['statement']
    commits = outcomes.is_write_commit(statement, session)
    if commits and operation['sent_s']:
        return outcomes.answer_unknown(state, operation, now_s, reason)
    return outcomes.fail_transaction(state, session, statement, reason)
