"""Fair queue in front of the slots of one endpoint.

Start-time fair queueing between workspaces: the start tag of a workspace grows
by the slot time that it is charged for, and a free slot goes to the waiting
workspace with the lowest tag. Statements of one workspace keep their order.
"""

import functools
from typing import Any, NamedTuple, TypedDict

from poplarspoke import errors, invariants
from poplarspoke.generated.common import ErrorCode, Outcome, Tick
from poplarspoke.generated.queues import (
    Cancel,
    Enqueue,
    Finish,
    SetSlots,
    SlotGranted,
    SlotRefused,
)
from poplarspoke.tasks import Outgoing, Reply

DEFAULT_SLOTS = 2
MAX_WAITING = 64
# Slot time that a workspace below its share may save up for a burst. See
# docs/decisions/fair-queue.md.
MAX_CREDIT_S = 0.2
# Weight of the newest sample in the mean service time of a workspace.
SERVICE_SAMPLE_WEIGHT = 0.2
# A sample counts as at most this multiple of the mean, so that one statement
# that waited for a lock does not make the queue refuse others early.
MAX_SAMPLE_GROWTH = 4
# Mean service time of a workspace before its first statement has finished.
INITIAL_SERVICE_S = 0.01
# A slot is reclaimed when its statement is this long past its deadline, since
# the message that frees a slot may be dropped when an inbox is full.
SLOT_RECLAIM_S = 1.0


class WaitingStatement(NamedTuple):
    """Statement that waits for a slot.

    Attributes:
        request_id: Unique for each attempt.
        arrived_s: Arrival in seconds on the monotonic clock.
        deadline_s: Deadline in seconds on the monotonic clock.
    """

    request_id: str
    arrived_s: float
    deadline_s: float


class RunningStatement(NamedTuple):
    """Statement that holds a slot.

    Attributes:
        workspace: Workspace that the slot time is charged to.
        granted_s: Time of the grant in seconds on the monotonic clock.
        deadline_s: Deadline in seconds on the monotonic clock.
        charged_s: Estimated slot time that was charged at the grant.
    """

    workspace: str
    granted_s: float
    deadline_s: float
    charged_s: float


class Account(TypedDict):
    """Waiting statements and slot time of one workspace.

    Attributes:
        waiting: Statements in the order of their arrival.
        tag: Start tag of the next statement, in seconds of slot time.
        service_s: Moving average of the service time in seconds.
        running: Number of slots that the workspace holds.
    """

    waiting: list[WaitingStatement]
    tag: float
    service_s: float
    running: int


class QueueState(TypedDict):
    """State of the queue of one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        slots: Number of statements that the endpoint runs at the same time.
        running: Statements that hold a slot, by request id.
        accounts: Workspaces with waiting, running or recent statements.
        waiting: Workspace of each waiting statement, by request id.
        virtual_s: Virtual time: highest start tag that was granted a slot.
        refused: Number of refusals since the start.
    """

    endpoint: str
    slots: int
    running: dict[str, RunningStatement]
    accounts: dict[str, Account]
    waiting: dict[str, str]
    virtual_s: float
    refused: int


def create_state(endpoint: str, slots: int = DEFAULT_SLOTS) -> QueueState:
    """Returns the state of an empty queue."""
    return {
        'endpoint': endpoint,
        'slots': slots,
        'running': {},
        'accounts': {},
        'waiting': {},
        'virtual_s': 0,
        'refused': 0,
    }


@functools.singledispatch
def decide(message: Any, state: QueueState, now_s: float) -> list[Outgoing]:
    """Handles one message and returns the messages to send."""
    raise TypeError(f'a queue cannot handle {type(message).__name__}')


@decide.register
def _(message: Enqueue, state: QueueState, now_s: float) -> list[Outgoing]:
    refused = _check_arrival(message, state, now_s)
    if refused is not None:
        state['refused'] += 1
        return [refused]
    account = _open_account(state, message.workspace)
    account['waiting'].append(
        WaitingStatement(message.request_id, now_s, now_s + message.budget_s),
    )
    state['waiting'][message.request_id] = message.workspace
    return _grant_slots(state, now_s)


