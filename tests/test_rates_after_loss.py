"""Load pattern: hosts are lost or cut off, and callers stay within the rate.

Refusals below the rate are wrongful. All hosts start again with empty buckets
after a loss of power, or most owners of a rate are in a zone that is cut off.
"""

import pytest

from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.relay import quotas
from poplarspoke.tasks import ToHost
from tests.relay_world import RelayWorld, find

HOSTS = 62
RATE = 20
SLACK = 20


def list_started_owners(slack: float) -> list[RelayWorld]:
    """Returns the owners of the workspace, which have just started."""
    world = RelayWorld(rate=RATE, hosts=HOSTS, slack=slack)
    return [
        RelayWorld(rate=RATE, hosts=HOSTS, slack=slack, name=name)
        for name in quotas.list_owners(world.state, 'blue')
    ]


def test_started_owners_have_whole_tokens() -> None:
    """A small workspace was refused until each owner had earned a token."""
    for owner in list_started_owners(SLACK):
        assert owner.start_tokens >= 1


@pytest.mark.parametrize('slack', [0, SLACK])
def test_start_spends_no_more_than_the_slack(slack: float) -> None:
    """The earlier processes may have spent rate and burst already."""
    owners = list_started_owners(slack)
    assert sum(owner.start_tokens for owner in owners) <= slack


def test_owner_that_does_not_answer_is_left_out() -> None:
    """In a cut of a zone questions were lost until the statement gave up."""
    world = RelayWorld(rate=RATE, hosts=4)
    asked: list[str] = []
    lost = ''
    for session in range(1, 30):
        world.empty_bucket()
        world.start(session, 'primary')
        for entry in find([*world.write(session), *world.tick(0.025)], ToHost):
            if not isinstance(entry.message, BorrowTokens):
                continue
            lost = lost or entry.host
            asked.append(entry.host)
            if entry.host == lost:
                continue
            grant = LendTokens(
                entry.host, entry.message.borrow_id, 'blue', 0, 1
            )
            world.post(grant)
    assert len(asked) > 20
    # It may be asked twice before its silence shows.
    assert asked.count(lost) <= 2
