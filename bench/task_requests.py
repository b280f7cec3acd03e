"""Processor time of one request to a task, against an earlier task loop.

Run ``python -m bench.task_requests``. The earlier loop created a cancel scope
and a timer for each message. Runs of the two loops alternate.
"""

import time
from typing import Any

import anyio

from bench import testbed, variants
from poplarspoke.generated.common import Tick
from poplarspoke.generated.rates import AdmitRequest, Admitted
from poplarspoke.tasks import MessageBus, Outgoing, Reply, Task

REQUESTS = 5000
PAIRS = 9
US_PER_S = 1_000_000


def decide(message: Any, state: Any, now_s: float) -> list[Outgoing]:
    """Answers each request immediately."""
    if isinstance(message, Tick):
        return []
    return [Reply(message.request_id, Admitted(message.request_id))]


def send_nowhere(target: str, message: Any) -> None:
    """Drops a message; the task of the bench sends none."""


async def measure() -> float:
    """Returns the processor time of one request in microseconds."""
    bus = MessageBus(
        send_to_host=send_nowhere,
        send_to_store=send_nowhere,
        now_s=time.monotonic,
    )
    with Task('bench', decide, None, tick_s=0.1) as task:
        async with anyio.create_task_group() as group:
            bus.start(task, group)
            started_s = time.process_time()
            for number in range(REQUESTS):
                request = AdmitRequest(str(number), 'deli', 1)
                await task.ask(request, timeout_s=1)
            spent_s = time.process_time() - started_s
            group.cancel_scope.cancel()
    return spent_s * US_PER_S / REQUESTS


def main() -> None:
    """Prints the cost with each loop and the ratio within the pairs."""
    current_run = Task.run
    current_us: list[float] = []
    scoped_us: list[float] = []
    for _ in range(PAIRS):
        Task.run = current_run  # type: ignore[method-assign]
        current_us.append(anyio.run(measure))
        variants.use_scope_per_message()
        scoped_us.append(anyio.run(measure))
    ratios = [
        current / scoped
        for current, scoped in zip(current_us, scoped_us, strict=True)
    ]
    print(f'us per request: {testbed.compute_spread(current_us).render()}')
    print(
        'us per request, a cancel scope for each message: '
        f'{testbed.compute_spread(scoped_us).render()}',
    )
    print(f'ratio: {testbed.compute_spread(ratios).render(2)}')


if __name__ == '__main__':
    main()
