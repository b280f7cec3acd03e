"""Picks the endpoint for a statement and the owner of an endpoint.

Views of endpoints are out of date to some degree, so a choice is only a hint.
The answer of the endpoint is checked by ``accepts`` before it is returned.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from poplarspoke import invariants, sessions
from poplarspoke.generated.common import Position
from poplarspoke.generated.routing import (
    Candidate,
    RouteChoice,
    RouteQuery,
    RouteReason,
    SkippedEndpoint,
    SkipReason,
)

# Longest time that a read waits for a replica to catch up.
MAX_WAIT_S = 0.05
# Time in which the weight of a returned endpoint grows to 1.
RAMP_S = 30.0
# Weight of an endpoint at its return to service.
INITIAL_WEIGHT = 0.1
# With 2 slots, a statement behind 8 others waits for 4 service times.
BUSY_QUEUE_LENGTH = 8
# Largest replication delay of a replica that may have caught up since its
# last view. A replica with a longer delay is too often still behind when the
# read arrives.
LIKELY_DELAY_S = 0.1

Candidates = tuple[Candidate, ...]


class _FilteredReplicas(NamedTuple):
    """Candidates of a read.

    Attributes:
        usable: Replicas that may serve the read.
        passed: Skipped endpoints with the reason.
    """

    usable: Candidates
    passed: tuple[SkippedEndpoint, ...]


def choose(query: RouteQuery, candidates: Candidates) -> RouteChoice:
    """Returns the endpoint for a statement outside a transaction.

    Args:
        query: What the statement requires.
        candidates: All endpoints of the database.
    """
    choice = _build_choice(query, candidates)
    for candidate in candidates:
        if candidate.view.endpoint == choice.endpoint:
            _check_in_service(candidate)
    return choice


def _check_in_service(candidate: Candidate) -> None:
    """Checks the invariant that a chosen endpoint is in service."""
    endpoint = candidate.view.endpoint
    invariants.check(
        holds=candidate.in_service,
        code='R8',
        detail=f'{endpoint} is chosen and out of service',
    )


def _build_choice(query: RouteQuery, candidates: Candidates) -> RouteChoice:
    reason = _find_primary_reason(query)
    if reason is not None:
        return _build_primary_choice(query, candidates, reason)
    filtered = _filter_replicas(query, candidates)
    if filtered.usable:
        return _build_replica_choice(query, filtered)
    likely = _find_likely_replica(query, candidates)
    if likely is not None:
        return RouteChoice(
            endpoint=likely.view.endpoint,
            reason=RouteReason.LIKELY_REPLICA,
            passed=filtered.passed,
        )
    if _can_wait(query, filtered.passed):
        return RouteChoice(
            reason=RouteReason.WAIT_FOR_REPLICA,
            wait_s=MAX_WAIT_S - query.waited_s,
            passed=filtered.passed,
        )
    return _build_primary_choice(
        query, candidates, RouteReason.PRIMARY_AS_FALLBACK
    )


def _find_primary_reason(query: RouteQuery) -> RouteReason | None:
    """Returns why only the primary may serve, None if a replica may too."""
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
        position: Last log position of the endpoint when it answered.
        age_s: Age in seconds that the endpoint reported; 0 if a majority
            confirmed the primary's term for this read.
        primary: Whether the endpoint answered as the primary.
    """
    if age_s > query.max_age_s:
        return False
    return sessions.satisfies(position, query.required, primary=primary)


def compute_ramp(returned_ago_s: float) -> float:
    """Returns the weight in [0.1, 1] of an endpoint after its return.

    Args:
        returned_ago_s: Seconds since its return to service.
    """
    weight = INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * returned_ago_s / RAMP_S
    return min(max(weight, INITIAL_WEIGHT), 1)


def invert_ramp(weight: float) -> float:
    """Returns the seconds since the return at which the ramp has a weight."""
    return max(weight - INITIAL_WEIGHT, 0) / (1 - INITIAL_WEIGHT) * RAMP_S


def rank_hosts(endpoint: str, hosts: Iterable[str]) -> list[str]:
    """Returns the hosts by rendezvous hashing, the preferred owner first.

    The loss of a host changes only the owner of the endpoints that it owned.
    """
    weighted = [_weigh_host(endpoint, host) for host in set(hosts)]
    weighted.sort(reverse=True)
    return [host for _weight, host in weighted]


def count_ranked_ahead(endpoint: str, host: str, others: Iterable[str]) -> int:
    """Returns how many of the other hosts rank before a host."""
    own = _weigh_host(endpoint, host)
    return sum(_weigh_host(endpoint, other) > own for other in others)


def find_owner(endpoint: str, live_hosts: Iterable[str]) -> str:
    """Returns the owner of an endpoint, empty if no host is live."""
    ranked = rank_hosts(endpoint, live_hosts)
    return ranked[0] if ranked else ''


def find_primary(candidates: Candidates) -> Candidate | None:
    """Returns the primary of the highest term.

    A paused former primary may still be a candidate with a lower term.
    """
    found = None
    for candidate in candidates:
        if not candidate.view.primary:
            continue
        if found is None or candidate.view.last.term > found.view.last.term:
            found = candidate
    return found


