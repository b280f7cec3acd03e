"""Compares fair queueing with first come, first served in virtual time.

Run ``python -m bench.queues``. A greedy workspace sends several times its
share of an endpoint; the figures are the waiting times of the other, modest
workspaces. Virtual time makes the output the same in every run.
"""

import heapq
import random
from collections import defaultdict, deque
from typing import NamedTuple

from poplarspoke import queues
from poplarspoke.generated.common import Tick
from poplarspoke.generated.queues import Enqueue, Finish, SlotGranted

SLOTS = 2
SERVICE_S = 0.01
DURATION_S = 20.0
BUDGET_S = 10.0
SEED = 11
GREEDY = 'greedy'
# 2 slots and 10 ms give 200 statements a second, 50 for each of 4 workspaces.
MODEST_RATES = {'deli': 30.0, 'bakery': 30.0, 'kiosk': 30.0}
GREEDY_RATE = 250.0


class Arrival(NamedTuple):
    """Statement that arrives at a virtual time."""

    time_s: float
    workspace: str
    service_s: float


class Fifo:
    """Queue that grants slots in the order of arrival."""

    def __init__(self) -> None:
        """Starts empty."""
        self._running = 0
        self._waiting: deque[int] = deque()

    def enqueue(self, number: int, _workspace: str, _now_s: float) -> list[int]:
        """Adds a statement; returns the statements that got a slot."""
        self._waiting.append(number)
        return self._grant()

    def finish(self, _number: int, _now_s: float) -> list[int]:
        """Frees a slot; returns the statements that got a slot."""
        self._running -= 1
        return self._grant()

    def _grant(self) -> list[int]:
        granted = []
        while self._waiting and self._running < SLOTS:
            self._running += 1
            granted.append(self._waiting.popleft())
        return granted


class Fair:
    """Queue of ``poplarspoke.queues``, which is fair between workspaces."""

    def __init__(self) -> None:
        """Starts empty."""
        self._state = queues.create_state('endpoint', SLOTS)

    def enqueue(self, number: int, workspace: str, now_s: float) -> list[int]:
        """Adds a statement; returns the statements that got a slot."""
        return self._decide(Enqueue(str(number), workspace, BUDGET_S), now_s)

    def finish(self, number: int, now_s: float) -> list[int]:
        """Frees a slot; returns the statements that got a slot."""
        granted = self._decide(Finish(str(number)), now_s)
        return granted + self._decide(Tick(), now_s)

    def _decide(self, message: object, now_s: float) -> list[int]:
        granted = []
        for reply in queues.decide(message, self._state, now_s):
            if isinstance(reply.message, SlotGranted):
                granted.append(int(reply.message.request_id))
        return granted


def create_arrivals(
    rates: dict[str, float],
    seed: int = SEED,
) -> list[Arrival]:
    """Returns Poisson arrivals with exponential service times."""
    arrivals = []
    for workspace, rate in rates.items():
        rng = random.Random(f'{seed} {workspace}')
        time_s = rng.expovariate(rate)
        while time_s < DURATION_S:
            service_s = rng.expovariate(1 / SERVICE_S)
            arrivals.append(Arrival(time_s, workspace, service_s))
            time_s += rng.expovariate(rate)
    return sorted(arrivals)


def simulate(
    queue: Fifo | Fair,
    arrivals: list[Arrival],
) -> dict[str, list[float]]:
    """Returns the sorted waiting times in seconds by workspace."""
    waits: dict[str, list[float]] = defaultdict(list)
    events = [
        (arrival.time_s, number, False)
        for number, arrival in enumerate(arrivals)
    ]
    heapq.heapify(events)
    while events:
        now_s, number, is_end = heapq.heappop(events)
        if is_end:
            granted = queue.finish(number, now_s)
        else:
            workspace = arrivals[number].workspace
            granted = queue.enqueue(number, workspace, now_s)
        for started in granted:
            arrival = arrivals[started]
            waits[arrival.workspace].append(now_s - arrival.time_s)
            end_s = now_s + arrival.service_s
            heapq.heappush(events, (end_s, started, True))
    return {name: sorted(times) for name, times in waits.items()}


def quantile(times: list[float], fraction: float) -> float:
    """Returns a quantile of sorted times."""
    return times[min(int(len(times) * fraction), len(times) - 1)]


def main() -> None:
    """Prints the waiting times of the modest workspaces in ms."""
    without_greedy = create_arrivals(MODEST_RATES)
    with_greedy = create_arrivals({**MODEST_RATES, GREEDY: GREEDY_RATE})
    runs = {
        'first come, without greedy': simulate(Fifo(), without_greedy),
        'first come, with greedy': simulate(Fifo(), with_greedy),
        'fair, without greedy': simulate(Fair(), without_greedy),
        'fair, with greedy': simulate(Fair(), with_greedy),
    }
    for name, waits in runs.items():
        others = sorted(
            time for workspace in MODEST_RATES for time in waits[workspace]
        )
        print(
            f'{name}: p50 {quantile(others, 0.5) * 1000:.1f} '
            f'p99 {quantile(others, 0.99) * 1000:.1f} '
            f'max {others[-1] * 1000:.1f}, served {len(others)} '
            f'and greedy {len(waits.get(GREEDY, []))}',
        )


if __name__ == '__main__':
    main()
