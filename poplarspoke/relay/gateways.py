"""Chooses the gateways of a zone, which hold the connections to endpoints.

Where a host's part of an endpoint's connections is too small to reuse any, the
hosts of a zone send their statements for a database through one of them, its
gateway. It is chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so
that a host that joins or leaves moves only its own databases.
"""

import xxhash

from poplarspoke.relay.state import GatewayLink, RelayState

# Fraction of an endpoint's connections that all hosts together keep idle. The
# endpoint drops connections of hosts that lost power only after 3 s; until then
# the restarted hosts need the remaining ones.
KEPT_IDLE_FRACTION = 0.6
# Fraction that all gateways together may open. Two hosts are the gateway of a
# database for a moment when one joins or fails.
OPEN_FRACTION = 0.9
# A host that may keep this many idle connections to an endpoint needs no
# gateway: it reuses most of them.
MIN_DIRECT_CONNECTIONS = 4
# In a zone with fewer hosts, a gateway would save too few connections to be
# worth the hop.
MIN_ZONE_HOSTS = 4
# Idle connections to an endpoint that one gateway needs before its workspaces
# are spread over a further one.
GATEWAY_CONNECTIONS = 8


def needs_gateways(
    state: RelayState,
    service: str,
    *,
    zone_hosts: int | None = None,
) -> bool:
    """Returns whether hosts of a zone reach a service through gateways.

    Args:
        state: State of the relay.
        service: Group of endpoints.
        zone_hosts: Number of hosts of the zone; None for this host's zone.
    """
    if zone_hosts is None:
        zone_hosts = len(state['zone_peers']) + 1
    if zone_hosts < MIN_ZONE_HOSTS:
        return False
    limit = _find_limit(state, service)
    direct = limit * KEPT_IDLE_FRACTION / max(state['hosts'], 1)
    return 0 < limit and direct < MIN_DIRECT_CONNECTIONS


def count_shards(state: RelayState, service: str) -> int:
    """Returns the number of gateways of a service in each zone."""
    zone_limit = _find_limit(state, service) * KEPT_IDLE_FRACTION
    zone_limit /= max(state['zones'], 1)
    return max(int(zone_limit / GATEWAY_CONNECTIONS), 1)


def count_holders(state: RelayState, service: str) -> int:
    """Returns how many hosts hold connections to the endpoints of a service."""
    hosts = max(state['hosts'], 1)
    if not needs_gateways(state, service):
        return hosts
    return min(count_shards(state, service) * max(state['zones'], 1), hosts)


def is_gateway(state: RelayState, service: str) -> bool:
    """Returns whether this host reaches a service itself.

    A host stands in for a gateway that it does not reach, and may run statements
    of hosts that do not reach theirs.
    """
    if not needs_gateways(state, service):
        return True
    own = state['settings'].name
    shards = range(count_shards(state, service))
    return any(own == _find_usable(state, service, shard) for shard in shards)


def count_idle_share(state: RelayState, service: str) -> int:
    """Returns how many idle connections to an endpoint this host may keep.

    A host that only stood in for a gateway keeps none. Otherwise the endpoint
    would be full for the time that idle connections are kept.
    """
    if not is_gateway(state, service):
        return 0
    limit = _find_limit(state, service) * KEPT_IDLE_FRACTION
    return int(limit / count_holders(state, service))


def count_open_share(state: RelayState, service: str) -> int:
    """Returns how many connections to an endpoint this host may open.

    Without gateways a host may open as many as the endpoint accepts.
    """
    limit = _find_limit(state, service)
    if not needs_gateways(state, service):
        return limit
    open_limit = limit * OPEN_FRACTION / count_holders(state, service)
    return max(int(open_limit), 1)


def find_gateway(state: RelayState, service: str, workspace: str) -> str:
    """Returns the host that runs the statements of a workspace.

    Returns:
        The best-ranked host that is not known to be unusable; the name of this
        host if it needs no gateway, is the gateway or finds none.
    """
    if not needs_gateways(state, service):
        return state['settings'].name
    return _find_usable(state, service, _find_shard(state, service, workspace))


def _find_usable(state: RelayState, service: str, shard: int) -> str:
    """Returns the best-ranked host of a shard that is not known to be unusable."""
    own = state['settings'].name
    for host in _rank_shard(state, service, shard):
        if host == own:
            return own
        link = state['gateway_links'].get(host)
        if link is None or link['usable'] or is_first_opening(link):
            return host
    return own


def is_first_opening(link: GatewayLink) -> bool:
    """Returns whether a link is being opened and has not failed before."""
    return link['opening'] and not link['failures']


def rank_hosts(
    state: RelayState,
    service: str,
    workspace: str,
) -> tuple[str, ...]:
    """Returns the hosts of this zone, the first choice for a gateway first."""
    return _rank_shard(state, service, _find_shard(state, service, workspace))


def _find_shard(state: RelayState, service: str, workspace: str) -> int:
    shards = count_shards(state, service)
    return xxhash.xxh64_intdigest(workspace) % shards if shards > 1 else 0


def _rank_shard(state: RelayState, service: str, shard: int) -> tuple[str, ...]:
    known = state['gateway_ranks'].get((service, shard))
    if known is not None:
        return known
    hosts = [state['settings'].name, *state['zone_peers']]
    ranked = sorted(
        hosts,
        key=lambda host: compute_rank(service, shard, host),
    )
    state['gateway_ranks'][service, shard] = tuple(ranked)
    return tuple(ranked)


def compute_rank(service: str, shard: int, host: str) -> int:
    """Returns the rank of a host as a gateway; the lowest is the gateway."""
    rank: int = xxhash.xxh64_intdigest(f'{service}/{shard}/{host}')
    return rank


def _find_limit(state: RelayState, service: str) -> int:
    return state['max_connections'].get(service, 0)
