"""Rate tokens that hosts borrow from peers before they refuse a request.

The lender removes the tokens from its bucket before it answers. The borrower
reserves room for them in its own bucket. If it has too little room, the lender
withholds the room until the tokens can no longer be spent. A late grant is
discarded.
"""

from typing import NamedTuple, TypedDict

from poplarspoke import buckets
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.tasks import Outgoing, ToHost

# Counted from before the request is sent; tokens without reserved room expire
# then.
BORROW_TIMEOUT_S = 0.05
WITHHOLD_S = 0.06  # Counted from the loan; exceeds BORROW_TIMEOUT_S.
PEERS_PER_ROUND = 3
ROUNDS_PER_S = 12.0  # Limits the messages of a workspace over its rate.
MAX_ROUNDS = 8.0
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25  # After a partial grant.
MAX_EMPTY_BACKOFF_S = 2.0  # After several empty grants in a row.
UNRESPONSIVE_BACKOFF_S = 1.0  # After a request without an answer.
PREFETCH_S = 0.1  # Tokens requested in advance, as time at the full rate.


class PendingBorrow(NamedTuple):
    """Request for tokens that has no answer yet.

    Attributes:
        workspace: Workspace of the tokens.
        peer: Host that the request was sent to.
        tokens: Number of tokens requested.
        keep_room: Whether the lender withholds the room.
        sent_s: Time before the request was sent.
    """

    workspace: str
    peer: str
    tokens: float
    keep_room: bool
    sent_s: float


class PeerView(NamedTuple):
    """State of a peer's tokens of one workspace, from its last answer.

    Attributes:
        surplus: Tokens that the peer has left.
        ask_after_s: End of the backoff before the next request to it.
        empty_rest_s: Backoff after the last grant if it was empty, else 0.
    """

    surplus: float
    ask_after_s: float
    empty_rest_s: float = 0


class Allowance(NamedTuple):
    """Rounds of requests that may be started, as of ``since_s``."""

    rounds: float
    since_s: float


class Borrowing(TypedDict):
    """State of the borrowing of one host.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this process.
        next_id: Id of the last request; the next one is higher by 1.
        peers: Live peers, in the order in which they are preferred.
        open: Requests without an answer, by id.
        views: State of each peer's tokens, by workspace and peer.
        allowances: Rounds that may be started, by workspace.
    """

    host: str
    incarnation: int
    next_id: int
    peers: tuple[str, ...]
    open: dict[int, PendingBorrow]
    views: dict[tuple[str, str], PeerView]
    allowances: dict[str, Allowance]


def create_borrowing(host: str, incarnation: int) -> Borrowing:
    """Returns the state of a host without peers."""
    return Borrowing(
        host=host,
        incarnation=incarnation,
        next_id=0,
        peers=(),
        open={},
        views={},
        allowances={},
    )


def set_peers(borrowing: Borrowing, hosts: tuple[str, ...]) -> None:
    """Sets the live peers, first those whose names follow this host's."""
    own = borrowing['host']
    others = sorted(host for host in hosts if host != own)
    after = tuple(host for host in others if host > own)
    borrowing['peers'] = after + tuple(host for host in others if host < own)
    borrowing['views'] = {
        key: view for key, view in borrowing['views'].items() if key[1] in hosts
    }


def has_open_request(borrowing: Borrowing, workspace: str) -> bool:
    """Returns whether a request for tokens of a workspace has no answer yet."""
    return any(
        request.workspace == workspace for request in borrowing['open'].values()
    )


def start_round(
    borrowing: Borrowing,
    workspace: str,
    bucket: buckets.Bucket,
    *,
    needed: float,
    now_s: float,
) -> list[Outgoing]:
    """Starts a round of requests unless one is open, and returns its messages.

    Args:
        borrowing: State of the borrowing.
        workspace: Workspace of the bucket.
        bucket: Bucket, refilled up to now, in which room is reserved.
        needed: Tokens that the waiting requests lack.
        now_s: Time before the requests are sent.
    """
    outgoing: list[Outgoing] = []
    if has_open_request(borrowing, workspace):
        return outgoing
    peers = _choose_peers(borrowing, workspace, now_s)
    if not peers or not _consume_round(borrowing, workspace, now_s):
        return outgoing
    missing, keep_room = _compute_amount(bucket, needed, now_s)
    # An idle peer has at least its full guaranteed burst: half of the burst is
    # divided equally among the hosts.
    idle_surplus = bucket['burst'] / (2 * (len(borrowing['peers']) + 1))
    for peer in peers:
        if missing <= buckets.TOKEN_TOLERANCE:
            break
        surplus = _get_view(borrowing, workspace, peer).surplus
        tokens = min(missing, max(surplus, idle_surplus, 1))
        missing -= tokens
        entry = PendingBorrow(workspace, peer, tokens, keep_room, now_s)
        bucket['reserved'] += get_reserved_room(entry)
        outgoing.append(ToHost(peer, _create_request(borrowing, entry)))
    return outgoing


def get_reserved_room(entry: PendingBorrow) -> float:
    """Returns the room that the borrower reserves for a grant."""
    return 0 if entry.keep_room else entry.tokens


def can_borrow(borrowing: Borrowing, workspace: str, until_s: float) -> bool:
    """Returns whether the backoff of any peer ends before a time."""
    for peer in borrowing['peers']:
        if _get_view(borrowing, workspace, peer).ask_after_s < until_s:
            return True
    return False


