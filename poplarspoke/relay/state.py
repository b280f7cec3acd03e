"""State of the relay: sessions, operations, connections and endpoints.

The task that owns the sockets of callers and endpoints owns this state. Times
are seconds of the boot clock, which also counts suspensions of the host.
"""

import random
from collections import deque
from typing import Any, NamedTuple, TypedDict

from poplarspoke.buckets import Bucket
from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import (
    PrepareStatement,
    PrimaryLease,
    SessionPhase,
)
from poplarspoke.generated.rules import (
    EndpointEntry,
    HostSettings,
    RouteRule,
    Ruleset,
)

NO_CONNECTION = 0
NO_POSITION = Position()


class Observation(NamedTuple):
    """Position of a primary; it holds all commits acknowledged before.

    Attributes:
        asked_s: When the question was sent, not when the answer came.
        position: Position that the answer carried.
    """

    asked_s: float
    position: Position


class Loan(NamedTuple):
    """Question to an owner for tokens; they end at ``until_s``."""

    workspace: str
    owner: str
    asked_s: float
    until_s: float


class Share(NamedTuple):
    """This host's part of rate and burst of a workspace.

    Attributes:
        fraction: Part that is in force.
        wanted: Part that will be in force from ``from_s`` on.
        from_s: When it grows.
    """

    fraction: float
    wanted: float
    from_s: float


class Demand(NamedTuple):
    """Operations that a workspace asks of this host.

    Attributes:
        rate: Operations a second in the time before ``since_s``.
        seen: Operations since then.
        since_s: Start of the current second.
    """

    rate: float
    seen: int
    since_s: float


class Operation(TypedDict):
    """A statement that has no answer yet.

    Attributes:
        session: Session that waits for it.
        statement: Message of the caller.
        route: Route that was in force when the transaction started.
        workspace: Workspace that the key belongs to; empty on open routes.
        arrived_s: When the caller's statement was read.
        deadline_s: When the timeout of the route ends.
        needs_primary: Whether only the primary may run it.
        may_repeat: Whether it only reads or starts a transaction.
        after: Position that the endpoint must have.
        tried: Endpoints that could not serve it.
        connection: Connection that it is assigned to.
        steps: System statements that the connection needs first.
        sent_s: When the statement itself was sent; 0 if it was not.
        awaits_rate: Whether it waits for a rate token.
        not_before_s: When it may be placed again.
        attempts: How often it was assigned to a connection.
        rejections: How often an endpoint was too busy for it.
    """

    session: int
    statement: Any
    route: RouteRule
    workspace: str
    arrived_s: float
    deadline_s: float
    needs_primary: bool
    may_repeat: bool
    after: Position
    tried: set[str]
    connection: int
    steps: list[Any]
    sent_s: float
    awaits_rate: bool
    not_before_s: float
    attempts: int
    rejections: int


class Session(TypedDict):
    """Session of a caller.

    Attributes:
        connection: Connection that an open transaction holds.
        values: Session values that were acknowledged.
        prepared: Prepared statements by the caller's names.
        position: Position of the last acknowledged write.
        position_unknown: A write has an unknown outcome, so reads go to the
            primary until it answers the session again.
        wrote_s: When the last write was acknowledged.
        wrote: Whether the open transaction has written.
        route: Route of the open transaction.
        workspace: Workspace of the open transaction.
        used_s: When its last statement ended.
    """

    session: int
    started: bool
    database: str
    key: str
    phase: SessionPhase
    connection: int
    values: dict[str, str]
    prepared: dict[str, PrepareStatement]
    position: Position
    position_unknown: bool
    wrote_s: float
    wrote: bool
    route: RouteRule
    workspace: str
    used_s: float
    backlog: deque[Any]


class Connection(TypedDict):
    """Connection to an endpoint, started for one workspace.

    Attributes:
        ready: Whether the endpoint has accepted it.
        session: Session that uses it; 0 if it is unused.
        values: Session values that are set on it.
        aliases: Names of the statements that are prepared on it.
        in_flight: Statement without an answer, None if there is none.
        sent_s: When that statement, or the start, was sent.
        used_s: When it was last used.
    """

    connection: int
    endpoint: str
    workspace: str
    ready: bool
    session: int
    values: dict[str, str]
    aliases: set[str]
    in_flight: Any
    sent_s: float
    used_s: float


