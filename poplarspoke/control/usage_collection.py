"""Counts of all hosts, as the leader and its first successor collect them.

A window is complete when every process that may have counted in it has sent its
final counts. What is missing when the report is due is estimated.
"""

import itertools
import operator
from collections.abc import Iterable, Mapping

from poplarspoke.control import usage_rows
from poplarspoke.control.state import ControlState
from poplarspoke.control.usage_state import (
    Collected,
    HostWindow,
    Process,
    SequencedCount,
)
from poplarspoke.generated.usage import (
    CountReport,
    UsageWindow,
    WorkspaceCount,
)

# A refusal may withdraw an operation this long after it was counted.
SETTLE_S = 1.0
# Fraction of the time until a report is due in which missing counts are awaited.
# The rest is for the write, the call and their repetitions.
WAIT_FRACTION = 0.6
# Hosts report each second, so a process that crashed has served for half of that
# after its last report.
CRASH_SERVED_S = 0.5
# A zone in which nobody has reported for this long may be isolated.
ISOLATED_AFTER_S = 2.2
# Hosts of an isolated zone serve for this long as before: reads are refused when
# the tolerated staleness has passed, and idle sessions are closed.
ISOLATED_SERVED_S = 1.5
HISTORY_WINDOWS = 3
MS_PER_S = 1000


def collect(state: ControlState, report: CountReport, now_s: float) -> bool:
    """Records counts of a process; returns whether all of them have arrived.

    Each report states totals, so those of an older sequence are ignored.
    """
    usage = state['usage']
    process = Process(report.sender, report.incarnation)
    heard_s = now_s - report.ago_s
    usage['heard_s'][process] = max(
        usage['heard_s'].get(process, heard_s), heard_s
    )
    usage['departed_s'].pop(process, None)
    if report.departed:
        usage['departed_s'][process] = now_s
    if report.window <= usage['record'].last or not _is_near(
        state, report.window, now_s
    ):
        return True
    processes = usage['collected'].setdefault(report.window, {})
    known = processes.setdefault(
        process, HostWindow(counts={}, sequence=0, total=0, final=False)
    )
    for entry in report.counts:
        part = SequencedCount(report.sequence, entry.operations)
        before = known['counts'].get(entry.workspace, part)
        known['counts'][entry.workspace] = max(before, part)
    if report.sequence >= known['sequence']:
        known['sequence'] = report.sequence
        known['total'] = report.total
        known['final'] = report.final
    return report.sequence <= known['sequence'] and _has_all(known)


def forget_decided(state: ControlState, now_s: float) -> None:
    """Drops decided windows; their complete counts serve for estimates."""
    usage = state['usage']
    last = usage['record'].last
    oldest = usage_rows.find_window(state, now_s) - usage_rows.MAX_KEPT_WINDOWS
    for window in sorted(usage['collected']):
        if window <= last or window < oldest:
            _record_history(state, usage['collected'].pop(window))
    for own in list(usage['windows']):
        if own <= last or own < oldest:
            usage['windows'].pop(own)
    _forget_processes(state, now_s)


def decide_window(
    state: ControlState, window: int, now_s: float
) -> UsageWindow | None:
    """Returns the counts of a window; None while they are awaited."""
    waited_s = now_s - usage_rows.find_end(state, window)
    if waited_s < SETTLE_S:
        return None
    missing = list_missing(state, window, now_s)
    if missing and waited_s < state['settings'].usage.due_s * WAIT_FRACTION:
        return None
    totals = _estimate(state, missing, window, now_s)
    for known in state['usage']['collected'].get(window, {}).values():
        _add(totals, _list_counts(known))
    counts = tuple(
        WorkspaceCount(name, round(total))
        for name, total in sorted(totals.items())
        if round(total)
    )
    return UsageWindow(window, counts, estimated=bool(missing))


def list_missing(
    state: ControlState, window: int, now_s: float
) -> list[Process]:
    """Returns the processes whose final counts of a window have not arrived."""
    usage = state['usage']
    collected = usage['collected'].get(window, {})
    answering = _list_answering(state, now_s)
    expected = set(_list_registered(state, window))
    served_since_s = _find_start(state, window) - CRASH_SERVED_S
    newest = _list_newest(state)
    for process, heard_s in usage['heard_s'].items():
        is_silent = _is_zone_silent(state, process.host, answering)
        if heard_s < served_since_s:
            # Only the last process of a host may go on serving unheard.
            if not is_silent or newest[process.host] != process:
                continue
        if _has_started(state, process, window):
            expected.add(process)
    expected -= usage['departed_s'].keys()
    expected.update(collected)
    return [
        entry
        for entry in sorted(expected)
        if not _is_complete(collected.get(entry))
    ]


def _forget_processes(state: ControlState, now_s: float) -> None:
    usage = state['usage']
    kept_s = usage_rows.MAX_KEPT_WINDOWS * state['settings'].usage.window_s
    for times in (usage['heard_s'], usage['departed_s']):
        for process, heard_s in list(times.items()):
            if now_s - heard_s > kept_s:
                times.pop(process)
    # Hosts are replaced each day under other names.
    for host in usage['history'].keys() - state['hosts'].keys():
        usage['history'].pop(host)


