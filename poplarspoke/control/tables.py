"""Applies rows of the metadata store to the state of the control task.

Rows come from the store or from a peer that has read them. Versions never
decrease. A row that cannot be decoded is skipped and logged; the others are
applied.
"""

import json
from typing import Any

from poplarspoke import codec, errors
from poplarspoke.control import (
    contact,
    offers,
    reconciliation,
    revisions,
    usage_rows,
)
from poplarspoke.control.state import (
    ENDPOINTS,
    ERA_KEY,
    EVACUATION_PREFIX,
    GROUP_PREFIX,
    HOST_PREFIX,
    LEADER_KEY,
    PRIMARY_LEASE_S,
    PRIMARY_PREFIX,
    PROGRESS_KEY,
    RECORDS,
    RELEASE_PREFIX,
    RULES,
    RULES_KEY,
    TERM_PREFIX,
    ControlState,
    LostEndpoint,
    Table,
    VersionedLeader,
    VersionedPrimary,
    find_sync_replicas,
    identify,
)
from poplarspoke.control.usage_state import USAGE_KEY
from poplarspoke.generated.control import (
    EraRecord,
    GroupRecord,
    HostRecord,
    LeaderRecord,
    PeerAddresses,
    PeerView,
    PrimaryPhase,
    PrimaryRecord,
    ReleaseRecord,
    ShowView,
    TableRow,
    TableRows,
    TableView,
    TermRecord,
)
from poplarspoke.generated.relay import (
    EndpointsUpdated,
    HostAddress,
    HostsUpdated,
    LeasesRenewed,
    LogDecision,
    PrimaryLease,
)
from poplarspoke.generated.rules import EndpointEntry
from poplarspoke.tasks import ToTask

# An endpoint whose entry expired during an outage of the store registers again
# within 2 s of the end of the outage; until then the endpoint is kept.
ABSENT_TTL_S = 2.5
# The operators write again what a restored store lacks as soon as it is back. An
# evacuation that it lacks is kept until then, and dropped if it stays missing.
HELD_ROW_TTL_S = 2.5
# The log lines of a choice name endpoints of a service without synchronous replicas
# for this long after they have left.
LOST_TTL_S = 60.0
RELAY = 'relay'


def apply_rows(
    state: ControlState,
    message: TableRows,
    now_s: float,
) -> list[Any]:
    """Applies an answer of the store, or of a peer, to one table."""
    table = state['tables'][message.table]
    if message.version < table['version']:
        return []
    if table['complete'] and _is_later_era(message.version, table):
        return _apply_restored(state, message, now_s)
    was_complete = table['complete']
    changed = _merge(state, message)
    if was_complete and message.table == RECORDS:
        _trust_written(state, changed)
    outgoing = _apply_changed(state, message, changed, now_s)
    if message.table == RECORDS and table['complete'] and not was_complete:
        reconciliation.enter_era(state, now_s, is_recent=False)
    return outgoing


def _apply_restored(
    state: ControlState,
    message: TableRows,
    now_s: float,
) -> list[Any]:
    """Applies the first answer of a store that was restored from a copy."""
    if not message.complete and not message.relayed:
        # Changes alone do not show what the store has lost.
        return []
    table = state['tables'][message.table]
    former_s = table['confirmed_s']
    restored, line = reconciliation.reconcile(state, message, now_s)
    changed = _replace_rows(table, restored)
    if message.table != RECORDS:
        return [line, *_apply_changed(state, message, changed, now_s)]
    state['former_confirmed_s'] = former_s
    outgoing = _apply_changed(state, message, changed, now_s)
    is_recent = now_s - former_s < PRIMARY_LEASE_S
    reconciliation.enter_era(state, now_s, is_recent=is_recent)
    return [line, *outgoing]


