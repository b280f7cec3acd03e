"""Removes the rows of hosts that are gone for good.

A change of primary waits out the lease of each registered host that does not
answer. The holder of the duty marks a host that has stopped to answer as
retired, also while nothing changes: if it lives, it sees the mark, has no
leases, and registers again. A change waits for it no longer than a lease after
the mark, and a row that has been marked for longer is removed.
"""

from typing import Any

from poplarspoke.control import duty, records
from poplarspoke.control.state import ControlState, RetireHost
from poplarspoke.control.tables import LEASE_S
from poplarspoke.generated.control import AskConfirmed
from poplarspoke.generated.relay import LogDecision
from poplarspoke.tasks import ToHost

# A lease may have been taken just before the mark was read.
REMOVE_S = LEASE_S + 2
# Writes that were lost are repeated after this time.
AGAIN_S = 2.0
# Hosts ask the holder each second; one that has missed an ask is asked itself.
ASKED_S = 2.0
# It has then left several questions unanswered.
SILENT_S = 2.8
# More silent hosts than this have not failed one by one: the links are cut, the
# fleet starts again, or this host was paused.
MAX_SILENT_PART = 0.1
MIN_SILENT = 2


def check(state: ControlState, now_s: float) -> list[Any]:
    """Marks hosts that do not answer and removes those that stay marked."""
    if not duty.is_holder(state):
        state['heard_s'].clear()
        return []
    outgoing = _ask_silent(state, now_s)
    if now_s < state['retire_s']:
        return outgoing
    gone = state['unanswered'] | _list_gone(state, now_s)
    writes: list[Any] = []
    for name in sorted(state['hosts']):
        writes.extend(_retire(state, name, now_s, is_gone=name in gone))
    if writes:
        state['retire_s'] = now_s + AGAIN_S
    return [*outgoing, *writes]


def hear(state: ControlState, host: str, now_s: float) -> None:
    """Notes that a host has sent something."""
    state['heard_s'][host] = now_s


def _ask_silent(state: ControlState, now_s: float) -> list[Any]:
    own = state['settings'].name
    outgoing: list[Any] = []
    for name, host in state['hosts'].items():
        heard_s = state['heard_s'].setdefault(name, now_s)
        if name == own or host.retired or now_s - heard_s < ASKED_S:
            continue
        outgoing.append(ToHost(name, AskConfirmed(own, now_s)))
    return outgoing


def _list_gone(state: ControlState, now_s: float) -> set[str]:
    """Returns hosts that have failed, unless too many are silent at once."""
    own = state['settings'].name
    live = {
        name: host.zone
        for name, host in state['hosts'].items()
        if not host.retired
    }
    silent = {
        name
        for name in live
        if name != own and now_s - state['heard_s'][name] > SILENT_S
    }
    if len(silent) > max(len(live) * MAX_SILENT_PART, MIN_SILENT):
        return set()
    # A zone without any answer is cut off; its hosts go on under their leases.
    answering = {live[name] for name in live.keys() - silent}
    return {name for name in silent if live[name] in answering}


def _retire(
    state: ControlState,
    name: str,
    now_s: float,
    *,
    is_gone: bool,
) -> list[Any]:
    record = state['hosts'][name]
    since_s = state['retired_since_s'].get(name)
    if since_s is None and is_gone:
        write = records.write_host(state, record._replace(retired=True))
        line = LogDecision(event='host retired', outcome=name)
    elif since_s is not None and now_s - since_s > REMOVE_S:
        write = records.write_host(state, record)._replace(removed=True)
        line = LogDecision(event='host removed', outcome=name)
    else:
        return []
    state['unanswered'].discard(name)
    return [line, records.write(state, RetireHost(name), write)]
