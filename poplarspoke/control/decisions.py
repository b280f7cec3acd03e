"""Decisions of the control task, by the type of the message."""

import functools
from typing import Any

from poplarspoke.control import (
    confirmation,
    duty,
    handover,
    isolation,
    records,
    retirement,
    succession,
    tables,
)
from poplarspoke.control.state import (
    ENDPOINTS,
    RECORDS,
    RULES,
    TABLES,
    AdvanceChange,
    ControlState,
    LeaveDuty,
    NamePrimaries,
    RegisterHost,
    RetireHost,
    TakeDuty,
)
from poplarspoke.generated.common import Tick
from poplarspoke.generated.control import (
    AskConfirmed,
    AskRelease,
    Confirmed,
    EndpointState,
    HostRecord,
    PrimaryPhase,
    PrimaryRecord,
    PromotionAnswered,
    Reach,
    RecordsWritten,
    Released,
    ReportHeard,
    ReportPrimary,
    RowsChanged,
    ShowView,
    TableLost,
    TableRows,
    ViewNeeded,
    ZoneCut,
)
from poplarspoke.generated.relay import (
    EndpointSilent,
    LeaseRevoked,
    LogDecision,
    ShutDown,
)
from poplarspoke.generated.rules import EndpointEntry, EndpointRole
from poplarspoke.tasks import Reply, ToHost, ToTask

# A silence that is not reported again within this has ended.
SILENCE_KEPT_S = 0.6
# The host whose name comes first writes rows that are missing; the others
# follow after this time if it does not.
BOOTSTRAP_S = 0.3
# Registration is repeated after a write without an answer.
REGISTER_AGAIN_S = 0.5
# Readers confirm the records within 2 s, and are asked each second.
OVERDUE_S = 4.0
VIEW_AGAIN_S = 0.5
# Rules that were confirmed this long ago may have been replaced.
READY_S = 10.0


@functools.singledispatch
def decide(message: Any, state: ControlState, now_s: float) -> list[Any]:
    """Returns what follows from a message; changes the state in place."""
    raise TypeError(f'{type(message).__name__} is no message of the control')


@decide.register
def _(message: TableRows, state: ControlState, now_s: float) -> list[Any]:
    if not message.relayed:
        state['store_heard_s'] = now_s
    before = confirmation.list_newest(state)
    outgoing = tables.apply_rows(state, message, now_s)
    outgoing.extend(confirmation.tell_news(state, before))
    outgoing.extend(duty.drop_changes(state, now_s))
    for change in list(state['changes'].values()):
        outgoing.extend(
            handover.advance(change['step'], state, change, now_s),
        )
    return outgoing


@decide.register
def _(message: TableLost, state: ControlState, now_s: float) -> list[Any]:
    line = LogDecision(
        event='watch lost',
        outcome=message.table,
        reason=message.reason,
        age_s=now_s - state['tables'][message.table]['confirmed_s'],
    )
    return [line]


@decide.register
def _(message: Tick, state: ControlState, now_s: float) -> list[Any]:
    outgoing: list[Any] = []
    if state['absent_since_s']:
        outgoing.extend(tables.list_endpoints(state, now_s))
    for endpoint, heard_s in list(state['silent'].items()):
        if now_s - heard_s > SILENCE_KEPT_S:
            state['silent'].pop(endpoint)
    checks = (
        confirmation.check,
        isolation.check,
        _ask_views,
        _register,
        _name_primaries,
        succession.check,
        retirement.check,
        duty.check,
    )
    for check in checks:
        outgoing.extend(check(state, now_s))
    for change in list(state['changes'].values()):
        outgoing.extend(
            handover.advance(change['step'], state, change, now_s),
        )
    state['ready'] = _is_ready(state, now_s)
    return outgoing


@decide.register
def _(message: RecordsWritten, state: ControlState, now_s: float) -> list[Any]:
    purpose = state['writes'].pop(message.correlation, None)
    outgoing: list[Any] = []
    if message.known and message.rows:
        newer = TableRows(
            table=RECORDS,
            rows=message.rows,
            version=state['tables'][RECORDS]['version'],
        )
        outgoing.extend(tables.apply_rows(state, newer, now_s))
        outgoing.extend(duty.drop_changes(state, now_s))
    outgoing.extend(take_write(purpose, state, message, now_s))
    return outgoing


@decide.register
def _(message: EndpointSilent, state: ControlState, now_s: float) -> list[Any]:
    state['silent'][message.endpoint] = now_s
    return []


@decide.register
def _(message: ReportPrimary, state: ControlState, now_s: float) -> list[Any]:
    return duty.take_report(state, message, now_s)


@decide.register
def _(message: AskConfirmed, state: ControlState, now_s: float) -> list[Any]:
    retirement.hear(state, message.sender, now_s)
    return [confirmation.answer(state, message, now_s)]


