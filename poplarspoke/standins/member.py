"""Process of one stand-in member of the platform's database groups.

It serves the endpoint interface of docs/design.md over HTTP, with few slots
and connections, and injects the faults set through ``POST /faults``. It
records the requests that it receives and returns them from ``GET /seen``, so
that tests can assert that no key reaches a member. The log is held in memory
and lost when the process ends; a member that is down or frozen keeps it.
"""

import argparse
import contextlib
import contextvars
import http
import itertools
import signal
import sys
import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any, NamedTuple, Self, TypedDict

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from poplarspoke import codec, errors, web
from poplarspoke.generated import members as schema
from poplarspoke.generated.common import ErrorCode
from poplarspoke.standins import member_state, replication
from poplarspoke.tasks import MessageBus, Task

CALL_TIMEOUT_S = 10.0
LINK_BUFFER_MESSAGES = 4
# Limit of each path, so that heartbeats do not displace statements.
MAX_REQUESTS_PER_PATH = 200
# Keeps the response of /seen below the body limit of web.py.
MAX_SEEN_CHARACTERS = 150_000
LOOPBACK = '127.0.0.1'
TASK = 'replication'
# Only these open a database session, which counts against the connections.
SESSION_PATHS = frozenset(('/execute', '/begin', '/commit', '/rollback'))

connection_name: contextvars.ContextVar[str] = contextvars.ContextVar(
    'connection_name',
)


class Settings(NamedTuple):
    """Settings of one member stand-in.

    Attributes:
        endpoint: Name of the member.
        port: TCP port; 0 selects a free one.
        zone: Availability zone of the member.
        database: Database that the member belongs to.
        members: Address (IP:port) of each member by name.
        slots: Maximum number of statements that run at the same time.
        connections: Maximum number of open connections, not counting
            replication.
        connect_s: Time to open a connection, in seconds.
        statement_s: Time that a statement occupies its slot, in seconds.
        tick_s: Interval between replication messages without writes, in
            seconds.
    """

    endpoint: str
    port: int
    zone: str
    database: str
    members: dict[str, str]
    slots: int = 2
    connections: int = 5
    connect_s: float = 0.01
    statement_s: float = 0.001
    tick_s: float = 0.05


class Route(NamedTuple):
    """One path of the endpoint interface.

    Attributes:
        message_type: Type of the JSON body.
        wrap: Converts the parsed body to the body of a MemberCall.
        uses_slot: Whether the request occupies a slot while it runs.
    """

    message_type: type[Any]
    wrap: Callable[[Any], Any]
    uses_slot: bool = False


class OpenConnection(TypedDict):
    """An open connection to the member.

    Attributes:
        scope: Cancelled when the connection must stop answering.
        admitted: Whether it counts as a database connection.
    """

    scope: anyio.CancelScope
    admitted: bool


def return_unchanged(body: Any) -> Any:
    """Returns the body unchanged."""
    return body


ROUTES: dict[str, Route] = {
    'POST /execute': Route(schema.Execute, return_unchanged, uses_slot=True),
    'POST /begin': Route(schema.TransactionControl, schema.BeginTransaction),
    'POST /commit': Route(
        schema.TransactionControl,
        schema.CommitTransaction,
        uses_slot=True,
    ),
    'POST /rollback': Route(
        schema.TransactionControl,
        schema.RollbackTransaction,
    ),
    'POST /confirm': Route(schema.Confirm, return_unchanged),
    'GET /status': Route(schema.FetchStatus, return_unchanged),
    'POST /adopt': Route(schema.Adopt, return_unchanged),
    'POST /promote': Route(schema.Promote, return_unchanged),
    'POST /follow': Route(schema.Follow, return_unchanged),
    'POST /replicate': Route(schema.Replicate, return_unchanged),
}


