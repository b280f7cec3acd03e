"""Fleets, loads, statistics and result tables that the benches share."""

import contextlib
import datetime
import json
import pathlib
import platform
import statistics
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import Any, NamedTuple

import anyio

from bench import variants
from poplarspoke import codec, fleet, keys
from poplarspoke.generated.load import LoadResult
from poplarspoke.generated.members import MemberFaults
from poplarspoke.standins import ledger
from poplarspoke.standins.exchanges import HttpTransport
from poplarspoke.standins.load import LoadRoute, Plan, WorkspaceLoad, run_load

OUT_DIR = pathlib.Path(__file__).resolve().parent.parent / 'out'
SEEDS = (1, 2, 3, 4, 5)
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
START_ATTEMPTS = 3
# Time for heartbeats to reach every host.
HEARTBEAT_WAIT_S = 2.0
# A host that skipped a settings version at startup has no share of the rates
# until 16 s after the list of hosts changed; see shares.SETTINGS_SWITCH_S.
SETTINGS_SWITCH_S = 17.0
WRITE = LoadRoute('release', 1, write=True)
READ = LoadRoute('catalogue', 1, write=False)
AMPLE_RATE = 100_000.0


class Spread(NamedTuple):
    """Median, lowest and highest of several runs."""

    median: float
    lowest: float
    highest: float

    def render(self, digits: int = 1) -> str:
        """Returns ``median [lowest, highest]``."""
        return (
            f'{self.median:.{digits}f} '
            f'[{self.lowest:.{digits}f}, {self.highest:.{digits}f}]'
        )


class Table(NamedTuple):
    """Result of one benchmark.

    Attributes:
        name: Name of the benchmark, also that of the JSON file.
        setting: Conditions that hold for all rows, seeds included.
        columns: Column headings.
        rows: Cells as text, one sequence per row.
        raw: Figures of each run, for the JSON file.
    """

    name: str
    setting: str
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]
    raw: Any


class VariantFleet(fleet.Fleet):
    """Fleet whose daemons run a variant of the code."""

    def __init__(
        self,
        variant: str = variants.SHIPPED,
        hosts: int = 3,
        *,
        rate: float = AMPLE_RATE,
        burst: float = AMPLE_RATE,
    ) -> None:
        """Sets the variant, the number of daemons and the workspace's rate."""
        super().__init__(hosts, rate=rate, burst=burst)
        self._variant = variant

    async def start_host(self, name: str) -> None:
        """Starts the daemon of a host with the variant of this fleet."""
        path = self._folder / f'{name}.yaml'
        path.write_text(json.dumps(self._describe_host(name)))
        command = ['bench.variants', self._variant, 'daemon', str(path)]
        await self._start(name, command, None)


@contextlib.asynccontextmanager
async def open_fleet(
    variant: str = variants.SHIPPED,
    hosts: int = 3,
    *,
    rate: float = AMPLE_RATE,
    burst: float = AMPLE_RATE,
    settle_s: float = SETTINGS_SWITCH_S,
) -> AsyncIterator[VariantFleet]:
    """Starts a fleet, waits until it serves writes, and stops it on exit.

    Another process may bind a free port before the fleet does, so a failed
    start is retried with other ports.

    Args:
        variant: Variant of the code that the daemons run.
        hosts: Number of daemons.
        rate: Rate of the workspace, in requests a second.
        burst: Burst of the workspace, in requests.
        settle_s: Seconds to wait after the first acknowledged writes.

    Raises:
        fleet.FleetError: No attempt succeeded.
    """
    async with contextlib.AsyncExitStack() as stack:
        for attempt in range(START_ATTEMPTS):
            local = VariantFleet(variant, hosts, rate=rate, burst=burst)
            try:
                await stack.enter_async_context(local)
            except (fleet.FleetError, anyio.EndOfStream):
                if attempt + 1 == START_ATTEMPTS:
                    raise
                continue
            break
        await wait_until_served(local)
        await anyio.sleep(settle_s)
        yield local


def compute_spread(figures: Iterable[float]) -> Spread:
    """Returns median, lowest and highest of the figures of several runs."""
    found = list(figures)
    return Spread(statistics.median(found), min(found), max(found))


