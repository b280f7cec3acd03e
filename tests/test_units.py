"""Tests of how the leased units are divided."""

import pytest

from poplarspoke import units


@pytest.mark.parametrize('number', (1, 8, 16, 17, 410))
def test_parts_add_up(number: int) -> None:
    """Guards against groups whose parts exceed the whole."""
    hosts = [f'host{place}' for place in range(number)]
    groups = {}
    floors = float(0)
    for host in hosts:
        parts = units.find_parts(host, hosts)
        floors += parts.floor
        groups[units.find_key(host, hosts)] = parts.leased
    assert floors == pytest.approx(0.5)
    assert sum(groups.values()) == pytest.approx(0.5)


def test_unlisted_host_has_no_part() -> None:
    """Guards against a host that spends although the settings lack it."""
    assert units.find_parts('x', ['a', 'b']) == units.Parts()


def test_targets_add_up() -> None:
    """Guards against rounding that leaves units unused or over-committed."""
    demands = [('a', 5.0), ('b', float(0)), ('c', 91.3), ('d', 3.3)]
    targets = [units.find_target(host, demands) for host, _ in demands]
    assert sum(targets) == units.UNITS
    assert min(targets) > 0
