"""Tests of the load generator's checks, with a fake transport."""

import anyio
import pytest

from poplarspoke.generated.load import LoadResult, ViolationKind
from poplarspoke.standins.exchanges import Exchange, ExchangeResult
from poplarspoke.standins.load import (
    LoadRoute,
    Plan,
    WorkspaceLoad,
    plan_arrivals,
    run_load,
)

WRITE = LoadRoute('release', 1, write=True)
READ = LoadRoute('catalogue', 1, write=False)
RATE = 400
DURATION_S = 0.1


class FakeHosts:
    """Transport over a map of values; ``fault`` violates one property."""

    def __init__(self, fault: str = '') -> None:
        self.values: dict[str, int] = {}
        self.recorded: set[str] = set()
        self._fault = fault

    async def send(self, host: str, exchange: Exchange) -> ExchangeResult:
        verb, key = exchange.statement.split()[:2]
        if verb == 'SCAN':
            return self._answer(key)
        if verb == 'GET':
            return self._answer('none' if self._fault == 'stale' else key)
        return self._write(key, exchange.request_id)

    def _write(self, key: str, request_id: str) -> ExchangeResult:
        is_repeat = request_id in self.recorded
        if self._fault != 'lost' and not is_repeat:
            self.values[key] = self.values.get(key, 0) + 1
        if self._fault == 'doubled':
            self.values[key] = 2
        if self._fault == 'refused':
            return ExchangeResult('no_endpoint')
        self.recorded.add(request_id)
        if self._fault == 'answer lost' and not is_repeat:
            return ExchangeResult('connection_lost', may_have_run=True)
        return ExchangeResult('served')

    def _answer(self, prefix: str) -> ExchangeResult:
        rows = {
            key: str(number)
            for key, number in self.values.items()
            if key.startswith(prefix)
        }
        return ExchangeResult('served', replica=True, rows=rows)


def create_plan(seed: int = 5) -> Plan:
    load = WorkspaceLoad('deli', 'key', RATE, (WRITE, READ), sessions=4)
    return Plan((load,), ('a', 'b'), DURATION_S, seed, run='r')


def run(fault: str = '') -> LoadResult:
    return anyio.run(run_load, create_plan(), FakeHosts(fault))


def test_correct_system_passes() -> None:
    """Guards against checks that fail a correct system or check nothing."""
    found = run()
    assert found.passed
    assert found.writes
    assert found.reads_checked
    assert found.effects_checked == found.writes


def test_lost_answers_are_repeated_and_count_once() -> None:
    """Guards against a repeat under a new request id, which runs twice."""
    found = run('answer lost')
    assert found.passed
    assert found.writes
    assert found.writes == found.effects_checked


@pytest.mark.parametrize(
    ('fault', 'kind'),
    [
        ('stale', ViolationKind.STALE_READ),
        ('lost', ViolationKind.LOST_WRITE),
        ('doubled', ViolationKind.DOUBLED_EFFECT),
        ('refused', ViolationKind.FALSE_REFUSAL),
    ],
)
def test_violation_is_reported(fault: str, kind: ViolationKind) -> None:
    """Guards against a load run that does not report a violation."""
    found = run(fault)
    assert not found.passed
    assert kind in {violation.kind for violation in found.violations}


def test_plan_depends_on_the_seed_only() -> None:
    """Guards against variants that are compared under different plans."""
    first, other = create_plan(), create_plan(seed=6)
    load = first.tenants[0]
    assert plan_arrivals(first, load) == plan_arrivals(
        create_plan(),
        load,
    )
    assert plan_arrivals(first, load) != plan_arrivals(
        other,
        load,
    )
