"""Failover of one database group.

Hosts with a low rendezvous rank probe the members. A host with evidence against
the primary becomes a candidate: it claims the next term in the platform's
table, asks the members to adopt the term, and promotes the member with the
highest log among a majority. The grants of the members decide. The claim only
keeps candidates from competing, so an unavailable store delays an attempt but
does not stop it. An attempt promotes at most one member; after an unknown
outcome, a new attempt with a new term follows.
"""

import functools
from typing import Any

from poplarspoke import elections, majorities, suspicion
from poplarspoke.attempts import (
    FailoverState,
)
from poplarspoke.generated.common import Tick
from poplarspoke.generated.failover import (
    CandidateRank,
    DrainingEndpoints,
    EndpointAnswered,
    FailoverStep,
    PrimaryAnnounced,
)
from poplarspoke.generated.members import (
    Adopted,
    MemberStatus,
    Role,
)
from poplarspoke.generated.platform import (
    CommitResult,
    RowsRead,
    StoreRequestFailed,
)
from poplarspoke.tasks import Outgoing


@functools.singledispatch
def decide(message: Any, state: FailoverState, now_s: float) -> list[Outgoing]:
    """Handles one message; updates the state and returns what to send."""
    raise TypeError(f'{type(message).__name__} has no handler')


@decide.register
def _(message: Tick, state: FailoverState, now_s: float) -> list[Outgoing]:
    if now_s - state['last_tick_s'] > elections.PAUSE_THRESHOLD_S:
        suspicion.reset_probes(state['views'], now_s)
        elections.abandon_attempt(state, now_s, 'this host was paused')
    state['last_tick_s'] = now_s
    outgoing = [
        *elections.read_row(state),
        *elections.probe_members(state, now_s),
    ]
    attempt = state['attempt']
    if attempt is None:
        outgoing.extend(elections.evaluate_evidence(state, now_s))
    else:
        outgoing.extend(elections.advance_attempt(attempt, state, now_s))
    return [*outgoing, *elections.write_outcome(state, now_s)]


@decide.register
def _(
    message: CandidateRank,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    state['rank'] = message.rank
    state['peers'] = message.peers
    return []


@decide.register
def _(
    message: DrainingEndpoints,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    state['avoided'] = message
    return []


@decide.register
def _(
    message: PrimaryAnnounced,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    return elections.update_primary(message, state, now_s)


@decide.register
def _(message: RowsRead, state: FailoverState, now_s: float) -> list[Outgoing]:
    return elections.update_row(message.rows, state, now_s)


@decide.register
def _(
    message: CommitResult,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    outgoing = elections.update_row(message.rows, state, now_s)
    elections.discard_written_outcome(state)
    attempt = state['attempt']
    if attempt is None or attempt['step'] is not FailoverStep.CLAIM:
        return outgoing
    return [*outgoing, *elections.evaluate_claim(attempt, state, now_s)]


@decide.register
def _(
    message: StoreRequestFailed, state: FailoverState, now_s: float
) -> list[Outgoing]:
    # A later tick continues without the table after ``CLAIM_TIMEOUT_S``.
    return []


@decide.register
def _(
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    if message.lost:
        return elections.handle_probe_loss(message, state, now_s)
    return handle_answer(message.body, message, state, now_s)


@functools.singledispatch
def handle_answer(
    body: Any,
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Handles a member's answer and returns what to send."""
    raise TypeError(f'{type(body).__name__} has no handler')


@handle_answer.register
def _(
    body: MemberStatus,
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    view = state['views'][message.endpoint]
    elections.record_term(state, body.adopted_term, now_s)
    if message.call_id == view['call_id'] and view['waiting']:
        view['waiting'] = False
        view['failures'] = 0
        view['status'] = body
        view['status_s'] = view['sent_s']
    attempt = state['attempt']
    if attempt is not None and elections.is_promotion_answer(attempt, message):
        return elections.evaluate_promotion(body, attempt, state, now_s)
    if body.role is not Role.PRIMARY:
        return []
    announcement = PrimaryAnnounced(
        sender=state['host'],
        database=state['database'],
        term=body.adopted_term,
        primary=message.endpoint,
    )
    return elections.update_primary(announcement, state, now_s)


@handle_answer.register
def _(
    body: Adopted,
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    elections.record_term(state, body.adopted_term, now_s)
    attempt = state['attempt']
    if attempt is None or attempt['step'] is not FailoverStep.ADOPT:
        return []
    if message.call_id < attempt['first_call']:
        return []
    if body.granted and body.adopted_term == attempt['term']:
        attempt['grants'][message.endpoint] = body.last
        return elections.try_promote(attempt, state, now_s)
    attempt['refusals'].add(message.endpoint)
    members = len(state['views'])
    allowed = members - majorities.count_majority(members)
    if len(attempt['refusals']) > allowed:
        elections.abandon_attempt(state, now_s, 'a majority refused the term')
    return []
