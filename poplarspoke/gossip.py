"""State of the fleet as one host sees it, and the content of heartbeats."""

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from poplarspoke import confirmation
from poplarspoke.generated.configuration import (
    PeerState,
    SettingsFreshness,
)
from poplarspoke.generated.membership import (
    EndpointView,
    Heartbeat,
    HostStatus,
    HostView,
)
from poplarspoke.generated.platform import (
    HostEntry,
)
from poplarspoke.tasks import Outgoing, ToHost

SETTINGS_TASK = 'configuration'
HEARTBEAT_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 2.0
DEAD_AFTER_S = 5.0
# Dead hosts are removed after this time, since replacements have new names.
DEAD_HOST_RETENTION_S = 3600.0
LIST_INTERVAL_S = 5.0
# Up to this size, a host links to all hosts of its zone and to 3 hosts of each
# other zone.
SMALL_FLEET_HOSTS = 24
SMALL_FLEET_LINKS = 3
# In a ring of 51 hosts every host is at most 5 links away.
RING_STEPS = (1, 4, 13)
# A heartbeat with these and 6 endpoint views takes 1532 bytes.
MAX_HOST_VIEWS = 12
RECENT_CHANGE_S = 10.0
MAX_ENDPOINT_VIEWS = 32
# Reserves sequence numbers for each start, so that those of two starts differ.
SEQUENCES_PER_START = 4194304
INCARNATIONS = 1099511627776
MAX_SENT_TIMES = 64


class Member(NamedTuple):
    """What this host knows about another one.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        address: IP:port of its peer listener, empty if unknown.
        incarnation: Its latest known start.
        heard_at_s: Time of its latest contact with any host.
        direct_at_s: Time of the latest heartbeat from it.
        sequence: Number of that heartbeat.
        settings_version: Latest settings version that it is known to use.
        dead: Whether it is declared dead.
        leaving: Whether it shuts down.
        changed_at_s: Time at which it joined, died or returned.
    """

    name: str
    zone: str
    address: str = ''
    incarnation: int = 0
    heard_at_s: float = confirmation.NEVER_S
    direct_at_s: float = confirmation.NEVER_S
    sequence: int = 0
    settings_version: int = 0
    dead: bool = False
    leaving: bool = False
    changed_at_s: float = confirmation.NEVER_S


class KnownView(NamedTuple):
    """The view of an endpoint from the host that owns it.

    Attributes:
        host: The owner.
        view: Its view.
        observed_at_s: Lower bound of the time of the observation.
    """

    host: str
    view: EndpointView
    observed_at_s: float


class MembershipState(TypedDict):
    """State of the fleet as one host sees it.

    Attributes:
        host: Name of this host.
        zone: Its availability zone.
        incarnation: Unique for each start of the daemon.
        subscribers: Tasks to notify of changes of the fleet.
        started_at_s: Time at which this daemon started.
        members: Other hosts by name.
        linked: Hosts that receive heartbeats, with the time of linking.
        sequence: Number of the last heartbeat.
        sent_at_s: Times of the latest heartbeats, by number.
        heartbeat_at_s: Time of the last heartbeat.
        list_at_s: Time of the last query for the platform's list of hosts.
        list_under_way: Whether that query is outstanding.
        own_views: Endpoints that this host owns.
        views: Endpoints that other hosts own, by name.
        freshness: State of the settings, sent in heartbeats.
        turn: Index of the next host whose view is sent in rotation.
        leaving: Whether this host shuts down.
        published: Last published state of each host.
        touched: Hosts whose state may differ from the published one.
    """

    host: str
    zone: str
    incarnation: int
    subscribers: tuple[str, ...]
    started_at_s: float
    members: dict[str, Member]
    linked: dict[str, float]
    sequence: int
    sent_at_s: dict[int, float]
    heartbeat_at_s: float
    list_at_s: float
    list_under_way: bool
    own_views: tuple[EndpointView, ...]
    views: dict[str, KnownView]
    freshness: SettingsFreshness
    turn: int
    leaving: bool
    published: dict[str, HostStatus]
    touched: set[str]


