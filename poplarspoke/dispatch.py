"""Decides where a caller's request runs.

The dispatcher combines the settings in force, the views of endpoints and the
live hosts to plan a statement with its endpoint and the owner of the endpoint.
"""

import functools
import json
from typing import Any

from poplarspoke import errors, placement, plans, ranks
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.configuration import (
    SettingsFreshness,
    SettingsInForce,
)
from poplarspoke.generated.dispatch import (
    EndpointObserved,
    LinkDown,
    PlanStatement,
    StatementPlan,
)
from poplarspoke.generated.drains import WeightsChanged
from poplarspoke.generated.failover import (
    PrimaryAnnounced,
)
from poplarspoke.generated.membership import (
    EndpointView,
    EndpointViews,
    HostsChanged,
)
from poplarspoke.generated.settings import Document
from poplarspoke.placement import DispatchState, Primary, RouteName
from poplarspoke.tasks import Outgoing, Reply, ToTask

MEMBERSHIP_TASK = 'membership'


@functools.singledispatch
def decide(message: Any, state: DispatchState, now_s: float) -> list[Outgoing]:
    """Handles one message and returns the messages to send."""
    raise TypeError(f'the dispatcher cannot handle {type(message).__name__}')


@decide.register
def _(message: Tick, state: DispatchState, now_s: float) -> list[Outgoing]:
    placement.expire_avoided_hosts(state, now_s)
    views: list[EndpointView] = []
    for endpoint in sorted(state['observed']):
        known = state['observations'][endpoint]
        observed_ago_s = now_s - known.at_s
        if observed_ago_s >= placement.MAX_VIEW_AGE_S:
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
    state['routes'] = placement.list_routes(document)
    state['places'] = placement.list_places(document)
    state['endpoints'] = placement.list_endpoints(state['places'])
    state['owners'].clear()
    return [*ranks.notify_all_ranks(state), *ranks.notify_draining(state)]


@decide.register
def _(
    message: EndpointObserved,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    placement.record_view(message.view, state, now_s)
    state['observed'].add(message.view.endpoint)
    return []


@decide.register
def _(
    message: EndpointViews,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    for view in message.views:
        placement.record_view(view, state, now_s)
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
    zones = {entry.host: entry.zone for entry in message.hosts}
    zones[state['host']] = state['zone']
    if hosts == state['hosts'] and zones == state['zones']:
        return []
    before = set(state['hosts'])
    state['hosts'] = hosts
    state['zones'] = zones
    state['owners'].clear()
    return ranks.notify_changed_ranks(state, before)


@decide.register
def _(message: LinkDown, state: DispatchState, now_s: float) -> list[Outgoing]:
    state['avoided_until_s'][message.host] = now_s + placement.LINK_BACKOFF_S
    state['owners'].clear()
    return []


@decide.register
def _(
    message: WeightsChanged,
    state: DispatchState,
    now_s: float,
) -> list[Outgoing]:
    state['weights'] = {entry.endpoint: entry for entry in message.weights}
    return ranks.notify_draining(state)


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
        plan = StatementPlan(
            settings_version=state['version'],
            refused=True,
            refusal=refusal,
        )
        return [Reply(message.request_id, plan)]
    return [plans.plan_statement(message, route, state, now_s)]
