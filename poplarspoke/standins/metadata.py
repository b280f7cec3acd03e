"""Stand-in of the users' metadata store and of its promotion calls.

It holds rows in memory, commits transactions whose expected row versions match,
and answers feed requests as soon as a row has changed.
"""

import base64
import contextvars
import itertools
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

# Each connection is served by its own task and so has its own context.
_connection: contextvars.ContextVar[int] = contextvars.ContextVar(
    'connection',
    default=0,
)


class Promotion(NamedTuple):
    """A promotion that was ordered.

    Attributes:
        service: Service of the member.
        member: Member to promote.
        token: Fencing token of the order.
    """

    service: str
    member: str
    token: int


class MetadataStandIn:
    """Metadata store on loopback, as an async context manager.

    Attributes:
        down: Whether calls are refused.
        calls: Number of calls received.
        promotions: Promotions in the order of arrival.
        address: ``IP:port`` of the listener.
    """

    def __init__(self, promote: Callable[[str], None]) -> None:
        """Creates an empty store.

        Args:
            promote: Called with the name of each member to promote.
        """
        self.down = False
        self.calls = 0
        self.promotions: list[Promotion] = []
        self._promote = promote
        self._version = 0
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changed = anyio.Event()
        self._numbers = itertools.count(1)
        # Table that each connection has called for last, by its number.
        self._tables: dict[int, str] = {}
        self._silent: set[int] = set()
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
        """Writes a row on behalf of the platform, without conditions."""
        self._version += 1
        text = json.dumps(content).encode()
        self._store_row(table, key, base64.b64encode(text).decode())
        self._notify()

    def silence(self, table: str = '') -> None:
        """Stops answering on connections that are open now.

        Args:
            table: Only connections that have called for this table last, or
                all if it is empty.
        """
        self._silent.update(
            number
            for number, called in self._tables.items()
            if table in {'', called}
        )

    async def _serve(self, request: web.Request) -> web.Response:
        response = await self._answer(request)
        if _connection.get() in self._silent:
            await anyio.sleep_forever()
        return response

    async def _answer(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.down:
            return web.Response(HTTP_DOWN)
        url = urlsplit(request.path)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        number = _connection.get() or next(self._numbers)
        _connection.set(number)
        self._tables[number] = query.get('table', '')
        if url.path == '/rows-get':
            return self._build_answer(self._list_rows(query['table'], 0))
        if url.path == '/rows-feed':
            return await self._watch(query)
        body = json.loads(request.body)
        if url.path == '/promote':
            token = int(request.find_header('x-fencing-token'))
            order = Promotion(body['service'], body['id'], token)
            self.promotions.append(order)
            self._promote(order.member)
            return web.Response(HTTP_OK)
        return self._commit(body)

    async def _watch(self, query: dict[str, str]) -> web.Response:
        after = int(query['after'])
        with anyio.move_on_after(int(query['waitMs']) / MS_PER_S):
            while not self._list_rows(query['table'], after):
                await self._changed.wait()
        return self._build_answer(self._list_rows(query['table'], after))

    def _commit(self, body: dict[str, Any]) -> web.Response:
        current: list[dict[str, Any]] = []
        for expected in body['expectedRev']:
            row_key = (expected['table'], expected['key'])
            absent = {'table': row_key[0], 'key': row_key[1], 'ver': 0}
            current.append(self._rows.get(row_key, absent))
        versions = [row['ver'] for row in current]
        if versions != [entry['ver'] for entry in body['expectedRev']]:
            conflict = web.write_json({'rows': current})
            return web.Response(HTTP_CONDITION_FAILED, conflict)
        self._version += 1
        for row in body['setKeys']:
            self._store_row(row['table'], row['key'], row['value'])
        self._notify()
        return web.Response(HTTP_OK, web.write_json({'ver': self._version}))

    def _store_row(self, table: str, key: str, content: str) -> None:
        self._rows[table, key] = {
            'table': table,
            'key': key,
            'value': content,
            'ver': self._version,
        }

    def _list_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            row
            for row in self._rows.values()
            if row['table'] == table and row['ver'] > after
        ]
        return sorted(rows, key=lambda row: str(row['key']))

    def _build_answer(self, rows: list[dict[str, Any]]) -> web.Response:
        answer = {'rows': rows, 'hasMore': False, 'ver': self._version}
        return web.Response(HTTP_OK, web.write_json(answer))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
