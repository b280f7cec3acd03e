"""Decides the order of waiting operations when there is too little capacity.

Active for services whose hosts share load (``relay/policies.py``). Routes of one
priority are a class. Waiting operations stay in the host's own queue, where it
controls their order; ``relay/places.py`` says how many may leave it.
"""

import bisect

from poplarspoke.generated.rules import Ruleset
from poplarspoke.relay import classes, policies
from poplarspoke.relay.state import Operation, RelayState

# Fraction of its latency objective after which it is decided whether an
# operation is refused. Callers retry in time only if they are told early.
DECISION_FRACTION = 0.25
# An operation that has waited this fraction of its objective is treated like
# the next higher class, except for the place of the highest.
AGING_FRACTION = 0.125
# A class of which nothing was placed for this time may use the place of a higher
# one, once, for an operation that has waited until its decision. Five statements
# a second from each host do little harm there.
STARVATION_S = 0.2
STARVED_RANK = -1
# A workspace that has used this many times its share beyond it is placed as if
# its objective ended twice as late. More has no further effect, so that its
# operations are not overtaken forever.
MAX_EXCESS = 4.0
# A workspace that has used this many times its share beyond it is hot. One that
# sends five times its usual rate beside two like it has used about twice its
# share, since much of what it sends is refused.
HOT_EXCESS = 0.5
# Usage that does not count, about five operations: a single one of a small
# workspace is more than its share of the last second.
USAGE_ALLOWANCE_S = 0.1
# An operation that needs a new connection is placed as if its objective ended
# later by this fraction. Opening one takes a slot for 12 ms.
OPENING_DELAY = 0.25
# Operations of a class that are tried in vain before the others of the class
# are skipped until the next attempt, to bound the work for a long queue.
MAX_MISSES = 8


def set_rules(state: RelayState, rules: Ruleset) -> None:
    """Finds the services that contention is decided for, and their classes."""
    services = policies.list_sharing_services(state)
    known = classes.classify(rules.routes, services)
    state['contention']['services'] = known


def is_active(state: RelayState, service: str) -> bool:
    """Returns whether contention is decided for a service."""
    return service in state['contention']['services']


def measure_excess(state: RelayState, now_s: float) -> None:
    """Finds the workspaces that have used more than their share lately.

    Shares are in proportion to the configured rates, among the workspaces that
    have used anything.
    """
    known = state['contention']
    classes.forget_usage(known, now_s)
    used_s: dict[str, float] = {}
    weights: dict[str, float] = {}
    for name, usage in known['usage'].items():
        used_s[name] = classes.find_usage(usage, now_s)
        weights[name] = _find_weight(state, name)
    known['excess'].clear()
    if not used_s:
        return
    unit_s = sum(used_s.values()) / sum(weights.values())
    for name, weight in weights.items():
        counted_s = used_s[name] - USAGE_ALLOWANCE_S
        excess = counted_s / (unit_s * weight) - 1
        if excess > 0:
            known['excess'][name] = min(excess, MAX_EXCESS)


def record_arrival(
    state: RelayState, operation: Operation, now_s: float
) -> None:
    """Records that a class is in use, so that places are kept for it."""
    route = operation['route']
    if not is_active(state, route.service):
        return
    arrivals = state['contention']['arrivals'].setdefault(route.service, {})
    arrivals[route.priority] = now_s


def find_class(state: RelayState, operation: Operation) -> int:
    """Returns the class of an operation, 0 for the highest of its service."""
    route = operation['route']
    known = state['contention']['services'].get(route.service)
    if known is None:
        return 0
    return bisect.bisect_left(known.priorities, route.priority)


def is_hot(state: RelayState, operation: Operation) -> bool:
    """Returns whether a workspace has used far more than its share.

    Except in the highest class, its operations are then placed after those of
    the other workspaces.
    """
    excess = state['contention']['excess'].get(operation['workspace'], 0)
    return excess > HOT_EXCESS and find_class(state, operation) > 0


def is_starved(state: RelayState, operation: Operation, now_s: float) -> bool:
    """Returns whether nothing like a waiting operation was placed for long.

    One such operation may then use the place of a higher class; otherwise a
    steady load of higher classes would keep a class out forever.
    """
    if not find_class(state, operation):
        return False
    return now_s >= find_starvation(state, operation)


