"""Client of the platform's table, object store and host list.

A request without a complete answer raises ``errors.StoreError``. A commit may
still have taken effect, so the caller reads the rows before it retries.
"""

import functools
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, Self, TypeAlias

import anyio
from anyio.abc import TaskGroup

from poplarspoke import errors, web
from poplarspoke.generated.platform import (
    Commit,
    CommitResult,
    FetchHosts,
    HostEntry,
    HostList,
    ReadRows,
    RowsRead,
    StoreRequestFailed,
)

TIMEOUT_S = 1.0
QUEUE_SIZE = 256


class Store:
    """Client with one connection to the platform; reconnects after an error.

    An async context manager that owns the connection.

    Attributes:
        reachable: Whether the last request was answered.
    """

    def __init__(self, address: str) -> None:
        """Sets the ``IP:port`` of the platform's service."""
        self.reachable = False
        self._address = address
        self._connection: web.HttpConnection | None = None

    async def __aenter__(self) -> Self:
        """Returns the client; the first request opens the connection."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the connection."""
        await self._close()

    async def commit(self, change: Commit) -> CommitResult:
        """Commits a transaction with compare-and-set conditions."""
        body = await self._send('POST', '/commit', change)
        return web.read_json(CommitResult, body)

    async def read(self, rows: ReadRows) -> RowsRead:
        """Reads rows by key."""
        body = await self._send('POST', '/read', rows)
        return web.read_json(RowsRead, body)

    async def list_hosts(self) -> HostList:
        """Returns the platform's list of hosts, which may lag behind."""
        body = await self._send('GET', '/hosts', None)
        return web.read_json(HostList, body)

    async def register_host(self, entry: HostEntry) -> None:
        """Registers this host in the platform's list."""
        await self._send('POST', '/hosts', entry)

    async def _send(self, method: str, path: str, message: Any) -> bytes:
        body = b'' if message is None else web.write_json(message)
        request = web.Request(method, path, body=body)
        try:
            response = await self._send_once(request)
        except (web.NotSentError, web.AnswerLostError) as exc:
            self.reachable = False
            await self._close()
            raise errors.StoreError(str(exc)) from exc
        self.reachable = response.status < web.FIRST_ERROR_STATUS
        if not self.reachable:
            raise errors.StoreError(
                f'the platform answered {path} with status {response.status}',
            )
        return response.body

    async def _send_once(self, request: web.Request) -> web.Response:
        if self._connection is None:
            self._connection = await web.connect(self._address)
        return await self._connection.send(request, timeout_s=TIMEOUT_S)

    async def _close(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.__aexit__(None, None, None)


OnAnswer: TypeAlias = Callable[[str, Any], None]


@functools.singledispatch
async def call_store(message: Any, store: Store) -> Any:
    """Sends a store request, by its type, and returns the answer."""
    raise TypeError(f'{type(message).__name__} is not a store request')


@call_store.register
async def _(message: Commit, store: Store) -> Any:
    return await store.commit(message)


@call_store.register
async def _(message: ReadRows, store: Store) -> Any:
    return await store.read(message)


@call_store.register
async def _(message: FetchHosts, store: Store) -> Any:
    return await store.list_hosts()


@call_store.register
async def _(message: HostEntry, store: Store) -> Any:
    await store.register_host(message)
    return message


class StoreTask:
    """Sends the store requests of one task, in order, on its own connection.

    An async context manager that owns the connection and the queue.
    """

    def __init__(self, address: str, task: str, on_answer: OnAnswer) -> None:
        """Sets the platform's ``IP:port``, the task and the callback."""
        self._store = Store(address)
        self._task = task
        self._on_answer = on_answer
        streams = anyio.create_memory_object_stream[Any](QUEUE_SIZE)
        self._sender = streams[0]
        self._receiver = streams[1]

    async def __aenter__(self) -> Self:
        """Returns the task."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the queue and the connection."""
        self._sender.close()
        self._receiver.close()
        await self._store.__aexit__(None, None, None)

    def post(self, message: Any) -> None:
        """Queues a request; a full queue answers ``StoreRequestFailed``."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            self._on_answer(
                self._task,
                StoreRequestFailed('the queue is full', not_sent=True),
            )

    async def run(self) -> None:
        """Sends queued requests until it is cancelled."""
        while True:
            message = await self._receiver.receive()
            try:
                answer = await call_store(message, self._store)
            except errors.StoreError as exc:
                answer = StoreRequestFailed(str(exc))
            self._on_answer(self._task, answer)


class Stores:
    """One ``StoreTask`` for each task that sends requests to the platform.

    An async context manager that owns them.
    """

    def __init__(self, address: str, on_answer: OnAnswer) -> None:
        """Sets the platform's ``IP:port`` and the callback for answers."""
        self._address = address
        self._on_answer = on_answer
        self._tasks: dict[str, StoreTask] = {}
        self._group: TaskGroup
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Returns the owner; it has no connections yet."""
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *exc: Any) -> None:
        """Closes the connections."""
        await self._stack.__aexit__(*exc)

    def attach(self, group: TaskGroup) -> None:
        """Sets the task group that runs the store tasks."""
        self._group = group

    def post(self, task: str, message: Any) -> None:
        """Queues a request of a task."""
        if task not in self._tasks:
            store_task = StoreTask(self._address, task, self._on_answer)
            self._stack.push_async_exit(store_task)
            self._tasks[task] = store_task
            self._group.start_soon(store_task.run)
        self._tasks[task].post(message)
