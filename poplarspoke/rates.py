"""Decisions on rates: admits requests within their workspace's limits (R7).

A host spends the tokens of its own share first, then borrows from peers. It
refuses a request only if neither can supply a token before its deadline.
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
    StoreRequestFailed,
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
from poplarspoke.shares import RatesState
from poplarspoke.tasks import Outgoing, ToHost, ToStore

RENEWAL_INTERVAL_S = 3.0
STORE_TIMEOUT_S = 1.0  # After this time without an answer, the row is read.
MAX_CONFLICT_BACKOFF_S = 0.1  # Jitter after a failed compare-and-set.
PROMISE_REQUEST_MARGIN_S = 6.0  # Time left on the lease at the first request.
PROMISE_RETRY_INTERVAL_S = 1.0


@functools.singledispatch
def decide(message: Any, state: RatesState, now_s: float) -> list[Outgoing]:
    """Handles one message by its type; changes the state in place."""
    raise TypeError(f'rates cannot handle {type(message).__name__}')


@decide.register
def _(message: AdmitRequest, state: RatesState, now_s: float) -> list[Outgoing]:
    return admission.admit(state, message, now_s)


@decide.register
def _(message: BorrowTokens, state: RatesState, now_s: float) -> list[Outgoing]:
    bucket = state['buckets'].get(message.workspace)
    if bucket is None:
        lent = borrowing.create_answer(message, state['host'], 0, 0)
        return [ToHost(message.sender, lent)]
    buckets.refill(bucket, now_s)
    tokens = float(0)
    if not state['waiting'][message.workspace]:
        until_s = now_s + borrowing.WITHHOLD_S if message.keep_room else 0
        tokens = buckets.lend(bucket, message.tokens, until_s)
    reply = borrowing.create_answer(
        message, state['host'], tokens, bucket['level']
    )
    return [ToHost(message.sender, reply)]


@decide.register
def _(message: LendTokens, state: RatesState, now_s: float) -> list[Outgoing]:
    bucket = state['buckets'].get(message.workspace)
    if bucket is None:
        return []
    buckets.refill(bucket, now_s)
    if not borrowing.accept_grant(state['borrowing'], message, bucket, now_s):
        return []
    return admission.serve(state, message.workspace, now_s)


@decide.register
def _(message: Tick, state: RatesState, now_s: float) -> list[Outgoing]:
    shares.measure_demand(state, now_s)
    # All other changes of a share update it at once. Updating 1680 workspaces
    # at each tick of 50 ms used half a core.
    if state['parts'] != state['next_parts']:
        shares.update_shares(state, now_s)
    borrowing.expire(state['borrowing'], state['buckets'], now_s)
    outgoing = _renew_lease(state, now_s)
    for workspace, waiting in state['waiting'].items():
        if waiting:
            outgoing.extend(admission.serve(state, workspace, now_s))
    return outgoing


@decide.register
def _(message: CommitResult, state: RatesState, now_s: float) -> list[Outgoing]:
    return _adopt_rows(message.rows, state, now_s)


@decide.register
def _(message: RowsRead, state: RatesState, now_s: float) -> list[Outgoing]:
    return _adopt_rows(message.rows, state, now_s)


@decide.register
def _(message: PromiseLease, state: RatesState, now_s: float) -> list[Outgoing]:
    promise = leases.give_promise(state['leases'], message, now_s)
    return [ToHost(message.sender, promise)]


@decide.register
def _(
    message: LeasePromised, state: RatesState, now_s: float
) -> list[Outgoing]:
    shares.refill_all(state, now_s)
    leases.record_promise(state['leases'], message)
    shares.update_shares(state, now_s)
    return []


@decide.register
def _(message: LivePeers, state: RatesState, now_s: float) -> list[Outgoing]:
    borrowing.set_peers(state['borrowing'], message.hosts)
    return []


@decide.register
def _(
    message: StoreRequestFailed, state: RatesState, now_s: float
) -> list[Outgoing]:
    # The commit may have taken effect: the row is read after the timeout.
    return []


@decide.register
def _(
    message: LeaveRates | ReleaseLeases, state: RatesState, now_s: float
) -> list[Outgoing]:
    state['leases']['leaving'] = True
    state['next_commit_s'] = now_s
    shares.update_shares(state, now_s)
    return _renew_lease(state, now_s)


@decide.register
def _(message: RateSettings, state: RatesState, now_s: float) -> list[Outgoing]:
    if message.version <= state['version']:
        return []
    shares.refill_all(state, now_s)
    state['version'] = message.version
    shares.set_hosts(state, message, now_s)
    outgoing: list[Outgoing] = []
    configured = {wanted.workspace for wanted in message.workspaces}
    for workspace in sorted(set(state['buckets']) - configured):
        outgoing.extend(admission.remove_workspace(state, workspace))
    for wanted in message.workspaces:
        shares.set_workspace(state, wanted, now_s)
    shares.update_shares(state, now_s)
    return outgoing


def _adopt_rows(
    rows: tuple[Row, ...],
    state: RatesState,
    now_s: float,
) -> list[Outgoing]:
    shares.refill_all(state, now_s)
    for row in rows:
        if row.key != state['leases']['key']:
            continue
        if not leases.adopt_row(state['leases'], row, now_s):
            if state['awaits_store']:
                state['next_commit_s'] = now_s
            state['awaits_store'] = False
            continue
        state['awaits_store'] = False
        wait_s = state['rng'].uniform(0, MAX_CONFLICT_BACKOFF_S)
        if leases.is_renewed(state['leases']):
            wait_s = RENEWAL_INTERVAL_S
        state['next_commit_s'] = now_s + wait_s
    shares.update_shares(state, now_s)
    return []


def _renew_lease(state: RatesState, now_s: float) -> list[Outgoing]:
    lease = state['leases']
    outgoing = _request_promises(state, now_s)
    if now_s < state['next_commit_s'] or not lease['key']:
        return outgoing
    has_no_entry = leases.find_own_entry(lease) is None
    if lease['leaving'] and lease['known'] and has_no_entry:
        return outgoing
    state['next_commit_s'] = now_s + STORE_TIMEOUT_S
    # A read shows the outcome of a commit whose answer was lost.
    if not lease['known'] or state['awaits_store']:
        outgoing.append(ToStore(ReadRows(keys=(lease['key'],))))
        return outgoing
    # Units must not be released before the tokens lent against them expire.
    shares.refill_all(state, now_s)
    locked_workspaces = frozenset(
        workspace
        for workspace, bucket in state['buckets'].items()
        if bucket['withheld']
    )
    if lease['leaving'] and locked_workspaces:
        state['next_commit_s'] = now_s + borrowing.WITHHOLD_S
        return outgoing
    state['awaits_store'] = True
    commit = leases.plan_commit(
        lease, state['demand'], locked_workspaces, now_s
    )
    outgoing.append(ToStore(commit))
    # Removes the released units from the buckets before the commit is sent.
    shares.update_shares(state, now_s)
    return outgoing


def _request_promises(state: RatesState, now_s: float) -> list[Outgoing]:
    lease = state['leases']
    if lease['leaving'] or now_s < state['next_promise_s']:
        return []
    if lease['lease_until_s'] - now_s > PROMISE_REQUEST_MARGIN_S:
        return []
    state['next_promise_s'] = now_s + PROMISE_RETRY_INTERVAL_S
    state['promise_id'] += 1
    request = PromiseLease(
        sender=state['host'],
        promise_id=state['promise_id'],
        incarnation=state['incarnation'],
    )
    hosts = leases.start_promise_round(lease, state['promise_id'], now_s)
    return [ToHost(host, request) for host in hosts]
