"""State of the usage reports within the state of the control task."""

from typing import NamedTuple, TypeAlias, TypedDict

from poplarspoke.generated.usage import UsageRecord

# Key of the row of the records.
USAGE_KEY = 'usage'


class Process(NamedTuple):
    """One process of a host.

    Attributes:
        host: Name of the host.
        incarnation: Start of the process, ms since 1970.
    """

    host: str
    incarnation: int


class ClockVote(NamedTuple):
    """Wall clock of a host.

    Attributes:
        offset_s: Its wall clock less the boot clock of this host.
        received_s: When it was received.
    """

    offset_s: float
    received_s: float


class OwnWindow(TypedDict):
    """Counts of this host for one window.

    Attributes:
        counts: Operations by workspace.
        changed: Sequence at which each of them changed last.
        sequence: Increases when the counts change or become final.
        final: Whether the counts will not change any more.
        acked: Newest sequence that the leader has acknowledged.
    """

    counts: dict[str, int]
    changed: dict[str, int]
    sequence: int
    final: bool
    acked: int


class SequencedCount(NamedTuple):
    """Count of one workspace, with the sequence of the report it is from."""

    sequence: int
    operations: int


class HostWindow(TypedDict):
    """Counts of one process for one window, as this host has received them.

    Attributes:
        counts: Operations by workspace.
        sequence: Newest sequence of a report.
        total: Sum of the counts at that sequence.
        final: Whether the counts at that sequence are final.
    """

    counts: dict[str, SequencedCount]
    sequence: int
    total: int
    final: bool


class Permission(NamedTuple):
    """Permission to report windows that an accepted write gives.

    Attributes:
        until_s: When calls that it permits have expired.
        token: Fencing token under which the row was written.
    """

    until_s: float
    token: int


class Tally(TypedDict):
    """Numbers of windows for the metrics."""

    reported: int
    estimated: int
    omitted: int


# Operations by workspace.
Counts: TypeAlias = dict[str, int]
# Counts of one window, by process.
Collected: TypeAlias = dict[Process, HostWindow]


class UsageState(TypedDict):
    """State of the usage reports of one host.

    Attributes:
        offset_s: True time less the boot clock; None if it is not known yet.
        agreed: Number of clocks that it is the median of, as far as it matters;
            0 for the own wall clock alone.
        wall_offset_s: Wall clock less the boot clock, as read last.
        clocked_s: When the wall clock was first read; 0 before.
        jump_since_s: Since when the median differs much from ``offset_s``; 0
            if it does not.
        votes: Wall clocks of the hosts, by host.
        windows: Counts of this host that are not decided yet, by window.
        collected: Counts that this host has received, by window and process.
        heard_s: When each process last reported.
        departed_s: When each process reported that it counts no more.
        history: Counts of the last complete windows of each host, newest last.
        acked_s: When the leader last acknowledged a report; 0 before.
        acked_token: Token of the leader that has acknowledged ``windows``.
        leader_since_s: When the present leader was first known.
        record: Newest content of the row that is known; a restored store may
            lack it.
        version: Revision of the row in the store; 0 if there is none.
        era: Era of the records that this host has last acted in.
        era_since_s: When it first read the records of that era.
        continues: Whether no other leader can have reported windows, before the
            restore that began the era, that this host does not know.
        token: Fencing token under which this process is the leader; 0 if it is
            not.
        leading_since_s: When it became the leader under that token.
        write_until_s: Until when a write may still be answered; 0 if none is.
        write_sent_s: When that write was sent.
        next_write_s: Earliest time of the next write after one that failed.
        permission: Permission to report the windows of the row.
        call: Window that is being reported; 0 if none is.
        call_until_s: When that call has expired.
        next_call_s: Earliest time of the next call.
        attempts: Calls that have begun, by window of the row.
        called: Counts that this process has sent to the platform, by window.
        reported: Windows of the row that the platform has accepted.
        tally: Numbers for the metrics.
    """

    offset_s: float | None
    agreed: int
    wall_offset_s: float
    clocked_s: float
    jump_since_s: float
    votes: dict[str, ClockVote]
    windows: dict[int, OwnWindow]
    collected: dict[int, Collected]
    heard_s: dict[Process, float]
    departed_s: dict[Process, float]
    history: dict[str, tuple[Counts, ...]]
    acked_s: float
    acked_token: int
    leader_since_s: float
    record: UsageRecord
    version: int
    era: int
    era_since_s: float
    continues: bool
    token: int
    leading_since_s: float
    write_until_s: float
    write_sent_s: float
    next_write_s: float
    permission: Permission
    call: int
    call_until_s: float
    next_call_s: float
    attempts: dict[int, int]
    called: dict[int, Counts]
    reported: set[int]
    tally: Tally


class WriteUsage(NamedTuple):
    """A write of the row of the usage reports.

    Attributes:
        token: Fencing token of the leader at that time.
        sent_s: When it was sent.
        decided: Windows that it decides; 0 if it only renews the permission.
        estimated: Those of them for which counts were estimated.
        omitted: Windows before them that are not reported.
    """

    token: int
    sent_s: float
    decided: int
    estimated: int
    omitted: int


def create_state() -> UsageState:
    """Returns the state of a host that has counted and read nothing."""
    return UsageState(
        offset_s=None,
        agreed=0,
        wall_offset_s=0,
        clocked_s=0,
        jump_since_s=0,
        votes={},
        windows={},
        collected={},
        heard_s={},
        departed_s={},
        history={},
        acked_s=0,
        acked_token=0,
        leader_since_s=0,
        record=UsageRecord(),
        version=0,
        era=-1,
        era_since_s=0,
        continues=False,
        token=0,
        leading_since_s=0,
        write_until_s=0,
        write_sent_s=0,
        next_write_s=0,
        permission=Permission(0, 0),
        call=0,
        call_until_s=0,
        next_call_s=0,
        attempts={},
        called={},
        reported=set(),
        tally=Tally(reported=0, estimated=0, omitted=0),
    )
