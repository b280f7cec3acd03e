"""Primary leases, leadership and failovers between hosts."""

import json

import pytest

from poplarspoke.control import failover, retirement, tables
from poplarspoke.control.state import RECORDS, RULES
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
from poplarspoke.generated.relay import EndpointsUpdated, EndpointUnresponsive
from poplarspoke.generated.rules import EndpointRole
from tests.control_world import (
    SERVICE,
    ControlWorld,
    find_messages,
    write_content,
)

PRIMARY_KEY = f'primary/{SERVICE}'


@pytest.fixture
def world() -> ControlWorld:
    """Returns three hosts that have recorded the first primary."""
    return ControlWorld()


def test_first_primary_is_recorded_once(world: ControlWorld) -> None:
    """Hosts that start together could record different primaries."""
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm1'
    assert world.read_record(PRIMARY_KEY)['change'] == 1
    assert [world.find_leased_primary(host) for host in world.hosts] == [
        'm1',
        'm1',
        'm1',
    ]


def test_no_first_primary_is_recorded_while_two_endpoints_claim_the_role() -> (
    None
):
    """A superseded primary could be recorded as the first one."""
    world = ControlWorld(hosts=0)
    world.set_entry('m2', role=EndpointRole.PRIMARY)
    world.start('h0')
    world.run(3)
    assert PRIMARY_KEY not in world.rows


def test_unregistered_host_holds_no_lease(world: ControlWorld) -> None:
    """A failover neither queries nor waits for an unregistered host."""
    world.rows.pop('host/h0')
    world.store_unreachable.add('h0')
    world.start('h0')
    rows = TableRows(
        RECORDS, tuple(world.rows.values()), world.version, world.now_s
    )
    world.post('h0', rows)
    assert not world.find_leased_primary('h0')


def test_lease_starts_when_the_request_was_sent(world: ControlWorld) -> None:
    """A delayed answer of the store must not extend a lease."""
    state = world.hosts['h0']
    world.store_unreachable.add('h0')
    asked_s = state['tables'][RECORDS]['confirmed_s']
    world.now_s = asked_s + tables.PRIMARY_LEASE_S + 0.1
    late = TableRows(RECORDS, (), world.version, asked_s)
    world.post('h0', late)
    assert not world.find_leased_primary('h0')


def test_older_rows_are_ignored(world: ControlWorld) -> None:
    """The view of a peer may be older than the tables of this host."""
    state = world.hosts['h0']
    before = state['primaries'][SERVICE]
    old = TableRows(
        RECORDS,
        (TableRow(PRIMARY_KEY, 1, content=write_content(before.record)),),
        1,
        world.now_s,
    )
    world.post('h0', old)
    assert state['primaries'][SERVICE] == before


def test_draining_primary_is_replaced(world: ControlWorld) -> None:
    """A draining primary must be replaced before its process ends."""
    world.set_entry('m1', draining=True)
    world.run(3)
    record = world.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m2', 'stable')
    assert world.members['m1'].role is EndpointRole.REPLICA
    assert len(world.orders) == 1
    assert [world.find_leased_primary(host) for host in world.hosts] == [
        'm2',
        'm2',
        'm2',
    ]


def test_replica_with_the_longest_log_is_promoted(world: ControlWorld) -> None:
    """A replica with a shorter log would lose acknowledged commits."""
    longest = world.members['m3']._replace(received=Position(1, 10))
    world.members['m3'] = longest
    world.dead.add('m1')
    world.set_entry('m1', draining=True)
    world.run(4)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm3'


def test_failover_waits_for_the_lease_of_an_unresponsive_host(
    world: ControlWorld,
) -> None:
    """A partitioned host may use the old primary until its lease ends."""
    world.store_unreachable.add('h0')
    world.unreachable.add('h0')
    world.set_entry('m1', draining=True)
    world.run(tables.PRIMARY_LEASE_S - 1)
    assert not world.orders
    assert world.find_leased_primary('h0') == 'm1'
    world.run(1.2)
    assert not world.find_leased_primary('h0')
    world.run(4)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm2'


def test_failed_host_delays_only_one_failover(world: ControlWorld) -> None:
    """Later failovers would wait for a lease that no process holds."""
    leader = world.read_record('duty')['holder']
    failed = next(name for name in world.hosts if name != leader)
    world.hosts.pop(failed)
    world.set_entry('m1', draining=True)
    world.run(tables.PRIMARY_LEASE_S + 4)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm2'
    world.run(retirement.REMOVE_AFTER_S + 3)
    assert world.rows[f'host/{failed}'].removed
    world.set_entry('m2', draining=True)
    world.run(5)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm3'


def test_running_host_registers_again_after_its_retirement(
    world: ControlWorld,
) -> None:
    """After a network partition a host would stay without leases."""
    world.unreachable.add('h2')
    world.store_unreachable.add('h2')
    world.set_entry('m1', draining=True)
    world.run(tables.PRIMARY_LEASE_S + 4)
    assert world.read_record('host/h2')['retired']
    world.unreachable.clear()
    world.store_unreachable.clear()
    world.run(1)
    assert not world.read_record('host/h2')['retired']
    assert world.find_leased_primary('h2') == 'm2'


