"""Guards against sessions that do not read their own writes."""

import itertools
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from poplarspoke import routing, sessions, tokens
from poplarspoke.generated.common import Position
from poplarspoke.generated.routing import RouteQuery
from poplarspoke.generated.sessions import Session

DATABASE = 'label-core'
MEMBERS = 3
SECRETS = ('secret',)
members = st.integers(0, MEMBERS - 1)


class Entry(NamedTuple):
    """Log entry of the model; write 0 is the first entry of a new term."""

    term: int
    write: int = 0


class Member:
    """Database member of the model."""

    def __init__(self) -> None:
        """Starts with the first entry of term 1."""
        self.log = [Entry(1)]
        self.adopted_term = 1
        self.led_term = 0

    @property
    def last(self) -> Position:
        """Position of the last entry."""
        return Position(self.log[-1].term, len(self.log))

    @property
    def primary(self) -> bool:
        """Whether it believes that it is the primary of its last term."""
        return self.led_term == self.last.term


def test_unknown_gives_way_to_primary_answer() -> None:
    """Guards against a session that can never read replicas again."""
    marked = sessions.mark_unknown((), DATABASE, 2)
    answered = sessions.replace_position(marked, DATABASE, Position(2, 7))
    assert sessions.find_position(answered, DATABASE) == Position(2, 7)
    older = sessions.replace_position(marked, DATABASE, Position(1, 7))
    assert older == marked


def test_replica_of_same_term_fails_unknown_position() -> None:
    """Guards against a read that misses a write with unknown outcome."""
    required = Position(2, sessions.UNKNOWN_POSITION)
    last = Position(2, 10**9)
    assert not sessions.satisfies(last, required)
    assert sessions.satisfies(last, required, primary=True)
    assert sessions.satisfies(Position(3, 1), required)


class FailoverMachine(RuleBasedStateMachine):
    """One session over writes, lost entries, term changes and reads.

    If positions were compared without the term, the longer log of a former
    primary, with lost entries, would count as newer than its replacement.
    """

    def __init__(self) -> None:
        """Starts with member 0 as the primary of term 1."""
        super().__init__()
        self.members = [Member() for _ in range(MEMBERS)]
        self.members[0].led_term = 1
        self.token = ''
        self.acknowledged: set[int] = set()
        self.unknown_writes: dict[int, int] = {}
        self.promoted = {1: {0}}
        self.numbers = itertools.count(1)

    @property
    def primary(self) -> Member:
        """The primary of the highest term."""
        return max(self.members, key=lambda member: member.led_term)

    @property
    def positions(self) -> sessions.Positions:
        """Positions of the session, read from its token."""
        return tokens.verify(self.token, 'deli', SECRETS).positions

    @positions.setter
    def positions(self, positions: sessions.Positions) -> None:
        self.token = tokens.sign(Session(positions), 'deli', SECRETS)

    @rule(follower=members, own=st.booleans())
    def acknowledged_write(self, follower: int, own: bool) -> None:
        """A majority has the write, of this session or of another one."""
        primary = self.primary
        if self.members[follower] is primary:
            return
        write = next(self.numbers)
        primary.log.append(Entry(primary.led_term, write))
        self.copy_entries(follower, len(primary.log))
        if not own:
            return
        self.acknowledged.add(write)
        self.positions = sessions.replace_position(
            self.positions,
            DATABASE,
            primary.last,
        )

    @rule(target_member=members, executed=st.booleans())
    def unknown_write(self, target_member: int, executed: bool) -> None:
        """The answer is lost; the member may be a superseded primary."""
        member = self.members[target_member]
        if not member.primary:
            return
        term = member.led_term
        if executed:
            write = next(self.numbers)
            member.log.append(Entry(term, write))
            self.unknown_writes[write] = term
        self.positions = sessions.mark_unknown(self.positions, DATABASE, term)

    @rule(follower=members, entries=st.integers(1, 8))
    def replicate(self, follower: int, entries: int) -> None:
        """A member follows the primary; its diverging entries are lost."""
        if self.members[follower] is self.primary:
            return
        self.copy_entries(follower, entries)

    def copy_entries(self, follower: int, entries: int) -> None:
        """Discards diverging entries and copies up to a number of entries."""
        member, log = self.members[follower], self.primary.log
        common = 0
        while member.log[common : common + 1] == log[common : common + 1]:
            common += 1
            if common == min(len(member.log), len(log)):
                break
        member.log = log[: max(common, entries)]
        member.adopted_term = self.primary.led_term
        member.led_term = 0

    @rule(excluded=members)
    def fail_over(self, excluded: int) -> None:
        """A majority without one member promotes its most recent log."""
        voters = [
            member
            for number, member in enumerate(self.members)
            if number != excluded
        ]
        term = max(member.adopted_term for member in self.members) + 1
        for member in voters:
            member.adopted_term = term
            member.led_term = 0
        promoted = max(voters, key=lambda member: member.last)
        self.promoted[term] = {entry.write for entry in promoted.log}
        promoted.log.append(Entry(term))
        promoted.led_term = term

    @rule(target_member=members)
    def read(self, target_member: int) -> None:
        """Reads on any member; an accepted answer shows the own writes."""
        member = self.members[target_member]
        required = sessions.find_position(self.positions, DATABASE)
        query = RouteQuery(max_age_s=5, required=required)
        if not routing.accepts(query, member.last, 0, primary=member.primary):
            return
        visible = {entry.write for entry in member.log}
        assert self.acknowledged <= visible
        assert self.list_surviving_writes(member.last.term) <= visible
        merge = sessions.merge_position
        if member.primary:
            merge = sessions.replace_position
        self.positions = merge(self.positions, DATABASE, member.last)

    def list_surviving_writes(self, term: int) -> set[int]:
        """Writes with unknown outcome that the primary of a term has."""
        return {
            write
            for write, write_term in self.unknown_writes.items()
            if write_term == term or write in self.promoted[term]
        }

    @precondition(lambda machine: machine.token)
    @invariant()
    def check_primary_serves(self) -> None:
        """Guards against a requirement that no member can ever meet."""
        required = sessions.find_position(self.positions, DATABASE)
        last = self.primary.last
        assert sessions.satisfies(last, required, primary=True)


FailoverMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
)
TestFailover = FailoverMachine.TestCase
