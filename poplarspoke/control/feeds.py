"""Tasks that own the connections to the metadata store.

Each table is read once and then watched, unless other hosts watch it for this
one. A watch whose history the store has discarded reads the whole table again;
the local versions never decrease.

A connection may fall silent without a reset, and a watch without an answer then
looks as if nothing had changed. All tables share one version, so each answer also
shows whether the store has changes that a watch has not covered. Such a table is
queried on a new connection.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol, Self

import anyio
from anyio.abc import TaskGroup

from poplarspoke import errors, web
from poplarspoke.control import revisions
from poplarspoke.control.state import (
    ENDPOINTS,
    HOST_PREFIX,
    NO_WATCH_S,
    PROGRESS_KEY,
    RELEASE_PREFIX,
    RULES,
    TABLES,
)
from poplarspoke.generated.control import (
    OrderPromotion,
    PromotionAnswered,
    RecordsWritten,
    SetWatch,
    TableReadFailed,
    TableRows,
    WatchReplaced,
    WriteRecords,
)
from poplarspoke.generated.usage import ReportUsage, UsageAnswered

# The store answers in 4 ms, and takes 60 times as long when it is slow.
ANSWER_TIMEOUT_S = 1.0
# Delay that batches changed rows of hosts and endpoints: when the fleet starts,
# each of them writes one row, which would wake all hosts each time.
BATCH_DELAY_S = 0.3
# Rows of a failover that waits come from several hosts at the same time.
BATCHED_PREFIXES = (HOST_PREFIX, RELEASE_PREFIX, PROGRESS_KEY)
# Backoff after a failure, with jitter, so that hosts do not all reconnect at
# once. It grows, since refused calls are billed too, but stays short, since
# expired entries are registered again within 2 s of the end of an outage.
MIN_FIRST_BACKOFF_S = 0.15
MAX_FIRST_BACKOFF_S = 0.45
BACKOFF_FACTOR = 1.5
MAX_BACKOFF_S = 1.0
# Time for a watch to answer by itself when another answer shows a newer version.
# It is longer than the delay that batches changed rows.
VERIFY_DELAY_S = 0.5


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
        now_s: Callable[[], float],
    ) -> PromotionAnswered:
        """Orders a promotion on a separate connection until it expires."""

    async def report_usage(
        self,
        report: ReportUsage,
        *,
        now_s: Callable[[], float],
    ) -> UsageAnswered:
        """Reports a window on a separate connection until it expires."""


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
        # When the current call of each table was sent.
        self._asked_s = dict.fromkeys(TABLES, float(0))
        # Newest version of the store that any answer has shown.
        self._newest = 0
        # Newest version that a query beside the watch found no changes up to.
        self._covered = dict.fromkeys(TABLES, 0)
        # Tables that are about to be queried beside their watch.
        self._verifying: set[str] = set()

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
        self._restart(message.table)

    def send_write(self, change: WriteRecords) -> None:
        """Starts a write; its outcome is posted to the control task."""
        self._group.start_soon(self._write, change)

    def send_order(self, order: OrderPromotion) -> None:
        """Starts an order; its outcome is posted to the control task."""
        self._group.start_soon(self._promote, order)

    def send_usage(self, report: ReportUsage) -> None:
        """Starts a usage report; its outcome is posted to the control task."""
        self._group.start_soon(self._report_usage, report)

    def _restart(self, table: str) -> None:
        """Ends the current call of a table; a new one starts at once."""
        scope = self._scopes.get(table)
        if scope is not None:
            scope.cancel()

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
            if isinstance(exc, web.AnswerTimeoutError):
                self._restart_older(table)
        return scope.cancelled_caught

    def _restart_older(self, table: str) -> None:
        """Restarts the other calls that are older than a silent connection.

        Whatever silenced the connection may have silenced theirs.
        """
        limit_s = self._now_s() - ANSWER_TIMEOUT_S
        for other in TABLES:
            if other != table and self._asked_s[other] < limit_s:
                self._restart(other)

    async def _follow(self, client: MetadataClient, table: str) -> None:
        """Reads a table and watches it until a call fails."""
        while True:
            asked_s = self._now_s()
            self._asked_s[table] = asked_s
            version = self._versions[table]
            if version is None:
                rows = await client.read_table(
                    table, timeout_s=ANSWER_TIMEOUT_S
                )
                self._failures[table] = 0
                self._versions[table] = rows.version
                self._verify_others(rows.version)
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
            self._verify_others(changed.version)
            self._post(changed._replace(asked_s=asked_s))
            if _may_batch(changed):
                await anyio.sleep(BATCH_DELAY_S)

    def _verify_others(self, version: int) -> None:
        """Verifies the watches that have not covered a version."""
        if revisions.find_era(version) > revisions.find_era(self._newest):
            self._read_again(version)
        self._newest = max(self._newest, version)
        for table in TABLES:
            if table in self._verifying or not self._is_behind(table):
                continue
            self._verifying.add(table)
            self._group.start_soon(self._verify, table)

    def _read_again(self, version: int) -> None:
        """Reads the tables that were read before the store was restored."""
        for table, known in self._versions.items():
            if known is None or known >= version:
                continue
            if revisions.find_era(known) < revisions.find_era(version):
                self._versions[table] = None
                self._needed[table].set()
                self._restart(table)

    def _is_behind(self, table: str) -> bool:
        version = self._versions[table]
        if version is None or not self._waits_s[table]:
            return False
        return max(version, self._covered[table]) < self._newest

    async def _verify(self, table: str) -> None:
        """Queries a table if its watch does not answer by itself."""
        await anyio.sleep(VERIFY_DELAY_S)
        version = self._versions[table]
        try:
            if version is not None and self._is_behind(table):
                await self._query_changes(table, version)
        except errors.PoplarspokeError as exc:
            self._post(TableReadFailed(table, str(exc)))
        finally:
            self._verifying.discard(table)

    async def _query_changes(self, table: str, version: int) -> None:
        """Reads what has changed; changed rows prove that the watch is dead."""
        asked_s = self._now_s()
        async with self._connect() as client:
            changed = await client.watch_table(
                table,
                version,
                wait_s=NO_WATCH_S,
                timeout_s=ANSWER_TIMEOUT_S,
            )
        if self._versions[table] != version:
            # The watch has answered meanwhile.
            return
        if changed is None:
            self._versions[table] = None
            self._restart(table)
            return
        # The watch continues from its own version: a store that discards its
        # history reports no changes for a moment.
        self._covered[table] = changed.version
        self._post(changed._replace(asked_s=asked_s))
        if changed.rows:
            self._versions[table] = max(version, changed.version)
            self._post(WatchReplaced(table, version))
            self._restart(table)

    async def _write(self, change: WriteRecords) -> None:
        try:
            async with self._connect() as client:
                written = await client.write(change, timeout_s=ANSWER_TIMEOUT_S)
        except errors.PoplarspokeError:
            # The control task logs that there was no answer.
            written = RecordsWritten(change.correlation)
        if revisions.find_era(written.version) > revisions.find_era(
            self._newest
        ):
            self._verify_others(written.version)
        self._post(written)

    async def _promote(self, order: OrderPromotion) -> None:
        try:
            async with self._connect() as client:
                answer = await client.promote(order, now_s=self._now_s)
        except errors.PoplarspokeError:
            # The control task logs status 0 and repeats the order.
            answer = PromotionAnswered(order.service, order.endpoint)
        self._post(answer)

    async def _report_usage(self, report: ReportUsage) -> None:
        try:
            async with self._connect() as client:
                answer = await client.report_usage(report, now_s=self._now_s)
        except errors.PoplarspokeError:
            # The control task logs status 0 and repeats the report.
            answer = UsageAnswered(report.usage.window)
        self._post(answer)


def _may_batch(changed: TableRows) -> bool:
    """Returns whether the next changes may be read with a delay."""
    if not changed.rows or changed.table == RULES:
        return False
    if changed.table == ENDPOINTS:
        return True
    return all(row.key.startswith(BATCHED_PREFIXES) for row in changed.rows)