class Endpoint(TypedDict):
    """What this host knows about an endpoint.

    Attributes:
        entry: What the endpoint says of itself.
        connections: Connections of this host to it.
        latency_s: Moving average of its answers.
        heard_s: When it last answered; 0 if never.
        silent_since_s: Start of its silence; 0 if it answers.
        failed_s: When its silence was last noticed.
        avoid_until_s: Until when nothing is sent to it after a failure.
        failures: Failures in a row.
        behind_until_s: Until when its log is taken to lag too far.
        lags: Answers in a row that its log lagged too far.
        position: Position of its log in its last answer.
        full_until_s: Until when no further connection is tried.
        leaving_since_s: When it was first known to leave; 0 if it does not.
        leave_within_s: Time after which it gets no new work.
    """

    entry: EndpointEntry
    connections: set[int]
    latency_s: float
    heard_s: float
    silent_since_s: float
    failed_s: float
    avoid_until_s: float
    failures: int
    behind_until_s: float
    lags: int
    position: Position
    full_until_s: float
    leaving_since_s: float
    leave_within_s: float


class RelayState(TypedDict):
    """State of the relay of one host.

    Attributes:
        mute_until_s: Until when owners that do not answer are left out.
        unready_s: Since when callers are served better elsewhere; 0 if not.
        leased_since_s: When this host first had its lease on the primary that
            a service has now.
        expected: When a new primary of a service was first known to have
            been ordered.
    """

    settings: HostSettings
    rng: random.Random
    incarnation: int
    rules: Ruleset
    routes: dict[str, RouteRule]
    key_owners: dict[str, str]
    max_connections: dict[str, int]
    buckets: dict[str, Bucket]
    shares: dict[str, Share]
    demand: dict[str, Demand]
    borrow_id: int
    borrow_after_s: dict[str, float]
    borrowed: dict[int, Loan]
    mute_until_s: dict[str, float]
    hosts: int
    peers: tuple[str, ...]
    leases: dict[str, PrimaryLease]
    leased_since_s: dict[str, float]
    expected: dict[str, float]
    endpoints: dict[str, Endpoint]
    observations: dict[str, deque[Observation]]
    sessions: dict[int, Session]
    operations: dict[int, Operation]
    connections: dict[int, Connection]
    next_connection: int
    leaving_s: float
    unready_s: float


def create_state(
    settings: HostSettings,
    *,
    rng: random.Random,
    incarnation: int,
) -> RelayState:
    """Returns the state of a relay without sessions, rules or endpoints."""
    return RelayState(
        settings=settings,
        rng=rng,
        incarnation=incarnation,
        rules=Ruleset(),
        routes={},
        key_owners={},
        max_connections={},
        buckets={},
        shares={},
        demand={},
        borrow_id=0,
        borrow_after_s={},
        borrowed={},
        mute_until_s={},
        hosts=0,
        peers=(),
        leases={},
        leased_since_s={},
        expected={},
        endpoints={},
        observations={},
        sessions={},
        operations={},
        connections={},
        next_connection=1,
        leaving_s=0,
        unready_s=0,
    )


def create_session(session: int, now_s: float) -> Session:
    """Returns a session that has not started yet."""
    return Session(
        session=session,
        started=False,
        database='',
        key='',
        phase=SessionPhase.IDLE,
        connection=NO_CONNECTION,
        values={},
        prepared={},
        position=NO_POSITION,
        position_unknown=False,
        wrote_s=0,
        wrote=False,
        route=RouteRule(),
        workspace='',
        used_s=now_s,
        backlog=deque(),
    )


def create_endpoint(entry: EndpointEntry) -> Endpoint:
    """Returns what is known about an endpoint that was never used."""
    return Endpoint(
        entry=entry,
        connections=set(),
        latency_s=0,
        heard_s=0,
        silent_since_s=0,
        failed_s=0,
        avoid_until_s=0,
        failures=0,
        behind_until_s=0,
        lags=0,
        position=NO_POSITION,
        full_until_s=0,
        leaving_since_s=0,
        leave_within_s=0,
    )
