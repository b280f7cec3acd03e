"""State of the control task of one host.

Times are seconds of the boot clock, which also counts suspensions.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, TypeAlias, TypedDict

from poplarspoke.generated.control import (
    DutyRecord,
    EndpointState,
    HostRecord,
    PrimaryRecord,
    Reach,
    TableRow,
)
from poplarspoke.generated.rules import EndpointEntry, HostSettings, Ruleset

RULES = 'rules'
ENDPOINTS = 'endpoints'
RECORDS = 'records'
TABLES = (RULES, ENDPOINTS, RECORDS)
# The age of what a reader has confirmed lies between one and two watches; it is
# taken off the time that leases bridge while the store is away. Watches of a
# store that drops its history hear nothing for 1 s and are then cut; a shorter
# one could end within that time, as if nothing had changed.
SHORT_WATCH_S = 1.2
LONG_WATCH_S = 20.0
NO_WATCH_S = 0
# How long a reader watches each table. The records confirm its leases;
# watches of the others only end to notice a connection that has gone silent,
# which peers notice earlier.
WATCHES_S = {
    RULES: LONG_WATCH_S,
    ENDPOINTS: LONG_WATCH_S,
    RECORDS: SHORT_WATCH_S,
}
# Keys of the operators' table.
RULES_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'


class Decoders(NamedTuple):
    """Functions that decode rows of other writers; None if unreadable."""

    decode_rules: Callable[[str], Ruleset | None]
    decode_endpoint: Callable[[str, str], EndpointEntry | None]


class Table(TypedDict):
    """A table of the metadata store as this host knows it.

    Attributes:
        version: Newest version that was read; it never goes back.
        rows: Rows by key, with the removed ones.
        confirmed_s: When the question was sent whose answer confirmed it.
        complete: Whether the whole table was read once.
    """

    version: int
    rows: dict[str, TableRow]
    confirmed_s: float
    complete: bool


class VersionedDuty(NamedTuple):
    """Row of the duty with its version; version 0 if it is absent."""

    record: DutyRecord
    version: int


class VersionedPrimary(NamedTuple):
    """Row of a primary with its version."""

    record: PrimaryRecord
    version: int


class Claiming(NamedTuple):
    """The claim is being written."""


class Releasing(NamedTuple):
    """The hosts are asked to give up the old primary."""

    next_s: float


class Choosing(NamedTuple):
    """The endpoints are asked for their logs."""

    since_s: float
    next_s: float


class Naming(NamedTuple):
    """The candidate is being written."""

    sent_s: float


class Ordering(NamedTuple):
    """The platform was told to promote the candidate."""

    since_s: float
    next_s: float


class Confirming(NamedTuple):
    """The candidate is asked whether it leads."""

    since_s: float
    next_s: float


class Recording(NamedTuple):
    """The new primary is being written."""


Step: TypeAlias = (
    Claiming | Releasing | Choosing | Naming | Ordering | Confirming | Recording
)


class TakeDuty(NamedTuple):
    """A write that takes the duty of changing primaries."""


class LeaveDuty(NamedTuple):
    """A write that gives the duty up."""


class RegisterHost(NamedTuple):
    """A write that registers this host."""


class RetireHost(NamedTuple):
    """A write that marks or removes a host that does not answer."""

    host: str


class NamePrimaries(NamedTuple):
    """A write of the first primaries."""


class AdvanceChange(NamedTuple):
    """A write that a change of primary waits for."""

    service: str


Purpose: TypeAlias = (
    TakeDuty
    | LeaveDuty
    | RegisterHost
    | RetireHost
    | NamePrimaries
    | AdvanceChange
)


class Change(TypedDict):
    """A change of primary that this host carries out.

    Attributes:
        step: What the change waits for.
        claimed_s: When the claim was acknowledged.
        claim_version: Version of the claim in the store.
        released: Hosts that have given up the old primary.
        states: Newest answers of the endpoints.
        excluded: Endpoints that could not take over.
        demote_term: Term that the old primary is demoted with, 0 before.
        term: Newest term that is known to have had a primary.
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
    states: dict[str, EndpointState]
    candidate: str
    excluded: set[str]
    demote_term: int
    term: int


class Report(TypedDict):
    """A primary that should be replaced, as seen by this host.

    Attributes:
        since_s: When the reason was first seen.
        heard_s: When the holder of the duty last answered.
        peer_s: When any other host last answered; 0 before.
        next_s: When it is reported again.
        probed_s: When this host, as the holder, asked the others; 0 before.
        reach: Answers of the other hosts.
    """

    service: str
    endpoint: str
    reason: str
    since_s: float
    heard_s: float
    peer_s: float
    next_s: float
    probed_s: float
    reach: dict[str, Reach]


