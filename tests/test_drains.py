"""Guards drains: immediate stop, grace period, ramp-up and shutdown."""

import copy
import json
from typing import Any

import pytest

from poplarspoke import drains
from poplarspoke.generated import drains as messages
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import (
    SettingsInForce,
    SettingsSnapshot,
)

DOCUMENT: Any = {
    'teams': {},
    'zones': {'a': {'in_service': True}, 'b': {'in_service': True}},
    'databases': {
        'd1': {
            'slots': 2,
            'connections': 5,
            'endpoints': {
                'e1': {'zone': 'a', 'address': '', 'in_service': True},
                'e2': {'zone': 'b', 'address': '', 'in_service': True},
            },
        },
    },
}


class Host:
    """The drains state of a host with the messages that it sent."""

    def __init__(self) -> None:
        """Puts the first version in force at 100 s."""
        self.state = drains.create_state(zone='a', subscribers=('routing',))
        self.document = copy.deepcopy(DOCUMENT)
        self.sent: list[Any] = []
        self.apply_settings(100)

    def apply_settings(self, now_s: float) -> None:
        """Puts the document in force as the next version."""
        version = self.state['version'] + 1
        snapshot = SettingsSnapshot('', version, json.dumps(self.document))
        self.handle(SettingsInForce(snapshot), now_s)

    def handle(self, message: Any, now_s: float) -> None:
        """Handles a message and records the messages that are sent."""
        for out in drains.decide(message, self.state, now_s):
            self.sent.append(out.message)

    def take_sent(self, kind: Any) -> list[Any]:
        """Returns the sent messages of a type and clears all of them."""
        found = [message for message in self.sent if isinstance(message, kind)]
        self.sent = []
        return found

    def find_weight(self, endpoint: str) -> float:
        """Returns the last published weight of an endpoint."""
        weights = {one.endpoint: one.weight for one in self.state['weights']}
        return weights[endpoint]


@pytest.fixture
def host() -> Host:
    """Returns a host in zone a."""
    return Host()


def test_zone_out_of_service_gets_no_new_work_at_once(host: Host) -> None:
    """Guards against new work for a zone out of service (R8)."""
    assert host.find_weight('e1') == 1
    host.take_sent(object)
    host.document['zones']['a']['in_service'] = False
    host.apply_settings(110)
    assert (host.find_weight('e1'), host.find_weight('e2')) == (0, 1)
    ready = host.take_sent(messages.ReadyChanged)
    assert [entry.ready for entry in ready] == [False]
    assert 'zones/a/in_service' in ready[0].reason


def test_open_transactions_have_a_grace_period(host: Host) -> None:
    """Guards against transactions that end early or block a drain."""
    host.handle(messages.EndpointLeaving('e2', True), 110)
    host.handle(Tick(), 119.9)
    assert not host.take_sent(messages.EndTransactions)
    host.handle(Tick(), 120)
    host.handle(Tick(), 121)
    assert [
        one.endpoint for one in host.take_sent(messages.EndTransactions)
    ] == [
        'e2',
    ]


def test_returned_endpoint_ramps_up(host: Host) -> None:
    """Guards against an overload of a member with cold caches."""
    host.handle(messages.EndpointLeaving('e1', True), 110)
    host.handle(messages.EndpointLeaving('e1', False), 200)
    assert host.find_weight('e1') == pytest.approx(0.1)
    host.handle(Tick(), 215)
    assert host.find_weight('e1') == pytest.approx(0.55)
    # An unrelated change of the settings must not restart the ramp.
    host.document['zones']['b']['in_service'] = False
    host.apply_settings(220)
    host.handle(Tick(), 230)
    assert host.find_weight('e1') == 1


def test_second_drain_has_its_own_grace_period(host: Host) -> None:
    """Guards against a second drain without a rollback or with an early one."""
    for start_s in (110, 200):
        host.handle(messages.EndpointLeaving('e1', True), start_s)
        host.handle(Tick(), start_s + 9)
        assert not host.take_sent(messages.EndTransactions)
        host.handle(Tick(), start_s + 10)
        assert host.take_sent(messages.EndTransactions)
        host.handle(messages.EndpointLeaving('e1', False), start_s + 20)


def test_shutdown_waits_for_balancer_and_work(host: Host) -> None:
    """Guards against an exit that interrupts open requests (R13)."""
    host.handle(messages.WorkCount('callers', 3), 100)
    host.handle(messages.BeginShutdown(), 110)
    assert not host.take_sent(messages.ReadyChanged)[-1].ready
    host.handle(Tick(), 111.9)
    assert not host.take_sent(messages.StopAccepting)
    host.handle(Tick(), 112)
    assert host.take_sent(messages.StopAccepting)
    host.handle(Tick(), 121.9)
    assert not host.take_sent(messages.ShutdownFinished)
    host.handle(messages.WorkCount('callers', 0), 121.95)
    kinds = [type(message).__name__ for message in host.sent]
    assert kinds == ['ReleaseLeases', 'ShutdownFinished']


def test_shutdown_ends_after_the_grace_period(host: Host) -> None:
    """Guards against a shutdown that an open transaction blocks."""
    host.handle(messages.WorkCount('transactions', 1), 100)
    host.handle(messages.BeginShutdown(), 110)
    host.handle(Tick(), 112)
    host.handle(Tick(), 122)
    assert host.take_sent(messages.ShutdownFinished)[0].open_work == 1
