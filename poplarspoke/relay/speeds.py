"""Speed of each endpoint as it is now, from the answers of its statements.

An endpoint may be slow, fail part of its requests although its health checks
succeed, or go down and up. Latencies are compared with the usual ones of the
same route, so that a route with long statements does not make its endpoints
look slow, and corrected for this host's own statements. They are not corrected
for those of others: answers tell of these sooner than reports.
"""

from poplarspoke.generated.relay import AnswerCode
from poplarspoke.relay import regions
from poplarspoke.relay.load_state import Speed
from poplarspoke.relay.loads import count_own, is_load_shared
from poplarspoke.relay.state import Connection, Operation, RelayState

# Latency of a statement without waiting, until one was measured.
DEFAULT_LATENCY_S = 0.015
MIN_LATENCY_S = 0.001
# Weight of the newest answer in the pace of an endpoint. Service times vary
# about as much as their mean; this averages about 19 of them.
PACE_WEIGHT = 0.1
# Weight in the usual latency, which is that of all endpoints of the service.
USUAL_WEIGHT = 0.02
# One statement of 170 ms among those of 22 ms must not look like a slow
# endpoint.
MAX_RATIO = 10.0
# Weight of the newest statement in the fraction that failed.
FAILURE_WEIGHT = 0.15
MAX_FAILING = 0.9
# Without further statements the pace and the fraction that failed return to the
# usual with this half-life: an endpoint that nobody uses is tried again. It is
# longer than the backoff after failed connections, so that an endpoint that
# goes down and up is not used like a stable one in between.
HALF_LIFE_S = 4.0
# Cost of a failed statement as a fraction of the latency objective of its route.
# A read that gets no answer is sent elsewhere after half of the objective; one
# whose endpoint answers with a failure, at once.
FAILURE_COST_FRACTION = 0.25
# Answers that show a fault or overload of the endpoint.
FAULT_CODES = frozenset(
    (AnswerCode.FAILED, AnswerCode.TIMEOUT, AnswerCode.BUSY),
)
USUAL_SPEED = Speed(1, 0, 0)


def find_speed(state: RelayState, endpoint: str, now_s: float) -> Speed:
    """Returns the speed of an endpoint, decayed since its last statement."""
    known = state['loads']['speeds'].get(endpoint)
    if known is None:
        return USUAL_SPEED
    kept = 0.5 ** (max(now_s - known.updated_s, 0) / HALF_LIFE_S)
    return Speed(
        1 + (known.pace - 1) * kept,
        known.failing * kept,
        now_s,
    )


def estimate_latency(
    state: RelayState,
    operation: Operation,
    endpoint: str,
    load: float,
    now_s: float,
) -> float:
    """Returns the expected latency of an operation, in seconds.

    Args:
        state: State of the relay.
        operation: Operation that is placed.
        endpoint: Name of the endpoint.
        load: Statements at the endpoint in relation to its slots.
        now_s: Boot clock in seconds.
    """
    speed = find_speed(state, endpoint, now_s)
    usual_s = state['loads']['usual_s'].get(
        _classify(operation), DEFAULT_LATENCY_S
    )
    latency_s = max(usual_s * speed.pace, MIN_LATENCY_S) * (1 + load)
    failing = min(speed.failing, MAX_FAILING)
    objective_s = operation['route'].target_latency_s
    failed_s = latency_s + objective_s * FAILURE_COST_FRACTION
    return latency_s + failed_s * failing / (1 - failing)


def record_answer(
    state: RelayState,
    operation: Operation,
    connection: Connection,
    code: AnswerCode,
    now_s: float,
) -> None:
    """Records the answer to the statement of an operation.

    Answers without a result, such as those of a lagging replica, come at once
    and say nothing about the speed.

    Args:
        state: State of the relay.
        operation: Operation whose statement was answered.
        connection: Connection that it ran on.
        code: Result of the statement.
        now_s: Boot clock in seconds.
    """
    name = connection['endpoint']
    if code in FAULT_CODES:
        record_failure(state, name, now_s)
    if code is not AnswerCode.DONE:
        return
    endpoint = state['endpoints'].get(name)
    if endpoint is None or not is_load_shared(state, endpoint['entry'].service):
        return
    there_s = now_s - connection['sent_s']
    there_s -= regions.find_round_trip(state, endpoint['entry'].zone)
    alone_s = max(there_s, MIN_LATENCY_S) / _estimate_wait(state, name)
    ratio = _compare_with_usual(state, operation, alone_s)
    speed = find_speed(state, name, now_s)
    state['loads']['speeds'][name] = Speed(
        speed.pace + PACE_WEIGHT * (ratio - speed.pace),
        speed.failing * (1 - FAILURE_WEIGHT),
        now_s,
    )


def record_failure(state: RelayState, name: str, now_s: float) -> None:
    """Records a statement or a connection that an endpoint failed to serve."""
    endpoint = state['endpoints'].get(name)
    if endpoint is None or not is_load_shared(state, endpoint['entry'].service):
        return
    speed = find_speed(state, name, now_s)
    failing = speed.failing + FAILURE_WEIGHT * (1 - speed.failing)
    state['loads']['speeds'][name] = speed._replace(failing=failing)


def _estimate_wait(state: RelayState, name: str) -> float:
    """Returns by which factor this host's load makes a statement slower."""
    # The statement that was answered does not run any more.
    own = count_own(state, name) + 1
    slots = max(state['endpoints'][name]['entry'].slots, 1)
    return max(own / slots, 1)


def _compare_with_usual(
    state: RelayState, operation: Operation, alone_s: float
) -> float:
    """Updates the usual latency and returns the ratio of one answer to it."""
    usual_s = state['loads']['usual_s']
    kind = _classify(operation)
    known_s = usual_s.get(kind, alone_s)
    usual_s[kind] = known_s + USUAL_WEIGHT * (alone_s - known_s)
    return min(alone_s / max(usual_s[kind], MIN_LATENCY_S), MAX_RATIO)


def _classify(operation: Operation) -> tuple[str, bool]:
    """Returns the kind of statement that latencies are compared within."""
    return operation['route'].database, operation['may_repeat']
