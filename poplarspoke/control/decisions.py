"""Decisions of the control task, dispatched on the type of the message."""

import functools
from typing import Any

from poplarspoke.control import (
    confirmation,
    failover,
    groups,
    isolation,
    leadership,
    offers,
    reconciliation,
    records,
    releases,
    restoration,
    retirement,
    revisions,
    succession,
    tables,
    usage,
    writes,
)
from poplarspoke.control.state import (
    ENDPOINTS,
    HOST_PREFIX,
    RECORDS,
    RULES,
    TABLES,
    ControlState,
    RecordFirstPrimaries,
    RegisterHost,
)
from poplarspoke.generated.common import Tick
from poplarspoke.generated.control import (
    Confirmation,
    EndpointState,
    EraRecord,
    HostRecord,
    PrimaryPhase,
    PrimaryRecord,
    PromotionAnswered,
    QueryConfirmation,
    Reachability,
    RecordsWritten,
    Released,
    ReportAnswered,
    ReportPrimary,
    RequestRelease,
    RowsChanged,
    ShowView,
    TableReadFailed,
    TableRows,
    ViewAnswered,
    ViewNeeded,
    WatchReplaced,
    ZoneCut,
)
from poplarspoke.generated.relay import (
    EndpointUnresponsive,
    LeaseRevoked,
    LogDecision,
    ShutDown,
)
from poplarspoke.generated.rules import EndpointEntry, EndpointRole
from poplarspoke.tasks import Reply, ToHost, ToTask

# An endpoint counts as responsive if it is not reported again within this time.
UNRESPONSIVE_TTL_S = 0.6
# Hosts write missing rows of first primaries in the order of their names, this
# long apart, so that the others follow if the first host does not.
BOOTSTRAP_DELAY_S = 0.3
# Backoff after a registration, whose write may have been lost.
REGISTRATION_BACKOFF_S = 0.5
# Zone watchers confirm the records within 2 s and are queried each second;
# without a confirmation for this long, views are requested from peers.
VIEW_AFTER_S = 4.0
VIEW_BACKOFF_S = 0.5
# Rules whose last confirmation is older than this may have been replaced.
MAX_CONFIRMATION_AGE_S = 10.0


@functools.singledispatch
def decide(message: Any, state: ControlState, now_s: float) -> list[Any]:
    """Returns the resulting messages; updates the state in place."""
    raise TypeError(
        f'the control task has no handler for {type(message).__name__}'
    )


@decide.register
def _(message: TableRows, state: ControlState, now_s: float) -> list[Any]:
    if not message.relayed:
        state['store_last_response_s'] = now_s
    before = offers.find_versions(state)
    era = revisions.find_era(state['tables'][RECORDS]['version'])
    outgoing = tables.apply_rows(state, message, now_s)
    offers.update(state)
    if revisions.find_era(state['tables'][RECORDS]['version']) > era:
        # Conditions of pending writes name rows of the era before.
        state['writes'].clear()
        outgoing.extend(leadership.abandon_all(state, now_s))
    outgoing.extend(confirmation.notify_zone(state, before, now_s))
    outgoing.extend(leadership.abandon_failovers(state, now_s))
    for ongoing in list(state['changes'].values()):
        outgoing.extend(
            failover.advance(ongoing['step'], state, ongoing, now_s),
        )
    return outgoing


@decide.register
def _(message: TableReadFailed, state: ControlState, now_s: float) -> list[Any]:
    state['store_failed_s'] = now_s
    line = LogDecision(
        event='table read failed',
        outcome=message.table,
        reason=message.reason,
        age_s=now_s - state['tables'][message.table]['confirmed_s'],
    )
    return [line]


@decide.register
def _(message: ViewAnswered, state: ControlState, now_s: float) -> list[Any]:
    return offers.handle_answer(state, message, now_s)


@decide.register
def _(message: WatchReplaced, state: ControlState, now_s: float) -> list[Any]:
    version = revisions.find_version(message.version)
    line = LogDecision(
        event='watch restarted',
        outcome=message.table,
        reason=f'no answer although rows changed after version {version}',
    )
    return [line]


