"""Links between daemons; each link task owns its socket.

A daemon opens one link to each peer for its outgoing messages. The result of a
statement returns on the link that carried the statement.
"""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Self, TypeAlias, TypeVar

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from poplarspoke import codec, delivery, errors, listeners, wire
from poplarspoke.generated.common import ErrorCode, Outcome
from poplarspoke.generated.peers import PeerFrame
from poplarspoke.generated.requests import Statement, StatementResult
from poplarspoke.relay.budgets import Port
from poplarspoke.relay.guards import Guard, RequestHolder

QUEUE_SIZE = 512
# Maximum number of frames in one write.
BATCH_SIZE = 64
RECONNECT_BACKOFF_S = 0.2
CONNECT_TIMEOUT_S = 1.0
LINK_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    codec.FormatError,
    wire.LinkError,
)


class Outbound(NamedTuple):
    """Message for a peer, with the stream for its result if it has one."""

    message: Any
    answer: MemoryObjectSendStream[StatementResult] | None = None


Entry = TypeVar('Entry')
OnMessage: TypeAlias = Callable[[str, Any], None]
OnStatement: TypeAlias = Callable[[Statement], Awaitable[StatementResult]]


class Link:
    """An outgoing link to one peer; owns its queue and pending results."""

    def __init__(self, address: str) -> None:
        """Creates the queue; ``run`` connects to ``IP:port``."""
        self.address = address
        ends = anyio.create_memory_object_stream[Outbound](QUEUE_SIZE)
        self._inbox = ends[0]
        self._outbox = ends[1]
        self._pending: dict[int, MemoryObjectSendStream[StatementResult]] = {}
        self._last_correlation = 0
        self.connected = False

    def post(self, outbound: Outbound) -> bool:
        """Queues a message; returns False if full or not connected."""
        if not self.connected:
            return False
        try:
            self._inbox.send_nowait(outbound)
        except anyio.WouldBlock:
            return False
        return True

    async def run(self, identity: tuple[str, bytes]) -> None:
        """Keeps the link connected until it is cancelled."""
        while True:
            try:
                await self._run_once(identity)
            except LINK_ERRORS:
                await anyio.sleep(RECONNECT_BACKOFF_S)
            except BaseExceptionGroup as group:
                if group.split(LINK_ERRORS)[1] is not None:
                    raise
                await anyio.sleep(RECONNECT_BACKOFF_S)
            finally:
                self._fail_pending()

    async def _run_once(self, identity: tuple[str, bytes]) -> None:
        host, _, port = self.address.rpartition(':')
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            # Heartbeats ensure that there are always bytes to acknowledge.
            delivery.discard_on_close(_find_socket(stream))
            frames = wire.FrameStream(stream)
            nonce = secrets.token_bytes(wire.NONCE_BYTES)
            await wire.connect_link(frames, wire.LinkIdentity(*identity, nonce))
            self.connected = True
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, frames)
                await self._read(frames)

    async def _write(self, frames: wire.FrameStream) -> None:
        while True:
            batch = await _receive_batch(self._outbox)
            await frames.send(*(self._build_frame(one) for one in batch))

    def _build_frame(self, outbound: Outbound) -> PeerFrame:
        self._last_correlation += 1
        if outbound.answer is not None:
            self._pending[self._last_correlation] = outbound.answer
        return PeerFrame(self._last_correlation, outbound.message)

    async def _read(self, frames: wire.FrameStream) -> None:
        while True:
            frame = await frames.receive()
            answer = self._pending.pop(frame.correlation, None)
            if answer is None or not isinstance(frame.body, StatementResult):
                continue
            _deliver_result(answer, frame.body)

    def _fail_pending(self) -> None:
        """Closes the result streams of all statements that are outstanding."""
        self.connected = False
        while True:
            try:
                outbound = self._outbox.receive_nowait()
            except anyio.WouldBlock:
                break
            if outbound.answer is not None:
                outbound.answer.close()
        for answer in self._pending.values():
            answer.close()
        self._pending.clear()


