"""What the dispatcher knows: settings, endpoints, live hosts and owners."""

import random
from typing import NamedTuple, TypedDict

from poplarspoke import routing
from poplarspoke.generated.drains import EndpointWeight
from poplarspoke.generated.membership import (
    EndpointView,
)
from poplarspoke.generated.settings import Document, Route

# The membership notices a dead host after 5 s; a broken link shows at once.
LINK_AVOIDED_S = 1.0
# A view that nobody renewed for this long no longer shows a reachable endpoint.
VIEW_VALID_S = 3.0


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
        endpoints: Names of the endpoints of each database, sorted.
        observations: Latest view of each endpoint.
        seen: Names of the endpoints with a view, by database.
        observed: Endpoints that this host observes itself.
        primaries: Primary with the highest known term by database.
        weights: Share of new work of each endpoint.
        hosts: Live hosts, sorted.
        zones: Zone of each live host.
        avoided_until_s: Hosts whose link is down, with the end of that.
        owners: Owners found since the hosts changed, by endpoint.
        ranks: Rank of this host for each database.
        rng: Source of the draws for the ramp.
    """

    host: str
    zone: str
    version: int
    routes: dict[RouteName, Route]
    places: dict[str, Place]
    endpoints: dict[str, list[str]]
    observations: dict[str, Observation]
    seen: dict[str, set[str]]
    observed: set[str]
    primaries: dict[str, Primary]
    weights: dict[str, EndpointWeight]
    hosts: tuple[str, ...]
    zones: dict[str, str]
    avoided_until_s: dict[str, float]
    owners: dict[str, str]
    ranks: dict[str, int]
    rng: random.Random


def create_state(host: str, zone: str, *, seed: int) -> DispatchState:
    """Returns the state of a host that knows no settings yet."""
    return DispatchState(
        host=host,
        zone=zone,
        version=0,
        routes={},
        places={},
        endpoints={},
        observations={},
        seen={},
        observed=set(),
        primaries={},
        weights={},
        hosts=(host,),
        zones={},
        avoided_until_s={},
        owners={},
        ranks={},
        rng=random.Random(seed),
    )


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
    for endpoint in state['seen'].get(database, ()):
        view = state['observations'][endpoint].view
        if not view.primary:
            continue
        found = max(found, Primary(view.last.term, view.endpoint))
    return found


def observe(view: EndpointView, state: DispatchState, now_s: float) -> None:
    """Keeps a view unless a later one is known."""
    at_s = now_s - view.observed_ago_s
    known = state['observations'].get(view.endpoint)
    if known is not None and at_s <= known.at_s:
        return
    if known is not None:
        state['seen'][known.view.database].discard(view.endpoint)
    state['observations'][view.endpoint] = Observation(view, at_s)
    state['seen'].setdefault(view.database, set()).add(view.endpoint)


def list_endpoints(places: dict[str, Place]) -> dict[str, list[str]]:
    endpoints: dict[str, list[str]] = {}
    for endpoint in sorted(places):
        endpoints.setdefault(places[endpoint].database, []).append(endpoint)
    return endpoints


def find_owner(endpoint: str, state: DispatchState) -> str:
    owner = state['owners'].get(endpoint)
    if owner is None:
        owner = routing.find_owner(endpoint, _list_owners(endpoint, state))
        state['owners'][endpoint] = owner
    return owner


def forget_avoided(state: DispatchState, now_s: float) -> None:
    """Lets hosts own endpoints again whose link was down a while ago."""
    for host, until_s in list(state['avoided_until_s'].items()):
        if now_s >= until_s:
            state['avoided_until_s'].pop(host)
            state['owners'].clear()


def _list_owners(endpoint: str, state: DispatchState) -> list[str]:
    """Returns the hosts that may own an endpoint, if possible of its zone.

    An owner in the zone of its endpoint saves a way between zones, and a zone
    that is cut off still reaches its own endpoints.
    """
    linked = [
        host for host in state['hosts'] if host not in state['avoided_until_s']
    ]
    place = state['places'].get(endpoint)
    near = [
        host
        for host in linked
        if place is not None and state['zones'].get(host) == place.zone
    ]
    return near or linked
