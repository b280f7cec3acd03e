"""Operations that this host may start for a workspace.

Rate and burst of a workspace count over all hosts. Each registered host has an
equal share in a token bucket of its own and borrows from the others what they
do not use; a restarted host starts with an empty bucket. So the tokens of all
hosts together never exceed rate and burst.
"""

from typing import Any

from poplarspoke import buckets
from poplarspoke.buckets import Bucket
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.generated.rules import WorkspaceRule
from poplarspoke.relay.state import Loan, RelayState
from poplarspoke.tasks import ToHost

# Part of the tolerated excess that is used; the rest covers operations that
# are admitted in one window and arrive at an endpoint in the next.
EXCESS_PART = 0.5
# Asks when fewer than this part of the share is left.
LOW_PART = 0.5
# Peers asked at the same time; one that has none answers with zero.
ASKED_PEERS = 2
# A round trip between zones takes 3 ms; datagrams may be lost.
ASK_AGAIN_S = 0.05
# A grant that comes later than this is dropped, since its room is given up.
GRANT_S = 1.0
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
    settings = state['settings']
    factor = 1 + settings.quota_excess * EXCESS_PART
    for rule in workspaces:
        bucket = state['buckets'].get(rule.name)
        if bucket is None:
            bucket = buckets.create_bucket(0, 0, now_s)
            state['buckets'][rule.name] = bucket
        buckets.settle(bucket, now_s)
        bucket['rate'] = rule.rate * factor
        bucket['burst'] = (
            rule.burst * factor + settings.quota_slack * EXCESS_PART
        )
    set_hosts(state, now_s)


def set_hosts(state: RelayState, now_s: float) -> None:
    """Gives each bucket the share of one host."""
    share = 1 / state['hosts'] if state['hosts'] else 0
    for bucket in state['buckets'].values():
        buckets.settle(bucket, now_s)
        bucket['floor'] = share
        capacity = bucket['burst'] * share
        bucket['reserved'] = min(bucket['reserved'], capacity)
        bucket['level'] = min(
            bucket['level'],
            max(capacity - bucket['reserved'], 0),
        )


def admit(state: RelayState, workspace: str, now_s: float) -> bool:
    """Takes one token of a workspace; False if there is none."""
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return False
    buckets.settle(bucket, now_s)
    return buckets.spend(bucket)


def ask_peers(
    state: RelayState,
    workspace: str,
    now_s: float,
) -> list[Any]:
    """Asks some peers for tokens if the share runs low."""
    bucket = state['buckets'].get(workspace)
    if bucket is None or not state['peers']:
        return []
    if now_s < state['borrow_after_s'].get(workspace, 0):
        return []
    capacity = bucket['burst'] * buckets.share(bucket, now_s)
    if bucket['level'] > capacity * LOW_PART:
        return []
    state['borrow_after_s'][workspace] = now_s + ASK_AGAIN_S
    wanted = buckets.room(bucket, now_s) / ASKED_PEERS
    peers = list(state['peers'])
    asked = state['rng'].sample(peers, min(ASKED_PEERS, len(peers)))
    outgoing: list[Any] = []
    for peer in asked:
        state['borrow_id'] += 1
        bucket['reserved'] += wanted
        loan = Loan(workspace, wanted, now_s + GRANT_S)
        state['borrowed'][state['borrow_id']] = loan
        request = BorrowTokens(
            sender=state['settings'].name,
            borrow_id=state['borrow_id'],
            workspace=workspace,
            tokens=wanted,
            incarnation=state['incarnation'],
        )
        outgoing.append(ToHost(peer, request))
    return outgoing


def lend(
    state: RelayState,
    request: BorrowTokens,
    now_s: float,
) -> ToHost:
    """Gives a peer up to half of the tokens in hand."""
    bucket = state['buckets'].get(request.workspace)
    tokens = float(0)
    surplus = float(0)
    if bucket is not None:
        buckets.settle(bucket, now_s)
        wanted = min(request.tokens, bucket['level'] / 2)
        tokens = buckets.lend(bucket, wanted, 0)
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
    bucket = state['buckets'].get(loan.workspace)
    if bucket is None:
        return False
    buckets.settle(bucket, now_s)
    if now_s > loan.until_s:
        _give_up_room(bucket, loan)
        return False
    buckets.accept(bucket, grant.tokens, loan.room, 0, now_s)
    return True


def expire_loans(state: RelayState, now_s: float) -> None:
    """Gives up the room of grants that did not come."""
    for borrow_id, loan in list(state['borrowed'].items()):
        if now_s <= loan.until_s:
            continue
        state['borrowed'].pop(borrow_id)
        bucket = state['buckets'].get(loan.workspace)
        if bucket is not None:
            _give_up_room(bucket, loan)


def _give_up_room(bucket: Bucket, loan: Loan) -> None:
    bucket['reserved'] = max(bucket['reserved'] - loan.room, 0)


def estimate_wait_s(state: RelayState, workspace: str) -> float:
    """Returns the seconds after which a token of the workspace is likely."""
    bucket = state['buckets'].get(workspace)
    if bucket is None or not bucket['rate']:
        return 1
    return 1 / bucket['rate']
