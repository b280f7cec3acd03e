"""Change of the primary of one database.

A host with a low rank probes the members. With evidence against the primary it
becomes a candidate: it claims the next term in the platform's table, has the
members adopt it, and promotes the member with the highest log of a majority.
The grants of the members decide; the claim only keeps candidates apart, so a
store that is down delays an attempt and does not stop it. An attempt promotes
one member at most; what follows an unknown outcome is a new attempt with a new
term.
"""

import functools
from typing import Any

from poplarspoke import elections, majorities, suspicion
from poplarspoke.attempts import (
    FailoverState,
)
from poplarspoke.generated.common import Tick
from poplarspoke.generated.failover import (
    AvoidEndpoints,
    CandidateRank,
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
    StoreLost,
)
from poplarspoke.tasks import Outgoing


@functools.singledispatch
def decide(message: Any, state: FailoverState, now_s: float) -> list[Outgoing]:
    """Returns the messages that follow from a message; changes the state."""
    raise TypeError(f'{type(message).__name__} has no handler')


@decide.register
def _(message: Tick, state: FailoverState, now_s: float) -> list[Outgoing]:
    if now_s - state['last_tick_s'] > elections.PAUSE_S:
        suspicion.forget_probes(state['views'], now_s)
        elections.abandon(state, now_s, 'this host was paused')
    state['last_tick_s'] = now_s
    outgoing = [*elections.read_row(state), *elections.probe(state, now_s)]
    attempt = state['attempt']
    if attempt is None:
        outgoing.extend(elections.consider(state, now_s))
    else:
        outgoing.extend(elections.advance(attempt, state, now_s))
    return [*outgoing, *elections.record(state, now_s)]


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
    message: AvoidEndpoints,
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
    return elections.learn_primary(message, state, now_s)


@decide.register
def _(message: RowsRead, state: FailoverState, now_s: float) -> list[Outgoing]:
    return elections.note_rows(message.rows, state, now_s)


@decide.register
def _(
    message: CommitResult,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    outgoing = elections.note_rows(message.rows, state, now_s)
    elections.note_recorded(state)
    attempt = state['attempt']
    if attempt is None or attempt['step'] is not FailoverStep.CLAIM:
        return outgoing
    return [*outgoing, *elections.judge_claim(attempt, state, now_s)]


@decide.register
def _(message: StoreLost, state: FailoverState, now_s: float) -> list[Outgoing]:
    # The next tick goes on without the table once the step takes too long.
    return []


@decide.register
def _(
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    if message.lost:
        return elections.note_lost(message, state, now_s)
    return note_answer(message.body, message, state, now_s)


@functools.singledispatch
def note_answer(
    body: Any,
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Returns the messages that follow from a member's answer."""
    raise TypeError(f'{type(body).__name__} has no handler')


@note_answer.register
def _(
    body: MemberStatus,
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    view = state['views'][message.endpoint]
    elections.note_term(state, body.adopted_term, now_s)
    if message.call_id == view['call_id'] and view['waiting']:
        view['waiting'] = False
        view['failures'] = 0
        view['status'] = body
        view['status_s'] = view['sent_s']
    attempt = state['attempt']
    if attempt is not None and elections.is_promotion(attempt, message):
        return elections.judge_promotion(body, attempt, state, now_s)
    if body.role is not Role.PRIMARY:
        return []
    seen = PrimaryAnnounced(
        sender=state['host'],
        database=state['database'],
        term=body.adopted_term,
        primary=message.endpoint,
    )
    return elections.learn_primary(seen, state, now_s)


@note_answer.register
def _(
    body: Adopted,
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    elections.note_term(state, body.adopted_term, now_s)
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
        elections.abandon(state, now_s, 'a majority refused the term')
    return []
