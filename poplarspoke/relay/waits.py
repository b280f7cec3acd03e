"""How long an operation is expected to wait for an endpoint that may run it."""

import math
from typing import NamedTuple

from poplarspoke.generated.relay import PrimaryLease, RefusalCause
from poplarspoke.relay import (
    contention,
    gateways,
    measurements,
    places,
    routing,
)
from poplarspoke.relay.state import Endpoint, Operation, RelayState

# How long promotions take until this host has seen one; the platform states
# 0.3 s to 1.0 s.
DEFAULT_PROMOTION_S = 1.0
# Weight of the newest promotion in the average.
PROMOTION_WEIGHT = 0.5
# A promotion that takes longer than this is assumed to have failed.
MAX_PROMOTION_S = 1.6
# Time from the loss of a primary until another one serves, as measured: it is
# assessed for 0.4 s, released and replaced.
FAILOVER_S = 1.4
# A primary that was released and keeps its role is usable again after a few
# round trips. Within the first half of this time it is expected back; after
# that a failover is more likely.
LEASE_GAP_S = 0.05
# Factor on an expected wait, since half of the waits are longer than expected.
WAIT_FACTOR = 1.7
# Places that higher classes leave free at least; they rarely fill all of them
# for long.
MIN_PLACES = 0.5


class Forecast(NamedTuple):
    """Expected wait of an operation.

    Attributes:
        wait_s: Time until it is sent to an endpoint; infinite if no end of the
            wait is known.
        holding_s: Time from then until its answer.
        cause: What it waits for.
    """

    wait_s: float
    holding_s: float
    cause: RefusalCause


def forecast(state: RelayState, operation: Operation, now_s: float) -> Forecast:
    """Returns the expected wait of an operation that found no place."""
    if is_forwarded(state, operation):
        return Forecast(math.inf, 0, RefusalCause.GATEWAY)
    names = routing.rank_endpoints(state, operation, now_s)
    if names:
        return _forecast_capacity(state, operation, names, now_s)
    return _forecast_recovery(state, operation, now_s)


def misses_objective(
    operation: Operation, expected: Forecast, now_s: float
) -> bool:
    """Returns whether an operation is expected to miss its objective."""
    end_s = now_s + expected.wait_s * WAIT_FACTOR + expected.holding_s
    return end_s > contention.find_objective_end(operation)


def is_forwarded(state: RelayState, operation: Operation) -> bool:
    """Returns whether an operation waits for the link to a gateway."""
    if state['sessions'][operation['session']]['channel'] is not None:
        return False
    service = operation['route'].service
    gateway = gateways.find_gateway(state, service, operation['workspace'])
    return gateway != state['settings'].name


def record_leases(
    state: RelayState,
    before: dict[str, PrimaryLease],
    now_s: float,
) -> None:
    """Records which services lost their primary or have a new one.

    Args:
        state: State of the relay, with the leases in force.
        before: Earlier leases.
        now_s: Boot clock in seconds.
    """
    known = state['contention']
    for service in before.keys() - state['leases'].keys():
        known['lost_s'].setdefault(service, now_s)
    for service in state['leases']:
        known['lost_s'].pop(service, None)


def record_promotions(
    state: RelayState,
    before: dict[str, float],
    now_s: float,
) -> None:
    """Learns how long promotions take from those that have ended.

    Args:
        state: State of the relay, with the promotions that are ordered.
        before: Times of the earlier orders.
        now_s: Boot clock in seconds.
    """
    known = state['contention']
    for service in before.keys() - state['promotion_ordered_s'].keys():
        took_s = now_s - before[service]
        if service not in state['leases'] or took_s > MAX_PROMOTION_S:
            continue
        average_s = known['promotion_s'] or took_s
        change_s = took_s - average_s
        known['promotion_s'] = average_s + PROMOTION_WEIGHT * change_s


def _forecast_capacity(
    state: RelayState,
    operation: Operation,
    names: list[str],
    now_s: float,
) -> Forecast:
    """Returns the time in which the places of endpoints get to an operation.

    Work ahead is what waits for the same endpoints in front of it, and half of a
    statement for what runs.
    """
    primary = routing.find_primary(state, operation['route'].service, now_s)
    # Replicas run most of the reads, and only them.
    replicas = [name for name in names if name != primary]
    best = state['endpoints'][names[0]]
    work_s = max(best['latency_s'], measurements.DEFAULT_HOLDING_S) / 2
    waiting = _list_waiting(state, operation)
    reserved_s = _expect_starvation(state, operation, waiting, now_s) + work_s
    for other in _list_ahead(state, operation, waiting, now_s):
        if contention.needs_only_primary(other) != bool(replicas):
            database = other['route'].database
            work_s += measurements.expect_holding(best, database)
    wait_s = work_s / _count_places(state, operation, replicas or names, now_s)
    wait_s = min(wait_s, reserved_s)
    return Forecast(
        max(wait_s, operation['not_before_s'] - now_s),
        measurements.expect_holding(best, operation['route'].database),
        RefusalCause.CAPACITY,
    )