class MemberServer(web.HttpServer):
    """HTTP server that names the connection of each request."""

    def __init__(
        self,
        handler: web.Handler,
        on_close: Callable[[str], None],
        *,
        host: str,
        port: int,
    ) -> None:
        """Creates a server that is not listening yet.

        Args:
            handler: Answers the requests.
            on_close: Called with the name of each connection that closes.
            host: IP address to listen on.
            port: TCP port; 0 selects a free one.
        """
        super().__init__(handler, host=host, port=port)
        self.open: dict[str, OpenConnection] = {}
        self._on_close = on_close
        self._names = itertools.count(1)

    def stop_answering(self) -> None:
        """Stops answering on the connections that are open now."""
        for name, connection in self.open.items():
            if name != connection_name.get():
                connection['scope'].cancel()

    async def _serve(self, stream: ByteStream) -> None:
        name = f'connection-{next(self._names)}'
        connection_name.set(name)
        scope = anyio.CancelScope()
        self.open[name] = OpenConnection(scope=scope, admitted=False)
        try:
            async with stream:
                await self._serve_until_stopped(stream, scope)
        except web.STREAM_ERRORS:
            return
        finally:
            self.open.pop(name)
            self._on_close(name)

    async def _serve_until_stopped(
        self,
        stream: ByteStream,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            await self._serve_requests(stream)
        while scope.cancelled_caught:
            await stream.receive()


class Member:
    """One member with its tasks, as an async context manager.

    Attributes:
        port: TCP port that the member listens on.
    """

    def __init__(self, settings: Settings) -> None:
        """Creates a member; entering the context starts its tasks."""
        self.port = settings.port
        self._settings = settings
        self._faults = schema.MemberFaults()
        self._thawed = anyio.Event()
        self._thawed.set()
        self._slots = anyio.CapacityLimiter(settings.slots)
        self._ids = itertools.count(1)
        self._received: dict[str, deque[schema.SeenRequest]] = defaultdict(
            _create_request_queue,
        )
        self._links: dict[str, MemoryObjectSendStream[schema.Replicate]] = {}
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Starts the listener and the replication links."""
        settings = self._settings
        state = member_state.create_state(
            settings.endpoint,
            tuple(settings.members),
            time.monotonic(),
        )
        self._stack = await contextlib.AsyncExitStack().__aenter__()
        self._task = self._stack.enter_context(
            Task(TASK, replication.decide, state, tick_s=settings.tick_s),
        )
        own_address = settings.members.get(settings.endpoint, LOOPBACK)
        self._server = MemberServer(
            self._handle,
            self._post_closed,
            host=own_address.partition(':')[0],
            port=settings.port,
        )
        await self._stack.enter_async_context(self._server)
        self.port = self._server.port
        self._group = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        self._start_tasks()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the tasks and closes the sockets."""
        self._group.cancel_scope.cancel()
        await self._stack.aclose()

    def _start_tasks(self) -> None:
        message_bus = MessageBus(
            send_to_host=_discard_message,
            send_to_store=_discard_message,
            send_to_endpoint=self._send_to_member,
            now_s=time.monotonic,
        )
        for name, address in self._settings.members.items():
            if name == self._settings.endpoint:
                continue
            ends = anyio.create_memory_object_stream[schema.Replicate](
                LINK_BUFFER_MESSAGES,
            )
            self._links[name] = self._stack.enter_context(ends[0])
            self._group.start_soon(self._run_link, name, address, ends[1])
        message_bus.start(self._task, self._group)

    def _send_to_member(self, _task: str, name: str, message: Any) -> None:
        with contextlib.suppress(anyio.WouldBlock):
            self._links[name].send_nowait(message)

    async def _run_link(
        self,
        name: str,
        address: str,
        messages: MemoryObjectReceiveStream[schema.Replicate],
    ) -> None:
        """Sends replication messages to one member over one connection."""
        connection: web.HttpConnection | None = None
        with messages:
            async for message in messages:
                await anyio.sleep(self._faults.lag_s)
                await self._thawed.wait()
                connection = await self._replicate(
                    name,
                    connection or address,
                    message,
                )

    async def _replicate(
        self,
        name: str,
        target: web.HttpConnection | str,
        message: schema.Replicate,
    ) -> web.HttpConnection | None:
        """Sends one message and returns the connection if it is reusable."""
        lost = schema.ReplicateAnswered(
            member=name,
            lost=True,
            answer=schema.Replicated(round=message.round),
        )
        if self._faults.down or name in self._faults.cut_off:
            self._task.post(lost)
            return None
        try:
            connection = await _open_connection(target)
        except web.NotSentError:
            self._task.post(lost)
            return None
        try:
            replicated = await _exchange(connection, message)
        except (web.AnswerLostError, codec.FormatError):
            await connection.__aexit__()
            self._task.post(lost)
            return None
        answered = schema.ReplicateAnswered(member=name, answer=replicated)
        self._task.post(answered)
        return connection

    async def _handle(self, request: web.Request) -> web.Response:
        path, _, query = request.path.partition('?')
        if path == '/faults':
            return self._set_faults(request)
        if path == '/seen':
            return self._show_requests(query.removeprefix('path='))
        self._record_request(path, request)
        refused = await self._admit(path)
        if refused is not None:
            return refused
        route = ROUTES.get(f'{request.method} {path}')
        if route is None:
            return _refuse(ErrorCode.BAD_REQUEST, f'{path} does not exist')
        try:
            message = web.read_json(route.message_type, request.body or b'{}')
        except codec.FormatError as exc:
            return _refuse(ErrorCode.BAD_REQUEST, str(exc))
        self._check_partition(message)
        response = await self._run(route, route.wrap(message))
        await self._thawed.wait()
        self._drop_answer(path)
        return response

    async def _admit(self, path: str) -> web.Response | None:
        """Applies faults and the connection limit before a request runs.

        Returns:
            The refusal, None if the request may run.
        """
        await self._thawed.wait()
        if self._faults.down:
            raise anyio.EndOfStream
        connection = self._server.open[connection_name.get()]
        if connection['admitted'] or path not in SESSION_PATHS:
            return None
        opened = self._server.open.values()
        admitted = sum(entry['admitted'] for entry in opened)
        if admitted >= self._settings.connections:
            return _refuse(
                ErrorCode.OVERLOADED,
                f'the endpoint has {admitted} connections already',
            )
        connection['admitted'] = True
        await anyio.sleep(self._settings.connect_s)
        return None

    async def _run(self, route: Route, body: Any) -> web.Response:
        if not route.uses_slot:
            return await self._call(body)
        async with self._slots:
            await anyio.sleep(self._settings.statement_s + self._faults.slow_s)
            await self._thawed.wait()
            return await self._call(body)

    async def _call(self, body: Any) -> web.Response:
        call = schema.MemberCall(
            request_id=str(next(self._ids)),
            connection=connection_name.get(),
            queued=self._slots.statistics().tasks_waiting,
            body=body,
        )
        wait_s = getattr(body, 'wait_s', 0)
        try:
            message = await self._task.ask(
                call,
                timeout_s=CALL_TIMEOUT_S + wait_s,
            )
        except errors.RefusedError as exc:
            raise anyio.EndOfStream from exc
        return web.Response(http.HTTPStatus.OK, web.write_json(message))

    def _check_partition(self, message: Any) -> None:
        if getattr(message, 'entries', None) is None:
            return
        if message.primary in self._faults.cut_off:
            raise anyio.EndOfStream

    def _drop_answer(self, path: str) -> None:
        faults = self._faults
        if not faults.lost_answers or faults.lost_path not in {'', path}:
            return
        left = faults.lost_answers - 1
        self._faults = faults._replace(lost_answers=left)
        raise anyio.EndOfStream

    def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = web.read_json(schema.MemberFaults, request.body)
        except codec.FormatError as exc:
            return _refuse(ErrorCode.BAD_REQUEST, str(exc))
        self._faults = faults
        self._task.post(faults)
        if faults.silent:
            self._server.stop_answering()
        if not faults.frozen:
            self._thawed.set()
        elif self._thawed.is_set():
            self._thawed = anyio.Event()
        return web.Response(http.HTTPStatus.OK, web.write_json(faults))

    def _record_request(self, path: str, request: web.Request) -> None:
        headers = tuple(
            f'{header.name}: {header.value}' for header in request.headers
        )
        seen = schema.SeenRequest(
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body.decode('utf-8', 'replace'),
        )
        known = f'{request.method} {path}' in ROUTES
        self._received[path if known else ''].append(seen)

    def _show_requests(self, path: str) -> web.Response:
        """Returns the newest requests of one path, or of all paths."""
        shown: list[schema.SeenRequest] = []
        left = MAX_SEEN_CHARACTERS
        for name in [path] if path else list(self._received):
            for seen in reversed(self._received[name]):
                left -= len(str(seen))
                if left > 0:
                    shown.append(seen)
        answer = schema.SeenRequests(tuple(shown))
        return web.Response(http.HTTPStatus.OK, web.write_json(answer))

    def _post_closed(self, name: str) -> None:
        with contextlib.suppress(
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        ):
            self._task.post(schema.ConnectionClosed(name))


async def serve(settings: Settings) -> None:
    """Runs a member until SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with Member(settings) as member:
            sys.stdout.write(f'ready {member.port}\n')
            sys.stdout.flush()
            await anext(signals)


def read_settings(arguments: list[str]) -> Settings:
    """Returns the settings from the command line."""
    parser = argparse.ArgumentParser(prog='member', description=__doc__)
    for name in ('endpoint', 'zone', 'database'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument(
        '--members',
        required=True,
        help='name=IP:port of every member, separated by commas',
    )
    defaults = Settings._field_defaults
    for option, value in defaults.items():
        flag = '--{0}'.format(option.replace('_', '-'))
        parser.add_argument(flag, type=type(value), default=value)
    parsed = vars(parser.parse_args(arguments))  # noqa: WPS421
    parsed['members'] = dict(
        entry.split('=', 1) for entry in parsed['members'].split(',')
    )
    return Settings(**parsed)


def _create_request_queue() -> deque[schema.SeenRequest]:
    return deque(maxlen=MAX_REQUESTS_PER_PATH)


def _discard_message(target: str, message: Any) -> None:
    """Discards a message; members send none to daemons or the store."""


def _refuse(code: ErrorCode, detail: str) -> web.Response:
    refusal = errors.refuse(code, detail)
    status = errors.ERROR_KINDS[code].status
    return web.Response(status, web.write_json({'error': refusal}))


async def _open_connection(
    target: web.HttpConnection | str,
) -> web.HttpConnection:
    if isinstance(target, str):
        return await web.connect(target)
    return target


async def _exchange(
    connection: web.HttpConnection,
    message: schema.Replicate,
) -> schema.Replicated:
    request = web.Request('POST', '/replicate', body=web.write_json(message))
    response = await connection.send(
        request,
        timeout_s=replication.REPLICATE_TIMEOUT_S,
    )
    return web.read_json(schema.Replicated, response.body)


if __name__ == '__main__':
    anyio.run(serve, read_settings(sys.argv[1:]))
