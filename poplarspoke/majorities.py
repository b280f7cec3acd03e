"""Majority rules for acknowledgements and elections.

Any two majorities share a member. If a majority stored a write while its term
was current, at least one member that grants a later term has that write.
"""

from collections.abc import Collection, Mapping

from poplarspoke.generated.common import Position
from poplarspoke.generated.members import Confirmed


def count_majority(members: int) -> int:
    """Returns the number of members that form a majority."""
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
        confirmations: Answers to Confirm for this position, by endpoint.
        members: All members of the database.
    """
    holding = {primary}
    for endpoint, confirmed in confirmations.items():
        if confirmed.confirmed and confirmed.adopted_term == position.term:
            holding.add(endpoint)
    return len(holding.intersection(members)) >= count_majority(len(members))


def select_primary(
    grants: Mapping[str, Position],
    less_preferred: Collection[str],
    members: int,
) -> str:
    """Returns the member to promote, empty without a majority of grants.

    The highest log of any majority holds every acknowledged write. If the
    preferred members alone form a majority, the highest log among them is used.

    Args:
        grants: Last position of each member that granted the term.
        less_preferred: Members to promote only if the others form no majority.
        members: Number of members of the database.
    """
    majority = count_majority(members)
    if len(grants) < majority:
        return ''
    preferred = {name for name in grants if name not in less_preferred}
    eligible = preferred if len(preferred) >= majority else set(grants)
    highest = max(grants[name] for name in eligible)
    holders = [name for name in eligible if grants[name] == highest]
    return min(holders, key=lambda name: (name in less_preferred, name))
