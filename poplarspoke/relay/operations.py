"""The way of one statement: admission, placement, endpoint, answer.

A statement whose fate is unknown is answered with an unknown outcome. What
provably did not run may be placed again until the timeout of its route; what
was sent may not, unless it only reads or starts a transaction.
"""

import functools
from typing import Any

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    CommitTransaction,
    EndSession,
    EndpointAnswered,
    ExecutePrepared,
    LogDecision,
    PrepareStatement,
    ReadItem,
    RollBackTransaction,
    SendAnswer,
    SessionPhase,
    SetValue,
    WriteItem,
)
from poplarspoke.generated.rules import RouteKind, RouteRule
from poplarspoke.relay import freshness, pool, quotas, routing
from poplarspoke.relay.messages import Forward
from poplarspoke.relay.state import (
    NO_CONNECTION,
    NO_POSITION,
    Connection,
    Endpoint,
    Operation,
    RelayState,
    Session,
)

MS_PER_S = 1000
# Weight of the newest answer in an endpoint's average latency.
LATENCY_WEIGHT = 0.2
# A replica whose log lags is left out for this long, so that reads do not
# ask it in vain.
BEHIND_S = 0.15
# Part of the latency objective that a statement waits for a connection.
QUEUE_PART = 0.8
# A change of primary takes 0.3 s to 1.0 s on the platform; a caller that is
# told to come back has two retries only.
CHANGE_WAIT_S = 0.6
# Callers that were refused return spread over this time.
RETRY_SPREAD_S = 0.2
# An endpoint that failed is left out for this long, doubled each time.
AVOID_S = 0.1
MAX_AVOID_S = 1.0
# Tries of one statement on different connections.
MAX_ATTEMPTS = 6
# A statement that an endpoint was too busy for is placed again after it.
BUSY_WAIT_S = 0.02
# A read is sent to another endpoint after this part of its objective.
PATIENCE_PART = 0.75


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


def start(
    state: RelayState,
    session: Session,
    statement: Any,
    now_s: float,
) -> list[Any]:
    """Starts an operation: a single statement or a transaction."""
    route = state['routes'].get(session['database'])
    if route is None:
        return refuse(state, session, statement, AnswerCode.UNKNOWN_DATABASE)
    workspace = ''
    if not route.open:
        workspace = state['key_owners'].get(session['key'], '')
        if not workspace:
            return refuse(state, session, statement, AnswerCode.KEY_REFUSED)
    writes = is_write(statement, session)
    starts = pool.is_start(statement)
    needs_primary = writes or (starts and not statement.read_only)
    operation = _create(state, session, statement, route, workspace, now_s)
    operation['may_repeat'] = not writes
    operation['needs_primary'] = needs_primary or (
        route.kind is RouteKind.PRIMARY
    )
    session['route'] = route
    session['workspace'] = workspace
    session['wrote'] = False
    state['operations'][session['session']] = operation
    if workspace and not quotas.admit(state, workspace, now_s):
        operation['awaits_rate'] = True
        return quotas.ask_peers(state, workspace, now_s)
    outgoing = place(state, operation, now_s)
    if workspace:
        outgoing.extend(quotas.ask_peers(state, workspace, now_s))
    return outgoing


def continue_transaction(
    state: RelayState,
    session: Session,
    statement: Any,
    now_s: float,
) -> list[Any]:
    """Runs a statement on the connection of the open transaction."""
    connection = state['connections'].get(session['connection'])
    if connection is None:
        return fail_transaction(state, session, statement, 'connection lost')
    writes = is_write(statement, session)
    route = session['route']
    operation = _create(
        state, session, statement, route, session['workspace'], now_s
    )
    operation['may_repeat'] = False
    operation['connection'] = connection['connection']
    commits = type(statement) is CommitTransaction and session['wrote']
    if (writes or commits) and not _is_leased(
        state, session, connection, now_s
    ):
        outgoing: list[Any] = [pool.close(state, connection['connection'])]
        session['connection'] = NO_CONNECTION
        outgoing.extend(
            fail_transaction(state, session, statement, 'primary changes'),
        )
        return outgoing
    session['wrote'] = session['wrote'] or writes
    state['operations'][session['session']] = operation
    return _send_next(state, operation, connection, now_s)


