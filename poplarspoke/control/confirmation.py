"""Confirms what this host has read of the store through other hosts.

A few hosts of each zone, the readers, watch the tables of the store. They tell
the other hosts of their zone which tables have changed; these fetch the changed
rows from them, and ask a reader now and then whether they have missed any. So
the calls of the store do not grow with the number of hosts. The answers also
show a watch whose connection has gone silent.
"""

from typing import Any, NamedTuple

import xxhash

from poplarspoke.control import duty, isolation, tables
from poplarspoke.control.state import (
    NO_WATCH_S,
    RECORDS,
    TABLES,
    WATCHES_S,
    ControlState,
)
from poplarspoke.generated.control import (
    AskConfirmed,
    Confirmed,
    RowsChanged,
    SetWatch,
    ShowView,
    ViewNeeded,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.tasks import ToHost, ToTask

# In a small fleet all hosts are readers.
READERS = 8
# In a larger one, so many in each zone: one may be down or refused by the store.
ZONE_READERS = 2
# A reader is asked this often, and sooner while what it confirms is old.
ASK_S = 1.0
ASK_AGAIN_S = 0.4
OLD_S = 3.5
# A host that no reader answers watches the store itself.
UNHEARD_S = 3.0
# So does a host whose leases would end soon; the readers may all be refused by
# a store that serves the others.
OVERDUE_S = 6.0
# It goes on for so long, so that it does not stop and start with each answer.
WATCH_KEPT_S = 10.0
# A watch that is behind a peer's for so long has lost its connection.
BEHIND_S = 0.6
# Changed rows are asked for again after this time; a peer answers in 10 ms.
FETCH_AGAIN_S = 0.2


class Versions(NamedTuple):
    """Version of the newest change of each table."""

    rules: int
    endpoints: int
    records: int


def check(state: ControlState, now_s: float) -> list[Any]:
    """Asks a reader, and sets the length of this host's own watches."""
    if not state['tables'][RECORDS]['complete']:
        return []
    # The first answer has its time from the end of the first reading.
    state['reader_heard_s'] = state['reader_heard_s'] or now_s
    outgoing = _set_watches(state, now_s)
    if now_s < state['ask_s']:
        return outgoing
    own = state['settings'].name
    readers = [name for name in _list_readers(state) if name != own]
    if not readers:
        return outgoing
    state['ask_s'] = now_s + ASK_S
    if _age(state, now_s) > OLD_S:
        state['ask_s'] = now_s + ASK_AGAIN_S
    # The holder of the duty notices hosts that have stopped to ask.
    asked = {state['rng'].choice(readers), state['duty'].record.holder}
    asked -= {own, ''}
    question = AskConfirmed(own, now_s)
    return [*outgoing, *(ToHost(name, question) for name in sorted(asked))]


def answer(state: ControlState, message: AskConfirmed, now_s: float) -> ToHost:
    """Returns what this host has read of the store."""
    newest = list_newest(state)
    confirmed = Confirmed(
        state['settings'].name,
        message.asked_s,
        _age(state, now_s),
        newest.rules,
        newest.endpoints,
        newest.records,
        holds=duty.is_able(state, now_s),
    )
    return ToHost(message.sender, confirmed)


def take(state: ControlState, message: Confirmed, now_s: float) -> list[Any]:
    """Renews the leases if the peer knows of nothing newer."""
    outgoing = isolation.take_answer(state, message, now_s)
    if message.sender in _list_readers(state):
        state['reader_heard_s'] = now_s
    theirs = Versions(message.rules, message.endpoints, message.records)
    outgoing.extend(_catch_up(state, message.sender, theirs, now_s))
    records = state['tables'][RECORDS]
    if message.records > records['version']:
        return outgoing
    confirmed_s = message.asked_s - message.age_s
    if confirmed_s <= records['confirmed_s']:
        return outgoing
    records['confirmed_s'] = confirmed_s
    return [*outgoing, tables.list_leases(state)]


def take_news(
    state: ControlState,
    message: RowsChanged,
    now_s: float,
) -> list[Any]:
    """Fetches rows that a reader has seen change."""
    theirs = Versions(message.rules, message.endpoints, message.records)
    return _catch_up(state, message.sender, theirs, now_s)


def tell_news(state: ControlState, before: Versions) -> list[Any]:
    """Tells the hosts of this zone that do not watch the store of changes.

    Args:
        state: State of the control task.
        before: What ``list_newest`` returned before the change.
    """
    newest = list_newest(state)
    readers = _list_readers(state)
    own = state['settings'].name
    if newest == before or own not in readers:
        return []
    news = RowsChanged(own, *newest)
    zone = state['settings'].zone
    return [
        ToHost(name, news)
        for name, host in state['hosts'].items()
        if host.zone == zone and name not in readers
    ]


def _catch_up(
    state: ControlState,
    sender: str,
    theirs: Versions,
    now_s: float,
) -> list[Any]:
    """Gets rows that a peer has and this host lacks."""
    outgoing: list[Any] = []
    fetch = False
    for table, version in zip(TABLES, theirs, strict=True):
        if version <= state['tables'][table]['version']:
            state['behind_since_s'].pop(table, None)
            continue
        since_s = state['behind_since_s'].setdefault(table, now_s)
        if not state['watches_s'][table]:
            fetch = True
        elif now_s - since_s >= BEHIND_S:
            state['behind_since_s'].pop(table)
            outgoing.extend(_restart(state, table, now_s - since_s))
    if fetch and now_s >= state['fetch_s']:
        outgoing.extend(_fetch(state, sender, now_s))
    return outgoing


def _fetch(state: ControlState, sender: str, now_s: float) -> list[Any]:
    host = state['hosts'].get(sender)
    if host is None:
        return []
    state['fetch_s'] = now_s + FETCH_AGAIN_S
    versions = [state['tables'][name]['version'] for name in TABLES]
    needed = ViewNeeded((host.control_address,), ShowView('', *versions))
    return [ToTask('views', needed)]


def _set_watches(state: ControlState, now_s: float) -> list[Any]:
    own = state['settings'].name
    unheard_s = now_s - state['reader_heard_s']
    if unheard_s > UNHEARD_S or _age(state, now_s) > OVERDUE_S:
        state['watch_until_s'] = now_s + WATCH_KEPT_S
    kept = now_s < state['watch_until_s'] or duty.is_holder(state)
    watches = kept or own in _list_readers(state)
    outgoing: list[Any] = []
    for table, reader_s in WATCHES_S.items():
        wait_s = reader_s if watches else NO_WATCH_S
        complete = state['tables'][table]['complete']
        if not complete or wait_s == state['watches_s'][table]:
            continue
        state['watches_s'][table] = wait_s
        outgoing.append(ToTask('feeds', SetWatch(table, wait_s)))
    return outgoing


def _list_readers(state: ControlState) -> list[str]:
    names = [name for name, host in state['hosts'].items() if not host.retired]
    if len(names) <= READERS:
        return names
    names.sort(key=xxhash.xxh64_intdigest)
    counts: dict[str, int] = {}
    readers: list[str] = []
    for name in names:
        zone = state['hosts'][name].zone
        counts[zone] = counts.get(zone, 0) + 1
        if counts[zone] <= ZONE_READERS:
            readers.append(name)
    return readers


def list_newest(state: ControlState) -> Versions:
    """Returns the version of the newest change of each table."""
    return Versions._make(
        max(
            (row.version for row in state['tables'][table]['rows'].values()),
            default=0,
        )
        for table in TABLES
    )


def _age(state: ControlState, now_s: float) -> float:
    return now_s - state['tables'][RECORDS]['confirmed_s']


def _restart(state: ControlState, table: str, behind_s: float) -> list[Any]:
    line = LogDecision(
        event='watch restarted',
        outcome=table,
        reason='a peer has newer rows',
        age_s=behind_s,
    )
    wait_s = state['watches_s'][table]
    return [line, ToTask('feeds', SetWatch(table, wait_s))]
