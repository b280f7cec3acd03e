"""Guards against statements that run twice and wrong outcomes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import retries
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal
from poplarspoke.generated.requests import Repeat, TransactionStep
from poplarspoke.generated.retries import (
    Attempt,
    FailureKind,
    NoRetryReason,
    RetryBudget,
    RetryPlan,
)

FULL = RetryBudget(5, 0)
attempts = st.builds(
    Attempt,
    kind=st.sampled_from(FailureKind),
    repeat=st.sampled_from(Repeat),
    step=st.sampled_from(TransactionStep),
    write=st.booleans(),
    number=st.integers(1, 12),
    remaining_s=st.floats(-1, 5),
    earlier_unknown=st.booleans(),
    refusal=st.just(Refusal(ErrorCode.NOT_PRIMARY)),
)
draws = st.floats(0, 1, exclude_max=True)


@given(attempts, draws)
def test_never_is_sent_at_most_once(attempt: Attempt, draw: float) -> None:
    """Guards against a second run of a write that must not repeat (R11)."""
    write = attempt._replace(repeat=Repeat.NEVER, write=True)
    plan = retries.plan_retry(write, FULL, draw=draw).plan
    begin = write.step is TransactionStep.BEGIN
    assert not plan.retry or begin or not retries.may_have_run(write)


@given(attempts, draws)
def test_not_run_is_true(attempt: Attempt, draw: float) -> None:
    """Guards against "not run" after an attempt that was sent (R10)."""
    outcome = retries.find_outcome(attempt)
    if outcome is Outcome.NOT_RUN:
        assert attempt.kind in retries.NOT_RUN_KINDS
        assert not attempt.earlier_unknown
    plan = retries.plan_retry(attempt, FULL, draw=draw).plan
    assert retries.build_refusal(attempt, plan).outcome is outcome


@given(attempts, draws)
def test_retry_respects_deadline_and_budget(
    attempt: Attempt, draw: float
) -> None:
    """Guards against retries past the deadline and retry storms."""
    decision = retries.plan_retry(attempt, FULL, draw=draw)
    if decision.plan.retry:
        assert decision.plan.delay_s < attempt.remaining_s
        assert attempt.number < retries.MAX_ATTEMPTS
        assert decision.budget.tokens == FULL.tokens - 1
        empty = FULL._replace(tokens=0.5)
        plan = retries.plan_retry(attempt, empty, draw=draw).plan
        assert plan.reason is NoRetryReason.BUDGET_SPENT
        return
    assert decision.budget == FULL
    assert decision.plan.reason is not NoRetryReason.NONE


LOST_WRITE = Attempt(
    kind=FailureKind.ANSWER_LOST,
    write=True,
    number=1,
    remaining_s=5,
)


@pytest.mark.parametrize(
    ('repeat', 'write', 'reason'),
    [
        (Repeat.RECORDED, True, NoRetryReason.NONE),
        (Repeat.NEVER, True, NoRetryReason.MAY_HAVE_RUN),
        (Repeat.SAFE, False, NoRetryReason.NONE),
        (Repeat.SAFE, True, NoRetryReason.MAY_HAVE_RUN),
        (Repeat.NEVER, False, NoRetryReason.MAY_HAVE_RUN),
    ],
)
def test_lost_answer(
    repeat: Repeat,
    write: bool,
    reason: NoRetryReason,
) -> None:
    """Guards against a retry that the route's repeat rule forbids."""
    attempt = LOST_WRITE._replace(repeat=repeat, write=write)
    assert retries.find_no_retry_reason(attempt) is reason


def test_earlier_attempt_keeps_outcome_unknown() -> None:
    """Guards against "not run" when only the last attempt was refused."""
    attempt = LOST_WRITE._replace(
        kind=FailureKind.NOT_SENT,
        repeat=Repeat.RECORDED,
        earlier_unknown=True,
    )
    assert retries.find_outcome(attempt) is Outcome.UNKNOWN
    failed = attempt._replace(kind=FailureKind.STATEMENT_FAILED)
    assert retries.find_outcome(failed) is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ('step', 'outcome'),
    [
        (TransactionStep.SINGLE, Outcome.UNKNOWN),
        (TransactionStep.INSIDE, Outcome.FAILED),
        (TransactionStep.COMMIT, Outcome.UNKNOWN),
    ],
)
def test_outcome_after_lost_answer(
    step: TransactionStep, outcome: Outcome
) -> None:
    """Guards against an unknown outcome although the rollback is certain."""
    attempt = LOST_WRITE._replace(step=step)
    assert retries.find_outcome(attempt) is outcome


def test_refusal_keeps_code_of_endpoint() -> None:
    """Guards against an answer that hides why the statement was refused."""
    refusal = Refusal(ErrorCode.NOT_PRIMARY, message='term 3', retry_after_s=1)
    attempt = LOST_WRITE._replace(
        kind=FailureKind.REFUSED_NOT_RUN,
        refusal=refusal,
    )
    reported = retries.build_refusal(
        attempt,
        RetryPlan(reason=NoRetryReason.DEADLINE),
    )
    assert reported.code is ErrorCode.NOT_PRIMARY
    assert 'term 3' in reported.message
    assert reported.retry_after_s == 1


def test_backoff_doubles_up_to_limit() -> None:
    """Guards against synchronised retries and unbounded delays."""
    assert retries.compute_backoff(1, 0.5) == retries.BACKOFF_BASE_S / 2
    assert retries.compute_backoff(3, 0.5) == retries.BACKOFF_BASE_S * 2
    assert retries.compute_backoff(10**9, 0.5) == retries.BACKOFF_LIMIT_S / 2
    assert retries.compute_backoff(3, 0) == 0


def test_budget_follows_load() -> None:
    """Guards against a retry budget without a bound or without refill."""
    budget = RetryBudget(0, 0)
    for _ in range(50):
        budget = retries.credit_request(budget)
    assert budget.tokens == pytest.approx(5)
    assert retries.refill(budget, 1).tokens == pytest.approx(8)
    assert retries.refill(budget, 900).tokens == retries.BUDGET_BURST
    assert retries.refill(budget, -1).tokens == pytest.approx(5)
