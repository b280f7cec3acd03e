"""Wrongful refusals of the rates against a static split and an oracle.

Run ``python -m bench.rates``. Virtual time and fixed seeds make the output the
same in every run. The reference is one bucket for all hosts, charged for each
request that the policy admits, at the arrival time of the request. A refusal
is wrongful if that bucket had a token when the request arrived. The second
figure is the ratio to the requests that the oracle admits.
"""

import functools
import random
import statistics
from collections.abc import Callable
from typing import NamedTuple

from bench.rate_fleet import STORE, Fleet, Oracle
from poplarspoke.generated.rates import WorkspaceRate

SEEDS = (1, 2, 3, 4, 5, 6)
ZONES = (('a1', 'a2', 'a3'), ('b1', 'b2', 'b3'), ('c1', 'c2'))
NAMES = tuple(name for zone in ZONES for name in zone)
WARM_UP_S = 12.0
DURATION_S = 20.0
FAULT_AT_S = 5.0
MOVE_INTERVAL_S = 4.0
BUDGET_S = 1.0
STATIC_WAIT_S = 0.5  # As long as the shipped policy waits.
OVERLOAD_FACTOR = 2.0
LOAD_FACTOR = 0.9  # Offered load divided by the rate.
STEADY = WorkspaceRate('w', 100, 50)
BURSTY = WorkspaceRate('w', 20, 16)
BURST_SIZE = 14
BURST_SPREAD_S = 0.005
ROUNDING_SLACK = 1e-3  # Tolerance for rounding, in tokens.


class Arrival(NamedTuple):
    """Request on a host; the time counts from the end of the warm-up."""

    time_s: float
    host: str


class Scenario(NamedTuple):
    """A load and the faults during it.

    Attributes:
        name: Name in the output.
        limit: Rate and burst of the workspace.
        create_arrivals: Returns the requests of one run.
        dead_host: Host that is killed; empty for none.
        store_down: Whether the hosts lose contact with the metadata store.
    """

    name: str
    limit: WorkspaceRate
    create_arrivals: Callable[[random.Random], list[Arrival]]
    dead_host: str = ''
    store_down: bool = False


class Figures(NamedTuple):
    """Result of one run of a policy."""

    requests: int
    admitted: int
    wrongful: int
    messages: float = 0  # Per host and second.
    writes: float = 0  # Per second.


def create_steady_arrivals(
    rng: random.Random,
    choose: Callable[[random.Random, float], str],
    load: float,
) -> list[Arrival]:
    """Returns Poisson arrivals at the rate times a load factor."""
    arrivals = []
    time_s = rng.expovariate(STEADY.rate * load)
    while time_s < DURATION_S:
        arrivals.append(Arrival(time_s, choose(rng, time_s)))
        time_s += rng.expovariate(STEADY.rate * load)
    return arrivals


def create_burst_arrivals(rng: random.Random) -> list[Arrival]:
    """Returns a burst of requests to random hosts in each second."""
    arrivals = []
    for second in range(int(DURATION_S)):
        for _ in range(BURST_SIZE):
            time_s = second + rng.uniform(0, BURST_SPREAD_S)
            arrivals.append(Arrival(time_s, rng.choice(NAMES)))
    return sorted(arrivals)


def choose_any_host(rng: random.Random, time_s: float) -> str:
    """Returns a random host."""
    return rng.choice(NAMES)


def choose_host_of_first_zone(rng: random.Random, time_s: float) -> str:
    """Returns a random host of the first zone."""
    return rng.choice(ZONES[0])


def choose_first_host(rng: random.Random, time_s: float) -> str:
    """Returns the first host."""
    return NAMES[0]


def choose_changing_host(rng: random.Random, time_s: float) -> str:
    """Returns one host at a time, another one every ``MOVE_INTERVAL_S``."""
    return NAMES[int(time_s / MOVE_INTERVAL_S) * 3 % len(NAMES)]


def choose_surviving_host(rng: random.Random, time_s: float) -> str:
    """Returns a random host except the one that is killed."""
    return rng.choice(NAMES[:-1])


def create_steady_load(
    choose: Callable[[random.Random, float], str],
    load: float = LOAD_FACTOR,
) -> Callable[[random.Random], list[Arrival]]:
    """Returns a function that creates steady arrivals on chosen hosts."""
    return functools.partial(create_steady_arrivals, choose=choose, load=load)


SCENARIOS = (
    Scenario('even', STEADY, create_steady_load(choose_any_host)),
    Scenario('one zone', STEADY, create_steady_load(choose_host_of_first_zone)),
    Scenario('one host', STEADY, create_steady_load(choose_first_host)),
    Scenario('moving', STEADY, create_steady_load(choose_changing_host)),
    Scenario(
        'over the rate',
        STEADY,
        create_steady_load(choose_any_host, OVERLOAD_FACTOR),
    ),
    Scenario('small bursts', BURSTY, create_burst_arrivals),
    Scenario(
        'host dead',
        STEADY,
        create_steady_load(choose_surviving_host),
        dead_host=NAMES[-1],
    ),
    Scenario(
        'store down',
        STEADY,
        create_steady_load(choose_host_of_first_zone),
        store_down=True,
    ),
    Scenario(
        'both, moving',
        STEADY,
        create_steady_load(choose_changing_host),
        dead_host=NAMES[-1],
        store_down=True,
    ),
)


