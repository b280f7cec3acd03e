"""Choice of the endpoint that a failover promotes.

An acknowledged commit must be in the log of the promoted member, as with Raft's
election restriction: the last term counts first, then the length of the log. With
synchronous replication a commit is acknowledged once some replicas have received
it, so the choice needs the log of the old primary, or so many answers that at
least one is from a replica that has received the last acknowledged commit. A
replica that has left counts as one without an answer, as planned or not, until an
answer shows a log that has all that it may have held.
"""

from typing import NamedTuple, TypeAlias

from poplarspoke.generated.common import Position
from poplarspoke.generated.control import EndpointState
from poplarspoke.generated.rules import EndpointRole

# Without synchronous replication, members that do not answer within this time are
# not waited for.
ANSWER_TIMEOUT_S = 0.5
# Replicas receive the end of a demoted primary's log within this time.
CATCH_UP_TIMEOUT_S = 2.5
# Members that have the log of the newest term come back within this time, unless
# they are lost. Until then an outage is preferred to the log of a superseded
# primary, which would bring back commits that were rolled back.
OLD_TERM_TIMEOUT_S = 10.0
# The log of a member that left is on its successor once that has answered with the
# same log for this long: a transfer under way makes it grow.
TRANSFER_TIMEOUT_S = 0.5
EMPTY_LOG = Position()


class GroupMember(NamedTuple):
    """A member of a group, as the leader knows it.

    Attributes:
        endpoint: Name of the member.
        answer: Its state, from a query that was sent after the hosts had released
            the old primary; None without an answer.
        is_leaving: Whether it is draining or in an evacuated zone.
        is_excluded: Whether the platform could not promote it.
        is_gone: Whether it is no longer registered.
        end: End of the log of the primary at a time when this member had left, so
            that it holds nothing beyond; empty if unknown.
        successor: Registered member at the address, or with the name, of one that
            has left; empty if there is none.
        unchanged_s: Time in seconds between its first and its newest answer with
            this log.
    """

    endpoint: str
    answer: EndpointState | None = None
    is_leaving: bool = False
    is_excluded: bool = False
    is_gone: bool = False
    end: Position = EMPTY_LOG
    successor: str = ''
    unchanged_s: float = 0


class Situation(NamedTuple):
    """What is known when a candidate is to be chosen.

    Attributes:
        old: The old primary.
        others: The other members, also those that are gone and may hold commits
            that no other member has.
        term: Newest term that is known to have had a primary.
        start: End of the log with which that term began; empty if unknown.
        sync_replicas: Number of replicas that have received a commit when it is
            acknowledged.
        is_planned: Whether the old primary may still answer and then be demoted.
        waited_s: Time in seconds since the hosts released the old primary.
    """

    old: GroupMember
    others: tuple[GroupMember, ...]
    term: int
    start: Position
    sync_replicas: int
    is_planned: bool
    waited_s: float


class Chosen(NamedTuple):
    """The candidate.

    Attributes:
        endpoint: Name of the candidate.
        reason: Why it may lead, for the log.
    """

    endpoint: str
    reason: str


class Undecided(NamedTuple):
    """No member may be promoted yet.

    Attributes:
        reason: What is waited for, for the log.
    """

    reason: str


Choice: TypeAlias = Chosen | Undecided


def choose(situation: Situation) -> Choice:
    """Returns the candidate, or why there is none yet."""
    candidates = [
        member
        for member in situation.others
        if _may_be_promoted(member) and not member.is_leaving
    ]
    for member in candidates:
        if is_newer_primary(member.answer, situation.term):
            return Chosen(member.endpoint, 'already the primary')
    if situation.sync_replicas:
        return _choose_safe(situation, candidates)
    return _choose_longest(situation, candidates)


def is_newer_primary(answer: EndpointState | None, term: int) -> bool:
    """Returns whether a member is the primary of a newer term.

    A superseded primary that could not be demoted still reports that role.
    """
    if answer is None or answer.role is not EndpointRole.PRIMARY:
        return False
    return answer.term > term


