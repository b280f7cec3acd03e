"""Load pattern: all hosts lose power and restart within seconds.

An endpoint drops connections of a host without power only after 3 s; until then
they count against its limit.
"""

import pytest

from poplarspoke.generated.rules import ServiceRule
from poplarspoke.relay import pool
from tests.relay_simulation import (
    PRIMARY,
    SERVICE,
    RelaySimulation,
    create_rules,
)


@pytest.mark.parametrize(
    ('hosts', 'limit'),
    [(6, 26), (8, 16), (62, 210), (70, 53), (410, 64)],
)
def test_idle_connections_leave_room(hosts: int, limit: int) -> None:
    """The hosts kept so many idle that none could reconnect after a restart."""
    simulation = RelaySimulation(hosts=hosts)
    rules = create_rules(2)
    simulation.post(rules._replace(services=(ServiceRule(SERVICE, limit),)))
    share = pool.count_idle_share(simulation.state, PRIMARY)
    assert share * hosts <= limit * 2 / 3


def test_connection_beyond_the_share_is_closed_soon() -> None:
    """With 70 hosts and 53 connections, no host may keep even one idle."""
    simulation = RelaySimulation(hosts=70)
    simulation.start_session(1, 'primary')
    simulation.reply(simulation.get_forward(simulation.send_read(1)))
    assert simulation.state['endpoints'][PRIMARY]['connections']
    simulation.advance(pool.NO_SHARE_IDLE_S + 0.1)
    assert not simulation.state['endpoints'][PRIMARY]['connections']
