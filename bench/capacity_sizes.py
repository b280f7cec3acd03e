"""Sizes of the settings document and of messages at the target.

Run ``python -m bench.capacity_sizes``. The last lines show the size of a
heartbeat without some of its parts, packed, and compressed.
"""

import collections
import json
import zlib
from typing import Any

from bench import capacity_topology as topologies
from bench.capacity_control import HeartbeatWorkload
from poplarspoke import attempts, codec, membership, records, routing, wire
from poplarspoke.changes import MAX_DOCUMENT_CHARACTERS
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import ChangeRecord
from poplarspoke.generated.failover import FailoverReason, PrimaryAnnounced
from poplarspoke.generated.peers import PeerFrame
from poplarspoke.generated.rates import (
    BorrowTokens,
    LeasePromised,
    LendTokens,
    PromiseLease,
)
from poplarspoke.tasks import ToHost

EVIDENCE_TEXT = (
    'database-000-m0 gave no answer to 2 probes; database-000-m1 has not heard '
    'it for 1.2 s, database-000-m2 has not heard it for 1.3 s'
)
MESSAGES = (
    PrimaryAnnounced(
        'h000.z0',
        'database-000',
        topologies.TERM,
        'database-000-m1',
        FailoverReason.PRIMARY_LOST,
        EVIDENCE_TEXT,
    ),
    BorrowTokens('h000.z0', 1, 'workspace-0000', 5, 1),
    LendTokens('h000.z0', 1, 'workspace-0000', 5, 1, 3),
    PromiseLease('h000.z0', 1, 1),
    LeasePromised('h000.z0', 1, 1, 1, promised=True),
)


def count_frame(message: Any) -> int:
    """Returns the size of a message on a link in bytes."""
    payload = codec.encode(PeerFrame(1, message))
    return len(payload) + wire.LENGTH_BYTES


def print_document() -> None:
    """Prints the sizes of the target's settings and how many workspaces fit."""
    topology = topologies.create_topology(
        topologies.HOSTS, topologies.DATABASES
    )
    document = topologies.create_document(topology)
    text = json.dumps(document, sort_keys=True)
    teams = len(json.dumps(document['teams'], sort_keys=True))
    each = teams / len(topology.workspaces)
    room = MAX_DOCUMENT_CHARACTERS - len(text) + teams
    commit = records.create_commit(ChangeRecord(version=1), text)
    row = next(
        write for write in commit.writes if write.key == records.DOCUMENT_KEY
    )
    print(f'document: {len(text)} characters, {each:.0f} for each workspace')
    print(f'workspaces that fit: {int(room / each)}')
    print(f'row of the document: {len(row.content)} bytes')
    print(f'frame: {count_frame(topologies.create_snapshot(topology))} bytes')


def print_acting_databases() -> None:
    """Prints the most databases that one host acts for."""
    topology = topologies.create_topology(
        topologies.HOSTS, topologies.DATABASES
    )
    acting: collections.Counter[str] = collections.Counter()
    for database in topology.databases:
        ranked = routing.rank_hosts(database, topology.hosts)
        acting.update(ranked[: attempts.ACTING_RANKS])
    print(f'databases that a host acts for: at most {max(acting.values())}')


def print_heartbeat() -> None:
    """Prints the size of a heartbeat, of its parts and in other encodings."""
    workload = HeartbeatWorkload(topologies.HOSTS)
    sent = membership.decide(Tick(), workload.state, workload.now_s + 1)
    heartbeat = next(out.message for out in sent if isinstance(out, ToHost))
    without_hosts = heartbeat._replace(hosts=())
    print(f'heartbeat: {count_frame(heartbeat)} bytes')
    print(f'without host views: {count_frame(without_hosts)}')
    print(
        'without endpoint views: '
        f'{count_frame(heartbeat._replace(endpoints=()))}',
    )
    print(f'without both: {count_frame(without_hosts._replace(endpoints=()))}')
    frame = codec.encode(PeerFrame(1, heartbeat))
    with codec.load_struct(PeerFrame).from_bytes(frame) as reader:
        packed = reader.as_builder().to_bytes_packed()
    print(f'trial, packed: {len(packed) + wire.LENGTH_BYTES}')
    compressed = zlib.compress(frame, 1)
    print(f'trial, zlib level 1: {len(compressed) + wire.LENGTH_BYTES}')


def main() -> None:
    """Prints all sizes."""
    print_document()
    print_acting_databases()
    for message in MESSAGES:
        print(f'{type(message).__name__}: {count_frame(message)} bytes')
    print_heartbeat()


if __name__ == '__main__':
    main()
