"""Guards the rules by which a host knows that its settings are complete."""

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
    """Returns a peer that said at 100 s that the store failed at 99 s."""
    peer = PeerState(
        f'{zone}h0', zone, version=3, stated_at_s=100, store_failed_ago_s=1
    )
    return peer._replace(**fields)


def confirm(*peers: PeerState, document: Any = DOCUMENT) -> float:
    """Returns the confirmation of a host in zone a with version 3."""
    by_name = {peer.host: peer for peer in peers}
    return confirmation.confirm_by_zones(
        3, by_name, document, zone='a', store_failed_at_s=101
    ).at_s


def test_weakest_zone_decides_with_margin() -> None:
    """A change accepted in a zone takes time to reach the peer heard here."""
    peers = create_peer('b', stated_at_s=98), create_peer('c')
    assert confirm(*peers) == 97 - confirmation.SPREAD_S


def test_zone_counts_only_without_the_store_and_with_no_news() -> None:
    """A peer that is ahead or reaches the store may know of a change."""
    good = create_peer('b')
    assert confirm(good) == confirmation.NEVER_S
    ahead = create_peer('c', version=4)
    assert confirm(good, ahead) == confirmation.NEVER_S
    reaching = create_peer('c', store_reachable=True)
    assert confirm(good, reaching) == confirmation.NEVER_S


def test_majority_counts_the_own_zone() -> None:
    """Two of three zones are a majority, one of three is not."""
    document = {**DOCUMENT, 'keys': {'confirmation': 'majority_of_zones'}}
    assert confirm(create_peer('b'), document=document) > 0
    assert confirm(document=document) == confirmation.NEVER_S


def test_host_without_settings_is_never_confirmed_by_zones() -> None:
    """A new host knows no zones, so an empty list of them proves nothing."""
    confirmed = confirmation.confirm_by_zones(
        0, {}, {'teams': {}}, zone='a', store_failed_at_s=101
    )
    assert confirmed == confirmation.NO_EVIDENCE
