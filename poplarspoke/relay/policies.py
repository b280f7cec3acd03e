"""Features that a deployment's configuration and settings ask for."""

from poplarspoke.relay.state import RelayState

URGENT_PRIORITY = 0


def has_urgent_routes(state: RelayState, service: str) -> bool:
    """Returns whether some routes of a service are more urgent than others.

    They have the highest priority. It is also the default of a configuration that
    states none, so that routes that all have it are not urgent.
    """
    return service in _list_urgent_services(state)


def spans_regions(state: RelayState) -> bool:
    """Returns whether the zones of the deployment lie in several regions."""
    zones = state['settings'].zone_regions
    return len({known.region for known in zones}) > 1


def shares_load(state: RelayState, service: str) -> bool:
    """Returns whether hosts share what they know of the endpoints' load."""
    return spans_regions(state) or has_urgent_routes(state, service)


def list_sharing_services(state: RelayState) -> set[str]:
    """Returns the services for which ``shares_load`` holds."""
    if spans_regions(state):
        return {route.service for route in state['rules'].routes}
    return _list_urgent_services(state)


def _list_urgent_services(state: RelayState) -> set[str]:
    urgent: set[str] = set()
    others: set[str] = set()
    for route in state['rules'].routes:
        is_urgent = route.priority == URGENT_PRIORITY
        found = urgent if is_urgent else others
        found.add(route.service)
    return urgent & others
