"""HTTP/1.1 client and server over anyio streams, with ``h11`` as the codec.

One task owns each socket. Sizes and times are limited, since callers are
untrusted. A truncated response raises an error and is never returned.
"""

import contextlib
import functools
import http
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Self, TypeAlias, TypeVar

import anyio
import h11
from anyio.abc import ByteStream, SocketStream, TaskGroup

from poplarspoke import codec as message_codec
from poplarspoke import delivery, errors, listeners
from poplarspoke.addresses import split_address
from poplarspoke.generated.common import ErrorCode
from poplarspoke.relay.budgets import Port
from poplarspoke.relay.guards import Guard, RequestHolder

MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 262144
# The platform returns at most 1 MB of rows for a read of a table.
MAX_RESPONSE_BYTES = 2097152
RECEIVE_SIZE_BYTES = 65536
FIRST_ERROR_STATUS = 400
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
# A client that does not read a response within this time is closed.
RESPONSE_TIMEOUT_S = 30.0
# Buffer of the kernel for each accepted connection, which doubles the value. The
# stream reads as much as the kernel has before the server takes any of it.
RECEIVE_BUFFER_BYTES = 16384
CONNECT_TIMEOUT_S = 1.0
JSON_TYPE = 'application/json'
STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    TimeoutError,
)
EXCHANGE_ERRORS = (*STREAM_ERRORS, h11.ProtocolError)

# Stands for a connection that no budget covers.
UNLIMITED = RequestHolder(None, Port.HTTP_CONTROL)

Message = TypeVar('Message')


class Header(NamedTuple):
    """One header field; the name is in lower case."""

    name: str
    value: str


class Request(NamedTuple):
    """A complete HTTP request."""

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''

    def find_header(self, name: str) -> str:
        """Returns the value of a header, empty if it is absent."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ''


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes = b''
    headers: tuple[Header, ...] = ()
    content_type: str = JSON_TYPE

    def find_header(self, name: str) -> str:
        """Returns the value of a header, empty if it is absent."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ''


Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


class NotSentError(errors.PoplarspokeError):
    """The connection failed; the request was not sent and did not run."""

    code = ErrorCode.NO_ENDPOINT


class AnswerLostError(errors.PoplarspokeError):
    """No complete response was received; the request may have run."""

    code = ErrorCode.OUTCOME_UNKNOWN


class AnswerTimeoutError(AnswerLostError):
    """The connection stayed open without a response until the time limit."""


