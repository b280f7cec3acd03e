"""Limits of a configuration that contradict each other or serve nothing."""

from collections.abc import Iterator

from poplarspoke.checks.findings import (
    Check,
    Deployment,
    Finding,
    FindingCode,
    create_finding,
    format_ms,
    format_number,
)
from poplarspoke.generated.rules import EndpointEntry, EndpointRole, Ruleset
from poplarspoke.relay.quotas import LOAN_S

# A bucket that holds less admits no operation.
MIN_BURST = 1


def find_wrong_times(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields routes whose timeout or latency objective can't be met."""
    for index, route in enumerate(ruleset.routes):
        if not route.statement_timeout_s:
            yield create_finding(
                FindingCode.NO_TIMEOUT,
                ('routes', index, 'statement_timeout_s'),
                f'database {route.database} has a timeout of 0, so each '
                'statement fails at once; set a timeout',
            )
            continue
        if not route.target_latency_s:
            yield create_finding(
                FindingCode.NO_OBJECTIVE,
                ('routes', index, 'target_latency_s'),
                f'database {route.database} has a latency objective of 0, so '
                'a statement that has to wait is refused; set an objective',
            )
        if route.statement_timeout_s < route.target_latency_s:
            yield create_finding(
                FindingCode.SHORT_TIMEOUT,
                ('routes', index, 'statement_timeout_s'),
                f'database {route.database} has a timeout of '
                f'{format_ms(route.statement_timeout_s)} below its latency '
                f'objective of {format_ms(route.target_latency_s)}; raise the '
                'timeout or lower the objective',
            )


def find_idle_time(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields an idle time that no transaction of two statements keeps."""
    if ruleset.transaction_idle_s:
        return
    yield create_finding(
        FindingCode.NO_IDLE_TIME,
        ('transaction_idle_s',),
        'transactions may not be idle at all, so they end at their first '
        'pause; set the longest pause between two statements',
    )


def find_wrong_connections(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields services whose connections leave endpoints unused."""
    for index, service in enumerate(ruleset.services):
        place = ('services', index, 'max_connections')
        if not service.max_connections:
            yield create_finding(
                FindingCode.NO_CONNECTIONS,
                place,
                f'service {service.name} allows no connection, so nothing is '
                'served; set the number of connections to each endpoint',
            )
            continue
        slots = [
            entry.slots for entry in _list_endpoints(deployment, service.name)
        ]
        if service.max_connections < max(slots, default=0):
            yield create_finding(
                FindingCode.FEW_CONNECTIONS,
                place,
                f'service {service.name} allows {service.max_connections} '
                f'connections to an endpoint that runs {max(slots)} statements '
                'at the same time; allow at least as many',
            )


def find_wrong_rates(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields workspaces that cannot use their rate.

    Hosts lend each other parts of a burst for ``LOAN_S`` and refill the room of
    a loan only then, so a smaller burst limits a workspace below its rate.
    """
    if not deployment.rates:
        return
    for index, workspace in enumerate(ruleset.workspaces):
        if not workspace.rate:
            yield create_finding(
                FindingCode.NO_RATE,
                ('workspaces', index, 'rate'),
                f'workspace {workspace.name} has a rate of 0, so its requests '
                'are refused after the burst; set a rate or remove it',
            )
            continue
        needed = max(workspace.rate * LOAN_S, MIN_BURST)
        if workspace.burst < needed:
            yield create_finding(
                FindingCode.SMALL_BURST,
                ('workspaces', index, 'burst'),
                f'workspace {workspace.name} has a burst of '
                f'{format_number(workspace.burst)}, but its rate of {format_number(workspace.rate)} a '
                f'second needs {format_number(needed)}; raise the burst or lower the rate',
            )


def find_excessive_rates(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields workspaces whose rate the databases with a route can't serve."""
    if deployment.endpoints is None or not deployment.rates:
        return
    services = {route.service for route in ruleset.routes}
    slots = sum(
        entry.slots
        for name in services
        for entry in _list_endpoints(deployment, name)
        if not entry.draining
    )
    capacity = slots / deployment.statement_s
    for index, workspace in enumerate(ruleset.workspaces):
        # Without any endpoint, that is reported instead.
        if not slots or workspace.rate <= capacity:
            continue
        yield create_finding(
            FindingCode.EXCESSIVE_RATE,
            ('workspaces', index, 'rate'),
            f'workspace {workspace.name} has a rate of {format_number(workspace.rate)} a '
            f'second, but the endpoints run {slots} statements at the same '
            f'time, {format_number(capacity)} a second if each takes '
            f'{format_ms(deployment.statement_s)}; lower the rate or add '
            'endpoints',
        )


def find_missing_endpoints(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields services with too few endpoints for what is promised."""
    if deployment.endpoints is None:
        return
    routed = {route.service for route in ruleset.routes}
    for index, service in enumerate(ruleset.services):
        endpoints = _list_endpoints(deployment, service.name)
        if not endpoints and service.name in routed:
            yield create_finding(
                FindingCode.NO_ENDPOINTS,
                ('services', index, 'name'),
                f'service {service.name} has no endpoint, so its routes are '
                'refused; start its members or correct the name',
            )
        replicas = [
            entry
            for entry in endpoints
            if entry.role is not EndpointRole.PRIMARY
        ]
        if endpoints and len(replicas) < service.sync_replicas:
            yield create_finding(
                FindingCode.FEW_REPLICAS,
                ('services', index, 'sync_replicas'),
                f'service {service.name} waits for {service.sync_replicas} '
                f'replicas with each commit but has {len(replicas)}; lower the '
                'number or start more replicas',
            )


def find_undeclared_endpoints(
    ruleset: Ruleset,
    deployment: Deployment,
) -> Iterator[Finding]:
    """Yields services that have endpoints but are not declared."""
    declared = {service.name for service in ruleset.services}
    found = {entry.service for entry in deployment.endpoints or ()}
    for name in sorted(found - declared):
        yield create_finding(
            FindingCode.UNDECLARED_ENDPOINTS,
            ('services',),
            f'endpoints of service {name} are registered, but the service is '
            'not declared; declare it or stop its members',
        )


def _list_endpoints(
    deployment: Deployment,
    service: str,
) -> list[EndpointEntry]:
    return [
        entry
        for entry in deployment.endpoints or ()
        if entry.service == service
    ]


CHECKS: tuple[Check, ...] = (
    find_wrong_times,
    find_wrong_connections,
    find_missing_endpoints,
    find_undeclared_endpoints,
    find_idle_time,
    find_wrong_rates,
    find_excessive_rates,
)