def describe(situation: Situation) -> str:
    """Returns the inputs of a choice for the log."""
    members = (situation.old, *situation.others)
    logs = ', '.join(map(_describe_member, members))
    return (
        f'{logs}; term {situation.term} '
        f'after {_format_log(situation.start)}, '
        f'{situation.sync_replicas} synchronous replicas'
    )


def _choose_safe(situation: Situation, candidates: list[GroupMember]) -> Choice:
    """Chooses a member that provably has all acknowledged commits.

    If no member that stays has them, one that leaves is promoted, so that the
    others receive its log before it is replaced.
    """
    bound = _find_bound(situation)
    if bound is None:
        missing = ','.join(map(_name_missing, _list_missing(situation)))
        return Undecided(f'acknowledged commits may be only on {missing}')
    holders = _list_holders(situation, candidates, bound)
    if not holders and _is_caught_up(situation):
        members = [*situation.others, situation.old]
        holders = _list_holders(situation, members, bound)[:1]
    if holders:
        longest = _find_longest(holders)
        return Chosen(longest.endpoint, 'has all acknowledged commits')
    needed = max(bound, situation.start)
    holders = [member for member in candidates if _find_log(member) >= needed]
    if holders and situation.waited_s >= OLD_TERM_TIMEOUT_S:
        return Chosen(
            _find_longest(holders).endpoint,
            'has all acknowledged commits, but none of the newest term',
        )
    return Undecided(
        f'no member that answers has the log up to {_format_log(needed)}'
    )


def _choose_longest(
    situation: Situation, candidates: list[GroupMember]
) -> Choice:
    """Chooses the longest log among the members that answer in time."""
    current = _list_current(situation, candidates)
    if not current:
        return _choose_without_current(situation, candidates)
    longest = _find_longest(current)
    old_log = _find_old_log(situation)
    if old_log is not None and situation.waited_s < CATCH_UP_TIMEOUT_S:
        if _find_log(longest) < old_log:
            return Undecided('no member has the log of the old primary')
        return Chosen(longest.endpoint, 'has the log of the old primary')
    if situation.waited_s < ANSWER_TIMEOUT_S:
        if situation.is_planned or _is_awaited(situation):
            return Undecided('not all members have answered')
    return Chosen(longest.endpoint, 'has the longest log')


def _choose_without_current(
    situation: Situation, candidates: list[GroupMember]
) -> Choice:
    """Chooses among the logs of superseded primaries, after some time."""
    old = situation.old
    is_late = situation.waited_s >= CATCH_UP_TIMEOUT_S
    if is_late and _may_be_promoted(old) and not old.is_leaving:
        if _find_old_log(situation) is not None:
            return Chosen(old.endpoint, 'only one with the newest term')
    if not candidates:
        return Undecided('no member answers')
    if situation.waited_s < OLD_TERM_TIMEOUT_S:
        return Undecided(f'only logs from before term {situation.term} found')
    longest = _find_longest(candidates)
    return Chosen(
        longest.endpoint, 'has the longest log, but none of the newest term'
    )


def _find_bound(situation: Situation) -> Position | None:
    """Returns the position up to which commits may be acknowledged.

    The result is None if members without an answer may have received more.
    """
    old_log = _find_old_log(situation)
    if old_log is not None:
        return old_log
    if len(_list_missing(situation)) >= situation.sync_replicas:
        return None
    return _find_longest_log(situation)


def _find_old_log(situation: Situation) -> Position | None:
    """Returns the end of the old primary's log, once it commits no more.

    A primary that has started again without its log answers with a shorter one
    than its replicas, which proves nothing.
    """
    answer = situation.old.answer
    if answer is None or answer.role is EndpointRole.PRIMARY:
        return None
    if answer.received == EMPTY_LOG:
        return None
    if not _is_current(situation, answer.received):
        return None
    longest = _find_longest_log(situation)
    return answer.received if answer.received >= longest else None


