"""Share of reads served by replicas, with and without positions on answers.

Two fleets run the same code, but in one of them hosts ignore the positions
that answers carry. Each pair of runs has the same seed, and the order within a
pair alternates. ``primary-only`` is the first fleet on a route that tolerates
no staleness.
"""

from typing import NamedTuple

import anyio

from bench import testbed, variants
from poplarspoke import fleet
from poplarspoke.generated.load import LoadResult
from poplarspoke.generated.members import MemberFaults
from poplarspoke.standins.load import LoadRoute, Plan

LAGS_S = (0, 0.02, 0.2)
STALENESS = {'fresh': 0.2, 'catalogue': 2, 'relaxed': 10}
PRIMARY_ROUTE = 'stock'
PRIMARY_ONLY = 'primary-only'
DURATION_S = 2.0
RATE = 120.0
READ_SHARE = 4
SESSIONS = 16


class Cell(NamedTuple):
    """Combination of replication lag and route."""

    lag_s: float
    route: str


class Sample(NamedTuple):
    """Run of a variant in a cell."""

    cell: Cell
    variant: str
    seed: int
    replica_share: float
    p50_ms: float
    p99_ms: float
    found: LoadResult


async def measure() -> testbed.Table:
    """Measures every cell with every variant and seed."""
    samples: list[Sample] = []
    async with (
        testbed.open_fleet() as shipped,
        testbed.open_fleet(variants.NO_PIGGYBACK) as without_piggyback,
    ):
        for local in (shipped, without_piggyback):
            await _add_routes(local)
        for lag_s in LAGS_S:
            for either in (shipped, without_piggyback):
                faults = MemberFaults(lag_s=lag_s)
                await testbed.set_member_faults(either, faults)
            await anyio.sleep(testbed.HEARTBEAT_WAIT_S)
            for seed in testbed.SEEDS:
                found = await _measure_seed(
                    shipped, without_piggyback, lag_s, seed
                )
                samples.extend(found)
    return _tabulate(samples)


async def _add_routes(local: fleet.Fleet) -> None:
    workspace = f'teams/{fleet.TEAM}/workspaces/{fleet.WORKSPACE}'
    version = 0
    for route, max_age_s in STALENESS.items():
        version = await local.change(
            f'{workspace}/routes/{route}',
            fleet.describe_route(max_age_s=max_age_s),
            who='bench',
            why='a tolerated staleness of the measurement',
        )
    await local.wait_in_force(version)


async def _measure_seed(
    shipped: fleet.Fleet,
    without_piggyback: fleet.Fleet,
    lag_s: float,
    seed: int,
) -> list[Sample]:
    samples = []
    for route in STALENESS:
        pair = [
            (variants.SHIPPED, shipped),
            (variants.NO_PIGGYBACK, without_piggyback),
        ]
        if seed % 2:
            pair.reverse()
        for variant, local in pair:
            cell = Cell(lag_s, route)
            samples.append(await _run(local, cell, variant, seed))
    cell = Cell(lag_s, PRIMARY_ROUTE)
    samples.append(await _run(shipped, cell, PRIMARY_ONLY, seed))
    return samples


async def _run(
    local: fleet.Fleet,
    cell: Cell,
    variant: str,
    seed: int,
) -> Sample:
    routes = (
        testbed.WRITE,
        LoadRoute(cell.route, READ_SHARE, write=False),
    )
    workspace_load = testbed.create_workspace_load(
        local, RATE, routes, sessions=SESSIONS
    )
    plan = Plan(
        tenants=(workspace_load,),
        hosts=tuple(local.hosts),
        duration_s=DURATION_S,
        seed=seed,
        run=f'{cell.lag_s}-{cell.route}-{seed}',
    )
    found = await testbed.load_fleet(local, plan)
    reads = next(one for one in found.routes if one.route == cell.route)
    served = max(reads.served.requests, 1)
    return Sample(
        cell=cell,
        variant=variant,
        seed=seed,
        replica_share=reads.replica / served,
        p50_ms=reads.served.p50_ms,
        p99_ms=reads.served.p99_ms,
        found=found,
    )


def _tabulate(samples: list[Sample]) -> testbed.Table:
    rows = []
    for lag_s in LAGS_S:
        for route in (*STALENESS, PRIMARY_ROUTE):
            rows.extend(_list_rows(samples, Cell(lag_s, route)))
    return testbed.Table(
        name='replica reads',
        setting=(
            f'{RATE:.0f} requests a second, 4 reads for each write, 3 hosts, '
            f'{SESSIONS} roaming sessions, {DURATION_S:.0f} s for each run, '
            f'seeds {testbed.SEEDS}; median [lowest, highest] of the runs, '
            'ratios of the pairs.'
        ),
        columns=(
            'lag ms',
            'staleness s',
            'variant',
            'reads by replicas %',
            'ratio to no-piggyback',
            'read p50 ms',
            'read p99 ms',
            'violations',
            'not served',
        ),
        rows=rows,
        raw=[one._replace(found=_drop_seconds(one.found)) for one in samples],
    )


def _drop_seconds(found: LoadResult) -> LoadResult:
    return found._replace(seconds=())


def _list_rows(samples: list[Sample], cell: Cell) -> list[list[str]]:
    rows = []
    groups: dict[str, list[Sample]] = {}
    for sample in samples:
        if sample.cell == cell:
            groups.setdefault(sample.variant, []).append(sample)
    baseline = groups.get(variants.NO_PIGGYBACK, [])
    for variant, group in sorted(groups.items(), reverse=True):
        ratio = '-'
        if variant == variants.SHIPPED:
            ratio = _compare(group, baseline)
        results = [one.found for one in group]
        shares = [one.replica_share * 100 for one in group]
        rows.append(
            [
                f'{cell.lag_s * 1000:.0f}',
                f'{STALENESS.get(cell.route, 0)}',
                variant,
                testbed.compute_spread(shares).render(),
                ratio,
                testbed.compute_spread([one.p50_ms for one in group]).render(),
                testbed.compute_spread([one.p99_ms for one in group]).render(),
                testbed.format_violations(results),
                testbed.format_codes(results),
            ],
        )
    return rows


def _compare(group: list[Sample], baseline: list[Sample]) -> str:
    ratios = []
    for one, other in zip(group, baseline, strict=True):
        if other.replica_share:
            ratios.append(one.replica_share / other.replica_share)
    if not ratios:
        return 'none'
    return testbed.compute_spread(ratios).render(2)
