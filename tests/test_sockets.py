"""Guards the sockets of a pool: what is opened, closed and remembered."""

from typing import Any

import pytest

from poplarspoke import sockets, web
from poplarspoke.fleet import LOOPBACK, find_ports
from poplarspoke.generated.connections import (
    ConnectionClosed,
    ConnectionOpened,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the back end that the daemons use."""
    return 'asyncio'


class Pool:
    """Keeps what the sockets tell their pool."""

    def __init__(self) -> None:
        """Starts without messages."""
        self.told: list[Any] = []

    def post(self, task: str, message: Any) -> bool:
        """Keeps a message."""
        self.told.append(message)
        return True

    def create(self, port: int) -> sockets.EndpointSockets:
        """Returns sockets to a port on loopback."""
        return sockets.EndpointSockets(
            f'{LOOPBACK}:{port}',
            pool='pool',
            post=self.post,
        )


async def answer(request: web.Request) -> web.Response:
    """Answers every request."""
    return web.Response(200, b'{}')


async def test_opened_connection_is_closed_once() -> None:
    """A socket that stays open takes one of few connections of a member."""
    pool = Pool()
    async with web.HttpServer(answer, host=LOOPBACK, port=0) as server:
        async with pool.create(server.port) as opened:
            await opened.open(1)
            await opened.close(1)
            assert pool.told == [ConnectionOpened(1), ConnectionClosed(1)]
            with pytest.raises(web.NotSentError):
                await opened.exchange(1, None, timeout_s=1)


async def test_closed_numbers_are_forgotten() -> None:
    """Numbers of failed connections that are kept would fill the memory."""
    pool = Pool()
    port = find_ports(1)[0]
    async with pool.create(port) as opened:
        for number in range(3):
            await opened.open(number)
            await opened.close(number)
        assert pool.told[-1] == ConnectionClosed(2)
        assert not opened._closed