def _find_longest_log(situation: Situation) -> Position:
    """Returns the end of the longest log of the newest term of the others."""
    current = _list_current(situation, list(situation.others))
    return max(map(_find_log, current), default=EMPTY_LOG)


def _list_current(
    situation: Situation, members: list[GroupMember]
) -> list[GroupMember]:
    """Returns the members that answer with a log of the newest term."""
    return [
        member
        for member in members
        if member.answer is not None
        and _is_current(situation, member.answer.received)
    ]


def _is_current(situation: Situation, log: Position) -> bool:
    """Returns whether a log belongs to the newest term, or is its beginning.

    The first commit of a term shows it in the log. Before, the log of a
    superseded primary is longer than the one with which the term began.
    """
    if log.term >= situation.term:
        return True
    return log.term == situation.start.term and log <= situation.start


def _list_holders(
    situation: Situation, members: list[GroupMember], bound: Position
) -> list[GroupMember]:
    return [
        member
        for member in _list_current(situation, members)
        if _may_be_promoted(member) and _find_log(member) >= bound
    ]


def _list_missing(situation: Situation) -> list[GroupMember]:
    """Returns the replicas whose log is not known.

    One with an empty log has started again; what it had received is gone.
    """
    logs = [_find_log(member) for member in situation.others]
    is_empty = max(logs, default=EMPTY_LOG) == EMPTY_LOG
    return [
        member
        for member, log in zip(situation.others, logs, strict=True)
        if (member.answer is None and not _is_covered(situation, member))
        or (log == EMPTY_LOG and member.answer is not None and not is_empty)
    ]


def _is_covered(situation: Situation, member: GroupMember) -> bool:
    """Returns whether the log of a member that has left is on another one.

    A successor with another name takes over the whole log. A member that starts
    again under its name may have lost it, and must show the whole log if its end
    is known.
    """
    if not member.is_gone:
        return False
    is_end_known = member.end != EMPTY_LOG
    if is_end_known and _find_longest_log(situation) >= member.end:
        return True
    if is_end_known and member.successor == member.endpoint:
        return False
    return any(
        other.endpoint == member.successor
        and not other.is_gone
        and _find_log(other) != EMPTY_LOG
        and other.unchanged_s >= TRANSFER_TIMEOUT_S
        for other in situation.others
    )


def _is_caught_up(situation: Situation) -> bool:
    """Returns whether no other member will receive more of the log."""
    if situation.old.answer is None:
        return True
    return situation.waited_s >= CATCH_UP_TIMEOUT_S


def _is_awaited(situation: Situation) -> bool:
    return any(
        member.answer is None and not member.is_excluded and not member.is_gone
        for member in situation.others
    )


def _may_be_promoted(member: GroupMember) -> bool:
    """Returns whether a member answers and the platform may promote it.

    Hosts cannot use one that is not registered.
    """
    if member.is_gone or member.is_excluded:
        return False
    return member.answer is not None


def _find_longest(members: list[GroupMember]) -> GroupMember:
    return max(members, key=_find_log)


def _find_log(member: GroupMember) -> Position:
    return member.answer.received if member.answer else EMPTY_LOG


def _name_missing(member: GroupMember) -> str:
    if not member.is_gone:
        return member.endpoint
    if member.successor:
        return f'{member.endpoint} (left, its successor lacks the log)'
    return f'{member.endpoint} (left, no successor)'


def _format_log(log: Position) -> str:
    return f'{log.term}.{log.position}'


def _describe_member(member: GroupMember) -> str:
    words = [member.endpoint]
    if member.answer is None:
        words.append('no answer')
    else:
        words.append(member.answer.role.name.lower())
        words.append(_format_log(member.answer.received))
    if member.is_leaving:
        words.append('leaving')
    if member.is_excluded:
        words.append('excluded')
    if member.is_gone:
        words.append('gone')
    if member.end != EMPTY_LOG:
        words.append(f'end {_format_log(member.end)}')
    if member.successor:
        words.append(f'successor {member.successor}')
    return ' '.join(words)
