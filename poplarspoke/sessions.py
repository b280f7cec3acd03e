"""Log positions that a session requires of the databases.

Positions are ordered by ``(term, position)``: a member whose last entry has a
higher term holds every acknowledged write of lower terms.
"""

from collections.abc import Iterable

from poplarspoke import invariants
from poplarspoke.generated.common import DatabasePosition, Position
from poplarspoke.generated.sessions import Session

# Required after a write with an unknown outcome, whose position is not known.
# Only the primary of its term or a member of a later term satisfies it.
UNKNOWN_POSITION = 0x7FFFFFFFFFFFFFFF

Positions = tuple[DatabasePosition, ...]


def merge_position(
    positions: Positions,
    database: str,
    position: Position,
) -> Positions:
    """Returns the positions after a position of a database was observed.

    The position that is required of the database never decreases.
    """
    merged = {entry.database: entry.position for entry in positions}
    merged[database] = max(merged.get(database, Position()), position)
    return _sort_positions(merged.items())


def replace_position(
    positions: Positions,
    database: str,
    position: Position,
) -> Positions:
    """Returns the positions after an answer of the primary.

    The position of the answer replaces an unknown position of the same or a
    lower term, since the primary has run every earlier write of its term.
    """
    required = find_position(positions, database)
    unknown = required.position == UNKNOWN_POSITION
    if not unknown or required.term > position.term:
        return merge_position(positions, database, position)
    invariants.check(
        holds=position.term >= required.term,
        code='R1',
        detail=f'{position} would replace {required} of {database}',
    )
    merged = {entry.database: entry.position for entry in positions}
    merged[database] = position
    return _sort_positions(merged.items())


def find_position(positions: Positions, database: str) -> Position:
    """Returns the position required of a database; zero if there is none."""
    for entry in positions:
        if entry.database == database:
            return entry.position
    return Position()


def mark_unknown(
    positions: Positions,
    database: str,
    term: int,
) -> Positions:
    """Returns the positions after a write with unknown outcome.

    Args:
        positions: Positions that the session requires so far.
        database: Database that the write was sent to.
        term: Term in which the write was sent.
    """
    return merge_position(positions, database, Position(term, UNKNOWN_POSITION))


def satisfies(
    last: Position,
    required: Position,
    *,
    primary: bool = False,
) -> bool:
    """Returns whether a member has all the entries that are required.

    Args:
        last: Last log entry of the member.
        required: Position that the session requires.
        primary: Whether the member is the primary of the term of ``last``;
            it has run every write that was acknowledged in that term.
    """
    if primary and last.term == required.term:
        return True
    return last >= required


def limit_age(session: Session, database: str, max_age_s: float) -> float:
    """Returns the staleness in seconds that a read of a session may have.

    If the size limit of the token left no room for the position of a database,
    the session reads that database on the confirmed primary only.

    Args:
        session: Positions that the session requires.
        database: Database that is read.
        max_age_s: Staleness in seconds that the route allows.
    """
    listed = any(entry.database == database for entry in session.positions)
    if session.overflowed and not listed:
        return 0
    return max_age_s


def _sort_positions(entries: Iterable[tuple[str, Position]]) -> Positions:
    return tuple(
        DatabasePosition(database, position)
        for database, position in sorted(entries)
    )
