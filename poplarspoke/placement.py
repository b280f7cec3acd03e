"""State of the dispatcher: settings, endpoints, live hosts and owners."""

import random
from typing import NamedTuple, TypedDict

from poplarspoke import routing
from poplarspoke.generated.drains import EndpointWeight
from poplarspoke.generated.membership import (
    EndpointView,
)
from poplarspoke.generated.settings import Document, Route

# Time for which a host whose link failed owns no endpoint. The membership
# detects a dead host only after 5 s, while a broken link is seen at once.
LINK_BACKOFF_S = 1.0
# An endpoint counts as unreachable if its view was not renewed for this long.
MAX_VIEW_AGE_S = 3.0


class RouteName(NamedTuple):
    """Name of a route with the name of its workspace."""

    workspace: str
    route: str


class Observation(NamedTuple):
    """A view of an endpoint and when it was observed.

    Attributes:
        view: Observed state of the endpoint.
        at_s: Time of the observation in seconds on the monotonic clock.
    """

    view: EndpointView
    at_s: float


class Place(NamedTuple):
    """Database and zone of an endpoint in the settings.

    Attributes:
        database: Name of the database.
        zone: Availability zone of the endpoint.
        in_service: Whether both the endpoint and its zone are in service.
    """

    database: str
    zone: str
    in_service: bool


class Primary(NamedTuple):
    """Primary of a database; a higher term compares as greater."""

    term: int
    endpoint: str


class DispatchState(TypedDict):
    """State of the dispatcher of one daemon.

    Attributes:
        host: Name of this host.
        zone: Zone of this host.
        version: Settings version in force.
        routes: Routes of all workspaces.
        places: Database and zone of each endpoint in the settings.
        endpoints: Names of the endpoints of each database, sorted.
        observations: Latest view of each endpoint.
        seen: Names of the endpoints that have a view, by database.
        observed: Endpoints that this host observes itself.
        primaries: Announced primary with the highest term, by database.
        weights: Weight in [0, 1] for new work, by endpoint.
        hosts: Live hosts, sorted, with this host.
        zones: Zone of each known host.
        avoided_until_s: End of the backoff in seconds on the monotonic clock,
            by host whose link failed.
        owners: Cache of the owners, by endpoint; cleared when hosts, links or
            settings change.
        ranks: Rank of this host as failover candidate, by database.
        rng: Random source of the ramp of returned endpoints.
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
    """Returns the state of a host before the first settings."""
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
    """Returns the database and zone of each endpoint, by endpoint."""
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


def record_view(view: EndpointView, state: DispatchState, now_s: float) -> None:
    """Records a view unless a later one is known."""
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
        owner = routing.find_owner(
            endpoint, _list_owner_candidates(endpoint, state)
        )
        state['owners'][endpoint] = owner
    return owner


def expire_avoided_hosts(state: DispatchState, now_s: float) -> None:
    """Ends the backoff of hosts whose link failed ``LINK_BACKOFF_S`` ago."""
    for host, until_s in list(state['avoided_until_s'].items()):
        if now_s >= until_s:
            state['avoided_until_s'].pop(host)
            state['owners'].clear()


def _list_owner_candidates(endpoint: str, state: DispatchState) -> list[str]:
    """Returns the hosts that may own an endpoint, if possible in its zone.

    An owner in the zone of its endpoint saves a hop between zones, and an
    isolated zone can still reach its own endpoints.
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
