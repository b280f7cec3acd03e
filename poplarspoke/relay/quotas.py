"""Rate limits of workspaces, shared between hosts.

The rate and burst of a workspace hold for all hosts together. Some hosts, the
owners, have an equal share of them in a token bucket each. The number of owners
depends on the burst, so that a share is worth several operations even if there
are many hosts. The other hosts borrow tokens from the owners, which do not
refill the room of lent tokens until the loan ends.

A host starts with its share of a fraction of the tolerated slack only, because
it cannot know what its earlier process has spent. The tokens of all hosts
together therefore never exceed the limit, even if all hosts restart at once.
"""

import math
from collections.abc import Iterable
from typing import Any

import xxhash

from poplarspoke import buckets
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.generated.rules import WorkspaceRule
from poplarspoke.relay.state import Demand, LoanRequest, RelayState, Share
from poplarspoke.tasks import ToHost

# Fraction of the tolerated excess that is used; the rest covers tokens that
# were lent by a process that has restarted since.
EXCESS_FRACTION = 0.85
# Fraction of the tolerated slack that hosts start with. The rest adds to the
# burst; otherwise workspaces with a small burst are refused below their rate.
START_FRACTION = 0.5
# Fraction of the burst that a workspace may use at once. The limit of a window is
# rate times window plus burst, so the rest is spread over the window; otherwise
# a workspace that sends steadily up to this limit would be refused.
BURST_FRACTION = 0.5
# An owner's share of the burst is worth at least this many operations, unless
# MIN_OWNERS requires more owners.
OWNER_TOKENS = 4
# Minimum number of owners, even of a small workspace, as some may be down.
MIN_OWNERS = 3
# Each zone has an owner if its share of the burst is worth this many operations,
# so that an isolated zone and the others both keep their part of the rate.
ZONE_OWNER_TOKENS = 2
# A host asks for tokens ahead of operations only if it expects this many of them
# within a loan; other tokens would expire unused and be lost to the workspace.
MIN_EXPECTED = 2
# Tokens of a workspace are requested again after this time, since datagrams
# may be lost. A round trip between zones takes 3 ms.
REQUEST_INTERVAL_S = 0.02
# An owner that has not answered for OWNER_TIMEOUT_S is skipped for
# OWNER_BACKOFF_S. Network partitions of a zone last for several seconds, and
# answers of a busy host may take tens of milliseconds.
OWNER_TIMEOUT_S = 0.04
OWNER_BACKOFF_S = 0.5
# Requested tokens cover the operations expected in this time. Tokens that are
# not used until the loan ends are lost to the workspace.
LOOKAHEAD_S = 0.2
# Weight of the newest second in the moving average of the demand.
DEMAND_WEIGHT = 0.5
# Lent tokens expire after this time, at the lender and at the borrower. The
# borrower counts from its request, so it never spends an expired token. The
# lender does not refill their room meanwhile, so a longer loan would limit a
# workspace to its burst in that time.
LOAN_S = 0.3
# A larger share takes effect after this time, since a host that cannot be
# reached may not know yet that its own share has become smaller.
GROWTH_DELAY_S = 10.0
# The same after a change of the configuration, which reaches all hosts in touch
# within 2 s. A lower limit does not bind while a host is out of touch.
RULES_GROWTH_DELAY_S = 2.5
# An operation that has no token is refused after this time.
TOKEN_TIMEOUT_S = 0.06


def set_workspaces(
    state: RelayState,
    workspaces: tuple[WorkspaceRule, ...],
    now_s: float,
) -> None:
    """Applies the rates of a configuration; buckets keep their tokens."""
    kept = {rule.name for rule in workspaces}
    for name in set(state['buckets']) - kept:
        state['buckets'].pop(name)
        state['shares'].pop(name, None)
    state['owners'].clear()
    settings = state['settings']
    factor = 1 + settings.quota_excess * EXCESS_FRACTION
    for rule in workspaces:
        bucket = state['buckets'].get(rule.name)
        if bucket is None:
            bucket = buckets.create_bucket(0, 0, now_s)
            state['buckets'][rule.name] = bucket
        buckets.refill(bucket, now_s)
        slack = settings.quota_slack * EXCESS_FRACTION * (1 - START_FRACTION)
        spread = _spread_burst(rule.burst, settings.quota_window_s)
        steady_rate = rule.rate
        if settings.quota_window_s:
            steady_rate += spread / settings.quota_window_s
        bucket['rate'] = steady_rate * factor
        bucket['burst'] = (rule.burst - spread) * factor + slack
    update_shares(state, now_s, growth_delay_s=RULES_GROWTH_DELAY_S)


def _spread_burst(burst: float, window_s: float) -> float:
    """Returns the part of a burst that is spread over the window."""
    return burst * (1 - BURST_FRACTION) if window_s else 0