def create_state(
    *,
    host: str,
    zone: str,
    incarnation: int,
    seeds: Iterable[HostEntry],
    subscribers: tuple[str, ...],
    now_s: float,
) -> MembershipState:
    """Returns the state of a host that has received no message.

    Args:
        host: Name of this host.
        zone: Its availability zone.
        incarnation: Unique for each start; later starts have higher ones.
        seeds: Hosts known before the platform answers.
        subscribers: Tasks to notify of changes of the fleet.
        now_s: Monotonic clock in seconds.
    """
    state = MembershipState(
        host=host,
        zone=zone,
        incarnation=incarnation,
        subscribers=subscribers,
        started_at_s=now_s,
        members={},
        linked={},
        sequence=(incarnation % INCARNATIONS) * SEQUENCES_PER_START,
        sent_at_s={},
        heartbeat_at_s=confirmation.NEVER_S,
        list_at_s=confirmation.NEVER_S,
        list_under_way=False,
        own_views=(),
        views={},
        freshness=SettingsFreshness(),
        turn=0,
        leaving=False,
        published={},
        touched=set(),
    )
    for entry in seeds:
        store_host_entry(state, entry, now_s)
    return state


def is_published(state: MembershipState, now_s: float) -> bool:
    """Returns whether the published states are current; clears ``touched``.

    A status changes with its member, or with time if the host is linked.
    Comparing all of 410 hosts for each message took 5% of a core.
    """
    touched = state['touched'].union(state['linked'])
    state['touched'] = set()
    for name in touched:
        published = state['published'].get(name)
        member = state['members'].get(name)
        if member is None and published is None:
            continue
        if member is None or published is None:
            return False
        status = _describe_host(member, state, now_s)
        if status._replace(heard_ago_s=0) != published:
            return False
    return True


def store_member(member: Member, state: MembershipState) -> None:
    """Stores a member and marks its status for comparison."""
    state['members'][member.name] = member
    state['touched'].add(member.name)


def list_live(state: MembershipState) -> list[str]:
    """Returns the names of the hosts that may own endpoints, sorted."""
    names = [
        member.name
        for member in state['members'].values()
        if not member.dead and not member.leaving
    ]
    if not state['leaving']:
        names.append(state['host'])
    return sorted(names)


def find_reachable_zones(
    state: MembershipState,
    now_s: float,
) -> tuple[str, ...]:
    """Returns the zones with a direct heartbeat within ``SUSPECT_AFTER_S``."""
    zones = {
        member.zone
        for member in state['members'].values()
        if now_s - member.direct_at_s < SUSPECT_AFTER_S
    }
    return tuple(sorted({*zones, state['zone']}))


def choose_peers(state: MembershipState) -> list[str]:
    """Returns the hosts that receive heartbeats.

    The choice is symmetric between hosts that know the same hosts. Dead hosts
    stay peers until they are removed; otherwise the sides of a network
    partition would not reconnect after it ends.
    """
    by_zone: dict[str, list[str]] = {state['zone']: [state['host']]}
    for member in state['members'].values():
        by_zone.setdefault(member.zone, []).append(member.name)
    small = len(state['members']) < SMALL_FLEET_HOSTS
    peers = set(_choose_ring(sorted(by_zone[state['zone']]), state['host']))
    if small:
        peers.update(by_zone[state['zone']])
    for zone, names in by_zone.items():
        if zone == state['zone']:
            continue
        own = sorted(by_zone[state['zone']])
        links = SMALL_FLEET_LINKS if small else 1
        own_index = own.index(state['host'])
        if (len(own), state['zone']) > (len(names), zone):
            peers.update(_choose_forward(own_index, sorted(names), links))
        else:
            peers.update(
                _choose_reverse(own_index, sorted(names), links, len(own))
            )
    return sorted(peers - {state['host']})


def _choose_ring(names: list[str], host: str) -> list[str]:
    own_index = names.index(host)
    size = len(names)
    chosen = []
    for step in RING_STEPS:
        chosen.append(names[(own_index + step) % size])
        chosen.append(names[(own_index - step) % size])
    return chosen


def _choose_forward(own_index: int, others: list[str], links: int) -> list[str]:
    """Returns a host's peers in a zone that is no larger than its own."""
    size = len(others)
    return [
        others[(own_index + step) % size] for step in range(min(links, size))
    ]


