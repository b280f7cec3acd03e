"""Cells of the fault matrix on the transfer of a rate share."""

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
AFTER_S = 13.0
OUTAGE_S = 5.0
PAUSE_S = 11.0  # Longer than a lease.
SILENT_S = 2.0
FLOOD_S = 0.05
STEPS = (
    'tokens asked',
    'tokens lent',
    'commit sent',
    'commit applied',
    'units adopted',
)
CODES = ('R7',)
Inject: TypeAlias = Callable[['TrackedFleet', str], None]


class TrackedFleet(Fleet):
    """A fleet that tells which step the transfer of a share reaches."""

    def __init__(self, seed: int) -> None:
        """Starts all hosts."""
        self.on_step: Callable[[str, str], None] = ignore_step
        self.number = 1
        super().__init__(NAMES, LIMITS, seed=seed)

    def handle(self, host: Host, message: Any) -> None:
        """Lets a host decide and notes what it did."""
        awaited = host.state['awaits_store']
        super().handle(host, message)
        if not awaited and host.state['awaits_store']:
            self.on_step('commit sent', host.name)
        match message:
            case CommitResult():
                self.on_step('units adopted', host.name)
            case BorrowTokens():
                self.on_step('tokens asked', host.name)
            case LendTokens():
                self.on_step('tokens lent', host.name)

    def serve_store(self, host: Host, message: Any) -> None:
        """Applies a request to the table and notes a write."""
        writes = self.table.writes
        super().serve_store(host, message)
        if self.table.writes > writes:
            self.on_step('commit applied', host.name)


def ignore_step(step: str, host: str) -> None:
    """Injects nothing."""


def kill(fleet: TrackedFleet, name: str) -> None:
    """Kills a host and starts it again later."""
    if name not in fleet.hosts:
        return
    fleet.stop(name)

    def start() -> None:
        if name not in fleet.hosts:
            fleet.start(name)

    fleet.network.at(fleet.now_s + SILENT_S, start)


def stop_store(fleet: TrackedFleet, name: str) -> None:
    """Stops the table for a time."""
    partitions = {frozenset((host, STORE)) for host in NAMES}
    cut(fleet, partitions, OUTAGE_S)


def silence(fleet: TrackedFleet, name: str) -> None:
    """Makes the open connections of a host silent until new ones open."""
    others = {frozenset((name, other)) for other in (*NAMES, STORE)}
    cut(fleet, others, SILENT_S)


def cut(
    fleet: TrackedFleet, partitions: set[frozenset[str]], duration_s: float
) -> None:
    """Cuts links for a time."""
    fleet.network.partitions |= partitions

    def join() -> None:
        fleet.network.partitions -= partitions

    fleet.network.at(fleet.now_s + duration_s, join)


def disturb(fleet: TrackedFleet, faults: Faults) -> None:
    """Disturbs all links for a time."""
    fleet.network.faults = faults

    def end() -> None:
        fleet.network.faults = Faults()

    fleet.network.at(fleet.now_s + OUTAGE_S, end)


def slow_store(fleet: TrackedFleet, name: str) -> None:
    """Delays and reorders messages."""
    disturb(fleet, Faults(late_s=1.5))


def lose_answers(fleet: TrackedFleet, name: str) -> None:
    """Loses the answers of the table after their effect."""
    disturb(fleet, Faults(answers_lost=1.0))


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
    """Two changes of the listed hosts reach the hosts in any order."""
    fleet.number += 2
    first = RateSettings(fleet.number - 1, NAMES[:3], LIMITS, 60)
    second = RateSettings(fleet.number, NAMES, LIMITS, 60)
    fleet.settings = second
    for place, host in enumerate(NAMES):
        order = (first, second) if place % 2 else (second, first)
        for message in order:
            fleet.network.link(STORE, host, deliver(fleet, host, message))


def deliver(fleet: TrackedFleet, host: str, message: Any) -> Callable[[], None]:
    """Returns the act that delivers a message to a host."""
    return lambda: fleet.arrive(host, message)


FAULTS: dict[str, Inject] = {
    'dies': kill,
    'down': stop_store,
    'slow': slow_store,
    'lost': lose_answers,
    'paused': pause,
    'conflict': change_settings,
    'silent': silence,
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
    # The load moves from one host to the others, and the share after it.
    flood(fleet, ('a',), 2)
    flood(fleet, NAMES[1:], AFTER_S)
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
    """Sends more requests than the rate for a time."""
    end_s = fleet.now_s + duration_s
    while fleet.now_s < end_s:
        for name in names * 2:
            fleet.request(name, 'w', 0.1)
        fleet.wait(FLOOD_S)
