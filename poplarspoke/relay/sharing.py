"""Reports of this host's load to the other hosts that choose endpoints.

Statements run at gateways, so only gateways choose: one in each zone for most
services. They have no links to each other. A host that runs statements sends
one small datagram to each host that chooses endpoints of the same services.
"""

from typing import Any

from poplarspoke.generated.loads import EndpointLoad, LoadReport
from poplarspoke.relay import gateways
from poplarspoke.relay.loads import (
    MAX_INTERVAL_S,
    UNITS,
    compute_lifetime,
    digest_name,
    is_load_shared,
    sample_own,
)
from poplarspoke.relay.regions import find_region
from poplarspoke.relay.state import RelayState
from poplarspoke.tasks import ToHost

# Interval of the reports. Demand that moves between zones changes over seconds;
# more frequent reports balance little better (``bench/balance.py``).
REPORT_INTERVAL_S = 0.25
# Interval in which a host counts its own statements; a fraction of the time that
# they are averaged over.
SAMPLE_S = 0.05
# Limit on the bytes a second of the reports; a daemon may use 16 KB a second for
# control. Beyond it the reports become less frequent, and beyond the longest
# interval only some hosts get one at a time.
MAX_BYTES_S = 4096
# A report with the loads of three endpoints has 120 bytes; headers of IP and
# UDP add 28.
REPORT_BYTES = 150
# Largest number of a report's field.
MAX_UNITS = 0xFFFF


def send_reports(state: RelayState, now_s: float) -> list[Any]:
    """Returns reports to the hosts that choose among the same endpoints.

    They are sent only while this host has statements of services whose load is
    shared.
    """
    if True not in state['loads']['shared'].values():
        return []
    if now_s - state['loads']['sampled_s'] < SAMPLE_S:
        return []
    running = sample_own(state, now_s)
    if now_s < state['loads']['next_report_s']:
        return []
    recipients = _address_loads(state, running, now_s)
    if not recipients:
        return []
    chosen, interval_s = _limit_rate(state, sorted(recipients))
    state['loads']['next_report_s'] = now_s + interval_s
    report = LoadReport(
        state['settings'].name,
        state['incarnation'],
        now_s,
        interval_s,
    )
    return [
        ToHost(name, report._replace(endpoints=tuple(recipients[name])))
        for name in chosen
    ]


def _address_loads(
    state: RelayState, running: dict[str, float], now_s: float
) -> dict[str, list[EndpointLoad]]:
    """Returns the loads that each recipient needs to know."""
    recipients: dict[str, list[EndpointLoad]] = {}
    for name, mean in state['loads']['means'].items():
        endpoint = state['endpoints'].get(name)
        if endpoint is None:
            continue
        service = endpoint['entry'].service
        if not is_load_shared(state, service):
            continue
        load = EndpointLoad(
            digest_name(name),
            _to_units(running.get(name, 0)),
            _to_units(mean),
        )
        zone = endpoint['entry'].zone
        for host in _list_recipients(state, service, load.endpoint, now_s):
            if is_concerned(state, host, zone):
                recipients.setdefault(host, []).append(load)
    return recipients


def is_concerned(state: RelayState, host: str, zone: str) -> bool:
    """Returns whether a host needs the load of an endpoint in a zone.

    Reads stay in their region, and the link between regions is thin. A host that
    sends reads to another region relies on its own observations there.
    """
    host_zone = state['peer_zones'].get(host, zone)
    return find_region(state, host_zone) == find_region(state, zone)


def list_choosers(state: RelayState, service: str) -> tuple[str, ...]:
    """Returns the other hosts that choose endpoints of a service.

    These are the gateways of each zone, and all hosts of a zone without
    gateways. Hosts compute this from the same list of hosts.
    """
    known = state['loads']['choosers'].get(service)
    if known is not None:
        return known
    own = state['settings'].name
    zones: dict[str, list[str]] = {state['settings'].zone: [own]}
    for host in state['peers']:
        zone = state['peer_zones'].get(host, state['settings'].zone)
        zones.setdefault(zone, []).append(host)
    choosers: set[str] = set()
    for hosts in zones.values():
        choosers.update(_choose_gateways(state, service, hosts))
    choosers.discard(own)
    state['loads']['choosers'][service] = tuple(sorted(choosers))
    return state['loads']['choosers'][service]


def _choose_gateways(
    state: RelayState, service: str, hosts: list[str]
) -> list[str]:
    if not gateways.needs_gateways(state, service, zone_hosts=len(hosts)):
        return hosts
    chosen: list[str] = []
    for shard in range(gateways.count_shards(state, service)):
        ranked = [
            (gateways.compute_rank(service, shard, host), host)
            for host in hosts
        ]
        chosen.append(min(ranked)[1])
    return chosen


def _list_recipients(
    state: RelayState, service: str, endpoint: int, now_s: float
) -> set[str]:
    """Returns the hosts that choose an endpoint, as far as is known.

    Hosts that have reported statements there choose it, too: their zone may
    use another gateway than the list of hosts suggests.
    """
    recipients = set(list_choosers(state, service))
    reports = state['loads']['others'].get(endpoint, {})
    for sender, report in reports.items():
        age_s = now_s - report.measured_s
        if age_s < compute_lifetime(report.interval_s):
            recipients.add(sender)
    return recipients


def _limit_rate(
    state: RelayState, recipients: list[str]
) -> tuple[list[str], float]:
    """Returns who gets a report now, and the time until the next ones."""
    interval_s = len(recipients) * REPORT_BYTES / MAX_BYTES_S
    if interval_s <= MAX_INTERVAL_S:
        return recipients, max(interval_s, REPORT_INTERVAL_S)
    count = int(MAX_INTERVAL_S * MAX_BYTES_S / REPORT_BYTES)
    return state['rng'].sample(recipients, count), MAX_INTERVAL_S


def _to_units(load: float) -> int:
    return min(round(load * UNITS), MAX_UNITS)
