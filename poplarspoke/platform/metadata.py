"""Client of the platform's metadata store and of its promotion orders."""

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Self
from urllib.parse import urlencode

from poplarspoke import errors, web
from poplarspoke.control import revisions
from poplarspoke.control.state import ENDPOINTS, RECORDS, RULES
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.control import (
    OrderPromotion,
    PromotionAnswered,
    RecordsWritten,
    RecordWrite,
    TableRow,
    TableRows,
    WriteRecords,
)
from poplarspoke.generated.usage import ReportUsage, UsageAnswered
from poplarspoke.platform.fields import DECODE_ERRORS
from poplarspoke.platform.rows import ENDPOINTS_TABLE, RULES_TABLE

# Names of the tables on the platform.
TABLE_NAMES = {
    RULES: RULES_TABLE,
    ENDPOINTS: ENDPOINTS_TABLE,
    RECORDS: 'poplarspoke',
}
PAGE_ROWS = 500
MS_PER_S = 1000
HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONDITION_FAILED = 412
# Fields of the answers to a read or watch, to a write that was accepted and to
# one whose condition failed.
READ_FIELDS = frozenset(('rows', 'ver'))
ACCEPTED_FIELDS = frozenset(('ver',))
CONFLICT_FIELDS = frozenset(('rows',))
# Rises by one each time the store comes back from a copy.
ERA_HEADER = 'store-era'
# Limit on the time that an answer may take after its first part. The longest
# answer, of 1 MB of rows, takes 6 s over 2 Mbit/s.
MAX_TRANSFER_S = 15.0
# Appended to a key, gives the smallest key after it.
NEXT_KEY = '\0'


class MetadataError(errors.PoplarspokeError):
    """The platform refused a call or gave no complete answer."""

    code = ErrorCode.STORE_UNAVAILABLE


class Page(NamedTuple):
    """Answer of the store to a read, a watch or a write.

    Attributes:
        version: Revision of the newest version of the store.
        rows: Rows of the answer.
        has_more: Whether further rows follow after the last one.
    """

    version: int
    rows: tuple[TableRow, ...]
    has_more: bool


