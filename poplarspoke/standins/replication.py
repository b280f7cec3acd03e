"""Decisions of a database member: terms, log, replication, transactions.

A member grants each term to one candidate and refuses requests with lower
terms. The primary of a term sends its log to the other members. An entry that
a majority holds while that term is adopted is in the log of every later
primary. The protocol is Raft (Ongaro and Ousterhout, 2014), except that the
candidates are hosts outside the group.
"""

import functools
from typing import Any

from poplarspoke import invariants
from poplarspoke.generated.common import Position, Tick
from poplarspoke.generated.members import (
    Adopt,
    Adopted,
    BeginTransaction,
    CommitTransaction,
    Confirm,
    Confirmed,
    ConnectionClosed,
    Execute,
    FetchStatus,
    Follow,
    MemberAnswer,
    MemberCall,
    MemberFaults,
    MemberStatus,
    Promote,
    Replicate,
    ReplicateAnswered,
    Replicated,
    Role,
    RollbackTransaction,
)
from poplarspoke.standins import database, execution
from poplarspoke.standins.member_state import (
    MemberState,
    Peer,
    PendingConfirm,
    append_barrier,
    create_peer,
    find_last_position,
    find_majority_response_s,
    measure_age,
)
from poplarspoke.tasks import Outgoing, Reply, ToEndpoint

# Time to wait for an answer before the message is sent again.
REPLICATE_TIMEOUT_S = 1.0


def build_status(
    state: MemberState, now_s: float, queued: int = 0
) -> MemberStatus:
    """Returns the status that the member reports."""
    since_contact_s = now_s - state['primary_heard_s']
    if state['role'] is Role.PRIMARY:
        since_contact_s = 0
    return MemberStatus(
        endpoint=state['endpoint'],
        adopted_term=state['adopted_term'],
        role=state['role'],
        last=find_last_position(state),
        age_s=measure_age(state, now_s),
        primary=state['primary'],
        primary_heard_s=float(since_contact_s),
        queued=queued,
    )


@functools.singledispatch
def decide(message: Any, state: MemberState, now_s: float) -> list[Outgoing]:
    """Handles a message, updates the state and returns messages to send."""
    raise TypeError(f'{type(message).__name__} has no handler')


@decide.register
def _(message: MemberCall, state: MemberState, now_s: float) -> list[Outgoing]:
    return answer(message.body, message, state, now_s)


@decide.register
def _(message: Tick, state: MemberState, now_s: float) -> list[Outgoing]:
    return [*_send_entries(state, now_s), *_answer_confirms(state, now_s)]


