"""Writes of rows of this project's own table in the metadata store."""

import json
from typing import Any

from poplarspoke import codec
from poplarspoke.control.state import ControlState, Purpose
from poplarspoke.control.tables import (
    HOST_PREFIX,
    LEADER_KEY,
    PRIMARY_PREFIX,
)
from poplarspoke.generated.control import (
    HostRecord,
    LeaderRecord,
    PrimaryRecord,
    RecordWrite,
    WriteRecords,
)
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
    known = state['tables']['records']['rows'].get(key)
    version = 0
    if known is not None and not known.removed:
        version = known.version
    return RecordWrite(key, version, _dump(record))


def write_leader(record: LeaderRecord, version: int) -> RecordWrite:
    """Returns the write of the row of the leader lease."""
    return RecordWrite(LEADER_KEY, version, _dump(record))


def require_leader(version: int) -> RecordWrite:
    """Returns the condition that the leader lease is unchanged."""
    return RecordWrite(LEADER_KEY, version, unchanged=True)


def write_primary(record: PrimaryRecord, version: int) -> RecordWrite:
    """Returns the write of a primary's row."""
    return RecordWrite(PRIMARY_PREFIX + record.service, version, _dump(record))


def _dump(record: Any) -> str:
    return json.dumps(codec.to_object(record))
