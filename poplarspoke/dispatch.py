"""Decides where a caller's request runs.

It joins the settings in force, the observations of endpoints and the live
hosts, and turns a request into a statement with an endpoint and its owner.
"""

import functools
import json
import random
from typing import Any, NamedTuple, TypedDict

from poplarspoke import errors, routing, sessions
from poplarspoke.generated.common import ErrorCode, Position, Refusal, Tick
from poplarspoke.generated.configuration import (
    SettingsFreshness,
    SettingsInForce,
)
from poplarspoke.generated.dispatch import (
    EndpointObserved,
    PlanStatement,
    StatementPlan,
)
from poplarspoke.generated.drains import EndpointWeight, WeightsChanged
from poplarspoke.generated.failover import (
    AvoidEndpoints,
    CandidateRank,
    PrimaryAnnounced,
)
from poplarspoke.generated.membership import (
    EndpointView,
    EndpointViews,
    HostsChanged,
)
from poplarspoke.generated.requests import Repeat, Statement
from poplarspoke.generated.routing import (
    Candidate,
    RouteChoice,
    RouteQuery,
    RouteReason,
)
from poplarspoke.generated.sessions import Session
from poplarspoke.generated.settings import Document, Route
from poplarspoke.tasks import Outgoing, Reply, ToTask

FAILOVER_TASK = 'failover'
MEMBERSHIP_TASK = 'membership'
# A view that nobody renewed for this long no longer shows a reachable endpoint.
VIEW_VALID_S = 3.0
REPLICA_REASONS = frozenset(
    (RouteReason.OWN_ZONE_REPLICA, RouteReason.OTHER_ZONE_REPLICA),
)
REPEATS = {
    'safe': Repeat.SAFE,
    'recorded': Repeat.RECORDED,
    'never': Repeat.NEVER,
}


class RouteName(NamedTuple):
    """Name of a route inside its workspace."""

    workspace: str
    route: str


class Observation(NamedTuple):
    """A view of an endpoint with the time at which it was true."""

    view: EndpointView
    at_s: float


class Place(NamedTuple):
    """Where the settings place an endpoint."""

    database: str
    zone: str
    in_service: bool


class Primary(NamedTuple):
    """Primary of a database in its term."""

    term: int
    endpoint: str


class DispatchState(TypedDict):
    """State of the dispatcher of one daemon.

    Attributes:
        host: Name of this host.
        zone: Zone of this host.
        version: Settings version in force.
        routes: Routes of all workspaces.
        places: Endpoints of the settings.
        observations: Latest view of each endpoint.
        observed: Endpoints that this host observes itself.
        primaries: Primary with the highest known term by database.
        weights: Share of new work of each endpoint.
        hosts: Live hosts, sorted.
        rng: Source of the draws for the ramp.
    """

    host: str
    zone: str
    version: int
    routes: dict[RouteName, Route]
    places: dict[str, Place]
    observations: dict[str, Observation]
    observed: set[str]
    primaries: dict[str, Primary]
    weights: dict[str, EndpointWeight]
    hosts: tuple[str, ...]
    rng: random.Random


def create_state(host: str, zone: str, *, seed: int) -> DispatchState:
    """Returns the state of a host that knows no settings yet."""
    return DispatchState(
        host=host,
        zone=zone,
        version=0,
        routes={},
        places={},
        observations={},
        observed=set(),
        primaries={},
        weights={},
        hosts=(host,),
        rng=random.Random(seed),
    )


@functools.singledispatch
def decide(message: Any, state: DispatchState, now_s: float) -> list[Outgoing]:
    """Handles one message; returns what is to be sent."""
    raise TypeError(f'{type(message).__name__} is no dispatch message')


@decide.register
def _(message: Tick, state: DispatchState, now_s: float) -> list[Outgoing]:
    views: list[EndpointView] = []
    for endpoint in sorted(state['observed']):
        known = state['observations'][endpoint]
        observed_ago_s = now_s - known.at_s
        if observed_ago_s >= VIEW_VALID_S:
            state['observed'].discard(endpoint)
            continue
        views.append(known.view._replace(observed_ago_s=observed_ago_s))
    return [ToTask(MEMBERSHIP_TASK, EndpointViews(tuple(views)))]


