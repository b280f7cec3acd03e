"""Eras of the metadata store in the adapter and in the feeds."""

import json
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import anyio
import pytest

from poplarspoke import web
from poplarspoke.control import revisions
from poplarspoke.control.state import RULES, TABLES
from poplarspoke.generated.control import (
    RecordWrite,
    SetWatch,
    TableRows,
    WriteRecords,
)
from poplarspoke.platform.metadata import Metadata, MetadataError
from tests.test_silent_connections import Harness

TEST_TIMEOUT_S = 60  # Ends a test that hangs; tests may run on a busy machine.
HTTP_OK = 200
HTTP_CONFLICT = 412


class FixedStore:
    """Answers each call with the next of some responses.

    Attributes:
        requests: Requests in the order of arrival.
    """

    def __init__(self, *responses: web.Response) -> None:
        """Creates a store with its responses."""
        self.requests: list[web.Request] = []
        self._responses = list(responses)

    async def answer(self, request: web.Request) -> web.Response:
        """Returns the next response; the last one again and again."""
        self.requests.append(request)
        if len(self._responses) > 1:
            return self._responses.pop(0)
        return self._responses[0]


def create_answer(
    era: str, version: int, *, status: int = HTTP_OK, has_more: bool = False
) -> web.Response:
    """Returns an answer of the store with one row."""
    body = {
        'ver': version,
        'rows': [{'key': 'a', 'ver': version, 'value': 'e30='}],
        'hasMore': has_more,
    }
    headers = (web.Header('store-era', era),)
    return web.Response(status, json.dumps(body).encode(), headers)


def call_store(
    store: FixedStore, steps: Callable[[Metadata], Awaitable[None]]
) -> None:
    """Runs steps with a client of a store."""

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with web.HttpServer(
                store.answer, host='127.0.0.1', port=0
            ) as server:
                address = f'127.0.0.1:{server.port}'
                async with Metadata(address, address) as client:
                    await steps(client)

    anyio.run(run)


# Guards against an order that follows the version alone.
def test_revision_of_a_later_era_is_higher() -> None:
    """Versions go back, the era does not."""
    store = FixedStore(create_answer('3', 9), create_answer('4', 2))

    async def steps(client: Metadata) -> None:
        former = await client.read_table(RULES, timeout_s=1)
        later = await client.read_table(RULES, timeout_s=1)
        assert later.version > former.version
        assert later.rows[0].version > former.rows[0].version
        assert revisions.find_version(later.version) == 2

    call_store(store, steps)


# Guards against rows that are missed, since the version is there again.
def test_watch_from_an_earlier_era_has_to_read_again() -> None:
    """The store has the version, but it stands for another change."""
    store = FixedStore(create_answer('4', 9))

    async def steps(client: Metadata) -> None:
        after = revisions.create_revision(8, 3)
        changed = await client.watch_table(RULES, after, wait_s=0, timeout_s=1)
        assert changed is None
        assert 'after=8' in store.requests[0].path

    call_store(store, steps)


# Guards against a table that is put together from two eras.
def test_restore_during_a_read_fails_the_read() -> None:
    """Pages are read one after another."""
    store = FixedStore(
        create_answer('3', 9, has_more=True), create_answer('4', 2)
    )

    async def steps(client: Metadata) -> None:
        with pytest.raises(MetadataError):
            await client.read_table(RULES, timeout_s=1)

    call_store(store, steps)


# Guards against conditions that never hold, and answers without an era.
@pytest.mark.parametrize('status', [HTTP_OK, HTTP_CONFLICT])
def test_write_states_versions_and_returns_revisions(status: int) -> None:
    """The store knows versions only."""
    store = FixedStore(create_answer('4', 9, status=status))

    async def steps(client: Metadata) -> None:
        expected = revisions.create_revision(7, 4)
        change = WriteRecords(1, (RecordWrite('a', expected, '{}'),))
        written = await client.write(change, timeout_s=1)
        assert json.loads(store.requests[0].body)['expectedRev'][0]['ver'] == 7
        assert revisions.find_era(written.rows[0].version) == 4
        assert revisions.find_era(written.version) == 4

    call_store(store, steps)


# Guards against an answer that ends the feed of a table.
@pytest.mark.parametrize(
    ('era', 'version'), [('x', 1), ('-1', 1), ('9' * 30, 1), ('1', 2**60)]
)
def test_era_or_version_out_of_range_is_a_failed_call(
    era: str, version: int
) -> None:
    """Such a number would order everything that comes later before it."""
    store = FixedStore(create_answer(era, version))

    async def steps(client: Metadata) -> None:
        with pytest.raises(MetadataError):
            await client.read_table(RULES, timeout_s=1)

    call_store(store, steps)


# Guards against a table that stays as it was before the restore.
@pytest.mark.parametrize('waits', [True, False])
def test_all_tables_are_read_again_in_a_new_era(waits: bool) -> None:
    """One answer with a new era is enough for all tables."""

    async def steps() -> None:
        async with AsyncExitStack() as stack:
            harness = Harness(stack)
            await harness.start()
            for table in TABLES:
                harness.store.put(table, 'row', {})
            copy = harness.store.copy()
            if not waits:
                harness.feeds.set_watch(SetWatch(RULES, 0))
            harness.posted.clear()
            harness.store.restore(copy)
            while len(list_read(harness)) < len(TABLES):
                await anyio.sleep(0.02)

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await steps()

    anyio.run(run)


def list_read(harness: Harness) -> set[str]:
    """Returns the tables that were read as a whole in the second era."""
    return {
        message.table
        for message in harness.posted
        if isinstance(message, TableRows)
        and message.complete
        and revisions.find_era(message.version) == 2
    }
