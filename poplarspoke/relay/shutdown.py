"""What a host that shuts down still accepts, and until when it answers.

The platform kills a process at the end of its grace period. A statement is accepted
if its timeout ends before the host does, or if it arrives in the first half of the
grace period, in which open transactions may go on. Any other is refused at once,
before it runs. Every statement that was accepted is answered before the host ends:
its deadline is the end of the host, if that comes before the timeout of its route.
"""

import functools
import math
from typing import Any

from poplarspoke.generated.relay import BeginTransaction
from poplarspoke.relay.state import RelayState

# Fraction of the grace period in which transactions may begin.
BEGIN_FRACTION = 0.5
# Reserve for the answers of statements that run until the end, on a slow machine.
ANSWER_MARGIN_S = 0.7
REASON = 'the host shuts down'
TIMEOUT_REASON = 'no answer within the timeout of the route'
ENDED_REASON = 'no answer before the host ends'


def find_end(state: RelayState) -> float:
    """Returns when all statements must be answered; infinite in service."""
    since_s = state['shutdown_since_s']
    if not since_s:
        return math.inf
    return since_s + state['settings'].grace_s - ANSWER_MARGIN_S


def find_transaction_end(state: RelayState) -> float:
    """Returns until when open transactions may wait for their callers."""
    since_s = state['shutdown_since_s']
    if not since_s:
        return math.inf
    return since_s + state['settings'].grace_s * BEGIN_FRACTION


def may_run(state: RelayState, timeout_s: float, now_s: float) -> bool:
    """Returns whether a statement that arrives now is accepted.

    Args:
        state: State of the relay.
        timeout_s: Timeout of the statement's route.
        now_s: Boot clock in seconds.
    """
    if now_s <= find_transaction_end(state):
        return True
    return now_s + timeout_s <= find_end(state)


@functools.singledispatch
def may_start(
    statement: Any, state: RelayState, timeout_s: float, now_s: float
) -> bool:
    """Returns whether an operation is accepted that a statement starts now."""
    return may_run(state, timeout_s, now_s)


@may_start.register
def _(
    statement: BeginTransaction,
    state: RelayState,
    timeout_s: float,
    now_s: float,
) -> bool:
    # A transaction needs time for more statements than the first.
    return now_s <= find_transaction_end(state)


def limit_deadlines(state: RelayState) -> None:
    """Ends the open operations with the host, once the shutdown has begun."""
    end_s = find_end(state)
    for operation in state['operations'].values():
        operation['deadline_s'] = min(operation['deadline_s'], end_s)


def explain_timeout(state: RelayState, now_s: float) -> str:
    """Returns why a statement is not waited for any longer."""
    return ENDED_REASON if now_s >= find_end(state) else TIMEOUT_REASON


def is_finished(state: RelayState, now_s: float) -> bool:
    """Returns whether nothing is left to answer."""
    if not state['sessions']:
        return True
    return now_s >= find_end(state) and not state['operations']
