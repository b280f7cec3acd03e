"""Tests the rules that establish that the settings of a host are complete."""

from typing import Any

from poplarspoke import confirmation
from poplarspoke.generated.configuration import PeerState

DOCUMENT: Any = {
    'teams': {},
    'zones': {
        'a': {'in_service': True},
        'b': {'in_service': True},
        'c': {'in_service': True},
        'd': {'in_service': False},
    },
}


def create_peer(zone: str, **fields: Any) -> PeerState:
    """Returns a peer that reported at 100 s that the store failed at 99 s."""
    peer = PeerState(
        f'{zone}h0', zone, version=3, stated_at_s=100, store_failed_ago_s=1
    )
    return peer._replace(**fields)


def confirm(*peers: PeerState, document: Any = DOCUMENT) -> float:
    """Returns the time confirmed for a host in zone a with version 3."""
    by_name = {peer.host: peer for peer in peers}
    return confirmation.confirm_by_zones(
        3, by_name, document, zone='a', store_failed_at_s=101
    ).at_s


def test_earliest_zone_sets_the_confirmation() -> None:
    """Guards against ignoring the time that a change takes within a zone."""
    peers = create_peer('b', stated_at_s=98), create_peer('c')
    assert confirm(*peers) == 97 - confirmation.PROPAGATION_MARGIN_S


def test_newer_or_connected_peer_confirms_nothing() -> None:
    """Guards against a confirmation by a peer that may have a later change."""
    good = create_peer('b')
    assert confirm(good) == confirmation.NEVER_S
    ahead = create_peer('c', version=4)
    assert confirm(good, ahead) == confirmation.NEVER_S
    connected = create_peer('c', store_reachable=True)
    assert confirm(good, connected) == confirmation.NEVER_S


def test_majority_counts_the_own_zone() -> None:
    """Guards against a majority that leaves out the own zone."""
    document = {**DOCUMENT, 'keys': {'confirmation': 'majority_of_zones'}}
    assert confirm(create_peer('b'), document=document) > 0
    assert confirm(document=document) == confirmation.NEVER_S


def test_host_without_settings_is_never_confirmed_by_zones() -> None:
    """Guards against confirming a new host, whose list of zones is empty."""
    confirmed = confirmation.confirm_by_zones(
        0, {}, {'teams': {}}, zone='a', store_failed_at_s=101
    )
    assert confirmed == confirmation.UNCONFIRMED