def update_shares(
    state: RelayState,
    now_s: float,
    *,
    growth_delay_s: float = GROWTH_DELAY_S,
) -> None:
    """Recomputes the shares of this host after its peers or rates changed.

    A smaller share takes effect at once, a larger one after the delay.
    """
    if not state['hosts']:
        return
    for name in state['buckets']:
        target = _compute_share(state, name)
        share = state['shares'].get(name)
        is_new = share is None
        if share is None or target <= share.fraction:
            share = Share(target, target, now_s)
        elif target != share.target_fraction:
            share = Share(share.fraction, target, now_s + growth_delay_s)
        state['shares'][name] = share
        _apply_share(state, name, now_s)
        if is_new:
            _set_start_level(state, name, target)


def update(state: RelayState, now_s: float) -> None:
    """Applies what is due with the time."""
    expire_loan_requests(state, now_s)
    apply_share_growth(state, now_s)


def apply_share_growth(state: RelayState, now_s: float) -> None:
    """Applies larger shares that are due."""
    for name, share in list(state['shares'].items()):
        if (
            share.target_fraction == share.fraction
            or now_s < share.target_from_s
        ):
            continue
        state['shares'][name] = share._replace(fraction=share.target_fraction)
        if name in state['buckets']:
            _apply_share(state, name, now_s)


def list_owners(state: RelayState, workspace: str) -> tuple[str, ...]:
    """Returns the hosts that own shares of a workspace.

    All hosts with the same peers choose the same owners, by rendezvous hashing,
    and in turn from each zone.
    """
    owners = state['owners'].get(workspace)
    if owners is None:
        owners = _choose_owners(state, workspace)
        state['owners'][workspace] = owners
    return owners


def _choose_owners(state: RelayState, workspace: str) -> tuple[str, ...]:
    hosts = (state['settings'].name, *state['peers'])
    by_zone: dict[str, list[str]] = {}
    for host in _rank(hosts, workspace):
        by_zone.setdefault(_find_zone(state, host), []).append(host)
    burst = state['buckets'][workspace]['burst']
    count = _count_owners(burst, len(by_zone))
    if count >= len(hosts):
        return hosts
    owners: list[str] = []
    zones = _rank(by_zone, workspace)
    while len(owners) < count:
        for zone in zones:
            owners.extend(by_zone[zone][:1])
            by_zone[zone] = by_zone[zone][1:]
    return tuple(owners[:count])


def _count_owners(burst: float, zones: int) -> int:
    zone_owners = min(int(burst / ZONE_OWNER_TOKENS), zones)
    return max(int(burst / OWNER_TOKENS), zone_owners, MIN_OWNERS)


def _rank(names: Iterable[str], workspace: str) -> list[str]:
    """Returns names in the order of their rendezvous hash."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{workspace}/{name}'),
    )


def _find_zone(state: RelayState, host: str) -> str:
    """Returns the zone of a host; this host's if the zones are not known."""
    return state['peer_zones'].get(host, state['settings'].zone)


def _compute_share(state: RelayState, workspace: str) -> float:
    owners = list_owners(state, workspace)
    if not state['hosts'] or state['settings'].name not in owners:
        return 0
    return 1 / len(owners)


def _set_start_level(
    state: RelayState, workspace: str, fraction: float
) -> None:
    """Sets the level of a new bucket to the tokens that a host starts with."""
    bucket = state['buckets'][workspace]
    slack = state['settings'].quota_slack * EXCESS_FRACTION * START_FRACTION
    bucket['level'] = min(slack, bucket['burst']) * fraction


def _apply_share(state: RelayState, workspace: str, now_s: float) -> None:
    bucket = state['buckets'][workspace]
    buckets.refill(bucket, now_s)
    bucket['floor'] = state['shares'][workspace].fraction
    # The second call limits the level to the new capacity.
    buckets.refill(bucket, now_s)


def admit(state: RelayState, workspace: str, now_s: float) -> bool:
    """Takes one token of a workspace; returns False if there is none."""
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return False
    buckets.refill(bucket, now_s)
    return buckets.spend(bucket)


def count_demand(state: RelayState, workspace: str, now_s: float) -> None:
    """Adds an operation to the demand of a workspace."""
    demand = state['demand'].get(workspace, Demand(0, 0, now_s))
    elapsed_s = now_s - demand.since_s
    if elapsed_s < 1:
        demand = demand._replace(seen=demand.seen + 1)
    else:
        rate = demand.rate * math.pow(1 - DEMAND_WEIGHT, elapsed_s)
        rate += DEMAND_WEIGHT * demand.seen / elapsed_s
        demand = Demand(rate, 1, now_s)
    state['demand'][workspace] = demand


