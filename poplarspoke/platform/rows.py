"""Decodes rows that the operators and the database members write.

For an invalid row the result is ``None``; the other rows stay in force.
"""

import functools
import ipaddress
import json
from typing import Any, NamedTuple

from poplarspoke import codec
from poplarspoke.addresses import split_address
from poplarspoke.generated.rules import (
    EndpointEntry,
    EndpointRole,
    RouteKind,
    RouteRule,
    Ruleset,
    ServiceRule,
    WorkspaceRule,
)
from poplarspoke.platform.fields import (
    DECODE_ERRORS,
    FieldError,
    Section,
    open_document,
    parse_count,
    parse_number,
    parse_text,
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
# Sizes of the fields of the schema.
MAX_UINT32 = 0xFFFFFFFF
MAX_UINT64 = codec.MAX_INTEGER


class RuleFields(NamedTuple):
    """Fields that a configuration has, by the contracts in force.

    Attributes:
        keys: Workspaces have keys; without them all routes are open.
        rates: Workspaces have a rate and a burst.
    """

    keys: bool = True
    rates: bool = True


ALL_FIELDS = RuleFields()


class DecodedRules(NamedTuple):
    """Result of decoding the operators' configuration.

    Attributes:
        ruleset: The configuration; None if it has errors.
        errors: Everything that a host cannot use, in the order of the fields.
    """

    ruleset: Ruleset | None
    errors: tuple[FieldError, ...] = ()


def decode_rules(
    content: str, expected: RuleFields = ALL_FIELDS
) -> Ruleset | None:
    """Returns the operators' configuration; None if it is invalid.

    Args:
        content: JSON object of the row.
        expected: Fields that it has.
    """
    return inspect_rules(content, expected).ruleset


def inspect_rules(
    content: str, expected: RuleFields = ALL_FIELDS
) -> DecodedRules:
    """Returns the operators' configuration or its errors.

    Args:
        content: JSON object of the row.
        expected: Fields that it has.
    """
    errors: list[FieldError] = []
    document = open_document(content, errors)
    ruleset = Ruleset(
        version=document.read('version', _parse_uint64),
        routes=tuple(
            _decode_route(route, expected)
            for route in document.list_sections('routes')
        ),
        services=tuple(
            map(_decode_service, document.list_sections('services'))
        ),
        workspaces=_decode_workspaces(document, expected),
        transaction_idle_s=document.enter('limits').read('txIdleMs', _parse_ms),
    )
    if errors:
        return DecodedRules(None, tuple(errors))
    return DecodedRules(ruleset)


def decode_endpoint(key: str, content: str) -> EndpointEntry | None:
    """Returns the entry of a database member; None if it is invalid.

    Args:
        key: Identifier of the member, which is not among the fields.
        content: JSON object of the row.
    """
    try:
        fields = json.loads(content)
        # A member always reports these; without them, another writer has left
        # the entry.
        parse_text(fields['version'])
        parse_number(fields['coldRemainingMs'])
        return EndpointEntry(
            endpoint=key,
            service=parse_text(fields['service']),
            address=_parse_address(fields['address']),
            zone=parse_text(fields['zone']),
            slots=parse_count(fields['slots'], MAX_UINT32),
            draining=DRAINING_BY_STATE[fields['state']],
            role=ROLES[fields['dbRole']],
            born_ms=parse_count(fields.get('born', 0), MAX_UINT64),
            sequence=parse_count(fields['seq'], MAX_UINT64),
        )
    except DECODE_ERRORS:
        return None


def _decode_route(section: Section, expected: RuleFields) -> RouteRule:
    return RouteRule(
        # "host" is the database name that callers send.
        database=section.read('host', parse_text),
        service=section.read('service', parse_text),
        kind=section.read('routeType', _parse_kind),
        statement_timeout_s=section.read('timeoutMs', _parse_ms),
        target_latency_s=section.read('targetLatencyMs', _parse_ms),
        staleness_s=section.read('maxStalenessMs', _parse_ms, default=0),
        priority=section.read('priority', _parse_uint32, default=0),
        open=section.read('public', bool, default=False) or not expected.keys,
    )


def _decode_service(section: Section) -> ServiceRule:
    return ServiceRule(
        name=section.read('name', parse_text),
        max_connections=section.read('maxConns', _parse_uint32),
        sync_replicas=section.read('syncReplicas', _parse_uint32, default=0),
    )


def _decode_workspaces(
    document: Section, expected: RuleFields
) -> tuple[WorkspaceRule, ...]:
    if not expected.keys:
        return ()
    return tuple(
        _decode_workspace(workspace, expected)
        for workspace in document.list_sections('tenants')
    )


def _decode_workspace(section: Section, expected: RuleFields) -> WorkspaceRule:
    rule = WorkspaceRule(
        name=section.read('name', parse_text),
        keys=section.list_texts('apiKeys'),
    )
    if not expected.rates:
        return rule
    return rule._replace(
        rate=section.read('ratePerS', parse_number),
        burst=section.read('burst', parse_number),
    )


def _parse_kind(found: Any) -> RouteKind:
    if not isinstance(found, str) or found not in ROUTE_KINDS:
        raise ValueError(f'one of {", ".join(ROUTE_KINDS)} is needed')
    return ROUTE_KINDS[found]


def _parse_ms(found: Any) -> float:
    """Returns a time in seconds."""
    return parse_number(found) / MS_PER_S


def _parse_address(found: Any) -> str:
    host, port = split_address(parse_text(found))
    return f'{ipaddress.ip_address(host)}:{port}'


_parse_uint32 = functools.partial(parse_count, limit=MAX_UINT32)
_parse_uint64 = functools.partial(parse_count, limit=MAX_UINT64)
