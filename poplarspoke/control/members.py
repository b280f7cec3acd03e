"""Members of a service, as the leader that carries out a failover sees them."""

from typing import Any

from poplarspoke.control import candidates
from poplarspoke.control.state import ControlState, Failover
from poplarspoke.control.tables import LOST_TTL_S
from poplarspoke.generated.control import QueryEndpoint
from poplarspoke.generated.rules import EndpointEntry
from poplarspoke.tasks import Outgoing, ToTask

# Reasons of a switchover: the old primary still runs and has the whole log.
PLANNED = frozenset(('draining', 'zone evacuated'))


def query_all(
    state: ControlState, failover: Failover, now_s: float
) -> list[Any]:
    """Queries the logs of all members, and demotes the old primary."""
    outgoing: list[Any] = []
    for name, entry in state['endpoints'].items():
        if entry.service != failover['service'] or name in failover['excluded']:
            continue
        demote_term = 0
        if name == failover['old']:
            # The demotion stops its writes, so that its answer states the end
            # of its log.
            terms = [known.term for known in failover['states'].values()]
            demote_term = max(terms, default=0) + 1 if terms else 0
        outgoing.extend(
            query(state, failover, name, now_s, demote_term=demote_term)
        )
    return outgoing


def query(
    state: ControlState,
    failover: Failover,
    endpoint: str,
    now_s: float,
    *,
    demote_term: int = 0,
) -> list[Outgoing]:
    """Queries a member, or demotes it if a term is given."""
    entry = state['endpoints'].get(endpoint)
    if entry is None:
        return []
    message = QueryEndpoint(
        failover['service'], endpoint, entry.address, demote_term, now_s
    )
    return [ToTask('endpoints', message)]


def describe_situation(
    state: ControlState, failover: Failover, waited_s: float
) -> candidates.Situation:
    """Returns what is known for the choice of a candidate.

    Args:
        state: State of the control task.
        failover: Failover that needs a candidate.
        waited_s: Time in seconds since the hosts released the old primary.
    """
    service = failover['service']
    registered = {
        name: _describe_member(state, failover, entry)
        for name, entry in state['endpoints'].items()
        if entry.service == service
    }
    lost = {
        name: candidates.GroupMember(name, is_gone=True)
        for name, gone in state['lost'].items()
        if gone.entry.service == service
        and failover['started_s'] - gone.since_s < LOST_TTL_S
    }
    known = {**lost, **registered}
    old = failover['old']
    return candidates.Situation(
        old=known.pop(old, candidates.GroupMember(old, is_gone=True)),
        others=tuple(known[name] for name in sorted(known)),
        term=failover['term'],
        start=failover['start'],
        sync_replicas=_find_sync_replicas(state, service),
        is_planned=failover['reason'] in PLANNED,
        waited_s=waited_s,
    )


def _describe_member(
    state: ControlState, failover: Failover, entry: EndpointEntry
) -> candidates.GroupMember:
    return candidates.GroupMember(
        endpoint=entry.endpoint,
        answer=failover['states'].get(entry.endpoint),
        is_leaving=entry.draining or entry.zone in state['evacuated'],
        is_excluded=entry.endpoint in failover['excluded'],
    )


def _find_sync_replicas(state: ControlState, service: str) -> int:
    for rule in state['ruleset'].services:
        if rule.name == service:
            return rule.sync_replicas
    return 0
