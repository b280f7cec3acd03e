"""State of the control task of one host.

Times are seconds of the boot clock, which also counts suspensions.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, TypeAlias, TypedDict

from poplarspoke.control import usage_state
from poplarspoke.control.usage_state import UsageState, WriteUsage
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import (
    EndpointState,
    GroupRecord,
    HostRecord,
    LeaderRecord,
    MemberRecord,
    PrimaryRecord,
    Reachability,
    TableRow,
    TermRecord,
)
from poplarspoke.generated.rules import EndpointEntry, HostSettings, Ruleset

RULES = 'rules'
ENDPOINTS = 'endpoints'
RECORDS = 'records'
TABLES = (RULES, ENDPOINTS, RECORDS)
# A watch is a long poll. The age of data that a watcher has confirmed is
# between one and two watches and shortens the store outage that primary leases
# can bridge. A store that discards its history sends watches nothing for 1 s
# before it closes them; a shorter watch could end within that time and look as
# if nothing had changed.
SHORT_WATCH_S = 1.2
LONG_WATCH_S = 20.0
NO_WATCH_S = 0
# Length of the watches of a zone watcher for each table. Answers for the
# records renew its leases and show the newest version of the store, which
# reveals a dead watch of another table.
WATCHES_S = {
    RULES: LONG_WATCH_S,
    ENDPOINTS: LONG_WATCH_S,
    RECORDS: SHORT_WATCH_S,
}
# Keys of the table that the operators write.
RULES_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
# Keys of the records.
HOST_PREFIX = 'host/'
PRIMARY_PREFIX = 'primary/'
TERM_PREFIX = 'term/'
GROUP_PREFIX = 'group/'
LEADER_KEY = 'duty'
ERA_KEY = 'era'
RELEASE_PREFIX = 'release/'
PROGRESS_KEY = 'progress'
# Duration of a primary lease, from the request whose answer confirmed it. It
# bridges most outages of the store, and is the longest that a failover waits
# for an unresponsive host.
PRIMARY_LEASE_S = 8.0
# A primary lease ends by the clock of its host, which may run slightly slower.
LEASE_MARGIN_S = 0.2


class Decoders(NamedTuple):
    """Functions that decode rows of other writers; None if a row is invalid."""

    decode_rules: Callable[[str], Ruleset | None]
    decode_endpoint: Callable[[str, str], EndpointEntry | None]


class Table(TypedDict):
    """Local copy of a table of the metadata store.

    Attributes:
        version: Newest revision that was read; it never decreases.
        rows: Rows by key, including removed ones.
        newest: Revision of the newest row.
        confirmed_s: Send time of the latest request whose answer showed that
            this copy was current.
        complete: Whether the whole table has been read at least once.
    """

    version: int
    rows: dict[str, TableRow]
    newest: int
    confirmed_s: float
    complete: bool


class Versions(NamedTuple):
    """Revision of the newest change of each table."""

    rules: int
    endpoints: int
    records: int


class MissingRows(TypedDict):
    """Rows of one table that a peer has and this host lacks.

    Attributes:
        revision: Newest revision that a peer has named.
        peer: The first peer that named it.
        named_s: When it was first named.
        known: Version of this host since then.
        since_s: Since when this host lacks rows of the table.
        restart_s: Earliest time of the next restart of the own watch.
        report_s: When a log line about it is due.
    """

    revision: int
    peer: str
    named_s: float
    known: int
    since_s: float
    restart_s: float
    report_s: float


class Offer(NamedTuple):
    """Versions that a peer has named and that are newer than those of this host.

    Attributes:
        versions: Revision of the newest change of each table.
        at_s: When it named them.
    """

    versions: Versions
    at_s: float


class FailedFetch(NamedTuple):
    """Latest request for the rows of a peer that failed.

    Attributes:
        address: ``IP:port`` of the peer.
        reason: Why it failed.
        at_s: When it failed.
    """

    address: str
    reason: str
    at_s: float


class VersionedLeader(NamedTuple):
    """Row of the leader lease with its revision; 0 if there is no row."""

    record: LeaderRecord
    version: int


class VersionedPrimary(NamedTuple):
    """Row of a primary with its revision in the store."""

    record: PrimaryRecord
    version: int


class Incarnation(NamedTuple):
    """One process of an endpoint, which may start again under its name.

    Attributes:
        endpoint: Name of the endpoint.
        born_ms: Start of its process, ms since 1970.
    """

    endpoint: str
    born_ms: int


class LostEndpoint(NamedTuple):
    """A process of an endpoint that has left, as planned or not.

    Attributes:
        entry: Its last entry.
        since_s: When it was dropped from the usable endpoints.
    """

    entry: EndpointEntry
    since_s: float


class ClaimingFailover(NamedTuple):
    """Waits for the write that claims the failover."""


class ReleasingLeases(NamedTuple):
    """Waits until no host holds a lease on the old primary.

    Attributes:
        next_s: When the request to the remaining hosts is repeated.
    """

    next_s: float


class SelectingCandidate(NamedTuple):
    """Queries the log positions of the endpoints.

    Attributes:
        since_s: Start of the step.
        next_s: When the endpoints are queried again.
    """

    since_s: float
    next_s: float


class NominatingCandidate(NamedTuple):
    """Waits for the write of the candidate to the primary's row.

    Attributes:
        sent_s: When the write was sent.
    """

    sent_s: float


class OrderingPromotion(NamedTuple):
    """Waits for the platform's answer to the promotion order.

    Attributes:
        since_s: Start of the step.
        next_s: When the order is repeated.
    """

    since_s: float
    next_s: float


class ConfirmingPromotion(NamedTuple):
    """Queries the candidate until it reports that it is the primary.

    Attributes:
        since_s: Start of the step.
        next_s: When the candidate is queried again.
    """

    since_s: float
    next_s: float


class RecordingPrimary(NamedTuple):
    """Waits for the write of the new primary."""


Step: TypeAlias = (
    ClaimingFailover
    | ReleasingLeases
    | SelectingCandidate
    | NominatingCandidate
    | OrderingPromotion
    | ConfirmingPromotion
    | RecordingPrimary
)


class ClaimLeadership(NamedTuple):
    """A write that claims the leader lease."""


class ResignLeadership(NamedTuple):
    """A write that resigns the leader lease."""


class RegisterHost(NamedTuple):
    """A write that registers this host."""


class RetireHost(NamedTuple):
    """A write that retires an unresponsive host or removes its row."""

    host: str


class RecordFirstPrimaries(NamedTuple):
    """A write of the first primary of one or more services."""


class RecordReleases(NamedTuple):
    """A write of the releases that this host has witnessed, or its removal."""


class RecordGroup(NamedTuple):
    """A write of the members of a service with synchronous replicas."""

    service: str


class ReportProgress(NamedTuple):
    """A write that shows that the leader is alive while a failover waits."""


class ConfirmEra(NamedTuple):
    """A write of lost records, and of the row that confirms their era."""


class AdvanceFailover(NamedTuple):
    """A write that the failover of a service waits for."""

    service: str


Purpose: TypeAlias = (
    ClaimLeadership
    | ResignLeadership
    | RegisterHost
    | RetireHost
    | RecordFirstPrimaries
    | RecordReleases
    | RecordGroup
    | ReportProgress
    | ConfirmEra
    | AdvanceFailover
    | WriteUsage
)


class Witness(TypedDict):
    """Releases of one failover that this host has requested as a witness.

    Attributes:
        change: Number of the failover.
        hosts: Hosts that have released the primary.
        written: Number of hosts in the newest row of this host.
        next_request_s: When the other hosts are requested again.
        next_write_s: Earliest time of the next write.
    """

    change: int
    hosts: set[str]
    written: int
    next_request_s: float
    next_write_s: float


class Probe(NamedTuple):
    """Queries of the members of a service from which one has left.

    Attributes:
        asked_s: When the queries were sent; the answers repeat it.
        departed: Processes that had left by then.
        answers: Answers by endpoint.
    """

    asked_s: float
    departed: frozenset[Incarnation]
    answers: dict[str, EndpointState]


class Failover(TypedDict):
    """A failover that this host, as the leader, carries out.

    Attributes:
        old: Endpoint that is replaced.
        reason: Why it is replaced.
        number: Number of the failover of this service.
        step: What the failover waits for.
        claimed_s: When the store acknowledged the claim.
        claim_version: Revision of the claim in the store.
        released: Hosts that have released their lease on the old primary.
        majority_released_s: When all hosts of a majority of the zones had
            released it; 0 before.
        states: Newest answers of the endpoints to queries of the choice.
        unchanged_since_s: When each endpoint first answered with its present log.
        awaited: What the choice of the candidate waits for; empty if it does
            not wait.
        candidate: Endpoint that is to become the primary; empty before.
        excluded: Endpoints that could not be promoted.
        term: Newest term that is known to have had a primary.
        start: End of the log with which that term began; empty if unknown.
    """

    service: str
    old: str
    reason: str
    number: int
    step: Step
    started_s: float
    claimed_s: float
    claim_version: int
    released: set[str]
    majority_released_s: float
    states: dict[str, EndpointState]
    unchanged_since_s: dict[str, float]
    awaited: str
    candidate: str
    excluded: set[str]
    term: int
    start: Position


class Report(TypedDict):
    """A primary that should be replaced, as seen by this host.

    Attributes:
        reason: Why it should be replaced.
        since_s: When a reason was first detected.
        heard_s: When the leader last answered this host or a peer.
        peer_s: When any other host last answered; 0 before.
        next_s: When it is reported to the leader again.
        probed_s: When this host, as the leader, queried the others; 0 before.
        reported_s: When another host last reported it to this one; 0 before.
        reach: Whether the endpoint answers each host, by host name.
    """

    service: str
    endpoint: str
    reason: str
    since_s: float
    heard_s: float
    peer_s: float
    next_s: float
    probed_s: float
    reported_s: float
    reach: dict[str, Reachability]


class ControlState(TypedDict):
    """State of the control task.

    Attributes:
        incarnation: Start of this process, ms since 1970.
        started_s: Start of this process.
        evacuated: Zones that the operators are taking out of service.
        duty: Row of the leader lease.
        terms: Newest term of each service.
        released: Number of the failover up to which this host has released
            its lease on each service's primary.
        changing_since_s: When the row of a primary was first seen in a
            failover; no host has renewed its lease since then.
        absent_since_s: When an endpoint's row was first missing.
        lost: Processes of endpoints that have left.
        groups: Members of each service with synchronous replicas, as recorded.
        probes: Queries under way of the members of such services, by service.
        next_probe_s: Earliest time of the next queries, by service.
        next_group_write_s: Earliest time of the next write of the members, by
            service.
        silent: Unresponsive endpoints, with the time of the latest report of
            this host's relay.
        changes: Failovers that this host carries out, by service.
        writes: Purpose of each pending write, by its number.
        former_leader_wait_s: How long this host, as a new leader, waits for
            orders of the former one.
        first_order_s: Earliest time at which this host, as a new leader, may
            order a promotion.
        orders_until_s: Until when an order of this host without an answer may
            still reach the platform.
        next_claim_s: Earliest time of the next claim of the leader lease.
        leader_last_response_s: When the leader last answered this host.
        next_bootstrap_s: When this host writes missing first primaries; 0 if
            there are none.
        next_registration_s: Earliest time of the next registration.
        next_view_s: Earliest time of the next request for a peer's view.
        unresponsive_hosts: Hosts that did not answer a failover before their
            leases expired.
        retired_since_s: When the row of a host was first seen as retired.
        next_retirement_s: Earliest time of the next write that retires or
            removes hosts.
        store_last_response_s: When the store last answered this host itself.
        leader_last_contact_s: When the leader last answered, or claimed the
            lease.
        leader_suspected_s: When this host began to probe an unresponsive
            leader; 0 if it does not.
        others_last_contact_s: When another host last answered after that; 0
            before.
        heard_s: When each host last sent something to this host while this
            host was the leader.
        watchers: Zone watchers of all zones; None if they are not known since
            the hosts have changed.
        settled_s: From when this host may watch all tables; 0 before the
            records were read.
        next_query_s: When a host that reads the store is queried next.
        next_leader_query_s: Earliest time of the next query of the leader.
        watches_s: Length of this host's watches of each table.
        zone_hosts: Hosts of this zone in the order in which they watch the
            store; None if they are not known since the hosts have changed.
        queried: Hosts that were queried last for confirmation and have not
            answered.
        queried_hosts: Number of the hosts that were queried last.
        unanswered_rounds: Queries in a row that nobody has answered.
        source_last_response_s: When the store last answered a host that has
            said so.
        refused_until_s: Until when hosts that the store does not answer are not
            queried.
        silent_until_s: The same, of hosts that did not answer.
        watch_until_s: Until when this host watches the store although it is
            not a zone watcher.
        missing: Tables of which peers have newer rows.
        offers: Newer rows by the peer that has named them.
        next_fetch_s: Earliest time of the next request for rows.
        fetches: When each request for rows that is under way was sent, by the
            address of the peer.
        failed_fetch: Latest request for rows that failed; None if there is none.
        store_failed_s: When a read or a watch of this host last failed.
        remote_last_response_s: When a host of another zone last answered.
        suspected_s: Since when this zone may be isolated; 0 if it is not.
        next_suspicion_s: Earliest time at which isolation is suspected again.
        isolated: Whether this zone is isolated.
        isolation_reported_s: When another host of the zone last reported that
            it may be isolated.
        has_few_primaries: Whether less than half of the primaries were in this
            zone when it became isolated.
        zone_contact_s: When the latest query was sent to each other zone whose
            answer extends the leases of this host.
        next_contact_s: When hosts of other zones are queried again.
        leader_progress_s: When a row that the leader has written was last read.
        next_progress_s: When this host, as the leader, writes its progress.
        witnessed: Releases that this host has requested as a witness, by
            service.
        partitioned: Whether the leases have ended for lack of such answers.
        contact_since_s: Since when such answers have come without a gap; 0
            without them.
        assessed_s: When an unresponsive primary of a service was last found
            to answer enough hosts.
        unwritten: Keys of records that this host knows to be newer than the
            restored store does.
        confirmed_era: Newest era whose records are known to be complete.
        trusted: Services whose primary this host may use before the records
            of the era are confirmed: it held the lease until the restore, or
            the row was written after it.
        is_informed: Whether this host knew all records until the restore.
        era_since_s: When the records were first read in the present era.
        former_confirmed_s: Confirmation of the records in the era before.
        held_since_s: When a restored store was found to lack the row of an
            evacuation, by key.
        unknown_leases_until_s: Until when hosts that this host does not know
            may hold primary leases.
        next_confirmation_s: Earliest time of the next write of lost records.
        usage: State of the usage reports.
    """

    settings: HostSettings
    incarnation: int
    started_s: float
    rng: random.Random
    decoders: Decoders
    tables: dict[str, Table]
    ruleset: Ruleset
    endpoints: dict[str, EndpointEntry]
    evacuated: tuple[str, ...]
    hosts: dict[str, HostRecord]
    duty: VersionedLeader
    primaries: dict[str, VersionedPrimary]
    terms: dict[str, TermRecord]
    released: dict[str, int]
    changing_since_s: dict[str, float]
    absent_since_s: dict[str, float]
    lost: dict[Incarnation, LostEndpoint]
    groups: dict[str, GroupRecord]
    probes: dict[str, Probe]
    next_probe_s: dict[str, float]
    next_group_write_s: dict[str, float]
    silent: dict[str, float]
    reports: dict[str, Report]
    changes: dict[str, Failover]
    writes: dict[int, Purpose]
    next_write: int
    former_leader_wait_s: float
    first_order_s: float
    orders_until_s: float
    next_claim_s: float
    leader_last_response_s: float
    next_bootstrap_s: float
    next_registration_s: float
    next_view_s: float
    watchers: tuple[str, ...] | None
    settled_s: float
    next_query_s: float
    next_leader_query_s: float
    watches_s: dict[str, float]
    zone_hosts: tuple[str, ...] | None
    queried: set[str]
    queried_hosts: int
    unanswered_rounds: int
    source_last_response_s: float
    refused_until_s: dict[str, float]
    silent_until_s: dict[str, float]
    watch_until_s: float
    missing: dict[str, MissingRows]
    offers: dict[str, Offer]
    next_fetch_s: float
    fetches: dict[str, float]
    failed_fetch: FailedFetch | None
    store_failed_s: float
    remote_last_response_s: float
    suspected_s: float
    next_suspicion_s: float
    isolated: bool
    isolation_reported_s: float
    has_few_primaries: bool
    zone_contact_s: dict[str, float]
    next_contact_s: float
    leader_progress_s: float
    next_progress_s: float
    witnessed: dict[str, Witness]
    partitioned: bool
    contact_since_s: float
    assessed_s: dict[str, float]
    unwritten: set[str]
    confirmed_era: int
    trusted: set[str]
    is_informed: bool
    era_since_s: float
    former_confirmed_s: float
    held_since_s: dict[str, float]
    unknown_leases_until_s: float
    next_confirmation_s: float
    leaving: bool
    ready: bool
    unresponsive_hosts: set[str]
    retired_since_s: dict[str, float]
    next_retirement_s: float
    store_last_response_s: float
    leader_last_contact_s: float
    leader_suspected_s: float
    others_last_contact_s: float
    heard_s: dict[str, float]
    usage: UsageState


def create_state(
    settings: HostSettings,
    decoders: Decoders,
    *,
    rng: random.Random,
    incarnation: int,
    started_s: float,
) -> ControlState:
    """Returns the state of a host that has read no table yet."""
    return ControlState(
        settings=settings,
        incarnation=incarnation,
        started_s=started_s,
        rng=rng,
        decoders=decoders,
        tables={name: _create_table() for name in TABLES},
        ruleset=Ruleset(),
        endpoints={},
        evacuated=(),
        hosts={},
        duty=VersionedLeader(LeaderRecord(), 0),
        primaries={},
        terms={},
        released={},
        changing_since_s={},
        absent_since_s={},
        lost={},
        groups={},
        probes={},
        next_probe_s={},
        next_group_write_s={},
        silent={},
        reports={},
        changes={},
        writes={},
        next_write=1,
        former_leader_wait_s=0,
        first_order_s=0,
        orders_until_s=0,
        next_claim_s=0,
        leader_last_response_s=0,
        next_bootstrap_s=0,
        next_registration_s=0,
        next_view_s=0,
        watchers=None,
        settled_s=0,
        next_query_s=0,
        next_leader_query_s=0,
        watches_s=dict.fromkeys(TABLES, NO_WATCH_S),
        zone_hosts=None,
        queried=set(),
        queried_hosts=1,
        unanswered_rounds=0,
        source_last_response_s=0,
        refused_until_s={},
        silent_until_s={},
        watch_until_s=0,
        missing={},
        offers={},
        next_fetch_s=0,
        fetches={},
        failed_fetch=None,
        store_failed_s=0,
        remote_last_response_s=0,
        suspected_s=0,
        next_suspicion_s=0,
        isolated=False,
        isolation_reported_s=0,
        has_few_primaries=False,
        zone_contact_s={},
        next_contact_s=0,
        leader_progress_s=0,
        next_progress_s=0,
        witnessed={},
        partitioned=False,
        contact_since_s=0,
        assessed_s={},
        unwritten=set(),
        confirmed_era=0,
        trusted=set(),
        is_informed=False,
        era_since_s=0,
        former_confirmed_s=0,
        held_since_s={},
        unknown_leases_until_s=0,
        next_confirmation_s=0,
        leaving=False,
        ready=False,
        unresponsive_hosts=set(),
        retired_since_s={},
        next_retirement_s=0,
        store_last_response_s=0,
        leader_last_contact_s=0,
        leader_suspected_s=0,
        others_last_contact_s=0,
        heard_s={},
        usage=usage_state.create_state(),
    )


def find_sync_replicas(state: ControlState, service: str) -> int:
    """Returns how many replicas have received an acknowledged commit."""
    for rule in state['ruleset'].services:
        if rule.name == service:
            return rule.sync_replicas
    return 0


def identify(member: EndpointEntry | MemberRecord) -> Incarnation:
    """Returns the process that an entry or a record names."""
    return Incarnation(member.endpoint, member.born_ms)


def _create_table() -> Table:
    return Table(version=0, rows={}, newest=0, confirmed_s=0, complete=False)
