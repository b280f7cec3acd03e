"""Decides windows, writes them to the row of the reports, and reports them.

Only the leader does, and only under a write that required its lease to be
unchanged. Such a write permits calls for some time, after which they have been
delivered or withdrawn. Another leader waits longer than that, so that calls
arrive in the order of their fencing tokens.
"""

from typing import Any

from poplarspoke.control import (
    failover,
    leadership,
    records,
    revisions,
    usage_collection,
    usage_rows,
)
from poplarspoke.control.state import RECORDS, ControlState
from poplarspoke.control.usage_state import Permission, WriteUsage
from poplarspoke.generated.control import RecordsWritten
from poplarspoke.generated.relay import LogDecision
from poplarspoke.generated.usage import (
    ReportUsage,
    UsageAnswered,
    UsageRecord,
    UsageWindow,
)
from poplarspoke.tasks import ToStore

# How long after the sending of its write a call may be delivered.
CALL_LIFETIME_S = failover.ORDER_LIFETIME_S
# Added to the wait of a new leader, for clocks that run at different speeds.
WAIT_MARGIN_S = 0.25
# A call that would expire sooner is not sent.
MIN_CALL_S = 0.3
# The platform accepts 50 calls a second of all hosts.
CALL_INTERVAL_S = 0.1
CALL_BACKOFF_S = 0.3
# The store answers a write within 1 s or not at all.
WRITE_TIMEOUT_S = 1.5
WRITE_BACKOFF_S = 1.0
# Backoff after a permission in which the platform has not accepted all reports.
RENEWAL_BACKOFF_S = 1.0
# Reports of this process are never replaced by others of the same window.
CALLED_WINDOWS = 64
MIN_ACCEPTED = 200
MAX_ACCEPTED = 299


def find_wait(state: ControlState) -> float:
    """Returns for how long a new leader writes and reports nothing.

    Twice this time lies between the last call that a leader may send and the
    first after it has lost and regained the lease, less the lifetime of a call.
    """
    interval_s = state['settings'].usage.holder_interval_s
    return max(
        leadership.FORMER_LEADER_WAIT_S,
        (interval_s + CALL_LIFETIME_S) / 2 + WAIT_MARGIN_S,
    )


def check(state: ControlState, now_s: float) -> list[Any]:
    """Advances the reports if this process is the leader."""
    usage = state['usage']
    if state['leaving'] or not leadership.is_leader(state):
        usage['token'] = 0
        return []
    token = state['duty'].record.token
    if not revisions.is_of_era(token, state['tables'][RECORDS]['version']):
        # A claim that a restore has lost may have given out the same token.
        return leadership.claim(state, now_s)
    if usage['token'] != token:
        usage['token'] = token
        usage['leading_since_s'] = now_s
        usage['permission'] = Permission(0, token)
        usage['write_until_s'] = 0
    if now_s < usage['leading_since_s'] + find_wait(state):
        return []
    if usage['offset_s'] is None or now_s < usage['write_until_s']:
        return []
    if usage['call'] and now_s < usage['call_until_s']:
        return []
    usage['call'] = 0
    return _report_next(state, now_s) or _decide(state, now_s)


