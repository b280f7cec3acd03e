"""Fault matrix cells for the request path, failovers and shutdown."""

import functools
from collections.abc import Callable
from typing import TypeAlias

from poplarspoke import invariants
from poplarspoke.generated import members as schema
from poplarspoke.generated.common import Outcome
from poplarspoke.generated.drains import BeginShutdown
from poplarspoke.generated.requests import TransactionStep
from tests.failover_simulation import HOSTS, MEMBERS, ZONES
from tests.request_flow import Caller
from tests.request_simulation import RequestSimulation, partition_primary

START_S = 1.5
PAUSE_S = 5.5
OUTAGE_S = 3.0
CATCH_UP_S = 0.8
WORK_S = 5.8
RECOVERY_S = 1.5
SERVICE_LIMIT_S = 10.0
ROUND_S = 0.5
TRACKED = 'tracked'
FaultFunction: TypeAlias = Callable[[RequestSimulation, str], None]


def kill(simulation: RequestSimulation, host: str) -> None:
    """Kills a daemon and restarts it after ``OUTAGE_S`` without its state."""
    if host not in simulation.daemons:
        return
    simulation.kill(host)

    def start() -> None:
        if host not in simulation.daemons:
            simulation.restart(host)

    simulation.at(OUTAGE_S, start)


def delay_replicas(simulation: RequestSimulation, host: str) -> None:
    """Stops replication to the replicas; one of them catches up early.

    With that one, writes get a majority while the other is still behind.
    """
    primary = simulation.find_primary()

    def end(member: str) -> Callable[[], None]:
        return lambda: simulation.deliver_to_member(
            member, schema.MemberFaults()
        )

    replicas = [member for member in MEMBERS if member != primary]
    for member, end_s in zip(replicas, (CATCH_UP_S, OUTAGE_S), strict=True):
        simulation.deliver_to_member(
            member, schema.MemberFaults(far_behind=True)
        )
        simulation.at(end_s, end(member))


def revoke(simulation: RequestSimulation, host: str) -> None:
    """Revokes the key of the caller."""
    simulation.revoke()


def stop_store(simulation: RequestSimulation, host: str) -> None:
    """Stops the table until all faults end."""
    simulation.store_delay_s = 1000


def slow_store(simulation: RequestSimulation, host: str) -> None:
    """Makes the table slow until all faults end."""
    simulation.store_delay_s = 1.5


def lose_store_answers(simulation: RequestSimulation, host: str) -> None:
    """Loses the answers of the table for 2 s; its writes take effect."""
    simulation.store_loses_answers = True

    def end() -> None:
        simulation.store_loses_answers = False

    simulation.at(2.0, end)


def pause(simulation: RequestSimulation, host: str) -> None:
    """Pauses a daemon for longer than its settings stay confirmed."""
    if host not in simulation.daemons:
        return
    simulation.pause(host)

    def resume() -> None:
        if host in simulation.paused:
            simulation.resume(host)

    simulation.at(PAUSE_S, resume)


def change_settings(simulation: RequestSimulation, host: str) -> None:
    """Takes two zones out of service and puts one of them back."""
    zone = ZONES[simulation.find_primary()]
    other = min(set(ZONES.values()) - {zone})
    simulation.set_zone_service(zone, in_service=False)
    simulation.set_zone_service(other, in_service=False)
    simulation.at(
        0.5, lambda: simulation.set_zone_service(other, in_service=True)
    )


def make_unresponsive(simulation: RequestSimulation, host: str) -> None:
    """Makes all open connections of the pools unresponsive permanently."""
    for daemon in simulation.daemons.values():
        simulation.unresponsive_sockets.update(daemon.sockets)


FAULTS: dict[str, FaultFunction] = {
    'cut': partition_primary,
    'behind': delay_replicas,
    'dies': kill,
    'revoked': revoke,
    'down': stop_store,
    'slow': slow_store,
    'lost': lose_store_answers,
    'paused': pause,
    'conflict': change_settings,
    'silent': make_unresponsive,
}


