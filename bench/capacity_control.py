"""Workloads of the control modules: what a daemon does without statements.

A unit is a second of virtual time, unless the series names another one.
"""

import functools
import json
from typing import Any

from bench import capacity_topology as topologies
from bench.capacity_measure import Round, Series, Work, receive, send
from poplarspoke import (
    attempts,
    changes,
    codec,
    configuration,
    dispatch,
    drains,
    failover,
    gossip,
    keys,
    membership,
    metrics,
    placement,
    rates,
    records,
    shares,
    units,
)
from poplarspoke.generated.common import Position, Tick
from poplarspoke.generated.configuration import (
    ChangeSettings,
    PeerState,
    SettingsFreshness,
)
from poplarspoke.generated.drains import WorkCount
from poplarspoke.generated.failover import CandidateRank, EndpointAnswered
from poplarspoke.generated.members import MemberStatus, Role
from poplarspoke.generated.membership import (
    EndpointViews,
    Heartbeat,
    HostsChanged,
    HostStatus,
    HostView,
)
from poplarspoke.generated.operators import (
    AdmissionCounted,
    LeaseObserved,
    QueueTimeCounted,
    ShowMetrics,
)
from poplarspoke.generated.peers import PeerFrame
from poplarspoke.generated.platform import (
    CommitResult,
    HostList,
    Row,
    RowsRead,
)
from poplarspoke.generated.rates import (
    LeaseHolder,
    LeaseRow,
    LivePeers,
    RateSettings,
    WorkspaceRate,
    WorkspaceUnits,
)
from poplarspoke.tasks import ToStore

# Tick intervals of the daemon's tasks.
CONTROL_TICK_S = 0.1
# Slightly longer than a tick, so that rounding cannot delay a heartbeat by one.
CLOCK_STEP_S = CONTROL_TICK_S + 1e-6
FAILOVER_TICK_S = 0.1
RATES_TICK_S = 0.02
TICKS_PER_HEARTBEAT = round(gossip.HEARTBEAT_INTERVAL_S / CONTROL_TICK_S)
FLEET_SIZES = topologies.CURVE_HOSTS
DATABASE_SIZES = (63, 210, 630)
# The document of 630 databases exceeds the size limit and is refused.
ACCEPTED_SIZES = (63, 210, 400)
WORKSPACE_SIZES = (168, 560, 1680)
SECONDS_PER_ROUND = 4
STATUS_CHANGES = 100


