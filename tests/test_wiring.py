"""Guards what follows in a daemon when settings come into force."""

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
    """Runs the tests on the back end that the daemons use."""
    return 'asyncio'


class FakeEndpointTasks(endpoint_tasks.EndpointTasks):
    """Notes when the tasks of databases are started."""

    def __init__(self, events: list[str]) -> None:
        """Keeps where events are noted."""
        self._events = events

    def update(self, document: Any, now_s: float) -> None:
        """Notes the update."""
        self._events.append('endpoint_tasks')


class FakeDaemon:
    """A daemon that notes what happens, in order."""

    def __init__(self) -> None:
        """Starts without settings."""
        self.events: list[str] = []
        self.name = 'h1'
        self.endpoint_tasks: endpoint_tasks.EndpointTasks = FakeEndpointTasks(
            self.events
        )
        self.fleet = wiring.FleetSettings(0)
        self.finished = anyio.Event()
        self.mesh = tasks.Mesh(
            send_to_host=_drop,
            send_to_store=_drop,
            now_s=self.now_s,
        )
        self.mesh.register('dispatch', self._note)

    def now_s(self) -> float:
        """Returns the time of a clock that stands still."""
        return 100

    def record_action(self, event: str, subject: str, evidence: str) -> None:
        """Notes an automatic act."""
        self.events.append(event)

    def link_peers(self, addresses: dict[str, str]) -> None:
        """Opens no link."""

    def show_ready(self, ready: ReadyChanged) -> None:
        """Shows nothing."""

    def begin_shutdown(self) -> None:
        """Closes nothing."""

    def _note(self, message: Any) -> bool:
        self.events.append(type(message).__name__)
        return True


def _drop(target: str, message: Any) -> None:
    """Drops a message; nothing leaves the test."""


async def test_ranks_are_sent_after_their_tasks_exist() -> None:
    """A rank for a task that does not exist yet is dropped."""
    daemon = FakeDaemon()
    document = json.dumps({'teams': {}})
    snapshot = SettingsSnapshot(version=1, document=document)
    wiring.handle_message(SettingsInForce(snapshot), daemon)
    assert daemon.events == [
        'endpoint_tasks',
        'SettingsInForce',
        'settings_in_force',
    ]
