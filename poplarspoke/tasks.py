"""Tasks that own their state and communicate by messages.

A task receives messages from its bounded inbox and passes each one to its
decision function, which updates the state and returns the messages to deliver.
"""

import functools
from collections.abc import Callable
from typing import Any, NamedTuple, Self, TypeAlias

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from poplarspoke import errors, invariants
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.relay import LogDecision

INBOX_SIZE = 1024


class ToHost(NamedTuple):
    """Outgoing message for a peer daemon; delivery is not guaranteed."""

    host: str
    message: Any


class ToStore(NamedTuple):
    """Outgoing request to the platform; the answer arrives as a message."""

    message: Any


class ToTask(NamedTuple):
    """Outgoing message for another task of the same daemon."""

    task: str
    message: Any


class ToEndpoint(NamedTuple):
    """Outgoing call to a database member; the answer arrives as a message."""

    endpoint: str
    message: Any


class Reply(NamedTuple):
    """Reply of a task to the request with this id."""

    request_id: str
    message: Any


Outgoing: TypeAlias = ToHost | ToStore | ToTask | ToEndpoint | Reply
Delivered: TypeAlias = Outgoing | LogDecision
Decide: TypeAlias = Callable[[Any, Any, float], list[Outgoing]]
Post: TypeAlias = Callable[[Any], bool]
SendToHost: TypeAlias = Callable[[str, Any], None]
SendToStore: TypeAlias = Callable[[str, Any], None]
SendToEndpoint: TypeAlias = Callable[[str, str, Any], None]


class Envelope(NamedTuple):
    """Message in an inbox.

    Attributes:
        message: The message.
        reply_stream: Stream for the reply to the request id, None if the
            sender expects no reply.
    """

    message: Any
    reply_stream: MemoryObjectSendStream[Any] | None = None