def place(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Assigns an operation to an endpoint, or leaves it waiting."""
    if not operation['needs_primary'] and not operation['after'].term:
        operation['after'] = routing.find_needed_position(
            state,
            state['sessions'][operation['session']],
            operation['route'],
            operation['arrived_s'],
        )
    for name in routing.rank_endpoints(state, operation, now_s):
        outgoing = pool.assign(state, operation, name, now_s)
        if outgoing is None:
            continue
        connection = state['connections'][operation['connection']]
        if connection['ready']:
            outgoing.extend(_prepare(state, operation, connection, now_s))
        return outgoing
    return []


def place_waiting(
    state: RelayState,
    service: str,
    now_s: float,
) -> list[Any]:
    """Places operations that wait for an endpoint of a service.

    Order: the workspace with the fewest running operations, then the priority
    of the route, then the deadline.
    """
    waiting = [
        operation
        for operation in state['operations'].values()
        if _is_waiting(operation, service, now_s)
    ]
    if not waiting:
        return []
    running: dict[str, int] = {}
    for operation in state['operations'].values():
        if operation['connection']:
            name = operation['workspace']
            running[name] = running.get(name, 0) + 1
    waiting.sort(
        key=lambda entry: (
            running.get(entry['workspace'], 0),
            entry['route'].priority,
            entry['deadline_s'],
        ),
    )
    outgoing: list[Any] = []
    for operation in waiting:
        outgoing.extend(place(state, operation, now_s))
    return outgoing


def begin_connection(
    state: RelayState,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    """Starts the operation that waited for a new connection."""
    connection['ready'] = True
    connection['used_s'] = now_s
    operation = state['operations'].get(connection['session'])
    if operation is None or (
        operation['connection'] != connection['connection']
    ):
        pool.release(state, connection['connection'], now_s)
        return []
    return _prepare(state, operation, connection, now_s)


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
        return _lose_in_transaction(state, session, operation, reason)
    if operation['sent_s'] and not operation['may_repeat']:
        return answer_unknown(state, operation, reason)
    operation['sent_s'] = 0
    operation['tried'].add(connection['endpoint'])
    if operation['attempts'] >= MAX_ATTEMPTS:
        return give_up(state, operation, now_s, reason)
    return place(state, operation, now_s)


def give_up(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Refuses an operation that has not run, with a time to come back."""
    session = state['sessions'][operation['session']]
    spread_s = state['rng'].uniform(0, RETRY_SPREAD_S)
    wait_ms = int((RETRY_SPREAD_S + spread_s) * MS_PER_S)
    state['operations'].pop(session['session'], None)
    detail = f'{reason}; retry-after-ms={wait_ms}'
    return [
        _log(operation, 'refused', AnswerCode.BUSY, reason, now_s),
        *answer(state, session, AnswerCode.BUSY, detail, SessionPhase.IDLE),
    ]


def answer_unknown(
    state: RelayState,
    operation: Operation,
    reason: str,
) -> list[Any]:
    """Answers a write or commit that may have taken effect."""
    session = state['sessions'][operation['session']]
    session['position_unknown'] = True
    session['connection'] = NO_CONNECTION
    state['operations'].pop(session['session'], None)
    code = AnswerCode.UNKNOWN_OUTCOME
    return [
        _log(operation, 'outcome unknown', code, reason, 0),
        *answer(state, session, code, reason, SessionPhase.IDLE),
    ]


def fail_transaction(
    state: RelayState,
    session: Session,
    statement: Any,
    reason: str,
) -> list[Any]:
    """Tells the caller that its transaction has been rolled back."""
    state['operations'].pop(session['session'], None)
    ends = type(statement) in {CommitTransaction, RollBackTransaction}
    phase = SessionPhase.IDLE if ends else SessionPhase.FAILED
    code = AnswerCode.ABORTED
    if type(statement) is RollBackTransaction:
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
) -> list[Any]:
    """Answers a caller without rows and sets the phase of its session."""
    session['phase'] = phase
    return [SendAnswer(session['session'], code, (), detail, phase)]


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


