"""State of one caller's request in the proxy."""

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


class RequestState(TypedDict):
    """State of a request; owned by the task of the caller's connection.

    Times are in seconds on the monotonic clock.

    Attributes:
        name: Unique for each request of this daemon, unlike the caller's id.
        request: Request as the caller sent it.
        key_accepted: Whether the key was accepted for the workspace.
        started_s: Time at which the request arrived.
        until_s: Deadline of the caller.
        session: Positions that the session requires.
        number: Number of plans requested so far.
        unknown: Whether a write may have run without a known outcome.
        waited_s: Seconds spent waiting for a replica to catch up.
        primary_only: Whether the next plan must pick the primary.
        settings_version: Settings version of the last plan.
        steps: Steps of the request path, for the command ``explain``.
    """

    name: str
    request: CallerRequest
    key_accepted: bool
    started_s: float
    until_s: float
    session: Session
    number: int
    unknown: bool
    waited_s: float
    primary_only: bool
    settings_version: int
    steps: list[RequestStep]


def create_state(
    name: str, request: CallerRequest, now_s: float
) -> RequestState:
    """Returns the state of a request that has just arrived."""
    return RequestState(
        name=name,
        request=request,
        key_accepted=False,
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


def build_attempt(
    state: RequestState,
    plan: StatementPlan,
    refusal: Refusal,
    now_s: float,
) -> Attempt:
    """Returns the failed attempt as input for the retry rules."""
    return Attempt(
        kind=FAILURE_KINDS[refusal.outcome],
        repeat=plan.statement.repeat,
        step=state['request'].step,
        write=plan.statement.write,
        number=state['number'],
        remaining_s=state['until_s'] - now_s,
        earlier_unknown=state['unknown'],
        refusal=refusal,
    )


def record_unknown_outcome(
    state: RequestState,
    statement: Statement,
    outcome: StatementResult,
) -> None:
    """Marks the session if a write may have run without a known outcome."""
    if outcome.refusal.outcome is not Outcome.UNKNOWN:
        return
    database = outcome.database or statement.database
    if not statement.write or not database:
        return
    state['unknown'] = True
    session = state['session']
    state['session'] = session._replace(
        positions=sessions.mark_unknown(
            session.positions,
            database,
            max(statement.term, outcome.position.term),
        ),
    )


def build_final_refusal(state: RequestState, refusal: Refusal) -> Refusal:
    """Returns the refusal of a request, with regard to earlier attempts.

    If an earlier attempt may have run, the outcome of the request is unknown,
    although the last attempt may be known not to have run.
    """
    if not state['unknown']:
        return refusal
    return errors.refuse(
        ErrorCode.OUTCOME_UNKNOWN,
        f'an earlier attempt was lost; then: {refusal.message}',
        outcome=Outcome.UNKNOWN,
    )


def record_position(
    state: RequestState,
    statement: Statement,
    outcome: StatementResult,
) -> None:
    """Updates the position that the session requires from an answer.

    Only an answer of a primary counts.
    """
    if outcome.replica or not outcome.position.term:
        return
    session = state['session']
    state['session'] = session._replace(
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
    """Returns the views of endpoints that an answer carries.

    Piggybacking positions on answers costs no extra message, as in the
    eComVes thesis (Hoque, 2023), and lets reads find an up-to-date replica
    before the next heartbeat.
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


def record_step(
    state: RequestState,
    now_s: float,
    step: str,
    subject: str,
    evidence: str = '',
) -> None:
    """Adds a step to the trace of the request."""
    at_s = now_s - state['started_s']
    state['steps'].append(RequestStep(at_s, step, subject, evidence))


def build_trace(state: RequestState, answer: CallerAnswer) -> RequestTrace:
    """Returns the trace that ``explain`` shows, without any secret."""
    request = state['request']
    return RequestTrace(
        request_id=request.request_id,
        host=answer.host,
        workspace=request.workspace,
        route=request.route,
        settings_version=state['settings_version'],
        steps=tuple(state['steps']),
        refused=answer.refused,
        code=answer.refusal.code,
        outcome=answer.refusal.outcome,
    )
