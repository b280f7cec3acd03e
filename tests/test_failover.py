"""Guards failovers against lost writes and two primaries in one term."""

import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarspoke import majorities
from poplarspoke.generated.common import Position
from poplarspoke.generated.failover import (
    CandidateRank,
    DrainingEndpoints,
    FailoverReason,
)
from poplarspoke.generated.members import Confirmed
from tests.failover_simulation import HOSTS, MEMBERS, STORE, FailoverSimulation

LIMIT_S = 5.0
PROCESSES = (*MEMBERS, *HOSTS, STORE)


def start_simulation(seed: int = 0) -> FailoverSimulation:
    """Returns a simulation in which every host knows the first primary."""
    simulation = FailoverSimulation(seed)
    assert simulation.run_until(lambda: knows_primary(simulation), LIMIT_S)
    simulation.run(1)
    return simulation


def knows_primary(simulation: FailoverSimulation) -> bool:
    """Returns whether every host knows the latest primary."""
    if not simulation.primaries:
        return False
    last = simulation.primaries[max(simulation.primaries)]
    return all(state['primary'] == last for state in simulation.hosts.values())


def write_until_acknowledged(
    simulation: FailoverSimulation,
    request_id: str,
    limit_s: float,
) -> bool:
    """Repeats a write on every host; returns whether it was acknowledged."""
    end_s = simulation.now_s + limit_s
    known = len(simulation.acknowledged)
    while simulation.now_s < end_s and len(simulation.acknowledged) == known:
        for host in HOSTS:
            simulation.write(host, request_id)
        simulation.run(0.1)
    return len(simulation.acknowledged) > known


def isolate(
    simulation: FailoverSimulation, name: str, others: tuple[str, ...]
) -> None:
    """Partitions a process from others."""
    simulation.partitions.update(frozenset((name, other)) for other in others)


@pytest.mark.parametrize('store_delay_s', [0.01, 1.0, 1000.0])
@pytest.mark.parametrize('lost_hosts', [(), ('h1',), ('h1', 'h2')])
@pytest.mark.parametrize('seed', range(3))
def test_lost_primary_is_replaced_within_limit(
    seed: int,
    lost_hosts: tuple[str, ...],
    store_delay_s: float,
) -> None:
    """Guards against a gap over 5 s, also without the store or with dead hosts.

    A store delay of 1000 s stands for a store that is unavailable.
    """
    simulation = start_simulation(seed)
    assert write_until_acknowledged(simulation, 'before', LIMIT_S)
    simulation.store_delay_s = store_delay_s
    for host in lost_hosts:
        simulation.hosts.pop(host)
    simulation.pause(simulation.primaries[max(simulation.primaries)])
    assert write_until_acknowledged(simulation, 'after', LIMIT_S)
    assert len(simulation.primaries) == 2


def test_partitioned_primary_acknowledges_nothing() -> None:
    """Guards against writes that a superseded primary acknowledges.

    One host is in the primary's partition and still sends writes to it.
    """
    simulation = start_simulation()
    old = simulation.primaries[1]
    others = tuple(name for name in PROCESSES if name not in {old, 'h3'})
    isolate(simulation, old, others)
    isolate(simulation, 'h3', others)
    simulation.write('h3', 'minority')
    assert write_until_acknowledged(simulation, 'majority', LIMIT_S)
    simulation.run(LIMIT_S)
    assert [written.request_id for written in simulation.acknowledged] == [
        'majority',
    ]
    simulation.partitions.clear()
    assert write_until_acknowledged(simulation, 'minority', LIMIT_S)
    assert len(simulation.primaries) == 2


@pytest.mark.parametrize('seed', range(3))
def test_primary_isolated_from_its_group_is_replaced(seed: int) -> None:
    """Guards against a group without writes while its primary is isolated.

    Such a primary answers all hosts, so their probes do not fail.
    """
    simulation = start_simulation(seed)
    assert write_until_acknowledged(simulation, 'before', LIMIT_S)
    old = simulation.primaries[max(simulation.primaries)]
    isolate(
        simulation,
        old,
        tuple(name for name in simulation.members if name != old),
    )
    assert write_until_acknowledged(simulation, 'after', LIMIT_S)
    assert simulation.primaries[max(simulation.primaries)] != old


@pytest.mark.parametrize('seed', range(12))
def test_isolated_primary_is_not_promoted_again(seed: int) -> None:
    """Guards against a promotion of the primary that reaches no member.

    It answers first and has the highest log.
    """
    simulation = start_simulation(seed)
    assert write_until_acknowledged(simulation, 'before', LIMIT_S)
    term = max(simulation.primaries)
    old = simulation.primaries[term]
    isolate(
        simulation,
        old,
        tuple(name for name in simulation.members if name != old),
    )
    assert write_until_acknowledged(simulation, 'after', LIMIT_S)
    later = [
        simulation.primaries[one] for one in simulation.primaries if one > term
    ]
    assert old not in later


