"""Choice of a failover's candidate among members with different logs."""

from typing import NamedTuple, TypeAlias

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarspoke.control import candidates
from poplarspoke.control.candidates import (
    Chosen,
    GroupMember,
    Situation,
    Undecided,
)
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import EndpointState
from poplarspoke.generated.rules import EndpointRole

SERVICE = 'group'
MEMBERS = ('m1', 'm2', 'm3')
REPLICA = EndpointRole.REPLICA
PRIMARY = EndpointRole.PRIMARY
SOON_S = 0.1
LATE_S = 100.0
OTHER_LOGS = {'m2': Position(1, 9), 'm3': Position(1, 4)}


def answer(
    name: str, log: Position, role: EndpointRole = REPLICA
) -> EndpointState:
    """Returns the state that a member answers with."""
    return EndpointState(SERVICE, name, True, role, log.term, log)


def create_situation(
    logs: dict[str, Position],
    *,
    old: EndpointState | None = None,
    leaving: tuple[str, ...] = (),
    missing: tuple[str, ...] = (),
    sync_replicas: int = 1,
    waited_s: float = LATE_S,
) -> Situation:
    """Returns a situation in which some members answer with their logs."""
    others = [
        GroupMember(name, answer(name, log), name in leaving)
        for name, log in logs.items()
    ]
    others.extend(GroupMember(name) for name in missing)
    return Situation(
        old=GroupMember('m1', old),
        others=tuple(others),
        term=1,
        start=Position(),
        sync_replicas=sync_replicas,
        is_planned=False,
        waited_s=waited_s,
    )


# Guards against a replica that is promoted without the acknowledged commits, which
# only the replica that does not answer has received.
def test_replica_without_an_answer_is_waited_for() -> None:
    """The other replica has received nothing for a while."""
    situation = create_situation({'m3': Position(1, 4)}, missing=('m2',))
    choice = candidates.choose(situation)
    assert choice == Undecided('acknowledged commits may be only on m2')


# Guards against an endless wait for replicas that the commits did not need.
def test_fewer_missing_replicas_than_receivers_are_not_waited_for() -> None:
    """With two receivers for each commit, one of the others has it."""
    situation = create_situation(
        OTHER_LOGS, missing=('m4',), sync_replicas=2, waited_s=SOON_S
    )
    assert candidates.choose(situation) == Chosen(
        'm2', 'has all acknowledged commits'
    )


# Guards against a promotion without the end of the old primary's log.
def test_log_of_the_demoted_primary_is_needed() -> None:
    """The replica that had received it has crashed."""
    old = answer('m1', Position(1, 9))
    lagging = {'m3': Position(1, 4)}
    situation = create_situation(
        lagging, old=old, missing=('m2',), waited_s=SOON_S
    )
    assert isinstance(candidates.choose(situation), Undecided)
    # Nobody else has its log, so it leads again.
    situation = situation._replace(waited_s=LATE_S)
    assert candidates.choose(situation) == Chosen(
        'm1', 'has all acknowledged commits'
    )


# Guards against commits that count as lost since their holder drains.
def test_leaving_member_with_the_log_is_promoted() -> None:
    """It passes the log on before it is replaced."""
    situation = create_situation(OTHER_LOGS, leaving=('m2',))
    assert candidates.choose(situation) == Chosen(
        'm2', 'has all acknowledged commits'
    )


# Guards against the answer of a member that has lost its log.
@pytest.mark.parametrize(
    'situation',
    [
        create_situation(
            {'m3': Position(1, 4)},
            old=answer('m1', Position()),
            missing=('m2',),
        ),
        create_situation({'m2': Position(), 'm3': Position(1, 4)}),
    ],
    ids=['old-primary', 'replica'],
)
def test_empty_log_proves_nothing(situation: Situation) -> None:
    """A member may start again under its name and know nothing of before."""
    assert isinstance(candidates.choose(situation), Undecided)


# Guards against a promotion without the commits that a replica had received before
# it left, as planned or not.
def test_departed_replica_counts_as_missing() -> None:
    """Nobody has started at its address; the other replica received nothing."""
    situation = create_situation({'m3': Position(1, 4)})
    gone = GroupMember('m2', is_gone=True)
    situation = situation._replace(others=(*situation.others, gone))
    assert candidates.choose(situation) == Undecided(
        'acknowledged commits may be only on m2 (left, no successor)'
    )


