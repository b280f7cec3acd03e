"""Decides when a majority of members has confirmed a position (R2).

Statements share one ``Confirm`` for each member. A round covers all statements
that arrived before it was sent, so the number of calls depends on the
replication delay and not on the number of writes.
"""

import functools
from typing import Any, NamedTuple, TypedDict

from poplarspoke import invariants, majorities
from poplarspoke.generated.acknowledgements import (
    AwaitMajority,
    MajorityMissed,
    MajorityReached,
)
from poplarspoke.generated.common import Position, Tick
from poplarspoke.generated.failover import CallEndpoint, EndpointAnswered
from poplarspoke.generated.members import Confirm, Confirmed
from poplarspoke.tasks import Outgoing, Reply, ToEndpoint

# Longest time that a member waits for replication before it answers.
CONFIRM_WAIT_S = 0.25
CALL_TIMEOUT_S = 1.0
RETRY_BACKOFF_S = 0.02


class PendingStatement(TypedDict):
    """A statement that awaits its majority.

    Attributes:
        request: The request for the majority.
        sequence: Number of the statement.
        until_s: The caller's deadline.
        confirmations: Latest answer of each member for the position.
    """

    request: AwaitMajority
    sequence: int
    until_s: float
    confirmations: dict[str, Confirmed]


class Round(NamedTuple):
    """An outstanding ``Confirm`` to one member.

    Attributes:
        call_id: Id of the call.
        position: Position to confirm.
        sequence: Number of the last statement that it covers.
    """

    call_id: int
    position: Position
    sequence: int


class AcknowledgementState(TypedDict):
    """State of the acknowledgements of one database.

    Attributes:
        database: Name of the database.
        members: All members of the database.
        pending: Statements without a result, by request id.
        rounds: Outstanding call to each member.
        retry_at_s: Time of the next call to a member that did not confirm.
        next_call: Id of the next call.
        sequence: Number of the last statement.
        calls: Number of calls since the start.
        acknowledged: Number of statements acknowledged since the start.
        missed: Number of statements without a majority since the start.
    """

    database: str
    members: tuple[str, ...]
    pending: dict[str, PendingStatement]
    rounds: dict[str, Round]
    retry_at_s: dict[str, float]
    next_call: int
    sequence: int
    calls: int
    acknowledged: int
    missed: int


def create_state(
    database: str,
    members: tuple[str, ...],
) -> AcknowledgementState:
    """Returns the state of a database without pending statements."""
    return AcknowledgementState(
        database=database,
        members=members,
        pending={},
        rounds={},
        retry_at_s={},
        next_call=1,
        sequence=0,
        calls=0,
        acknowledged=0,
        missed=0,
    )


@functools.singledispatch
def decide(
    message: Any,
    state: AcknowledgementState,
    now_s: float,
) -> list[Outgoing]:
    """Handles one message; updates the state and returns what to send."""
    raise TypeError(f'acknowledgements cannot handle {type(message).__name__}')


@decide.register
def _(
    message: AwaitMajority,
    state: AcknowledgementState,
    now_s: float,
) -> list[Outgoing]:
    state['sequence'] += 1
    state['pending'][message.request_id] = PendingStatement(
        request=message,
        sequence=state['sequence'],
        until_s=now_s + message.budget_s,
        confirmations={},
    )
    if majorities.count_majority(len(state['members'])) == 1:
        return _pop_replies(state, now_s)
    return _send_rounds(state, now_s)


@decide.register
def _(
    message: EndpointAnswered,
    state: AcknowledgementState,
    now_s: float,
) -> list[Outgoing]:
    sent = state['rounds'].get(message.endpoint)
    if sent is None or sent.call_id != message.call_id:
        return []
    state['rounds'].pop(message.endpoint)
    confirmed = Confirmed()
    if not message.lost and isinstance(message.body, Confirmed):
        confirmed = message.body
    if not confirmed.confirmed:
        state['retry_at_s'][message.endpoint] = now_s + RETRY_BACKOFF_S
    _record_confirmation(state, message.endpoint, sent, confirmed)
    return [*_pop_replies(state, now_s), *_send_rounds(state, now_s)]


