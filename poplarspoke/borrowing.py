"""Rate tokens that hosts borrow from each other before they refuse.

The lender takes the tokens out of its bucket first. The borrower reserves room
in its own bucket, or, where it has too little, the lender withholds the room
until the tokens can no longer be spent. A late grant is discarded.
"""

from typing import NamedTuple, TypedDict

from poplarspoke import buckets
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.tasks import Outgoing, ToHost

# Counted from before the request was sent; tokens without own room end then.
BORROW_S = 0.05
WITHHOLD_S = 0.06  # Counted from the loan, longer than BORROW_S.
PEERS_PER_ROUND = 3
ROUNDS_PER_S = 12.0  # Bounds the messages of a workspace that is over its rate.
MAX_ROUNDS = 8.0
MIN_REST_S = 0.02
MAX_REST_S = 0.25  # Time until a drained peer is asked again.
MAX_EMPTY_REST_S = 2.0  # Peers over the rate themselves are asked seldom.
SILENT_REST_S = 1.0  # Time until a peer that did not answer is asked again.
BATCH_S = 0.1  # Refill time of the whole rate that is asked for in advance.


class Borrow(NamedTuple):
    """Request for tokens that has no answer yet."""

    workspace: str
    peer: str
    tokens: float
    keep_room: bool
    sent_s: float


class PeerView(NamedTuple):
    """What is known of a peer's tokens of one workspace."""

    surplus: float
    ask_after_s: float
    empty_rest_s: float = 0  # Rest after the last grant, if it was empty.


class Allowance(NamedTuple):
    """Rounds that may still be started."""

    rounds: float
    since_s: float


class Borrowing(TypedDict):
    """State of the borrowing of one host."""

    host: str
    incarnation: int
    next_id: int
    peers: tuple[str, ...]
    open: dict[int, Borrow]
    views: dict[tuple[str, str], PeerView]
    allowances: dict[str, Allowance]


def create_borrowing(host: str, incarnation: int) -> Borrowing:
    """Returns the state of a host that knows no peers."""
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
    """Sets the live peers, nearest in the ring of names first."""
    own = borrowing['host']
    others = sorted(host for host in hosts if host != own)
    after = tuple(host for host in others if host > own)
    borrowing['peers'] = after + tuple(host for host in others if host < own)
    borrowing['views'] = {
        key: view for key, view in borrowing['views'].items() if key[1] in hosts
    }


def is_asking(borrowing: Borrowing, workspace: str) -> bool:
    """Returns whether a request for tokens of a workspace is open."""
    return any(
        borrow.workspace == workspace for borrow in borrowing['open'].values()
    )


def borrow(
    borrowing: Borrowing,
    workspace: str,
    bucket: buckets.Bucket,
    *,
    needed: float,
    now_s: float,
) -> list[Outgoing]:
    """Starts a round of requests unless one is open; returns the messages.

    Args:
        borrowing: State of the borrowing.
        workspace: Workspace of the bucket.
        bucket: Settled bucket, in which room is reserved.
        needed: Tokens that waiting requests miss.
        now_s: Time before the requests are sent.
    """
    outgoing: list[Outgoing] = []
    if is_asking(borrowing, workspace):
        return outgoing
    peers = _choose_peers(borrowing, workspace, now_s)
    if not peers or not _take_round(borrowing, workspace, now_s):
        return outgoing
    missing, keep_room = _find_amount(bucket, needed, now_s)
    # An idle peer has at least a full floor: half of the burst in equal parts.
    full = bucket['burst'] / (2 * (len(borrowing['peers']) + 1))
    for peer in peers:
        if missing <= buckets.TOLERANCE:
            break
        surplus = _view(borrowing, workspace, peer).surplus
        tokens = min(missing, max(surplus, full, 1))
        missing -= tokens
        entry = Borrow(workspace, peer, tokens, keep_room, now_s)
        bucket['reserved'] += reserved_room(entry)
        outgoing.append(ToHost(peer, _request(borrowing, entry)))
    return outgoing


def reserved_room(entry: Borrow) -> float:
    """Returns the room that the borrower reserves for a grant."""
    return 0 if entry.keep_room else entry.tokens


