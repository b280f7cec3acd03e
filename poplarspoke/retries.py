"""What may be sent again, when, and which outcome is true at the end.

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

# Retries may add at most a tenth to the load of an overloaded endpoint.
BUDGET_RATIO = 0.1
BUDGET_MINIMUM_PER_S = 3.0
# Retries that may be sent at once, so that one lost connection with all of
# its statements does not exhaust the budget.
BUDGET_BURST = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0
MAX_ATTEMPTS = 8
# An attempt that cannot finish before the deadline only adds load.
MIN_ATTEMPT_S = 0.005

NOT_RUN_KINDS = frozenset((FailureKind.NOT_SENT, FailureKind.REFUSED_NOT_RUN))
FREE_STEPS = frozenset((TransactionStep.SINGLE, TransactionStep.BEGIN))


class Spending(NamedTuple):
    """A plan and the budget that remains after it."""

    plan: RetryPlan
    budget: RetryBudget


def may_have_run(attempt: Attempt) -> bool:
    """Returns whether the statement may have taken effect already."""
    if attempt.earlier_unknown:
        return True
    return attempt.kind not in NOT_RUN_KINDS


def find_obstacle(attempt: Attempt) -> NoRetryReason:
    """Returns why the statement must not be sent again, ``NONE`` if it may."""
    if attempt.kind is FailureKind.STATEMENT_FAILED:
        return NoRetryReason.STATEMENT_FAILED
    if attempt.step not in FREE_STEPS:
        # Its connection may be gone, and with it the earlier statements.
        return NoRetryReason.INSIDE_TRANSACTION
    if may_have_run(attempt) and not _is_repeatable(attempt):
        return NoRetryReason.MAY_HAVE_RUN
    return NoRetryReason.NONE


def plan_retry(
    attempt: Attempt,
    budget: RetryBudget,
    *,
    draw: float,
) -> Spending:
    """Returns whether and when to send a failed statement again.

    Args:
        attempt: The attempt that failed.
        budget: Budget of the daemon, refilled up to now.
        draw: Random number in [0, 1).
    """
    obstacle = find_obstacle(attempt)
    if obstacle is not NoRetryReason.NONE:
        return Spending(RetryPlan(reason=obstacle), budget)
    if attempt.number >= MAX_ATTEMPTS:
        return Spending(
            RetryPlan(reason=NoRetryReason.ATTEMPTS_SPENT),
            budget,
        )
    delay_s = compute_backoff(attempt.number, draw)
    if delay_s + MIN_ATTEMPT_S > attempt.remaining_s:
        return Spending(RetryPlan(reason=NoRetryReason.DEADLINE), budget)
    if budget.tokens < 1:
        return Spending(RetryPlan(reason=NoRetryReason.BUDGET_SPENT), budget)
    invariants.check(
        holds=attempt.repeat is not Repeat.NEVER
        or attempt.step is TransactionStep.BEGIN
        or not may_have_run(attempt),
        code='R11',
        detail='a statement that may have run would be sent again',
    )
    plan = RetryPlan(retry=True, delay_s=delay_s)
    return Spending(plan, budget._replace(tokens=budget.tokens - 1))


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
    """Returns the budget with the minimum that time adds to it."""
    elapsed_s = max(now_s - budget.updated_s, 0)
    tokens = budget.tokens + elapsed_s * BUDGET_MINIMUM_PER_S
    return RetryBudget(min(tokens, BUDGET_BURST), now_s)


def count_request(budget: RetryBudget) -> RetryBudget:
    """Returns the budget with what the first attempt of a request adds."""
    tokens = min(budget.tokens + BUDGET_RATIO, BUDGET_BURST)
    return budget._replace(tokens=tokens)


def find_outcome(attempt: Attempt) -> Outcome:
    """Returns the outcome that is true when no attempt follows.

    A read or a statement of a transaction that was never sent a commit has no
    lasting effect, so its outcome is known even if its answer was lost.
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


def report(attempt: Attempt, plan: RetryPlan) -> Refusal:
    """Returns the refusal that tells the caller the truth.

    Args:
        attempt: The last attempt.
        plan: Why it is not followed by another one.
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
    """Returns whether a second run has the effect of one."""
    if attempt.step is TransactionStep.BEGIN:
        # Nothing has run in it; the endpoint rolls an orphan back.
        return True
    if attempt.repeat is Repeat.RECORDED:
        return True
    return attempt.repeat is Repeat.SAFE and not attempt.write


def _find_failed_outcome(attempt: Attempt) -> Outcome:
    """Returns the outcome of a statement that the endpoint found wrong.

    If an earlier attempt of a write may have run, its effect may be the
    reason for the error.
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
