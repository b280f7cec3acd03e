"""Acknowledged commits of a service whose members leave and are replaced."""

import functools
from typing import Any, NamedTuple, TypeAlias

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarspoke.control import candidates, coverage
from poplarspoke.control.candidates import GroupMember, Situation, Undecided
from poplarspoke.control.coverage import Observation
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import EndpointState, MemberRecord
from poplarspoke.generated.rules import EndpointRole

SERVICE = 'group'
REPLICA = EndpointRole.REPLICA
PRIMARY = EndpointRole.PRIMARY
LATE_S = 100.0
GONE = MemberRecord('m2', 'a2')


def answer(
    name: str, log: Position, role: EndpointRole = REPLICA, term: int = 1
) -> EndpointState:
    """Returns the state that a member answers with."""
    return EndpointState(SERVICE, name, True, role, term, log)


def observe(*answers: EndpointState, sync_replicas: int = 1) -> Observation:
    """Returns answers of registered members; the primary is m1."""
    return Observation(
        {state.endpoint: state for state in answers},
        primary='m1',
        registered=frozenset(('m1', 'm3', 'm4')),
        sync_replicas=sync_replicas,
    )


LEADER = answer('m1', Position(1, 9), PRIMARY)


# Guards against an outage because of a member that left for good.
def test_log_that_others_have_received_is_not_needed() -> None:
    """A replica has received all that the departed one may hold."""
    caught_up = observe(LEADER, answer('m3', Position(1, 9)))
    assert not coverage.list_needed([GONE], caught_up)


# Guards against commits that count as received because time has passed.
def test_log_is_needed_while_the_others_receive_nothing() -> None:
    """The end of the departed log is known, but no replica has it."""
    behind = observe(LEADER, answer('m3', Position(1, 8)))
    retained = GONE._replace(end=Position(1, 9))
    assert coverage.list_needed([GONE], behind) == [retained]


# Guards against a commit that two replicas had acknowledged, of which one has left
# and the other one does not answer later.
def test_as_many_replicas_as_acknowledge_a_commit_must_have_the_log() -> None:
    """One of two is not enough, whichever answers later."""
    one = observe(LEADER, answer('m3', Position(1, 9)), sync_replicas=2)
    assert coverage.list_needed([GONE], one)
    both = observe(
        LEADER,
        answer('m3', Position(1, 9)),
        answer('m4', Position(1, 9)),
        sync_replicas=2,
    )
    assert not coverage.list_needed([GONE], both)


# Guards against a bound that a primary without its log states.
def test_primary_without_a_log_proves_nothing() -> None:
    """It may have started again; another member may be the primary."""
    empty = answer('m1', Position(), PRIMARY)
    deposed = answer('m1', Position(1, 9))
    for state in (empty, deposed):
        seen = observe(state, answer('m3', Position(1, 9)))
        assert coverage.list_needed([GONE], seen) == [GONE]


# Guards against a member that has lost its entry only, and receives on.
def test_running_member_has_no_end() -> None:
    """It answers, although it is not registered."""
    seen = observe(
        LEADER, answer('m2', Position(1, 9)), answer('m3', Position(1, 9))
    )
    retained = GONE._replace(end=Position(1, 4))
    assert coverage.list_needed([retained], seen) == [GONE]


# Guards against a replica whose log of an older term will be rolled back.
def test_replica_of_an_older_term_does_not_count() -> None:
    """Its log is longer than that of the newer primary."""
    newest = answer('m1', Position(1, 8), PRIMARY, term=2)
    older = observe(newest, answer('m3', Position(1, 9)))
    assert coverage.list_needed([GONE], older)


# Guards against a wait for commits that a failover has rolled back.
def test_end_of_an_older_term_is_lowered() -> None:
    """The newer primary began before the end that was found earlier."""
    newest = answer('m1', Position(1, 8), PRIMARY, term=2)
    seen = observe(newest, answer('m3', Position(1, 8), term=2))
    retained = GONE._replace(end=Position(1, 9))
    assert not coverage.list_needed([retained], seen)


class Commit(NamedTuple):
    """The primary commits; these of the others receive its log up to then."""

    receivers: frozenset[int]


class Leave(NamedTuple):
    """A replica leaves; planned or not makes no difference to its log."""

    rank: int


