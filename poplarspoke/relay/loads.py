"""What this host believes about the load of endpoints.

Each host that chooses endpoints reports its own statements at them to the
others that choose (``sharing``). A report is stale when it arrives, so its age
is known and discounted. This host's own statements are counted exactly.
"""

import math
import random
from collections.abc import Sequence

import xxhash

from poplarspoke.generated.loads import LoadReport
from poplarspoke.relay import policies, regions
from poplarspoke.relay.load_state import ReportedLoad, Sender
from poplarspoke.relay.state import RelayState

# Without a newer report for this time, a host relies on its own observations.
# Reports are sent four times a second, so this is three lost ones.
LIFETIME_S = 1.0
# The same in intervals, for hosts that report less often.
LIFETIME_INTERVALS = 2.0
# Longest interval of reports, which bounds how long one counts.
MAX_INTERVAL_S = 4.0
# Time constant with which the number of running statements returns to its
# average: a few statements, which take 4 to 22 ms.
CORRELATION_S = 0.05
# After this time the average alone counts, which saves most of the work.
MAX_CORRELATION_S = 3 * CORRELATION_S
# Time constant of the moving average of a host's own statements. With 0.3 s, 24
# hosts reacted together to fluctuations that had passed when their reports
# arrived: at three quarters of the capacity the mean latency was 30 ms instead
# of 22 ms (trial with ``tests/load_fleet.py``).
MEAN_S = 1.0
# Averages below this are not kept.
MIN_MEAN = 0.01
# The boot clocks of two hosts may diverge this fast, in seconds a second.
CLOCK_DRIFT = 0.0005
# Numbers in reports are hundredths.
UNITS = 100
# Endpoints that are drawn at random, of which the cheaper one is tried first.
DRAWN = 2
MIN_COST_S = 0.0001


def is_load_shared(state: RelayState, service: str) -> bool:
    """Returns whether the load of a service's endpoints is shared."""
    known = state['loads']['shared'].get(service)
    if known is None:
        known = policies.shares_load(state, service)
        state['loads']['shared'][service] = known
    return known


def count_others(state: RelayState, endpoint: str, now_s: float) -> float:
    """Returns the statements that other hosts have at an endpoint now.

    Args:
        state: State of the relay.
        endpoint: Name of the endpoint.
        now_s: Boot clock in seconds.
    """
    reports = state['loads']['others'].get(digest_name(endpoint))
    if not reports:
        return 0
    return sum(
        estimate_now(report, now_s - report.measured_s)
        for report in reports.values()
    )


def find_age(state: RelayState, endpoint: str, now_s: float) -> float | None:
    """Returns the age in seconds of the newest report about an endpoint.

    Returns:
        The age; None without a report that still counts.
    """
    reports = state['loads']['others'].get(digest_name(endpoint), {})
    ages = [
        now_s - report.measured_s
        for report in reports.values()
        if now_s - report.measured_s < compute_lifetime(report.interval_s)
    ]
    return min(ages) if ages else None


def count_own(state: RelayState, endpoint: str) -> float:
    """Returns the statements of this host at an endpoint.

    A connection that is being opened takes a slot of the endpoint, too.
    Transactions that wait for their caller take none, and statements only take
    one while they are at the endpoint.
    """
    own = 0
    for number in state['endpoints'][endpoint]['connections']:
        connection = state['connections'][number]
        own += connection['in_flight'] is not None or not connection['ready']
    return own * regions.find_occupancy(state, state['endpoints'][endpoint])


def estimate_now(report: ReportedLoad, age_s: float) -> float:
    """Returns what a report says about the present.

    The number of running statements returns to its average within a few
    statements. A report that should have been replaced by a newer one counts
    less and less, since its sender may have stopped.
    """
    lifetime_s = compute_lifetime(report.interval_s)
    if age_s >= lifetime_s:
        return 0
    load = report.mean
    if age_s < MAX_CORRELATION_S:
        excess = report.running - report.mean
        load += excess * math.exp(-max(age_s, 0) / CORRELATION_S)
    if age_s <= report.interval_s:
        return load
    return load * (lifetime_s - age_s) / (lifetime_s - report.interval_s)


def compute_lifetime(interval_s: float) -> float:
    """Returns how long a report counts, in seconds."""
    return max(LIFETIME_S, LIFETIME_INTERVALS * interval_s)


