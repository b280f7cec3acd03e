"""Guards against connections that a pool's sockets leave open or remember."""

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
    """Runs the tests on the event loop that the daemons use."""
    return 'asyncio'


class Pool:
    """Records the messages of the sockets to their pool."""

    def __init__(self) -> None:
        """Starts without messages."""
        self.received: list[Any] = []

    def post(self, task: str, message: Any) -> bool:
        """Records a message."""
        self.received.append(message)
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
    """Guards against a leaked socket, as a member accepts few connections."""
    pool = Pool()
    async with web.HttpServer(answer, host=LOOPBACK, port=0) as server:
        async with pool.create(server.port) as opened:
            await opened.open(1)
            await opened.close(1)
            assert pool.received == [ConnectionOpened(1), ConnectionClosed(1)]
            with pytest.raises(web.NotSentError):
                await opened.exchange(1, None, timeout_s=1)


async def test_numbers_of_failed_connections_are_discarded() -> None:
    """Guards against memory growth by numbers of failed connections."""
    pool = Pool()
    port = find_ports(1)[0]
    async with pool.create(port) as opened:
        for number in range(3):
            await opened.open(number)
            await opened.close(number)
        assert pool.received[-1] == ConnectionClosed(2)
        assert not opened._cancelled