class Replace(NamedTuple):
    """A member starts at the address of the departed one, with its log.

    Attributes:
        is_whole: Whether the log has arrived; otherwise half of it has.
    """

    rank: int
    is_whole: bool


class Forget(NamedTuple):
    """A replica starts again under its name, with a part of its log at most.

    Attributes:
        share: Share of its log that it has received again.
    """

    rank: int
    share: float


class Observe(NamedTuple):
    """The leader queries the members; these answer."""

    answering: frozenset[int]


class Fail(NamedTuple):
    """The primary is to be replaced.

    Attributes:
        answering: Members that answer.
        is_demoted: Whether the old primary answers and has been demoted.
        followers: Members that take over the log of the new primary.
    """

    answering: frozenset[int]
    is_demoted: bool
    followers: frozenset[int]


Event: TypeAlias = Commit | Leave | Replace | Forget | Observe | Fail
RANKS = st.integers(0, 3)
ALL = frozenset(range(4))
# Most commits are received, and most queries answered, by all members but one.
SUBSETS = st.one_of(
    RANKS.map(lambda rank: ALL - {rank}), st.just(ALL), st.frozensets(RANKS)
)
EVENTS = st.one_of(
    st.builds(Commit, SUBSETS),
    st.builds(Commit, RANKS.map(lambda rank: frozenset((rank,)))),
    st.builds(Commit, SUBSETS),
    st.builds(Leave, RANKS),
    st.builds(Replace, RANKS, st.booleans()),
    st.builds(Forget, RANKS, st.sampled_from((0, 0.5, 1))),
    st.builds(Observe, SUBSETS),
    st.builds(Fail, SUBSETS, st.booleans(), SUBSETS),
)


class Member(NamedTuple):
    """A registered member.

    Attributes:
        record: Its name, address and start.
        log: Positions in its log.
        term: Term of the primary that it has followed.
        is_settled: Whether its log does not grow by a transfer any more.
    """

    record: MemberRecord
    log: tuple[Position, ...] = ()
    term: int = 1
    is_settled: bool = True


class Group:
    """A group that checks each promotion."""

    def __init__(self, sync_replicas: int) -> None:
        """Starts a group whose first member is the primary."""
        self.members = [
            Member(MemberRecord(f'm{number}', f'a{number}'))
            for number in range(sync_replicas + 2)
        ]
        self.departed: list[MemberRecord] = []
        self.departed_logs: dict[str, tuple[Position, ...]] = {}
        self.primary = 'm0'
        self.term = 1
        self.start = Position()
        self.acknowledged: set[Position] = set()
        self.sync_replicas = sync_replicas
        self.started = 0

    def find_leader(self) -> Member | None:
        """Returns the primary if it is registered."""
        for member in self.members:
            if member.record.endpoint == self.primary:
                return member
        return None

    def list_replicas(self) -> list[Member]:
        """Returns the registered members besides the primary."""
        return [
            member
            for member in self.members
            if member.record.endpoint != self.primary
        ]

    def update(self, member: Member) -> None:
        """Replaces the state of a member."""
        names = [known.record.endpoint for known in self.members]
        self.members[names.index(member.record.endpoint)] = member

    def remove(self, member: Member) -> None:
        """Notes that a process of a member has ended."""
        self.members.remove(member)
        self.departed.append(member.record)
        self.departed_logs[member.record.address] = member.log

    def describe(self, answering: list[Member]) -> list[GroupMember]:
        """Returns the members besides the primary, as a leader knows them."""
        described = [
            GroupMember(
                member.record.endpoint,
                _answer(member) if member in answering else None,
                unchanged_s=LATE_S if member.is_settled else 0,
            )
            for member in self.list_replicas()
        ]
        described.extend(
            GroupMember(
                record.endpoint,
                is_gone=True,
                end=record.end,
                successor=self._find_successor(record),
            )
            for record in self.departed
            if record.endpoint != self.primary
        )
        return described

    def _find_successor(self, record: MemberRecord) -> str:
        for member in self.members:
            if member.record.endpoint == record.endpoint:
                return record.endpoint
        for member in self.members:
            if member.record.address == record.address:
                return member.record.endpoint
        return ''


