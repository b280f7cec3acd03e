"""The steps of one change of primary, carried out by the duty's holder.

1. Claim: the primary's row says that it changes, under the condition that the
   row and the duty are unchanged. No host renews its lease from then on.
2. Release: each registered host gives up its lease. A host that does not
   answer is waited for until its lease must have ended.
3. Choice: the old primary is demoted if it answers; the endpoint with the
   longest log takes over. After a planned change that is all that the old
   primary has acknowledged.
4. Order: the candidate is written, again under the condition that the duty is
   unchanged, and the platform is told to promote it.
5. Record: once the candidate says that it leads, its row is written and hosts
   take leases on it.
"""

import functools
from typing import Any

from poplarspoke.control import records
from poplarspoke.control.state import (
    RECORDS,
    AdvanceChange,
    Change,
    Choosing,
    Claiming,
    Confirming,
    ControlState,
    Naming,
    Ordering,
    Recording,
    Releasing,
    Step,
)
from poplarspoke.control.tables import LEASE_S, RELAY
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import (
    AskRelease,
    EndpointState,
    OrderPromotion,
    PrimaryPhase,
    PrimaryRecord,
    PromotionAnswered,
    QueryEndpoint,
    RecordsWritten,
    Released,
)
from poplarspoke.generated.relay import LeaseRevoked, LogDecision
from poplarspoke.generated.rules import EndpointRole
from poplarspoke.tasks import Outgoing, ToHost, ToStore, ToTask

# A lease is judged by the clock of its host, which may run slightly slower.
LEASE_MARGIN_S = 0.2
# Datagrams may be lost; a round trip between zones takes 3 ms.
ASK_AGAIN_S = 0.15
# Endpoints that do not answer within this are left out of the choice.
CHOICE_S = 0.5
# A planned change waits so long for a replica to have the whole log.
CATCH_UP_S = 2.5
# An order is sent only so soon after its write was sent, so that a new holder
# of the duty knows when the old one can no longer order.
ORDER_S = 1.0
# A promotion takes 0.3 s to 1 s.
CONFIRM_S = 6.0
CONFIRM_AGAIN_S = 0.1
HTTP_OK = 200
HTTP_CONFLICT = 409
# Reasons under which the old primary still runs and has the whole log.
PLANNED = frozenset(('draining', 'zone evacuated'))


def start(
    state: ControlState,
    service: str,
    reason: str,
    now_s: float,
) -> list[Any]:
    """Claims a change of primary."""
    known = state['primaries'][service]
    change = Change(
        service=service,
        old=known.record.endpoint,
        reason=reason,
        number=known.record.change + 1,
        step=Claiming(),
        started_s=now_s,
        claimed_s=0,
        claim_version=0,
        released=set(),
        states={},
        candidate=known.record.candidate,
        excluded=set(),
        demote_term=0,
        term=known.record.term,
    )
    state['changes'][service] = change
    return [
        _log(change, 'change of primary claimed', now_s),
        _write_row(state, change, PrimaryPhase.CHANGING),
    ]


@functools.singledispatch
def advance(
    step: Any,
    state: ControlState,
    change: Change,
    now_s: float,
) -> list[Any]:
    """Acts on a change when time has passed; the step decides how."""
    return []


@advance.register
def _(
    step: Releasing, state: ControlState, change: Change, now_s: float
) -> list[Any]:
    if state['tables'][RECORDS]['version'] < change['claim_version']:
        return []
    unanswered = set(state['hosts']) - change['released']
    missing = {
        name
        for name in unanswered
        if now_s < _end_lease(state, change, name, now_s)
    }
    own = state['settings'].name
    if own in missing:
        change['released'].add(own)
        state['released'][change['service']] = change['number']
        revoked = ToTask(RELAY, LeaseRevoked(change['service']))
        return [revoked, *advance(step, state, change, now_s)]
    if not missing:
        state['unanswered'].update(unanswered)
        names = ','.join(sorted(unanswered)) or 'none'
        line = _log(
            change,
            'primary released',
            now_s,
            f'hosts without an answer: {names}',
        )
        choosing = Choosing(now_s, now_s)
        _enter(change, choosing)
        return [line, *advance(choosing, state, change, now_s)]
    if now_s < step.next_s:
        return []
    _enter(change, Releasing(now_s + ASK_AGAIN_S))
    request = AskRelease(own, change['service'], change['number'])
    outgoing: list[Any] = [ToHost(host, request) for host in sorted(missing)]
    if change['reason'] not in PLANNED:
        outgoing.extend(_query(state, change, change['old'], 0))
    return outgoing


@advance.register
def _(
    step: Choosing, state: ControlState, change: Change, now_s: float
) -> list[Any]:
    waited_s = now_s - step.since_s
    chosen = _choose(state, change, waited_s)
    if chosen and now_s >= state['duty_wait_s']:
        change['candidate'] = chosen
        _enter(change, Naming(now_s))
        return [_write_row(state, change, PrimaryPhase.CHANGING)]
    if now_s < step.next_s:
        return []
    _enter(change, Choosing(step.since_s, now_s + ASK_AGAIN_S))
    return _query_all(state, change)


