"""Measures the five measures of the design page and the cost of a request.

``python -m bench.measures [NAME ...]`` runs all, or the named ones, and
writes a table to standard output and JSON under ``out/``. Real daemons and
stand-ins on loopback; not part of CI.
"""

import sys
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from bench import (
    failover_gap,
    replica_reads,
    request_cost,
    stage,
    worst_served,
    wrongful,
    zone_leave,
)

Measure: TypeAlias = Callable[[], Awaitable[stage.Table]]

MEASURES: dict[str, Measure] = {
    'reads': replica_reads.measure,
    'failover': failover_gap.measure,
    'worst': worst_served.measure,
    'wrongful': wrongful.measure,
    'zone': zone_leave.measure,
    'cost': request_cost.measure,
}


def main() -> None:
    """Runs the measurements that the command line names, by default all."""
    for name in sys.argv[1:] or MEASURES:
        if name not in MEASURES:
            known = ', '.join(MEASURES)
            sys.exit(f'measure {name!r} does not exist; use one of: {known}')
        stage.report(anyio.run(MEASURES[name]))


if __name__ == '__main__':
    main()
