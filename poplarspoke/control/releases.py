"""Releases of hosts that the leader does not reach, passed on through the store.

If the network is split so that each side has hosts of every zone, a failover would
wait for the leases of the hosts on the other side. The zone watchers there read the
claim from the store. They request the releases of the hosts that they reach, and
write the names to the table, where the leader reads them. A release is final for the
process that answered, whoever asked it.
"""

import json
from collections.abc import Iterable
from typing import Any

from poplarspoke import codec
from poplarspoke.control import leadership, records
from poplarspoke.control.state import (
    RECORDS,
    RELEASE_PREFIX,
    ControlState,
    RecordReleases,
    Witness,
)
from poplarspoke.control.tables import RELAY
from poplarspoke.generated.control import (
    PrimaryPhase,
    PrimaryRecord,
    Released,
    ReleaseRecord,
    RequestRelease,
)
from poplarspoke.generated.relay import LeaseRevoked
from poplarspoke.tasks import ToHost, ToTask

# A leader that reaches all hosts has their releases within this time.
WITNESS_AFTER_S = 0.8
# Requests are datagrams and may be lost.
REQUEST_INTERVAL_S = 0.3
# Releases that arrive within this time are written at once; calls of the store are
# billed.
WRITE_INTERVAL_S = 0.8


def check(
    state: ControlState, watchers: Iterable[str], now_s: float
) -> list[Any]:
    """Collects and writes releases, if this host is a zone watcher.

    Args:
        state: State of the control task.
        watchers: Zone watchers of all zones.
        now_s: Boot clock in seconds.
    """
    if not state['changing_since_s'] and not state['witnessed']:
        return []
    own = state['settings'].name
    if own not in watchers or leadership.is_leader(state):
        state['witnessed'].clear()
        return []
    outgoing: list[Any] = []
    for service in sorted(
        state['witnessed'].keys() - state['changing_since_s']
    ):
        outgoing.extend(_remove(state, service))
    for service, since_s in state['changing_since_s'].items():
        if now_s - since_s >= WITNESS_AFTER_S:
            outgoing.extend(_witness(state, service, now_s))
    return outgoing


def record_release(state: ControlState, message: Released) -> None:
    """Records a release that this host has requested as a witness."""
    witnessed = state['witnessed'].get(message.service)
    if witnessed is not None and witnessed['change'] == message.change:
        witnessed['hosts'].add(message.sender)


def _witness(state: ControlState, service: str, now_s: float) -> list[Any]:
    record = state['primaries'][service].record
    if record.phase is PrimaryPhase.STABLE or record.candidate:
        return []
    witnessed = state['witnessed'].get(service)
    if witnessed is None or witnessed['change'] != record.change:
        witnessed = _create_witness(record, now_s)
        state['witnessed'][service] = witnessed
    outgoing: list[Any] = []
    own = state['settings'].name
    if now_s >= witnessed['next_request_s']:
        witnessed['next_request_s'] = now_s + REQUEST_INTERVAL_S
        request = RequestRelease(own, service, record.change)
        missing = state['hosts'].keys() - witnessed['hosts'] - {own}
        outgoing.extend(ToHost(host, request) for host in sorted(missing))
    if own not in witnessed['hosts']:
        witnessed['hosts'].add(own)
        state['released'][service] = record.change
        outgoing.append(ToTask(RELAY, LeaseRevoked(service)))
    is_due = now_s >= witnessed['next_write_s']
    if is_due and len(witnessed['hosts']) > witnessed['written']:
        witnessed['written'] = len(witnessed['hosts'])
        witnessed['next_write_s'] = now_s + WRITE_INTERVAL_S
        outgoing.append(_write(state, service))
    return outgoing


def _create_witness(record: PrimaryRecord, now_s: float) -> Witness:
    return Witness(
        change=record.change,
        hosts=set(),
        written=0,
        next_request_s=0,
        # The first releases arrive within a few round trips.
        next_write_s=now_s + REQUEST_INTERVAL_S,
    )


def _write(state: ControlState, service: str) -> Any:
    witnessed = state['witnessed'][service]
    record = ReleaseRecord(
        service, witnessed['change'], tuple(sorted(witnessed['hosts']))
    )
    write = records.write_release(state, record)
    return records.write(state, RecordReleases(), write)


def _remove(state: ControlState, service: str) -> list[Any]:
    """Removes the row of a failover that has ended."""
    witnessed = state['witnessed'].pop(service)
    key = f'{RELEASE_PREFIX}{service}/{state["settings"].name}'
    row = state['tables'][RECORDS]['rows'].get(key)
    if not witnessed['written'] or row is None or row.removed:
        return []
    content = codec.parse(ReleaseRecord, json.loads(row.content))
    write = records.write_release(state, content)
    return [
        records.write(state, RecordReleases(), write._replace(removed=True))
    ]
