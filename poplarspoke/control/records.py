"""Writes of rows of this project's own table in the metadata store."""

import json
from typing import Any

from poplarspoke import codec
from poplarspoke.control.state import (
    ERA_KEY,
    GROUP_PREFIX,
    HOST_PREFIX,
    LEADER_KEY,
    PRIMARY_PREFIX,
    PROGRESS_KEY,
    RECORDS,
    RELEASE_PREFIX,
    TERM_PREFIX,
    ControlState,
    Purpose,
)
from poplarspoke.control.usage_state import USAGE_KEY
from poplarspoke.generated.control import (
    EraRecord,
    GroupRecord,
    HostRecord,
    LeaderRecord,
    PrimaryRecord,
    ProgressRecord,
    RecordWrite,
    ReleaseRecord,
    TermRecord,
    WriteRecords,
)
from poplarspoke.generated.usage import UsageRecord
from poplarspoke.tasks import ToStore


def write(
    state: ControlState,
    purpose: Purpose,
    *writes: RecordWrite,
) -> ToStore:
    """Returns an atomic write of rows and records its purpose."""
    number = state['next_write']
    state['next_write'] += 1
    state['writes'][number] = purpose
    return ToStore(WriteRecords(number, tuple(writes)))


def write_host(state: ControlState, record: HostRecord) -> RecordWrite:
    """Returns the write of a host's row."""
    key = HOST_PREFIX + record.name
    return RecordWrite(key, _find_version(state, key), _dump(record))


def write_era(state: ControlState, record: EraRecord) -> RecordWrite:
    """Returns the write that confirms the records of an era."""
    version = _find_version(state, ERA_KEY)
    return RecordWrite(ERA_KEY, version, _dump(record))


def write_progress(state: ControlState) -> RecordWrite:
    """Returns the write that shows that the leader is alive."""
    row = state['tables'][RECORDS]['rows'].get(PROGRESS_KEY)
    number = row.version if row else 0
    record = ProgressRecord(state['duty'].record.token, number)
    version = _find_version(state, PROGRESS_KEY)
    return RecordWrite(PROGRESS_KEY, version, _dump(record))


def write_release(state: ControlState, record: ReleaseRecord) -> RecordWrite:
    """Returns the write of the releases that this host has witnessed."""
    key = f'{RELEASE_PREFIX}{record.service}/{state["settings"].name}'
    return RecordWrite(key, _find_version(state, key), _dump(record))


def write_again(state: ControlState, key: str) -> RecordWrite:
    """Returns the write of a record that a restored store lacks."""
    row = state['tables'][RECORDS]['rows'][key]
    content = '' if row.removed else row.content
    return RecordWrite(key, row.version, content, row.removed)


def write_leader(record: LeaderRecord, version: int) -> RecordWrite:
    """Returns the write of the row of the leader lease."""
    return RecordWrite(LEADER_KEY, version, _dump(record))


def require_leader(version: int) -> RecordWrite:
    """Returns the condition that the leader lease is unchanged."""
    return RecordWrite(LEADER_KEY, version, unchanged=True)


def write_primary(record: PrimaryRecord, version: int) -> RecordWrite:
    """Returns the write of a primary's row."""
    return RecordWrite(PRIMARY_PREFIX + record.service, version, _dump(record))


def write_term(state: ControlState, record: TermRecord) -> RecordWrite:
    """Returns the write of the newest term of a service."""
    key = TERM_PREFIX + record.service
    return RecordWrite(key, _find_version(state, key), _dump(record))


def write_group(state: ControlState, record: GroupRecord) -> RecordWrite:
    """Returns the write of the members of a service."""
    key = GROUP_PREFIX + record.service
    return RecordWrite(key, _find_version(state, key), _dump(record))


def write_usage(record: UsageRecord, version: int) -> RecordWrite:
    """Returns the write of the row of the usage reports."""
    return RecordWrite(USAGE_KEY, version, _dump(record))


def _find_version(state: ControlState, key: str) -> int:
    """Returns the revision of a row; 0 if it does not exist."""
    known = state['tables'][RECORDS]['rows'].get(key)
    if known is None or known.removed:
        return 0
    return known.version


def _dump(record: Any) -> str:
    return json.dumps(codec.to_object(record))
