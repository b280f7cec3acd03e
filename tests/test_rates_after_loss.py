"""Load pattern: hosts fail or are partitioned, and callers keep to their rate.

Statements within the rate must not be refused. After a power failure all hosts
restart with empty buckets; in a partition most owners of a rate may be in the
isolated zone.
"""

import pytest

from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.relay import quotas
from poplarspoke.tasks import ToHost
from tests.relay_simulation import RelaySimulation, find_messages

HOSTS = 62
RATE = 20
SLACK = 20


def create_started_owners(slack: float) -> list[RelaySimulation]:
    """Returns one relay for each owner of the workspace, just started."""
    simulation = RelaySimulation(rate=RATE, hosts=HOSTS, slack=slack)
    return [
        RelaySimulation(rate=RATE, hosts=HOSTS, slack=slack, name=name)
        for name in quotas.list_owners(simulation.state, 'blue')
    ]


def test_started_owners_have_whole_tokens() -> None:
    """A small workspace was refused until each owner had refilled a token."""
    for owner in create_started_owners(SLACK):
        assert owner.start_tokens >= 1


@pytest.mark.parametrize('slack', [0, SLACK])
def test_start_spends_no_more_than_the_slack(slack: float) -> None:
    """The earlier processes may have spent rate and burst already."""
    owners = create_started_owners(slack)
    assert sum(owner.start_tokens for owner in owners) <= slack


def test_unresponsive_owner_is_skipped() -> None:
    """In a partition, requests for tokens to the isolated zone were lost.

    Statements were refused although reachable owners had tokens.
    """
    simulation = RelaySimulation(rate=RATE, hosts=4)
    requested_hosts: list[str] = []
    lost_host = ''
    for session in range(1, 30):
        simulation.empty_bucket()
        simulation.start_session(session, 'primary')
        for entry in find_messages(
            [*simulation.send_write(session), *simulation.advance(0.025)],
            ToHost,
        ):
            if not isinstance(entry.message, BorrowTokens):
                continue
            lost_host = lost_host or entry.host
            requested_hosts.append(entry.host)
            if entry.host == lost_host:
                continue
            grant = LendTokens(
                entry.host, entry.message.borrow_id, 'blue', 0, 1
            )
            simulation.post(grant)
    assert len(requested_hosts) > 20
    # It may be requested_hosts twice before OWNER_TIMEOUT_S has passed.
    assert requested_hosts.count(lost_host) <= 2
