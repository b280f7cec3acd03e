"""Steps of a failover, carried out by the leader.

1. Claim: the leader marks the primary's row as changing, under the condition
   that this row and the leader lease are unchanged. From then on no host renews
   its primary lease.
2. Release: each registered host releases its primary lease. For a host that
   does not answer, the leader waits until its lease must have expired; once a
   majority of the zones has released the primary, that is soon (``contact``).
3. Choice: the old primary is demoted if it answers, and the endpoints are
   queried; ``candidates`` chooses one of them.
4. Order: the leader writes the candidate to the row, again under the condition
   that the leader lease is unchanged, and orders the platform to promote it.
5. Record: once the candidate reports that it is the primary, the leader writes
   it to the row, and hosts take primary leases on it.
"""

import functools
from typing import Any

from poplarspoke.control import (
    candidates,
    contact,
    members,
    records,
    revisions,
)
from poplarspoke.control.state import (
    LEASE_MARGIN_S,
    PRIMARY_LEASE_S,
    RECORDS,
    AdvanceFailover,
    ClaimingFailover,
    ConfirmingPromotion,
    ControlState,
    Failover,
    NominatingCandidate,
    OrderingPromotion,
    RecordingPrimary,
    ReleasingLeases,
    SelectingCandidate,
    Step,
)
from poplarspoke.control.tables import RELAY
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import (
    EndpointState,
    OrderPromotion,
    PrimaryPhase,
    PrimaryRecord,
    PromotionAnswered,
    RecordsWritten,
    Released,
    RequestRelease,
    TermRecord,
)
from poplarspoke.generated.relay import LeaseRevoked, LogDecision
from poplarspoke.generated.rules import EndpointRole
from poplarspoke.tasks import ToHost, ToStore, ToTask

# Datagrams may be lost; a round trip between zones takes 3 ms.
QUERY_INTERVAL_S = 0.15
# An order is sent only within this time after its write was sent.
MAX_ORDER_DELAY_S = 1.0
# An order is withdrawn this long after its write was sent, so that a new leader
# knows when those of the former one can no longer reach the platform.
ORDER_LIFETIME_S = 2.0
# A promotion takes 0.3 s to 1 s.
CONFIRM_TIMEOUT_S = 6.0
CONFIRM_INTERVAL_S = 0.1
HTTP_OK = 200
HTTP_CONFLICT = 409


def start(
    state: ControlState,
    service: str,
    reason: str,
    now_s: float,
) -> list[Any]:
    """Starts a failover by claiming it."""
    known = state['primaries'][service]
    number = revisions.find_next_number(
        known.record.change, state['tables'][RECORDS]['version']
    )
    failover = Failover(
        service=service,
        old=known.record.endpoint,
        reason=reason,
        number=number,
        step=ClaimingFailover(),
        started_s=now_s,
        claimed_s=0,
        claim_version=0,
        released=set(),
        majority_released_s=0,
        states={},
        unchanged_since_s={},
        awaited='',
        candidate=known.record.candidate,
        excluded=set(),
        term=known.record.term,
        start=_find_start(state, known.record),
    )
    state['changes'][service] = failover
    return [
        _log(failover, 'failover claimed', now_s),
        _write_row(state, failover, PrimaryPhase.CHANGING),
    ]


