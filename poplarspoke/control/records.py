"""Rows of the project's own table and the writes that change them."""

import json
from typing import Any

from poplarspoke import codec
from poplarspoke.control.state import ControlState, Purpose
from poplarspoke.control.tables import (
    DUTY_KEY,
    HOST_PREFIX,
    PRIMARY_PREFIX,
)
from poplarspoke.generated.control import (
    DutyRecord,
    HostRecord,
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
    """Returns an atomic change of rows and notes what it is for."""
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


def write_duty(record: DutyRecord, version: int) -> RecordWrite:
    """Returns the write of the duty's row."""
    return RecordWrite(DUTY_KEY, version, _dump(record))


def require_duty(version: int) -> RecordWrite:
    """Returns the condition that the duty has not been taken since."""
    return RecordWrite(DUTY_KEY, version, unchanged=True)


def write_primary(record: PrimaryRecord, version: int) -> RecordWrite:
    """Returns the write of a primary's row."""
    return RecordWrite(PRIMARY_PREFIX + record.service, version, _dump(record))


def _dump(record: Any) -> str:
    return json.dumps(codec.to_object(record))
