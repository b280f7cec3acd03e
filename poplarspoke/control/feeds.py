"""Tasks that own the connections to the metadata store.

Each table is read once and then watched, unless other hosts watch it for this
one. A watch whose history the store has discarded reads the whole table again;
the local versions never decrease.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol, Self

import anyio
from anyio.abc import TaskGroup

from poplarspoke import errors
from poplarspoke.control.state import ENDPOINTS, NO_WATCH_S, RULES, TABLES
from poplarspoke.control.tables import HOST_PREFIX
from poplarspoke.generated.control import (
    OrderPromotion,
    PromotionAnswered,
    RecordsWritten,
    SetWatch,
    TableReadFailed,
    TableRows,
    WriteRecords,
)

# The store answers in 4 ms, and takes 60 times as long when it is slow.
ANSWER_TIMEOUT_S = 1.0
# Delay that batches changed rows of hosts and endpoints: when the fleet starts,
# each of them writes one row, which would wake all hosts each time.
BATCH_DELAY_S = 0.3
# Backoff after a failure, with jitter, so that hosts do not all reconnect at
# once. It grows, since refused calls are billed too, but stays short, since
# expired entries are registered again within 2 s of the end of an outage.
MIN_FIRST_BACKOFF_S = 0.15
MAX_FIRST_BACKOFF_S = 0.45
BACKOFF_FACTOR = 1.5
MAX_BACKOFF_S = 1.0


class MetadataClient(Protocol):
    """Calls of the metadata store over one connection.

    An async context manager that owns the connection. Every call raises
    ``errors.StoreError`` if no complete answer arrived.
    """

    async def __aenter__(self) -> Self:
        """Returns the client; it connects with the first call."""

    async def __aexit__(self, *exc: object) -> None:
        """Closes the connection."""

    async def read_table(self, table: str, *, timeout_s: float) -> TableRows:
        """Reads a whole table."""

    async def watch_table(
        self,
        table: str,
        after: int,
        *,
        wait_s: float,
        timeout_s: float,
    ) -> TableRows | None:
        """Returns rows changed after a version; None if it is too old."""

    async def write(
        self,
        change: WriteRecords,
        *,
        timeout_s: float,
    ) -> RecordsWritten:
        """Writes rows atomically if their versions are as expected."""

    async def promote(
        self,
        order: OrderPromotion,
        *,
        timeout_s: float,
    ) -> PromotionAnswered:
        """Orders a promotion on a separate connection."""


class Feeds:
    """Watches all tables and carries out writes and orders."""

    def __init__(
        self,
        connect: Callable[[], MetadataClient],
        *,
        post: Callable[[Any], bool],
        now_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates feeds that have not started.

        Args:
            connect: Creates a client of the store.
            post: Passes a message to the control task.
            now_s: Boot clock in seconds.
            rng: Random source of the jitter.
        """
        self._connect = connect
        self._post = post
        self._now_s = now_s
        self._rng = rng
        self._group: TaskGroup
        self._waits_s = dict.fromkeys(TABLES, float(NO_WATCH_S))
        # Version that a watch continues from; None if the whole table has to
        # be read first.
        self._versions: dict[str, int | None] = dict.fromkeys(TABLES)
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._needed = {table: anyio.Event() for table in TABLES}
        self._failures = dict.fromkeys(TABLES, 0)

    async def __aenter__(self) -> Self:
        """Starts one watch for each table."""
        self._group = await anyio.create_task_group().__aenter__()
        for table in TABLES:
            self._group.start_soon(self._watch, table)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Ends all watches, writes and orders."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def set_watch(self, message: SetWatch) -> None:
        """Sets the length of watches and restarts the current one."""
        self._waits_s[message.table] = message.wait_s
        if message.wait_s:
            self._needed[message.table].set()
        scope = self._scopes.get(message.table)
        if scope is not None:
            scope.cancel()

    def send_write(self, change: WriteRecords) -> None:
        """Starts a write; its outcome is posted to the control task."""
        self._group.start_soon(self._write, change)

    def send_order(self, order: OrderPromotion) -> None:
        """Starts an order; its outcome is posted to the control task."""
        self._group.start_soon(self._promote, order)

    async def _watch(self, table: str) -> None:
        while True:
            if self._versions[table] is not None and not self._waits_s[table]:
                await self._needed[table].wait()
            self._needed[table] = anyio.Event()
            if await self._connect_and_follow(table):
                continue
            wait_s = self._rng.uniform(MIN_FIRST_BACKOFF_S, MAX_FIRST_BACKOFF_S)
            wait_s *= BACKOFF_FACTOR ** self._failures[table]
            if wait_s < MAX_BACKOFF_S:
                self._failures[table] += 1
            await anyio.sleep(min(wait_s, MAX_BACKOFF_S))

    async def _connect_and_follow(self, table: str) -> bool:
        """Returns whether the watch ended in order to be restarted."""
        scope = anyio.CancelScope()
        self._scopes[table] = scope
        try:
            with scope:
                async with self._connect() as client:
                    await self._follow(client, table)
        except errors.PoplarspokeError as exc:
            self._post(TableReadFailed(table, str(exc)))
        return scope.cancelled_caught

    async def _follow(self, client: MetadataClient, table: str) -> None:
        """Reads a table and watches it until a call fails."""
        while True:
            asked_s = self._now_s()
            version = self._versions[table]
            if version is None:
                rows = await client.read_table(
                    table, timeout_s=ANSWER_TIMEOUT_S
                )
                self._failures[table] = 0
                self._versions[table] = rows.version
                self._post(rows._replace(asked_s=asked_s, complete=True))
                continue
            wait_s = self._waits_s[table]
            if not wait_s:
                return
            changed = await client.watch_table(
                table,
                version,
                wait_s=wait_s,
                timeout_s=wait_s + ANSWER_TIMEOUT_S,
            )
            self._failures[table] = 0
            if changed is None:
                self._versions[table] = None
                continue
            self._versions[table] = max(version, changed.version)
            self._post(changed._replace(asked_s=asked_s))
            if _may_batch(changed):
                await anyio.sleep(BATCH_DELAY_S)

    async def _write(self, change: WriteRecords) -> None:
        try:
            async with self._connect() as client:
                written = await client.write(change, timeout_s=ANSWER_TIMEOUT_S)
        except errors.PoplarspokeError:
            # The control task logs that there was no answer.
            written = RecordsWritten(change.correlation)
        self._post(written)

    async def _promote(self, order: OrderPromotion) -> None:
        try:
            async with self._connect() as client:
                answer = await client.promote(order, timeout_s=ANSWER_TIMEOUT_S)
        except errors.PoplarspokeError:
            # The control task logs status 0 and repeats the order.
            answer = PromotionAnswered(order.service, order.endpoint)
        self._post(answer)


def _may_batch(changed: TableRows) -> bool:
    """Returns whether the next changes may be read with a delay."""
    if not changed.rows or changed.table == RULES:
        return False
    if changed.table == ENDPOINTS:
        return True
    return all(row.key.startswith(HOST_PREFIX) for row in changed.rows)
