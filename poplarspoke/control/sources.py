"""Hosts that read the metadata store, and which of them a host queries.

The hosts of a zone are in a fixed order. The first ones, the zone watchers, watch the
store, and more of them do while no host is known that the store answers: their number
doubles in short steps, so that a store that serves any host of the zone is soon read,
and few hosts call it if it serves the first ones. Each host states whether the store
answers its own watches. So a host that answers its peers is not taken for one that is
current.
"""

import xxhash

from poplarspoke.control.state import RECORDS, ControlState
from poplarspoke.generated.control import Confirmation, StoreAccess

# Up to this size, all hosts of a fleet are watchers.
SMALL_FLEET_HOSTS = 8
# Watchers of each zone of a larger fleet: one may be down or refused by the
# store.
ZONE_WATCHERS = 2
# A watch of the records is answered after 1.2 s at the latest, and 0.25 s later by
# a slow store.
MAX_SILENCE_S = 1.8
# Interval of the queries, the one of a host that the store does not answer, and that
# of a query without an answer of a source. A round trip between regions takes 25 ms.
QUERY_INTERVAL_S = 1.0
REFUSED_INTERVAL_S = 0.4
REPEAT_INTERVAL_S = 0.25
# Hosts that are queried at once; 31 in a second.
MAX_QUERIED = 8
# A host that did not answer, or that the store does not answer, is not queried again
# for this long.
AVOIDED_S = 2.0
# Hosts stand in for the watchers when they know of no answer of the store for this
# long. The last answer is 1.2 s old when a watcher states it, and 2.6 s old when the
# next query is repeated.
STAND_IN_AFTER_S = 2.7
# The number of the watching hosts of a zone doubles in this interval; 64 of them
# watch after 3.7 s.
DOUBLING_INTERVAL_S = 0.25
MAX_DOUBLINGS = 10


def find_access(state: ControlState, now_s: float) -> StoreAccess:
    """Returns whether the store answers the watches of this host."""
    if not state['watches_s'][RECORDS]:
        return StoreAccess.NOT_WATCHING
    answered_s = state['store_last_response_s']
    if answered_s <= state['store_failed_s']:
        return StoreAccess.REFUSED
    if now_s - answered_s > MAX_SILENCE_S:
        return StoreAccess.REFUSED
    return StoreAccess.READING


def record(state: ControlState, message: Confirmation, now_s: float) -> None:
    """Records whether the store answers a host."""
    sender = message.sender
    if sender not in state['hosts']:
        return
    is_watcher = sender in list_watchers(state)
    is_queried = sender in state['queried']
    state['queried'].discard(sender)
    state['silent_until_s'].pop(sender, None)
    if _is_reading(message, is_watcher=is_watcher):
        _record_source(state, message, now_s, is_queried=is_queried)
        return
    if now_s < state['settled_s']:
        # The watchers of a fleet that starts do not know yet that they are.
        return
    state['refused_until_s'][sender] = now_s + AVOIDED_S
    if is_queried:
        # Another watcher is queried at once.
        wait_s = 0 if is_watcher else REFUSED_INTERVAL_S
        state['next_query_s'] = now_s + wait_s


def choose(state: ControlState, now_s: float) -> set[str]:
    """Returns the hosts that are queried next.

    Traffic between zones and regions is billed, so watchers of this zone come first.
    While no source is known, any other host is queried, too. Their number doubles with
    each round that nobody answers, since many hosts may have frozen at once.
    """
    unanswered = state['queried']
    rounds = state['unanswered_rounds']
    has_answers = len(unanswered) < state['queried_hosts']
    state['unanswered_rounds'] = 0 if has_answers else rounds + 1
    for name in unanswered:
        state['silent_until_s'][name] = now_s + AVOIDED_S
    count = min(1 << state['unanswered_rounds'], MAX_QUERIED)
    if _find_silence(state, now_s) >= STAND_IN_AFTER_S:
        count = max(count, 2)
    chosen = _choose_usable(state, count, now_s)
    state['queried'] = set(chosen)
    state['queried_hosts'] = len(chosen)
    state['next_query_s'] = now_s + REPEAT_INTERVAL_S
    return set(chosen)


def are_watchers_silent(state: ControlState, now_s: float) -> bool:
    """Returns whether no watcher of this zone has answered lately."""
    own = state['settings'].name
    return all(
        name == own or _is_silent(state, name, now_s)
        for name in _list_zone_hosts(state)[:ZONE_WATCHERS]
    )


