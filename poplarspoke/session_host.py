"""Connects the tasks and sockets of one host of the session protocol.

The adapter of the platform passes in everything that depends on the platform.
"""

import functools
import http
import random
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, NamedTuple, Self

import anyio
from anyio.abc import TaskGroup

from poplarspoke import codec, logs, web
from poplarspoke.control import (
    decisions as control_decisions,
    state as control_state,
)
from poplarspoke.control.feeds import Feeds, MetadataClient
from poplarspoke.control.links import Links
from poplarspoke.control.metrics import ControlMetrics
from poplarspoke.control.queries import Queries, QueryCodec
from poplarspoke.control.views import VIEW_PATH, Views, encode_view
from poplarspoke.generated.control import (
    OrderPromotion,
    ShowView,
    WriteRecords,
)
from poplarspoke.generated.relay import LogDecision, ShutDown
from poplarspoke.generated.rules import HostSettings
from poplarspoke.generated.usage import ReportUsage, UsageCounted
from poplarspoke.relay import (
    budgets,
    shutdown,
    state as relay_state,
    usage,
)
from poplarspoke.relay.buffers import Codec
from poplarspoke.relay.messages import RelayDatagram
from poplarspoke.relay.transport import Relay
from poplarspoke.tasks import MessageBus, Task, ToHost, ToTask

CONTROL_TICK_S = 0.1
# The balancer takes a host out of rotation after two probes that found it not
# ready.
MIN_SHUTDOWN_S = 2.6
# Reserve of the grace period for the end of the process, before it is killed. It
# takes 0.2 s on a busy core, and more on a part of one.
EXIT_MARGIN_S = 0.5
SHUTDOWN_CHECK_INTERVAL_S = 0.1
VIEW_TIMEOUT_S = 0.5
METRICS_PATH = '/metrics'
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
OK = http.HTTPStatus.OK
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE
MS_PER_S = 1000


class Dependencies(NamedTuple):
    """Dependencies of a host, passed in by the adapter of the platform.

    Attributes:
        settings: Settings of the host.
        codec: Codec of the session protocol.
        query_codec: Codec of the queries of endpoints.
        decoders: Decoders of rows of other writers.
        connect: Returns a new client of the metadata store.
        ready_path: Path of the platform's readiness probe.
        now_s: Boot clock in seconds; it counts suspensions.
        wall_s: Wall clock in seconds since 1970, for identifiers and the log.
        rng: Random source.
        log: Structured log.
    """

    settings: HostSettings
    codec: Codec
    query_codec: QueryCodec
    decoders: control_state.Decoders
    connect: Callable[[], MetadataClient]
    ready_path: str
    now_s: Callable[[], float]
    wall_s: Callable[[], float]
    rng: random.Random
    log: logs.Log