@decide.register
def _(message: Finish, state: QueueState, now_s: float) -> list[Outgoing]:
    running = state['running'].get(message.request_id)
    if running is None:
        return []
    _release_slot(state, message.request_id, now_s - running.granted_s)
    account = state['accounts'][running.workspace]
    sample_s = min(
        now_s - running.granted_s,
        MAX_SAMPLE_GROWTH * account['service_s'],
    )
    drift_s = sample_s - account['service_s']
    account['service_s'] += SERVICE_SAMPLE_WEIGHT * drift_s
    return _grant_slots(state, now_s)


@decide.register
def _(message: Cancel, state: QueueState, now_s: float) -> list[Outgoing]:
    workspace = state['waiting'].pop(message.request_id, None)
    if workspace is not None:
        account = state['accounts'][workspace]
        account['waiting'] = [
            entry
            for entry in account['waiting']
            if entry.request_id != message.request_id
        ]
    if message.request_id in state['running']:
        _release_slot(state, message.request_id, 0)
    return _grant_slots(state, now_s)


@decide.register
def _(message: SetSlots, state: QueueState, now_s: float) -> list[Outgoing]:
    state['slots'] = message.slots
    return _grant_slots(state, now_s)


@decide.register
def _(message: Tick, state: QueueState, now_s: float) -> list[Outgoing]:
    for request_id, running in list(state['running'].items()):
        if now_s > running.deadline_s + SLOT_RECLAIM_S:
            _release_slot(state, request_id, now_s - running.granted_s)
    outgoing: list[Outgoing] = []
    for account in state['accounts'].values():
        outgoing.extend(_refuse_expired(state, account, now_s))
    outgoing.extend(_grant_slots(state, now_s))
    _discard_idle_accounts(state)
    return outgoing


def estimate_wait_s(state: QueueState, workspace: str) -> float:
    """Returns the expected wait in seconds of a new statement.

    Until the new statement gets a slot, every other workspace is granted at
    most as many slots as the workspace of the statement.
    """
    if len(state['running']) < state['slots']:
        return 0
    account = state['accounts'].get(workspace)
    turns = len(account['waiting']) + 1 if account else 1
    work_s: float = 0
    for name, other in state['accounts'].items():
        ahead = len(other['waiting'])
        if name != workspace:
            ahead = min(ahead, turns)
        work_s += ahead * other['service_s']
    return work_s / max(state['slots'], 1)


def _check_arrival(
    message: Enqueue,
    state: QueueState,
    now_s: float,
) -> Reply | None:
    known = message.request_id in state['waiting']
    if known or message.request_id in state['running']:
        # The first copy may run, so its outcome must not be "not run".
        return _refuse(
            message.request_id,
            ErrorCode.CONFLICT,
            f'attempt {message.request_id} is already in the queue',
            outcome=Outcome.UNKNOWN,
        )
    account = state['accounts'].get(message.workspace)
    wait_s = estimate_wait_s(state, message.workspace)
    if account is not None and len(account['waiting']) >= MAX_WAITING:
        return _refuse_overload(
            message.request_id,
            f'workspace {message.workspace!r} has {MAX_WAITING} '
            f'statements waiting for {state["endpoint"]}',
            retry_after_s=wait_s,
        )
    if message.budget_s <= 0 or wait_s > message.budget_s:
        return _refuse_overload(
            message.request_id,
            f'the queue of {state["endpoint"]} takes about {wait_s:.3f} s '
            f'and the deadline is in {message.budget_s:.3f} s',
            retry_after_s=wait_s,
        )
    return None


def _open_account(state: QueueState, workspace: str) -> Account:
    account = state['accounts'].setdefault(
        workspace,
        {
            'waiting': [],
            'tag': _compute_lowest_tag(state),
            'service_s': INITIAL_SERVICE_S,
            'running': 0,
        },
    )
    if not account['waiting']:
        account['tag'] = max(account['tag'], _compute_lowest_tag(state))
    return account


