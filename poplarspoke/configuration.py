"""Decisions on the settings: commit, propagation and version in force.

The platform's table decides which change is accepted. A host finds a new
version in the table's head row, which it reads every second, or in a peer's
heartbeat, whichever comes first. It fetches the version from that peer first
and from the table if the peer does not send it in time.

The store answers each request of this task with exactly one message within a
second: ``RowsRead``, ``CommitResult`` or ``StoreRequestFailed``. Only one
request is outstanding at a time, so the answers carry no identifier.
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
from poplarspoke.generated.platform import (
    CommitResult,
    RowsRead,
    StoreRequestFailed,
)
from poplarspoke.tasks import Outgoing, Reply, ToHost, ToStore, ToTask

# With 410 hosts, the head row takes 410 of about 2000 reads per second.
HEAD_READ_INTERVAL_S = 1.0
# A peer has this long to send its settings before the store is read too.
PEER_FETCH_TIMEOUT_S = 1.0
UNRESOLVED_RETRY_INTERVAL_S = 1.0
MAX_PEER_STATE_AGE_S = 10.0
MAX_WAITING_CHANGES = 32
MAX_HISTORY_ROWS = 100
REQUIREMENT = 'R14'

create_state = versions.create_state


def is_ready(state: versions.ConfigurationState, now_s: float) -> bool:
    """Returns whether the host has settings that are confirmed recently."""
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
        state: State of this task; changed in place.
        now_s: Monotonic clock in seconds.

    Raises:
        invariants.InvariantError: The version would decrease (R14).
    """
    version = state['snapshot'].version
    freshness = _describe_freshness(state)
    outgoing = handle(message, state, now_s)
    outgoing.extend(_fetch_newer_version(state, now_s))
    outgoing.extend(_start_next_step(state, now_s))
    _update_confirmation(state)
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
    """Handles one message by its type.

    ``decide`` then starts the next store request and notifies subscribers.
    """
    raise TypeError(f'configuration cannot handle {type(message).__name__}')


@handle.register
def _(
    message: Tick,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    for host, peer in list(state['peers'].items()):
        if now_s - peer.stated_at_s > MAX_PEER_STATE_AGE_S:
            state['peers'].pop(host)
    if now_s - state['head_read_at_s'] >= HEAD_READ_INTERVAL_S:
        state['head_read_at_s'] = now_s
        _queue_first(state, versions.HeadRead())
    if now_s - state['retried_at_s'] >= UNRESOLVED_RETRY_INTERVAL_S:
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
    for unresolved_change in message.doubts:
        versions.add_unresolved_change(state, unresolved_change)
    return []


@handle.register
def _(
    message: FetchSettings,
    state: versions.ConfigurationState,
    now_s: float,
) -> list[Outgoing]:
    current_snapshot = state['snapshot']
    if message.version >= current_snapshot.version:
        return []
    in_force_for_s = now_s - state['in_force_since_s']
    snapshot = current_snapshot._replace(
        sender=state['host'],
        age_s=current_snapshot.age_s + in_force_for_s,
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
    if len(state['waiting']) + len(state['unresolved']) >= MAX_WAITING_CHANGES:
        refusal = errors.refuse(
            ErrorCode.OVERLOADED,
            f'{MAX_WAITING_CHANGES} changes wait for the platform',
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
        # The version in force stays; the state dump shows this counter.
        state['unreadable_rows'] += 1
    return commits.fail(
        step, state, StoreRequestFailed('the row is damaged', not_sent=True)
    )


@handle.register
def _(
    message: StoreRequestFailed,
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


def _update_confirmation(state: versions.ConfigurationState) -> None:
    version = state['snapshot'].version
    versions.update_confirmation(
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
    versions.update_confirmation(state, by_zones)


def _fetch_newer_version(
    state: versions.ConfigurationState, now_s: float
) -> list[Outgoing]:
    """Requests a newer version from a peer first, then from the store."""
    version = state['snapshot'].version
    newer_peers = [
        peer for peer in state['peers'].values() if peer.version > version
    ]
    if not newer_peers and state['store_version'] <= version:
        return []
    if now_s - state['fetched_at_s'] < PEER_FETCH_TIMEOUT_S:
        return []
    first_attempt = now_s - state['fetched_at_s'] > 2 * PEER_FETCH_TIMEOUT_S
    state['fetched_at_s'] = now_s
    if not newer_peers or not first_attempt:
        _queue_first(state, versions.DocumentRead())
    if not newer_peers:
        return []
    newest_peer = max(newer_peers, key=_get_version)
    return [ToHost(newest_peer.host, FetchSettings(state['host'], version))]


def _get_version(peer: PeerState) -> int:
    return peer.version


def _queue_first(
    state: versions.ConfigurationState, step: versions.Step
) -> None:
    if step not in state['waiting'] and step != state['step']:
        state['waiting'].insert(0, step)


def _start_next_step(
    state: versions.ConfigurationState, now_s: float
) -> list[Outgoing]:
    if state['step'] is not None or not state['waiting']:
        return []
    step = state['waiting'].pop(0)
    state['step'] = step
    state['step_sent_at_s'] = now_s
    return [ToStore(commits.create_store_request(step, state))]


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
