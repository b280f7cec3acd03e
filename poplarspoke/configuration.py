"""Decisions on the settings: commit, propagation, in-force version.

The platform's table decides which change is accepted. A host learns of a
version from the table's head row, which it reads every second, or from a peer's
heartbeat, whichever is first, and fetches it from a peer, then from the table.

The store answers each request of this task with exactly one message within a
second: ``RowsRead``, ``CommitResult`` or ``StoreLost``. One request is under
way at a time, so an answer needs no identifier.
"""

import functools
from typing import Any

from poplarspoke import (
    codec,
    commits,
    confirmation,
    errors,
    invariants,
    versions,
)
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.configuration import (
    ChangeSettings,
    FetchSettings,
    PeerState,
    ResendSettings,
    SettingsFreshness,
    SettingsInForce,
    SettingsShown,
    SettingsSnapshot,
    ShowHistory,
    ShowSettings,
)
from poplarspoke.generated.platform import CommitResult, RowsRead, StoreLost
from poplarspoke.tasks import Outgoing, Reply, ToHost, ToStore, ToTask

# A read of every host each second is 410 of about 2000 reads a second.
HEAD_READ_INTERVAL_S = 1.0
# Time for a peer to send its settings before the store is asked.
PEER_FETCH_S = 1.0
RETRY_INTERVAL_S = 1.0
PEER_STATE_LIMIT_S = 10.0
MAX_WAITING = 32
MAX_HISTORY_ROWS = 100
REQUIREMENT = 'R14'

create_state = versions.create_state


def is_ready(state: versions.ConfigurationState, now_s: float) -> bool:
    """Returns whether the host knows settings that it may serve by."""
    return confirmation.is_fresh(
        version=state['snapshot'].version,
        policy=confirmation.get_policy(state['document']),
        confirmed_at_s=state['confirmed'].at_s,
        now_s=now_s,
    )


