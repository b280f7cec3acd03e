"""Time from a fault of the primary to the first acknowledged write.

A prober sends a write with a new request id every 20 ms, to each host in turn.
The writes overlap, so that one that waits for its deadline does not hide the
end of the gap.
"""

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import anyio

from bench import testbed
from poplarspoke import fleet, web
from poplarspoke.generated.members import MemberFaults
from poplarspoke.generated.platform import PlatformFaults

PROBE_INTERVAL_S = 0.02
PROBE_DEADLINE_MS = 4000
GAP_LIMIT_S = 30.0
OUTAGE_BEFORE_KILL_S = 1.0
CONCURRENT_FLEETS = 3


class Gap(NamedTuple):
    """Result of one fault of a primary.

    Attributes:
        fault: Name of the fault.
        gap_s: Seconds from the fault until a write sent after it was
            acknowledged; -1 if none was within ``GAP_LIMIT_S``.
        changed: Whether another member is the primary afterwards.
        probes: Number of writes sent.
    """

    fault: str
    gap_s: float
    changed: bool
    probes: int


Inject: TypeAlias = Callable[[fleet.Fleet, str], Awaitable[None]]


async def kill(local: fleet.Fleet, primary: str) -> None:
    """Kills the primary's process."""
    await local.kill(primary)


async def freeze(local: fleet.Fleet, primary: str) -> None:
    """Makes the primary unresponsive while its sockets stay open."""
    port = local.members[primary]
    await local.set_faults(port, MemberFaults(frozen=True))


async def isolate_from_members(local: fleet.Fleet, primary: str) -> None:
    """Partitions the primary from the other members, not from the daemons."""
    others = tuple(name for name in local.members if name != primary)
    port = local.members[primary]
    await local.set_faults(port, MemberFaults(cut_off=others))


async def mute_connections(local: fleet.Fleet, primary: str) -> None:
    """Makes open connections to the primary unresponsive; new ones work."""
    port = local.members[primary]
    await local.set_faults(port, MemberFaults(silent=True))


async def kill_without_platform(local: fleet.Fleet, primary: str) -> None:
    """Kills the primary while the platform is down."""
    await local.set_faults(local.platform, PlatformFaults(down=True))
    await anyio.sleep(OUTAGE_BEFORE_KILL_S)
    await local.kill(primary)


FAULTS: dict[str, Inject] = {
    'killed': kill,
    'frozen': freeze,
    'cut off from the members': isolate_from_members,
    'connections silent': mute_connections,
    'killed, platform down': kill_without_platform,
}


async def measure() -> testbed.Table:
    """Measures each fault and run in a new fleet, a few fleets at a time."""
    found: list[Gap] = []
    limiter = anyio.CapacityLimiter(CONCURRENT_FLEETS)
    async with anyio.create_task_group() as group:
        for fault in FAULTS:
            for _ in testbed.SEEDS:
                group.start_soon(_measure_one, fault, limiter, found)
    return _tabulate(found)


async def _measure_one(
    fault: str,
    limiter: anyio.CapacityLimiter,
    found: list[Gap],
) -> None:
    async with (
        limiter,
        testbed.open_fleet(settle_s=testbed.HEARTBEAT_WAIT_S) as local,
    ):
        primary = await local.find_primary()
        acknowledged: list[float] = []
        probes = [0]
        async with anyio.create_task_group() as group:
            await FAULTS[fault](local, primary)
            fault_s = time.monotonic()
            group.start_soon(_probe, local, acknowledged, probes)
            with anyio.move_on_after(GAP_LIMIT_S):
                while not acknowledged:
                    await anyio.sleep(PROBE_INTERVAL_S)
            group.cancel_scope.cancel()
        gap_s = acknowledged[0] - fault_s if acknowledged else -1
        current_primary = await _find_primary(local, primary)
        changed = bool(current_primary) and current_primary != primary
        found.append(Gap(fault, gap_s, changed, probes[0]))


async def _find_primary(local: fleet.Fleet, former_primary: str) -> str:
    try:
        return await local.find_primary()
    except (web.AnswerLostError, web.NotSentError):
        # The search fails while the former primary is frozen: unfreeze it.
        await local.set_faults(local.members[former_primary], MemberFaults())
        return await local.find_primary()


async def _probe(
    local: fleet.Fleet,
    acknowledged: list[float],
    probes: list[int],
) -> None:
    hosts = list(local.hosts)
    async with anyio.create_task_group() as group:
        while True:
            probes[0] += 1
            host = hosts[probes[0] % len(hosts)]
            group.start_soon(_write, local, host, probes[0], acknowledged)
            await anyio.sleep(PROBE_INTERVAL_S)


async def _write(
    local: fleet.Fleet,
    host: str,
    number: int,
    acknowledged: list[float],
) -> None:
    body = {'route': 'release', 'statement': f'PUT probe {number}'}
    try:
        answer = await fleet.Caller(local).send(
            host,
            body,
            deadline_ms=PROBE_DEADLINE_MS,
        )
    except (web.AnswerLostError, web.NotSentError):
        return
    if answer['status'] == fleet.HTTP_OK:
        acknowledged.append(time.monotonic())


def _tabulate(found: list[Gap]) -> testbed.Table:
    rows = []
    for fault in FAULTS:
        gaps = [one for one in found if one.fault == fault]
        ended = [one.gap_s for one in gaps if one.gap_s >= 0]
        rows.append(
            [
                fault,
                str(len(gaps)),
                testbed.compute_spread(ended).render(2) if ended else 'none',
                str(sum(one.gap_s < 0 for one in gaps)),
                str(sum(one.changed for one in gaps)),
            ],
        )
    return testbed.Table(
        name='failover gap',
        setting=(
            f'A new write every {PROBE_INTERVAL_S * 1000:.0f} ms, hosts in '
            f'turn, 3 hosts; a new fleet for each run, '
            f'{CONCURRENT_FLEETS} at a time.'
        ),
        columns=(
            'fault of the primary',
            'runs',
            'gap s: median [lowest, worst]',
            f'no write within {GAP_LIMIT_S:.0f} s',
            'primary changed',
        ),
        rows=rows,
        raw=found,
    )
