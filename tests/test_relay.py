"""Request path of statements through the relay."""

from typing import Any

import pytest

from poplarspoke import session_host
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
from tests.relay_simulation import (
    PRIMARY,
    REPLICAS,
    SERVICE,
    RelaySimulation,
    find_messages,
)


@pytest.fixture
def simulation() -> RelaySimulation:
    """Returns a relay with a primary, two replicas and a lease."""
    return RelaySimulation()


def test_primary_route_is_served_by_the_primary_only(
    simulation: RelaySimulation,
) -> None:
    """A read of a primary route must not see a replica's older data."""
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'primary')
    forward = simulation.get_forward(simulation.send_read(1))
    assert simulation.get_endpoint(forward) == PRIMARY
    answer = simulation.get_answer(simulation.reply(forward, rows=('x',)))
    assert (answer.code, answer.rows) == (AnswerCode.DONE, ('x',))


def test_bounded_read_needs_an_observation(simulation: RelaySimulation) -> None:
    """Without one a replica may lack commits older than the staleness."""
    simulation.start_session(1, 'bounded')
    assert (
        simulation.get_endpoint(simulation.get_forward(simulation.send_read(1)))
        == PRIMARY
    )


def test_bounded_read_goes_to_a_replica_with_a_position(
    simulation: RelaySimulation,
) -> None:
    """Reads that tolerate staleness must not load the primary."""
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'bounded')
    forward = simulation.get_forward(simulation.send_read(1))
    assert simulation.get_endpoint(forward) in REPLICAS
    assert forward.after == Position(3, 7)


def test_old_observation_is_not_used(simulation: RelaySimulation) -> None:
    """A commit after an old observation may be older than the staleness."""
    simulation.observe_position(Position(3, 7))
    simulation.now_s += 2.6
    simulation.start_session(1, 'bounded')
    assert (
        simulation.get_endpoint(simulation.get_forward(simulation.send_read(1)))
        == PRIMARY
    )


def test_observation_without_a_lease_is_not_recorded(
    simulation: RelaySimulation,
) -> None:
    """A former primary's position says nothing about the new one's log."""
    simulation.start_session(9, 'primary')
    forward = simulation.get_forward(simulation.send_read(9))
    simulation.post(LeaseRevoked(SERVICE))
    simulation.reply(forward, position=Position(3, 7))
    assert not simulation.state['observations'].get(SERVICE)


def test_observation_from_before_the_lease_is_not_recorded(
    simulation: RelaySimulation,
) -> None:
    """A replica may answer before it has applied all the log it received.

    Its position, if it is promoted before the answer arrives, may lack commits
    that were acknowledged earlier.
    """
    simulation.observe_position(Position(3, 7))
    simulation.now_s += 0.1
    simulation.start_session(1, 'bounded')
    forward = simulation.get_forward(simulation.send_read(1))
    simulation.now_s += 0.1
    simulation.grant_lease(simulation.get_endpoint(forward))
    before = list(simulation.state['observations'][SERVICE])
    simulation.reply(forward, position=Position(3, 8))
    assert list(simulation.state['observations'][SERVICE]) == before


def test_own_write_is_read(simulation: RelaySimulation) -> None:
    """A session must read its own write, also when a replica serves it."""
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'read_own')
    simulation.reply(
        simulation.get_forward(simulation.send_write(1)),
        position=Position(3, 9),
    )
    assert (
        simulation.get_endpoint(simulation.get_forward(simulation.send_read(1)))
        == PRIMARY
    )
    simulation.start_session(2, 'read_own')
    simulation.now_s += 0.5
    simulation.state['sessions'][2]['position'] = Position(3, 9)
    forward = simulation.get_forward(simulation.send_read(2))
    assert simulation.get_endpoint(forward) in REPLICAS
    assert forward.after == Position(3, 9)


def test_lagging_replica_is_replaced(simulation: RelaySimulation) -> None:
    """A read that a lagging replica refuses must not fail."""
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'bounded')
    first = simulation.get_forward(simulation.send_read(1))
    second = simulation.get_forward(simulation.reply(first, AnswerCode.LAGGING))
    assert simulation.get_endpoint(second) != simulation.get_endpoint(first)


