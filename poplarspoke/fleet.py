"""Local fleets of processes on loopback: platform, members and daemons.

Used by the demonstration, the benchmarks and the process tests. The daemons
themselves start no processes.
"""

import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
from contextlib import AsyncExitStack, ExitStack
from typing import Any, NamedTuple, Self, TypedDict

import anyio
from anyio.abc import Process

from poplarspoke import codec, keys, web
from poplarspoke.generated.configuration import (
    ChangeSettings,
    SettingsChanged,
    SettingsShown,
)

LOOPBACK = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections.
FIRST_PORT = 18000
END_PORT = 32000
PORTS = range(FIRST_PORT, END_PORT)
ZONES = ('sfax', 'sousse', 'monastir')
DATABASE = 'label-core-1'
WORKSPACE = 'tunis-bakes'
TEAM = 'labels'
SECRETS = {
    'peer': 'demo-peer-secret-000',
    'session': 'demo-session-secret-0',
    'operator': 'demo-operator-secret',
}
KEY_SECRET = 'demoKeySecretOf32Characters00000'
KEYS_PATH = f'teams/{TEAM}/workspaces/{WORKSPACE}/keys'
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 10.0
HTTP_OK = 200
SIGKILL = signal.SIGKILL
KEY_BYTES = 16


class HostPorts(NamedTuple):
    """TCP ports of the listeners of one daemon on loopback."""

    callers: int
    operators: int
    peers: int


class Answer(TypedDict):
    """An answer to a caller, with the session token for the next request."""

    status: int
    body: dict[str, Any]
    session: str


class FleetError(Exception):
    """A process of the fleet did not start or did not answer as expected."""


