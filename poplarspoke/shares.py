"""State of the rates of one host, and its share of each workspace's rate.

A share is the guaranteed fraction of rate and burst plus the leased units. An
increase of a share adds no tokens; the bucket refills at the new rate.
"""

import random
from typing import NamedTuple, TypedDict

from poplarspoke import borrowing, buckets, leases, units
from poplarspoke.generated.rates import RateSettings, WorkspaceRate

DEMAND_INTERVAL_S = 1.0
DEMAND_DECAY = 0.5
# In a fleet of the target size, settings are in force on all connected hosts
# after 16 s.
SETTINGS_SWITCH_S = 16.0


class Waiter(NamedTuple):
    """Request that waits for a token until its deadline."""

    request_id: str
    deadline_s: float


class RatesState(TypedDict):
    """State of the rates of one host.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this process.
        rng: Source of the jitter.
        version: Settings version of the rates, 0 if there is none.
        parts: Fractions that are in use.
        next_parts: Fractions according to the settings.
        next_parts_s: When ``next_parts`` may come into use.
        buckets: Token bucket of each workspace.
        waiting: Waiting requests of each workspace, oldest first.
        arrivals: Requests of each workspace since ``demand_s``.
        demand: Average requests per second of each workspace.
        demand_s: When the demand was last measured.
        borrowing: State of the borrowing from peers.
        leases: State of the lease in the row of the current group.
        left_leases: State of the leases in rows of former groups, by key.
        next_commit_s: When the lease row is next written or read.
        awaits_store: Whether a commit has no answer yet.
        next_promise_s: When promises may next be requested.
        promise_id: Number of the last round of promises.
    """

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
) -> RatesState:
    """Returns the state of a host that has no share yet.

    Args:
        host: Name of this host.
        incarnation: Unique for each start of a daemon.
        seed: Seed of the jitter.
        now_s: Monotonic clock in seconds.
    """
    return RatesState(
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


def refill_all(state: RatesState, now_s: float) -> None:
    """Refills all buckets at their present shares, before these change."""
    for bucket in state['buckets'].values():
        buckets.refill(bucket, now_s)


def update_shares(state: RatesState, now_s: float) -> None:
    """Updates the share of each bucket; an increase adds no tokens."""
    if now_s >= state['next_parts_s']:
        refill_all(state, now_s)
        state['parts'] = state['next_parts']
    lease = state['leases']
    usable_units = leases.list_usable_units(lease)
    for workspace, bucket in state['buckets'].items():
        buckets.refill(bucket, now_s)
        usable = usable_units.get(workspace, 0)
        bucket['floor'] = state['parts'].floor
        bucket['leased'] = state['parts'].leased * usable / units.UNITS
        bucket['lease_until_s'] = lease['lease_until_s']
        buckets.refill(bucket, now_s)


def set_hosts(state: RatesState, message: RateSettings, now_s: float) -> None:
    """Lowers fractions at once and raises them once all hosts have switched."""
    parts = units.compute_parts(state['host'], message.hosts)
    state['parts'] = units.Parts(
        min(state['parts'].floor, parts.floor),
        min(state['parts'].leased, parts.leased),
    )
    state['next_parts'] = parts
    wait_s = max(SETTINGS_SWITCH_S - message.hosts_changed_ago_s, 0)
    state['next_parts_s'] = now_s + wait_s
    _switch_group(state, units.get_lease_key(state['host'], message.hosts))


def _switch_group(state: RatesState, key: str) -> None:
    """Switches to the lease row of another group and stops using the old units.

    The state of the old row is stored: its promises and unresolved commits
    still apply if the host returns to that row.
    """
    previous = state['leases']
    if key == previous['key']:
        return
    state['left_leases'][previous['key']] = previous
    lease = state['left_leases'].pop(key, None)
    if lease is None:
        lease = leases.create_leases(
            key, previous['host'], previous['incarnation']
        )
    lease['leaving'] = previous['leaving']
    # The row may have changed meanwhile: no unit is usable before a commit.
    lease['lease_until_s'] = 0
    state['leases'] = lease
    state['awaits_store'] = bool(lease['known'])


def measure_demand(state: RatesState, now_s: float) -> None:
    """Updates the average requests per second of each workspace."""
    elapsed_s = now_s - state['demand_s']
    if elapsed_s < DEMAND_INTERVAL_S:
        return
    state['demand_s'] = now_s
    for workspace, count in state['arrivals'].items():
        recent = count / elapsed_s
        previous = state['demand'][workspace]
        state['demand'][workspace] = previous + DEMAND_DECAY * (
            recent - previous
        )
        state['arrivals'][workspace] = 0


def set_workspace(
    state: RatesState, wanted: WorkspaceRate, now_s: float
) -> None:
    """Sets the rate and burst of a workspace; a new bucket starts empty."""
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
