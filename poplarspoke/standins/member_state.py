"""State of a database member and what is read from it."""

from typing import NamedTuple, TypedDict

from poplarspoke import invariants
from poplarspoke.generated.common import Position
from poplarspoke.generated.members import LogEntry, MemberFaults, Role
from poplarspoke.standins import database

# Age that a member reports before it ever knew that it was up to date.
UNKNOWN_AGE_S = 1_000_000.0


class Transaction(TypedDict):
    """Open transaction of a connection.

    Attributes:
        workspace: Workspace that began it.
        seen: Committed values that its statements depend on.
        changed: Values to set at the commit.
        ended: Whether the member has rolled it back.
    """

    workspace: str
    seen: dict[str, str | None]
    changed: dict[str, str]
    ended: bool


class Peer(TypedDict):
    """What the primary knows about another member.

    Attributes:
        next_after: Position after which the next entries are sent.
        round: Number of the last message.
        sent_s: When that message was sent.
        waiting: Whether its answer is outstanding.
        answered_round: Last message whose answer came.
        answered_s: When the last answered message was sent.
    """

    next_after: int
    round: int
    sent_s: float
    waiting: bool
    answered_round: int
    answered_s: float


class PendingConfirm(NamedTuple):
    """Confirm that waits for replication."""

    request_id: str
    position: Position
    deadline_s: float


class MemberState(TypedDict):
    """State of one member; terms, grants and the log are durable.

    Attributes:
        endpoint: Name of this member.
        majority: Number of members that make a majority.
        adopted_term: Lower terms are refused.
        granted_to: Candidate that the term was granted to, if any.
        role: Primary only between Promote and the next term.
        primary: Endpoint that the member follows.
        primary_heard_s: When the last message of the primary came.
        up_to_date_s: Latest time at which the member was up to date.
        answered_round: Last replication message that was answered.
        answered_s: When it was answered.
        database: Log, values and recorded answers.
        peers: The other members.
        transactions: Open transactions by their connection.
        confirms: Confirm messages that wait for replication.
        faults: Faults that were set on the stand-in.
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
        now_s: Monotonic clock in seconds.
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


def find_majority_answer(state: MemberState) -> float:
    """Returns the time up to which a majority has answered the primary."""
    answered = sorted(peer['answered_s'] for peer in state['peers'].values())
    others = state['majority'] - 1
    return answered[-others] if others else state['up_to_date_s']


def measure_age(state: MemberState, now_s: float) -> float:
    """Returns the seconds since the member knew that it was up to date."""
    if state['majority'] == 1:
        return 0
    if state['role'] is Role.REPLICA:
        return max(now_s - state['up_to_date_s'], 0)
    return max(now_s - find_majority_answer(state), 0)


def leads(state: MemberState, term: int) -> bool:
    """Returns whether the member is the primary of a term."""
    return state['role'] is Role.PRIMARY and term == state['adopted_term']


def find_last(state: MemberState) -> Position:
    """Returns the position of the last log entry."""
    return database.find_last(state['database'])


def append_barrier(state: MemberState) -> None:
    """Appends the first entry of a term, which has no effect."""
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
    """Returns a peer that has answered nothing yet."""
    return Peer(
        next_after=0,
        round=0,
        sent_s=unknown_s,
        waiting=False,
        answered_round=0,
        answered_s=unknown_s,
    )