def check_time(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Acts on an operation that has waited for long."""
    if operation['awaits_rate']:
        return _check_rate(state, operation, now_s)
    if not operation['sent_s']:
        return _check_wait(state, operation, now_s)
    if now_s >= operation['deadline_s']:
        return _time_out(state, operation, now_s)
    patience_s = operation['route'].target_latency_s * PATIENCE_PART
    first_try = operation['attempts'] == 1 and operation['may_repeat']
    if first_try and now_s - operation['sent_s'] > patience_s:
        return _move(state, operation, now_s)
    return []


def serve_rate(
    state: RelayState,
    workspace: str,
    now_s: float,
) -> list[Any]:
    """Admits operations that waited for a token of a workspace."""
    outgoing: list[Any] = []
    for operation in list(state['operations'].values()):
        if not operation['awaits_rate'] or operation['workspace'] != workspace:
            continue
        if not quotas.admit(state, workspace, now_s):
            break
        operation['awaits_rate'] = False
        outgoing.extend(place(state, operation, now_s))
    return outgoing


def _create(
    state: RelayState,
    session: Session,
    statement: Any,
    route: RouteRule,
    workspace: str,
    now_s: float,
) -> Operation:
    return Operation(
        session=session['session'],
        statement=statement,
        route=route,
        workspace=workspace,
        arrived_s=now_s,
        deadline_s=now_s + route.statement_timeout_s,
        needs_primary=False,
        may_repeat=False,
        after=NO_POSITION,
        tried=set(),
        connection=NO_CONNECTION,
        steps=[],
        sent_s=0,
        awaits_rate=False,
        not_before_s=0,
        attempts=0,
    )


def _is_waiting(operation: Operation, service: str, now_s: float) -> bool:
    if operation['connection'] or operation['awaits_rate']:
        return False
    if operation['route'].service != service:
        return False
    return now_s >= operation['not_before_s']


def _is_leased(
    state: RelayState,
    session: Session,
    connection: Connection,
    now_s: float,
) -> bool:
    primary = routing.find_lease(state, session['route'].service, now_s)
    return primary is not None and primary.endpoint == connection['endpoint']


def _prepare(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    operation['steps'] = pool.list_steps(
        session, connection, operation['statement']
    )
    return _send_next(state, operation, connection, now_s)


def _send_next(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    statement = operation['statement']
    prepared = pool.find_prepared(statement, session)
    in_transaction = session['connection'] == connection['connection']
    if in_transaction and prepared and not operation['steps']:
        if pool.name_alias(prepared) not in connection['aliases']:
            operation['steps'] = [prepared._replace(request_id='-')]
    after = NO_POSITION
    if operation['steps']:
        statement = operation['steps'][0]
        prepared = _find_step_alias(statement)
    else:
        operation['sent_s'] = now_s
        after = _find_after(state, operation, connection, now_s)
        if _find_step_alias(statement):
            prepared = statement
    connection['in_flight'] = statement
    connection['sent_s'] = now_s
    alias = pool.name_alias(prepared) if prepared else ''
    return [Forward(connection['connection'], statement, after, alias)]


@functools.singledispatch
def _find_step_alias(statement: Any) -> PrepareStatement | None:
    return None


@_find_step_alias.register
def _(statement: PrepareStatement) -> PrepareStatement | None:
    return statement


@functools.singledispatch
def _takes_position(statement: Any) -> bool:
    return False


@_takes_position.register
def _(statement: ReadItem | BeginTransaction) -> bool:
    return True


@_takes_position.register
def _(statement: ExecutePrepared) -> bool:
    return True


def _find_after(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    now_s: float,
) -> Position:
    if operation['needs_primary'] or not operation['after'].term:
        return NO_POSITION
    service = operation['route'].service
    if connection['endpoint'] == routing.find_primary(state, service, now_s):
        return NO_POSITION
    if not _takes_position(operation['statement']):
        return NO_POSITION
    return operation['after']


def _learn(
    state: RelayState,
    endpoint: Endpoint,
    connection: Connection,
    answer_: EndpointAnswered,
    now_s: float,
) -> None:
    endpoint['heard_s'] = now_s
    endpoint['silent_since_s'] = 0
    endpoint['failures'] = 0
    latency_s = now_s - connection['sent_s']
    change_s = latency_s - endpoint['latency_s']
    endpoint['latency_s'] += LATENCY_WEIGHT * change_s
    service = endpoint['entry'].service
    lease = routing.find_lease(state, service, now_s)
    if lease is None or lease.endpoint != connection['endpoint']:
        return
    if answer_.position.term and answer_.code is AnswerCode.DONE:
        freshness.observe(
            state, service, connection['sent_s'], answer_.position
        )


def _take_step(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    answer_: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    step = operation['steps'].pop(0)
    if answer_.code is AnswerCode.DONE:
        _note_effect(connection, step, answer_)
        return _send_next(state, operation, connection, now_s)
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


def _note_effect(
    connection: Connection,
    statement: Any,
    answer_: EndpointAnswered,
) -> None:
    if answer_.code is AnswerCode.DONE:
        _note_success(statement, connection)


def _retry(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    answer_: EndpointAnswered,
    now_s: float,
) -> list[Any] | None:
    """Places an operation again that provably did not run, or only reads."""
    session = state['sessions'][operation['session']]
    if session['connection'] or answer_.code not in RETRIED_CODES:
        return None
    if answer_.code in RUN_CODES and not operation['may_repeat']:
        return None
    if answer_.phase is not SessionPhase.IDLE:
        return None
    if operation['attempts'] >= MAX_ATTEMPTS:
        return None
    if answer_.code is AnswerCode.NO_STATEMENT:
        connection['aliases'].clear()
    service = operation['route'].service
    name = connection['endpoint']
    endpoint = state['endpoints'].get(name)
    operation['tried'].add(name)
    if answer_.code is AnswerCode.LAGGING and endpoint is not None:
        endpoint['behind_until_s'] = now_s + BEHIND_S
    if answer_.code in {AnswerCode.BUSY, AnswerCode.READ_ONLY}:
        operation['not_before_s'] = now_s + BUSY_WAIT_S
        operation['attempts'] -= 1
    pool.release(state, connection['connection'], now_s)
    operation['connection'] = NO_CONNECTION
    operation['sent_s'] = 0
    outgoing: list[Any] = []
    if now_s >= operation['not_before_s']:
        outgoing.extend(place(state, operation, now_s))
    outgoing.extend(place_waiting(state, service, now_s))
    return outgoing


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


def _finish(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    answer_: EndpointAnswered,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    statement = operation['statement']
    done = answer_.code is AnswerCode.DONE
    commits = type(statement) is CommitTransaction and session['wrote']
    in_transaction = session['connection'] == connection['connection']
    writes = is_write(statement, session) and not in_transaction
    service = operation['route'].service
    if done and (commits or writes):
        # The lease must still hold: another endpoint may lead by now.
        if not _is_leased(state, session, connection, now_s):
            number = connection['connection']
            return [
                pool.close(state, number),
                *answer_unknown(state, operation, 'primary changed'),
            ]
        session['position'] = answer_.position
        session['position_unknown'] = False
        session['wrote_s'] = now_s
    if done and type(statement) is SetValue:
        session['values'][statement.name] = statement.content
    state['operations'].pop(session['session'], None)
    session['phase'] = answer_.phase
    session['used_s'] = now_s
    reply = SendAnswer(
        session['session'],
        answer_.code,
        answer_.rows,
        answer_.detail,
        answer_.phase,
    )
    outgoing: list[Any] = [reply]
    if not done:
        reason = f'endpoint answered {answer_.detail}'
        outgoing.append(
            _log(operation, 'failed', answer_.code, reason, now_s),
        )
    if answer_.phase is SessionPhase.IDLE:
        session['connection'] = NO_CONNECTION
        pool.release(state, connection['connection'], now_s)
        outgoing.extend(place_waiting(state, service, now_s))
        return outgoing
    session['connection'] = connection['connection']
    return outgoing


def _lose_in_transaction(
    state: RelayState,
    session: Session,
    operation: Operation,
    reason: str,
) -> list[Any]:
    statement = operation['statement']
    commits = type(statement) is CommitTransaction and session['wrote']
    if commits and operation['sent_s']:
        return answer_unknown(state, operation, reason)
    return fail_transaction(state, session, statement, reason)


def _check_rate(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    workspace = operation['workspace']
    if quotas.admit(state, workspace, now_s):
        operation['awaits_rate'] = False
        return place(state, operation, now_s)
    if now_s - operation['arrived_s'] < quotas.WAIT_S:
        return quotas.ask_peers(state, workspace, now_s)
    return give_up(state, operation, now_s, 'rate exceeded')


def _check_wait(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    if now_s >= operation['deadline_s']:
        return _abandon(state, operation, now_s, 'timeout before it was sent')
    if operation['connection']:
        return []
    waited_s = now_s - operation['arrived_s']
    limit_s = operation['route'].target_latency_s * QUEUE_PART
    service = operation['route'].service
    if not routing.find_primary(state, service, now_s):
        limit_s = CHANGE_WAIT_S
    if waited_s > limit_s:
        return give_up(state, operation, now_s, 'no endpoint is free')
    if now_s < operation['not_before_s']:
        return []
    return place(state, operation, now_s)


def _abandon(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    number = operation['connection']
    session = state['sessions'][operation['session']]
    operation['connection'] = NO_CONNECTION
    if not number:
        return give_up(state, operation, now_s, reason)
    closing = pool.close(state, number)
    if session['connection'] == number:
        session['connection'] = NO_CONNECTION
        statement = operation['statement']
        failed = fail_transaction(state, session, statement, reason)
        return [closing, *failed]
    return [closing, *give_up(state, operation, now_s, reason)]


def _time_out(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    number = operation['connection']
    closing = pool.close(state, number)
    reason = 'no answer within the timeout of the route'
    if session['connection'] == number:
        session['connection'] = NO_CONNECTION
        lost = _lose_in_transaction(state, session, operation, reason)
        return [closing, *lost]
    if not operation['may_repeat']:
        return [closing, *answer_unknown(state, operation, reason)]
    state['operations'].pop(session['session'], None)
    code = AnswerCode.TIMEOUT
    return [
        closing,
        _log(operation, 'timed out', code, reason, now_s),
        *answer(state, session, code, reason, SessionPhase.IDLE),
    ]


def _move(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Sends a read without an answer to another endpoint."""
    number = operation['connection']
    connection = state['connections'][number]
    operation['tried'].add(connection['endpoint'])
    others = [
        name
        for name in routing.rank_endpoints(state, operation, now_s)
        if name != connection['endpoint']
    ]
    if not others:
        return []
    operation['connection'] = NO_CONNECTION
    operation['sent_s'] = 0
    operation['attempts'] += 1
    closing = pool.close(state, number)
    return [closing, *place(state, operation, now_s)]


def _log(
    operation: Operation,
    event: str,
    code: AnswerCode,
    reason: str,
    now_s: float,
) -> LogDecision:
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
    )


def end_session(state: RelayState, session: Session) -> list[Any]:
    """Closes a caller's connection, and the one that it holds."""
    number = session['connection']
    state['sessions'].pop(session['session'], None)
    operation = state['operations'].pop(session['session'], None)
    if operation is not None and operation['connection']:
        number = operation['connection']
    outgoing: list[Any] = [EndSession(session['session'])]
    if number:
        outgoing.append(pool.close(state, number))
    return outgoing