@decide.register
def _(message: Tick, state: ControlState, now_s: float) -> list[Any]:
    outgoing: list[Any] = []
    if state['absent_since_s']:
        outgoing.extend(tables.list_endpoints(state, now_s))
    outgoing.extend(tables.expire_held_rows(state, now_s))
    for endpoint, reported_s in list(state['silent'].items()):
        if now_s - reported_s > UNRESPONSIVE_TTL_S:
            state['silent'].pop(endpoint)
    checks = (
        confirmation.check,
        isolation.check,
        isolation.check_contact,
        confirmation.check_releases,
        _request_views,
        _register_host,
        restoration.check,
        _record_first_primaries,
        succession.check,
        retirement.check,
        leadership.check,
        leadership.report_progress,
        groups.check,
        usage.check,
        offers.check,
    )
    for check in checks:
        outgoing.extend(check(state, now_s))
    for ongoing in list(state['changes'].values()):
        outgoing.extend(
            failover.advance(ongoing['step'], state, ongoing, now_s),
        )
    state['ready'] = _is_ready(state, now_s)
    return outgoing


@decide.register
def _(message: RecordsWritten, state: ControlState, now_s: float) -> list[Any]:
    purpose = state['writes'].pop(message.correlation, None)
    if message.known:
        # A leader whose claim was answered reaches the store, although its first
        # watch has not been answered yet.
        state['store_last_response_s'] = now_s
    outgoing: list[Any] = []
    era = revisions.find_era(state['tables'][RECORDS]['version'])
    if revisions.find_era(message.version) > era:
        # Its rows are applied when the restored table has been read.
        message = RecordsWritten(message.correlation)
    if message.known and message.rows:
        newer = TableRows(
            table=RECORDS,
            rows=message.rows,
            version=state['tables'][RECORDS]['version'],
        )
        outgoing.extend(tables.apply_rows(state, newer, now_s))
        outgoing.extend(leadership.abandon_failovers(state, now_s))
    outgoing.extend(writes.handle(purpose, state, message, now_s))
    return outgoing


@decide.register
def _(
    message: EndpointUnresponsive, state: ControlState, now_s: float
) -> list[Any]:
    state['silent'][message.endpoint] = now_s
    return []


@decide.register
def _(message: ReportPrimary, state: ControlState, now_s: float) -> list[Any]:
    return leadership.handle_report(state, message, now_s)


@decide.register
def _(
    message: QueryConfirmation, state: ControlState, now_s: float
) -> list[Any]:
    retirement.record_contact(state, message.sender, now_s)
    return confirmation.handle_query(state, message, now_s)


@decide.register
def _(message: Confirmation, state: ControlState, now_s: float) -> list[Any]:
    if message.asked_s > now_s:
        # The boot clock starts at 0 when a machine restarts. A lease that is
        # counted from a time of the former boot would not expire.
        line = LogDecision(
            event='answer dropped',
            outcome=message.sender,
            reason='it answers a query from before this machine restarted',
        )
        return [line]
    retirement.record_contact(state, message.sender, now_s)
    succession.record_answer(state, message, now_s)
    return confirmation.handle_answer(state, message, now_s)


@decide.register
def _(message: RowsChanged, state: ControlState, now_s: float) -> list[Any]:
    return confirmation.handle_update(state, message, now_s)


@decide.register
def _(message: ZoneCut, state: ControlState, now_s: float) -> list[Any]:
    return isolation.handle_notification(state, message, now_s)


@decide.register
def _(message: ReportAnswered, state: ControlState, now_s: float) -> list[Any]:
    leadership.handle_report_answer(state, message, now_s)
    return []


@decide.register
def _(message: RequestRelease, state: ControlState, now_s: float) -> list[Any]:
    number = max(state['released'].get(message.service, 0), message.change)
    state['released'][message.service] = number
    own = state['settings'].name
    released = Released(
        own, message.service, message.change, state['incarnation']
    )
    # The relay handles the revocation before the answer is sent.
    return [
        ToTask(tables.RELAY, LeaseRevoked(message.service)),
        ToHost(message.sender, released),
    ]


@decide.register
def _(message: Released, state: ControlState, now_s: float) -> list[Any]:
    releases.record_release(state, message)
    return failover.handle_release(state, message, now_s)


@decide.register
def _(message: Reachability, state: ControlState, now_s: float) -> list[Any]:
    leadership.record_reach(state, message)
    return []


@decide.register
def _(message: EndpointState, state: ControlState, now_s: float) -> list[Any]:
    leadership.record_probe(state, message)
    groups.record_answer(state, message)
    return failover.handle_endpoint_state(state, message, now_s)


