"""Guards against wrong answers to callers while up to two faults occur."""

import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from poplarspoke import invariants, majorities, retries, routing, sessions
from poplarspoke.generated.common import Outcome, Position
from poplarspoke.generated.members import MemberFaults
from poplarspoke.generated.requests import TransactionStep
from poplarspoke.generated.retries import Attempt
from tests import matrix_requests, request_simulation
from tests.failover_simulation import HOSTS, MEMBERS, ZONES
from tests.request_flow import Caller
from tests.request_simulation import HOST_ZONES, RequestSimulation

CALLERS = 3
MAX_FAULTS = 2
hosts = st.sampled_from(HOSTS)
numbers = st.integers(0, CALLERS - 1)
waits = st.sampled_from((0.005, 0.02, 0.1, 0.5, 1.5, 4.0))


class RequestMachine(RuleBasedStateMachine):
    """Callers that roam between hosts while up to two faults are active.

    The simulation asserts R1, R2, R9 and R11 as messages arrive; ``teardown``
    ends the faults and compares every answer with the final log.
    """

    def __init__(self) -> None:
        """Runs the simulation until the database group serves requests."""
        super().__init__()
        self.simulation = RequestSimulation()
        self.simulation.run(matrix_requests.START_S)
        self.callers = [
            Caller(self.simulation, f'c{number}') for number in range(CALLERS)
        ]
        self.faults = 0
        self.number = 0
        self.last = ['' for _ in range(CALLERS)]

    @rule(number=numbers, host=hosts, route=st.sampled_from(('read', 'strict')))
    def read(self, number: int, host: str, route: str) -> None:
        """Reads in a session."""
        self.number += 1
        self.callers[number].send(host, f'r{self.number}', route)

    @rule(
        number=numbers,
        host=hosts,
        route=st.sampled_from(('recorded', 'never')),
        wait_s=waits,
    )
    def write(self, number: int, host: str, route: str, wait_s: float) -> None:
        """Sends a new write; the wait may be too short for its answer."""
        self.number += 1
        self.last[number] = f'{route}-{self.number}'
        self.send_write(number, host)
        self.simulation.run(wait_s)

    def send_write(self, number: int, host: str) -> None:
        """Sends the last write of a caller."""
        name = self.last[number]
        self.callers[number].send(
            host, name, name.partition('-')[0], text='ADD n 1'
        )

    @precondition(lambda machine: any(machine.last))
    @rule(number=numbers, host=hosts)
    def repeat(self, number: int, host: str) -> None:
        """Repeats the last write, even while its first attempt still runs."""
        if self.last[number]:
            self.send_write(number, host)

    @rule(number=numbers, host=hosts)
    def transact(self, number: int, host: str) -> None:
        """Begins a transaction, writes in it and commits on another host."""
        caller = self.callers[number]
        self.number += 1
        name = f'tx{self.number}'
        steps = (
            (TransactionStep.BEGIN, host, 'GET n'),
            (TransactionStep.INSIDE, HOSTS[self.number % 3], 'ADD n 1'),
            (TransactionStep.COMMIT, HOSTS[(self.number + 1) % 3], ''),
        )
        for step, target, text in steps:
            caller.send(target, name, 'recorded', text=text, step=step)
            self.simulation.run(0.3)
            if (name, step) not in caller.done:
                return

    @rule(wait_s=waits)
    def wait(self, wait_s: float) -> None:
        """Lets time pass."""
        self.simulation.run(wait_s)

    @precondition(lambda machine: machine.faults < MAX_FAULTS)
    @rule(
        fault=st.sampled_from(
            sorted(set(matrix_requests.FAULTS) - {'revoked'}),
        ),
        host=hosts,
        wait_s=waits,
    )
    def inject(self, fault: str, host: str, wait_s: float) -> None:
        """Injects a fault."""
        self.faults += 1
        matrix_requests.FAULTS[fault](self.simulation, host)
        self.simulation.run(wait_s)

    @precondition(lambda machine: machine.faults < MAX_FAULTS)
    @rule(host=hosts)
    def write_to_lost_primary(self, host: str) -> None:
        """Partitions the primary with one host, which continues to write."""
        self.faults += 1
        request_simulation.partition_primary(self.simulation, host)
        for number in range(CALLERS):
            self.write(number, host, 'recorded', 0.1)

    @precondition(lambda machine: machine.faults)
    @rule()
    def heal(self) -> None:
        """Ends all faults."""
        self.faults = 0
        self.simulation.heal()
        self.simulation.run(0.5)

    def teardown(self) -> None:
        """Checks that every answer was correct and that the group serves."""
        matrix_requests.check_recovery(self.simulation, tuple(self.callers))


