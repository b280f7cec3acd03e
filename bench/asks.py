"""Processor time of one ``ask`` of a task, paired with the former task loop.

``python -m bench.asks``. The former loop gave each message a cancel scope and
a timer of its own.
"""

import time
from typing import Any

import anyio

from bench import stage, variants
from poplarspoke.generated.common import Tick
from poplarspoke.generated.rates import AdmitRequest, Admitted
from poplarspoke.tasks import MessageBus, Outgoing, Reply, Task

ASKS = 5000
PAIRS = 9
US_PER_S = 1_000_000


def decide(message: Any, state: Any, now_s: float) -> list[Outgoing]:
    """Answers each request at once."""
    if isinstance(message, Tick):
        return []
    return [Reply(message.request_id, Admitted(message.request_id))]


def send_nowhere(target: str, message: Any) -> None:
    """Drops a message; the task sends none."""


async def measure() -> float:
    """Returns the processor time of one ask in microseconds."""
    bus = MessageBus(
        send_to_host=send_nowhere,
        send_to_store=send_nowhere,
        now_s=time.monotonic,
    )
    with Task('bench', decide, None, tick_s=0.1) as task:
        async with anyio.create_task_group() as group:
            bus.start(task, group)
            started_s = time.process_time()
            for number in range(ASKS):
                request = AdmitRequest(str(number), 'deli', 1)
                await task.ask(request, timeout_s=1)
            spent_s = time.process_time() - started_s
            group.cancel_scope.cancel()
    return spent_s * US_PER_S / ASKS


def main() -> None:
    """Prints both costs and the ratio of the pairs."""
    shipped = Task.run
    after: list[float] = []
    before: list[float] = []
    for _ in range(PAIRS):
        Task.run = shipped  # type: ignore[method-assign]
        after.append(anyio.run(measure))
        variants.scope_each_message()
        before.append(anyio.run(measure))
    ratios = [one / other for one, other in zip(after, before, strict=True)]
    print(f'us for each ask: {stage.collect(after).show()}')
    print(f'us with a scope for each message: {stage.collect(before).show()}')
    print(f'ratio: {stage.collect(ratios).show(2)}')


if __name__ == '__main__':
    main()
