"""Rules on majorities of the members of a database.

Any two majorities have a member in common. A write that a majority held while
its term was adopted is therefore known to one of the members that grant a
later term.
"""

from collections.abc import Collection, Mapping

from poplarspoke.generated.common import Position
from poplarspoke.generated.members import Confirmed


def count_majority(members: int) -> int:
    """Returns how many of the members make a majority."""
    return members // 2 + 1


def is_acknowledged(
    position: Position,
    primary: str,
    confirmations: Mapping[str, Confirmed],
    members: Collection[str],
) -> bool:
    """Returns whether a write may be acknowledged.

    Args:
        position: Position that the primary reported for the write.
        primary: Endpoint that executed the write in the position's term.
        confirmations: Answers to Confirm for this position by their endpoint.
        members: All members of the database.
    """
    held = {primary}
    for endpoint, confirmed in confirmations.items():
        if confirmed.confirmed and confirmed.adopted_term == position.term:
            held.add(endpoint)
    return len(held.intersection(members)) >= count_majority(len(members))


def select_primary(
    grants: Mapping[str, Position],
    avoided: Collection[str],
    members: int,
) -> str:
    """Returns the member to promote, empty without a majority of grants.

    The highest log of any majority holds every acknowledged write. If the
    members that stay in service make a majority, it is taken among them.

    Args:
        grants: Last position of each member that granted the term.
        avoided: Endpoints that leave service.
        members: Number of members of the database.
    """
    majority = count_majority(members)
    if len(grants) < majority:
        return ''
    staying = {name for name in grants if name not in avoided}
    eligible = staying if len(staying) >= majority else set(grants)
    highest = max(grants[name] for name in eligible)
    holders = [name for name in eligible if grants[name] == highest]
    return min(holders, key=lambda name: (name in avoided, name))
