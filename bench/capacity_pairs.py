"""Cost of the request path against a pass-through, and of idle tasks.

Run ``python -m bench.capacity_pairs``. The variants alternate in one process;
each round gives a ratio, and the median, lowest and highest ratio are printed.
"""

import json
import pathlib
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio

from bench import capacity_path as paths
from bench import capacity_topology as topologies
from poplarspoke import connections, dispatch, keys, queues, rates
from poplarspoke.generated.common import Tick
from poplarspoke.generated.connections import (
    Acquire,
    EndExchange,
    Release,
    StartExchange,
)
from poplarspoke.generated.dispatch import PlanStatement
from poplarspoke.generated.keys import CheckKey
from poplarspoke.generated.queues import Enqueue, Finish
from poplarspoke.generated.rates import AdmitRequest
from poplarspoke.tasks import MessageBus, Outgoing, Reply, Task

OUT_DIR = pathlib.Path('out/capacity')
PAIRS = 9
STATEMENTS = 400
CONCURRENT = 40
TASK_SECONDS = 3
TASK_TICKS_S = (0.02, 0.1)
TASK_COUNTS = (13, 63, 210, 630)
NOW_S = paths.NOW_S
NO_TICK_S = 3600.0
US_PER_S = 1e6


class Spread(NamedTuple):
    """Median, lowest and highest of several figures."""

    median: float
    low: float
    high: float


def compute_spread(figures: list[float]) -> Spread:
    """Returns the median, lowest and highest of some figures."""
    return Spread(statistics.median(figures), min(figures), max(figures))


def run_pass_through() -> float:
    """Returns the processor seconds per statement for forwarding only."""
    statement = paths.create_statement()
    result = paths.create_result()
    started_s = time.process_time()
    for _ in range(STATEMENTS):
        paths.forward(statement, result)
    return (time.process_time() - started_s) / STATEMENTS


def run_decisions(path: paths.RequestPath, key: str) -> float:
    """Returns the processor seconds per statement with direct decisions."""
    result = paths.create_result()
    started_s = time.process_time()
    for _ in range(STATEMENTS):
        paths.forward(paths.run_path(path, key), result)
    return (time.process_time() - started_s) / STATEMENTS


def answer_at_once(message: Any, state: Any, now_s: float) -> list[Outgoing]:
    """Replies to each request with the request."""
    if isinstance(message, Tick):
        return []
    return [Reply(message.request_id, message)]


async def run_tasks(bus: MessageBus, key: str) -> float:
    """Returns the same with the decisions requested from tasks."""
    result = paths.create_result()
    started_s = time.process_time()
    for _ in range(STATEMENTS):
        paths.forward(await _ask_path(bus, key), result)
    return (time.process_time() - started_s) / STATEMENTS


async def run_many(bus: MessageBus, key: str) -> float:
    """Returns the same with ``CONCURRENT`` statements in progress at once."""
    started_s = time.process_time()
    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENT):
            group.start_soon(_run_some, bus, key)
    return (time.process_time() - started_s) / STATEMENTS


