"""Runs the benchmarks: the design page's five measures and the request cost.

``python -m bench.measures [NAME ...]`` runs all benchmarks, or those named,
prints a table for each and writes JSON under ``out/``. They use real daemons
and stand-ins on loopback, and are not part of CI.
"""

import sys
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from bench import (
    failover_gap,
    replica_reads,
    request_cost,
    testbed,
    worst_served,
    wrongful,
    zone_leave,
)

Benchmark: TypeAlias = Callable[[], Awaitable[testbed.Table]]

BENCHMARKS: dict[str, Benchmark] = {
    'reads': replica_reads.measure,
    'failover': failover_gap.measure,
    'worst': worst_served.measure,
    'wrongful': wrongful.measure,
    'zone': zone_leave.measure,
    'cost': request_cost.measure,
}


def main() -> None:
    """Runs the benchmarks that the command line names, by default all."""
    for name in sys.argv[1:] or BENCHMARKS:
        if name not in BENCHMARKS:
            known = ', '.join(BENCHMARKS)
            sys.exit(f'benchmark {name!r} does not exist; use one of: {known}')
        testbed.report(anyio.run(BENCHMARKS[name]))


if __name__ == '__main__':
    main()
