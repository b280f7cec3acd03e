"""Leader lease, and the evaluation of primaries that have to be replaced.

Every host evaluates the primaries by the entries of the endpoints and by its
own traffic, and reports a primary that should be replaced to the leader. A
leader that does not answer is replaced: another host claims the row of the
leader lease by a conditional write. Its fencing token only increases and is
part of every order to the platform.
"""

from collections import Counter
from typing import Any

from poplarspoke.control import (
    contact,
    failover,
    ranks,
    reconciliation,
    records,
    revisions,
)
from poplarspoke.control.state import (
    ENDPOINTS,
    RECORDS,
    ClaimLeadership,
    ControlState,
    Report,
    ReportProgress,
    ResignLeadership,
)
from poplarspoke.generated.control import (
    EndpointState,
    LeaderRecord,
    PrimaryPhase,
    QueryEndpoint,
    QueryReachability,
    Reachability,
    ReportAnswered,
    ReportPrimary,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.generated.rules import EndpointEntry, EndpointRole
from poplarspoke.tasks import ToHost, ToTask

# Time for the row of a new primary to show its role.
ROLE_UPDATE_S = 1.0
REPORT_INTERVAL_S = 0.3
# A report of another host is valid for this long; it is repeated meanwhile.
REPORT_TTL_S = 0.7
# A leader that has not answered for this long is replaced.
LEADER_TIMEOUT_S = 0.9
# While a failover waits, the leader writes a row this long after its last one. Other
# hosts do not replace a leader whose last row is younger than the timeout: hosts
# that do not watch the store read a row up to 0.8 s late.
PROGRESS_INTERVAL_S = 0.8
PROGRESS_TIMEOUT_S = 2.0
# A host that no other host answers claims leadership after this time, since all
# others may be down. This is longer than a failover that waits for a lease to
# expire, so that a partitioned host does not abort a failover of the others.
NO_CONTACT_CLAIM_S = 12.0
# Other hosts that also receive a report, and answer whether they have contact
# with the leader.
QUERIED_PEERS = 2
# The leader's watches of the store last 1.2 s. A leader that the store does not
# answer states this in its answers, since it cannot carry out a failover.
STORE_TIMEOUT_S = 2.5
# Jitter of claims, so that hosts do not claim at the same time.
CLAIM_JITTER_S = 0.3
# Backoff after a claim that failed; failed calls of the store are billed too.
CLAIM_BACKOFF_S = 1.0
# Time for the other hosts to report whether an endpoint answers them.
REACH_TIMEOUT_S = 0.45
# Hosts that cannot reach a primary report it with each tick, and each
# assessment queries all hosts.
ASSESSMENT_INTERVAL_S = 0.2
# A host that got an answer within this time counts as evidence that the
# endpoint is alive. It is shorter than the time without an answer after which a
# host reports an endpoint, so that the answer came after that time began.
MAX_ANSWER_AGE_S = 0.35
# After this time no order of a former leader can reach the platform any more. The
# margin covers the last bytes on the network and slightly different clocks.
FORMER_LEADER_WAIT_S = failover.ORDER_LIFETIME_S + 0.5
UNRESPONSIVE = 'silent'


def is_leader(state: ControlState) -> bool:
    """Returns whether this process holds the leader lease."""
    record = state['duty'].record
    own = state['settings'].name
    return record.holder == own and (record.incarnation == state['incarnation'])


def is_active_leader(state: ControlState, now_s: float) -> bool:
    """Returns whether this process is the leader and the store answers it."""
    return (
        is_leader(state)
        and now_s - state['store_last_response_s'] < STORE_TIMEOUT_S
    )


def check(state: ControlState, now_s: float) -> list[Any]:
    """Evaluates all primaries and reports those that should be replaced."""
    outgoing: list[Any] = []
    counts = Counter(entry.service for entry in state['endpoints'].values())
    for service in sorted(state['primaries']):
        if service in state['changes']:
            continue
        if not reconciliation.is_usable(state, service):
            continue
        report = _update_report(
            state, service, now_s, endpoints=counts[service]
        )
        if report is not None:
            outgoing.extend(_process_report(state, report, now_s))
    return outgoing


def _update_report(
    state: ControlState,
    service: str,
    now_s: float,
    *,
    endpoints: int,
) -> Report | None:
    """Returns the report of a primary that should be replaced, if any.

    In a large fleet the leader sends few statements itself, so a primary may be
    unresponsive only to the gateways. The leader keeps what they report.
    """
    reason = _find_reason(state, service, endpoints=endpoints)
    report = state['reports'].get(service)
    endpoint = state['primaries'][service].record.endpoint
    if not reason:
        if report is not None and now_s - report['reported_s'] < REPORT_TTL_S:
            return report
        state['reports'].pop(service, None)
        return None
    if report is None or report['endpoint'] != endpoint:
        report = _create_report(service, endpoint, reason, now_s)
        state['reports'][service] = report
    report['reason'] = reason
    return report


def handle_report(
    state: ControlState,
    message: ReportPrimary,
    now_s: float,
) -> list[Any]:
    """Answers a report; the leader assesses it, other hosts forward it."""
    if not is_active_leader(state, now_s):
        return _forward_report(state, message, now_s)
    answer = ReportAnswered(
        state['settings'].name,
        message.service,
        state['duty'].record.token,
        holds=True,
    )
    outgoing: list[Any] = [ToHost(message.sender, answer)]
    known = state['primaries'].get(message.service)
    if known is None or message.service in state['changes']:
        return outgoing
    if known.record.endpoint != message.endpoint:
        return outgoing
    if message.reason != UNRESPONSIVE:
        # The sender has read it from the store, as this host has or soon will.
        # A report that is late would start a failover that has ended again.
        return outgoing
    report = state['reports'].get(message.service)
    if report is None:
        report = _create_report(
            message.service, message.endpoint, message.reason, now_s
        )
        state['reports'][message.service] = report
    report['reported_s'] = now_s
    reach = Reachability(message.sender, message.endpoint, silent=True)
    report['reach'][message.sender] = reach
    outgoing.extend(_process_report(state, report, now_s))
    return outgoing


def _forward_report(
    state: ControlState,
    message: ReportPrimary,
    now_s: float,
) -> list[Any]:
    lease = state['duty'].record
    own = state['settings'].name
    ago_s = now_s - state['leader_last_response_s']
    answer = ReportAnswered(
        own, message.service, lease.token, holder_ago_s=ago_s
    )
    outgoing = [ToHost(message.sender, answer)]
    if message.passed or lease.holder in {own, message.sender}:
        return outgoing
    forwarded = message._replace(sender=own, passed=True)
    return [*outgoing, ToHost(lease.holder, forwarded)]


def record_reach(
    state: ControlState,
    message: Reachability,
) -> None:
    """Records whether an endpoint answers another host."""
    for report in state['reports'].values():
        if report['endpoint'] == message.endpoint:
            report['reach'][message.sender] = message


def record_probe(
    state: ControlState,
    message: EndpointState,
) -> None:
    """Records whether an endpoint answered the query of this host."""
    report = state['reports'].get(message.service)
    if report is None or report['endpoint'] != message.endpoint:
        return
    own = state['settings'].name
    report['reach'][own] = Reachability(
        own, message.endpoint, silent=not message.answered
    )


def handle_report_answer(
    state: ControlState,
    message: ReportAnswered,
    now_s: float,
) -> None:
    """Records when the leader last answered this host or a peer."""
    lease = state['duty'].record
    if message.token != lease.token:
        return
    report = state['reports'].get(message.service)
    if message.holds:
        state['leader_last_response_s'] = now_s
    if report is None:
        return
    report['peer_s'] = now_s
    if message.sender == lease.holder and not message.holds:
        # The leader's process has restarted and is no longer the leader, or
        # the store does not answer it: it may be replaced at once.
        report['heard_s'] = min(report['heard_s'], now_s - NO_CONTACT_CLAIM_S)
        return
    responded_s = now_s - message.holder_ago_s
    if responded_s > report['heard_s']:
        report['heard_s'] = responded_s


def abandon_failovers(state: ControlState, now_s: float) -> list[Any]:
    """Abandons all failovers once another process is the leader.

    The writes of a failover require the row of the leader lease as this host
    knows it, so a former leader that continued would act under the token of
    the new one.
    """
    if is_leader(state):
        return []
    return abandon_all(state, now_s)


def abandon_all(state: ControlState, now_s: float) -> list[Any]:
    """Abandons all failovers; their primaries are evaluated again."""
    abandoned = list(state['changes'].values())
    state['changes'].clear()
    return [failover.log_abandoned(ongoing, now_s) for ongoing in abandoned]


def resign(state: ControlState, now_s: float) -> list[Any]:
    """Resigns, so that another host can claim leadership at once.

    The next leader does not wait for orders of one that has resigned.
    """
    if not is_leader(state) or state['changes']:
        return []
    if now_s < state['orders_until_s']:
        return []
    if state['usage']['call'] and now_s < state['usage']['call_until_s']:
        return []
    record = LeaderRecord(token=state['duty'].record.token)
    write = records.write_leader(record, state['duty'].version)
    return [records.write(state, ResignLeadership(), write)]


def _find_reason(state: ControlState, service: str, *, endpoints: int) -> str:
    """Returns why a primary has to be replaced; empty if it does not.

    Args:
        state: State of the control task.
        service: Service of the primary.
        endpoints: Number of known endpoints of the service.
    """
    record = state['primaries'][service].record
    if record.phase is PrimaryPhase.CHANGING:
        return 'unfinished change'
    entry = state['endpoints'].get(record.endpoint)
    is_counted = entry is not None and entry.service == service
    others = endpoints - is_counted
    if not others or not state['tables'][ENDPOINTS]['complete']:
        return ''
    if entry is None:
        return 'gone'
    return _find_entry_reason(state, entry)


def _find_entry_reason(state: ControlState, entry: EndpointEntry) -> str:
    if entry.draining:
        return 'draining'
    if entry.zone in state['evacuated']:
        return 'zone evacuated'
    if entry.role is EndpointRole.REPLICA:
        return 'not primary'
    return UNRESPONSIVE if entry.endpoint in state['silent'] else ''


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
        reported_s=0,
        reach={},
    )


