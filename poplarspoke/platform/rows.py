"""Decodes rows that the operators and the database members write.

For an invalid row the result is ``None``; the other rows stay in force.
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
ROUTE_KINDS = {
    'primary': RouteKind.PRIMARY,
    'bounded': RouteKind.BOUNDED,
    'read_own': RouteKind.READ_OWN,
}
ROLES = {'primary': EndpointRole.PRIMARY, 'replica': EndpointRole.REPLICA}
DRAINING_BY_STATE = {'ready': False, 'draining': True}
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_rules(content: str) -> Ruleset | None:
    """Returns the operators' configuration; None if it is invalid."""
    try:
        fields = json.loads(content)
        return Ruleset(
            version=fields['version'],
            routes=tuple(map(_decode_route, fields['routes'])),
            services=tuple(map(_decode_service, fields['services'])),
            workspaces=tuple(map(_decode_workspace, fields['tenants'])),
            transaction_idle_s=fields['limits']['txIdleMs'] / MS_PER_S,
        )
    except DECODE_ERRORS:
        return None


def decode_endpoint(key: str, content: str) -> EndpointEntry | None:
    """Returns the entry of a database member; None if it is invalid.

    Args:
        key: Identifier of the member, which is not among the fields.
        content: JSON object of the row.
    """
    try:
        fields = json.loads(content)
        return EndpointEntry(
            endpoint=key,
            service=_parse_text(fields['service']),
            address=_parse_address(fields['address']),
            zone=_parse_text(fields['zone']),
            slots=_parse_count(fields['slots']),
            draining=DRAINING_BY_STATE[fields['state']],
            role=ROLES[fields['dbRole']],
            born_ms=_parse_count(fields.get('born', 0)),
            sequence=_parse_count(fields.get('seq', 0)),
        )
    except DECODE_ERRORS:
        return None


def _decode_route(fields: Mapping[str, Any]) -> RouteRule:
    return RouteRule(
        # "host" is the database name that callers send.
        database=fields['host'],
        service=fields['service'],
        kind=ROUTE_KINDS[fields['routeType']],
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


def _parse_text(found: Any) -> str:
    if not isinstance(found, str) or not found:
        raise ValueError('not a non-empty string')
    return found


def _parse_count(found: Any) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise ValueError('not a non-negative integer')
    return found


def _parse_address(found: Any) -> str:
    ip, _, port = _parse_text(found).rpartition(':')
    if not ip or not port.isdigit():
        raise ValueError('not an IP:port address')
    return f'{ip}:{int(port)}'
