"""Statements that are under way when a host that shuts down ends."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.rig import site as rig

FOLDER = Path(__file__).resolve().parent
# A statement of 2 s on a route that allows 3 s, sent 3.5 s after the SIGTERM.
LONG_SENT_AFTER_S = 3.5
LONG_WORK_S = 2.0
LONG_TIMEOUT_MS = 3000
# A transaction of 12 statements on the site's route for browsing; the longest
# statement there takes 0.17 s.
BEGIN_AFTER_S = 3.75
STATEMENTS = 12
WORK_S = 0.15


class Attempt:
    """The requests to one host, before and after its SIGTERM."""

    def __init__(self, site: rig.Site, host: rig.Host) -> None:
        """Notes the time, which is that of the SIGTERM."""
        self.site = site
        self.host = host
        self.began_s = time.monotonic()
        self.lost: list[str] = []

    async def run_long_statement(self) -> None:
        """Sends a statement that takes longer than the host waits for."""
        caller = await self._use_session('report', 'long', LONG_SENT_AFTER_S)
        await self._send(caller, 'long-last', 'READ balance')

    async def run_transaction(self) -> None:
        """Sends short statements without pauses, until one isn't answered."""
        caller = await self._use_session('browse', 'tx', BEGIN_AFTER_S)
        if not await self._send(caller, 'tx-begin', 'BEGIN READ'):
            return
        for number in range(STATEMENTS - 1):
            if not await self._send(caller, f'tx-{number}', 'READ row'):
                return
        await self._send(caller, 'tx-commit', 'COMMIT')

    async def _use_session(
        self, database: str, name: str, until_s: float
    ) -> rig.Caller:
        """Returns a session that has been in use until a time."""
        caller = rig.Caller(self.host, self.site.log)
        if not await caller.start(database):
            raise RuntimeError('the session was refused')
        number = 0
        while time.monotonic() - self.began_s < until_s:
            number += 1
            lines = await caller.query(f'{name}{number}', 'READ item')
            if lines[-1] == 'CLOSED':
                raise RuntimeError('the session was closed before the case')
            await asyncio.sleep(0.1)
        return caller

    async def _send(self, caller: rig.Caller, name: str, text: str) -> bool:
        """Returns whether a statement was answered with success."""
        sent_s = time.monotonic()
        lines = await caller.query(f'{self.host.name}-{name}', text)
        ended_s = time.monotonic()
        if not lines[-1].startswith('READY'):
            self.lost.append(
                f'{name}, sent {sent_s - self.began_s:.2f} s after the '
                f'SIGTERM, lost {ended_s - self.began_s:.2f} s after it'
            )
        return len(lines) > 1 and lines[-2].startswith('COMPLETE')


async def stop(site: rig.Site, host: rig.Host) -> list[str]:
    """Stops a host while it is in use; returns the requests without answer."""
    if rig.has_trouble():
        site.log(f'SIGTERM for {host.name}')
        host.send_signal(signal.SIGTERM)
    attempt = Attempt(site, host)
    await asyncio.gather(
        attempt.run_long_statement(), attempt.run_transaction()
    )
    line = f'{host.name}: LOST: {"; ".join(attempt.lost) or "none"}'
    site.log(line)
    print(line)
    if rig.has_trouble():
        await asyncio.to_thread(host.process.wait, 10)
        site.start_host(host)
        while not await site.is_ready(host):
            await asyncio.sleep(0.1)
    # No disruption for longer than ``stableMs``.
    await asyncio.sleep(5)
    return attempt.lost


async def main() -> int:
    """Runs the case and returns the exit status."""
    async with rig.Site(FOLDER) as site:
        site.routes.append(
            rig.create_route('report', 'bounded', LONG_TIMEOUT_MS)
        )
        site.put_config(2)
        site.service.work_s['balance'] = LONG_WORK_S
        site.service.work_s['row'] = WORK_S
        await asyncio.sleep(5)
        lost = []
        for host in site.hosts:
            lost.extend(await stop(site, host))
        return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(rig.run_case(main))
