"""Classes of work by route priority, and what workspaces have used lately."""

import math
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from poplarspoke.generated.rules import RouteKind, RouteRule

# Time constant of what a workspace has used. A workspace that sent much more
# than its share is treated like the others after about three times this.
USAGE_MEMORY_S = 1.0
# Workspaces that have used less than this are forgotten.
MIN_USAGE_S = 0.0001


class ServiceClasses(NamedTuple):
    """Priorities of the routes of one service, the highest class first.

    Attributes:
        priorities: All priorities.
        replica_priorities: Priorities of routes that replicas serve, too.
    """

    priorities: tuple[int, ...]
    replica_priorities: tuple[int, ...]


class Usage(NamedTuple):
    """Endpoint time that a workspace has used.

    Attributes:
        used_s: Exponentially decaying sum of expected response times.
        as_of_s: When the sum was last updated.
    """

    used_s: float
    as_of_s: float


class Contention(TypedDict):
    """What a host keeps to decide under contention.

    Attributes:
        services: Classes of the services whose hosts share load; others are
            absent.
        usage: Endpoint time used by workspace.
        excess: By how many shares workspaces have used more than theirs; those
            that have not are absent.
        loads: Endpoint time used by service, priority and whether only the
            primary could run the operations.
        starts: When an operation was last placed, by the same.
        arrivals: When an operation last arrived, by service and priority.
        retries: Retries that may still be made inside the host, by service.
        lost_s: Since when a service has had no lease on a primary.
        promotion_s: How long promotions take, from the order to the lease.
    """

    services: dict[str, ServiceClasses]
    usage: dict[str, Usage]
    excess: dict[str, float]
    loads: dict[tuple[str, int, bool], Usage]
    starts: dict[tuple[str, int, bool], float]
    arrivals: dict[str, dict[int, float]]
    retries: dict[str, float]
    lost_s: dict[str, float]
    promotion_s: float


def create_contention() -> Contention:
    """Returns the state of a host that has no rules yet."""
    return Contention(
        services={},
        usage={},
        excess={},
        loads={},
        starts={},
        arrivals={},
        retries={},
        lost_s={},
        promotion_s=0,
    )


def classify(
    routes: Iterable[RouteRule], services: set[str]
) -> dict[str, ServiceClasses]:
    """Returns the classes of some services."""
    priorities: dict[str, set[int]] = {name: set() for name in services}
    on_replicas: dict[str, set[int]] = {name: set() for name in services}
    for route in routes:
        if route.service not in services:
            continue
        priorities[route.service].add(route.priority)
        if route.kind is not RouteKind.PRIMARY:
            on_replicas[route.service].add(route.priority)
    return {
        name: ServiceClasses(
            tuple(sorted(priorities[name])), tuple(sorted(on_replicas[name]))
        )
        for name in services
    }


def add_usage(known: Usage | None, cost_s: float, now_s: float) -> Usage:
    """Returns the usage after an operation of a cost has started."""
    return Usage(find_usage(known, now_s) + cost_s, now_s)


def find_usage(known: Usage | None, now_s: float) -> float:
    """Returns the endpoint time that was used lately."""
    if known is None:
        return 0
    age_s = max(now_s - known.as_of_s, 0)
    return known.used_s * math.exp(-age_s / USAGE_MEMORY_S)


def forget_usage(contention: Contention, now_s: float) -> None:
    """Removes workspaces that have used nothing lately."""
    for workspace, known in list(contention['usage'].items()):
        if find_usage(known, now_s) < MIN_USAGE_S:
            contention['usage'].pop(workspace)
