"""Cost of one request in the daemon compared with a pass-through proxy.

Both run as separate processes under the same plan, one after the other. The
processor time of a daemon is that during the load minus its idle use in the
same fleet, which comes from heartbeats, leases and status polls.
"""

import sys
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import NamedTuple

import anyio
import psutil

from bench import testbed, variants
from poplarspoke import fleet, web
from poplarspoke.generated.load import LoadResult
from poplarspoke.generated.members import MemberStatus
from poplarspoke.standins import ledger
from poplarspoke.standins.exchanges import HttpTransport
from poplarspoke.standins.load import LoadRoute, Plan, WorkspaceLoad, run_load

RATE = 80.0
DURATION_S = 2.5
IDLE_S = 4.0
# A member accepts 5 connections: one of the daemon's pool and one per session.
SESSIONS = 4
PASS_THROUGH = 'pass-through'
ONE_HOST = 'daemon that owns the endpoint'
SCOPED_HOST = 'the same, a cancel scope for each message'
THREE_HOSTS = 'three daemons, any of them asked'
KINDS: dict[str, LoadRoute] = {
    'read on a replica': testbed.READ,
    'read on the primary': LoadRoute('stock', 1, write=False),
    'write': testbed.WRITE,
}


class Target(NamedTuple):
    """System that serves the load.

    Attributes:
        variant: Its name in the table.
        addresses: Addresses for callers by host.
        processes: Processes whose processor time is measured.
        key: Key of the workspace.
        idle_cores: Processor seconds of the processes per idle second.
    """

    variant: str
    addresses: dict[str, str]
    processes: tuple[psutil.Process, ...]
    key: str
    idle_cores: float


class Sample(NamedTuple):
    """Run of a kind of request against a target."""

    kind: str
    variant: str
    seed: int
    cpu_ms: float
    p50_ms: float
    p99_ms: float
    found: LoadResult


async def measure() -> testbed.Table:
    """Measures each kind of request on each target with each seed."""
    samples: list[Sample] = []
    async with AsyncExitStack() as stack:
        targets = await _open_targets(stack)
        for seed in testbed.SEEDS:
            for kind in KINDS:
                for target in targets:
                    samples.append(await _run(target, kind, seed))
        idle = {one.variant: one.idle_cores for one in targets}
    return _tabulate(samples, idle)


async def _open_targets(stack: AsyncExitStack) -> list[Target]:
    pass_through = await stack.enter_async_context(testbed.open_fleet(hosts=1))
    one = await stack.enter_async_context(testbed.open_fleet(hosts=1))
    scoped = await stack.enter_async_context(
        testbed.open_fleet(variants.SCOPE_PER_MESSAGE, hosts=1),
    )
    three = await stack.enter_async_context(testbed.open_fleet(hosts=3))
    return [
        await _open_pass_through(stack, pass_through),
        await _describe(ONE_HOST, one),
        await _describe(SCOPED_HOST, scoped),
        await _describe(THREE_HOSTS, three),
    ]


async def _open_pass_through(
    stack: AsyncExitStack, local: fleet.Fleet
) -> Target:
    primary = await local.find_primary()
    port = fleet.find_ports(1)[0]
    command = [
        sys.executable,
        '-m',
        'bench.passthrough',
        str(port),
        f'{fleet.LOOPBACK}:{local.members[primary]}',
        str(await _read_term(local, primary)),
    ]
    process = await anyio.open_process(command, stdin=None, stderr=None)
    stack.push_async_callback(process.aclose)
    stack.callback(process.terminate)
    if process.stdout is not None:
        await process.stdout.receive()
    return Target(
        variant=PASS_THROUGH,
        addresses={'plain': f'{fleet.LOOPBACK}:{port}'},
        processes=(psutil.Process(process.pid),),
        key=local.key,
        idle_cores=0,
    )


async def _read_term(local: fleet.Fleet, primary: str) -> int:
    address = f'{fleet.LOOPBACK}:{local.members[primary]}'
    request = web.Request('GET', '/status')
    async with await web.connect(address) as connection:
        response = await connection.send(request, timeout_s=1)
    status = web.read_json(MemberStatus, response.body)
    return status.adopted_term


