"""State of the relay: sessions, operations, connections and endpoints.

The state is owned by the task that owns the sockets of callers and endpoints.
Times are seconds of the boot clock, which also counts suspensions of the host.
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
from poplarspoke.relay.classes import Contention, create_contention
from poplarspoke.relay.load_state import LoadState, create_loads

NO_CONNECTION = 0
# Sessions of other hosts' callers are numbered from here, above all others.
FIRST_CHANNEL_SESSION = 0x1000000000000
NO_POSITION = Position()


class Observation(NamedTuple):
    """Log position in an answer of a primary.

    It includes all commits that were acknowledged before ``asked_s``.

    Attributes:
        asked_s: When the statement was sent, not when it was answered.
        position: Position in the answer.
    """

    asked_s: float
    position: Position


class LoanRequest(NamedTuple):
    """Request for tokens that was sent to an owner.

    Attributes:
        workspace: Workspace whose rate the tokens count against.
        owner: Host that the request was sent to.
        asked_s: When the request was sent.
        until_s: When the tokens expire, whenever they are received.
    """

    workspace: str
    owner: str
    asked_s: float
    until_s: float


class Channel(NamedTuple):
    """Session of another host that this host is the gateway of.

    Attributes:
        link: Number of the link that the host opened.
        number: Number of the session at that host.
    """

    link: int
    number: int


class Share(NamedTuple):
    """This host's share of the rate and burst of a workspace.

    Attributes:
        fraction: Share in force, between 0 and 1.
        target_fraction: Share that takes effect at ``target_from_s``.
        target_from_s: When the share grows to ``target_fraction``.
    """

    fraction: float
    target_fraction: float
    target_from_s: float


class Demand(NamedTuple):
    """Operations that a workspace requests from this host.

    Attributes:
        rate: Moving average before ``since_s``, in operations a second.
        seen: Operations counted since ``since_s``.
        since_s: Start of the current counting interval of at least 1 s.
    """

    rate: float
    seen: int
    since_s: float


class Operation(TypedDict):
    """A statement of a caller that has not been answered yet.

    Attributes:
        session: Session that sent the statement.
        statement: Message of the caller.
        route: Route that was in force when the transaction started.
        workspace: Workspace that the key belongs to; empty on open routes.
        arrived_s: When the caller's statement was read.
        deadline_s: When the statement timeout of the route expires.
        needs_primary: Whether only the primary may run it.
        may_repeat: Whether it is safe to send again after it was sent once,
            because it only reads or starts a transaction.
        after: Log position that a replica must have applied; term 0 if only
            the primary can serve the statement.
        tried: Endpoints that failed to serve it.
        connection: Connection that it is assigned to, 0 if none.
        steps: Setup statements that must run on the connection first.
        sent_s: When the statement itself was sent; 0 if it was not.
        awaits_rate: Whether it waits for a token of the rate limit.
        not_before_s: End of the backoff before it is placed again.
        attempts: How often it was assigned to a connection; rejections and
            endpoints at their connection limit do not count.
        rejections: How often an endpoint was too busy or read-only, which
            lengthens the backoff.
        gateway: Host that it was passed to, '' if none.
        sequence: Number that the answer of the gateway repeats.
        token_until_s: When the token of the rate limit expires that was spent
            for it, infinite for one of this host; 0 if none was spent.
        committed: Whether it was decided to keep trying until the timeout.
        placed_s: When it was assigned to a connection last; 0 if never.
        counted_s: When it was counted for the usage reports; 0 if it was not.
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
    gateway: str
    sequence: int
    token_until_s: float
    committed: bool
    placed_s: float
    counted_s: float


class Session(TypedDict):
    """Session of a caller.

    Attributes:
        session: Number of the session.
        started: Whether the caller has sent a valid first message.
        database: Database that the caller connected to.
        key: Access key of the caller; secret.
        phase: Transaction state.
        connection: Connection that an open transaction holds, 0 if none.
        values: Session values that the caller has set.
        prepared: Prepared statements by the caller's names.
        kept_bytes: Memory that its values and prepared statements take.
        position: Log position of the last acknowledged write.
        position_unknown: A write has an unknown outcome, so reads go to the
            primary until it acknowledges another write of the session.
        wrote_s: When the last write was acknowledged.
        wrote: Whether the open transaction has written.
        route: Route of the current operation or transaction.
        workspace: Workspace of the current operation or transaction.
        used_s: When its last statement was started or answered.
        is_paused: Whether its connection takes no more answers now.
        backlog: Pipelined statements that have not been started.
        gateway: Host that holds the open transaction, '' if none.
        channel: Where the statements of another host's caller come from; None
            for a caller of this host.
    """

    session: int
    started: bool
    database: str
    key: str
    phase: SessionPhase
    connection: int
    values: dict[str, str]
    prepared: dict[str, PrepareStatement]
    kept_bytes: int
    position: Position
    position_unknown: bool
    wrote_s: float
    wrote: bool
    route: RouteRule
    workspace: str
    used_s: float
    is_paused: bool
    backlog: deque[Any]
    gateway: str
    channel: Channel | None