class HttpServer:
    """HTTP server on one listener; a context manager that owns its sockets.

    Attributes:
        port: TCP port of the listener.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        host: str,
        port: int,
        guard: Guard | None = None,
        kind: Port = Port.HTTP_CONTROL,
    ) -> None:
        """Stores the handler and the address; port 0 binds a free port.

        Args:
            handler: Answers a request.
            host: IP address to listen on.
            port: TCP port to listen on.
            guard: Budgets of what connections hold; None for no limits.
            kind: Port in these budgets.
        """
        self.port = port
        self._handler = handler
        self._host = host
        self._guard = guard
        self._kind = kind
        self._group: TaskGroup
        self._closing = False
        self._active_requests = 0

    async def __aenter__(self) -> Self:
        """Binds the listener and starts to accept connections."""
        self._listener = await anyio.create_tcp_listener(
            local_host=self._host,
            local_port=self.port,
        )
        address = self._listener.extra(anyio.abc.SocketAttribute.local_address)
        self.port = int(address[1])
        self._group = await anyio.create_task_group().__aenter__()
        if self._guard is not None:
            raw = self._listener.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        for listener in self._listener.listeners:
            self._group.start_soon(
                listeners.serve, listener, self._serve, self._group
            )
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes the listener and every connection."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)
        await self._listener.aclose()

    def begin_shutdown(self) -> None:
        """Closes each connection after its current response."""
        self._closing = True

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active_requests

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            with (
                contextlib.suppress(*STREAM_ERRORS),
                anyio.CancelScope() as scope,
            ):
                address = stream.extra(
                    anyio.abc.SocketAttribute.remote_address, ('',)
                )
                with RequestHolder(
                    self._guard, self._kind, str(address[0]), scope.cancel
                ) as holder:
                    await self._serve_requests(stream, holder)

    async def _serve_requests(
        self, stream: ByteStream, holder: RequestHolder = UNLIMITED
    ) -> None:
        codec = _create_codec(h11.SERVER)
        while True:
            try:
                request = await _read_request(codec, stream, holder.charge)
            except h11.RemoteProtocolError as exc:
                await _send_input_error(codec, stream, exc)
                return
            if request is None:
                return
            self._active_requests += 1
            try:
                await self._answer(codec, stream, request, holder)
            finally:
                self._active_requests -= 1
            if codec.our_state is not h11.DONE or self._closing:
                return
            codec.start_next_cycle()

    async def _answer(
        self,
        codec: h11.Connection,
        stream: ByteStream,
        request: Request,
        holder: RequestHolder,
    ) -> None:
        holder.begin()
        response = await self._respond(request)
        holder.charge(len(response.body))
        await _send_response(codec, stream, response, close=self._closing)
        holder.finish()

    async def _respond(self, request: Request) -> Response:
        """Returns the handler's response, or 500 if the handler fails.

        An error that left the server would end all its connections.
        """
        try:
            return await self._handler(request)
        except STREAM_ERRORS:
            # The server closes the connection without a response.
            raise
        except Exception as exc:
            reason = errors.describe_unexpected(exc)
        refusal = errors.refuse(ErrorCode.INTERNAL, reason)
        return Response(
            http.HTTPStatus.INTERNAL_SERVER_ERROR,
            write_json({'error': refusal}),
        )


class HttpConnection:
    """One client connection; an async context manager that owns its socket.

    Handles one request at a time. After an error it must not be used again.
    """

    def __init__(self, stream: ByteStream, address: str) -> None:
        """Wraps an open stream; use ``connect`` to open one."""
        self._stream = stream
        self._address = address
        self._codec = _create_codec(h11.CLIENT)
        self._extend: Callable[[], None] | None = None

    async def __aenter__(self) -> Self:
        """Returns the connection."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Resets the connection, which withdraws an unanswered request."""
        await anyio.aclose_forcefully(self._stream)

    def limit_delivery(self, limit_s: float) -> None:
        """Withdraws requests that do not reach the server within a time.

        The kernel keeps to the limit, also while this process is frozen.

        Args:
            limit_s: Time in seconds.

        Raises:
            NotSentError: The connection has already ended.
        """
        try:
            delivery.limit_delivery(_find_socket(self._stream), limit_s)
        except OSError as exc:
            raise NotSentError(f'{self._address} has disconnected') from exc

    async def send(
        self,
        request: Request,
        *,
        timeout_s: float,
        max_s: float = 0,
    ) -> Response:
        """Sends a request and returns the complete response.

        Args:
            request: The request; host, type and length headers are added.
            timeout_s: Time limit in seconds for the complete response.
            max_s: If it is given, the time limit for the complete response in
                seconds; ``timeout_s`` then starts again with each part that
                arrives, since a long response may take longer on a slow link.

        Raises:
            AnswerTimeoutError: The time limit passed; the request may have run.
            AnswerLostError: The connection failed or the response was invalid;
                the request may have run.
        """
        try:
            with (
                anyio.fail_after(max(max_s, timeout_s)),
                anyio.fail_after(timeout_s) as scope,
            ):
                if max_s:
                    self._extend = functools.partial(_extend, scope, timeout_s)
                return await self._send(request)
        except TimeoutError as exc:
            raise AnswerTimeoutError(
                f'no answer from {self._address} in time',
            ) from exc
        except EXCHANGE_ERRORS as exc:
            raise AnswerLostError(
                f'no whole answer from {self._address}: {type(exc).__name__}',
            ) from exc

    async def _send(self, request: Request) -> Response:
        headers = [
            ('host', self._address),
            ('content-type', JSON_TYPE),
            ('content-length', str(len(request.body))),
            *request.headers,
        ]
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=headers,
        )
        payload = [
            self._codec.send(head) or b'',
            self._codec.send(h11.Data(data=request.body)) or b'',
            self._codec.send(h11.EndOfMessage()) or b'',
        ]
        await self._stream.send(b''.join(payload))
        response = await self._read_response()
        self._codec.start_next_cycle()
        return response

    async def _read_response(self) -> Response:
        head = await _next_event(self._codec, self._stream, self._extend)
        if not isinstance(head, h11.Response):
            raise h11.RemoteProtocolError('expected a response')
        body = await _read_body(
            self._codec, self._stream, MAX_RESPONSE_BYTES, self._extend
        )
        return Response(head.status_code, body, _read_headers(head))


