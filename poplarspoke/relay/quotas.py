"""Operations that this host may start for a workspace.

Rate and burst of a workspace count over all hosts. Some hosts own an equal
share of them each, in a token bucket; how many depends on the burst, so that a
share is worth some operations also where there are many hosts. The others
borrow from the owners, which keep the room of lent tokens empty until the loan
ends. A host starts with its share of a part of the tolerated slack only, since
it cannot know what its earlier process has spent. So the tokens of all hosts
together never exceed the bound, also if all of them start again at once.
"""

import math

from typing import Any

import xxhash

from poplarspoke import buckets
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.generated.rules import WorkspaceRule
from poplarspoke.relay.state import Demand, Loan, RelayState, Share
from poplarspoke.tasks import ToHost

# Part of the tolerated excess that is used; the rest covers tokens that were lent
# by a process that has started again since.
EXCESS_PART = 0.85
# Part of the tolerated slack that hosts start with. The rest adds to the burst,
# without which a workspace with a small one is refused below its rate.
START_PART = 0.5
# An owner's share of the burst is worth at least so many operations.
OWNER_TOKENS = 4
# Some owners may be down, so a small workspace has this many too.
MIN_OWNERS = 3
# A round trip between zones takes 3 ms; datagrams may be lost.
ASK_AGAIN_S = 0.02
# An owner that did not answer for so long is left out for a while; zones are cut
# off for some seconds, and a busy host may take some tens of milliseconds.
MUTE_AFTER_S = 0.04
MUTE_S = 0.5
# Tokens asked for cover the operations of this time ahead; what is lent and not
# used until the loan ends is lost to the workspace.
AHEAD_S = 0.2
# The weight of the newest second in the measured demand.
DEMAND_WEIGHT = 0.5
# Lent tokens end after this time, at the lender and at the borrower. The
# borrower counts from its question, so it never spends one that has ended.
LOAN_S = 1.0
# A share that grows starts after this time: a host that cannot be reached may
# not know yet that its own has become smaller.
GROW_S = 10.0
# An operation waits so long for a borrowed token before it is refused.
WAIT_S = 0.06


def set_workspaces(
    state: RelayState,
    workspaces: tuple[WorkspaceRule, ...],
    now_s: float,
) -> None:
    """Applies the rates of a configuration; tokens in hand are kept."""
    kept = {rule.name for rule in workspaces}
    for name in set(state['buckets']) - kept:
        state['buckets'].pop(name)
        state['shares'].pop(name, None)
    settings = state['settings']
    factor = 1 + settings.quota_excess * EXCESS_PART
    for rule in workspaces:
        bucket = state['buckets'].get(rule.name)
        if bucket is None:
            bucket = buckets.create_bucket(0, 0, now_s)
            state['buckets'][rule.name] = bucket
        buckets.settle(bucket, now_s)
        bucket['rate'] = rule.rate * factor
        slack = settings.quota_slack * EXCESS_PART * (1 - START_PART)
        bucket['burst'] = rule.burst * factor + slack
    set_hosts(state, now_s)


def set_hosts(state: RelayState, now_s: float) -> None:
    """Gives each bucket this host's share; growth waits for its time."""
    if not state['hosts']:
        return
    for name in state['buckets']:
        wanted = _find_share(state, name)
        known = state['shares'].get(name)
        is_new = known is None
        if known is None or wanted <= known.fraction:
            known = Share(wanted, wanted, now_s)
        elif wanted != known.wanted:
            known = Share(known.fraction, wanted, now_s + GROW_S)
        state['shares'][name] = known
        _apply_share(state, name, now_s)
        if is_new:
            _fill(state, name, wanted)


def grow_shares(state: RelayState, now_s: float) -> None:
    """Applies shares whose growth has waited long enough."""
    for name, known in list(state['shares'].items()):
        if known.wanted == known.fraction or now_s < known.from_s:
            continue
        state['shares'][name] = known._replace(fraction=known.wanted)
        if name in state['buckets']:
            _apply_share(state, name, now_s)


def list_owners(state: RelayState, workspace: str) -> list[str]:
    """Returns the hosts that own shares of a workspace, by rendezvous."""
    bucket = state['buckets'][workspace]
    wanted = max(int(bucket['burst'] / OWNER_TOKENS), MIN_OWNERS)
    hosts = [state['settings'].name, *state['peers']]
    if wanted >= len(hosts):
        return hosts
    ranked = sorted(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f'{workspace}/{host}'),
    )
    return ranked[:wanted]


def _find_share(state: RelayState, workspace: str) -> float:
    owners = list_owners(state, workspace)
    if not state['hosts'] or state['settings'].name not in owners:
        return 0
    return 1 / len(owners)


def _fill(state: RelayState, workspace: str, fraction: float) -> None:
    """Gives a bucket the tokens that a host starts with."""
    bucket = state['buckets'][workspace]
    slack = state['settings'].quota_slack * EXCESS_PART * START_PART
    bucket['level'] = min(slack, bucket['burst']) * fraction


