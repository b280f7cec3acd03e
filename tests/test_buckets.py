"""Tests the token bucket of one workspace on one host."""

import pytest

from poplarspoke import borrowing, buckets


def create_full(now_s: float) -> buckets.Bucket:
    """Returns a full bucket with half a token that refills within 10 ms."""
    bucket = buckets.create_bucket(100, 1, now_s - 1)
    bucket['floor'] = 0.5
    buckets.refill(bucket, now_s)
    return bucket


def test_lender_withholds_room() -> None:
    """Guards against a refill while the borrower can spend the tokens."""
    bucket = create_full(10)
    lent = buckets.lend(bucket, 1, 10 + borrowing.WITHHOLD_S)
    assert lent == pytest.approx(0.5)
    buckets.refill(bucket, 10 + borrowing.BORROW_TIMEOUT_S)
    assert buckets.count_available(bucket) == pytest.approx(0)
    buckets.refill(bucket, 10 + 2 * borrowing.WITHHOLD_S)
    assert buckets.count_available(bucket) == pytest.approx(0.5)


def test_expired_loan_is_not_spent() -> None:
    """Guards against spending a loan after the lender has freed its room."""
    bucket = create_full(10)
    buckets.add_grant(bucket, 0.5, 0, 10 + borrowing.BORROW_TIMEOUT_S, 10)
    assert buckets.count_available(bucket) == pytest.approx(1)
    buckets.refill(bucket, 10 + borrowing.BORROW_TIMEOUT_S)
    assert not buckets.spend(bucket)


def test_expired_lease_is_not_spent() -> None:
    """Guards against spending leased tokens after the end of the lease."""
    bucket = create_full(10)
    bucket['leased'] = 0.5
    bucket['lease_until_s'] = 12
    buckets.refill(bucket, 11)
    assert buckets.count_available(bucket) == pytest.approx(1)
    buckets.refill(bucket, 12)
    assert not buckets.spend(bucket)
