"""Decisions on keys: whether a request has a valid key for its workspace.

A key is ``pk_<key id>_<secret>``. Only the SHA-256 digest of the whole key is
stored. Apart from the ``CheckKey`` message, no state, log or message of this
module contains a key.
"""

import functools
import hashlib
import hmac
import json
import re
from typing import Any, NamedTuple, TypedDict

from poplarspoke import changes, confirmation, errors, invariants
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import (
    ResendSettings,
    SettingsFreshness,
    SettingsInForce,
)
from poplarspoke.generated.keys import (
    CheckKey,
    KeyAccepted,
    KeyRecord,
    KeyRefused,
)
from poplarspoke.generated.settings import Document
from poplarspoke.tasks import Outgoing, Reply, ToTask

TASK = 'keys'
SETTINGS_TASK = 'configuration'
MIN_SECRET_CHARACTERS = 22  # 128 bits in base64.
KEY_PATTERN = re.compile('pk_([A-Za-z0-9]{1,32})_([A-Za-z0-9_-]{22,128})')
# Compared for unknown keys, so that timing does not reveal which ids exist.
UNKNOWN_KEY_DIGEST = 'unknown'.ljust(hashlib.sha256().digest_size * 2)


class RouteName(NamedTuple):
    """A route of a workspace."""

    workspace: str
    route: str


class IssuedKey(NamedTuple):
    """A new key; ``key`` is shown to the operator once and not stored."""

    key: str
    record: KeyRecord


class KeysState(TypedDict):
    """State of the key check of one host.

    Attributes:
        version: Settings version of the records, 0 if there is none.
        policy: The setting ``keys.confirmation``.
        records: Keys by their id.
        open_routes: Routes that need no key.
        freshness: Latest confirmation of the settings.
        doubtful: Ids of keys that a change of unknown outcome removes or
            revokes.
        accepted: Number of accepted requests.
        refused: Number of refused requests.
        unknown: Number of refused requests whose key status was unknown.
    """

    version: int
    policy: str
    records: dict[str, KeyRecord]
    open_routes: set[RouteName]
    freshness: SettingsFreshness
    doubtful: set[str]
    accepted: int
    refused: int
    unknown: int


def create_state() -> KeysState:
    """Returns the state of a host that has no settings yet."""
    return KeysState(
        version=0,
        policy=confirmation.EVERY_ZONE,
        records={},
        open_routes=set(),
        freshness=SettingsFreshness(),
        doubtful=set(),
        accepted=0,
        refused=0,
        unknown=0,
    )


def create_key(key_id: str, workspace: str, secret: str) -> IssuedKey:
    """Returns a new key and its record for the settings.

    Args:
        key_id: Id, unique in the settings; letters and digits.
        workspace: Workspace that the key gives access to.
        secret: Random text in URL-safe base64.

    Raises:
        errors.SettingsError: The id or the secret is malformed.
    """
    key = f'pk_{key_id}_{secret}'
    if not KEY_PATTERN.fullmatch(key):
        raise errors.SettingsError(
            'a key needs an id of 1 to 32 letters and digits and a secret of '
            f'{MIN_SECRET_CHARACTERS} to 128 URL-safe characters',
        )
    record = KeyRecord(key_id, workspace, digest_key(key), revoked=False)
    return IssuedKey(key, record)


