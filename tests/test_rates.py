"""Tests the rates on several hosts in virtual time."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bench.rate_fleet import STORE, Faults, Fleet
from poplarspoke import borrowing, buckets, leases
from poplarspoke.generated.platform import Row
from poplarspoke.generated.rates import (
    LeaseHolder,
    LeaveRates,
    RateSettings,
    WorkspaceRate,
)

NAMES = ('a', 'b', 'c', 'd')
RATE = 20.0
BURST = 12.0
SLACK = 1e-3


def create_fleet(rate: float = RATE, burst: float = BURST) -> Fleet:
    """Returns a fleet with one workspace whose hosts hold their leases."""
    fleet = Fleet(NAMES, (WorkspaceRate('w', rate, burst),), seed=1)
    fleet.network.run(12)
    return fleet


def flood(fleet: Fleet, until_s: float, names: tuple[str, ...] = NAMES) -> None:
    """Sends requests far above the rate until a time."""
    while fleet.now_s < until_s:
        for name in names:
            fleet.request(name, 'w', 0.1)
        fleet.wait(0.02)


def count_admitted(fleet: Fleet) -> int:
    """Returns how many requests were admitted so far."""
    answers = fleet.record.answers.values()
    return sum(answer.admitted for answer in answers)


def find_holders(fleet: Fleet) -> dict[str, LeaseHolder]:
    """Returns the entries of the lease row that host a knows."""
    state = fleet.hosts['a'].state
    return state['leases']['holders']


class RatesMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; no interval may admit over burst + rate * length."""

    def __init__(self) -> None:
        """Starts a fleet whose hosts hold their leases."""
        super().__init__()
        self.fleet = create_fleet()

    @stateful.rule(
        name=st.sampled_from(NAMES),
        count=st.integers(1, 20),
        budget_s=st.sampled_from((0, 0.1, 1.0)),
    )
    def request(self, name: str, count: int, budget_s: float) -> None:
        """Sends several requests to one host at the same time."""
        for _ in range(count):
            self.fleet.request(name, 'w', budget_s)

    @stateful.rule(wait_s=st.sampled_from((0.001, 0.01, 0.06, 0.5, 4, 11)))
    def wait(self, wait_s: float) -> None:
        """Lets time pass."""
        self.fleet.wait(wait_s)

    @stateful.rule(wait_s=st.sampled_from((0.5, 3, 12)))
    def overload(self, wait_s: float) -> None:
        """Keeps every bucket empty for a time."""
        flood(self.fleet, self.fleet.now_s + wait_s)

    @stateful.rule(name=st.sampled_from(NAMES))
    def pause_or_resume(self, name: str) -> None:
        """Pauses a host, which does not notice it, or resumes it."""
        host = self.fleet.hosts[name]
        if host.paused:
            self.fleet.resume(name)
        else:
            host.paused = True

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Kills a host and restarts it at once."""
        self.fleet.stop(name)
        self.fleet.start(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def leave(self, name: str) -> None:
        """Makes a host release its units."""
        self.fleet.handle(self.fleet.hosts[name], LeaveRates())

    @stateful.rule(
        name=st.sampled_from(NAMES),
        other=st.sampled_from((*NAMES, STORE)),
    )
    def toggle_partition(self, name: str, other: str) -> None:
        """Separates two hosts, or a host and the table, or connects them."""
        self.fleet.network.partitions ^= {frozenset((name, other))}

    @stateful.rule()
    def toggle_store_partition(self) -> None:
        """Toggles the partition between the table and each host."""
        self.fleet.network.partitions ^= {
            frozenset((name, STORE)) for name in NAMES
        }

    @stateful.rule(
        lost=st.sampled_from((0, 0.3)),
        repeated=st.sampled_from((0, 0.3)),
        late_s=st.sampled_from((0, 0.1, 15.0)),
        answers_lost=st.sampled_from((0, 0.5)),
    )
    def set_faults(
        self,
        lost: float,
        repeated: float,
        late_s: float,
        answers_lost: float,
    ) -> None:
        """Sets how the links drop, repeat and delay messages."""
        self.fleet.network.faults = Faults(lost, repeated, late_s, answers_lost)

    @stateful.invariant()
    def rate_is_not_exceeded(self) -> None:
        """R7: checks all intervals so far."""
        oracle = self.fleet.record.oracles['w']
        assert oracle.lowest >= -SLACK


RatesMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
)
TestRatesMachine = RatesMachine.TestCase


def test_burst_on_one_host_is_admitted() -> None:
    """Guards against refusing a burst whose tokens are on other hosts."""
    fleet = create_fleet()
    for _ in range(int(BURST)):
        fleet.request('a', 'w', 1)
    fleet.wait(0.6)
    assert count_admitted(fleet) == BURST


@pytest.mark.parametrize('burst', (1, 2, 4))
def test_burst_below_one_token_per_host_is_admitted(burst: int) -> None:
    """Guards against shares that are too small to hold a whole token."""
    fleet = create_fleet(rate=1, burst=burst)
    for name in NAMES[:burst]:
        fleet.request(name, 'w', 1)
    fleet.wait(0.6)
    assert count_admitted(fleet) == burst


def test_lease_survives_store_outage() -> None:
    """Guards against losing the leased half although all holders promise."""
    fleet = create_fleet()
    fleet.network.partitions = {frozenset((name, STORE)) for name in NAMES}
    fleet.network.run(60)
    before = count_admitted(fleet)
    flood(fleet, 70)
    assert count_admitted(fleet) - before >= RATE * 9


def test_lease_ends_without_a_promise() -> None:
    """Guards against extending a lease that one holder did not promise."""
    fleet = create_fleet()
    fleet.network.partitions = {frozenset((name, STORE)) for name in NAMES}
    fleet.hosts['d'].paused = True
    fleet.network.run(40)
    before = count_admitted(fleet)
    flood(fleet, 50, NAMES[:3])
    guaranteed_rate = RATE * 3 / 8
    assert count_admitted(fleet) - before <= guaranteed_rate * 10 + BURST / 2


def test_units_of_dead_host_are_reclaimed() -> None:
    """Guards against units that remain with a dead host."""
    fleet = create_fleet()
    fleet.stop('d')
    fleet.network.run(35)
    holders = find_holders(fleet)
    total = sum(
        unit.units for entry in holders.values() for unit in entry.units
    )
    assert set(holders) == set(NAMES[:3])
    assert total == 64


def test_leaving_host_releases_units() -> None:
    """Guards against units that stay leased after a shutdown."""
    fleet = create_fleet()
    fleet.handle(fleet.hosts['d'], LeaveRates())
    fleet.wait(4)
    assert set(find_holders(fleet)) == set(NAMES[:3])


def test_leaving_lender_releases_units() -> None:
    """Guards against units that are not released once withheld room expires."""
    fleet = create_fleet()
    lender = fleet.hosts['d']
    bucket = lender.state['buckets']['w']
    fleet.handle(lender, LeaveRates())
    hold = buckets.Hold(0, fleet.now_s + lender.offset_s + 0.06)
    bucket['withheld'].append(hold)
    fleet.wait(4)
    assert set(find_holders(fleet)) == set(NAMES[:3])


def test_lowered_rate_is_not_exceeded() -> None:
    """Guards against tokens of the old burst after the change is in force."""
    fleet = create_fleet()
    fleet.settings = RateSettings(2, NAMES, (WorkspaceRate('w', 2, 3),), 60)
    for name in NAMES:
        flood(fleet, fleet.now_s + 0.2)
        fleet.handle(fleet.hosts[name], fleet.settings)
    # Tokens in transit when the last host switched expire within this time.
    fleet.wait(borrowing.WITHHOLD_S)
    before = count_admitted(fleet)
    flood(fleet, fleet.now_s + 5)
    assert count_admitted(fleet) - before <= 3 + 2 * 5


def test_rate_is_not_exceeded_while_hosts_change() -> None:
    """Guards against guaranteed parts that grow before all hosts switched."""
    fleet = create_fleet()
    limit = (WorkspaceRate('w', RATE, BURST),)
    for version, hosts in enumerate((NAMES[:2], NAMES, NAMES[1:]), 2):
        fleet.settings = RateSettings(version, hosts, limit, 0)
        for name in NAMES:
            fleet.handle(fleet.hosts[name], fleet.settings)
            flood(fleet, fleet.now_s + 3)
        fleet.wait(10)
        flood(fleet, fleet.now_s + 5)
    assert fleet.record.oracles['w'].lowest >= -SLACK


def test_several_groups_share_the_rate() -> None:
    """Guards against groups that exceed the rate or keep their tokens."""
    names = tuple(f'host{place}' for place in range(20))
    fleet = Fleet(names, (WorkspaceRate('w', RATE, BURST),), seed=1)
    fleet.wait(20)
    assert len(fleet.table.rows) == 2
    for _ in range(int(BURST)):
        fleet.request(names[3], 'w', 1)
    fleet.wait(0.6)
    assert count_admitted(fleet) == BURST
    flood(fleet, fleet.now_s + 4, names)
    assert fleet.record.oracles['w'].lowest >= -SLACK


def test_oracle_detects_tokens_of_moved_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an oracle that misses tokens added by a larger share."""
    refill = buckets.refill

    def refill_full(bucket: buckets.Bucket, now_s: float) -> None:
        refill(bucket, now_s)
        grown = bucket['leased'] - leased_before.get(
            id(bucket), bucket['leased']
        )
        leased_before[id(bucket)] = bucket['leased']
        bucket['level'] += max(grown, 0) * bucket['burst']

    leased_before: dict[int, float] = {}
    monkeypatch.setattr(buckets, 'refill', refill_full)
    assert _run_moving_load() < -SLACK