class SessionHost:
    """One host; an async context manager that owns its tasks and sockets."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Creates the tasks, which do not run yet."""
        settings = dependencies.settings
        incarnation = int(dependencies.wall_s() * MS_PER_S)
        self._dependencies = dependencies
        self._stack = AsyncExitStack()
        self._group: TaskGroup
        self._requests = 0
        self.bus = MessageBus(
            send_to_host=self._send_to_host,
            send_to_store=self._send_to_store,
            now_s=dependencies.now_s,
        )
        self.control = Task(
            'control',
            control_decisions.decide,
            control_state.create_state(
                settings,
                dependencies.decoders,
                rng=dependencies.rng,
                incarnation=incarnation,
                started_s=dependencies.now_s(),
            ),
            tick_s=CONTROL_TICK_S,
        )
        self.relay = Relay(
            relay_state.create_state(
                settings,
                rng=dependencies.rng,
                incarnation=incarnation,
            ),
            dependencies.codec,
            now_s=dependencies.now_s,
            deliver=self._deliver,
            log=self.write_log,
        )
        self._control_metrics = ControlMetrics(self.relay.metrics.registry)
        self.links = Links(
            settings.ip,
            settings.peer_port,
            receive=self._receive,
            log=self.write_log,
        )
        self.feeds = Feeds(
            dependencies.connect,
            post=self.control.post,
            now_s=dependencies.now_s,
            rng=dependencies.rng,
        )

    async def __aenter__(self) -> Self:
        """Binds all sockets and starts all tasks."""
        settings = self._dependencies.settings
        post = self.control.post
        views = Views(post=post, now_s=self._dependencies.now_s)
        queries = Queries(self._dependencies.query_codec, post=post)
        enter = self._stack.enter_async_context
        self._group = await enter(anyio.create_task_group())
        self._stack.enter_context(self.control)
        for part in (self.relay, self.links, views, queries, self.feeds):
            await enter(part)
        for kind, address in (
            (budgets.Port.HTTP_READY, settings.ready_address),
            (budgets.Port.HTTP_CONTROL, settings.control_address),
        ):
            await enter(self._create_server(kind, address))
        self._register_handlers(views, queries)
        self.bus.start(self.control, self._group)
        self.write_log(LogDecision(event='started', outcome=settings.name))
        return self

    def _create_server(
        self, kind: budgets.Port, address: str
    ) -> web.HttpServer:
        host, _, port = address.rpartition(':')
        return web.HttpServer(
            self._serve,
            host=host,
            port=int(port),
            guard=self.relay.guard,
            kind=kind,
        )

    async def __aexit__(self, *exc: object) -> None:
        """Ends all tasks and closes all sockets."""
        self._group.cancel_scope.cancel()
        self.write_log(LogDecision(event='stopped'))
        await self._stack.__aexit__(None, None, None)

    async def shut_down(self) -> None:
        """Finishes open work and returns before the grace period ends."""
        settings = self._dependencies.settings
        started_s = self._dependencies.now_s()
        self.write_log(LogDecision(event='shutdown started'))
        self.control.post(ShutDown(settings.grace_s))
        limit_s = settings.grace_s - EXIT_MARGIN_S
        waited_s = float(0)
        while waited_s <= limit_s:
            await anyio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            now_s = self._dependencies.now_s()
            waited_s = now_s - started_s
            if waited_s <= MIN_SHUTDOWN_S or not self.relay.is_delivered():
                continue
            if shutdown.is_finished(self.relay.state, now_s):
                return

    def write_log(self, line: LogDecision) -> None:
        """Writes a decision to the log, without empty fields."""
        fields: Any = {
            name: entry
            for name, entry in line._asdict().items()
            if entry and name != 'event'
        }
        self._dependencies.log.info(line.event, **fields)

    def _register_handlers(self, views: Views, queries: Queries) -> None:
        handlers: dict[str, Callable[[Any], Any]] = {
            'relay': self.relay.receive,
            'links': self.links.set_peers,
            'views': views.fetch,
            'endpoints': queries.send,
            'feeds': self.feeds.set_watch,
            'log': self.write_log,
            usage.CLOCK: self._add_clock,
        }
        for name, handler in handlers.items():
            self.bus.register(name, handler)

    def _deliver(self, outgoing: ToHost | ToTask) -> None:
        self.bus.deliver(outgoing, self.control)

    def _add_clock(self, message: UsageCounted) -> bool:
        """Passes counts to the control task with a reading of the clocks."""
        clocks = self._dependencies
        offset_s = clocks.wall_s() - clocks.now_s()
        return self.control.post(message._replace(wall_offset_s=offset_s))

    def _send_to_host(self, host: str, message: Any) -> None:
        self.links.send(host, message)

    def _send_to_store(self, _task: str, message: Any) -> None:
        send_to_store(message, self.feeds)

    def _receive(self, message: Any) -> None:
        receive(message, self)

    async def _serve(self, request: web.Request) -> web.Response:
        if request.path == self._dependencies.ready_path:
            return web.Response(
                OK if self.control.state['ready'] else UNAVAILABLE
            )
        if request.path == METRICS_PATH:
            self.relay.metrics.observe(
                self.relay.state, self._dependencies.now_s()
            )
            self.relay.guard.observe()
            self._control_metrics.observe(
                self.control.state, self._dependencies.now_s()
            )
            return web.Response(
                OK,
                self.relay.metrics.render(),
                content_type=METRICS_TYPE,
            )
        if request.path != VIEW_PATH:
            return web.Response(http.HTTPStatus.NOT_FOUND)
        self._requests += 1
        try:
            show_view = web.read_json(ShowView, request.body)
        except codec.FormatError:
            return web.Response(http.HTTPStatus.BAD_REQUEST)
        view = await self.control.ask(
            show_view._replace(request_id=str(self._requests)),
            timeout_s=VIEW_TIMEOUT_S,
        )
        return encode_view(request, view)


@functools.singledispatch
def receive(message: Any, host: SessionHost) -> None:
    """Passes a datagram to the task that handles it."""
    host.control.post(message)


@receive.register
def _(
    message: RelayDatagram,
    host: SessionHost,
) -> None:
    host.relay.receive(message)


@functools.singledispatch
def send_to_store(message: Any, feeds: Feeds) -> None:
    """Passes a request of the control task to the metadata store."""
    raise TypeError(f'{type(message).__name__} is not a request to the store')


@send_to_store.register
def _(message: WriteRecords, feeds: Feeds) -> None:
    feeds.send_write(message)


@send_to_store.register
def _(message: OrderPromotion, feeds: Feeds) -> None:
    feeds.send_order(message)


@send_to_store.register
def _(message: ReportUsage, feeds: Feeds) -> None:
    feeds.send_usage(message)


async def run(dependencies: Dependencies) -> None:
    """Runs a host until a signal stops it."""
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*signals) as received:
        async with SessionHost(dependencies) as host:
            async for number in received:
                if number is not signal.SIGHUP:
                    break
                # The settings are read at the start only.
                host.write_log(LogDecision(event='settings reload ignored'))
            await host.shut_down()
