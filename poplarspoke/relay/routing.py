"""Chooses the endpoints that may run a statement, the best first."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import PrimaryLease
from poplarspoke.generated.rules import RouteKind, RouteRule
from poplarspoke.relay import freshness
from poplarspoke.relay.state import (
    NO_POSITION,
    Endpoint,
    Operation,
    RelayState,
    Session,
)

# Typical work of one statement, before an endpoint's own average is known.
DEFAULT_LATENCY_S = 0.015
# Bytes between zones are priced; worth about this much latency.
ZONE_COST_S = 0.003
# A new connection occupies a slot of the endpoint for 12 ms.
HANDSHAKE_COST_S = 0.014
# Keeps reads off the primary, which alone can run writes.
PRIMARY_COST = 3.0
# Replicas apply commits 20 to 60 ms after the primary, at most 360 ms.
APPLY_DELAY_S = 0.25
# Stops using a primary that leaves this long before the platform's bound.
LEAVE_MARGIN_S = 1.5


def find_lease(
    state: RelayState,
    service: str,
    now_s: float,
) -> PrimaryLease | None:
    """Returns the lease on the primary if it is valid now."""
    lease = state['leases'].get(service)
    if lease is None or now_s >= lease.until_s:
        return None
    return lease


def find_primary(state: RelayState, service: str, now_s: float) -> str:
    """Returns the primary that this host may use now, empty if none."""
    lease = find_lease(state, service, now_s)
    if lease is None:
        return ''
    endpoint = state['endpoints'].get(lease.endpoint)
    if endpoint is None:
        return ''
    leaving_s = endpoint['leaving_since_s']
    limit_s = endpoint['leave_within_s'] - LEAVE_MARGIN_S
    if leaving_s and now_s - leaving_s > limit_s:
        return ''
    return lease.endpoint


def find_needed_position(
    state: RelayState,
    session: Session,
    route: RouteRule,
    arrived_s: float,
) -> Position:
    """Returns the position that a replica needs for a read of this session.

    Returns:
        Term 0 if only the primary can serve the read.
    """
    if session['position_unknown']:
        return NO_POSITION
    needed = freshness.find_position(
        state,
        route.service,
        since_s=arrived_s - route.staleness_s,
    )
    if needed.term and route.kind is RouteKind.READ_OWN:
        return max(needed, session['position'])
    return needed


def rank_endpoints(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[str]:
    """Returns the endpoints that may run an operation, the best first."""
    service = operation['route'].service
    primary = find_primary(state, service, now_s)
    primary_cost = 1 if operation['needs_primary'] else PRIMARY_COST
    usable: list[tuple[float, str]] = []
    for name, endpoint in _list_endpoints(state, service).items():
        if _is_left_out(state, endpoint, now_s):
            continue
        cost = _estimate_cost(state, operation, endpoint, now_s)
        if name == primary:
            cost *= primary_cost
        elif not _is_replica_usable(state, operation, endpoint, now_s):
            continue
        usable.append((cost, name))
    return [entry[1] for entry in sorted(usable)]


def _list_endpoints(state: RelayState, service: str) -> dict[str, Endpoint]:
    return {
        name: endpoint
        for name, endpoint in state['endpoints'].items()
        if endpoint['entry'].service == service
    }


def _is_left_out(
    state: RelayState,
    endpoint: Endpoint,
    now_s: float,
) -> bool:
    """Returns whether an endpoint has failed and is not to be tried now.

    One statement at a time tries an endpoint that does not answer; the others
    would wait in vain with it.
    """
    if now_s < endpoint['avoid_until_s']:
        return True
    if not endpoint['silent_since_s']:
        return False
    return any(
        state['connections'][number]['session']
        for number in endpoint['connections']
    )


def _is_replica_usable(
    state: RelayState,
    operation: Operation,
    endpoint: Endpoint,
    now_s: float,
) -> bool:
    if operation['needs_primary'] or not operation['after'].term:
        return False
    if endpoint['leaving_since_s']:
        return False
    if endpoint['entry'].endpoint in operation['tried']:
        return False
    # Its log only grows, unless a change of primary rolls it back.
    has_position = endpoint['position'] >= operation['after']
    if now_s < endpoint['behind_until_s'] and not has_position:
        return False
    session = state['sessions'][operation['session']]
    return now_s - session['wrote_s'] > APPLY_DELAY_S


def _estimate_cost(
    state: RelayState,
    operation: Operation,
    endpoint: Endpoint,
    now_s: float,
) -> float:
    latency_s = max(endpoint['latency_s'], DEFAULT_LATENCY_S)
    busy = 0
    has_idle = False
    for number in endpoint['connections']:
        connection = state['connections'][number]
        if connection['session']:
            busy += connection['in_flight'] is not None
            continue
        if connection['workspace'] == operation['workspace']:
            has_idle = True
    slots = max(endpoint['entry'].slots, 1)
    cost = latency_s * (1 + busy / slots)
    if endpoint['entry'].zone != state['settings'].zone:
        cost += ZONE_COST_S
    if not has_idle:
        cost += HANDSHAKE_COST_S
    if endpoint['silent_since_s']:
        cost += endpoint['failed_s'] - endpoint['silent_since_s']
    return cost