def _apply_changed(
    state: ControlState,
    message: TableRows,
    changed: list[TableRow],
    now_s: float,
) -> list[Any]:
    outgoing: list[Any] = []
    table = state['tables'][message.table]
    table['version'] = message.version
    table['confirmed_s'] = max(table['confirmed_s'], message.asked_s)
    if not message.relayed:
        _confirm_others(state, message)
    for row in changed:
        outgoing.extend(_apply_row(state, message.table, row, now_s))
    if message.table != RECORDS:
        return [*outgoing, *(list_endpoints(state, now_s) if changed else ())]
    if any(entry.key.startswith(HOST_PREFIX) for entry in changed):
        state['watchers'] = None
        state['zone_hosts'] = None
        outgoing.extend(_list_hosts(state))
    return [*outgoing, list_leases(state)]


def _confirm_others(state: ControlState, message: TableRows) -> None:
    """Confirms the tables that cover the version of an answer of the store.

    All tables share the versions of the store.
    """
    for table in state['tables'].values():
        if table['version'] >= message.version:
            table['confirmed_s'] = max(table['confirmed_s'], message.asked_s)


def expire_held_rows(state: ControlState, now_s: float) -> list[Any]:
    """Drops rows that a restored store lacked and that were not written again."""
    outgoing: list[Any] = []
    for key, since_s in list(state['held_since_s'].items()):
        if now_s - since_s < HELD_ROW_TTL_S:
            continue
        state['held_since_s'].pop(key)
        rows = state['tables'][RULES]['rows']
        rows[key] = rows[key]._replace(removed=True)
        outgoing.extend(_apply_rule(state, rows[key], now_s))
        outgoing.extend(list_endpoints(state, now_s))
    return outgoing


def list_leases(state: ControlState) -> ToTask:
    """Returns the primary leases that this host holds now."""
    settings = state['settings']
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    if HOST_PREFIX + settings.name in state['unwritten']:
        # Without its registration, a failover would not wait for this host.
        confirmed_s = state['former_confirmed_s']
    until_s = min(confirmed_s + PRIMARY_LEASE_S, contact.find_end(state))
    # The former process of this host may have released a primary that the records
    # of a peer still name. Records that were current since this process started
    # show each failover whose release it may have answered.
    is_current = confirmed_s >= state['started_s']
    leases = tuple(
        PrimaryLease(service, known.record.endpoint, until_s)
        for service, known in state['primaries'].items()
        if is_current and _may_lease(state, service, known.record)
    )
    expected = _list_expected(state)
    return ToTask(RELAY, LeasesRenewed(leases, expected))


def _may_lease(
    state: ControlState, service: str, record: PrimaryRecord
) -> bool:
    own = state['hosts'].get(state['settings'].name)
    if own is None or own.retired:
        return False
    if record.phase is not PrimaryPhase.STABLE:
        return False
    if record.change < state['released'].get(service, 0):
        return False
    return reconciliation.is_usable(state, service)


def _list_expected(state: ControlState) -> tuple[str, ...]:
    """Returns the services whose failover has a candidate."""
    expected: list[str] = []
    for service, known in state['primaries'].items():
        if known.record.phase is PrimaryPhase.STABLE:
            continue
        if known.record.candidate:
            expected.append(service)
    return tuple(expected)


def list_endpoints(state: ControlState, now_s: float) -> list[Any]:
    """Returns the usable endpoints; absent ones expire after a delay."""
    rows = state['tables'][ENDPOINTS]['rows']
    entries: list[EndpointEntry] = []
    for name in sorted(state['endpoints']):
        row = rows.get(name)
        if row is not None and not row.removed:
            state['absent_since_s'].pop(name, None)
            entries.append(state['endpoints'][name])
            continue
        since_s = state['absent_since_s'].setdefault(name, now_s)
        if now_s - since_s < ABSENT_TTL_S:
            entries.append(state['endpoints'][name])
            continue
        entry = state['endpoints'].pop(name)
        state['absent_since_s'].pop(name)
        state['lost'][identify(entry)] = LostEndpoint(entry, now_s)
    _forget_lost(state, now_s)
    known = EndpointsUpdated(tuple(entries), state['evacuated'])
    return [ToTask(RELAY, known)]


