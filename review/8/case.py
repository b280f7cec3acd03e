"""A statement that is under way when a host that shuts down ends."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.rig import site as rig

FOLDER = Path(__file__).resolve().parent
GRACE_S = 6.0
# Sent this long after the SIGTERM; the member works this long on it.
SENT_AFTER_S = 3.5
WORK_S = 2.0
TIMEOUT_MS = 3000
ATTEMPTS = 3


async def run_attempt(site: rig.Site, host: rig.Host) -> str:
    """Uses one session until and after a SIGTERM; returns what broke."""
    caller = rig.Caller(host, site.log)
    if not await caller.start('report'):
        return 'not started'
    began_s = time.monotonic()
    if rig.has_trouble():
        site.log(f'SIGTERM for {host.name}')
        host.send_signal(signal.SIGTERM)
    number = 0
    # A session in use stays with its host until the process is gone.
    while time.monotonic() - began_s < SENT_AFTER_S:
        number += 1
        lines = await caller.query(f'{host.name}-{number}', 'READ item')
        if lines[-1] == 'CLOSED':
            return 'closed too early for the case'
        await asyncio.sleep(0.1)
    sent_s = time.monotonic()
    lines = await caller.query(f'{host.name}-last', 'READ balance')
    ended_s = time.monotonic()
    site.log(
        f'{host.name}: sent {sent_s - began_s:.3f} s after the SIGTERM, '
        f'ended {ended_s - began_s:.3f} s after it: {lines[-1]}'
    )
    if not lines[-1].startswith('READY'):
        return (
            f'LOST: no answer; the connection ended {ended_s - sent_s:.3f} s '
            f'after the request, {ended_s - began_s:.3f} s after the SIGTERM'
        )
    return ''


async def main() -> int:
    """Runs the case and returns the exit status."""
    async with rig.Site(FOLDER) as site:
        site.routes.append(rig.create_route('report', 'bounded', TIMEOUT_MS))
        site.put_config(2)
        site.service.work_s['balance'] = WORK_S
        # No disruption for longer than ``stableMs``.
        await asyncio.sleep(5)
        broken = []
        for host in site.hosts[:ATTEMPTS]:
            result = await run_attempt(site, host)
            site.log(f'{host.name}: {result or "answered"}')
            print(f'{host.name}: {result or "answered"}')
            if result and not result.startswith('LOST'):
                return 2
            if result:
                broken.append(result)
            if host.process is not None and rig.has_trouble():
                await asyncio.to_thread(host.process.wait, 10)
                site.start_host(host)
                for _ in range(100):
                    if await site.is_ready(host):
                        break
                    await asyncio.sleep(0.1)
                await asyncio.sleep(5)
        return 1 if broken else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(main()))
    except RuntimeError as exc:
        print(exc)
        sys.exit(2)