def digest_key(key: str) -> str:
    """Returns the SHA-256 of a whole key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


@functools.singledispatch
def decide(message: Any, state: KeysState, now_s: float) -> list[Outgoing]:
    """Handles one message.

    Args:
        message: ``CheckKey``, ``Tick`` or an update of the settings.
        state: State of this task; changed in place.
        now_s: Monotonic clock in seconds.

    Raises:
        invariants.InvariantError: An invalid key was accepted (R4, R6).
    """
    raise TypeError(f'keys cannot handle {type(message).__name__}')


@decide.register
def _(message: Tick, state: KeysState, now_s: float) -> list[Outgoing]:
    return _request_resend(state)


@decide.register
def _(
    message: SettingsInForce,
    state: KeysState,
    now_s: float,
) -> list[Outgoing]:
    if message.snapshot.version <= state['version']:
        return []
    document: Document = json.loads(message.snapshot.document)
    state['version'] = message.snapshot.version
    state['policy'] = confirmation.get_policy(document)
    state['records'] = {
        entry.key_id: KeyRecord(
            entry.key_id,
            entry.workspace,
            entry.digest,
            entry.revoked,
        )
        for entry in changes.list_keys(document)
    }
    state['open_routes'] = _find_open_routes(document)
    return []


@decide.register
def _(
    message: SettingsFreshness,
    state: KeysState,
    now_s: float,
) -> list[Outgoing]:
    state['freshness'] = message
    state['doubtful'] = {
        key_id for doubt in message.doubts for key_id in doubt.keys
    }
    return _request_resend(state)


@decide.register
def _(message: CheckKey, state: KeysState, now_s: float) -> list[Outgoing]:
    answer = _check_key(message, state, now_s)
    count_answer(answer, state)
    return [Reply(message.request_id, answer)]


@functools.singledispatch
def count_answer(answer: Any, state: KeysState) -> None:
    """Counts an answer by its type."""
    raise TypeError(f'{type(answer).__name__} is not an answer of keys')


@count_answer.register
def _(answer: KeyAccepted, state: KeysState) -> None:
    state['accepted'] += 1


@count_answer.register
def _(answer: KeyRefused, state: KeysState) -> None:
    state['refused'] += 1
    state['unknown'] += answer.status_unknown


def _check_key(
    message: CheckKey,
    state: KeysState,
    now_s: float,
) -> KeyAccepted | KeyRefused:
    accepted = KeyAccepted(message.request_id, message.workspace)
    if RouteName(message.workspace, message.route) in state['open_routes']:
        return accepted
    if not _is_fresh(state, now_s):
        return _refuse_unconfirmed(message, 'the settings are not confirmed')
    record = _find_record(message, state)
    if record is None or record.workspace != message.workspace:
        return KeyRefused(
            message.request_id,
            reason='the key is not one of this workspace',
        )
    if record.revoked:
        return KeyRefused(message.request_id, reason='the key is revoked')
    if record.key_id in state['doubtful']:
        return _refuse_unconfirmed(
            message, 'a change that withdraws it is open'
        )
    invariants.check(
        holds=hmac.compare_digest(record.digest, digest_key(message.key)),
        code='R4',
        detail=f'key {record.key_id} accepted for {message.workspace}',
    )
    invariants.check(
        holds=not record.revoked and record.key_id not in state['doubtful'],
        code='R6',
        detail=f'key {record.key_id} accepted after its revocation',
    )
    return accepted


def _find_record(message: CheckKey, state: KeysState) -> KeyRecord | None:
    """Returns the record of the key in a message, or None if it is invalid."""
    found = KEY_PATTERN.fullmatch(message.key)
    key_id = found.group(1) if found else ''
    record = state['records'].get(key_id, KeyRecord(digest=UNKNOWN_KEY_DIGEST))
    if hmac.compare_digest(record.digest, digest_key(message.key)):
        return record
    return None


def _refuse_unconfirmed(message: CheckKey, reason: str) -> KeyRefused:
    return KeyRefused(message.request_id, status_unknown=True, reason=reason)


def _is_fresh(state: KeysState, now_s: float) -> bool:
    freshness = state['freshness']
    if freshness.version != state['version'] or not state['version']:
        return False
    confirmed_at_s = confirmation.NEVER_S
    if freshness.confirmed:
        confirmed_at_s = freshness.confirmed_at_s
    return confirmation.is_fresh(
        version=state['version'],
        policy=state['policy'],
        confirmed_at_s=confirmed_at_s,
        now_s=now_s,
    )


def _request_resend(state: KeysState) -> list[Outgoing]:
    """Requests the settings again if a full inbox dropped their message."""
    if state['freshness'].version <= state['version']:
        return []
    return [ToTask(SETTINGS_TASK, ResendSettings(TASK))]


def _find_open_routes(document: Document) -> set[RouteName]:
    found = set()
    for team in document['teams'].values():
        for name, workspace in team.get('workspaces', {}).items():
            for route_name, route in workspace.get('routes', {}).items():
                if route.get('open', False):
                    found.add(RouteName(name, route_name))
    return found