@advance.register
def _(
    step: Ordering, state: ControlState, change: Change, now_s: float
) -> list[Any]:
    if now_s < step.next_s:
        return []
    if now_s - step.since_s > CONFIRM_S:
        return _choose_again(state, change, now_s, 'no answer to the order')
    # The duty is proved again before each order.
    _enter(change, Naming(now_s))
    return [_write_row(state, change, PrimaryPhase.CHANGING)]


@advance.register
def _(
    step: Confirming, state: ControlState, change: Change, now_s: float
) -> list[Any]:
    if now_s - step.since_s > CONFIRM_S:
        return _choose_again(state, change, now_s, 'it did not lead in time')
    if now_s < step.next_s:
        return []
    _enter(change, Confirming(step.since_s, now_s + CONFIRM_AGAIN_S))
    return _query(state, change, change['candidate'], 0)


def _end_lease(
    state: ControlState,
    change: Change,
    host: str,
    now_s: float,
) -> float:
    """Returns when a host that does not answer has no lease any more."""
    # An earlier holder may have claimed the change before.
    since_s = state['changing_since_s'].get(change['service'], now_s)
    last_s = min(change['claimed_s'], since_s)
    # A retired host could not renew its leases since it was marked.
    last_s = min(last_s, state['retired_since_s'].get(host, last_s))
    return last_s + LEASE_S + LEASE_MARGIN_S


def take_release(
    state: ControlState,
    message: Released,
    now_s: float,
) -> list[Any]:
    """Notes that a host has given up the old primary."""
    change = state['changes'].get(message.service)
    if change is None or change['number'] != message.change:
        return []
    change['released'].add(message.sender)
    state['unanswered'].discard(message.sender)
    return advance(change['step'], state, change, now_s)


def take_state(
    state: ControlState,
    message: EndpointState,
    now_s: float,
) -> list[Any]:
    """Notes the log of an endpoint, or that a candidate leads."""
    change = state['changes'].get(message.service)
    if change is None or not message.answered:
        return []
    change['states'][message.endpoint] = message
    step = change['step']
    if isinstance(step, Releasing):
        return _keep_old(state, change, message, now_s)
    if not isinstance(step, Confirming):
        return advance(step, state, change, now_s)
    if message.endpoint != change['candidate'] or not _leads(change, message):
        return []
    change['term'] = message.term
    _enter(change, Recording())
    return [_write_row(state, change, PrimaryPhase.STABLE)]


def _keep_old(
    state: ControlState,
    change: Change,
    message: EndpointState,
    now_s: float,
) -> list[Any]:
    """Ends a change whose old primary answers again before its release."""
    leads = message.role is EndpointRole.PRIMARY
    if message.endpoint != change['old'] or not leads:
        return []
    entry = state['endpoints'].get(change['old'])
    if entry is None or entry.draining or change['candidate']:
        return []
    change['candidate'] = change['old']
    _enter(change, Recording())
    return [
        _log(change, 'old primary kept', now_s),
        _write_row(state, change, PrimaryPhase.STABLE),
    ]


def take_order(
    state: ControlState,
    message: PromotionAnswered,
    now_s: float,
) -> list[Any]:
    """Handles the platform's answer to an order."""
    change = state['changes'].get(message.service)
    if change is None or change['candidate'] != message.endpoint:
        return []
    step = change['step']
    if not isinstance(step, Ordering):
        return []
    line = _log(
        change,
        'promotion answered',
        now_s,
        f'{message.endpoint}: {message.status}',
    )
    if message.status == HTTP_OK:
        _enter(change, Confirming(now_s, now_s + CONFIRM_AGAIN_S))
        return [line]
    if message.status == HTTP_CONFLICT:
        change['excluded'].add(message.endpoint)
        again = _choose_again(state, change, now_s, 'it is not running')
        return [line, *again]
    _enter(change, Ordering(step.since_s, now_s + ASK_AGAIN_S))
    return [line]


