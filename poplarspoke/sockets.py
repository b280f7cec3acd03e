"""Sockets of one endpoint's connection pool.

The pool decides which connections exist; this task opens and closes them and
runs one exchange at a time on each.
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
    """The sockets to one endpoint, as an async context manager."""

    def __init__(self, address: str, *, pool: str, post: Post) -> None:
        """Creates the sockets without opening any.

        Args:
            address: ``IP:port`` of the endpoint.
            pool: Name of the pool's task.
            post: Posts a message to a task by name; False if its queue is full.
        """
        self.address = address
        self._pool = pool
        self._post = post
        self._connections: dict[int, endpoints.EndpointConnection] = {}
        self._opening: set[int] = set()
        # Numbers of connections that were closed while they were being opened.
        self._cancelled: set[int] = set()
        ends = anyio.create_memory_object_stream[Any](QUEUE_SIZE)
        self._inbox = ends[0]
        self._outbox = ends[1]

    async def __aenter__(self) -> Self:
        """Returns the sockets; none is open yet."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the queue and every socket."""
        self._inbox.close()
        self._outbox.close()
        for number in list(self._connections):
            await self.close(number)

    def post(self, message: Any) -> bool:
        """Queues a request of the pool; returns False if the queue is full."""
        try:
            self._inbox.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def run(self, group: TaskGroup) -> None:
        """Handles the pool's requests until it is cancelled."""
        while True:
            message = await self._outbox.receive()
            group.start_soon(handle_request, message, self)

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
            web.NotSentError: The connection no longer exists.
            web.AnswerLostError: No complete answer arrived.
        """
        connection = self._connections.get(number)
        if connection is None:
            raise web.NotSentError(f'connection {number} is closed')
        return await connection.call(message, timeout_s=timeout_s)

    async def open(self, number: int) -> None:
        """Opens a connection and notifies the pool of the outcome."""
        self._opening.add(number)
        try:
            connection = await endpoints.connect(self.address)
        except errors.PoplarspokeError:
            self._cancelled.discard(number)
            self._post(self._pool, ConnectionClosed(number))
            return
        finally:
            self._opening.discard(number)
        if number in self._cancelled:
            self._cancelled.discard(number)
            await connection.__aexit__()
            return
        self._connections[number] = connection
        self._post(self._pool, ConnectionOpened(number))

    async def close(self, number: int) -> None:
        """Closes a connection or cancels the attempt to open it."""
        connection = self._connections.pop(number, None)
        if number in self._opening:
            self._cancelled.add(number)
        elif connection is not None:
            await connection.__aexit__()
        self._post(self._pool, ConnectionClosed(number))


@functools.singledispatch
async def handle_request(message: Any, sockets: EndpointSockets) -> None:
    """Handles one request of the pool by its type."""
    raise TypeError(f'sockets cannot handle {type(message).__name__}')


@handle_request.register
async def _(message: OpenConnection, sockets: EndpointSockets) -> None:
    await sockets.open(message.connection)


@handle_request.register
async def _(message: CloseConnection, sockets: EndpointSockets) -> None:
    await sockets.close(message.connection)
