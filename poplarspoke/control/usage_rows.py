"""What this host knows of the row of the usage reports."""

import json

from poplarspoke import codec
from poplarspoke.control import revisions
from poplarspoke.control.state import (
    RECORDS,
    ControlState,
)
from poplarspoke.generated.control import TableRow
from poplarspoke.generated.usage import UsageRecord

# Windows that are kept without a report; the platform expects each within two
# windows after its end.
MAX_KEPT_WINDOWS = 12


def apply_row(state: ControlState, row: TableRow) -> None:
    """Applies the row as it is in the store.

    A restored store may lack windows that this host knows; they are kept.

    Raises:
        codec.FormatError: The row is not a record of this version.
        ValueError: The row is not JSON.
    """
    usage = state['usage']
    if row.removed:
        usage['version'] = 0
        return
    usage['version'] = row.version
    found = codec.parse(UsageRecord, json.loads(row.content))
    known = usage['record']
    if (found.era, found.last) < (known.era, known.last):
        return
    usage['record'] = found
    usage['reported'] &= {entry.window for entry in found.windows}


def enter_era(state: ControlState, now_s: float, wait_s: float) -> None:
    """Records that the records were read in another era, or for the first time.

    Args:
        state: State of the control task.
        now_s: Boot clock in seconds.
        wait_s: Time in which a new leader reports nothing.
    """
    usage = state['usage']
    era = revisions.find_era(state['tables'][RECORDS]['version'])
    if usage['era'] == era:
        return
    age_s = now_s - state['former_confirmed_s']
    # Another leader that claimed after this host's records were current has not
    # reported before the restore.
    usage['continues'] = (
        usage['era'] >= 0 and usage['token'] > 0 and age_s < wait_s
    )
    usage['era'] = era
    usage['era_since_s'] = now_s
    usage['permission'] = usage['permission']._replace(until_s=0)
    usage['write_until_s'] = 0


def find_window(state: ControlState, moment_s: float) -> int:
    """Returns the window of a moment of the boot clock; 0 if it is unknown."""
    offset_s = state['usage']['offset_s']
    if offset_s is None:
        return 0
    return int((moment_s + offset_s) // state['settings'].usage.window_s)


def find_end(state: ControlState, window: int) -> float:
    """Returns when a window ends, by the boot clock."""
    offset_s = state['usage']['offset_s'] or 0
    return (window + 1) * state['settings'].usage.window_s - offset_s


def find_next(state: ControlState, now_s: float) -> int:
    """Returns the oldest window that no leader can have reported yet.

    Only in the era of the newest row, and for a leader that was informed until
    the restore, these are all windows after that row.
    """
    usage = state['usage']
    after = usage['record'].last + 1
    is_known = usage['continues'] or usage['record'].era == usage['era']
    if not is_known or after == 1:
        after = max(after, find_window(state, usage['era_since_s']))
    return max(after, find_window(state, now_s) - MAX_KEPT_WINDOWS)
