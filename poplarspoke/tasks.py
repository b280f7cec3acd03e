"""Tasks that own a state and talk by messages.

A task receives from one bounded stream, lets its decision function change the
state, and delivers the messages that the function returns.
"""

import functools
from collections.abc import Callable
from typing import Any, NamedTuple, Self, TypeAlias

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from poplarspoke import errors
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.relay import LogDecision

INBOX_SIZE = 1024


class ToHost(NamedTuple):
    """Outgoing message for a peer daemon, which may never arrive."""

    host: str
    message: Any


class ToStore(NamedTuple):
    """Outgoing request for the platform; the answer comes back as a message."""

    message: Any


class ToTask(NamedTuple):
    """Outgoing message for another task of the same daemon."""

    task: str
    message: Any


class ToEndpoint(NamedTuple):
    """Outgoing call of a database member; its answer comes as a message."""

    endpoint: str
    message: Any


class Reply(NamedTuple):
    """Answer to the request with this id, from a task of this daemon."""

    request_id: str
    message: Any


Outgoing: TypeAlias = ToHost | ToStore | ToTask | ToEndpoint | Reply
Decide: TypeAlias = Callable[[Any, Any, float], list[Outgoing]]
Post: TypeAlias = Callable[[Any], bool]
SendToHost: TypeAlias = Callable[[str, Any], None]
SendToStore: TypeAlias = Callable[[str, Any], None]
SendToEndpoint: TypeAlias = Callable[[str, str, Any], None]


class Envelope(NamedTuple):
    """Message in an inbox.

    Attributes:
        message: The message.
        answer: Where the reply to its request id goes, None if unwanted.
    """

    message: Any
    answer: MemoryObjectSendStream[Any] | None = None