def update_mean(mean: float, running: float, elapsed_s: float) -> float:
    """Returns the moving average after a number of statements was observed."""
    return running + (mean - running) * math.exp(-elapsed_s / MEAN_S)


def sample_own(state: RelayState, now_s: float) -> dict[str, float]:
    """Updates the averages of this host's statements.

    Returns:
        The statements that run now by endpoint.
    """
    used = {
        connection['endpoint']
        for connection in state['connections'].values()
        if connection['in_flight'] is not None or not connection['ready']
    }
    running = {
        name: count_own(state, name)
        for name in sorted(used)
        if name in state['endpoints']
    }
    known = state['loads']
    elapsed_s = max(now_s - known['sampled_s'], 0)
    known['sampled_s'] = now_s
    means: dict[str, float] = {}
    for name in known['means'].keys() | running.keys():
        mean = update_mean(
            known['means'].get(name, 0), running.get(name, 0), elapsed_s
        )
        if mean >= MIN_MEAN or name in running:
            means[name] = mean
    known['means'] = means
    return running


def record_report(state: RelayState, report: LoadReport, now_s: float) -> None:
    """Replaces what is known of the load of another host.

    The clocks of two hosts differ. The shortest delay so far tells the
    difference, and a longer one that the report waited, for instance while
    this host was frozen.
    """
    if report.sender not in state['peers']:
        return
    known = state['loads']['senders'].get(report.sender)
    if known is not None and known.incarnation != report.incarnation:
        known = None
    offset_s = now_s - report.sent_s
    if known is not None:
        if report.sent_s <= known.sent_s:
            return
        drift_s = CLOCK_DRIFT * (now_s - known.heard_s)
        offset_s = min(offset_s, known.offset_s + drift_s)
    _forget(state, report.sender)
    digests = tuple(entry.endpoint for entry in report.endpoints)
    state['loads']['senders'][report.sender] = Sender(
        report.incarnation, report.sent_s, now_s, offset_s, digests
    )
    measured_s = report.sent_s + offset_s
    for entry in report.endpoints:
        load = ReportedLoad(
            entry.running / UNITS,
            entry.mean / UNITS,
            measured_s,
            min(max(report.interval_s, 0), MAX_INTERVAL_S),
        )
        reports = state['loads']['others'].setdefault(entry.endpoint, {})
        reports[report.sender] = load


def _forget(state: RelayState, sender: str) -> None:
    """Removes what a host has reported."""
    known = state['loads']['senders'].pop(sender, None)
    if known is None:
        return
    others = state['loads']['others']
    for endpoint in known.endpoints:
        reports = others.get(endpoint, {})
        reports.pop(sender, None)
        if not reports:
            others.pop(endpoint, None)


def forget_departed(state: RelayState) -> None:
    """Forgets hosts that have left, and which hosts choose endpoints."""
    state['loads']['choosers'].clear()
    for sender in set(state['loads']['senders']) - set(state['peers']):
        _forget(state, sender)


def forget_rules(state: RelayState) -> None:
    """Forgets what depends on the configuration."""
    known = state['loads']
    known['choosers'].clear()
    known['shared'].clear()
    known['usual_s'] = {
        kind: usual_s
        for kind, usual_s in known['usual_s'].items()
        if kind[0] in state['routes']
    }


def draw_order(
    costs: Sequence[tuple[float, str]], rng: random.Random
) -> list[str]:
    """Returns endpoints in the order in which they are tried.

    Hosts that know the same loads would all choose the same endpoint until the
    next reports. So two are drawn at random, with a probability in inverse
    proportion to their cost, and the cheaper one is tried first (Mitzenmacher,
    2001). Both may be the same one, so that hosts choose differently among two
    endpoints, too, and sometimes try a slow one. The others follow by cost.

    Args:
        costs: Cost in seconds and name of each endpoint.
        rng: Random source.
    """
    if not costs:
        return []
    weights = [1 / max(cost, MIN_COST_S) for cost, _ in costs]
    first = min(rng.choices(costs, weights, k=DRAWN))[1]
    others = [name for _, name in sorted(costs) if name != first]
    return [first, *others]


def digest_name(endpoint: str) -> int:
    """Returns the number that stands for an endpoint in reports."""
    number: int = xxhash.xxh32_intdigest(endpoint)
    return number
