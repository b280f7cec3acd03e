"""Connections to endpoints; each task owns its sockets.

Endpoints use HTTP/1.1 with JSON, with one statement at a time on a connection.
To support another protocol, only this module must change.
"""

import functools
import http
import json
from collections.abc import Callable
from typing import Any, NamedTuple, Self, TypeAlias

import anyio

from poplarspoke import codec, errors, web
from poplarspoke.generated.common import Refusal
from poplarspoke.generated.failover import CallEndpoint, EndpointAnswered
from poplarspoke.generated.members import (
    Adopt,
    Adopted,
    BeginTransaction,
    CommitTransaction,
    Confirm,
    Confirmed,
    Execute,
    FetchStatus,
    Follow,
    MemberAnswer,
    MemberStatus,
    Promote,
    RollbackTransaction,
)

QUEUE_SIZE = 128


class MemberPath(NamedTuple):
    """HTTP method, path and answer type of a message to an endpoint."""

    method: str
    path: str
    answer_type: type[Any]


MEMBER_PATHS: dict[type[Any], MemberPath] = {
    Execute: MemberPath('POST', '/execute', MemberAnswer),
    BeginTransaction: MemberPath('POST', '/begin', MemberAnswer),
    CommitTransaction: MemberPath('POST', '/commit', MemberAnswer),
    RollbackTransaction: MemberPath('POST', '/rollback', MemberAnswer),
    Confirm: MemberPath('POST', '/confirm', Confirmed),
    FetchStatus: MemberPath('GET', '/status', MemberStatus),
    Adopt: MemberPath('POST', '/adopt', Adopted),
    Promote: MemberPath('POST', '/promote', MemberStatus),
    Follow: MemberPath('POST', '/follow', MemberStatus),
}


@functools.singledispatch
def encode_body(message: Any) -> bytes:
    """Returns the JSON body of a message."""
    return web.write_json(message)


@encode_body.register
def _(message: FetchStatus) -> bytes:
    return b''


@encode_body.register
def _(
    message: BeginTransaction | CommitTransaction | RollbackTransaction,
) -> bytes:
    return web.write_json(message.control)


class EndpointConnection:
    """One connection to an endpoint; an async context manager.

    It must be closed after an error, since its state is then unknown.
    """

    def __init__(self, connection: web.HttpConnection) -> None:
        """Wraps an open connection; use ``connect`` to open one."""
        self._connection = connection

    async def __aenter__(self) -> Self:
        """Returns the connection."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the socket; the endpoint ends an open transaction."""
        await self._connection.__aexit__(None, None, None)

    async def call(self, message: Any, *, timeout_s: float) -> Any:
        """Sends a message and returns its answer.

        Raises:
            errors.RefusedError: The endpoint refused the message.
            web.AnswerLostError: No complete, valid answer was received within
                the timeout; the message may have been executed.
        """
        path = MEMBER_PATHS[type(message)]
        request = web.Request(path.method, path.path, body=encode_body(message))
        response = await self._connection.send(request, timeout_s=timeout_s)
        try:
            if response.status == http.HTTPStatus.OK:
                return web.read_json(path.answer_type, response.body)
            refusal = codec.parse(Refusal, json.loads(response.body)['error'])
        except (ValueError, KeyError, TypeError) as exc:
            raise web.AnswerLostError('the answer is malformed') from exc
        raise errors.RefusedError(refusal)


async def connect(address: str) -> EndpointConnection:
    """Opens a connection to an endpoint at ``IP:port``.

    Raises:
        web.NotSentError: The endpoint did not accept it.
    """
    return EndpointConnection(await web.connect(address))


OnAnswer: TypeAlias = Callable[[EndpointAnswered], None]


class ControlLink:
    """Sends the calls of one task to one endpoint, in order.

    An async context manager that owns its connection.
    """

    def __init__(
        self,
        endpoint: str,
        address: str,
        on_answer: OnAnswer,
    ) -> None:
        """Stores the endpoint, its ``IP:port`` and the answer callback."""
        self._endpoint = endpoint
        self._address = address
        self._on_answer = on_answer
        self._connection: EndpointConnection | None = None
        ends = anyio.create_memory_object_stream[CallEndpoint](QUEUE_SIZE)
        self._inbox = ends[0]
        self._outbox = ends[1]

    async def __aenter__(self) -> Self:
        """Returns the link."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the queue and the connection."""
        self._inbox.close()
        self._outbox.close()
        await self._close()

    def post(self, call: CallEndpoint) -> None:
        """Queues a call, which is answered as lost if the queue is full."""
        try:
            self._inbox.send_nowait(call)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            self._on_answer(self._build_lost_answer(call))

    async def run(self) -> None:
        """Sends calls until the link is stopped or cancelled."""
        async for call in self._outbox:
            self._on_answer(await self._handle_call(call))
        await self._close()

    def stop(self) -> None:
        """Ends the link after the queued calls."""
        self._inbox.close()

    async def _handle_call(self, call: CallEndpoint) -> EndpointAnswered:
        if call.new_connection:
            await self._close()
        try:
            answer = await self._call(call)
        except errors.PoplarspokeError:
            await self._close()
            return self._build_lost_answer(call)
        return EndpointAnswered(
            call_id=call.call_id,
            endpoint=self._endpoint,
            body=answer,
        )

    async def _call(self, call: CallEndpoint) -> Any:
        if self._connection is None:
            self._connection = await connect(self._address)
        return await self._connection.call(
            call.body,
            timeout_s=call.timeout_s,
        )

    def _build_lost_answer(self, call: CallEndpoint) -> EndpointAnswered:
        return EndpointAnswered(call.call_id, self._endpoint, lost=True)

    async def _close(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.__aexit__(None, None, None)