def test_write_without_a_lease_is_not_sent(simulation: RelaySimulation) -> None:
    """A host without a lease must not write to a former primary."""
    simulation.post(LeaseRevoked(SERVICE))
    simulation.start_session(1, 'primary')
    assert not find_messages(simulation.send_write(1), Forward)
    answers = find_messages(simulation.advance(1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.BUSY]
    assert 'retry-after-ms=' in answers[0].detail


@pytest.mark.parametrize('database', ['primary', 'bounded'])
def test_statement_is_not_sent_after_the_lease_ended(
    simulation: RelaySimulation,
    database: str,
) -> None:
    """A lease that ends while a connection opens must stop the statement.

    The old primary may lack what the new one has acknowledged by then.
    """
    simulation.start_session(1, database)
    opening = simulation.send_read(1)
    simulation.post(LeaseRevoked(SERVICE))
    assert not find_messages(simulation.connect(opening), Forward)
    outgoing = simulation.grant_lease(REPLICAS[0])
    assert (
        simulation.get_endpoint(simulation.get_forward(outgoing)) == REPLICAS[0]
    )


def test_write_waits_for_an_ordered_promotion(
    simulation: RelaySimulation,
) -> None:
    """A caller has two retries; a promotion takes up to a second."""
    simulation.start_session(1, 'primary')
    simulation.post(LeasesRenewed((), (SERVICE,)))
    simulation.send_write(1)
    assert not find_messages(simulation.advance(0.5), SendAnswer)
    outgoing = simulation.grant_lease(REPLICAS[0])
    assert (
        simulation.get_endpoint(simulation.get_forward(outgoing)) == REPLICAS[0]
    )


def test_write_to_an_unresponsive_primary_is_refused_at_once(
    simulation: RelaySimulation,
) -> None:
    """Another host may reach it, so the caller should retry there at once."""
    simulation.start_session(1, 'primary')
    simulation.state['endpoints'][PRIMARY]['unresponsive_since_s'] = (
        simulation.now_s - 1
    )
    simulation.state['endpoints'][PRIMARY]['last_failure_s'] = simulation.now_s
    simulation.state['endpoints'][PRIMARY]['backoff_until_s'] = (
        simulation.now_s + 1
    )
    simulation.send_write(1)
    answers = find_messages(simulation.advance(0.1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.BUSY]


def test_unresponsive_endpoint_is_tried_by_one_statement(
    simulation: RelaySimulation,
) -> None:
    """In a partition of a zone all statements waited for its endpoints."""
    for session in (1, 2):
        simulation.start_session(session, 'primary')
    simulation.get_forward(simulation.send_read(1))
    simulation.advance(0.45)
    assert not find_messages(simulation.send_read(2), OpenConnection)
    answers = find_messages(simulation.advance(0.1), SendAnswer)
    assert [answer.session for answer in answers] == [2]


def test_old_failures_do_not_make_an_endpoint_unresponsive(
    simulation: RelaySimulation,
) -> None:
    """A new primary must not be reported for failures before its promotion."""
    endpoint = simulation.state['endpoints'][PRIMARY]
    endpoint['unresponsive_since_s'] = simulation.now_s - 9
    endpoint['last_failure_s'] = simulation.now_s - 8
    assert not maintenance.is_unresponsive(endpoint, simulation.now_s)


def test_expired_lease_is_not_used(simulation: RelaySimulation) -> None:
    """A suspended host must not use a lease that expired in the meantime."""
    simulation.start_session(1, 'primary')
    simulation.now_s += 20
    outgoing = simulation.send_write(1)
    assert not find_messages(outgoing, OpenConnection)


def test_write_answered_after_the_lease_has_unknown_outcome(
    simulation: RelaySimulation,
) -> None:
    """A commit at a former primary must not be acknowledged."""
    simulation.start_session(1, 'primary')
    forward = simulation.get_forward(simulation.send_write(1))
    simulation.post(LeaseRevoked(SERVICE))
    answer = simulation.get_answer(
        simulation.reply(forward, position=Position(3, 8))
    )
    assert answer.code is AnswerCode.UNKNOWN_OUTCOME


def test_write_on_a_lost_connection_has_unknown_outcome(
    simulation: RelaySimulation,
) -> None:
    """A write that was sent may have run; it must not be sent again."""
    simulation.start_session(1, 'primary')
    forward = simulation.get_forward(simulation.send_write(1))
    lost = ConnectionLost(forward.connection, connected=True)
    outgoing = simulation.post(lost)
    assert simulation.get_answer(outgoing).code is AnswerCode.UNKNOWN_OUTCOME
    assert not find_messages(outgoing, Forward)


def test_write_with_unknown_outcome_sends_reads_to_the_primary(
    simulation: RelaySimulation,
) -> None:
    """A replica may lack a write whose position is unknown."""
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'read_own')
    forward = simulation.get_forward(simulation.send_write(1))
    simulation.post(ConnectionLost(forward.connection, connected=True))
    simulation.now_s += 1
    assert (
        simulation.get_endpoint(simulation.get_forward(simulation.send_read(1)))
        == PRIMARY
    )


def test_read_on_a_lost_connection_is_repeated(
    simulation: RelaySimulation,
) -> None:
    """A read is safe to repeat, so the caller must not see the failure."""
    simulation.start_session(1, 'primary')
    forward = simulation.get_forward(simulation.send_read(1))
    outgoing = simulation.post(
        ConnectionLost(forward.connection, connected=True)
    )
    assert simulation.get_forward(outgoing).statement == forward.statement


def test_read_without_an_answer_times_out(simulation: RelaySimulation) -> None:
    """An unresponsive primary must not block a caller beyond the timeout."""
    simulation.start_session(1, 'primary')
    simulation.get_forward(simulation.send_read(1))
    answers = find_messages(simulation.advance(1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.TIMEOUT]


def test_transaction_keeps_its_connection(simulation: RelaySimulation) -> None:
    """A statement of another session must not run in a transaction."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.start_session(2, 'primary')
    other = simulation.get_forward(simulation.send_write(2))
    assert other.connection != begin.connection
    inside = simulation.get_forward(simulation.send_write(1))
    assert inside.connection == begin.connection


def test_transaction_is_rolled_back_with_its_connection(
    simulation: RelaySimulation,
) -> None:
    """A caller must learn that its transaction was rolled back."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.post(ConnectionLost(begin.connection, connected=True))
    answer = simulation.get_answer(simulation.send_write(1))
    assert answer.code is AnswerCode.ABORTED
    assert answer.phase is SessionPhase.FAILED
    ended = simulation.get_answer(simulation.post(RollBackTransaction(1, 'e')))
    assert (ended.code, ended.phase) == (AnswerCode.DONE, SessionPhase.IDLE)


def test_commit_after_a_lost_lease_is_not_sent(
    simulation: RelaySimulation,
) -> None:
    """A commit at a former primary would be lost or run twice."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.reply(
        simulation.get_forward(simulation.send_write(1)),
        phase=SessionPhase.OPEN,
    )
    simulation.post(LeaseRevoked(SERVICE))
    outgoing = simulation.post(CommitTransaction(1, 'c'))
    assert not find_messages(outgoing, Forward)
    assert simulation.get_answer(outgoing).code is AnswerCode.ABORTED
    assert find_messages(outgoing, CloseConnection)


def test_commit_without_an_answer_has_unknown_outcome(
    simulation: RelaySimulation,
) -> None:
    """The transaction may have been committed."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.reply(
        simulation.get_forward(simulation.send_write(1)),
        phase=SessionPhase.OPEN,
    )
    commit = simulation.get_forward(simulation.post(CommitTransaction(1, 'c')))
    outgoing = simulation.post(
        ConnectionLost(commit.connection, connected=True)
    )
    assert simulation.get_answer(outgoing).code is AnswerCode.UNKNOWN_OUTCOME


def test_idle_transaction_ends(simulation: RelaySimulation) -> None:
    """An idle caller must not hold a connection indefinitely."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    outgoing = simulation.advance(3.5)
    assert find_messages(outgoing, CloseConnection) == [
        CloseConnection(begin.connection)
    ]
    assert not find_messages(outgoing, SendAnswer)


def test_connection_with_other_values_is_not_reused(
    simulation: RelaySimulation,
) -> None:
    """Values of one session must not be seen by another."""
    simulation.start_session(1, 'primary')
    simulation.post(SetValue(1, 's', 'app', 'till'))
    setup = simulation.get_forward(simulation.send_read(1))
    assert isinstance(setup.statement, SetValue)
    assert setup.statement.request_id == '-'
    read = simulation.get_forward(simulation.reply(setup))
    assert isinstance(read.statement, ReadItem)
    simulation.reply(read)
    simulation.start_session(2, 'primary')
    other = simulation.get_forward(simulation.send_read(2))
    assert other.connection != read.connection
    again = simulation.get_forward(simulation.send_read(1))
    assert again.connection == read.connection
    assert isinstance(again.statement, ReadItem)


def test_prepared_names_do_not_collide(simulation: RelaySimulation) -> None:
    """Sessions that use one name for different shapes must not mix them up."""
    for session, shape in ((1, 'one'), (2, 'two')):
        simulation.start_session(session, 'primary')
        simulation.post(
            PrepareStatement(session, 'p', 's', writes=False, shape=shape)
        )
        run = simulation.post(ExecutePrepared(session, f'e{session}', 's', '1'))
        prepare = simulation.get_forward(run)
        assert isinstance(prepare.statement, PrepareStatement)
        assert prepare.statement.shape == shape
        execute = simulation.get_forward(simulation.reply(prepare))
        assert execute.alias == prepare.alias
        simulation.reply(execute)
    names = simulation.state['connections'][execute.connection]['aliases']
    assert len(names) == 2


def test_unknown_prepared_name_is_refused(simulation: RelaySimulation) -> None:
    """A statement that another session prepared must not run."""
    simulation.start_session(1, 'primary')
    outgoing = simulation.post(ExecutePrepared(1, 'e', 's', '1'))
    assert simulation.get_answer(outgoing).code is AnswerCode.NO_STATEMENT


def test_revoked_key_stops_an_open_session(simulation: RelaySimulation) -> None:
    """A connected caller must not continue with a revoked key."""
    simulation.start_session(1, 'primary')
    rules = simulation.state['rules']
    simulation.post(rules._replace(version=2, workspaces=()))
    answer = simulation.get_answer(simulation.send_read(1))
    assert answer.code is AnswerCode.KEY_REFUSED


def test_older_rules_are_ignored(simulation: RelaySimulation) -> None:
    """The configuration in force must never revert to an older version."""
    rules = simulation.state['rules']
    simulation.post(rules._replace(version=0, workspaces=()))
    assert simulation.state['rules'] == rules


@pytest.mark.parametrize(
    ('database', 'key', 'code'),
    [
        ('none', 'key-of-blue', AnswerCode.UNKNOWN_DATABASE),
        ('primary', 'wrong', AnswerCode.KEY_REFUSED),
    ],
)
def test_session_is_refused(
    simulation: RelaySimulation, database: str, key: str, code: AnswerCode
) -> None:
    """A session without a route or key must not start."""
    refusals = find_messages(
        simulation.start_session(1, database, key), RefuseSession
    )
    assert [refusal.code for refusal in refusals] == [code]


def test_full_endpoint_is_tried_again(simulation: RelaySimulation) -> None:
    """All hosts share the connection limit; peers must close idle ones."""
    simulation.state['peers'] = ('b',)
    simulation.start_session(1, 'primary')
    opening = find_messages(simulation.send_read(1), OpenConnection)[0]
    lost = ConnectionLost(opening.connection, AnswerCode.TOO_MANY)
    outgoing = simulation.post(lost)
    assert find_messages(outgoing, ToHost) == [
        ToHost('b', ReleaseIdle('a', PRIMARY))
    ]
    assert find_messages(simulation.advance(0.1), OpenConnection)


def test_idle_connection_is_closed_for_a_peer(
    simulation: RelaySimulation,
) -> None:
    """A peer must get connections that are idle here, but no busy ones."""
    simulation.start_session(1, 'primary')
    forward = simulation.get_forward(simulation.send_read(1))
    assert not simulation.post(ReleaseIdle('b', PRIMARY))
    simulation.reply(forward)
    outgoing = simulation.post(ReleaseIdle('b', PRIMARY))
    assert outgoing == [CloseConnection(forward.connection)]


def test_leaving_endpoint_gets_no_reads(simulation: RelaySimulation) -> None:
    """A draining replica must get no new work."""
    simulation.observe_position(Position(3, 7))
    simulation.set_endpoints(draining=REPLICAS)
    simulation.start_session(1, 'bounded')
    assert (
        simulation.get_endpoint(simulation.get_forward(simulation.send_read(1)))
        == PRIMARY
    )


def test_leaving_primary_is_used_until_its_limit(
    simulation: RelaySimulation,
) -> None:
    """Until a new primary is promoted, writes would be refused needlessly."""
    simulation.set_endpoints(draining=(PRIMARY,))
    simulation.start_session(1, 'primary')
    simulation.reply(simulation.get_forward(simulation.send_write(1)))
    simulation.now_s += 5.6
    simulation.grant_lease(PRIMARY)
    assert not find_messages(simulation.send_write(1), Forward)


def test_primary_in_an_evacuated_zone_gets_no_writes_earlier(
    simulation: RelaySimulation,
) -> None:
    """The time limit of an evacuation is shorter than that of a drain."""
    simulation.set_endpoints(evacuated=('z1',))
    simulation.start_session(1, 'primary')
    simulation.reply(simulation.get_forward(simulation.send_write(1)))
    simulation.now_s += 3.6
    simulation.grant_lease(PRIMARY)
    assert not find_messages(simulation.send_write(1), Forward)


# Guards against reads and commits at an endpoint of an evacuated zone, long after
# the evacuation must have ended.
@pytest.mark.parametrize(
    'statement',
    [ReadItem(1, 'r', 'READ 1'), CommitTransaction(1, 'c')],
)
def test_transaction_in_an_evacuated_zone_ends(
    simulation: RelaySimulation, statement: Any
) -> None:
    """A transaction that only reads needs no lease."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(
        simulation.post(BeginTransaction(1, 'b', read_only=True))
    )
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.set_endpoints(evacuated=('z1',))
    for _ in range(3):
        read = simulation.get_forward(simulation.send_read(1))
        simulation.reply(read, phase=SessionPhase.OPEN)
        simulation.advance(1.1)
    simulation.grant_lease(PRIMARY)
    simulation.advance(1)
    outgoing = simulation.post(statement)
    assert not find_messages(outgoing, Forward)
    assert simulation.get_answer(outgoing).code is AnswerCode.ABORTED
    assert CloseConnection(begin.connection) in simulation.sent


