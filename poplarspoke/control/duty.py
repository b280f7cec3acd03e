"""Who changes primaries, and when one has to be changed.

Every host judges the primaries by what the endpoints say of themselves and by
its own traffic, and reports to the holder of the duty. A holder that does not
answer is replaced: the duty's row is taken under a condition, and its token,
which only grows, goes with every order to the platform.
"""

from typing import Any

from poplarspoke.control import handover, records
from poplarspoke.control.state import (
    ENDPOINTS,
    RECORDS,
    ControlState,
    LeaveDuty,
    Report,
    TakeDuty,
)
from poplarspoke.generated.control import (
    AskReach,
    DutyRecord,
    EndpointState,
    PrimaryPhase,
    QueryEndpoint,
    Reach,
    ReportHeard,
    ReportPrimary,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.generated.rules import EndpointEntry, EndpointRole
from poplarspoke.tasks import ToHost, ToTask

# A row that shows an outdated role is waited for this long.
ROLE_S = 1.0
REPORT_AGAIN_S = 0.3
# A holder that has not answered for so long is replaced.
HOLDER_S = 0.9
# A host that hears nobody takes the duty after this time, since all others
# may be down. It is longer than a change takes that waits for a lease, so that
# a host that is cut off does not stop the others' change.
ALONE_S = 12.0
# Other hosts that are asked whether they hear the holder.
ASKED_PEERS = 2
# The holder watches the store in turns of 1.2 s. One that the store does not
# answer says so to the others, since it can change nothing.
STORE_S = 2.5
# Hosts that want the duty wait up to so long more, so that one comes first.
TAKE_SPREAD_S = 0.3
# A write of the duty that failed is repeated after this time; calls of a store
# that is down are priced too.
TAKE_AGAIN_S = 1.0
# Time for the other hosts to say whether an endpoint answers them.
REACH_S = 0.45
# A primary that some hosts do not reach is reported with each of their ticks;
# each judgement asks all hosts.
JUDGE_AGAIN_S = 0.2
# An answer this recent speaks against a silent endpoint; it is shorter than the
# silence that a host reports, so that the answer came after its start.
RECENT_S = 0.35
# After this the old holder can no longer order: an order is sent at most 1 s
# after its write, on a connection that is given up 1 s later.
OLD_HOLDER_S = 2.5
SILENT = 'silent'


def is_holder(state: ControlState) -> bool:
    """Returns whether this process holds the duty."""
    record = state['duty'].record
    own = state['settings'].name
    return record.holder == own and (record.incarnation == state['incarnation'])


def is_able(state: ControlState, now_s: float) -> bool:
    """Returns whether this process holds the duty and reaches the store."""
    return is_holder(state) and now_s - state['store_heard_s'] < STORE_S


def check(state: ControlState, now_s: float) -> list[Any]:
    """Judges all primaries and reports those to be replaced."""
    outgoing: list[Any] = []
    for service in sorted(state['primaries']):
        if service in state['changes']:
            continue
        reason = _judge(state, service, now_s)
        report = state['reports'].get(service)
        endpoint = state['primaries'][service].record.endpoint
        if not reason:
            state['reports'].pop(service, None)
            continue
        if report is None or report['endpoint'] != endpoint:
            report = _create_report(service, endpoint, reason, now_s)
            state['reports'][service] = report
        report['reason'] = reason
        outgoing.extend(_pursue(state, report, now_s))
    return outgoing


def take_report(
    state: ControlState,
    message: ReportPrimary,
    now_s: float,
) -> list[Any]:
    """Answers a report; the holder judges it, others pass it on."""
    if not is_able(state, now_s):
        return _pass_on(state, message, now_s)
    heard = ReportHeard(
        state['settings'].name,
        message.service,
        state['duty'].record.token,
        holds=True,
    )
    outgoing: list[Any] = [ToHost(message.sender, heard)]
    known = state['primaries'].get(message.service)
    if known is None or message.service in state['changes']:
        return outgoing
    if known.record.endpoint != message.endpoint:
        return outgoing
    report = state['reports'].get(message.service)
    if report is None:
        report = _create_report(
            message.service, message.endpoint, message.reason, now_s
        )
        state['reports'][message.service] = report
    if message.reason == SILENT:
        reach = Reach(message.sender, message.endpoint, silent=True)
        report['reach'][message.sender] = reach
    outgoing.extend(_pursue(state, report, now_s))
    return outgoing


def _pass_on(
    state: ControlState,
    message: ReportPrimary,
    now_s: float,
) -> list[Any]:
    duty = state['duty'].record
    own = state['settings'].name
    ago_s = now_s - state['holder_heard_s']
    answer = ReportHeard(own, message.service, duty.token, holder_ago_s=ago_s)
    outgoing = [ToHost(message.sender, answer)]
    if message.passed or duty.holder in {own, message.sender}:
        return outgoing
    passed = message._replace(sender=own, passed=True)
    return [*outgoing, ToHost(duty.holder, passed)]


def take_reach(
    state: ControlState,
    message: Reach,
) -> None:
    """Keeps whether an endpoint answers another host."""
    for report in state['reports'].values():
        if report['endpoint'] == message.endpoint:
            report['reach'][message.sender] = message


def take_probe(
    state: ControlState,
    message: EndpointState,
) -> None:
    """Keeps whether an endpoint answers this host when it is asked."""
    report = state['reports'].get(message.service)
    if report is None or report['endpoint'] != message.endpoint:
        return
    own = state['settings'].name
    report['reach'][own] = Reach(
        own, message.endpoint, silent=not message.answered
    )


def take_heard(
    state: ControlState,
    message: ReportHeard,
    now_s: float,
) -> None:
    """Notes that the holder of the duty answers this host or a peer."""
    duty = state['duty'].record
    if message.token != duty.token:
        return
    report = state['reports'].get(message.service)
    if message.holds:
        state['holder_heard_s'] = now_s
    if report is None:
        return
    report['peer_s'] = now_s
    if message.sender == duty.holder and not message.holds:
        # It has started again and does not hold the duty any more.
        report['heard_s'] = min(report['heard_s'], now_s - ALONE_S)
        return
    heard_s = now_s - message.holder_ago_s
    if heard_s > report['heard_s']:
        report['heard_s'] = heard_s


def drop_changes(state: ControlState, now_s: float) -> list[Any]:
    """Stops all changes once another process holds the duty.

    The rows of a change carry the duty's row along, so a host that went on
    would act under the token of the new holder.
    """
    if is_holder(state):
        return []
    dropped = list(state['changes'].values())
    state['changes'].clear()
    return [handover.log_drop(change, now_s) for change in dropped]


def leave(state: ControlState) -> list[Any]:
    """Gives the duty up, so that another host takes it without waiting."""
    if not is_holder(state) or state['changes']:
        return []
    record = DutyRecord(token=state['duty'].record.token)
    write = records.write_duty(record, state['duty'].version)
    return [records.write(state, LeaveDuty(), write)]


def _judge(state: ControlState, service: str, now_s: float) -> str:
    """Returns why a primary has to be replaced, empty if it need not be."""
    record = state['primaries'][service].record
    if record.phase is PrimaryPhase.CHANGING:
        return 'unfinished change'
    others = [
        entry
        for entry in state['endpoints'].values()
        if entry.service == service and entry.endpoint != record.endpoint
    ]
    if not others or not state['tables'][ENDPOINTS]['complete']:
        return ''
    entry = state['endpoints'].get(record.endpoint)
    if entry is None:
        return 'gone'
    return _judge_entry(state, entry)


def _judge_entry(state: ControlState, entry: EndpointEntry) -> str:
    if entry.draining:
        return 'draining'
    if entry.zone in state['evacuated']:
        return 'zone evacuated'
    if entry.role is EndpointRole.REPLICA:
        return 'not primary'
    return SILENT if entry.endpoint in state['silent'] else ''


def _create_report(
    service: str,
    endpoint: str,
    reason: str,
    now_s: float,
) -> Report:
    return Report(
        service=service,
        endpoint=endpoint,
        reason=reason,
        since_s=now_s,
        heard_s=now_s,
        peer_s=0,
        next_s=now_s,
        probed_s=0,
        reach={},
    )


def _pursue(state: ControlState, report: Report, now_s: float) -> list[Any]:
    waited_s = now_s - report['since_s']
    if report['reason'] == 'not primary' and waited_s < ROLE_S:
        return []
    if state['leaving']:
        return []
    if is_holder(state):
        able = is_able(state, now_s)
        return _act(state, report, now_s) if able else []
    holder = state['duty'].record.holder
    own = state['settings'].name
    if holder in {'', own} or _is_holder_gone(state, report, now_s):
        return take(state, now_s)
    if now_s < report['next_s']:
        return []
    report['next_s'] = now_s + REPORT_AGAIN_S
    message = ReportPrimary(
        own,
        report['service'],
        report['endpoint'],
        report['reason'],
    )
    others = sorted(state['hosts'].keys() - {own, holder})
    asked = state['rng'].sample(others, min(ASKED_PEERS, len(others)))
    return [ToHost(host, message) for host in (holder, *asked)]


def _is_holder_gone(
    state: ControlState,
    report: Report,
    now_s: float,
) -> bool:
    """Returns whether neither this host nor its peers hear the holder.

    A host that no other host answers may itself be cut off, so it waits
    longer.
    """
    silent_s = now_s - report['heard_s']
    if now_s - report['peer_s'] > HOLDER_S:
        return silent_s > ALONE_S
    return silent_s > HOLDER_S + state['rng'].uniform(0, TAKE_SPREAD_S)


def _act(state: ControlState, report: Report, now_s: float) -> list[Any]:
    service = report['service']
    if report['reason'] != SILENT:
        state['reports'].pop(service)
        return handover.start(state, service, report['reason'], now_s)
    judged_s = state['judged_s'].get(service, 0)
    if judged_s and now_s - judged_s < JUDGE_AGAIN_S:
        return []
    if not report['probed_s']:
        report['probed_s'] = now_s
        return _ask_all(state, report)
    own = state['settings'].name
    missing = state['hosts'].keys() - report['reach'].keys()
    if missing and now_s - report['probed_s'] < REACH_S:
        return []
    against = 0
    silent = 0
    for reach in report['reach'].values():
        if reach.silent:
            silent += 1
        elif 0 <= reach.heard_ago_s < RECENT_S:
            against += 1
    line = LogDecision(
        event='silent primary judged',
        database=service,
        endpoint=report['endpoint'],
        outcome=f'{silent} of {silent + against}',
        reason=f'silent to {silent} hosts, answers {against}',
        age_s=now_s - report['since_s'],
    )
    state['reports'].pop(service)
    probed = report['reach'].get(own)
    if silent > against and probed is not None and probed.silent:
        return [line, *handover.start(state, service, SILENT, now_s)]
    state['judged_s'][service] = now_s
    return [line]


def _ask_all(state: ControlState, report: Report) -> list[Any]:
    own = state['settings'].name
    request = AskReach(own, report['endpoint'])
    outgoing: list[Any] = [
        ToHost(host, request) for host in state['hosts'] if host != own
    ]
    entry = state['endpoints'].get(report['endpoint'])
    if entry is not None:
        query = QueryEndpoint(
            report['service'], report['endpoint'], entry.address
        )
        outgoing.append(ToTask('endpoints', query))
    return outgoing


def take(state: ControlState, now_s: float) -> list[Any]:
    """Writes that this host holds the duty, under a higher token."""
    if now_s < state['take_s'] or not state['tables'][RECORDS]['complete']:
        return []
    # A claim that arrives when the cut ends would stop the holder's changes.
    if state['isolated']:
        return []
    state['take_s'] = now_s + TAKE_AGAIN_S
    duty = state['duty']
    record = DutyRecord(
        holder=state['settings'].name,
        incarnation=state['incarnation'],
        token=duty.record.token + 1,
    )
    line = LogDecision(
        event='duty claimed',
        outcome=str(record.token),
        reason=f'holder {duty.record.holder or "none"} does not answer',
    )
    # A holder that gave the duty up orders nothing more.
    wait_s = OLD_HOLDER_S if duty.record.holder else 0
    state['duty_wait_s'] = now_s + wait_s
    write = records.write_duty(record, duty.version)
    return [line, records.write(state, TakeDuty(), write)]
