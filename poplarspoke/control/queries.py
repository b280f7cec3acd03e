"""Queries of endpoints outside the sessions of callers."""

from collections.abc import Callable
from typing import Any, NamedTuple, Self

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from poplarspoke import delivery, errors
from poplarspoke.addresses import split_address
from poplarspoke.generated.control import EndpointState, QueryEndpoint
from poplarspoke.generated.relay import OpenConnection

# An endpoint whose two slots are busy answers within about 100 ms.
TIMEOUT_S = 0.4
MAX_LINE_BYTES = 4096
LINE_END = b'\r\n'
QUERY_ERRORS = (
    *errors.CONNECT_ERRORS,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
)


class QueryCodec(NamedTuple):
    """Functions that encode queries and decode the answers of endpoints."""

    encode_start: Callable[[OpenConnection], bytes]
    encode_query: Callable[[int], bytes]
    decode_state: Callable[[QueryEndpoint, str], EndpointState]
    create_reader: Callable[[int], Any]


class Queries:
    """Sends queries to endpoints; an async context manager."""

    def __init__(
        self,
        codec: QueryCodec,
        *,
        post: Callable[[Any], bool],
    ) -> None:
        """Creates a sender that has not started.

        Args:
            codec: Encoding of queries and answers.
            post: Passes a message to the control task.
        """
        self._codec = codec
        self._post = post
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Starts the task group of the queries."""
        self._group = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Cancels all queries."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def send(self, query: QueryEndpoint) -> None:
        """Starts a query; the state or the lack of an answer is posted."""
        self._group.start_soon(self._run, query)

    async def _run(self, query: QueryEndpoint) -> None:
        try:
            with anyio.fail_after(TIMEOUT_S):
                state = await self._exchange(query)
        except QUERY_ERRORS:
            # The control task decides about endpoints without an answer.
            state = EndpointState(
                query.service, query.endpoint, asked_s=query.asked_s
            )
        self._post(state)

    async def _exchange(self, query: QueryEndpoint) -> EndpointState:
        address = split_address(query.address)
        async with await anyio.connect_tcp(*address) as stream:
            # A late demotion could reach the primary of the next failover.
            delivery.discard_on_close(stream.extra(SocketAttribute.raw_socket))
            opening = OpenConnection(
                0, query.address, query.service, query.endpoint
            )
            await stream.send(self._codec.encode_start(opening))
            lines = BufferedByteReceiveStream(stream)
            await self._read(lines)
            await stream.send(self._codec.encode_query(query.demote_term))
            answer = await self._read(lines)
            await _close(stream)
        return self._codec.decode_state(query, ''.join(answer.rows))

    async def _read(self, lines: BufferedByteReceiveStream) -> Any:
        reader = self._codec.create_reader(0)
        while True:
            line = await lines.receive_until(LINE_END, MAX_LINE_BYTES)
            answer = reader.read_line(line.decode('latin-1'))
            if answer is not None:
                return answer


async def _close(stream: ByteStream) -> None:
    await anyio.aclose_forcefully(stream)
