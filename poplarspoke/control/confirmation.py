"""Confirms what this host has read of the store through other hosts.

A few hosts, the readers, watch the records in short turns; the others watch
them in long ones and ask a reader whether their newest row is still the newest.
So the calls of the store do not grow with the number of hosts. The answers also
show a watch whose connection has gone silent.
"""

from typing import Any

import xxhash

from poplarspoke.control import tables
from poplarspoke.control.state import RECORDS, TABLES, ControlState
from poplarspoke.generated.control import AskConfirmed, Confirmed, SetWatch
from poplarspoke.generated.relay import LogDecision
from poplarspoke.tasks import ToHost, ToTask

# Hosts that watch the records in short turns; one of them answers in every
# zone that is left, with enough of them.
READERS = 8
SHORT_WATCH_S = 2.0
LONG_WATCH_S = 20.0
# Another host is asked when the last confirmation is older than this.
ASK_S = 1.5
ASK_AGAIN_S = 0.4
# Without a confirmation this host watches in short turns itself.
OVERDUE_S = 3.0
# A watch that is behind a peer's for so long has lost its connection.
BEHIND_S = 0.6


def check(state: ControlState, now_s: float) -> list[Any]:
    """Asks a reader, and sets the length of this host's own watch."""
    if not state['tables'][RECORDS]['complete']:
        return []
    outgoing = _set_watch(state, now_s)
    if now_s < state['ask_s']:
        return outgoing
    own = state['settings'].name
    readers = [name for name in _list_readers(state) if name != own]
    if not readers:
        return outgoing
    state['ask_s'] = now_s + ASK_S
    if _age(state, now_s) > ASK_S:
        state['ask_s'] = now_s + ASK_AGAIN_S
    reader = state['rng'].choice(readers)
    return [*outgoing, ToHost(reader, AskConfirmed(own, now_s))]


def answer(state: ControlState, message: AskConfirmed, now_s: float) -> ToHost:
    """Returns what this host has read of the store."""
    versions = [_find_version(state, table) for table in TABLES]
    confirmed = Confirmed(
        state['settings'].name,
        message.asked_s,
        _age(state, now_s),
        *versions,
    )
    return ToHost(message.sender, confirmed)


def take(state: ControlState, message: Confirmed, now_s: float) -> list[Any]:
    """Renews the leases if the peer knows of nothing newer."""
    outgoing: list[Any] = []
    theirs = (message.rules, message.endpoints, message.records)
    for table, version in zip(TABLES, theirs, strict=True):
        if version <= _find_version(state, table):
            state['behind_since_s'].pop(table, None)
            continue
        since_s = state['behind_since_s'].setdefault(table, now_s)
        if now_s - since_s < BEHIND_S:
            continue
        state['behind_since_s'].pop(table)
        outgoing.extend(_restart(state, table, now_s - since_s))
    if message.records != _find_version(state, RECORDS):
        return outgoing
    records = state['tables'][RECORDS]
    confirmed_s = message.asked_s - message.age_s
    if confirmed_s <= records['confirmed_s']:
        return outgoing
    records['confirmed_s'] = confirmed_s
    return [*outgoing, tables.list_leases(state)]


def _set_watch(state: ControlState, now_s: float) -> list[Any]:
    own = state['settings'].name
    wait_s = LONG_WATCH_S
    if own in _list_readers(state) or _age(state, now_s) > OVERDUE_S:
        wait_s = SHORT_WATCH_S
    if wait_s == state['watch_s']:
        return []
    state['watch_s'] = wait_s
    return [ToTask('feeds', SetWatch(RECORDS, wait_s))]


def _list_readers(state: ControlState) -> list[str]:
    names = list(state['hosts'])
    if len(names) <= READERS:
        return names
    names.sort(key=xxhash.xxh64_intdigest)
    return names[:READERS]


def _find_version(state: ControlState, table: str) -> int:
    versions = [
        row.version
        for row in state['tables'][table]['rows'].values()
        if not row.removed
    ]
    return max(versions, default=0)


def _age(state: ControlState, now_s: float) -> float:
    return now_s - state['tables'][RECORDS]['confirmed_s']


def _restart(state: ControlState, table: str, behind_s: float) -> list[Any]:
    line = LogDecision(
        event='watch restarted',
        outcome=table,
        reason='a peer has newer rows',
        age_s=behind_s,
    )
    wait_s = state['watch_s'] if table == RECORDS else LONG_WATCH_S
    return [line, ToTask('feeds', SetWatch(table, wait_s))]
