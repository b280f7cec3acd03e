"""What operations have cost lately, by endpoint, workspace and class."""

from poplarspoke.generated.relay import AnswerCode, EndpointAnswered
from poplarspoke.relay import backoffs, classes, contention
from poplarspoke.relay.state import (
    Connection,
    Endpoint,
    Operation,
    RelayState,
)

# Time for which an operation takes a place, until it is measured.
DEFAULT_HOLDING_S = 0.015
# Weight of the newest operation in the average of a route.
HOLDING_WEIGHT = 0.1


def expect_holding(endpoint: Endpoint, database: str) -> float:
    """Returns how long operations of a route take a place at an endpoint."""
    average_s = max(endpoint['latency_s'], DEFAULT_HOLDING_S)
    return endpoint['holding_s'].get(database, average_s)


def record_start(
    state: RelayState, operation: Operation, endpoint: str, now_s: float
) -> None:
    """Charges the workspace and the class of an operation that is placed."""
    operation['placed_s'] = now_s
    route = operation['route']
    if not contention.is_active(state, route.service):
        return
    known = state['endpoints'][endpoint]
    cost_s = expect_holding(known, route.database)
    usage = state['contention']['usage']
    name = operation['workspace']
    usage[name] = classes.add_usage(usage.get(name), cost_s, now_s)
    key = contention.get_load_key(operation)
    state['contention']['starts'][key] = now_s
    loads = state['contention']['loads']
    loads[key] = classes.add_usage(loads.get(key), cost_s, now_s)


def count_higher(
    state: RelayState,
    operation: Operation,
    now_s: float,
    *,
    only_primary: bool,
) -> float:
    """Returns the places that higher classes have taken lately, on average.

    Args:
        state: State of the relay.
        operation: Operation whose class is compared.
        now_s: Boot clock in seconds.
        only_primary: Whether to count operations that only the primary could
            run, or the others.
    """
    route = operation['route']
    own_priority = contention.find_priority(state, operation, now_s)
    used_s = float(0)
    for key, usage in state['contention']['loads'].items():
        service, priority, is_primary = key
        if service != route.service or is_primary is not only_primary:
            continue
        if priority < own_priority:
            used_s += classes.find_usage(usage, now_s)
    return used_s / classes.USAGE_MEMORY_S


def record_answer(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    answer: EndpointAnswered,
    now_s: float,
) -> None:
    """Learns from the answer to the statement of an operation."""
    route = operation['route']
    endpoint = state['endpoints'].get(connection['endpoint'])
    if endpoint is None or not contention.is_active(state, route.service):
        return
    if answer.code is not AnswerCode.DONE:
        return
    if operation['placed_s']:
        holding_s = now_s - operation['placed_s']
        average_s = endpoint['holding_s'].get(route.database, holding_s)
        average_s += HOLDING_WEIGHT * (holding_s - average_s)
        endpoint['holding_s'][route.database] = average_s
    backoffs.earn_retry(state, route.service)
