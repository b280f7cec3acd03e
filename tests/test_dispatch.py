"""Guards the choice of the endpoint and the owner for a request."""

import json
from typing import Any

import pytest

from poplarspoke import dispatch, placement
from poplarspoke.generated.common import (
    DatabasePosition,
    ErrorCode,
    Outcome,
    Position,
    Tick,
)
from poplarspoke.generated.configuration import (
    SettingsInForce,
    SettingsSnapshot,
)
from poplarspoke.generated.dispatch import (
    EndpointObserved,
    LinkDown,
    PlanStatement,
    StatementPlan,
)
from poplarspoke.generated.drains import EndpointWeight, WeightsChanged
from poplarspoke.generated.failover import (
    CandidateRank,
    DrainingEndpoints,
    PrimaryAnnounced,
)
from poplarspoke.generated.membership import (
    EndpointView,
    EndpointViews,
    HostsChanged,
    HostStatus,
)
from poplarspoke.generated.requests import Repeat
from poplarspoke.tasks import Reply, ToTask

DATABASE = 'db'
ZONES = ('z1', 'z2', 'z3')
ENDPOINTS = ('m1', 'm2', 'm3')


def create_document(*out_of_service: str) -> dict[str, Any]:
    """Returns a settings document with one database."""
    return {
        'zones': {
            zone: {'in_service': zone not in out_of_service} for zone in ZONES
        },
        'databases': {
            DATABASE: {
                'slots': 2,
                'connections': 5,
                'endpoints': {
                    name: {
                        'zone': zone,
                        'address': '127.0.0.1:1',
                        'in_service': name not in out_of_service,
                    }
                    for name, zone in zip(ENDPOINTS, ZONES, strict=True)
                },
            },
        },
        'teams': {
            'team': {
                'workspaces': {
                    'w1': {
                        'rate': 1,
                        'burst': 1,
                        'routes': {
                            'write': {
                                'database': DATABASE,
                                'write': True,
                                'repeat': 'never',
                            },
                            'read': {
                                'database': DATABASE,
                                'write': False,
                                'repeat': 'safe',
                                'max_age_s': 2,
                            },
                        },
                    },
                },
            },
        },
    }


class Dispatcher:
    """A dispatcher on a clock that the test sets."""

    def __init__(self) -> None:
        """Starts with settings and views of three endpoints, m1 as primary."""
        self.state = placement.create_state('h1', 'z2', seed=1)
        self.now_s: float = 100
        self.set_document(1, create_document())
        for name in ENDPOINTS:
            self.observe(name, primary=name == 'm1')

    def send(self, message: Any) -> list[Any]:
        """Returns the messages that the dispatcher sends after a message."""
        return dispatch.decide(message, self.state, self.now_s)

    def set_document(self, version: int, document: Any) -> list[Any]:
        """Puts settings in force."""
        snapshot = SettingsSnapshot(
            version=version,
            document=json.dumps(document),
        )
        return self.send(SettingsInForce(snapshot=snapshot))

    def observe(self, name: str, **changes: Any) -> None:
        """Records a view of an endpoint, at position 5 of term 2."""
        view = EndpointView(
            endpoint=name,
            database=DATABASE,
            last=Position(2, 5),
            reachable=True,
        )
        self.send(EndpointObserved(view._replace(**changes)))

    def plan(self, route: str, **changes: Any) -> StatementPlan:
        """Returns the plan of a request."""
        request = PlanStatement(request_id='r', workspace='w1', route=route)
        answers = self.send(request._replace(**changes))
        assert len(answers) == 1
        assert isinstance(answers[0], Reply)
        plan: StatementPlan = answers[0].message
        return plan


@pytest.fixture
def dispatcher() -> Dispatcher:
    """A dispatcher with views of a primary and two replicas."""
    return Dispatcher()


def test_write_goes_to_primary_in_its_term(dispatcher: Dispatcher) -> None:
    """A write without its term would not be fenced (R2)."""
    plan = dispatcher.plan('write')
    assert plan.statement.endpoint == 'm1'
    assert plan.statement.term == 2
    assert plan.statement.confirm
    assert plan.statement.repeat is Repeat.NEVER


def test_read_goes_to_replica_of_own_zone(dispatcher: Dispatcher) -> None:
    """Reads on the primary would take its slots from writes."""
    plan = dispatcher.plan('read')
    assert plan.statement.endpoint == 'm2'
    assert plan.statement.replica
    assert not plan.statement.confirm


def test_begin_goes_to_primary(dispatcher: Dispatcher) -> None:
    """A transaction on a replica could not write."""
    plan = dispatcher.plan('read', transactional=True)
    assert plan.statement.endpoint == 'm1'


def test_session_ahead_of_replicas_waits(dispatcher: Dispatcher) -> None:
    """A read that does not see the session's write breaks R1."""
    ahead = (DatabasePosition(DATABASE, Position(2, 6)),)
    plan = dispatcher.plan('read', positions=ahead)
    assert not plan.choice.endpoint
    assert plan.choice.wait_s > 0
    dispatcher.observe('m1', primary=True, last=Position(2, 6))
    plan = dispatcher.plan('read', positions=ahead, waited_s=1)
    assert plan.statement.endpoint == 'm1'


def test_unknown_route_is_refused(dispatcher: Dispatcher) -> None:
    """A route of another workspace must not be used (R4)."""
    for route, workspace in (('other', 'w1'), ('read', 'w2')):
        plan = dispatcher.plan(route, workspace=workspace)
        assert plan.refused
        assert plan.refusal.code is ErrorCode.UNKNOWN_ROUTE
        assert plan.refusal.outcome is Outcome.NOT_RUN