def _forget_lost(state: ControlState, now_s: float) -> None:
    """Forgets lost endpoints whose log is not needed any more."""
    addresses = {
        (entry.service, entry.address) for entry in state['endpoints'].values()
    }
    for process, (entry, since_s) in list(state['lost'].items()):
        if find_sync_replicas(state, entry.service):
            # The row of the group shows when its log is not needed any more.
            continue
        is_replaced = (entry.service, entry.address) in addresses
        is_old = now_s - since_s >= LOST_TTL_S
        if is_replaced or (is_old and entry.service not in state['changes']):
            state['lost'].pop(process)


def create_view(
    state: ControlState,
    request: ShowView,
    now_s: float,
) -> PeerView:
    """Returns the rows that are newer than the versions of a peer."""
    versions = (request.rules, request.endpoints, request.records)
    views: list[TableView] = []
    names = (RULES, ENDPOINTS, RECORDS)
    for name, version in zip(names, versions, strict=True):
        table = state['tables'][name]
        if not table['complete']:
            continue
        rows = tuple(
            row for row in table['rows'].values() if row.version > version
        )
        age_s = now_s - table['confirmed_s']
        views.append(TableView(name, table['version'], age_s, rows))
    return PeerView(state['settings'].name, tuple(views))


def _is_later_era(version: int, table: Table) -> bool:
    return revisions.find_era(version) > revisions.find_era(table['version'])


def _trust_written(state: ControlState, changed: list[TableRow]) -> None:
    """Trusts primaries whose rows were written in the present era."""
    for row in changed:
        if row.key.startswith(PRIMARY_PREFIX):
            state['trusted'].add(row.key.removeprefix(PRIMARY_PREFIX))


def _merge(state: ControlState, message: TableRows) -> list[TableRow]:
    table = state['tables'][message.table]
    changed: list[TableRow] = []
    seen: set[str] = set()
    for row in message.rows:
        seen.add(row.key)
        known = table['rows'].get(row.key)
        if known is not None and known.version >= row.version:
            continue
        state['held_since_s'].pop(row.key, None)
        changed.append(_choose_row(state, message.table, known, row))
        table['rows'][row.key] = changed[-1]
        table['newest'] = max(table['newest'], row.version)
    if message.complete:
        table['complete'] = True
        changed.extend(_remove_missing(table, seen, message.version))
    return changed


def _choose_row(
    state: ControlState, table: str, known: TableRow | None, row: TableRow
) -> TableRow:
    if known is None:
        return row
    if row.removed:
        # The number in its content orders a removed row after a restore.
        row = row._replace(content=known.content)
    if table == RECORDS:
        return reconciliation.keep_known(state, known, row)
    return row


def _replace_rows(table: Table, message: TableRows) -> list[TableRow]:
    rows = {row.key: row for row in message.rows}
    table['rows'].update(rows)
    versions = [row.version for row in message.rows]
    table['newest'] = max([table['newest'], *versions])
    removed = _remove_missing(table, set(rows), message.version)
    return [*message.rows, *removed]


def _remove_missing(
    table: Table,
    seen: set[str],
    version: int,
) -> list[TableRow]:
    removed: list[TableRow] = []
    for key, known in list(table['rows'].items()):
        if key in seen or known.removed:
            continue
        removal = known._replace(version=version, removed=True)
        table['rows'][key] = removal
        table['newest'] = max(table['newest'], version)
        removed.append(removal)
    return removed


