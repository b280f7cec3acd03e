"""Rules for retries: whether and when to retry, and the outcome to report.

Pure functions: the random value and the clock are passed in.
"""

import math
from typing import NamedTuple

from poplarspoke import errors, invariants
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal
from poplarspoke.generated.requests import Repeat, TransactionStep
from poplarspoke.generated.retries import (
    Attempt,
    FailureKind,
    NoRetryReason,
    RetryBudget,
    RetryPlan,
)

# Tokens that each request adds to the budget: retries add at most a tenth to
# the load of an overloaded endpoint.
BUDGET_RATIO = 0.1
# Tokens that time adds to the budget, so that a daemon with few requests can
# retry as well.
BUDGET_MINIMUM_PER_S = 3.0
# Capacity of the budget in retries, so that the loss of one connection with
# all of its statements does not exhaust it.
BUDGET_BURST = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0
MAX_ATTEMPTS = 8
# An attempt that cannot finish before the deadline only adds load.
MIN_ATTEMPT_S = 0.005

NOT_RUN_KINDS = frozenset((FailureKind.NOT_SENT, FailureKind.REFUSED_NOT_RUN))
RETRIABLE_STEPS = frozenset((TransactionStep.SINGLE, TransactionStep.BEGIN))


class RetryDecision(NamedTuple):
    """Plan after a failed attempt and the budget that remains."""

    plan: RetryPlan
    budget: RetryBudget


def may_have_run(attempt: Attempt) -> bool:
    """Returns whether the statement may have taken effect already."""
    if attempt.earlier_unknown:
        return True
    return attempt.kind not in NOT_RUN_KINDS


def find_no_retry_reason(attempt: Attempt) -> NoRetryReason:
    """Returns why a statement must not be retried, ``NONE`` if it may be."""
    if attempt.kind is FailureKind.STATEMENT_FAILED:
        return NoRetryReason.STATEMENT_FAILED
    if attempt.step not in RETRIABLE_STEPS:
        # The connection may be lost, and with it the earlier statements of
        # the transaction.
        return NoRetryReason.INSIDE_TRANSACTION
    if may_have_run(attempt) and not _is_repeatable(attempt):
        return NoRetryReason.MAY_HAVE_RUN
    return NoRetryReason.NONE


def plan_retry(
    attempt: Attempt,
    budget: RetryBudget,
    *,
    draw: float,
) -> RetryDecision:
    """Returns whether and when to retry a failed statement.

    Args:
        attempt: The attempt that failed.
        budget: Budget of the daemon, refilled up to now.
        draw: Random number in [0, 1).
    """
    no_retry_reason = find_no_retry_reason(attempt)
    if no_retry_reason is not NoRetryReason.NONE:
        return RetryDecision(RetryPlan(reason=no_retry_reason), budget)
    if attempt.number >= MAX_ATTEMPTS:
        return RetryDecision(
            RetryPlan(reason=NoRetryReason.ATTEMPTS_SPENT),
            budget,
        )
    delay_s = compute_backoff(attempt.number, draw)
    if delay_s + MIN_ATTEMPT_S > attempt.remaining_s:
        return RetryDecision(RetryPlan(reason=NoRetryReason.DEADLINE), budget)
    if budget.tokens < 1:
        return RetryDecision(
            RetryPlan(reason=NoRetryReason.BUDGET_SPENT), budget
        )
    invariants.check(
        holds=attempt.repeat is not Repeat.NEVER
        or attempt.step is TransactionStep.BEGIN
        or not may_have_run(attempt),
        code='R11',
        detail='a statement that may have run would be sent again',
    )
    plan = RetryPlan(retry=True, delay_s=delay_s)
    return RetryDecision(plan, budget._replace(tokens=budget.tokens - 1))


