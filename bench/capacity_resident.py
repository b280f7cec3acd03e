"""Prints the resident size of the interpreter, the imports and the state.

Run ``python -m bench.capacity_resident`` in a process of its own. The first
lines are the libraries and modules that a daemon imports, in order; the last
lines add the state of each module at the sizes of the target. Any argument
omits the state.
"""

import gc
import importlib
import json
import pathlib
import resource
import sys
from typing import Any

OUT_DIR = pathlib.Path('out/capacity')
PAGE_BYTES = resource.getpagesize()
LIBRARIES = (
    'json',
    'asyncio',
    'anyio',
    'anyio._backends._asyncio',
    'h11',
    'capnp',
    'xxhash',
    'cachetools',
    'itsdangerous',
    'logbook',
    'prometheus_client',
)
MODULES = (
    'poplarspoke.tasks',
    'poplarspoke.wire',
    'poplarspoke.peers',
    'poplarspoke.callers',
    'poplarspoke.store',
    'poplarspoke.logs',
    'poplarspoke.proxy',
    'poplarspoke.execution',
    'poplarspoke.membership',
    'poplarspoke.configuration',
    'poplarspoke.keys',
    'poplarspoke.rates',
    'poplarspoke.failover',
    'poplarspoke.dispatch',
    'poplarspoke.acknowledgements',
    'poplarspoke.drains',
    'poplarspoke.traces',
    'poplarspoke.metrics',
    'poplarspoke.dump',
)


def read_resident() -> int:
    """Returns the resident size of this process in bytes."""
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def main() -> None:
    """Prints a line per step: the resident size and its growth in bytes."""
    steps = [('interpreter', read_resident())]
    for name in (*LIBRARIES, *MODULES):
        importlib.import_module(name)
        steps.append((name, read_resident()))
    importlib.import_module('poplarspoke.codec').load_struct(
        importlib.import_module('poplarspoke.generated.peers').PeerFrame
    )
    steps.append(('capnp schemas', read_resident()))
    if len(sys.argv) == 1:
        target = importlib.import_module('bench.capacity_target')
        steps.append(('the bench itself', read_resident()))
        states: list[Any] = []
        for name, create in target.STATES:
            states.append(create())
            gc.collect()
            steps.append((f'state: {name}', read_resident()))
    previous = 0
    for name, size in steps:
        print(f'{name:40} {size:12} {size - previous:+12}')
        previous = size
    OUT_DIR.mkdir(parents=True, exist_ok=True)
    (OUT_DIR / 'resident.json').write_text(json.dumps(steps, indent=1))


if __name__ == '__main__':
    main()
