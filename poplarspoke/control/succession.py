"""Keeps the duty of changing primaries with a host that lives.

A holder that died would only be missed when a primary has to be changed, and
its successor waits for orders of the old one before its first. So the duty
passes on beforehand: to the first host if nobody holds it, to the new process
of a holder that started again, and to another host if the holder is silent
or the store does not answer it.
"""

from typing import Any

import xxhash

from poplarspoke.control import duty
from poplarspoke.control.state import ControlState
from poplarspoke.generated.control import AskConfirmed, Confirmed
from poplarspoke.tasks import ToHost

# Hosts ask the holder each second; after two asks without an answer it is asked
# with each tick.
QUIET_S = 2.5
# It is replaced if it stays silent for this time more while others answer.
SUSPECT_S = 0.8
# The successors in their order, one after the other, so that one comes first;
# the store may turn some of them away.
TURN_S = 0.6
SUCCESSORS = 8


def check(state: ControlState, now_s: float) -> list[Any]:
    """Takes the duty if it is this host's turn."""
    known = state['hosts'].get(state['settings'].name)
    if known is None or known.retired or state['leaving']:
        return []
    if not state['primaries'] or duty.is_holder(state):
        state['holder_suspect_s'] = 0
        return []
    holder = state['duty'].record.holder
    own = state['settings'].name
    if holder == own or (not holder and _find_turn(state) == 0):
        return duty.take(state, now_s)
    if not holder or now_s - state['holder_seen_s'] < QUIET_S:
        state['holder_suspect_s'] = 0
        return []
    return _suspect(state, holder, now_s)


def hear(state: ControlState, message: Confirmed, now_s: float) -> None:
    """Notes an answer of the holder, or of another host."""
    if message.sender == state['duty'].record.holder and message.holds:
        state['holder_seen_s'] = now_s
        state['holder_suspect_s'] = 0
        return
    suspect_s = state['holder_suspect_s']
    if suspect_s and message.asked_s >= suspect_s:
        state['others_seen_s'] = now_s


def _suspect(state: ControlState, holder: str, now_s: float) -> list[Any]:
    if not state['holder_suspect_s']:
        state['holder_suspect_s'] = now_s
        state['others_seen_s'] = 0
    turn = _find_turn(state)
    waited_s = now_s - state['holder_suspect_s']
    if turn >= SUCCESSORS:
        return []
    # A host that hears nobody may itself be cut off.
    if waited_s > SUSPECT_S + turn * TURN_S and state['others_seen_s']:
        return duty.take(state, now_s)
    own = state['settings'].name
    others = sorted(state['hosts'].keys() - {own, holder})
    asked = {holder, state['rng'].choice(others)} if others else {holder}
    question = AskConfirmed(own, now_s)
    return [ToHost(name, question) for name in sorted(asked)]


def _find_turn(state: ControlState) -> int:
    """Returns the place of this host among the successors."""
    own = state['settings'].name
    holder = state['duty'].record.holder
    names = [
        name
        for name, host in state['hosts'].items()
        if name != holder and not host.retired
    ]
    names.sort(key=lambda name: xxhash.xxh64_intdigest(f'duty/{name}'))
    return names.index(own)
