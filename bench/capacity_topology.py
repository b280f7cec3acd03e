"""Sizes, names and settings of fleets for the capacity benches.

The constants are those of the target on the design page, which gives no number
of workspaces. Present sites have 8 workspaces on 3 databases, so 1680 are
assumed for the 630 databases of the target.
"""

import functools
import json
from typing import Any, NamedTuple

from poplarspoke import gossip, keys
from poplarspoke.generated.common import Position
from poplarspoke.generated.configuration import (
    SettingsInForce,
    SettingsSnapshot,
)
from poplarspoke.generated.membership import EndpointView
from poplarspoke.generated.platform import HostEntry

HOSTS = 410
DATABASES = 630
MEMBERS = 3
STATEMENTS_PER_S = 820000
CALLER_CONNECTIONS = 1200000
CURVE_HOSTS = (8, 24, 50, 100, 200, 410)
SMALL_ZONES = 3
LARGE_ZONES = 8
SMALL_FLEET = 24
WORKSPACES_PER_DATABASE = 8 / 3
SECRET = 's' * 30
ADDRESS = '10.200.100.1:7400'
START_S = 1000.0
TERM = 3


class Topology(NamedTuple):
    """Hosts, databases and workspaces of a fleet.

    Attributes:
        hosts: Zones by host name.
        databases: Names of the databases.
        workspaces: Names of the workspaces.
    """

    hosts: dict[str, str]
    databases: tuple[str, ...]
    workspaces: tuple[str, ...]


def create_topology(
    hosts: int, databases: int, workspaces: int = 0
) -> Topology:
    """Returns a fleet with 3 zones up to 24 hosts and 8 zones above."""
    zones = SMALL_ZONES if hosts <= SMALL_FLEET else LARGE_ZONES
    count = workspaces or round(databases * WORKSPACES_PER_DATABASE)
    return Topology(
        {
            f'h{index:03}.z{index % zones}': f'zone-{index % zones}'
            for index in range(hosts)
        },
        tuple(f'database-{index:03}' for index in range(databases)),
        tuple(f'workspace-{index:04}' for index in range(count)),
    )


def list_endpoints(database: str) -> tuple[str, ...]:
    """Returns the endpoint names of the members of a database."""
    return tuple(f'{database}-m{index}' for index in range(MEMBERS))


def create_document(topology: Topology) -> dict[str, Any]:
    """Returns settings with 2 keys and 3 routes per workspace."""
    zones = sorted(set(topology.hosts.values()))
    databases = {}
    for offset, name in enumerate(topology.databases):
        databases[name] = {
            'slots': 2,
            'connections': 8,
            'endpoints': {
                endpoint: {
                    'zone': zones[(offset + index) % len(zones)],
                    'address': ADDRESS,
                    'in_service': True,
                }
                for index, endpoint in enumerate(list_endpoints(name))
            },
        }
    teams: dict[str, Any] = {}
    for number, workspace in enumerate(topology.workspaces):
        team = teams.setdefault(f'team-{number % 16}', {'workspaces': {}})
        team['workspaces'][workspace] = create_workspace(topology, number)
    return {
        'teams': teams,
        'zones': {zone: {'in_service': True} for zone in zones},
        'databases': databases,
        'hosts': {
            host: {'zone': zone, 'address': ADDRESS}
            for host, zone in topology.hosts.items()
        },
    }


def create_workspace(topology: Topology, number: int) -> dict[str, Any]:
    """Returns the settings of one workspace."""
    database = topology.databases[number % len(topology.databases)]
    return {
        'rate': 500,
        'burst': 1000,
        'keys': {
            f'k{number}n{index}': {
                'digest': issue_key(number, index).record.digest,
                'revoked': False,
            }
            for index in range(2)
        },
        'routes': {
            'release': _create_route(database, 'recorded', write=True),
            'catalogue': _create_route(database, 'safe'),
            'stock': _create_route(database, 'safe'),
        },
    }


def _create_route(
    database: str,
    repeat: str,
    *,
    write: bool = False,
) -> dict[str, Any]:
    return {
        'database': database,
        'write': write,
        'repeat': repeat,
        'max_age_s': 5,
    }


def issue_key(number: int, index: int) -> keys.IssuedKey:
    """Returns a key of a workspace."""
    return keys.create_key(
        f'k{number}n{index}', f'workspace-{number:04}', SECRET
    )


def create_snapshot(topology: Topology, version: int = 1) -> SettingsSnapshot:
    """Returns the settings of a topology as a version."""
    return SettingsSnapshot(
        sender=next(iter(topology.hosts)),
        version=version,
        document=json.dumps(create_document(topology), sort_keys=True),
        accepted_at_s=START_S,
        who='operator',
        why='bench',
        path='teams',
        change_id=f'change-{version}',
    )


def create_in_force(topology: Topology, version: int = 1) -> SettingsInForce:
    """Returns the message that puts the settings of a topology in force."""
    return SettingsInForce(create_snapshot(topology, version))


def create_view(endpoint: str, database: str) -> EndpointView:
    """Returns a fresh view; the first member of a database is its primary."""
    return EndpointView(
        endpoint=endpoint,
        database=database,
        last=Position(TERM, 100000),
        age_s=0.1,
        observed_ago_s=0.1,
        primary=endpoint.endswith('m0'),
        reachable=True,
    )


def list_views(databases: tuple[str, ...]) -> tuple[EndpointView, ...]:
    """Returns a view of every endpoint of some databases."""
    return tuple(
        create_view(endpoint, database)
        for database in databases
        for endpoint in list_endpoints(database)
    )


def list_entries(topology: Topology) -> list[HostEntry]:
    """Returns the hosts in the form that the platform lists."""
    return [
        HostEntry(name, zone, ADDRESS) for name, zone in topology.hosts.items()
    ]


def create_membership(topology: Topology, host: str) -> gossip.MembershipState:
    """Returns the membership of a host whose seeds are all hosts."""
    return gossip.create_state(
        host=host,
        zone=topology.hosts[host],
        incarnation=1,
        seeds=list_entries(topology),
        subscribers=('dispatch', 'rates', 'operators'),
        now_s=START_S,
    )


def count_peers(topology: Topology) -> dict[str, int]:
    """Returns the number of peers that each host sends heartbeats to."""
    return {
        host: len(gossip.choose_peers(create_membership(topology, host)))
        for host in topology.hosts
    }


@functools.cache
def find_busiest(hosts: int) -> str:
    """Returns the host with the most peers in a fleet of ``hosts`` hosts."""
    counts = count_peers(create_topology(hosts, 1))
    return max(counts, key=counts.__getitem__)
