"""Odd entries that another writer has left among those of the members.

One of them must neither end a host, nor hide the other entries, nor stop a watch.
"""

import functools
import json
from contextlib import AsyncExitStack
from typing import Any

import anyio
import pytest

from poplarspoke import web
from poplarspoke.control.links import Links
from poplarspoke.control.queries import Queries
from poplarspoke.control.state import ENDPOINTS
from poplarspoke.generated.control import (
    EndpointState,
    HostRecord,
    PeerAddresses,
    QueryEndpoint,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.platform import __main__ as adapter
from poplarspoke.platform import rows
from poplarspoke.platform.metadata import Metadata, MetadataError
from tests.test_session_host import Site, run_steps

TEST_TIMEOUT_S = 60  # Ends a test that hangs; tests may run on a busy machine.
ENTRY: dict[str, Any] = {
    'service': 'group',
    'address': '127.0.0.1:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'coldRemainingMs': 0,
    'dbRole': 'replica',
    'seq': 4,
    'born': 1700000000000,
}
CONFIGURATION: dict[str, Any] = {
    'version': 2,
    'routes': [
        {
            'host': 'db',
            'service': 'group',
            'routeType': 'bounded',
            'timeoutMs': 2000,
            'targetLatencyMs': 1000,
        }
    ],
    'services': [{'name': 'group', 'maxConns': 16}],
    'limits': {'txIdleMs': 3000},
    'tenants': [
        {'name': 'blue', 'apiKeys': ['k'], 'ratePerS': 10, 'burst': 10}
    ],
}
NESTED = ('[' * 100_000, '[' * 5_000 + ']' * 5_000, '{"a":' * 100_000)
ODD_FIELDS = (
    ('address', '127.0.0.1:99999'),
    ('address', '127.0.0.1:0'),
    ('address', 'not-an-ip:8240'),
    ('address', '127.0.0.1:' + '9' * 5_000),
    ('address', '127.0.0.1:²'),
    ('slots', 2**80),
    ('slots', 1e999),
    ('born', 2**80),
    ('seq', 2**80),
)


def encode_entry(name: str, field: Any) -> str:
    """Returns an entry with one other field."""
    return json.dumps({**ENTRY, name: field})


# Guards against a decoder that ends the process which reads the list.
@pytest.mark.parametrize('content', NESTED)
def test_deeply_nested_content_is_invalid(content: str) -> None:
    """The parser of the standard library gives up on its own."""
    assert rows.decode_endpoint('i-odd', content) is None
    assert rows.decode_rules(content) is None


# Guards against connections to an address that no member can have.
@pytest.mark.parametrize(('name', 'field'), ODD_FIELDS)
def test_field_out_of_range_is_invalid(name: str, field: Any) -> None:
    """A connection to such a port raises an error that nobody expects."""
    assert rows.decode_endpoint('i-odd', json.dumps(ENTRY)) is not None
    assert rows.decode_endpoint('i-odd', encode_entry(name, field)) is None


# Guards against an entry of another writer that counts as a member, and as a second
# primary, so that the first primary of its service is never recorded.
@pytest.mark.parametrize(
    ('name', 'field'),
    [
        ('version', None),
        ('version', 7),
        ('coldRemainingMs', None),
        ('coldRemainingMs', 'soon'),
        ('coldRemainingMs', -1),
        ('seq', None),
        ('seq', True),
    ],
)
def test_entry_with_missing_fields_is_invalid(name: str, field: Any) -> None:
    """A member always reports these fields."""
    entry = {**ENTRY, name: field}
    if field is None:
        entry.pop(name)
    assert rows.decode_endpoint('i-odd', json.dumps(entry)) is None


# Guards against a service that serves nothing from its first start on.
def test_incomplete_entry_does_not_keep_a_service_without_a_primary() -> None:
    """The entry names the service and claims to be its primary."""

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with AsyncExitStack() as stack:
                site = Site(stack)
                odd = {**ENTRY, 'dbRole': 'primary'}
                for name in ('version', 'coldRemainingMs', 'seq', 'born'):
                    odd.pop(name)
                site.store.put('servers', 'i-odd', odd)
                await site.start(1)
                caller = await site.connect()
                await caller.start('primary')
                answer = await caller.query('WRITE 1 a')
                assert answer[0].startswith('COMPLETE')

    anyio.run(run)


# Guards against a limit that never ends, and a version that nothing follows.
@pytest.mark.parametrize(
    'changed',
    [
        {'version': 2**80},
        {'version': '3'},
        {'limits': {'txIdleMs': 1e999}},
        {'tenants': [{**CONFIGURATION['tenants'][0], 'ratePerS': 1e999}]},
        {'tenants': [{**CONFIGURATION['tenants'][0], 'burst': -1}]},
        {'routes': [{**CONFIGURATION['routes'][0], 'timeoutMs': 1e999}]},
        {'services': [{'name': 'group', 'maxConns': 2**80}]},
    ],
)
def test_configuration_out_of_range_is_invalid(changed: Any) -> None:
    """The configuration before it stays in force."""
    assert rows.decode_rules(json.dumps(CONFIGURATION)) is not None
    assert rows.decode_rules(json.dumps({**CONFIGURATION, **changed})) is None


# Guards against an answer of the store that ends the feed of a table.
@pytest.mark.parametrize(
    'body',
    [
        b'{"ver": 1e999, "rows": []}',
        b'{"ver": 1, "rows": [{"key": "a", "ver": 1e999}]}',
        b'[' * 100_000,
    ],
)
def test_odd_answer_of_the_store_is_a_failed_call(body: bytes) -> None:
    """The feeds retry a failed call; any other error would end the process."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(200, body)

    async def run() -> None:
        async with web.HttpServer(answer, host='127.0.0.1', port=0) as server:
            address = f'127.0.0.1:{server.port}'
            async with Metadata(address, address) as client:
                with pytest.raises(MetadataError):
                    await client.read_table(ENDPOINTS, timeout_s=TEST_TIMEOUT_S)

    anyio.run(run)


# Guards against hosts that end, or stop following the list, at an odd entry.
def test_hosts_serve_beside_odd_entries() -> None:
    """All hosts go on, and later entries reach them."""

    async def steps(site: Site) -> None:
        for number, content in enumerate(NESTED):
            site.store.put_text('servers', f'i-nested{number}', content)
        for number, (name, field) in enumerate(ODD_FIELDS):
            content = encode_entry(name, field)
            site.store.put_text('servers', f'i-odd{number}', content)
        site.write_entry('m3', 'draining')
        states = [host.control.state for host in site.hosts]
        await site.wait(
            lambda: all(state['endpoints']['m3'].draining for state in states)
        )
        for number, state in enumerate(states):
            assert set(state['endpoints']) == {'m1', 'm2', 'm3'}
            caller = await site.connect(number)
            await caller.start('primary')
            write = functools.partial(caller.query, 'WRITE 1 one')
            await site.retry(write, 'COMPLETE')

    run_steps(2, steps)


# Guards against a process that ends because of one address.
def test_address_out_of_range_is_a_refused_connection() -> None:
    """A record of a host may hold any text."""

    async def run() -> None:
        for address in ('127.0.0.1:99999', '127.0.0.1:x', '', 'a:-1'):
            with pytest.raises(web.NotSentError):
                await web.connect(address)

    anyio.run(run)


# Guards against datagrams that are sent to nobody because of one address.
def test_host_with_an_odd_address_is_skipped() -> None:
    """The other hosts stay reachable."""
    logged: list[LogDecision] = []
    links = Links('127.0.0.1', 1, receive=logged.append, log=logged.append)
    hosts = [
        HostRecord(name=f'h{number}', address=address)
        for number, address in enumerate(
            ('127.0.0.1:99999', 'x', 'name:1', '127.0.0.1:7')
        )
    ]
    links.set_peers(PeerAddresses(tuple(hosts)))
    assert [line.outcome for line in logged] == ['h0', 'h1', 'h2']


# Guards against a query or a connection whose error ends the process.
def test_query_of_an_odd_address_has_no_answer() -> None:
    """The control task decides about endpoints without an answer."""
    answers: list[Any] = []

    def post(message: Any) -> bool:
        answers.append(message)
        return True

    async def run() -> None:
        async with Queries(adapter.create_query_codec(), post=post) as queries:
            queries.send(QueryEndpoint('group', 'm1', '127.0.0.1:99999'))
            with anyio.fail_after(TEST_TIMEOUT_S):
                while not answers:
                    await anyio.sleep(0.01)

    anyio.run(run)
    assert answers == [EndpointState('group', 'm1')]
