"""Members of a service with synchronous replicas that leave, between hosts."""

import pytest

from poplarspoke.generated.common import Position
from poplarspoke.generated.control import EndpointState, QueryEndpoint
from poplarspoke.generated.relay import EndpointUnresponsive, LogDecision
from poplarspoke.generated.rules import EndpointEntry, EndpointRole
from tests.control_simulation import (
    SERVICE,
    TICK_S,
    ControlSimulation,
    find_messages,
)


@pytest.fixture
def simulation() -> ControlSimulation:
    """Returns three hosts that have recorded the first primary."""
    return ControlSimulation()


def leave(
    simulation: ControlSimulation, member: str, *, is_planned: bool = True
) -> EndpointEntry:
    """Ends a member for good and returns its last entry."""
    if is_planned:
        simulation.set_entry(member, draining=True)
        simulation.run(1)
    entry = simulation.entries.pop(member)
    simulation.dead.add(member)
    simulation.version += 1
    return entry


def receive(simulation: ControlSimulation, member: str, log: Position) -> None:
    """Lets a replica receive the log up to a position."""
    known = simulation.members[member]
    simulation.members[member] = known._replace(received=log)


def start_successor(
    simulation: ControlSimulation,
    member: str,
    entry: EndpointEntry,
    log: Position,
) -> None:
    """Starts a member at the address of one that left."""
    simulation.members[member] = EndpointState(
        SERVICE, member, True, EndpointRole.REPLICA, 1, log
    )
    simulation.entries[member] = entry._replace(endpoint=member, draining=False)
    simulation.version += 1


def fail_primary(simulation: ControlSimulation, seconds: float) -> None:
    """Crashes the first primary; the hosts report it for a time."""
    simulation.dead.add('m1')
    for _ in range(int(seconds / TICK_S)):
        for host in simulation.hosts:
            simulation.post(host, EndpointUnresponsive('m1'))
        simulation.run(TICK_S)


def read_group(simulation: ControlSimulation) -> list[str]:
    """Returns the members that the store names."""
    record = simulation.read_record('group/group')
    return [member['endpoint'] for member in record['members']]


def list_restarted(simulation: ControlSimulation, named: str) -> list[str]:
    """Returns the hosts to restart."""
    leader = simulation.read_record('duty')['holder']
    return {
        'none': [],
        'leader': [leader],
        'all in turn': sorted(simulation.hosts),
    }[named]


# Guards against an outage because of a replica that left for good.
def test_departed_replica_is_not_waited_for_once_others_have_its_log(
    simulation: ControlSimulation,
) -> None:
    """The other replica has received what was committed before and after."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    leave(simulation, 'm2')
    receive(simulation, 'm3', Position(1, 10))
    simulation.run(5)
    assert read_group(simulation) == ['m1', 'm3']
    fail_primary(simulation, 3)
    assert [order.endpoint for order in simulation.orders] == ['m3']


# Guards against a promotion without the commits of a replica that left: however
# long ago, the other one may have received nothing since.
@pytest.mark.parametrize('gone_s', [5.0, 100.0])
@pytest.mark.parametrize('is_planned', [True, False])
@pytest.mark.parametrize('restarted', ['none', 'leader', 'all in turn'])
def test_departed_replica_is_waited_for(
    simulation: ControlSimulation,
    gone_s: float,
    is_planned: bool,
    restarted: str,
) -> None:
    """The hosts that saw it leave restart; its successor starts later."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(1)
    entry = leave(simulation, 'm2', is_planned=is_planned)
    simulation.run(gone_s)
    for host in list_restarted(simulation, restarted):
        simulation.start(host, simulation.hosts[host]['incarnation'] + 1)
        simulation.run(3)
    fail_primary(simulation, 15)
    assert not simulation.orders
    assert any(
        line.event == 'candidate awaited' and 'm2 (left' in line.outcome
        for host in simulation.hosts
        for line in find_messages(simulation.sent[host], LogDecision)
    )
    start_successor(simulation, 'm4', entry, Position(1, 10))
    fail_primary(simulation, 3)
    assert [order.endpoint for order in simulation.orders] == ['m4']


# Guards against the same where the primary is replaced as planned: it runs, and the
# only replica left has received nothing.
def test_departed_replica_counts_in_a_switchover(
    simulation: ControlSimulation,
) -> None:
    """The old primary has the log, so it leads again for the others."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(1)
    leave(simulation, 'm2')
    simulation.run(3)
    simulation.set_entry('m1', draining=True)
    simulation.run(4)
    assert [order.endpoint for order in simulation.orders][:1] == ['m1']


# Guards against members that a store restored from a copy does not name.
def test_departed_replica_is_waited_for_after_a_restore(
    simulation: ControlSimulation,
) -> None:
    """The copy is from before the members were recorded."""
    content = simulation.copy()
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(1)
    leave(simulation, 'm2')
    simulation.run(5)
    simulation.restore(content)
    simulation.configure(3)
    simulation.run(5)
    assert 'm2' in read_group(simulation)
    fail_primary(simulation, 15)
    assert not simulation.orders


# Guards against answers that are taken as evidence about a process that ended after
# they were given.
def test_process_that_ends_during_the_queries_is_kept(
    simulation: ControlSimulation,
) -> None:
    """A replica answers with the whole log, and starts again without it."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(1)
    receive(simulation, 'm3', Position(1, 10))
    leave(simulation, 'm2')
    leader = simulation.hosts[simulation.read_record('duty')['holder']]
    while not leader['probes']:
        simulation.run(TICK_S)
    simulation.set_entry('m3', born_ms=5)
    receive(simulation, 'm3', Position(1, 2))
    simulation.run(3)
    assert read_group(simulation) == ['m1', 'm3', 'm3']


# Guards against calls of the store and queries that services do not need.
def test_members_are_recorded_for_synchronous_replicas_only(
    simulation: ControlSimulation,
) -> None:
    """No member is queried because it left, and no row is written."""
    leave(simulation, 'm2')
    simulation.run(5)
    assert 'group/group' not in simulation.rows
    assert not any(
        find_messages(simulation.sent[host], QueryEndpoint)
        for host in simulation.hosts
    )


# Guards against rows that are written again and again while nothing changes.
def test_members_are_written_once(simulation: ControlSimulation) -> None:
    """A deaf replica keeps the departed one in the row."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(2)
    leave(simulation, 'm2')
    simulation.run(6)
    row = simulation.rows['group/group']
    simulation.run(20)
    assert simulation.rows['group/group'] == row
    assert simulation.read_record('group/group')['number'] <= 3
