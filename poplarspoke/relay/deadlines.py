"""Time limits of operations: token, queue and statement timeouts, rerouting."""

import types
from typing import Any

from poplarspoke.generated.rates import LendTokens
from poplarspoke.generated.relay import RefusalCause
from poplarspoke.relay import (
    admissions,
    answers,
    backoffs,
    contention,
    gateway_links,
    maintenance,
    operations,
    outcomes,
    pool,
    quotas,
    routing,
    shutdown,
    speeds,
    waits,
)
from poplarspoke.relay.state import NO_CONNECTION, Operation, RelayState

# Fraction of the latency objective that a statement waits for a connection.
QUEUE_FRACTION = 0.8
# How long a statement waits for an ordered promotion, which takes 0.3 s to
# 1.0 s on the platform. A caller that is refused has only two retries.
PROMOTION_TIMEOUT_S = 1.2
# A failover that takes longer than this is assumed to have failed.
MAX_FAILOVER_S = 1.6
# How long a statement waits while no primary is usable. It is then refused,
# since another host may reach the primary. If hosts release a primary that then
# keeps its role, its lease returns within a few round trips.
NO_PRIMARY_TIMEOUT_S = 0.05
# Fraction of its latency objective after which a read is sent to another
# endpoint, so that this one can still answer within the objective.
REROUTE_FRACTION = 0.5
# Time until the next tick, when a decision can be taken again.
TICK_MARGIN_S = 0.025
# An operation without a token waits at least this long where hosts share load:
# a request to an owner in another zone takes 3 ms.
MIN_TOKEN_WAIT_S = 0.005
REASONS = types.MappingProxyType(
    {
        RefusalCause.CAPACITY: 'no endpoint has a place in time',
        RefusalCause.PRIMARY: 'no primary is usable in time',
        RefusalCause.FRESHNESS: 'only the primary could serve the read',
        RefusalCause.GATEWAY: 'no link to a gateway is usable',
    }
)


