"""Hosts that fail before a failover: succession and retirement."""

import pytest

from poplarspoke.control import retirement
from poplarspoke.control.state import PRIMARY_LEASE_S
from poplarspoke.generated.relay import EndpointUnresponsive
from tests.control_simulation import ControlSimulation

PRIMARY_KEY = 'primary/group'


@pytest.fixture
def simulation() -> ControlSimulation:
    """Returns a fleet with a leader."""
    return ControlSimulation(8, zones=3)


def measure_gap(simulation: ControlSimulation) -> float:
    """Returns the seconds from the primary's failure to a new lease."""
    simulation.dead.add('m1')
    started_s = simulation.now_s
    for name in simulation.hosts:
        report_primary(simulation, name)
    while not any(
        simulation.find_leased_primary(name) == 'm2'
        for name in simulation.hosts
    ):
        assert simulation.now_s - started_s < 30
        simulation.run(0.1)
        for name in list(simulation.hosts):
            report_primary(simulation, name)
    return simulation.now_s - started_s


def report_primary(simulation: ControlSimulation, name: str) -> None:
    """Reports the primary as unresponsive from the relay of a host."""
    unresponsive = EndpointUnresponsive('m1', 'group', simulation.now_s)
    simulation.post(name, unresponsive)


def test_fleet_has_a_leader_from_the_start(
    simulation: ControlSimulation,
) -> None:
    """Without a leader, failed hosts would not be retired."""
    assert simulation.read_record('duty')['holder'] in simulation.hosts


def test_unresponsive_leader_is_replaced_before_a_failover(
    simulation: ControlSimulation,
) -> None:
    """A failover would first have to wait for a new leader."""
    leader = simulation.read_record('duty')['holder']
    simulation.hosts.pop(leader)
    simulation.run(7)
    assert simulation.read_record('duty')['holder'] != leader
    assert simulation.read_record('duty')['token'] == 2


def test_restarted_leader_claims_leadership_again(
    simulation: ControlSimulation,
) -> None:
    """The row names its former process, which no longer runs."""
    leader = simulation.read_record('duty')['holder']
    simulation.start(leader, incarnation=2)
    simulation.run(1)
    assert simulation.read_record('duty')['incarnation'] == 2


def test_partitioned_host_does_not_claim_leadership(
    simulation: ControlSimulation,
) -> None:
    """Its claim would abort the failovers of the leader."""
    leader = simulation.read_record('duty')['holder']
    simulation.unreachable.add(
        next(name for name in simulation.hosts if name != leader)
    )
    simulation.run(8)
    assert simulation.read_record('duty')['holder'] == leader


def test_failed_host_is_retired_before_a_failover(
    simulation: ControlSimulation,
) -> None:
    """A failover waited for the lease of a host that failed long ago."""
    leader = simulation.read_record('duty')['holder']
    failed = next(name for name in simulation.hosts if name != leader)
    simulation.hosts.pop(failed)
    simulation.run(retirement.RETIRE_AFTER_S + PRIMARY_LEASE_S + 1)
    assert simulation.read_record(f'host/{failed}')['retired']
    assert measure_gap(simulation) < 3


def test_failover_waits_for_the_lease_of_a_retired_host(
    simulation: ControlSimulation,
) -> None:
    """It may be partitioned and use the old primary until then."""
    leader = simulation.read_record('duty')['holder']
    failed = next(name for name in simulation.hosts if name != leader)
    simulation.unreachable.add(failed)
    simulation.store_unreachable.add(failed)
    simulation.run(retirement.RETIRE_AFTER_S + 2)
    assert simulation.read_record(f'host/{failed}')['retired']
    retired_s = simulation.now_s
    assert simulation.find_leased_primary(failed) == 'm1'
    measure_gap(simulation)
    assert not simulation.find_leased_primary(failed)
    assert simulation.now_s - retired_s < PRIMARY_LEASE_S + 3


def test_many_unresponsive_hosts_are_not_retired(
    simulation: ControlSimulation,
) -> None:
    """After a network partition, these hosts continue to serve."""
    leader = simulation.read_record('duty')['holder']
    unresponsive = [
        name for name in sorted(simulation.hosts) if name != leader
    ][:4]
    simulation.unreachable.update(unresponsive)
    simulation.run(6)
    assert not any(
        simulation.read_record(f'host/{name}')['retired']
        for name in unresponsive
    )


def test_hosts_of_an_isolated_zone_are_not_retired(
    simulation: ControlSimulation,
) -> None:
    """They would lose their leases when the partition ends."""
    leader = simulation.read_record('duty')['holder']
    zone = next(
        zone
        for zone in ('z1', 'z2', 'z3')
        if zone != simulation.find_zone(leader)
    )
    simulation.partitioned.add(zone)
    simulation.run(6)
    assert not any(
        simulation.read_record(f'host/{name}')['retired']
        for name in simulation.hosts
    )


def test_leader_that_the_store_does_not_answer_is_replaced(
    simulation: ControlSimulation,
) -> None:
    """It still answered all reports; a dead primary stayed for 7 s."""
    leader = simulation.read_record('duty')['holder']
    simulation.store_unreachable.add(leader)
    simulation.run(2)
    assert measure_gap(simulation) < 6
    assert simulation.read_record('duty')['holder'] != leader
