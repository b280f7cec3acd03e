"""Rules that establish up to which time the settings of a host are complete.

A confirmation is a time on the host's clock: every change that was accepted
before it is in force on the host. Each rule returns a lower bound of this time,
so the latest one is used.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarspoke.generated.configuration import PeerState
from poplarspoke.generated.settings import Document

# Earlier than any reading of a monotonic clock.
NEVER_S = -1000000.0
# A change accepted in a zone reaches all hosts of the zone within four
# heartbeats. The margin is needed also because a failed attempt does not show
# when the store failed.
PROPAGATION_MARGIN_S = 1.5
MAX_CONFIRMATION_AGE_S = 5.0
EVERY_ZONE = 'every_zone'
MAJORITY = 'majority_of_zones'
NO_CONFIRMATION = 'none'


class Confirmation(NamedTuple):
    """A confirmation and its evidence.

    Attributes:
        at_s: Every change accepted before this time is in force.
        evidence: Source of the confirmation, for operators.
    """

    at_s: float
    evidence: str


UNCONFIRMED = Confirmation(NEVER_S, 'nobody')


def find_latest(candidates: Iterable[Confirmation]) -> Confirmation:
    """Returns the latest confirmation."""
    return max(candidates, key=_get_time, default=UNCONFIRMED)


def confirm_by_peers(
    version: int,
    peers: Mapping[str, PeerState],
) -> Confirmation:
    """Returns the latest confirmation among the confirmed peers.

    A peer with a newer version confirms nothing, since this host lacks the
    changes of that version.
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
    """Returns the confirmation by the other zones during a store outage.

    Args:
        version: Settings version in force on this host.
        peers: Settings state in the last heartbeat of each peer.
        document: Settings in force; they name the zones in service.
        zone: Zone of this host.
        store_failed_at_s: When the last failed attempt of this host began.
    """
    if not version:
        return UNCONFIRMED
    others = [name for name in list_zones(document) if name != zone]
    zone_confirmations = sorted(
        (_confirm_by_zone_peers(version, peers, name) for name in others),
        key=_get_time,
        reverse=True,
    )
    needed = len(others)
    if get_policy(document) == MAJORITY:
        # The own zone counts as one zone of the majority.
        needed = (needed + 1) // 2
    own = Confirmation(store_failed_at_s - PROPAGATION_MARGIN_S, 'own zone')
    needed_confirmations = [own, *zone_confirmations[:needed]]
    names = ', '.join(entry.evidence for entry in needed_confirmations)
    return Confirmation(
        min(entry.at_s for entry in needed_confirmations),
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
    return now_s - confirmed_at_s < MAX_CONFIRMATION_AGE_S


def _confirm_by_zone_peers(
    version: int,
    peers: Mapping[str, PeerState],
    zone: str,
) -> Confirmation:
    """Returns the confirmation by peers of one zone without a store."""
    return find_latest(
        Confirmation(
            peer.stated_at_s - peer.store_failed_ago_s - PROPAGATION_MARGIN_S,
            f'{peer.host} in {zone}',
        )
        for peer in peers.values()
        if peer.zone == zone
        and not peer.store_reachable
        and peer.version <= version
    )


def _get_time(confirmation: Confirmation) -> float:
    return confirmation.at_s
