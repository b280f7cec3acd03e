"""Places of a host at an endpoint, and which operations may take them.

Active for services whose hosts share load. A host keeps its statements at an
endpoint to its own part of the slots plus what others leave idle. Within this
limit, each class leaves a place free for each higher class.
"""

import functools
import math
from typing import Any

from poplarspoke.generated.relay import BeginTransaction
from poplarspoke.relay import contention, gateways
from poplarspoke.relay.loads import count_others
from poplarspoke.relay.state import (
    Connection,
    Endpoint,
    Operation,
    RelayState,
)

# Statements at an endpoint beyond its slots, over all hosts. The next one is
# then there when a slot becomes free.
MARGIN = 1
# Factor on the own part at an endpoint in another region. A statement is on its
# way there and back for 40 ms, longer than most take a slot.
FAR_FACTOR = 2
# A class that has sent nothing for this time lends its places. They are back as
# soon as a statement of a lower class ends, which takes 0.17 s at most.
RESERVE_S = 2.0
# Fraction of a host's connections to an endpoint that transactions of lower
# classes may hold while they wait for their callers.
HELD_FRACTION = 0.5
# Fraction of the places of a lower class that may open connections, each of
# which takes a slot for 12 ms.
OPENING_FRACTION = 0.5


def admits(
    state: RelayState,
    operation: Operation,
    endpoint: str,
    now_s: float,
    *,
    opens: bool,
) -> bool:
    """Returns whether an operation may start at an endpoint now.

    Args:
        state: State of the relay.
        operation: Operation to start.
        endpoint: Name of the endpoint.
        now_s: Boot clock in seconds.
        opens: Whether a connection must be opened for it.
    """
    known = state['endpoints'][endpoint]
    running = list_running(state, known)
    free = count_places(state, operation, endpoint, now_s)
    if len(running) >= free:
        if len(running) >= count_limit(state, endpoint, now_s):
            return False
        return contention.is_starved(state, operation, now_s)
    if not contention.find_class(state, operation):
        return True
    if not _list_active_classes(state, operation, endpoint, now_s):
        return True
    begins = _begins_transaction(operation['statement'])
    if begins and _holds_too_many(state, known):
        return False
    openings = sum(not connection['ready'] for connection in running)
    return not opens or openings < max(int(free * OPENING_FRACTION), 1)


def count_places(
    state: RelayState,
    operation: Operation,
    endpoint: str,
    now_s: float,
) -> int:
    """Returns how many statements there may be when an operation starts.

    Each higher class that is in use keeps a place.
    """
    limit = count_limit(state, endpoint, now_s)
    higher = _list_active_classes(state, operation, endpoint, now_s)
    return max(limit - len(higher), 1)


def count_limit(state: RelayState, endpoint: str, now_s: float) -> int:
    """Returns how many statements this host may have at an endpoint.

    It is never less than its own part of the slots plus one, so that no slot
    stays idle while the next statement is on its way. Idle slots of others are
    lent to it as long as their load is known.
    """
    known = state['endpoints'][endpoint]
    slots = max(known['entry'].slots, 1)
    service = known['entry'].service
    part = math.ceil(slots / gateways.count_holders(state, service)) + 1
    if _is_far(state, known):
        part *= FAR_FACTOR
    most = slots + MARGIN
    others = count_others(state, endpoint, now_s)
    # Without information others must be taken to use their parts.
    lent = math.floor(most - others) if others > 0 else 0
    return max(part, lent)


def list_running(state: RelayState, endpoint: Endpoint) -> list[Connection]:
    """Returns connections whose statement or handshake takes a slot.

    Transactions that wait for their caller take none.
    """
    running: list[Connection] = []
    for number in endpoint['connections']:
        connection = state['connections'][number]
        if connection['in_flight'] is not None or not connection['ready']:
            running.append(connection)
    return running


def _is_far(state: RelayState, endpoint: Endpoint) -> bool:
    settings = state['settings']
    regions = {known.zone: known.region for known in settings.zone_regions}
    region = regions.get(endpoint['entry'].zone, settings.region)
    return region != regions.get(settings.zone, settings.region)


def _list_active_classes(
    state: RelayState,
    operation: Operation,
    endpoint: str,
    now_s: float,
) -> list[int]:
    """Returns the higher priorities that are in use at an endpoint.

    Priorities of primary routes are left out at replicas.
    """
    route = operation['route']
    kept = state['contention']
    known = kept['services'].get(route.service)
    if known is None:
        return []
    lease = state['leases'].get(route.service)
    priorities = known.replica_priorities
    if lease is not None and lease.endpoint == endpoint:
        priorities = known.priorities
    arrivals = kept['arrivals'].get(route.service, {})
    own_priority = contention.find_priority(state, operation, now_s)
    return [
        priority
        for priority in priorities
        if priority < own_priority
        and now_s - arrivals.get(priority, -math.inf) <= RESERVE_S
    ]


@functools.singledispatch
def _begins_transaction(statement: Any) -> bool:
    """Returns whether a statement leaves its connection held."""
    return False


@_begins_transaction.register
def _(statement: BeginTransaction) -> bool:
    return True


def _holds_too_many(state: RelayState, endpoint: Endpoint) -> bool:
    """Returns whether idle transactions of lower classes hold too many."""
    service = endpoint['entry'].service
    held = 0
    for number in endpoint['connections']:
        session = state['sessions'].get(state['connections'][number]['session'])
        if session is None or session['connection'] != number:
            continue
        route = session['route']
        known = state['contention']['services'].get(service)
        held += known is not None and route.priority > known.priorities[0]
    share = gateways.count_open_share(state, service)
    return held >= max(int(share * HELD_FRACTION), 1)
