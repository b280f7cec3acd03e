"""Requests served in each second while a zone goes out of service and back."""

import statistics
from typing import NamedTuple

import anyio

from bench import testbed
from poplarspoke import fleet
from poplarspoke.generated.load import LoadResult
from poplarspoke.standins.load import Plan

RATE = 60.0
DURATION_S = 20.0
LEAVE_AT_S = 4.0
RETURN_AT_S = 11.0
CONCURRENT_FLEETS = 2
ZONE_OF_PRIMARY = 'zone of the primary'
ZONE_OF_REPLICA = 'zone of a replica'


class Sample(NamedTuple):
    """Run in which a zone is out of service for some seconds.

    The zone leaves service at ``LEAVE_AT_S`` and returns at ``RETURN_AT_S``.
    """

    zone_kind: str
    seed: int
    zone: str
    found: LoadResult


async def measure() -> testbed.Table:
    """Measures both kinds of zone with each seed, each in a new fleet."""
    samples: list[Sample] = []
    limiter = anyio.CapacityLimiter(CONCURRENT_FLEETS)
    async with anyio.create_task_group() as group:
        for zone_kind in (ZONE_OF_PRIMARY, ZONE_OF_REPLICA):
            for seed in testbed.SEEDS:
                group.start_soon(
                    _measure_one, zone_kind, seed, limiter, samples
                )
    return _tabulate(samples)


async def _measure_one(
    zone_kind: str,
    seed: int,
    limiter: anyio.CapacityLimiter,
    samples: list[Sample],
) -> None:
    async with limiter, testbed.open_fleet() as local:
        zones = dict(zip(local.members, fleet.ZONES, strict=True))
        zone = zones.pop(await local.find_primary())
        if zone_kind == ZONE_OF_REPLICA:
            zone = next(iter(zones.values()))
        async with anyio.create_task_group() as group:
            group.start_soon(_leave_and_return, local, zone)
            found = await testbed.load_fleet(local, _create_plan(local, seed))
        samples.append(Sample(zone_kind, seed, zone, found))


def _create_plan(local: fleet.Fleet, seed: int) -> Plan:
    workspace_load = testbed.create_workspace_load(
        local,
        RATE,
        (testbed.READ._replace(share=4), testbed.WRITE),
        sessions=48,
    )
    return Plan(
        tenants=(workspace_load,),
        hosts=tuple(local.hosts),
        duration_s=DURATION_S,
        seed=seed,
        run='zone',
    )


async def _leave_and_return(local: fleet.Fleet, zone: str) -> None:
    path = f'zones/{zone}'
    await anyio.sleep(LEAVE_AT_S)
    why = 'the zone leaves for the measurement'
    await local.change(path, {'in_service': False}, who='bench', why=why)
    await anyio.sleep(RETURN_AT_S - LEAVE_AT_S)
    why = 'the zone returns'
    await local.change(path, {'in_service': True}, who='bench', why=why)


def _tabulate(samples: list[Sample]) -> testbed.Table:
    rows = []
    for zone_kind in (ZONE_OF_PRIMARY, ZONE_OF_REPLICA):
        group = [one for one in samples if one.zone_kind == zone_kind]
        rows += _list_seconds(zone_kind, group)
        results = [one.found for one in group]
        total = sum(testbed.count_unserved(one) for one in results)
        rows.append(
            [
                f'{zone_kind}, whole run',
                'all',
                str(sum(one.planned for one in results)),
                f'{total}: {testbed.format_codes(results)}',
                '',
                f'violations {testbed.format_violations(results)}',
            ],
        )
    return testbed.Table(
        name='zone leaves and returns',
        setting=(
            f'The zone leaves at {LEAVE_AT_S:.0f} s and returns at '
            f'{RETURN_AT_S:.0f} s; {RATE:.0f} requests a second, 4 reads for '
            f'each write, 3 hosts, seeds {testbed.SEEDS}, '
            f'{CONCURRENT_FLEETS} fleets at a time. Sums over the runs of each '
            'second.'
        ),
        columns=(
            'zone',
            'second',
            'served',
            'not served',
            'by replicas',
            'median of the p99 ms',
        ),
        rows=rows,
        raw=samples,
    )


def _list_seconds(zone_kind: str, group: list[Sample]) -> list[list[str]]:
    rows = []
    for number in range(int(DURATION_S)):
        seconds = [
            second
            for one in group
            for second in one.found.seconds
            if second.second == number
        ]
        rows.append(
            [
                zone_kind,
                str(number),
                str(sum(second.served for second in seconds)),
                str(sum(second.refused for second in seconds)),
                str(sum(second.replica for second in seconds)),
                f'{statistics.median(second.p99_ms for second in seconds):.0f}',
            ],
        )
    return rows
