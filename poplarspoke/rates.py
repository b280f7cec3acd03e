"""Admits requests within the rate and burst of their workspace (R7).

A host spends tokens of its own share first, then borrows from peers, and
refuses only when neither serves a request before its deadline.
"""

import functools
from typing import Any

from poplarspoke import admission, borrowing, buckets, leases, shares
from poplarspoke.generated.common import Tick
from poplarspoke.generated.drains import ReleaseLeases
from poplarspoke.generated.platform import (
    CommitResult,
    ReadRows,
    Row,
    RowsRead,
    StoreLost,
)
from poplarspoke.generated.rates import (
    AdmitRequest,
    BorrowTokens,
    LeasePromised,
    LeaveRates,
    LendTokens,
    LivePeers,
    PromiseLease,
    RateSettings,
)
from poplarspoke.shares import Rates
from poplarspoke.tasks import Outgoing, ToHost, ToStore

RENEW_S = 3.0
STORE_WAIT_S = 1.0  # Longest wait for an answer of the table.
CONFLICT_WAIT_S = 0.1  # Longest wait after a lost compare-and-set.
ASK_PROMISES_S = 6.0  # Left of the lease when promises are asked for.
PROMISE_RETRY_S = 1.0


@functools.singledispatch
def decide(message: Any, state: Rates, now_s: float) -> list[Outgoing]:
    """Returns what follows from a message; changes the state in place."""
    raise TypeError(f'{type(message).__name__} is no message of the rates')


@decide.register
def _(message: AdmitRequest, state: Rates, now_s: float) -> list[Outgoing]:
    return admission.admit(state, message, now_s)


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
    return admission.serve(state, message.workspace, now_s)


@decide.register
def _(message: Tick, state: Rates, now_s: float) -> list[Outgoing]:
    shares.measure_demand(state, now_s)
    # Everything else that changes a share refreshes it at once; a refresh of
    # 1680 workspaces at each tick of 50 ms cost half a core.
    if state['parts'] != state['next_parts']:
        shares.refresh(state, now_s)
    borrowing.expire(state['borrowing'], state['buckets'], now_s)
    outgoing = _renew(state, now_s)
    for workspace, waiting in state['waiting'].items():
        if waiting:
            outgoing.extend(admission.serve(state, workspace, now_s))
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
    shares.settle_all(state, now_s)
    leases.take_promise(state['leases'], message)
    shares.refresh(state, now_s)
    return []


@decide.register
def _(message: LivePeers, state: Rates, now_s: float) -> list[Outgoing]:
    borrowing.set_peers(state['borrowing'], message.hosts)
    return []


@decide.register
def _(message: StoreLost, state: Rates, now_s: float) -> list[Outgoing]:
    # The commit may have taken effect, so its answer is waited for as before.
    return []


@decide.register
def _(
    message: LeaveRates | ReleaseLeases, state: Rates, now_s: float
) -> list[Outgoing]:
    state['leases']['leaving'] = True
    state['next_commit_s'] = now_s
    shares.refresh(state, now_s)
    return _renew(state, now_s)


@decide.register
def _(message: RateSettings, state: Rates, now_s: float) -> list[Outgoing]:
    if message.version <= state['version']:
        return []
    shares.settle_all(state, now_s)
    state['version'] = message.version
    shares.set_hosts(state, message, now_s)
    outgoing: list[Outgoing] = []
    kept = {wanted.workspace for wanted in message.workspaces}
    for workspace in sorted(set(state['buckets']) - kept):
        outgoing.extend(admission.remove_workspace(state, workspace))
    for wanted in message.workspaces:
        shares.set_workspace(state, wanted, now_s)
    shares.refresh(state, now_s)
    return outgoing


def _take_rows(
    rows: tuple[Row, ...],
    state: Rates,
    now_s: float,
) -> list[Outgoing]:
    shares.settle_all(state, now_s)
    for row in rows:
        if row.key != state['leases']['key']:
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
    shares.refresh(state, now_s)
    return []


def _renew(state: Rates, now_s: float) -> list[Outgoing]:
    lease = state['leases']
    outgoing = _ask_promises(state, now_s)
    if now_s < state['next_commit_s'] or not lease['key']:
        return outgoing
    is_out = leases.find_own(lease) is None
    if lease['leaving'] and lease['known'] and is_out:
        return outgoing
    state['next_commit_s'] = now_s + STORE_WAIT_S
    # A read settles a commit whose answer was lost.
    if not lease['known'] or state['awaits_store']:
        outgoing.append(ToStore(ReadRows(keys=(lease['key'],))))
        return outgoing
    # Tokens in transit on withheld room must not outlive the units.
    shares.settle_all(state, now_s)
    bound = frozenset(
        workspace
        for workspace, bucket in state['buckets'].items()
        if bucket['withheld']
    )
    if lease['leaving'] and bound:
        state['next_commit_s'] = now_s + borrowing.WITHHOLD_S
        return outgoing
    state['awaits_store'] = True
    commit = leases.plan_commit(lease, state['demand'], bound, now_s)
    outgoing.append(ToStore(commit))
    # Released units leave the buckets before the commit is sent.
    shares.refresh(state, now_s)
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
