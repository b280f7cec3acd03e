"""Retires unresponsive hosts and removes their rows.

A failover waits until the lease of each registered host that does not answer
has expired. The leader therefore marks the row of an unresponsive host as
retired, also while there is no failover. A host that is still running sees
this, stops using its leases, and registers again. A failover waits for a
retired host no longer than one lease after that mark, and the row is removed
later.
"""

from typing import Any

from poplarspoke.control import leadership, offers, records
from poplarspoke.control.state import (
    PRIMARY_LEASE_S,
    ControlState,
    RetireHost,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.tasks import ToHost

# The host may have renewed a lease just before it read that it is retired.
REMOVE_AFTER_S = PRIMARY_LEASE_S + 2
# Backoff after a write, which may have been lost.
WRITE_BACKOFF_S = 2.0
# Hosts query the leader each second; one that has missed a query is queried
# itself after this time.
QUERY_AFTER_S = 2.0
# By then it has not answered several queries.
RETIRE_AFTER_S = 2.8
# A zone in which no host has sent anything for this long may be isolated. Hosts
# send a query each second, so a shorter time would be wrong in a small zone.
ANSWERING_S = 1.6
# If more hosts are unresponsive at once, they have not failed independently:
# there is a network partition, the fleet restarts, or this host was suspended.
MAX_UNRESPONSIVE_FRACTION = 0.1
MIN_UNRESPONSIVE_LIMIT = 2


def check(state: ControlState, now_s: float) -> list[Any]:
    """Retires unresponsive hosts and removes those that stay retired."""
    if not leadership.is_leader(state):
        state['heard_s'].clear()
        return []
    outgoing = _query_unresponsive(state, now_s)
    if now_s < state['next_retirement_s']:
        return outgoing
    failed = state['unresponsive_hosts'] | _list_failed(state, now_s)
    writes: list[Any] = []
    for name in sorted(state['hosts']):
        writes.extend(_retire(state, name, now_s, is_failed=name in failed))
    if writes:
        state['next_retirement_s'] = now_s + WRITE_BACKOFF_S
    return [*outgoing, *writes]


def record_contact(state: ControlState, host: str, now_s: float) -> None:
    """Records that a host has sent something."""
    state['heard_s'][host] = now_s


def _query_unresponsive(state: ControlState, now_s: float) -> list[Any]:
    own = state['settings'].name
    outgoing: list[Any] = []
    for name, host in state['hosts'].items():
        contact_s = state['heard_s'].setdefault(name, now_s)
        if name == own or host.retired or now_s - contact_s < QUERY_AFTER_S:
            continue
        outgoing.append(ToHost(name, offers.create_query(state, now_s)))
    return outgoing


def _list_failed(state: ControlState, now_s: float) -> set[str]:
    """Returns failed hosts; none if too many are unresponsive at once."""
    own = state['settings'].name
    live = {
        name: host.zone
        for name, host in state['hosts'].items()
        if not host.retired
    }
    unresponsive = {
        name
        for name in live
        if name != own and now_s - state['heard_s'][name] > RETIRE_AFTER_S
    }
    if len(unresponsive) > max(
        len(live) * MAX_UNRESPONSIVE_FRACTION, MIN_UNRESPONSIVE_LIMIT
    ):
        return set()
    # A zone without any recent answer is isolated; its hosts continue under
    # their leases.
    answering = {
        zone
        for name, zone in live.items()
        if now_s - state['heard_s'][name] < ANSWERING_S
    }
    return {name for name in unresponsive if live[name] in answering}


def _retire(
    state: ControlState,
    name: str,
    now_s: float,
    *,
    is_failed: bool,
) -> list[Any]:
    record = state['hosts'][name]
    since_s = state['retired_since_s'].get(name)
    if since_s is None and is_failed:
        write = records.write_host(state, record._replace(retired=True))
        line = LogDecision(event='host retired', outcome=name)
    elif since_s is not None and now_s - since_s > REMOVE_AFTER_S:
        write = records.write_host(state, record)._replace(removed=True)
        line = LogDecision(event='host removed', outcome=name)
    else:
        return []
    state['unresponsive_hosts'].discard(name)
    return [line, records.write(state, RetireHost(name), write)]