# Guards against transactions that are cut off although their endpoint only drains.
def test_transaction_at_a_draining_endpoint_continues(
    simulation: RelaySimulation,
) -> None:
    """The endpoint serves until its open transactions have ended."""
    simulation.start_session(1, 'primary')
    begin = simulation.get_forward(
        simulation.post(BeginTransaction(1, 'b', read_only=True))
    )
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.set_endpoints(draining=(PRIMARY,))
    for _ in range(3):
        simulation.advance(2.5)
        read = simulation.get_forward(simulation.send_read(1))
        simulation.reply(read, phase=SessionPhase.OPEN)


def test_rate_is_shared_between_hosts() -> None:
    """All hosts together must stay within the rate of a workspace."""
    simulation = RelaySimulation(rate=8, hosts=4)
    simulation.advance(10)
    admitted = 0
    for number in range(40):
        simulation.start_session(number, 'primary')
        admitted += quotas.admit(simulation.state, 'blue', simulation.now_s)
    assert admitted == 2


def test_small_workspace_has_few_owners() -> None:
    """A share of less than one operation would refuse every operation."""
    simulation = RelaySimulation(rate=5, hosts=70)
    owners = quotas.list_owners(simulation.state, 'blue')
    assert len(owners) == quotas.MIN_OWNERS
    share = simulation.state['buckets']['blue']['floor']
    assert share == pytest.approx(('a' in owners) / 3)


