"""Views of the metadata store that hosts request from each other.

A host that the store does not answer requests the view of a peer. The rows
count as confirmed at the time the request was sent, less the age that the peer
states.
"""

from collections.abc import Callable
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup

from poplarspoke import codec as message_codec
from poplarspoke import errors, web
from poplarspoke.generated.control import (
    PeerView,
    ShowView,
    TableReadFailed,
    TableRows,
    ViewNeeded,
)

VIEW_PATH = '/view'
# A view has at most a few hundred KB; a request to an unresponsive peer times
# out.
TIMEOUT_S = 0.8


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

    async def __aenter__(self) -> Self:
        """Starts the task group of the requests."""
        self._group = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Cancels all requests."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def fetch(self, message: ViewNeeded) -> None:
        """Requests the view of each named peer."""
        for address in message.addresses:
            self._group.start_soon(self._fetch, address, message.request)

    async def _fetch(self, address: str, request: ShowView) -> None:
        asked_s = self._now_s()
        try:
            view = await _request_view(address, request)
        except (errors.PoplarspokeError, message_codec.FormatError) as exc:
            self._post(TableReadFailed('records', f'no view of a peer: {exc}'))
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


async def _request_view(address: str, request: ShowView) -> PeerView:
    body = web.write_json(request)
    async with await web.connect(address) as connection:
        response = await connection.send(
            web.Request('POST', VIEW_PATH, body=body),
            timeout_s=TIMEOUT_S,
        )
    return web.read_json(PeerView, response.body)
