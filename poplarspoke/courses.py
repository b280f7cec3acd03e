"""A caller's request on its way through the proxy."""

from typing import TypedDict

from poplarspoke import errors, sessions
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal
from poplarspoke.generated.dispatch import StatementPlan
from poplarspoke.generated.membership import EndpointView
from poplarspoke.generated.operators import RequestStep, RequestTrace
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    Statement,
    StatementResult,
)
from poplarspoke.generated.retries import Attempt, FailureKind
from poplarspoke.generated.sessions import Session

FAILURE_KINDS = {
    Outcome.NOT_RUN: FailureKind.REFUSED_NOT_RUN,
    Outcome.FAILED: FailureKind.STATEMENT_FAILED,
    Outcome.UNKNOWN: FailureKind.ANSWER_LOST,
}


class Course(TypedDict):
    """A request on its way; owned by the task of its connection.

    Attributes:
        name: Unique for each request of this daemon, unlike the caller's id.
        request: The request as it came.
        is_known: Whether the key was accepted for the workspace.
        started_s: When it came.
        until_s: The caller's deadline.
        session: Positions that the session requires.
        number: Attempts so far.
        unknown: Whether an attempt may have run without a known outcome.
        waited_s: Time that it waited for a replica.
        primary_only: Whether the next plan must pick the primary.
        settings_version: Version that the last plan was made by.
        steps: What was decided, for ``explain``.
    """

    name: str
    request: CallerRequest
    is_known: bool
    started_s: float
    until_s: float
    session: Session
    number: int
    unknown: bool
    waited_s: float
    primary_only: bool
    settings_version: int
    steps: list[RequestStep]


def create_course(name: str, request: CallerRequest, now_s: float) -> Course:
    """Returns the state of a request that has just come."""
    return Course(
        name=name,
        request=request,
        is_known=False,
        started_s=now_s,
        until_s=now_s + request.budget_s,
        session=Session(),
        number=0,
        unknown=False,
        waited_s=0,
        primary_only=False,
        settings_version=0,
        steps=[],
    )


def describe_attempt(
    course: Course,
    plan: StatementPlan,
    refusal: Refusal,
    now_s: float,
) -> Attempt:
    """Returns the failed attempt as the retry rules see it."""
    return Attempt(
        kind=FAILURE_KINDS[refusal.outcome],
        repeat=plan.statement.repeat,
        step=course['request'].step,
        write=plan.statement.write,
        number=course['number'],
        remaining_s=course['until_s'] - now_s,
        earlier_unknown=course['unknown'],
        refusal=refusal,
    )


def note_unknown(
    course: Course,
    statement: Statement,
    outcome: StatementResult,
) -> None:
    """Marks the session after a write that may have run."""
    if outcome.refusal.outcome is not Outcome.UNKNOWN:
        return
    database = outcome.database or statement.database
    if not statement.write or not database:
        return
    course['unknown'] = True
    session = course['session']
    course['session'] = session._replace(
        positions=sessions.mark_unknown(
            session.positions,
            database,
            max(statement.term, outcome.position.term),
        ),
    )


def keep_unknown(course: Course, refusal: Refusal) -> Refusal:
    """Returns a refusal that also tells the truth about earlier attempts."""
    if not course['unknown']:
        return refusal
    return errors.refuse(
        ErrorCode.OUTCOME_UNKNOWN,
        f'an earlier attempt was lost; then: {refusal.message}',
        outcome=Outcome.UNKNOWN,
    )


def note_position(
    course: Course,
    statement: Statement,
    outcome: StatementResult,
) -> None:
    """Raises the session's position after an answer of a primary."""
    if outcome.replica or not outcome.position.term:
        return
    session = course['session']
    course['session'] = session._replace(
        positions=sessions.replace_position(
            session.positions,
            outcome.database or statement.database,
            outcome.position,
        ),
    )


def list_views(
    statement: Statement,
    outcome: StatementResult,
) -> tuple[EndpointView, ...]:
    """Returns what an answer says about the endpoints of its database.

    The positions come with answers at no cost, as in the eComVes thesis
    (Hoque, 2023), so that reads find a replica before the next heartbeat.
    """
    if not outcome.position.term:
        return ()
    served = EndpointView(
        endpoint=outcome.endpoint,
        database=outcome.database or statement.database,
        last=outcome.position,
        age_s=outcome.age_s,
        primary=not outcome.replica,
        queued=outcome.queued,
        reachable=True,
    )
    holders = [
        served._replace(endpoint=holder, primary=False, queued=0)
        for holder in outcome.holders
    ]
    return (served, *holders)


def note_step(
    course: Course,
    now_s: float,
    step: str,
    subject: str,
    evidence: str = '',
) -> None:
    """Adds a step to the trace of the request."""
    at_s = now_s - course['started_s']
    course['steps'].append(RequestStep(at_s, step, subject, evidence))


def build_trace(course: Course, answer: CallerAnswer) -> RequestTrace:
    """Returns the trace that ``explain`` shows; it holds no secret."""
    request = course['request']
    return RequestTrace(
        request_id=request.request_id,
        host=answer.host,
        workspace=request.workspace,
        route=request.route,
        settings_version=course['settings_version'],
        steps=tuple(course['steps']),
        refused=answer.refused,
        code=answer.refusal.code,
        outcome=answer.refusal.outcome,
    )