def test_all_hosts_agree_on_the_owners() -> None:
    """If hosts disagree, their shares may add up to more than the rate."""
    simulation = RelaySimulation(rate=5, hosts=70)
    owners = quotas.list_owners(simulation.state, 'blue')
    names = ['a', *simulation.state['peers']]
    for name in names[:5]:
        settings = simulation.state['settings']._replace(name=name)
        simulation.state['settings'] = settings
        others = tuple(sorted(set(names) - {name}))
        simulation.post(HostsUpdated(70, others))
        assert set(quotas.list_owners(simulation.state, 'blue')) == set(owners)


def test_larger_share_takes_effect_after_a_delay() -> None:
    """A partitioned host may still use its larger share."""
    simulation = RelaySimulation(rate=80, hosts=4)
    simulation.post(HostsUpdated(2, ('peer-0',)))
    assert simulation.state['buckets']['blue']['floor'] == pytest.approx(0.25)
    simulation.advance(quotas.GROWTH_DELAY_S + 0.1)
    assert simulation.state['buckets']['blue']['floor'] == pytest.approx(0.5)


def test_fractions_of_a_token_are_not_lent() -> None:
    """Hosts that each have a fraction of a token can start no operation."""
    simulation = RelaySimulation(rate=8, hosts=2)
    simulation.empty_bucket()
    simulation.state['buckets']['blue']['level'] = 1.7
    first = simulation.post(BorrowTokens('b', 1, 'blue', 3, 1))[0].message
    second = simulation.post(BorrowTokens('c', 1, 'blue', 1, 1))[0].message
    assert (first.tokens, second.tokens) == (1, 0)
    assert simulation.refill_bucket() == pytest.approx(0.7)