def decide(
    message: Any,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    """Handles one message.

    Args:
        message: Message of ``configuration.capnp`` or an answer of the store.
        state: State that is changed in place.
        now_s: Monotonic clock in seconds.

    Raises:
        invariants.InvariantError: The version would go back (R14).
    """
    version = state['snapshot'].version
    freshness = _describe_freshness(state)
    outgoing = handle(message, state, now_s)
    outgoing.extend(_catch_up(state, now_s))
    outgoing.extend(_start_step(state, now_s))
    _confirm(state)
    invariants.check(
        holds=state['snapshot'].version >= version,
        code=REQUIREMENT,
        detail=f'version went from {version} to {state["snapshot"].version}',
    )
    if state['snapshot'].version > version:
        in_force = SettingsInForce(state['snapshot'])
        outgoing.extend(ToTask(name, in_force) for name in state['subscribers'])
    current = _describe_freshness(state)
    if current != freshness:
        outgoing.extend(ToTask(name, current) for name in state['subscribers'])
    return outgoing


@functools.singledispatch
def handle(
    message: Any,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    """Handles one message by its type; ``decide`` does what follows."""
    raise TypeError(f'{type(message).__name__} is no message of configuration')


@handle.register
def _(
    message: Tick,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    for host, peer in list(state['peers'].items()):
        if now_s - peer.stated_at_s > PEER_STATE_LIMIT_S:
            state['peers'].pop(host)
    if now_s - state['head_read_at_s'] >= HEAD_READ_INTERVAL_S:
        state['head_read_at_s'] = now_s
        _queue_first(state, versions.HeadRead())
    if now_s - state['retried_at_s'] >= RETRY_INTERVAL_S:
        state['retried_at_s'] = now_s
        state['waiting'].extend(state['unresolved'])
        state['unresolved'] = []
    return []


@handle.register
def _(
    message: PeerState,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    state['peers'][message.host] = message
    for doubt in message.doubts:
        versions.add_doubt(state, doubt)
    return []


@handle.register
def _(
    message: FetchSettings,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    known = state['snapshot']
    if message.version >= known.version:
        return []
    in_force_for_s = now_s - state['in_force_since_s']
    snapshot = known._replace(
        sender=state['host'],
        age_s=known.age_s + in_force_for_s,
    )
    return [ToHost(message.sender, snapshot)]


@handle.register
def _(
    message: SettingsSnapshot,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    versions.adopt(state, message, now_s)
    return []


@handle.register
def _(
    message: ChangeSettings,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    if len(state['waiting']) + len(state['unresolved']) >= MAX_WAITING:
        refusal = errors.refuse(
            ErrorCode.OVERLOADED,
            f'{MAX_WAITING} changes wait for the platform',
        )
        return [Reply(message.request_id, refusal)]
    state['waiting'].append(versions.ChangeRead(message, now_s))
    return []


@handle.register
def _(
    message: ResendSettings,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    return [
        ToTask(message.task, SettingsInForce(state['snapshot'])),
        ToTask(message.task, _describe_freshness(state)),
    ]


@handle.register
def _(
    message: ShowSettings,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    confirmed = state['confirmed']
    shown = SettingsShown(
        snapshot=state['snapshot'],
        in_force_for_s=now_s - state['in_force_since_s'],
        confirmed=confirmed.at_s > confirmation.NEVER_S,
        confirmed_ago_s=now_s - confirmed.at_s,
        evidence=confirmed.evidence,
    )
    return [Reply(message.request_id, shown)]


@handle.register
def _(
    message: ShowHistory,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    newest = state['snapshot'].version
    oldest = max(newest - MAX_HISTORY_ROWS + 1, 1)
    state['waiting'].append(versions.HistoryRead(message, newest, oldest))
    return []


@handle.register
def _(
    message: RowsRead | CommitResult,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    step = state['step']
    if step is None:
        return []
    state['step'] = None
    state['store_reachable'] = True
    rows = {row.key: row for row in message.rows}
    try:
        return commits.resume(
            step, state, versions.StoreAnswer(message, rows, now_s)
        )
    except codec.FormatError:
        # The version in force stays; the dump shows the count.
        state['unreadable_rows'] += 1
    return commits.fail(
        step, state, StoreLost('the row is damaged', not_sent=True)
    )


@handle.register
def _(
    message: StoreLost,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    step = state['step']
    if step is None:
        return []
    state['step'] = None
    state['store_reachable'] = False
    state['store_failed_at_s'] = state['step_sent_at_s']
    return commits.fail(step, state, message)


def _confirm(state: versions.ConfigurationState) -> None:
    version = state['snapshot'].version
    versions.take_confirmation(
        state,
        confirmation.confirm_by_peers(version, state['peers']),
    )
    if state['store_reachable']:
        return
    by_zones = confirmation.confirm_by_zones(
        version,
        state['peers'],
        state['document'],
        zone=state['zone'],
        store_failed_at_s=state['store_failed_at_s'],
    )
    versions.take_confirmation(state, by_zones)


def _catch_up(
    state: versions.ConfigurationState, now_s: float
) -> list[Outgoing]:
    """Asks a peer for a newer version, then the store."""
    version = state['snapshot'].version
    ahead = [peer for peer in state['peers'].values() if peer.version > version]
    if not ahead and state['store_version'] <= version:
        return []
    if now_s - state['fetched_at_s'] < PEER_FETCH_S:
        return []
    first_attempt = now_s - state['fetched_at_s'] > 2 * PEER_FETCH_S
    state['fetched_at_s'] = now_s
    if not ahead or not first_attempt:
        _queue_first(state, versions.DocumentRead())
    if not ahead:
        return []
    best = max(ahead, key=_get_version)
    return [ToHost(best.host, FetchSettings(state['host'], version))]


def _get_version(peer: PeerState) -> int:
    return peer.version


def _queue_first(
    state: versions.ConfigurationState, step: versions.Step
) -> None:
    if step not in state['waiting'] and step != state['step']:
        state['waiting'].insert(0, step)


def _start_step(
    state: versions.ConfigurationState, now_s: float
) -> list[Outgoing]:
    if state['step'] is not None or not state['waiting']:
        return []
    step = state['waiting'].pop(0)
    state['step'] = step
    state['step_sent_at_s'] = now_s
    return [ToStore(commits.send(step, state))]


def _describe_freshness(
    state: versions.ConfigurationState,
) -> SettingsFreshness:
    confirmed = state['confirmed']
    return SettingsFreshness(
        version=state['snapshot'].version,
        confirmed=confirmed.at_s > confirmation.NEVER_S,
        confirmed_at_s=confirmed.at_s,
        evidence=confirmed.evidence,
        store_reachable=state['store_reachable'],
        store_failed_at_s=state['store_failed_at_s'],
        doubts=tuple(state['doubts'].values()),
    )
