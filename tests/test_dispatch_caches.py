"""Guards against plans from outdated caches of the dispatcher."""

import json
import random
from typing import Any

import pytest

from poplarspoke import dispatch, placement, routing
from poplarspoke.attempts import ACTING_RANKS
from poplarspoke.generated.common import Position
from poplarspoke.generated.configuration import (
    SettingsInForce,
    SettingsSnapshot,
)
from poplarspoke.generated.dispatch import PlanStatement, StatementPlan
from poplarspoke.generated.membership import (
    EndpointView,
    EndpointViews,
    HostsChanged,
    HostStatus,
)

HOSTS = tuple(f'h{index}' for index in range(9))


def create_document(endpoints: tuple[str, ...]) -> dict[str, Any]:
    """Returns settings with one database and one write route."""
    members = {
        name: {'zone': 'a', 'address': '127.0.0.1:1', 'in_service': True}
        for name in endpoints
    }
    route = {'database': 'db', 'write': True, 'repeat': 'recorded'}
    workspace = {'rate': 1, 'burst': 1, 'routes': {'write': route}}
    return {
        'teams': {'red': {'workspaces': {'w': workspace}}},
        'zones': {'a': {'in_service': True}},
        'databases': {
            'db': {'slots': 2, 'connections': 5, 'endpoints': members},
        },
    }


class Dispatcher:
    """A dispatcher with settings, live hosts and a primary."""

    def __init__(self) -> None:
        """Puts the settings in force; m1 is the primary of term 1."""
        self.state = placement.create_state('h0', 'a', seed=1)
        self.now_s = 100.0
        self.configure(1, ('m1', 'm2'))
        self.change_hosts(HOSTS)
        self.observe('m1', 'db', term=1)

    def send(self, message: Any) -> list[Any]:
        """Returns the messages that follow from a message."""
        sent = dispatch.decide(message, self.state, self.now_s)
        return [entry.message for entry in sent]

    def configure(self, version: int, endpoints: tuple[str, ...]) -> None:
        """Puts settings with these endpoints in force."""
        text = json.dumps(create_document(endpoints))
        self.send(SettingsInForce(SettingsSnapshot('', version, text)))

    def change_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sets the live hosts."""
        entries = tuple(HostStatus(name, live=True) for name in hosts)
        self.send(HostsChanged(entries))

    def observe(self, endpoint: str, database: str, *, term: int) -> None:
        """Records a new view of a reachable primary."""
        self.now_s += 0.1
        view = EndpointView(
            endpoint,
            database,
            Position(term, 1),
            primary=True,
            reachable=True,
        )
        self.send(EndpointViews((view,)))

    def plan(self) -> StatementPlan:
        """Returns the plan of a write."""
        plan: StatementPlan = self.send(PlanStatement('p', 'w', 'write'))[0]
        return plan


@pytest.fixture
def dispatcher() -> Dispatcher:
    """A dispatcher with settings, live hosts and a primary."""
    return Dispatcher()


def test_owner_follows_the_live_hosts(dispatcher: Dispatcher) -> None:
    """Guards against a cached owner that is dead."""
    owner = dispatcher.plan().owner
    assert owner == routing.find_owner('m1', HOSTS)
    left = tuple(name for name in HOSTS if name != owner)
    dispatcher.change_hosts(left)
    assert dispatcher.plan().owner == routing.find_owner('m1', (*left, 'h0'))


def test_ranks_follow_the_live_hosts(dispatcher: Dispatcher) -> None:
    """Guards against rank updates that diverge from the full ranking."""
    last_sent_rank = 0
    source = random.Random(1)
    for _ in range(50):
        chosen = source.sample(HOSTS, source.randint(1, len(HOSTS)))
        live = sorted({*chosen, 'h0'})
        entries = tuple(HostStatus(name, live=True) for name in chosen)
        sent = dispatcher.send(HostsChanged(entries))
        last_sent_rank = sent[-1].rank if sent else last_sent_rank
        rank = routing.rank_hosts('db', live).index('h0')
        assert dispatcher.state['ranks']['db'] == rank
        assert min(last_sent_rank, ACTING_RANKS) == min(rank, ACTING_RANKS)


def test_removed_endpoint_gets_no_statement(dispatcher: Dispatcher) -> None:
    """Guards against the cached endpoints of an older settings version."""
    assert dispatcher.plan().statement.endpoint == 'm1'
    dispatcher.configure(2, ('m2', 'm3'))
    assert dispatcher.plan().refused
    dispatcher.observe('m3', 'db', term=2)
    assert dispatcher.plan().statement.endpoint == 'm3'


def test_view_of_another_database_names_no_primary(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a primary that was moved to another database."""
    dispatcher.observe('m1', 'other', term=9)
    assert placement.find_primary(dispatcher.state, 'db').endpoint == ''
    assert placement.find_primary(dispatcher.state, 'other').endpoint == 'm1'