def handle_write(
    state: ControlState,
    purpose: WriteUsage,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    """Handles the outcome of a write of the row."""
    usage = state['usage']
    if usage['write_sent_s'] != purpose.sent_s:
        return []
    usage['write_until_s'] = 0
    if not written.accepted:
        usage['next_write_s'] = now_s + WRITE_BACKOFF_S
        line = LogDecision(
            event='usage row not written',
            outcome=f'{purpose.decided} windows',
            reason='a row has changed' if written.known else 'no answer',
        )
        return [line]
    usage['tally']['estimated'] += purpose.estimated
    usage['tally']['omitted'] += purpose.omitted
    outgoing = _log_omitted(purpose)
    if purpose.token != usage['token']:
        return outgoing
    until_s = purpose.sent_s + CALL_LIFETIME_S
    usage['permission'] = Permission(until_s, purpose.token)
    return [*outgoing, *check(state, now_s)]


def handle_answer(
    state: ControlState, message: UsageAnswered, now_s: float
) -> list[Any]:
    """Handles the platform's answer to a report."""
    usage = state['usage']
    if message.window != usage['call']:
        return []
    usage['call'] = 0
    end_s = usage_rows.find_end(state, message.window)
    is_accepted = MIN_ACCEPTED <= message.status <= MAX_ACCEPTED
    line = LogDecision(
        event='usage reported' if is_accepted else 'usage report not accepted',
        outcome=str(message.window),
        reason=f'status {message.status}' if message.status else 'no answer',
        age_s=now_s - end_s,
    )
    if not is_accepted:
        usage['next_call_s'] = now_s + CALL_BACKOFF_S
        return [line]
    usage['next_call_s'] = now_s + CALL_INTERVAL_S
    usage['reported'].add(message.window)
    usage['tally']['reported'] += 1
    return [line]


def list_outstanding(state: ControlState) -> list[UsageWindow]:
    """Returns the decided windows that the platform is not known to have."""
    usage = state['usage']
    return [
        entry
        for entry in usage['record'].windows
        if entry.window not in usage['reported']
    ]


def _report_next(state: ControlState, now_s: float) -> list[Any]:
    """Reports a window of the row if a write permits it."""
    usage = state['usage']
    permission = usage['permission']
    if permission.token != usage['token'] or now_s < usage['next_call_s']:
        return []
    if permission.until_s - now_s < MIN_CALL_S:
        return []
    outstanding = list_outstanding(state)
    if not outstanding:
        return []
    attempts = usage['attempts']
    # One that the platform does not answer must not hold up the others.
    entry = min(outstanding, key=lambda other: attempts.get(other.window, 0))
    if not _record_call(state, entry):
        return [_omit(state, entry)]
    usage['call_until_s'] = permission.until_s
    report = ReportUsage(
        entry,
        state['settings'].name,
        permission.token,
        permission.until_s,
    )
    return [ToStore(report)]


def _record_call(state: ControlState, entry: UsageWindow) -> bool:
    """Returns whether this process has not reported other counts before."""
    usage = state['usage']
    counts = {part.workspace: part.operations for part in entry.counts}
    if usage['called'].setdefault(entry.window, counts) != counts:
        return False
    for numbers in (usage['called'], usage['attempts']):
        for window in sorted(numbers)[:-CALLED_WINDOWS]:
            numbers.pop(window)
    usage['attempts'][entry.window] = usage['attempts'].get(entry.window, 0) + 1
    usage['call'] = entry.window
    return True


def _omit(state: ControlState, entry: UsageWindow) -> LogDecision:
    state['usage']['reported'].add(entry.window)
    state['usage']['tally']['omitted'] += 1
    return LogDecision(
        event='usage windows omitted',
        outcome=str(entry.window),
        reason='this host has reported other counts',
    )


def _decide(state: ControlState, now_s: float) -> list[Any]:
    """Writes the windows that are due, or renews the permission."""
    usage = state['usage']
    if now_s < usage['next_write_s']:
        return []
    first = usage_rows.find_next(state, now_s)
    decided: list[UsageWindow] = []
    while True:
        found = usage_collection.decide_window(
            state, first + len(decided), now_s
        )
        if found is None:
            break
        decided.append(found)
    if not decided and not _needs_renewal(state, now_s):
        return []
    return [
        *_log_estimates(state, decided, now_s),
        _write(state, first, decided, now_s),
    ]


def _write(
    state: ControlState,
    first: int,
    decided: list[UsageWindow],
    now_s: float,
) -> ToStore:
    """Returns the write of the row; reported and old windows leave it."""
    usage = state['usage']
    last = usage['record'].last
    outstanding = list_outstanding(state)
    oldest = usage_rows.find_window(state, now_s) - usage_rows.MAX_KEPT_WINDOWS
    windows = [
        entry for entry in (*outstanding, *decided) if entry.window >= oldest
    ]
    omitted = len(outstanding) + len(decided) - len(windows)
    if last:
        omitted += first - last - 1
    purpose = WriteUsage(
        usage['token'],
        now_s,
        len(decided),
        sum(entry.estimated for entry in decided),
        omitted,
    )
    # A renewal states the omitted windows too: its era makes the row complete
    # knowledge.
    newest = first + len(decided) - 1
    usage['write_sent_s'] = now_s
    usage['write_until_s'] = now_s + WRITE_TIMEOUT_S
    return records.write(
        state,
        purpose,
        records.require_leader(state['duty'].version),
        records.write_usage(
            UsageRecord(usage['era'], newest, tuple(windows)),
            usage['version'],
        ),
    )


def _log_omitted(purpose: WriteUsage) -> list[Any]:
    if not purpose.omitted:
        return []
    line = LogDecision(
        event='usage windows omitted',
        outcome=str(purpose.omitted),
        reason='they may have been reported, or are too old',
    )
    return [line]


def _needs_renewal(state: ControlState, now_s: float) -> bool:
    until_s = state['usage']['permission'].until_s
    if now_s < until_s + RENEWAL_BACKOFF_S:
        return False
    return bool(list_outstanding(state))


def _log_estimates(
    state: ControlState, decided: list[UsageWindow], now_s: float
) -> list[Any]:
    lines: list[Any] = []
    for entry in decided:
        if not entry.estimated:
            continue
        missing = usage_collection.list_missing(state, entry.window, now_s)
        names = ','.join(sorted({process.host for process in missing}))
        line = LogDecision(
            event='usage estimated',
            outcome=str(entry.window),
            reason=f'no final counts of {names}',
            age_s=now_s - usage_rows.find_end(state, entry.window),
        )
        lines.append(line)
    return lines
