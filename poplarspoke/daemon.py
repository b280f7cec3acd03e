"""The daemon of one host: connects its tasks and sockets."""

import random
import signal
import sys
from contextlib import AsyncExitStack
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry

from poplarspoke import (
    callers,
    decisions,
    endpoint_tasks,
    errors,
    execution,
    operators,
    peers,
    proxy,
    store,
    transaction_steps,
    transactions,
    web,
    wiring,
)
from poplarspoke.context import Context
from poplarspoke.generated.daemon import DaemonSettings
from poplarspoke.generated.dispatch import LinkDown
from poplarspoke.generated.drains import BeginShutdown, ReadyChanged, WorkCount
from poplarspoke.generated.operators import AutomaticAct
from poplarspoke.generated.platform import HostEntry
from poplarspoke.generated.relay import LogDecision
from poplarspoke.generated.requests import Statement, StatementResult
from poplarspoke.generated.rules import ClientLimits, HostResources
from poplarspoke.relay import budgets, guards
from poplarspoke.status import ExitStatus
from poplarspoke.tasks import MessageBus

MS_PER_S = 1000
OPEN_WORK_INTERVAL_S = 0.2
ANNOUNCE_INTERVAL_S = 2.0
CONTROL_QUEUE_SIZE = 1024
# Inboxes to which decision tasks send and whose messages the daemon handles.
CONTROL_INBOXES = ('daemon', 'operators', 'callers')
# Usual limit of a process that has not raised it.
DEFAULT_DESCRIPTORS = 1024


