"""Links between hosts and the gateways of their zone.

A link is a TCP connection with frames of ``schema/gateways.capnp``, each after
its length in bytes. All complete frames of one read are handled at once.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any, Self, cast

import anyio
from anyio.abc import TaskGroup

from poplarspoke import codec, delivery, errors, listeners
from poplarspoke.addresses import split_address
from poplarspoke.generated.gateways import LinkFrame, OpenLink
from poplarspoke.generated.relay import LogDecision
from poplarspoke.relay.budgets import Port
from poplarspoke.relay.guards import Guard
from poplarspoke.relay.messages import (
    CloseGatewayLink,
    GatewayFrame,
    GatewayLost,
    OpenGatewayLink,
    PeerFrame,
    PeerLost,
    ToGateway,
    ToPeer,
)

LENGTH_BYTES = 4
# A statement has at most 1 MiB; its frame also holds the session's values and a
# prepared statement, 2 MiB together. An answer has at most 4 MiB. Their text
# takes up to twice as much in a frame.
MAX_FRAME_BYTES = 9 * 1024 * 1024
# Hosts of one zone are less than a millisecond apart; a host that does not
# accept within this time is down.
CONNECT_TIMEOUT_S = 0.4
# Bytes that may wait for a host that does not read, before its link is closed.
# Some callers with statements of 1 MiB must not end the link of all others.
MAX_UNSENT_BYTES = 16777216


class GatewayLinks:
    """Owns the sockets of all links; an async context manager."""

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        *,
        handle: Callable[[Any], Any],
        log: Callable[[LogDecision], None],
        guard: Guard,
    ) -> None:
        """Creates the links without opening sockets.

        Args:
            host: Name of this host.
            address: IP and TCP port to listen on.
            handle: Decides on a message.
            log: Writes a log line.
            guard: Budgets of what connections hold.
        """
        self.handle = handle
        self.log = log
        self.guard = guard
        self._host = host
        self._address = address
        self._gateways: dict[str, asyncio.Transport] = {}
        self._opening: dict[str, anyio.CancelScope] = {}
        self._peers: dict[int, asyncio.Transport] = {}
        self._next_link = 1
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Starts to listen for other hosts."""
        self._server = await listeners.listen(
            lambda: PeerProtocol(self), *self._address
        )
        self._group = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listener and all links."""
        self._server.close()
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)
        for transport in (*self._gateways.values(), *self._peers.values()):
            transport.abort()

    def add_peer(self, transport: asyncio.Transport) -> int:
        """Registers a link that another host has opened."""
        link = self._next_link
        self._next_link += 1
        self._peers[link] = transport
        return link

    def remove_peer(self, link: int) -> None:
        """Forgets a link that has ended."""
        self._peers.pop(link, None)

    def add_gateway(self, host: str, transport: asyncio.Transport) -> None:
        """Registers an open link to a gateway and sends its first frame."""
        self._gateways[host] = transport
        write_frame(transport, OpenLink(self._host))

    def remove_gateway(self, host: str, transport: asyncio.Transport) -> bool:
        """Forgets a link; False if it has been closed or replaced before."""
        if self._gateways.get(host) is not transport:
            return False
        self._gateways.pop(host)
        return True

    def open(self, message: OpenGatewayLink) -> None:
        """Starts to open a link to a gateway."""
        self.close(message.host)
        scope = anyio.CancelScope()
        self._opening[message.host] = scope
        self._group.start_soon(self._connect, message, scope)

    def close(self, host: str) -> None:
        """Closes the link to a gateway, if there is one."""
        scope = self._opening.pop(host, None)
        if scope is not None:
            scope.cancel()
        transport = self._gateways.pop(host, None)
        if transport is not None:
            transport.abort()

    def send_to_gateway(self, message: ToGateway) -> None:
        """Sends a frame to a gateway; without a link it is dropped."""
        transport = self._gateways.get(message.host)
        if transport is not None:
            write_frame(transport, message.body)

    def send_to_peer(self, message: ToPeer) -> None:
        """Sends a frame on a link that another host has opened."""
        transport = self._peers.get(message.link)
        if transport is not None:
            write_frame(transport, message.body)

    async def _connect(
        self, message: OpenGatewayLink, scope: anyio.CancelScope
    ) -> None:
        loop = asyncio.get_running_loop()
        with scope:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    await loop.create_connection(
                        lambda: GatewayProtocol(self, message.host),
                        *split_address(message.address),
                    )
            except errors.CONNECT_ERRORS as exc:
                reason = f'not reachable: {exc or "timeout"}'
                self.handle(GatewayLost(message.host, reason))
        if self._opening.get(message.host) is scope:
            self._opening.pop(message.host)


class FrameProtocol(asyncio.Protocol):
    """Splits the received bytes into frames."""

    port = Port.GATEWAYS

    def __init__(self, links: GatewayLinks) -> None:
        """Starts with an empty buffer."""
        self.links = links
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers what the link holds."""
        self.transport = cast(asyncio.Transport, transport)
        address = transport.get_extra_info('peername')
        self._holder = self.links.guard.open(
            self.port, str(address[0]) if address else '', self.discard
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets what the link has held."""
        self._buffer = bytearray()
        self.links.guard.end(self._holder)

    def data_received(self, data: bytes) -> None:
        """Handles all complete frames; aborts on malformed input."""
        if self.transport.is_closing():
            return
        frames = 0
        try:
            for payload in self.split_frames(data):
                frames += 1
                self.receive(codec.decode(LinkFrame, payload).body)
        except codec.FormatError as exc:
            self.links.log(
                LogDecision(event='gateway link closed', reason=str(exc)),
            )
            self.transport.abort()
        self._note_frames(frames)
        self._account()

    def pause_writing(self) -> None:
        """Starts the time limit of a host that does not read."""
        self._holder['unread_since_s'] = self.links.guard.now_s()
        self._account()

    def resume_writing(self) -> None:
        """Ends the time limit of a host that has read."""
        self._holder['unread_since_s'] = 0
        self._account()

    def discard(self) -> None:
        """Closes the link at once."""
        self._buffer = bytearray()
        self.transport.abort()

    def receive(self, body: Any) -> None:
        """Handles one frame."""
        raise NotImplementedError

    def split_frames(self, received: bytes) -> list[bytes]:
        """Returns the complete frames and buffers the rest.

        Raises:
            codec.FormatError: A frame is too long.
        """
        self._buffer += received
        frames: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            body_start = start + LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body_start], 'big')
            if length > MAX_FRAME_BYTES:
                raise codec.FormatError(f'frame of {length} bytes is too long')
            if len(self._buffer) - body_start < length:
                break
            start = body_start + length
            frames.append(bytes(self._buffer[body_start:start]))
        # Unlike a slice, this does not copy what remains.
        del self._buffer[:start]  # noqa: WPS420
        return frames

    def _note_frames(self, frames: int) -> None:
        if frames:
            self._holder['started'] = True
        if not self._buffer:
            self._holder['incomplete_since_s'] = 0
        elif frames or not self._holder['incomplete_since_s']:
            self._holder['incomplete_since_s'] = self.links.guard.now_s()

    def _account(self) -> None:
        held_bytes = len(self._buffer)
        if self._holder['unread_since_s']:
            held_bytes += self.transport.get_write_buffer_size()
        if held_bytes != self._holder['held_bytes']:
            self.links.guard.charge(self._holder, held_bytes)


class PeerProtocol(FrameProtocol):
    """Link that another host has opened."""

    port = Port.PEERS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the link."""
        super().connection_made(transport)
        self._link = self.links.add_peer(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the link."""
        super().connection_lost(exc)
        self.links.remove_peer(self._link)
        self.links.handle(PeerLost(self._link))

    def receive(self, body: Any) -> None:
        """Passes on a frame of the other host."""
        self.links.handle(PeerFrame(self._link, body))


class GatewayProtocol(FrameProtocol):
    """Link that this host has opened to a gateway."""

    def __init__(self, links: GatewayLinks, host: str) -> None:
        """Starts a link to a host."""
        super().__init__(links)
        self._host = host

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the link."""
        super().connection_made(transport)
        delivery.discard_on_close(transport.get_extra_info('socket'))
        self.links.add_gateway(self._host, self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the link, unless this host has closed it."""
        super().connection_lost(exc)
        if self.links.remove_gateway(self._host, self.transport):
            self.links.handle(GatewayLost(self._host, 'the link has ended'))

    def receive(self, body: Any) -> None:
        """Passes on a frame of the gateway."""
        self.links.handle(GatewayFrame(self._host, body))


def write_frame(transport: asyncio.Transport, body: Any) -> None:
    """Writes one frame; closes the link of a host that does not read."""
    if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
        transport.abort()
        return
    payload = codec.encode(LinkFrame(body))
    transport.write(len(payload).to_bytes(LENGTH_BYTES, 'big') + payload)


@functools.singledispatch
def perform(outgoing: Any, links: GatewayLinks) -> None:
    """Carries out a message about a link.

    Raises:
        TypeError: It is not a message about a link.
    """
    raise TypeError(f'{type(outgoing).__name__} is not about a link')


@perform.register
def _(outgoing: OpenGatewayLink, links: GatewayLinks) -> None:
    links.open(outgoing)


@perform.register
def _(outgoing: CloseGatewayLink, links: GatewayLinks) -> None:
    links.close(outgoing.host)


@perform.register
def _(outgoing: ToGateway, links: GatewayLinks) -> None:
    links.send_to_gateway(outgoing)


@perform.register
def _(outgoing: ToPeer, links: GatewayLinks) -> None:
    links.send_to_peer(outgoing)
