"""State of a database's failover task and the messages of its steps."""

import json
from typing import NamedTuple, TypedDict

from poplarspoke import codec, suspicion
from poplarspoke.generated.common import Position
from poplarspoke.generated.failover import (
    CallEndpoint,
    DatabaseRow,
    DrainingEndpoints,
    FailoverStep,
)
from poplarspoke.generated.members import Adopt, FetchStatus, Follow, Promote
from poplarspoke.generated.platform import Commit, Row, RowCondition, RowWrite
from poplarspoke.suspicion import Suspicion
from poplarspoke.tasks import ToEndpoint, ToStore

# Only hosts with a rank below this number probe the members and fail over,
# since a member accepts few connections.
ACTING_RANKS = 3
CALL_TIMEOUT_S = 1.0
# Minimum interval between switchovers: one that ended on a draining endpoint
# must not be repeated at once.
SWITCHOVER_INTERVAL_S = 5.0
MAX_EVENTS = 50


class Event(NamedTuple):
    """An automatic action with its evidence, shown in the state dump.

    Attributes:
        at_s: Time of the action on the monotonic clock.
        act: What the failover task did.
        term: Term of the attempt, or the highest known one without an attempt.
        evidence: Observations or the reason behind the action.
    """

    at_s: float
    act: str
    term: int
    evidence: str


class Attempt(TypedDict):
    """One attempt at a failover.

    Attributes:
        candidate: Host, incarnation and number of the attempt; never reused.
        term: Term that the attempt claims, 0 before the claim.
        suspicion: Reason for the attempt, with its evidence.
        step: Current step.
        step_s: Start of the current step.
        sent_s: Time at which the calls of the step were last sent.
        first_call: First call id of the attempt; lower ids are older calls.
        grants: Last position of each member that granted the term.
        refusals: Members that refused the term.
        chosen: The member to promote, empty until it is selected.
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
        attempts: Number of attempts since the start.
        next_call: Id of the next call.
        views: What this host knows about each member.
        addresses: Address IP:port of each member.
        term: Term of the known primary.
        primary: Known primary, empty if none is known.
        highest_term: Highest term reported by any member, row or host.
        rank: Rendezvous rank of this host.
        peers: Hosts to notify of a new primary.
        avoided: Draining endpoints, which should not keep the primary.
        suspicion: Current reason for a failover.
        suspected_s: Time since which that reason has held.
        quiet_until_s: End of the backoff; no attempt begins earlier.
        handover_s: Start of the last switchover.
        attempt: Current attempt of this host, if any.
        row: Latest known row of the table.
        is_row_read: Whether the row was requested from the table.
        unrecorded: Outcome that is not yet stored in the table.
        recorded_s: Time of the last attempt to write that outcome.
        last_tick_s: Time of the last tick.
        listeners: Local tasks to notify of a new primary.
        events: The latest automatic actions.
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
    avoided: DrainingEndpoints
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


class MemberLocation(NamedTuple):
    """Name, zone and IP:port of a database member."""

    endpoint: str
    zone: str
    address: str


def create_state(
    host: str,
    incarnation: int,
    database: str,
    members: tuple[MemberLocation, ...],
    *,
    listeners: tuple[str, ...],
    now_s: float,
) -> FailoverState:
    """Returns the state of a database whose primary is unknown.

    Args:
        host: Name of this host.
        incarnation: Number that is unique for each start of this daemon.
        database: Name of the database.
        members: All members of the database.
        listeners: Local tasks to notify of a new primary.
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
        # Inactive until the membership has reported this host's rank.
        rank=ACTING_RANKS,
        peers=(),
        avoided=DrainingEndpoints(),
        suspicion=Suspicion(),
        suspected_s=now_s,
        quiet_until_s=now_s,
        handover_s=now_s - SWITCHOVER_INTERVAL_S,
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
    """Returns the request that writes the row if its version is current."""
    row = state['row']
    text = json.dumps(codec.to_object(content))
    return ToStore(
        Commit(
            conditions=(RowCondition(row.key, row.version),),
            writes=(RowWrite(row.key, text),),
        ),
    )


def parse_row(row: Row) -> DatabaseRow:
    """Returns the content of a row, the default content if it is invalid."""
    try:
        return codec.parse(DatabaseRow, json.loads(row.content or '{}'))
    except ValueError:
        return DatabaseRow()


def build_row(attempt: Attempt) -> DatabaseRow:
    """Returns the row content of an attempt."""
    return DatabaseRow(
        term=attempt['term'],
        candidate=attempt['candidate'],
        primary=attempt['chosen'],
        reason=attempt['suspicion'].reason,
        evidence=attempt['suspicion'].evidence,
    )


def enter_step(attempt: Attempt, step: FailoverStep, now_s: float) -> None:
    """Starts a step of an attempt."""
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
    """Returns a call to a member with a new id."""
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


def record_event(
    state: FailoverState,
    now_s: float,
    act: str,
    evidence: str,
) -> None:
    """Stores an automatic action with its evidence."""
    attempt = state['attempt']
    term = state['highest_term'] if attempt is None else attempt['term']
    event = Event(now_s, act, term, evidence)
    state['events'] = [*state['events'], event][-MAX_EVENTS:]