def create_answer(
    message: BorrowTokens,
    host: str,
    tokens: float,
    surplus: float,
) -> LendTokens:
    """Returns the answer of a lender."""
    return LendTokens(
        sender=host,
        borrow_id=message.borrow_id,
        workspace=message.workspace,
        tokens=tokens,
        incarnation=message.incarnation,
        surplus=surplus,
    )


def accept_grant(
    borrowing: Borrowing,
    message: LendTokens,
    bucket: buckets.Bucket,
    now_s: float,
) -> bool:
    """Adds a grant to the bucket and records the state of the lender.

    Tokens that arrive after the timeout are discarded. Returns False for a
    repeated answer, for one whose request has expired, and for one to another
    incarnation of this host.
    """
    if message.incarnation != borrowing['incarnation']:
        return False
    entry = borrowing['open'].pop(message.borrow_id, None)
    if entry is None:
        return False
    until_s = entry.sent_s + BORROW_TIMEOUT_S
    granted = max(min(message.tokens, entry.tokens), 0)
    tokens = granted if now_s < until_s else 0
    loan_until_s = until_s if entry.keep_room else 0
    reserved = get_reserved_room(entry)
    buckets.add_grant(bucket, tokens, reserved, loan_until_s, now_s)
    _update_view(borrowing, entry, message, bucket, now_s)
    return True


def expire(
    borrowing: Borrowing,
    workspace_buckets: dict[str, buckets.Bucket],
    now_s: float,
) -> None:
    """Removes requests that timed out and frees the room reserved for them."""
    for borrow_id, entry in list(borrowing['open'].items()):
        if now_s < entry.sent_s + BORROW_TIMEOUT_S:
            continue
        borrowing['open'].pop(borrow_id)
        borrowing['views'][entry.workspace, entry.peer] = PeerView(
            0,
            now_s + UNRESPONSIVE_BACKOFF_S,
        )
        bucket = workspace_buckets.get(entry.workspace)
        if bucket is not None:
            remaining = bucket['reserved'] - get_reserved_room(entry)
            bucket['reserved'] = max(remaining, 0)


def _choose_peers(
    borrowing: Borrowing,
    workspace: str,
    now_s: float,
) -> list[str]:
    ranked = []
    for index, peer in enumerate(borrowing['peers']):
        view = _get_view(borrowing, workspace, peer)
        if now_s >= view.ask_after_s:
            ranked.append((-view.surplus, index, peer))
    ranked.sort()
    return [entry[-1] for entry in ranked[:PEERS_PER_ROUND]]


def _compute_amount(
    bucket: buckets.Bucket,
    needed: float,
    now_s: float,
) -> tuple[float, bool]:
    """Returns the tokens to request and whether lenders withhold the room."""
    free = buckets.get_free_room(bucket, now_s)
    if free < needed:
        return needed, True
    return min(free, needed + bucket['rate'] * PREFETCH_S), False


def _get_view(borrowing: Borrowing, workspace: str, peer: str) -> PeerView:
    return borrowing['views'].get((workspace, peer), PeerView(0, 0))


def _consume_round(borrowing: Borrowing, workspace: str, now_s: float) -> bool:
    last = borrowing['allowances'].get(workspace, Allowance(MAX_ROUNDS, now_s))
    earned = ROUNDS_PER_S * max(now_s - last.since_s, 0)
    rounds = min(last.rounds + earned, MAX_ROUNDS)
    granted = rounds >= 1
    remaining = rounds - 1 if granted else rounds
    borrowing['allowances'][workspace] = Allowance(remaining, now_s)
    return granted


def _create_request(borrowing: Borrowing, entry: PendingBorrow) -> BorrowTokens:
    borrowing['next_id'] += 1
    borrowing['open'][borrowing['next_id']] = entry
    return BorrowTokens(
        sender=borrowing['host'],
        borrow_id=borrowing['next_id'],
        workspace=entry.workspace,
        tokens=entry.tokens,
        incarnation=borrowing['incarnation'],
        keep_room=entry.keep_room,
    )


def _update_view(
    borrowing: Borrowing,
    entry: PendingBorrow,
    message: LendTokens,
    bucket: buckets.Bucket,
    now_s: float,
) -> None:
    backoff_s = float(0)
    empty_rest_s = float(0)
    if message.tokens < entry.tokens or message.surplus < 1:
        backoff_s = _compute_backoff(bucket)
    if message.tokens < buckets.TOKEN_TOLERANCE:
        last_backoff_s = _get_view(
            borrowing, entry.workspace, entry.peer
        ).empty_rest_s
        empty_rest_s = min(
            max(last_backoff_s * 2, backoff_s), MAX_EMPTY_BACKOFF_S
        )
        backoff_s = empty_rest_s
    borrowing['views'][entry.workspace, entry.peer] = PeerView(
        message.surplus,
        now_s + backoff_s,
        empty_rest_s,
    )


def _compute_backoff(bucket: buckets.Bucket) -> float:
    """Returns the time in which a peer refills half of its bucket, bounded."""
    refill_s = bucket['burst'] / (
        2 * max(bucket['rate'], buckets.TOKEN_TOLERANCE)
    )
    return min(max(refill_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
