"""Decisions on membership: heartbeats, live hosts and views of endpoints.

Each host sends heartbeats to a bounded set of peers. Links are symmetric, so a
heartbeat can echo the last one from its receiver. The receiver then has a lower
bound of the time at which it was sent, whatever the delay of the network.
Statements about settings and positions are dated by that bound.
"""

import functools
import json
from typing import Any

from poplarspoke import gossip
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import (
    SettingsFreshness,
    SettingsInForce,
)
from poplarspoke.generated.membership import (
    EndpointViews,
    Heartbeat,
    HostsChanged,
    HostsShown,
    LeaveFleet,
    ShowHosts,
)
from poplarspoke.generated.platform import (
    FetchHosts,
    HostEntry,
    HostList,
    StoreRequestFailed,
)
from poplarspoke.generated.settings import Document
from poplarspoke.tasks import Outgoing, Reply, ToStore, ToTask


def decide(
    message: Any,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    """Handles one message.

    Args:
        message: A heartbeat, an update of this host, or a platform answer.
        state: State that is changed in place.
        now_s: Monotonic clock in seconds.
    """
    outgoing = handle(message, state, now_s)
    if gossip.is_published(state, now_s):
        return outgoing
    statuses = gossip.describe_hosts(state, now_s)
    state['published'] = {
        status.host: status._replace(heard_ago_s=0) for status in statuses
    }
    changed = HostsChanged(statuses)
    outgoing.extend(ToTask(name, changed) for name in state['subscribers'])
    return outgoing


@functools.singledispatch
def handle(
    message: Any,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    """Handles one message by its type."""
    raise TypeError(f'membership cannot handle {type(message).__name__}')


@handle.register
def _(
    message: Tick, state: gossip.MembershipState, now_s: float
) -> list[Outgoing]:
    gossip.update_dead_hosts(state, now_s)
    outgoing: list[Outgoing] = []
    if now_s - state['heartbeat_at_s'] >= gossip.HEARTBEAT_INTERVAL_S:
        outgoing.extend(gossip.send_heartbeats(state, now_s))
    list_due = now_s - state['list_at_s'] >= gossip.LIST_INTERVAL_S
    if list_due and not state['list_under_way']:
        state['list_at_s'] = now_s
        state['list_under_way'] = True
        outgoing.append(ToStore(FetchHosts()))
    return outgoing


@handle.register
def _(
    message: Heartbeat,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    known = state['members'].get(message.sender)
    if known is None:
        known = gossip.Member(message.sender, message.zone, changed_at_s=now_s)
    if message.sender == state['host'] or gossip.is_outdated(message, known):
        return []
    is_changed = known.dead or known.incarnation != message.incarnation
    updated = known._replace(
        zone=message.zone,
        incarnation=message.incarnation,
        heard_at_s=now_s,
        direct_at_s=now_s,
        sequence=message.sequence,
        settings_version=message.settings_version,
        dead=False,
        leaving=message.leaving,
        changed_at_s=now_s if is_changed else known.changed_at_s,
    )
    gossip.store_member(updated, state)
    for view in message.hosts:
        gossip.merge_host_view(state, view, now_s)
    stated_at_s = gossip.find_earliest_send_s(message, state)
    gossip.store_endpoint_views(message, state, stated_at_s)
    return [
        ToTask(
            gossip.SETTINGS_TASK, gossip.build_peer_state(message, stated_at_s)
        )
    ]


@handle.register
def _(
    message: HostList,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    state['list_under_way'] = False
    for entry in message.hosts:
        gossip.store_host_entry(state, entry, now_s)
        gossip.mark_leaving(state, entry, now_s - message.age_s)
    return []


@handle.register
def _(
    message: StoreRequestFailed,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    state['list_under_way'] = False
    return []


@handle.register
def _(
    message: SettingsInForce,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    document: Document = json.loads(message.snapshot.document or '{}')
    hosts = document.get('hosts', {})
    for name, host in hosts.items():
        entry = HostEntry(name, host['zone'], host['address'])
        gossip.store_host_entry(state, entry, now_s)
    return []


@handle.register
def _(
    message: SettingsFreshness,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    state['freshness'] = message
    return []


@handle.register
def _(
    message: EndpointViews,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    state['own_views'] = message.views[: gossip.MAX_ENDPOINT_VIEWS]
    return []


@handle.register
def _(
    message: LeaveFleet,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    state['leaving'] = True
    return gossip.send_heartbeats(state, now_s)


@handle.register
def _(
    message: ShowHosts,
    state: gossip.MembershipState,
    now_s: float,
) -> list[Outgoing]:
    shown = HostsShown(
        (gossip.describe_self(state), *gossip.describe_hosts(state, now_s)),
        gossip.find_reachable_zones(state, now_s),
    )
    return [Reply(message.request_id, shown)]