async def connect(address: str) -> HttpConnection:
    """Opens a connection to ``IP:port``.

    Raises:
        NotSentError: The connection was refused or not established within
            ``CONNECT_TIMEOUT_S``.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(*split_address(address))
            delivery.discard_on_close(_find_socket(stream))
    except errors.CONNECT_ERRORS as exc:
        raise NotSentError(f'{address} refused the connection') from exc
    return HttpConnection(stream, address)


def write_json(content: Any) -> bytes:
    """Returns the JSON bytes of a message or of plain data."""
    return json.dumps(message_codec.to_object(content)).encode()


def read_json(message_type: type[Message], body: bytes) -> Message:
    """Returns the message that a JSON body holds.

    Raises:
        codec.FormatError: The body is not a JSON object of this type.
    """
    try:
        source = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise message_codec.FormatError('the body is no valid JSON') from exc
    return message_codec.parse(message_type, source)


def _find_socket(stream: ByteStream) -> delivery.SocketOptions:
    return stream.extra(anyio.abc.SocketAttribute.raw_socket)


def _create_codec(role: type[h11.SERVER | h11.CLIENT]) -> h11.Connection:
    return h11.Connection(role, max_incomplete_event_size=MAX_HEADER_BYTES)


def _extend(scope: anyio.CancelScope, timeout_s: float) -> None:
    scope.deadline = anyio.current_time() + timeout_s


async def _next_event(
    codec: h11.Connection,
    stream: ByteStream,
    extend: Callable[[], None] | None = None,
) -> h11.Event:
    while True:
        event = codec.next_event()
        if event is h11.PAUSED:
            raise h11.RemoteProtocolError('pipelined input is not supported')
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        try:
            codec.receive_data(await stream.receive(RECEIVE_SIZE_BYTES))
        except anyio.EndOfStream:
            codec.receive_data(b'')
        if extend is not None:
            extend()


async def _read_request(
    codec: h11.Connection,
    stream: ByteStream,
    charge: Callable[[int], None],
) -> Request | None:
    """Returns the next request, or None at the end of the connection.

    Args:
        codec: Codec of the connection.
        stream: The connection.
        charge: Called with the size of the body as it grows.
    """
    with anyio.fail_after(IDLE_TIMEOUT_S):
        head = await _next_event(codec, stream)
    if not isinstance(head, h11.Request):
        return None
    with anyio.fail_after(HEADER_TIMEOUT_S):
        body = await _read_body(codec, stream, charge=charge)
    return Request(
        head.method.decode('ascii'),
        head.target.decode('ascii'),
        _read_headers(head),
        body,
    )


async def _read_body(
    codec: h11.Connection,
    stream: ByteStream,
    max_bytes: int = MAX_BODY_BYTES,
    extend: Callable[[], None] | None = None,
    charge: Callable[[int], None] | None = None,
) -> bytes:
    # Many small parts would take far more memory than their bytes.
    body = bytearray()
    while True:
        event = await _next_event(codec, stream, extend)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError('the body is truncated')
        if len(body) + len(event.data) > max_bytes:
            raise h11.RemoteProtocolError(
                f'the body is over {max_bytes} bytes',
                error_status_hint=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        body += event.data
        if charge is not None:
            charge(len(body))


def _read_headers(head: h11.Request | h11.Response) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode('ascii'), text.decode('latin-1'))
        for name, text in head.headers
    )


async def _send_response(
    codec: h11.Connection,
    stream: ByteStream,
    response: Response,
    *,
    close: bool,
) -> None:
    headers = [
        ('content-type', response.content_type),
        ('content-length', str(len(response.body))),
        *response.headers,
    ]
    if close:
        headers.append(('connection', 'close'))
    head = h11.Response(status_code=response.status, headers=headers)
    payload = [
        codec.send(head) or b'',
        codec.send(h11.Data(data=response.body)) or b'',
        codec.send(h11.EndOfMessage()) or b'',
    ]
    with anyio.fail_after(RESPONSE_TIMEOUT_S):
        await stream.send(b''.join(payload))


async def _send_input_error(
    codec: h11.Connection,
    stream: ByteStream,
    exc: h11.RemoteProtocolError,
) -> None:
    if codec.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    status = http.HTTPStatus(exc.error_status_hint)
    code = ErrorCode.BAD_REQUEST
    if status is not http.HTTPStatus.BAD_REQUEST:
        code = ErrorCode.TOO_LARGE
    refusal = errors.refuse(code, 'the HTTP request cannot be read')
    response = Response(status, write_json({'error': refusal}))
    await _send_response(codec, stream, response, close=True)
