"""Until when the settings of a host are known to be complete.

A confirmation is a time on the host's clock: every change that was accepted
before it is in force on the host. Each rule returns a lower bound, so the
latest of them holds.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarspoke.generated.configuration import PeerState
from poplarspoke.generated.settings import Document

# Before any time that a monotonic clock shows.
NEVER_S = -1000000.0
# A zone's hosts know of a change accepted in their zone after four heartbeats,
# and a failed attempt does not show when the store failed.
SPREAD_S = 1.5
FRESH_S = 5.0
EVERY_ZONE = 'every_zone'
MAJORITY = 'majority_of_zones'
NO_CONFIRMATION = 'none'


class Confirmation(NamedTuple):
    """A confirmation and its evidence.

    Attributes:
        at_s: Every change accepted before this time is in force.
        evidence: Who confirmed it, for operators.
    """

    at_s: float
    evidence: str


NO_EVIDENCE = Confirmation(NEVER_S, 'nobody')


def find_latest(candidates: Iterable[Confirmation]) -> Confirmation:
    """Returns the latest confirmation."""
    return max(candidates, key=_get_time, default=NO_EVIDENCE)


def confirm_by_peers(
    version: int,
    peers: Mapping[str, PeerState],
) -> Confirmation:
    """Returns the latest confirmation that a confirmed peer passes on.

    A peer that is ahead confirms nothing, since what it knows is missing here.
    """
    return find_latest(
        Confirmation(
            peer.stated_at_s - peer.confirmed_ago_s,
            f'host {peer.host}',
        )
        for peer in peers.values()
        if peer.confirmed and peer.version <= version
    )


def confirm_by_zones(
    version: int,
    peers: Mapping[str, PeerState],
    document: Document,
    *,
    zone: str,
    store_failed_at_s: float,
) -> Confirmation:
    """Returns the confirmation by the other zones while the store is down.

    Args:
        version: Settings version in force on this host.
        peers: Last statement of each peer.
        document: Settings in force; they name the zones in service.
        zone: Zone of this host.
        store_failed_at_s: When the last failed attempt of this host began.
    """
    if not version:
        return NO_EVIDENCE
    others = [name for name in list_zones(document) if name != zone]
    bounds = sorted(
        (_bound_zone(version, peers, name) for name in others),
        key=_get_time,
        reverse=True,
    )
    needed = len(others)
    if get_policy(document) == MAJORITY:
        # The own zone is one of the zones of the majority.
        needed = (needed + 1) // 2
    own = Confirmation(store_failed_at_s - SPREAD_S, 'own zone')
    used = [own, *bounds[:needed]]
    names = ', '.join(bound.evidence for bound in used)
    return Confirmation(
        min(bound.at_s for bound in used),
        f'store down, {names}',
    )


def list_zones(document: Document) -> list[str]:
    """Returns the names of the zones in service."""
    zones = document.get('zones', {})
    return [name for name in zones if zones[name]['in_service']]


def get_policy(document: Document) -> str:
    """Returns the setting ``keys.confirmation``."""
    return document.get('keys', {}).get('confirmation', EVERY_ZONE)


def is_fresh(
    *,
    version: int,
    policy: str,
    confirmed_at_s: float,
    now_s: float,
) -> bool:
    """Returns whether a host may rely on its settings.

    Args:
        version: Settings version in force, 0 if there is none.
        policy: The setting ``keys.confirmation``.
        confirmed_at_s: Time of the latest confirmation.
        now_s: Monotonic clock in seconds.
    """
    if policy == NO_CONFIRMATION and version:
        return True
    return now_s - confirmed_at_s < FRESH_S


def _bound_zone(
    version: int,
    peers: Mapping[str, PeerState],
    zone: str,
) -> Confirmation:
    """Returns what the peers of one zone that cannot reach the store show."""
    return find_latest(
        Confirmation(
            peer.stated_at_s - peer.store_failed_ago_s - SPREAD_S,
            f'{peer.host} in {zone}',
        )
        for peer in peers.values()
        if peer.zone == zone
        and not peer.store_reachable
        and peer.version <= version
    )


def _get_time(confirmation: Confirmation) -> float:
    return confirmation.at_s
