"""Request path of statements through the relay."""

import pytest

from poplarspoke.generated.common import Position
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    CloseConnection,
    CommitTransaction,
    ConnectionLost,
    EndSession,
    ExecutePrepared,
    HostsUpdated,
    LeaseRevoked,
    LeasesRenewed,
    OpenConnection,
    PrepareStatement,
    ReadinessChanged,
    ReadItem,
    RefuseSession,
    ReleaseIdle,
    RollBackTransaction,
    SendAnswer,
    SessionPhase,
    SetValue,
    ShutDown,
    WriteItem,
)
from poplarspoke.relay import maintenance, quotas
from poplarspoke.relay.messages import Forward
from poplarspoke.tasks import ToHost
from tests.relay_world import PRIMARY, REPLICAS, SERVICE, RelayWorld, find


@pytest.fixture
def world() -> RelayWorld:
    """Returns a relay with a primary, two replicas and a lease."""
    return RelayWorld()


def test_primary_route_is_served_by_the_primary_only(
    world: RelayWorld,
) -> None:
    """A read of a primary route must not see a replica's older data."""
    world.observe(Position(3, 7))
    world.start(1, 'primary')
    forward = world.forward(world.read(1))
    assert world.locate(forward) == PRIMARY
    answer = world.answer(world.reply(forward, rows=('x',)))
    assert (answer.code, answer.rows) == (AnswerCode.DONE, ('x',))


def test_bounded_read_needs_an_observation(world: RelayWorld) -> None:
    """Without one a replica may lack commits older than the staleness."""
    world.start(1, 'bounded')
    assert world.locate(world.forward(world.read(1))) == PRIMARY


def test_bounded_read_goes_to_a_replica_with_a_position(
    world: RelayWorld,
) -> None:
    """Reads that tolerate staleness must not load the primary."""
    world.observe(Position(3, 7))
    world.start(1, 'bounded')
    forward = world.forward(world.read(1))
    assert world.locate(forward) in REPLICAS
    assert forward.after == Position(3, 7)


def test_old_observation_is_not_used(world: RelayWorld) -> None:
    """A commit after an old observation may be older than the staleness."""
    world.observe(Position(3, 7))
    world.now_s += 2.6
    world.start(1, 'bounded')
    assert world.locate(world.forward(world.read(1))) == PRIMARY


def test_observation_without_a_lease_is_not_recorded(world: RelayWorld) -> None:
    """A former primary's position says nothing about the new one's log."""
    world.start(9, 'primary')
    forward = world.forward(world.read(9))
    world.post(LeaseRevoked(SERVICE))
    world.reply(forward, position=Position(3, 7))
    assert not world.state['observations'].get(SERVICE)


def test_observation_from_before_the_lease_is_not_recorded(
    world: RelayWorld,
) -> None:
    """A replica may answer before it has applied all the log it received.

    Its position, if it is promoted before the answer arrives, may lack commits
    that were acknowledged earlier.
    """
    world.observe(Position(3, 7))
    world.now_s += 0.1
    world.start(1, 'bounded')
    forward = world.forward(world.read(1))
    world.now_s += 0.1
    world.lease(world.locate(forward))
    before = list(world.state['observations'][SERVICE])
    world.reply(forward, position=Position(3, 8))
    assert list(world.state['observations'][SERVICE]) == before


def test_own_write_is_read(world: RelayWorld) -> None:
    """A session must read its own write, also when a replica serves it."""
    world.observe(Position(3, 7))
    world.start(1, 'read_own')
    world.reply(world.forward(world.write(1)), position=Position(3, 9))
    assert world.locate(world.forward(world.read(1))) == PRIMARY
    world.start(2, 'read_own')
    world.now_s += 0.5
    world.state['sessions'][2]['position'] = Position(3, 9)
    forward = world.forward(world.read(2))
    assert world.locate(forward) in REPLICAS
    assert forward.after == Position(3, 9)


def test_lagging_replica_is_replaced(world: RelayWorld) -> None:
    """A read that a lagging replica refuses must not fail."""
    world.observe(Position(3, 7))
    world.start(1, 'bounded')
    first = world.forward(world.read(1))
    second = world.forward(world.reply(first, AnswerCode.LAGGING))
    assert world.locate(second) != world.locate(first)


