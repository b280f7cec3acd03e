"""Measures processor time, messages, bytes and state of a driver.

Times are those of the process (``time.process_time``); the state is measured
in a pass of its own with ``tracemalloc``, since that slows everything down.
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
    """Work that was done.

    Attributes:
        units: Seconds of virtual time, statements or changes.
        messages: Messages sent to other daemons.
        size: Bytes of their frames.
    """

    units: float
    messages: int = 0
    size: int = 0


Round: TypeAlias = Callable[[], Work]
# Returns the state, for its size, and a round of work on it.
Build: TypeAlias = Callable[[int], tuple[Any, Round]]


class Series(NamedTuple):
    """A driver and the sizes that it is measured at.

    Attributes:
        name: Module and act.
        driver: What the size counts.
        unit: What the work counts.
        sizes: Sizes, at least 3.
        build: Creates state and round for a size.
    """

    name: str
    driver: str
    unit: str
    sizes: Sequence[int]
    build: Build


class Sample(NamedTuple):
    """Figures of one size.

    Attributes:
        size: The size.
        cpu_us: Median of the processor time of a unit in microseconds.
        cpu_low_us: Lowest of the repetitions.
        cpu_high_us: Highest of them.
        messages: Messages to other daemons for each unit.
        sent_bytes: Bytes of their frames for each unit.
        state_bytes: Bytes that the state holds after the work.
    """

    size: int
    cpu_us: float
    cpu_low_us: float
    cpu_high_us: float
    messages: float
    sent_bytes: float
    state_bytes: int


class Slope(NamedTuple):
    """Least squares line through one column of the samples."""

    base: float
    slope: float
    worst_residual: float


def send(outgoing: list[Outgoing]) -> Work:
    """Encodes what goes to other daemons; returns its count and size."""
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
    """Returns the growth of the heap by state, after a round of work."""
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
    """Returns the state alone: what the driver prepared is no part of it."""
    state, run_round = series.build(size)
    run_round()
    return state


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Slope:
    """Returns the least squares line and its worst relative miss."""
    if len(set(sizes)) < 2:
        return Slope(figures[0], 0, 0)
    slope, base = statistics.linear_regression(sizes, figures)
    residuals = [
        abs(base + slope * size - figure) / max(abs(figure), 1e-9)
        for size, figure in zip(sizes, figures, strict=True)
    ]
    return Slope(base, slope, max(residuals))
