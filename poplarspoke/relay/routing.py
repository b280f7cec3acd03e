"""Ranks the endpoints that may run a statement."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import PrimaryLease
from poplarspoke.generated.rules import RouteKind, RouteRule
from poplarspoke.relay import choice, freshness
from poplarspoke.relay.choice import (
    HANDSHAKE_COST_S,
    Candidate,
)
from poplarspoke.relay.loads import is_load_shared
from poplarspoke.relay.regions import ZONE_COST_S
from poplarspoke.relay.state import (
    NO_POSITION,
    Endpoint,
    Operation,
    RelayState,
    Session,
)

# Factor on the cost of reads on the primary, which alone can run writes.
PRIMARY_COST_FACTOR = 3.0
# Typical latency of a statement, used until an endpoint's own average is known
# to be higher.
DEFAULT_LATENCY_S = 0.015
# Time after a write during which the session reads from the primary. Replicas
# usually apply a commit after 20 to 60 ms, at most after 360 ms.
APPLY_DELAY_S = 0.25
# A leaving primary gets no more work once the platform's limit is this close.
LEAVE_MARGIN_S = 1.5


def find_lease(
    state: RelayState,
    service: str,
    now_s: float,
) -> PrimaryLease | None:
    """Returns the primary lease of a service, or None if it has expired."""
    lease = state['leases'].get(service)
    if lease is None or now_s >= lease.until_s:
        return None
    return lease


def find_primary(state: RelayState, service: str, now_s: float) -> str:
    """Returns the primary that this host may use now, '' if there is none."""
    lease = find_lease(state, service, now_s)
    if lease is None:
        return ''
    endpoint = state['endpoints'].get(lease.endpoint)
    if endpoint is None:
        return ''
    return '' if must_be_unused(endpoint, now_s) else lease.endpoint


def must_be_unused(endpoint: Endpoint, now_s: float) -> bool:
    """Returns whether a leaving endpoint gets no more new work."""
    leaving_s = endpoint['leaving_since_s']
    limit_s = endpoint['leave_within_s'] - LEAVE_MARGIN_S
    return leaving_s > 0 and now_s - leaving_s > limit_s


def find_needed_position(
    state: RelayState,
    session: Session,
    route: RouteRule,
    arrived_s: float,
) -> Position:
    """Returns the log position that a replica needs to serve a read.

    Args:
        state: State of the relay.
        session: Session that reads.
        route: Route of the read, with the staleness that it tolerates.
        arrived_s: When the read arrived; boot clock in seconds.

    Returns:
        The position; its term is 0 if only the primary can serve the read.
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
    """Returns the endpoints that may run an operation, the cheapest first.

    Where hosts share their load, the order is random within limits (``choice``).
    """
    service = operation['route'].service
    primary = find_primary(state, service, now_s)
    usable: list[Candidate] = []
    for name, endpoint in _list_endpoints(state, service).items():
        if _is_skipped(state, endpoint, now_s):
            continue
        if name == primary:
            usable.append(Candidate(name, endpoint, primary=True))
        elif _is_replica_usable(state, operation, endpoint, now_s):
            usable.append(Candidate(name, endpoint, primary=False))
    if is_load_shared(state, service):
        return choice.order(state, operation, usable, now_s)
    costs = [
        (_estimate_cost(state, operation, candidate, now_s), candidate.name)
        for candidate in usable
    ]
    return [entry[1] for entry in sorted(costs)]


def _list_endpoints(state: RelayState, service: str) -> dict[str, Endpoint]:
    return {
        name: endpoint
        for name, endpoint in state['endpoints'].items()
        if endpoint['entry'].service == service
    }


def _is_skipped(
    state: RelayState,
    endpoint: Endpoint,
    now_s: float,
) -> bool:
    """Returns whether an endpoint gets no statement because of a failure.

    An unresponsive endpoint is probed by one statement at a time, so that no
    others have to wait for their timeout.
    """
    if now_s < endpoint['backoff_until_s']:
        return True
    if not endpoint['unresponsive_since_s']:
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
    # The log of a replica only grows, except when a failover rolls it back.
    has_position = endpoint['position'] >= operation['after']
    if now_s < endpoint['lagging_until_s'] and not has_position:
        return False
    session = state['sessions'][operation['session']]
    return now_s - session['wrote_s'] > APPLY_DELAY_S


def _estimate_cost(
    state: RelayState,
    operation: Operation,
    candidate: Candidate,
    now_s: float,
) -> float:
    """Returns the expected latency plus penalties, in seconds.

    It knows of this host's statements only.
    """
    endpoint = candidate.endpoint
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
    if endpoint['unresponsive_since_s']:
        cost += endpoint['last_failure_s'] - endpoint['unresponsive_since_s']
    if candidate.primary and not operation['needs_primary']:
        cost *= PRIMARY_COST_FACTOR
    return cost
