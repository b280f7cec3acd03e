"""Sockets of callers and endpoints, and the task that owns them.

Messages arrive in callbacks of ``asyncio`` protocols: all complete lines of one
read are handled at once, and each answer is written with one call. The codec of
the session protocol is passed in, so that another front end can use the same
decisions.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any, NamedTuple, Self, cast

import anyio
from anyio.abc import TaskGroup

from poplarspoke import delivery, errors, invariants
from poplarspoke.addresses import split_address
from poplarspoke.generated.common import Position, Tick
from poplarspoke.generated.relay import (
    AnswerCode,
    CloseConnection,
    ConnectionLost,
    ConnectionReady,
    EndSession,
    LogDecision,
    OpenConnection,
    OperationEnded,
    RefuseSession,
    SendAnswer,
    SessionClosed,
    SessionOpened,
    SessionPhase,
    SessionStarted,
)
from poplarspoke.relay import decisions, links, maintenance, metrics
from poplarspoke.relay.messages import (
    CloseGatewayLink,
    Forward,
    OpenGatewayLink,
    ToGateway,
    ToPeer,
)
from poplarspoke.relay.state import RelayState
from poplarspoke.tasks import ToHost, ToTask, log_dropped

LINE_END = b'\r\n'
LISTEN_BACKLOG = 512
# Interval of the checks of time limits while statements are open. A limit takes
# effect up to this much late; statements take milliseconds.
TICK_S = 0.025
IDLE_TICK_S = 0.1
# Limit on log lines a second; the number of dropped lines is logged.
MAX_LINES_PER_S = 50


class Codec(NamedTuple):
    """Functions that encode and decode the session protocol.

    Attributes:
        decode_caller_line: Returns the message in a line of a session.
        encode_answer: Returns the lines of an answer to a caller.
        encode_started: Returns the answer to a session that has started.
        encode_refusal: Returns the answer to a session that may not start.
        encode_start: Returns the first message on a connection to an endpoint.
        encode_statement: Returns the message that runs a statement on an
            endpoint, given the required position and the alias.
        create_reader: Returns a reader of an endpoint's answers on a
            connection.
        error: Exception that these raise for malformed input.
        max_message_bytes: Maximum length of one message.
    """

    decode_caller_line: Callable[[int, str], Any]
    encode_answer: Callable[[SendAnswer], bytes]
    encode_started: Callable[[], bytes]
    encode_refusal: Callable[[RefuseSession], bytes]
    encode_start: Callable[[OpenConnection], bytes]
    encode_statement: Callable[[Any, Position, str], bytes]
    create_reader: Callable[[int], Any]
    error: type[Exception]
    max_message_bytes: int


class Relay:
    """Owns the relay's state and sockets; an async context manager.

    Attributes:
        state: State of the relay.
        codec: Codec of the session protocol.
        callers: Transports of callers by session.
        endpoints: Transports of endpoints by connection; None while opening.
        deliver: Sends messages to peers and other tasks.
        links: Links to gateways and from the hosts that use this one.
        metrics: Metrics of the relay.
    """

    def __init__(
        self,
        state: RelayState,
        codec: Codec,
        *,
        now_s: Callable[[], float],
        deliver: Callable[[ToHost | ToTask], None],
        log: Callable[[LogDecision], None],
    ) -> None:
        """Creates the relay without opening sockets.

        Args:
            state: State that this task owns from now on.
            codec: Codec of the session protocol.
            now_s: Returns the boot clock in seconds.
            deliver: Sends messages to peers and other tasks.
            log: Writes a decision to the log.
        """
        self.state = state
        self.codec = codec
        self.callers: dict[int, asyncio.Transport] = {}
        self.endpoints: dict[int, asyncio.Transport | None] = {}
        self.deliver = deliver
        self.links = links.GatewayLinks(
            state['settings'].name,
            (state['settings'].ip, state['settings'].peer_port),
            handle=self.handle,
            log=self.write_log,
        )
        self.metrics = metrics.RelayMetrics()
        self._now_s = now_s
        self._log = log
        self._next_session = 1
        self._group: TaskGroup
        self._log_second = 0
        self._log_lines = 0

    async def __aenter__(self) -> Self:
        """Starts to listen for callers and starts the tick."""
        loop = asyncio.get_running_loop()
        host, _, port = self.state['settings'].caller_address.rpartition(':')
        self._server = await loop.create_server(
            lambda: CallerProtocol(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
        )
        await self.links.__aenter__()
        self._group = await anyio.create_task_group().__aenter__()
        self._group.start_soon(self._tick)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listener and every connection."""
        self._server.close()
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)
        await self.links.__aexit__(None, None, None)
        for transport in list(self.callers.values()):
            transport.abort()
        for link in list(self.endpoints.values()):
            if link is not None:
                link.abort()

    def handle(self, message: Any) -> bool:
        """Decides on a message and carries out the resulting messages.

        Returns:
            Always True: the message was accepted.
        """
        now_s = self._now_s()
        for outgoing in decisions.decide(message, self.state, now_s):
            perform(outgoing, self)
        return True

    def receive(self, message: Any) -> bool:
        """Handles a message of a task, a peer or the clock.

        One that fails is dropped and logged; a broken invariant ends the
        process. Errors in what a connection receives end that connection, so
        its protocol calls ``handle``.

        Returns:
            Always True: the message was accepted.
        """
        try:
            return self.handle(message)
        except invariants.InvariantError:
            raise
        except Exception as exc:
            self.write_log(log_dropped(message, exc))
        return True

    def accept(self, transport: asyncio.Transport) -> int:
        """Registers the connection of a caller and returns its session."""
        session = self._next_session
        self._next_session += 1
        self.callers[session] = transport
        self.handle(SessionOpened(session))
        return session

    def open(self, message: OpenConnection) -> None:
        """Starts opening a connection to an endpoint."""
        self.endpoints[message.connection] = None
        self._group.start_soon(self._connect, message)

    def write_log(self, line: LogDecision) -> None:
        """Logs a decision, or drops it beyond the limit of lines a second."""
        second = int(self._now_s())
        if second != self._log_second:
            dropped_lines = self._log_lines - MAX_LINES_PER_S
            if dropped_lines > 0:
                self._log(
                    LogDecision(
                        event='decisions left out of the log',
                        outcome=str(dropped_lines),
                    ),
                )
            self._log_second = second
            self._log_lines = 0
        self._log_lines += 1
        if self._log_lines <= MAX_LINES_PER_S:
            self._log(line)

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(
                TICK_S if self.state['operations'] else IDLE_TICK_S,
            )
            self.receive(Tick())

    async def _connect(self, message: OpenConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(maintenance.OPEN_TIMEOUT_S):
                await loop.create_connection(
                    lambda: EndpointProtocol(self, message),
                    *split_address(message.address),
                )
        except errors.CONNECT_ERRORS:
            # The failure is logged with the request that it affects.
            self.endpoints.pop(message.connection, None)
            self.receive(ConnectionLost(message.connection))


class LineProtocol(asyncio.Protocol):
    """Splits the received bytes into lines."""

    def __init__(self, relay: Relay) -> None:
        """Starts with an empty buffer."""
        self.relay = relay
        self._buffer = b''

    def split_lines(self, received: bytes) -> list[bytes]:
        """Returns the complete lines and buffers the rest.

        Raises:
            ValueError: A line is too long or holds a stray line break, which
                could smuggle a second message into the first.
        """
        if self._buffer:
            received = self._buffer + received
        lines = received.split(LINE_END)
        self._buffer = lines.pop()
        if len(self._buffer) > self.relay.codec.max_message_bytes:
            raise self.relay.codec.error('message too long')
        for line in lines:
            if b'\n' in line or b'\r' in line:
                raise self.relay.codec.error('stray line break')
        return lines


class CallerProtocol(LineProtocol):
    """Connection of a caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers a new session."""
        self._transport = cast(asyncio.Transport, transport)
        self._session = self.relay.accept(self._transport)

    def data_received(self, data: bytes) -> None:
        """Handles all complete lines; aborts on malformed input."""
        codec = self.relay.codec
        try:
            for line in self.split_lines(data):
                message = codec.decode_caller_line(
                    self._session,
                    line.decode('latin-1'),
                )
                self.relay.handle(message)
        except codec.error:
            self.relay.write_log(
                LogDecision(event='session closed', reason='malformed input'),
            )
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the session."""
        self.relay.callers.pop(self._session, None)
        self.relay.handle(SessionClosed(self._session))


class EndpointProtocol(LineProtocol):
    """Connection to an endpoint."""

    def __init__(self, relay: Relay, message: OpenConnection) -> None:
        """Starts with an endpoint that has not answered yet.

        Args:
            relay: Relay that owns the connection.
            message: Request that the connection is opened for.
        """
        super().__init__(relay)
        self._message = message
        self._reader = relay.codec.create_reader(message.connection)
        self._started = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the start of the session to the endpoint."""
        self._transport = cast(asyncio.Transport, transport)
        number = self._message.connection
        if number not in self.relay.endpoints:
            # A decision closed it while it was being opened.
            self._transport.abort()
            return
        # A statement that was given up must not run after its caller's next one.
        delivery.discard_on_close(transport.get_extra_info('socket'))
        self.relay.endpoints[number] = self._transport
        self._transport.write(self.relay.codec.encode_start(self._message))

    def data_received(self, data: bytes) -> None:
        """Handles all complete answers; aborts on malformed input."""
        try:
            for line in self.split_lines(data):
                answer = self._reader.read_line(line.decode('latin-1'))
                if answer is None:
                    continue
                if self._started:
                    self.relay.handle(answer)
                    continue
                self._start(answer.phase)
        except self.relay.codec.error:
            self.relay.write_log(
                LogDecision(
                    event='connection closed',
                    reason='malformed answer',
                    endpoint=self._message.endpoint,
                ),
            )
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the lost connection, with the code of a refused session."""
        self.relay.endpoints.pop(self._message.connection, None)
        code = AnswerCode.DONE
        if not self._started:
            code = self._reader.refusal
        lost = ConnectionLost(self._message.connection, code, self._started)
        self.relay.handle(lost)

    def _start(self, phase: SessionPhase) -> None:
        self._started = True
        if phase is SessionPhase.IDLE:
            self.relay.handle(ConnectionReady(self._message.connection))


@functools.singledispatch
def perform(outgoing: Any, relay: Relay) -> None:
    """Carries out a message that a decision returned.

    Raises:
        TypeError: The relay does not send messages of this type.
    """
    raise TypeError(f'{type(outgoing).__name__} is not an outgoing message')


@perform.register
def _(outgoing: ToHost | ToTask, relay: Relay) -> None:
    relay.deliver(outgoing)


@perform.register
def _(outgoing: SendAnswer, relay: Relay) -> None:
    transport = relay.callers.get(outgoing.session)
    if transport is not None:
        transport.write(relay.codec.encode_answer(outgoing))


@perform.register
def _(outgoing: SessionStarted, relay: Relay) -> None:
    transport = relay.callers.get(outgoing.session)
    if transport is not None:
        transport.write(relay.codec.encode_started())


@perform.register
def _(outgoing: RefuseSession, relay: Relay) -> None:
    transport = relay.callers.pop(outgoing.session, None)
    if transport is not None:
        transport.write(relay.codec.encode_refusal(outgoing))
        transport.close()


@perform.register
def _(outgoing: EndSession, relay: Relay) -> None:
    transport = relay.callers.pop(outgoing.session, None)
    if transport is not None:
        transport.close()


@perform.register
def _(outgoing: Forward, relay: Relay) -> None:
    transport = relay.endpoints.get(outgoing.connection)
    if transport is None:
        return
    transport.write(
        relay.codec.encode_statement(
            outgoing.statement,
            outgoing.after,
            outgoing.alias,
        ),
    )


@perform.register
def _(outgoing: OpenConnection, relay: Relay) -> None:
    relay.open(outgoing)


@perform.register
def _(outgoing: CloseConnection, relay: Relay) -> None:
    transport = relay.endpoints.pop(outgoing.connection, None)
    if transport is not None:
        transport.abort()


@perform.register
def _(
    outgoing: OpenGatewayLink | CloseGatewayLink | ToGateway | ToPeer,
    relay: Relay,
) -> None:
    links.perform(outgoing, relay.links)


@perform.register
def _(outgoing: OperationEnded, relay: Relay) -> None:
    relay.metrics.count(outgoing)


@perform.register
def _(outgoing: LogDecision, relay: Relay) -> None:
    relay.write_log(outgoing)
