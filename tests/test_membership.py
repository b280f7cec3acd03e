"""Guards heartbeats, failure detection and the ownership of endpoints."""

import collections
from typing import Any

from poplarspoke import gossip, membership, routing
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import PeerState
from poplarspoke.generated.membership import (
    EndpointView,
    Heartbeat,
    HostsShown,
    HostView,
    LeaveFleet,
    ShowHosts,
)
from poplarspoke.generated.platform import HostEntry, HostList
from poplarspoke.tasks import Reply, ToHost, ToTask
from tests import fleet as fleets

ZONES = 8
TARGET_HOSTS = 410


def create_hosts(count: int, zones: int) -> list[HostEntry]:
    """Returns entries of hosts distributed over zones."""
    return [
        HostEntry(f'h{index:03}', f'z{index % zones}', f'127.0.0.1:{index}')
        for index in range(count)
    ]


def create_state(
    entry: HostEntry,
    entries: list[HostEntry],
) -> gossip.MembershipState:
    """Returns the state of one of several hosts at 100 s."""
    return gossip.create_state(
        host=entry.name,
        zone=entry.zone,
        incarnation=1,
        seeds=entries,
        subscribers=(),
        now_s=100,
    )


def list_links(count: int, zones: int) -> dict[str, set[str]]:
    """Returns the peers of every host."""
    entries = create_hosts(count, zones)
    return {
        entry.name: set(
            gossip.choose_peers(create_state(entry, entries)),
        )
        for entry in entries
    }


def test_links_are_symmetric_and_cover_the_zones() -> None:
    """Guards against heartbeats without an echo and against unlinked zones."""
    for count, zones in ((2, 2), (7, 3), (8, 3), (24, 3), (61, 3), (30, 8)):
        links = list_links(count, zones)
        for host, peers in links.items():
            assert host not in peers
            assert all(host in links[peer] for peer in peers)
            linked = {int(name[1:]) % zones for name in (*peers, host)}
            assert len(linked) == zones


def test_links_are_bounded_and_updates_spread_in_time() -> None:
    """Guards against updates slower than the target of 16 s at 410 daemons."""
    links = list_links(TARGET_HOSTS, ZONES)
    counts = collections.Counter(len(peers) for peers in links.values())
    assert max(counts) <= 16
    reached = {'h000'}
    rounds = 0
    while len(reached) < TARGET_HOSTS:
        reached = reached.union(*(links[host] for host in reached))
        rounds += 1
    assert rounds * gossip.HEARTBEAT_INTERVAL_S <= 4


def test_unresponsive_host_is_dead_until_its_restart() -> None:
    """Guards against a dead owner that is kept or revived by old messages."""
    entries = create_hosts(2, 1)
    state = create_state(entries[0], entries)
    first = Heartbeat('h001', 'z0', 5, sequence=9)
    membership.decide(Tick(), state, 100)
    membership.decide(first, state, 100)
    membership.decide(Tick(), state, 104.9)
    assert gossip.list_live(state) == ['h000', 'h001']
    membership.decide(Tick(), state, 105)
    assert gossip.list_live(state) == ['h000']
    membership.decide(first, state, 106)
    membership.decide(first._replace(incarnation=4), state, 106)
    assert gossip.list_live(state) == ['h000']
    membership.decide(Heartbeat('h001', 'z0', 6, sequence=1), state, 107)
    assert gossip.list_live(state) == ['h000', 'h001']


def test_host_in_contact_with_others_stays_live() -> None:
    """Guards against a host declared dead because of one broken link."""
    entries = create_hosts(3, 1)
    state = create_state(entries[0], entries)
    for step in range(20):
        now_s = 100 + step / 2
        membership.decide(Tick(), state, now_s)
        view = HostView('h002', 3, 0.1, zone='z0')
        heartbeat = Heartbeat('h001', 'z0', 1, sequence=step + 1)
        membership.decide(heartbeat._replace(hosts=(view,)), state, now_s)
    assert gossip.list_live(state) == ['h000', 'h001', 'h002']


