"""Tests the operators' interface of a daemon."""

import json
from collections.abc import Iterator
from typing import Any

import anyio
import pytest

from poplarspoke import errors, operators, web
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.configuration import (
    ChangeSettings,
    SettingsChanged,
    SettingsShown,
    ShowSettings,
)
from poplarspoke.generated.drains import BeginShutdown, ReadyChanged
from poplarspoke.tasks import MessageBus, Outgoing, Reply, Task

pytestmark = pytest.mark.anyio
SECRET = 'operator-secret'
OTHER = 'peer-secret-value'
HEADER = web.Header('authorization', f'Bearer {SECRET}')


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the event loop that the daemons use."""
    return 'asyncio'


def read_clock() -> float:
    """Returns a constant time."""
    return 0


def decide(message: Any, state: Any, now_s: float) -> list[Outgoing]:
    """Answers like the configuration task and records the message."""
    state['messages'].append(message)
    if isinstance(message, ShowSettings):
        return [Reply(message.request_id, SettingsShown())]
    if not isinstance(message, ChangeSettings):
        return []
    if message.who:
        changed = SettingsChanged(change_id=message.change_id, version=4)
        return [Reply(message.request_id, changed)]
    refusal = errors.refuse(ErrorCode.SETTINGS_REFUSED, 'who is empty')
    return [Reply(message.request_id, refusal)]


class Interface:
    """The operators' interface with one fake task."""

    def __init__(self) -> None:
        """Creates the task, which runs during each call."""
        self.state: dict[str, Any] = {'messages': [], 'secret': OTHER}
        self.drains: list[Any] = []
        self.task = Task('configuration', decide, self.state, tick_s=60)
        self.message_bus = MessageBus(
            send_to_host=_drop,
            send_to_store=_drop,
            now_s=read_clock,
        )
        self.message_bus.register('drains', self._record)
        self.front = operators.OperatorInterface(
            'h1',
            (SECRET, OTHER),
            self.message_bus,
            read_clock,
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: tuple[web.Header, ...] = (HEADER,),
    ) -> web.Response:
        """Returns the response to one request."""
        async with anyio.create_task_group() as group:
            self.message_bus.start(self.task, group)
            request = web.Request(method, path, headers, body)
            response = await self.front.handle(request)
            group.cancel_scope.cancel()
        return response

    def _record(self, message: Any) -> bool:
        self.drains.append(message)
        return True


def _drop(target: str, message: Any) -> None:
    """Drops a message; nothing leaves the test."""


@pytest.fixture
def interface() -> Iterator[Interface]:
    """Yields an interface whose task answers."""
    created = Interface()
    with created.task:
        yield created


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/dump'),
        ('GET', '/settings'),
        ('GET', '/history?path=a'),
        ('GET', '/hosts'),
        ('GET', '/events'),
        ('GET', '/requests/x'),
        ('POST', '/changes'),
        ('POST', '/drain'),
    ],
)
async def test_secret_is_needed(
    interface: Interface,
    method: str,
    path: str,
) -> None:
    """Guards against access without the operator secret."""
    for value in ('', 'Bearer ', 'Bearer wrong', SECRET, 'Bearer é'):
        header = web.Header('authorization', value)
        response = await interface.call(method, path, headers=(header,))
        assert response.status == 403
    assert not interface.drains


async def test_ready_needs_no_secret(interface: Interface) -> None:
    """Guards against a readiness check that a load balancer cannot use."""
    response = await interface.call('GET', '/ready', headers=())
    assert response.status == 503
    interface.front.ready = ReadyChanged(ready=True)
    response = await interface.call('GET', '/ready', headers=())
    assert response.status == 200


async def test_change_reaches_its_task(interface: Interface) -> None:
    """Guards against a request id that could answer another request."""
    change = ChangeSettings(change_id='c1', who='ines', request_id='forged')
    response = await interface.call('POST', '/changes', web.write_json(change))
    assert response.status == 200
    assert json.loads(response.body)['version'] == 4
    sent = [
        message
        for message in interface.state['messages']
        if isinstance(message, ChangeSettings)
    ]
    assert sent[0].request_id != 'forged'
    assert sent[0].change_id == 'c1'


async def test_refused_change_names_its_code(interface: Interface) -> None:
    """Guards against a refusal that looks like an accepted change."""
    body = web.write_json(ChangeSettings(change_id='c1'))
    response = await interface.call('POST', '/changes', body)
    assert response.status == 422
    assert json.loads(response.body)['error']['code'] == 'settings_refused'


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'{"who": 1}'])
async def test_malformed_change_is_refused(
    interface: Interface,
    body: bytes,
) -> None:
    """Guards against malformed input that stops the task."""
    response = await interface.call('POST', '/changes', body)
    assert response.status == 400


async def test_unknown_path_is_refused(interface: Interface) -> None:
    """Guards against an unknown path that shows some other state."""
    for method, path in (('GET', '/x'), ('PUT', '/changes')):
        response = await interface.call(method, path)
        assert response.status == 404


async def test_drain_is_passed_on(interface: Interface) -> None:
    """Guards against a dropped drain, which leaves the host in service."""
    response = await interface.call('POST', '/drain')
    assert response.status == 200
    assert [type(sent) for sent in interface.drains] == [BeginShutdown]


async def test_dump_hides_secrets(interface: Interface) -> None:
    """Guards against secrets in a dump, which operators share in tickets."""
    response = await interface.call('GET', '/dump')
    assert response.status == 200
    assert OTHER not in response.body.decode()
