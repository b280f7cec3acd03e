"""Sockets of one endpoint's connection pool.

The pool decides which connections exist; this task opens and closes them and
carries one exchange at a time on each.
"""

import functools
from collections.abc import Callable
from typing import Any, Self, TypeAlias

import anyio
from anyio.abc import TaskGroup

from poplarspoke import endpoints, errors, web
from poplarspoke.generated.connections import (
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    OpenConnection,
)

QUEUE_SIZE = 256

Post: TypeAlias = Callable[[str, Any], bool]


class EndpointSockets:
    """Owns the sockets to one endpoint; an async context manager."""

    def __init__(self, address: str, *, pool: str, post: Post) -> None:
        """Takes the endpoint's ``IP:port``, the pool's task and the bus."""
        self.address = address
        self._pool = pool
        self._post = post
        self._connections: dict[int, endpoints.EndpointConnection] = {}
        self._opening: set[int] = set()
        # Numbers whose attempt to open must not succeed any more.
        self._closed: set[int] = set()
        ends = anyio.create_memory_object_stream[Any](QUEUE_SIZE)
        self._inbox = ends[0]
        self._outbox = ends[1]

    async def __aenter__(self) -> Self:
        """Returns the sockets; none is open yet."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes every socket."""
        self._inbox.close()
        self._outbox.close()
        for number in list(self._connections):
            await self.close(number)

    def post(self, message: Any) -> bool:
        """Queues a request of the pool; False if the queue is full."""
        try:
            self._inbox.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def run(self, group: TaskGroup) -> None:
        """Carries out the pool's requests until it is cancelled."""
        while True:
            message = await self._outbox.receive()
            group.start_soon(carry_out, message, self)

    async def exchange(
        self,
        number: int,
        message: Any,
        *,
        timeout_s: float,
    ) -> Any:
        """Sends a message on a connection and returns its answer.

        Raises:
            errors.RefusedError: The endpoint refused the message.
            web.NotSentError: The connection does not exist any more.
            web.AnswerLostError: No whole answer came.
        """
        connection = self._connections.get(number)
        if connection is None:
            raise web.NotSentError(f'connection {number} is closed')
        return await connection.call(message, timeout_s=timeout_s)

    async def open(self, number: int) -> None:
        """Opens a connection and tells the pool what became of it."""
        self._opening.add(number)
        try:
            connection = await endpoints.connect(self.address)
        except errors.PoplarspokeError:
            self._closed.discard(number)
            self._post(self._pool, ConnectionClosed(number))
            return
        finally:
            self._opening.discard(number)
        if number in self._closed:
            self._closed.discard(number)
            await connection.__aexit__()
            return
        self._connections[number] = connection
        self._post(self._pool, ConnectionOpened(number))

    async def close(self, number: int) -> None:
        """Closes a connection, or the attempt to open it."""
        connection = self._connections.pop(number, None)
        if number in self._opening:
            self._closed.add(number)
        elif connection is not None:
            await connection.__aexit__()
        self._post(self._pool, ConnectionClosed(number))


@functools.singledispatch
async def carry_out(message: Any, sockets: EndpointSockets) -> None:
    """Carries out one request of the pool by its type."""
    raise TypeError(f'{type(message).__name__} is no request to sockets')


@carry_out.register
async def _(message: OpenConnection, sockets: EndpointSockets) -> None:
    await sockets.open(message.connection)


@carry_out.register
async def _(message: CloseConnection, sockets: EndpointSockets) -> None:
    await sockets.close(message.connection)
