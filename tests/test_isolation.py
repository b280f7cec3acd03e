"""A zone that is cut off while callers still reach it."""

import pytest

from poplarspoke.generated.common import Tick
from poplarspoke.generated.control import AskReach, WriteRecords, ZoneCut
from poplarspoke.generated.relay import EndpointSilent, ReadinessChanged
from tests.control_world import SERVICE, TICK_S, ControlWorld, find


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


def test_hosts_without_traffic_are_not_ready_either(
    fleet: ControlWorld,
) -> None:
    """The platform leaves a zone only if none of its hosts is ready."""
    fleet.cut.add('z2')
    play(fleet, 1.5, {'h1': 'm1'})
    assert list_ready(fleet) == {'h0', 'h2', 'h3', 'h5'}


def test_host_that_is_told_asks_itself(fleet: ControlWorld) -> None:
    """One host may be cut off alone; the others still reach all zones."""
    fleet.post('h1', ZoneCut('h4'))
    fleet.run(1)
    assert list_ready(fleet) == set(fleet.hosts)


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


def test_hosts_of_a_cut_zone_do_not_claim_the_duty(fleet: ControlWorld) -> None:
    """Their claims reached the store when the cut ended, one each second."""
    holder = fleet.record('duty')['holder']
    zone = next(
        fleet.find_zone(name)
        for name in sorted(fleet.hosts)
        if fleet.find_zone(name) not in {fleet.find_zone(holder), 'z1'}
    )
    near = [name for name in fleet.hosts if fleet.find_zone(name) == zone]
    fleet.cut.add(zone)
    play(fleet, 1, dict.fromkeys(near, 'm1'))
    for name in near:
        fleet.sent[name].clear()
    play(fleet, 4, dict.fromkeys(near, 'm1'))
    for name in near:
        assert not find(fleet.sent[name], WriteRecords)


def test_primary_that_few_hosts_reach_is_judged_now_and_then(
    fleet: ControlWorld,
) -> None:
    """Each judgement asks all hosts; there were 40 a second."""
    holder = fleet.record('duty')['holder']
    fleet.sent[holder].clear()
    others = [name for name in fleet.hosts if name != holder]
    play(fleet, 2, dict.fromkeys(others[:2], 'm1'))
    assert len(find(fleet.sent[holder], AskReach)) <= 10 * len(others)


def test_cut_ends_when_other_zones_have_no_hosts(fleet: ControlWorld) -> None:
    """The relay went on to close idle sessions, which had nowhere to go."""
    fleet.cut.add('z2')
    play(fleet, 1, {'h1': 'm1'})
    state = fleet.hosts['h1']
    fleet.sent['h1'].clear()
    for name in ('h0', 'h2', 'h3', 'h5'):
        state['hosts'].pop(name)
    fleet.post('h1', Tick())
    assert find(fleet.sent['h1'], ReadinessChanged) == [ReadinessChanged(True)]
    assert state['ready']