class GatewayLink(TypedDict):
    """Link from this host to a gateway.

    Attributes:
        usable: Whether the gateway accepts operations.
        opening: Whether it is being opened, or the gateway is not ready yet.
        opened_s: When it was opened last.
        heard_s: When the gateway last sent a frame.
        probed_s: When the unanswered probe was sent; 0 if there is none.
        failures: Failed attempts to open it since it was last usable.
        retry_s: When it may be opened again.
    """

    usable: bool
    opening: bool
    opened_s: float
    heard_s: float
    probed_s: float
    failures: int
    retry_s: float


class Connection(TypedDict):
    """Connection to an endpoint, bound to one workspace.

    Attributes:
        connection: Number of the connection.
        endpoint: Name of the endpoint.
        workspace: Workspace that it was opened for.
        ready: Whether the endpoint has accepted the session.
        session: Caller's session that uses it; 0 if it is idle.
        values: Session values that are set on it.
        aliases: Names of the statements that are prepared on it.
        in_flight: Statement that has been sent but not answered, or None.
        sent_s: When that statement was sent or the connection was opened.
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
        entry: Registration of the endpoint in the metadata store.
        connections: Connections of this host to it.
        latency_s: Moving average of its response times.
        heard_s: When it last answered; 0 if never.
        unresponsive_since_s: Since when it has not answered; 0 if it answers.
        last_failure_s: When it last failed to answer or to accept a
            connection.
        backoff_until_s: End of the backoff after a failed connection.
        failures: Failed connections since its last answer.
        lagging_until_s: Until when it is assumed to lag too far for reads.
        consecutive_lags: Refusals because of lag since its last success, which
            lengthen the backoff.
        position: Log position in its last answer.
        full_until_s: Until when no more connections are opened, because it
            has refused one at its connection limit.
        leaving_since_s: When it was first known to be draining or evacuated;
            0 if it is neither.
        leave_within_s: Time that the platform allows from ``leaving_since_s``
            until the endpoint must be unused.
        evacuated: Whether its zone is being evacuated.
        holding_s: Average time for which operations of this host take a place
            there, by database of their route.
    """

    entry: EndpointEntry
    connections: set[int]
    latency_s: float
    heard_s: float
    unresponsive_since_s: float
    last_failure_s: float
    backoff_until_s: float
    failures: int
    lagging_until_s: float
    consecutive_lags: int
    position: Position
    full_until_s: float
    leaving_since_s: float
    leave_within_s: float
    evacuated: bool
    holding_s: dict[str, float]


class UsageCounts(TypedDict):
    """Operations that this host has counted for the usage reports.

    Attributes:
        offset_s: True time less boot clock; None if it is not known yet.
        held: Operations by their time and workspace, until it is known.
        windows: Operations by window and workspace.
        changed: Windows that have changed since they were passed on.
        next_s: When the counts are passed on next.
    """

    offset_s: float | None
    held: dict[tuple[float, str], int]
    windows: dict[int, dict[str, int]]
    changed: set[int]
    next_s: float


