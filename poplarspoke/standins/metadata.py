"""Stand-in of the users' metadata store and of its duty calls.

It keeps rows in memory, applies transactions under conditions and answers
watches as soon as a row has changed.
"""

import base64
import json
from collections.abc import Callable
from typing import Any, NamedTuple, Self
from urllib.parse import parse_qs, urlsplit

import anyio

from poplarspoke import web

MS_PER_S = 1000
HTTP_OK = 200
HTTP_CONDITION_FAILED = 412
HTTP_DOWN = 503


class Promotion(NamedTuple):
    """One order that was received."""

    service: str
    member: str
    token: int


class MetadataStandIn:
    """Metadata store on loopback; an async context manager.

    Attributes:
        down: Whether calls are refused.
        calls: Number of calls that were received.
        promotions: Orders in their order.
        address: ``IP:port`` of the listener.
    """

    def __init__(self, promote: Callable[[str], None]) -> None:
        """Starts empty.

        Args:
            promote: Called with the member that an order names.
        """
        self.down = False
        self.calls = 0
        self.promotions: list[Promotion] = []
        self._promote = promote
        self._version = 0
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changed = anyio.Event()
        self._server = web.HttpServer(self._serve, host='127.0.0.1', port=0)

    async def __aenter__(self) -> Self:
        """Binds the listener."""
        await self._server.__aenter__()
        self.address = f'127.0.0.1:{self._server.port}'
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes the listener."""
        await self._server.__aexit__(*exc)

    def put(self, table: str, key: str, content: Any) -> None:
        """Writes a row as another writer of the platform."""
        self._version += 1
        text = json.dumps(content).encode()
        self._set(table, key, base64.b64encode(text).decode())
        self._notify()

    async def _serve(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.down:
            return web.Response(HTTP_DOWN)
        url = urlsplit(request.path)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == '/rows-get':
            return self._answer(self._list(query['table'], 0))
        if url.path == '/rows-feed':
            return await self._watch(query)
        body = json.loads(request.body)
        if url.path == '/promote':
            token = int(request.find_header('x-fencing-token'))
            order = Promotion(body['service'], body['id'], token)
            self.promotions.append(order)
            self._promote(order.member)
            return web.Response(HTTP_OK)
        return self._write(body)

    async def _watch(self, query: dict[str, str]) -> web.Response:
        after = int(query['after'])
        with anyio.move_on_after(int(query['waitMs']) / MS_PER_S):
            while not self._list(query['table'], after):
                await self._changed.wait()
        return self._answer(self._list(query['table'], after))

    def _write(self, body: dict[str, Any]) -> web.Response:
        current: list[dict[str, Any]] = []
        for wanted in body['expectedRev']:
            place = (wanted['table'], wanted['key'])
            absent = {'table': place[0], 'key': place[1], 'ver': 0}
            current.append(self._rows.get(place, absent))
        versions = [row['ver'] for row in current]
        if versions != [entry['ver'] for entry in body['expectedRev']]:
            conflict = web.write_json({'rows': current})
            return web.Response(HTTP_CONDITION_FAILED, conflict)
        self._version += 1
        for row in body['setKeys']:
            self._set(row['table'], row['key'], row['value'])
        self._notify()
        return web.Response(HTTP_OK, web.write_json({'ver': self._version}))

    def _set(self, table: str, key: str, content: str) -> None:
        self._rows[table, key] = {
            'table': table,
            'key': key,
            'value': content,
            'ver': self._version,
        }

    def _list(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            row
            for row in self._rows.values()
            if row['table'] == table and row['ver'] > after
        ]
        return sorted(rows, key=lambda row: str(row['key']))

    def _answer(self, rows: list[dict[str, Any]]) -> web.Response:
        answer = {'rows': rows, 'hasMore': False, 'ver': self._version}
        return web.Response(HTTP_OK, web.write_json(answer))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
