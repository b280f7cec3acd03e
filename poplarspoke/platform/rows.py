"""Decodes rows that the operators and the database members write.

A row that cannot be read names no endpoint and no rule; it is reported by
``None`` and the others hold.
"""

import json
from collections.abc import Mapping
from typing import Any

from poplarspoke.generated.rules import (
    EndpointEntry,
    EndpointRole,
    RouteKind,
    RouteRule,
    Ruleset,
    ServiceRule,
    WorkspaceRule,
)

RULES_TABLE = 'op'
ENDPOINTS_TABLE = 'servers'
MS_PER_S = 1000
KINDS = {
    'primary': RouteKind.PRIMARY,
    'bounded': RouteKind.BOUNDED,
    'read_own': RouteKind.READ_OWN,
}
ROLES = {'primary': EndpointRole.PRIMARY, 'replica': EndpointRole.REPLICA}
STATES = {'ready': False, 'draining': True}
READ_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_rules(content: str) -> Ruleset | None:
    """Returns the configuration that the operators wrote."""
    try:
        fields = json.loads(content)
        return Ruleset(
            version=fields['version'],
            routes=tuple(map(_decode_route, fields['routes'])),
            services=tuple(map(_decode_service, fields['services'])),
            workspaces=tuple(map(_decode_workspace, fields['tenants'])),
            transaction_idle_s=fields['limits']['txIdleMs'] / MS_PER_S,
        )
    except READ_ERRORS:
        return None


def decode_endpoint(key: str, content: str) -> EndpointEntry | None:
    """Returns what a database member says of itself.

    Args:
        key: Identifier of the member, which appears in no field.
        content: JSON object of the row.
    """
    try:
        fields = json.loads(content)
        return EndpointEntry(
            endpoint=key,
            service=_take_text(fields['service']),
            address=_take_address(fields['address']),
            zone=_take_text(fields['zone']),
            slots=_take_count(fields['slots']),
            draining=STATES[fields['state']],
            role=ROLES[fields['dbRole']],
            born_ms=_take_count(fields.get('born', 0)),
        )
    except READ_ERRORS:
        return None


def _decode_route(fields: Mapping[str, Any]) -> RouteRule:
    return RouteRule(
        # "host" is the name of the database that callers ask for.
        database=fields['host'],
        service=fields['service'],
        kind=KINDS[fields['routeType']],
        statement_timeout_s=fields['timeoutMs'] / MS_PER_S,
        target_latency_s=fields['targetLatencyMs'] / MS_PER_S,
        staleness_s=fields.get('maxStalenessMs', 0) / MS_PER_S,
        priority=fields.get('priority', 0),
        open=fields.get('public', False),
    )


def _decode_service(fields: Mapping[str, Any]) -> ServiceRule:
    return ServiceRule(
        name=fields['name'],
        max_connections=fields['maxConns'],
    )


def _decode_workspace(fields: Mapping[str, Any]) -> WorkspaceRule:
    return WorkspaceRule(
        name=fields['name'],
        keys=tuple(fields['apiKeys']),
        rate=float(fields['ratePerS']),
        burst=float(fields['burst']),
    )


def _take_text(found: Any) -> str:
    if not isinstance(found, str) or not found:
        raise ValueError('no text')
    return found


def _take_count(found: Any) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise ValueError('no count')
    return found


def _take_address(found: Any) -> str:
    ip, _, port = _take_text(found).rpartition(':')
    if not ip or not port.isdigit():
        raise ValueError('no address')
    return f'{ip}:{int(port)}'