@decide.register
def _(
    message: Tick,
    state: AcknowledgementState,
    now_s: float,
) -> list[Outgoing]:
    return [*_pop_replies(state, now_s), *_send_rounds(state, now_s)]


def _record_confirmation(
    state: AcknowledgementState,
    endpoint: str,
    sent: Round,
    confirmed: Confirmed,
) -> None:
    """Records an answer for each statement that its round covers."""
    for pending in state['pending'].values():
        position = pending['request'].position
        if pending['sequence'] > sent.sequence:
            continue
        if position.term != sent.position.term or position > sent.position:
            continue
        pending['confirmations'][endpoint] = confirmed


def _pop_replies(state: AcknowledgementState, now_s: float) -> list[Outgoing]:
    """Removes the statements with a known outcome; returns the replies."""
    outgoing: list[Outgoing] = []
    for request_id, pending in list(state['pending'].items()):
        reply = _evaluate_statement(state, pending, now_s)
        if reply is None:
            continue
        state['pending'].pop(request_id)
        outgoing.append(Reply(request_id, reply))
    return outgoing


def _evaluate_statement(
    state: AcknowledgementState,
    pending: PendingStatement,
    now_s: float,
) -> MajorityReached | MajorityMissed | None:
    request = pending['request']
    confirmations = pending['confirmations']
    if majorities.is_acknowledged(
        request.position,
        request.primary,
        confirmations,
        state['members'],
    ):
        invariants.check(
            holds=request.primary in state['members'],
            code='R2',
            detail=f'{request.primary} is not a member of {state["database"]}',
        )
        state['acknowledged'] += 1
        holders = [
            endpoint
            for endpoint, answer in confirmations.items()
            if answer.confirmed
        ]
        return MajorityReached(request.request_id, tuple(holders))
    highest = max(
        (answer.adopted_term for answer in confirmations.values()),
        default=0,
    )
    if now_s < pending['until_s'] and not _is_superseded(state, pending):
        return None
    state['missed'] += 1
    return MajorityMissed(request.request_id, highest)


def _is_superseded(
    state: AcknowledgementState, pending: PendingStatement
) -> bool:
    """Returns whether higher terms rule out a majority in this term."""
    term = pending['request'].position.term
    superseded = sum(
        answer.adopted_term > term
        for answer in pending['confirmations'].values()
    )
    members = len(state['members'])
    return members - superseded < majorities.count_majority(members)


def _send_rounds(
    state: AcknowledgementState,
    now_s: float,
) -> list[Outgoing]:
    """Returns a call to each member that has none and lacks a confirmation."""
    outgoing: list[Outgoing] = []
    for endpoint in state['members']:
        if endpoint in state['rounds']:
            continue
        if now_s < state['retry_at_s'].get(endpoint, 0):
            continue
        position = _find_unconfirmed(state, endpoint)
        if position is None:
            continue
        state['next_call'] += 1
        state['calls'] += 1
        call = Round(state['next_call'], position, state['sequence'])
        state['rounds'][endpoint] = call
        outgoing.append(ToEndpoint(endpoint, _build_call(call)))
    return outgoing


def _find_unconfirmed(
    state: AcknowledgementState,
    endpoint: str,
) -> Position | None:
    """Returns the highest position that a member has yet to confirm."""
    highest: Position | None = None
    for pending in state['pending'].values():
        if endpoint == pending['request'].primary:
            continue
        confirmed = pending['confirmations'].get(endpoint, Confirmed())
        if confirmed.confirmed:
            continue
        position = pending['request'].position
        if highest is None or position > highest:
            highest = position
    return highest


def _build_call(call: Round) -> CallEndpoint:
    return CallEndpoint(
        call_id=call.call_id,
        timeout_s=CALL_TIMEOUT_S,
        body=Confirm(call.position, CONFIRM_WAIT_S),
    )
