"""When the log of a member that has left is not needed any more.

With synchronous replication, a commit is acknowledged once some replicas have
received it. A replica that has left held nothing beyond the log of the primary as
it was afterwards. Logs have no gaps, so once as many of the other replicas have
received the log up to that end, they have all that was acknowledged on its word.
Time proves nothing: a replica may receive nothing for as long.
"""

from collections.abc import Mapping
from typing import NamedTuple

from poplarspoke.generated.common import Position
from poplarspoke.generated.control import EndpointState, MemberRecord
from poplarspoke.generated.rules import EndpointRole

EMPTY_LOG = Position()


class Observation(NamedTuple):
    """Answers of the members to queries that were sent after one had left.

    Attributes:
        answers: Answers by endpoint, also of members that are not registered.
        primary: Name of the primary.
        registered: Names of the registered members.
        sync_replicas: Number of replicas that have received a commit when it is
            acknowledged.
    """

    answers: Mapping[str, EndpointState]
    primary: str
    registered: frozenset[str]
    sync_replicas: int


def list_needed(
    departed: list[MemberRecord], observation: Observation
) -> list[MemberRecord]:
    """Returns the departed members whose log may be needed, with its end."""
    primary = observation.answers.get(observation.primary)
    if primary is None or not _is_primary(primary):
        return departed
    needed: list[MemberRecord] = []
    for member in departed:
        if _is_running(member, observation):
            needed.append(member._replace(end=EMPTY_LOG))
            continue
        end = _find_end(member, primary)
        if _count_holders(end, primary, observation) < (
            observation.sync_replicas
        ):
            needed.append(member._replace(end=end))
    return needed


def _is_primary(answer: EndpointState) -> bool:
    """Returns whether a primary answers that has a log.

    One without a log may have started again and lost it.
    """
    if answer.role is not EndpointRole.PRIMARY:
        return False
    return answer.received != EMPTY_LOG


def _is_running(member: MemberRecord, observation: Observation) -> bool:
    """Returns whether a member has only lost its entry, and may receive more."""
    if member.endpoint in observation.registered:
        return False
    return member.endpoint in observation.answers


def _find_end(member: MemberRecord, primary: EndpointState) -> Position:
    """Returns the position beyond which a member holds nothing acknowledged.

    A primary of a newer term has all acknowledged commits, and may have begun
    before an end that was found in an older one.
    """
    if member.end == EMPTY_LOG:
        return primary.received
    return min(member.end, primary.received)


def _count_holders(
    end: Position, primary: EndpointState, observation: Observation
) -> int:
    """Returns how many registered replicas have the log up to an end."""
    holders = 0
    for name in observation.registered - {primary.endpoint}:
        answer = observation.answers.get(name)
        if answer is None or answer.role is not EndpointRole.REPLICA:
            continue
        # A replica of another term may have a log that will be rolled back.
        if answer.term == primary.term and answer.received >= end:
            holders += 1
    return holders