class Work:
    """Callers that do one kind of work while faults are injected."""

    def __init__(self, simulation: RequestSimulation) -> None:
        """Starts a session with one acknowledged write."""
        self.simulation = simulation
        self.caller = Caller(simulation, 'tracked')
        self.other = Caller(simulation, 'other')
        self.round_number = 0
        self.caller.send('h1', 'before', 'recorded', text='ADD n 1')
        simulation.run(0.4)
        assert self.caller.acknowledged == {'before'}

    def host(self) -> str:
        """Returns the host of this round; callers change hosts in each one."""
        return HOSTS[self.round_number % len(HOSTS)]

    def wait(self) -> None:
        """Runs until the caller has its answer, for at most 5 s."""
        for _ in range(20):
            if not self.caller.busy:
                return
            self.simulation.run(0.25)

    def continue_work(self) -> None:
        """Runs rounds of requests of both callers for ``WORK_S``."""
        end_s = self.simulation.now_s + WORK_S
        while self.simulation.now_s < end_s:
            self.round_number += 1
            if not self.other.busy:
                name = f'other{self.round_number}'
                self.other.send(self.host(), name, 'recorded', text='ADD n 1')
            if not self.caller.busy:
                self.run_round()
            self.simulation.run(ROUND_S)

    def run_round(self) -> None:
        """Writes and reads in the session on the next host."""
        if self.round_number % 3 == 1:
            name = f'write{self.round_number}'
            self.caller.send(self.host(), name, 'recorded', text='ADD n 1')
            return
        route = 'strict' if self.round_number % 3 else 'read'
        self.caller.send(self.host(), f'read{self.round_number}', route)

    def repeat(self, route: str) -> bool:
        """Repeats the tracked write; returns False if that is not needed."""
        outcomes = self.caller.outcomes.get(TRACKED, [])
        is_done = TRACKED in self.caller.acknowledged
        if is_done or not outcomes or outcomes[-1] is Outcome.NOT_RUN:
            return False
        self.caller.send(self.host(), TRACKED, route, text='ADD n 1')
        return True


class Read(Work):
    """A read in a session, on a replica if possible."""

    route = 'read'

    def start(self) -> None:
        """Sends the tracked read to another host than the write."""
        self.caller.send('h2', TRACKED, self.route)


class StrictRead(Read):
    """A read whose answer a majority confirms."""

    route = 'strict'


class RecordedWrite(Work):
    """A write that is repeated until its outcome is known."""

    route = 'recorded'

    def start(self) -> None:
        """Sends the tracked write."""
        self.caller.send('h2', TRACKED, self.route, text='ADD n 1')

    def run_round(self) -> None:
        """Repeats the write until its outcome is known, then continues."""
        if not self.repeat(self.route):
            super().run_round()


class NeverWrite(RecordedWrite):
    """A write that the proxy sends at most once."""

    route = 'never'


class Transaction(Work):
    """A transaction whose steps each use another host."""

    def start(self) -> None:
        """Sends the steps in order; stops after one that was not done."""
        steps = (
            (TransactionStep.BEGIN, 'h2', 'GET n'),
            (TransactionStep.INSIDE, 'h3', 'ADD n 1'),
            (TransactionStep.COMMIT, 'h1', ''),
        )
        for step, host, text in steps:
            self.caller.send(host, TRACKED, 'recorded', step=step, text=text)
            self.wait()
            if (TRACKED, step) not in self.caller.done:
                return

    def run_round(self) -> None:
        """Repeats the commit until its outcome is known, then continues."""
        outcomes = self.caller.outcomes.get(TRACKED, [])
        is_done = TRACKED in self.caller.acknowledged
        if is_done or not outcomes or outcomes[-1] is Outcome.NOT_RUN:
            super().run_round()
            return
        self.caller.send(
            self.host(), TRACKED, 'recorded', step=TransactionStep.COMMIT
        )


class Failover(Work):
    """A failover from a paused primary while callers write and read."""

    def start(self) -> None:
        """Pauses the primary until all faults end."""
        self.simulation.tracked = 'failover'
        self.simulation.pause(self.simulation.find_primary())


