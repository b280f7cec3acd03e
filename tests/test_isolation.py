"""Isolated zones that callers still reach."""

import pytest

from poplarspoke.generated.common import Tick
from poplarspoke.generated.control import (
    QueryReachability,
    WriteRecords,
    ZoneCut,
)
from poplarspoke.generated.relay import EndpointUnresponsive, ReadinessChanged
from tests.control_simulation import (
    SERVICE,
    TICK_S,
    ControlSimulation,
    find_messages,
)


@pytest.fixture
def fleet() -> ControlSimulation:
    """Returns six hosts in three zones; the primary is in the first."""
    return ControlSimulation(6, zones=3)


def run_with_reports(
    simulation: ControlSimulation, seconds: float, unresponsive: dict[str, str]
) -> None:
    """Advances the clock while hosts report unresponsive endpoints."""
    for _ in range(round(seconds / TICK_S)):
        for host, endpoint in unresponsive.items():
            simulation.post(
                host, EndpointUnresponsive(endpoint, SERVICE, simulation.now_s)
            )
        simulation.run(TICK_S)


def list_ready(simulation: ControlSimulation) -> set[str]:
    """Returns the hosts that are ready."""
    return {name for name, host in simulation.hosts.items() if host['ready']}


def test_hosts_of_an_isolated_zone_are_not_ready(
    fleet: ControlSimulation,
) -> None:
    """Their callers would be refused until the partition ends."""
    fleet.partitioned.add('z2')
    run_with_reports(fleet, 1, {'h1': 'm1', 'h4': 'm1'})
    assert list_ready(fleet) == {'h0', 'h2', 'h3', 'h5'}


def test_hosts_without_traffic_are_not_ready_either(
    fleet: ControlSimulation,
) -> None:
    """The platform drops a zone only if none of its hosts is ready."""
    fleet.partitioned.add('z2')
    run_with_reports(fleet, 1.5, {'h1': 'm1'})
    assert list_ready(fleet) == {'h0', 'h2', 'h3', 'h5'}


def test_notified_host_verifies_the_isolation(fleet: ControlSimulation) -> None:
    """One host may be partitioned alone; the others reach all zones."""
    fleet.post('h1', ZoneCut('h4'))
    fleet.run(1)
    assert list_ready(fleet) == set(fleet.hosts)


def test_isolated_zone_with_the_primaries_stays_ready(
    fleet: ControlSimulation,
) -> None:
    """No other zone can serve the services whose primaries it has."""
    fleet.partitioned.add('z1')
    run_with_reports(fleet, 1, {'h0': 'm2', 'h3': 'm3'})
    assert list_ready(fleet) == set(fleet.hosts)


def test_hosts_are_ready_once_the_partition_ends(
    fleet: ControlSimulation,
) -> None:
    """Hosts that are not ready reduce the capacity of their zone."""
    fleet.partitioned.add('z2')
    run_with_reports(fleet, 1, {'h1': 'm1', 'h4': 'm1'})
    fleet.partitioned.clear()
    fleet.run(0.3)
    assert list_ready(fleet) == set(fleet.hosts)


def test_dead_primary_alone_does_not_isolate_a_zone(
    fleet: ControlSimulation,
) -> None:
    """Hosts of the other zones do not reach it either."""
    run_with_reports(fleet, 1, {'h1': 'm1', 'h4': 'm1', 'h2': 'm1', 'h5': 'm1'})
    assert list_ready(fleet) == set(fleet.hosts)


def test_failed_hosts_of_other_zones_do_not_isolate_a_zone(
    fleet: ControlSimulation,
) -> None:
    """If all other hosts fail, the remaining ones must serve."""
    for name in ('h0', 'h2', 'h3', 'h5'):
        fleet.hosts.pop(name)
    fleet.run(5)
    assert list_ready(fleet) == {'h1', 'h4'}


def test_zone_that_reaches_one_other_zone_is_not_isolated(
    fleet: ControlSimulation,
) -> None:
    """Two zones that cannot reach each other may both reach a third."""
    fleet.unreachable.update({'h0', 'h3'})
    run_with_reports(fleet, 2, {'h1': 'm1', 'h4': 'm1'})
    assert list_ready(fleet) >= {'h1', 'h4', 'h2', 'h5'}


def test_hosts_of_an_isolated_zone_do_not_claim_leadership(
    fleet: ControlSimulation,
) -> None:
    """Their claims, one each second, reached the store afterwards."""
    leader = fleet.read_record('duty')['holder']
    zone = next(
        fleet.find_zone(name)
        for name in sorted(fleet.hosts)
        if fleet.find_zone(name) not in {fleet.find_zone(leader), 'z1'}
    )
    local = [name for name in fleet.hosts if fleet.find_zone(name) == zone]
    fleet.partitioned.add(zone)
    run_with_reports(fleet, 1, dict.fromkeys(local, 'm1'))
    for name in local:
        fleet.sent[name].clear()
    run_with_reports(fleet, 4, dict.fromkeys(local, 'm1'))
    for name in local:
        assert not find_messages(fleet.sent[name], WriteRecords)


def test_assessments_of_an_unresponsive_primary_are_limited(
    fleet: ControlSimulation,
) -> None:
    """Each one queries all hosts; there were 40 a second."""
    leader = fleet.read_record('duty')['holder']
    fleet.sent[leader].clear()
    others = [name for name in fleet.hosts if name != leader]
    run_with_reports(fleet, 2, dict.fromkeys(others[:2], 'm1'))
    assert len(
        find_messages(fleet.sent[leader], QueryReachability)
    ) <= 10 * len(others)


def test_isolation_ends_when_other_zones_have_no_hosts(
    fleet: ControlSimulation,
) -> None:
    """The relay continued to close idle sessions of the only zone left."""
    fleet.partitioned.add('z2')
    run_with_reports(fleet, 1, {'h1': 'm1'})
    state = fleet.hosts['h1']
    fleet.sent['h1'].clear()
    for name in ('h0', 'h2', 'h3', 'h5'):
        state['hosts'].pop(name)
    fleet.post('h1', Tick())
    assert find_messages(fleet.sent['h1'], ReadinessChanged) == [
        ReadinessChanged(True)
    ]
    assert state['ready']
