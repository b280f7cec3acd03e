"""Token bucket of one workspace on one host.

The capacity is the host's share of the burst, and the refill rate is its share
of the rate. The level, the reserved room and the withheld room together never
exceed the capacity, so the tokens on all hosts and in transit never exceed the
burst.
"""

import math
from typing import NamedTuple, TypedDict

from poplarspoke import invariants

TOKEN_TOLERANCE = 1e-6  # Rounding of token sums.
# Until then, tokens that a former process of this host lent may be spent.
START_DELAY_S = 0.06


class Hold(NamedTuple):
    """Tokens or room that expire at a time on the monotonic clock."""

    tokens: float
    until_s: float


class Bucket(TypedDict):
    """State of a bucket.

    Attributes:
        rate: Requests per second of the workspace on all hosts.
        burst: Burst of the workspace on all hosts.
        floor: Guaranteed fraction of both, which needs no lease.
        leased: Fraction of both that is leased until ``lease_until_s``.
        lease_until_s: End of the lease.
        level: Tokens in the bucket.
        reserved: Room reserved for outstanding requests to peers.
        settled_s: Time up to which the bucket is refilled.
        withheld: Room kept free for tokens lent to peers without room.
        loans: Borrowed tokens whose room the lender withholds.
    """

    rate: float
    burst: float
    floor: float
    leased: float
    lease_until_s: float
    level: float
    reserved: float
    settled_s: float
    withheld: list[Hold]
    loans: list[Hold]


def create_bucket(rate: float, burst: float, now_s: float) -> Bucket:
    """Returns an empty bucket without a share; it refills after a delay."""
    return Bucket(
        rate=rate,
        burst=burst,
        floor=0,
        leased=0,
        lease_until_s=now_s,
        level=0,
        reserved=0,
        settled_s=now_s + START_DELAY_S,
        withheld=[],
        loans=[],
    )


def get_share(bucket: Bucket, now_s: float) -> float:
    """Returns the fraction of rate and burst, without an expired lease."""
    if now_s < bucket['lease_until_s']:
        return bucket['floor'] + bucket['leased']
    return bucket['floor']


def get_free_room(bucket: Bucket, now_s: float) -> float:
    """Returns how many more tokens the bucket has room for."""
    capacity = bucket['burst'] * get_share(bucket, now_s)
    used = (
        bucket['level'] + bucket['reserved'] + _sum_tokens(bucket['withheld'])
    )
    return max(capacity - used, 0)


def refill(bucket: Bucket, now_s: float) -> None:
    """Refills the bucket up to now and removes expired holds.

    After the end of the lease, only the guaranteed fraction is refilled, also
    for the time before the end: the host may have been paused.
    """
    elapsed_s = max(now_s - bucket['settled_s'], 0)
    bucket['settled_s'] = max(now_s, bucket['settled_s'])
    bucket['withheld'] = _list_unexpired(bucket['withheld'], now_s)
    bucket['loans'] = _list_unexpired(bucket['loans'], now_s)
    fraction = get_share(bucket, now_s)
    capacity = bucket['burst'] * fraction
    withheld = _sum_tokens(bucket['withheld'])
    bucket['reserved'] = min(bucket['reserved'], max(capacity - withheld, 0))
    limit = max(capacity - withheld - bucket['reserved'], 0)
    refilled = bucket['level'] + elapsed_s * bucket['rate'] * fraction
    bucket['level'] = min(refilled, limit)
    _check_bucket(bucket, max(capacity, withheld))


def count_available(bucket: Bucket) -> float:
    """Returns the tokens that can be spent now."""
    return bucket['level'] + _sum_tokens(bucket['loans'])


def spend(bucket: Bucket) -> bool:
    """Spends one token, borrowed ones first; returns False if there is none.

    The caller must have refilled the bucket up to the present time.
    """
    if count_available(bucket) < 1 - TOKEN_TOLERANCE:
        return False
    missing = float(1)
    while bucket['loans'] and missing > 0:
        loan = bucket['loans'].pop(0)
        used = min(loan.tokens, missing)
        missing -= used
        if loan.tokens > used:
            bucket['loans'].insert(0, loan._replace(tokens=loan.tokens - used))
    bucket['level'] = max(bucket['level'] - missing, 0)
    return True


def find_expiry(bucket: Bucket) -> float:
    """Returns when the token that is spent next expires; infinite for an own one.

    The caller must have refilled the bucket up to the present time.
    """
    return bucket['loans'][0].until_s if bucket['loans'] else math.inf


def give_back(bucket: Bucket, until_s: float) -> None:
    """Gives back one token that was spent for nothing.

    Args:
        bucket: Bucket that the token was spent from, refilled up to now.
        until_s: When the token expires; infinite for an own one, which fits in
            if the bucket has room for it.
    """
    if math.isinf(until_s):
        capacity = bucket['burst'] * bucket['floor']
        room = capacity - bucket['level'] - bucket['reserved']
        room -= _sum_tokens(bucket['withheld'])
        bucket['level'] += min(max(room, 0), 1)
        return
    # The lender keeps its room empty until then.
    if until_s > bucket['settled_s']:
        bucket['loans'].append(Hold(1, until_s))


def lend(bucket: Bucket, tokens: float, withhold_until_s: float) -> float:
    """Removes tokens for a peer and returns how many.

    Args:
        bucket: Bucket of the lender, refilled up to now.
        tokens: Number of tokens that the peer requested.
        withhold_until_s: Time until which room is withheld; 0 if the peer has
            room.
    """
    lent = min(max(tokens, 0), bucket['level'])
    bucket['level'] -= lent
    if withhold_until_s and lent:
        bucket['withheld'].append(Hold(lent, withhold_until_s))
    return lent


def add_grant(
    bucket: Bucket,
    tokens: float,
    reserved: float,
    loan_until_s: float,
    now_s: float,
) -> None:
    """Adds granted tokens to the bucket.

    Args:
        bucket: Bucket of the borrower.
        tokens: Tokens granted.
        reserved: Room that was reserved for them.
        loan_until_s: End of the room that the lender withholds; 0 if none.
        now_s: Monotonic clock in seconds.
    """
    bucket['reserved'] = max(bucket['reserved'] - reserved, 0)
    kept = min(tokens, get_free_room(bucket, now_s))
    bucket['level'] += kept
    if loan_until_s > now_s and tokens > kept:
        bucket['loans'].append(Hold(tokens - kept, loan_until_s))


def _list_unexpired(holds: list[Hold], now_s: float) -> list[Hold]:
    return [hold for hold in holds if hold.until_s > now_s]


def _sum_tokens(holds: list[Hold]) -> float:
    return sum(hold.tokens for hold in holds)


def _check_bucket(bucket: Bucket, limit: float) -> None:
    used = (
        bucket['level'] + bucket['reserved'] + _sum_tokens(bucket['withheld'])
    )
    invariants.check(
        holds=used <= limit + TOKEN_TOLERANCE,
        code='R7',
        detail=f'bucket holds {used:.3f} of at most {limit:.3f} tokens',
    )
