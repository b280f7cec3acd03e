"""Complete hosts of the session protocol, over loopback sockets."""

import io
import json
import random
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any, TypeAlias

import anyio
import pytest
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from poplarspoke import logs, session_host, web
from poplarspoke.control.state import Decoders
from poplarspoke.generated.rules import HostSettings, UsageSettings
from poplarspoke.platform import __main__ as adapter
from poplarspoke.platform import rows
from poplarspoke.platform.metadata import Metadata
from poplarspoke.standins.metadata import MetadataStandIn
from poplarspoke.standins.session_member import Service

KEY = 'key-of-blue'
TEST_TIMEOUT_S = 60  # Ends a test that hangs; tests may run on a busy machine.
# Ends a wait before that, so that the test fails where it waits.
WAIT_TIMEOUT_S = 40
MAX_LINE_BYTES = 1 << 20
Statement: TypeAlias = Callable[[], Awaitable[list[str]]]


# Below the ports that the kernel gives to outgoing connections, which would take a
# port between its choice and its use.
PORTS = range(18000, 32000)


def find_port(kind: socket.SocketKind) -> int:
    """Returns a free port of the loopback interface."""
    chance = random.SystemRandom()
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(('127.0.0.1', chance.choice(PORTS)))
            except OSError:
                continue
            return int(probe.getsockname()[1])


def find_peer_port() -> int:
    """Returns a port that is free for TCP and UDP, which peers both use."""
    while True:
        port = find_port(socket.SOCK_STREAM)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def find_free_ports(count: int) -> list[int]:
    """Returns free TCP ports of the loopback interface."""
    return [find_port(socket.SOCK_STREAM) for _ in range(count)]


class Caller:
    """One session of a caller."""

    def __init__(self, stream: SocketStream) -> None:
        """Creates a caller over an open connection."""
        self._stream = stream
        self._lines = BufferedByteReceiveStream(stream)
        self._number = 0

    async def start(self, database: str, key: str = KEY) -> list[str]:
        """Starts the session."""
        await self._stream.send(f'START {database} {key}\r\n'.encode())
        return await self.read()

    async def query(self, text: str, request: str = '') -> list[str]:
        """Runs a statement and returns the lines of its answer."""
        self._number += 1
        name = request or f'r{self._number}'
        await self.send(f'QUERY {name} {text}')
        return await self.read()

    async def send(self, line: str) -> None:
        """Sends a line without waiting for an answer."""
        await self._stream.send(f'{line}\r\n'.encode())

    async def read(self) -> list[str]:
        """Returns the lines up to ``READY`` or the end of the connection."""
        found: list[str] = []
        while not found or not found[-1].startswith('READY'):
            try:
                line = await self._lines.receive_until(b'\r\n', MAX_LINE_BYTES)
            except anyio.IncompleteRead:
                break
            found.append(line.decode())
        return found