def _answer(member: Member) -> EndpointState:
    log = member.log[-1] if member.log else Position()
    return answer(member.record.endpoint, log, term=member.term)


def _pick(members: list[Member], ranks: frozenset[int]) -> list[Member]:
    return [member for rank, member in enumerate(members) if rank in ranks]


@functools.singledispatch
def play(event: Any, group: Group) -> None:
    """Plays one event."""
    raise TypeError(f'{type(event).__name__} is not an event')


@play.register
def _(event: Commit, group: Group) -> None:
    leader = group.find_leader()
    if leader is None:
        return
    position = Position(group.term, len(leader.log) + 1)
    leader = leader._replace(log=(*leader.log, position), term=group.term)
    group.update(leader)
    receivers = _pick(group.list_replicas(), event.receivers)
    for member in receivers:
        group.update(
            member._replace(log=leader.log, term=group.term, is_settled=True)
        )
    if len(receivers) >= group.sync_replicas:
        group.acknowledged.update(leader.log)


@play.register
def _(event: Leave, group: Group) -> None:
    for member in _pick(group.list_replicas(), frozenset((event.rank,))):
        group.remove(member)


@play.register
def _(event: Replace, group: Group) -> None:
    taken = {member.record.address for member in group.members}
    vacant = [
        record for record in group.departed if record.address not in taken
    ]
    if event.rank >= len(vacant):
        return
    address = vacant[event.rank].address
    log = group.departed_logs[address]
    if not event.is_whole:
        log = log[: len(log) // 2]
    group.started += 1
    record = MemberRecord(f'n{group.started}', address)
    group.members.append(
        Member(record, log, group.term, is_settled=event.is_whole)
    )


@play.register
def _(event: Forget, group: Group) -> None:
    """The leader sees the new process while the primary answers."""
    if group.find_leader() is None:
        return
    for member in _pick(group.list_replicas(), frozenset((event.rank,))):
        group.remove(member)
        kept = member.log[: int(len(member.log) * event.share)]
        group.started += 1
        record = member.record._replace(born_ms=group.started)
        group.members.append(Member(record, kept, member.term))
        play(Observe(frozenset()), group)


@play.register
def _(event: Observe, group: Group) -> None:
    leader = group.find_leader()
    if leader is None:
        return
    primary = _answer(leader)._replace(role=PRIMARY, term=group.term)
    states = [primary]
    states.extend(map(_answer, _pick(group.list_replicas(), event.answering)))
    observation = Observation(
        {state.endpoint: state for state in states},
        group.primary,
        frozenset(member.record.endpoint for member in group.members),
        group.sync_replicas,
    )
    group.departed = coverage.list_needed(group.departed, observation)


@play.register
def _(event: Fail, group: Group) -> None:
    replicas = group.list_replicas()
    leader = group.find_leader()
    old = GroupMember(group.primary)
    if leader is not None and event.is_demoted:
        old = old._replace(answer=_answer(leader))
    choice = candidates.choose(
        Situation(
            old=old,
            others=tuple(group.describe(_pick(replicas, event.answering))),
            term=group.term,
            start=group.start,
            sync_replicas=group.sync_replicas,
            is_planned=False,
            waited_s=LATE_S,
        )
    )
    if isinstance(choice, Undecided):
        return
    members = {member.record.endpoint: member for member in group.members}
    promoted = members[choice.endpoint]
    lost = group.acknowledged.difference(promoted.log)
    assert not lost, f'{choice.endpoint} lacks {sorted(lost)}'
    group.term += 1
    group.start = promoted.log[-1] if promoted.log else Position()
    group.primary = choice.endpoint
    group.update(promoted._replace(term=group.term, is_settled=True))
    for member in _pick(group.list_replicas(), event.followers):
        group.update(
            member._replace(log=promoted.log, term=group.term, is_settled=True)
        )


# Guards against a promotion without commits that were acknowledged on the word of a
# member that has left, was replaced late or never, or started again.
@settings(max_examples=2000)
@given(st.integers(1, 2), st.lists(EVENTS, min_size=4, max_size=14))
def test_commits_outlive_the_members_that_received_them(
    sync_replicas: int, events: list[Event]
) -> None:
    """Each event may come at any moment."""
    group = Group(sync_replicas)
    for event in events:
        play(event, group)
