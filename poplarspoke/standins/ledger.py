"""Results of a run of the load generator and the checks on them.

Each write of the generator adds 1 to its own key, so that the value of the key
at the end is the number of times that the request took effect.
"""

import functools
import importlib
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

from poplarspoke.generated.load import (
    CodeCount,
    EffectSeen,
    EffectsRead,
    Latency,
    LoadResult,
    RequestDone,
    RequestUnsent,
    RouteResult,
    SecondResult,
    Violation,
    ViolationKind,
)
from poplarspoke.tasks import Outgoing

SERVED = 'served'
US_PER_MS = 1000
US_PER_S = 1_000_000
MAX_LATENCY_US = 120 * US_PER_S
SIGNIFICANT_DIGITS = 3


class WriteKey(NamedTuple):
    """Key that one write request of a workspace increments."""

    workspace: str
    key: str


class RouteName(NamedTuple):
    """A route of a workspace."""

    workspace: str
    route: str


class Group(TypedDict):
    """Requests that are reported together.

    Attributes:
        codes: Number of ended requests by code.
        replica: Number of requests served by replicas.
        latencies_s: Latencies of the served requests in seconds.
    """

    codes: Counter[str]
    replica: int
    latencies_s: list[float]


class LedgerState(TypedDict):
    """Results of the run so far.

    Attributes:
        routes: Requests by workspace and route.
        seconds: Requests by the second of their planned time.
        unsent: Number of planned requests for which no session was free.
        reads_checked: Number of reads of a key that their session wrote.
        acknowledged: Writes that were acknowledged.
        refused: Writes whose attempts were all answered "not run".
        seen: Number of effects of each key, read at the end.
        incomplete: Workspaces whose effects could not be read.
        violations: Violated properties.
    """

    routes: dict[RouteName, Group]
    seconds: dict[int, Group]
    unsent: int
    reads_checked: int
    acknowledged: set[WriteKey]
    refused: set[WriteKey]
    seen: dict[WriteKey, int]
    incomplete: set[str]
    violations: list[Violation]


def create_group() -> Group:
    """Returns a group without requests."""
    return Group(codes=Counter(), replica=0, latencies_s=[])


def create_state() -> LedgerState:
    """Returns the ledger of a run that has not begun."""
    return LedgerState(
        routes=defaultdict(create_group),
        seconds=defaultdict(create_group),
        unsent=0,
        reads_checked=0,
        acknowledged=set(),
        refused=set(),
        seen={},
        incomplete=set(),
        violations=[],
    )


@functools.singledispatch
def decide(message: Any, state: LedgerState, now_s: float) -> list[Outgoing]:
    """Records one message; the ledger sends none."""
    raise TypeError(f'{type(message).__name__} is not a ledger message')


@decide.register
def _(message: RequestDone, state: LedgerState, now_s: float) -> list[Outgoing]:
    route = RouteName(message.workspace, message.route)
    _count_request(message, state['routes'][route])
    _count_request(message, state['seconds'][int(message.at)])
    name = WriteKey(message.workspace, message.key)
    if message.write:
        _record_write(message, name, state)
    elif message.code == SERVED and name in state['acknowledged']:
        _check_read(message, state)
    return []


@decide.register
def _(
    message: RequestUnsent,
    state: LedgerState,
    now_s: float,
) -> list[Outgoing]:
    state['unsent'] += 1
    return []


@decide.register
def _(message: EffectSeen, state: LedgerState, now_s: float) -> list[Outgoing]:
    name = WriteKey(message.workspace, message.key)
    state['seen'][name] = message.effects
    return []


@decide.register
def _(message: EffectsRead, state: LedgerState, now_s: float) -> list[Outgoing]:
    if not message.complete:
        state['incomplete'].add(message.workspace)
    return []