def _process_report(
    state: ControlState, report: Report, now_s: float
) -> list[Any]:
    waited_s = now_s - report['since_s']
    if report['reason'] == 'not primary' and waited_s < ROLE_UPDATE_S:
        return []
    if state['leaving']:
        return []
    if is_leader(state):
        return _lead(state, report, now_s)
    leader = state['duty'].record.holder
    own = state['settings'].name
    if leader in {'', own} or _is_leader_unresponsive(state, report, now_s):
        return claim(state, now_s)
    if now_s < report['next_s'] or _is_reported_by_others(state, report):
        return []
    report['next_s'] = now_s + REPORT_INTERVAL_S
    message = ReportPrimary(
        own,
        report['service'],
        report['endpoint'],
        report['reason'],
    )
    others = sorted(state['hosts'].keys() - {own, leader})
    peers = state['rng'].sample(others, min(QUERIED_PEERS, len(others)))
    return [ToHost(host, message) for host in (leader, *peers)]


def _lead(state: ControlState, report: Report, now_s: float) -> list[Any]:
    if not is_active_leader(state, now_s):
        return []
    version = state['tables'][RECORDS]['version']
    if not revisions.is_of_era(state['duty'].record.token, version):
        # A claim that a restore has lost may have given out the same token.
        return claim(state, now_s)
    return _assess_report(state, report, now_s)


