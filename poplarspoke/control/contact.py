"""Contact with the other zones, which bounds primary leases in a network partition.

A primary lease bridges an outage of the metadata store of several seconds. Without
a further bound, a failover would wait as long for the hosts of a partitioned zone.
Where zones may be lost, a host therefore uses a lease only while hosts of other
zones extend it: it needs recent answers from so many zones that they are a majority
with its own. The records themselves, confirmed just as recently, do as well.

A host that has released a primary, or has read the claim of the failover, extends
no lease of a host that does not know of it. Once all hosts of a majority of the
zones have released the primary, each other host has one of these zones among those
that must extend its lease. No such extension is younger than these releases, so the
leases have ended ``CONTACT_LEASE_S`` later.
"""

from typing import Any

from poplarspoke.control import offers, revisions
from poplarspoke.control.state import (
    LEASE_MARGIN_S,
    PRIMARY_LEASE_S,
    RECORDS,
    ControlState,
    Failover,
)
from poplarspoke.generated.control import (
    Confirmation,
    HostRecord,
)
from poplarspoke.generated.rules import HostSettings
from poplarspoke.tasks import ToHost

# An extension is valid for this time from when it was requested. A failover waits
# as long for a partitioned zone, and reads that tolerate 1.5 s of staleness fail in
# the meantime.
CONTACT_LEASE_S = 1.5
# Three queries may fail before a lease ends.
QUERY_INTERVAL_S = 0.4
# A host that has just regained contact waits this long before it claims leadership,
# so that it learns that the leader answers. Its claim would abort the failovers of
# that leader.
SETTLE_S = 1.0
# With two zones, neither side of a partition would have a majority.
MIN_ZONES = 3


def is_required(settings: HostSettings) -> bool:
    """Returns whether leases need contact with other zones."""
    return (
        settings.tolerance.zones > 0 and len(settings.zone_regions) >= MIN_ZONES
    )


def check(state: ControlState, now_s: float) -> list[Any]:
    """Queries hosts of other zones, one more zone than a majority needs."""
    if not is_required(state['settings']):
        return []
    # A host that shuts down still serves open transactions.
    if now_s < state['next_contact_s']:
        return []
    state['next_contact_s'] = now_s + QUERY_INTERVAL_S
    hosts = _list_remote_hosts(state)
    count = min(_count_needed(state['settings']) + 1, len(hosts))
    query = offers.create_query(state, now_s)
    return [
        ToHost(state['rng'].choice(hosts[zone]), query)
        for zone in state['rng'].sample(sorted(hosts), count)
    ]


def may_extend(state: ControlState, now_s: float) -> bool:
    """Returns whether answers of this host extend the leases of others.

    The records must be current since this process started, since its former process
    may have released a primary. Those of a host that has been retired grow old.
    """
    own = state['hosts'].get(state['settings'].name)
    if own is None or own.retired:
        return False
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    if confirmed_s < state['started_s']:
        return False
    if now_s - confirmed_s >= PRIMARY_LEASE_S:
        return False
    for service, number in state['released'].items():
        known = state['primaries'].get(service)
        if known is None or known.record.change < number:
            return False
    return True


def record_answer(state: ControlState, message: Confirmation) -> bool:
    """Records an answer that extends the leases of this host.

    Returns:
        Whether the leases last longer than before.
    """
    host = state['hosts'].get(message.sender)
    if host is None or host.retired or not message.extends:
        return False
    if host.zone == state['settings'].zone:
        return False
    version = state['tables'][RECORDS]['version']
    if message.records > version:
        # The host may have read the claim of a failover that this one has not.
        return False
    if revisions.find_era(message.records) != revisions.find_era(version):
        return False
    before_s = find_end(state)
    known_s = state['zone_contact_s'].get(host.zone, 0)
    state['zone_contact_s'][host.zone] = max(known_s, message.asked_s)
    return find_end(state) > before_s


def find_end(state: ControlState) -> float:
    """Returns until when leases may be used; boot clock in seconds."""
    confirmed_s = state['tables'][RECORDS]['confirmed_s']
    settings = state['settings']
    if not is_required(settings):
        return confirmed_s + PRIMARY_LEASE_S
    return max(_find_contact(state), confirmed_s) + CONTACT_LEASE_S


def may_claim(state: ControlState, now_s: float) -> bool:
    """Returns whether this host's contact allows it to claim leadership."""
    if not is_required(state['settings']):
        return True
    since_s = state['contact_since_s']
    return since_s > 0 and now_s - since_s >= SETTLE_S


def update_partition(state: ControlState, now_s: float) -> bool:
    """Updates whether this host is partitioned from the others.

    Returns:
        Whether that has changed.
    """
    contact_end_s = _find_contact(state) + CONTACT_LEASE_S
    if now_s >= contact_end_s:
        state['contact_since_s'] = 0
    elif not state['contact_since_s']:
        state['contact_since_s'] = now_s
    is_partitioned = (
        is_required(state['settings'])
        and bool(state['zone_contact_s'])
        and now_s >= find_end(state)
    )
    has_changed = is_partitioned is not state['partitioned']
    state['partitioned'] = is_partitioned
    return has_changed


def find_release_end(
    state: ControlState, failover: Failover, now_s: float
) -> float | None:
    """Returns when hosts that have not released a primary can no longer use it.

    Args:
        state: State of the control task of the leader.
        failover: Failover that waits for releases.
        now_s: Boot clock in seconds.

    Returns:
        Boot clock in seconds; None while less than a majority of the zones has
        released the primary.
    """
    settings = state['settings']
    if not is_required(settings):
        return None
    if not failover['majority_released_s']:
        zones = {known.zone for known in settings.zone_regions}
        open_zones = {
            host.zone
            for name, host in state['hosts'].items()
            if not _has_ended(state, failover, name, host, now_s)
        }
        if len(zones - open_zones) <= len(zones) // 2:
            return None
        failover['majority_released_s'] = now_s
    return failover['majority_released_s'] + CONTACT_LEASE_S + LEASE_MARGIN_S


def _find_contact(state: ControlState) -> float:
    """Returns since when a majority of the zones has not been asked again."""
    needed = _count_needed(state['settings'])
    contacts_s = sorted(state['zone_contact_s'].values(), reverse=True)
    if not needed or len(contacts_s) < needed:
        return 0
    return contacts_s[needed - 1]


def _has_ended(
    state: ControlState,
    failover: Failover,
    name: str,
    host: HostRecord,
    now_s: float,
) -> bool:
    """Returns whether a host neither uses nor extends leases on the primary."""
    if name in failover['released']:
        return True
    retired_s = state['retired_since_s'].get(name)
    if retired_s is None or not host.retired:
        return False
    return now_s >= retired_s + PRIMARY_LEASE_S + LEASE_MARGIN_S


def _count_needed(settings: HostSettings) -> int:
    """Returns how many other zones make a majority with the own one."""
    return len(settings.zone_regions) // 2


def _list_remote_hosts(state: ControlState) -> dict[str, list[str]]:
    """Returns the hosts of each other zone."""
    hosts: dict[str, list[str]] = {}
    for name, host in state['hosts'].items():
        if host.retired or host.zone == state['settings'].zone:
            continue
        hosts.setdefault(host.zone, []).append(name)
    return hosts
