"""Guards against reads and writes on an endpoint that must not serve them."""

import collections
from typing import Any

import pytest

from poplarspoke import routing, sessions
from poplarspoke.generated.common import Position
from poplarspoke.generated.membership import EndpointView
from poplarspoke.generated.routing import (
    Candidate,
    RouteQuery,
    RouteReason,
    SkippedEndpoint,
    SkipReason,
)

TERM = 3
READ = RouteQuery(max_age_s=5, required=Position(TERM, 10), zone='Sfax')
WRITE = READ._replace(write=True)


def create(name: str, zone: str, **view: Any) -> Candidate:
    """Returns a reachable candidate in service that is up to date."""
    fields: dict[str, Any] = {
        'last': Position(TERM, 10),
        'reachable': True,
        **view,
    }
    return Candidate(
        EndpointView(endpoint=name, database='label-core')._replace(**fields),
        zone=zone,
        in_service=True,
        returned_ago_s=60,
    )


def change(candidate: Candidate, **view: Any) -> Candidate:
    """Returns the candidate with other fields in its view."""
    return candidate._replace(view=candidate.view._replace(**view))


PRIMARY = create('p', 'Sfax', primary=True)
NEAR = create('near', 'Sfax')
FAR = create('far', 'Sousse')
BEHIND = Position(TERM, 9)


def test_prefers_own_zone_replica() -> None:
    """Guards against reads that cross zones or load the primary."""
    choice = routing.choose(READ, (PRIMARY, FAR, NEAR))
    assert (choice.endpoint, choice.reason) == (
        'near',
        RouteReason.OWN_ZONE_REPLICA,
    )
    assert SkippedEndpoint('far', SkipReason.LESS_PREFERRED) in choice.passed


@pytest.mark.parametrize(
    ('near', 'reason'),
    [
        (NEAR._replace(in_service=False), SkipReason.OUT_OF_SERVICE),
        (change(NEAR, reachable=False), SkipReason.UNREACHABLE),
        (change(NEAR, age_s=3, observed_ago_s=3), SkipReason.TOO_OLD),
        (change(NEAR, last=BEHIND), SkipReason.BEHIND),
        (change(NEAR, queued=routing.BUSY_QUEUE_LENGTH), SkipReason.BUSY),
        (NEAR._replace(returned_ago_s=0), SkipReason.RAMPING),
    ],
)
def test_skips_replica_with_reason(near: Candidate, reason: SkipReason) -> None:
    """Guards against an unusable replica and a skip without its reason."""
    choice = routing.choose(READ._replace(draw=0.5), (PRIMARY, near, FAR))
    assert choice.endpoint == 'far'
    assert choice.reason is RouteReason.OTHER_ZONE_REPLICA
    assert SkippedEndpoint('near', reason) in choice.passed


def test_read_waits_once_then_uses_primary() -> None:
    """Guards against a stale read and against an unbounded wait."""
    candidates = (PRIMARY, change(NEAR, last=BEHIND))
    choice = routing.choose(READ, candidates)
    assert choice.reason is RouteReason.WAIT_FOR_REPLICA
    assert not choice.endpoint
    waited = READ._replace(waited_s=choice.wait_s)
    choice = routing.choose(waited, candidates)
    assert choice.endpoint == 'p'
    assert choice.reason is RouteReason.PRIMARY_AS_FALLBACK


def test_unknown_position_skips_wait() -> None:
    """Guards against a wait although no replica of the term can catch up."""
    required = Position(TERM, sessions.UNKNOWN_POSITION)
    choice = routing.choose(
        READ._replace(required=required),
        (PRIMARY, NEAR),
    )
    assert choice.endpoint == 'p'


@pytest.mark.parametrize('max_age_s', [0, 2])
def test_old_primary_is_confirmed(max_age_s: float) -> None:
    """Guards against a read on a partitioned primary without confirmation."""
    choice = routing.choose(
        READ._replace(max_age_s=max_age_s),
        (change(PRIMARY, age_s=3), change(NEAR, age_s=9)),
    )
    assert choice.endpoint == 'p'
    assert choice.confirm


