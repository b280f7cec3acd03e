"""States of one daemon at the sizes of the target."""

import functools
import json
from typing import Any

from bench import capacity_control as control
from bench import capacity_path as paths
from bench import capacity_topology as topologies
from poplarspoke import configuration

WORKSPACES = round(topologies.DATABASES * topologies.WORKSPACES_PER_DATABASE)
# 1890 endpoints over 410 hosts, rounded up.
OWNED_ENDPOINTS = 5


def create_configuration() -> Any:
    """Returns the settings: the text and the parsed document."""
    topology = topologies.create_topology(
        topologies.HOSTS, topologies.DATABASES
    )
    state = configuration.create_state(
        host='h000.z0', zone='zone-0', subscribers=(), now_s=topologies.START_S
    )
    state['snapshot'] = topologies.create_snapshot(topology)
    state['document'] = json.loads(state['snapshot'].document)
    return state


def create_owned_pools() -> Any:
    """Returns connection pools of the endpoints that a host owns."""
    return [paths.create_pool(6) for _ in range(OWNED_ENDPOINTS)]


STATES = (
    ('configuration', create_configuration),
    ('keys', functools.partial(paths.create_keys, topologies.DATABASES)),
    (
        'dispatch',
        functools.partial(
            paths.create_dispatch, topologies.HOSTS, topologies.DATABASES
        ),
    ),
    (
        'drains',
        lambda: control.build_drain_ticks(topologies.DATABASES)[0],
    ),
    (
        'membership',
        lambda: control.build_membership(topologies.HOSTS)[0],
    ),
    ('rates', functools.partial(paths.create_rates, WORKSPACES)),
    (
        'lease row',
        lambda: control.build_lease(WORKSPACES)[0],
    ),
    (
        'failover',
        lambda: control.build_failover_idle(topologies.DATABASES)[0],
    ),
    ('pools', create_owned_pools),
    ('traces', lambda: paths.build_traces(1000)[0]),
    ('metrics', lambda: control.build_metrics(256)[0]),
)
