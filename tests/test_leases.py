"""Tests of the leases of one host against rows of the table."""

from poplarspoke import leases
from poplarspoke.generated.platform import Commit, Row
from poplarspoke.generated.rates import LeasePromised, PromiseLease
from poplarspoke.leases import Leases

LEASE_KEY = 'rates/leases/0'
NO_BOUND: frozenset[str] = frozenset()


def commit(state: Leases, demand: float, now_s: float) -> Commit:
    """Returns the next commit of a host."""
    return leases.plan_commit(state, {'w': demand}, NO_BOUND, now_s)


def apply(message: Commit) -> Row:
    """Returns the row that a commit leaves behind."""
    version = message.conditions[0].version + 1
    return Row(LEASE_KEY, version, message.writes[0].content)


def join(row: Row, *states: Leases, demand: float, now_s: float) -> Row:
    """Lets hosts enter the row one after another; returns the last row."""
    for state in states:
        leases.adopt_row(state, row, now_s)
        row = apply(commit(state, demand, now_s))
        leases.adopt_row(state, row, now_s)
    return row


def pair() -> tuple[Leases, Leases, Row]:
    """Returns two holders that know the same row."""
    first = leases.create_leases(LEASE_KEY, 'a', 1)
    second = leases.create_leases(LEASE_KEY, 'b', 2)
    row = join(Row(LEASE_KEY), first, second, first, demand=9, now_s=100)
    row = join(row, second, demand=9, now_s=100)
    leases.adopt_row(first, row, 100)
    return first, second, row


def test_unanswered_release_counts() -> None:
    """Guards against spending units that a lost commit may have released."""
    first, _, _ = pair()
    held = leases.usable_units(first, 'w')
    commit(first, 0, 103)
    assert leases.usable_units(first, 'w') < held


def test_unanswered_claim_does_not_count() -> None:
    """Guards against spending units whose commit may have lost the race."""
    first, _, _ = pair()
    held = leases.usable_units(first, 'w')
    commit(first, 900, 103)
    assert leases.usable_units(first, 'w') <= held


def test_lost_answer_is_read_back() -> None:
    """Guards against losing a renewal whose answer was lost."""
    first, _, _ = pair()
    row = apply(commit(first, 9, 104))
    leases.adopt_row(first, row, 109)
    assert first['lease_until_s'] == 104 + leases.LEASE_S


def test_old_row_is_ignored() -> None:
    """Guards against a late answer that takes the state back."""
    first, _, row = pair()
    older = row._replace(version=row.version - 1, content='')
    assert not leases.adopt_row(first, older, 101)
    assert leases.usable_units(first, 'w') > 0


def test_malformed_row_is_ignored() -> None:
    """Guards against a task that ends on a row of another format."""
    first, _, row = pair()
    broken = row._replace(version=row.version + 1, content='[')
    assert not leases.adopt_row(first, broken, 101)


def test_promise_forbids_reclaim() -> None:
    """Guards against reclaiming units whose renewal was promised."""
    first, second, _ = pair()
    request = PromiseLease('b', 1, second['incarnation'])
    assert leases.give_promise(first, request, 109).promised
    assert set(_find_hosts(first, commit(first, 9, 112))) == {'a', 'b'}
    assert set(_find_hosts(first, commit(first, 9, 120))) == {'a'}


def test_no_promise_after_unanswered_reclaim() -> None:
    """Guards against a promise while a lost commit may reclaim the units."""
    first, second, _ = pair()
    commit(first, 9, 111)
    request = PromiseLease('b', 1, second['incarnation'])
    assert not leases.give_promise(first, request, 112).promised


def test_newcomer_waits_for_promises() -> None:
    """Guards against a reclaim by a host that the holder could not ask."""
    _, _, row = pair()
    third = leases.create_leases(LEASE_KEY, 'c', 3)
    join(row, third, demand=9, now_s=105)
    hosts = _find_hosts(third, commit(third, 9, 130))
    assert set(hosts) == {'a', 'b', 'c'}
    late_s = 105 + leases.NEWCOMER_RECLAIM_S + 1
    assert set(_find_hosts(third, commit(third, 9, late_s))) == {'c'}


def test_restarted_host_is_a_newcomer() -> None:
    """Guards against a restarted host that forgot its promise."""
    _, _, row = pair()
    again = leases.create_leases(LEASE_KEY, 'a', 7)
    join(row, again, demand=9, now_s=105)
    assert set(_find_hosts(again, commit(again, 9, 130))) == {'a', 'b'}


def test_promise_of_other_incarnation() -> None:
    """Guards against a promise by a process that is not in the row."""
    first, _, _ = pair()
    until_s = first['lease_until_s']
    assert leases.start_round(first, 5, 108) == ['b']
    leases.take_promise(first, LeasePromised('b', 5, 99, 1, promised=True))
    assert first['lease_until_s'] == until_s
    leases.take_promise(first, LeasePromised('b', 5, 2, 1, promised=True))
    assert first['lease_until_s'] == 108 + leases.LEASE_S


def test_promises_end() -> None:
    """Guards against promises that outlast the wait of a newcomer."""
    first, _, _ = pair()
    assert not leases.start_round(first, 5, 100 + leases.MAX_PROMISED_S)


def _find_hosts(state: Leases, message: Commit) -> list[str]:
    """Returns the hosts in the row that a commit writes."""
    probe = leases.create_leases(LEASE_KEY, state['host'], 0)
    leases.adopt_row(probe, apply(message), 0)
    return list(probe['holders'])
