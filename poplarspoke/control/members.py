"""Members of a service, as the leader that carries out a failover sees them."""

from typing import Any

from poplarspoke.control import candidates
from poplarspoke.control.state import (
    ControlState,
    Failover,
    SelectingCandidate,
    find_sync_replicas,
    identify,
)
from poplarspoke.generated.control import (
    GroupRecord,
    MemberRecord,
    QueryEndpoint,
)
from poplarspoke.generated.rules import EndpointEntry
from poplarspoke.tasks import Outgoing, ToTask

# Reasons of a switchover: the old primary still runs and has the whole log.
PLANNED = frozenset(('draining', 'zone evacuated'))


def query_all(
    state: ControlState, failover: Failover, now_s: float
) -> list[Any]:
    """Queries the logs of all members, and demotes the old primary.

    The demotion stops its writes, so that its answer states the end of its log.
    """
    terms = [known.term for known in failover['states'].values()]
    demote_term = max(terms) + 1 if terms else 0
    service = failover['service']
    addresses = {
        name: entry.address
        for name, entry in state['endpoints'].items()
        if entry.service == service and name not in failover['excluded']
    }
    if find_sync_replicas(state, service):
        addresses = {**list_departed_addresses(state, service), **addresses}
    return [
        create_query(
            service,
            name,
            address,
            now_s,
            demote_term=demote_term if name == failover['old'] else 0,
        )
        for name, address in addresses.items()
    ]


def list_departed_addresses(
    state: ControlState, service: str
) -> dict[str, str]:
    """Returns the last addresses of the members that are not registered.

    They may only have lost their entry and be running. A query names the member,
    so that another one at its address refuses it.
    """
    return {
        member.endpoint: member.address
        for member in list_departed(state, service)
        if member.endpoint not in state['endpoints']
    }


def query(
    state: ControlState, failover: Failover, endpoint: str, now_s: float
) -> list[Outgoing]:
    """Queries a registered member."""
    entry = state['endpoints'].get(endpoint)
    if entry is None:
        return []
    service = failover['service']
    return [create_query(service, endpoint, entry.address, now_s)]


def create_query(
    service: str,
    endpoint: str,
    address: str,
    now_s: float,
    *,
    demote_term: int = 0,
) -> ToTask:
    """Returns a query of a member, or its demotion if a term is given."""
    message = QueryEndpoint(service, endpoint, address, demote_term, now_s)
    return ToTask('endpoints', message)


def list_departed(state: ControlState, service: str) -> list[MemberRecord]:
    """Returns the members that have left and whose log may still be needed.

    They are named by the records, and by what this host has seen since its start.
    """
    departed = {
        process: create_record(entry)
        for process, (entry, _since_s) in state['lost'].items()
        if entry.service == service
    }
    recorded = state['groups'].get(service, GroupRecord())
    for member in recorded.members:
        departed[identify(member)] = member
    for entry in state['endpoints'].values():
        departed.pop(identify(entry), None)
    return [departed[process] for process in sorted(departed)]


def create_record(entry: EndpointEntry) -> MemberRecord:
    """Returns the record of a member that is registered, or was last seen so."""
    return MemberRecord(entry.endpoint, entry.address, entry.born_ms)


def describe_situation(
    state: ControlState,
    failover: Failover,
    step: SelectingCandidate,
    now_s: float,
) -> candidates.Situation:
    """Returns what is known for the choice of a candidate.

    Args:
        state: State of the control task.
        failover: Failover that needs a candidate.
        step: Its step, which began when the hosts had released the old primary.
        now_s: Boot clock in seconds.
    """
    service = failover['service']
    name = failover['old']
    answer = failover['states'].get(name)
    old = candidates.GroupMember(name, answer, is_gone=True)
    others: list[candidates.GroupMember] = []
    for name in sorted(state['endpoints']):
        entry = state['endpoints'][name]
        if entry.service != service:
            continue
        member = _describe_member(state, failover, entry)
        if name == failover['old']:
            old = member
            continue
        others.append(member)
    for departed in list_departed(state, service):
        # An acknowledged commit is on replicas besides the old primary.
        if departed.endpoint != failover['old']:
            others.append(_describe_departed(state, failover, departed))
    return candidates.Situation(
        old=old,
        others=tuple(others),
        term=failover['term'],
        start=failover['start'],
        sync_replicas=find_sync_replicas(state, service),
        is_planned=failover['reason'] in PLANNED,
        waited_s=now_s - step.since_s,
    )


def _describe_member(
    state: ControlState, failover: Failover, entry: EndpointEntry
) -> candidates.GroupMember:
    name = entry.endpoint
    answer = failover['states'].get(name)
    asked_s = answer.asked_s if answer else 0
    since_s = failover['unchanged_since_s'].get(name, asked_s)
    return candidates.GroupMember(
        endpoint=name,
        answer=answer,
        is_leaving=entry.draining or entry.zone in state['evacuated'],
        is_excluded=name in failover['excluded'],
        unchanged_s=asked_s - since_s,
    )


def _describe_departed(
    state: ControlState, failover: Failover, departed: MemberRecord
) -> candidates.GroupMember:
    name = departed.endpoint
    is_back = name in state['endpoints']
    return candidates.GroupMember(
        endpoint=name,
        answer=None if is_back else failover['states'].get(name),
        is_gone=True,
        end=departed.end,
        successor=_find_successor(state, failover['service'], departed),
    )


def _find_successor(
    state: ControlState, service: str, departed: MemberRecord
) -> str:
    """Returns the registered member that takes the place of one that left."""
    if departed.endpoint in state['endpoints']:
        return departed.endpoint
    for name, entry in state['endpoints'].items():
        if (entry.service, entry.address) == (service, departed.address):
            return name
    return ''