async def _run_some(bus: MessageBus, key: str) -> None:
    result = paths.create_result()
    for _ in range(STATEMENTS // CONCURRENT):
        paths.forward(await _ask_path(bus, key), result)


async def run_one_task(bus: MessageBus) -> float:
    """Returns the same for a pass-through with one request to one task."""
    statement = paths.create_statement()
    result = paths.create_result()
    started_s = time.process_time()
    for _ in range(STATEMENTS):
        await bus.tasks['pass'].ask(statement, timeout_s=1)
        paths.forward(statement, result)
    return (time.process_time() - started_s) / STATEMENTS


async def _ask_path(bus: MessageBus, key: str) -> Any:
    name = f'h000.z0-{next(paths.ids)}'
    tasks = bus.tasks
    check = CheckKey(name, key, paths.WORKSPACE, 'catalogue')
    await tasks['keys'].ask(check, timeout_s=1)
    admit = AdmitRequest(name, paths.WORKSPACE, paths.BUDGET_S)
    await tasks['rates'].ask(admit, timeout_s=1)
    plan = PlanStatement(name, paths.WORKSPACE, 'catalogue')
    planned = await tasks['dispatch'].ask(plan, timeout_s=1)
    statement = planned.statement._replace(
        request_id=name, text=paths.TEXT, parameters=('shop-4', 'item-17')
    )
    enqueue = Enqueue(name, paths.WORKSPACE, paths.BUDGET_S)
    await tasks['queue'].ask(enqueue, timeout_s=1)
    acquire = Acquire(name, paths.WORKSPACE, budget_s=paths.BUDGET_S)
    acquired = await tasks['pool'].ask(acquire, timeout_s=1)
    start = StartExchange(acquired.connection, name, name, paths.BUDGET_S)
    tasks['pool'].post(start)
    end = EndExchange(name, acquired.connection, name, clean=True)
    await tasks['pool'].ask(end, timeout_s=1)
    tasks['pool'].post(Release(acquired.connection, name))
    tasks['queue'].post(Finish(name))
    return statement


def create_tasks(path: paths.RequestPath) -> list[Task]:
    """Returns the tasks of the path, and ``pass``, which only replies."""
    return [
        Task('keys', keys.decide, path.keys, tick_s=NO_TICK_S),
        Task('rates', rates.decide, path.rates, tick_s=NO_TICK_S),
        Task('dispatch', dispatch.decide, path.dispatch, tick_s=NO_TICK_S),
        Task('queue', queues.decide, path.queue, tick_s=NO_TICK_S),
        Task('pool', connections.decide, path.pool, tick_s=NO_TICK_S),
        Task('pass', answer_at_once, None, tick_s=NO_TICK_S),
    ]


def create_bus(now_s: Callable[[], float]) -> MessageBus:
    """Returns a message bus that drops outgoing messages."""
    return MessageBus(send_to_host=_drop, send_to_store=_drop, now_s=now_s)


def _drop(name: str, message: Any) -> None:
    """Drops a message that would leave the daemon."""


async def compare() -> dict[str, Any]:
    """Returns times, ratios and cores of the variants."""
    path = paths.create_path()
    key = topologies.issue_key(0, 0).key
    bus = create_bus(lambda: NOW_S)
    columns: dict[str, list[float]] = {}
    async with anyio.create_task_group() as group:
        for task in create_tasks(path):
            group.start_soon(_run_task, bus, task, group)
        await anyio.sleep(0.05)
        for _ in range(PAIRS + 1):
            row = {
                'pass-through': run_pass_through(),
                'decisions': run_decisions(path, key),
                'one task': await run_one_task(bus),
                'tasks': await run_tasks(bus, key),
                'tasks, 40 at once': await run_many(bus, key),
            }
            for name, time_s in row.items():
                columns.setdefault(name, []).append(time_s)
        group.cancel_scope.cancel()
    return report({variant: times[1:] for variant, times in columns.items()})


async def _run_task(bus: MessageBus, task: Task, group: Any) -> None:
    with task:
        bus.start(task, group)
        await anyio.sleep_forever()


def report(columns: dict[str, list[float]]) -> dict[str, Any]:
    """Prints and returns the figures of the variants."""
    base = columns['pass-through']
    found: dict[str, Any] = {}
    for name, times in columns.items():
        cost = compute_spread([entry * US_PER_S for entry in times])
        rate = compute_spread([1 / entry for entry in times])
        ratio = compute_spread(
            [entry / other for entry, other in zip(times, base, strict=True)]
        )
        cores = compute_spread(
            [topologies.STATEMENTS_PER_S * entry for entry in times]
        )
        found[name] = {
            'us': cost,
            'statements_per_core_s': rate,
            'ratio': ratio,
            'cores': cores,
        }
        print(
            f'{name}: {cost.median:.0f} us [{cost.low:.0f}, {cost.high:.0f}], '
            f'{rate.median:.0f} statements a core-second '
            f'[{rate.low:.0f}, {rate.high:.0f}], {ratio.median:.2f} times the '
            f'pass-through [{ratio.low:.2f}, {ratio.high:.2f}], '
            f'{cores.median:.0f} cores [{cores.low:.0f}, {cores.high:.0f}] '
            f'for {topologies.STATEMENTS_PER_S} statements a second',
        )
    return found


async def measure_ticks(count: int, tick_s: float) -> float:
    """Returns the processor seconds per second of tasks that only tick."""
    bus = create_bus(time.monotonic)
    async with anyio.create_task_group() as group:
        for number in range(count):
            task = Task(str(number), answer_at_once, None, tick_s=tick_s)
            group.start_soon(_run_task, bus, task, group)
        await anyio.sleep(0.5)
        started_s = time.process_time()
        began_s = time.monotonic()
        await anyio.sleep(TASK_SECONDS)
        used_s = time.process_time() - started_s
        lasted_s = time.monotonic() - began_s
        group.cancel_scope.cancel()
    return used_s / lasted_s


async def count_ticks() -> dict[str, Any]:
    """Returns the cost of tasks that only tick, with 5 runs of each."""
    found: dict[str, Any] = {}
    for tick_s in TASK_TICKS_S:
        for count in TASK_COUNTS:
            runs = [await measure_ticks(count, tick_s) for _ in range(5)]
            share = compute_spread(runs)
            found[f'{count} tasks, {tick_s} s'] = share
            print(
                f'{count} tasks that tick each {tick_s} s: '
                f'{share.median:.2%} of a core '
                f'[{share.low:.2%}, {share.high:.2%}]',
                flush=True,
            )
    return found


def _run(variant: Callable[[], Awaitable[Any]]) -> Any:
    return anyio.run(variant)


def main() -> None:
    """Prints all figures and writes them under ``out/capacity/``."""
    OUT_DIR.mkdir(parents=True, exist_ok=True)
    found = {'path': _run(compare), 'ticks': _run(count_ticks)}
    (OUT_DIR / 'pairs.json').write_text(json.dumps(found, indent=1))


if __name__ == '__main__':
    main()