def test_heartbeat_is_dated_by_its_echo() -> None:
    """Guards against a delayed heartbeat that is dated as recent (R6)."""
    entries = create_hosts(2, 1)
    state = create_state(entries[0], entries)
    sent: Any = membership.decide(Tick(), state, 100)
    echo = next(out for out in sent if isinstance(out, ToHost)).message
    view = EndpointView('e1', observed_ago_s=0.5)
    delayed = Heartbeat(
        'h001',
        'z0',
        1,
        endpoints=(view,),
        sequence=1,
        echo_sequence=echo.sequence,
        echo_ago_s=0.25,
    )
    out = membership.decide(delayed, state, 130)[0]
    assert isinstance(out, ToTask)
    peer: PeerState = out.message
    observed_at_s = state['views']['e1'].observed_at_s
    assert (peer.stated_at_s, observed_at_s) == (100.25, 99.75)


def test_echo_of_an_earlier_start_is_ignored() -> None:
    """Guards against an echo that matches a heartbeat of another start."""
    entries = create_hosts(2, 1)
    numbers: set[int] = set()
    for incarnation in (1, 2):
        state = gossip.create_state(
            host='h000',
            zone='z0',
            incarnation=incarnation,
            seeds=entries,
            subscribers=(),
            now_s=100,
        )
        membership.decide(Tick(), state, 100)
        numbers.update(state['sent_at_s'])
    assert len(numbers) == 2


def test_leaving_host_owns_nothing() -> None:
    """Guards against new statements for a host that shuts down (R13)."""
    entries = create_hosts(3, 1)
    state = create_state(entries[0], entries)
    membership.decide(LeaveFleet(), state, 100)
    assert gossip.list_live(state) == ['h001', 'h002']
    leaving = entries[1]._replace(leaving=True)
    membership.decide(HostList((leaving,), 1), state, 101)
    assert gossip.list_live(state) == ['h002']


def test_outdated_list_does_not_override_a_heartbeat() -> None:
    """Guards against the platform's lagging list excluding a live host."""
    entries = create_hosts(2, 1)
    state = create_state(entries[0], entries)
    membership.decide(Heartbeat('h001', 'z0', 2, sequence=1), state, 100)
    leaving = entries[1]._replace(leaving=True)
    membership.decide(HostList((leaving,), 30), state, 101)
    assert gossip.list_live(state) == ['h000', 'h001']


def test_owner_moves_only_from_lost_hosts() -> None:
    """Guards against ownership changes of endpoints of live hosts."""
    hosts = [f'h{index}' for index in range(8)]
    for number in range(50):
        ranked = routing.rank_hosts(f'e{number}', hosts)
        others = routing.rank_hosts(f'e{number}', set(hosts) - {ranked[0]})
        assert others == ranked[1:]


def test_zones_reconnect_after_a_partition() -> None:
    """Guards against hosts that stay dead after a network partition."""
    fleet = fleets.start_fleet()
    for zone in ('b', 'c'):
        fleet.partitions.add(frozenset(('a', zone)))
    fleet.run(10)
    state = fleet.states['ah0']['membership']
    assert gossip.list_live(state) == ['ah0', 'ah1']
    assert gossip.find_reachable_zones(state, fleet.now_s) == ('a',)
    fleet.partitions.clear()
    fleet.run(2)
    assert len(gossip.list_live(state)) == 6


def test_queried_host_shows_itself() -> None:
    """Guards against a list that lacks the settings version of its host."""
    fleet = fleets.start_fleet()
    state = fleet.states['ah0']['membership']
    answer = membership.decide(ShowHosts('asked'), state, fleet.now_s)[0]
    assert isinstance(answer, Reply)
    assert isinstance(answer.message, HostsShown)
    shown = {host.host: host for host in answer.message.hosts}
    assert sorted(shown) == sorted(fleet.zone_of)
    versions = {host.settings_version for host in shown.values()}
    assert versions == {fleet.version('ah0')}
    assert shown['ah0'].live