def _run_moving_load() -> float:
    fleet = create_fleet(rate=1, burst=100)
    for turn in range(6):
        flood(fleet, fleet.now_s + 8, (NAMES[turn % 2],))
    return fleet.record.oracles['w'].lowest


def test_moving_load_does_not_exceed_the_rate() -> None:
    """Guards against an excess under the load of the oracle's own test."""
    assert _run_moving_load() >= -SLACK


def test_lease_counts_from_before_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting a lease from the answer to its commit.

    The second run injects this fault and must exceed the rate.
    """
    assert (
        _run_delayed_renewal(monkeypatch, counted_from_answer=False) >= -SLACK
    )
    assert _run_delayed_renewal(monkeypatch, counted_from_answer=True) < -SLACK


def _run_delayed_renewal(
    monkeypatch: pytest.MonkeyPatch,
    *,
    counted_from_answer: bool,
) -> float:
    """Delivers the answer to a renewal after the units were reclaimed."""
    adopt = leases.adopt_row

    def adopt_late(state: leases.Leases, row: Row, now_s: float) -> bool:
        state['sent'] = [sent._replace(sent_s=now_s) for sent in state['sent']]
        return adopt(state, row, now_s)

    fleet = create_fleet(rate=10, burst=100)
    if counted_from_answer:
        monkeypatch.setattr(leases, 'adopt_row', adopt_late)
    fleet.wait(40)
    host = fleet.hosts['a']
    version = _read_row_version(fleet)
    while _read_row_version(fleet) == version or not host.state['awaits_store']:
        version = _read_row_version(fleet)
        fleet.wait(0.0005)
    host.paused = True
    fleet.network.partitions = {
        frozenset(('a', name)) for name in (*NAMES, STORE)
    }
    fleet.wait(9.5)
    fleet.resume('a')
    fleet.wait(9)
    flood(fleet, fleet.now_s + 5)
    return fleet.record.oracles['w'].lowest


def _read_row_version(fleet: Fleet) -> int:
    return fleet.table.read('rates/leases/0').version


def test_borrower_reserves_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against accepting a grant without room reserved for it.

    The second run injects this fault and must exceed the rate.
    """
    assert _run_slow_borrowing() >= -SLACK
    refill = buckets.refill

    def refill_unlimited(bucket: buckets.Bucket, now_s: float) -> None:
        level = bucket['level']
        refill(bucket, now_s)
        bucket['level'] = max(level, bucket['level'])

    def add_whole_grant(
        bucket: buckets.Bucket, tokens: float, *_rest: float
    ) -> None:
        bucket['level'] += tokens

    monkeypatch.setattr(borrowing, 'get_reserved_room', lambda entry: 0)
    monkeypatch.setattr(buckets, 'add_grant', add_whole_grant)
    monkeypatch.setattr(buckets, 'refill', refill_unlimited)
    assert _run_slow_borrowing() < -SLACK


def _run_slow_borrowing() -> float:
    """Refills buckets while grants are in transit, then empties all of them."""
    fleet = create_fleet(rate=2000, burst=40)
    fleet.network.faults = Faults(late_s=0.04)
    for _ in range(20):
        for _ in range(12):
            fleet.request('a', 'w', 0)
        fleet.wait(0.045)
        for name in NAMES * 20:
            fleet.request(name, 'w', 0)
        fleet.wait(0.3)
    return fleet.record.oracles['w'].lowest
