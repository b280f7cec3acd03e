"""Retries inside a host: their budget, and the backoff before them.

Without a budget, each host would send a statement that an overloaded endpoint
rejected several times, and so keep it overloaded.
"""

from poplarspoke.generated.relay import AnswerCode
from poplarspoke.relay import contention
from poplarspoke.relay.state import Operation, RelayState

# Retries inside the host for each success, and the number that may be saved.
# A fault of one endpoint of three is thus covered, and an overload of all adds
# a tenth to itself.
RETRIES_PER_SUCCESS = 0.1
MAX_RETRIES = 20.0
# Backoff after an endpoint was too busy, as a fraction of the objective,
# doubled with each rejection up to the second one.
BACKOFF_FRACTION = 0.05
MAX_DOUBLINGS = 2


def is_retry_costly(code: AnswerCode) -> bool:
    """Returns whether an endpoint that gave an answer may be overloaded.

    A replica that lags or a member that is not the primary refuses at once.
    """
    return code in {AnswerCode.BUSY, AnswerCode.FAILED, AnswerCode.TIMEOUT}


def take_retry(state: RelayState, service: str) -> bool:
    """Takes a retry from the budget of a service; False if it is spent."""
    if not contention.is_active(state, service):
        return True
    saved = state['contention']['retries'].get(service, MAX_RETRIES)
    if saved < 1:
        return False
    state['contention']['retries'][service] = saved - 1
    return True


def earn_retry(state: RelayState, service: str) -> None:
    """Adds to the budget of a service for an operation that succeeded."""
    retries = state['contention']['retries']
    saved = retries.get(service, MAX_RETRIES) + RETRIES_PER_SUCCESS
    retries[service] = min(saved, MAX_RETRIES)


def compute_backoff(operation: Operation, jitter: float) -> float:
    """Returns the backoff after an endpoint was too busy, in seconds.

    Args:
        operation: Operation that was rejected.
        jitter: Random number between 0 and 1.
    """
    doublings = min(operation['rejections'], MAX_DOUBLINGS)
    objective_s = operation['route'].target_latency_s
    most_s = objective_s * BACKOFF_FRACTION * float(1 << doublings)
    # At least half of it, so that not all hosts return at the same time.
    return most_s * (1 + jitter) / 2
