"""Admits requests within the rate and burst of their workspace (R7).

A host spends tokens of its own share first, then borrows from peers, and
refuses only when neither serves a request before its deadline.
"""

import functools
import random
from typing import Any, NamedTuple, TypedDict

from poplarspoke import borrowing, buckets, leases
from poplarspoke.generated.common import Tick
from poplarspoke.generated.platform import CommitResult, ReadRows, Row, RowsRead
from poplarspoke.generated.rates import (
    AdmitRequest,
    Admitted,
    BorrowTokens,
    LeasePromised,
    LeaveRates,
    LendTokens,
    LivePeers,
    PromiseLease,
    RateRefused,
    RateSettings,
)
from poplarspoke.tasks import Outgoing, Reply, ToHost, ToStore

RENEW_S = 3.0
STORE_WAIT_S = 1.0  # Longest wait for an answer of the table.
CONFLICT_WAIT_S = 0.1  # Longest wait after a lost compare-and-set.
ASK_PROMISES_S = 6.0  # Left of the lease when promises are asked for.
PROMISE_RETRY_S = 1.0
MAX_WAIT_S = 0.25  # Longest wait of a request for tokens.
MAX_WAITING = 256  # Requests of a workspace that wait at once.
UNKNOWN_RETRY_S = 1.0  # Delay where no refill can be foreseen.
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


@functools.singledispatch
def decide(message: Any, state: Rates, now_s: float) -> list[Outgoing]:
    """Returns what follows from a message; changes the state in place."""
    raise TypeError(f'{type(message).__name__} is no message of the rates')


@decide.register
def _(message: AdmitRequest, state: Rates, now_s: float) -> list[Outgoing]:
    workspace = message.workspace
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return [_refuse(message.request_id, UNKNOWN_RETRY_S)]
    state['arrivals'][workspace] += 1
    buckets.settle(bucket, now_s)
    waiting = state['waiting'][workspace]
    if not waiting and buckets.spend(bucket):
        return [Reply(message.request_id, Admitted(message.request_id))]
    if len(waiting) >= MAX_WAITING:
        return [_refuse(message.request_id, _find_delay(state, workspace))]
    wait_s = min(max(message.budget_s, 0), MAX_WAIT_S)
    waiting.append(Waiter(message.request_id, now_s + wait_s))
    return _serve(state, workspace, now_s)


@decide.register
def _(message: BorrowTokens, state: Rates, now_s: float) -> list[Outgoing]:
    bucket = state['buckets'].get(message.workspace)
    if bucket is None:
        lent = borrowing.answer(message, state['host'], 0, 0)
        return [ToHost(message.sender, lent)]
    buckets.settle(bucket, now_s)
    tokens = float(0)
    if not state['waiting'][message.workspace]:
        until_s = now_s + borrowing.WITHHOLD_S if message.keep_room else 0
        tokens = buckets.lend(bucket, message.tokens, until_s)
    reply = borrowing.answer(message, state['host'], tokens, bucket['level'])
    return [ToHost(message.sender, reply)]


@decide.register
def _(message: LendTokens, state: Rates, now_s: float) -> list[Outgoing]:
    bucket = state['buckets'].get(message.workspace)
    if bucket is None:
        return []
    buckets.settle(bucket, now_s)
    if not borrowing.take(state['borrowing'], message, bucket, now_s):
        return []
    return _serve(state, message.workspace, now_s)


@decide.register
def _(message: Tick, state: Rates, now_s: float) -> list[Outgoing]:
    _measure_demand(state, now_s)
    _refresh(state, now_s)
    borrowing.expire(state['borrowing'], state['buckets'], now_s)
    outgoing = _renew(state, now_s)
    for workspace in state['buckets']:
        outgoing += _serve(state, workspace, now_s)
    return outgoing


@decide.register
def _(message: CommitResult, state: Rates, now_s: float) -> list[Outgoing]:
    return _take_rows(message.rows, state, now_s)


@decide.register
def _(message: RowsRead, state: Rates, now_s: float) -> list[Outgoing]:
    return _take_rows(message.rows, state, now_s)


@decide.register
def _(message: PromiseLease, state: Rates, now_s: float) -> list[Outgoing]:
    promise = leases.give_promise(state['leases'], message, now_s)
    return [ToHost(message.sender, promise)]