def take_write(
    state: ControlState,
    service: str,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    """Goes on after a write of the primary's row."""
    change = state['changes'].get(service)
    if change is None:
        return []
    if not written.accepted:
        # Another host has changed a row, or no answer came: what the rows
        # say decides, and the reason for the change is judged again.
        state['changes'].pop(service)
        return [log_drop(change, now_s)]
    return _go_on(change['step'], state, change, written, now_s)


@functools.singledispatch
def _go_on(
    step: Any,
    state: ControlState,
    change: Change,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    return []


@_go_on.register
def _(
    step: Claiming,
    state: ControlState,
    change: Change,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    change['claimed_s'] = now_s
    change['claim_version'] = written.version
    releasing = Releasing(now_s)
    _enter(change, releasing)
    return advance(releasing, state, change, now_s)


@_go_on.register
def _(
    step: Naming,
    state: ControlState,
    change: Change,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    if now_s - step.sent_s > ORDER_S:
        _enter(change, Naming(now_s))
        return [_write_row(state, change, PrimaryPhase.CHANGING)]
    _enter(change, Ordering(now_s, now_s + CONFIRM_S))
    order = OrderPromotion(
        change['service'],
        change['candidate'],
        state['settings'].name,
        state['duty'].record.token,
    )
    line = _log(change, 'promotion ordered', now_s, change['candidate'])
    return [line, ToStore(order)]


@_go_on.register
def _(
    step: Recording,
    state: ControlState,
    change: Change,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    state['changes'].pop(change['service'])
    return [_log(change, 'change of primary done', now_s)]


def log_drop(change: Change, now_s: float) -> LogDecision:
    """Returns the log line of a change that this host gives up."""
    return _log(change, 'change of primary dropped', now_s)


def _enter(change: Change, step: Step) -> None:
    change['step'] = step


def _write_row(
    state: ControlState,
    change: Change,
    phase: PrimaryPhase,
) -> ToStore:
    service = change['service']
    stable = phase is PrimaryPhase.STABLE
    record = PrimaryRecord(
        service=service,
        endpoint=change['candidate'] if stable else change['old'],
        phase=phase,
        change=change['number'],
        candidate='' if stable else change['candidate'],
        reason=change['reason'],
        term=change['term'],
    )
    known = state['primaries'][service]
    return records.write(
        state,
        AdvanceChange(service),
        records.require_duty(state['duty'].version),
        records.write_primary(record, known.version),
    )


def _query_all(state: ControlState, change: Change) -> list[Any]:
    outgoing: list[Any] = []
    for name, entry in state['endpoints'].items():
        if entry.service != change['service'] or name in change['excluded']:
            continue
        demote_term = 0
        if name == change['old']:
            # It must not go on as a primary; its answer has its whole log.
            terms = [known.term for known in change['states'].values()]
            demote_term = max(terms, default=0) + 1 if terms else 0
            change['demote_term'] = demote_term
        outgoing.extend(_query(state, change, name, demote_term))
    return outgoing


def _query(
    state: ControlState,
    change: Change,
    endpoint: str,
    demote_term: int,
) -> list[Outgoing]:
    entry = state['endpoints'].get(endpoint)
    if entry is None:
        return []
    query = QueryEndpoint(
        change['service'], endpoint, entry.address, demote_term
    )
    return [ToTask('endpoints', query)]


def _choose(state: ControlState, change: Change, waited_s: float) -> str:
    """Returns the endpoint to promote, empty while it is too early."""
    best = ''
    best_log = Position()
    for name in _list_candidates(state, change):
        known = change['states'][name]
        if _leads(change, known):
            return name
        if not best or known.received > best_log:
            best = name
            best_log = known.received
    if not best:
        return ''
    old = change['states'].get(change['old'])
    if old is not None and change['demote_term'] and waited_s < CATCH_UP_S:
        return best if best_log >= old.received else ''
    if waited_s < CHOICE_S and not _is_complete(state, change):
        return ''
    return best


def _leads(change: Change, known: EndpointState) -> bool:
    """Returns whether an endpoint leads a newer term than the old primary.

    A superseded primary that nobody could demote still says that it leads.
    """
    if known.role is not EndpointRole.PRIMARY:
        return False
    return known.term > change['term']


def _list_candidates(state: ControlState, change: Change) -> list[str]:
    names: list[str] = []
    for name in change['states'].keys() - change['excluded']:
        entry = state['endpoints'].get(name)
        if entry is None or name == change['old'] or entry.draining:
            continue
        if entry.zone not in state['evacuated']:
            names.append(name)
    return sorted(names)


def _is_complete(state: ControlState, change: Change) -> bool:
    if change['reason'] in PLANNED:
        return False
    for name, entry in state['endpoints'].items():
        if entry.service != change['service'] or name == change['old']:
            continue
        if name not in change['states'] and name not in change['excluded']:
            return False
    return True


def _choose_again(
    state: ControlState,
    change: Change,
    now_s: float,
    reason: str,
) -> list[Any]:
    line = _log(change, 'candidate given up', now_s, reason)
    change['excluded'].add(change['candidate'])
    others = [
        name
        for name, entry in state['endpoints'].items()
        if entry.service == change['service']
        and name not in change['excluded']
        and name != change['old']
    ]
    if not others:
        change['excluded'].clear()
    change['candidate'] = ''
    change['states'].clear()
    _enter(change, Choosing(now_s, now_s))
    return [line]


def _log(
    change: Change,
    event: str,
    now_s: float,
    detail: str = '',
) -> LogDecision:
    return LogDecision(
        event=event,
        database=change['service'],
        endpoint=change['old'],
        outcome=detail or str(change['number']),
        reason=change['reason'],
        age_s=now_s - change['started_s'],
    )