def test_retired_host_holds_no_lease(world: ControlWorld) -> None:
    """Once its row is removed, no failover queries the host."""
    record = world.read_record('host/h2') | {'retired': True}
    state = world.hosts['h2']
    state['next_registration_s'] = world.now_s + 9
    world.version += 1
    world.rows['host/h2'] = TableRow(
        'host/h2', world.version, content=json.dumps(record)
    )
    world.run(0.3)
    assert not world.find_leased_primary('h2')


def test_no_host_holds_a_lease_while_another_endpoint_is_promoted(
    world: ControlWorld,
) -> None:
    """Two primaries in use at the same time lose or duplicate writes."""
    world.unreachable.add('h0')
    world.set_entry('m1', draining=True)
    for _ in range(200):
        before = len(world.orders)
        world.run(0.1)
        if len(world.orders) > before:
            held = [world.find_leased_primary(host) for host in world.hosts]
            assert 'm1' not in held
    assert len(world.orders) == 1


def test_former_leader_abandons_its_failovers(world: ControlWorld) -> None:
    """A former leader must not act under the token of the new one."""
    world.unreachable.update(('h0', 'h1', 'h2'))
    world.set_entry('m1', draining=True)
    world.run(2)
    leader = world.read_record('duty')['holder']
    assert world.hosts[leader]['changes']
    taken = LeaderRecord('other', 5, world.read_record('duty')['token'] + 1)
    world.version += 1
    world.rows['duty'] = TableRow(
        'duty', world.version, content=write_content(taken)
    )
    world.deliver_tables(leader)
    assert not world.hosts[leader]['changes']
    world.run(1)
    assert world.read_record('duty')['holder'] == 'other'


def test_new_leader_waits_for_orders_of_the_former_one(
    world: ControlWorld,
) -> None:
    """An order of the former leader may still be in transit."""
    world.version += 1
    old = LeaderRecord('gone', 1, 4)
    world.rows['duty'] = TableRow(
        'duty', world.version, content=write_content(old)
    )
    world.set_entry('m1', draining=True)
    world.run(2)
    assert not world.orders
    world.run(3)
    assert [order.token for order in world.orders] == [5]


def test_claims_of_leadership_have_a_backoff(world: ControlWorld) -> None:
    """Hosts would call an unavailable store with each tick."""
    world.store_unreachable.update(world.hosts)
    for state in world.hosts.values():
        state['endpoints']['m1'] = world.entries['m1']._replace(draining=True)
    world.run(3)
    claims = find_messages(world.sent['h0'], WriteRecords)
    assert 0 < len(claims) <= 5


def test_fencing_tokens_increase(world: ControlWorld) -> None:
    """The platform must never receive a lower token than before."""
    world.set_entry('m1', draining=True)
    world.run(3)
    leader = world.read_record('duty')['holder']
    world.hosts.pop(leader)
    world.set_entry('m2', draining=True)
    world.run(15)
    tokens = [order.token for order in world.orders]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) == len(tokens) == 2


def test_new_leader_finishes_a_failover_of_the_former_one(
    world: ControlWorld,
) -> None:
    """If the leader fails in a failover, the service has no primary."""
    world.unreachable.update(('h0', 'h1', 'h2'))
    world.set_entry('m1', draining=True)
    world.run(2)
    world.hosts.pop(world.read_record('duty')['holder'])
    world.unreachable.clear()
    world.run(15)
    record = world.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m2', 'stable')


def test_restarted_leader_does_not_block_leadership(
    world: ControlWorld,
) -> None:
    """Its answers must not count as those of the former process."""
    world.unreachable.update(('h0', 'h1', 'h2'))
    world.set_entry('m1', draining=True)
    world.run(1)
    leader = world.read_record('duty')['holder']
    for name in ('h0', 'h1', 'h2'):
        world.start(name, incarnation=2)
    world.unreachable.clear()
    world.run(8)
    record = world.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m2', 'stable')
    assert world.read_record('duty')['holder'] == leader
    assert world.read_record('duty')['incarnation'] == 2


def test_failover_leaves_the_leader_lease_unchanged(
    world: ControlWorld,
) -> None:
    """Failovers of several services share the condition on its row."""
    world.set_entry('m1', draining=True)
    world.run(3)
    version = world.rows['duty'].version
    world.set_entry('m2', draining=True)
    world.run(3)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm3'
    assert world.rows['duty'].version == version


def test_superseded_primary_is_not_recorded_as_the_new_one(
    world: ControlWorld,
) -> None:
    """One that could not be demoted still reports the primary role."""
    world.dead.add('m1')
    world.set_entry('m1', draining=True)
    world.run(4)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm2'
    stale = EndpointState(
        SERVICE, 'm1', True, EndpointRole.PRIMARY, 1, Position(1, 10)
    )
    world.dead.clear()
    world.members['m1'] = stale
    world.members['m3'] = world.members['m3']._replace(
        received=Position(2, 12), term=2
    )
    world.set_entry('m1', draining=False)
    world.set_entry('m2', draining=True)
    world.run(4)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm3'


