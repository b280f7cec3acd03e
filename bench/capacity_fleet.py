"""Counts messages and store requests of fleets of several sizes.

Run ``python -m bench.capacity_fleet``. The links, owners and rows are computed
by the functions that the daemons use; the leases and the borrowing run in
virtual time with ``bench.rate_fleet``.
"""

import collections
import json
import pathlib
import time
from typing import Any

from bench import capacity_topology as topologies
from bench.rate_fleet import Fleet, Host
from poplarspoke import (
    configuration,
    dispatch,
    gossip,
    placement,
    rates,
    routing,
    units,
)
from poplarspoke.generated.dispatch import PlanStatement
from poplarspoke.generated.membership import EndpointViews
from poplarspoke.generated.platform import Commit
from poplarspoke.generated.rates import WorkspaceRate

OUT_DIR = pathlib.Path('out/capacity')
RATE = 400.0
LOADED_HOSTS = 4
WARM_UP_S = 15.0
DURATION_S = 10.0
STEP_S = 0.01
BUDGET_S = 1.0
RATE_HOSTS = (8, 24, 50, 100, 200, 410)
# Requests a second of the only workspace: three quarters of its rate.
LOAD = 300.0


class CountingFleet(Fleet):
    """Fleet that counts its commits, including those that conflict."""

    def __init__(
        self,
        names: tuple[str, ...],
        workspaces: tuple[WorkspaceRate, ...],
        *,
        seed: int,
    ) -> None:
        """Starts all hosts; the count of commits starts at 0."""
        super().__init__(names, workspaces, seed=seed)
        self.commits = 0

    def serve_store(self, host: Host, message: Any) -> None:
        """Counts a commit and answers the request."""
        self.commits += isinstance(message, Commit)
        super().serve_store(host, message)


def count_links(hosts: int) -> dict[str, Any]:
    """Returns links, owned endpoints and store requests of a fleet."""
    databases = round(topologies.DATABASES * hosts / topologies.HOSTS)
    topology = topologies.create_topology(hosts, databases)
    names = sorted(topology.hosts)
    links = {
        host: gossip.choose_peers(topologies.create_membership(topology, host))
        for host in names
    }
    owned = count_owned(topology, names)
    known_endpoints = [
        owned[host] + sum(owned[peer] for peer in links[host]) for host in names
    ]
    peers = [len(links[host]) for host in names]
    return {
        'hosts': hosts,
        'peers_mean': sum(peers) / hosts,
        'peers_most': max(peers),
        'owned_most': max(owned.values()),
        'owned_mean': sum(owned.values()) / hosts,
        'positions_known': sum(known_endpoints)
        / hosts
        / (databases * topologies.MEMBERS),
        'plans_refused': compute_refused_share(
            topology, names[0], links[names[0]]
        ),
        'rows': len({units.get_lease_key(host, names) for host in names}),
        'head_reads_s': hosts / configuration.HEAD_READ_INTERVAL_S,
        'lists_s': hosts / gossip.LIST_INTERVAL_S,
        'lease_commits_s': hosts / rates.RENEWAL_INTERVAL_S,
    }


def count_owned(
    topology: topologies.Topology,
    names: list[str],
) -> collections.Counter[str]:
    """Returns how many endpoints each host owns."""
    owned: collections.Counter[str] = collections.Counter()
    for database in topology.databases:
        for endpoint in topologies.list_endpoints(database):
            owned[routing.find_owner(endpoint, names)] += 1
    return owned


def compute_refused_share(
    topology: topologies.Topology, host: str, peers: list[str]
) -> float:
    """Returns the fraction of reads that a host refuses, lacking an endpoint.

    The host has views of its own endpoints and of those of its peers.
    """
    names = tuple(sorted(topology.hosts))
    state = placement.create_state(host, topology.hosts[host], seed=1)
    dispatch.decide(
        topologies.create_in_force(topology), state, topologies.START_S
    )
    connected = {host, *peers}
    views = tuple(
        view
        for view in topologies.list_views(topology.databases)
        if routing.find_owner(view.endpoint, names) in connected
    )
    dispatch.decide(EndpointViews(views), state, topologies.START_S)
    refused = 0
    for workspace in topology.workspaces[: len(topology.databases)]:
        plan = PlanStatement('p', workspace, 'catalogue')
        reply: Any = dispatch.decide(plan, state, topologies.START_S)[0]
        refused += reply.message.refused
    return refused / len(topology.databases)


def run_rates(hosts: int, *, loaded: int) -> dict[str, Any]:
    """Returns messages, writes and processor time with one workspace.

    Args:
        hosts: Number of hosts.
        loaded: Number of hosts that receive requests.
    """
    names = tuple(f'h{index:03}' for index in range(hosts))
    fleet = CountingFleet(names, (WorkspaceRate('w', RATE, RATE),), seed=hosts)
    fleet.network.run(WARM_UP_S)
    messages = fleet.network.messages
    writes = fleet.table.writes
    commits = fleet.commits
    started_s = time.process_time()
    requests: list[str] = []
    due_requests = float(0)
    for step in range(round(DURATION_S / STEP_S)):
        fleet.network.run(WARM_UP_S + step * STEP_S)
        due_requests += LOAD * STEP_S
        while due_requests >= 1:
            due_requests -= 1
            requests.append(
                fleet.request(names[len(requests) % loaded], 'w', BUDGET_S)
            )
    fleet.network.run(WARM_UP_S + DURATION_S + BUDGET_S)
    cpu_s = time.process_time() - started_s
    answers = fleet.record.answers
    refused = sum(not answers[request].admitted for request in requests)
    return {
        'hosts': hosts,
        'loaded': loaded,
        'messages_s': (fleet.network.messages - messages) / DURATION_S,
        'messages_host_s': (fleet.network.messages - messages)
        / DURATION_S
        / hosts,
        'writes_s': (fleet.table.writes - writes) / DURATION_S,
        'commits_s': (fleet.commits - commits) / DURATION_S,
        'refused': refused / len(requests),
        'cpu_ms_host_s': cpu_s / DURATION_S / hosts * 1000,
    }


def main() -> None:
    """Prints the link and rate figures and writes them as JSON."""
    OUT_DIR.mkdir(parents=True, exist_ok=True)
    tables: dict[str, Any] = {'links': [], 'rates': []}
    for hosts in topologies.CURVE_HOSTS:
        tables['links'].append(count_links(hosts))
        print(_format(tables['links'][-1]))
    for count in RATE_HOSTS:
        for loaded in (LOADED_HOSTS, count):
            tables['rates'].append(run_rates(count, loaded=loaded))
            print(_format(tables['rates'][-1]), flush=True)
    (OUT_DIR / 'fleet.json').write_text(json.dumps(tables, indent=1))


def _format(figures: dict[str, Any]) -> str:
    return ', '.join(f'{name} {figure:.4g}' for name, figure in figures.items())


if __name__ == '__main__':
    main()
