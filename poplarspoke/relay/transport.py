"""Sockets of callers and endpoints, and the task that owns them.

Messages arrive in callbacks of ``asyncio`` protocols (``lines``), and each
answer is written with one call. The codec of the session protocol is passed in,
so that another front end can use the same decisions.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup

from poplarspoke import errors, invariants, listeners
from poplarspoke.addresses import split_address
from poplarspoke.generated.common import Tick
from poplarspoke.generated.relay import (
    CloseConnection,
    ConnectionLost,
    EndSession,
    LogDecision,
    OpenConnection,
    OperationEnded,
    RefuseSession,
    SendAnswer,
    SessionOpened,
    SessionStarted,
)
from poplarspoke.relay import (
    budgets,
    decisions,
    guards,
    links,
    maintenance,
    metrics,
)
from poplarspoke.relay.buffers import Codec
from poplarspoke.relay.lines import CallerProtocol, EndpointProtocol
from poplarspoke.relay.messages import (
    CloseGatewayLink,
    Forward,
    OpenGatewayLink,
    ToGateway,
    ToPeer,
)
from poplarspoke.relay.state import RelayState
from poplarspoke.tasks import ToHost, ToTask, log_dropped

# Interval of the checks of time limits while statements are open. A limit takes
# effect up to this much late; statements take milliseconds.
TICK_S = 0.025
IDLE_TICK_S = 0.1
# Interval of the checks of time limits of connections.
GUARD_INTERVAL_S = 1.0
# Limit on log lines a second; the number of dropped lines is logged.
MAX_LINES_PER_S = 50


class Relay:
    """Owns the relay's state and sockets; an async context manager.

    Attributes:
        state: State of the relay.
        codec: Codec of the session protocol.
        callers: Connections of callers by session.
        unread: Callers that have not read their answers.
        endpoints: Transports of endpoints by connection; None while opening.
        deliver: Sends messages to peers and other tasks.
        metrics: Metrics of the relay.
        guard: Budgets of what connections hold.
        links: Links to gateways and from the hosts that use this one.
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
        self.callers: dict[int, CallerProtocol] = {}
        self.unread: set[CallerProtocol] = set()
        self.closing: set[CallerProtocol] = set()
        self.endpoints: dict[int, asyncio.Transport | None] = {}
        self.deliver = deliver
        self.metrics = metrics.RelayMetrics()
        settings = state['settings']
        self.guard = guards.Guard(
            budgets.derive_limits(settings.resources, settings.client_limits),
            now_s=now_s,
            log=self.write_log,
            registry=self.metrics.registry,
        )
        self.links = links.GatewayLinks(
            settings.name,
            (settings.ip, settings.peer_port),
            handle=self.handle,
            log=self.write_log,
            guard=self.guard,
        )
        self._now_s = now_s
        self._log = log
        self._next_session = 1
        self._group: TaskGroup
        self._log_second = 0
        self._log_lines = 0

    async def __aenter__(self) -> Self:
        """Starts to listen for callers and starts the tick."""
        host, _, port = self.state['settings'].caller_address.rpartition(':')
        self._server = await listeners.listen(
            lambda: CallerProtocol(self), host, int(port)
        )
        await self.links.__aenter__()
        self._group = await anyio.create_task_group().__aenter__()
        self._group.start_soon(self._tick)
        self._group.start_soon(self._check_connections)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listener and every connection."""
        self._server.close()
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)
        await self.links.__aexit__(None, None, None)
        for caller in list(self.callers.values()):
            caller.discard()
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

    def accept(self, caller: CallerProtocol) -> int:
        """Registers the connection of a caller and returns its session."""
        session = self._next_session
        self._next_session += 1
        self.callers[session] = caller
        self.handle(SessionOpened(session))
        return session

    def remove(self, session: int) -> None:
        """Forgets the connection of a caller."""
        self.callers.pop(session, None)

    def is_delivered(self) -> bool:
        """Returns whether callers have been sent all answers.

        This includes the answers to statements that they had sent ahead.
        """
        if self.closing:
            return False
        return not any(caller.is_busy() for caller in self.callers.values())

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

    async def _check_connections(self) -> None:
        """Closes connections that are over a time limit.

        What their clients have read since is no longer charged.
        """
        while True:
            await anyio.sleep(GUARD_INTERVAL_S)
            for caller in list(self.unread):
                caller.account()
            self.guard.check()

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
    caller = relay.callers.get(outgoing.session)
    if caller is not None:
        caller.write(relay.codec.encode_answer(outgoing))


@perform.register
def _(outgoing: SessionStarted, relay: Relay) -> None:
    caller = relay.callers.get(outgoing.session)
    session = relay.state['sessions'].get(outgoing.session)
    if caller is not None and session is not None:
        owners = relay.state['key_owners']
        caller.start(owners.get(session['key']) or session['database'])


@perform.register
def _(outgoing: RefuseSession, relay: Relay) -> None:
    caller = relay.callers.pop(outgoing.session, None)
    if caller is not None:
        caller.write(relay.codec.encode_refusal(outgoing))
        caller.close()


@perform.register
def _(outgoing: EndSession, relay: Relay) -> None:
    caller = relay.callers.pop(outgoing.session, None)
    if caller is not None:
        caller.close()


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