class Task:
    """A task with its inbox; a context manager that owns the stream.

    Attributes:
        name: Address of the task inside its daemon.
        state: State of the decision module, changed by this task only.
    """

    def __init__(
        self,
        name: str,
        decide: Decide,
        state: Any,
        *,
        tick_s: float,
    ) -> None:
        """Creates the inbox.

        Args:
            name: Address of the task inside its daemon.
            decide: Decision function of the module.
            state: State that this task owns from now on.
            tick_s: Longest time in seconds between two ticks.
        """
        self.name = name
        self.state = state
        self._decide = decide
        self._tick_s = tick_s
        self._stopped = False
        self._answers: dict[str, MemoryObjectSendStream[Any]] = {}
        ends = anyio.create_memory_object_stream[Envelope](INBOX_SIZE)
        self._inbox = ends[0]
        self._outbox = ends[1]

    def __enter__(self) -> Self:
        """Returns the task."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """Closes both ends of the inbox."""
        self._inbox.close()
        self._outbox.close()

    def post(self, message: Any) -> bool:
        """Puts a message into the inbox without waiting.

        Returns:
            False if the inbox is full and the message was dropped.
        """
        try:
            self._inbox.send_nowait(Envelope(message))
        except anyio.WouldBlock:
            return False
        return True

    async def ask(self, message: Any, *, timeout_s: float) -> Any:
        """Sends a request and returns the reply to its ``request_id``.

        Raises:
            errors.RefusedError: The task did not answer in time.
        """
        sender, receiver = anyio.create_memory_object_stream[Any](1)
        with sender, receiver:
            with anyio.move_on_after(timeout_s):
                await self._inbox.send(Envelope(message, sender))
                return await receiver.receive()
        raise errors.RefusedError(
            errors.refuse(
                ErrorCode.DEADLINE_EXCEEDED,
                f'task {self.name} did not answer in {timeout_s:.1f} s',
            ),
        )

    async def run(
        self,
        deliver: Callable[[Outgoing, 'Task'], None],
        now_s: Callable[[], float],
    ) -> None:
        """Handles messages until it is cancelled.

        Args:
            deliver: Passes on what the decision function returns.
            now_s: Monotonic clock in seconds.
        """
        while not self._stopped:
            self._handle(Envelope(Tick()), deliver, now_s)
            # One scope for each tick: a scope and its timer for each message
            # cost more than most decisions.
            with anyio.move_on_after(self._tick_s):
                await self._receive_messages(deliver, now_s)

    def stop(self) -> None:
        """Ends the task with its next message or tick."""
        self._stopped = True

    def answer(self, reply: Reply) -> None:
        """Passes a reply to whoever asked; drops it if nobody waits."""
        stream = self._answers.pop(reply.request_id, None)
        if stream is None:
            return
        try:
            stream.send_nowait(reply.message)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    async def _receive_messages(
        self,
        deliver: Callable[[Outgoing, 'Task'], None],
        now_s: Callable[[], float],
    ) -> None:
        """Handles messages until the task is stopped or cancelled.

        Only the receive can be cancelled, so no message is half handled.
        """
        while not self._stopped:
            self._handle(await self._outbox.receive(), deliver, now_s)

    def _handle(
        self,
        envelope: Envelope,
        deliver: Callable[[Outgoing, 'Task'], None],
        now_s: Callable[[], float],
    ) -> None:
        self._keep_answer(envelope)
        for outgoing in self._decide(envelope.message, self.state, now_s()):
            deliver(outgoing, self)

    def _keep_answer(self, envelope: Envelope) -> None:
        if envelope.answer is not None:
            self._answers[envelope.message.request_id] = envelope.answer


def refuse_endpoint(task: str, endpoint: str, message: Any) -> None:
    """Raises, since the daemon was given no way to call endpoints.

    Raises:
        TypeError: Always.
    """
    raise TypeError(
        f'task {task} called endpoint {endpoint}; '
        'create its mesh with send_to_endpoint',
    )


class Mesh:
    """The tasks of one daemon and the ways out of it."""

    def __init__(
        self,
        *,
        send_to_host: SendToHost,
        send_to_store: SendToStore,
        now_s: Callable[[], float],
        send_to_endpoint: SendToEndpoint = refuse_endpoint,
    ) -> None:
        """Keeps where messages for peers, platform and endpoints go."""
        self.tasks: dict[str, Task] = {}
        self._inboxes: dict[str, Post] = {}
        self.send_to_host = send_to_host
        self.send_to_store = send_to_store
        self.send_to_endpoint = send_to_endpoint
        self._now_s = now_s

    def start(self, task: Task, group: TaskGroup) -> None:
        """Starts a task in a task group."""
        self.tasks[task.name] = task
        self.register(task.name, task.post)
        group.start_soon(task.run, self.deliver, self._now_s, name=task.name)

    def register(self, name: str, post: Post) -> None:
        """Names an inbox that is not the one of a decision task."""
        self._inboxes[name] = post

    def post(self, name: str, message: Any) -> bool:
        """Posts a message to an inbox; False if it is missing or full."""
        post = self._inboxes.get(name)
        return post is not None and post(message)

    def stop(self, name: str) -> None:
        """Ends a task and forgets its inbox."""
        self._inboxes.pop(name, None)
        task = self.tasks.pop(name, None)
        if task is not None:
            task.stop()

    def deliver(self, outgoing: Outgoing, task: Task) -> None:
        """Passes an outgoing message of a task on."""
        deliver_one(outgoing, self, task)


@functools.singledispatch
def deliver_one(outgoing: Any, mesh: Mesh, task: Task) -> None:
    """Delivers one outgoing message by its type."""
    raise TypeError(f'{type(outgoing).__name__} cannot be delivered')


@deliver_one.register
def _(outgoing: ToHost, mesh: Mesh, task: Task) -> None:
    mesh.send_to_host(outgoing.host, outgoing.message)


@deliver_one.register
def _(outgoing: ToStore, mesh: Mesh, task: Task) -> None:
    mesh.send_to_store(task.name, outgoing.message)


@deliver_one.register
def _(outgoing: ToTask, mesh: Mesh, task: Task) -> None:
    mesh.post(outgoing.task, outgoing.message)


@deliver_one.register
def _(outgoing: ToEndpoint, mesh: Mesh, task: Task) -> None:
    mesh.send_to_endpoint(task.name, outgoing.endpoint, outgoing.message)


@deliver_one.register
def _(outgoing: LogDecision, mesh: Mesh, task: Task) -> None:
    mesh.post('log', outgoing)


@deliver_one.register
def _(outgoing: Reply, mesh: Mesh, task: Task) -> None:
    task.answer(outgoing)
