"""Guards the outcome of a request after several attempts."""

from poplarspoke import errors, request_state
from poplarspoke.generated.common import ErrorCode, Outcome
from poplarspoke.generated.requests import (
    CallerRequest,
    Statement,
    StatementResult,
)

LATE = errors.refuse(ErrorCode.DEADLINE_EXCEEDED, 'no plan in time')
LOST = StatementResult(
    refused=True,
    refusal=errors.refuse(ErrorCode.OUTCOME_UNKNOWN, 'lost'),
)


def test_refusal_after_lost_write_is_unknown() -> None:
    """A refused later attempt does not prove that the first failed (R10)."""
    state = request_state.create_state('a-1', CallerRequest(request_id='r1'), 0)
    assert request_state.build_final_refusal(state, LATE) == LATE
    statement = Statement(write=True, database='db', term=2)
    request_state.record_unknown_outcome(state, statement, LOST)
    refusal = request_state.build_final_refusal(state, LATE)
    assert refusal.outcome is Outcome.UNKNOWN
    assert refusal.code is ErrorCode.OUTCOME_UNKNOWN


def test_lost_read_is_not_unknown() -> None:
    """A lost read has no effect, so its outcome must not be unknown."""
    state = request_state.create_state('a-1', CallerRequest(request_id='r1'), 0)
    request_state.record_unknown_outcome(state, Statement(database='db'), LOST)
    assert request_state.build_final_refusal(state, LATE) == LATE