def test_write_without_a_lease_is_not_sent(world: RelayWorld) -> None:
    """A host without a lease must not write to a former primary."""
    world.post(LeaseRevoked(SERVICE))
    world.start(1, 'primary')
    assert not find(world.write(1), Forward)
    answers = find(world.tick(1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.BUSY]
    assert 'retry-after-ms=' in answers[0].detail


@pytest.mark.parametrize('database', ['primary', 'bounded'])
def test_statement_is_not_sent_after_the_lease_ended(
    world: RelayWorld,
    database: str,
) -> None:
    """A lease that ends while a connection opens must stop the statement.
    The old primary may lack what the new one has acknowledged by then.
    """
    world.start(1, database)
    opening = world.read(1)
    world.post(LeaseRevoked(SERVICE))
    assert not find(world.connect(opening), Forward)
    outgoing = world.lease(REPLICAS[0])
    assert world.locate(world.forward(outgoing)) == REPLICAS[0]


def test_write_waits_for_an_ordered_promotion(world: RelayWorld) -> None:
    """A caller has two retries; a promotion takes up to a second."""
    world.start(1, 'primary')
    world.post(LeasesRenewed((), (SERVICE,)))
    world.write(1)
    assert not find(world.tick(0.5), SendAnswer)
    outgoing = world.lease(REPLICAS[0])
    assert world.locate(world.forward(outgoing)) == REPLICAS[0]


def test_write_to_an_unresponsive_primary_is_refused_at_once(
    world: RelayWorld,
) -> None:
    """Another host may reach it, so the caller should retry there at once."""
    world.start(1, 'primary')
    world.state['endpoints'][PRIMARY]['unresponsive_since_s'] = world.now_s - 1
    world.state['endpoints'][PRIMARY]['last_failure_s'] = world.now_s
    world.state['endpoints'][PRIMARY]['backoff_until_s'] = world.now_s + 1
    world.write(1)
    answers = find(world.tick(0.1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.BUSY]


def test_unresponsive_endpoint_is_tried_by_one_statement(
    world: RelayWorld,
) -> None:
    """In a partition of a zone all statements waited for its endpoints."""
    for session in (1, 2):
        world.start(session, 'primary')
    world.forward(world.read(1))
    world.tick(0.45)
    assert not find(world.read(2), OpenConnection)
    answers = find(world.tick(0.1), SendAnswer)
    assert [answer.session for answer in answers] == [2]


def test_old_failures_do_not_make_an_endpoint_unresponsive(
    world: RelayWorld,
) -> None:
    """A new primary must not be reported for failures before its promotion."""
    endpoint = world.state['endpoints'][PRIMARY]
    endpoint['unresponsive_since_s'] = world.now_s - 9
    endpoint['last_failure_s'] = world.now_s - 8
    assert not maintenance.is_unresponsive(endpoint, world.now_s)


def test_expired_lease_is_not_used(world: RelayWorld) -> None:
    """A suspended host must not use a lease that expired in the meantime."""
    world.start(1, 'primary')
    world.now_s += 20
    outgoing = world.write(1)
    assert not find(outgoing, OpenConnection)


def test_write_answered_after_the_lease_has_unknown_outcome(
    world: RelayWorld,
) -> None:
    """A commit at a former primary must not be acknowledged."""
    world.start(1, 'primary')
    forward = world.forward(world.write(1))
    world.post(LeaseRevoked(SERVICE))
    answer = world.answer(world.reply(forward, position=Position(3, 8)))
    assert answer.code is AnswerCode.UNKNOWN_OUTCOME


def test_write_on_a_lost_connection_has_unknown_outcome(
    world: RelayWorld,
) -> None:
    """A write that was sent may have run; it must not be sent again."""
    world.start(1, 'primary')
    forward = world.forward(world.write(1))
    lost = ConnectionLost(forward.connection, connected=True)
    outgoing = world.post(lost)
    assert world.answer(outgoing).code is AnswerCode.UNKNOWN_OUTCOME
    assert not find(outgoing, Forward)


def test_write_with_unknown_outcome_sends_reads_to_the_primary(
    world: RelayWorld,
) -> None:
    """A replica may lack a write whose position is unknown."""
    world.observe(Position(3, 7))
    world.start(1, 'read_own')
    forward = world.forward(world.write(1))
    world.post(ConnectionLost(forward.connection, connected=True))
    world.now_s += 1
    assert world.locate(world.forward(world.read(1))) == PRIMARY


def test_read_on_a_lost_connection_is_repeated(world: RelayWorld) -> None:
    """A read is safe to repeat, so the caller must not see the failure."""
    world.start(1, 'primary')
    forward = world.forward(world.read(1))
    outgoing = world.post(ConnectionLost(forward.connection, connected=True))
    assert world.forward(outgoing).statement == forward.statement


def test_read_without_an_answer_times_out(world: RelayWorld) -> None:
    """An unresponsive primary must not block a caller beyond the timeout."""
    world.start(1, 'primary')
    world.forward(world.read(1))
    answers = find(world.tick(1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.TIMEOUT]


def test_transaction_keeps_its_connection(world: RelayWorld) -> None:
    """A statement of another session must not run in a transaction."""
    world.start(1, 'primary')
    begin = world.forward(world.post(BeginTransaction(1, 'b')))
    world.reply(begin, phase=SessionPhase.OPEN)
    world.start(2, 'primary')
    other = world.forward(world.write(2))
    assert other.connection != begin.connection
    inside = world.forward(world.write(1))
    assert inside.connection == begin.connection


def test_transaction_is_rolled_back_with_its_connection(
    world: RelayWorld,
) -> None:
    """A caller must learn that its transaction was rolled back."""
    world.start(1, 'primary')
    begin = world.forward(world.post(BeginTransaction(1, 'b')))
    world.reply(begin, phase=SessionPhase.OPEN)
    world.post(ConnectionLost(begin.connection, connected=True))
    answer = world.answer(world.write(1))
    assert answer.code is AnswerCode.ABORTED
    assert answer.phase is SessionPhase.FAILED
    ended = world.answer(world.post(RollBackTransaction(1, 'e')))
    assert (ended.code, ended.phase) == (AnswerCode.DONE, SessionPhase.IDLE)


def test_commit_after_a_lost_lease_is_not_sent(world: RelayWorld) -> None:
    """A commit at a former primary would be lost or run twice."""
    world.start(1, 'primary')
    begin = world.forward(world.post(BeginTransaction(1, 'b')))
    world.reply(begin, phase=SessionPhase.OPEN)
    world.reply(world.forward(world.write(1)), phase=SessionPhase.OPEN)
    world.post(LeaseRevoked(SERVICE))
    outgoing = world.post(CommitTransaction(1, 'c'))
    assert not find(outgoing, Forward)
    assert world.answer(outgoing).code is AnswerCode.ABORTED
    assert find(outgoing, CloseConnection)


def test_commit_without_an_answer_has_unknown_outcome(
    world: RelayWorld,
) -> None:
    """The transaction may have been committed."""
    world.start(1, 'primary')
    begin = world.forward(world.post(BeginTransaction(1, 'b')))
    world.reply(begin, phase=SessionPhase.OPEN)
    world.reply(world.forward(world.write(1)), phase=SessionPhase.OPEN)
    commit = world.forward(world.post(CommitTransaction(1, 'c')))
    outgoing = world.post(ConnectionLost(commit.connection, connected=True))
    assert world.answer(outgoing).code is AnswerCode.UNKNOWN_OUTCOME


def test_idle_transaction_ends(world: RelayWorld) -> None:
    """An idle caller must not hold a connection indefinitely."""
    world.start(1, 'primary')
    begin = world.forward(world.post(BeginTransaction(1, 'b')))
    world.reply(begin, phase=SessionPhase.OPEN)
    outgoing = world.tick(3.5)
    assert find(outgoing, CloseConnection) == [
        CloseConnection(begin.connection)
    ]
    assert not find(outgoing, SendAnswer)


def test_connection_with_other_values_is_not_reused(
    world: RelayWorld,
) -> None:
    """Values of one session must not be seen by another."""
    world.start(1, 'primary')
    world.post(SetValue(1, 's', 'app', 'till'))
    setup = world.forward(world.read(1))
    assert isinstance(setup.statement, SetValue)
    assert setup.statement.request_id == '-'
    read = world.forward(world.reply(setup))
    assert isinstance(read.statement, ReadItem)
    world.reply(read)
    world.start(2, 'primary')
    other = world.forward(world.read(2))
    assert other.connection != read.connection
    again = world.forward(world.read(1))
    assert again.connection == read.connection
    assert isinstance(again.statement, ReadItem)


def test_prepared_names_do_not_collide(world: RelayWorld) -> None:
    """Sessions that use one name for different shapes must not mix them up."""
    for session, shape in ((1, 'one'), (2, 'two')):
        world.start(session, 'primary')
        world.post(
            PrepareStatement(session, 'p', 's', writes=False, shape=shape)
        )
        run = world.post(ExecutePrepared(session, f'e{session}', 's', '1'))
        prepare = world.forward(run)
        assert isinstance(prepare.statement, PrepareStatement)
        assert prepare.statement.shape == shape
        execute = world.forward(world.reply(prepare))
        assert execute.alias == prepare.alias
        world.reply(execute)
    names = world.state['connections'][execute.connection]['aliases']
    assert len(names) == 2


def test_unknown_prepared_name_is_refused(world: RelayWorld) -> None:
    """A statement that another session prepared must not run."""
    world.start(1, 'primary')
    outgoing = world.post(ExecutePrepared(1, 'e', 's', '1'))
    assert world.answer(outgoing).code is AnswerCode.NO_STATEMENT


def test_revoked_key_stops_an_open_session(world: RelayWorld) -> None:
    """A connected caller must not continue with a revoked key."""
    world.start(1, 'primary')
    rules = world.state['rules']
    world.post(rules._replace(version=2, workspaces=()))
    answer = world.answer(world.read(1))
    assert answer.code is AnswerCode.KEY_REFUSED


def test_older_rules_are_ignored(world: RelayWorld) -> None:
    """The configuration in force must never revert to an older version."""
    rules = world.state['rules']
    world.post(rules._replace(version=0, workspaces=()))
    assert world.state['rules'] == rules


@pytest.mark.parametrize(
    ('database', 'key', 'code'),
    [
        ('none', 'key-of-blue', AnswerCode.UNKNOWN_DATABASE),
        ('primary', 'wrong', AnswerCode.KEY_REFUSED),
    ],
)
def test_session_is_refused(
    world: RelayWorld, database: str, key: str, code: AnswerCode
) -> None:
    """A session without a route or key must not start."""
    refusals = find(world.start(1, database, key), RefuseSession)
    assert [refusal.code for refusal in refusals] == [code]


def test_full_endpoint_is_tried_again(world: RelayWorld) -> None:
    """All hosts share the connection limit; peers must close idle ones."""
    world.state['peers'] = ('b',)
    world.start(1, 'primary')
    opening = find(world.read(1), OpenConnection)[0]
    lost = ConnectionLost(opening.connection, AnswerCode.TOO_MANY)
    outgoing = world.post(lost)
    assert find(outgoing, ToHost) == [ToHost('b', ReleaseIdle('a', PRIMARY))]
    assert find(world.tick(0.1), OpenConnection)


def test_idle_connection_is_closed_for_a_peer(world: RelayWorld) -> None:
    """A peer must get connections that are idle here, but no busy ones."""
    world.start(1, 'primary')
    forward = world.forward(world.read(1))
    assert not world.post(ReleaseIdle('b', PRIMARY))
    world.reply(forward)
    outgoing = world.post(ReleaseIdle('b', PRIMARY))
    assert outgoing == [CloseConnection(forward.connection)]


def test_leaving_endpoint_gets_no_reads(world: RelayWorld) -> None:
    """A draining replica must get no new work."""
    world.observe(Position(3, 7))
    world.set_endpoints(draining=REPLICAS)
    world.start(1, 'bounded')
    assert world.locate(world.forward(world.read(1))) == PRIMARY


def test_leaving_primary_is_used_until_its_bound(world: RelayWorld) -> None:
    """Until a new primary is promoted, writes would be refused needlessly."""
    world.set_endpoints(draining=(PRIMARY,))
    world.start(1, 'primary')
    world.reply(world.forward(world.write(1)))
    world.now_s += 5.6
    world.lease(PRIMARY)
    assert not find(world.write(1), Forward)


def test_primary_in_an_evacuated_zone_gets_no_writes_earlier(
    world: RelayWorld,
) -> None:
    """The time limit of an evacuation is shorter than that of a drain."""
    world.set_endpoints(evacuated=('z1',))
    world.start(1, 'primary')
    world.reply(world.forward(world.write(1)))
    world.now_s += 3.6
    world.lease(PRIMARY)
    assert not find(world.write(1), Forward)


def test_rate_is_shared_between_hosts() -> None:
    """All hosts together must stay within the rate of a workspace."""
    world = RelayWorld(rate=8, hosts=4)
    world.tick(10)
    admitted = 0
    for number in range(40):
        world.start(number, 'primary')
        admitted += quotas.admit(world.state, 'blue', world.now_s)
    assert admitted == 2


def test_small_workspace_has_few_owners() -> None:
    """A share of less than one operation would refuse every operation."""
    world = RelayWorld(rate=5, hosts=70)
    owners = quotas.list_owners(world.state, 'blue')
    assert len(owners) == quotas.MIN_OWNERS
    share = world.state['buckets']['blue']['floor']
    assert share == pytest.approx(('a' in owners) / 3)


def test_all_hosts_agree_on_the_owners() -> None:
    """If hosts disagree, their shares may add up to more than the rate."""
    world = RelayWorld(rate=5, hosts=70)
    owners = quotas.list_owners(world.state, 'blue')
    names = ['a', *world.state['peers']]
    for name in names[:5]:
        settings = world.state['settings']._replace(name=name)
        world.state['settings'] = settings
        others = tuple(sorted(set(names) - {name}))
        world.post(HostsUpdated(70, others))
        assert set(quotas.list_owners(world.state, 'blue')) == set(owners)


def test_larger_share_takes_effect_after_a_delay() -> None:
    """A partitioned host may still use its larger share."""
    world = RelayWorld(rate=80, hosts=4)
    world.post(HostsUpdated(2, ('peer-0',)))
    assert world.state['buckets']['blue']['floor'] == pytest.approx(0.25)
    world.tick(quotas.GROWTH_DELAY_S + 0.1)
    assert world.state['buckets']['blue']['floor'] == pytest.approx(0.5)


def test_fractions_of_a_token_are_not_lent() -> None:
    """Hosts that each have a fraction of a token can start no operation."""
    world = RelayWorld(rate=8, hosts=2)
    world.empty_bucket()
    world.state['buckets']['blue']['level'] = 1.7
    first = world.post(BorrowTokens('b', 1, 'blue', 3, 1))[0].message
    second = world.post(BorrowTokens('c', 1, 'blue', 1, 1))[0].message
    assert (first.tokens, second.tokens) == (1, 0)
    assert world.refill_bucket() == pytest.approx(0.7)


def test_lent_room_stays_empty_until_the_loan_ends() -> None:
    """Lender and borrower together must not exceed the burst."""
    world = RelayWorld(rate=8, hosts=2)
    world.tick(5)
    full = world.refill_bucket()
    reply = world.post(BorrowTokens('b', 1, 'blue', 2, 1))[0].message
    world.tick(0.9)
    level = world.refill_bucket()
    assert level + reply.tokens <= full + 1e-6
    world.tick(0.5)
    assert world.refill_bucket() > level


def test_operation_waits_for_a_borrowed_token() -> None:
    """A host whose demand exceeds its share must not refuse at once."""
    world = RelayWorld(rate=8, hosts=2)
    world.start(1, 'primary')
    world.empty_bucket()
    requests = find(world.read(1), ToHost)
    request = requests[0].message
    assert isinstance(request, BorrowTokens)
    grant = LendTokens(
        sender='peer-0',
        borrow_id=request.borrow_id,
        workspace='blue',
        tokens=1,
        incarnation=1,
    )
    assert isinstance(world.forward(world.post(grant)).statement, ReadItem)


def test_another_owner_is_asked_when_one_has_no_token() -> None:
    """All tokens of a workspace may be held by one owner."""
    world = RelayWorld(rate=80, hosts=4)
    world.start(1, 'primary')
    world.empty_bucket()
    first = find(world.read(1), ToHost)[0]
    request = first.message
    empty = LendTokens(first.host, request.borrow_id, 'blue', 0, 1)
    again = find(world.post(empty), ToHost)
    assert [found.host != first.host for found in again] == [True]


def test_statement_over_the_rate_is_refused_at_once() -> None:
    """A caller over its rate must be told when to retry, not wait."""
    world = RelayWorld(rate=8, hosts=2)
    world.start(1, 'primary')
    world.empty_bucket()
    world.read(1)
    answers = find(world.tick(0.1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.BUSY]


def test_lent_tokens_leave_the_bucket_of_the_lender() -> None:
    """Lender and borrower must not both spend a token."""
    world = RelayWorld(rate=8, hosts=2)
    world.empty_bucket()
    world.state['buckets']['blue']['level'] = 3
    before = world.state['buckets']['blue']['level']
    reply = world.post(BorrowTokens('b', 1, 'blue', 100, 1))[0].message
    after = world.state['buckets']['blue']['level']
    assert reply.tokens > 0
    assert before - after == pytest.approx(reply.tokens)


def test_expired_grant_is_discarded() -> None:
    """Its owner has refilled the room, so it would exceed the burst."""
    world = RelayWorld(rate=8, hosts=2)
    world.start(1, 'primary')
    world.empty_bucket()
    request = find(world.read(1), ToHost)[0].message
    world.tick(2)
    level = world.state['buckets']['blue']['level']
    world.post(LendTokens('peer-0', request.borrow_id, 'blue', 3, 1))
    assert world.state['buckets']['blue']['level'] == pytest.approx(level)


def test_shutdown_closes_idle_sessions_only(world: RelayWorld) -> None:
    """A graceful shutdown must not interrupt a statement."""
    world.start(1, 'primary')
    world.start(2, 'primary')
    world.post(ShutDown(6))
    world.now_s += 2.6
    forward = world.forward(world.write(2))
    outgoing = world.tick(0.4)
    assert EndSession(1) in outgoing
    assert EndSession(2) not in outgoing
    answer = world.answer(world.reply(forward))
    assert answer.code is AnswerCode.DONE


def test_idle_sessions_move_to_other_zones(world: RelayWorld) -> None:
    """Open sessions stayed in an isolated zone that refused them."""
    world.start(1, 'primary')
    world.start(2, 'primary')
    begun = world.post(BeginTransaction(2, 'r1'))
    world.reply(world.forward(begun), phase=SessionPhase.OPEN)
    world.post(ReadinessChanged(ready=False))
    # Callers that reconnect before the platform has taken the zone out of
    # rotation may reach it again.
    assert not find(world.tick(maintenance.MOVE_DELAY_S - 0.1), EndSession)
    ended = find(world.tick(0.6), EndSession)
    assert [entry.session for entry in ended] == [1]


def test_sessions_stay_after_a_short_partition(world: RelayWorld) -> None:
    """A host that is ready again must keep its sessions."""
    world.start(1, 'primary')
    world.post(ReadinessChanged(ready=False))
    world.tick(1)
    world.post(ReadinessChanged(ready=True))
    assert not find(world.tick(3), EndSession)


def test_pipelined_statements_run_in_order(world: RelayWorld) -> None:
    """The second statement must wait for the answer to the first."""
    world.start(1, 'primary')
    first = world.forward(world.post(WriteItem(1, 'r1', 'WRITE 1 a')))
    assert not world.post(WriteItem(1, 'r2', 'WRITE 1 b'))
    outgoing = world.reply(first)
    assert find(outgoing, Forward)[0].statement.request_id == 'r2'
