"""State of a database member and functions that read it."""

from typing import NamedTuple, TypedDict

from poplarspoke import invariants
from poplarspoke.generated.common import Position
from poplarspoke.generated.members import LogEntry, MemberFaults, Role
from poplarspoke.standins import database

# Reported age of a member that has never been known to be up to date.
UNKNOWN_AGE_S = 1_000_000.0


class Transaction(TypedDict):
    """Open transaction of a connection.

    Attributes:
        workspace: Workspace that began it.
        seen: Committed values that its statements read, by key; None if the
            key was absent.
        changed: Values to write at the commit.
        ended: Whether the member has rolled it back.
    """

    workspace: str
    seen: dict[str, str | None]
    changed: dict[str, str]
    ended: bool


class Peer(TypedDict):
    """Replication state that the primary holds for another member.

    Attributes:
        next_after: Index in the log after which the next entries are sent.
        round: Number of the last message.
        sent_s: Time when that message was sent.
        waiting: Whether its answer is outstanding.
        answered_round: Number of the last message that was answered.
        answered_s: Time when the last answered message was sent.
    """

    next_after: int
    round: int
    sent_s: float
    waiting: bool
    answered_round: int
    answered_s: float


class PendingConfirm(NamedTuple):
    """Confirm request that waits for replication."""

    request_id: str
    position: Position
    deadline_s: float


class MemberState(TypedDict):
    """State of one member.

    Terms, grants and the log are treated as durable.

    Attributes:
        endpoint: Name of this member.
        majority: Number of members that make a majority.
        adopted_term: Highest term seen; lower terms are refused.
        granted_to: Candidate that the term was granted to, empty if none.
        role: Primary from Promote until a higher term is adopted, otherwise
            replica.
        primary: Endpoint that the member follows, empty if unknown.
        primary_heard_s: Time of the last contact by the primary.
        up_to_date_s: Latest time at which the member was known to be up to
            date.
        answered_round: Number of the last replication message answered.
        answered_s: Time when it was answered.
        database: Log, tables and recorded answers.
        peers: Replication state of the other members by name.
        transactions: Open transactions by connection.
        confirms: Confirm requests that wait for replication.
        faults: Faults that are set on the stand-in.
    """

    endpoint: str
    majority: int
    adopted_term: int
    granted_to: str
    role: Role
    primary: str
    primary_heard_s: float
    up_to_date_s: float
    answered_round: int
    answered_s: float
    database: database.Database
    peers: dict[str, Peer]
    transactions: dict[str, Transaction]
    confirms: list[PendingConfirm]
    faults: MemberFaults


def create_state(
    endpoint: str,
    members: tuple[str, ...],
    now_s: float,
) -> MemberState:
    """Returns the state of a new member.

    Args:
        endpoint: Name of this member.
        members: Names of all members of the database.
        now_s: Current time of the monotonic clock in seconds.
    """
    unknown_s = now_s - UNKNOWN_AGE_S
    return MemberState(
        endpoint=endpoint,
        majority=len(members) // 2 + 1,
        adopted_term=0,
        granted_to='',
        role=Role.REPLICA,
        primary='',
        primary_heard_s=unknown_s,
        up_to_date_s=unknown_s,
        answered_round=0,
        answered_s=unknown_s,
        database=database.create_database(),
        peers={
            name: create_peer(unknown_s) for name in members if name != endpoint
        },
        transactions={},
        confirms=[],
        faults=MemberFaults(),
    )


def find_majority_response_s(state: MemberState) -> float:
    """Returns when the last message that a majority answered was sent."""
    answered = sorted(peer['answered_s'] for peer in state['peers'].values())
    others = state['majority'] - 1
    return answered[-others] if others else state['up_to_date_s']


def measure_age(state: MemberState, now_s: float) -> float:
    """Returns the seconds since the member was known to be up to date."""
    if state['majority'] == 1:
        return 0
    if state['role'] is Role.REPLICA:
        return max(now_s - state['up_to_date_s'], 0)
    return max(now_s - find_majority_response_s(state), 0)


def is_primary_of(state: MemberState, term: int) -> bool:
    """Returns whether the member is the primary of a term."""
    return state['role'] is Role.PRIMARY and term == state['adopted_term']


def find_last_position(state: MemberState) -> Position:
    """Returns the position of the last log entry."""
    return database.find_last_position(state['database'])


def append_barrier(state: MemberState) -> None:
    """Appends the first entry of a term, which changes no values.

    Once a majority holds it, the entries of earlier terms are committed.
    """
    append_entry(state, LogEntry())


def append_entry(state: MemberState, entry: LogEntry) -> None:
    """Appends an entry of the current term to the log of the primary."""
    invariants.check(
        holds=state['role'] is Role.PRIMARY,
        code='R2',
        detail=f'{state["endpoint"]} wrote without being primary',
    )
    position = Position(
        state['adopted_term'],
        len(state['database']['log']) + 1,
    )
    database.append(state['database'], entry._replace(position=position))


def create_peer(unknown_s: float) -> Peer:
    """Returns the state of a peer that has not answered yet."""
    return Peer(
        next_after=0,
        round=0,
        sent_s=unknown_s,
        waiting=False,
        answered_round=0,
        answered_s=unknown_s,
    )