class HeartbeatWorkload:
    """Host of a fleet and the heartbeats that it receives.

    Attributes:
        topology: Fleet of the host.
        state: Membership of the host.
        now_s: Virtual time.
        peers: Hosts that send heartbeats to the host.
        sequence: Sequence number of the last round of heartbeats.
        names: Sorted names of all hosts.
    """

    def __init__(self, hosts: int) -> None:
        """Creates the host with the most peers; warms up until it knows all."""
        databases = round(topologies.DATABASES * hosts / topologies.HOSTS)
        self.topology = topologies.create_topology(hosts, databases)
        host = topologies.find_busiest(hosts)
        self.state = topologies.create_membership(self.topology, host)
        self.now_s = topologies.START_S
        self.peers = gossip.choose_peers(self.state)
        self.sequence = 1
        self.names = sorted(self.topology.hosts)
        own_views = EndpointViews(self._list_own_views(host))
        membership.decide(own_views, self.state, self.now_s)
        for _ in range(2 + len(self.names) // gossip.MAX_HOST_VIEWS):
            self.warm_up()

    def _list_own_views(self, host: str) -> tuple[Any, ...]:
        offset = self.names.index(host)
        own = self.topology.databases[offset :: len(self.names)]
        return topologies.list_views(own)[: gossip.MAX_ENDPOINT_VIEWS]

    def build_frames(self) -> list[bytes]:
        """Returns the frames of a round of heartbeats from all peers."""
        self.sequence += 1
        return [
            codec.encode(PeerFrame(1, self._build_heartbeat(offset, name)))
            for offset, name in enumerate(self.peers)
        ]

    def _build_heartbeat(self, offset: int, name: str) -> Heartbeat:
        start = (self.sequence * gossip.MAX_HOST_VIEWS + offset) % len(
            self.names
        )
        doubled = self.names + self.names
        return Heartbeat(
            sender=name,
            zone=self.topology.hosts[name],
            incarnation=1,
            settings_version=1,
            confirmed=True,
            confirmed_ago_s=0.4,
            store_reachable=True,
            store_failed_ago_s=5000,
            endpoints=self._list_own_views(name),
            hosts=tuple(
                HostView(other, 1, 0.4, settings_version=1, zone='zone-1')
                for other in doubled[start : start + gossip.MAX_HOST_VIEWS]
                if other != name
            ),
            sequence=self.sequence,
            echo_sequence=self.state['sequence'],
            echo_ago_s=0.1,
        )

    def warm_up(self) -> None:
        """Runs one second that is not measured."""
        self.run_second(self.build_frames(), self.build_frames())

    def run_second(self, first: list[bytes], second: list[bytes]) -> Work:
        """Handles the ticks and two rounds of heartbeats of a second."""
        total = Work(1)
        for frames in (first, second):
            for _ in range(TICKS_PER_HEARTBEAT):
                self.now_s += CLOCK_STEP_S
                sent = send(membership.decide(Tick(), self.state, self.now_s))
                total = Work(
                    1, total.messages + sent.messages, total.size + sent.size
                )
            for frame in frames:
                membership.decide(receive(frame), self.state, self.now_s)
        return total


def _run_membership(workload: Any, prepared: Any) -> Work:
    total = Work(SECONDS_PER_ROUND)
    for _ in range(SECONDS_PER_ROUND):
        work = workload.run_second(*prepared.pop(0))
        total = Work(
            SECONDS_PER_ROUND,
            total.messages + work.messages,
            total.size + work.size,
        )
    return total


def build_membership(hosts: int) -> tuple[Any, Round]:
    """Heartbeats received and sent in a second, with their frames."""
    workload = HeartbeatWorkload(hosts)
    prepared = [
        (workload.build_frames(), workload.build_frames()) for _ in range(40)
    ]

    return workload.state, functools.partial(
        _run_membership, workload, prepared
    )


def _run_host_list(body: Any, workload: Any) -> Work:
    for _ in range(5):
        message = codec.parse(HostList, json.loads(body))
        membership.decide(message, workload.state, workload.now_s)
    return Work(5, 5, 5 * len(body))


def build_status_changes(hosts: int) -> tuple[Any, Round]:
    """Heartbeat that changes the status of its sender."""
    workload = HeartbeatWorkload(hosts)
    heartbeats = []
    for number in range(STATUS_CHANGES):
        heartbeat = receive(workload.build_frames()[0])
        heartbeats.append(heartbeat._replace(leaving=number % 2 == 0))
    return workload.state, functools.partial(
        _run_status_changes, workload, heartbeats
    )


def _run_status_changes(workload: Any, heartbeats: Any) -> Work:
    for _ in range(10):
        sent = membership.decide(
            heartbeats.pop(0), workload.state, workload.now_s
        )
        if len(sent) < 2:
            raise ValueError('the heartbeat did not change the sender status')
    return Work(10)


def build_host_list(hosts: int) -> tuple[Any, Round]:
    """Answer of the platform with the list of hosts, parsed from JSON."""
    workload = HeartbeatWorkload(hosts)
    listed = HostList(tuple(topologies.list_entries(workload.topology)), 1)
    body = json.dumps(codec.to_object(listed))

    return workload.state, functools.partial(_run_host_list, body, workload)


def _run_configuration(clock: Any, head: Any, names: Any, state: Any) -> Work:
    for _ in range(10):
        _run_configuration_second(state, clock, names, head)
    return Work(10)


def build_configuration(hosts: int) -> tuple[Any, Round]:
    """States of peers, reads of the head row, and confirmations."""
    topology = topologies.create_topology(hosts, 21)
    host = topologies.find_busiest(hosts)
    names = gossip.choose_peers(topologies.create_membership(topology, host))
    state = configuration.create_state(
        host=host,
        zone=topology.hosts[host],
        subscribers=('membership', 'keys', 'dispatch', 'drains', 'rates'),
        now_s=topologies.START_S,
    )
    snapshot = topologies.create_snapshot(topology)
    configuration.decide(snapshot, state, topologies.START_S)
    head = Row(records.HEAD_KEY, 1, _create_head())
    clock = [topologies.START_S]

    return state, functools.partial(
        _run_configuration, clock, head, names, state
    )


def _create_head() -> str:
    change = ChangeSettings('change-1', 'red', 'teams', '{}', 'operator', 'b')
    record = records.create_record(change, version=1, accepted_at_s=1)
    return json.dumps(codec.to_object(record))


def _run_configuration_second(
    state: Any,
    clock: list[float],
    names: list[str],
    head: Row,
) -> None:
    for _ in range(2):
        for _ in range(TICKS_PER_HEARTBEAT):
            clock[0] += CLOCK_STEP_S
            for out in configuration.decide(Tick(), state, clock[0]):
                if isinstance(out, ToStore):
                    configuration.decide(RowsRead((head,)), state, clock[0])
        for name in names:
            peer_state = PeerState(
                name,
                'zone-1',
                1,
                clock[0],
                confirmed=True,
                confirmed_ago_s=0.5,
                store_reachable=True,
            )
            configuration.decide(peer_state, state, clock[0])


def _run_parse(document_holder: Any, text: Any) -> Work:
    document_holder[0] = json.loads(text)
    return Work(1)


def build_parse(databases: int) -> tuple[Any, Round]:
    """Parsing of a settings document."""
    topology = _scale_topology(databases)
    text = topologies.create_snapshot(topology).document
    document_holder = [json.loads(text)]

    return document_holder, functools.partial(_run_parse, document_holder, text)


def _scale_topology(databases: int) -> topologies.Topology:
    hosts = max(topologies.HOSTS * databases // topologies.DATABASES, 8)
    return topologies.create_topology(hosts, databases)


def _run_apply(change: Any, document: Any) -> Work:
    changes.apply_change(document, change)
    return Work(1)


def build_apply(databases: int) -> tuple[Any, Round]:
    """Validation and application of a change to a workspace's rate."""
    topology = _scale_topology(databases)
    document: Any = topologies.create_document(topology)
    change = ChangeSettings(
        'change-2',
        'team-0',
        'teams/team-0/workspaces/workspace-0000/rate',
        '600',
        'operator',
        'bench',
    )

    return document, functools.partial(_run_apply, change, document)


def _run_commit(record: Any, snapshot: Any) -> Work:
    commit = records.create_commit(record, snapshot.document)
    body = json.dumps(codec.to_object(commit))
    return Work(1, 1, len(body))


def build_commit(databases: int) -> tuple[Any, Round]:
    """Compression of the commit of a change; bytes sent to the table."""
    topology = _scale_topology(databases)
    snapshot = topologies.create_snapshot(topology)
    change = ChangeSettings(
        'change-2',
        'team-0',
        'teams/team-0',
        '1',
        'operator',
        'bench',
    )
    record = records.create_record(change, version=2, accepted_at_s=1)

    return snapshot, functools.partial(_run_commit, record, snapshot)


def _run_read_document(body: Any) -> Work:
    read = codec.parse(RowsRead, json.loads(body))
    records.read_snapshot(read.rows[0], read.rows[1])
    return Work(1, 1, len(body))


def build_read_document(databases: int) -> tuple[Any, Round]:
    """Read of the document from the rows of the table; bytes of the answer."""
    topology = _scale_topology(databases)
    snapshot = topologies.create_snapshot(topology)
    change = ChangeSettings(
        'change-1',
        'team-0',
        'teams/team-0',
        '1',
        'operator',
        'bench',
    )
    record = records.create_record(change, version=1, accepted_at_s=1)
    commit = records.create_commit(record, snapshot.document)
    rows = tuple(Row(write.key, 1, write.content) for write in commit.writes)
    body = json.dumps(codec.to_object(RowsRead(rows[:2], 1)))

    return rows, functools.partial(_run_read_document, body)


def _run_snapshot(snapshot: Any) -> Work:
    frame = codec.encode(PeerFrame(1, snapshot))
    receive(frame)
    return Work(1, 1, len(frame) + 4)


def build_snapshot(databases: int) -> tuple[Any, Round]:
    """Document sent to a peer with an older version, and read there."""
    snapshot = topologies.create_snapshot(_scale_topology(databases))

    return snapshot, functools.partial(_run_snapshot, snapshot)


def build_adopt_keys(databases: int) -> tuple[Any, Round]:
    """Settings version put in force in the key check."""
    state = keys.create_state()
    return _build_adopt(databases, keys.decide, state)


def build_adopt_dispatch(databases: int) -> tuple[Any, Round]:
    """Settings version put in force in the dispatcher, with all hosts live."""
    topology = _scale_topology(databases)
    name = next(iter(topology.hosts))
    state = placement.create_state(name, topology.hosts[name], seed=1)
    dispatch.decide(create_hosts_changed(topology), state, topologies.START_S)
    return _build_adopt(databases, dispatch.decide, state)


def build_adopt_drains(databases: int) -> tuple[Any, Round]:
    """Settings version put in force in the drains."""
    state = drains.create_state(zone='zone-1', subscribers=('dispatch',))
    return _build_adopt(databases, drains.decide, state)


def build_adopt_membership(databases: int) -> tuple[Any, Round]:
    """Settings version put in force in the membership."""
    topology = _scale_topology(databases)
    state = topologies.create_membership(topology, next(iter(topology.hosts)))
    return _build_adopt(databases, membership.decide, state)


def _run_adopt(base: Any, decide: Any, state: Any, versions: Any) -> Work:
    versions[0] += 1
    snapshot = base.snapshot._replace(version=versions[0])
    decide(base._replace(snapshot=snapshot), state, topologies.START_S)
    return Work(1)


def _build_adopt(
    databases: int,
    decide: Any,
    state: Any,
) -> tuple[Any, Round]:
    base = topologies.create_in_force(_scale_topology(databases))
    versions = [0]

    return state, functools.partial(_run_adopt, base, decide, state, versions)


def create_hosts_changed(topology: topologies.Topology) -> HostsChanged:
    """Returns the update that all hosts of a topology are live."""
    return HostsChanged(
        tuple(
            HostStatus(name, zone, topologies.ADDRESS, live=True)
            for name, zone in sorted(topology.hosts.items())
        ),
    )


def _run_hosts_changed(all_live: Any, state: Any, one_missing: Any) -> Work:
    dispatch.decide(all_live, state, topologies.START_S)
    dispatch.decide(one_missing, state, topologies.START_S)
    return Work(2)


def build_hosts_changed(hosts: int) -> tuple[Any, Round]:
    """Change of the live hosts: the dispatcher re-ranks every database."""
    topology = topologies.create_topology(hosts, topologies.DATABASES)
    names = sorted(topology.hosts)
    state = placement.create_state(names[0], 'zone-0', seed=1)
    dispatch.decide(
        topologies.create_in_force(topology), state, topologies.START_S
    )
    all_live = create_hosts_changed(topology)
    one_missing = HostsChanged(all_live.hosts[:-1])

    return state, functools.partial(
        _run_hosts_changed, all_live, state, one_missing
    )


def _run_dispatch_ticks(now_s: Any, state: Any) -> Work:
    for _ in range(10):
        dispatch.decide(Tick(), state, now_s)
    return Work(10)


def build_dispatch_ticks(databases: int) -> tuple[Any, Round]:
    """Tick of a dispatcher with views of all endpoints; it renews its own."""
    topology = topologies.create_topology(8, databases)
    state = placement.create_state('h000.z0', 'zone-0', seed=1)
    now_s = topologies.START_S
    dispatch.decide(topologies.create_in_force(topology), state, now_s)
    views = EndpointViews(topologies.list_views(topology.databases))
    dispatch.decide(views, state, now_s)

    return state, functools.partial(_run_dispatch_ticks, now_s, state)


def _run_store_views(clock: Any, state: Any, views: Any) -> Work:
    clock[0] += 1
    dispatch.decide(views, state, clock[0])
    return Work(1)


def build_store_views(databases: int) -> tuple[Any, Round]:
    """Batch of views of all endpoints, one a second, stored by a host."""
    topology = topologies.create_topology(8, databases)
    state = placement.create_state('h000.z0', 'zone-0', seed=1)
    dispatch.decide(
        topologies.create_in_force(topology), state, topologies.START_S
    )
    views = EndpointViews(topologies.list_views(topology.databases))
    clock = [topologies.START_S]

    return state, functools.partial(_run_store_views, clock, state, views)


def build_drain_ticks(databases: int) -> tuple[Any, Round]:
    """Tick of the drains with every endpoint in service."""
    return _build_drains(databases, Tick())


def build_drain_counts(databases: int) -> tuple[Any, Round]:
    """Work count for the drains with every endpoint in service."""
    return _build_drains(databases, WorkCount('callers', 3))


def _run_drains(message: Any, state: Any) -> Work:
    for _ in range(20):
        drains.decide(message, state, topologies.START_S)
    return Work(20)


def _build_drains(databases: int, message: Any) -> tuple[Any, Round]:
    state = drains.create_state(zone='zone-1', subscribers=('dispatch',))
    topology = topologies.create_topology(8, databases)
    drains.decide(
        topologies.create_in_force(topology), state, topologies.START_S
    )

    return state, functools.partial(_run_drains, message, state)


def build_failover_idle(databases: int) -> tuple[Any, Round]:
    """Ticks of a second for databases that the host does not act for."""
    return _build_failover(databases, rank=attempts.ACTING_RANKS)


def build_failover_acting(databases: int) -> tuple[Any, Round]:
    """Ticks, probes and answers of a second where the host may act."""
    return _build_failover(databases, rank=0)


def _run_failover(clock: Any, states: Any) -> Work:
    size = 0
    calls = 0
    for _ in range(round(1 / FAILOVER_TICK_S)):
        clock[0] += FAILOVER_TICK_S
        for state in states:
            for out in failover.decide(Tick(), state, clock[0]):
                size += _answer_probe(out, state, clock[0])
                calls += 1
    return Work(1, calls, size)


def _build_failover(databases: int, *, rank: int) -> tuple[Any, Round]:
    clock = [topologies.START_S]
    peers = tuple(topologies.create_topology(topologies.HOSTS, 1).hosts)
    states = []
    for index in range(databases):
        database = f'database-{index:03}'
        locations = tuple(
            attempts.MemberLocation(
                name, f'zone-{member_index}', topologies.ADDRESS
            )
            for member_index, name in enumerate(
                topologies.list_endpoints(database)
            )
        )
        state = attempts.create_state(
            'h000.z0',
            1,
            database,
            locations,
            listeners=('dispatch',),
            now_s=clock[0],
        )
        failover.decide(CandidateRank(rank, peers), state, clock[0])
        failover.decide(Tick(), state, clock[0])
        failover.decide(RowsRead((state['row'],)), state, clock[0])
        states.append(state)

    return states, functools.partial(_run_failover, clock, states)


def _answer_probe(out: Any, state: Any, now_s: float) -> int:
    """Answers a probe and returns the bytes of the answer's JSON body."""
    name = getattr(out, 'endpoint', '')
    if not name:
        return 0
    primary = f'{state["database"]}-m0'
    role = Role.PRIMARY if name == primary else Role.REPLICA
    status = MemberStatus(
        name,
        topologies.TERM,
        role,
        Position(topologies.TERM, 1000),
        0.1,
        primary,
        0.1,
    )
    body = json.dumps(codec.to_object(status))
    parsed = codec.parse(MemberStatus, json.loads(body))
    answer = EndpointAnswered(out.message.call_id, name, body=parsed)
    failover.decide(answer, state, now_s)
    return len(body)


def _create_rate_settings(hosts: int, workspaces: int) -> RateSettings:
    topology = topologies.create_topology(hosts, 1, workspaces)
    return RateSettings(
        1,
        tuple(sorted(topology.hosts)),
        tuple(WorkspaceRate(name, 500, 1000) for name in topology.workspaces),
        60,
    )


def _create_rates(hosts: int, workspaces: int) -> tuple[Any, RateSettings]:
    settings = _create_rate_settings(hosts, workspaces)
    state = shares.create_state(
        settings.hosts[0], incarnation=1, seed=1, now_s=topologies.START_S
    )
    rates.decide(settings, state, topologies.START_S)
    rates.decide(LivePeers(settings.hosts), state, topologies.START_S)
    return state, settings


def _run_rates(clock: Any, state: Any) -> Work:
    for _ in range(round(1 / RATES_TICK_S)):
        clock[0] += RATES_TICK_S
        rates.decide(Tick(), state, clock[0])
    return Work(1)


def build_rates(workspaces: int) -> tuple[Any, Round]:
    """Ticks of a second of the rates, without a lease renewal."""
    state = _create_rates(topologies.HOSTS, workspaces)[0]
    clock = [topologies.START_S + 20]
    state['next_commit_s'] = float('inf')

    return state, functools.partial(_run_rates, clock, state)


def _create_lease_row(settings: RateSettings) -> Row:
    """Returns the lease row of a full group with all workspaces."""
    own = settings.hosts[0]
    key = units.get_lease_key(own, settings.hosts)
    group = [
        host
        for host in settings.hosts
        if units.get_lease_key(host, settings.hosts) == key
    ]
    entries = tuple(
        WorkspaceUnits(entry.workspace, units.UNITS // len(group), 1.25)
        for entry in settings.workspaces
    )
    holders = tuple(LeaseHolder(host, 1, 1, 1, 1, entries) for host in group)
    content = json.dumps(codec.to_object(LeaseRow(holders)))
    return Row(key, 1, content)


def _run_lease(clock: Any, row: Any, state: Any, version: Any) -> Work:
    clock[0] += rates.RENEWAL_INTERVAL_S
    state['demand'] = dict.fromkeys(state['demand'], 2.5)
    state['next_commit_s'] = clock[0]
    sent = rates.decide(Tick(), state, clock[0])
    commit = next(out for out in sent if isinstance(out, ToStore)).message
    body = json.dumps(codec.to_object(commit))
    version[0] += 1
    written = Row(row.key, version[0], commit.writes[0].content)
    rates.decide(CommitResult(committed=True, rows=(written,)), state, clock[0])
    return Work(1, 1, len(body))


def build_lease(workspaces: int) -> tuple[Any, Round]:
    """Lease renewal: plan, commit and answer; bytes of the commit."""
    state, settings = _create_rates(topologies.HOSTS, workspaces)
    clock = [topologies.START_S + 20]
    row = _create_lease_row(settings)
    rates.decide(RowsRead((row,)), state, clock[0])
    version = [1]

    return state, functools.partial(_run_lease, clock, row, state, version)


def _run_metrics(state: Any) -> Work:
    shown: Any = metrics.decide(ShowMetrics('m'), state, 0)[0]
    return Work(1, 1, len(shown.message.text))


def build_metrics(workspaces: int) -> tuple[Any, Round]:
    """Rendering of the metrics with all series of the workspaces."""
    state = metrics.create_metrics()
    for index in range(workspaces):
        name = f'workspace-{index:04}'
        for admitted in (True, False):
            counted = AdmissionCounted(name, admitted, wrongful=True)
            metrics.decide(counted, state, 0)
        metrics.decide(QueueTimeCounted(name, 0.01), state, 0)
        metrics.decide(LeaseObserved(name, 10), state, 0)

    return state, functools.partial(_run_metrics, state)


def _run_freshness(fresh: Any, state: Any) -> Work:
    for _ in range(1000):
        keys.decide(fresh, state, topologies.START_S)
    return Work(1000)


def build_freshness(databases: int) -> tuple[Any, Round]:
    """Update of the settings' freshness for the key check."""
    state = keys.create_state()
    topology = topologies.create_topology(8, databases)
    keys.decide(topologies.create_in_force(topology), state, topologies.START_S)
    fresh = SettingsFreshness(
        1, confirmed=True, confirmed_at_s=topologies.START_S, evidence='store'
    )

    return state, functools.partial(_run_freshness, fresh, state)


SERIES = (
    Series(
        'membership heartbeats', 'hosts', 's', FLEET_SIZES, build_membership
    ),
    Series(
        'membership status change',
        'hosts',
        'message',
        FLEET_SIZES,
        build_status_changes,
    ),
    Series(
        'membership host list', 'hosts', 'list', FLEET_SIZES, build_host_list
    ),
    Series('configuration', 'hosts', 's', FLEET_SIZES, build_configuration),
    Series('settings parse', 'databases', 'parse', DATABASE_SIZES, build_parse),
    Series(
        'settings change', 'databases', 'change', ACCEPTED_SIZES, build_apply
    ),
    Series(
        'settings commit', 'databases', 'commit', ACCEPTED_SIZES, build_commit
    ),
    Series(
        'settings from table',
        'databases',
        'read',
        ACCEPTED_SIZES,
        build_read_document,
    ),
    Series(
        'settings to a peer',
        'databases',
        'frame',
        ACCEPTED_SIZES,
        build_snapshot,
    ),
    Series(
        'settings in keys',
        'databases',
        'version',
        DATABASE_SIZES,
        build_adopt_keys,
    ),
    Series(
        'settings in dispatch',
        'databases',
        'version',
        DATABASE_SIZES,
        build_adopt_dispatch,
    ),
    Series(
        'settings in drains',
        'databases',
        'version',
        DATABASE_SIZES,
        build_adopt_drains,
    ),
    Series(
        'settings in membership',
        'databases',
        'version',
        DATABASE_SIZES,
        build_adopt_membership,
    ),
    Series(
        'keys freshness',
        'databases',
        'message',
        DATABASE_SIZES,
        build_freshness,
    ),
    Series(
        'dispatch host change',
        'hosts',
        'change',
        FLEET_SIZES,
        build_hosts_changed,
    ),
    Series(
        'dispatch tick',
        'databases',
        'tick',
        DATABASE_SIZES,
        build_dispatch_ticks,
    ),
    Series(
        'dispatch views',
        'databases',
        'batch',
        DATABASE_SIZES,
        build_store_views,
    ),
    Series(
        'drains tick', 'databases', 'tick', DATABASE_SIZES, build_drain_ticks
    ),
    Series(
        'drains work count',
        'databases',
        'message',
        DATABASE_SIZES,
        build_drain_counts,
    ),
    Series(
        'failover idle', 'databases', 's', DATABASE_SIZES, build_failover_idle
    ),
    Series(
        'failover acting', 'databases', 's', (1, 5, 20), build_failover_acting
    ),
    Series('rates ticks', 'workspaces', 's', WORKSPACE_SIZES, build_rates),
    Series(
        'rates lease', 'workspaces', 'renewal', WORKSPACE_SIZES, build_lease
    ),
    Series(
        'metrics rendering',
        'workspaces',
        'rendering',
        (64, 128, 256),
        build_metrics,
    ),
)