def request_tokens(
    state: RelayState,
    workspace: str,
    now_s: float,
    *,
    waits: bool,
    answered_owner: str = '',
) -> list[Any]:
    """Requests tokens from an owner if the bucket has too few.

    Args:
        state: State of the relay.
        workspace: Workspace whose operations wait or are expected.
        now_s: Boot clock in seconds.
        waits: Whether an operation waits for a token.
        answered_owner: Owner that has just answered; one that has not been
            asked yet is asked at once, without waiting for REQUEST_INTERVAL_S.

    Returns:
        The request to send, or an empty list.
    """
    bucket = state['buckets'].get(workspace)
    if bucket is None or not state['peers']:
        return []
    if not answered_owner and now_s < state['borrow_after_s'].get(workspace, 0):
        return []
    buckets.refill(bucket, now_s)
    need = _estimate_need(state, workspace, now_s, waits=waits)
    missing = need - buckets.count_available(bucket)
    if missing <= 0:
        return []
    if not answered_owner:
        state['asked_owners'].pop(workspace, None)
    owner = _choose_owner(state, workspace, now_s)
    if not owner:
        return []
    state['borrow_after_s'][workspace] = now_s + REQUEST_INTERVAL_S
    state['borrow_id'] += 1
    loan = LoanRequest(workspace, owner, now_s, now_s + LOAN_S)
    state['loan_requests'][state['borrow_id']] = loan
    request = BorrowTokens(
        sender=state['settings'].name,
        borrow_id=state['borrow_id'],
        workspace=workspace,
        tokens=missing,
        incarnation=state['incarnation'],
        keep_room=True,
    )
    return [ToHost(owner, request)]


def _choose_owner(state: RelayState, workspace: str, now_s: float) -> str:
    """Returns an owner that was not asked yet, a responsive one if possible."""
    own_name = state['settings'].name
    asked = state['asked_owners'].setdefault(workspace, set())
    owners = [
        name
        for name in list_owners(state, workspace)
        if name != own_name and name not in asked
    ]
    if not owners:
        return ''
    _back_off_owners(state, workspace, now_s)
    responsive = [
        name
        for name in owners
        if now_s >= state['owner_backoff_until_s'].get(name, 0)
    ]
    own_zone = state['settings'].zone
    # Those in this zone answer sooner, also while the zone is isolated.
    near = [name for name in responsive if _find_zone(state, name) == own_zone]
    owner: str = state['rng'].choice(near or responsive or owners)
    asked.add(owner)
    return owner


def _back_off_owners(state: RelayState, workspace: str, now_s: float) -> None:
    """Starts the backoff of owners that have not answered in time."""
    for loan in state['loan_requests'].values():
        if loan.workspace != workspace:
            continue
        if now_s - loan.asked_s >= OWNER_TIMEOUT_S:
            state['owner_backoff_until_s'][loan.owner] = now_s + OWNER_BACKOFF_S


def _estimate_need(
    state: RelayState,
    workspace: str,
    now_s: float,
    *,
    waits: bool,
) -> float:
    """Returns the tokens that a workspace should have here."""
    demand = state['demand'].get(workspace, Demand(0, 0, now_s))
    expected = float(0)
    if demand.rate * LOAN_S >= MIN_EXPECTED:
        expected = demand.rate * LOOKAHEAD_S
    return max(expected, 1) if waits else expected


def lend(
    state: RelayState,
    request: BorrowTokens,
    now_s: float,
) -> ToHost:
    """Lends tokens to a peer and returns the answer to it.

    The room of lent tokens is not refilled until the loan ends.
    """
    bucket = state['buckets'].get(request.workspace)
    tokens = float(0)
    surplus = float(0)
    if bucket is not None:
        buckets.refill(bucket, now_s)
        requested = request.tokens
        if bucket['level'] < requested:
            # An operation needs a whole token; fractions spread over several
            # hosts admit none.
            requested = math.floor(bucket['level'])
        tokens = buckets.lend(bucket, requested, now_s + LOAN_S)
        surplus = bucket['level']
    reply = LendTokens(
        sender=state['settings'].name,
        borrow_id=request.borrow_id,
        workspace=request.workspace,
        tokens=tokens,
        incarnation=request.incarnation,
        surplus=surplus,
    )
    return ToHost(request.sender, reply)


def add_loan(state: RelayState, grant: LendTokens, now_s: float) -> bool:
    """Adds lent tokens to the bucket of their workspace.

    Returns:
        False if there are none, they have expired or were not requested.
    """
    loan = state['loan_requests'].get(grant.borrow_id)
    if loan is None or grant.incarnation != state['incarnation']:
        return False
    state['loan_requests'].pop(grant.borrow_id)
    state['owner_backoff_until_s'].pop(grant.sender, None)
    bucket = state['buckets'].get(loan.workspace)
    if bucket is None or now_s >= loan.until_s or not grant.tokens:
        return False
    buckets.refill(bucket, now_s)
    hold = buckets.Hold(grant.tokens, loan.until_s)
    bucket['loans'].append(hold)
    return True


def expire_loan_requests(state: RelayState, now_s: float) -> None:
    """Removes requests for tokens whose loan would have ended."""
    for borrow_id, loan in list(state['loan_requests'].items()):
        if now_s > loan.until_s:
            state['loan_requests'].pop(borrow_id)
