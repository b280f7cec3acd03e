"""Admission of requests: spends or borrows tokens, or refuses the requests."""

from poplarspoke import borrowing, buckets
from poplarspoke.generated.rates import AdmitRequest, Admitted, RateRefused
from poplarspoke.shares import RatesState, Waiter
from poplarspoke.tasks import Outgoing, Reply

MAX_WAIT_S = 0.5  # Two backoffs of a peer, see borrowing.MAX_BACKOFF_S.
WAIT_BUDGET_FRACTION = 0.5  # The remaining budget is for the statement.
MAX_WAITING_REQUESTS = 256  # For each workspace.
DEFAULT_RETRY_AFTER_S = 1.0  # Used if the refill time is not known.


def admit(
    state: RatesState, message: AdmitRequest, now_s: float
) -> list[Outgoing]:
    """Admits or refuses a request, or queues it until tokens are available."""
    workspace = message.workspace
    bucket = state['buckets'].get(workspace)
    if bucket is None:
        return [create_refusal(message.request_id, DEFAULT_RETRY_AFTER_S)]
    state['arrivals'][workspace] += 1
    buckets.refill(bucket, now_s)
    waiting = state['waiting'][workspace]
    if not waiting and buckets.spend(bucket):
        return [Reply(message.request_id, Admitted(message.request_id))]
    if len(waiting) >= MAX_WAITING_REQUESTS:
        return [
            create_refusal(
                message.request_id, compute_retry_delay(state, workspace)
            )
        ]
    budget_s = max(message.budget_s, 0)
    wait_s = min(budget_s * WAIT_BUDGET_FRACTION, MAX_WAIT_S)
    waiting.append(Waiter(message.request_id, now_s + wait_s))
    return serve(state, workspace, now_s)


def remove_workspace(state: RatesState, workspace: str) -> list[Outgoing]:
    """Removes a workspace that left the settings; refuses waiting requests."""
    state['buckets'].pop(workspace)
    state['arrivals'].pop(workspace)
    state['demand'].pop(workspace)
    return [
        create_refusal(waiter.request_id, DEFAULT_RETRY_AFTER_S)
        for waiter in state['waiting'].pop(workspace)
    ]


def serve(state: RatesState, workspace: str, now_s: float) -> list[Outgoing]:
    """Admits waiting requests, borrows tokens for the rest, or refuses them."""
    waiting = state['waiting'][workspace]
    bucket = state['buckets'][workspace]
    buckets.refill(bucket, now_s)
    outgoing: list[Outgoing] = []
    while waiting and buckets.spend(bucket):
        served = waiting.pop(0)
        outgoing.append(Reply(served.request_id, Admitted(served.request_id)))
    if not waiting:
        return outgoing
    borrow_requests = borrowing.start_round(
        state['borrowing'],
        workspace,
        bucket,
        needed=len(waiting) - buckets.count_available(bucket),
        now_s=now_s,
    )
    return (
        outgoing + borrow_requests + _refuse_unservable(state, workspace, now_s)
    )


def create_refusal(request_id: str, retry_after_s: float) -> Reply:
    """Returns the reply that refuses a request over the rate."""
    return Reply(request_id, RateRefused(request_id, retry_after_s))


def compute_retry_delay(state: RatesState, workspace: str) -> float:
    """Returns the seconds to refill tokens for all waiters and one more."""
    rate = state['buckets'][workspace]['rate']
    if rate <= 0:
        return DEFAULT_RETRY_AFTER_S
    return (len(state['waiting'][workspace]) + 1) / rate


def _refuse_unservable(
    state: RatesState,
    workspace: str,
    now_s: float,
) -> list[Outgoing]:
    """Refuses requests for which no token can arrive before their deadline."""
    outgoing: list[Outgoing] = []
    kept: list[Waiter] = []
    for waiter in state['waiting'][workspace]:
        if _can_be_served(
            state, workspace, waiter.deadline_s, len(kept), now_s
        ):
            kept.append(waiter)
            continue
        delay_s = compute_retry_delay(state, workspace)
        outgoing.append(create_refusal(waiter.request_id, delay_s))
    state['waiting'][workspace] = kept
    return outgoing


def _can_be_served(
    state: RatesState,
    workspace: str,
    deadline_s: float,
    ahead: int,
    now_s: float,
) -> bool:
    if deadline_s <= now_s:
        return False
    if borrowing.has_open_request(state['borrowing'], workspace):
        return True
    if borrowing.can_borrow(state['borrowing'], workspace, deadline_s):
        return True
    bucket = state['buckets'][workspace]
    rate = bucket['rate'] * buckets.get_share(bucket, now_s)
    missing = ahead + 1 - buckets.count_available(bucket)
    return missing <= rate * (deadline_s - now_s)
