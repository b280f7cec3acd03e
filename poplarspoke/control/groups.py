"""Records which members of services with synchronous replicas are still needed.

The leader keeps the members of such a service in a row of the metadata store, where
a later leader finds them, also after all hosts have restarted. A member that has left
stays in the row until the answers of the others show that its log is not needed.
Services without synchronous replicas have no such row.
"""

from typing import Any

from poplarspoke.control import (
    coverage,
    leadership,
    members,
    reconciliation,
    records,
    revisions,
)
from poplarspoke.control.state import (
    ENDPOINTS,
    RECORDS,
    ControlState,
    Probe,
    RecordGroup,
    identify,
)
from poplarspoke.generated.control import (
    EndpointState,
    GroupRecord,
    MemberRecord,
    PrimaryPhase,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.generated.rules import EndpointEntry, ServiceRule

# Longer than the timeout of a query.
PROBE_TIMEOUT_S = 0.5
# Members are queried again after this time while the log of one that has left may
# be needed.
PROBE_INTERVAL_S = 1.0
# Backoff after a write, which may have been lost or refused.
WRITE_BACKOFF_S = 1.0


def check(state: ControlState, now_s: float) -> list[Any]:
    """Records members and queries them, as the leader."""
    if not leadership.is_active_leader(state, now_s):
        state['probes'].clear()
        return []
    if not state['tables'][ENDPOINTS]['complete']:
        return []
    if not reconciliation.is_confirmed(state):
        return []
    outgoing: list[Any] = []
    for rule in state['ruleset'].services:
        if not rule.sync_replicas or not _is_stable(state, rule.name):
            state['probes'].pop(rule.name, None)
            continue
        outgoing.extend(_check_service(state, rule, now_s))
    return outgoing


def record_answer(state: ControlState, message: EndpointState) -> None:
    """Records the answer of a member to the queries under way."""
    probe = state['probes'].get(message.service)
    if probe is None or not message.answered:
        return
    if message.asked_s == probe.asked_s:
        probe.answers[message.endpoint] = message


def _is_stable(state: ControlState, service: str) -> bool:
    """Returns whether a service has a primary and no failover is under way."""
    known = state['primaries'].get(service)
    if known is None or service in state['changes']:
        return False
    return known.record.phase is PrimaryPhase.STABLE


def _check_service(
    state: ControlState, rule: ServiceRule, now_s: float
) -> list[Any]:
    departed = members.list_departed(state, rule.name)
    probe = state['probes'].get(rule.name)
    if probe is None:
        return [
            *_write(state, rule.name, departed, now_s),
            *_start_probe(state, rule.name, departed, now_s),
        ]
    if now_s - probe.asked_s < PROBE_TIMEOUT_S:
        return []
    state['probes'].pop(rule.name)
    observed = [
        member for member in departed if identify(member) in probe.departed
    ]
    # The answers prove nothing about members that have left since.
    later = [member for member in departed if member not in observed]
    observation = _observe(state, rule, probe)
    needed = [*coverage.list_needed(observed, observation), *later]
    return [
        *_log_changes(rule.name, departed, needed),
        *_write(state, rule.name, needed, now_s),
    ]


def _start_probe(
    state: ControlState,
    service: str,
    departed: list[MemberRecord],
    now_s: float,
) -> list[Any]:
    """Queries all members of a service from which one has left."""
    if not departed or now_s < state['next_probe_s'].get(service, 0):
        return []
    state['next_probe_s'][service] = now_s + PROBE_INTERVAL_S
    processes = frozenset(map(identify, departed))
    state['probes'][service] = Probe(now_s, processes, {})
    addresses = members.list_departed_addresses(state, service)
    addresses.update(
        (entry.endpoint, entry.address)
        for entry in _list_registered(state, service)
    )
    return [
        members.create_query(service, endpoint, address, now_s)
        for endpoint, address in addresses.items()
    ]


def _list_registered(state: ControlState, service: str) -> list[EndpointEntry]:
    return [
        entry
        for entry in state['endpoints'].values()
        if entry.service == service
    ]


def _observe(
    state: ControlState, rule: ServiceRule, probe: Probe
) -> coverage.Observation:
    registered = _list_registered(state, rule.name)
    return coverage.Observation(
        probe.answers,
        state['primaries'][rule.name].record.endpoint,
        frozenset(entry.endpoint for entry in registered),
        rule.sync_replicas,
    )


def _write(
    state: ControlState,
    service: str,
    departed: list[MemberRecord],
    now_s: float,
) -> list[Any]:
    """Writes the members if the row does not name them."""
    registered = map(members.create_record, _list_registered(state, service))
    named = tuple(sorted([*registered, *departed]))
    known = state['groups'].get(service, GroupRecord(service))
    if named == known.members:
        return []
    if now_s < state['next_group_write_s'].get(service, 0):
        return []
    state['next_group_write_s'][service] = now_s + WRITE_BACKOFF_S
    version = state['tables'][RECORDS]['version']
    number = revisions.find_next_number(known.number, version)
    write = records.write_group(state, GroupRecord(service, number, named))
    return [
        records.write(
            state,
            RecordGroup(service),
            records.require_leader(state['duty'].version),
            write,
        )
    ]


def _log_changes(
    service: str, departed: list[MemberRecord], needed: list[MemberRecord]
) -> list[Any]:
    """Returns a log line for each departed member of which more is known."""
    ends = {identify(member): member.end for member in needed}
    lines: list[Any] = []
    for member in departed:
        end = ends.get(identify(member))
        if end == member.end:
            continue
        event = 'departed member retained'
        outcome = 'its log may hold acknowledged commits that no other has'
        if end is None:
            event = 'departed member forgotten'
            outcome = 'enough replicas have received what it may hold'
        lines.append(
            LogDecision(
                event=event,
                database=service,
                endpoint=member.endpoint,
                outcome=outcome,
                reason=f'end of its log at most {end or member.end}',
            )
        )
    return lines
