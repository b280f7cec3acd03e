"""Positions that a session requires of a database.

The order is lexicographic on ``(term, position)``: a member whose last entry
has a higher term holds every acknowledged write of lower terms.
"""

from collections.abc import Iterable

from poplarspoke.generated.common import DatabasePosition, Position

# Marks a write whose position is not known; only the primary of its term or a
# member of a later term satisfies it.
UNKNOWN_POSITION = 0x7FFFFFFFFFFFFFFF

Positions = tuple[DatabasePosition, ...]


def merge_position(
    positions: Positions,
    database: str,
    position: Position,
) -> Positions:
    """Returns the positions with the higher one for the database."""
    merged = {entry.database: entry.position for entry in positions}
    merged[database] = max(merged.get(database, Position()), position)
    return _sort_positions(merged.items())


def replace_position(
    positions: Positions,
    database: str,
    position: Position,
) -> Positions:
    """Returns the positions after an answer of the primary.

    An unknown position of the same or a lower term gives way to the position
    of the answer, since the primary has run every earlier write of its term.
    """
    required = find_position(positions, database)
    unknown = required.position == UNKNOWN_POSITION
    if not unknown or required.term > position.term:
        return merge_position(positions, database, position)
    merged = {entry.database: entry.position for entry in positions}
    merged[database] = position
    return _sort_positions(merged.items())


def find_position(positions: Positions, database: str) -> Position:
    """Returns the position required of a database; zero if there is none."""
    for entry in positions:
        if entry.database == database:
            return entry.position
    return Position()


def satisfies(last: Position, required: Position) -> bool:
    """Returns whether a member that holds ``last`` has what is required."""
    return last >= required


def _sort_positions(entries: Iterable[tuple[str, Position]]) -> Positions:
    return tuple(
        DatabasePosition(database, position)
        for database, position in sorted(entries)
    )