class ControlState(TypedDict):
    """State of the control task.

    Attributes:
        released: Change number up to which each primary was given up.
        changing_since_s: When a primary's row was first seen to change; no
            host has renewed its lease since then.
        absent_since_s: When an endpoint's row was first missing.
        silent: Endpoints that do not answer this host, with the start.
        writes: What the pending writes are for, by their number.
        duty_wait_s: Until when a new holder orders nothing.
        take_s: When the duty may be taken again after a try.
        holder_heard_s: When the holder of the duty last answered this host.
        unanswered: Hosts that a change of primary has waited for in vain.
        retired_since_s: When a host was first seen to be marked.
        retire_s: When hosts are marked or removed next.
        store_heard_s: When the store last answered this host itself.
        holder_seen_s: When the holder was last heard, or took the duty.
        holder_suspect_s: Since when it may be gone; 0 if it is not.
        others_seen_s: When another host has answered since then.
        heard_s: When this host, as the holder, last heard each host.
        ask_s: When a reader is asked next.
        watches_s: How long this host's watches of each table last.
        reader_heard_s: When a reader last answered.
        watch_until_s: Until when this host watches though it is no reader.
        fetch_s: When changed rows may be asked for again.
        behind_since_s: When a peer was first seen to have newer rows.
        far_heard_s: When a host of another zone last answered.
        suspected_s: Since when this zone may be cut off; 0 if it is not.
        suspect_s: When a cut may be suspected again.
        isolated: Whether this zone is cut off.
        told_s: When another host of the zone last noticed a cut.
        leads_few: Whether it led less than half of the services then.
        judged_s: When a silent primary of a service was last found alive.
    """

    settings: HostSettings
    incarnation: int
    rng: random.Random
    decoders: Decoders
    tables: dict[str, Table]
    ruleset: Ruleset
    endpoints: dict[str, EndpointEntry]
    evacuated: tuple[str, ...]
    hosts: dict[str, HostRecord]
    duty: VersionedDuty
    primaries: dict[str, VersionedPrimary]
    released: dict[str, int]
    changing_since_s: dict[str, float]
    absent_since_s: dict[str, float]
    silent: dict[str, float]
    reports: dict[str, Report]
    changes: dict[str, Change]
    writes: dict[int, Purpose]
    next_write: int
    duty_wait_s: float
    take_s: float
    holder_heard_s: float
    bootstrap_s: float
    register_s: float
    view_s: float
    ask_s: float
    watches_s: dict[str, float]
    reader_heard_s: float
    watch_until_s: float
    fetch_s: float
    behind_since_s: dict[str, float]
    far_heard_s: float
    suspected_s: float
    suspect_s: float
    isolated: bool
    told_s: float
    leads_few: bool
    judged_s: dict[str, float]
    leaving: bool
    ready: bool
    unanswered: set[str]
    retired_since_s: dict[str, float]
    retire_s: float
    store_heard_s: float
    holder_seen_s: float
    holder_suspect_s: float
    others_seen_s: float
    heard_s: dict[str, float]


def create_state(
    settings: HostSettings,
    decoders: Decoders,
    *,
    rng: random.Random,
    incarnation: int,
) -> ControlState:
    """Returns the state of a host that has read nothing yet."""
    return ControlState(
        settings=settings,
        incarnation=incarnation,
        rng=rng,
        decoders=decoders,
        tables={name: _create_table() for name in TABLES},
        ruleset=Ruleset(),
        endpoints={},
        evacuated=(),
        hosts={},
        duty=VersionedDuty(DutyRecord(), 0),
        primaries={},
        released={},
        changing_since_s={},
        absent_since_s={},
        silent={},
        reports={},
        changes={},
        writes={},
        next_write=1,
        duty_wait_s=0,
        take_s=0,
        holder_heard_s=0,
        bootstrap_s=0,
        register_s=0,
        view_s=0,
        ask_s=0,
        watches_s=dict.fromkeys(TABLES, NO_WATCH_S),
        reader_heard_s=0,
        watch_until_s=0,
        fetch_s=0,
        behind_since_s={},
        far_heard_s=0,
        suspected_s=0,
        suspect_s=0,
        isolated=False,
        told_s=0,
        leads_few=False,
        judged_s={},
        leaving=False,
        ready=False,
        unanswered=set(),
        retired_since_s={},
        retire_s=0,
        store_heard_s=0,
        holder_seen_s=0,
        holder_suspect_s=0,
        others_seen_s=0,
        heard_s={},
    )


def _create_table() -> Table:
    return Table(version=0, rows={}, confirmed_s=0, complete=False)
