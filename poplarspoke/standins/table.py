"""Decisions of the platform stand-in: table, object store and host list.

The table commits a transaction if all its conditions hold, and increments the
version of each row that it writes.
"""

import functools
from typing import Any, NamedTuple, TypedDict

from poplarspoke.generated.platform import (
    Commit,
    CommitResult,
    FetchCounts,
    FetchHosts,
    FetchObject,
    HostEntry,
    HostList,
    PlatformCounts,
    PlatformFaults,
    ReadRows,
    Row,
    RowsRead,
    StoredObject,
)
from poplarspoke.tasks import Outgoing, Reply


class HostChange(NamedTuple):
    """A change of the host list and its time in seconds."""

    at_s: float
    entry: HostEntry


class TableState(TypedDict):
    """State of the platform stand-in.

    Attributes:
        rows: Rows by key.
        objects: Objects by name.
        hosts: Published host list, by name.
        host_changes: Changes that are not published yet.
        hosts_lag_s: Delay in seconds until a change is published.
        reads: Number of reads.
        writes: Number of writes, including refused ones.
    """

    rows: dict[str, Row]
    objects: dict[str, StoredObject]
    hosts: dict[str, HostEntry]
    host_changes: list[HostChange]
    hosts_lag_s: float
    reads: int
    writes: int


def create_state() -> TableState:
    """Returns the state of an empty platform."""
    return TableState(
        rows={},
        objects={},
        hosts={},
        host_changes=[],
        hosts_lag_s=0,
        reads=0,
        writes=0,
    )


@functools.singledispatch
def decide(message: Any, state: TableState, now_s: float) -> list[Outgoing]:
    """Runs one request and returns a ``Reply`` without a request id.

    Args:
        message: Request of ``platform.capnp``.
        state: State that is updated in place.
        now_s: Current time of the table in seconds.
    """
    raise TypeError(f'{type(message).__name__} is not a platform request')


@decide.register
def _(message: Commit, state: TableState, now_s: float) -> list[Outgoing]:
    state['writes'] += 1
    committed = _conditions_hold(message, state)
    if committed:
        for write in message.writes:
            version = _find_row(state, write.key).version + 1
            state['rows'][write.key] = Row(write.key, version, write.content)
    rows = tuple(_find_row(state, entry.key) for entry in message.conditions)
    return [Reply('', CommitResult(committed, rows, now_s))]


@decide.register
def _(message: ReadRows, state: TableState, now_s: float) -> list[Outgoing]:
    state['reads'] += 1
    rows = tuple(_find_row(state, key) for key in message.keys)
    return [Reply('', RowsRead(rows, now_s))]


@decide.register
def _(message: StoredObject, state: TableState, now_s: float) -> list[Outgoing]:
    state['writes'] += 1
    state['objects'][message.name] = message
    return [Reply('', message)]


@decide.register
def _(message: FetchObject, state: TableState, now_s: float) -> list[Outgoing]:
    state['reads'] += 1
    absent = StoredObject(message.name)
    return [Reply('', state['objects'].get(message.name, absent))]


@decide.register
def _(message: HostEntry, state: TableState, now_s: float) -> list[Outgoing]:
    """Lists a host; an entry without an address removes it."""
    state['writes'] += 1
    state['host_changes'].append(HostChange(now_s, message))
    return [Reply('', message)]


@decide.register
def _(message: FetchHosts, state: TableState, now_s: float) -> list[Outgoing]:
    state['reads'] += 1
    _apply_host_changes(state, now_s)
    hosts = tuple(state['hosts'][name] for name in sorted(state['hosts']))
    return [Reply('', HostList(hosts, state['hosts_lag_s']))]


@decide.register
def _(message: FetchCounts, state: TableState, now_s: float) -> list[Outgoing]:
    return [Reply('', PlatformCounts(state['reads'], state['writes']))]


@decide.register
def _(
    message: PlatformFaults,
    state: TableState,
    now_s: float,
) -> list[Outgoing]:
    _apply_host_changes(state, now_s)
    state['hosts_lag_s'] = message.hosts_lag_s
    return [Reply('', message)]


def _find_row(state: TableState, key: str) -> Row:
    return state['rows'].get(key, Row(key))


def _conditions_hold(message: Commit, state: TableState) -> bool:
    for condition in message.conditions:
        if _find_row(state, condition.key).version != condition.version:
            return False
    return True


def _apply_host_changes(state: TableState, now_s: float) -> None:
    waiting = []
    for change in state['host_changes']:
        if change.at_s + state['hosts_lag_s'] > now_s:
            waiting.append(change)
            continue
        state['hosts'].pop(change.entry.name, None)
        if change.entry.address:
            state['hosts'][change.entry.name] = change.entry
    state['host_changes'] = waiting
