"""Worst-served workspace while another one sends several times its share.

A simulation in virtual time compares the fair queue with first come, first
served at the slots of a member. End-to-end runs of the shipped policy compare
the same load with and without the greedy workspace.
"""

from typing import NamedTuple

import anyio

from bench import queues, testbed
from poplarspoke import fleet
from poplarspoke.generated.load import LoadResult
from poplarspoke.generated.members import MemberFaults
from poplarspoke.standins.load import Plan, WorkspaceLoad

MODEST = ('deli', 'bakery', 'kiosk')
# 2 slots of 20 ms give 100 statements a second, 25 for each workspace.
SLOW_S = 0.019
MODEST_RATE = 15.0
GREEDY_FACTORS = (2, 4, 8)
FAIR_SHARE = 25.0
DURATION_S = 5.0
DEADLINE_MS = 2000


class VirtualCase(NamedTuple):
    """Highest waiting times of the modest workspaces in virtual time."""

    factor: int
    seed: int
    policy: str
    worst_p99_ms: float
    worst_max_ms: float


class Sample(NamedTuple):
    """End-to-end run; with factor 0 there is no greedy workspace."""

    factor: int
    seed: int
    served_percent: float
    worst_p50_ms: float
    worst_p99_ms: float
    greedy_served: int
    found: LoadResult


async def measure() -> testbed.Table:
    """Compares the queues in virtual time, then runs end to end."""
    virtual: list[VirtualCase] = []
    for greedy in GREEDY_FACTORS:
        for number in testbed.SEEDS:
            virtual.extend(_simulate(greedy, number))
    samples: list[Sample] = []
    async with testbed.open_fleet() as local:
        routes = {
            'release': fleet.describe_route(write=True, repeat='recorded'),
            'stock': fleet.describe_route(max_age_s=0),
        }
        names = (*MODEST, queues.GREEDY)
        keys = await testbed.add_workspaces(local, names, routes)
        await testbed.set_member_faults(local, MemberFaults(slow_s=SLOW_S))
        for seed in testbed.SEEDS:
            for factor in (0, *GREEDY_FACTORS):
                samples.append(await _run(local, keys, factor, seed))
    return _tabulate(virtual, samples)


def _simulate(factor: int, seed: int) -> list[VirtualCase]:
    rates = dict.fromkeys(MODEST, queues.MODEST_RATES['deli'])
    share = queues.SLOTS / queues.SERVICE_S / (len(MODEST) + 1)
    rates[queues.GREEDY] = share * factor
    arrivals = queues.create_arrivals(rates, seed)
    cases = []
    for policy, queue in (('fair', queues.Fair()), ('fifo', queues.Fifo())):
        waits = queues.simulate(queue, arrivals)
        p99_s = max(queues.quantile(waits[name], 0.99) for name in MODEST)
        highest_s = max(waits[name][-1] for name in MODEST)
        cases.append(
            VirtualCase(factor, seed, policy, p99_s * 1000, highest_s * 1000),
        )
    return cases


async def _run(
    local: fleet.Fleet,
    keys: dict[str, str],
    factor: int,
    seed: int,
) -> Sample:
    routes = (testbed.WRITE,)
    tenants = [
        WorkspaceLoad(name, keys[name], MODEST_RATE, routes) for name in MODEST
    ]
    if factor:
        rate = FAIR_SHARE * factor
        tenants.append(
            WorkspaceLoad(
                queues.GREEDY, keys[queues.GREEDY], rate, routes, sessions=200
            ),
        )
    plan = Plan(
        tenants=tuple(tenants),
        hosts=tuple(local.hosts),
        duration_s=DURATION_S,
        seed=seed,
        run=f'f{factor}-{seed}',
        deadline_ms=DEADLINE_MS,
        repeats=0,
    )
    found = await testbed.load_fleet(local, plan)
    return _summarize(found, factor, seed)


def _summarize(found: LoadResult, factor: int, seed: int) -> Sample:
    modest = [one for one in found.routes if one.workspace in MODEST]
    greedy = [one for one in found.routes if one.workspace == queues.GREEDY]
    worst = min(
        one.served.requests / sum(code.requests for code in one.codes)
        for one in modest
    )
    return Sample(
        factor=factor,
        seed=seed,
        served_percent=worst * 100,
        worst_p50_ms=max(one.served.p50_ms for one in modest),
        worst_p99_ms=max(one.served.p99_ms for one in modest),
        greedy_served=sum(one.served.requests for one in greedy),
        found=found,
    )


def _tabulate(
    virtual: list[VirtualCase],
    samples: list[Sample],
) -> testbed.Table:
    rows = _list_virtual(virtual)
    without_greedy = [one for one in samples if one.factor == 0]
    for factor in (0, *GREEDY_FACTORS):
        group = [one for one in samples if one.factor == factor]
        ratios = [
            one.worst_p99_ms / other.worst_p99_ms
            for one, other in zip(group, without_greedy, strict=True)
        ]
        served = [one.served_percent for one in group]
        results = [one.found for one in group]
        rows.append(
            [
                'end to end',
                f'{factor}',
                'fair',
                testbed.compute_spread(
                    [one.worst_p99_ms for one in group]
                ).render(0),
                f'{testbed.compute_spread(ratios).render(2)} of factor 0',
                testbed.compute_spread(served).render(1),
                f'{testbed.format_codes(results)}; '
                f'violations {testbed.format_violations(results)}',
            ],
        )
    return testbed.Table(
        name='worst-served workspace',
        setting=(
            f'3 modest workspaces and one greedy at a multiple of its fair '
            f'share; 2 slots. Virtual time: {queues.SERVICE_S * 1000:.0f} ms '
            f'exponential service, {queues.DURATION_S:.0f} s, modest 30/s '
            f'each. End to end: writes, {SLOW_S * 1000 + 1:.0f} ms in the '
            f'slot, modest {MODEST_RATE:.0f}/s each, deadline '
            f'{DEADLINE_MS} ms, {DURATION_S:.0f} s, no rate limit; seeds '
            f'{testbed.SEEDS}.'
        ),
        columns=(
            'run',
            'greedy factor',
            'queue',
            'worst modest p99 ms',
            'ratio',
            'served of the worst modest %',
            'all codes but served',
        ),
        rows=rows,
        raw={'virtual': virtual, 'end_to_end': samples},
    )


def _list_virtual(virtual: list[VirtualCase]) -> list[list[str]]:
    rows = []
    for factor in GREEDY_FACTORS:
        pairs = {
            policy: [
                one
                for one in virtual
                if one.factor == factor and one.policy == policy
            ]
            for policy in ('fair', 'fifo')
        }
        ratios = [
            one.worst_p99_ms / other.worst_p99_ms
            for one, other in zip(pairs['fair'], pairs['fifo'], strict=True)
        ]
        for policy, group in pairs.items():
            ratio = '-'
            if policy == 'fair':
                ratio = f'{testbed.compute_spread(ratios).render(3)} of fifo'
            p99_ms = testbed.compute_spread(
                [one.worst_p99_ms for one in group]
            ).render()
            row = ['virtual time', f'{factor}', policy, p99_ms, ratio, '-', '-']
            rows.append(row)
    return rows


if __name__ == '__main__':
    testbed.report(anyio.run(measure))
