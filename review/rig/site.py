"""A small deployment on loopback: host processes, store, service, callers."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

from review.rig.members import Service
from review.rig.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK = '127.0.0.1'
ZONES = ('z-a', 'z-b', 'z-c')
REGION = 'r-1'
KEY = 'key-blue'
PORTS = (20_000, 32_000)
# Limit on the time of a case, and the status if it couldn't run.
LIMIT_S = 115
COULD_NOT_RUN = 2
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'stableMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4,
    'drainMs': 7000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'revertSlackMs': 250,
    'outerMs': 12000,
    'revokeStrict': False,
    'revokeMs': 5000,
    'quotaWindowS': 5,
    'quotaOver': 0.1,
    'quotaSlack': 20,
    'coldOver': 1.5,
    'coldSlack': 5,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'fencingRequired': False,
    'thawMs': 300,
}


class Record:
    """Lines with the time since the start, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        """Starts an empty record."""
        self._file = path.open('w', encoding='utf-8')
        self.started_s = time.monotonic()

    def __call__(self, line: str) -> None:
        """Writes a line."""
        now_s = time.monotonic() - self.started_s
        self._file.write(f'{now_s:8.3f} {line}\n')

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Caller:
    """A caller's session with a host."""

    def __init__(self, host: 'Host', log: Record) -> None:
        """Creates a session that is not connected."""
        self.host = host
        self._log = log

    async def start(self, database: str, key: str = KEY) -> bool:
        """Connects; returns whether the host accepts the session."""
        self._reader, self.writer = await asyncio.open_connection(
            LOOPBACK, self.host.front, limit=1 << 23
        )
        self.writer.write(f'START {database} {key}\r\n'.encode())
        line = await asyncio.wait_for(self._read_line(), 3)
        return line.startswith('READY')

    async def query(
        self, request: str, text: str, timeout_s: float = 8
    ) -> list[str]:
        """Sends a statement and returns the lines of its answer.

        The last line is ``CLOSED`` if the connection ended before.
        """
        shown = text[:60]
        self._log(f'caller -> {self.host.name}: {request} {shown}')
        lines: list[str] = []
        try:
            self.writer.write(f'QUERY {request} {text}\r\n'.encode())
            async with asyncio.timeout(timeout_s):
                while not lines or not lines[-1].startswith('READY'):
                    lines.append(await self._read_line())
        except TimeoutError:
            lines.append('NO ANSWER')
        except (OSError, asyncio.IncompleteReadError):
            lines.append('CLOSED')
        shown = ' | '.join(line[:60] for line in lines)
        self._log(f'{self.host.name} -> caller: {request} {shown}')
        return lines

    async def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    async def _read_line(self) -> str:
        line = await self._reader.readuntil(b'\r\n')
        return line.decode('latin-1')[:-2]