def test_superseded_primary_gets_no_write() -> None:
    """Guards against writes to a paused primary of an earlier term."""
    newer = change(FAR, primary=True, last=Position(TERM + 1, 11))
    choice = routing.choose(WRITE, (PRIMARY, newer))
    assert choice.endpoint == 'far'
    assert SkippedEndpoint('p', SkipReason.SUPERSEDED) in choice.passed
    ahead = WRITE._replace(required=Position(TERM + 2, 1))
    assert not routing.choose(ahead, (PRIMARY, newer)).endpoint


def test_drained_primary_gets_no_write() -> None:
    """Guards against new work in a zone that is out of service (R8)."""
    choice = routing.choose(WRITE, (PRIMARY._replace(in_service=False), NEAR))
    assert choice.reason is RouteReason.NO_ENDPOINT
    assert SkippedEndpoint('p', SkipReason.OUT_OF_SERVICE) in choice.passed


def test_answer_is_checked() -> None:
    """Guards against an answer that is older than the view of its endpoint."""
    last = READ.required
    assert routing.accepts(READ, last, 5, primary=False)
    assert not routing.accepts(READ, BEHIND, 1, primary=False)
    assert not routing.accepts(READ, last, 6, primary=True)


@pytest.mark.parametrize(
    ('returned_ago_s', 'weight'),
    [(0, 0.1), (15, 0.55), (30, 1), (300, 1)],
)
def test_weight_grows_after_return(
    returned_ago_s: float, weight: float
) -> None:
    """Guards against full load on an endpoint with cold caches."""
    assert routing.compute_ramp(returned_ago_s) == pytest.approx(weight)


def test_host_failure_moves_only_its_endpoints() -> None:
    """Guards against a reshuffle of all owners when one host fails."""
    hosts = [f'host-{number}' for number in range(8)]
    endpoints = [f'endpoint-{number}' for number in range(400)]
    owners = {name: routing.find_owner(name, hosts) for name in endpoints}
    for name, owner in owners.items():
        after = routing.find_owner(name, hosts[:-1])
        assert after == owner or owner == hosts[-1]
    counts = collections.Counter(owners.values())
    assert min(counts.values()) > 25
    assert not routing.find_owner('endpoint', [])


def test_read_goes_to_replica_that_likely_caught_up() -> None:
    """Reads soon after a write must not all load the primary."""
    near = change(NEAR, last=BEHIND, age_s=0.02, observed_ago_s=0.3)
    choice = routing.choose(READ, (PRIMARY, near))
    assert (choice.endpoint, choice.reason) == (
        'near',
        RouteReason.LIKELY_REPLICA,
    )


@pytest.mark.parametrize(
    ('query', 'near'),
    [
        (READ, change(NEAR, last=BEHIND, age_s=0.2, observed_ago_s=0.3)),
        (READ, change(NEAR, last=BEHIND, age_s=0.05, observed_ago_s=0.01)),
        (
            READ._replace(waited_s=routing.MAX_WAIT_S),
            change(NEAR, last=BEHIND, age_s=0.02, observed_ago_s=0.3),
        ),
        (
            READ._replace(
                required=Position(TERM, sessions.UNKNOWN_POSITION),
            ),
            change(NEAR, age_s=0.02, observed_ago_s=0.3),
        ),
    ],
)
def test_read_avoids_replica_unlikely_to_catch_up(
    query: RouteQuery,
    near: Candidate,
) -> None:
    """A read that a replica must refuse wastes one of its slots."""
    choice = routing.choose(query, (PRIMARY, near))
    assert choice.reason is not RouteReason.LIKELY_REPLICA


def test_stale_replica_answer_makes_retry_use_primary() -> None:
    """A view ahead of its replica must not make every retry pick it."""
    query = READ._replace(primary_only=True)
    choice = routing.choose(query, (PRIMARY, NEAR))
    assert (choice.endpoint, choice.reason) == (
        'p',
        RouteReason.PRIMARY_AS_FALLBACK,
    )