def can_ask(borrowing: Borrowing, workspace: str, until_s: float) -> bool:
    """Returns whether any peer may be asked before a time."""
    for peer in borrowing['peers']:
        if _view(borrowing, workspace, peer).ask_after_s < until_s:
            return True
    return False


def answer(
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


def take(
    borrowing: Borrowing,
    message: LendTokens,
    bucket: buckets.Bucket,
    now_s: float,
) -> bool:
    """Adds a grant to the bucket; False if it is late, repeated or foreign."""
    if message.incarnation != borrowing['incarnation']:
        return False
    entry = borrowing['open'].pop(message.borrow_id, None)
    if entry is None:
        return False
    until_s = entry.sent_s + BORROW_S
    granted = max(min(message.tokens, entry.tokens), 0)
    tokens = granted if now_s < until_s else 0
    loan_until_s = until_s if entry.keep_room else 0
    reserved = reserved_room(entry)
    buckets.accept(bucket, tokens, reserved, loan_until_s, now_s)
    _remember(borrowing, entry, message, bucket, now_s)
    return True


def expire(
    borrowing: Borrowing,
    known: dict[str, buckets.Bucket],
    now_s: float,
) -> None:
    """Gives up requests without an answer and their reserved room."""
    for borrow_id, entry in list(borrowing['open'].items()):
        if now_s < entry.sent_s + BORROW_S:
            continue
        borrowing['open'].pop(borrow_id)
        borrowing['views'][entry.workspace, entry.peer] = PeerView(
            0,
            now_s + SILENT_REST_S,
        )
        bucket = known.get(entry.workspace)
        if bucket is not None:
            left = bucket['reserved'] - reserved_room(entry)
            bucket['reserved'] = max(left, 0)


def _choose_peers(
    borrowing: Borrowing,
    workspace: str,
    now_s: float,
) -> list[str]:
    ranked = []
    for place, peer in enumerate(borrowing['peers']):
        view = _view(borrowing, workspace, peer)
        if now_s >= view.ask_after_s:
            ranked.append((-view.surplus, place, peer))
    ranked.sort()
    return [entry[-1] for entry in ranked[:PEERS_PER_ROUND]]


def _find_amount(
    bucket: buckets.Bucket,
    needed: float,
    now_s: float,
) -> tuple[float, bool]:
    """Returns how much to ask for and whether the lenders keep the room."""
    free = buckets.room(bucket, now_s)
    if free < needed:
        return needed, True
    return min(free, needed + bucket['rate'] * BATCH_S), False


def _view(borrowing: Borrowing, workspace: str, peer: str) -> PeerView:
    return borrowing['views'].get((workspace, peer), PeerView(0, 0))


def _take_round(borrowing: Borrowing, workspace: str, now_s: float) -> bool:
    last = borrowing['allowances'].get(workspace, Allowance(MAX_ROUNDS, now_s))
    earned = ROUNDS_PER_S * max(now_s - last.since_s, 0)
    rounds = min(last.rounds + earned, MAX_ROUNDS)
    granted = rounds >= 1
    left = rounds - 1 if granted else rounds
    borrowing['allowances'][workspace] = Allowance(left, now_s)
    return granted


def _request(borrowing: Borrowing, entry: Borrow) -> BorrowTokens:
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


def _remember(
    borrowing: Borrowing,
    entry: Borrow,
    message: LendTokens,
    bucket: buckets.Bucket,
    now_s: float,
) -> None:
    rest_s = float(0)
    empty_rest_s = float(0)
    if message.tokens < entry.tokens or message.surplus < 1:
        rest_s = _find_rest(bucket)
    if message.tokens < buckets.TOLERANCE:
        last_s = _view(borrowing, entry.workspace, entry.peer).empty_rest_s
        empty_rest_s = min(max(last_s * 2, rest_s), MAX_EMPTY_REST_S)
        rest_s = empty_rest_s
    borrowing['views'][entry.workspace, entry.peer] = PeerView(
        message.surplus,
        now_s + rest_s,
        empty_rest_s,
    )


def _find_rest(bucket: buckets.Bucket) -> float:
    """Returns the time in which a peer refills half of its bucket."""
    refill_s = bucket['burst'] / (2 * max(bucket['rate'], buckets.TOLERANCE))
    return min(max(refill_s, MIN_REST_S), MAX_REST_S)