def _is_near(state: ControlState, window: int, now_s: float) -> bool:
    """Returns whether a window may be kept; others are of a wrong clock."""
    current = usage_rows.find_window(state, now_s)
    if not window or not current:
        return bool(window)
    return abs(current - window) <= usage_rows.MAX_KEPT_WINDOWS


def _list_newest(state: ControlState) -> dict[str, Process]:
    """Returns the process of each host that has reported last."""
    heard_s = state['usage']['heard_s']
    return {
        process.host: process
        for process, _ in sorted(heard_s.items(), key=operator.itemgetter(1))
    }


def _list_registered(state: ControlState, window: int) -> Iterable[Process]:
    """Returns registered processes of hosts that have not reported at all.

    The row of a host may name an earlier process, since a host that starts again
    at the same address does not register again.
    """
    heard = {process.host for process in state['usage']['heard_s']}
    for name, host in state['hosts'].items():
        process = Process(name, host.incarnation)
        if name in heard or host.retired:
            continue
        if _has_started(state, process, window):
            yield process


def _has_started(state: ControlState, process: Process, window: int) -> bool:
    """Returns whether a process started before a window ended."""
    end_s = (window + 1) * state['settings'].usage.window_s
    return process.incarnation < end_s * MS_PER_S


def _is_complete(known: HostWindow | None) -> bool:
    return known is not None and known['final'] and _has_all(known)


def _has_all(known: HostWindow) -> bool:
    arrived = sum(part.operations for part in known['counts'].values())
    return arrived == known['total']


def _find_start(state: ControlState, window: int) -> float:
    return usage_rows.find_end(state, window - 1)


def _list_counts(known: HostWindow) -> dict[str, int]:
    return {name: part.operations for name, part in known['counts'].items()}


def _record_history(state: ControlState, collected: Collected) -> None:
    history = state['usage']['history']
    for process, known in collected.items():
        if _is_complete(known):
            windows = (*history.get(process.host, ()), _list_counts(known))
            history[process.host] = windows[-HISTORY_WINDOWS:]


def _estimate(
    state: ControlState,
    missing: list[Process],
    window: int,
    now_s: float,
) -> dict[str, float]:
    """Returns what some processes have probably run after their last report."""
    totals: dict[str, float] = {}
    answering = _list_answering(state, now_s)
    for process in missing:
        served_s = _estimate_served(state, process, window, answering)
        rates = _find_rates(state, process.host)
        _add(totals, {name: rate * served_s for name, rate in rates.items()})
    return totals


def _find_rates(state: ControlState, host: str) -> dict[str, float]:
    """Returns the operations a second of each workspace at a host.

    For a host without earlier counts, it is the mean of the others.
    """
    history = state['usage']['history']
    window_s = state['settings'].usage.window_s
    windows = history.get(host)
    if windows is None:
        windows = tuple(itertools.chain.from_iterable(history.values()))
    totals: dict[str, float] = {}
    for counts in windows:
        _add(totals, counts)
    seconds = len(windows) * window_s
    return {name: total / seconds for name, total in totals.items()}


def _estimate_served(
    state: ControlState,
    process: Process,
    window: int,
    answering: set[str],
) -> float:
    """Returns how long a process served in a window after its last report."""
    start_s = _find_start(state, window)
    end_s = usage_rows.find_end(state, window)
    # A leader that has not heard a host at all takes it as silent from its start.
    since_s = min(start_s, state['usage']['leading_since_s'])
    heard_s = state['usage']['heard_s'].get(process, since_s)
    rest_s = max(end_s - max(heard_s, start_s), 0)
    if not _is_zone_silent(state, process.host, answering):
        left_s = heard_s + CRASH_SERVED_S - start_s
        return max(min(CRASH_SERVED_S, rest_s, left_s), 0)
    served_s = min(rest_s, max(heard_s + ISOLATED_SERVED_S - start_s, 0))
    share = _find_share(state, process.host, answering)
    return served_s + (rest_s - served_s) * share


def _list_answering(state: ControlState, now_s: float) -> set[str]:
    """Returns the zones of which some host has reported of late."""
    answering: set[str] = set()
    for process, heard_s in state['usage']['heard_s'].items():
        host = state['hosts'].get(process.host)
        if host is not None and now_s - heard_s < ISOLATED_AFTER_S:
            answering.add(host.zone)
    return answering


def _is_zone_silent(
    state: ControlState, host: str, answering: set[str]
) -> bool:
    known = state['hosts'].get(host)
    return known is not None and known.zone not in answering


def _find_share(state: ControlState, host: str, answering: set[str]) -> float:
    """Returns the fraction of operations that a silent zone goes on running.

    It is that of the primaries in the zone. If most zones are silent, it is the
    zone of this host that is isolated, and the others serve as before.
    """
    all_zones = {known.zone for known in state['hosts'].values()}
    if len(answering) * 2 < len(all_zones):
        return 1
    zone = state['hosts'][host].zone
    zones: list[str] = []
    for known in state['primaries'].values():
        entry = state['endpoints'].get(known.record.endpoint)
        if entry is not None:
            zones.append(entry.zone)
    return zones.count(zone) / len(zones) if zones else 0


def _add(totals: dict[str, float], counts: Mapping[str, float]) -> None:
    for name, number in counts.items():
        totals[name] = totals.get(name, 0) + number
