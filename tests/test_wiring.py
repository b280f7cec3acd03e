"""Guards the order of updates when settings come into force."""

import json
from typing import Any

import anyio
import pytest

from poplarspoke import endpoint_tasks, tasks, wiring
from poplarspoke.generated.configuration import (
    SettingsInForce,
    SettingsSnapshot,
)
from poplarspoke.generated.drains import ReadyChanged

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the asyncio backend, which the daemons use."""
    return 'asyncio'


class FakeEndpointTasks(endpoint_tasks.EndpointTasks):
    """Records when the tasks of databases are updated."""

    def __init__(self, events: list[str]) -> None:
        """Stores the list to which events are appended."""
        self._events = events

    def update(self, document: Any, now_s: float) -> None:
        """Records the update."""
        self._events.append('endpoint_tasks')


class FakeDaemon:
    """Daemon that records events in their order."""

    def __init__(self) -> None:
        """Starts without settings."""
        self.events: list[str] = []
        self.name = 'h1'
        self.endpoint_tasks: endpoint_tasks.EndpointTasks = FakeEndpointTasks(
            self.events
        )
        self.fleet = wiring.FleetSettings(0)
        self.finished = anyio.Event()
        self.bus = tasks.MessageBus(
            send_to_host=_drop,
            send_to_store=_drop,
            now_s=self.now_s,
        )
        self.bus.register('dispatch', self._record_message)

    def now_s(self) -> float:
        """Returns a constant time."""
        return 100

    def record_action(self, event: str, subject: str, evidence: str) -> None:
        """Records an automatic act."""
        self.events.append(event)

    def connect_peers(self, addresses: dict[str, str]) -> None:
        """Does nothing."""

    def publish_readiness(self, ready: ReadyChanged) -> None:
        """Does nothing."""

    def begin_shutdown(self) -> None:
        """Does nothing."""

    def _record_message(self, message: Any) -> bool:
        self.events.append(type(message).__name__)
        return True


def _drop(target: str, message: Any) -> None:
    """Drops an outgoing message."""


async def test_ranks_are_sent_after_their_tasks_exist() -> None:
    """Guards against lost ranks: the bus drops one for a missing task."""
    daemon = FakeDaemon()
    document = json.dumps({'teams': {}})
    snapshot = SettingsSnapshot(version=1, document=document)
    wiring.handle_message(SettingsInForce(snapshot), daemon)
    assert daemon.events == [
        'endpoint_tasks',
        'SettingsInForce',
        'settings_in_force',
    ]
