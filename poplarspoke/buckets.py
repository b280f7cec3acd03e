"""Token bucket of one workspace on one host.

The capacity is the host's share of the burst, the refill its share of the
rate. Level, reserved room and withheld room together never exceed the
capacity, so that the tokens of all hosts and in transit never exceed the burst.
"""

from typing import NamedTuple, TypedDict

from poplarspoke import invariants

TOLERANCE = 1e-6  # Rounding of token sums.
# Tokens that an earlier process of this host lent may be spent until then.
START_DELAY_S = 0.06


class Hold(NamedTuple):
    """Tokens or room that end at a time of the monotonic clock."""

    tokens: float
    until_s: float


class Bucket(TypedDict):
    """State of a bucket.

    Attributes:
        rate: Requests a second of the workspace on all hosts.
        burst: Burst of the workspace on all hosts.
        floor: Fraction of both that needs no lease.
        leased: Fraction of both that is leased until ``lease_until_s``.
        reserved: Room for grants that are outstanding.
        withheld: Room of tokens in transit to peers that have no room.
        loans: Tokens whose room a peer withholds.
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
    """Returns an empty bucket without a share that starts after a delay."""
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


def share(bucket: Bucket, now_s: float) -> float:
    """Returns the fraction of rate and burst; an expired lease has none."""
    if now_s < bucket['lease_until_s']:
        return bucket['floor'] + bucket['leased']
    return bucket['floor']


def room(bucket: Bucket, now_s: float) -> float:
    """Returns how many tokens the bucket could still take."""
    capacity = bucket['burst'] * share(bucket, now_s)
    used = bucket['level'] + bucket['reserved'] + _total(bucket['withheld'])
    return max(capacity - used, 0)


def settle(bucket: Bucket, now_s: float) -> None:
    """Refills the bucket up to now and drops what expired.

    After the end of the lease only the floor counts, also for the time before
    the end: the host may have been paused.
    """
    elapsed_s = max(now_s - bucket['settled_s'], 0)
    bucket['settled_s'] = max(now_s, bucket['settled_s'])
    bucket['withheld'] = _keep_current(bucket['withheld'], now_s)
    bucket['loans'] = _keep_current(bucket['loans'], now_s)
    fraction = share(bucket, now_s)
    capacity = bucket['burst'] * fraction
    withheld = _total(bucket['withheld'])
    bucket['reserved'] = min(bucket['reserved'], max(capacity - withheld, 0))
    limit = max(capacity - withheld - bucket['reserved'], 0)
    refilled = bucket['level'] + elapsed_s * bucket['rate'] * fraction
    bucket['level'] = min(refilled, limit)
    _check_bucket(bucket, max(capacity, withheld))


def available(bucket: Bucket) -> float:
    """Returns the tokens that can be spent now."""
    return bucket['level'] + _total(bucket['loans'])


def spend(bucket: Bucket) -> bool:
    """Takes one token, loans first; False if there is none.

    The caller has settled the bucket with the time of this message.
    """
    if available(bucket) < 1 - TOLERANCE:
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


def lend(bucket: Bucket, tokens: float, withhold_until_s: float) -> float:
    """Takes tokens out for a peer and returns how many.

    Args:
        bucket: Settled bucket of the lender.
        tokens: How many the peer asked for.
        withhold_until_s: End of the withheld room, 0 if the peer has room.
    """
    lent = min(max(tokens, 0), bucket['level'])
    bucket['level'] -= lent
    if withhold_until_s and lent:
        bucket['withheld'].append(Hold(lent, withhold_until_s))
    return lent


def accept(
    bucket: Bucket,
    tokens: float,
    reserved: float,
    loan_until_s: float,
    now_s: float,
) -> None:
    """Adds a grant within its reserved room, or as a loan with peer's room."""
    bucket['reserved'] = max(bucket['reserved'] - reserved, 0)
    kept = min(tokens, room(bucket, now_s))
    bucket['level'] += kept
    if loan_until_s > now_s and tokens > kept:
        bucket['loans'].append(Hold(tokens - kept, loan_until_s))


def _keep_current(holds: list[Hold], now_s: float) -> list[Hold]:
    return [hold for hold in holds if hold.until_s > now_s]


def _total(holds: list[Hold]) -> float:
    return sum(hold.tokens for hold in holds)


def _check_bucket(bucket: Bucket, limit: float) -> None:
    used = bucket['level'] + bucket['reserved'] + _total(bucket['withheld'])
    invariants.check(
        holds=used <= limit + TOLERANCE,
        code='R7',
        detail=f'bucket holds {used:.3f} of at most {limit:.3f} tokens',
    )
