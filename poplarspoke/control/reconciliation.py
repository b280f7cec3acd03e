"""Chooses between what a host knows and what a restored store says.

The copy that a store was restored from lacks the last changes, and a late write of
an earlier era may overwrite a newer row. The records that must not go back carry
numbers that only increase; a host keeps the content with the higher one, under the
revision of the row in the store.
"""

import functools
import json
from typing import Any, NamedTuple, TypeAlias

from poplarspoke import codec
from poplarspoke.control import revisions
from poplarspoke.control.state import (
    ENDPOINTS,
    EVACUATION_PREFIX,
    GROUP_PREFIX,
    HOST_PREFIX,
    LEADER_KEY,
    LEASE_MARGIN_S,
    PRIMARY_LEASE_S,
    PRIMARY_PREFIX,
    RECORDS,
    RULES_KEY,
    ControlState,
    Table,
)
from poplarspoke.generated.control import (
    GroupRecord,
    HostRecord,
    LeaderRecord,
    PrimaryPhase,
    PrimaryRecord,
    TableRow,
    TableRows,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.generated.rules import EndpointEntry, Ruleset

# Rows that a log line names.
MAX_NAMED_ROWS = 10


class Evacuation(NamedTuple):
    """Row by which the operators take a zone out of service."""

    zone: str


class Unknown(NamedTuple):
    """Row of another kind, or one that cannot be decoded."""


class Versions(NamedTuple):
    """The two versions of one row.

    Attributes:
        known: Row as this host knows it.
        found: Row in the store; removed, with version 0, if it lacks the row.
        is_recent: Whether what this host knows was current until the restore.
    """

    known: TableRow
    found: TableRow
    is_recent: bool


Content: TypeAlias = (
    Ruleset
    | Evacuation
    | EndpointEntry
    | GroupRecord
    | HostRecord
    | LeaderRecord
    | PrimaryRecord
    | Unknown
)


def reconcile(
    state: ControlState,
    message: TableRows,
    now_s: float,
) -> tuple[TableRows, LogDecision]:
    """Returns the rows of a restored table, newer content kept, and a log line.

    Args:
        state: State of the control task; the table is still that of the era
            before.
        message: All rows of the table in the new era.
        now_s: Boot clock in seconds.
    """
    table = state['tables'][message.table]
    age_s = now_s - table['confirmed_s']
    kept = _list_kept(state, message, is_recent=age_s < PRIMARY_LEASE_S)
    rows = {row.key: row for row in (*message.rows, *kept)}
    keys = [row.key for row in kept]
    if message.table == RECORDS:
        state['unwritten'] = set(keys)
        is_trusted = age_s < PRIMARY_LEASE_S
        state['trusted'] = _list_unchanged(table, rows) if is_trusted else set()
    for key in keys:
        if key.startswith(EVACUATION_PREFIX):
            state['held_since_s'][key] = now_s
    era = revisions.find_era(message.version)
    line = LogDecision(
        event='restored table read',
        outcome=f'{message.table}: era {era}',
        reason=f'newer here than in the store: {name_rows(keys)}',
        age_s=age_s,
    )
    return message._replace(rows=tuple(rows.values()), complete=True), line


def name_rows(keys: list[str]) -> str:
    """Returns the first keys of some rows and their number, for the log."""
    named = ','.join(keys[:MAX_NAMED_ROWS]) or 'none'
    return f'{named} ({len(keys)} rows)'


def enter_era(state: ControlState, now_s: float, *, is_recent: bool) -> None:
    """Records that the records were read in another era, or for the first time.

    Args:
        state: State of the control task, with the rows of the new era.
        now_s: Boot clock in seconds.
        is_recent: Whether this host's records were current until then.
    """
    state['era_since_s'] = now_s
    state['is_informed'] = is_recent and not _has_missed_failover(state)
    if is_recent or is_confirmed(state) or not state['primaries']:
        return
    # The copy may lack the registrations of hosts that hold leases.
    state['unknown_leases_until_s'] = now_s + PRIMARY_LEASE_S + LEASE_MARGIN_S


def confirm_era(state: ControlState, era: int) -> None:
    """Records that the records of an era are complete."""
    state['confirmed_era'] = max(state['confirmed_era'], era)
    if not is_confirmed(state):
        return
    # A failover of an earlier era is over, or its record was written again.
    version = state['tables'][RECORDS]['version']
    state['released'] = {
        service: number
        for service, number in state['released'].items()
        if revisions.is_of_era(number, version)
    }


def is_confirmed(state: ControlState) -> bool:
    """Returns whether the records of the present era are complete."""
    era = revisions.find_era(state['tables'][RECORDS]['version'])
    return state['confirmed_era'] >= era


def is_usable(state: ControlState, service: str) -> bool:
    """Returns whether the record of a primary is known not to be outdated."""
    return is_confirmed(state) or service in state['trusted']


def keep_known(
    state: ControlState,
    known: TableRow,
    row: TableRow,
) -> TableRow:
    """Returns a changed record, or the known content if that is newer.

    A write of an earlier era may take effect late if its condition holds again
    by chance; the known content is then written again.
    """
    is_guarded = row.key == LEADER_KEY or row.key.startswith(
        (PRIMARY_PREFIX, GROUP_PREFIX)
    )
    if is_guarded and _is_known_newer(
        state, RECORDS, Versions(known, row, is_recent=True)
    ):
        state['unwritten'].add(row.key)
        return _keep(known, row)
    state['unwritten'].discard(row.key)
    return row


@functools.singledispatch
def is_newer(known: Any, found: Content, versions: Versions) -> bool:
    """Returns whether the known content of a row is newer than that found."""
    return False


@is_newer.register
def _(known: Ruleset, found: Content, versions: Versions) -> bool:
    if versions.found.removed:
        return True
    return isinstance(found, Ruleset) and known.version > found.version


@is_newer.register
def _(known: Evacuation, found: Content, versions: Versions) -> bool:
    return versions.found.removed and not versions.known.removed


@is_newer.register
def _(known: EndpointEntry, found: Content, versions: Versions) -> bool:
    if versions.found.removed or not isinstance(found, EndpointEntry):
        # An endpoint without a row registers again, or is gone.
        return False
    ours = (known.born_ms, known.sequence)
    theirs = (found.born_ms, found.sequence)
    return ours >= theirs if versions.known.removed else ours > theirs


@is_newer.register
def _(known: HostRecord, found: Content, versions: Versions) -> bool:
    if not versions.is_recent:
        return False
    if versions.found.removed or not isinstance(found, HostRecord):
        return not versions.known.removed
    if known.incarnation != found.incarnation:
        return known.incarnation > found.incarnation
    if _is_written_later(versions):
        return False
    return versions.known.removed or (known.retired and not found.retired)


@is_newer.register
def _(known: GroupRecord, found: Content, versions: Versions) -> bool:
    if not isinstance(found, GroupRecord):
        return versions.found.removed
    return known.number > found.number


@is_newer.register
def _(known: LeaderRecord, found: Content, versions: Versions) -> bool:
    if versions.found.removed:
        return True
    return isinstance(found, LeaderRecord) and known.token > found.token


@is_newer.register
def _(known: PrimaryRecord, found: Content, versions: Versions) -> bool:
    if not isinstance(found, PrimaryRecord):
        return versions.found.removed
    return _order_primary(known) > _order_primary(found)


def decode_content(state: ControlState, table: str, row: TableRow) -> Content:
    """Returns the content of a row by the kind of its key."""
    try:
        if table == RECORDS:
            return _decode_record(row)
        return _decode_foreign(state, table, row) or Unknown()
    except Exception:
        # The row is skipped and logged when it is applied. An error here would
        # leave the whole table as it was before the restore.
        return Unknown()


def _decode_foreign(
    state: ControlState, table: str, row: TableRow
) -> Content | None:
    if table == ENDPOINTS:
        return state['decoders'].decode_endpoint(row.key, row.content)
    if row.key == RULES_KEY:
        return state['decoders'].decode_rules(row.content)
    if row.key.startswith(EVACUATION_PREFIX):
        return Evacuation(row.key.removeprefix(EVACUATION_PREFIX))
    return None


def _decode_record(row: TableRow) -> Content:
    fields = json.loads(row.content)
    if row.key.startswith(HOST_PREFIX):
        return codec.parse(HostRecord, fields)
    if row.key == LEADER_KEY:
        return codec.parse(LeaderRecord, fields)
    if row.key.startswith(PRIMARY_PREFIX):
        return codec.parse(PrimaryRecord, fields)
    if row.key.startswith(GROUP_PREFIX):
        return codec.parse(GroupRecord, fields)
    return Unknown()


def _is_known_newer(
    state: ControlState, table: str, versions: Versions
) -> bool:
    known = decode_content(state, table, versions.known)
    found = decode_content(state, table, versions.found)
    return is_newer(known, found, versions)


def _keep(known: TableRow, found: TableRow) -> TableRow:
    return found._replace(content=known.content, removed=known.removed)


def _has_missed_failover(state: ControlState) -> bool:
    """Returns whether a lease was released for a failover without a record."""
    for service, number in state['released'].items():
        known = state['primaries'].get(service)
        if known is None or known.record.change < number:
            return True
    return False


def _list_kept(
    state: ControlState, message: TableRows, *, is_recent: bool
) -> list[TableRow]:
    """Returns the rows whose known content is newer than that found."""
    found = {row.key: row for row in message.rows}
    era = revisions.find_era(message.version)
    kept: list[TableRow] = []
    for key, known in state['tables'][message.table]['rows'].items():
        absent = TableRow(key, revisions.create_revision(0, era), removed=True)
        row = found.get(key, absent)
        versions = Versions(known, row, is_recent)
        if _is_known_newer(state, message.table, versions):
            kept.append(_keep(known, row))
    return kept


def _list_unchanged(table: Table, rows: dict[str, TableRow]) -> set[str]:
    """Returns the services whose primary's record is as it was known."""
    services: set[str] = set()
    for key, row in rows.items():
        known = table['rows'].get(key)
        if known is None or not key.startswith(PRIMARY_PREFIX):
            continue
        if known.content == row.content:
            services.add(key.removeprefix(PRIMARY_PREFIX))
    return services


def _order_primary(record: PrimaryRecord) -> tuple[int, bool]:
    return record.change, record.phase is PrimaryPhase.STABLE


def _is_written_later(versions: Versions) -> bool:
    """Returns whether the row found has a higher version in the store."""
    known = revisions.find_version(versions.known.version)
    return revisions.find_version(versions.found.version) > known
