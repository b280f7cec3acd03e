"""A zone that is cut off while callers still reach it."""

import pytest

from poplarspoke.generated.relay import EndpointSilent
from tests.control_world import SERVICE, TICK_S, ControlWorld


@pytest.fixture
def fleet() -> ControlWorld:
    """Returns six hosts in three zones; the primary is in the first."""
    return ControlWorld(6, zones=3)


def play(world: ControlWorld, seconds: float, silent: dict[str, str]) -> None:
    """Lets time pass while hosts report endpoints that do not answer."""
    for _ in range(round(seconds / TICK_S)):
        for host, endpoint in silent.items():
            world.post(host, EndpointSilent(endpoint, SERVICE, world.now_s))
        world.run(TICK_S)


def list_ready(world: ControlWorld) -> set[str]:
    """Returns the hosts that say they are ready."""
    return {name for name, host in world.hosts.items() if host['ready']}


def test_hosts_of_a_cut_zone_are_not_ready(fleet: ControlWorld) -> None:
    """Callers that stay with them are refused until the cut ends."""
    fleet.cut.add('z2')
    play(fleet, 1, {'h1': 'm1', 'h4': 'm1'})
    assert list_ready(fleet) == {'h0', 'h2', 'h3', 'h5'}


def test_zone_that_leads_goes_on(fleet: ControlWorld) -> None:
    """Nobody else can serve the services whose primaries it has."""
    fleet.cut.add('z1')
    play(fleet, 1, {'h0': 'm2', 'h3': 'm3'})
    assert list_ready(fleet) == set(fleet.hosts)


def test_hosts_are_ready_once_the_cut_ends(fleet: ControlWorld) -> None:
    """A host that stayed away would cost its zone its capacity."""
    fleet.cut.add('z2')
    play(fleet, 1, {'h1': 'm1', 'h4': 'm1'})
    fleet.cut.clear()
    fleet.run(0.3)
    assert list_ready(fleet) == set(fleet.hosts)


def test_dead_primary_alone_is_no_cut(fleet: ControlWorld) -> None:
    """Other zones reach it no better."""
    play(fleet, 1, {'h1': 'm1', 'h4': 'm1', 'h2': 'm1', 'h5': 'm1'})
    assert list_ready(fleet) == set(fleet.hosts)


def test_lost_hosts_of_other_zones_are_no_cut(fleet: ControlWorld) -> None:
    """If all other hosts died, these serve everything."""
    for name in ('h0', 'h2', 'h3', 'h5'):
        fleet.hosts.pop(name)
    fleet.run(5)
    assert list_ready(fleet) == {'h1', 'h4'}


def test_bridge_between_zones_is_no_cut(fleet: ControlWorld) -> None:
    """Two zones that cannot reach each other may both reach a third."""
    fleet.silent.update({'h0', 'h3'})
    play(fleet, 2, {'h1': 'm1', 'h4': 'm1'})
    assert list_ready(fleet) >= {'h1', 'h4', 'h2', 'h5'}