def _choose_reverse(
    own_index: int,
    others: list[str],
    links: int,
    size: int,
) -> list[str]:
    """Returns the reverse of ``_choose_forward`` for the smaller zone.

    Args:
        own_index: Index of this host in its zone.
        others: Hosts of the larger zone.
        links: Number of links of each of them to this zone.
        size: Number of hosts of this host's zone.
    """
    return [
        name
        for index, name in enumerate(others)
        if (own_index - index) % size < min(links, size)
    ]


def send_heartbeats(state: MembershipState, now_s: float) -> list[Outgoing]:
    """Chooses the peers anew and returns a heartbeat for each of them."""
    state['heartbeat_at_s'] = now_s
    state['sequence'] += 1
    state['sent_at_s'][state['sequence']] = now_s
    state['sent_at_s'].pop(state['sequence'] - MAX_SENT_TIMES, None)
    peers = choose_peers(state)
    # Only linked hosts can be suspect, so an unlinked one may change status.
    state['touched'].update(state['linked'])
    state['linked'] = {name: state['linked'].get(name, now_s) for name in peers}
    heartbeat = _build_heartbeat(state, now_s)
    return [
        ToHost(name, _add_echo(heartbeat, state['members'][name], now_s))
        for name in peers
    ]


def _build_heartbeat(state: MembershipState, now_s: float) -> Heartbeat:
    freshness = state['freshness']
    return Heartbeat(
        sender=state['host'],
        zone=state['zone'],
        incarnation=state['incarnation'],
        settings_version=freshness.version,
        confirmed=freshness.confirmed,
        confirmed_ago_s=now_s - freshness.confirmed_at_s,
        store_reachable=freshness.store_reachable,
        store_failed_ago_s=now_s - freshness.store_failed_at_s,
        doubts=freshness.doubts,
        leaving=state['leaving'],
        endpoints=state['own_views'],
        hosts=_choose_host_views(state, now_s),
        sequence=state['sequence'],
    )


def _add_echo(heartbeat: Heartbeat, peer: Member, now_s: float) -> Heartbeat:
    if not peer.sequence:
        return heartbeat
    return heartbeat._replace(
        echo_sequence=peer.sequence,
        echo_ago_s=now_s - peer.direct_at_s,
    )


def _choose_host_views(
    state: MembershipState,
    now_s: float,
) -> tuple[HostView, ...]:
    """Returns views of hosts that changed recently, then others in rotation."""
    members = sorted(
        (member for member in state['members'].values() if member.incarnation),
        key=_get_changed_at_s,
        reverse=True,
    )
    is_recent = [
        now_s - member.changed_at_s < RECENT_CHANGE_S for member in members
    ]
    recent = members[: min(sum(is_recent), MAX_HOST_VIEWS)]
    others = members[len(recent) :]
    remaining = min(MAX_HOST_VIEWS - len(recent), len(others))
    start = state['turn'] % max(len(others), 1)
    state['turn'] = start + remaining
    chosen = [*recent, *(others + others)[start : start + remaining]]
    return tuple(_build_host_view(member, now_s) for member in chosen)


def _get_changed_at_s(member: Member) -> float:
    return member.changed_at_s


def _build_host_view(member: Member, now_s: float) -> HostView:
    return HostView(
        host=member.name,
        zone=member.zone,
        incarnation=member.incarnation,
        heard_ago_s=now_s - member.heard_at_s,
        dead=member.dead,
        settings_version=member.settings_version,
    )


def merge_host_view(
    state: MembershipState, view: HostView, now_s: float
) -> None:
    """Merges a peer's view of another host into the state if it is newer."""
    if view.host == state['host']:
        return
    known = state['members'].get(view.host)
    if known is None:
        known = Member(view.host, view.zone, changed_at_s=now_s)
    if view.incarnation < known.incarnation:
        return
    heard_at_s = now_s - view.heard_ago_s
    restarted = view.incarnation > known.incarnation
    if heard_at_s <= known.heard_at_s and not restarted:
        return
    is_changed = known.dead != view.dead
    updated = known._replace(
        incarnation=view.incarnation,
        heard_at_s=heard_at_s,
        settings_version=max(known.settings_version, view.settings_version),
        dead=view.dead,
        changed_at_s=now_s if is_changed else known.changed_at_s,
    )
    store_member(updated, state)


