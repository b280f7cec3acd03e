"""Primary leases, leadership and failovers between hosts."""

import json

import pytest

from poplarspoke.control import (
    candidates,
    failover,
    leadership,
    retirement,
    tables,
)
from poplarspoke.control.state import PRIMARY_LEASE_S, RECORDS, RULES
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import (
    Confirmation,
    EndpointState,
    LeaderRecord,
    SetWatch,
    ShowView,
    TableRow,
    TableRows,
    WriteRecords,
)
from poplarspoke.generated.relay import (
    EndpointsUpdated,
    EndpointUnresponsive,
    LogDecision,
    ShutDown,
)
from poplarspoke.generated.rules import EndpointRole
from tests.control_simulation import (
    SERVICE,
    TICK_S,
    ControlSimulation,
    encode_content,
    find_messages,
)

PRIMARY_KEY = f'primary/{SERVICE}'


@pytest.fixture
def simulation() -> ControlSimulation:
    """Returns three hosts that have recorded the first primary."""
    return ControlSimulation()


def test_first_primary_is_recorded_once(simulation: ControlSimulation) -> None:
    """Hosts that start together could record different primaries."""
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm1'
    assert simulation.read_record(PRIMARY_KEY)['change'] == 1
    assert [
        simulation.find_leased_primary(host) for host in simulation.hosts
    ] == [
        'm1',
        'm1',
        'm1',
    ]


def test_no_first_primary_is_recorded_while_two_endpoints_claim_the_role() -> (
    None
):
    """A superseded primary could be recorded as the first one."""
    simulation = ControlSimulation(hosts=0)
    simulation.set_entry('m2', role=EndpointRole.PRIMARY)
    simulation.start('h0')
    simulation.run(3)
    assert PRIMARY_KEY not in simulation.rows


def test_unregistered_host_holds_no_lease(
    simulation: ControlSimulation,
) -> None:
    """A failover neither queries nor waits for an unregistered host."""
    simulation.rows.pop('host/h0')
    simulation.store_unreachable.add('h0')
    simulation.start('h0')
    rows = TableRows(
        RECORDS,
        tuple(simulation.rows.values()),
        simulation.version,
        simulation.now_s,
    )
    simulation.post('h0', rows)
    assert not simulation.find_leased_primary('h0')


def test_lease_starts_when_the_request_was_sent(
    simulation: ControlSimulation,
) -> None:
    """A delayed answer of the store must not extend a lease."""
    state = simulation.hosts['h0']
    simulation.store_unreachable.add('h0')
    asked_s = state['tables'][RECORDS]['confirmed_s']
    simulation.now_s = asked_s + PRIMARY_LEASE_S + 0.1
    late = TableRows(RECORDS, (), simulation.version, asked_s)
    simulation.post('h0', late)
    assert not simulation.find_leased_primary('h0')


def test_older_rows_are_ignored(simulation: ControlSimulation) -> None:
    """The view of a peer may be older than the tables of this host."""
    state = simulation.hosts['h0']
    before = state['primaries'][SERVICE]
    old = TableRows(
        RECORDS,
        (TableRow(PRIMARY_KEY, 1, content=encode_content(before.record)),),
        1,
        simulation.now_s,
    )
    simulation.post('h0', old)
    assert state['primaries'][SERVICE] == before


def test_draining_primary_is_replaced(simulation: ControlSimulation) -> None:
    """A draining primary must be replaced before its process ends."""
    simulation.set_entry('m1', draining=True)
    simulation.run(3)
    record = simulation.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m2', 'stable')
    assert simulation.members['m1'].role is EndpointRole.REPLICA
    assert len(simulation.orders) == 1
    assert [
        simulation.find_leased_primary(host) for host in simulation.hosts
    ] == [
        'm2',
        'm2',
        'm2',
    ]


