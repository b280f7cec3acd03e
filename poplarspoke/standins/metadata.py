"""Stand-in of the users' metadata store and of its promotion calls.

It holds rows in memory, commits transactions whose expected row versions match,
and answers feed requests as soon as a row has changed. It can be restored from a
copy: versions go back and are given out again, and the era rises.
"""

import base64
import contextvars
import itertools
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Self
from urllib.parse import parse_qs, urlsplit

import anyio

from poplarspoke import web
from poplarspoke.standins.usage import Call, UsageLedger

MS_PER_S = 1000
HTTP_OK = 200
HTTP_CONDITION_FAILED = 412
HTTP_GONE = 410
HTTP_DOWN = 503
ERA_HEADER = 'store-era'
# Rule of the users' platform for holders, and its limit on calls.
HOLDER_INTERVAL_S = 3.0
CALLS_PER_S = 50

# Each connection is served by its own task and so has its own context.
_connection: contextvars.ContextVar[int] = contextvars.ContextVar(
    'connection',
    default=0,
)


class Copy(NamedTuple):
    """Content of the store at one moment.

    Attributes:
        version: Newest version.
        rows: Rows by table and key; deleted ones are marked.
    """

    version: int
    rows: dict[tuple[str, str], dict[str, Any]]


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
        era: Rises by one with each restore.
        promotions: Promotions in the order of arrival.
        usage: Usage reports.
        usage_status: Status that all usage reports get, 0 for the usual one.
        address: ``IP:port`` of the listener.
    """

    def __init__(self, promote: Callable[[str], None]) -> None:
        """Creates an empty store.

        Args:
            promote: Called with the name of each member to promote.
        """
        self.down = False
        self.calls = 0
        self.era = 1
        self.promotions: list[Promotion] = []
        self.usage = UsageLedger(HOLDER_INTERVAL_S, CALLS_PER_S)
        self.usage_status = 0
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
        self.put_text(table, key, json.dumps(content))

    def put_text(self, table: str, key: str, content: str) -> None:
        """Writes a row of any content on behalf of another writer."""
        self._version += 1
        encoded = base64.b64encode(content.encode()).decode()
        self._store_row(table, key, encoded)
        self._notify()

    def drop(self, table: str, key: str) -> None:
        """Removes a row on behalf of the platform."""
        self._version += 1
        self._rows[table, key] = {
            'table': table,
            'key': key,
            'ver': self._version,
            'tombstone': True,
        }
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

    def copy(self) -> Copy:
        """Returns the present content."""
        return Copy(self._version, dict(self._rows))

    def restore(self, content: Copy) -> None:
        """Loses all that was written after a copy, and cuts the watches."""
        self.era += 1
        self._version = content.version
        self._rows = dict(content.rows)
        self._notify()

    async def _serve(self, request: web.Request) -> web.Response:
        era = self.era
        response = await self._answer(request)
        if _connection.get() in self._silent:
            await anyio.sleep_forever()
        if era != self.era:
            raise anyio.EndOfStream
        headers = (web.Header(ERA_HEADER, str(era)),)
        return response._replace(headers=headers)

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
            rows = self._list_rows(query['table'], 0)
            return self._build_answer(
                [row for row in rows if 'tombstone' not in row]
            )
        if url.path == '/rows-feed':
            return await self._watch(query)
        body = json.loads(request.body)
        if url.path == '/promote':
            token = int(request.find_header('x-fencing-token'))
            order = Promotion(body['service'], body['id'], token)
            self.promotions.append(order)
            self._promote(order.member)
            return web.Response(HTTP_OK)
        if url.path == '/usage':
            return self._record_usage(request, body)
        return self._commit(body)

    def _record_usage(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.Response:
        if self.usage_status:
            return web.Response(self.usage_status)
        call = Call(
            time.monotonic(),
            request.find_header('x-duty-holder'),
            int(request.find_header('x-fencing-token')),
        )
        status = self.usage.accept(call, body['window'], body['counts'])
        return web.Response(status)

    async def _watch(self, query: dict[str, str]) -> web.Response:
        after = int(query['after'])
        if after > self._version:
            return web.Response(HTTP_GONE)
        era = self.era
        with anyio.move_on_after(int(query['waitMs']) / MS_PER_S):
            while era == self.era and not self._list_rows(
                query['table'], after
            ):
                await self._changed.wait()
        return self._build_answer(self._list_rows(query['table'], after))

    def _commit(self, body: dict[str, Any]) -> web.Response:
        current: list[dict[str, Any]] = []
        for expected in body['expectedRev']:
            row_key = (expected['table'], expected['key'])
            absent = {'table': row_key[0], 'key': row_key[1], 'ver': 0}
            row = self._rows.get(row_key, absent)
            current.append(absent if 'tombstone' in row else row)
        versions = [row['ver'] for row in current]
        if versions != [entry['ver'] for entry in body['expectedRev']]:
            conflict = web.write_json({'rows': current})
            return web.Response(HTTP_CONDITION_FAILED, conflict)
        self._version += 1
        for row in body['setKeys']:
            self._store_row(row['table'], row['key'], row['value'])
        for row in body['deleteKeys']:
            deleted = {'ver': self._version, 'tombstone': True}
            self._rows[row['table'], row['key']] = {**row, **deleted}
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
