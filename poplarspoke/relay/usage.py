"""Counts the operations that each workspace runs, for usage reports.

An operation counts once, at the host that its caller reached, in the window in
which its first statement was sent.
"""

from typing import Any

from poplarspoke.generated.relay import AnswerCode
from poplarspoke.generated.usage import (
    UsageCounted,
    UsageWindow,
    WorkspaceCount,
)
from poplarspoke.relay.state import Operation, RelayState
from poplarspoke.tasks import ToTask

# Name under which the wiring adds the wall clock and passes counts to control.
CLOCK = 'clock'
INTERVAL_S = 1.0
# A host that shuts down may end soon after its last session.
SHUTDOWN_INTERVAL_S = 0.25
# A refusal may withdraw an operation until the timeout of its route.
KEPT_WINDOWS = 4
# Answers of a gateway that guarantee that the operation did not run.
NOT_RUN = frozenset(
    (
        AnswerCode.BUSY,
        AnswerCode.LAGGING,
        AnswerCode.READ_ONLY,
        AnswerCode.MISROUTED,
        AnswerCode.TOO_MANY,
    )
)


def count(state: RelayState, operation: Operation, now_s: float) -> None:
    """Counts an operation whose first statement is sent now.

    Statements within a transaction, and those that this host runs for the caller
    of another host, do not count.
    """
    session = state['sessions'][operation['session']]
    if not state['settings'].usage.window_s or operation['counted_s']:
        return
    if session['channel'] is not None or not operation['workspace']:
        return
    if session['connection'] or session['gateway']:
        return
    operation['counted_s'] = now_s
    _add(state, now_s, operation['workspace'], 1)


def withdraw(state: RelayState, operation: Operation) -> None:
    """Takes back an operation that did not run after all."""
    if operation['counted_s']:
        _add(state, operation['counted_s'], operation['workspace'], -1)
        operation['counted_s'] = 0


def withdraw_refused(
    state: RelayState, operation: Operation, code: AnswerCode
) -> None:
    """Takes back an operation that a gateway refused as not run."""
    if code in NOT_RUN:
        withdraw(state, operation)


def set_offset(state: RelayState, offset_s: float) -> None:
    """Sets true time less boot clock, and assigns what was held until now."""
    usage = state['usage']
    usage['offset_s'] = offset_s
    held = list(usage['held'].items())
    usage['held'].clear()
    for (counted_s, workspace), number in held:
        _add(state, counted_s, workspace, number)


def check(state: RelayState, now_s: float) -> list[Any]:
    """Passes the changed counts to the control task, once a second."""
    usage = state['usage']
    if not state['settings'].usage.window_s or now_s < usage['next_s']:
        return []
    is_stopping = bool(state['shutdown_since_s'])
    interval_s = SHUTDOWN_INTERVAL_S if is_stopping else INTERVAL_S
    usage['next_s'] = now_s + interval_s
    changed = tuple(
        UsageWindow(window, _list_counts(usage['windows'][window]))
        for window in sorted(usage['changed'])
    )
    usage['changed'].clear()
    for window in sorted(usage['windows'])[:-KEPT_WINDOWS]:
        usage['windows'].pop(window)
    drained = is_stopping and not state['sessions']
    return [ToTask(CLOCK, UsageCounted(now_s, changed, drained))]


def _add(
    state: RelayState, counted_s: float, workspace: str, number: int
) -> None:
    usage = state['usage']
    if usage['offset_s'] is None:
        held = (counted_s, workspace)
        usage['held'][held] = usage['held'].get(held, 0) + number
        return
    window_s = state['settings'].usage.window_s
    window = int((counted_s + usage['offset_s']) // window_s)
    counts = usage['windows'].setdefault(window, {})
    # The offset may have moved slightly since the operation was counted.
    counts[workspace] = max(counts.get(workspace, 0) + number, 0)
    usage['changed'].add(window)


def _list_counts(counts: dict[str, int]) -> tuple[WorkspaceCount, ...]:
    return tuple(WorkspaceCount(*entry) for entry in sorted(counts.items()))
