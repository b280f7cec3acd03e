"""Guards what a request remembers of its attempts."""

from poplarspoke import courses, errors
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
    """A refusal of a later attempt says nothing about the first (R10)."""
    course = courses.create_course('a-1', CallerRequest(request_id='r1'), 0)
    assert courses.keep_unknown(course, LATE) == LATE
    statement = Statement(write=True, database='db', term=2)
    courses.note_unknown(course, statement, LOST)
    refusal = courses.keep_unknown(course, LATE)
    assert refusal.outcome is Outcome.UNKNOWN
    assert refusal.code is ErrorCode.OUTCOME_UNKNOWN


def test_lost_read_is_not_unknown() -> None:
    """A lost read has no effect; unknown would alarm its caller."""
    course = courses.create_course('a-1', CallerRequest(request_id='r1'), 0)
    courses.note_unknown(course, Statement(database='db'), LOST)
    assert courses.keep_unknown(course, LATE) == LATE