class Fleet:
    """A platform, one database with three members, and several daemons.

    An async context manager that ends every process that it started.

    Attributes:
        platform: Port of the platform.
        hosts: Ports of the daemons by host name.
        members: Port of each member by endpoint name.
        key: Caller's key of the workspace.
    """

    def __init__(
        self,
        hosts: int = 3,
        *,
        rate: float = 500,
        burst: float = 100,
    ) -> None:
        """Reserves the ports; ``rate`` and ``burst`` are the workspace's."""
        names = [
            f'{ZONES[index % 3]}-{index // 3 + 1}' for index in range(hosts)
        ]
        ports = iter(find_ports(1 + 3 + 3 * hosts))
        self.platform = next(ports)
        self.members = {f'm{index}': next(ports) for index in range(1, 4)}
        self.hosts = {
            name: HostPorts(next(ports), next(ports), next(ports))
            for name in names
        }
        issued = keys.create_key('k1', WORKSPACE, KEY_SECRET)
        self.key = issued.key
        self._digest = issued.record.digest
        self._rate = rate
        self._burst = burst
        self._processes: dict[str, Process] = {}
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts every process and waits until the settings are in force."""
        await self._stack.__aenter__()
        folder = tempfile.TemporaryDirectory(prefix='poplarspoke-')
        self._folder = pathlib.Path(self._stack.enter_context(folder))
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Ends every process and waits until it has exited."""
        for name in list(self._processes):
            await self.kill(name)
        await self._stack.__aexit__(None, None, None)

    async def start_host(self, name: str) -> None:
        """Starts the daemon of a host."""
        path = self._folder / f'{name}.yaml'
        path.write_text(json.dumps(self._describe_host(name)))
        command = ['poplarspoke', 'daemon', str(path)]
        await self._start(name, command, None)

    async def kill(self, name: str, signum: signal.Signals = SIGKILL) -> int:
        """Ends a process by its id; returns its exit status."""
        process = self._processes.pop(name)
        if process.returncode is None:
            os.kill(process.pid, signal.SIGCONT)
            process.send_signal(signum)
        with anyio.CancelScope(shield=True):
            status = await process.wait()
            await process.aclose()
        return status

    async def wait(self, name: str) -> int:
        """Waits until a process exits on its own; returns its exit status."""
        process = self._processes.pop(name)
        with anyio.fail_after(START_TIMEOUT_S):
            return await process.wait()

    def list_processes(self) -> list[str]:
        """Returns the names of the running processes."""
        return list(self._processes)

    def issue_key(self, key_id: str) -> keys.IssuedKey:
        """Returns a new key of the workspace that is not in the settings."""
        return keys.create_key(key_id, WORKSPACE, os.urandom(KEY_BYTES).hex())

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Sends a signal, such as SIGSTOP, to a process."""
        self._processes[name].send_signal(signum)

    async def change(
        self, path: str, content: Any, *, who: str, why: str
    ) -> int:
        """Changes the settings through the first running daemon."""
        host = next(name for name in self.hosts if name in self._processes)
        team = path.split('/')[1] if path.count('/') > 1 else ''
        change = ChangeSettings(
            change_id=os.urandom(8).hex(),
            team=team if path.startswith('teams/') else '',
            path=path,
            content=json.dumps(content),
            who=who,
            why=why,
        )
        response = await self.send_operator_request(
            host, 'POST', '/changes', change
        )
        if response.status != HTTP_OK:
            raise FleetError(response.body.decode())
        return web.read_json(SettingsChanged, response.body).version

    async def wait_in_force(self, version: int) -> None:
        """Waits until every running daemon has the settings version."""
        for name in self.hosts:
            if name not in self._processes:
                continue
            await self._wait_for_version(name, version)

    async def send_operator_request(
        self,
        host: str,
        method: str,
        path: str,
        message: Any = None,
    ) -> web.Response:
        """Sends a request to the operators' interface of a host."""
        body = b'' if message is None else web.write_json(message)
        secret = web.Header('authorization', f'Bearer {SECRETS["operator"]}')
        request = web.Request(method, path, (secret,), body)
        address = f'{LOOPBACK}:{self.hosts[host].operators}'
        async with await web.connect(address) as connection:
            return await connection.send(request, timeout_s=REQUEST_TIMEOUT_S)

    async def set_faults(self, port: int, faults: Any) -> None:
        """Sets the faults of a stand-in by its port."""
        request = web.Request('POST', '/faults', body=web.write_json(faults))
        async with await web.connect(f'{LOOPBACK}:{port}') as connection:
            await connection.send(request, timeout_s=REQUEST_TIMEOUT_S)

    async def find_primary(self) -> str:
        """Returns the endpoint with the primary role, empty if there is none."""
        found = ''
        term = -1
        for name, port in self.members.items():
            if name not in self._processes:
                continue
            request = web.Request('GET', '/status')
            async with await web.connect(f'{LOOPBACK}:{port}') as connection:
                response = await connection.send(request, timeout_s=1)
            status = json.loads(response.body)
            if status['role'] == 'primary' and status['adopted_term'] > term:
                found, term = name, status['adopted_term']
        return found

    def _describe_host(self, name: str) -> dict[str, Any]:
        ports = self.hosts[name]
        seeds = {
            other: f'{LOOPBACK}:{self.hosts[other].peers}'
            for other in self.hosts
            if other != name
        }
        return {
            'name': name,
            'zone': name.rpartition('-')[0],
            'callers': f'{LOOPBACK}:{ports.callers}',
            'operators': f'{LOOPBACK}:{ports.operators}',
            'peers': f'{LOOPBACK}:{ports.peers}',
            'platform': f'{LOOPBACK}:{self.platform}',
            'seeds': seeds,
            'secrets': SECRETS,
        }

    def describe_settings(self) -> dict[str, Any]:
        """Returns the settings document of the fleet."""
        endpoints = {
            name: {
                'zone': zone,
                'address': f'{LOOPBACK}:{port}',
                'in_service': True,
            }
            for (name, port), zone in zip(
                self.members.items(),
                ZONES,
                strict=True,
            )
        }
        hosts = {
            name: {
                'zone': name.rpartition('-')[0],
                'address': f'{LOOPBACK}:{ports.peers}',
            }
            for name, ports in self.hosts.items()
        }
        return {
            'zones': {zone: {'in_service': True} for zone in ZONES},
            'hosts': hosts,
            'databases': {
                DATABASE: {
                    'slots': 2,
                    'connections': 5,
                    'endpoints': endpoints,
                },
            },
            'teams': {
                TEAM: {'workspaces': {WORKSPACE: self._describe_workspace()}},
            },
        }

    def _describe_workspace(self) -> dict[str, Any]:
        return {
            'rate': self._rate,
            'burst': self._burst,
            'keys': {'k1': {'digest': self._digest, 'revoked': False}},
            'routes': {
                'release': describe_route(write=True, repeat='recorded'),
                'print-once': describe_route(write=True, repeat='never'),
                'catalogue': describe_route(max_age_s=2),
                'stock': describe_route(max_age_s=0),
                'templates': describe_route(max_age_s=5, open_to_all=True),
            },
        }

    async def _start_all(self) -> None:
        platform = [
            'poplarspoke.standins.platform',
            '--port',
            str(self.platform),
        ]
        await self._start('platform', platform, 'ready')
        addresses = ','.join(
            f'{name}={LOOPBACK}:{port}' for name, port in self.members.items()
        )
        for zone, (name, port) in zip(ZONES, self.members.items(), strict=True):
            command = ['poplarspoke.standins.member', '--endpoint', name]
            command += ['--port', str(port), '--zone', zone]
            command += ['--database', DATABASE, '--members', addresses]
            await self._start(name, command, 'ready')
        for name in self.hosts:
            await self.start_host(name)
        for name in self.hosts:
            await self._wait_for_version(name, 0)
        # All settings go into one version. A host that misses a version cannot
        # tell whether the list of hosts is the first one, and then gets no
        # share of the rates for 16 s.
        version = await self.change(
            '',
            self.describe_settings(),
            who='demo',
            why='first settings of the demonstration',
        )
        await self.wait_in_force(version)

    async def _start(
        self,
        name: str,
        command: list[str],
        ready: str | None,
    ) -> None:
        log = (self._folder / f'{name}.log').open('wb')
        self._stack.callback(log.close)
        process = await anyio.open_process(
            [sys.executable, '-m', *command],
            stdin=None,
            stdout=None if ready is None else -1,
            stderr=log,
        )
        self._processes[name] = process
        if ready is None or process.stdout is None:
            return
        with anyio.fail_after(START_TIMEOUT_S):
            line = await process.stdout.receive()
        if not line.startswith(ready.encode()):
            raise FleetError(f'{name} did not start: {line!r}')

    async def _wait_for_version(self, name: str, version: int) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            while await self._read_version(name) < version:
                await anyio.sleep(POLL_INTERVAL_S)
            return
        raise FleetError(
            f'{name} has no settings version {version}: {self.read_log(name)}',
        )

    async def _read_version(self, name: str) -> int:
        try:
            response = await self.send_operator_request(
                name, 'GET', '/settings'
            )
        except (web.NotSentError, web.AnswerLostError):
            return -1
        if response.status != HTTP_OK:
            return -1
        shown = codec.parse(SettingsShown, json.loads(response.body))
        return shown.snapshot.version

    def read_log(self, name: str) -> str:
        """Returns what a process wrote to its standard error."""
        return (self._folder / f'{name}.log').read_text()


