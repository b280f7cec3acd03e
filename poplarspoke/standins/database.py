"""Log of a member, with the tables and recorded answers derived from it."""

import json
from typing import NamedTuple, TypedDict

from poplarspoke import invariants
from poplarspoke.generated.common import Position
from poplarspoke.generated.members import LogEntry

MAX_BATCH_ENTRIES = 64
# Keeps a Replicate message well below the body limit of web.py.
MAX_BATCH_CHARACTERS = 65536


class RecordKey(NamedTuple):
    """Key of a recorded answer; request ids are unique per workspace only."""

    workspace: str
    request_id: str


class Database(TypedDict):
    """Log and the tables that are derived from it.

    Attributes:
        log: Entries; the entry with position n has index n - 1.
        tables: Values by key, for each workspace.
        recorded: Position of the log entry of each recorded request.
    """

    log: list[LogEntry]
    tables: dict[str, dict[str, str]]
    recorded: dict[RecordKey, int]


def create_database() -> Database:
    """Returns an empty database."""
    return Database(log=[], tables={}, recorded={})


def find_last_position(database: Database) -> Position:
    """Returns the position of the last entry, zeros if the log is empty."""
    return find_position(database, len(database['log']))


def find_position(database: Database, index: int) -> Position:
    """Returns the position of the entry with a number, counted from 1.

    It is zeros if there is no such entry.
    """
    if not 0 < index <= len(database['log']):
        return Position()
    return database['log'][index - 1].position


def has_entry(database: Database, position: Position) -> bool:
    """Returns whether the log has an entry with this term and position.

    The zero position, before the first entry, matches every log.
    """
    return find_position(database, position.position) == position


def find_recorded_entry(
    database: Database,
    workspace: str,
    request_id: str,
) -> LogEntry | None:
    """Returns the entry that recorded a request, None if there is none."""
    position = database['recorded'].get(RecordKey(workspace, request_id))
    return None if position is None else database['log'][position - 1]


def append(database: Database, entry: LogEntry) -> None:
    """Appends an entry and applies its effect.

    Raises:
        invariants.InvariantError: The entry leaves a gap or its request was
            applied before.
    """
    last = find_last_position(database)
    invariants.check(
        holds=entry.position.position == last.position + 1
        and entry.position.term >= last.term,
        code='R2',
        detail=f'entry {entry.position} does not follow {last}',
    )
    database['log'].append(entry)
    table = database['tables'].setdefault(entry.workspace, {})
    table.update(json.loads(entry.effect or '{}'))
    if not entry.request_id:
        return
    record_key = RecordKey(entry.workspace, entry.request_id)
    invariants.check(
        holds=record_key not in database['recorded'],
        code='R11',
        detail=f'request {entry.request_id} applied twice',
    )
    database['recorded'][record_key] = entry.position.position


def truncate(database: Database, length: int) -> None:
    """Removes the entries after a position and rebuilds the tables."""
    kept = database['log'][:length]
    database['log'] = []
    database['tables'] = {}
    database['recorded'] = {}
    for entry in kept:
        append(database, entry)


def find_batch(database: Database, after: int) -> tuple[LogEntry, ...]:
    """Returns the next entries after a position, bounded in size."""
    batch: list[LogEntry] = []
    size = 0
    for entry in database['log'][after : after + MAX_BATCH_ENTRIES]:
        size += len(entry.effect) + len(entry.answer)
        if batch and size > MAX_BATCH_CHARACTERS:
            break
        batch.append(entry)
    return tuple(batch)


def merge(database: Database, entries: tuple[LogEntry, ...]) -> None:
    """Adds entries of the primary, replacing those that conflict."""
    for entry in entries:
        if has_entry(database, entry.position):
            continue
        if entry.position.position <= len(database['log']):
            truncate(database, entry.position.position - 1)
        append(database, entry)


def find_common_position(database: Database, hint: Position) -> int:
    """Returns the last position that may match a replica's log.

    Args:
        database: Database of the primary.
        hint: Last position that the replica reported.
    """
    index = min(hint.position, len(database['log']))
    while index and database['log'][index - 1].position.term > hint.term:
        index -= 1
    return index
