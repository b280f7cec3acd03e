"""Propagation of a settings change through fleets, in virtual time.

Run ``python -m bench.capacity_spread``. The fleets are those of
``tests/fleet.py``: a link takes 20 ms, a request to the table 50 ms, tasks
tick every 0.25 s, and the document is small. With ``--down`` the table goes
down right after the change.
"""

import json
import pathlib
import sys
from typing import Any

from poplarspoke import records
from poplarspoke.generated.platform import Commit, ReadRows
from tests.fleet import Event, Fleet, create_document

OUT_DIR = pathlib.Path('out/capacity')
SIZES = ((3, 3), (3, 8), (8, 6), (8, 12), (8, 25), (8, 51))
STEP_S = 0.05
LIMIT_S = 30.0


class CountingFleet(Fleet):
    """Fleet that counts requests to the table and snapshots from peers."""

    def __init__(self, zones: tuple[str, ...], hosts_per_zone: int) -> None:
        """Starts all hosts; the counts start at 0."""
        self.counts = {'head': 0, 'document': 0, 'commit': 0, 'snapshot': 0}
        super().__init__(zones, hosts_per_zone)

    def post(self, delay_s: float, host: str, task: str, sent: Any) -> None:
        """Counts snapshots and delivers the message."""
        self.counts['snapshot'] += type(sent).__name__ == 'SettingsSnapshot'
        super().post(delay_s, host, task, sent)

    def _query_store(self, request: Any, event: Event) -> None:
        if isinstance(request, ReadRows):
            whole = records.DOCUMENT_KEY in request.keys
            self.counts['document' if whole else 'head'] += 1
        if isinstance(request, Commit):
            self.counts['commit'] += 1
        super()._query_store(request, event)


def run(zones: int, hosts_per_zone: int, *, down: bool) -> dict[str, Any]:
    """Returns the time until a change is in force, and the request counts.

    Args:
        zones: Number of zones.
        hosts_per_zone: Number of hosts in each zone.
        down: Whether the table goes down right after the change.
    """
    names = tuple(f'z{index}' for index in range(zones))
    fleet = CountingFleet(names, hosts_per_zone)
    fleet.run(1)
    fleet.submit('z0h0', 'first', '', create_document(names))
    fleet.run(3)
    before = dict(fleet.counts)
    fleet.revoke('z0h0', 'k1', 'second')
    while len(fleet.accepted_at_s) < 2:
        fleet.run(STEP_S)
    accepted_at_s = fleet.accepted_at_s[2]
    # The committing host gets its answer; no other host reads the table yet.
    fleet.run(STEP_S * 2)
    fleet.store_down = down
    hosts = list(fleet.zone_of)
    while any(fleet.version(host) < 2 for host in hosts):
        fleet.run(STEP_S)
        if fleet.now_s > accepted_at_s + LIMIT_S:
            break
    late = sum(fleet.version(host) < 2 for host in hosts)
    counts = {name: fleet.counts[name] - before[name] for name in before}
    return {
        'hosts': len(hosts),
        'seconds': fleet.now_s - accepted_at_s,
        'late': late,
        **counts,
    }


def main() -> None:
    """Prints a line per size and writes them under ``out/capacity/``."""
    OUT_DIR.mkdir(parents=True, exist_ok=True)
    down = '--down' in sys.argv
    found = []
    for zones, hosts_per_zone in SIZES:
        found.append(run(zones, hosts_per_zone, down=down))
        print(found[-1], flush=True)
    name = 'spread-down' if down else 'spread'
    (OUT_DIR / f'{name}.json').write_text(json.dumps(found, indent=1))


if __name__ == '__main__':
    main()