def check_deadline(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Applies the time limit of the stage that an operation is in.

    Operations may be admitted, placed, rerouted, refused or timed out.
    """
    if operation['awaits_rate']:
        return _check_rate(state, operation, now_s)
    if not operation['sent_s']:
        return _check_wait(state, operation, now_s)
    if operation['gateway']:
        return gateway_links.check_operation(state, operation, now_s)
    if now_s >= operation['deadline_s']:
        return _time_out(state, operation, now_s)
    reroute_after_s = operation['route'].target_latency_s * REROUTE_FRACTION
    first_try = operation['attempts'] == 1 and operation['may_repeat']
    if first_try and now_s - operation['sent_s'] > reroute_after_s:
        return _reroute(state, operation, now_s)
    return []


def check_arrival(
    state: RelayState,
    session: int,
    now_s: float,
) -> list[Any]:
    """Refuses an operation at once that cannot be served in time.

    Only where hosts share load. Operations that were placed are left alone.
    """
    operation = state['operations'].get(session)
    if operation is None or operation['sent_s'] or operation['awaits_rate']:
        return []
    if operations.is_assigned(operation):
        return []
    if not contention.is_active(state, operation['route'].service):
        return []
    if waits.is_forwarded(state, operation):
        return []
    return _refuse_late(state, operation, now_s)


def admit_waiting(
    state: RelayState,
    grant: LendTokens,
    now_s: float,
) -> list[Any]:
    """Admits operations that wait for a token after an owner has answered.

    Args:
        state: State of the relay.
        grant: Answer of the owner; its tokens have been added.
        now_s: Boot clock in seconds.

    Returns:
        Messages to carry out, with a request to another owner if tokens are
        still missing.
    """
    workspace = grant.workspace
    outgoing: list[Any] = []
    for operation in list(state['operations'].values()):
        if not operation['awaits_rate'] or operation['workspace'] != workspace:
            continue
        if not admissions.admit_operation(state, operation, now_s):
            requests = quotas.request_tokens(
                state,
                workspace,
                now_s,
                waits=True,
                answered_owner=grant.sender,
            )
            return [*outgoing, *requests]
        operation['awaits_rate'] = False
        outgoing.extend(operations.place(state, operation, now_s))
        outgoing.extend(check_arrival(state, operation['session'], now_s))
    return outgoing


def _check_rate(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    workspace = operation['workspace']
    if admissions.admit_operation(state, operation, now_s):
        operation['awaits_rate'] = False
        placed = operations.place(state, operation, now_s)
        return [*placed, *check_arrival(state, operation['session'], now_s)]
    if _may_wait_for_token(state, operation, now_s):
        return quotas.request_tokens(state, workspace, now_s, waits=True)
    return outcomes.refuse_retryable(
        state, operation, now_s, 'rate exceeded', cause=RefusalCause.RATE
    )


def _may_wait_for_token(
    state: RelayState, operation: Operation, now_s: float
) -> bool:
    """Returns whether an operation may still wait for a token of the rate."""
    waited_s = now_s - operation['arrived_s']
    if waited_s >= quotas.TOKEN_TIMEOUT_S:
        return False
    if not contention.is_active(state, operation['route'].service):
        return True
    return waited_s < MIN_TOKEN_WAIT_S or not contention.is_decision_due(
        operation, now_s, margin_s=TICK_MARGIN_S
    )


def _check_wait(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    if now_s >= operation['deadline_s']:
        return _fail_unsent(
            state, operation, now_s, 'timeout before it was sent'
        )
    if operation['connection']:
        return []
    if contention.is_active(state, operation['route'].service):
        return _check_contended_wait(state, operation, now_s)
    waited_s = now_s - operation['arrived_s']
    if waited_s > _compute_wait_limit(state, operation, now_s):
        reason = _explain_wait(state, operation, now_s)
        return outcomes.refuse_retryable(
            state, operation, now_s, reason, cause=RefusalCause.CAPACITY
        )
    if now_s < operation['not_before_s']:
        return []
    return operations.place(state, operation, now_s)


def _check_contended_wait(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Decides at a quarter of the objective whether an operation is refused.

    One that is not refused then is tried until the timeout of its route.
    ``operations.place_contended`` has placed what found a place.
    """
    if operation['committed'] or not contention.is_decision_due(
        operation, now_s, margin_s=TICK_MARGIN_S
    ):
        return []
    refused = _refuse_late(state, operation, now_s)
    if not refused:
        operation['committed'] = True
    return refused


def _refuse_late(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Refuses an operation that is expected to miss its objective."""
    expected = waits.forecast(state, operation, now_s)
    if not waits.misses_objective(operation, expected, now_s):
        return []
    reason = REASONS[expected.cause]
    return outcomes.refuse_retryable(
        state,
        operation,
        now_s,
        f'{reason}: expected in {expected.wait_s:.3f} s',
        cause=expected.cause,
        wait_s=expected.wait_s,
    )


def _compute_wait_limit(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> float:
    """Returns how long an operation may wait for an endpoint, in seconds."""
    service = operation['route'].service
    primary = routing.find_primary(state, service, now_s)
    ordered_s = state['promotion_ordered_s'].get(service, 0)
    if ordered_s and now_s - ordered_s < MAX_FAILOVER_S:
        return PROMOTION_TIMEOUT_S
    if not primary or _is_unresponsive(state, primary, now_s):
        return NO_PRIMARY_TIMEOUT_S
    return operation['route'].target_latency_s * QUEUE_FRACTION


def _explain_wait(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> str:
    service = operation['route'].service
    primary = routing.find_primary(state, service, now_s)
    if not primary:
        return 'no primary may be used'
    if _is_unresponsive(state, primary, now_s):
        return 'the primary does not answer'
    return 'no connection is free'


def _is_unresponsive(state: RelayState, name: str, now_s: float) -> bool:
    endpoint = state['endpoints'][name]
    return maintenance.is_unresponsive(endpoint, now_s)


def _fail_unsent(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
) -> list[Any]:
    number = operation['connection']
    session = state['sessions'][operation['session']]
    operation['connection'] = NO_CONNECTION
    if not number:
        return outcomes.refuse_retryable(
            state, operation, now_s, reason, cause=RefusalCause.TIMEOUT
        )
    closing = pool.close(state, number)
    if session['connection'] == number:
        session['connection'] = NO_CONNECTION
        statement = operation['statement']
        failed = outcomes.fail_transaction(state, session, statement, reason)
        return [closing, *failed]
    return [
        closing,
        *outcomes.refuse_retryable(
            state, operation, now_s, reason, cause=RefusalCause.TIMEOUT
        ),
    ]


def _time_out(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    number = operation['connection']
    endpoint = state['connections'][number]['endpoint']
    speeds.record_failure(state, endpoint, now_s)
    closing = pool.close(state, number)
    reason = shutdown.explain_timeout(state, now_s)
    if session['connection'] == number:
        session['connection'] = NO_CONNECTION
        lost = answers.handle_transaction_loss(state, operation, now_s, reason)
        return [closing, *lost]
    if not operation['may_repeat']:
        return [
            closing,
            *outcomes.answer_unknown(state, operation, now_s, reason),
        ]
    return [closing, *outcomes.time_out(state, operation, now_s, reason)]


def _reroute(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Sends a read to another endpoint if there is one."""
    number = operation['connection']
    connection = state['connections'][number]
    operation['tried'].add(connection['endpoint'])
    answers.update_latency(state, connection, now_s)
    others = [
        name
        for name in routing.rank_endpoints(state, operation, now_s)
        if name != connection['endpoint']
    ]
    if not others:
        return []
    if not backoffs.take_retry(state, operation['route'].service):
        return []
    operation['connection'] = NO_CONNECTION
    operation['sent_s'] = 0
    operation['attempts'] += 1
    closing = pool.close(state, number)
    return [closing, *operations.place(state, operation, now_s)]