def summarize(state: LedgerState, seed: int, duration_s: float) -> LoadResult:
    """Checks a run and returns its result."""
    violations = (*state['violations'], *_check_effects(state))
    codes: Counter[str] = Counter()
    for group in state['routes'].values():
        codes.update(group['codes'])
    complete = not state['incomplete']
    return LoadResult(
        seed=seed,
        duration_s=duration_s,
        planned=sum(codes.values()) + state['unsent'],
        unsent=state['unsent'],
        codes=_list_codes(codes),
        routes=tuple(_summarize_routes(state)),
        seconds=tuple(_summarize_seconds(state)),
        writes=len(state['acknowledged']),
        reads_checked=state['reads_checked'],
        effects_checked=len(state['seen']),
        complete=complete,
        violations=violations,
        passed=complete and not violations,
    )


def measure_latency(latencies_s: Iterable[float]) -> Latency:
    """Returns the percentiles of latencies that are given in seconds."""
    # Imported here because only the load generator needs this library.
    histograms = importlib.import_module('hdrh.histogram')
    histogram = histograms.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        histogram.record_value(
            min(int(latency_s * US_PER_S) + 1, MAX_LATENCY_US)
        )
    p50, p90, p99, highest = (
        histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in (50, 90, 99, 100)
    )
    return Latency(
        requests=histogram.get_total_count(),
        p50_ms=p50,
        p90_ms=p90,
        p99_ms=p99,
        max_ms=highest,
    )


def _count_request(message: RequestDone, group: Group) -> None:
    group['codes'][message.code] += 1
    if message.code != SERVED:
        return
    group['replica'] += message.replica
    group['latencies_s'].append(message.latency_s)


def _record_write(
    message: RequestDone,
    name: WriteKey,
    state: LedgerState,
) -> None:
    if message.code == SERVED:
        state['acknowledged'].add(name)
    elif not message.may_have_run:
        state['refused'].add(name)


def _check_read(message: RequestDone, state: LedgerState) -> None:
    state['reads_checked'] += 1
    if message.found:
        return
    state['violations'].append(
        Violation(
            kind=ViolationKind.STALE_READ,
            workspace=message.workspace,
            key=message.key,
            evidence=(
                f'session {message.session} wrote it and did not find it on '
                f'{message.endpoint} through {message.host}, route '
                f'{message.route}, {message.at:.3f} s into the run'
            ),
        ),
    )


def _check_effects(state: LedgerState) -> list[Violation]:
    """Compares the effects at the end with the answers to callers."""
    found = []
    for name, count in state['seen'].items():
        if count > 1:
            found.append(
                _build_violation(
                    ViolationKind.DOUBLED_EFFECT, name, f'{count} effects'
                ),
            )
        if count and name in state['refused']:
            evidence = f'answered "not run", {count} effects'
            found.append(
                _build_violation(ViolationKind.FALSE_REFUSAL, name, evidence)
            )
    for name in sorted(state['acknowledged']):
        if name.workspace in state['incomplete'] or state['seen'].get(name):
            continue
        evidence = 'acknowledged, no effect at the end'
        found.append(_build_violation(ViolationKind.LOST_WRITE, name, evidence))
    return found


def _build_violation(
    kind: ViolationKind, name: WriteKey, evidence: str
) -> Violation:
    return Violation(kind, name.workspace, name.key, evidence)


def _list_codes(codes: Counter[str]) -> tuple[CodeCount, ...]:
    return tuple(CodeCount(code, codes[code]) for code in sorted(codes))


def _summarize_routes(state: LedgerState) -> list[RouteResult]:
    return [
        RouteResult(
            workspace=name.workspace,
            route=name.route,
            codes=_list_codes(group['codes']),
            replica=group['replica'],
            served=measure_latency(group['latencies_s']),
        )
        for name, group in sorted(state['routes'].items())
    ]


def _summarize_seconds(state: LedgerState) -> list[SecondResult]:
    found = []
    for second, group in sorted(state['seconds'].items()):
        served = group['codes'][SERVED]
        found.append(
            SecondResult(
                second=second,
                served=served,
                refused=sum(group['codes'].values()) - served,
                replica=group['replica'],
                p99_ms=measure_latency(group['latencies_s']).p99_ms,
            ),
        )
    return found
