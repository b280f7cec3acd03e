"""Tests the rate lease of one host against rows of the table."""

from poplarspoke import leases
from poplarspoke.generated.platform import Commit, Row
from poplarspoke.generated.rates import LeasePromised, PromiseLease
from poplarspoke.leases import Leases

LEASE_KEY = 'rates/leases/0'
NO_LOCKED_WORKSPACES: frozenset[str] = frozenset()


def commit(state: Leases, demand: float, now_s: float) -> Commit:
    """Returns the next commit of a host."""
    return leases.plan_commit(state, {'w': demand}, NO_LOCKED_WORKSPACES, now_s)


def apply(message: Commit) -> Row:
    """Returns the row after a commit."""
    version = message.conditions[0].version + 1
    return Row(LEASE_KEY, version, message.writes[0].content)


def join(row: Row, *states: Leases, demand: float, now_s: float) -> Row:
    """Adds hosts to the row one after another; returns the last row."""
    for state in states:
        leases.adopt_row(state, row, now_s)
        row = apply(commit(state, demand, now_s))
        leases.adopt_row(state, row, now_s)
    return row


def create_holders() -> tuple[Leases, Leases, Row]:
    """Returns the states of two holders, and the row that both have adopted."""
    first = leases.create_leases(LEASE_KEY, 'a', 1)
    second = leases.create_leases(LEASE_KEY, 'b', 2)
    row = join(Row(LEASE_KEY), first, second, first, demand=9, now_s=100)
    row = join(row, second, demand=9, now_s=100)
    leases.adopt_row(first, row, 100)
    return first, second, row


def test_units_of_unanswered_release_are_unusable() -> None:
    """Guards against spending units that a lost commit may have released."""
    first, _, _ = create_holders()
    held = leases.count_usable_units(first, 'w')
    commit(first, 0, 103)
    assert leases.count_usable_units(first, 'w') < held


def test_units_of_unanswered_claim_are_unusable() -> None:
    """Guards against spending units whose commit may have failed."""
    first, _, _ = create_holders()
    held = leases.count_usable_units(first, 'w')
    commit(first, 900, 103)
    assert leases.count_usable_units(first, 'w') <= held


def test_renewal_with_lost_answer_counts() -> None:
    """Guards against ignoring a renewal whose answer was lost."""
    first, _, _ = create_holders()
    row = apply(commit(first, 9, 104))
    leases.adopt_row(first, row, 109)
    assert first['lease_until_s'] == 104 + leases.LEASE_S


def test_old_row_is_ignored() -> None:
    """Guards against a late answer that reverts the state."""
    first, _, row = create_holders()
    older = row._replace(version=row.version - 1, content='')
    assert not leases.adopt_row(first, older, 101)
    assert leases.count_usable_units(first, 'w') > 0


def test_malformed_row_is_ignored() -> None:
    """Guards against a task that stops at a row of another format."""
    first, _, row = create_holders()
    broken = row._replace(version=row.version + 1, content='[')
    assert not leases.adopt_row(first, broken, 101)


def test_promise_forbids_reclaim() -> None:
    """Guards against reclaiming units whose renewal was promised."""
    first, second, _ = create_holders()
    request = PromiseLease('b', 1, second['incarnation'])
    assert leases.give_promise(first, request, 109).promised
    assert set(_list_hosts(first, commit(first, 9, 112))) == {'a', 'b'}
    assert set(_list_hosts(first, commit(first, 9, 120))) == {'a'}


def test_no_promise_after_unanswered_reclaim() -> None:
    """Guards against a promise while a commit may still reclaim the units."""
    first, second, _ = create_holders()
    commit(first, 9, 111)
    request = PromiseLease('b', 1, second['incarnation'])
    assert not leases.give_promise(first, request, 112).promised


def test_newcomer_waits_for_promises() -> None:
    """Guards against a reclaim by a host that the holder did not know."""
    _, _, row = create_holders()
    third = leases.create_leases(LEASE_KEY, 'c', 3)
    join(row, third, demand=9, now_s=105)
    hosts = _list_hosts(third, commit(third, 9, 130))
    assert set(hosts) == {'a', 'b', 'c'}
    late_s = 105 + leases.NEWCOMER_RECLAIM_DELAY_S + 1
    assert set(_list_hosts(third, commit(third, 9, late_s))) == {'c'}


def test_restarted_host_is_a_newcomer() -> None:
    """Guards against a reclaim by a host whose restart lost its promise."""
    _, _, row = create_holders()
    again = leases.create_leases(LEASE_KEY, 'a', 7)
    join(row, again, demand=9, now_s=105)
    assert set(_list_hosts(again, commit(again, 9, 130))) == {'a', 'b'}


def test_promise_of_other_incarnation_is_ignored() -> None:
    """Guards against a promise by a process that is not in the row."""
    first, _, _ = create_holders()
    until_s = first['lease_until_s']
    assert leases.start_promise_round(first, 5, 108) == ['b']
    leases.record_promise(first, LeasePromised('b', 5, 99, 1, promised=True))
    assert first['lease_until_s'] == until_s
    leases.record_promise(first, LeasePromised('b', 5, 2, 1, promised=True))
    assert first['lease_until_s'] == 108 + leases.LEASE_S


def test_promises_end() -> None:
    """Guards against promises that extend a lease beyond a newcomer's wait."""
    first, _, _ = create_holders()
    assert not leases.start_promise_round(
        first, 5, 100 + leases.MAX_PROMISED_EXTENSION_S
    )


def _list_hosts(state: Leases, message: Commit) -> list[str]:
    """Returns the hosts in the row that a commit writes."""
    probe = leases.create_leases(LEASE_KEY, state['host'], 0)
    leases.adopt_row(probe, apply(message), 0)
    return list(probe['holders'])
