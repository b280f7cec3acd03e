"""Stand-in of a network path between two processes, which can be partitioned.

While it is partitioned, established connections hold up the bytes that are sent.
Those of a sender that has reset its connection are lost; the others are delivered
once the partition ends, also if their sender has closed its connection meanwhile.
"""

import functools
from typing import Self

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup

from poplarspoke.addresses import split_address

LOOPBACK = '127.0.0.1'
POLL_INTERVAL_S = 0.01


class PartitionedPath:
    """Path to one listener, as an async context manager.

    Attributes:
        address: ``IP:port`` that stands for the listener.
        held_bytes: Number of bytes that were held up.
        lost_bytes: Number of those whose sender has reset its connection.
    """

    def __init__(self, target: str) -> None:
        """Creates a path without a partition.

        Args:
            target: ``IP:port`` of the listener.
        """
        self.held_bytes = 0
        self.lost_bytes = 0
        self._target = target
        self._marker = b''
        self._is_cut = False
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Binds the listener."""
        self._group = await anyio.create_task_group().__aenter__()
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_address)[1]
        self.address = f'{LOOPBACK}:{port}'
        self._group.start_soon(listener.serve, self._serve)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listener and all connections."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def cut_before(self, marker: bytes) -> None:
        """Begins the partition when bytes with a marker are on their way."""
        self._marker = marker

    def heal(self) -> None:
        """Ends the partition."""
        self._marker = b''
        self._is_cut = False

    @property
    def is_cut(self) -> bool:
        """Whether the path is partitioned."""
        return self._is_cut

    async def _serve(self, near: ByteStream) -> None:
        async with (
            near,
            await anyio.connect_tcp(*split_address(self._target)) as far,
        ):
            async with anyio.create_task_group() as group:
                forward = functools.partial(self._pass_on, near, far)
                group.start_soon(forward)
                await self._pass_on(far, near)
                group.cancel_scope.cancel()

    async def _pass_on(self, source: ByteStream, target: ByteStream) -> None:
        """Passes bytes on until their sender has closed the connection."""
        held: list[bytes] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._deliver, held, target)
            try:
                await self._receive(source, held)
            except anyio.BrokenResourceError:
                self.lost_bytes += sum(len(part) for part in held)
                held.clear()
            while held:
                await anyio.sleep(POLL_INTERVAL_S)
            group.cancel_scope.cancel()

    async def _receive(self, source: ByteStream, held: list[bytes]) -> None:
        async for part in source:
            if self._marker and self._marker in part:
                self._is_cut = True
            if self._is_cut:
                self.held_bytes += len(part)
            held.append(part)

    async def _deliver(self, held: list[bytes], target: ByteStream) -> None:
        while True:
            if self._is_cut or not held:
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            part = held.pop(0)
            try:
                await target.send(part)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