class Caller:
    """A caller with one session, which may use any host for each request.

    Attributes:
        session: Session token of the last answer.
    """

    def __init__(self, fleet: Fleet, key: str = '') -> None:
        """Stores the fleet and the key, by default the fleet's."""
        self.session = ''
        self._fleet = fleet
        self._key = key or fleet.key

    async def send(
        self,
        host: str,
        body: dict[str, Any],
        *,
        path: str = '/v1/requests',
        request_id: str = '',
        deadline_ms: int = 5000,
    ) -> Answer:
        """Sends one request and stores the session token of its answer."""
        headers = [
            web.Header('authorization', f'Bearer {self._key}'),
            web.Header('poplarspoke-workspace', WORKSPACE),
            web.Header('poplarspoke-deadline-ms', str(deadline_ms)),
            web.Header('idempotency-key', request_id or os.urandom(8).hex()),
        ]
        if self.session:
            headers.append(web.Header('poplarspoke-session', self.session))
        request = web.Request(
            'POST',
            path,
            tuple(headers),
            json.dumps(body).encode(),
        )
        address = f'{LOOPBACK}:{self._fleet.hosts[host].callers}'
        async with await web.connect(address) as connection:
            response = await connection.send(
                request,
                timeout_s=deadline_ms / 1000 + 1,
            )
        self.session = (
            response.find_header('poplarspoke-session') or self.session
        )
        return Answer(
            status=response.status,
            body=json.loads(response.body),
            session=self.session,
        )


def describe_route(
    *,
    write: bool = False,
    repeat: str = 'safe',
    max_age_s: float = 0,
    open_to_all: bool = False,
) -> dict[str, Any]:
    """Returns the settings of a route of the demonstration's database."""
    return {
        'database': DATABASE,
        'write': write,
        'repeat': repeat,
        'max_age_s': max_age_s,
        'open': open_to_all,
    }


def find_ports(count: int) -> list[int]:
    """Returns TCP ports that are free on loopback."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound in sockets:
            _bind_free(bound)
        return [int(opened.getsockname()[1]) for opened in sockets]


def _bind_free(bound: socket.socket) -> None:
    """Binds a socket to a port that outgoing connections do not use.

    Otherwise one could take the port between its choice and its use.
    """
    chance = random.SystemRandom()
    while True:
        try:
            bound.bind((LOOPBACK, chance.choice(PORTS)))
        except OSError:
            continue
        return
