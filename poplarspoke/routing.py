"""Picks the endpoint for a statement and the owner of an endpoint.

Views of endpoints are observations of the past, so a choice is a hint. What
the endpoint answers is checked by ``accepts`` before a caller sees it.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from poplarspoke import invariants, sessions
from poplarspoke.generated.common import Position
from poplarspoke.generated.routing import (
    Candidate,
    PassedOver,
    PassReason,
    RouteChoice,
    RouteQuery,
    RouteReason,
)

MAX_WAIT_S = 0.05
RAMP_S = 30.0
RAMP_START = 0.1
# With 2 slots, a statement behind 8 others waits for 4 service times.
BUSY_QUEUED = 8
# Longer delays are too often not over when the read arrives.
LIKELY_DELAY_S = 0.1

Candidates = tuple[Candidate, ...]


class _Sorted(NamedTuple):
    """Candidates of a read: usable replicas and reasons for the others."""

    usable: Candidates
    passed: tuple[PassedOver, ...]


def choose(query: RouteQuery, candidates: Candidates) -> RouteChoice:
    """Returns the endpoint for a statement outside of a transaction.

    Args:
        query: What the statement requires.
        candidates: All endpoints of the database.
    """
    choice = _choose(query, candidates)
    for candidate in candidates:
        if candidate.view.endpoint == choice.endpoint:
            _check_choice(candidate)
    return choice


def _check_choice(candidate: Candidate) -> None:
    """Asserts what a chosen endpoint must fulfil."""
    endpoint = candidate.view.endpoint
    invariants.check(
        holds=candidate.in_service,
        code='R8',
        detail=f'{endpoint} is chosen and out of service',
    )


def _choose(query: RouteQuery, candidates: Candidates) -> RouteChoice:
    reason = _find_primary_reason(query)
    if reason is not None:
        return _choose_primary(query, candidates, reason)
    sorted_out = _sort_replicas(query, candidates)
    if sorted_out.usable:
        return _choose_replica(query, sorted_out)
    likely = _find_likely(query, candidates)
    if likely is not None:
        return RouteChoice(
            endpoint=likely.view.endpoint,
            reason=RouteReason.LIKELY_REPLICA,
            passed=sorted_out.passed,
        )
    if _can_wait(query, sorted_out.passed):
        return RouteChoice(
            reason=RouteReason.WAIT_FOR_REPLICA,
            wait_s=MAX_WAIT_S - query.waited_s,
            passed=sorted_out.passed,
        )
    return _choose_primary(query, candidates, RouteReason.PRIMARY_AS_FALLBACK)


def _find_primary_reason(query: RouteQuery) -> RouteReason | None:
    """Returns why only the primary can serve a statement, if that is so."""
    if query.write:
        return RouteReason.PRIMARY_FOR_WRITE
    if query.max_age_s <= 0:
        return RouteReason.PRIMARY_FOR_STRICT_READ
    if query.primary_only:
        return RouteReason.PRIMARY_AS_FALLBACK
    return None


def accepts(
    query: RouteQuery,
    position: Position,
    age_s: float,
    *,
    primary: bool,
) -> bool:
    """Returns whether an answer to a read satisfies its session and route.

    Args:
        query: What the read requires.
        position: End of the endpoint's log when it answered.
        age_s: Age in seconds that the endpoint reported; 0 if a majority
            confirmed the primary's term for this read.
        primary: Whether the endpoint answered as the primary.
    """
    if age_s > query.max_age_s:
        return False
    return sessions.satisfies(position, query.required, primary=primary)


def compute_ramp(returned_ago_s: float) -> float:
    """Returns the weight in [0.1, 1] of an endpoint after its return."""
    grown = RAMP_START + (1 - RAMP_START) * returned_ago_s / RAMP_S
    return min(max(grown, RAMP_START), 1)


def invert_ramp(weight: float) -> float:
    """Returns the seconds since the return at which a weight is reached."""
    return max(weight - RAMP_START, 0) / (1 - RAMP_START) * RAMP_S


def rank_hosts(endpoint: str, hosts: Iterable[str]) -> list[str]:
    """Returns hosts by rendezvous hashing, the preferred owner first.

    The loss of a host changes the owner of its own endpoints only.
    """
    weighted = [_weigh_host(endpoint, host) for host in set(hosts)]
    weighted.sort(reverse=True)
    return [host for _weight, host in weighted]


def count_ahead(endpoint: str, host: str, others: Iterable[str]) -> int:
    """Returns how many of the others come before a host."""
    own = _weigh_host(endpoint, host)
    return sum(_weigh_host(endpoint, other) > own for other in others)


def find_owner(endpoint: str, live_hosts: Iterable[str]) -> str:
    """Returns the owner of an endpoint, empty if no host is live."""
    ranked = rank_hosts(endpoint, live_hosts)
    return ranked[0] if ranked else ''


def find_primary(candidates: Candidates) -> Candidate | None:
    """Returns the primary of the highest term; a paused one may remain."""
    found = None
    for candidate in candidates:
        if not candidate.view.primary:
            continue
        if found is None or candidate.view.last.term > found.view.last.term:
            found = candidate
    return found


def _weigh_host(endpoint: str, host: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{endpoint}\0{host}'), host


def _choose_primary(
    query: RouteQuery,
    candidates: Candidates,
    reason: RouteReason,
) -> RouteChoice:
    primary = find_primary(candidates)
    passed: list[PassedOver] = []
    choice = RouteChoice()
    for candidate in candidates:
        obstacle = _check_primary(query, candidate, primary)
        if obstacle is not None:
            passed.append(PassedOver(candidate.view.endpoint, obstacle))
            continue
        stale = _compute_age(candidate) > query.max_age_s
        choice = RouteChoice(
            endpoint=candidate.view.endpoint,
            reason=reason,
            confirm=not query.write and (stale or query.max_age_s <= 0),
        )
    return choice._replace(passed=tuple(passed))


def _check_primary(
    query: RouteQuery,
    candidate: Candidate,
    primary: Candidate | None,
) -> PassReason | None:
    if not candidate.view.primary:
        return _explain_replica(query, candidate)
    if candidate is not primary:
        return PassReason.SUPERSEDED
    if candidate.view.last.term < query.required.term:
        return PassReason.SUPERSEDED
    return _check_service(candidate)


def _explain_replica(query: RouteQuery, candidate: Candidate) -> PassReason:
    if query.write:
        return PassReason.REPLICA_CANNOT_WRITE
    return _check_replica(query, candidate) or PassReason.TOO_OLD


def _sort_replicas(query: RouteQuery, candidates: Candidates) -> _Sorted:
    usable: list[Candidate] = []
    passed: list[PassedOver] = []
    for candidate in candidates:
        obstacle = _check_replica(query, candidate)
        if obstacle is None:
            usable.append(candidate)
            continue
        passed.append(PassedOver(candidate.view.endpoint, obstacle))
    return _Sorted(tuple(usable), tuple(passed))


def _check_replica(
    query: RouteQuery,
    candidate: Candidate,
) -> PassReason | None:
    if candidate.view.primary:
        return PassReason.PRIMARY_KEPT_FOR_WRITES
    obstacle = _check_service(candidate)
    if obstacle is not None:
        return obstacle
    if _compute_age(candidate) > query.max_age_s:
        return PassReason.TOO_OLD
    if not sessions.satisfies(candidate.view.last, query.required):
        return PassReason.BEHIND
    return None


def _check_service(candidate: Candidate) -> PassReason | None:
    if not candidate.in_service:
        return PassReason.OUT_OF_SERVICE
    if not candidate.view.reachable:
        return PassReason.UNREACHABLE
    return None


def _compute_age(candidate: Candidate) -> float:
    return candidate.view.age_s + candidate.view.observed_ago_s


def _can_wait(query: RouteQuery, passed: tuple[PassedOver, ...]) -> bool:
    """Returns whether a replica may catch up within the waiting time."""
    if query.waited_s >= MAX_WAIT_S:
        return False
    if query.required.position == sessions.UNKNOWN_POSITION:
        return False
    return any(entry.reason is PassReason.BEHIND for entry in passed)


def _find_likely(
    query: RouteQuery,
    candidates: Candidates,
) -> Candidate | None:
    """Returns a replica that has probably caught up since its last view.

    A replica whose replication delay is shorter than its view is old has
    probably applied what it lacked. Its answer is checked by ``accepts``; if
    it is refused, the read goes to the primary.
    """
    if query.waited_s > 0:
        return None
    likely = [
        candidate
        for candidate in candidates
        if _may_have_caught_up(query, candidate)
    ]
    ranked = sorted(likely, key=lambda found: _rank_replica(query, found))
    return ranked[0] if ranked else None


def _may_have_caught_up(query: RouteQuery, candidate: Candidate) -> bool:
    view = candidate.view
    if _check_replica(query, candidate) is not PassReason.BEHIND:
        return False
    if query.required.position == sessions.UNKNOWN_POSITION:
        return False
    is_busy = view.queued >= BUSY_QUEUED
    is_slow = view.age_s > LIKELY_DELAY_S
    return not is_busy and not is_slow and view.observed_ago_s > view.age_s


def _choose_replica(query: RouteQuery, sorted_out: _Sorted) -> RouteChoice:
    ranked = sorted(
        sorted_out.usable,
        key=lambda candidate: _rank_replica(query, candidate),
    )
    chosen = ranked[0]
    passed = list(sorted_out.passed)
    for candidate in ranked[1:]:
        passed.append(
            PassedOver(
                candidate.view.endpoint,
                _explain_rank(query, candidate),
            ),
        )
    reason = RouteReason.OTHER_ZONE_REPLICA
    if chosen.zone == query.zone:
        reason = RouteReason.OWN_ZONE_REPLICA
    return RouteChoice(
        endpoint=chosen.view.endpoint,
        reason=reason,
        passed=tuple(passed),
    )


def _rank_replica(
    query: RouteQuery,
    candidate: Candidate,
) -> tuple[bool, bool, bool, int, str]:
    """Returns the sort key of a usable replica; the lowest is picked."""
    return (
        _is_held_back(query, candidate),
        candidate.view.queued >= BUSY_QUEUED,
        candidate.zone != query.zone,
        candidate.view.queued,
        candidate.view.endpoint,
    )


def _explain_rank(query: RouteQuery, candidate: Candidate) -> PassReason:
    if _is_held_back(query, candidate):
        return PassReason.RAMPING
    if candidate.view.queued >= BUSY_QUEUED:
        return PassReason.BUSY
    return PassReason.LESS_PREFERRED


def _is_held_back(query: RouteQuery, candidate: Candidate) -> bool:
    return query.draw >= compute_ramp(candidate.returned_ago_s)