async def _describe(variant: str, local: fleet.Fleet) -> Target:
    ports = {str(entry.callers) for entry in local.hosts.values()}
    addresses = {
        name: f'{fleet.LOOPBACK}:{entry.callers}'
        for name, entry in local.hosts.items()
    }
    processes = tuple(
        process
        for process in psutil.Process().children()
        if _is_listening(process, ports)
    )
    started_s = _sum_cpu(processes)
    await anyio.sleep(IDLE_S)
    idle_cores = (_sum_cpu(processes) - started_s) / IDLE_S
    return Target(variant, addresses, processes, local.key, idle_cores)


def _is_listening(process: psutil.Process, ports: set[str]) -> bool:
    return any(
        str(entry.laddr.port) in ports
        for entry in process.net_connections()
        if entry.status == psutil.CONN_LISTEN
    )


def _sum_cpu(processes: Iterable[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return float(sum(one.user + one.system for one in times))


async def _run(target: Target, kind: str, seed: int) -> Sample:
    tenant = WorkspaceLoad(
        fleet.WORKSPACE,
        target.key,
        RATE,
        (KINDS[kind],),
        SESSIONS,
    )
    plan = Plan(
        tenants=(tenant,),
        hosts=tuple(target.addresses),
        duration_s=DURATION_S,
        seed=seed,
        run=f'{kind}-{seed}'.replace(' ', '-'),
    )
    before_s, started_s = _sum_cpu(target.processes), time.monotonic()
    async with HttpTransport(target.addresses) as transport:
        found = await run_load(plan, transport)
    spent_s = _sum_cpu(target.processes) - before_s
    spent_s -= target.idle_cores * (time.monotonic() - started_s)
    served = found.routes[0].served
    # At the end of a load, each session reads the effects with one scan.
    requests = testbed.count_code(found, ledger.SERVED) + SESSIONS
    return Sample(
        kind=kind,
        variant=target.variant,
        seed=seed,
        cpu_ms=spent_s * 1000 / requests,
        p50_ms=served.p50_ms,
        p99_ms=served.p99_ms,
        found=found,
    )


def _tabulate(samples: list[Sample], idle: dict[str, float]) -> testbed.Table:
    rows = []
    for kind in KINDS:
        pass_through = _select(samples, kind, PASS_THROUGH)
        for variant in idle:
            group = _select(samples, kind, variant)
            pairs = list(zip(group, pass_through, strict=True))
            added = [one.p50_ms - other.p50_ms for one, other in pairs]
            ratios = [one.cpu_ms / other.cpu_ms for one, other in pairs]
            costs = [one.cpu_ms for one in group]
            results = [one.found for one in group]
            rows.append(
                [
                    kind,
                    variant,
                    testbed.compute_spread(costs).render(2),
                    testbed.compute_spread(
                        1000 / cost for cost in costs
                    ).render(0),
                    testbed.compute_spread(ratios).render(1),
                    testbed.compute_spread(
                        [one.p50_ms for one in group]
                    ).render(),
                    testbed.compute_spread(added).render(),
                    f'{idle[variant]:.3f}',
                    f'{testbed.format_codes(results)}; '
                    f'violations {testbed.format_violations(results)}',
                ],
            )
    return testbed.Table(
        name='cost of one request',
        setting=(
            f'{RATE:.0f} requests a second, {SESSIONS} sessions, '
            f'{DURATION_S} s for each run, seeds {testbed.SEEDS}; the '
            'pass-through asks the primary and confirms nothing.'
        ),
        columns=(
            'request',
            'variant',
            'cpu ms',
            'requests a core-second',
            'cpu ratio to pass-through',
            'p50 ms',
            'added p50 ms',
            'idle cores',
            'all codes but served',
        ),
        rows=rows,
        raw=[
            one._replace(found=one.found._replace(seconds=()))
            for one in samples
        ],
    )


def _select(samples: list[Sample], kind: str, variant: str) -> list[Sample]:
    return [
        one for one in samples if one.kind == kind and one.variant == variant
    ]
