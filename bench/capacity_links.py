"""Memory of idle tasks and of links between daemons.

Run ``python -m bench.capacity_links``. Both ends of a link are in the same
process, so its figure is the memory of two ends. That is also what a daemon
holds for each peer: the end of a link to the peer and of one from it.
"""

import gc
import json
import pathlib
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import anyio

from bench.capacity_measure import fit
from bench.capacity_pairs import answer_at_once, create_bus
from poplarspoke.peers import Peers
from poplarspoke.tasks import Task

OUT_DIR = pathlib.Path('out/capacity')
LINKS = (25, 50, 100)
TASKS = (63, 210, 630)
SECRET = b'secret of the bench, 32 bytes long'
LOOPBACK = ('127.0.0.1', 0)
NO_TICK_S = 3600.0
MeasureGrowth: TypeAlias = Callable[[int], Awaitable[int]]


def read_heap() -> int:
    """Returns the traced bytes after a garbage collection."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


async def measure_tasks(count: int) -> int:
    """Returns the heap growth in bytes by a number of idle tasks."""
    bus = create_bus(float)
    before = read_heap()
    async with anyio.create_task_group() as group:
        for number in range(count):
            task = Task(str(number), answer_at_once, None, tick_s=NO_TICK_S)
            bus.start(task, group)
        await anyio.sleep(0.2)
        growth = read_heap() - before
        group.cancel_scope.cancel()
    for ended in bus.tasks.values():
        ended.__exit__()
    return growth


def ignore(sender: str, message: Any) -> None:
    """Ignores a message of a peer."""


async def refuse(statement: Any) -> Any:
    """Fails: the bench forwards no statements.

    Raises:
        NotImplementedError: Always.
    """
    raise NotImplementedError('the bench forwards nothing')


def create_peers(name: str) -> Peers:
    """Returns the peer links of a daemon that listens on a free port."""
    return Peers(
        name=name,
        secret=SECRET,
        listen=LOOPBACK,
        on_message=ignore,
        on_statement=refuse,
    )


async def measure_links(count: int) -> int:
    """Returns the heap growth in bytes by a number of connected links."""
    async with create_peers('one') as server, create_peers('two') as client:
        before = read_heap()
        address = f'127.0.0.1:{server.port}'
        names = [f'peer{number}' for number in range(count)]
        client.set_addresses(dict.fromkeys(names, address))
        while not all(client.is_connected(name) for name in names):
            await anyio.sleep(0.05)
        return read_heap() - before


def measure(
    name: str, measure_growth: MeasureGrowth, counts: tuple[int, ...]
) -> dict[str, Any]:
    """Prints the heap growth for each count, and the slope."""
    tracemalloc.start()
    anyio.run(measure_growth, counts[0])
    growth = [anyio.run(measure_growth, count) for count in counts]
    tracemalloc.stop()
    slope = fit(
        [float(count) for count in counts], [float(size) for size in growth]
    )
    print(f'{name}: {counts} use {growth} bytes, {slope.slope:.0f} each')
    return {'counts': counts, 'held': growth, 'slope': slope._asdict()}


def main() -> None:
    """Measures tasks and links; writes the figures as JSON."""
    OUT_DIR.mkdir(parents=True, exist_ok=True)
    found = {
        'tasks': measure('tasks', measure_tasks, TASKS),
        'links': measure('links', measure_links, LINKS),
    }
    (OUT_DIR / 'links.json').write_text(json.dumps(found, indent=1))


if __name__ == '__main__':
    main()