def update_dead_hosts(state: MembershipState, now_s: float) -> None:
    """Declares unresponsive linked hosts dead and removes long-dead hosts.

    Hosts without a link to this one are declared dead by their own peers, whose
    heartbeats report it.
    """
    members = state['members']
    for name, member in list(members.items()):
        if member.dead:
            if now_s - member.changed_at_s > DEAD_HOST_RETENTION_S:
                members.pop(name)
                state['touched'].add(name)
            continue
        linked_at_s = state['linked'].get(name, now_s)
        if now_s - max(member.heard_at_s, linked_at_s) < DEAD_AFTER_S:
            continue
        store_member(member._replace(dead=True, changed_at_s=now_s), state)


def is_outdated(message: Heartbeat, known: Member) -> bool:
    """Returns whether a newer heartbeat of the sender was received."""
    if message.incarnation != known.incarnation:
        return message.incarnation < known.incarnation
    return message.sequence <= known.sequence


def find_earliest_send_s(message: Heartbeat, state: MembershipState) -> float:
    """Returns a lower bound of the time at which a heartbeat was sent.

    It is the time of the echoed heartbeat plus the delay until its echo, on
    this host's clock; ``NEVER_S`` without a known echo.
    """
    echoed_at_s = state['sent_at_s'].get(message.echo_sequence)
    if echoed_at_s is None:
        return confirmation.NEVER_S
    return echoed_at_s + message.echo_ago_s


def build_peer_state(message: Heartbeat, stated_at_s: float) -> PeerState:
    return PeerState(
        host=message.sender,
        zone=message.zone,
        version=message.settings_version,
        stated_at_s=stated_at_s,
        confirmed=message.confirmed,
        confirmed_ago_s=message.confirmed_ago_s,
        store_reachable=message.store_reachable,
        store_failed_ago_s=message.store_failed_ago_s,
        doubts=message.doubts,
    )


def store_endpoint_views(
    message: Heartbeat,
    state: MembershipState,
    stated_at_s: float,
) -> None:
    for view in message.endpoints:
        observed_at_s = stated_at_s - view.observed_ago_s
        known = state['views'].get(view.endpoint)
        if known is not None and known.observed_at_s > observed_at_s:
            continue
        state['views'][view.endpoint] = KnownView(
            message.sender,
            view,
            observed_at_s,
        )


def store_host_entry(
    state: MembershipState,
    entry: HostEntry,
    now_s: float,
) -> None:
    if entry.name == state['host']:
        return
    known = state['members'].get(entry.name)
    if known is None:
        known = Member(entry.name, entry.zone, changed_at_s=now_s)
    store_member(known._replace(zone=entry.zone, address=entry.address), state)


def mark_leaving(
    state: MembershipState,
    entry: HostEntry,
    listed_at_s: float,
) -> None:
    """Marks a host as leaving unless it was in contact after the listing."""
    known = state['members'].get(entry.name)
    if known is None or not entry.leaving or known.heard_at_s > listed_at_s:
        return
    store_member(known._replace(leaving=True), state)


def describe_self(state: MembershipState) -> HostStatus:
    return HostStatus(
        host=state['host'],
        zone=state['zone'],
        live=True,
        leaving=state['leaving'],
        settings_version=state['freshness'].version,
    )


def describe_hosts(
    state: MembershipState,
    now_s: float,
) -> tuple[HostStatus, ...]:
    members = state['members']
    return tuple(
        _describe_host(members[name], state, now_s) for name in sorted(members)
    )


def _describe_host(
    member: Member,
    state: MembershipState,
    now_s: float,
) -> HostStatus:
    since_contact_s = now_s - member.heard_at_s
    return HostStatus(
        host=member.name,
        zone=member.zone,
        address=member.address,
        live=not member.dead,
        suspect=member.name in state['linked']
        and since_contact_s >= SUSPECT_AFTER_S,
        leaving=member.leaving,
        settings_version=member.settings_version,
        heard_ago_s=since_contact_s,
    )
