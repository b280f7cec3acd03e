"""Entries of a configuration that never match a request or serve none."""

from collections.abc import Iterator
from typing import NamedTuple

from poplarspoke.checks.findings import (
    Check,
    Deployment,
    Finding,
    FindingCode,
    create_finding,
)
from poplarspoke.generated.rules import RouteKind, Ruleset


class Overridden(NamedTuple):
    """Index of an entry, and of the last entry of the same name."""

    position: int
    last: int


def find_second_routes(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields routes whose database has a later route, which hosts use."""
    names = [route.database for route in ruleset.routes]
    for index, last in _list_overridden(names):
        yield create_finding(
            FindingCode.SECOND_ROUTE,
            ('routes', index, 'database'),
            f'database {names[index]} has another route at index {last}, '
            'which alone is used; remove one of the two',
        )


def find_second_services(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields services that are declared again.

    Hosts take the connections of the last one and the replicas of the first.
    """
    names = [service.name for service in ruleset.services]
    for index, last in _list_overridden(names):
        yield create_finding(
            FindingCode.SECOND_SERVICE,
            ('services', index, 'name'),
            f'service {names[index]} is declared again at index {last}, and '
            'hosts mix the two; remove one of them',
        )


def find_second_workspaces(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields workspaces that are declared again with another rate."""
    names = [workspace.name for workspace in ruleset.workspaces]
    for index, last in _list_overridden(names):
        yield create_finding(
            FindingCode.SECOND_WORKSPACE,
            ('workspaces', index, 'name'),
            f'workspace {names[index]} is declared again at index {last}, '
            'whose rate and burst alone are used; join the two',
        )


def find_unused_services(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields services without a route."""
    used = {route.service for route in ruleset.routes}
    for index, service in enumerate(ruleset.services):
        if service.name in used:
            continue
        yield create_finding(
            FindingCode.UNUSED_SERVICE,
            ('services', index, 'name'),
            f'service {service.name} has no route, so no request reaches it; '
            'add a route or remove the service',
        )


def find_unknown_services(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields routes to services that are not declared.

    Hosts open no connection for these, as their limit is not known.
    """
    declared = {service.name for service in ruleset.services}
    for index, route in enumerate(ruleset.routes):
        if route.service in declared:
            continue
        yield create_finding(
            FindingCode.UNKNOWN_SERVICE,
            ('routes', index, 'service'),
            f'database {route.database} is routed to {route.service}, which is '
            'no declared service; correct the name or declare the service',
        )


def find_repeated_keys(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields keys that are given twice, named by their workspaces.

    Hosts take a key that two workspaces share as one of the last.
    """
    owners = {
        key: workspace.name
        for workspace in ruleset.workspaces
        for key in workspace.keys
    }
    for index, workspace in enumerate(ruleset.workspaces):
        seen: set[str] = set()
        for position, key in enumerate(workspace.keys):
            place = ('workspaces', index, 'keys', position)
            if owners[key] != workspace.name:
                yield create_finding(
                    FindingCode.SHARED_KEY,
                    place,
                    f'a key of workspace {workspace.name} is also one of '
                    f'workspace {owners[key]}, which alone is served with it; '
                    'give each workspace keys of its own',
                )
            elif key in seen:
                yield create_finding(
                    FindingCode.REPEATED_KEY,
                    place,
                    f'workspace {workspace.name} has this key twice; remove '
                    'one of the two',
                )
            seen.add(key)


def find_missing_keys(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields workspaces without a key."""
    if not deployment.keys:
        return
    for index, workspace in enumerate(ruleset.workspaces):
        if workspace.keys:
            continue
        yield create_finding(
            FindingCode.NO_KEYS,
            ('workspaces', index, 'keys'),
            f'workspace {workspace.name} has no key, so it is served on routes '
            'that are open to all only; add a key or remove the workspace',
        )


def find_wrong_staleness(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields routes whose staleness has no effect, or which lack one."""
    for index, route in enumerate(ruleset.routes):
        place = ('routes', index, 'staleness_s')
        if route.kind is RouteKind.PRIMARY and route.staleness_s:
            yield create_finding(
                FindingCode.UNUSED_STALENESS,
                place,
                f'database {route.database} is read on its primary, where a '
                'tolerated staleness has no effect; remove it or change the '
                'type of the route',
            )
        if route.kind is not RouteKind.PRIMARY and not route.staleness_s:
            yield create_finding(
                FindingCode.NO_STALENESS,
                place,
                f'database {route.database} tolerates no staleness, so replicas '
                'hardly serve its reads; set it or make this a primary route',
            )


def _list_overridden(names: list[str]) -> Iterator[Overridden]:
    """Yields each name that comes again."""
    last = {name: index for index, name in enumerate(names)}
    for index, name in enumerate(names):
        if last[name] != index:
            yield Overridden(index, last[name])


CHECKS: tuple[Check, ...] = (
    find_second_routes,
    find_unknown_services,
    find_wrong_staleness,
    find_second_services,
    find_unused_services,
    find_second_workspaces,
    find_repeated_keys,
    find_missing_keys,
)
