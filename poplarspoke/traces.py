"""Traces of recent requests and automatic actions, for operators."""

import functools
from collections import deque
from typing import Any, TypedDict

import cachetools

from poplarspoke import errors
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.operators import (
    AutomaticAct,
    Events,
    RequestTrace,
    ShowEvents,
    ShowTrace,
)
from poplarspoke.tasks import Outgoing, Reply

MAX_TRACES = 1000
MAX_EVENTS = 200


class TraceState(TypedDict):
    """Bounded history of one daemon.

    Attributes:
        traces: Traces of the latest requests, by request id.
        events: Latest automatic actions, the newest first.
    """

    traces: cachetools.LRUCache[str, RequestTrace]
    events: deque[AutomaticAct]


def create_state() -> TraceState:
    """Returns an empty history."""
    return TraceState(
        traces=cachetools.LRUCache(MAX_TRACES),
        events=deque(maxlen=MAX_EVENTS),
    )


@functools.singledispatch
def decide(message: Any, state: TraceState, now_s: float) -> list[Outgoing]:
    """Handles one message and returns the messages to send."""
    raise TypeError(f'the traces cannot handle {type(message).__name__}')


@decide.register
def _(message: Tick, state: TraceState, now_s: float) -> list[Outgoing]:
    return []


@decide.register
def _(message: RequestTrace, state: TraceState, now_s: float) -> list[Outgoing]:
    state['traces'][message.request_id] = message
    return []


@decide.register
def _(message: AutomaticAct, state: TraceState, now_s: float) -> list[Outgoing]:
    state['events'].appendleft(message)
    return []


@decide.register
def _(message: ShowEvents, state: TraceState, now_s: float) -> list[Outgoing]:
    return [Reply(message.request_id, Events(tuple(state['events'])))]


@decide.register
def _(message: ShowTrace, state: TraceState, now_s: float) -> list[Outgoing]:
    trace = state['traces'].get(message.trace_id)
    if trace is None:
        refusal = errors.refuse(
            ErrorCode.UNKNOWN_ROUTE,
            f'this host has no recent request {message.trace_id!r}',
        )
        return [Reply(message.request_id, refusal)]
    return [Reply(message.request_id, trace)]