@decide.register
def _(message: LeasePromised, state: Rates, now_s: float) -> list[Outgoing]:
    _settle_all(state, now_s)
    leases.take_promise(state['leases'], message)
    _refresh(state, now_s)
    return []


@decide.register
def _(message: LivePeers, state: Rates, now_s: float) -> list[Outgoing]:
    borrowing.set_peers(state['borrowing'], message.hosts)
    return []


@decide.register
def _(message: LeaveRates, state: Rates, now_s: float) -> list[Outgoing]:
    state['leases']['leaving'] = True
    state['next_commit_s'] = now_s
    _refresh(state, now_s)
    return _renew(state, now_s)


@decide.register
def _(message: RateSettings, state: Rates, now_s: float) -> list[Outgoing]:
    if message.version <= state['version']:
        return []
    _settle_all(state, now_s)
    state['version'] = message.version
    _set_floor(state, message, now_s)
    outgoing = _remove_workspaces(state, message)
    for wanted in message.workspaces:
        bucket = state['buckets'].get(wanted.workspace)
        if bucket is None:
            bucket = buckets.create_bucket(wanted.rate, wanted.burst, now_s)
            state['buckets'][wanted.workspace] = bucket
            state['waiting'][wanted.workspace] = []
            state['arrivals'][wanted.workspace] = 0
            state['demand'][wanted.workspace] = 0
        bucket['rate'] = wanted.rate
        bucket['burst'] = wanted.burst
    _refresh(state, now_s)
    return outgoing


def _set_floor(state: Rates, message: RateSettings, now_s: float) -> None:
    """Lowers the floor at once and raises it when all hosts changed over."""
    listed = state['host'] in message.hosts
    floor = FLOOR_FRACTION / len(message.hosts) if listed else 0
    state['floor'] = min(state['floor'], floor)
    state['next_floor'] = floor
    wait_s = max(CHANGE_OVER_S - message.hosts_changed_ago_s, 0)
    state['next_floor_s'] = now_s + wait_s


def _remove_workspaces(state: Rates, message: RateSettings) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    kept = {wanted.workspace for wanted in message.workspaces}
    for workspace in sorted(set(state['buckets']) - kept):
        outgoing += [
            _refuse(waiter.request_id, UNKNOWN_RETRY_S)
            for waiter in state['waiting'].pop(workspace)
        ]
        state['buckets'].pop(workspace)
        state['arrivals'].pop(workspace)
        state['demand'].pop(workspace)
    return outgoing


def _settle_all(state: Rates, now_s: float) -> None:
    for bucket in state['buckets'].values():
        buckets.settle(bucket, now_s)


def _refresh(state: Rates, now_s: float) -> None:
    """Sets the shares; a share that grew starts empty."""
    if now_s >= state['next_floor_s']:
        _settle_all(state, now_s)
        state['floor'] = state['next_floor']
    lease = state['leases']
    for workspace, bucket in state['buckets'].items():
        buckets.settle(bucket, now_s)
        units = leases.usable_units(lease, workspace)
        bucket['floor'] = state['floor']
        bucket['leased'] = (1 - FLOOR_FRACTION) * units / leases.UNITS
        bucket['lease_until_s'] = lease['lease_until_s']
        buckets.settle(bucket, now_s)


def _take_rows(
    rows: tuple[Row, ...],
    state: Rates,
    now_s: float,
) -> list[Outgoing]:
    _settle_all(state, now_s)
    for row in rows:
        if row.key != leases.LEASE_KEY:
            continue
        if not leases.adopt_row(state['leases'], row, now_s):
            if state['awaits_store']:
                state['next_commit_s'] = now_s
            state['awaits_store'] = False
            continue
        state['awaits_store'] = False
        wait_s = state['rng'].uniform(0, CONFLICT_WAIT_S)
        if leases.is_renewed(state['leases']):
            wait_s = RENEW_S
        state['next_commit_s'] = now_s + wait_s
    _refresh(state, now_s)
    return []


