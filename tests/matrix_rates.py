"""Fault matrix cells for the transfer of a rate share between hosts."""

import functools
from collections.abc import Callable
from typing import Any, TypeAlias

from bench.rate_fleet import STORE, Faults, Fleet, Host
from poplarspoke import invariants
from poplarspoke.generated.platform import CommitResult
from poplarspoke.generated.rates import (
    BorrowTokens,
    LendTokens,
    RateSettings,
    WorkspaceRate,
)

NAMES = ('a', 'b', 'c', 'd')
LIMITS = (WorkspaceRate('w', 20, 12),)
SLACK = 1e-3
START_S = 7.0
MOVED_LOAD_S = 13.0
OUTAGE_S = 5.0
PAUSE_S = 11.0  # Longer than a rate lease.
UNRESPONSIVE_S = 2.0
FLOOD_S = 0.05
STEPS = (
    'tokens asked',
    'tokens lent',
    'commit sent',
    'commit applied',
    'units adopted',
)
CODES = ('R7',)
FaultFunction: TypeAlias = Callable[['TrackedFleet', str], None]


class TrackedFleet(Fleet):
    """A fleet that reports the steps of the transfer of a share.

    Attributes:
        on_step: Called with each step that the transfer reaches and its host.
        number: Version of the newest settings.
    """

    def __init__(self, seed: int) -> None:
        """Starts all hosts."""
        self.on_step: Callable[[str, str], None] = ignore_step
        self.number = 1
        super().__init__(NAMES, LIMITS, seed=seed)

    def handle(self, host: Host, message: Any) -> None:
        """Passes a message to a host and reports the steps that follow."""
        was_waiting = host.state['awaits_store']
        super().handle(host, message)
        if not was_waiting and host.state['awaits_store']:
            self.on_step('commit sent', host.name)
        match message:
            case CommitResult():
                self.on_step('units adopted', host.name)
            case BorrowTokens():
                self.on_step('tokens asked', host.name)
            case LendTokens():
                self.on_step('tokens lent', host.name)

    def serve_store(self, host: Host, message: Any) -> None:
        """Applies a request to the table and reports a write."""
        writes = self.table.writes
        super().serve_store(host, message)
        if self.table.writes > writes:
            self.on_step('commit applied', host.name)


def ignore_step(step: str, host: str) -> None:
    """Ignores a step until a cell sets its own callback."""


def kill(fleet: TrackedFleet, name: str) -> None:
    """Kills a host and restarts it after ``UNRESPONSIVE_S``."""
    if name not in fleet.hosts:
        return
    fleet.stop(name)

    def start() -> None:
        if name not in fleet.hosts:
            fleet.start(name)

    fleet.network.at(fleet.now_s + UNRESPONSIVE_S, start)


def stop_store(fleet: TrackedFleet, name: str) -> None:
    """Partitions all hosts from the table for ``OUTAGE_S``."""
    partitions = {frozenset((host, STORE)) for host in NAMES}
    partition(fleet, partitions, OUTAGE_S)


def make_unresponsive(fleet: TrackedFleet, name: str) -> None:
    """Partitions a host until its connections are replaced."""
    links = {frozenset((name, other)) for other in (*NAMES, STORE)}
    partition(fleet, links, UNRESPONSIVE_S)


def partition(
    fleet: TrackedFleet, partitions: set[frozenset[str]], duration_s: float
) -> None:
    """Partitions links for a time."""
    fleet.network.partitions |= partitions

    def heal() -> None:
        fleet.network.partitions -= partitions

    fleet.network.at(fleet.now_s + duration_s, heal)


def apply_faults(fleet: TrackedFleet, faults: Faults) -> None:
    """Applies faults to all links for ``OUTAGE_S``."""
    fleet.network.faults = faults

    def end() -> None:
        fleet.network.faults = Faults()

    fleet.network.at(fleet.now_s + OUTAGE_S, end)


def slow_store(fleet: TrackedFleet, name: str) -> None:
    """Delays and reorders messages."""
    apply_faults(fleet, Faults(late_s=1.5))


def lose_answers(fleet: TrackedFleet, name: str) -> None:
    """Loses the answers of the table after their effect."""
    apply_faults(fleet, Faults(answers_lost=1.0))


def pause(fleet: TrackedFleet, name: str) -> None:
    """Pauses a host for longer than its lease."""
    host = fleet.hosts.get(name)
    if host is None:
        return
    host.paused = True

    def resume() -> None:
        if fleet.hosts.get(name) is host and host.paused:
            fleet.resume(name)

    fleet.network.at(fleet.now_s + PAUSE_S, resume)


def change_settings(fleet: TrackedFleet, name: str) -> None:
    """Sends two changes of the host list, out of order to half of the hosts."""
    fleet.number += 2
    first = RateSettings(fleet.number - 1, NAMES[:3], LIMITS, 60)
    second = RateSettings(fleet.number, NAMES, LIMITS, 60)
    fleet.settings = second
    for place, host in enumerate(NAMES):
        order = (first, second) if place % 2 else (second, first)
        for message in order:
            fleet.network.link(STORE, host, deliver(fleet, host, message))


def deliver(fleet: TrackedFleet, host: str, message: Any) -> Callable[[], None]:
    """Returns a function that delivers a message to a host."""
    return lambda: fleet.arrive(host, message)


FAULTS: dict[str, FaultFunction] = {
    'dies': kill,
    'down': stop_store,
    'slow': slow_store,
    'lost': lose_answers,
    'paused': pause,
    'conflict': change_settings,
    'silent': make_unresponsive,
}


def run(
    kind: str, step: str, faults: tuple[str, ...], gap_s: float, seed: int
) -> None:
    """Runs one cell; raises if the rate and burst are exceeded."""
    fleet = TrackedFleet(seed)
    fleet.wait(START_S)
    injected: list[str] = []

    def on_step(reached: str, host: str) -> None:
        if reached != step or injected:
            return
        injected.extend(faults)
        now_s = fleet.now_s
        fleet.network.at(now_s, lambda: FAULTS[faults[0]](fleet, host))
        for fault in faults[1:]:
            later_s = now_s + gap_s
            inject = functools.partial(FAULTS[fault], fleet, host)
            fleet.network.at(later_s, inject)

    fleet.on_step = on_step
    # The load moves from one host to the others, and its rate share follows.
    flood(fleet, ('a',), 2)
    flood(fleet, NAMES[1:], MOVED_LOAD_S)
    flood(fleet, NAMES, 2)
    assert injected, f'{kind} never reached {step}'
    lowest = fleet.record.oracles['w'].lowest
    invariants.check(
        holds=lowest >= -SLACK,
        code='R7',
        detail=f'{-lowest:.3f} requests over rate and burst',
    )


def flood(
    fleet: TrackedFleet, names: tuple[str, ...], duration_s: float
) -> None:
    """Sends more requests than the rate allows for a time."""
    end_s = fleet.now_s + duration_s
    while fleet.now_s < end_s:
        for name in names * 2:
            fleet.request(name, 'w', 0.1)
        fleet.wait(FLOOD_S)
