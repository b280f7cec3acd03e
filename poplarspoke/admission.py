"""Requests that wait for a token: admitted, borrowed for, or refused."""

from poplarspoke import borrowing, buckets
from poplarspoke.generated.rates import AdmitRequest, Admitted, RateRefused
from poplarspoke.shares import Rates, Waiter
from poplarspoke.tasks import Outgoing, Reply

MAX_WAIT_S = 0.5  # Two rests of a drained peer, see borrowing.MAX_REST_S.
BUDGET_PART = 0.5  # The rest of the budget is left to the statement.
MAX_WAITING = 256  # Requests of a workspace that wait at once.
UNKNOWN_RETRY_S = 1.0  # Delay where no refill can be foreseen.


def admit(state: Rates, message: AdmitRequest, now_s: float) -> list[Outgoing]:
    """Answers a request, or lets it wait for tokens until its deadline."""
    workspace = message.workspace
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return [refuse(message.request_id, UNKNOWN_RETRY_S)]
    state['arrivals'][workspace] += 1
    buckets.settle(bucket, now_s)
    waiting = state['waiting'][workspace]
    if not waiting and buckets.spend(bucket):
        return [Reply(message.request_id, Admitted(message.request_id))]
    if len(waiting) >= MAX_WAITING:
        return [refuse(message.request_id, find_delay(state, workspace))]
    budget_s = max(message.budget_s, 0)
    wait_s = min(budget_s * BUDGET_PART, MAX_WAIT_S)
    waiting.append(Waiter(message.request_id, now_s + wait_s))
    return serve(state, workspace, now_s)


def remove_workspace(state: Rates, workspace: str) -> list[Outgoing]:
    """Refuses what waits for a workspace that the settings lack now."""
    state['buckets'].pop(workspace)
    state['arrivals'].pop(workspace)
    state['demand'].pop(workspace)
    return [
        refuse(waiter.request_id, UNKNOWN_RETRY_S)
        for waiter in state['waiting'].pop(workspace)
    ]


def serve(state: Rates, workspace: str, now_s: float) -> list[Outgoing]:
    """Admits, borrows for, or refuses the requests that wait."""
    waiting = state['waiting'][workspace]
    bucket = state['buckets'][workspace]
    buckets.settle(bucket, now_s)
    outgoing: list[Outgoing] = []
    while waiting and buckets.spend(bucket):
        served = waiting.pop(0)
        outgoing.append(Reply(served.request_id, Admitted(served.request_id)))
    if not waiting:
        return outgoing
    asked = borrowing.borrow(
        state['borrowing'],
        workspace,
        bucket,
        needed=len(waiting) - buckets.available(bucket),
        now_s=now_s,
    )
    return outgoing + asked + _refuse_late(state, workspace, now_s)


def refuse(request_id: str, retry_after_s: float) -> Reply:
    """Returns a refusal."""
    return Reply(request_id, RateRefused(request_id, retry_after_s))


def find_delay(state: Rates, workspace: str) -> float:
    """Returns the seconds after which this many requests are refilled."""
    rate = state['buckets'][workspace]['rate']
    if rate <= 0:
        return UNKNOWN_RETRY_S
    return (len(state['waiting'][workspace]) + 1) / rate


def _refuse_late(
    state: Rates,
    workspace: str,
    now_s: float,
) -> list[Outgoing]:
    """Refuses requests that no token can reach before their deadline."""
    outgoing: list[Outgoing] = []
    kept: list[Waiter] = []
    for waiter in state['waiting'][workspace]:
        if _may_serve(state, workspace, waiter.deadline_s, len(kept), now_s):
            kept.append(waiter)
            continue
        delay_s = find_delay(state, workspace)
        outgoing.append(refuse(waiter.request_id, delay_s))
    state['waiting'][workspace] = kept
    return outgoing


def _may_serve(
    state: Rates,
    workspace: str,
    deadline_s: float,
    ahead: int,
    now_s: float,
) -> bool:
    if deadline_s <= now_s:
        return False
    if borrowing.is_asking(state['borrowing'], workspace):
        return True
    if borrowing.can_ask(state['borrowing'], workspace, deadline_s):
        return True
    bucket = state['buckets'][workspace]
    rate = bucket['rate'] * buckets.share(bucket, now_s)
    missing = ahead + 1 - buckets.available(bucket)
    return missing <= rate * (deadline_s - now_s)