# Guards against an outage that lasts although the commits are at hand.
@pytest.mark.parametrize(
    'gone',
    [
        GroupMember('m2', is_gone=True, end=Position(1, 9)),
        GroupMember('m2', is_gone=True, successor='m4'),
        GroupMember('m2', is_gone=True, successor='m4', end=Position(1, 99)),
    ],
    ids=['end received', 'successor', 'commits never acknowledged'],
)
def test_departed_replica_whose_log_is_on_others(gone: GroupMember) -> None:
    """Another replica has received its end, or a successor has its log."""
    logs = {'m3': Position(1, 4), 'm4': Position(1, 9)}
    situation = create_situation(logs)
    settled = [
        member._replace(unchanged_s=LATE_S) for member in situation.others
    ]
    situation = situation._replace(others=(*settled, gone))
    assert candidates.choose(situation) == Chosen(
        'm4', 'has all acknowledged commits'
    )


# Guards against the log of a successor that is still being transferred.
def test_growing_log_of_a_successor_proves_nothing() -> None:
    """Its answers differ."""
    logs = {'m3': Position(1, 4), 'm4': Position(1, 6)}
    situation = create_situation(logs)
    gone = GroupMember('m2', is_gone=True, successor='m4')
    situation = situation._replace(others=(*situation.others, gone))
    assert isinstance(candidates.choose(situation), Undecided)


# Guards against a replica that has lost its log and received a part of it again.
def test_replica_that_started_again_must_have_the_end_of_its_log() -> None:
    """The primary has stated the end after the new start."""
    logs = {'m2': Position(1, 6), 'm3': Position(1, 4)}
    situation = create_situation(logs)
    settled = [
        member._replace(unchanged_s=LATE_S) for member in situation.others
    ]
    former = GroupMember('m2', is_gone=True, successor='m2', end=Position(1, 9))
    situation = situation._replace(others=(*settled, former))
    assert isinstance(candidates.choose(situation), Undecided)
    unknown = former._replace(end=Position())
    situation = situation._replace(others=(*settled, unknown))
    assert isinstance(candidates.choose(situation), Chosen)


# Guards against a promotion that hosts cannot use.
def test_running_member_without_an_entry_is_not_promoted() -> None:
    """It has only lost its entry; its log counts."""
    situation = create_situation({'m3': Position(1, 4)})
    running = GroupMember('m2', answer('m2', Position(1, 9)), is_gone=True)
    situation = situation._replace(others=(*situation.others, running))
    assert candidates.choose(situation) == Undecided(
        'no member that answers has the log up to 1.9'
    )


# Guards against an outage in a service without synchronous replication.
def test_longest_log_in_time_is_promoted_without_synchronous_replicas() -> None:
    """Commits are acknowledged before any replica has received them."""
    situation = create_situation(
        OTHER_LOGS, missing=('m4',), sync_replicas=0, waited_s=SOON_S
    )
    assert isinstance(candidates.choose(situation), Undecided)
    situation = situation._replace(waited_s=candidates.ANSWER_TIMEOUT_S)
    assert candidates.choose(situation) == Chosen('m2', 'has the longest log')


# Guards against an old primary that has lost its log and answers first.
@pytest.mark.parametrize('sync_replicas', [0, 1])
@pytest.mark.parametrize('waited_s', [SOON_S, LATE_S])
def test_old_primary_without_its_log_is_not_promoted(
    sync_replicas: int, waited_s: float
) -> None:
    """Its replicas have not answered yet."""
    situation = create_situation(
        {},
        old=answer('m1', Position()),
        missing=('m2', 'm3'),
        sync_replicas=sync_replicas,
        waited_s=waited_s,
    )
    situation = situation._replace(term=0)
    assert isinstance(candidates.choose(situation), Undecided)


# Guards against an outage when only the old primary comes back.
def test_old_primary_with_its_log_leads_again() -> None:
    """Its replicas are down; it is not replaced because it leaves."""
    situation = create_situation(
        {},
        old=answer('m1', Position(1, 9)),
        missing=('m2', 'm3'),
        sync_replicas=0,
    )
    assert candidates.choose(situation) == Chosen(
        'm1', 'only one with the newest term'
    )
    soon = situation._replace(waited_s=SOON_S)
    assert isinstance(candidates.choose(soon), Undecided)


class Commit(NamedTuple):
    """The primary commits; these of the others receive its log up to then."""

    receivers: frozenset[str]