def may_stand_in(state: ControlState, now_s: float) -> bool:
    """Returns whether this host watches the store in place of the watchers."""
    own = state['settings'].name
    if _find_silence(state, now_s) < STAND_IN_AFTER_S:
        return False
    return own in list_zone_sources(state, now_s)


def list_zone_sources(state: ControlState, now_s: float) -> tuple[str, ...]:
    """Returns the hosts of this zone that watch the store now."""
    hosts = _list_zone_hosts(state)
    if len(list_watchers(state)) == len(_list_live(state)):
        return hosts
    waited_s = _find_silence(state, now_s) - STAND_IN_AFTER_S
    if waited_s < 0:
        return hosts[:ZONE_WATCHERS]
    doublings = min(1 + int(waited_s / DOUBLING_INTERVAL_S), MAX_DOUBLINGS)
    return hosts[: ZONE_WATCHERS << doublings]


def list_watchers(state: ControlState) -> tuple[str, ...]:
    """Returns the zone watchers of all zones."""
    watchers = state['watchers']
    if watchers is None:
        watchers = tuple(_choose_watchers(state))
        state['watchers'] = watchers
    return watchers


def list_refused(state: ControlState, now_s: float) -> list[str]:
    """Returns the hosts that have lately said that they do not read the store."""
    return [
        name
        for name, until_s in state['refused_until_s'].items()
        if now_s < until_s
    ]


def _is_reading(message: Confirmation, *, is_watcher: bool) -> bool:
    if message.access is StoreAccess.UNSTATED:
        # A host of an earlier version.
        return is_watcher
    return message.access is StoreAccess.READING


def _record_source(
    state: ControlState,
    message: Confirmation,
    now_s: float,
    *,
    is_queried: bool,
) -> None:
    """Records that the store answers a host, and when it last did."""
    state['refused_until_s'].pop(message.sender, None)
    answered_s = message.asked_s - message.answered_ago_s
    if answered_s > state['source_last_response_s']:
        state['source_last_response_s'] = answered_s
    if is_queried:
        is_refused = find_access(state, now_s) is StoreAccess.REFUSED
        interval_s = REFUSED_INTERVAL_S if is_refused else QUERY_INTERVAL_S
        state['next_query_s'] = message.asked_s + interval_s


def _choose_usable(state: ControlState, count: int, now_s: float) -> list[str]:
    """Returns one of the first hosts that may read the store, and any others."""
    avoided = {state['settings'].name, *list_refused(state, now_s)}
    live = _list_live(state)
    avoided |= {name for name in live if _is_silent(state, name, now_s)}
    sources = (list_zone_sources(state, now_s), list_watchers(state), live)
    chosen: list[str] = []
    for group in sources:
        usable = [name for name in group if name not in avoided]
        if usable:
            chosen.append(state['rng'].choice(usable))
            break
    others = [name for name in live if name not in avoided.union(chosen)]
    extra = min(count - 1, len(others))
    return [*chosen, *state['rng'].sample(others, extra)]


def _is_silent(state: ControlState, name: str, now_s: float) -> bool:
    return now_s < state['silent_until_s'].get(name, 0)


def _find_silence(state: ControlState, now_s: float) -> float:
    return now_s - state['source_last_response_s']


def _choose_watchers(state: ControlState) -> list[str]:
    names = _list_live(state)
    if len(names) <= SMALL_FLEET_HOSTS:
        return names
    counts: dict[str, int] = {}
    watchers: list[str] = []
    for name in _sort(names):
        zone = state['hosts'][name].zone
        counts[zone] = counts.get(zone, 0) + 1
        if counts[zone] <= ZONE_WATCHERS:
            watchers.append(name)
    return watchers


def _list_live(state: ControlState) -> list[str]:
    return [name for name, host in state['hosts'].items() if not host.retired]


def _list_zone_hosts(state: ControlState) -> tuple[str, ...]:
    hosts = state['zone_hosts']
    if hosts is None:
        zone = state['settings'].zone
        names = [
            name
            for name in _list_live(state)
            if state['hosts'][name].zone == zone
        ]
        hosts = tuple(_sort(names))
        state['zone_hosts'] = hosts
    return hosts


def _sort(names: list[str]) -> list[str]:
    return sorted(names, key=xxhash.xxh64_intdigest)