def _apply_row(
    state: ControlState,
    table: str,
    row: TableRow,
    now_s: float,
) -> list[Any]:
    """Applies a row; an unexpected error skips it and not the others.

    All rows of an answer count as known, so a row that was left out by the
    error of another one would never be applied.
    """
    try:
        return _apply_decoded(state, table, row, now_s)
    except Exception as exc:
        return [_log_skipped(table, row, errors.describe_unexpected(exc))]


def _apply_decoded(
    state: ControlState,
    table: str,
    row: TableRow,
    now_s: float,
) -> list[Any]:
    if table == ENDPOINTS:
        return _apply_endpoint(state, row, now_s)
    if table == RULES:
        return _apply_rule(state, row, now_s)
    return _apply_record(state, row, now_s)


def _apply_endpoint(
    state: ControlState, row: TableRow, now_s: float
) -> list[Any]:
    if row.removed:
        return []
    entry = state['decoders'].decode_endpoint(row.key, row.content)
    if entry is None:
        return [_log_unreadable(ENDPOINTS, row)]
    known = state['endpoints'].get(row.key)
    if known is not None and identify(known) != identify(entry):
        state['lost'][identify(known)] = LostEndpoint(known, now_s)
    state['endpoints'][row.key] = entry
    state['lost'].pop(identify(entry), None)
    return []


def _apply_rule(state: ControlState, row: TableRow, now_s: float) -> list[Any]:
    if row.key.startswith(EVACUATION_PREFIX):
        zone = row.key.removeprefix(EVACUATION_PREFIX)
        zones = set(state['evacuated']) - {zone}
        if not row.removed:
            zones.add(zone)
        state['evacuated'] = tuple(sorted(zones))
        return []
    if row.key != RULES_KEY or row.removed:
        return []
    ruleset = state['decoders'].decode_rules(row.content)
    if ruleset is None:
        return [_log_unreadable(RULES, row)]
    if ruleset.version <= state['ruleset'].version:
        return []
    state['ruleset'] = ruleset
    line = LogDecision(
        event='configuration in force',
        outcome=str(ruleset.version),
        age_s=offers.find_age(state, RULES, now_s),
    )
    return [ToTask(RELAY, ruleset), line]


def _apply_record(
    state: ControlState,
    row: TableRow,
    now_s: float,
) -> list[Any]:
    try:
        return _decode_record(state, row, now_s)
    except (codec.FormatError, ValueError, RecursionError):
        # A process of another version may have written it.
        return [_log_unreadable(RECORDS, row)]


def _decode_record(
    state: ControlState,
    row: TableRow,
    now_s: float,
) -> list[Any]:
    if row.key.startswith(HOST_PREFIX):
        name = row.key.removeprefix(HOST_PREFIX)
        _apply_host(state, name, row, now_s)
        return []
    if row.key == LEADER_KEY:
        _apply_leader(state, row, now_s)
        return []
    if row.key == PROGRESS_KEY:
        state['leader_progress_s'] = now_s
    if row.key == ERA_KEY:
        era = codec.parse(EraRecord, _load(row)).era
        reconciliation.confirm_era(state, era)
    if row.key.startswith(TERM_PREFIX):
        service = row.key.removeprefix(TERM_PREFIX)
        state['terms'][service] = codec.parse(TermRecord, _load(row))
    if row.key.startswith(GROUP_PREFIX):
        _apply_group(state, codec.parse(GroupRecord, _load(row)))
    if row.key.startswith(PRIMARY_PREFIX):
        return _apply_primary(state, row, now_s)
    if row.key.startswith(RELEASE_PREFIX) and not row.removed:
        releases = codec.parse(ReleaseRecord, _load(row))
        _apply_releases(state, releases)
    if row.key == USAGE_KEY:
        usage_rows.apply_row(state, row)
    return []