@pytest.mark.parametrize('seed', range(30))
def test_candidates_compete_without_the_table(seed: int) -> None:
    """Guards against two primaries in a term from candidates of equal rank."""
    simulation = start_simulation(seed)
    simulation.store_delay_s = 1000.0
    simulation.delay_s = 0.15
    for host in HOSTS:
        simulation.deliver_to_host(host, CandidateRank(0, HOSTS))
    simulation.pause(simulation.primaries[1])
    assert write_until_acknowledged(simulation, 'after', 2 * LIMIT_S)


def test_hosts_without_the_primary_change_nothing() -> None:
    """Guards against a failover while the replicas follow a healthy primary."""
    simulation = start_simulation()
    isolate(simulation, simulation.primaries[1], HOSTS)
    simulation.run(10)
    assert len(simulation.primaries) == 1


@pytest.mark.parametrize('paused_at_s', [step / 20 for step in range(12)])
def test_paused_candidate_resumes_at_any_step(paused_at_s: float) -> None:
    """Guards against a resumed candidate that replaces a newer primary."""
    simulation = start_simulation()
    old = simulation.primaries[1]
    simulation.pause(old)
    assert simulation.run_until(
        lambda: bool(simulation.hosts['h1']['attempt']), LIMIT_S
    )
    simulation.delay_s = 0.15
    simulation.run(paused_at_s)
    simulation.pause('h1')
    assert write_until_acknowledged(simulation, 'during', LIMIT_S)
    terms = max(simulation.primaries)
    simulation.resume('h1')
    simulation.resume(old)
    simulation.run(LIMIT_S)
    assert max(simulation.primaries) == terms
    assert write_until_acknowledged(simulation, 'after', LIMIT_S)


def test_drain_switches_over_to_another_endpoint() -> None:
    """Guards against a switchover that loses writes or keeps the endpoint."""
    simulation = start_simulation()
    old = simulation.primaries[1]
    for number in range(5):
        assert write_until_acknowledged(simulation, f'w{number}', LIMIT_S)
    draining = DrainingEndpoints((old,), 'zone za is out of service since v7')
    for host in HOSTS:
        simulation.deliver_to_host(host, draining)
    assert simulation.run_until(lambda: len(simulation.primaries) > 1, 1)
    assert simulation.primaries[max(simulation.primaries)] != old
    assert write_until_acknowledged(simulation, 'after', 1)
    event = simulation.hosts['h1']['events'][-2]
    assert event.act == f'begin {FailoverReason.DRAIN.name}'
    assert event.evidence == draining.evidence


def test_ineligible_member_gets_a_primary_again() -> None:
    """Guards against a member that follows no primary after a lone grant.

    The candidate of the higher term died after that member adopted the term.
    """
    simulation = start_simulation()
    isolate(simulation, 'm3', tuple(name for name in PROCESSES if name != 'h1'))
    simulation.run(0.5)
    simulation.hosts['h1']['highest_term'] = 9
    simulation.members['m3']['adopted_term'] = 9
    simulation.members['m3']['primary'] = ''
    simulation.partitions.clear()
    simulation.run(LIMIT_S + LIMIT_S)
    assert {state['adopted_term'] for state in simulation.members.values()} == {
        10
    }


def test_acknowledgement_needs_a_majority_in_the_term() -> None:
    """Guards against confirmations of another term or another group."""
    position = Position(3, 7)
    for confirmed, endpoint, expected in (
        (Confirmed(confirmed=True, adopted_term=3), 'm2', True),
        (Confirmed(confirmed=True, adopted_term=4), 'm2', False),
        (Confirmed(confirmed=False, adopted_term=3), 'm2', False),
        (Confirmed(confirmed=True, adopted_term=3), 'm1', False),
        (Confirmed(confirmed=True, adopted_term=3), 'other', False),
    ):
        confirmations = {endpoint: confirmed}
        acknowledged = majorities.is_acknowledged(
            position,
            'm1',
            confirmations,
            MEMBERS,
        )
        assert acknowledged is expected


def test_highest_log_of_a_majority_is_promoted() -> None:
    """Guards against writes lost by a lower log or a missing majority."""
    grants = {'m1': Position(2, 5), 'm2': Position(3, 1)}
    assert majorities.select_primary(grants, (), 3) == 'm2'
    assert majorities.select_primary(grants, ('m2',), 3) == 'm2'
    assert not majorities.select_primary({'m1': Position(2, 5)}, (), 3)
    three_grants = {**grants, 'm3': Position(2, 6)}
    assert majorities.select_primary(three_grants, ('m2',), 3) == 'm3'


