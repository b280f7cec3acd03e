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
    parts: units.Parts
    next_parts: units.Parts
    next_parts_s: float
    buckets: dict[str, buckets.Bucket]
    waiting: dict[str, list[Waiter]]
    arrivals: dict[str, int]
    demand: dict[str, float]
    demand_s: float
    borrowing: borrowing.Borrowing
    leases: leases.Leases
    left_leases: dict[str, leases.Leases]
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
        parts=units.Parts(),
        next_parts=units.Parts(),
        next_parts_s=now_s,
        buckets={},
        waiting={},
        arrivals={},
        demand={},
        demand_s=now_s,
        borrowing=borrowing.create_borrowing(host, incarnation),
        leases=leases.create_leases('', host, incarnation),
        left_leases={},
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
    if now_s >= state['next_parts_s']:
        settle_all(state, now_s)
        state['parts'] = state['next_parts']
    lease = state['leases']
    usable_units = leases.list_usable(lease)
    for workspace, bucket in state['buckets'].items():
        buckets.settle(bucket, now_s)
        usable = usable_units.get(workspace, 0)
        bucket['floor'] = state['parts'].floor
        bucket['leased'] = state['parts'].leased * usable / units.UNITS
        bucket['lease_until_s'] = lease['lease_until_s']
        buckets.settle(bucket, now_s)


def set_hosts(state: Rates, message: RateSettings, now_s: float) -> None:
    """Lowers the fractions at once, raises them when all hosts changed over."""
    parts = units.find_parts(state['host'], message.hosts)
    state['parts'] = units.Parts(
        min(state['parts'].floor, parts.floor),
        min(state['parts'].leased, parts.leased),
    )
    state['next_parts'] = parts
    wait_s = max(CHANGE_OVER_S - message.hosts_changed_ago_s, 0)
    state['next_parts_s'] = now_s + wait_s
    _join_group(state, units.find_key(state['host'], message.hosts))


def _join_group(state: Rates, key: str) -> None:
    """Gives up the units in the old row if the host moved to another one.

    The old state is kept: its promises and open commits still bind the host
    if it comes back to that row.
    """
    old = state['leases']
    if key == old['key']:
        return
    state['left_leases'][old['key']] = old
    lease = state['left_leases'].pop(key, None)
    if lease is None:
        lease = leases.create_leases(key, old['host'], old['incarnation'])
    lease['leaving'] = old['leaving']
    # The row may have changed since; no unit counts before the next commit.
    lease['lease_until_s'] = 0
    state['leases'] = lease
    state['awaits_store'] = bool(lease['known'])


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
