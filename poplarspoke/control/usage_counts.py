"""Counts of this host, kept until the leader has decided their window."""

from poplarspoke.control import usage_collection, usage_rows
from poplarspoke.control.state import ControlState
from poplarspoke.control.usage_state import HostWindow, OwnWindow
from poplarspoke.generated.usage import (
    CountAck,
    CountReport,
    UsageCounted,
    WorkspaceCount,
)

# Limit on the counts in one datagram, of 8192 bytes with the other fields. Each
# count takes its name, padded, and 24 bytes.
MAX_COUNTS_BYTES = 6000
COUNT_BYTES = 32
# A new leader gets copies for this long; it waits before it decides a window.
COPY_S = 6.0
# Processes report each second; one that is silent for this long may have ended.
ENDED_AFTER_S = 1.2


def update_windows(
    state: ControlState, message: UsageCounted, now_s: float
) -> None:
    """Records what the relay has counted, and which counts are final."""
    _open_windows(state, now_s)
    changed = {counted.window: counted.counts for counted in message.windows}
    for window, known in state['usage']['windows'].items():
        end_s = usage_rows.find_end(state, window)
        is_over = message.as_of_s >= end_s + usage_collection.SETTLE_S
        if known['final'] and is_over:
            # The counts may have been reported.
            continue
        counts = changed.get(window)
        if counts is not None:
            _replace_counts(known, counts)
        is_final = is_over or message.drained
        if known['final'] != is_final:
            known['final'] = is_final
            known['sequence'] += 1


def list_reports(
    state: ControlState, message: UsageCounted, now_s: float
) -> list[CountReport]:
    """Returns the reports to send, at least one for the clock."""
    usage = state['usage']
    base = CountReport(
        sender=state['settings'].name,
        incarnation=state['incarnation'],
        departed=message.drained,
        asked_s=now_s,
        wall_s=now_s + message.wall_offset_s,
    )
    reports: list[CountReport] = []
    current = max(usage['windows'], default=0)
    for window, known in sorted(usage['windows'].items()):
        if known['acked'] < known['sequence'] or window == current:
            reports.extend(_split(base, window, known))
    return reports or [base]


def record_ack(state: ControlState, message: CountAck, now_s: float) -> None:
    """Records which counts the leader has."""
    usage = state['usage']
    usage['acked_s'] = now_s
    if message.token != usage['acked_token']:
        return
    known = usage['windows'].get(message.window)
    if known is not None and message.complete:
        known['acked'] = max(known['acked'], message.sequence)


def acknowledge_all(state: ControlState) -> None:
    """Records that this host, as the leader, has its own counts."""
    for known in state['usage']['windows'].values():
        known['acked'] = known['sequence']


def list_copies(state: ControlState, now_s: float) -> list[CountReport]:
    """Returns what a new leader may lack: counts of processes that have ended.

    A host that starts again and becomes the leader has no counts of its former
    process; its successors have.
    """
    usage = state['usage']
    if now_s - usage['leader_since_s'] >= COPY_S:
        return []
    copies: list[CountReport] = []
    for window, collected in usage['collected'].items():
        for process, known in collected.items():
            ago_s = now_s - usage['heard_s'].get(process, 0)
            if ago_s < ENDED_AFTER_S or process.host == state['settings'].name:
                continue
            base = CountReport(
                process.host, process.incarnation, copied=True, ago_s=ago_s
            )
            # Some parts may not have arrived here.
            copies.extend(
                report._replace(total=known['total'])
                for report in _split(base, window, _create_copy(known))
            )
    return copies


def forget_acks(state: ControlState, now_s: float) -> None:
    """Lets all counts be sent again once there is a new leader."""
    usage = state['usage']
    token = state['duty'].record.token
    if usage['acked_token'] == token:
        return
    usage['acked_token'] = token
    usage['leader_since_s'] = now_s
    for known in usage['windows'].values():
        known['acked'] = 0


def _open_windows(state: ControlState, now_s: float) -> None:
    """Creates the windows since the newest one, also those without counts."""
    usage = state['usage']
    current = usage_rows.find_window(state, now_s)
    oldest = max(
        usage_rows.find_window(state, state['started_s']),
        usage['record'].last + 1,
        current - usage_rows.MAX_KEPT_WINDOWS,
    )
    for window in range(oldest, current + 1):
        usage['windows'].setdefault(
            window,
            OwnWindow(counts={}, changed={}, sequence=1, final=False, acked=0),
        )


def _replace_counts(
    known: OwnWindow, counts: tuple[WorkspaceCount, ...]
) -> None:
    known['sequence'] += 1
    for name, operations in counts:
        if known['counts'].get(name) != operations:
            known['counts'][name] = operations
            known['changed'][name] = known['sequence']


def _create_copy(known: HostWindow) -> OwnWindow:
    """Returns the counts of another process as if they were own ones."""
    return OwnWindow(
        counts={
            name: part.operations for name, part in known['counts'].items()
        },
        changed={name: part.sequence for name, part in known['counts'].items()},
        sequence=known['sequence'],
        final=known['final'],
        acked=0,
    )


def _split(
    base: CountReport, window: int, known: OwnWindow
) -> list[CountReport]:
    """Returns the reports of a window, each below the size of a datagram.

    They hold the counts that the leader has not acknowledged. Final ones are sent
    in full, since the successors do not acknowledge theirs.
    """
    report = base._replace(
        window=window,
        sequence=known['sequence'],
        total=sum(known['counts'].values()),
        final=known['final'],
    )
    parts: list[list[WorkspaceCount]] = [[]]
    size = 0
    for name, operations in sorted(known['counts'].items()):
        if not known['final'] and known['changed'][name] <= known['acked']:
            continue
        added = len(name.encode()) + COUNT_BYTES
        size += added
        if size > MAX_COUNTS_BYTES:
            parts.append([])
            size = added
        parts[-1].append(WorkspaceCount(name, operations))
    return [report._replace(counts=tuple(part)) for part in parts]
