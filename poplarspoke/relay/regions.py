"""Cost of endpoints by zone and region, and which reads leave their region.

A read stays in its region while an endpoint there has capacity and the log
position that the read needs. Otherwise a fraction of the reads spills over to
another region. The fraction changes in small steps, with a gap between the
conditions for a step up and a step down, so that the hosts of a region do not
move their reads to and fro together.
"""

from typing import NamedTuple

import xxhash

from poplarspoke.relay.load_state import Spill
from poplarspoke.relay.state import Endpoint, Operation, RelayState

# Traffic between zones is billed; it is taken to cost this much latency.
ZONE_COST_S = 0.003
# Round trip to another region, until it is measured.
ASSUMED_ROUND_TRIP_S = 0.04
# Opening a connection takes two round trips more than one in the own region:
# that of TCP and that of the start of the session.
OPENING_ROUND_TRIPS = 2
# Each opening that is not faster raises the shortest known time by this
# fraction, so that a route that became longer is noticed.
OPENING_RISE = 0.01
# Price of an answer between regions, for each statement of this host that is
# there already. An answer of 16 KB occupies a link of 30 Mbit/s for 4.4 ms.
LINK_COST_S = 0.0044
# Reads begin to spill over when the slots of the region are taken on average.
# A read then waits for about one other, and most queues still grow.
FULL_LOAD = 1.0
# They return when a quarter of the slots is free on average. A step of 10% of
# the reads changes the load by less than the gap, so it does not undo itself.
FREE_LOAD = 0.75
# An endpoint that is slow or fails also makes reads leave, if the other region
# is cheaper by this factor, its distance included. They return when it is not
# cheaper at all.
CHEAPER_FACTOR = 1.25
# Time between two steps. Reports arrive in this interval, so the effect of a
# step is known before the next one.
STEP_S = 0.25
# Speed of the steps, as a fraction of the reads a second. Loads are averages over
# about 1 s, so a faster change would go too far before it is seen: with 0.4 and
# 0.2 the fraction swung by up to 0.33 under steady load instead of 0.22 (trial
# with ``tests/load_fleet.py``). Return is slower, since reads that return too
# early come back to a queue.
RISE_PER_S = 0.2
FALL_PER_S = 0.1
# Some reads stay, to observe whether the endpoints have recovered.
MAX_SHARE = 0.95
# A read that has waited this fraction of its latency objective may leave its
# region at once. A request must not be held longer than a quarter of it without
# being offered to an endpoint.
WAIT_FRACTION = 0.15
# Shortest time of a statement at an endpoint.
MIN_THERE_S = 0.004
DIGEST_RANGE = 0x100000000


class Pressure(NamedTuple):
    """Load of the endpoints of one region that may serve a read.

    Attributes:
        load: Statements in relation to slots, of the least loaded endpoint.
        cost_s: Cost of the cheapest endpoint.
    """

    load: float
    cost_s: float


def find_region(state: RelayState, zone: str) -> str:
    """Returns the region of a zone; this host's own if it is not known."""
    known = state['loads']
    return known['regions'].get(zone, known['own_region'])


def compute_cost(state: RelayState, zone: str, crossing: float) -> float:
    """Returns the cost of the way to an endpoint, in seconds.

    Args:
        state: State of the relay.
        zone: Zone of the endpoint.
        crossing: Statements of this host at endpoints of other regions.
    """
    if zone == state['settings'].zone:
        return 0
    round_trip_s = find_round_trip(state, zone)
    if not round_trip_s:
        return ZONE_COST_S
    return round_trip_s + LINK_COST_S * (1 + crossing)


def find_round_trip(state: RelayState, zone: str) -> float:
    """Returns the round trip to the region of a zone, in seconds.

    Returns:
        The part beyond that inside the own region; 0 in the own region.
    """
    known = state['loads']
    own_region = known['own_region']
    region = known['regions'].get(zone, own_region)
    if region == own_region:
        return 0
    openings_s = known['openings_s']
    far_s = openings_s.get(region)
    near_s = openings_s.get(own_region)
    if far_s is None or near_s is None:
        return ASSUMED_ROUND_TRIP_S
    return max((far_s - near_s) / OPENING_ROUND_TRIPS, ZONE_COST_S)


def find_occupancy(state: RelayState, endpoint: Endpoint) -> float:
    """Returns the part of a statement's latency that it is at its endpoint.

    The rest of the time it is on the way to another region and back.
    """
    round_trip_s = find_round_trip(state, endpoint['entry'].zone)
    if not round_trip_s:
        return 1
    there_s = max(endpoint['latency_s'] - round_trip_s, MIN_THERE_S)
    return there_s / (there_s + round_trip_s)


def record_opening(state: RelayState, zone: str, took_s: float) -> None:
    """Records how long it took to open a connection to an endpoint."""
    region = find_region(state, zone)
    openings_s = state['loads']['openings_s']
    known_s = openings_s.get(region, took_s)
    openings_s[region] = min(took_s, known_s * (1 + OPENING_RISE))


def decide_spill(
    known: Spill, near: Pressure, far: Pressure, now_s: float
) -> Spill:
    """Returns the fraction of the reads that leave their region from now on.

    Args:
        known: Fraction so far, and when it was decided.
        near: Load of the endpoints in the region.
        far: Load of the endpoints in other regions.
        now_s: Boot clock in seconds.
    """
    elapsed_s = now_s - known.updated_s
    if elapsed_s < STEP_S:
        return known
    is_short = (
        near.load >= FULL_LOAD or near.cost_s > far.cost_s * CHEAPER_FACTOR
    )
    is_free = near.load <= FREE_LOAD and near.cost_s <= far.cost_s
    share = known.share
    if is_free or far.load >= max(near.load, FULL_LOAD):
        share -= FALL_PER_S * elapsed_s
    elif is_short and far.load < FULL_LOAD:
        # A host without reads for a while has not seen the load either.
        share += RISE_PER_S * min(elapsed_s, STEP_S)
    return Spill(min(max(share, 0), MAX_SHARE), now_s)


def draw(operation: Operation) -> float:
    """Returns a number below 1 that stays the same for an operation.

    An operation is placed again with each tick; another number each time would
    make it leave its region sooner or later.
    """
    name = f'{operation["session"]}/{operation["arrived_s"]}'
    number: int = xxhash.xxh32_intdigest(name)
    return number / DIGEST_RANGE


def has_waited(operation: Operation, now_s: float) -> bool:
    """Returns whether a read has waited too long to stay in its region."""
    limit_s = operation['route'].target_latency_s * WAIT_FRACTION
    return now_s - operation['arrived_s'] > limit_s