@decide.register
def _(
    message: SettingsFreshness,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    return []


@decide.register
def _(
    message: SettingsInForce,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    if message.snapshot.version < state['version']:
        return []
    document: Document = json.loads(message.snapshot.document)
    state['version'] = message.snapshot.version
    state['routes'] = list_routes(document)
    state['places'] = list_places(document)
    return [*_rank(state), *_avoid(state)]


@decide.register
def _(
    message: EndpointObserved,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    _observe(message.view, state, now_s)
    state['observed'].add(message.view.endpoint)
    return []


@decide.register
def _(
    message: EndpointViews,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    for view in message.views:
        _observe(view, state, now_s)
    return []


@decide.register
def _(
    message: PrimaryAnnounced,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    announced = Primary(message.term, message.primary)
    known = state['primaries'].get(message.database, announced)
    state['primaries'][message.database] = max(known, announced)
    return []


@decide.register
def _(
    message: HostsChanged,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    live = [
        entry.host
        for entry in message.hosts
        if entry.live and not entry.leaving
    ]
    hosts = tuple(sorted({*live, state['host']}))
    if hosts == state['hosts']:
        return []
    state['hosts'] = hosts
    return _rank(state)


@decide.register
def _(
    message: WeightsChanged,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    state['weights'] = {entry.endpoint: entry for entry in message.weights}
    return _avoid(state)


@decide.register
def _(
    message: PlanStatement,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    route = state['routes'].get(RouteName(message.workspace, message.route))
    if route is None:
        refusal = errors.refuse(
            ErrorCode.UNKNOWN_ROUTE,
            f'workspace {message.workspace!r} has no route {message.route!r}',
        )
        return [_refuse(message, state, refusal)]
    return [_plan(message, route, state, now_s)]


def list_routes(document: Document) -> dict[RouteName, Route]:
    """Returns the routes of all workspaces of all teams."""
    routes: dict[RouteName, Route] = {}
    for team in document['teams'].values():
        for name, workspace in team.get('workspaces', {}).items():
            for route, definition in workspace.get('routes', {}).items():
                routes[RouteName(name, route)] = definition
    return routes


def list_places(document: Document) -> dict[str, Place]:
    """Returns the endpoints of all databases."""
    places: dict[str, Place] = {}
    zones = document.get('zones', {})
    for name, database in document.get('databases', {}).items():
        for endpoint, settings in database['endpoints'].items():
            zone = settings['zone']
            in_service = settings['in_service'] and zones[zone]['in_service']
            places[endpoint] = Place(name, zone, in_service)
    return places


def find_primary(state: DispatchState, database: str) -> Primary:
    """Returns the primary with the highest known term, empty if unknown."""
    found = state['primaries'].get(database, Primary(0, ''))
    for observation in state['observations'].values():
        view = observation.view
        if not view.primary or view.database != database:
            continue
        found = max(found, Primary(view.last.term, view.endpoint))
    return found


def _observe(view: EndpointView, state: DispatchState, now_s: float) -> None:
    """Keeps a view unless a later one is known."""
    at_s = now_s - view.observed_ago_s
    known = state['observations'].get(view.endpoint)
    if known is None or at_s > known.at_s:
        state['observations'][view.endpoint] = Observation(view, at_s)


def _rank(state: DispatchState) -> list[Outgoing]:
    """Tells each failover task the rank of this host for its database."""
    outgoing: list[Outgoing] = []
    peers = tuple(name for name in state['hosts'] if name != state['host'])
    for database in sorted(
        {place.database for place in state['places'].values()}
    ):
        ranked = routing.rank_hosts(database, state['hosts'])
        rank = CandidateRank(ranked.index(state['host']), peers)
        outgoing.append(ToTask(f'{FAILOVER_TASK}:{database}', rank))
    return outgoing


def _avoid(state: DispatchState) -> list[Outgoing]:
    """Tells each failover task which endpoints must not keep a primary."""
    avoided: dict[str, AvoidEndpoints] = {}
    for entry in state['weights'].values():
        known = avoided.setdefault(entry.database, AvoidEndpoints())
        if entry.weight > 0:
            continue
        avoided[entry.database] = AvoidEndpoints(
            (*known.endpoints, entry.endpoint),
            entry.reason,
        )
    return [
        ToTask(f'{FAILOVER_TASK}:{database}', message)
        for database, message in avoided.items()
    ]


def _plan(
    message: PlanStatement,
    route: Route,
    state: DispatchState,
    now_s: float,
) -> Reply:
    query = _build_query(message, route, state)
    candidates = _list_candidates(route['database'], state, now_s)
    choice = routing.choose(query, candidates)
    if not choice.endpoint and not choice.wait_s:
        refusal = errors.refuse(
            ErrorCode.NO_ENDPOINT,
            f'no endpoint of {route["database"]} can serve the route: '
            f'{_explain(choice)}',
        )
        return _refuse(message, state, refusal, choice)
    statement = Statement(
        request_id=message.request_id,
        workspace=message.workspace,
        route=message.route,
        database=route['database'],
        write=query.write,
        repeat=REPEATS[route['repeat']],
        minimum=query.required,
        max_age_s=query.max_age_s,
        endpoint=choice.endpoint,
        term=find_primary(state, route['database']).term,
        confirm=choice.confirm or query.write,
        replica=choice.reason in REPLICA_REASONS,
    )
    plan = StatementPlan(
        statement=statement,
        owner=routing.find_owner(choice.endpoint, state['hosts']),
        choice=choice,
        settings_version=state['version'],
    )
    return Reply(message.request_id, plan)


def _build_query(
    message: PlanStatement,
    route: Route,
    state: DispatchState,
) -> RouteQuery:
    session = Session(message.positions, message.overflowed)
    database = route['database']
    max_age_s = sessions.limit_age(
        session,
        database,
        route.get('max_age_s', 0),
    )
    return RouteQuery(
        write=route['write'] or message.transactional,
        max_age_s=max_age_s,
        required=sessions.find_position(message.positions, database),
        zone=state['zone'],
        waited_s=message.waited_s,
        draw=state['rng'].random(),
    )


def _list_candidates(
    database: str,
    state: DispatchState,
    now_s: float,
) -> tuple[Candidate, ...]:
    primary = find_primary(state, database)
    candidates: list[Candidate] = []
    for endpoint, place in sorted(state['places'].items()):
        if place.database != database:
            continue
        view = _find_view(endpoint, primary, state, now_s)
        full = EndpointWeight(endpoint, place.database, 1)
        weight = state['weights'].get(endpoint, full).weight
        candidates.append(
            Candidate(
                view=view,
                zone=place.zone,
                in_service=weight > 0 and place.in_service,
                returned_ago_s=routing.invert_ramp(weight),
            ),
        )
    return tuple(candidates)


def _find_view(
    endpoint: str,
    primary: Primary,
    state: DispatchState,
    now_s: float,
) -> EndpointView:
    """Returns the latest view, with its age and the known primary."""
    nothing = Observation(EndpointView(endpoint=endpoint), now_s)
    known = state['observations'].get(endpoint, nothing)
    observed_ago_s = now_s - known.at_s
    is_valid = observed_ago_s < VIEW_VALID_S
    view = known.view._replace(
        observed_ago_s=observed_ago_s,
        reachable=known.view.reachable and is_valid,
        primary=endpoint == primary.endpoint,
    )
    if view.primary and view.last.term < primary.term:
        return view._replace(last=Position(primary.term, view.last.position))
    return view


def _explain(choice: RouteChoice) -> str:
    reasons = [
        f'{entry.endpoint} {entry.reason.name.lower()}'
        for entry in choice.passed
    ]
    return ', '.join(reasons) or 'no endpoint is known'


def _refuse(
    message: PlanStatement,
    state: DispatchState,
    refusal: Refusal,
    choice: RouteChoice | None = None,
) -> Reply:
    return Reply(
        message.request_id,
        StatementPlan(
            choice=choice or RouteChoice(),
            settings_version=state['version'],
            refused=True,
            refusal=refusal,
        ),
    )
