"""Division of the leased units of a workspace among the hosts."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypeAlias

from poplarspoke import invariants
from poplarspoke.generated.rates import LeaseHolder, WorkspaceUnits

UNITS = 64  # Leased half of each workspace's rate and burst, in units.
BASE_WEIGHT = 0.25  # Weight of an idle host, as a fraction of the mean demand.
# One row for all 410 hosts of the target would get 137 commits per second.
GROUP_SIZE = 16
LEASE_KEY_PREFIX = 'rates/leases/'
RELEASE_SLACK_UNITS = 2  # Surplus that is not released, against oscillation.

# Units held, by host and workspace.
HeldUnits: TypeAlias = dict[str, dict[str, WorkspaceUnits]]


class Parts(NamedTuple):
    """Fractions of each workspace's rate and burst that a host may use.

    Attributes:
        floor: Guaranteed fraction, which needs no lease.
        leased: Fraction that corresponds to all units of the host's group.
    """

    floor: float = 0
    leased: float = 0


def compute_parts(host: str, hosts: Iterable[str]) -> Parts:
    """Returns the fractions of a host.

    Half of the rate is guaranteed and divided equally among the hosts. The
    other half is leased and divided among the groups by their number of hosts.
    """
    listed = sorted(set(hosts))
    if host not in listed:
        return Parts()
    number = _count_groups(listed)
    members = len(listed[listed.index(host) % number :: number])
    half = len(listed) * 2
    return Parts(1 / half, members / half)


def get_lease_key(host: str, hosts: Iterable[str]) -> str:
    """Returns the key of the lease row of a host's group; empty if unlisted."""
    listed = sorted(set(hosts))
    if host not in listed:
        return ''
    group = listed.index(host) % _count_groups(listed)
    return f'{LEASE_KEY_PREFIX}{group}'


def _count_groups(listed: list[str]) -> int:
    return math.ceil(len(listed) / GROUP_SIZE)


def plan_units(
    host: str,
    held: int,
    own: WorkspaceUnits,
    others: HeldUnits,
    *,
    can_shrink: bool,
) -> int:
    """Returns the units that a host should write for a workspace.

    Args:
        host: Name of the host.
        held: Units that the host holds in the row.
        own: Workspace and the host's demand.
        others: Units and demand of the other hosts.
        can_shrink: Whether the host may release units now.
    """
    taken = 0
    demands = [(host, own.demand)]
    for other, held_units in others.items():
        entry = held_units.get(own.workspace, WorkspaceUnits())
        taken += entry.units
        demands.append((other, entry.demand))
    target = compute_target(host, demands)
    if held <= target:
        return max(min(target, UNITS - taken), held)
    if can_shrink and held > target + RELEASE_SLACK_UNITS:
        return target
    return held


def compute_target(host: str, demands: list[tuple[str, float]]) -> int:
    """Returns the host's units in proportion to demand.

    Cumulative sums are rounded, so the units of all hosts add up to ``UNITS``.
    """
    total = sum(wanted for _, wanted in demands)
    base = max(BASE_WEIGHT * total / len(demands), 1)
    whole = total + base * len(demands)
    units_before = 0
    weight = float(0)
    for name, wanted in sorted(demands):
        weight += wanted + base
        units_until = round(UNITS * weight / whole)
        if name == host:
            return units_until - units_before
        units_before = units_until
    return 0


def index_holders(holders: Iterable[LeaseHolder]) -> HeldUnits:
    """Returns the units of each host by workspace.

    Searching the row for each workspace would make the time of a renewal grow
    with the square of the number of workspaces.
    """
    return {
        holder.host: {entry.workspace: entry for entry in holder.units}
        for holder in holders
    }


def check_units(holders: Mapping[str, LeaseHolder]) -> None:
    """Checks that no workspace has more than ``UNITS`` units leased."""
    totals: dict[str, int] = {}
    for holder in holders.values():
        for entry in holder.units:
            totals.setdefault(entry.workspace, 0)
            totals[entry.workspace] += entry.units
    for workspace, units in totals.items():
        invariants.check(
            holds=units <= UNITS,
            code='R7',
            detail=f'{units} of {UNITS} units of {workspace!r} are leased',
        )
