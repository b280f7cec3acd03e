"""Counts what a fleet sends and asks of the store, at several numbers of hosts.

Run ``python -m bench.capacity_fleet``. The links, owners and rows follow from
the same functions that the daemons use; the leases and the borrowing run in
virtual time with ``bench.rate_fleet``.
"""

import collections
import json
import pathlib
import time
from typing import Any

from bench import capacity_world as worlds
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

OUT = pathlib.Path('out/capacity')
RATE = 400.0
LOADED_HOSTS = 4
WARM_UP_S = 15.0
LENGTH_S = 10.0
STEP_S = 0.01
BUDGET_S = 1.0
RATE_SIZES = (8, 24, 50, 100, 200, 410)
# Requests a second of the one workspace; three quarters of its rate.
LOAD = 300.0


class CountingFleet(Fleet):
    """Fleet that counts its commits, those that lose included."""

    def __init__(
        self,
        names: tuple[str, ...],
        workspaces: tuple[WorkspaceRate, ...],
        *,
        seed: int,
    ) -> None:
        """Starts with no commits counted."""
        super().__init__(names, workspaces, seed=seed)
        self.commits = 0

    def serve_store(self, host: Host, message: Any) -> None:
        """Counts a commit and answers the request."""
        self.commits += isinstance(message, Commit)
        super().serve_store(host, message)


def count_links(hosts: int) -> dict[str, Any]:
    """Returns links, owners and store requests of a fleet."""
    databases = round(worlds.DATABASES * hosts / worlds.HOSTS)
    world = worlds.create_world(hosts, databases)
    names = sorted(world.hosts)
    links = {
        host: gossip.choose_peers(worlds.create_membership(world, host))
        for host in names
    }
    owned = count_owned(world, names)
    known = [
        owned[host] + sum(owned[peer] for peer in links[host]) for host in names
    ]
    peers = [len(links[host]) for host in names]
    return {
        'hosts': hosts,
        'peers_mean': sum(peers) / hosts,
        'peers_most': max(peers),
        'owned_most': max(owned.values()),
        'owned_mean': sum(owned.values()) / hosts,
        'positions_known': sum(known) / hosts / (databases * worlds.MEMBERS),
        'plans_refused': count_refused(world, names[0], links[names[0]]),
        'rows': len({units.get_lease_key(host, names) for host in names}),
        'head_reads_s': hosts / configuration.HEAD_READ_INTERVAL_S,
        'lists_s': hosts / gossip.LIST_INTERVAL_S,
        'lease_commits_s': hosts / rates.RENEWAL_INTERVAL_S,
    }


def count_owned(
    world: worlds.World,
    names: list[str],
) -> collections.Counter[str]:
    """Returns how many endpoints each host owns."""
    owned: collections.Counter[str] = collections.Counter()
    for database in world.databases:
        for endpoint in worlds.list_endpoints(database):
            owned[routing.find_owner(endpoint, names)] += 1
    return owned


def count_refused(world: worlds.World, host: str, peers: list[str]) -> float:
    """Returns the part of reads that a host cannot place.

    It knows its own endpoints and those of the hosts that it has links to.
    """
    names = tuple(sorted(world.hosts))
    state = placement.create_state(host, world.hosts[host], seed=1)
    dispatch.decide(worlds.create_in_force(world), state, worlds.START_S)
    near = {host, *peers}
    views = tuple(
        view
        for view in worlds.list_views(world.databases)
        if routing.find_owner(view.endpoint, names) in near
    )
    dispatch.decide(EndpointViews(views), state, worlds.START_S)
    refused = 0
    for workspace in world.workspaces[: len(world.databases)]:
        plan = PlanStatement('p', workspace, 'catalogue')
        reply: Any = dispatch.decide(plan, state, worlds.START_S)[0]
        refused += reply.message.refused
    return refused / len(world.databases)


def run_rates(hosts: int, *, loaded: int) -> dict[str, Any]:
    """Returns messages, writes and time of a fleet with one workspace.

    Args:
        hosts: Number of hosts.
        loaded: Hosts that get all requests.
    """
    names = tuple(f'h{index:03}' for index in range(hosts))
    fleet = CountingFleet(names, (WorkspaceRate('w', RATE, RATE),), seed=hosts)
    fleet.network.run(WARM_UP_S)
    messages = fleet.network.messages
    writes = fleet.table.writes
    commits = fleet.commits
    started_s = time.process_time()
    asked: list[str] = []
    due = float(0)
    for step in range(round(LENGTH_S / STEP_S)):
        fleet.network.run(WARM_UP_S + step * STEP_S)
        due += LOAD * STEP_S
        while due >= 1:
            due -= 1
            asked.append(
                fleet.request(names[len(asked) % loaded], 'w', BUDGET_S)
            )
    fleet.network.run(WARM_UP_S + LENGTH_S + BUDGET_S)
    used_s = time.process_time() - started_s
    answers = fleet.record.answers
    refused = sum(not answers[request].admitted for request in asked)
    return {
        'hosts': hosts,
        'loaded': loaded,
        'messages_s': (fleet.network.messages - messages) / LENGTH_S,
        'messages_host_s': (fleet.network.messages - messages)
        / LENGTH_S
        / hosts,
        'writes_s': (fleet.table.writes - writes) / LENGTH_S,
        'commits_s': (fleet.commits - commits) / LENGTH_S,
        'refused': refused / len(asked),
        'cpu_ms_host_s': used_s / LENGTH_S / hosts * 1000,
    }


def main() -> None:
    """Prints both tables and writes them under ``out/capacity/``."""
    OUT.mkdir(parents=True, exist_ok=True)
    found: dict[str, Any] = {'links': [], 'rates': []}
    for hosts in worlds.CURVE_HOSTS:
        found['links'].append(count_links(hosts))
        print(_format(found['links'][-1]))
    for count in RATE_SIZES:
        for loaded in (LOADED_HOSTS, count):
            found['rates'].append(run_rates(count, loaded=loaded))
            print(_format(found['rates'][-1]), flush=True)
    (OUT / 'fleet.json').write_text(json.dumps(found, indent=1))


def _format(figures: dict[str, Any]) -> str:
    return ', '.join(f'{name} {figure:.4g}' for name, figure in figures.items())


if __name__ == '__main__':
    main()