def report_progress(state: ControlState, now_s: float) -> list[Any]:
    """Shows through the store that the leader is alive while a failover waits.

    Hosts that do not reach the leader would otherwise replace it, which abandons
    its failovers.
    """
    if not state['changes'] or not is_active_leader(state, now_s):
        return []
    since_s = max(state['leader_progress_s'], state['next_progress_s'])
    if now_s - since_s < PROGRESS_INTERVAL_S:
        return []
    state['next_progress_s'] = now_s
    write = records.write_progress(state)
    return [records.write(state, ReportProgress(), write)]


def _is_reported_by_others(state: ControlState, report: Report) -> bool:
    """Returns whether a reason that all hosts read is left to a few of them."""
    if report['reason'] == UNRESPONSIVE:
        return False
    return ranks.find_rank(state) >= ranks.MAX_SUCCESSORS


def _is_leader_unresponsive(
    state: ControlState,
    report: Report,
    now_s: float,
) -> bool:
    """Returns whether the leader answers neither this host nor its peers.

    A host that no other host answers may itself be partitioned, so it waits
    longer.
    """
    waited_s = now_s - report['heard_s']
    if now_s - state['leader_progress_s'] <= PROGRESS_TIMEOUT_S:
        # The store shows that it is alive, so the network is split.
        return False
    if now_s - report['peer_s'] > LEADER_TIMEOUT_S:
        return waited_s > NO_CONTACT_CLAIM_S
    return waited_s > LEADER_TIMEOUT_S + state['rng'].uniform(0, CLAIM_JITTER_S)


