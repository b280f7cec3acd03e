"""A primary crashes after the only replica with its last commits has left."""

import asyncio
import contextlib
import itertools
import sys
import time
from pathlib import Path

from review.rig import site as rig
from review.rig.members import Member

FOLDER = Path(__file__).resolve().parent
# Times in seconds after the replica has reported that it drains.
DEAF_AT_S = 5.5
DEAF_S = 6.5
LEFT_AT_S = 8.0
REPLACED_AT_S = 13.0
CRASH_AT_S = 8.3
DOWN_S = 7.0
END_S = 24.0
PAUSE_S = 0.05
NUMBERS = itertools.count(1)


async def write(site: rig.Site, acknowledged: list[str]) -> None:
    """Writes one item after the other; records what is acknowledged."""
    while True:
        caller = rig.Caller(
            site.hosts[next(NUMBERS) % len(site.hosts)], site.log
        )
        with contextlib.suppress(OSError, TimeoutError):
            usable = await caller.start('till')
            while usable:
                number = next(NUMBERS)
                request = f'w-{number}'
                lines = await caller.query(
                    request, f'WRITE refill{number} paid'
                )
                if lines[0].startswith('COMPLETE'):
                    acknowledged.append(request)
                usable = lines[-1].startswith('READY')
                await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PAUSE_S)


async def cause_trouble(site: rig.Site, began_s: float) -> None:
    """Lets one replica leave and the other fall behind, then a crash."""
    primary, leaving, behind = site.service.members[:3]

    async def wait_for(at_s: float) -> None:
        await asyncio.sleep(max(began_s + at_s - time.monotonic(), 0))

    site.log(f'{leaving.name} reports that it drains')
    leaving.state = 'draining'
    leaving.report()
    await wait_for(DEAF_AT_S)
    site.log(f'{behind.name} receives nothing from now on')
    behind.is_deaf = True
    await wait_for(LEFT_AT_S)
    site.log(f'{leaving.name} ends, {leaving.format_position()}')
    leaving.leave()
    await wait_for(CRASH_AT_S)
    site.log(f'{primary.name} crashes, {primary.format_position()}')
    primary.crash()
    await wait_for(DEAF_AT_S + DEAF_S)
    behind.is_deaf = False
    site.log(f'{behind.name} receives again')
    await wait_for(REPLACED_AT_S)
    successor = Member(site.service, 'm4', leaving.zone)
    successor.port = leaving.port
    successor.log = list(leaving.log)
    successor.term = leaving.term
    await successor.start()
    site.service.members.append(successor)
    site.log(
        f'{successor.name} starts at the address of {leaving.name} with its '
        f'log, {successor.format_position()}'
    )
    await wait_for(CRASH_AT_S + DOWN_S)
    await primary.start()
    site.log(f'{primary.name} is back with its log, as a {primary.role}')


async def main() -> int:
    """Runs the case and returns the exit status."""
    site = rig.Site(FOLDER)
    site.service.sync_replicas = 1
    async with site:
        acknowledged: list[str] = []
        began_s = time.monotonic()
        trouble = None
        if rig.has_trouble():
            trouble = asyncio.create_task(cause_trouble(site, began_s))
        writers = [
            asyncio.create_task(write(site, acknowledged)) for _ in range(3)
        ]
        await asyncio.sleep(max(began_s + END_S - time.monotonic(), 0))
        for writer in writers:
            writer.cancel()
        await asyncio.gather(*writers, return_exceptions=True)
        if trouble is not None:
            await trouble
        leader = site.service.leader
        if leader is None or len(acknowledged) < 50:
            return 2
        kept = {commit.request for commit in leader.log}
        lost = [request for request in acknowledged if request not in kept]
        site.log(
            f'the primary is {leader.name}; {len(acknowledged)} writes were '
            f'acknowledged, {len(lost)} of them are not in its log'
        )
        for request in lost:
            site.log(f'LOST: {request}')
        print(f'{len(lost)} of {len(acknowledged)} acknowledged writes lost')
        return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(rig.run_case(main))
