"""Usage reports: counts of this host, and messages between the hosts.

Each host keeps its counts until the leader has decided their window, and sends
them to the leader and its first successor each second until they are
acknowledged. ``usage_reporting`` decides and reports the windows.
"""

import functools
from typing import Any, TypeAlias

from poplarspoke.control import (
    leadership,
    ranks,
    usage_clock,
    usage_collection,
    usage_counts,
    usage_reporting,
    usage_rows,
)
from poplarspoke.control.state import RECORDS, ControlState
from poplarspoke.control.tables import RELAY
from poplarspoke.control.usage_state import WriteUsage
from poplarspoke.generated.control import RecordsWritten
from poplarspoke.generated.usage import (
    CountAck,
    CountReport,
    UsageAnswered,
    UsageClock,
    UsageCounted,
)
from poplarspoke.tasks import ToHost, ToTask

# After two reports without an acknowledgement, other hosts pass them on.
INDIRECT_AFTER_S = 2.2
INDIRECT_HOSTS = 2
# Other hosts that have the counts, so that they survive the loss of one host
# together with the leader.
MIN_COPIES = 2
# Differences that do not matter to a window of some seconds.
MIN_CHANGE_S = 0.001
Message: TypeAlias = UsageCounted | CountReport | CountAck | UsageAnswered


def check(state: ControlState, now_s: float) -> list[Any]:
    """Decides and reports windows if this host is the leader."""
    if not state['settings'].usage.window_s:
        return []
    if not state['tables'][RECORDS]['complete']:
        return []
    usage_rows.enter_era(state, now_s, usage_reporting.find_wait(state))
    usage_collection.forget_decided(state, now_s)
    usage_counts.forget_acks(state, now_s)
    return usage_reporting.check(state, now_s)


@functools.singledispatch
def handle(message: Any, state: ControlState, now_s: float) -> list[Any]:
    """Handles a message of the relay, a peer or the platform.

    Raises:
        TypeError: The message is not one of the usage reports.
    """
    raise TypeError(f'{type(message).__name__} is not of the usage reports')


@handle.register
def _(message: UsageCounted, state: ControlState, now_s: float) -> list[Any]:
    if not state['settings'].usage.window_s:
        return []
    before = state['usage']['offset_s']
    usage_clock.record_own(state, message.wall_offset_s, now_s)
    if leadership.is_leader(state):
        usage_clock.follow_median(state, now_s)
    if state['usage']['offset_s'] is not None:
        usage_counts.update_windows(state, message, now_s)
    reports = usage_counts.list_reports(state, message, now_s)
    for report in reports:
        # The leader and its first successor need their own counts too.
        usage_collection.collect(state, report, now_s)
    if leadership.is_leader(state):
        usage_counts.acknowledge_all(state)
    return [
        *_notify_relay(state, before),
        *_send(state, reports, now_s),
    ]


@handle.register
def _(message: CountReport, state: ControlState, now_s: float) -> list[Any]:
    if not state['settings'].usage.window_s:
        return []
    is_complete = usage_collection.collect(state, message, now_s)
    if message.copied:
        return []
    usage_clock.record_vote(state, message.sender, message.wall_s, now_s)
    own = state['settings'].name
    if not leadership.is_leader(state):
        leader = state['duty'].record.holder
        if not message.indirect or leader in {'', own, message.sender}:
            return []
        passed = message._replace(indirect=False, via=own)
        return [ToHost(leader, passed)]
    ack = CountAck(
        message.sender,
        state['duty'].record.token,
        message.window,
        message.sequence,
        is_complete,
        message.asked_s,
        usage_clock.find_true_time(state, now_s),
    )
    return [ToHost(message.via or message.sender, ack)]


@handle.register
def _(message: CountAck, state: ControlState, now_s: float) -> list[Any]:
    if message.recipient != state['settings'].name:
        return [ToHost(message.recipient, message)]
    if message.token < state['duty'].record.token or message.asked_s > now_s:
        return []
    before = state['usage']['offset_s']
    usage_clock.follow_leader(state, message.true_s, message.asked_s, now_s)
    usage_counts.record_ack(state, message, now_s)
    return _notify_relay(state, before)


@handle.register
def _(message: UsageAnswered, state: ControlState, now_s: float) -> list[Any]:
    return usage_reporting.handle_answer(state, message, now_s)


def handle_write(
    state: ControlState,
    purpose: WriteUsage,
    written: RecordsWritten,
    now_s: float,
) -> list[Any]:
    """Handles the outcome of a write of the row."""
    return usage_reporting.handle_write(state, purpose, written, now_s)


def _send(
    state: ControlState, reports: list[CountReport], now_s: float
) -> list[Any]:
    """Sends reports to the leader and its first successors.

    If the leader does not answer, other hosts pass them on.
    """
    leader = state['duty'].record.holder
    ranked = [leader, *ranks.list_successors(state)]
    others = [name for name in ranked if name != state['settings'].name]
    copies = max(MIN_COPIES, state['settings'].tolerance.hosts)
    outgoing = [
        ToHost(name, report)
        for name in others[:copies]
        for report in reports
        if name
    ]
    if leader not in {'', state['settings'].name}:
        copied = usage_counts.list_copies(state, now_s)
        outgoing.extend(ToHost(leader, report) for report in copied)
    for name in _choose_indirect(state, now_s):
        outgoing.extend(
            ToHost(name, entry._replace(indirect=True)) for entry in reports
        )
    return outgoing


def _choose_indirect(state: ControlState, now_s: float) -> list[str]:
    """Returns hosts that pass the reports on if the leader does not answer."""
    usage = state['usage']
    own = state['settings'].name
    leader = state['duty'].record.holder
    since_s = max(usage['acked_s'], usage['clocked_s'])
    if leader in {'', own} or now_s - since_s < INDIRECT_AFTER_S:
        return []
    others = sorted(state['hosts'].keys() - {own, leader})
    return state['rng'].sample(others, min(INDIRECT_HOSTS, len(others)))


def _notify_relay(state: ControlState, before: float | None) -> list[Any]:
    offset_s = state['usage']['offset_s']
    if offset_s is None:
        return []
    if before is not None and abs(offset_s - before) < MIN_CHANGE_S:
        return []
    return [ToTask(RELAY, UsageClock(offset_s))]
