"""Changes of the configuration, the endpoints and the hosts."""

import functools
from typing import Any, TypeAlias

from poplarspoke.generated.relay import EndpointsUpdated, HostsUpdated
from poplarspoke.generated.rules import Ruleset
from poplarspoke.relay import contention, pool, quotas
from poplarspoke.relay.loads import forget_departed, forget_rules
from poplarspoke.relay.state import RelayState, create_endpoint

Change: TypeAlias = Ruleset | EndpointsUpdated | HostsUpdated


@functools.singledispatch
def apply(message: Any, state: RelayState, now_s: float) -> list[Any]:
    """Applies a change; returns the resulting messages.

    Raises:
        TypeError: The message is not a change.
    """
    raise TypeError(f'{type(message).__name__} is not a change of the fleet')


@apply.register
def _(message: Ruleset, state: RelayState, now_s: float) -> list[Any]:
    if message.version <= state['rules'].version:
        return []
    state['rules'] = message
    state['routes'] = {route.database: route for route in message.routes}
    state['max_connections'] = {
        service.name: service.max_connections for service in message.services
    }
    owners: dict[str, str] = {}
    for workspace in message.workspaces:
        for key in workspace.keys:
            owners[key] = workspace.name
    state['key_owners'] = owners
    quotas.set_workspaces(state, message.workspaces, now_s)
    contention.set_rules(state, message)
    forget_rules(state)
    return []


@apply.register
def _(message: EndpointsUpdated, state: RelayState, now_s: float) -> list[Any]:
    outgoing: list[Any] = []
    known = {entry.endpoint: entry for entry in message.endpoints}
    for name in set(state['endpoints']) - set(known):
        outgoing.extend(_remove_endpoint(state, name, now_s))
    for name, entry in known.items():
        endpoint = state['endpoints'].get(name)
        if endpoint is None:
            endpoint = create_endpoint(entry)
            state['endpoints'][name] = endpoint
        evacuated = entry.zone in message.evacuated
        endpoint['evacuated'] = evacuated
        endpoint['leave_within_s'] = state['settings'].drain_s
        if evacuated:
            endpoint['leave_within_s'] = state['settings'].evacuate_s
        is_leaving = entry.draining or evacuated
        if not is_leaving:
            endpoint['leaving_since_s'] = 0
        elif not endpoint['leaving_since_s']:
            endpoint['leaving_since_s'] = now_s
        endpoint['entry'] = entry
    return outgoing


@apply.register
def _(message: HostsUpdated, state: RelayState, now_s: float) -> list[Any]:
    state['hosts'] = message.hosts
    state['peers'] = message.peers
    state['peer_zones'] = dict(
        zip(message.peers, message.peer_zones, strict=False)
    )
    state['owners'].clear()
    zone_peers = {peer.host: peer.address for peer in message.zone_peers}
    if zone_peers.keys() != state['zone_peers'].keys():
        state['gateway_ranks'].clear()
    state['zone_peers'] = zone_peers
    state['zones'] = max(message.zones, 1)
    forget_departed(state)
    quotas.update_shares(state, now_s)
    return []


def _remove_endpoint(
    state: RelayState,
    name: str,
    now_s: float,
) -> list[Any]:
    outgoing: list[Any] = []
    endpoint = state['endpoints'][name]
    for number in list(endpoint['connections']):
        connection = state['connections'][number]
        if connection['session']:
            continue
        outgoing.append(pool.close(state, number))
    state['endpoints'].pop(name)
    state['loads']['speeds'].pop(name, None)
    return outgoing