@functools.singledispatch
def advance(
    step: Any,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    """Advances a failover as time passes, depending on its step."""
    return []


@advance.register
def _(
    step: ReleasingLeases, state: ControlState, failover: Failover, now_s: float
) -> list[Any]:
    if state['tables'][RECORDS]['version'] < failover['claim_version']:
        return []
    unresponsive_hosts = set(state['hosts']) - failover['released']
    missing = _list_missing(state, failover, unresponsive_hosts, now_s)
    own = state['settings'].name
    if own in missing:
        failover['released'].add(own)
        state['released'][failover['service']] = failover['number']
        revoked = ToTask(RELAY, LeaseRevoked(failover['service']))
        return [revoked, *advance(step, state, failover, now_s)]
    if not missing:
        state['unresponsive_hosts'].update(unresponsive_hosts)
        names = ','.join(sorted(unresponsive_hosts)) or 'none'
        line = _log(
            failover,
            'primary released',
            now_s,
            f'hosts without an answer: {names}',
        )
        choosing = SelectingCandidate(now_s, now_s)
        _enter_step(failover, choosing)
        return [line, *advance(choosing, state, failover, now_s)]
    if now_s < step.next_s:
        return []
    _enter_step(failover, ReleasingLeases(now_s + QUERY_INTERVAL_S))
    request = RequestRelease(own, failover['service'], failover['number'])
    outgoing: list[Any] = [ToHost(host, request) for host in sorted(missing)]
    if failover['reason'] not in members.PLANNED:
        outgoing.extend(members.query(state, failover, failover['old'], now_s))
    return outgoing


@advance.register
def _(
    step: SelectingCandidate,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    situation = members.describe_situation(state, failover, step, now_s)
    choice = candidates.choose(situation)
    # The configuration says whether replicas are synchronous.
    is_configured = bool(state['ruleset'].version)
    if is_configured and now_s >= state['first_order_s']:
        outgoing = _handle_choice(choice, situation, state, failover, now_s)
    else:
        outgoing = []
    if failover['step'] is not step or now_s < step.next_s:
        return outgoing
    _enter_step(
        failover, SelectingCandidate(step.since_s, now_s + QUERY_INTERVAL_S)
    )
    return [*outgoing, *members.query_all(state, failover, now_s)]


@advance.register
def _(
    step: OrderingPromotion,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    if now_s < step.next_s:
        return []
    if now_s - step.since_s > CONFIRM_TIMEOUT_S:
        return _restart_choice(state, failover, now_s, 'no answer to the order')
    # Each write proves again that this host is still the leader.
    _enter_step(failover, NominatingCandidate(now_s))
    return [_write_row(state, failover, PrimaryPhase.CHANGING)]


@advance.register
def _(
    step: ConfirmingPromotion,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    if now_s - step.since_s > CONFIRM_TIMEOUT_S:
        return _restart_choice(
            state, failover, now_s, 'candidate did not become primary in time'
        )
    if now_s < step.next_s:
        return []
    _enter_step(
        failover, ConfirmingPromotion(step.since_s, now_s + CONFIRM_INTERVAL_S)
    )
    return members.query(state, failover, failover['candidate'], now_s)


@functools.singledispatch
def _handle_choice(
    choice: Any,
    situation: candidates.Situation,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    """Carries out the choice of a candidate."""
    raise TypeError(f'{type(choice).__name__} is not a choice')


@_handle_choice.register
def _(
    choice: candidates.Chosen,
    situation: candidates.Situation,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    failover['candidate'] = choice.endpoint
    failover['awaited'] = ''
    _enter_step(failover, NominatingCandidate(now_s))
    line = LogDecision(
        event='candidate chosen',
        database=failover['service'],
        endpoint=choice.endpoint,
        outcome=choice.reason,
        reason=candidates.describe(situation),
        age_s=situation.waited_s,
    )
    return [line, _write_row(state, failover, PrimaryPhase.CHANGING)]


@_handle_choice.register
def _(
    choice: candidates.Undecided,
    situation: candidates.Situation,
    state: ControlState,
    failover: Failover,
    now_s: float,
) -> list[Any]:
    """Logs what is waited for, once it takes longer than usual."""
    if situation.waited_s < candidates.ANSWER_TIMEOUT_S:
        return []
    if failover['awaited'] == choice.reason:
        return []
    failover['awaited'] = choice.reason
    line = LogDecision(
        event='candidate awaited',
        database=failover['service'],
        endpoint=failover['old'],
        outcome=choice.reason,
        reason=candidates.describe(situation),
        age_s=situation.waited_s,
    )
    return [line]


def _list_missing(
    state: ControlState,
    failover: Failover,
    unresponsive_hosts: set[str],
    now_s: float,
) -> set[str]:
    """Returns the hosts that may still hold a lease on the old primary."""
    contact_end_s = contact.find_release_end(state, failover, now_s)
    if contact_end_s is not None and now_s >= contact_end_s:
        return set()
    return {
        name
        for name in unresponsive_hosts
        if now_s < _find_lease_end(state, failover, name, now_s)
    }


def _find_lease_end(
    state: ControlState,
    failover: Failover,
    host: str,
    now_s: float,
) -> float:
    """Returns when the lease of an unresponsive host must have expired."""
    # A former leader may have claimed the failover earlier.
    since_s = state['changing_since_s'].get(failover['service'], now_s)
    last_s = min(failover['claimed_s'], since_s)
    # A host cannot renew its leases once its row is retired.
    last_s = min(last_s, state['retired_since_s'].get(host, last_s))
    return last_s + PRIMARY_LEASE_S + LEASE_MARGIN_S


def handle_release(
    state: ControlState,
    message: Released,
    now_s: float,
) -> list[Any]:
    """Records that a host has released its lease on the old primary."""
    failover = state['changes'].get(message.service)
    if failover is None or failover['number'] != message.change:
        return []
    failover['released'].add(message.sender)
    state['unresponsive_hosts'].discard(message.sender)
    return advance(failover['step'], state, failover, now_s)


def handle_endpoint_state(
    state: ControlState,
    message: EndpointState,
    now_s: float,
) -> list[Any]:
    """Records the state of an endpoint and advances the failover."""
    failover = state['changes'].get(message.service)
    if failover is None or not message.answered:
        return []
    step = failover['step']
    if isinstance(step, ReleasingLeases):
        return _keep_old_primary(state, failover, message, now_s)
    _record_answer(step, failover, message)
    if not isinstance(step, ConfirmingPromotion):
        return advance(step, state, failover, now_s)
    if message.endpoint != failover['candidate']:
        return []
    if not candidates.is_newer_primary(message, failover['term']):
        return []
    failover['term'] = message.term
    failover['start'] = message.received
    _enter_step(failover, RecordingPrimary())
    return [_write_row(state, failover, PrimaryPhase.STABLE)]


@functools.singledispatch
def _record_answer(
    step: Any, failover: Failover, message: EndpointState
) -> None:
    """Records the answer of an endpoint, depending on the step."""


@_record_answer.register
def _(
    step: SelectingCandidate, failover: Failover, message: EndpointState
) -> None:
    # Commits may have been acknowledged after an earlier query was answered.
    if message.asked_s < step.since_s:
        return
    known = failover['states'].get(message.endpoint)
    if known is None or known.received != message.received:
        failover['unchanged_since_s'][message.endpoint] = message.asked_s
    failover['states'][message.endpoint] = message


def _keep_old_primary(
    state: ControlState,
    failover: Failover,
    message: EndpointState,
    now_s: float,
) -> list[Any]:
    """Ends a failover whose old primary answers again before the release."""
    is_primary = message.role is EndpointRole.PRIMARY
    if message.endpoint != failover['old'] or not is_primary:
        return []
    entry = state['endpoints'].get(failover['old'])
    if entry is None or entry.draining or failover['candidate']:
        return []
    failover['candidate'] = failover['old']
    _enter_step(failover, RecordingPrimary())
    return [
        _log(failover, 'old primary kept', now_s),
        _write_row(state, failover, PrimaryPhase.STABLE),
    ]


def handle_promotion_answer(
    state: ControlState,
    message: PromotionAnswered,
    now_s: float,
) -> list[Any]:
    """Handles the platform's answer to a promotion order."""
    failover = state['changes'].get(message.service)
    if failover is None or failover['candidate'] != message.endpoint:
        return []
    step = failover['step']
    if not isinstance(step, OrderingPromotion):
        return []
    line = _log(
        failover,
        'promotion answered',
        now_s,
        f'{message.endpoint}: {message.status}',
    )
    if message.status == HTTP_OK:
        _enter_step(
            failover, ConfirmingPromotion(now_s, now_s + CONFIRM_INTERVAL_S)
        )
        return [line]
    if message.status == HTTP_CONFLICT:
        failover['excluded'].add(message.endpoint)
        again = _restart_choice(
            state, failover, now_s, 'candidate is not running'
        )
        return [line, *again]
    _enter_step(
        failover, OrderingPromotion(step.since_s, now_s + QUERY_INTERVAL_S)
    )
    return [line]


def handle_write(
    state: ControlState,
    service: str,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    """Handles the outcome of a write of the primary's row."""
    failover = state['changes'].get(service)
    if failover is None:
        return []
    if not written.accepted:
        # Another host has changed a row, or no answer came: the failover is
        # abandoned, and the primary is evaluated again from the newest rows.
        state['changes'].pop(service)
        return [log_abandoned(failover, now_s)]
    return _advance_after_write(
        failover['step'], state, failover, written, now_s
    )


@functools.singledispatch
def _advance_after_write(
    step: Any,
    state: ControlState,
    failover: Failover,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    return []


@_advance_after_write.register
def _(
    step: ClaimingFailover,
    state: ControlState,
    failover: Failover,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    failover['claimed_s'] = now_s
    failover['claim_version'] = written.version
    releasing = ReleasingLeases(now_s)
    _enter_step(failover, releasing)
    return advance(releasing, state, failover, now_s)


@_advance_after_write.register
def _(
    step: NominatingCandidate,
    state: ControlState,
    failover: Failover,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    if now_s - step.sent_s > MAX_ORDER_DELAY_S:
        _enter_step(failover, NominatingCandidate(now_s))
        return [_write_row(state, failover, PrimaryPhase.CHANGING)]
    _enter_step(failover, OrderingPromotion(now_s, now_s + CONFIRM_TIMEOUT_S))
    order = OrderPromotion(
        failover['service'],
        failover['candidate'],
        state['settings'].name,
        state['duty'].record.token,
        step.sent_s + ORDER_LIFETIME_S,
    )
    state['orders_until_s'] = max(state['orders_until_s'], order.expires_s)
    line = _log(failover, 'promotion ordered', now_s, failover['candidate'])
    return [line, ToStore(order)]


@_advance_after_write.register
def _(
    step: RecordingPrimary,
    state: ControlState,
    failover: Failover,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    state['changes'].pop(failover['service'])
    return [_log(failover, 'failover completed', now_s)]


def log_abandoned(failover: Failover, now_s: float) -> LogDecision:
    """Returns the log line of a failover that this host abandons."""
    return _log(failover, 'failover abandoned', now_s)


def _enter_step(failover: Failover, step: Step) -> None:
    failover['step'] = step


def _write_row(
    state: ControlState,
    failover: Failover,
    phase: PrimaryPhase,
) -> ToStore:
    service = failover['service']
    stable = phase is PrimaryPhase.STABLE
    record = PrimaryRecord(
        service=service,
        endpoint=failover['candidate'] if stable else failover['old'],
        phase=phase,
        change=failover['number'],
        candidate='' if stable else failover['candidate'],
        reason=failover['reason'],
        term=failover['term'],
    )
    known = state['primaries'][service]
    writes = [records.write_primary(record, known.version)]
    if record.term != known.record.term:
        term = TermRecord(service, record.term, failover['start'])
        writes.append(records.write_term(state, term))
    return records.write(
        state,
        AdvanceFailover(service),
        records.require_leader(state['duty'].version),
        *writes,
    )


def _find_start(state: ControlState, record: PrimaryRecord) -> Position:
    """Returns where the term of a primary began; empty if it is unknown."""
    known = state['terms'].get(record.service)
    if known is None or known.term != record.term:
        return Position()
    return known.start


def _restart_choice(
    state: ControlState,
    failover: Failover,
    now_s: float,
    reason: str,
) -> list[Any]:
    line = _log(failover, 'candidate excluded', now_s, reason)
    failover['excluded'].add(failover['candidate'])
    others = [
        name
        for name, entry in state['endpoints'].items()
        if entry.service == failover['service']
        and name not in failover['excluded']
        and name != failover['old']
    ]
    if not others:
        failover['excluded'].clear()
    failover['candidate'] = ''
    failover['states'].clear()
    failover['unchanged_since_s'].clear()
    _enter_step(failover, SelectingCandidate(now_s, now_s))
    return [line]


def _log(
    failover: Failover,
    event: str,
    now_s: float,
    detail: str = '',
) -> LogDecision:
    return LogDecision(
        event=event,
        database=failover['service'],
        endpoint=failover['old'],
        outcome=detail or str(failover['number']),
        reason=failover['reason'],
        age_s=now_s - failover['started_s'],
    )
