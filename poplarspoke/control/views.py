"""Views of the metadata store that hosts request from each other.

A host that the store does not answer requests the view of a peer. The rows
count as confirmed at the time the request was sent, less the age that the peer
states.
"""

import http
import zlib
from collections.abc import Callable
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup

from poplarspoke import codec as message_codec
from poplarspoke import errors, web
from poplarspoke.generated.control import (
    PeerView,
    ShowView,
    TableRows,
    ViewAnswered,
    ViewNeeded,
)

# Versions in views include the era of the store since this path.
VIEW_PATH = '/tables'
# A view of a large configuration has a few hundred KB. A watcher sends it to all
# hosts of its zone, over a link of 20 Mbit/s on the smallest machines.
TIMEOUT_S = 2.0
ENCODING = 'deflate'
# The fastest level: a configuration already shrinks to a tenth.
COMPRESSION_LEVEL = 1
# The store keeps at most 1 MB in an answer; JSON escapes double some of it.
MAX_VIEW_BYTES = 8 * 1024 * 1024


class Views:
    """Fetches views from peers; an async context manager."""

    def __init__(
        self,
        *,
        post: Callable[[Any], bool],
        now_s: Callable[[], float],
    ) -> None:
        """Creates a fetcher that has not started.

        Args:
            post: Passes a message to the control task.
            now_s: Boot clock in seconds.
        """
        self._post = post
        self._now_s = now_s
        self._group: TaskGroup
        self._asked: set[str] = set()

    async def __aenter__(self) -> Self:
        """Starts the task group of the requests."""
        self._group = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Cancels all requests."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def fetch(self, message: ViewNeeded) -> None:
        """Requests the view of each named peer, unless it has been asked.

        A second answer of the same rows would slow down the first.
        """
        for address in message.addresses:
            if address in self._asked:
                continue
            self._asked.add(address)
            self._group.start_soon(self._ask, address, message.request)

    async def _ask(self, address: str, request: ShowView) -> None:
        try:
            await self._fetch(address, request)
        finally:
            self._asked.discard(address)

    async def _fetch(self, address: str, request: ShowView) -> None:
        asked_s = self._now_s()
        try:
            view = await _request_view(address, request)
        except (errors.PoplarspokeError, message_codec.FormatError) as exc:
            self._post(ViewAnswered(address, str(exc)))
            return
        for table in view.tables:
            rows = TableRows(
                table=table.table,
                rows=table.rows,
                version=table.version,
                asked_s=asked_s - table.age_s,
                relayed=True,
            )
            self._post(rows)
        self._post(ViewAnswered(address))


def encode_view(request: web.Request, view: PeerView) -> web.Response:
    """Returns the response with a view, compressed if the peer accepts it."""
    body = web.write_json(view)
    if request.find_header('accept-encoding') != ENCODING:
        return web.Response(http.HTTPStatus.OK, body)
    return web.Response(
        http.HTTPStatus.OK,
        zlib.compress(body, COMPRESSION_LEVEL),
        (web.Header('content-encoding', ENCODING),),
    )


def decode_view(response: web.Response) -> PeerView:
    """Returns the view that a response holds.

    Raises:
        codec.FormatError: The response holds no view, or one that is too long.
    """
    body = response.body
    if response.find_header('content-encoding') == ENCODING:
        body = _decompress(body)
    return web.read_json(PeerView, body)


def _decompress(body: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        decompressed = stream.decompress(body, MAX_VIEW_BYTES)
    except zlib.error as exc:
        raise message_codec.FormatError('the view is damaged') from exc
    if not stream.eof:
        raise message_codec.FormatError('the view is truncated or too long')
    return decompressed


async def _request_view(address: str, request: ShowView) -> PeerView:
    asked = web.Request(
        'POST',
        VIEW_PATH,
        (web.Header('accept-encoding', ENCODING),),
        web.write_json(request),
    )
    async with await web.connect(address) as connection:
        response = await connection.send(asked, timeout_s=TIMEOUT_S)
    return decode_view(response)
