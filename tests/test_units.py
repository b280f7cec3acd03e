"""Tests the division of the leased units among hosts."""

import pytest

from poplarspoke import units


@pytest.mark.parametrize('number', (1, 8, 16, 17, 410))
def test_parts_of_all_hosts_add_up(number: int) -> None:
    """Guards against parts of hosts and groups that exceed the rate."""
    hosts = [f'host{place}' for place in range(number)]
    groups = {}
    guaranteed = float(0)
    for host in hosts:
        parts = units.compute_parts(host, hosts)
        guaranteed += parts.floor
        groups[units.get_lease_key(host, hosts)] = parts.leased
    assert guaranteed == pytest.approx(0.5)
    assert sum(groups.values()) == pytest.approx(0.5)


def test_unlisted_host_has_no_part() -> None:
    """Guards against a host that spends tokens but is not in the settings."""
    assert units.compute_parts('x', ['a', 'b']) == units.Parts()


def test_targets_add_up() -> None:
    """Guards against rounding that leaves units unused or leases too many."""
    demands = [('a', 5.0), ('b', float(0)), ('c', 91.3), ('d', 3.3)]
    targets = [units.compute_target(host, demands) for host, _ in demands]
    assert sum(targets) == units.UNITS
    assert min(targets) > 0