class RelayState(TypedDict):
    """State of the relay of one host.

    Attributes:
        settings: Settings of the host.
        rng: Random source for jitter and for the choice of owners.
        incarnation: Identifies this run of the process towards peers.
        rules: Configuration in force.
        routes: Routes by database.
        key_owners: Workspaces by access key.
        max_connections: Connection limits of endpoints by service.
        buckets: Token buckets by workspace.
        shares: This host's share of each workspace's rate.
        demand: Requested operations by workspace.
        borrow_id: Number of the last request for tokens.
        borrow_after_s: When tokens of a workspace may be requested again.
        asked_owners: Owners that were asked since tokens of a workspace were
            last requested without an answer of another owner.
        loan_requests: Requests for tokens without an answer, by number.
        owner_backoff_until_s: Until when unresponsive owners are skipped.
        hosts: Number of hosts that share rates and connections.
        peers: Names of the other hosts.
        zone_peers: Addresses of the other hosts of this zone.
        zones: Number of zones that have hosts.
        peer_zones: Zones of the other hosts.
        owners: Owners of the rate of each workspace; absent if they are not
            known since the hosts or the rate have changed.
        gateway_ranks: Hosts of this zone by service and shard, the gateway
            first; filled when needed.
        gateway_links: Links to gateways, by host.
        next_sequence: Number of the next forwarded statement.
        peer_links: Links that other hosts have opened.
        pending_links: Those that wait until this host can serve statements.
        channels: Sessions by the channel that their statements come from.
        channel_sequences: Number of the latest statement of each channel.
        next_channel_session: Number of the next session of another host.
        leases: Primary leases of this host by service.
        leased_since_s: When this host first held a lease on the present
            primary of a service.
        promotion_ordered_s: When the promotion of a new primary was first
            known to have been ordered, by service.
        contention: Classes of work, and what workspaces have used.
        endpoints: Endpoints by name.
        observations: Log positions of the primary by service, oldest first.
        loads: Load and speed of endpoints, where hosts share their load.
        sessions: Sessions of callers by number.
        operations: Unanswered statements by session; a session has at most
            one.
        connections: Connections to endpoints by number.
        next_connection: Number of the next connection.
        shutdown_since_s: When the shutdown started; 0 if it has not.
        unready_since_s: Since when hosts of other zones serve callers better;
            0 if this host is ready.
        usage: Operations counted for the usage reports.
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
    asked_owners: dict[str, set[str]]
    loan_requests: dict[int, LoanRequest]
    owner_backoff_until_s: dict[str, float]
    hosts: int
    peers: tuple[str, ...]
    zone_peers: dict[str, str]
    zones: int
    peer_zones: dict[str, str]
    owners: dict[str, tuple[str, ...]]
    gateway_ranks: dict[tuple[str, int], tuple[str, ...]]
    gateway_links: dict[str, GatewayLink]
    next_sequence: int
    peer_links: set[int]
    pending_links: set[int]
    channels: dict[Channel, int]
    channel_sequences: dict[Channel, int]
    next_channel_session: int
    leases: dict[str, PrimaryLease]
    leased_since_s: dict[str, float]
    promotion_ordered_s: dict[str, float]
    contention: Contention
    endpoints: dict[str, Endpoint]
    observations: dict[str, deque[Observation]]
    loads: LoadState
    sessions: dict[int, Session]
    operations: dict[int, Operation]
    connections: dict[int, Connection]
    next_connection: int
    shutdown_since_s: float
    unready_since_s: float
    usage: UsageCounts


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
        asked_owners={},
        loan_requests={},
        owner_backoff_until_s={},
        hosts=0,
        peers=(),
        zone_peers={},
        peer_zones={},
        owners={},
        zones=1,
        gateway_ranks={},
        gateway_links={},
        next_sequence=1,
        peer_links=set(),
        pending_links=set(),
        channels={},
        channel_sequences={},
        next_channel_session=FIRST_CHANNEL_SESSION,
        leases={},
        leased_since_s={},
        promotion_ordered_s={},
        contention=create_contention(),
        endpoints={},
        observations={},
        loads=create_loads(settings),
        sessions={},
        operations={},
        connections={},
        next_connection=1,
        shutdown_since_s=0,
        unready_since_s=0,
        usage=UsageCounts(
            offset_s=None, held={}, windows={}, changed=set(), next_s=0
        ),
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
        kept_bytes=0,
        position=NO_POSITION,
        position_unknown=False,
        wrote_s=0,
        wrote=False,
        route=RouteRule(),
        workspace='',
        used_s=now_s,
        is_paused=False,
        backlog=deque(),
        gateway='',
        channel=None,
    )


def create_endpoint(entry: EndpointEntry) -> Endpoint:
    """Returns the state of an endpoint that has never been used."""
    return Endpoint(
        entry=entry,
        connections=set(),
        latency_s=0,
        heard_s=0,
        unresponsive_since_s=0,
        last_failure_s=0,
        backoff_until_s=0,
        failures=0,
        lagging_until_s=0,
        consecutive_lags=0,
        position=NO_POSITION,
        full_until_s=0,
        leaving_since_s=0,
        leave_within_s=0,
        evacuated=False,
        holding_s={},
    )