def _renew(state: Rates, now_s: float) -> list[Outgoing]:
    lease = state['leases']
    outgoing = _ask_promises(state, now_s)
    if now_s < state['next_commit_s']:
        return outgoing
    is_out = leases.find_own(lease) is None
    if lease['leaving'] and lease['known'] and is_out:
        return outgoing
    state['next_commit_s'] = now_s + STORE_WAIT_S
    # A read settles a commit whose answer was lost.
    if not lease['known'] or state['awaits_store']:
        outgoing.append(ToStore(ReadRows(keys=(leases.LEASE_KEY,))))
        return outgoing
    state['awaits_store'] = True
    # Tokens in transit on withheld room must not outlive the units.
    bound = frozenset(
        workspace
        for workspace, bucket in state['buckets'].items()
        if bucket['withheld']
    )
    commit = leases.plan_commit(lease, state['demand'], bound, now_s)
    outgoing.append(ToStore(commit))
    # Released units leave the buckets before the commit is sent.
    _refresh(state, now_s)
    return outgoing


def _ask_promises(state: Rates, now_s: float) -> list[Outgoing]:
    lease = state['leases']
    if lease['leaving'] or now_s < state['next_promise_s']:
        return []
    if lease['lease_until_s'] - now_s > ASK_PROMISES_S:
        return []
    state['next_promise_s'] = now_s + PROMISE_RETRY_S
    state['promise_id'] += 1
    request = PromiseLease(
        sender=state['host'],
        promise_id=state['promise_id'],
        incarnation=state['incarnation'],
    )
    hosts = leases.start_round(lease, state['promise_id'], now_s)
    return [ToHost(host, request) for host in hosts]


def _serve(state: Rates, workspace: str, now_s: float) -> list[Outgoing]:
    """Admits, borrows for, or refuses the requests that wait."""
    waiting = state['waiting'][workspace]
    bucket = state['buckets'][workspace]
    buckets.settle(bucket, now_s)
    outgoing: list[Outgoing] = []
    while waiting and buckets.spend(bucket):
        served = waiting.pop(0)
        outgoing.append(Reply(served.request_id, Admitted(served.request_id)))
    if not waiting:
        return outgoing
    asked = borrowing.borrow(
        state['borrowing'],
        workspace,
        bucket,
        needed=len(waiting) - buckets.available(bucket),
        now_s=now_s,
    )
    return outgoing + asked + _refuse_late(state, workspace, now_s)


def _refuse_late(
    state: Rates,
    workspace: str,
    now_s: float,
) -> list[Outgoing]:
    """Refuses requests that no token can reach before their deadline."""
    bucket = state['buckets'][workspace]
    rate = bucket['rate'] * buckets.share(bucket, now_s)
    may_borrow = borrowing.is_asking(state['borrowing'], workspace)
    outgoing: list[Outgoing] = []
    kept: list[Waiter] = []
    for waiter in state['waiting'][workspace]:
        left_s = waiter.deadline_s - now_s
        missing = len(kept) + 1 - buckets.available(bucket)
        may_serve = may_borrow or missing <= rate * left_s
        if not may_serve:
            may_serve = borrowing.can_ask(
                state['borrowing'],
                workspace,
                waiter.deadline_s,
            )
        if left_s > 0 and may_serve:
            kept.append(waiter)
            continue
        delay_s = _find_delay(state, workspace)
        outgoing.append(_refuse(waiter.request_id, delay_s))
    state['waiting'][workspace] = kept
    return outgoing


def _find_delay(state: Rates, workspace: str) -> float:
    """Returns the seconds after which this many requests are refilled."""
    rate = state['buckets'][workspace]['rate']
    if rate <= 0:
        return UNKNOWN_RETRY_S
    return (len(state['waiting'][workspace]) + 1) / rate


def _refuse(request_id: str, retry_after_s: float) -> Reply:
    return Reply(request_id, RateRefused(request_id, retry_after_s))


def _measure_demand(state: Rates, now_s: float) -> None:
    elapsed_s = now_s - state['demand_s']
    if elapsed_s < DEMAND_PERIOD_S:
        return
    state['demand_s'] = now_s
    for workspace, count in state['arrivals'].items():
        recent = count / elapsed_s
        old = state['demand'][workspace]
        state['demand'][workspace] = old + DEMAND_DECAY * (recent - old)
        state['arrivals'][workspace] = 0
