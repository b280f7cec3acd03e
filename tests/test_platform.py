"""Tests of the platform stand-in: conditional commits and faults."""

from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from poplarspoke import web
from poplarspoke.generated import platform as messages
from poplarspoke.standins import platform, table

pytestmark = pytest.mark.anyio
LOOPBACK = '127.0.0.1'


@pytest.fixture
def anyio_backend() -> str:
    """Selects the event loop that the daemons use."""
    return 'asyncio'


@pytest.fixture
async def address() -> AsyncIterator[str]:
    """Serves a stand-in and returns its address."""
    handler = platform.Platform().handle
    async with web.HttpServer(handler, host=LOOPBACK, port=0) as server:
        yield f'{LOOPBACK}:{server.port}'


async def send(address: str, method: str, path: str, message: Any) -> bytes:
    """Sends one request on a new connection and returns the answer."""
    async with await web.connect(address) as connection:
        request = web.Request(method, path, body=web.write_json(message))
        response = await connection.send(request, timeout_s=5)
        assert response.status == 200
        return response.body


def commit_row(version: int, content: str) -> messages.Commit:
    """Returns a commit of the row ``a`` that expects a version."""
    return messages.Commit(
        (messages.RowCondition('a', version),),
        (messages.RowWrite('a', content),),
    )


async def test_second_of_two_racing_commits_fails(address: str) -> None:
    """Guards against a commit that ignores the version and loses a change."""
    await send(address, 'POST', '/commit', commit_row(0, 'first'))
    body = await send(address, 'POST', '/commit', commit_row(0, 'second'))
    answer = web.read_json(messages.CommitResult, body)
    assert not answer.committed
    assert answer.rows == (messages.Row('a', 1, 'first'),)


async def test_lost_answer_follows_its_effect(address: str) -> None:
    """Guards the fault that loses the answer of a change that took effect."""
    faults = messages.PlatformFaults(lost_answers=1)
    await send(address, 'POST', '/faults', faults)
    with pytest.raises(web.AnswerLostError):
        await send(address, 'POST', '/commit', commit_row(0, 'kept'))
    body = await send(address, 'POST', '/read', messages.ReadRows(('a',)))
    rows = web.read_json(messages.RowsRead, body).rows
    assert rows == (messages.Row('a', 1, 'kept'),)


async def test_request_while_down_has_no_effect(address: str) -> None:
    """Guards against a platform that is down but runs requests."""
    await send(address, 'POST', '/faults', messages.PlatformFaults(down=True))
    with pytest.raises(web.AnswerLostError):
        await send(address, 'POST', '/commit', commit_row(0, 'never'))
    await send(address, 'POST', '/faults', messages.PlatformFaults())
    body = await send(address, 'POST', '/read', messages.ReadRows(('a',)))
    assert web.read_json(messages.RowsRead, body).rows[0].version == 0
    counts = await send(address, 'GET', '/counts', messages.FetchCounts())
    assert web.read_json(messages.PlatformCounts, counts) == (1, 0)


async def test_only_open_connections_stop_answering(address: str) -> None:
    """Guards the fault that affects only the connections that are open."""
    async with await web.connect(address) as old:
        request = web.Request('GET', '/hosts')
        await old.send(request, timeout_s=5)
        faults = messages.PlatformFaults(silence=True)
        await send(address, 'POST', '/faults', faults)
        await send(address, 'GET', '/hosts', messages.FetchHosts())
        with anyio.move_on_after(0.05) as scope:
            await old.send(request, timeout_s=5)
        assert scope.cancelled_caught


async def test_object_and_unknown_path(address: str) -> None:
    """Guards against a changed object and an accepted unknown path."""
    stored = messages.StoredObject('a b', 'content')
    await send(address, 'PUT', '/objects/a%20b', stored)
    body = await send(address, 'GET', '/objects/a%20b', None)
    assert web.read_json(messages.StoredObject, body) == stored
    async with await web.connect(address) as connection:
        request = web.Request('GET', '/nothing')
        assert (await connection.send(request, timeout_s=5)).status == 400


def test_host_list_lags() -> None:
    """Guards the delay of the host list, which tests of old lists need."""
    state = table.create_state()
    table.decide(messages.PlatformFaults(hosts_lag_s=5), state, 0)
    entry = messages.HostEntry('h1', 'z1', '127.0.0.1:1')
    table.decide(entry, state, 10)
    table.decide(messages.HostEntry('h1', 'z1', ''), state, 20)
    shown = []
    for now_s in (14, 15, 24, 25):
        reply: Any = table.decide(messages.FetchHosts(), state, now_s)[0]
        shown.append(len(reply.message.hosts))
    assert shown == [0, 1, 1, 0]