def compute_backoff(number: int, draw: float) -> float:
    """Returns the delay after an attempt: exponential with full jitter.

    Args:
        number: Number of the attempt that failed, from 1.
        draw: Random number in [0, 1).
    """
    doublings = min(max(number - 1, 0), MAX_ATTEMPTS)
    longest_s = math.ldexp(BACKOFF_BASE_S, doublings)
    return draw * min(longest_s, BACKOFF_LIMIT_S)


def create_budget(now_s: float) -> RetryBudget:
    """Returns a full budget."""
    return RetryBudget(BUDGET_BURST, now_s)


def refill(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Returns the budget with the tokens accrued up to the present time."""
    elapsed_s = max(now_s - budget.updated_s, 0)
    tokens = budget.tokens + elapsed_s * BUDGET_MINIMUM_PER_S
    return RetryBudget(min(tokens, BUDGET_BURST), now_s)


def credit_request(budget: RetryBudget) -> RetryBudget:
    """Returns the budget with the tokens that a new request adds."""
    tokens = min(budget.tokens + BUDGET_RATIO, BUDGET_BURST)
    return budget._replace(tokens=tokens)


def find_outcome(attempt: Attempt) -> Outcome:
    """Returns the outcome to report when no retry follows.

    A read has no lasting effect, nor has a statement of a transaction for
    which no commit was sent. Their outcome is known even if the answer was
    lost.
    """
    if attempt.kind is FailureKind.STATEMENT_FAILED:
        return _find_failed_outcome(attempt)
    if not may_have_run(attempt):
        return Outcome.NOT_RUN
    if attempt.step is TransactionStep.COMMIT:
        return Outcome.UNKNOWN
    if attempt.write and attempt.step is TransactionStep.SINGLE:
        return Outcome.UNKNOWN
    return Outcome.FAILED


def build_refusal(attempt: Attempt, plan: RetryPlan) -> Refusal:
    """Returns the refusal with the outcome of the whole request.

    Args:
        attempt: The last attempt.
        plan: Plan with the reason why no retry follows.
    """
    outcome = find_outcome(attempt)
    invariants.check(
        holds=outcome is not Outcome.NOT_RUN or not may_have_run(attempt),
        code='R10',
        detail=f'{attempt.kind.name} would be reported as not run',
    )
    detail = attempt.refusal.message or attempt.kind.name.lower()
    why = plan.reason.name.lower()
    return errors.refuse(
        _find_code(attempt, outcome),
        f'{detail} (attempt {attempt.number}, no further one: {why})',
        outcome=outcome,
        retry_after_s=attempt.refusal.retry_after_s,
    )


def _is_repeatable(attempt: Attempt) -> bool:
    """Returns whether a retry has no second effect."""
    if attempt.step is TransactionStep.BEGIN:
        # No statement has run in the transaction yet, and the endpoint rolls
        # back an orphaned one.
        return True
    if attempt.repeat is Repeat.RECORDED:
        return True
    return attempt.repeat is Repeat.SAFE and not attempt.write


def _find_failed_outcome(attempt: Attempt) -> Outcome:
    """Returns the outcome of a statement that failed on the endpoint.

    If an earlier attempt of a write may have run, its effect may have caused
    the error, so the outcome is unknown.
    """
    single = attempt.step is TransactionStep.SINGLE
    if attempt.earlier_unknown and attempt.write and single:
        return Outcome.UNKNOWN
    return Outcome.FAILED


def _find_code(attempt: Attempt, outcome: Outcome) -> ErrorCode:
    if outcome is Outcome.UNKNOWN:
        return ErrorCode.OUTCOME_UNKNOWN
    if attempt.kind is FailureKind.STATEMENT_FAILED:
        return ErrorCode.STATEMENT_FAILED
    if outcome is Outcome.FAILED:
        return ErrorCode.DEADLINE_EXCEEDED
    if attempt.kind is FailureKind.REFUSED_NOT_RUN:
        return attempt.refusal.code
    return ErrorCode.NO_ENDPOINT
