"""Decisions of a database member: terms, log, replication, transactions.

A member grants a term to one candidate and refuses everything of lower terms.
The primary of a term sends its log to the other members; an entry that a
majority holds while it has that term adopted is in the log of every later
primary. The scheme is that of Raft (Ongaro and Ousterhout, 2014), with the
candidates outside of the group.
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
    find_last,
    find_majority_answer,
    measure_age,
)
from poplarspoke.tasks import Outgoing, Reply, ToEndpoint

# An answer that takes longer is given up and the message is sent again.
REPLICATE_TIMEOUT_S = 1.0


def describe(state: MemberState, now_s: float, queued: int = 0) -> MemberStatus:
    """Returns the status that the member reports."""
    heard_s = now_s - state['primary_heard_s']
    if state['role'] is Role.PRIMARY:
        heard_s = 0
    return MemberStatus(
        endpoint=state['endpoint'],
        adopted_term=state['adopted_term'],
        role=state['role'],
        last=find_last(state),
        age_s=measure_age(state, now_s),
        primary=state['primary'],
        primary_heard_s=float(heard_s),
        queued=queued,
    )


@functools.singledispatch
def decide(message: Any, state: MemberState, now_s: float) -> list[Outgoing]:
    """Returns the messages that follow from a message; changes the state."""
    raise TypeError(f'{type(message).__name__} has no handler')


@decide.register
def _(message: MemberCall, state: MemberState, now_s: float) -> list[Outgoing]:
    return answer(message.body, message, state, now_s)


@decide.register
def _(message: Tick, state: MemberState, now_s: float) -> list[Outgoing]:
    return [*_send_entries(state, now_s), *_settle_confirms(state, now_s)]


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
    peer['next_after'] = database.find_common(
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
    """Returns the messages that follow from the body of a call."""
    raise TypeError(f'{type(body).__name__} has no handler')


@answer.register
def _(
    body: FetchStatus,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    status = describe(state, now_s, call.queued)
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
        last=find_last(state),
        endpoint=state['endpoint'],
    )
    return [Reply(call.request_id, adopted), *_settle_confirms(state, now_s)]


@answer.register
def _(
    body: Promote,
    call: MemberCall,
    state: MemberState,
    now_s: float,
) -> list[Outgoing]:
    is_granted = _is_granted(state, body.term, body.candidate)
    if state['primary'] or not is_granted:
        return [Reply(call.request_id, describe(state, now_s))]
    state['role'] = Role.PRIMARY
    state['primary'] = state['endpoint']
    length = len(state['database']['log'])
    for peer in state['peers'].values():
        # Rounds go on, so that no answer of an earlier term matches.
        fresh = create_peer(state['up_to_date_s'])
        fresh['round'] = peer['round']
        fresh['next_after'] = length
        peer.update(fresh)
    append_barrier(state)
    return [
        Reply(call.request_id, describe(state, now_s)),
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
        Reply(call.request_id, describe(state, now_s)),
        *_settle_confirms(state, now_s),
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
        return [Reply(call.request_id, _describe_log(state, body))]
    invariants.check(
        holds=state['role'] is Role.REPLICA,
        code='R2',
        detail=f'{body.primary} is a second primary of term {body.term}',
    )
    state['primary'] = body.primary
    state['primary_heard_s'] = now_s
    accepted = database.holds(state['database'], body.previous)
    if accepted and not state['faults'].far_behind:
        database.merge(state['database'], body.entries)
    if accepted:
        _note_freshness(state, body)
    if body.round > state['answered_round']:
        state['answered_round'] = body.round
        state['answered_s'] = now_s
    replicated = _describe_log(state, body)._replace(accepted=accepted)
    return [Reply(call.request_id, replicated), *_settle_confirms(state, now_s)]


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
    return _settle_confirms(state, now_s)


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
    """Completes an answer and sends new entries to the other members."""
    complete = finished._replace(
        position=find_last(state),
        age_s=measure_age(state, now_s),
        queued=call.queued,
    )
    return [Reply(call.request_id, complete), *_send_new(state, now_s)]


def _is_granted(state: MemberState, term: int, candidate: str) -> bool:
    """Returns whether the adopted term was granted to this candidate."""
    is_adopted = term == state['adopted_term']
    return is_adopted and bool(candidate) and candidate == state['granted_to']


def _adopt_term(state: MemberState, term: int, candidate: str) -> None:
    """Adopts a higher term; a primary steps down and transactions end."""
    if term <= state['adopted_term']:
        return
    state['adopted_term'] = term
    state['granted_to'] = candidate
    if state['role'] is Role.PRIMARY:
        # Its own last proof of being up to date is the majority's answer.
        state['up_to_date_s'] = find_majority_answer(state)
    state['role'] = Role.REPLICA
    state['primary'] = ''
    state['answered_round'] = 0
    for transaction in state['transactions'].values():
        transaction['ended'] = True


def _note_freshness(state: MemberState, message: Replicate) -> None:
    """Notes that the member is up to date.

    The message was sent after the primary had the answer to an earlier one,
    so its content is not older than that answer plus the primary's own age,
    however long the message took.
    """
    last = find_last(state)
    if not message.answered_round or last != message.end:
        return
    if message.answered_round != state['answered_round']:
        return
    fresh_s = state['answered_s'] - message.age_s
    state['up_to_date_s'] = max(state['up_to_date_s'], fresh_s)


def _describe_log(state: MemberState, message: Replicate) -> Replicated:
    """Returns what the primary needs to continue after a message."""
    end = message.previous.position
    if database.holds(state['database'], message.previous):
        end += len(message.entries)
    else:
        end -= 1
    end = min(end, len(state['database']['log']))
    return Replicated(
        adopted_term=state['adopted_term'],
        last=database.find_position(state['database'], end),
        round=message.round,
    )


def _send_new(state: MemberState, now_s: float) -> list[Outgoing]:
    """Sends to the members that lack entries."""
    length = len(state['database']['log'])
    for peer in state['peers'].values():
        if peer['next_after'] < length:
            return _send_entries(state, now_s)
    return []


def _send_entries(state: MemberState, now_s: float) -> list[Outgoing]:
    """Sends a message to each member that owes no answer."""
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
        outgoing.append(ToEndpoint(name, _next_batch(state, peer, now_s)))
    return outgoing


def _next_batch(state: MemberState, peer: Peer, now_s: float) -> Replicate:
    log = state['database']
    return Replicate(
        term=state['adopted_term'],
        primary=state['endpoint'],
        previous=database.find_position(log, peer['next_after']),
        entries=database.find_batch(log, peer['next_after']),
        end=database.find_last(log),
        round=peer['round'],
        answered_round=peer['answered_round'],
        age_s=measure_age(state, now_s),
    )


def _settle_confirms(state: MemberState, now_s: float) -> list[Outgoing]:
    """Answers the Confirm messages whose outcome is known or overdue."""
    outgoing: list[Outgoing] = []
    waiting: list[PendingConfirm] = []
    for pending in state['confirms']:
        confirmed = _confirms(state, pending.position)
        is_possible = state['adopted_term'] <= pending.position.term
        if not confirmed and is_possible and now_s < pending.deadline_s:
            waiting.append(pending)
            continue
        message = Confirmed(confirmed, state['adopted_term'])
        outgoing.append(Reply(pending.request_id, message))
    state['confirms'] = waiting
    return outgoing


def _confirms(state: MemberState, position: Position) -> bool:
    is_current = state['adopted_term'] == position.term
    return is_current and database.holds(state['database'], position)
