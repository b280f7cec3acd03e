"""Connections to the metadata store that fall silent without a reset.

New connections work, so a host has to notice by itself that an open one is
dead. The configuration must be in force at all hosts long before a watch, which
lasts 20 s, times out.
"""

import functools
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import anyio
import pytest

from poplarspoke.control.feeds import Feeds
from poplarspoke.control.state import ENDPOINTS, RECORDS, RULES, WATCHES_S
from poplarspoke.generated.control import SetWatch, TableReadFailed, TableRows
from poplarspoke.platform.metadata import Metadata
from poplarspoke.platform.rows import ENDPOINTS_TABLE, RULES_TABLE
from poplarspoke.standins.metadata import MetadataStandIn
from tests.test_session_host import Site, run_steps

TEST_TIMEOUT_S = 60  # Ends a test that hangs; tests may run on a busy machine.
NAMES = {RULES: RULES_TABLE, ENDPOINTS: ENDPOINTS_TABLE}


class Harness:
    """Feeds of one host over the stand-in of the store."""

    def __init__(self, stack: AsyncExitStack) -> None:
        """Creates feeds that have not started.

        Args:
            stack: Owns the stand-in and the feeds.
        """
        self._stack = stack
        self.posted: list[Any] = []
        self.store = MetadataStandIn(lambda member: None)
        self.feeds = Feeds(
            lambda: Metadata(self.store.address, self.store.address),
            post=self.post,
            now_s=anyio.current_time,
            rng=random.Random(1),
        )

    def post(self, message: Any) -> bool:
        """Records a posted message."""
        self.posted.append(message)
        return True

    async def start(self) -> None:
        """Reads all tables and starts their watches."""
        await self._stack.enter_async_context(self.store)
        await self._stack.enter_async_context(self.feeds)
        for table, wait_s in WATCHES_S.items():
            self.feeds.set_watch(SetWatch(table, wait_s))
        await anyio.sleep(0.2)

    async def wait_for_row(self, table: str, key: str) -> None:
        """Waits until a row of a table has arrived."""
        while not self._has_row(table, key):
            await anyio.sleep(0.02)

    def list_failed(self) -> set[str]:
        """Returns the tables of which a read or a watch got no answer."""
        return {
            message.table
            for message in self.posted
            if isinstance(message, TableReadFailed)
        }

    def _has_row(self, table: str, key: str) -> bool:
        return any(
            row.key == key
            for message in self.posted
            if isinstance(message, TableRows) and message.table == table
            for row in message.rows
        )


def run_harness(steps: Callable[[Harness], Awaitable[None]]) -> None:
    """Runs steps with started feeds; fails the test if they hang."""

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with AsyncExitStack() as stack:
                harness = Harness(stack)
                await harness.start()
                await steps(harness)

    anyio.run(run)


# Guards against rows that arrive only when a dead watch times out.
@pytest.mark.parametrize('table', [RULES, ENDPOINTS])
def test_silent_watch_is_replaced_before_it_times_out(table: str) -> None:
    """The store's version in answers for other tables shows the change."""

    async def steps(harness: Harness) -> None:
        harness.store.silence(NAMES[table])
        harness.store.put(NAMES[table], 'row', {'version': 2})
        await harness.wait_for_row(table, 'row')
        assert not harness.list_failed()

    run_harness(steps)


# Guards against trust in the other watches after one was found dead.
def test_all_watches_are_replaced_when_one_times_out() -> None:
    """Whatever silenced one connection may have silenced the others."""

    async def steps(harness: Harness) -> None:
        harness.store.silence()
        for name in NAMES.values():
            harness.store.put(name, 'row', {'version': 2})
        for table in NAMES:
            await harness.wait_for_row(table, 'row')
        assert harness.list_failed() == {RECORDS}

    run_harness(steps)


# Guards against a revoked key that is accepted until a dead watch times out.
def test_configuration_reaches_hosts_with_silent_connections() -> None:
    """No host has newer rules that would reveal the others' dead watches."""

    async def steps(site: Site) -> None:
        callers = [await site.connect(number) for number in range(2)]
        for caller in callers:
            await caller.start('primary')
        await site.wait(
            lambda: all(
                host.control.state['watches_s'][RULES] for host in site.hosts
            )
        )
        # The watches have been sent.
        await anyio.sleep(0.1)
        site.store.silence()
        site.configure(2, keys=())
        for caller in callers:
            read = functools.partial(caller.query, 'READ 1')
            await site.retry(read, 'ERROR NOAUTH')
        assert '"outcome": "rules"' not in site.log.getvalue()

    run_steps(2, steps)