def _apply_primary(
    state: ControlState,
    row: TableRow,
    now_s: float,
) -> list[Any]:
    service = row.key.removeprefix(PRIMARY_PREFIX)
    primary = codec.parse(PrimaryRecord, _load(row))
    known = state['primaries'].get(service)
    state['primaries'][service] = VersionedPrimary(primary, row.version)
    if known is not None and known.record == primary:
        return []
    state['leader_progress_s'] = now_s
    if primary.phase is PrimaryPhase.STABLE:
        state['changing_since_s'].pop(service, None)
    else:
        state['changing_since_s'].setdefault(service, now_s)
    line = LogDecision(
        event=f'primary {primary.phase.name.lower()}',
        database=service,
        endpoint=primary.endpoint,
        outcome=str(primary.change),
        reason=primary.reason,
        age_s=now_s - state['tables'][RECORDS]['confirmed_s'],
    )
    return [line]


def _apply_group(state: ControlState, record: GroupRecord) -> None:
    """Replaces the members of a service, and forgets those left out."""
    former = state['groups'].get(record.service, GroupRecord())
    kept = set(map(identify, record.members))
    for process in map(identify, former.members):
        if process not in kept:
            state['lost'].pop(process, None)
    state['groups'][record.service] = record


def _apply_releases(state: ControlState, record: ReleaseRecord) -> None:
    """Counts the releases that a witness has written, as the leader."""
    failover = state['changes'].get(record.service)
    if failover is not None and failover['number'] == record.change:
        failover['released'].update(record.hosts)


def _apply_host(
    state: ControlState,
    name: str,
    row: TableRow,
    now_s: float,
) -> None:
    if row.removed:
        state['hosts'].pop(name, None)
        state['retired_since_s'].pop(name, None)
        return
    record = codec.parse(HostRecord, _load(row))
    # The row of a host that registers again moves to the end.
    state['hosts'].pop(name, None)
    state['hosts'][name] = record
    if record.retired:
        state['retired_since_s'].setdefault(name, now_s)
    else:
        state['retired_since_s'].pop(name, None)


def _apply_leader(state: ControlState, row: TableRow, now_s: float) -> None:
    record = codec.parse(LeaderRecord, _load(row))
    if record.token != state['duty'].record.token:
        # The time limits for answers restart with a new leader.
        for report in state['reports'].values():
            report['heard_s'] = now_s
            report['next_s'] = now_s
        state['leader_last_response_s'] = 0
        state['leader_progress_s'] = now_s
        state['leader_last_contact_s'] = now_s
        # The claim may have taken effect long after it was sent, and the former
        # leader ordered until then.
        first_s = now_s + state['former_leader_wait_s']
        state['first_order_s'] = max(state['first_order_s'], first_s)
    state['duty'] = VersionedLeader(record, row.version)


def _load(row: TableRow) -> Any:
    return json.loads(row.content)


def _list_hosts(state: ControlState) -> list[Any]:
    own = state['settings'].name
    peers = [
        record for name, record in sorted(state['hosts'].items()) if name != own
    ]
    live = [record for record in peers if not record.retired]
    zone_peers = _list_zone_peers(live, state['settings'].zone)
    zones = {state['settings'].zone, *(record.zone for record in live)}
    updated = HostsUpdated(
        hosts=len(live) + 1,
        peers=tuple(record.name for record in live),
        zone_peers=zone_peers,
        zones=len(zones),
        peer_zones=tuple(record.zone for record in live),
    )
    return [
        ToTask(RELAY, updated),
        ToTask('links', PeerAddresses(tuple(peers))),
    ]


def _list_zone_peers(
    hosts: list[HostRecord],
    zone: str,
) -> tuple[HostAddress, ...]:
    return tuple(
        HostAddress(record.name, record.address)
        for record in hosts
        if record.zone == zone
    )


def _log_unreadable(table: str, row: TableRow) -> LogDecision:
    return _log_skipped(table, row, 'row cannot be decoded')


def _log_skipped(table: str, row: TableRow, reason: str) -> LogDecision:
    return LogDecision(
        event='row skipped',
        outcome=f'{table} {row.key}',
        reason=reason,
    )