class Peers:
    """All links of a daemon; an async context manager that owns them.

    Attributes:
        port: TCP port of the listener.
        active: Forwarded statements whose results were not sent yet.
    """

    def __init__(
        self,
        *,
        name: str,
        secret: bytes,
        listen: tuple[str, int],
        on_message: OnMessage,
        on_statement: OnStatement,
        guard: Guard | None = None,
    ) -> None:
        """Stores the identity and the handlers of incoming frames.

        Args:
            name: Name of this host.
            secret: Peer secret of the fleet.
            listen: IP address and port of the listener.
            on_message: Called with the sender and each one-way message.
            on_statement: Called to run each forwarded statement.
            guard: Budgets of what connections hold; None for no limits.
        """
        self.port = listen[1]
        self.active = 0
        self._listen = listen
        self._identity = (name, secret)
        self._on_message = on_message
        self._on_statement = on_statement
        self._guard = guard
        self._links: dict[str, Link] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Binds the listener and starts to accept links."""
        self._listener = await anyio.create_tcp_listener(
            local_host=self._listen[0],
            local_port=self._listen[1],
        )
        attribute = anyio.abc.SocketAttribute.local_port
        self.port = int(self._listener.extra(attribute))
        self._group = await anyio.create_task_group().__aenter__()
        for listener in self._listener.listeners:
            self._group.start_soon(
                listeners.serve, listener, self._accept, self._group
            )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listener and all links."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)
        await self._listener.aclose()

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Opens links to new peers and closes those to removed or moved peers.

        Args:
            addresses: Peer listener ``IP:port`` by host name.
        """
        for name in list(self._links):
            if addresses.get(name) == self._links[name].address:
                continue
            self._links.pop(name)
            self._scopes.pop(name).cancel()
        for name, address in addresses.items():
            if name in self._links or name == self._identity[0]:
                continue
            self._links[name] = Link(address)
            self._scopes[name] = anyio.CancelScope()
            self._group.start_soon(self._run_link, name)

    def send(self, host: str, message: Any) -> None:
        """Sends a one-way message, which is dropped if the link is down."""
        link = self._links.get(host)
        if link is not None:
            link.post(Outbound(message))

    def is_connected(self, host: str) -> bool:
        """Returns whether the link to a host is up."""
        link = self._links.get(host)
        return link is not None and link.connected

    async def forward(
        self,
        host: str,
        statement: Statement,
    ) -> StatementResult:
        """Forwards a statement and returns its result.

        The outcome is "not run" if the link is down, and "unknown" if the link
        fails later or the result misses the deadline.
        """
        sender, receiver = anyio.create_memory_object_stream[StatementResult](1)
        link = self._links.get(host)
        with sender, receiver:
            outbound = Outbound(statement, sender)
            if link is None or not link.post(outbound):
                return refuse_statement(
                    statement,
                    ErrorCode.NO_ENDPOINT,
                    f'the link to host {host} is down',
                )
            with anyio.move_on_after(statement.budget_s):
                try:
                    return await receiver.receive()
                except anyio.EndOfStream:
                    return _refuse_unknown(statement, host)
        return _refuse_unknown(statement, host)

    async def _run_link(self, name: str) -> None:
        with self._scopes[name]:
            await self._links[name].run(self._identity)

    async def _accept(self, stream: SocketStream) -> None:
        address = stream.extra(anyio.abc.SocketAttribute.remote_address, ('',))
        with (
            anyio.CancelScope() as scope,
            RequestHolder(
                self._guard, Port.PEERS, str(address[0]), scope.cancel
            ) as holder,
        ):
            await self._serve_peer(stream, holder)

    async def _serve_peer(
        self, stream: SocketStream, holder: RequestHolder
    ) -> None:
        async with stream:
            delivery.limit_delivery(
                _find_socket(stream), delivery.UNACKNOWLEDGED_LIMIT_S
            )
            frames = wire.FrameStream(stream)
            nonce = secrets.token_bytes(wire.NONCE_BYTES)
            identity = wire.LinkIdentity(*self._identity, nonce)
            try:
                peer = await wire.accept_link(frames, identity)
                holder.begin()
                await self._serve_link(peer, frames)
            except LINK_ERRORS:
                return
            except BaseExceptionGroup as error_group:
                if error_group.split(LINK_ERRORS)[1] is not None:
                    raise

    async def _serve_link(self, peer: str, frames: wire.FrameStream) -> None:
        sender, receiver = anyio.create_memory_object_stream[PeerFrame](
            QUEUE_SIZE,
        )
        with sender, receiver:
            async with anyio.create_task_group() as group:
                group.start_soon(_write_results, frames, receiver)
                await self._read_frames(peer, frames, sender, group)

    async def _read_frames(
        self,
        peer: str,
        frames: wire.FrameStream,
        results: MemoryObjectSendStream[PeerFrame],
        group: TaskGroup,
    ) -> None:
        while True:
            frame = await frames.receive()
            if isinstance(frame.body, Statement):
                group.start_soon(self._run_statement, frame, results)
                continue
            self._on_message(peer, frame.body)

    async def _run_statement(
        self,
        frame: PeerFrame,
        results: MemoryObjectSendStream[PeerFrame],
    ) -> None:
        statement: Any = frame.body
        self.active += 1
        try:
            outcome = await self._on_statement(statement)
            await results.send(PeerFrame(frame.correlation, outcome))
        finally:
            self.active -= 1


def refuse_statement(
    statement: Statement,
    code: ErrorCode,
    detail: str,
    *,
    outcome: Outcome | None = None,
) -> StatementResult:
    """Returns the result that refuses a statement."""
    return StatementResult(
        request_id=statement.request_id,
        transaction=statement.transaction,
        refused=True,
        refusal=errors.refuse(code, detail, outcome=outcome),
    )


async def _receive_batch(
    stream: MemoryObjectReceiveStream[Entry],
) -> list[Entry]:
    """Waits for one entry; returns it with further entries of the queue."""
    batch = [await stream.receive()]
    while len(batch) < BATCH_SIZE:
        try:
            batch.append(stream.receive_nowait())
        except anyio.WouldBlock:
            break
    return batch


async def _write_results(
    frames: wire.FrameStream,
    results: MemoryObjectReceiveStream[PeerFrame],
) -> None:
    while True:
        await frames.send(*await _receive_batch(results))


def _refuse_unknown(statement: Statement, host: str) -> StatementResult:
    return refuse_statement(
        statement,
        ErrorCode.OUTCOME_UNKNOWN,
        f'host {host} did not return the result',
    )


def _deliver_result(
    answer: MemoryObjectSendStream[StatementResult],
    outcome: StatementResult,
) -> None:
    try:
        answer.send_nowait(outcome)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def _find_socket(stream: SocketStream) -> delivery.SocketOptions:
    return stream.extra(anyio.abc.SocketAttribute.raw_socket)