class Task:
    """A task with its inbox; a context manager that owns the inbox.

    Attributes:
        name: Address of the task inside its daemon.
        state: State of the decision module; only this task changes it.
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
            state: Initial state; this task becomes its only owner.
            tick_s: Interval between ticks in seconds.
        """
        self.name = name
        self.state = state
        self._decide = decide
        self._tick_s = tick_s
        self._stopped = False
        self._reply_streams: dict[str, MemoryObjectSendStream[Any]] = {}
        ends = anyio.create_memory_object_stream[Envelope](INBOX_SIZE)
        self._inbox_sender = ends[0]
        self._inbox_receiver = ends[1]

    def __enter__(self) -> Self:
        """Returns the task."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """Closes both ends of the inbox."""
        self._inbox_sender.close()
        self._inbox_receiver.close()

    def post(self, message: Any) -> bool:
        """Puts a message into the inbox without waiting.

        Returns:
            False if the inbox is full and the message was dropped.
        """
        try:
            self._inbox_sender.send_nowait(Envelope(message))
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
                await self._inbox_sender.send(Envelope(message, sender))
                return await receiver.receive()
        raise errors.RefusedError(
            errors.refuse(
                ErrorCode.DEADLINE_EXCEEDED,
                f'task {self.name} did not answer in {timeout_s:.1f} s',
            ),
        )

    async def run(
        self,
        deliver: Callable[[Delivered, 'Task'], None],
        now_s: Callable[[], float],
    ) -> None:
        """Handles messages until it is cancelled.

        Args:
            deliver: Delivers a message that the decision function returned.
            now_s: Monotonic clock in seconds.
        """
        while not self._stopped:
            self._handle(Envelope(Tick()), deliver, now_s)
            # One cancel scope per tick: a scope with a timer per message
            # would cost more than most decisions.
            with anyio.move_on_after(self._tick_s):
                await self._receive_messages(deliver, now_s)

    def stop(self) -> None:
        """Stops the task after its next message or tick."""
        self._stopped = True

    def send_reply(self, reply: Reply) -> None:
        """Sends a reply to the requester; drops it if nobody waits for it."""
        stream = self._reply_streams.pop(reply.request_id, None)
        if stream is None:
            return
        try:
            stream.send_nowait(reply.message)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    async def _receive_messages(
        self,
        deliver: Callable[[Delivered, 'Task'], None],
        now_s: Callable[[], float],
    ) -> None:
        """Handles messages until the task is stopped or cancelled.

        Only ``receive`` is a cancellation point, so handling a message is
        never interrupted.
        """
        while not self._stopped:
            self._handle(await self._inbox_receiver.receive(), deliver, now_s)

    def _handle(
        self,
        envelope: Envelope,
        deliver: Callable[[Delivered, 'Task'], None],
        now_s: Callable[[], float],
    ) -> None:
        """Handles a message; one that fails is dropped and logged.

        A message that no decision expects must not end the whole process. A
        broken invariant does: the state can no longer be trusted, and a new
        process starts from what the platform keeps.
        """
        self._register_reply_stream(envelope)
        message = envelope.message
        try:
            for outgoing in self._decide(message, self.state, now_s()):
                deliver(outgoing, self)
        except invariants.InvariantError:
            raise
        except Exception as exc:
            deliver(log_dropped(message, exc), self)

    def _register_reply_stream(self, envelope: Envelope) -> None:
        if envelope.reply_stream is not None:
            self._reply_streams[envelope.message.request_id] = (
                envelope.reply_stream
            )


def log_dropped(message: Any, exc: Exception) -> LogDecision:
    """Returns the log line of a message whose handling failed."""
    return LogDecision(
        event='message dropped',
        outcome=type(message).__name__,
        reason=errors.describe_unexpected(exc),
    )


def reject_endpoint_call(task: str, endpoint: str, message: Any) -> None:
    """Rejects a call when the message bus cannot reach endpoints.

    Raises:
        TypeError: Always.
    """
    raise TypeError(
        f'task {task} called endpoint {endpoint}; '
        'create its message bus with send_to_endpoint',
    )


class MessageBus:
    """Delivers messages between the tasks of one daemon and out of it.

    Attributes:
        tasks: Running decision tasks by name.
        send_to_host: Sends a message to a peer daemon.
        send_to_store: Sends a request of a task to the platform.
        send_to_endpoint: Sends a call of a task to a database member.
    """

    def __init__(
        self,
        *,
        send_to_host: SendToHost,
        send_to_store: SendToStore,
        now_s: Callable[[], float],
        send_to_endpoint: SendToEndpoint = reject_endpoint_call,
    ) -> None:
        """Stores the functions that send to peers, platform and endpoints."""
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
        """Registers an inbox; those of decision tasks are set by ``start``."""
        self._inboxes[name] = post

    def post(self, name: str, message: Any) -> bool:
        """Posts a message to an inbox; False if it is missing or full."""
        post = self._inboxes.get(name)
        return post is not None and post(message)

    def stop(self, name: str) -> None:
        """Stops a task and removes its inbox."""
        self._inboxes.pop(name, None)
        task = self.tasks.pop(name, None)
        if task is not None:
            task.stop()

    def deliver(self, outgoing: Delivered, task: Task) -> None:
        """Delivers an outgoing message of a task."""
        deliver_message(outgoing, self, task)


@functools.singledispatch
def deliver_message(outgoing: Any, bus: MessageBus, task: Task) -> None:
    """Delivers one outgoing message by its type."""
    raise TypeError(f'{type(outgoing).__name__} cannot be delivered')


@deliver_message.register
def _(outgoing: ToHost, bus: MessageBus, task: Task) -> None:
    bus.send_to_host(outgoing.host, outgoing.message)


@deliver_message.register
def _(outgoing: ToStore, bus: MessageBus, task: Task) -> None:
    bus.send_to_store(task.name, outgoing.message)


@deliver_message.register
def _(outgoing: ToTask, bus: MessageBus, task: Task) -> None:
    bus.post(outgoing.task, outgoing.message)


@deliver_message.register
def _(outgoing: ToEndpoint, bus: MessageBus, task: Task) -> None:
    bus.send_to_endpoint(task.name, outgoing.endpoint, outgoing.message)


@deliver_message.register
def _(outgoing: LogDecision, bus: MessageBus, task: Task) -> None:
    bus.post('log', outgoing)


@deliver_message.register
def _(outgoing: Reply, bus: MessageBus, task: Task) -> None:
    task.send_reply(outgoing)