def test_lent_room_stays_empty_until_the_loan_ends() -> None:
    """Lender and borrower together must not exceed the burst."""
    simulation = RelaySimulation(rate=8, hosts=2)
    simulation.advance(5)
    full = simulation.refill_bucket()
    reply = simulation.post(BorrowTokens('b', 1, 'blue', 2, 1))[0].message
    simulation.advance(quotas.LOAN_S * 0.9)
    level = simulation.refill_bucket()
    assert level + reply.tokens <= full + 1e-6
    simulation.advance(0.5)
    assert simulation.refill_bucket() > level


def test_operation_waits_for_a_borrowed_token() -> None:
    """A host whose demand exceeds its share must not refuse at once."""
    simulation = RelaySimulation(rate=8, hosts=2)
    simulation.start_session(1, 'primary')
    simulation.empty_bucket()
    requests = find_messages(simulation.send_read(1), ToHost)
    request = requests[0].message
    assert isinstance(request, BorrowTokens)
    grant = LendTokens(
        sender='peer-0',
        borrow_id=request.borrow_id,
        workspace='blue',
        tokens=1,
        incarnation=1,
    )
    assert isinstance(
        simulation.get_forward(simulation.post(grant)).statement, ReadItem
    )


def test_another_owner_is_asked_when_one_has_no_token() -> None:
    """All tokens of a workspace may be held by one owner."""
    simulation = RelaySimulation(rate=80, hosts=4)
    simulation.start_session(1, 'primary')
    simulation.empty_bucket()
    first = find_messages(simulation.send_read(1), ToHost)[0]
    request = first.message
    empty = LendTokens(first.host, request.borrow_id, 'blue', 0, 1)
    again = find_messages(simulation.post(empty), ToHost)
    assert [found.host != first.host for found in again] == [True]