def _weigh_host(endpoint: str, host: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{endpoint}\0{host}'), host


def _build_primary_choice(
    query: RouteQuery,
    candidates: Candidates,
    reason: RouteReason,
) -> RouteChoice:
    primary = find_primary(candidates)
    skipped: list[SkippedEndpoint] = []
    choice = RouteChoice()
    for candidate in candidates:
        skip_reason = _find_primary_skip_reason(query, candidate, primary)
        if skip_reason is not None:
            skipped.append(
                SkippedEndpoint(candidate.view.endpoint, skip_reason)
            )
            continue
        stale = _compute_age(candidate) > query.max_age_s
        choice = RouteChoice(
            endpoint=candidate.view.endpoint,
            reason=reason,
            confirm=not query.write and (stale or query.max_age_s <= 0),
        )
    return choice._replace(passed=tuple(skipped))


def _find_primary_skip_reason(
    query: RouteQuery,
    candidate: Candidate,
    primary: Candidate | None,
) -> SkipReason | None:
    if not candidate.view.primary:
        return _explain_skipped_replica(query, candidate)
    if candidate is not primary:
        return SkipReason.SUPERSEDED
    if candidate.view.last.term < query.required.term:
        return SkipReason.SUPERSEDED
    return _find_service_skip_reason(candidate)


def _explain_skipped_replica(
    query: RouteQuery, candidate: Candidate
) -> SkipReason:
    if query.write:
        return SkipReason.REPLICA_CANNOT_WRITE
    return _find_replica_skip_reason(query, candidate) or SkipReason.TOO_OLD


def _filter_replicas(
    query: RouteQuery, candidates: Candidates
) -> _FilteredReplicas:
    usable: list[Candidate] = []
    skipped: list[SkippedEndpoint] = []
    for candidate in candidates:
        skip_reason = _find_replica_skip_reason(query, candidate)
        if skip_reason is None:
            usable.append(candidate)
            continue
        skipped.append(SkippedEndpoint(candidate.view.endpoint, skip_reason))
    return _FilteredReplicas(tuple(usable), tuple(skipped))


def _find_replica_skip_reason(
    query: RouteQuery,
    candidate: Candidate,
) -> SkipReason | None:
    if candidate.view.primary:
        return SkipReason.PRIMARY_KEPT_FOR_WRITES
    skip_reason = _find_service_skip_reason(candidate)
    if skip_reason is not None:
        return skip_reason
    if _compute_age(candidate) > query.max_age_s:
        return SkipReason.TOO_OLD
    if not sessions.satisfies(candidate.view.last, query.required):
        return SkipReason.BEHIND
    return None


def _find_service_skip_reason(candidate: Candidate) -> SkipReason | None:
    if not candidate.in_service:
        return SkipReason.OUT_OF_SERVICE
    if not candidate.view.reachable:
        return SkipReason.UNREACHABLE
    return None


def _compute_age(candidate: Candidate) -> float:
    return candidate.view.age_s + candidate.view.observed_ago_s


def _can_wait(query: RouteQuery, skipped: tuple[SkippedEndpoint, ...]) -> bool:
    """Returns whether a replica may catch up within the waiting time."""
    if query.waited_s >= MAX_WAIT_S:
        return False
    if query.required.position == sessions.UNKNOWN_POSITION:
        return False
    return any(entry.reason is SkipReason.BEHIND for entry in skipped)


def _find_likely_replica(
    query: RouteQuery,
    candidates: Candidates,
) -> Candidate | None:
    """Returns a replica that has probably caught up since its last view.

    If the replication delay of a replica is shorter than the age of its view,
    the replica has probably applied the missing entries by now. Its answer is
    checked by ``accepts``; if it is refused, the read goes to the primary.
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
    if _find_replica_skip_reason(query, candidate) is not SkipReason.BEHIND:
        return False
    if query.required.position == sessions.UNKNOWN_POSITION:
        return False
    is_busy = view.queued >= BUSY_QUEUE_LENGTH
    is_slow = view.age_s > LIKELY_DELAY_S
    return not is_busy and not is_slow and view.observed_ago_s > view.age_s


def _build_replica_choice(
    query: RouteQuery, filtered: _FilteredReplicas
) -> RouteChoice:
    ranked = sorted(
        filtered.usable,
        key=lambda candidate: _rank_replica(query, candidate),
    )
    chosen = ranked[0]
    skipped = list(filtered.passed)
    for candidate in ranked[1:]:
        skipped.append(
            SkippedEndpoint(
                candidate.view.endpoint,
                _explain_lower_rank(query, candidate),
            ),
        )
    reason = RouteReason.OTHER_ZONE_REPLICA
    if chosen.zone == query.zone:
        reason = RouteReason.OWN_ZONE_REPLICA
    return RouteChoice(
        endpoint=chosen.view.endpoint,
        reason=reason,
        passed=tuple(skipped),
    )


def _rank_replica(
    query: RouteQuery,
    candidate: Candidate,
) -> tuple[bool, bool, bool, int, str]:
    """Returns the sort key of a usable replica; the lowest is picked."""
    return (
        _is_ramping(query, candidate),
        candidate.view.queued >= BUSY_QUEUE_LENGTH,
        candidate.zone != query.zone,
        candidate.view.queued,
        candidate.view.endpoint,
    )


def _explain_lower_rank(query: RouteQuery, candidate: Candidate) -> SkipReason:
    if _is_ramping(query, candidate):
        return SkipReason.RAMPING
    if candidate.view.queued >= BUSY_QUEUE_LENGTH:
        return SkipReason.BUSY
    return SkipReason.LESS_PREFERRED


def _is_ramping(query: RouteQuery, candidate: Candidate) -> bool:
    return query.draw >= compute_ramp(candidate.returned_ago_s)