def find_starvation(state: RelayState, operation: Operation) -> float:
    """Returns from when an operation may use the place of a higher class."""
    started_s = state['contention']['starts'].get(get_load_key(operation), 0)
    wait_s = operation['route'].target_latency_s * DECISION_FRACTION
    return max(started_s + STARVATION_S, operation['arrived_s'] + wait_s)


def get_load_key(operation: Operation) -> tuple[str, int, bool]:
    """Returns what operations are counted by."""
    route = operation['route']
    return (route.service, route.priority, needs_only_primary(operation))


def find_priority(state: RelayState, operation: Operation, now_s: float) -> int:
    """Returns the priority that decides about the places of an operation.

    What was accepted and is late counts as the highest class, since a refusal
    at its timeout would be worse for the caller.
    """
    route = operation['route']
    known = state['contention']['services'].get(route.service)
    if known is None:
        return route.priority
    if now_s >= find_objective_end(operation):
        return known.priorities[0]
    if is_hot(state, operation):
        return known.priorities[-1]
    return route.priority


def find_objective_end(operation: Operation) -> float:
    """Returns when the latency objective of an operation ends."""
    route = operation['route']
    started_s = operation['deadline_s'] - route.statement_timeout_s
    return started_s + route.target_latency_s


def is_decision_due(
    operation: Operation, now_s: float, *, margin_s: float
) -> bool:
    """Returns whether it must be decided now if an operation is refused.

    Args:
        operation: Operation that waits for an endpoint.
        now_s: Boot clock in seconds.
        margin_s: Time until the next opportunity to decide.
    """
    waited_s = now_s - operation['arrived_s']
    limit_s = operation['route'].target_latency_s * DECISION_FRACTION
    return waited_s + margin_s >= limit_s


def needs_only_primary(operation: Operation) -> bool:
    """Returns whether no replica may run an operation."""
    return operation['needs_primary'] or not operation['after'].term


def order_waiting(
    state: RelayState,
    waiting: list[Operation],
    now_s: float,
) -> list[Operation]:
    """Returns waiting operations in the order in which they are placed.

    A higher class comes first. Operations that have waited long count as a
    higher class. Within a class the end of the objective decides, which is
    postponed for workspaces that have used more than their share or have no
    idle connection.
    """
    excess = state['contention']['excess']
    reusable = _list_reusable(state, waiting)
    keys: dict[int, tuple[int, float]] = {}
    for operation in waiting:
        workspace = operation['workspace']
        delay = excess.get(workspace, 0) / MAX_EXCESS
        if workspace not in reusable:
            delay += OPENING_DELAY
        delay_s = operation['route'].target_latency_s * delay
        keys[operation['session']] = (
            _compute_rank(state, operation, now_s),
            find_objective_end(operation) + delay_s,
        )
    return sorted(waiting, key=lambda entry: keys[entry['session']])


def _compute_rank(state: RelayState, operation: Operation, now_s: float) -> int:
    if is_starved(state, operation, now_s):
        return STARVED_RANK
    own_class = find_class(state, operation)
    if not own_class or now_s >= find_objective_end(operation):
        return 0
    if is_hot(state, operation):
        service = operation['route'].service
        known = state['contention']['services'][service]
        return len(known.priorities)
    objective_s = operation['route'].target_latency_s
    waited_s = max(now_s - operation['arrived_s'], 0)
    steps = int(waited_s / (objective_s * AGING_FRACTION))
    return max(own_class - steps, 1)


def _list_reusable(state: RelayState, waiting: list[Operation]) -> set[str]:
    """Returns the workspaces with an idle connection for a waiting operation.

    It may be to an endpoint that cannot run the operation, which then only has
    a better place in the order.
    """
    services = {operation['route'].service for operation in waiting}
    reusable: set[str] = set()
    for endpoint in state['endpoints'].values():
        if endpoint['entry'].service not in services:
            continue
        for number in endpoint['connections']:
            connection = state['connections'][number]
            if connection['ready'] and not connection['session']:
                reusable.add(connection['workspace'])
    return reusable


def _find_weight(state: RelayState, workspace: str) -> float:
    bucket = state['buckets'].get(workspace)
    return bucket['rate'] if bucket and bucket['rate'] else 1