def test_statement_over_the_rate_is_refused_at_once() -> None:
    """A caller over its rate must be told when to retry, not wait."""
    simulation = RelaySimulation(rate=8, hosts=2)
    simulation.start_session(1, 'primary')
    simulation.empty_bucket()
    simulation.send_read(1)
    answers = find_messages(simulation.advance(0.1), SendAnswer)
    assert [answer.code for answer in answers] == [AnswerCode.BUSY]


def test_lent_tokens_leave_the_bucket_of_the_lender() -> None:
    """Lender and borrower must not both spend a token."""
    simulation = RelaySimulation(rate=8, hosts=2)
    simulation.empty_bucket()
    simulation.state['buckets']['blue']['level'] = 3
    before = simulation.state['buckets']['blue']['level']
    reply = simulation.post(BorrowTokens('b', 1, 'blue', 100, 1))[0].message
    after = simulation.state['buckets']['blue']['level']
    assert reply.tokens > 0
    assert before - after == pytest.approx(reply.tokens)


def test_expired_grant_is_discarded() -> None:
    """Its owner has refilled the room, so it would exceed the burst."""
    simulation = RelaySimulation(rate=8, hosts=2)
    simulation.start_session(1, 'primary')
    simulation.empty_bucket()
    request = find_messages(simulation.send_read(1), ToHost)[0].message
    simulation.advance(2)
    level = simulation.state['buckets']['blue']['level']
    simulation.post(LendTokens('peer-0', request.borrow_id, 'blue', 3, 1))
    assert simulation.state['buckets']['blue']['level'] == pytest.approx(level)