class Site:
    """A metadata store, a service of three members and some hosts."""

    def __init__(self, stack: AsyncExitStack) -> None:
        """Creates the parts; nothing runs yet.

        Args:
            stack: Owns the sockets and tasks of the parts.
        """
        self._stack = stack
        self.service = Service('group', ('m1', 'm2', 'm3'))
        self.store = MetadataStandIn(self.promote)
        self.hosts: list[session_host.SessionHost] = []
        self.settings: list[HostSettings] = []
        self.log = io.StringIO()
        # Addresses that entries name in place of the members' own.
        self.addresses: dict[str, str] = {}
        self.usage = UsageSettings()

    async def start(self, hosts: int) -> None:
        """Starts the store, the members and the hosts."""
        await self._stack.enter_async_context(self.store)
        await self._stack.enter_async_context(self.service)
        self.configure(1)
        for member in self.service.members:
            self.write_entry(member.name)
        for number in range(hosts):
            await self.start_host(number)

    def configure(self, version: int, keys: tuple[str, ...] = (KEY,)) -> None:
        """Writes a configuration as the operators do."""
        routes = [
            {
                'host': kind,
                'service': 'group',
                'routeType': kind,
                'timeoutMs': 2000,
                'targetLatencyMs': 1000,
                'maxStalenessMs': 2500,
                'priority': 1,
            }
            for kind in ('primary', 'bounded', 'read_own')
        ]
        tenant = {'name': 'blue', 'apiKeys': list(keys)}
        config = {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': 'group',
                    'maxConns': 16,
                    'syncReplicas': self.service.sync_replicas,
                }
            ],
            'limits': {'txIdleMs': 3000},
            'tenants': [{**tenant, 'ratePerS': 1000, 'burst': 1000}],
        }
        self.store.put('op', 'config', config)

    def write_entry(self, name: str, state: str = 'ready') -> None:
        """Writes the entry of a member."""
        ports = dict(self.service.members)
        address = self.addresses.get(name, f'127.0.0.1:{ports[name]}')
        is_primary = self.service.log['primary'] == name
        entry = {
            'service': 'group',
            'address': address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 2,
            'state': state,
            'coldRemainingMs': 0,
            'dbRole': 'primary' if is_primary else 'replica',
            'seq': 1,
        }
        self.store.put('servers', name, entry)

    def promote(self, name: str) -> None:
        """Promotes a member, as an order of the platform does."""
        self.service.promote(name)

    async def connect(self, host: int = 0) -> Caller:
        """Connects a caller to a host."""
        ip, _, port = self.settings[host].caller_address.rpartition(':')
        stream = await anyio.connect_tcp(ip, int(port))
        return Caller(await self._stack.enter_async_context(stream))

    async def wait(self, is_done: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not is_done():
                await anyio.sleep(0.02)

    async def retry(self, run: Statement, expected: str) -> list[str]:
        """Repeats a statement until its answer starts as expected."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                lines = await run()
                if lines and lines[0].startswith(expected):
                    return lines
                await anyio.sleep(0.05)

    async def start_host(self, number: int) -> None:
        """Starts a host and waits until it serves."""
        settings = HostSettings(
            name=f'h{number}',
            zone='z1',
            ip='127.0.0.1',
            caller_address=f'127.0.0.1:{find_port(socket.SOCK_STREAM)}',
            ready_address=f'127.0.0.1:{find_port(socket.SOCK_STREAM)}',
            control_address=f'127.0.0.1:{find_port(socket.SOCK_STREAM)}',
            peer_port=find_peer_port(),
            store_address=self.store.address,
            duty_address=self.store.address,
            grace_s=6,
            drain_s=7,
            evacuate_s=5,
            quota_excess=0.1,
            quota_slack=20,
            usage=self.usage,
        )
        dependencies = session_host.Dependencies(
            settings=settings,
            codec=adapter.create_codec(),
            query_codec=adapter.create_query_codec(),
            decoders=Decoders(rows.decode_rules, rows.decode_endpoint),
            connect=lambda: Metadata(self.store.address, self.store.address),
            ready_path=adapter.READY_PATH,
            now_s=time.monotonic,
            wall_s=time.time,
            rng=random.Random(number),
            log=logs.Log(self.log, wall_s=time.time),
        )
        host = session_host.SessionHost(dependencies)
        await self._stack.enter_async_context(host)
        self.hosts.append(host)
        self.settings.append(settings)
        await self.wait(lambda: self._is_serving(host))

    def _is_serving(self, host: session_host.SessionHost) -> bool:
        return host.control.state['ready'] and bool(host.relay.state['leases'])


def run_steps(hosts: int, steps: Callable[[Site], Awaitable[None]]) -> None:
    """Runs steps against a site; fails the test if they hang."""

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with AsyncExitStack() as stack:
                site = Site(stack)
                await site.start(hosts)
                await steps(site)

    anyio.run(run)


async def send_get(address: str, path: str) -> web.Response:
    """Sends a GET request to a host."""
    async with await web.connect(address) as connection:
        return await connection.send(web.Request('GET', path), timeout_s=1)


def test_session_reads_its_write() -> None:
    """The request path: store, rules, lease, endpoint, answer."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        assert await caller.start('read_own') == ['READY I -']
        wrote = await caller.query('WRITE 1 one')
        assert wrote == ['COMPLETE m1', 'READY I -']
        found = await caller.query('READ 1')
        assert found[0] == 'ROW one'
        assert site.service.log['workspaces'] <= {'blue', '-'}

    run_steps(1, steps)


def test_transaction_commits_once() -> None:
    """Its writes must take effect together, on one connection."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        assert await caller.query('BEGIN') == ['COMPLETE -', 'READY T -']
        await caller.query('WRITE 1 one')
        await caller.query('WRITE 2 two')
        assert not site.service.log['items']
        await caller.query('COMMIT', 'commit')
        assert site.service.log['runs'] == ['commit']

    run_steps(1, steps)


def test_prepared_statements_of_two_sessions() -> None:
    """The same name may mean different statements in two sessions."""

    async def steps(site: Site) -> None:
        for verb in ('READ', 'WRITE'):
            caller = await site.connect()
            await caller.start('primary')
            await caller.query(f'PREPARE s {verb} shape')
            answer = await caller.query('EXECUTE s 1 one')
            assert ('ROW' in answer[0]) is (verb == 'READ')

    run_steps(1, steps)


@pytest.mark.parametrize(
    ('database', 'key', 'code'),
    [('none', KEY, 'NODB'), ('primary', 'wrong', 'NOAUTH')],
)
def test_refused_session(database: str, key: str, code: str) -> None:
    """A caller must get the reason before the connection closes."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        answer = await caller.start(database, key)
        assert answer[0].startswith(f'ERROR {code} ')
        assert len(answer) == 1

    run_steps(1, steps)


def test_revoked_key_stops_a_connected_caller() -> None:
    """A new configuration must apply to open sessions too."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        site.configure(2, keys=())
        answer = await site.retry(
            lambda: caller.query('READ 1'), 'ERROR NOAUTH'
        )
        assert answer[-1] == 'READY I -'

    run_steps(1, steps)


def test_injected_statement_closes_the_session() -> None:
    """A line break in a statement must not start a second statement."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        assert not await caller.query('WRITE 1 a\nQUERY x WRITE 2 b')
        assert not site.service.log['runs']

    run_steps(1, steps)


def test_draining_primary_is_replaced() -> None:
    """A session of another host must continue at the new primary."""

    async def steps(site: Site) -> None:
        caller = await site.connect(1)
        await caller.start('primary')
        await caller.query('WRITE 1 one')
        site.write_entry('m1', 'draining')
        await site.wait(lambda: bool(site.store.promotions))
        site.write_entry(site.service.log['primary'])
        answer = await site.retry(
            lambda: caller.query('WRITE 1 two'), 'COMPLETE'
        )
        assert answer[0] != 'COMPLETE m1'
        assert len(site.store.promotions) == 1

    run_steps(2, steps)


def test_host_serves_while_the_store_is_down() -> None:
    """An outage shorter than the leases must not stop the host."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        site.store.down = True
        await anyio.sleep(0.5)
        assert (await caller.query('WRITE 1 one'))[0] == 'COMPLETE m1'
        ready = await send_get(
            site.settings[0].ready_address, adapter.READY_PATH
        )
        assert ready.status == 200

    run_steps(1, steps)


def test_shutdown_lets_a_transaction_end() -> None:
    """A graceful shutdown must not abort an open transaction."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        await caller.query('BEGIN')
        async with anyio.create_task_group() as group:
            group.start_soon(site.hosts[0].shut_down)
            await anyio.sleep(0.3)
            ready = await send_get(
                site.settings[0].ready_address, adapter.READY_PATH
            )
            assert ready.status == 503
            await caller.query('WRITE 1 one')
            assert (await caller.query('COMMIT'))[0] == 'COMPLETE m1'

    run_steps(1, steps)


def test_log_and_metrics_name_a_refusal() -> None:
    """An operator must find the cause of a refusal by its request id."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        await caller.query('EXECUTE none 1', 'lost-request')
        lines: list[Any] = [
            json.loads(line) for line in site.log.getvalue().splitlines()
        ]
        found = [
            line for line in lines if line.get('request_id') == 'lost-request'
        ]
        assert [line['outcome'] for line in found] == ['no_statement']
        await caller.query('READ 1')
        metrics = await send_get(site.settings[0].control_address, '/metrics')
        assert b'poplarspoke_relay_statements_total' in metrics.body
        assert b'poplarspoke_control_table_age_seconds' in metrics.body
        assert b'poplarspoke_control_configuration_version 1.0' in metrics.body

    run_steps(1, steps)
