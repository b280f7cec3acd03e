"""Order in which endpoints are tried where hosts share their load.

The cost of an endpoint is the expected latency of the statement there, with the
statements of all hosts, the present speed of the endpoint and the way to it.
"""

from typing import NamedTuple

from poplarspoke.relay import regions, speeds
from poplarspoke.relay.load_state import Spill
from poplarspoke.relay.loads import count_others, count_own, draw_order
from poplarspoke.relay.regions import Pressure
from poplarspoke.relay.state import Endpoint, Operation, RelayState

# Opening a connection occupies a slot of the endpoint for 12 ms.
HANDSHAKE_COST_S = 0.014
# Factor on the cost of reads on a primary whose slots are all taken, which alone
# can run writes. It is 1 on an idle primary. The load itself is in the cost
# already; a factor of 3 on top left the primary idle while reads queued at the
# replicas (mean latency 33 ms instead of 24 ms with a factor of 1.5, 24 hosts at
# three quarters of the capacity, trial with ``tests/load_fleet.py``).
FULL_PRIMARY_FACTOR = 1.25
NO_SPILL = Spill(0, 0)


class Candidate(NamedTuple):
    """Endpoint that may run an operation.

    Attributes:
        name: Name of the endpoint.
        endpoint: State of the endpoint.
        primary: Whether it is the leased primary.
    """

    name: str
    endpoint: Endpoint
    primary: bool


class Option(NamedTuple):
    """Endpoint that may run an operation, with the cost of that.

    Attributes:
        cost_s: Expected latency plus penalties, in seconds.
        candidate: The endpoint.
    """

    cost_s: float
    candidate: Candidate


def order(
    state: RelayState,
    operation: Operation,
    candidates: list[Candidate],
    now_s: float,
) -> list[str]:
    """Returns the endpoints to try, in this order.

    Endpoints of other regions are left out while the read stays in its region.
    """
    if operation['needs_primary']:
        return [candidate.name for candidate in candidates]
    near, far = _rank_by_region(state, operation, candidates, now_s)
    if not near or not far:
        return _draw([*near, *far], state)
    share = _find_spill_share(state, operation, near, far, now_s)
    if regions.draw(operation) < share:
        return [*_draw(far, state), *_draw(near, state)]
    if regions.has_waited(operation, now_s):
        return [*_draw(near, state), *_draw(far, state)]
    return _draw(near, state)


def compute_primary_factor(load: float) -> float:
    """Returns the factor on the cost of reads on a primary.

    Args:
        load: Statements at the primary in relation to its slots.
    """
    return 1 + (FULL_PRIMARY_FACTOR - 1) * min(load, 1)


def _rank_by_region(
    state: RelayState,
    operation: Operation,
    candidates: list[Candidate],
    now_s: float,
) -> tuple[list[Option], list[Option]]:
    """Returns the options in this host's region and those in others."""
    own_region = state['loads']['own_region']
    near: list[Candidate] = []
    far: list[Candidate] = []
    for candidate in candidates:
        zone = candidate.endpoint['entry'].zone
        is_near = regions.find_region(state, zone) == own_region
        (near if is_near else far).append(candidate)
    crossing = sum(count_own(state, entry.name) for entry in far)
    return (
        _estimate_all(state, operation, near, crossing, now_s),
        _estimate_all(state, operation, far, crossing, now_s),
    )


def _estimate_all(
    state: RelayState,
    operation: Operation,
    candidates: list[Candidate],
    crossing: float,
    now_s: float,
) -> list[Option]:
    return [
        Option(
            _estimate_cost(state, operation, candidate, crossing, now_s),
            candidate,
        )
        for candidate in candidates
    ]


def _draw(options: list[Option], state: RelayState) -> list[str]:
    costs = [(option.cost_s, option.candidate.name) for option in options]
    return draw_order(costs, state['rng'])


def _find_spill_share(
    state: RelayState,
    operation: Operation,
    near: list[Option],
    far: list[Option],
    now_s: float,
) -> float:
    """Returns the fraction of the reads of a service that leave the region."""
    service = operation['route'].service
    known = state['loads']['spills'].get(service, NO_SPILL)
    if now_s - known.updated_s < regions.STEP_S:
        return known.share
    waiting = sum(
        other['route'].service == service
        and not (
            other['connection'] or other['gateway'] or other['awaits_rate']
        )
        for other in state['operations'].values()
    )
    spill = regions.decide_spill(
        known,
        _measure(state, operation, near, waiting, now_s),
        _measure(state, operation, far, 0, now_s),
        now_s,
    )
    state['loads']['spills'][service] = spill
    return spill.share


def _estimate_cost(
    state: RelayState,
    operation: Operation,
    candidate: Candidate,
    crossing: float,
    now_s: float,
) -> float:
    name, endpoint, is_primary = candidate
    slots = max(endpoint['entry'].slots, 1)
    load = count_own(state, name) + count_others(state, name, now_s)
    load /= slots
    cost_s = speeds.estimate_latency(state, operation, name, load, now_s)
    cost_s += regions.compute_cost(state, endpoint['entry'].zone, crossing)
    if not _has_idle_connection(state, endpoint, operation['workspace']):
        cost_s += HANDSHAKE_COST_S
    if endpoint['unresponsive_since_s']:
        cost_s += endpoint['last_failure_s'] - endpoint['unresponsive_since_s']
    if is_primary:
        # The read itself is counted, too.
        cost_s *= compute_primary_factor(load + 1 / slots)
    return cost_s


def _has_idle_connection(
    state: RelayState, endpoint: Endpoint, workspace: str
) -> bool:
    for number in endpoint['connections']:
        connection = state['connections'][number]
        if not connection['session'] and connection['workspace'] == workspace:
            return True
    return False


def _measure(
    state: RelayState,
    operation: Operation,
    options: list[Option],
    waiting: int,
    now_s: float,
) -> Pressure:
    """Returns the pressure on the endpoints of one region.

    It is an average, unlike the cost of one statement. Statements that wait on
    this host count as well, since hosts hold back what the endpoints have no
    slot for.
    """
    loads: list[float] = []
    costs_s: list[float] = []
    slots = 0
    for option in options:
        name, endpoint, _ = option.candidate
        load = _find_average(state, option.candidate, now_s)
        loads.append(load)
        costs_s.append(
            speeds.estimate_latency(state, operation, name, load, now_s)
            + regions.compute_cost(state, endpoint['entry'].zone, 0),
        )
        slots += max(endpoint['entry'].slots, 1)
    return Pressure(min(loads) + waiting / slots, min(costs_s))


def _find_average(
    state: RelayState, candidate: Candidate, now_s: float
) -> float:
    """Returns the average load of an endpoint in relation to its slots."""
    own = state['loads']['means'].get(candidate.name, 0)
    load = own + count_others(state, candidate.name, now_s)
    load /= max(candidate.endpoint['entry'].slots, 1)
    # Half of a primary is left to writes.
    return load * 2 if candidate.primary else load
