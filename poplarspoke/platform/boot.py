"""Reads the settings file that the platform writes for each process.

Unknown fields are ignored, since the platform may add some. Fields of a
contract that is not in force may be absent.
"""

import math
from collections.abc import Mapping
from typing import Any

from poplarspoke import errors
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.rules import (
    ClientLimits,
    FaultTolerance,
    HostResources,
    HostSettings,
    UsageSettings,
    ZoneRegion,
)
from poplarspoke.platform import contracts

SETTINGS_VARIABLE = 'POPLARSPOKE_BOOT'
PEER_PORT_OFFSET = 0
MS_PER_S = 1000
BYTES_PER_MB = 1024 * 1024
BYTES_S_PER_MBPS = 125_000
# Without the contract on shutdowns, a process may be killed at any moment, so
# that it finishes only what is under way.
DEFAULT_GRACE_S = 4.0
# Without a bound, what leaves gets no new reads, and work in progress may end.
NO_LIMIT_MS = math.inf
USAGE_DUTY = 'usage'
# A section that is not a mapping has no methods of one.
INVALID_FIELD_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


class BootError(errors.PoplarspokeError):
    """The settings file cannot be used."""

    code = ErrorCode.SETTINGS_REFUSED


def read_settings(path: str) -> HostSettings:
    """Reads the settings file.

    Args:
        path: Value of ``POPLARSPOKE_BOOT``.

    Raises:
        BootError: The file is missing, is not YAML, or lacks a field.
    """
    # Imported here, since it is needed at the start only.
    import yaml  # noqa: PLC0415, WPS433

    try:
        with open(path, encoding='utf-8') as source:
            fields = yaml.safe_load(source)
        return decode_settings(fields)
    except (OSError, yaml.YAMLError) as exc:
        raise BootError(f'{path} cannot be read: {exc}') from exc
    except contracts.ContractError as exc:
        raise BootError(f'{path}: {exc}') from exc
    except INVALID_FIELD_ERRORS as exc:
        raise BootError(f'{path}: missing or invalid field: {exc}') from exc


def decode_settings(fields: Mapping[str, Any]) -> HostSettings:
    """Returns the settings of the decoded file.

    Raises:
        KeyError: A field that every host needs is missing.
        contracts.ContractError: A field of a contract in force is missing.
    """
    bounds = contracts.read_contracts(fields)
    listen = fields['listen']
    # The first and the last port of a range, not a list of ports.
    first_port = int(fields['internalPorts'][0])
    drain_ms = bounds.read_bound('drainMs', contracts.DRAIN, absent=NO_LIMIT_MS)
    evacuate_ms = bounds.read_bound(
        'evacuateMs', contracts.EVACUATION, absent=NO_LIMIT_MS
    )
    return HostSettings(
        name=fields['nodeName'],
        zone=fields['zone'],
        ip=fields['ip'],
        caller_address=listen['front'],
        ready_address=listen['ready'],
        peer_port=first_port + PEER_PORT_OFFSET,
        control_address=listen['control'],
        seeds=tuple(fields.get('seeds') or ()),
        store_address=fields['platform']['address'],
        # "cloud" is the platform's interface for ordering failovers.
        duty_address=fields['cloud']['address'],
        grace_s=bounds.read_bound(
            'graceS', contracts.DRAIN, absent=DEFAULT_GRACE_S
        ),
        drain_s=drain_ms / MS_PER_S,
        evacuate_s=evacuate_ms / MS_PER_S,
        quota_excess=bounds.read_bound('quotaOver', contracts.RATES),
        quota_slack=bounds.read_bound('quotaSlack', contracts.RATES),
        quota_window_s=bounds.read_bound('quotaWindowS', contracts.RATES),
        region=str(fields.get('region') or ''),
        zone_regions=_decode_zones(fields.get('zones') or {}),
        resources=_decode_resources(fields.get('limits') or {}),
        tolerance=_decode_tolerance(fields.get('faultTolerance') or {}),
        usage=_decode_usage(fields, bounds),
        keys_unused=not bounds.holds(contracts.KEYS),
        rates_unlimited=not bounds.holds(contracts.RATES),
        client_limits=_decode_client_limits(fields.get('clientLimits') or {}),
    )


def _decode_zones(regions: Mapping[str, Any]) -> tuple[ZoneRegion, ...]:
    return tuple(
        ZoneRegion(str(zone), str(region))
        for zone, region in sorted(regions.items())
    )


def _decode_resources(limits: Mapping[str, Any]) -> HostResources:
    # "cpuShare" is a share of a core that is "cores" times as fast.
    share = float(limits.get('cpuShare', 0))
    return HostResources(
        cores=share * float(limits.get('cores', 1)),
        memory_bytes=int(limits.get('memoryMb', 0)) * BYTES_PER_MB,
        descriptors=int(limits.get('maxFds', 0)),
        link_bytes_s=float(limits.get('linkMbps', 0)) * BYTES_S_PER_MBPS,
    )


def _decode_client_limits(limits: Mapping[str, Any]) -> ClientLimits:
    return ClientLimits(
        held_bytes=int(float(limits.get('heldMb', 0)) * BYTES_PER_MB),
        connections=int(limits.get('connections', 0)),
        start_s=float(limits.get('startMs', 0)) / MS_PER_S,
        message_s=float(limits.get('messageMs', 0)) / MS_PER_S,
        unread_s=float(limits.get('unreadMs', 0)) / MS_PER_S,
    )


def _decode_tolerance(losses: Mapping[str, Any]) -> FaultTolerance:
    return FaultTolerance(
        hosts=int(losses.get('machines', 0)),
        zones=int(losses.get('zones', 0)),
        regions=int(losses.get('regions', 0)),
    )


def _decode_usage(
    fields: Mapping[str, Any],
    bounds: contracts.Contracts,
) -> UsageSettings:
    """Returns the settings of the usage reports, all 0 if none are expected.

    The contract on duties also covers deployments without usage reports.
    """
    if USAGE_DUTY not in (fields['cloud'].get('duties') or ()):
        return UsageSettings()
    lease_ms = bounds.read_bound('leaseMs', contracts.DUTIES)
    return UsageSettings(
        window_s=bounds.read_bound('reportWindowS', contracts.DUTIES),
        due_s=bounds.read_bound('usageLateS', contracts.DUTIES),
        tolerance=bounds.read_bound('usageOff', contracts.DUTIES),
        holder_interval_s=lease_ms / MS_PER_S,
    )
