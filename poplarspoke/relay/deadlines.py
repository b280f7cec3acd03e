"""Acts on operations that have waited for long."""

from typing import Any

from poplarspoke.generated.rates import LendTokens
from poplarspoke.generated.relay import AnswerCode, SessionPhase
from poplarspoke.relay import (
    answers,
    operations,
    outcomes,
    pool,
    quotas,
    routing,
    upkeep,
)
from poplarspoke.relay.state import NO_CONNECTION, Operation, RelayState

# Part of the latency objective that a statement waits for a connection.
QUEUE_PART = 0.8
# A promotion that has been ordered takes 0.3 s to 1.0 s on the platform; a
# caller that is told to come back has two retries only.
CHANGE_WAIT_S = 1.2
# A change that takes longer than this has failed on its way.
EXPECTED_S = 1.6
# Without a primary a statement is refused, since another host may reach it; a
# primary that was released and kept is back within some round trips.
NO_PRIMARY_WAIT_S = 0.05
# A read is sent to another endpoint after this part of its objective, so that
# the other one can still answer within it.
PATIENCE_PART = 0.5


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
    grant: LendTokens,
    now_s: float,
) -> list[Any]:
    """Admits operations that waited for a token of a workspace."""
    workspace = grant.workspace
    outgoing: list[Any] = []
    for operation in list(state['operations'].values()):
        if not operation['awaits_rate'] or operation['workspace'] != workspace:
            continue
        if not quotas.admit(state, workspace, now_s):
            asked = quotas.ask_owner(
                state, workspace, now_s, emptied=grant.sender
            )
            return [*outgoing, *asked]
        operation['awaits_rate'] = False
        outgoing.extend(operations.place(state, operation, now_s))
    return outgoing


def _check_rate(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    workspace = operation['workspace']
    if quotas.admit(state, workspace, now_s):
        operation['awaits_rate'] = False
        return operations.place(state, operation, now_s)
    if now_s - operation['arrived_s'] < quotas.WAIT_S:
        return quotas.ask_owner(state, workspace, now_s)
    return outcomes.give_up(state, operation, now_s, 'rate exceeded')


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
    if waited_s > _limit_wait(state, operation, now_s):
        reason = _explain_wait(state, operation, now_s)
        return outcomes.give_up(state, operation, now_s, reason)
    if now_s < operation['not_before_s']:
        return []
    return operations.place(state, operation, now_s)


def _limit_wait(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> float:
    """Returns how long it is worth waiting for an endpoint."""
    service = operation['route'].service
    primary = routing.find_primary(state, service, now_s)
    expected_s = state['expected'].get(service, 0)
    if expected_s and now_s - expected_s < EXPECTED_S:
        return CHANGE_WAIT_S
    if not primary or _is_unreachable(state, primary, now_s):
        return NO_PRIMARY_WAIT_S
    return operation['route'].target_latency_s * QUEUE_PART


def _explain_wait(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> str:
    service = operation['route'].service
    primary = routing.find_primary(state, service, now_s)
    if not primary:
        return 'no primary may be used'
    if _is_unreachable(state, primary, now_s):
        return 'the primary does not answer'
    return 'no connection is free'


def _is_unreachable(state: RelayState, name: str, now_s: float) -> bool:
    endpoint = state['endpoints'][name]
    return upkeep.is_silent(endpoint, now_s)


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
        return outcomes.give_up(state, operation, now_s, reason)
    closing = pool.close(state, number)
    if session['connection'] == number:
        session['connection'] = NO_CONNECTION
        statement = operation['statement']
        failed = outcomes.fail_transaction(state, session, statement, reason)
        return [closing, *failed]
    return [closing, *outcomes.give_up(state, operation, now_s, reason)]


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
        lost = answers.lose_in_transaction(state, operation, now_s, reason)
        return [closing, *lost]
    if not operation['may_repeat']:
        return [
            closing,
            *outcomes.answer_unknown(state, operation, now_s, reason),
        ]
    state['operations'].pop(session['session'], None)
    code = AnswerCode.TIMEOUT
    return [
        closing,
        outcomes.end_operation(operation, code, now_s),
        outcomes.log_operation(operation, 'timed out', code, reason, now_s),
        *outcomes.answer(state, session, code, reason, SessionPhase.IDLE),
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
    answers.learn_latency(state, connection, now_s)
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
    return [closing, *operations.place(state, operation, now_s)]