class Shutdown(Work):
    """A shutdown of a host on which a transaction is open."""

    def start(self) -> None:
        """Begins a transaction on the host, shuts it down, then commits."""
        simulation = self.simulation
        simulation.tracked = 'shutdown'
        self.caller.send('h2', TRACKED, 'recorded', step=TransactionStep.BEGIN)
        self.wait()
        daemon = simulation.daemons['h2']
        simulation.send_to_task(daemon, 'drains', BeginShutdown())
        self.caller.send(
            'h2',
            TRACKED,
            'recorded',
            step=TransactionStep.INSIDE,
            text='ADD n 1',
        )
        simulation.report_step('begun', 'h2', 'shutdown')
        simulation.at(
            1.0, lambda: simulation.report_step('waiting', 'h2', 'shutdown')
        )
        self.wait()
        simulation.run(2.5)
        simulation.report_step('draining', 'h2', 'shutdown')
        self.caller.send('h3', TRACKED, 'recorded', step=TransactionStep.COMMIT)
        self.wait()
        simulation.run(2)


class Kind:
    """A kind of work with its class, steps and requirements."""

    def __init__(
        self, work: type[Work], steps: tuple[str, ...], codes: tuple[str, ...]
    ) -> None:
        """Stores the class, the steps and the codes of the requirements."""
        self.work = work
        self.steps = steps
        self.codes = codes


ENTRY = ('key check', 'plan', 'forward')
OWNER = ('acquire', 'execute', 'answered')
SESSION = ('R1', 'R4', 'R5', 'R6', 'R8', 'R9', 'R12')
WRITE = ('R1', 'R2', 'R3', 'R5', 'R6', 'R8', 'R9', 'R10', 'R11', 'R12')
KINDS = {
    'read': Kind(Read, (*ENTRY, *OWNER, 'reply'), SESSION),
    'strict read': Kind(
        StrictRead, (*ENTRY, *OWNER, 'confirm', 'reply'), SESSION
    ),
    'recorded write': Kind(
        RecordedWrite, (*ENTRY, *OWNER, 'confirm', 'reply'), WRITE
    ),
    'never write': Kind(
        NeverWrite, (*ENTRY, *OWNER, 'confirm', 'reply'), WRITE
    ),
    'transaction': Kind(
        Transaction,
        (
            'begin: acquire',
            'begin: execute',
            'begin: answered',
            'inside: forward',
            'inside: execute',
            'inside: answered',
            'commit: forward',
            'commit: execute',
            'commit: answered',
            'commit: confirm',
            'commit: reply',
        ),
        WRITE,
    ),
    'failover': Kind(
        Failover,
        ('suspect', 'claim', 'adopt', 'promote', 'announce'),
        ('R1', 'R2', 'R10', 'R11'),
    ),
    'shutdown': Kind(
        Shutdown,
        ('begun', 'waiting', 'finishing', 'draining', 'finished'),
        ('R2', 'R3', 'R10', 'R11', 'R12', 'R13'),
    ),
}


def run(
    kind: str, step: str, faults: tuple[str, ...], gap_s: float, seed: int
) -> None:
    """Runs one cell; raises if a requirement does not hold."""
    simulation = RequestSimulation(seed)
    simulation.run(START_S)
    work = KINDS[kind].work(simulation)
    injected: list[str] = []

    def on_step(reached: str, host: str) -> None:
        if reached != step or injected:
            return
        injected.extend(faults)
        simulation.at(0, lambda: FAULTS[faults[0]](simulation, host))
        for fault in faults[1:]:
            simulation.at(
                gap_s, functools.partial(FAULTS[fault], simulation, host)
            )

    simulation.on_step = on_step
    simulation.tracked = TRACKED
    work.start()  # type: ignore[attr-defined]
    work.continue_work()
    assert injected, f'{kind} never reached {step}'
    check_recovery(simulation, (work.caller, work.other))


def check_recovery(
    simulation: RequestSimulation, callers: tuple[Caller, ...]
) -> None:
    """Ends all faults; checks that writes succeed and answers were correct."""
    simulation.heal()
    simulation.run(RECOVERY_S)
    last = Caller(simulation, 'last')
    end_s = simulation.now_s + SERVICE_LIMIT_S
    number = 0
    while simulation.now_s < end_s and not last.acknowledged:
        number += 1
        if not last.busy:
            host = HOSTS[number % len(HOSTS)]
            last.send(host, f'last{number}', 'recorded', text='ADD n 1')
        simulation.run(0.5)
    invariants.check(
        holds=bool(last.acknowledged),
        code='service',
        detail=f'no write {SERVICE_LIMIT_S} s after the faults ended',
    )
    simulation.run(1)
    for caller in (*callers, last):
        caller.check_final()