class Host:
    """One host process."""

    def __init__(self, name: str, zone: str, ports: list[int]) -> None:
        """Stores the name, the zone and four free ports."""
        self.name = name
        self.zone = zone
        self.front, self.ready, self.control, self.internal = ports
        self.process: subprocess.Popen | None = None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Site:
    """A deployment; an async context manager that ends what it started.

    Attributes:
        log: The record.
        service: The members.
        store: The metadata store.
        hosts: The host processes.
    """

    def __init__(
        self, folder: Path, *, host_zones: tuple[str, ...] = ZONES
    ) -> None:
        """Creates a deployment that does not run.

        Args:
            folder: Folder of the record.
            host_zones: Zone of each host.
        """
        self.log = Record(folder / 'record.txt')
        self.service = Service('ledger-db', ZONES, self.log)
        self.store = Store(self.service.promote, self.log)
        self.service.store = self.store
        ports = find_free_ports(len(host_zones) * 4)
        self.hosts = [
            Host(f'h{number + 1}', zone, ports[number * 4 : number * 4 + 4])
            for number, zone in enumerate(host_zones)
        ]
        self.routes = [
            create_route('till', 'primary', 800),
            create_route('browse', 'bounded', 1500),
            create_route('transfer', 'read_own', 800),
        ]
        self.max_connections = 26
        self._temporary = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> 'Site':
        """Starts store, members and hosts; returns when all are ready."""
        await self.store.__aenter__()
        self.put_config(1)
        await self.service.__aenter__()
        for host in self.hosts:
            self.start_host(host)
        try:
            await self._wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Ends all processes and closes all sockets."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        await self.service.__aexit__()
        await self.store.__aexit__()
        self._temporary.cleanup()
        self.log.close()

    def put_config(self, version: int) -> None:
        """Writes the configuration on behalf of the operator."""
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'routes': self.routes,
                'services': [
                    {
                        'name': self.service.name,
                        'maxConns': self.max_connections,
                        'syncReplicas': self.service.sync_replicas,
                    }
                ],
                'limits': {'txIdleMs': 5000},
                'tenants': [
                    {
                        'name': 'blue',
                        'apiKeys': [KEY],
                        'ratePerS': 500,
                        'burst': 500,
                    }
                ],
            },
        )

    def start_host(self, host: Host) -> None:
        """Starts a host with the command of the deploy file."""
        seeds = [f'{LOOPBACK}:{one.control}' for one in self.hosts[:3]]
        settings = {
            'nodeName': host.name,
            'role': 'host',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': LOOPBACK,
            'zone': host.zone,
            'region': REGION,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': {
                'front': f'{LOOPBACK}:{host.front}',
                'ready': f'{LOOPBACK}:{host.ready}',
                'control': f'{LOOPBACK}:{host.control}',
            },
            'internalPorts': [host.internal, host.internal],
            'seeds': seeds,
            'bootstrap': True,
            'lossCounts': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4200,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'sql',
                'tenants',
                'quota',
                'places',
                'platform',
            ],
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self.store.address,
                'form': 'table',
                'writesPerS': 400,
                'readsPerS': 2000,
            },
            'cloud': {
                'address': self.store.address,
                'ratePerS': 50.0,
                'duties': ['promote'],
                'dutyPerS': 50.0,
            },
        }
        # JSON is YAML, which is what the program reads.
        path = Path(self._temporary.name) / f'{host.name}.yaml'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['POPLARSPOKE_BOOT'] = str(path)
        output = Path(self._temporary.name) / f'{host.name}.log'
        with output.open('ab') as log:
            host.process = subprocess.Popen(
                [find_python(), '-m', 'poplarspoke.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def read_host_log(self, host: Host) -> str:
        """Returns what a host has written."""
        path = Path(self._temporary.name) / f'{host.name}.log'
        return path.read_text(encoding='utf-8')

    async def is_ready(self, host: Host) -> bool:
        """Returns whether a host answers the readiness probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, host.ready)
            writer.write(b'GET /readiness HTTP/1.1\r\nhost: h\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def _wait_until_ready(self) -> None:
        for _ in range(300):
            await asyncio.sleep(0.1)
            ready = [await self.is_ready(host) for host in self.hosts]
            record = self.store.read('poplarspoke', 'duty')
            if all(ready) and record and record.get('holder'):
                self.log('all hosts are ready')
                # Leases follow the registration within moments.
                await asyncio.sleep(2)
                return
        raise RuntimeError('the hosts did not become ready')


def run_case(main: Callable[[], Coroutine[None, None, int]]) -> int:
    """Runs a case; returns its exit status, 2 if it couldn't run."""
    try:
        return asyncio.run(asyncio.wait_for(main(), LIMIT_S))
    except Exception as exc:
        print(f'the case could not run: {type(exc).__name__}: {exc}')
        return COULD_NOT_RUN


def create_route(database: str, kind: str, timeout_ms: int) -> dict:
    """Returns a route of the configuration."""
    return {
        'host': database,
        'service': 'ledger-db',
        'routeType': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 400 if kind == 'bounded' else 200,
        'maxStalenessMs': {'primary': 0, 'bounded': 1500}.get(kind, 2500),
        'priority': 1 if kind == 'primary' else 2,
    }


def find_python() -> str:
    """Returns the interpreter that the deploy file's command names."""
    return os.environ.get('REVIEW_PYTHON') or sys.executable


def find_free_ports(count: int) -> list[int]:
    """Returns free ports below those of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    try:
        with socket.create_server((LOOPBACK, port)):
            return True
    except OSError:
        return False


def has_trouble() -> bool:
    """Returns whether the disruption is to be caused."""
    return os.environ.get('TROUBLE', '1') != '0'