def _count_places(
    state: RelayState,
    operation: Operation,
    names: list[str],
    now_s: float,
) -> float:
    """Returns the places that higher classes are expected to leave free."""
    free = 0
    limit = 0
    for name in names:
        free += places.count_places(state, operation, name, now_s)
        limit += places.count_limit(state, name, now_s)
    lease = routing.find_lease(state, operation['route'].service, now_s)
    only_primary = lease is not None and names == [lease.endpoint]
    higher = measurements.count_higher(
        state, operation, now_s, only_primary=only_primary
    )
    return max(min(free, limit - higher), MIN_PLACES)


def _expect_starvation(
    state: RelayState,
    operation: Operation,
    waiting: list[Operation],
    now_s: float,
) -> float:
    """Returns when an operation may use the place of a higher class.

    Only the first operation of a class that waits can count on it.
    """
    key = contention.get_load_key(operation)
    keys = [contention.get_load_key(other) for other in waiting]
    if not contention.find_class(state, operation) or keys.count(key) > 1:
        return math.inf
    starvation_s = contention.find_starvation(state, operation)
    return max(starvation_s - now_s, 0)


def _list_waiting(state: RelayState, operation: Operation) -> list[Operation]:
    """Returns the operations that wait for the same service, this included."""
    service = operation['route'].service
    return [
        other
        for other in state['operations'].values()
        if other['route'].service == service
        and not other['awaits_rate']
        and not other['connection']
        and not other['gateway']
    ]


def _list_ahead(
    state: RelayState,
    operation: Operation,
    waiting: list[Operation],
    now_s: float,
) -> list[Operation]:
    ahead: list[Operation] = []
    for other in contention.order_waiting(state, waiting, now_s):
        if other is operation:
            break
        ahead.append(other)
    return ahead


def _forecast_recovery(
    state: RelayState, operation: Operation, now_s: float
) -> Forecast:
    """Returns when an endpoint that may run an operation is usable again."""
    service = operation['route'].service
    wait_s = _expect_primary(state, service, now_s)
    cause = RefusalCause.PRIMARY
    if not operation['needs_primary']:
        if operation['after'].term:
            wait_s = min(wait_s, _expect_replica(state, operation, now_s))
        else:
            cause = RefusalCause.FRESHNESS
    return Forecast(wait_s, measurements.DEFAULT_HOLDING_S, cause)


def _expect_primary(state: RelayState, service: str, now_s: float) -> float:
    ordered_s = state['promotion_ordered_s'].get(service)
    if ordered_s is not None:
        usual_s = state['contention']['promotion_s'] or DEFAULT_PROMOTION_S
        return _expect_rest(now_s - ordered_s, usual_s, MAX_PROMOTION_S)
    primary = routing.find_primary(state, service, now_s)
    if primary:
        return _expect_silent_primary(state['endpoints'][primary], now_s)
    lost_for_s = now_s - _find_loss(state, service, now_s)
    if lost_for_s < LEASE_GAP_S / 2:
        return LEASE_GAP_S - lost_for_s
    return _expect_rest(lost_for_s, FAILOVER_S, FAILOVER_S)


def _find_loss(state: RelayState, service: str, now_s: float) -> float:
    """Returns since when the primary of a service may not be used.

    Minus infinity stands for a loss whose end nothing announces, as of a lease
    that expired because this host is out of touch.
    """
    lease = state['leases'].get(service)
    if lease is None:
        return state['contention']['lost_s'].get(service, -math.inf)
    if now_s - lease.until_s > LEASE_GAP_S / 2:
        return -math.inf
    endpoint = state['endpoints'].get(lease.endpoint)
    if now_s >= lease.until_s or endpoint is None:
        return lease.until_s
    leave_s = endpoint['leave_within_s'] - routing.LEAVE_MARGIN_S
    return endpoint['leaving_since_s'] + leave_s


def _expect_silent_primary(endpoint: Endpoint, now_s: float) -> float:
    """Returns when a leased primary that is skipped is tried again."""
    backoff_s = max(endpoint['backoff_until_s'] - now_s, 0)
    if not endpoint['unresponsive_since_s']:
        return backoff_s
    silent_s = now_s - endpoint['unresponsive_since_s']
    return max(backoff_s, _expect_rest(silent_s, FAILOVER_S, FAILOVER_S))


def _expect_rest(elapsed_s: float, usual_s: float, most_s: float) -> float:
    """Returns the rest of an outage of a usual and a greatest length.

    One that takes longer than usual is expected to take as long again as it is
    overdue.
    """
    if elapsed_s > most_s:
        return math.inf
    return abs(usual_s - elapsed_s)


def _expect_replica(
    state: RelayState, operation: Operation, now_s: float
) -> float:
    """Returns when a replica that is skipped is tried again."""
    service = operation['route'].service
    session = state['sessions'][operation['session']]
    applied_s = session['wrote_s'] + routing.APPLY_DELAY_S
    waits_s = [math.inf]
    for name, endpoint in state['endpoints'].items():
        if endpoint['entry'].service != service:
            continue
        if name in operation['tried'] or endpoint['leaving_since_s']:
            continue
        again_s = max(endpoint['backoff_until_s'], endpoint['lagging_until_s'])
        waits_s.append(max(again_s, applied_s, now_s) - now_s)
    return min(waits_s)