class Metadata:
    """One connection to the metadata store; an async context manager."""

    def __init__(self, store_address: str, promotion_address: str) -> None:
        """Creates a client that connects with the first call.

        Args:
            store_address: IP:port of the metadata store.
            promotion_address: IP:port of the interface for promotion orders.
        """
        self._store_address = store_address
        self._promotion_address = promotion_address
        self._connection: web.HttpConnection | None = None

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes the connection."""
        if self._connection is not None:
            await self._connection.__aexit__(*exc)

    async def read_table(self, table: str, *, timeout_s: float) -> TableRows:
        """Reads a whole table.

        Raises:
            errors.PoplarspokeError: No complete answer arrived.
        """
        rows: list[TableRow] = []
        start = ''
        # Pages are read at different times. The version of the first one is
        # returned, so that a watch from it repeats changes in between.
        version = 0
        while True:
            query = {
                'table': TABLE_NAMES[table],
                'part': '',
                'from': start,
                'limit': PAGE_ROWS,
            }
            page = await self._get('/rows-get', query, timeout_s)
            version = version or page.version
            if revisions.find_era(version) != revisions.find_era(page.version):
                raise MetadataError('the store was restored during the read')
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return TableRows(table, tuple(rows), version)
            start = rows[-1].key + NEXT_KEY

    async def read_row(
        self, table: str, key: str, *, timeout_s: float
    ) -> TableRow | None:
        """Reads one row; None if it does not exist.

        Raises:
            errors.PoplarspokeError: No complete answer arrived.
        """
        query = {
            'table': TABLE_NAMES[table],
            'part': '',
            'from': key,
            'to': key + NEXT_KEY,
            'limit': 1,
        }
        page = await self._get('/rows-get', query, timeout_s)
        for row in page.rows:
            if row.key == key and not row.removed:
                return row
        return None

    async def watch_table(
        self,
        table: str,
        after: int,
        *,
        wait_s: float,
        timeout_s: float,
    ) -> TableRows | None:
        """Returns rows changed after a revision.

        The result is None if the store has discarded the history since then,
        or was restored, so that the version stands for other changes.

        Raises:
            errors.PoplarspokeError: No complete answer arrived.
        """
        query = {
            'table': TABLE_NAMES[table],
            'after': revisions.find_version(after),
            'waitMs': int(wait_s * MS_PER_S),
        }
        path = f'/rows-feed?{urlencode(query)}'
        response = await self._read(path, timeout_s)
        if response.status == HTTP_GONE:
            return None
        page = _read_page(response, READ_FIELDS)
        if revisions.find_era(page.version) != revisions.find_era(after):
            return None
        return TableRows(table, page.rows, page.version)

    async def write(
        self,
        change: WriteRecords,
        *,
        timeout_s: float,
    ) -> RecordsWritten:
        """Writes rows atomically if their versions are as expected.

        Raises:
            errors.PoplarspokeError: No complete answer arrived; the write may
                have taken effect.
        """
        body = {
            'expectedRev': [
                _create_condition(write) for write in change.writes
            ],
            'setKeys': [
                _encode_row(write)
                for write in change.writes
                if not write.removed and not write.unchanged
            ],
            'deleteKeys': [
                _encode_key(write) for write in change.writes if write.removed
            ],
        }
        payload = json.dumps(body).encode()
        response = await self._send('POST', '/rows-tx', payload, timeout_s)
        if response.status == HTTP_CONDITION_FAILED:
            current = _decode_page(response, CONFLICT_FIELDS)
            return RecordsWritten(
                change.correlation,
                known=True,
                version=current.version,
                rows=current.rows,
            )
        version = _read_page(response, ACCEPTED_FIELDS).version
        return RecordsWritten(
            change.correlation,
            accepted=True,
            known=True,
            version=version,
            rows=tuple(
                TableRow(write.key, version, write.removed, write.content)
                for write in change.writes
                if not write.unchanged
            ),
        )

    async def promote(
        self,
        order: OrderPromotion,
        *,
        now_s: Callable[[], float],
    ) -> PromotionAnswered:
        """Orders a promotion, which is withdrawn when the order expires.

        Args:
            order: Order to send.
            now_s: Clock in seconds by which the order expires.

        Raises:
            errors.PoplarspokeError: No complete answer arrived; the order may
                have taken effect, but takes none after its expiry.
        """
        body = {'service': order.service, 'id': order.endpoint}
        request = _create_order('/promote', order.holder, order.token, body)
        response = await self._send_order(request, order.expires_s, now_s)
        return PromotionAnswered(order.service, order.endpoint, response.status)

    async def report_usage(
        self,
        report: ReportUsage,
        *,
        now_s: Callable[[], float],
    ) -> UsageAnswered:
        """Reports a window, which is withdrawn when the report expires.

        Args:
            report: Report to send.
            now_s: Clock in seconds by which the report expires.

        Raises:
            errors.PoplarspokeError: No complete answer arrived; the report may
                have taken effect, but takes none after its expiry.
        """
        usage = report.usage
        body = {
            'window': usage.window,
            'counts': {
                entry.workspace: entry.operations for entry in usage.counts
            },
        }
        request = _create_order('/usage', report.holder, report.token, body)
        response = await self._send_order(request, report.expires_s, now_s)
        return UsageAnswered(usage.window, response.status)

    async def _send_order(
        self,
        request: web.Request,
        expires_s: float,
        now_s: Callable[[], float],
    ) -> web.Response:
        """Sends an order on a connection of its own until it expires."""
        async with await web.connect(self._promotion_address) as connection:
            left_s = expires_s - now_s()
            if left_s <= 0:
                raise web.NotSentError('the order has expired')
            connection.limit_delivery(left_s)
            return await connection.send(request, timeout_s=left_s)

    async def _get(
        self,
        path: str,
        query: Mapping[str, Any],
        timeout_s: float,
    ) -> Page:
        target = f'{path}?{urlencode(query)}'
        response = await self._read(target, timeout_s)
        return _read_page(response, READ_FIELDS)

    async def _read(self, path: str, timeout_s: float) -> web.Response:
        """Reads rows, which may take a while on a slow link."""
        return await self._send(
            'GET', path, b'', timeout_s, max_s=timeout_s + MAX_TRANSFER_S
        )

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        *,
        max_s: float = 0,
    ) -> web.Response:
        if self._connection is None:
            self._connection = await web.connect(self._store_address)
        request = web.Request(method, path, body=body)
        return await self._connection.send(
            request, timeout_s=timeout_s, max_s=max_s
        )


def _create_order(
    path: str, holder: str, token: int, body: Mapping[str, Any]
) -> web.Request:
    headers = (
        web.Header('X-Duty-Holder', holder),
        web.Header('X-Fencing-Token', str(token)),
    )
    return web.Request('POST', path, headers, json.dumps(body).encode())


def _read_page(response: web.Response, needed: frozenset[str]) -> Page:
    if response.status != HTTP_OK:
        raise MetadataError(f'the store answered {response.status}')
    return _decode_page(response, needed)


def _decode_page(response: web.Response, needed: frozenset[str]) -> Page:
    """Returns the answer of the store.

    Args:
        response: Answer with a JSON object; its header states the era.
        needed: Fields that the answer must have; others may be missing.

    Raises:
        MetadataError: The answer is malformed, so the call has failed.
    """
    try:
        return _decode_fields(response, needed)
    except DECODE_ERRORS as exc:
        raise MetadataError('the answer of the store is malformed') from exc


def _decode_fields(response: web.Response, needed: frozenset[str]) -> Page:
    fields = json.loads(response.body)
    missing = needed - fields.keys()
    if missing:
        raise KeyError(*missing)
    era = int(response.find_header(ERA_HEADER) or 0)
    return Page(
        revisions.create_revision(int(fields.get('ver', 0)), era),
        tuple(_decode_row(row, era) for row in fields.get('rows', ())),
        bool(fields.get('hasMore')),
    )


def _decode_row(fields: Mapping[str, Any], era: int) -> TableRow:
    removed = bool(fields.get('tombstone')) or 'value' not in fields
    return TableRow(
        key=str(fields['key']),
        # A row that does not exist has version 0.
        version=revisions.create_revision(int(fields.get('ver', 0)), era),
        removed=removed,
        content='' if removed else _decode_content(fields['value']),
    )


def _decode_content(encoded: str) -> str:
    """Returns the text of a row; empty if another writer's is not base64.

    No table has empty rows, so the control task skips it and logs that.
    """
    try:
        raw = base64.b64decode(encoded, validate=True)
    except (ValueError, TypeError):
        return ''
    return raw.decode('utf-8', 'replace')


def _encode_key(write: RecordWrite) -> dict[str, Any]:
    return {'table': TABLE_NAMES[RECORDS], 'part': '', 'key': write.key}


def _create_condition(write: RecordWrite) -> dict[str, Any]:
    version = revisions.find_version(write.expected)
    return {**_encode_key(write), 'ver': version}


def _encode_row(write: RecordWrite) -> dict[str, Any]:
    content = base64.b64encode(write.content.encode()).decode()
    return {**_encode_key(write), 'value': content}
