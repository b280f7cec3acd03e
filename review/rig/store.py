"""Stand-in of the platform's metadata store and of its promotion call."""

import asyncio
import base64
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

LOOPBACK = '127.0.0.1'
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 412: 'Failed'}


class Store:
    """Rows with versions; an async context manager that listens on loopback.

    Attributes:
        address: ``IP:port`` of the listener.
        version: Newest version.
    """

    def __init__(
        self,
        promote: Callable[[str, str, str, int], int],
        log: Callable[[str], None],
    ) -> None:
        """Creates an empty store.

        Args:
            promote: Called with service, member, holder and fencing token;
                returns the status of the answer.
            log: Writes a line of the record.
        """
        self.version = 0
        self._promote = promote
        self._log = log
        self._rows: dict[tuple[str, str], dict] = {}
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> 'Store':
        """Binds the listener."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listener and ends all calls."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def put(self, table: str, key: str, content: dict) -> None:
        """Writes a row on behalf of the operator or a member."""
        self.version += 1
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._store(table, key, value)
        self._notify()

    def drop(self, table: str, key: str) -> None:
        """Removes a row on behalf of the operator or a member."""
        self.version += 1
        self._rows[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'ver': self.version,
            'tombstone': True,
        }
        self._notify()

    def read(self, table: str, key: str) -> dict | None:
        """Returns the content of a row; None without one."""
        row = self._rows.get((table, key))
        if row is None or 'tombstone' in row:
            return None
        return json.loads(base64.b64decode(row['value']))

    def _store(self, table: str, key: str, value: str) -> None:
        self._rows[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'ver': self.version,
        }

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ')
                headers = {}
                for line in lines[1:]:
                    name, _, found = line.partition(':')
                    headers[name.strip().lower()] = found.strip()
                size = int(headers.get('content-length') or 0)
                body = await reader.readexactly(size)
                status, answer = await self._answer(target, headers, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} {REASONS.get(status, "-")}\r\n'
                    'content-type: application/json\r\n'
                    f'content-length: {len(payload)}\r\n\r\n'.encode()
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(
        self, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == '/rows-get':
            return 200, self._read_rows(query)
        if url.path == '/rows-feed':
            return 200, await self._watch(query)
        if url.path == '/rows-tx':
            return self._commit(json.loads(body))
        if url.path == '/promote':
            order = json.loads(body)
            holder = headers.get('x-duty-holder', '')
            token = int(headers.get('x-fencing-token') or 0)
            status = self._promote(order['service'], order['id'], holder, token)
            self._log(
                f'platform: promote {order["id"]} ordered by {holder}, '
                f'token {token}: {status}'
            )
            return status, {}
        return 404, {}

    def _read_rows(self, query: dict) -> dict:
        rows = [
            row
            for row in self._rows.values()
            if row['table'] == query['table']
            and 'tombstone' not in row
            and row['key'] >= query.get('from', '')
            and ('to' not in query or row['key'] < query['to'])
        ]
        rows.sort(key=lambda row: row['key'].encode())
        return {'rows': rows, 'hasMore': False, 'ver': self.version}

    async def _watch(self, query: dict) -> dict:
        after = int(query['after'])
        try:
            async with asyncio.timeout(int(query['waitMs']) / 1000):
                while not self._list_changes(query['table'], after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        rows = self._list_changes(query['table'], after)
        return {'rows': rows, 'ver': self.version}

    def _list_changes(self, table: str, after: int) -> list[dict]:
        rows = [
            row
            for row in self._rows.values()
            if row['table'] == table and row['ver'] > after
        ]
        return sorted(rows, key=lambda row: row['ver'])

    def _commit(self, body: dict) -> tuple[int, dict]:
        current = []
        fits = True
        for expected in body['expectedRev']:
            place = (expected['table'], expected['key'])
            row = self._rows.get(place)
            if row is None or 'tombstone' in row:
                row = {
                    'table': place[0],
                    'part': '',
                    'key': place[1],
                    'ver': 0,
                }
            current.append(row)
            fits = fits and row['ver'] == expected['ver']
        if not fits:
            return 412, {'rows': current}
        self.version += 1
        for row in body.get('setKeys') or ():
            self._store(row['table'], row['key'], row['value'])
        for row in body.get('deleteKeys') or ():
            self._rows[row['table'], row['key']] = {
                'table': row['table'],
                'part': '',
                'key': row['key'],
                'ver': self.version,
                'tombstone': True,
            }
        self._notify()
        return 200, {'ver': self.version}