class Fail(NamedTuple):
    """The primary is to be replaced.

    Attributes:
        answering: Members that answer.
        leaving: Members that drain.
        is_demoted: Whether the old primary is a replica when it answers.
        followers: Members that take over the log of the new primary.
        waited_s: Time since the hosts released the old primary.
    """

    answering: frozenset[str]
    leaving: frozenset[str]
    is_demoted: bool
    followers: frozenset[str]
    waited_s: float


Event: TypeAlias = Commit | Fail
SUBSETS = st.frozensets(st.sampled_from(MEMBERS))
EVENTS = st.one_of(
    st.builds(Commit, SUBSETS),
    st.builds(
        Fail,
        SUBSETS,
        SUBSETS,
        st.booleans(),
        SUBSETS,
        st.sampled_from((SOON_S, 1.0, LATE_S)),
    ),
)


class Group:
    """A group that checks each promotion."""

    def __init__(self, sync_replicas: int) -> None:
        """Starts a group whose first member is the primary."""
        self.logs: dict[str, list[Position]] = {name: [] for name in MEMBERS}
        self.primary = MEMBERS[0]
        self.term = 1
        self.start = Position()
        self.acknowledged: set[Position] = set()
        self._sync_replicas = sync_replicas

    def commit(self, event: Commit) -> None:
        """Commits, and acknowledges if enough replicas have received it."""
        log = self.logs[self.primary]
        log.append(Position(self.term, len(log) + 1))
        receivers = event.receivers - {self.primary}
        for name in receivers:
            self.logs[name] = list(log)
        if len(receivers) >= self._sync_replicas:
            self.acknowledged.update(log)

    def fail(self, event: Fail) -> None:
        """Chooses a candidate and promotes it."""
        members = {name: self._describe(name, event) for name in self.logs}
        choice = candidates.choose(
            Situation(
                old=members.pop(self.primary),
                others=tuple(members.values()),
                term=self.term,
                start=self.start,
                sync_replicas=self._sync_replicas,
                is_planned=False,
                waited_s=event.waited_s,
            )
        )
        if isinstance(choice, Undecided):
            return
        promoted = self.logs[choice.endpoint]
        if event.waited_s < candidates.OLD_TERM_TIMEOUT_S:
            newest = self.logs[self.primary]
            assert promoted == newest[: len(promoted)], 'commits come back'
        lost = self.acknowledged.difference(promoted)
        assert not lost or not self._sync_replicas, (
            f'{choice.endpoint} lacks {sorted(lost)}'
        )
        self.primary = choice.endpoint
        self.term += 1
        self.start = promoted[-1] if promoted else Position()
        for name in event.followers - {self.primary}:
            self.logs[name] = list(promoted)

    def _describe(self, name: str, event: Fail) -> GroupMember:
        if name not in event.answering:
            return GroupMember(name, is_leaving=name in event.leaving)
        log = self.logs[name][-1] if self.logs[name] else Position()
        leads = name == self.primary and not event.is_demoted
        state = EndpointState(
            SERVICE, name, True, PRIMARY if leads else REPLICA, self.term, log
        )
        return GroupMember(name, state, name in event.leaving)


# Guards against a sequence of failovers that drops acknowledged commits of a
# service with synchronous replicas, or that brings back commits of a superseded
# primary.
@settings(max_examples=1000)
@given(st.integers(0, 2), st.lists(EVENTS, max_size=12))
def test_promoted_member_has_all_acknowledged_commits(
    sync_replicas: int, events: list[Event]
) -> None:
    """Members answer or not, drain, and follow a new primary or not."""
    group = Group(sync_replicas)
    for event in events:
        if isinstance(event, Commit):
            group.commit(event)
            continue
        group.fail(event)


# Guards against a group that stays without a primary although all members answer.
@given(
    st.integers(0, 3),
    st.lists(st.integers(1, 9), min_size=3, max_size=3),
    st.booleans(),
)
def test_group_whose_members_answer_gets_a_primary(
    sync_replicas: int, positions: list[int], old_answers: bool
) -> None:
    """Only what does not answer is waited for."""
    logs = {
        name: Position(1, position)
        for name, position in zip(('m2', 'm3', 'm4'), positions, strict=True)
    }
    old = answer('m1', Position(1, max(positions))) if old_answers else None
    situation = create_situation(logs, old=old, sync_replicas=sync_replicas)
    assert isinstance(candidates.choose(situation), Chosen)