def _compute_lowest_tag(state: QueueState) -> float:
    """Returns the lowest start tag that a workspace may have."""
    return state['virtual_s'] - MAX_CREDIT_S


def _grant_slots(state: QueueState, now_s: float) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    while len(state['running']) < state['slots']:
        workspace = _find_next_workspace(state)
        if workspace is None:
            break
        account = state['accounts'][workspace]
        outgoing.extend(_refuse_expired(state, account, now_s))
        if account['waiting']:
            outgoing.append(_grant_next_slot(state, workspace, now_s))
    invariants.check(
        holds=not state['waiting'] or len(state['running']) >= state['slots'],
        code='R10',
        detail=f'a slot of {state["endpoint"]} is free while statements wait',
    )
    return outgoing


def _find_next_workspace(state: QueueState) -> str | None:
    chosen = None
    lowest = float('inf')
    for workspace, account in state['accounts'].items():
        if account['waiting'] and account['tag'] < lowest:
            chosen = workspace
            lowest = account['tag']
    return chosen


def _grant_next_slot(state: QueueState, workspace: str, now_s: float) -> Reply:
    account = state['accounts'][workspace]
    entry = account['waiting'].pop(0)
    state['waiting'].pop(entry.request_id)
    invariants.check(
        holds=now_s < entry.deadline_s,
        code='R10',
        detail=f'{entry.request_id} gets a slot after its deadline',
    )
    state['virtual_s'] = max(state['virtual_s'], account['tag'])
    account['tag'] += account['service_s']
    account['running'] += 1
    state['running'][entry.request_id] = RunningStatement(
        workspace,
        now_s,
        entry.deadline_s,
        account['service_s'],
    )
    granted = SlotGranted(entry.request_id, now_s - entry.arrived_s)
    return Reply(entry.request_id, granted)


def _release_slot(state: QueueState, request_id: str, used_s: float) -> None:
    """Frees a slot and replaces the estimated charge by the time used."""
    running = state['running'].pop(request_id)
    account = state['accounts'][running.workspace]
    account['running'] -= 1
    account['tag'] += used_s - running.charged_s


def _refuse_expired(
    state: QueueState,
    account: Account,
    now_s: float,
) -> list[Outgoing]:
    """Refuses waiting statements whose deadline has passed."""
    expired = [
        entry for entry in account['waiting'] if entry.deadline_s <= now_s
    ]
    outgoing: list[Outgoing] = []
    for entry in expired:
        account['waiting'].remove(entry)
        state['waiting'].pop(entry.request_id)
        outgoing.append(
            _refuse_overload(
                entry.request_id,
                f'the deadline passed in the queue of {state["endpoint"]}',
            ),
        )
    state['refused'] += len(outgoing)
    return outgoing


def _refuse_overload(
    request_id: str,
    detail: str,
    *,
    retry_after_s: float = 0,
) -> Reply:
    return _refuse(
        request_id,
        ErrorCode.OVERLOADED,
        detail,
        retry_after_s=retry_after_s,
    )


def _refuse(
    request_id: str,
    code: ErrorCode,
    detail: str,
    *,
    outcome: Outcome | None = None,
    retry_after_s: float = 0,
) -> Reply:
    refusal = errors.refuse(
        code,
        detail,
        outcome=outcome,
        retry_after_s=retry_after_s,
    )
    return Reply(request_id, SlotRefused(request_id, refusal))


def _discard_idle_accounts(state: QueueState) -> None:
    """Discards the accounts of idle workspaces that saved up all credit.

    A new account of such a workspace would start with the same tag.
    """
    if not state['running'] and not state['waiting']:
        state['accounts'].clear()
        return
    for workspace, account in list(state['accounts'].items()):
        busy = account['waiting'] or account['running']
        if not busy and account['tag'] <= _compute_lowest_tag(state):
            state['accounts'].pop(workspace)