def test_primary_that_only_one_host_cannot_reach_is_kept(
    world: ControlWorld,
) -> None:
    """A host that is partitioned from a primary must not replace it."""
    for _ in range(20):
        world.post('h0', EndpointUnresponsive('m1', SERVICE, world.now_s))
        world.run(0.1)
    assert not world.orders


def test_dead_primary_is_replaced(world: ControlWorld) -> None:
    """The reports of one host must suffice if no other host reaches it."""
    world.dead.add('m1')
    for _ in range(40):
        world.post('h0', EndpointUnresponsive('m1', SERVICE, world.now_s))
        world.run(0.1)
    assert world.read_record(PRIMARY_KEY)['endpoint'] == 'm2'


def test_primary_that_answers_again_before_the_release_is_kept(
    world: ControlWorld,
) -> None:
    """A short network partition must not cause a promotion as well."""
    world.dead.add('m1')
    world.unreachable.add('h2')
    world.store_unreachable.add('h2')
    for _ in range(30):
        world.post('h0', EndpointUnresponsive('m1', SERVICE, world.now_s))
        world.run(0.1)
    assert world.read_record(PRIMARY_KEY)['phase'] == 'changing'
    world.dead.clear()
    world.run(1)
    record = world.read_record(PRIMARY_KEY)
    assert (record['endpoint'], record['phase']) == ('m1', 'stable')
    assert not world.orders
    assert world.find_leased_primary('h0') == 'm1'


def test_confirmation_of_a_watcher_renews_leases(world: ControlWorld) -> None:
    """Leases must not expire while a peer still reads the store."""
    world.store_unreachable.add('h0')
    world.run(tables.PRIMARY_LEASE_S + 2)
    assert world.find_leased_primary('h0') == 'm1'


def test_confirmation_with_newer_rows_renews_nothing(
    world: ControlWorld,
) -> None:
    """One of the newer rows may start a failover."""
    world.store_unreachable.add('h0')
    state = world.hosts['h0']
    before_s = state['tables'][RECORDS]['confirmed_s']
    world.now_s += 1
    newest = max(row.version for row in world.rows.values()) + 1
    world.post('h0', Confirmation('h1', world.now_s, 0, 0, 0, newest))
    assert state['tables'][RECORDS]['confirmed_s'] == before_s


def test_confirmation_counts_from_the_query(world: ControlWorld) -> None:
    """A delayed answer of a peer must not extend a lease."""
    world.store_unreachable.add('h0')
    state = world.hosts['h0']
    newest = max(row.version for row in world.rows.values())
    asked_s = world.now_s + 1
    world.now_s += 5
    world.post('h0', Confirmation('h1', asked_s, 0.4, 0, 0, newest))
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    assert confirmed_s == pytest.approx(asked_s - 0.4)


def test_watch_that_is_behind_a_peer_is_restarted(world: ControlWorld) -> None:
    """A watch on a dead connection receives no changes."""
    world.store_unreachable.add('h0')
    world.sent['h0'].clear()
    for _ in range(8):
        world.now_s += 0.2
        world.post('h0', Confirmation('h1', world.now_s, 0, 99, 0, 0))
    assert {
        found.table for found in find_messages(world.sent['h0'], SetWatch)
    } == {RULES}


def test_absent_endpoint_is_kept_for_a_while(world: ControlWorld) -> None:
    """Entries expire in an outage of the store and return after it."""
    world.version += 1
    entry = world.entries.pop('m3')
    world.run(1)
    known = find_messages(world.sent['h0'], EndpointsUpdated)[-1]
    assert 'm3' in {found.endpoint for found in known.endpoints}
    world.run(2)
    known = find_messages(world.sent['h0'], EndpointsUpdated)[-1]
    assert 'm3' not in {found.endpoint for found in known.endpoints}
    world.version += 1
    world.entries['m3'] = entry
    world.run(0.5)
    known = find_messages(world.sent['h0'], EndpointsUpdated)[-1]
    assert 'm3' in {found.endpoint for found in known.endpoints}


def test_view_of_a_peer_states_its_age(world: ControlWorld) -> None:
    """Rows that a peer read long ago must not renew a lease."""
    state = world.hosts['h0']
    world.now_s += 5
    view = tables.create_view(state, ShowView(), world.now_s)
    ages = {table.table: table.age_s for table in view.tables}
    assert ages[RECORDS] == pytest.approx(5.05)


def test_failover_is_abandoned_if_its_claim_conflicts(
    world: ControlWorld,
) -> None:
    """A failover must not overwrite rows that others have changed."""
    world.set_entry('m1', draining=True)
    world.run(2.5)
    leader = world.read_record('duty')['holder']
    state = world.hosts[leader]
    world.store_unreachable.clear()
    world.version += 1
    newer = world.rows[PRIMARY_KEY]._replace(version=world.version)
    world.rows[PRIMARY_KEY] = newer
    sent = failover.start(state, SERVICE, 'test', world.now_s)
    for message in sent:
        world.perform(leader, message)
    assert not state['changes']
    assert (
        state['primaries'][SERVICE].version == world.rows[PRIMARY_KEY].version
    )
