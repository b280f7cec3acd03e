"""Hosts that are gone before a primary has to be changed."""

import pytest

from poplarspoke.control import retirement, tables
from poplarspoke.generated.relay import EndpointSilent
from tests.control_world import ControlWorld

PRIMARY_KEY = 'primary/group'


@pytest.fixture
def world() -> ControlWorld:
    """Returns a fleet whose duty is held by somebody."""
    return ControlWorld(8, zones=3)


def count_gap(world: ControlWorld) -> float:
    """Lets the primary die; returns how long no host could use another."""
    world.dead.add('m1')
    started_s = world.now_s
    for name in world.hosts:
        report_silence(world, name)
    while not any(world.lease(name) == 'm2' for name in world.hosts):
        assert world.now_s - started_s < 30
        world.run(0.1)
        for name in list(world.hosts):
            report_silence(world, name)
    return world.now_s - started_s


def report_silence(world: ControlWorld, name: str) -> None:
    """Lets the relay of a host report the primary."""
    silent = EndpointSilent('m1', 'group', world.now_s)
    world.post(name, silent)


def test_somebody_holds_the_duty_from_the_start(world: ControlWorld) -> None:
    """Nobody would notice hosts that are gone."""
    assert world.record('duty')['holder'] in world.hosts


def test_silent_holder_is_replaced_beforehand(world: ControlWorld) -> None:
    """A change of primary would first have to wait for its successor."""
    holder = world.record('duty')['holder']
    world.hosts.pop(holder)
    world.run(7)
    assert world.record('duty')['holder'] != holder
    assert world.record('duty')['token'] == 2


def test_holder_that_started_again_takes_the_duty(world: ControlWorld) -> None:
    """Its old process holds the duty in the table, and nobody in truth."""
    holder = world.record('duty')['holder']
    world.start(holder, incarnation=2)
    world.run(1)
    assert world.record('duty')['incarnation'] == 2


def test_host_that_hears_nobody_takes_no_duty(world: ControlWorld) -> None:
    """It is cut off; its claim would stop the changes of the holder."""
    holder = world.record('duty')['holder']
    world.silent.add(next(name for name in world.hosts if name != holder))
    world.run(8)
    assert world.record('duty')['holder'] == holder


def test_gone_host_is_marked_before_a_change(world: ControlWorld) -> None:
    """A change of primary waited out the lease of a host gone for long."""
    holder = world.record('duty')['holder']
    gone = next(name for name in world.hosts if name != holder)
    world.hosts.pop(gone)
    world.run(retirement.SILENT_S + tables.LEASE_S + 1)
    assert world.record(f'host/{gone}')['retired']
    assert count_gap(world) < 3


def test_lease_of_a_marked_host_is_waited_for(world: ControlWorld) -> None:
    """It may be cut off only, and use the old primary until the lease ends."""
    holder = world.record('duty')['holder']
    gone = next(name for name in world.hosts if name != holder)
    world.silent.add(gone)
    world.deaf.add(gone)
    world.run(retirement.SILENT_S + 2)
    assert world.record(f'host/{gone}')['retired']
    marked_s = world.now_s
    assert world.lease(gone) == 'm1'
    count_gap(world)
    assert not world.lease(gone)
    assert world.now_s - marked_s < tables.LEASE_S + 3


def test_many_silent_hosts_are_not_marked(world: ControlWorld) -> None:
    """A cut takes many hosts at once, which go on under their leases."""
    holder = world.record('duty')['holder']
    silent = [name for name in sorted(world.hosts) if name != holder][:4]
    world.silent.update(silent)
    world.run(6)
    assert not any(world.record(f'host/{name}')['retired'] for name in silent)


def test_hosts_of_a_cut_zone_are_not_marked(world: ControlWorld) -> None:
    """They would lose their leases at the end of the cut."""
    holder = world.record('duty')['holder']
    zone = next(
        zone for zone in ('z1', 'z2', 'z3') if zone != world.find_zone(holder)
    )
    world.cut.add(zone)
    world.run(6)
    assert not any(
        world.record(f'host/{name}')['retired'] for name in world.hosts
    )


def test_holder_that_the_store_refuses_is_replaced(world: ControlWorld) -> None:
    """It answered all reports, and a dead primary stayed for 7 s."""
    holder = world.record('duty')['holder']
    world.deaf.add(holder)
    world.run(2)
    assert count_gap(world) < 6
    assert world.record('duty')['holder'] != holder