@decide.register
def _(
    message: PromotionAnswered, state: ControlState, now_s: float
) -> list[Any]:
    return failover.handle_promotion_answer(state, message, now_s)


@decide.register
def _(message: usage.Message, state: ControlState, now_s: float) -> list[Any]:
    return usage.handle(message, state, now_s)


@decide.register
def _(message: ShowView, state: ControlState, now_s: float) -> list[Any]:
    view = tables.create_view(state, message, now_s)
    return [Reply(message.request_id, view)]


@decide.register
def _(message: ShutDown, state: ControlState, now_s: float) -> list[Any]:
    state['leaving'] = True
    state['ready'] = False
    return [*leadership.resign(state, now_s), ToTask(tables.RELAY, message)]


def _register_host(state: ControlState, now_s: float) -> list[Any]:
    settings = state['settings']
    if not state['tables'][RECORDS]['complete'] or state['leaving']:
        return []
    address = f'{settings.ip}:{settings.peer_port}'
    known = state['hosts'].get(settings.name)
    same = known is not None and known.address == address
    is_lost = HOST_PREFIX + settings.name in state['unwritten']
    if known is not None and same and not known.retired and not is_lost:
        return []
    if now_s < state['next_registration_s']:
        return []
    state['next_registration_s'] = now_s + REGISTRATION_BACKOFF_S
    record = HostRecord(
        settings.name,
        settings.zone,
        address,
        settings.control_address,
        state['incarnation'],
    )
    write = records.write_host(state, record)
    return [records.write(state, RegisterHost(), write)]


def _record_first_primaries(state: ControlState, now_s: float) -> list[Any]:
    """Writes first primaries for services with exactly one primary."""
    named = [
        entry
        for entry in state['endpoints'].values()
        if entry.service not in state['primaries']
        and _is_only_primary(state, entry)
    ]
    names = sorted(state['hosts'])
    own = state['settings'].name
    if not named or own not in names or state['leaving']:
        state['next_bootstrap_s'] = 0
        return []
    if not state['next_bootstrap_s']:
        rank = names.index(own)
        state['next_bootstrap_s'] = now_s + (rank + 1) * BOOTSTRAP_DELAY_S
    if now_s < state['next_bootstrap_s']:
        return []
    state['next_bootstrap_s'] = now_s + len(names) * BOOTSTRAP_DELAY_S
    writes = [
        records.write_primary(
            PrimaryRecord(
                service=entry.service,
                endpoint=entry.endpoint,
                phase=PrimaryPhase.STABLE,
                change=1,
                reason='first primary',
            ),
            0,
        )
        for entry in named
    ]
    if not state['primaries'] and not reconciliation.is_confirmed(state):
        # No earlier era has had a primary, so no record of one is lost.
        era = revisions.find_era(state['tables'][RECORDS]['version'])
        writes.append(records.write_era(state, EraRecord(era)))
    return [records.write(state, RecordFirstPrimaries(), *writes)]


def _is_only_primary(state: ControlState, entry: EndpointEntry) -> bool:
    primaries = [
        other.endpoint
        for other in state['endpoints'].values()
        if other.service == entry.service and other.role is EndpointRole.PRIMARY
    ]
    return primaries == [entry.endpoint]


def _request_views(state: ControlState, now_s: float) -> list[Any]:
    """Requests the views of peers while the records are not confirmed."""
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    if now_s - confirmed_s < VIEW_AFTER_S or now_s < state['next_view_s']:
        return []
    state['next_view_s'] = now_s + VIEW_BACKOFF_S
    own = state['settings'].control_address
    addresses = [
        host.control_address
        for host in state['hosts'].values()
        if host.control_address != own
    ]
    if not addresses:
        addresses = [seed for seed in state['settings'].seeds if seed != own]
    if not addresses:
        return []
    chosen = state['rng'].sample(addresses, min(2, len(addresses)))
    versions = [state['tables'][name]['version'] for name in TABLES]
    request = ShowView('', *versions)
    return [ToTask('views', ViewNeeded(tuple(chosen), request))]


def _is_ready(state: ControlState, now_s: float) -> bool:
    if state['leaving'] or not state['ruleset'].version:
        return False
    if not isolation.is_ready(state):
        return False
    for name in (RULES, ENDPOINTS):
        if not state['tables'][name]['complete']:
            return False
    return (
        now_s - state['tables'][RECORDS]['confirmed_s'] < MAX_CONFIRMATION_AGE_S
    )