@decide.register
def _(message: Confirmed, state: ControlState, now_s: float) -> list[Any]:
    retirement.hear(state, message.sender, now_s)
    succession.hear(state, message, now_s)
    return confirmation.take(state, message, now_s)


@decide.register
def _(message: RowsChanged, state: ControlState, now_s: float) -> list[Any]:
    return confirmation.take_news(state, message, now_s)


@decide.register
def _(message: ZoneCut, state: ControlState, now_s: float) -> list[Any]:
    return isolation.take_hint(state, message, now_s)


@decide.register
def _(message: ReportHeard, state: ControlState, now_s: float) -> list[Any]:
    duty.take_heard(state, message, now_s)
    return []


@decide.register
def _(message: AskRelease, state: ControlState, now_s: float) -> list[Any]:
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
    return handover.take_release(state, message, now_s)


@decide.register
def _(message: Reach, state: ControlState, now_s: float) -> list[Any]:
    duty.take_reach(state, message)
    return []


@decide.register
def _(message: EndpointState, state: ControlState, now_s: float) -> list[Any]:
    duty.take_probe(state, message)
    return handover.take_state(state, message, now_s)


@decide.register
def _(
    message: PromotionAnswered, state: ControlState, now_s: float
) -> list[Any]:
    return handover.take_order(state, message, now_s)


@decide.register
def _(message: ShowView, state: ControlState, now_s: float) -> list[Any]:
    view = tables.show_view(state, message, now_s)
    return [Reply(message.request_id, view)]


@decide.register
def _(message: ShutDown, state: ControlState, now_s: float) -> list[Any]:
    state['leaving'] = True
    state['ready'] = False
    return [*duty.leave(state), ToTask(tables.RELAY, message)]


@functools.singledispatch
def take_write(
    purpose: Any,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    """Handles the outcome of a write; the purpose decides how."""
    return []


@take_write.register
def _(
    purpose: AdvanceChange,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    return handover.take_write(state, purpose.service, written, now_s)


@take_write.register
def _(
    purpose: TakeDuty | LeaveDuty | RegisterHost | RetireHost | NamePrimaries,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    line = LogDecision(
        event='row written' if written.accepted else 'row not written',
        outcome=type(purpose).__name__,
        reason='' if written.known else 'no answer',
    )
    return [line]


def _register(state: ControlState, now_s: float) -> list[Any]:
    settings = state['settings']
    if not state['tables'][RECORDS]['complete'] or state['leaving']:
        return []
    address = f'{settings.ip}:{settings.peer_port}'
    known = state['hosts'].get(settings.name)
    same = known is not None and known.address == address
    if known is not None and same and not known.retired:
        return []
    if now_s < state['register_s']:
        return []
    state['register_s'] = now_s + REGISTER_AGAIN_S
    record = HostRecord(
        settings.name,
        settings.zone,
        address,
        settings.control_address,
        state['incarnation'],
    )
    write = records.write_host(state, record)
    return [records.write(state, RegisterHost(), write)]


def _name_primaries(state: ControlState, now_s: float) -> list[Any]:
    """Writes the rows of primaries that the endpoints agree on."""
    named = [
        entry
        for entry in state['endpoints'].values()
        if entry.service not in state['primaries']
        and _is_only_primary(state, entry)
    ]
    names = sorted(state['hosts'])
    own = state['settings'].name
    if not named or own not in names or state['leaving']:
        state['bootstrap_s'] = 0
        return []
    if not state['bootstrap_s']:
        rank = names.index(own)
        state['bootstrap_s'] = now_s + (rank + 1) * BOOTSTRAP_S
    if now_s < state['bootstrap_s']:
        return []
    state['bootstrap_s'] = now_s + len(names) * BOOTSTRAP_S
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
    return [records.write(state, NamePrimaries(), *writes)]


def _is_only_primary(state: ControlState, entry: EndpointEntry) -> bool:
    leaders = [
        other.endpoint
        for other in state['endpoints'].values()
        if other.service == entry.service and other.role is EndpointRole.PRIMARY
    ]
    return leaders == [entry.endpoint]


def _ask_views(state: ControlState, now_s: float) -> list[Any]:
    """Asks a peer for its view while the store does not answer."""
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    if now_s - confirmed_s < OVERDUE_S or now_s < state['view_s']:
        return []
    state['view_s'] = now_s + VIEW_AGAIN_S
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
    asked = state['rng'].sample(addresses, min(2, len(addresses)))
    versions = [state['tables'][name]['version'] for name in TABLES]
    request = ShowView('', *versions)
    return [ToTask('views', ViewNeeded(tuple(asked), request))]


def _is_ready(state: ControlState, now_s: float) -> bool:
    if state['leaving'] or not state['ruleset'].version:
        return False
    if not isolation.is_ready(state):
        return False
    for name in (RULES, ENDPOINTS):
        if not state['tables'][name]['complete']:
            return False
    return now_s - state['tables'][RECORDS]['confirmed_s'] < READY_S
