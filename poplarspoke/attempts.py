"""State of a failover and the messages that its steps send."""

import json
from typing import NamedTuple, TypedDict

from poplarspoke import codec, suspicion
from poplarspoke.generated.common import Position
from poplarspoke.generated.failover import (
    AvoidEndpoints,
    CallEndpoint,
    DatabaseRow,
    FailoverStep,
)
from poplarspoke.generated.members import Adopt, FetchStatus, Follow, Promote
from poplarspoke.generated.platform import Commit, Row, RowCondition, RowWrite
from poplarspoke.suspicion import Suspicion
from poplarspoke.tasks import ToEndpoint, ToStore

# Hosts with a higher rank neither probe nor act; a member has few connections.
ACTING_RANKS = 3
CALL_TIMEOUT_S = 1.0
# A handover that ended on an endpoint that leaves is not repeated earlier.
HANDOVER_INTERVAL_S = 5.0
KEPT_EVENTS = 50


class Event(NamedTuple):
    """An automatic act with its evidence, for the operators."""

    at_s: float
    act: str
    term: int
    evidence: str


class Attempt(TypedDict):
    """One attempt to change the primary.

    Attributes:
        candidate: Name of the attempt in grants, unique for ever.
        term: Term that it claims.
        suspicion: Reason with its evidence.
        step: Step that it waits in.
        step_s: When the step began.
        sent_s: When the calls of the step were last sent.
        first_call: Calls with a lower id belong to something else.
        grants: Last position of each member that granted the term.
        refusals: Members that refused the term.
        chosen: The one member that is promoted, once it is known.
    """

    candidate: str
    term: int
    suspicion: Suspicion
    step: FailoverStep
    step_s: float
    sent_s: float
    first_call: int
    grants: dict[str, Position]
    refusals: set[str]
    chosen: str


class FailoverState(TypedDict):
    """State of the failover task of one database.

    Attributes:
        host: Name of this host.
        database: Name of the database.
        incarnation: Number that is unique for each start of this daemon.
        attempts: Attempts since the start.
        next_call: Id of the next call.
        views: The members.
        addresses: Address IP:port of each member.
        term: Term of the known primary.
        primary: Known primary, empty if none is known.
        highest_term: Highest term that was seen anywhere.
        rank: Rendezvous rank of this host.
        peers: Hosts that hear of a new primary.
        avoided: Endpoints that leave service.
        suspicion: Present reason to act.
        suspected_s: Since when there is a reason.
        quiet_until_s: No attempt begins earlier.
        handover_s: When the last planned handover began.
        attempt: Attempt of this host, if it makes one.
        row: Latest known row of the table.
        is_row_read: Whether the row was asked for.
        unrecorded: Row that is to be written.
        recorded_s: When it was last sent to the table.
        last_tick_s: When the last tick came.
        listeners: Tasks that hear of a new primary.
        events: The latest automatic acts.
    """

    host: str
    database: str
    incarnation: int
    attempts: int
    next_call: int
    views: suspicion.Views
    addresses: dict[str, str]
    term: int
    primary: str
    highest_term: int
    rank: int
    peers: tuple[str, ...]
    avoided: AvoidEndpoints
    suspicion: Suspicion
    suspected_s: float
    quiet_until_s: float
    handover_s: float
    attempt: Attempt | None
    row: Row
    is_row_read: bool
    unrecorded: DatabaseRow | None
    recorded_s: float
    last_tick_s: float
    listeners: tuple[str, ...]
    events: list[Event]


class MemberPlace(NamedTuple):
    """Where a member of the database is."""

    endpoint: str
    zone: str
    address: str


def create_state(
    host: str,
    incarnation: int,
    database: str,
    members: tuple[MemberPlace, ...],
    *,
    listeners: tuple[str, ...],
    now_s: float,
) -> FailoverState:
    """Returns the state of a database whose primary is not known yet.

    Args:
        host: Name of this host.
        incarnation: Number that is unique for each start of this daemon.
        database: Name of the database.
        members: All members of the database.
        listeners: Tasks that hear of a new primary.
        now_s: Monotonic clock in seconds.
    """
    zones = {member.endpoint: member.zone for member in members}
    return FailoverState(
        host=host,
        database=database,
        incarnation=incarnation,
        attempts=0,
        next_call=1,
        views=suspicion.create_views(zones, now_s),
        addresses={member.endpoint: member.address for member in members},
        term=0,
        primary='',
        highest_term=0,
        # Acts only after the membership has told the rank.
        rank=ACTING_RANKS,
        peers=(),
        avoided=AvoidEndpoints(),
        suspicion=Suspicion(),
        suspected_s=now_s,
        quiet_until_s=now_s,
        handover_s=now_s - HANDOVER_INTERVAL_S,
        attempt=None,
        row=Row(key=f'database/{database}'),
        is_row_read=False,
        unrecorded=None,
        recorded_s=now_s,
        last_tick_s=now_s,
        listeners=listeners,
        events=[],
    )


def commit_row(content: DatabaseRow, state: FailoverState) -> ToStore:
    """Returns the request that writes the database row."""
    row = state['row']
    text = json.dumps(codec.to_object(content))
    return ToStore(
        Commit(
            conditions=(RowCondition(row.key, row.version),),
            writes=(RowWrite(row.key, text),),
        ),
    )


def read_content(row: Row) -> DatabaseRow:
    """Returns the content of the row, empty if it is no such content."""
    try:
        return codec.parse(DatabaseRow, json.loads(row.content or '{}'))
    except ValueError:
        return DatabaseRow()


def describe(attempt: Attempt) -> DatabaseRow:
    """Returns the row that an attempt writes."""
    return DatabaseRow(
        term=attempt['term'],
        candidate=attempt['candidate'],
        primary=attempt['chosen'],
        reason=attempt['suspicion'].reason,
        evidence=attempt['suspicion'].evidence,
    )


def enter(attempt: Attempt, step: FailoverStep, now_s: float) -> None:
    """Begins a step of an attempt."""
    attempt['step'] = step
    attempt['step_s'] = now_s


def call_member(
    endpoint: str,
    body: FetchStatus | Adopt | Promote | Follow,
    state: FailoverState,
    *,
    timeout_s: float = CALL_TIMEOUT_S,
    new_connection: bool = True,
) -> ToEndpoint:
    """Returns a call of a member with a new id."""
    call_id = state['next_call']
    state['next_call'] += 1
    return ToEndpoint(
        endpoint,
        CallEndpoint(
            call_id=call_id,
            new_connection=new_connection,
            timeout_s=timeout_s,
            body=body,
        ),
    )


def note_event(
    state: FailoverState,
    now_s: float,
    act: str,
    evidence: str,
) -> None:
    """Keeps an automatic act with its evidence."""
    attempt = state['attempt']
    term = state['highest_term'] if attempt is None else attempt['term']
    event = Event(now_s, act, term, evidence)
    state['events'] = [*state['events'], event][-KEPT_EVENTS:]
