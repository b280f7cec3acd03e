"""Writes again what a restored store has lost, and confirms the new era.

A host that was not informed until the restore cannot know which failovers the copy
lacks, so it may not use the restored primaries: a superseded one would take writes.
Informed hosts, the leader first, write the lost records again together with a row
that confirms the era. If there is no such host, another one confirms the era after
a delay.
"""

from typing import Any

from poplarspoke.control import (
    leadership,
    ranks,
    reconciliation,
    records,
    revisions,
)
from poplarspoke.control.state import (
    HOST_PREFIX,
    RECORDS,
    ConfirmEra,
    ControlState,
)
from poplarspoke.generated.control import EraRecord
from poplarspoke.generated.relay import LogDecision

# Hosts write in the order of their ranks, this long apart, so that they do not
# compete.
TURN_S = 0.4
# An informed host has read the new era and written by then: a silent watch of the
# records is replaced after 2.2 s, and a refused one after at most 1 s.
UNINFORMED_WAIT_S = 4.0
# Backoff after a write, which may have been lost or refused.
WRITE_BACKOFF_S = 1.0
# The store accepts 100 rows in a transaction.
MAX_ROWS = 80


def check(state: ControlState, now_s: float) -> list[Any]:
    """Writes lost records when it is this host's turn."""
    era = revisions.find_era(state['tables'][RECORDS]['version'])
    if reconciliation.is_confirmed(state) and not state['unwritten']:
        return []
    if now_s < state['next_confirmation_s'] or not _is_own_turn(state, now_s):
        return []
    own_key = HOST_PREFIX + state['settings'].name
    # A host registers by itself.
    keys = sorted(state['unwritten'] - {own_key})
    writes = [records.write_again(state, key) for key in keys[:MAX_ROWS]]
    if len(keys) <= MAX_ROWS and _may_confirm(state, now_s):
        writes.append(records.write_era(state, EraRecord(era)))
    if not writes:
        return []
    state['next_confirmation_s'] = now_s + WRITE_BACKOFF_S
    line = LogDecision(
        event='records written again',
        outcome=f'era {era}',
        reason=reconciliation.name_rows([write.key for write in writes]),
        age_s=now_s - state['era_since_s'],
    )
    return [line, records.write(state, ConfirmEra(), *writes)]


def _is_own_turn(state: ControlState, now_s: float) -> bool:
    own = state['hosts'].get(state['settings'].name)
    if own is None or own.retired or state['leaving']:
        return False
    if not state['tables'][RECORDS]['complete']:
        return False
    turn = 0 if leadership.is_leader(state) else ranks.find_rank(state) + 1
    return now_s >= state['era_since_s'] + turn * TURN_S


def _may_confirm(state: ControlState, now_s: float) -> bool:
    if reconciliation.is_confirmed(state):
        return False
    waited_s = now_s - state['era_since_s']
    return state['is_informed'] or waited_s >= UNINFORMED_WAIT_S