def test_shutdown_closes_idle_sessions_only(
    simulation: RelaySimulation,
) -> None:
    """A graceful shutdown must not interrupt a statement."""
    simulation.start_session(1, 'primary')
    simulation.start_session(2, 'primary')
    simulation.post(ShutDown(6))
    simulation.now_s += 2.6
    forward = simulation.get_forward(simulation.send_write(2))
    outgoing = simulation.advance(0.4)
    assert EndSession(1) in outgoing
    assert EndSession(2) not in outgoing
    answer = simulation.get_answer(simulation.reply(forward))
    assert answer.code is AnswerCode.DONE


def test_busy_session_is_not_cut_off_by_a_shutdown() -> None:
    """A session without pauses is never idle enough to be closed.

    It was served until the process ended, which cut off its last statement.
    """
    simulation = RelaySimulation()
    simulation.start_session(1, 'primary')
    grace_s = simulation.state['settings'].grace_s
    simulation.post(ShutDown(grace_s))
    served_until_s = float(0)
    refused_since_s = float(0)
    waited_s = float(0)
    while waited_s < grace_s - session_host.EXIT_MARGIN_S:
        simulation.grant_lease(PRIMARY)
        outgoing = simulation.send_write(1)
        refusals = find_messages(outgoing, SendAnswer)
        if refusals:
            assert refusals[0].code is AnswerCode.BUSY
            refused_since_s = refused_since_s or waited_s
        else:
            served_until_s = waited_s
            simulation.reply(simulation.get_forward(outgoing))
        simulation.advance(0.1)
        waited_s += 0.1
    # The longest statement of the users' sites takes 0.17 s.
    assert grace_s / 2 < served_until_s < refused_since_s
    assert served_until_s < grace_s - session_host.EXIT_MARGIN_S - 0.5


def test_idle_sessions_move_to_other_zones(simulation: RelaySimulation) -> None:
    """Open sessions stayed in an isolated zone that refused them."""
    simulation.start_session(1, 'primary')
    simulation.start_session(2, 'primary')
    begun = simulation.post(BeginTransaction(2, 'r1'))
    simulation.reply(simulation.get_forward(begun), phase=SessionPhase.OPEN)
    simulation.post(ReadinessChanged(ready=False))
    # Callers that reconnect before the platform has taken the zone out of
    # rotation may reach it again.
    assert not find_messages(
        simulation.advance(maintenance.MOVE_DELAY_S - 0.1), EndSession
    )
    ended = find_messages(simulation.advance(0.6), EndSession)
    assert [entry.session for entry in ended] == [1]


def test_sessions_stay_after_a_short_partition(
    simulation: RelaySimulation,
) -> None:
    """A host that is ready again must keep its sessions."""
    simulation.start_session(1, 'primary')
    simulation.post(ReadinessChanged(ready=False))
    simulation.advance(1)
    simulation.post(ReadinessChanged(ready=True))
    assert not find_messages(simulation.advance(3), EndSession)


def test_pipelined_statements_run_in_order(simulation: RelaySimulation) -> None:
    """The second statement must wait for the answer to the first."""
    simulation.start_session(1, 'primary')
    first = simulation.get_forward(
        simulation.post(WriteItem(1, 'r1', 'WRITE 1 a'))
    )
    assert not simulation.post(WriteItem(1, 'r2', 'WRITE 1 b'))
    outgoing = simulation.reply(first)
    assert find_messages(outgoing, Forward)[0].statement.request_id == 'r2'