class Daemon:
    """One host of the fleet.

    An async context manager that owns the tasks, listeners and connections.

    Attributes:
        name: Name of the host.
        bus: Message bus between its tasks.
        endpoint_tasks: Tasks of its databases and endpoints.
        fleet: Version and hosts of the settings in force.
        finished: Set when the shutdown is complete.
    """

    def __init__(self, context: Context) -> None:
        """Creates the message bus; the context must have daemon settings.

        Raises:
            errors.SettingsError: The context has no settings.
        """
        if context.settings is None:
            raise errors.SettingsError('a daemon needs its settings file')
        self.name = context.settings['name']
        self.fleet = wiring.FleetSettings(context.now_s())
        self.finished = anyio.Event()
        self._context = context
        self._settings = context.settings
        self._incarnation = int(context.wall_s() * MS_PER_S)
        self._stores = store.Stores(
            self._settings['platform'],
            self._deliver_store_answer,
        )
        self.bus = MessageBus(
            send_to_host=self._send_to_host,
            send_to_store=self._stores.post,
            send_to_endpoint=self._send_to_endpoint,
            now_s=context.now_s,
        )
        self._guard = guards.Guard(
            _derive_limits(self._settings),
            now_s=context.now_s,
            log=self._log_closing,
            registry=CollectorRegistry(),
        )
        self.endpoint_tasks = endpoint_tasks.EndpointTasks(
            self.name, self._incarnation, self.bus
        )
        ends = anyio.create_memory_object_stream[Any](CONTROL_QUEUE_SIZE)
        self._inbox_sender = ends[0]
        self._inbox_receiver = ends[1]
        self._group: TaskGroup
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Opens the listeners and starts the tasks."""
        await self._stack.__aenter__()
        try:
            await self._open()
        except BaseException:
            # The task group raises the error that cancelled the start.
            await self._stack.__aexit__(*sys.exc_info())
            raise
        self._context.log.info('daemon_started')
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the tasks and closes the listeners."""
        self._group.cancel_scope.cancel()
        await self._stack.__aexit__(None, None, None)
        self._context.log.info('daemon_stopped')

    def post(self, message: Any) -> bool:
        """Queues a message for the daemon; returns False if the queue is full."""
        try:
            self._inbox_sender.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    def now_s(self) -> float:
        """Returns the monotonic clock in seconds."""
        return self._context.now_s()

    def record_action(self, event: str, subject: str, evidence: str) -> None:
        """Logs an automatic action and records it for the operators."""
        version = self.fleet.version
        self._context.log.info(
            event,
            evidence=f'{subject}: {evidence}',
            settings_version=version,
        )
        self.bus.post(
            'traces',
            AutomaticAct(
                at_s=self._context.wall_s(),
                host=self.name,
                event=event,
                subject=subject,
                evidence=evidence,
                settings_version=version,
            ),
        )

    def connect_peers(self, addresses: dict[str, str]) -> None:
        """Connects to the hosts of the fleet."""
        self._peers.set_addresses(addresses)

    def publish_readiness(self, ready: ReadyChanged) -> None:
        """Publishes the readiness to the load balancer."""
        self._operator_interface.ready = ready

    def begin_shutdown(self) -> None:
        """Closes each caller's connection after its current answer."""
        self._caller_server.begin_shutdown()

    async def _open(self) -> None:
        self._group = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        for component in (self.endpoint_tasks, self._stores):
            component.attach(self._group)
        await self._stack.enter_async_context(self.endpoint_tasks)
        await self._stack.enter_async_context(self._stores)
        await self._open_peers()
        self._start_tasks()
        await self._open_interfaces()
        for background in (
            self._handle_control_messages,
            self._report_open_work,
            self._announce_host,
        ):
            self._group.start_soon(background)

    async def _open_peers(self) -> None:
        self._peers = await self._stack.enter_async_context(
            peers.Peers(
                name=self.name,
                secret=self._settings['secrets']['peer'].encode(),
                listen=_split_address(self._settings['peers']),
                on_message=self._route_peer_message,
                on_statement=self._run_locally,
                guard=self._guard,
            ),
        )

    def _start_tasks(self) -> None:
        parameters = decisions.TaskParameters(
            self._settings,
            self._incarnation,
            self._context.now_s(),
        )
        for task in decisions.create_tasks(parameters):
            self._stack.enter_context(task)
            self.bus.start(task, self._group)
        for name in CONTROL_INBOXES:
            self.bus.register(name, self.post)

    async def _open_interfaces(self) -> None:
        settings = self._settings
        secrets = settings['secrets']
        now_s = self._context.now_s
        self._executor = transaction_steps.TransactionExecutor(
            execution.Executor(self.name, self.endpoint_tasks.find_unit, now_s),
            self.bus.tasks['transactions'],
        )
        request_proxy = proxy.Proxy(
            proxy.Identity(self.name, settings['zone'], (secrets['session'],)),
            self.bus,
            self._run_statement,
            now_s,
            random.Random(self._incarnation),
        )
        caller_interface = callers.CallerInterface(
            request_proxy.handle, self.name
        )
        self._caller_server = await self._listen(
            caller_interface.handle,
            settings['callers'],
            budgets.Port.CALLERS,
        )
        self._operator_interface = operators.OperatorInterface(
            self.name,
            (secrets['operator'], secrets['peer'], secrets['session']),
            self.bus,
            now_s,
        )
        await self._listen(
            self._operator_interface.handle,
            settings['operators'],
            budgets.Port.HTTP_CONTROL,
        )

    async def _listen(
        self,
        handler: web.Handler,
        address: str,
        kind: budgets.Port,
    ) -> web.HttpServer:
        host, port = _split_address(address)
        server = web.HttpServer(
            handler, host=host, port=port, guard=self._guard, kind=kind
        )
        return await self._stack.enter_async_context(server)

    def _log_closing(self, line: LogDecision) -> None:
        self._context.log.info(
            line.event, outcome=line.outcome, reason=line.reason
        )

    async def _run_statement(
        self,
        owner: str,
        statement: Statement,
    ) -> StatementResult:
        """Runs a statement on the host that owns its endpoint."""
        if owner == self.name:
            return await self._run_locally(statement)
        if not self._peers.is_connected(owner):
            self.bus.post('dispatch', LinkDown(owner))
        return await self._peers.forward(owner, statement)

    async def _run_locally(self, statement: Statement) -> StatementResult:
        return await self._executor.run(statement)

    async def _handle_control_messages(self) -> None:
        while True:
            wiring.handle_message(await self._inbox_receiver.receive(), self)

    async def _report_open_work(self) -> None:
        """Reports to the drains task the work that a shutdown waits for."""
        while True:
            await anyio.sleep(OPEN_WORK_INTERVAL_S)
            open_work = self._caller_server.active
            self.bus.post('drains', WorkCount('callers', open_work))
            self.bus.post('drains', WorkCount('peers', self._peers.active))
            open_transactions = transactions.count_open(
                self.bus.tasks['transactions'].state,
            )
            self.bus.post(
                'drains', WorkCount('transactions', open_transactions)
            )

    async def _announce_host(self) -> None:
        """Renews the entry of this host in the platform's host list."""
        entry = HostEntry(
            self.name,
            self._settings['zone'],
            self._settings['peers'],
        )
        async with store.Store(self._settings['platform']) as client:
            while True:
                leaving = not self._operator_interface.ready.ready
                try:
                    await client.register_host(entry._replace(leaving=leaving))
                except (errors.StoreError, ValueError):
                    self._context.log.debug('platform_unreachable')
                await anyio.sleep(ANNOUNCE_INTERVAL_S)

    def _route_peer_message(self, sender: str, message: Any) -> None:
        if getattr(message, 'sender', sender) != sender:
            self._context.log.warning('peer_sender_wrong', peer=sender)
            return
        wiring.route_message(message, self.bus)

    def _send_to_host(self, host: str, message: Any) -> None:
        self._peers.send(host, message)

    def _send_to_endpoint(self, task: str, endpoint: str, message: Any) -> None:
        self.endpoint_tasks.call(task, endpoint, message)

    def _deliver_store_answer(self, task: str, answer: Any) -> None:
        self.bus.post(task, answer)


def _derive_limits(settings: DaemonSettings) -> budgets.Limits:
    stated = settings.get('limits', {})
    resources = HostResources(
        memory_bytes=stated.get('memory_mb', 0) * budgets.BYTES_PER_MB,
        descriptors=stated.get('descriptors', DEFAULT_DESCRIPTORS),
    )
    return budgets.derive_limits(resources, ClientLimits())


def run(context: Context) -> ExitStatus:
    """Runs the daemon until shutdown and returns the exit status."""
    anyio.run(_serve, context)
    return ExitStatus.SUCCESS


async def _serve(context: Context) -> None:
    async with Daemon(context) as daemon:
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_signals, daemon)
            await daemon.finished.wait()
            group.cancel_scope.cancel()


async def _watch_signals(daemon: Daemon) -> None:
    """Shuts down gracefully on the first signal, at once on the second."""
    signal_count = 0
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for received in signals:
            signal_count += 1
            if signal_count > 1:
                daemon.finished.set()
            reason = f'signal {received.name}'
            daemon.bus.post('drains', BeginShutdown(reason))


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return (host.strip('[]'), int(port))