def test_endpoint_out_of_service_gets_no_work(dispatcher: Dispatcher) -> None:
    """New work in a zone that is out of service breaks R8."""
    dispatcher.set_document(2, create_document('z2'))
    assert dispatcher.plan('read').statement.endpoint != 'm2'
    dispatcher.set_document(3, create_document('m1'))
    plan = dispatcher.plan('write')
    assert plan.refused
    assert plan.refusal.outcome is Outcome.NOT_RUN
    # Without these a lost write would be reported as a failed read (R10).
    assert plan.statement.write
    assert plan.statement.repeat is Repeat.NEVER


def test_older_settings_are_ignored(dispatcher: Dispatcher) -> None:
    """A return to older settings breaks R14."""
    dispatcher.set_document(3, create_document('z2'))
    assert not dispatcher.set_document(2, create_document())
    assert dispatcher.plan('read').statement.endpoint != 'm2'


def test_leaving_endpoint_gets_no_writes(dispatcher: Dispatcher) -> None:
    """A primary must leave an endpoint before the endpoint stops (R12)."""
    leaving = EndpointWeight('m1', DATABASE, 0, 'zone z1 leaves')
    outgoing = dispatcher.send(WeightsChanged((leaving,)))
    avoid = DrainingEndpoints(('m1',), 'zone z1 leaves', DATABASE)
    assert outgoing == [ToTask('daemon', avoid)]
    assert dispatcher.plan('write').refused


def test_higher_term_wins(dispatcher: Dispatcher) -> None:
    """A late announcement must not restore a superseded primary."""
    for term, primary in ((4, 'm3'), (3, 'm2')):
        dispatcher.send(
            PrimaryAnnounced(database=DATABASE, term=term, primary=primary),
        )
    plan = dispatcher.plan('write')
    assert (plan.statement.endpoint, plan.statement.term) == ('m3', 4)


def test_endpoint_with_old_view_gets_no_work(dispatcher: Dispatcher) -> None:
    """A statement for an endpoint without a recent view would time out."""
    dispatcher.now_s += placement.MAX_VIEW_AGE_S
    assert dispatcher.plan('read').refused
    assert dispatcher.plan('write').refused


def test_delayed_view_does_not_replace_newer(dispatcher: Dispatcher) -> None:
    """A delayed heartbeat must not lower a known position."""
    old = EndpointView(
        endpoint='m2',
        database=DATABASE,
        last=Position(1, 1),
        observed_ago_s=1,
        reachable=True,
    )
    dispatcher.send(EndpointViews((old,)))
    ahead = (DatabasePosition(DATABASE, Position(2, 5)),)
    plan = dispatcher.plan('read', positions=ahead)
    assert plan.statement.endpoint == 'm2'


def test_only_live_hosts_own_endpoints(dispatcher: Dispatcher) -> None:
    """A statement forwarded to a dead or leaving host is lost."""
    hosts = (
        HostStatus(host='h1', live=True),
        HostStatus(host='h2', live=False),
        HostStatus(host='h3', live=True, leaving=True),
    )
    dispatcher.send(HostsChanged(hosts))
    assert dispatcher.plan('write').owner == 'h1'
    more = (*hosts, HostStatus(host='h4', live=True))
    outgoing = dispatcher.send(HostsChanged(more))
    assert isinstance(outgoing[0].message, CandidateRank)
    assert outgoing[0].message.peers == ('h4',)


def test_owner_is_in_the_zone_of_its_endpoint(dispatcher: Dispatcher) -> None:
    """An isolated zone can reach its endpoints only from its own hosts."""
    hosts = tuple(
        HostStatus(host=f'h{number}', zone=f'z{number % 3 + 1}', live=True)
        for number in range(9)
    )
    dispatcher.send(HostsChanged(hosts))
    zones = {entry.host: entry.zone for entry in hosts}
    assert zones[dispatcher.plan('write').owner] == 'z1'


def test_broken_link_moves_the_owner_at_once(dispatcher: Dispatcher) -> None:
    """A dead owner must not block its endpoint until its host times out."""
    hosts = (
        HostStatus(host='h2', zone='z1', live=True),
        HostStatus(host='h3', zone='z1', live=True),
    )
    dispatcher.send(HostsChanged(hosts))
    owner = dispatcher.plan('write').owner
    dispatcher.send(LinkDown(owner))
    assert dispatcher.plan('write').owner in {'h2', 'h3'} - {owner}
    dispatcher.now_s += placement.LINK_BACKOFF_S
    dispatcher.send(Tick())
    assert dispatcher.plan('write').owner == owner


def test_own_observations_are_published_while_fresh(
    dispatcher: Dispatcher,
) -> None:
    """Views of other hosts would never expire if they were forwarded."""
    dispatcher.send(
        EndpointViews((EndpointView(endpoint='m9', database=DATABASE),)),
    )
    published = dispatcher.send(Tick())[0].message
    assert [view.endpoint for view in published.views] == list(ENDPOINTS)
    dispatcher.now_s += placement.MAX_VIEW_AGE_S
    assert not dispatcher.send(Tick())[0].message.views


def test_repeated_settings_resend_the_ranks(dispatcher: Dispatcher) -> None:
    """A failover task that starts late needs its rank, or it never acts."""
    leaving = EndpointWeight('m1', DATABASE, 0, 'zone z1 leaves')
    dispatcher.send(WeightsChanged((leaving,)))
    outgoing = dispatcher.set_document(1, create_document())
    assert [type(sent.message) for sent in outgoing] == [
        CandidateRank,
        DrainingEndpoints,
    ]