LONG = bool(os.environ.get('SOAK'))
RequestMachine.TestCase.settings = settings(
    max_examples=1000 if LONG else 25,
    stateful_step_count=30,
    deadline=None,
)
TestRequests = RequestMachine.TestCase


def run_scenario(fault: str, seed: int = 3) -> None:
    """Runs a write whose primary is partitioned after it executed it."""
    matrix_requests.run('recorded write', 'answered', (fault,), 0, seed)


def test_world_sees_lost_acknowledgement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a simulation that misses lost acknowledgements (R2).

    Writes are acknowledged without a majority.
    """
    monkeypatch.setattr(majorities, 'is_acknowledged', accept_always)
    with pytest.raises((AssertionError, invariants.InvariantError)):
        run_scenario('cut')


def accept_always(
    position: Position, primary: str, confirmations: object, members: object
) -> bool:
    """Acknowledges without a confirmation."""
    return True


def test_world_sees_stale_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a simulation that misses stale reads (R1).

    Routing ignores the positions of the session.
    """

    def satisfy(*_positions: Position, primary: bool = False) -> bool:
        return True

    monkeypatch.setattr(sessions, 'satisfies', satisfy)
    simulation = RequestSimulation()
    simulation.run(matrix_requests.START_S)
    matrix_requests.delay_replicas(simulation, 'h1')
    simulation.partitions.add(frozenset((MEMBERS[0], MEMBERS[2])))
    replicas = [name for name in MEMBERS if name != simulation.find_primary()]
    # One replica accepts log entries, so that the write gets its majority.
    simulation.deliver_to_member(replicas[0], MemberFaults())
    caller = Caller(simulation, 'c')
    caller.send('h1', 'w', 'recorded', text='ADD n 1')
    simulation.run(1)
    assert caller.acknowledged == {'w'}
    with pytest.raises(invariants.InvariantError, match='R1'):
        for number, host in enumerate(HOSTS * 3):
            caller.send(host, f'r{number}', 'read')
            simulation.run(0.2)


def test_world_sees_second_send(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a simulation that misses repeated writes (R11).

    Writes that may have run are sent again.
    """

    def repeat_always(_attempt: Attempt) -> bool:
        return True

    monkeypatch.setattr(retries, '_is_repeatable', repeat_always)
    with pytest.raises(invariants.InvariantError, match='R11'):
        matrix_requests.run('never write', 'execute', ('silent',), 0, 1)


def test_world_sees_untrue_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a simulation that misses wrong refusals (R10).

    Lost answers are reported as "not run".
    """

    def not_run(_attempt: Attempt) -> Outcome:
        return Outcome.NOT_RUN

    monkeypatch.setattr(retries, 'find_outcome', not_run)
    with pytest.raises(invariants.InvariantError, match='R10'):
        matrix_requests.run('never write', 'answered', ('cut',), 0, 1)


def test_paused_owner_runs_no_old_work() -> None:
    """Guards against running requests from before a pause of the owner (R8).

    The primary's zone leaves service during the pause, so that a request that
    waited through it counts as new work.
    """
    simulation = RequestSimulation()
    simulation.run(matrix_requests.START_S)
    simulation.tracked = 'old'
    caller = Caller(simulation, 'c')
    primary = simulation.find_primary()
    zone_hosts = [host for host in HOSTS if HOST_ZONES[host] == ZONES[primary]]
    owner = routing.find_owner(primary, zone_hosts)
    entry = next(host for host in HOSTS if host != owner)

    def pause_owner(step: str, host: str) -> None:
        if step == 'forward':
            simulation.pause(owner)
            simulation.set_zone_service(ZONES[primary], in_service=False)

    simulation.on_step = pause_owner
    caller.send(entry, 'old', 'never', text='ADD n 1')
    simulation.run(matrix_requests.PAUSE_S)
    simulation.resume(owner)
    simulation.run(1)
