"""Outcomes of writes to the metadata store, dispatched on their purpose."""

import functools
from typing import Any

from poplarspoke.control import failover, usage, usage_state
from poplarspoke.control.state import (
    AdvanceFailover,
    ClaimLeadership,
    ConfirmEra,
    ControlState,
    RecordGroup,
    RecordFirstPrimaries,
    RecordReleases,
    RegisterHost,
    ReportProgress,
    ResignLeadership,
    RetireHost,
)
from poplarspoke.generated.control import RecordsWritten
from poplarspoke.generated.relay import LogDecision


@functools.singledispatch
def handle(
    purpose: Any,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    """Handles the outcome of a write, depending on its purpose."""
    return []


@handle.register
def _(
    purpose: AdvanceFailover,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    return failover.handle_write(state, purpose.service, written, now_s)


@handle.register
def _(
    purpose: usage_state.WriteUsage,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    return usage.handle_write(state, purpose, written, now_s)


@handle.register
def _(
    purpose: ClaimLeadership
    | ResignLeadership
    | RegisterHost
    | RetireHost
    | RecordFirstPrimaries
    | RecordReleases
    | RecordGroup
    | ReportProgress
    | ConfirmEra,
    state: ControlState,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    line = LogDecision(
        event='row written' if written.accepted else 'row not written',
        outcome=type(purpose).__name__,
        reason='' if written.known else 'no answer',
    )
    return [line]