class FailoverMachine(RuleBasedStateMachine):
    """Injects random faults; ``FailoverSimulation`` checks the invariants."""

    def __init__(self) -> None:
        """Starts a simulation with a primary."""
        super().__init__()
        self.simulation = start_simulation()
        self.written = 0

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 3.0)))
    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        self.simulation.run(seconds)

    @rule(hosts=st.sets(st.sampled_from(HOSTS), min_size=1), new=st.booleans())
    def write(self, hosts: set[str], new: bool) -> None:
        """Sends a new write, or the last one again, through several hosts."""
        self.written += new
        for host in sorted(hosts):
            self.simulation.write(host, f'w{self.written}')

    @rule(inside=st.sets(st.sampled_from(PROCESSES), min_size=1, max_size=3))
    def partition(self, inside: set[str]) -> None:
        """Partitions some processes from all others."""
        outside = tuple(
            process for process in PROCESSES if process not in inside
        )
        for process in inside:
            isolate(self.simulation, process, outside)

    @rule(
        host=st.sampled_from(HOSTS),
        kind=st.sampled_from(('pause', 'cut', 'members')),
        seconds=st.sampled_from((0, 0.3, 3.0)),
    )
    def attack_primary(self, host: str, kind: str, seconds: float) -> None:
        """Pauses or partitions the primary while a host writes to it."""
        primary = self.simulation.primaries[max(self.simulation.primaries)]
        if kind == 'pause':
            self.simulation.pause(primary)
        if kind == 'cut':
            self.partition({primary, host})
        if kind == 'members':
            others = tuple(name for name in MEMBERS if name != primary)
            isolate(self.simulation, primary, others)
        self.write({host}, new=True)
        self.simulation.run(seconds)

    @rule(ranks=st.permutations((0, 0, 1)))
    def rank(self, ranks: list[int]) -> None:
        """Gives hosts equal ranks, as differing membership views can do."""
        for host, rank in zip(HOSTS, ranks, strict=True):
            self.simulation.deliver_to_host(host, CandidateRank(rank, HOSTS))

    @rule()
    def heal(self) -> None:
        """Ends all network faults and resumes every process."""
        for name in list(self.simulation.paused):
            self.simulation.resume(name)
        self.simulation.partitions.clear()
        self.simulation.loss = 0
        self.simulation.delay_s = 0.02

    @rule(loss=st.sampled_from((0.1, 0.3)), delay_s=st.sampled_from((0.2, 2.0)))
    def disturb(self, loss: float, delay_s: float) -> None:
        """Makes the network lose, delay and reorder messages."""
        self.simulation.loss = loss
        self.simulation.delay_s = delay_s

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        """Crashes a daemon and starts it again."""
        self.simulation.restart(host)

    @rule(name=st.sampled_from((*HOSTS, *MEMBERS)))
    def pause(self, name: str) -> None:
        """Pauses a process."""
        self.simulation.pause(name)

    @rule(name=st.sampled_from((*HOSTS, *MEMBERS)))
    def resume(self, name: str) -> None:
        """Resumes a process."""
        self.simulation.resume(name)

    @rule(delay_s=st.sampled_from((0.01, 1.0, 1000.0)), lose=st.booleans())
    def change_store(self, delay_s: float, lose: bool) -> None:
        """Makes the table fast, slow or unavailable."""
        self.simulation.store_delay_s = delay_s
        self.simulation.store_loses_answers = lose

    @rule(endpoints=st.sets(st.sampled_from(MEMBERS), max_size=2))
    def drain(self, endpoints: set[str]) -> None:
        """Takes endpoints out of service."""
        message = DrainingEndpoints(tuple(endpoints), 'settings')
        for host in self.simulation.hosts:
            self.simulation.deliver_to_host(host, message)

    @invariant()
    def one_primary_of_the_last_term(self) -> None:
        """A term has one primary; the simulation checks the rest."""
        for name in MEMBERS:
            self.simulation.check_primary(name)

    def teardown(self) -> None:
        """Checks that the group accepts writes again without faults."""
        self.heal()
        self.change_store(0.01, lose=False)
        self.drain(set())
        self.simulation.run(LIMIT_S)
        assert write_until_acknowledged(self.simulation, 'last', LIMIT_S)


LONG = bool(os.environ.get('SOAK'))
FailoverMachine.TestCase.settings = settings(
    max_examples=2000 if LONG else 40,
    stateful_step_count=40,
    deadline=None,
)
TestFailover = FailoverMachine.TestCase
