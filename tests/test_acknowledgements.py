"""Guards against acknowledgements without a majority in the right term."""

from typing import Any

import pytest

from poplarspoke import acknowledgements, invariants, majorities
from poplarspoke.generated.acknowledgements import (
    AwaitMajority,
    MajorityMissed,
    MajorityReached,
)
from poplarspoke.generated.common import Position, Tick
from poplarspoke.generated.failover import EndpointAnswered
from poplarspoke.generated.members import Confirm, Confirmed, MemberStatus
from poplarspoke.tasks import Reply, ToEndpoint

MEMBERS = ('m1', 'm2', 'm3')
TERM = 4


class Group:
    """The acknowledgement state of a database with its outstanding calls."""

    def __init__(self, members: tuple[str, ...] = MEMBERS) -> None:
        """Starts without statements."""
        self.state = acknowledgements.create_state('db', members)
        self.now_s: float = 10
        self.calls: dict[str, Any] = {}
        self.replies: dict[str, Any] = {}

    def send(self, message: Any) -> None:
        """Handles a message and records the calls and replies."""
        for out in acknowledgements.decide(message, self.state, self.now_s):
            match out:
                case ToEndpoint():
                    self.calls[out.endpoint] = out.message
                case Reply():
                    self.replies[out.request_id] = out.message

    def wait_for(
        self,
        request_id: str,
        position: int,
        *,
        term: int = TERM,
        primary: str = 'm1',
    ) -> None:
        """Starts a statement that waits for its majority."""
        place = Position(term, position)
        self.send(AwaitMajority(request_id, primary, place, 1))

    def answer(
        self,
        endpoint: str,
        *,
        confirmed: bool = True,
        term: int = TERM,
        call: Any = None,
    ) -> None:
        """Answers the latest or a given call of a member."""
        sent_call = call or self.calls.pop(endpoint)
        body = Confirmed(confirmed, term)
        self.send(EndpointAnswered(sent_call.call_id, endpoint, False, body))

    def list_reached(self) -> list[str]:
        """Returns the ids of the statements that were acknowledged."""
        return [
            request_id
            for request_id, reply in self.replies.items()
            if isinstance(reply, MajorityReached)
            and reply.request_id == request_id
        ]

    def drop_answer(self, endpoint: str) -> None:
        """Drops the answer to the latest call of a member."""
        sent_call = self.calls.pop(endpoint)
        lost = EndpointAnswered(
            sent_call.call_id, endpoint, True, MemberStatus()
        )
        self.send(lost)


@pytest.fixture
def group() -> Group:
    """Three members without statements."""
    return Group()


def test_primary_and_one_replica_are_a_majority(group: Group) -> None:
    """Guards against waits for every member and against a majority of one."""
    group.wait_for('a', 7)
    assert set(group.calls) == {'m2', 'm3'}
    assert not group.replies
    group.answer('m3')
    assert group.list_reached() == ['a']


def test_round_does_not_cover_a_later_statement(group: Group) -> None:
    """Guards against a confirmation that predates the statement (R2).

    A strict read awaits the end of the log, and so may an earlier statement.
    The member may have answered that call before it adopted a later term, in
    which the read would miss acknowledged writes.
    """
    group.wait_for('write', 7)
    group.wait_for('read', 7)
    group.answer('m2')
    assert set(group.replies) == {'write'}
    assert group.calls['m2'].body == Confirm(
        Position(TERM, 7), acknowledgements.CONFIRM_WAIT_S
    )
    group.answer('m2')
    assert set(group.replies) == {'write', 'read'}


def test_round_does_not_cover_a_higher_position(group: Group) -> None:
    """Guards against a confirmation by a member without the entry (R2)."""
    group.wait_for('low', 7)
    group.wait_for('high', 9)
    group.answer('m2')
    assert set(group.replies) == {'low'}


def test_one_round_covers_all_earlier_statements(group: Group) -> None:
    """Guards against one call for each write."""
    group.wait_for('first', 1)
    for number in range(2, 20):
        group.wait_for(f's{number}', number)
    group.answer('m2')
    group.answer('m2')
    assert len(group.replies) == 19
    assert group.state['calls'] <= 4


@pytest.mark.parametrize('term', [TERM - 1, TERM + 1, 0])
def test_confirmation_of_another_term_does_not_count(
    group: Group, term: int
) -> None:
    """Guards against acknowledgements of a superseded primary (R2)."""
    group.wait_for('a', 7)
    group.answer('m2', term=term)
    assert not isinstance(group.replies.get('a'), MajorityReached)


def test_call_for_another_term_does_not_count(group: Group) -> None:
    """Guards against a call of one term that covers a statement of another.

    The member has (5, 9), which does not confirm (4, 3): a log of term 5 may
    have replaced that entry.
    """
    group.wait_for('new', 9, term=TERM + 1, primary='m2')
    group.wait_for('old', 3)
    group.answer('m3', term=TERM + 1)
    assert set(group.replies) == {'new'}


def test_late_answer_to_an_earlier_call_is_dropped(group: Group) -> None:
    """Guards against a late answer that counts for the next call (R9)."""
    group.wait_for('first', 7)
    earlier = group.calls['m2']
    group.drop_answer('m2')
    group.now_s += acknowledgements.RETRY_BACKOFF_S
    group.send(Tick())
    assert group.calls['m2'].call_id != earlier.call_id
    group.answer('m2', call=earlier)
    assert not group.replies
    group.answer('m2')
    assert set(group.replies) == {'first'}


def test_superseded_statement_fails_at_once(group: Group) -> None:
    """Guards against a wait until the deadline without a possible majority."""
    group.wait_for('a', 7)
    group.answer('m2', confirmed=False, term=TERM + 1)
    assert not group.replies
    group.answer('m3', confirmed=False, term=TERM + 2)
    assert group.replies == {'a': MajorityMissed('a', TERM + 2)}


def test_deadline_ends_the_wait(group: Group) -> None:
    """Guards against statements that wait without limit."""
    group.wait_for('a', 7)
    group.drop_answer('m2')
    group.drop_answer('m3')
    group.now_s += 1
    group.send(Tick())
    assert group.replies == {'a': MajorityMissed('a', 0)}
    assert not group.state['pending']


def test_lost_call_is_repeated(group: Group) -> None:
    """Guards against an unknown outcome after a single lost answer."""
    group.wait_for('a', 7)
    group.drop_answer('m2')
    assert 'm2' not in group.calls
    group.now_s += acknowledgements.RETRY_BACKOFF_S
    group.send(Tick())
    group.answer('m2')
    assert group.list_reached() == ['a']


def test_single_member_needs_no_confirmation() -> None:
    """Guards against a database of one member without acknowledgements."""
    group = Group(('m1',))
    group.wait_for('a', 1)
    assert group.list_reached() == ['a']


def test_foreign_primary_breaks_invariant(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the assertion that the primary is a member of the group."""
    monkeypatch.setattr(majorities, 'is_acknowledged', lambda *_: True)
    group.wait_for('a', 7, primary='other')
    with pytest.raises(invariants.InvariantError, match='R2'):
        group.answer('m2')