def create_workspace_load(
    local: fleet.Fleet,
    rate: float,
    routes: Sequence[LoadRoute],
    *,
    sessions: int = 32,
) -> WorkspaceLoad:
    """Returns the load of the workspace that a fleet starts with."""
    return WorkspaceLoad(
        fleet.WORKSPACE, local.key, rate, tuple(routes), sessions
    )


async def add_workspaces(
    local: fleet.Fleet,
    names: Sequence[str],
    routes: dict[str, Any],
) -> dict[str, str]:
    """Adds workspaces with ``AMPLE_RATE`` and returns their keys by name."""
    issued: dict[str, str] = {}
    version = 0
    for name in names:
        key = keys.create_key(f'k{name}', name, fleet.KEY_SECRET)
        issued[name] = key.key
        record = {'digest': key.record.digest, 'revoked': False}
        content = {
            'rate': AMPLE_RATE,
            'burst': AMPLE_RATE,
            'keys': {f'k{name}': record},
            'routes': routes,
        }
        version = await local.change(
            f'teams/{fleet.TEAM}/workspaces/{name}',
            content,
            who='bench',
            why='a workspace of the measurement',
        )
    await local.wait_in_force(version)
    return issued


async def set_member_faults(local: fleet.Fleet, faults: MemberFaults) -> None:
    """Sets the same faults on every member of the database."""
    for port in local.members.values():
        await local.set_faults(port, faults)


async def wait_until_served(local: fleet.Fleet) -> None:
    """Waits until a write through each host is acknowledged."""
    caller = fleet.Caller(local)
    with anyio.fail_after(READY_TIMEOUT_S):
        for number, host in enumerate(local.hosts):
            body = {'route': 'release', 'statement': f'PUT ready {number}'}
            while (await caller.send(host, body))['status'] != fleet.HTTP_OK:
                await anyio.sleep(POLL_INTERVAL_S)


async def load_fleet(local: fleet.Fleet, plan: Plan) -> LoadResult:
    """Runs the load of a plan against the hosts that the plan names."""
    addresses = {
        host: f'{fleet.LOOPBACK}:{local.hosts[host].callers}'
        for host in plan.hosts
    }
    async with HttpTransport(addresses) as transport:
        return await run_load(plan, transport)


def count_code(found: LoadResult, code: str) -> int:
    """Returns the number of requests that ended with a code."""
    for entry in found.codes:
        if entry.code == code:
            return entry.requests
    return 0


def count_unserved(found: LoadResult) -> int:
    """Returns the number of requests that were not served."""
    return found.planned - found.unsent - count_code(found, ledger.SERVED)


def format_codes(results: Iterable[LoadResult]) -> str:
    """Returns the total of each code except ``served`` over several runs."""
    total: dict[str, int] = {}
    for found in results:
        for entry in found.codes:
            total[entry.code] = total.get(entry.code, 0) + entry.requests
    total.pop(ledger.SERVED, None)
    shown = [f'{code} {count}' for code, count in sorted(total.items())]
    return ', '.join(shown) or 'none'


def format_violations(results: Iterable[LoadResult]) -> str:
    """Returns the total violations and incomplete checks of several runs."""
    found = list(results)
    broken = sum(len(entry.violations) for entry in found)
    incomplete = sum(not entry.complete for entry in found)
    return f'{broken}, {incomplete} incomplete'


def report(table: Table) -> None:
    """Prints a table as Markdown and writes it as JSON under ``out/``."""
    now = datetime.datetime.now(datetime.UTC)
    print(f'\n### {table.name}\n\n{now:%Y-%m-%d %H:%M} UTC. {table.setting}\n')
    print('| {0} |'.format(' | '.join(table.columns)))
    print('|{0}'.format('---|' * len(table.columns)))
    for row in table.rows:
        print('| {0} |'.format(' | '.join(row)))
    OUT_DIR.mkdir(exist_ok=True)
    content = {
        'measured_at': now.isoformat(),
        'python': platform.python_version(),
        **codec.to_object(table),
    }
    path = OUT_DIR / '{0}.json'.format(table.name.replace(' ', '-'))
    path.write_text(json.dumps(content, indent=1))
