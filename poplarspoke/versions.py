"""Settings state of one host, and the functions that put versions in force."""

import json
from typing import Any, NamedTuple, TypeAlias, TypedDict

from poplarspoke import changes, confirmation, records
from poplarspoke.generated.configuration import (
    ChangeRecord,
    ChangeSettings,
    PeerState,
    SettingsSnapshot,
    ShowHistory,
    UnresolvedChange,
)
from poplarspoke.generated.platform import Row
from poplarspoke.generated.settings import Document


class HeadRead(NamedTuple):
    """Read of the head row."""


class DocumentRead(NamedTuple):
    """Read of the head row and the document."""


class HistoryRead(NamedTuple):
    """Read of history rows for an operator."""

    request: ShowHistory
    newest: int
    oldest: int


class ChangeRead(NamedTuple):
    """Read of the version that a change is based on.

    Attributes:
        change: The change.
        asked_at_s: Time of the operator's request.
        sent: Whether a commit of the change was sent and may have taken effect.
        answered: Whether the operator already got the answer that the outcome
            is unknown.
        based_on: Version that a commit already sent was based on.
    """

    change: ChangeSettings
    asked_at_s: float
    sent: bool = False
    answered: bool = False
    based_on: int = 0


class ChangeCommit(NamedTuple):
    """Commit of a change.

    Attributes:
        read: The read that preceded the commit.
        record: Record of the change for the table.
        document: JSON of the changed document.
        keys: Ids of the keys that the change removes or revokes.
    """

    read: ChangeRead
    record: ChangeRecord
    document: str
    keys: tuple[str, ...]


Step: TypeAlias = (
    HeadRead | DocumentRead | HistoryRead | ChangeRead | ChangeCommit
)


class ConfigurationState(TypedDict):
    """State of the settings of one host.

    Attributes:
        host: Name of this host.
        zone: Zone of this host.
        subscribers: Tasks that are notified of versions and their freshness.
        snapshot: Version in force.
        document: Its document.
        in_force_since_s: When it came into force.
        confirmed: Latest confirmation.
        peers: Settings state in the last heartbeat of each peer.
        store_reachable: Whether the last request to the store was answered.
        store_failed_at_s: When the last failed attempt began.
        store_version: Highest version read from the store.
        step: Outstanding request to the store.
        step_sent_at_s: When it was sent.
        waiting: Queue of the next requests to the store.
        unresolved: Changes of this host's operators whose outcome is unknown;
            their rows are read again.
        retried_at_s: When the unresolved changes were last queued.
        head_read_at_s: When a read of the head row was last queued.
        fetched_at_s: When a newer version was last requested.
        doubts: Changes of any host whose outcome is unknown, by change id.
        unreadable_rows: Number of documents and store answers that could not
            be decoded.
    """

    host: str
    zone: str
    subscribers: tuple[str, ...]
    snapshot: SettingsSnapshot
    document: Document
    in_force_since_s: float
    confirmed: confirmation.Confirmation
    peers: dict[str, PeerState]
    store_reachable: bool
    store_failed_at_s: float
    store_version: int
    step: Step | None
    step_sent_at_s: float
    waiting: list[Step]
    unresolved: list[ChangeRead]
    retried_at_s: float
    head_read_at_s: float
    fetched_at_s: float
    doubts: dict[str, UnresolvedChange]
    unreadable_rows: int


def create_state(
    *,
    host: str,
    zone: str,
    subscribers: tuple[str, ...],
    now_s: float,
) -> ConfigurationState:
    """Returns the state of a host that has no settings yet.

    Args:
        host: Name of this host.
        zone: Zone of this host.
        subscribers: Tasks that are notified of versions and their freshness.
        now_s: Monotonic clock in seconds.
    """
    return ConfigurationState(
        host=host,
        zone=zone,
        subscribers=subscribers,
        snapshot=SettingsSnapshot(),
        document=changes.create_document(),
        in_force_since_s=now_s,
        confirmed=confirmation.UNCONFIRMED,
        peers={},
        store_reachable=False,
        store_failed_at_s=confirmation.NEVER_S,
        store_version=0,
        step=None,
        step_sent_at_s=confirmation.NEVER_S,
        waiting=[],
        unresolved=[],
        retried_at_s=confirmation.NEVER_S,
        head_read_at_s=confirmation.NEVER_S,
        fetched_at_s=confirmation.NEVER_S,
        doubts={},
        unreadable_rows=0,
    )


class StoreAnswer(NamedTuple):
    """Answer of the store, with its rows by key."""

    message: Any
    rows: dict[str, Row]
    now_s: float


def adopt(
    state: ConfigurationState,
    snapshot: SettingsSnapshot,
    now_s: float,
) -> None:
    """Puts a version in force if it is newer than the one in force."""
    if snapshot.version <= state['snapshot'].version:
        return
    try:
        document: Document = json.loads(snapshot.document)
    except (ValueError, RecursionError):
        state['unreadable_rows'] += 1
        return
    state['snapshot'] = snapshot._replace(sender='')
    state['document'] = document
    state['in_force_since_s'] = now_s
    for change_id, unresolved_change in list(state['doubts'].items()):
        if unresolved_change.version <= snapshot.version:
            state['doubts'].pop(change_id)


def adopt_rows(state: ConfigurationState, answer: StoreAnswer) -> None:
    """Puts the version in force that a read of head and document returned.

    Raises:
        codec.FormatError: The rows are damaged.
    """
    snapshot = records.read_snapshot(
        answer.rows[records.HEAD_KEY],
        answer.rows[records.DOCUMENT_KEY],
    )
    age_s = max(answer.message.now_s - snapshot.accepted_at_s, 0)
    adopt(state, snapshot._replace(age_s=age_s), answer.now_s)
    record_head_version(state, answer)


def record_head_version(state: ConfigurationState, answer: StoreAnswer) -> None:
    """Records the version of the head row.

    If it is not newer than the version in force, the read confirms that
    version as of the time it was sent.
    """
    version = answer.rows[records.HEAD_KEY].version
    state['store_version'] = max(state['store_version'], version)
    if version > state['snapshot'].version:
        return
    update_confirmation(
        state,
        confirmation.Confirmation(state['step_sent_at_s'], 'store'),
    )


def update_confirmation(
    state: ConfigurationState,
    candidate: confirmation.Confirmation,
) -> None:
    """Records a confirmation if it is later than the current one."""
    if candidate.at_s > state['confirmed'].at_s:
        state['confirmed'] = candidate


def add_unresolved_change(
    state: ConfigurationState, unresolved_change: UnresolvedChange
) -> None:
    """Records a change whose outcome is unknown.

    It is removed once its version, or a later one, is in force.
    """
    if unresolved_change.version > state['snapshot'].version:
        state['doubts'][unresolved_change.change_id] = unresolved_change
