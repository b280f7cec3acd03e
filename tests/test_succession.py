"""Hosts that fail before a failover: succession and retirement."""

import pytest

from poplarspoke.control import retirement, tables
from poplarspoke.generated.relay import EndpointUnresponsive
from tests.control_world import ControlWorld

PRIMARY_KEY = 'primary/group'


@pytest.fixture
def world() -> ControlWorld:
    """Returns a fleet with a leader."""
    return ControlWorld(8, zones=3)


def measure_gap(world: ControlWorld) -> float:
    """Returns the seconds from the primary's failure to a new lease."""
    world.dead.add('m1')
    started_s = world.now_s
    for name in world.hosts:
        report_primary(world, name)
    while not any(
        world.find_leased_primary(name) == 'm2' for name in world.hosts
    ):
        assert world.now_s - started_s < 30
        world.run(0.1)
        for name in list(world.hosts):
            report_primary(world, name)
    return world.now_s - started_s


def report_primary(world: ControlWorld, name: str) -> None:
    """Reports the primary as unresponsive from the relay of a host."""
    unresponsive = EndpointUnresponsive('m1', 'group', world.now_s)
    world.post(name, unresponsive)


def test_fleet_has_a_leader_from_the_start(world: ControlWorld) -> None:
    """Without a leader, failed hosts would not be retired."""
    assert world.read_record('duty')['holder'] in world.hosts


def test_unresponsive_leader_is_replaced_before_a_failover(
    world: ControlWorld,
) -> None:
    """A failover would first have to wait for a new leader."""
    leader = world.read_record('duty')['holder']
    world.hosts.pop(leader)
    world.run(7)
    assert world.read_record('duty')['holder'] != leader
    assert world.read_record('duty')['token'] == 2


def test_restarted_leader_claims_leadership_again(world: ControlWorld) -> None:
    """The row names its former process, which no longer runs."""
    leader = world.read_record('duty')['holder']
    world.start(leader, incarnation=2)
    world.run(1)
    assert world.read_record('duty')['incarnation'] == 2


def test_partitioned_host_does_not_claim_leadership(
    world: ControlWorld,
) -> None:
    """Its claim would abort the failovers of the leader."""
    leader = world.read_record('duty')['holder']
    world.unreachable.add(next(name for name in world.hosts if name != leader))
    world.run(8)
    assert world.read_record('duty')['holder'] == leader


def test_failed_host_is_retired_before_a_failover(world: ControlWorld) -> None:
    """A failover waited for the lease of a host that failed long ago."""
    leader = world.read_record('duty')['holder']
    failed = next(name for name in world.hosts if name != leader)
    world.hosts.pop(failed)
    world.run(retirement.RETIRE_AFTER_S + tables.PRIMARY_LEASE_S + 1)
    assert world.read_record(f'host/{failed}')['retired']
    assert measure_gap(world) < 3


def test_failover_waits_for_the_lease_of_a_retired_host(
    world: ControlWorld,
) -> None:
    """It may be partitioned and use the old primary until then."""
    leader = world.read_record('duty')['holder']
    failed = next(name for name in world.hosts if name != leader)
    world.unreachable.add(failed)
    world.store_unreachable.add(failed)
    world.run(retirement.RETIRE_AFTER_S + 2)
    assert world.read_record(f'host/{failed}')['retired']
    retired_s = world.now_s
    assert world.find_leased_primary(failed) == 'm1'
    measure_gap(world)
    assert not world.find_leased_primary(failed)
    assert world.now_s - retired_s < tables.PRIMARY_LEASE_S + 3


def test_many_unresponsive_hosts_are_not_retired(world: ControlWorld) -> None:
    """After a network partition, these hosts continue to serve."""
    leader = world.read_record('duty')['holder']
    unresponsive = [name for name in sorted(world.hosts) if name != leader][:4]
    world.unreachable.update(unresponsive)
    world.run(6)
    assert not any(
        world.read_record(f'host/{name}')['retired'] for name in unresponsive
    )


def test_hosts_of_an_isolated_zone_are_not_retired(world: ControlWorld) -> None:
    """They would lose their leases when the partition ends."""
    leader = world.read_record('duty')['holder']
    zone = next(
        zone for zone in ('z1', 'z2', 'z3') if zone != world.find_zone(leader)
    )
    world.partitioned.add(zone)
    world.run(6)
    assert not any(
        world.read_record(f'host/{name}')['retired'] for name in world.hosts
    )


def test_leader_that_the_store_does_not_answer_is_replaced(
    world: ControlWorld,
) -> None:
    """It still answered all reports; a dead primary stayed for 7 s."""
    leader = world.read_record('duty')['holder']
    world.store_unreachable.add(leader)
    world.run(2)
    assert measure_gap(world) < 6
    assert world.read_record('duty')['holder'] != leader