def test_replica_with_the_longest_log_is_promoted(
    simulation: ControlSimulation,
) -> None:
    """A replica with a shorter log would lose acknowledged commits."""
    longest = simulation.members['m3']._replace(received=Position(1, 10))
    simulation.members['m3'] = longest
    simulation.dead.add('m1')
    simulation.set_entry('m1', draining=True)
    simulation.run(4)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm3'


# Guards against a promotion of the only replica that answers, while the one that
# has received the acknowledged commits is down or no longer registered.
@pytest.mark.parametrize('down_s', [4.0, 15.0])
def test_synchronous_replica_is_waited_for(
    simulation: ControlSimulation, down_s: float
) -> None:
    """The replica comes back after the primary has crashed."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(1)
    deaf = simulation.members['m3']._replace(received=Position(1, 2))
    simulation.members['m3'] = deaf
    simulation.dead.update(('m1', 'm2'))
    entry = simulation.entries['m2']
    for _ in range(int(down_s / TICK_S)):
        for host in simulation.hosts:
            simulation.post(host, EndpointUnresponsive('m1'))
        simulation.run(TICK_S)
        if down_s > 5:
            simulation.entries.pop('m2', None)
    assert not simulation.orders
    assert any(
        line.event == 'candidate awaited' and 'm2' in line.outcome
        for host in simulation.hosts
        for line in find_messages(simulation.sent[host], LogDecision)
    )
    simulation.dead.remove('m2')
    simulation.entries['m2'] = entry
    simulation.version += 1
    simulation.run(2)
    assert [order.endpoint for order in simulation.orders] == ['m2']


# Guards against an outage that the operators cannot end: they may decide that the
# commits of a lost replica are given up.
def test_synchronous_replica_is_not_waited_for_after_a_change(
    simulation: ControlSimulation,
) -> None:
    """The operators turn synchronous replication off during the failover."""
    simulation.sync_replicas = 1
    simulation.configure(2)
    simulation.run(1)
    simulation.dead.update(('m1', 'm2'))
    simulation.set_entry('m1', draining=True)
    simulation.run(5)
    assert not simulation.orders
    simulation.sync_replicas = 0
    simulation.configure(3)
    simulation.run(2)
    assert [order.endpoint for order in simulation.orders] == ['m3']


# Guards against a superseded primary that leads again: commits that were rolled
# back return, and those of the newer term are lost.
@pytest.mark.parametrize('is_committed', [True, False])
def test_log_of_a_superseded_primary_is_not_promoted(
    simulation: ControlSimulation, is_committed: bool
) -> None:
    """It comes back first, with more commits than the newer term began with."""
    simulation.dead.add('m1')
    simulation.set_entry('m1', draining=True)
    simulation.run(3)
    assert [order.endpoint for order in simulation.orders] == ['m2']
    if is_committed:
        for name in ('m2', 'm3'):
            newest = simulation.members[name]._replace(received=Position(2, 10))
            simulation.members[name] = newest
    simulation.dead.update(('m2', 'm3'))
    simulation.dead.remove('m1')
    simulation.set_entry('m1', draining=False)
    simulation.set_entry('m2', role=EndpointRole.REPLICA)
    simulation.run(6)
    assert len(simulation.orders) == 1
    simulation.dead.remove('m3')
    simulation.run(2)
    assert [order.endpoint for order in simulation.orders] == ['m2', 'm3']


# Guards against an outage without an end when all newer logs are lost.
def test_log_of_a_superseded_primary_is_promoted_in_the_end(
    simulation: ControlSimulation,
) -> None:
    """No other member comes back."""
    simulation.dead.add('m1')
    simulation.set_entry('m1', draining=True)
    simulation.run(3)
    simulation.dead.update(('m2', 'm3'))
    simulation.dead.remove('m1')
    simulation.set_entry('m1', draining=False)
    simulation.set_entry('m2', role=EndpointRole.REPLICA)
    simulation.run(candidates.OLD_TERM_TIMEOUT_S + 5)
    assert [order.endpoint for order in simulation.orders] == ['m2', 'm1']


def test_failover_waits_for_the_lease_of_an_unresponsive_host(
    simulation: ControlSimulation,
) -> None:
    """A partitioned host may use the old primary until its lease ends."""
    simulation.store_unreachable.add('h0')
    simulation.unreachable.add('h0')
    simulation.set_entry('m1', draining=True)
    simulation.run(PRIMARY_LEASE_S - 1)
    assert not simulation.orders
    assert simulation.find_leased_primary('h0') == 'm1'
    simulation.run(1.2)
    assert not simulation.find_leased_primary('h0')
    simulation.run(4)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm2'


def test_failed_host_delays_only_one_failover(
    simulation: ControlSimulation,
) -> None:
    """Later failovers would wait for a lease that no process holds."""
    leader = simulation.read_record('duty')['holder']
    failed = next(name for name in simulation.hosts if name != leader)
    simulation.hosts.pop(failed)
    simulation.set_entry('m1', draining=True)
    simulation.run(PRIMARY_LEASE_S + 4)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm2'
    simulation.run(retirement.REMOVE_AFTER_S + 3)
    assert simulation.rows[f'host/{failed}'].removed
    simulation.set_entry('m2', draining=True)
    simulation.run(5)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm3'


def test_running_host_registers_again_after_its_retirement(
    simulation: ControlSimulation,
) -> None:
    """After a network partition a host would stay without leases."""
    simulation.unreachable.add('h2')
    simulation.store_unreachable.add('h2')
    simulation.set_entry('m1', draining=True)
    simulation.run(PRIMARY_LEASE_S + 4)
    assert simulation.read_record('host/h2')['retired']
    simulation.unreachable.clear()
    simulation.store_unreachable.clear()
    simulation.run(1)
    assert not simulation.read_record('host/h2')['retired']
    assert simulation.find_leased_primary('h2') == 'm2'


def test_retired_host_holds_no_lease(simulation: ControlSimulation) -> None:
    """Once its row is removed, no failover queries the host."""
    record = simulation.read_record('host/h2') | {'retired': True}
    state = simulation.hosts['h2']
    state['next_registration_s'] = simulation.now_s + 9
    simulation.version += 1
    simulation.rows['host/h2'] = TableRow(
        'host/h2', simulation.version, content=json.dumps(record)
    )
    simulation.run(0.3)
    assert not simulation.find_leased_primary('h2')


def test_no_host_holds_a_lease_while_another_endpoint_is_promoted(
    simulation: ControlSimulation,
) -> None:
    """Two primaries in use at the same time lose or duplicate writes."""
    simulation.unreachable.add('h0')
    simulation.set_entry('m1', draining=True)
    for _ in range(200):
        before = len(simulation.orders)
        simulation.run(0.1)
        if len(simulation.orders) > before:
            held = [
                simulation.find_leased_primary(host)
                for host in simulation.hosts
            ]
            assert 'm1' not in held
    assert len(simulation.orders) == 1


def test_former_leader_abandons_its_failovers(
    simulation: ControlSimulation,
) -> None:
    """A former leader must not act under the token of the new one."""
    simulation.unreachable.update(('h0', 'h1', 'h2'))
    simulation.set_entry('m1', draining=True)
    simulation.run(2)
    leader = simulation.read_record('duty')['holder']
    assert simulation.hosts[leader]['changes']
    taken = LeaderRecord(
        'other', 5, simulation.read_record('duty')['token'] + 1
    )
    simulation.version += 1
    simulation.rows['duty'] = TableRow(
        'duty', simulation.version, content=encode_content(taken)
    )
    simulation.deliver_tables(leader)
    assert not simulation.hosts[leader]['changes']
    simulation.run(1)
    assert simulation.read_record('duty')['holder'] == 'other'


def test_new_leader_waits_for_orders_of_the_former_one(
    simulation: ControlSimulation,
) -> None:
    """An order of the former leader may still be in transit."""
    simulation.version += 1
    old = LeaderRecord('gone', 1, 4)
    simulation.rows['duty'] = TableRow(
        'duty', simulation.version, content=encode_content(old)
    )
    simulation.set_entry('m1', draining=True)
    simulation.run(2)
    assert not simulation.orders
    simulation.run(3)
    assert [order.token for order in simulation.orders] == [5]


# Guards against two leaders whose orders arrive in the wrong order: the store may
# perform a claim long after it was sent, and the former leader orders until then.
def test_wait_for_a_former_leader_starts_with_the_claim(
    simulation: ControlSimulation,
) -> None:
    """The claim of the new leader takes effect seconds after it was sent."""
    leader = simulation.read_record('duty')['holder']
    successor = next(host for host in simulation.hosts if host != leader)
    simulation.delayed.add(successor)
    state = simulation.hosts[successor]
    for outgoing in leadership.claim(state, simulation.now_s):
        simulation.perform(successor, outgoing)
    simulation.run(leadership.FORMER_LEADER_WAIT_S)
    simulation.perform_writes()
    claimed_s = simulation.now_s
    assert simulation.read_record('duty')['holder'] == successor
    # No other wait hides the one for the former leader.
    complete = simulation.members['m2']._replace(received=Position(1, 10))
    simulation.members['m2'] = complete
    simulation.set_entry('m1', draining=True)
    while not simulation.orders:
        simulation.run(0.1)
    assert simulation.now_s - claimed_s > failover.ORDER_LIFETIME_S


# Guards against a lower token that arrives after a higher one: the next leader does
# not wait for one that has resigned.
def test_leader_with_an_order_on_its_way_does_not_resign(
    simulation: ControlSimulation,
) -> None:
    """A failover may be abandoned while its order is on the way."""
    simulation.set_entry('m1', draining=True)
    while not simulation.orders:
        simulation.run(TICK_S)
    leader = simulation.read_record('duty')['holder']
    state = simulation.hosts[leader]
    leadership.abandon_all(state, simulation.now_s)
    simulation.post(leader, ShutDown(6))
    assert simulation.read_record('duty')['holder'] == leader
    simulation.now_s = simulation.orders[-1].expires_s
    simulation.post(leader, ShutDown(6))
    assert not simulation.read_record('duty')['holder']


def test_claims_of_leadership_have_a_backoff(
    simulation: ControlSimulation,
) -> None:
    """Hosts would call an unavailable store with each tick."""
    simulation.store_unreachable.update(simulation.hosts)
    for state in simulation.hosts.values():
        state['endpoints']['m1'] = simulation.entries['m1']._replace(
            draining=True
        )
    simulation.run(3)
    claims = find_messages(simulation.sent['h0'], WriteRecords)
    assert 0 < len(claims) <= 5


# Guards against reads at a superseded primary: the leader counts a host that has
# released the primary, and its next process takes a lease from a peer's old view.
def test_restarted_host_takes_no_lease_that_its_former_process_released(
    simulation: ControlSimulation,
) -> None:
    """The store refuses the host and its peer, but not the others."""
    simulation = ControlSimulation(hosts=5)
    leader = simulation.read_record('duty')['holder']
    restarted, peer = [host for host in simulation.hosts if host != leader][:2]
    simulation.store_unreachable.update((restarted, peer))
    simulation.set_entry('m1', draining=True)
    while not simulation.orders:
        simulation.run(TICK_S)
    simulation.start(restarted, 2, seeds=(peer,))
    for _ in range(100):
        simulation.run(TICK_S)
        assert simulation.find_leased_primary(restarted) in {'', 'm2'}
    assert simulation.find_leased_primary(restarted) == 'm2'


def test_fencing_tokens_increase(simulation: ControlSimulation) -> None:
    """The platform must never receive a lower token than before."""
    simulation.set_entry('m1', draining=True)
    simulation.run(3)
    leader = simulation.read_record('duty')['holder']
    simulation.hosts.pop(leader)
    simulation.set_entry('m2', draining=True)
    simulation.run(15)
    tokens = [order.token for order in simulation.orders]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) == len(tokens) == 2


def test_new_leader_finishes_a_failover_of_the_former_one(
    simulation: ControlSimulation,
) -> None:
    """If the leader fails during a failover, the service has no primary."""
    simulation.unreachable.update(('h0', 'h1', 'h2'))
    simulation.set_entry('m1', draining=True)
    simulation.run(2)
    simulation.hosts.pop(simulation.read_record('duty')['holder'])
    simulation.unreachable.clear()
    simulation.run(15)
    record = simulation.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m2', 'stable')


def test_restarted_leader_does_not_block_leadership(
    simulation: ControlSimulation,
) -> None:
    """Its answers must not count as those of the former process."""
    simulation.unreachable.update(('h0', 'h1', 'h2'))
    simulation.set_entry('m1', draining=True)
    simulation.run(1)
    leader = simulation.read_record('duty')['holder']
    for name in ('h0', 'h1', 'h2'):
        simulation.start(name, incarnation=2)
    simulation.unreachable.clear()
    simulation.run(8)
    record = simulation.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m2', 'stable')
    assert simulation.read_record('duty')['holder'] == leader
    assert simulation.read_record('duty')['incarnation'] == 2


def test_failover_leaves_the_leader_lease_unchanged(
    simulation: ControlSimulation,
) -> None:
    """Failovers of several services share the condition on its row."""
    simulation.set_entry('m1', draining=True)
    simulation.run(3)
    version = simulation.rows['duty'].version
    simulation.set_entry('m2', draining=True)
    simulation.run(3)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm3'
    assert simulation.rows['duty'].version == version


def test_superseded_primary_is_not_recorded_as_the_new_one(
    simulation: ControlSimulation,
) -> None:
    """One that could not be demoted still reports the primary role."""
    simulation.dead.add('m1')
    simulation.set_entry('m1', draining=True)
    simulation.run(4)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm2'
    stale = EndpointState(
        SERVICE, 'm1', True, EndpointRole.PRIMARY, 1, Position(1, 10)
    )
    simulation.dead.clear()
    simulation.members['m1'] = stale
    simulation.members['m3'] = simulation.members['m3']._replace(
        received=Position(2, 12), term=2
    )
    simulation.set_entry('m1', draining=False)
    simulation.set_entry('m2', draining=True)
    simulation.run(4)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm3'


def test_primary_that_only_one_host_cannot_reach_is_kept(
    simulation: ControlSimulation,
) -> None:
    """A host that is partitioned from a primary must not replace it."""
    for _ in range(20):
        simulation.post(
            'h0', EndpointUnresponsive('m1', SERVICE, simulation.now_s)
        )
        simulation.run(0.1)
    assert not simulation.orders


def test_dead_primary_is_replaced(simulation: ControlSimulation) -> None:
    """The reports of one host must suffice if no other host reaches it."""
    simulation.dead.add('m1')
    for _ in range(40):
        simulation.post(
            'h0', EndpointUnresponsive('m1', SERVICE, simulation.now_s)
        )
        simulation.run(0.1)
    assert simulation.read_record(PRIMARY_KEY)['endpoint'] == 'm2'


def test_primary_that_answers_again_before_the_release_is_kept(
    simulation: ControlSimulation,
) -> None:
    """A short network partition must not cause a needless promotion."""
    simulation.dead.add('m1')
    simulation.unreachable.add('h2')
    simulation.store_unreachable.add('h2')
    for _ in range(30):
        simulation.post(
            'h0', EndpointUnresponsive('m1', SERVICE, simulation.now_s)
        )
        simulation.run(0.1)
    assert simulation.read_record(PRIMARY_KEY)['phase'] == 'changing'
    simulation.dead.clear()
    simulation.run(1)
    record = simulation.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m1', 'stable')
    assert not simulation.orders
    assert simulation.find_leased_primary('h0') == 'm1'


def test_confirmation_of_a_watcher_renews_leases(
    simulation: ControlSimulation,
) -> None:
    """Leases must not expire while a peer still reads the store."""
    simulation.store_unreachable.add('h0')
    simulation.run(PRIMARY_LEASE_S + 2)
    assert simulation.find_leased_primary('h0') == 'm1'


def test_confirmation_with_newer_rows_renews_nothing(
    simulation: ControlSimulation,
) -> None:
    """One of the newer rows may start a failover."""
    simulation.store_unreachable.add('h0')
    state = simulation.hosts['h0']
    before_s = state['tables'][RECORDS]['confirmed_s']
    simulation.now_s += 1
    newest = max(row.version for row in simulation.rows.values()) + 1
    simulation.post('h0', Confirmation('h1', simulation.now_s, 0, 0, 0, newest))
    assert state['tables'][RECORDS]['confirmed_s'] == before_s


def test_confirmation_counts_from_the_query(
    simulation: ControlSimulation,
) -> None:
    """A delayed answer of a peer must not extend a lease."""
    simulation.store_unreachable.add('h0')
    state = simulation.hosts['h0']
    newest = max(row.version for row in simulation.rows.values())
    asked_s = simulation.now_s + 1
    simulation.now_s += 5
    simulation.post('h0', Confirmation('h1', asked_s, 0.4, 0, 0, newest))
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    assert confirmed_s == pytest.approx(asked_s - 0.4)


def test_watch_that_is_behind_a_peer_is_restarted(
    simulation: ControlSimulation,
) -> None:
    """A watch on a dead connection receives no changes."""
    simulation.store_unreachable.add('h0')
    simulation.sent['h0'].clear()
    for _ in range(8):
        simulation.now_s += 0.2
        simulation.post('h0', Confirmation('h1', simulation.now_s, 0, 99, 0, 0))
    assert {
        found.table for found in find_messages(simulation.sent['h0'], SetWatch)
    } == {RULES}


def test_absent_endpoint_is_kept_for_a_while(
    simulation: ControlSimulation,
) -> None:
    """Entries expire during an outage of the store and return after it."""
    simulation.version += 1
    entry = simulation.entries.pop('m3')
    simulation.run(1)
    known = find_messages(simulation.sent['h0'], EndpointsUpdated)[-1]
    assert 'm3' in {found.endpoint for found in known.endpoints}
    simulation.run(2)
    known = find_messages(simulation.sent['h0'], EndpointsUpdated)[-1]
    assert 'm3' not in {found.endpoint for found in known.endpoints}
    simulation.version += 1
    simulation.entries['m3'] = entry
    simulation.run(0.5)
    known = find_messages(simulation.sent['h0'], EndpointsUpdated)[-1]
    assert 'm3' in {found.endpoint for found in known.endpoints}


def test_view_of_a_peer_states_its_age(simulation: ControlSimulation) -> None:
    """Rows that a peer read long ago must not renew a lease."""
    state = simulation.hosts['h0']
    simulation.now_s += 5
    view = tables.create_view(state, ShowView(), simulation.now_s)
    ages = {table.table: table.age_s for table in view.tables}
    assert ages[RECORDS] == pytest.approx(5.05)


def test_failover_is_abandoned_if_its_claim_conflicts(
    simulation: ControlSimulation,
) -> None:
    """A failover must not overwrite rows that others have changed."""
    simulation.set_entry('m1', draining=True)
    simulation.run(2.5)
    leader = simulation.read_record('duty')['holder']
    state = simulation.hosts[leader]
    simulation.store_unreachable.clear()
    simulation.version += 1
    newer = simulation.rows[PRIMARY_KEY]._replace(version=simulation.version)
    simulation.rows[PRIMARY_KEY] = newer
    sent = failover.start(state, SERVICE, 'test', simulation.now_s)
    for message in sent:
        simulation.perform(leader, message)
    assert not state['changes']
    assert (
        state['primaries'][SERVICE].version
        == simulation.rows[PRIMARY_KEY].version
    )
