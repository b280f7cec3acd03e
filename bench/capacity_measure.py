"""Measures processor time, messages, bytes and state of a workload.

Times are processor times of the process (``time.process_time``). The size of
the state is measured in a separate pass, since ``tracemalloc`` slows the code
down.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeAlias

from poplarspoke import codec, wire
from poplarspoke.generated.peers import PeerFrame
from poplarspoke.tasks import Outgoing, ToHost

REPETITIONS = 7
US_PER_S = 1e6


class Work(NamedTuple):
    """Amount of work that a round did.

    Attributes:
        units: Seconds of virtual time, statements or changes.
        messages: Messages sent to other daemons.
        size: Bytes of their frames, or of the JSON body that a series names.
    """

    units: float
    messages: int = 0
    size: int = 0


Round: TypeAlias = Callable[[], Work]
# Returns the state, whose size is measured, and a function that runs a round.
Build: TypeAlias = Callable[[int], tuple[Any, Round]]


class Series(NamedTuple):
    """Workload and the sizes that it is measured at.

    Attributes:
        name: Module and kind of work.
        driver: Cost driver: what the sizes count, such as hosts.
        unit: What ``Work.units`` counts.
        sizes: Sizes, at least 3.
        build: Creates the state and the round for a size.
    """

    name: str
    driver: str
    unit: str
    sizes: Sequence[int]
    build: Build


class Sample(NamedTuple):
    """Figures of one size.

    Attributes:
        size: Value of the cost driver.
        cpu_us: Processor time per unit in microseconds, median of the rounds.
        cpu_low_us: Lowest processor time per unit.
        cpu_high_us: Highest processor time per unit.
        messages: Messages to other daemons per unit.
        sent_bytes: Bytes of their frames per unit.
        state_bytes: Heap bytes of the state after a round.
    """

    size: int
    cpu_us: float
    cpu_low_us: float
    cpu_high_us: float
    messages: float
    sent_bytes: float
    state_bytes: int


class Slope(NamedTuple):
    """Least-squares line through one column of the samples.

    Attributes:
        base: Figure at size 0.
        slope: Growth of the figure per unit of size.
        worst_residual: Largest residual as a fraction of its figure.
    """

    base: float
    slope: float
    worst_residual: float


def send(outgoing: list[Outgoing]) -> Work:
    """Encodes the messages to other daemons; returns their count and size."""
    messages = 0
    size = 0
    for entry in outgoing:
        if not isinstance(entry, ToHost):
            continue
        payload = codec.encode(PeerFrame(1, entry.message))
        messages += 1
        size += len(payload) + wire.LENGTH_BYTES
    return Work(0, messages, size)


def receive(frame: bytes) -> Any:
    """Returns the message of a frame."""
    return codec.decode(PeerFrame, frame).body


def measure(series: Series, size: int) -> Sample:
    """Returns the figures of one size."""
    state_bytes = _measure_state(series, size)
    state, run_round = series.build(size)
    run_round()
    times = []
    work = Work(0)
    for _ in range(REPETITIONS):
        gc.collect()
        started_s = time.process_time()
        work = run_round()
        times.append((time.process_time() - started_s) / work.units * US_PER_S)
    return Sample(
        size,
        statistics.median(times),
        min(times),
        max(times),
        work.messages / work.units,
        work.size / work.units,
        state_bytes,
    )


def _measure_state(series: Series, size: int) -> int:
    """Returns the heap growth by the state after a round, in bytes."""
    series.build(min(series.sizes))[1]()
    gc.collect()
    tracemalloc.start()
    states = [_run_once(series, size)]
    gc.collect()
    grown_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    states.clear()
    return grown_bytes


def _run_once(series: Series, size: int) -> Any:
    """Runs a round and returns the state, without the prepared input."""
    state, run_round = series.build(size)
    run_round()
    return state


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Slope:
    """Returns the least-squares line and its worst relative residual."""
    if len(set(sizes)) < 2:
        return Slope(figures[0], 0, 0)
    slope, base = statistics.linear_regression(sizes, figures)
    residuals = [
        abs(base + slope * size - figure) / max(abs(figure), 1e-9)
        for size, figure in zip(sizes, figures, strict=True)
    ]
    return Slope(base, slope, max(residuals))