@decide.register
def _(
    message: ConnectionClosed,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    state['transactions'].pop(message.connection, None)
    return []


@decide.register
def _(
    message: MemberFaults,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    state['faults'] = message
    return []


@decide.register
def _(
    message: ReplicateAnswered,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    peer = state['peers'][message.member]
    replicated = message.answer
    if replicated.round != peer['round']:
        return []
    peer['waiting'] = False
    if message.lost or replicated.adopted_term != state['adopted_term']:
        return []
    peer['next_after'] = database.find_common_position(
        state['database'],
        replicated.last,
    )
    peer['answered_round'] = replicated.round
    peer['answered_s'] = peer['sent_s']
    if peer['next_after'] < len(state['database']['log']):
        return _send_entries(state, now_s)
    return []


@functools.singledispatch
def answer(
    body: Any,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    """Handles the body of a call and returns messages to send."""
    raise TypeError(f'{type(body).__name__} has no handler')


@answer.register
def _(
    body: FetchStatus,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    status = build_status(state, now_s, call.queued)
    return [Reply(call.request_id, status)]


@answer.register
def _(
    body: Adopt,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    _adopt_term(state, body.term, body.candidate)
    granted = _is_granted(state, body.term, body.candidate)
    adopted = Adopted(
        granted=granted,
        adopted_term=state['adopted_term'],
        last=find_last_position(state),
        endpoint=state['endpoint'],
    )
    return [Reply(call.request_id, adopted), *_answer_confirms(state, now_s)]


@answer.register
def _(
    body: Promote,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    is_granted = _is_granted(state, body.term, body.candidate)
    if state['primary'] or not is_granted:
        return [Reply(call.request_id, build_status(state, now_s))]
    state['role'] = Role.PRIMARY
    state['primary'] = state['endpoint']
    length = len(state['database']['log'])
    for peer in state['peers'].values():
        # Round numbers continue, so that answers of earlier terms never match.
        fresh = create_peer(state['up_to_date_s'])
        fresh['round'] = peer['round']
        fresh['next_after'] = length
        peer.update(fresh)
    append_barrier(state)
    return [
        Reply(call.request_id, build_status(state, now_s)),
        *_send_entries(state, now_s),
    ]


@answer.register
def _(
    body: Follow,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    _adopt_term(state, body.term, '')
    if body.term == state['adopted_term'] and not state['primary']:
        state['primary'] = body.primary
        state['primary_heard_s'] = now_s
    return [
        Reply(call.request_id, build_status(state, now_s)),
        *_answer_confirms(state, now_s),
    ]


@answer.register
def _(
    body: Replicate,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    _adopt_term(state, body.term, '')
    if body.term < state['adopted_term']:
        return [Reply(call.request_id, _build_replicated(state, body))]
    invariants.check(
        holds=state['role'] is Role.REPLICA,
        code='R2',
        detail=f'{body.primary} is a second primary of term {body.term}',
    )
    state['primary'] = body.primary
    state['primary_heard_s'] = now_s
    accepted = database.has_entry(state['database'], body.previous)
    if accepted and not state['faults'].far_behind:
        database.merge(state['database'], body.entries)
    if accepted:
        _update_freshness(state, body)
    if body.round > state['answered_round']:
        state['answered_round'] = body.round
        state['answered_s'] = now_s
    replicated = _build_replicated(state, body)._replace(accepted=accepted)
    return [Reply(call.request_id, replicated), *_answer_confirms(state, now_s)]


@answer.register
def _(
    body: Confirm,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    pending = PendingConfirm(
        call.request_id,
        body.position,
        now_s + body.wait_s,
    )
    state['confirms'].append(pending)
    return _answer_confirms(state, now_s)


@answer.register
def _(
    body: Execute,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    finished = execution.execute(body, call.connection, state)
    return _answer_statement(finished, call, state, now_s)


@answer.register
def _(
    body: BeginTransaction,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    finished = execution.begin(body.control, call.connection, state)
    return _answer_statement(finished, call, state, now_s)


@answer.register
def _(
    body: CommitTransaction,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    finished = execution.commit(body.control, call.connection, state)
    return _answer_statement(finished, call, state, now_s)


@answer.register
def _(
    body: RollbackTransaction,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    finished = execution.roll_back(body.control, call.connection, state)
    return _answer_statement(finished, call, state, now_s)


def _answer_statement(
    finished: MemberAnswer,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    """Completes an answer and replicates new entries."""
    complete = finished._replace(
        position=find_last_position(state),
        age_s=measure_age(state, now_s),
        queued=call.queued,
    )
    return [Reply(call.request_id, complete), *_send_new_entries(state, now_s)]


def _is_granted(state: MemberState, term: int, candidate: str) -> bool:
    """Returns whether the adopted term was granted to this candidate."""
    is_adopted = term == state['adopted_term']
    return is_adopted and bool(candidate) and candidate == state['granted_to']


def _adopt_term(state: MemberState, term: int, candidate: str) -> None:
    """Adopts a higher term.

    A primary steps down, and all open transactions end.
    """
    if term <= state['adopted_term']:
        return
    state['adopted_term'] = term
    state['granted_to'] = candidate
    if state['role'] is Role.PRIMARY:
        # The responses of a majority prove it was up to date at this time.
        state['up_to_date_s'] = find_majority_response_s(state)
    state['role'] = Role.REPLICA
    state['primary'] = ''
    state['answered_round'] = 0
    for transaction in state['transactions'].values():
        transaction['ended'] = True


def _update_freshness(state: MemberState, message: Replicate) -> None:
    """Updates the time at which the member was known to be up to date.

    The primary sent the message after it received the answer to an earlier
    one. Its content is therefore no older than that answer plus the age of
    the primary, however long the message was in transit.
    """
    last = find_last_position(state)
    if not message.answered_round or last != message.end:
        return
    if message.answered_round != state['answered_round']:
        return
    fresh_s = state['answered_s'] - message.age_s
    state['up_to_date_s'] = max(state['up_to_date_s'], fresh_s)


def _build_replicated(state: MemberState, message: Replicate) -> Replicated:
    """Returns the answer that tells the primary where to continue."""
    end = message.previous.position
    if database.has_entry(state['database'], message.previous):
        end += len(message.entries)
    else:
        end -= 1
    end = min(end, len(state['database']['log']))
    return Replicated(
        adopted_term=state['adopted_term'],
        last=database.find_position(state['database'], end),
        round=message.round,
    )


def _send_new_entries(state: MemberState, now_s: float) -> list[Outgoing]:
    """Sends the log if some member lacks entries."""
    length = len(state['database']['log'])
    for peer in state['peers'].values():
        if peer['next_after'] < length:
            return _send_entries(state, now_s)
    return []


def _send_entries(state: MemberState, now_s: float) -> list[Outgoing]:
    """Sends a message to each member without an outstanding answer."""
    if state['role'] is not Role.PRIMARY:
        return []
    limit_s = REPLICATE_TIMEOUT_S + state['faults'].lag_s
    outgoing: list[Outgoing] = []
    for name, peer in state['peers'].items():
        if peer['waiting'] and now_s - peer['sent_s'] < limit_s:
            continue
        peer['waiting'] = True
        peer['sent_s'] = now_s
        peer['round'] += 1
        outgoing.append(ToEndpoint(name, _build_replicate(state, peer, now_s)))
    return outgoing


def _build_replicate(state: MemberState, peer: Peer, now_s: float) -> Replicate:
    log = state['database']
    return Replicate(
        term=state['adopted_term'],
        primary=state['endpoint'],
        previous=database.find_position(log, peer['next_after']),
        entries=database.find_batch(log, peer['next_after']),
        end=database.find_last_position(log),
        round=peer['round'],
        answered_round=peer['answered_round'],
        age_s=measure_age(state, now_s),
    )


def _answer_confirms(state: MemberState, now_s: float) -> list[Outgoing]:
    """Answers the Confirm requests that are decided or past their deadline."""
    outgoing: list[Outgoing] = []
    waiting: list[PendingConfirm] = []
    for pending in state['confirms']:
        confirmed = _is_confirmed(state, pending.position)
        is_possible = state['adopted_term'] <= pending.position.term
        if not confirmed and is_possible and now_s < pending.deadline_s:
            waiting.append(pending)
            continue
        message = Confirmed(confirmed, state['adopted_term'])
        outgoing.append(Reply(pending.request_id, message))
    state['confirms'] = waiting
    return outgoing


def _is_confirmed(state: MemberState, position: Position) -> bool:
    is_current = state['adopted_term'] == position.term
    return is_current and database.has_entry(state['database'], position)