def _assess_report(
    state: ControlState, report: Report, now_s: float
) -> list[Any]:
    service = report['service']
    if report['reason'] != UNRESPONSIVE:
        state['reports'].pop(service)
        return failover.start(state, service, report['reason'], now_s)
    assessed_s = state['assessed_s'].get(service, 0)
    if assessed_s and now_s - assessed_s < ASSESSMENT_INTERVAL_S:
        return []
    if not report['probed_s']:
        report['probed_s'] = now_s
        return _query_hosts(state, report)
    own = state['settings'].name
    missing = state['hosts'].keys() - report['reach'].keys()
    if missing and now_s - report['probed_s'] < REACH_TIMEOUT_S:
        return []
    answered = 0
    unresponsive = 0
    for reach in report['reach'].values():
        if reach.silent:
            unresponsive += 1
        elif 0 <= reach.heard_ago_s < MAX_ANSWER_AGE_S:
            answered += 1
    line = LogDecision(
        event='unresponsive primary assessed',
        database=service,
        endpoint=report['endpoint'],
        outcome=f'{unresponsive} of {unresponsive + answered}',
        reason=f'unresponsive to {unresponsive} hosts, answers {answered}',
        age_s=now_s - report['since_s'],
    )
    state['reports'].pop(service)
    probed = report['reach'].get(own)
    if unresponsive > answered and probed is not None and probed.silent:
        return [line, *failover.start(state, service, UNRESPONSIVE, now_s)]
    state['assessed_s'][service] = now_s
    return [line]


def _query_hosts(state: ControlState, report: Report) -> list[Any]:
    own = state['settings'].name
    request = QueryReachability(own, report['endpoint'])
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


def _may_claim(state: ControlState, now_s: float) -> bool:
    """Returns whether a claim would not abort failovers of a live leader.

    If the other zones are lost for good, a host claims after a long time without
    contact, as one that no other host answers.
    """
    if contact.may_claim(state, now_s):
        return True
    last_s = max(state['zone_contact_s'].values(), default=state['started_s'])
    return now_s - last_s > NO_CONTACT_CLAIM_S


def claim(state: ControlState, now_s: float) -> list[Any]:
    """Claims the leader lease under a higher fencing token."""
    if (
        now_s < state['next_claim_s']
        or not state['tables'][RECORDS]['complete']
    ):
        return []
    # A claim that reaches the store when the partition ends would abort the
    # failovers of the present leader.
    if state['isolated'] or not _may_claim(state, now_s):
        return []
    state['next_claim_s'] = now_s + CLAIM_BACKOFF_S
    lease = state['duty']
    record = LeaderRecord(
        holder=state['settings'].name,
        incarnation=state['incarnation'],
        token=revisions.find_next_number(
            lease.record.token, state['tables'][RECORDS]['version']
        ),
    )
    line = LogDecision(
        event='leadership claimed',
        outcome=str(record.token),
        reason=f'former leader: {lease.record.holder or "none"}',
    )
    # A leader that has resigned orders no more promotions, and there was no
    # later leader if this one was informed until the restore.
    is_successor = not is_leader(state) or not state['is_informed']
    wait_s = FORMER_LEADER_WAIT_S if lease.record.holder and is_successor else 0
    state['former_leader_wait_s'] = wait_s
    state['first_order_s'] = max(
        now_s + wait_s, state['unknown_leases_until_s']
    )
    write = records.write_leader(record, lease.version)
    return [line, records.write(state, ClaimLeadership(), write)]