def _apply_share(state: RelayState, workspace: str, now_s: float) -> None:
    bucket = state['buckets'][workspace]
    buckets.settle(bucket, now_s)
    bucket['floor'] = state['shares'][workspace].fraction
    # Settling again cuts the level to the room that is left.
    buckets.settle(bucket, now_s)


def admit(state: RelayState, workspace: str, now_s: float) -> bool:
    """Takes one token of a workspace; False if there is none."""
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return False
    buckets.settle(bucket, now_s)
    return buckets.spend(bucket)


def count_demand(state: RelayState, workspace: str, now_s: float) -> None:
    """Counts an operation that a workspace has asked for."""
    known = state['demand'].get(workspace, Demand(0, 0, now_s))
    passed_s = now_s - known.since_s
    if passed_s < 1:
        known = known._replace(seen=known.seen + 1)
    else:
        rate = known.rate * math.pow(1 - DEMAND_WEIGHT, passed_s)
        rate += DEMAND_WEIGHT * known.seen / passed_s
        known = Demand(rate, 1, now_s)
    state['demand'][workspace] = known


def ask_owner(
    state: RelayState,
    workspace: str,
    now_s: float,
    *,
    emptied: str = '',
) -> list[Any]:
    """Asks an owner for tokens if there are too few.

    Args:
        state: State of the relay.
        workspace: Workspace whose operations wait or are expected.
        now_s: Boot clock in seconds.
        emptied: Owner that has just answered; another one is asked.
    """
    bucket = state['buckets'].get(workspace)
    if bucket is None or not state['peers']:
        return []
    if not emptied and now_s < state['borrow_after_s'].get(workspace, 0):
        return []
    buckets.settle(bucket, now_s)
    need = _estimate_need(state, workspace, now_s)
    missing = need - buckets.available(bucket)
    if missing <= 0:
        return []
    own = state['settings'].name
    owners = [
        name
        for name in list_owners(state, workspace)
        if name not in {own, emptied}
    ]
    if not owners:
        return []
    _note_mute(state, workspace, now_s)
    heard = [
        name for name in owners if now_s >= state['mute_until_s'].get(name, 0)
    ]
    owner = state['rng'].choice(heard or owners)
    state['borrow_after_s'][workspace] = now_s + ASK_AGAIN_S
    state['borrow_id'] += 1
    loan = Loan(workspace, owner, now_s, now_s + LOAN_S)
    state['borrowed'][state['borrow_id']] = loan
    request = BorrowTokens(
        sender=own,
        borrow_id=state['borrow_id'],
        workspace=workspace,
        tokens=missing,
        incarnation=state['incarnation'],
        keep_room=True,
    )
    return [ToHost(owner, request)]


def _note_mute(state: RelayState, workspace: str, now_s: float) -> None:
    """Leaves owners out for a while that have not answered."""
    for loan in state['borrowed'].values():
        if loan.workspace != workspace:
            continue
        if now_s - loan.asked_s >= MUTE_AFTER_S:
            state['mute_until_s'][loan.owner] = now_s + MUTE_S


def _estimate_need(
    state: RelayState,
    workspace: str,
    now_s: float,
) -> float:
    demand = state['demand'].get(workspace, Demand(0, 0, now_s))
    return max(demand.rate * AHEAD_S, 1)


def lend(
    state: RelayState,
    request: BorrowTokens,
    now_s: float,
) -> ToHost:
    """Gives a peer tokens and keeps their room empty until the loan ends."""
    bucket = state['buckets'].get(request.workspace)
    tokens = float(0)
    surplus = float(0)
    if bucket is not None:
        buckets.settle(bucket, now_s)
        wanted = request.tokens
        if bucket['level'] < wanted:
            # Parts of a token that several hosts get are of use to none.
            wanted = math.floor(bucket['level'])
        tokens = buckets.lend(bucket, wanted, now_s + LOAN_S)
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


def take_loan(state: RelayState, grant: LendTokens, now_s: float) -> bool:
    """Adds lent tokens; False if they came too late or were never asked."""
    loan = state['borrowed'].get(grant.borrow_id)
    if loan is None or grant.incarnation != state['incarnation']:
        return False
    state['borrowed'].pop(grant.borrow_id)
    state['mute_until_s'].pop(grant.sender, None)
    bucket = state['buckets'].get(loan.workspace)
    if bucket is None or now_s >= loan.until_s or not grant.tokens:
        return False
    buckets.settle(bucket, now_s)
    hold = buckets.Hold(grant.tokens, loan.until_s)
    bucket['loans'].append(hold)
    return True


def expire_loans(state: RelayState, now_s: float) -> None:
    """Forgets questions for tokens that were not answered."""
    for borrow_id, loan in list(state['borrowed'].items()):
        if now_s > loan.until_s:
            state['borrowed'].pop(borrow_id)
