"""State of the rates of one host and its share of each workspace.

A share is the floor plus the leased units. A share that grows starts empty.
"""

import random
from typing import NamedTuple, TypedDict

from poplarspoke import borrowing, buckets, leases, units
from poplarspoke.generated.rates import RateSettings, WorkspaceRate

DEMAND_PERIOD_S = 1.0
DEMAND_DECAY = 0.5
# Settings are in force on all connected hosts after 16 s at full size.
CHANGE_OVER_S = 16.0
FLOOR_FRACTION = 0.5


class Waiter(NamedTuple):
    """Request that waits for a token until its deadline."""

    request_id: str
    deadline_s: float


class Rates(TypedDict):
    """State of the rates of one host."""

    host: str
    incarnation: int
    rng: random.Random
    version: int
    floor: float
    next_floor: float
    next_floor_s: float
    buckets: dict[str, buckets.Bucket]
    waiting: dict[str, list[Waiter]]
    arrivals: dict[str, int]
    demand: dict[str, float]
    demand_s: float
    borrowing: borrowing.Borrowing
    leases: leases.Leases
    next_commit_s: float
    awaits_store: bool
    next_promise_s: float
    promise_id: int


def create_state(
    host: str,
    *,
    incarnation: int,
    seed: int,
    now_s: float,
) -> Rates:
    """Returns the state of a host that has no share yet.

    Args:
        host: Name of this host.
        incarnation: Unique for each start of a daemon.
        seed: Seed of the jitter.
        now_s: Monotonic clock in seconds.
    """
    return Rates(
        host=host,
        incarnation=incarnation,
        rng=random.Random(seed),
        version=0,
        floor=0,
        next_floor=0,
        next_floor_s=now_s,
        buckets={},
        waiting={},
        arrivals={},
        demand={},
        demand_s=now_s,
        borrowing=borrowing.create_borrowing(host, incarnation),
        leases=leases.create_leases(host, incarnation),
        next_commit_s=now_s,
        awaits_store=False,
        next_promise_s=now_s,
        promise_id=0,
    )


def settle_all(state: Rates, now_s: float) -> None:
    """Refills all buckets at the shares that held until now."""
    for bucket in state['buckets'].values():
        buckets.settle(bucket, now_s)


def refresh(state: Rates, now_s: float) -> None:
    """Sets the shares; a share that grew starts empty."""
    if now_s >= state['next_floor_s']:
        settle_all(state, now_s)
        state['floor'] = state['next_floor']
    lease = state['leases']
    for workspace, bucket in state['buckets'].items():
        buckets.settle(bucket, now_s)
        usable = leases.usable_units(lease, workspace)
        bucket['floor'] = state['floor']
        bucket['leased'] = (1 - FLOOR_FRACTION) * usable / units.UNITS
        bucket['lease_until_s'] = lease['lease_until_s']
        buckets.settle(bucket, now_s)


def set_floor(state: Rates, message: RateSettings, now_s: float) -> None:
    """Lowers the floor at once and raises it when all hosts changed over."""
    listed = state['host'] in message.hosts
    floor = FLOOR_FRACTION / len(message.hosts) if listed else 0
    state['floor'] = min(state['floor'], floor)
    state['next_floor'] = floor
    wait_s = max(CHANGE_OVER_S - message.hosts_changed_ago_s, 0)
    state['next_floor_s'] = now_s + wait_s


def measure_demand(state: Rates, now_s: float) -> None:
    """Averages the requests a second of each workspace."""
    elapsed_s = now_s - state['demand_s']
    if elapsed_s < DEMAND_PERIOD_S:
        return
    state['demand_s'] = now_s
    for workspace, count in state['arrivals'].items():
        recent = count / elapsed_s
        old = state['demand'][workspace]
        state['demand'][workspace] = old + DEMAND_DECAY * (recent - old)
        state['arrivals'][workspace] = 0


def set_workspace(state: Rates, wanted: WorkspaceRate, now_s: float) -> None:
    """Sets the rate and burst of a workspace; a new one starts empty."""
    workspace = wanted.workspace
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        bucket = buckets.create_bucket(wanted.rate, wanted.burst, now_s)
        state['buckets'][workspace] = bucket
        state['waiting'][workspace] = []
        state['arrivals'][workspace] = 0
        state['demand'][workspace] = 0
    bucket['rate'] = wanted.rate
    bucket['burst'] = wanted.burst