def run_shipped(scenario: Scenario, seed: int) -> Figures:
    """Runs the shipped policy.

    Raises:
        ValueError: More requests were admitted than the rate and burst allow.
    """
    fleet = Fleet(NAMES, (scenario.limit,), seed=seed)
    fleet.network.run(WARM_UP_S)
    sent = (fleet.network.messages, fleet.table.writes)
    _schedule_faults(fleet, scenario)
    requests: list[tuple[Arrival, str]] = []
    for arrival in scenario.create_arrivals(random.Random(seed)):
        fleet.network.run(WARM_UP_S + arrival.time_s)
        request_id = fleet.request(arrival.host, 'w', BUDGET_S)
        requests.append((arrival, request_id))
    fleet.network.run(WARM_UP_S + DURATION_S + BUDGET_S)
    outcomes = []
    for requested, answered_id in requests:
        answer = fleet.record.answers[answered_id]
        outcomes.append((requested.time_s, answer.admitted))
    if fleet.record.oracles['w'].lowest + ROUNDING_SLACK < 0:
        raise ValueError('admitted requests exceeded the rate and burst')
    figures = compute_figures(scenario.limit, outcomes)
    host_seconds = DURATION_S * len(NAMES)
    return figures._replace(
        messages=(fleet.network.messages - sent[0]) / host_seconds,
        writes=(fleet.table.writes - sent[1]) / DURATION_S,
    )


def run_static(scenario: Scenario, seed: int) -> Figures:
    """Runs one bucket per host with an equal part of the rate."""
    shares = {
        name: Oracle(
            scenario.limit.rate / len(NAMES),
            scenario.limit.burst / len(NAMES),
        )
        for name in NAMES
    }
    outcomes = []
    for arrival in scenario.create_arrivals(random.Random(seed)):
        share = shares[arrival.host]
        level = share.refill(arrival.time_s)
        wait_s = max(1 - level, 0) / share.rate
        # A bucket with less than one token refills while the request waits.
        admitted = wait_s <= STATIC_WAIT_S
        if admitted:
            share.level -= 1
        outcomes.append((arrival.time_s, admitted))
    return compute_figures(scenario.limit, outcomes)


def run_oracle(scenario: Scenario, seed: int) -> Figures:
    """Runs one bucket for all hosts, without waiting for tokens."""
    bucket = Oracle(scenario.limit.rate, scenario.limit.burst)
    outcomes = []
    for arrival in scenario.create_arrivals(random.Random(seed)):
        admitted = bucket.refill(arrival.time_s) >= 1
        if admitted:
            bucket.level -= 1
        outcomes.append((arrival.time_s, admitted))
    return compute_figures(scenario.limit, outcomes)


def compute_figures(
    limit: WorkspaceRate,
    outcomes: list[tuple[float, bool]],
) -> Figures:
    """Returns the counts of requests, admissions and wrongful refusals.

    Args:
        limit: Rate and burst of the whole fleet.
        outcomes: Time of each request, in order, and whether it was admitted.
    """
    bucket = Oracle(limit.rate, limit.burst)
    wrongful = 0
    for time_s, admitted in outcomes:
        if admitted:
            bucket.charge(time_s)
            continue
        wrongful += int(bucket.refill(time_s) >= 1)
    total = sum(int(outcome[1]) for outcome in outcomes)
    return Figures(len(outcomes), total, wrongful)


def _schedule_faults(fleet: Fleet, scenario: Scenario) -> None:
    if scenario.dead_host:
        stop = functools.partial(fleet.stop, scenario.dead_host)
        fleet.network.at(WARM_UP_S + FAULT_AT_S, stop)
    if scenario.store_down:
        links = {frozenset((name, STORE)) for name in NAMES}
        partition = functools.partial(fleet.network.partitions.update, links)
        fleet.network.at(WARM_UP_S + FAULT_AT_S, partition)


def _format_spread(values: list[float]) -> str:
    middle = statistics.median(values)
    return f'{middle:6.2f} [{min(values):.2f}, {max(values):.2f}]'


def _compute_wrongful_percent(figures: Figures) -> float:
    return figures.wrongful * 100 / figures.requests


def _report(scenario: Scenario) -> None:
    shipped = [run_shipped(scenario, seed) for seed in SEEDS]
    static = [run_static(scenario, seed) for seed in SEEDS]
    oracle = [run_oracle(scenario, seed) for seed in SEEDS]
    ratios = [
        policy.admitted / ideal.admitted
        for policy, ideal in zip(shipped, oracle, strict=True)
    ]
    static_ratios = [
        policy.admitted / ideal.admitted
        for policy, ideal in zip(static, oracle, strict=True)
    ]
    cells = (
        f'{scenario.name:13}',
        _format_spread(
            [_compute_wrongful_percent(figures) for figures in shipped]
        ),
        _format_spread(
            [_compute_wrongful_percent(figures) for figures in static]
        ),
        _format_spread(
            [_compute_wrongful_percent(figures) for figures in oracle]
        ),
        _format_spread(ratios),
        _format_spread(static_ratios),
        _format_spread([figures.messages for figures in shipped]),
        _format_spread([figures.writes for figures in shipped]),
    )
    print(' | '.join(cells))


def main() -> None:
    """Prints a line per scenario: median [lowest, highest] of the seeds."""
    print(
        'load | wrongful % shipped | static | oracle | admitted/oracle shipped'
        ' | static | messages/host/s | writes/s',
    )
    for scenario in SCENARIOS:
        _report(scenario)


if __name__ == '__main__':
    main()
