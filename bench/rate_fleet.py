"""Simulation of the rates on several hosts, with a stand-in for the table.

In virtual time. Messages have a latency and may be lost, repeated or delayed;
hosts can be partitioned from each other and from the table; hosts can pause,
die and restart. All randomness comes from one seeded source, so that a run is
reproducible.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from poplarspoke import rates, shares
from poplarspoke.generated.common import Tick
from poplarspoke.generated.platform import (
    Commit,
    CommitResult,
    ReadRows,
    Row,
    RowsRead,
)
from poplarspoke.generated.rates import (
    AdmitRequest,
    Admitted,
    LivePeers,
    RateSettings,
    WorkspaceRate,
)
from poplarspoke.tasks import Outgoing, Reply, ToHost, ToStore

STORE = 'store'
TICK_S = 0.05
LATENCY_S = 0.0015
JITTER = 0.2
DEATH_DETECTION_S = 5.0  # Until the other hosts detect a dead host.


class Answer(NamedTuple):
    """Answer of a host to a request, with the virtual time of the answer."""

    host: str
    workspace: str
    admitted: bool
    time_s: float


class Oracle:
    """Bucket for the whole fleet; a negative level shows an excess."""

    def __init__(self, rate: float, burst: float) -> None:
        """Starts with a full bucket."""
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.lowest = burst
        self.now_s = float(0)

    def refill(self, now_s: float) -> float:
        """Refills the bucket up to a time and returns its level in tokens."""
        added = max(now_s - self.now_s, 0) * self.rate
        self.now_s = max(now_s, self.now_s)
        self.level = min(self.level + added, self.burst)
        return self.level

    def charge(self, now_s: float) -> None:
        """Removes a token, even if the level falls below zero.

        The level is negative if and only if some interval has more admitted
        requests than burst + rate * length.
        """
        self.refill(now_s)
        self.level -= 1
        self.lowest = min(self.lowest, self.level)


class Host:
    """Host with its state and the messages that arrived during a pause."""

    def __init__(
        self, name: str, state: shares.RatesState, offset_s: float
    ) -> None:
        """Sets the state; the clock is ``offset_s`` ahead of the fleet's."""
        self.name = name
        self.state = state
        self.offset_s = offset_s
        self.paused = False
        self.backlog: list[Any] = []


class Faults(NamedTuple):
    """Faults of all links.

    Attributes:
        lost: Fraction of messages that are lost.
        repeated: Fraction of messages that arrive twice.
        late_s: Longest additional delay in seconds.
        answers_lost: Fraction of the table's answers that are lost after the
            request took effect.
    """

    lost: float = 0
    repeated: float = 0
    late_s: float = 0
    answers_lost: float = 0


class Event(NamedTuple):
    """Scheduled action; the number orders actions of the same time."""

    time_s: float
    number: int
    action: Callable[[], None]


class Network:
    """Virtual clock, event queue and links.

    Attributes:
        rng: Source of all randomness of a run.
        now_s: Virtual time.
        cuts: Pairs of names whose link is partitioned.
        faults: Faults of all links.
        messages: Number of messages sent between hosts.
    """

    def __init__(self, seed: int) -> None:
        """Starts at time 0 without faults."""
        self.rng = random.Random(seed)
        self.now_s = float(0)
        self.partitions: set[frozenset[str]] = set()
        self.faults = Faults()
        self.messages = 0
        self._numbers = itertools.count(1)
        self._events: list[Event] = []

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a virtual time."""
        heapq.heappush(self._events, Event(time_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        """Runs the events up to a virtual time, that time included."""
        while self._events and self._events[0].time_s <= until_s:
            event = heapq.heappop(self._events)
            self.now_s = event.time_s
            event.action()
        self.now_s = until_s

    def link(
        self, source: str, target: str, action: Callable[[], None]
    ) -> None:
        """Schedules an arrival unless the link is partitioned or loses it."""
        if frozenset((source, target)) in self.partitions:
            return
        if self.rng.random() < self.faults.lost:
            return
        copies = 2 if self.rng.random() < self.faults.repeated else 1
        for _ in range(copies):
            delay_s = LATENCY_S * (1 + self.rng.uniform(-JITTER, JITTER))
            delay_s += self.rng.uniform(0, self.faults.late_s)
            self.at(self.now_s + delay_s, action)


class Table:
    """Stand-in for the table: rows and the number of writes."""

    def __init__(self) -> None:
        """Starts without rows."""
        self.rows: dict[str, Row] = {}
        self.writes = 0

    def read(self, key: str) -> Row:
        """Returns a row, with version 0 if it is absent."""
        return self.rows.get(key, Row(key=key))


class Record:
    """Requests, their answers, and the oracles that check the answers."""

    def __init__(self, workspaces: tuple[WorkspaceRate, ...]) -> None:
        """Creates an oracle for each workspace."""
        self.workspace_of: dict[str, str] = {}
        self.answers: dict[str, Answer] = {}
        self.oracles = {
            entry.workspace: Oracle(entry.rate, entry.burst)
            for entry in workspaces
        }


class Fleet:
    """Simulated hosts with their network and table."""

    def __init__(
        self,
        names: tuple[str, ...],
        workspaces: tuple[WorkspaceRate, ...],
        *,
        seed: int,
    ) -> None:
        """Starts all hosts with the same settings."""
        self.network = Network(seed)
        self.table = Table()
        self.record = Record(workspaces)
        self.hosts: dict[str, Host] = {}
        self.settings = RateSettings(1, names, workspaces, 60)
        self._ids = itertools.count(1)
        for name in names:
            self.start(name)

    @property
    def now_s(self) -> float:
        """Returns the virtual time."""
        return self.network.now_s

    def wait(self, wait_s: float) -> None:
        """Runs the events of the next ``wait_s`` seconds."""
        self.network.run(self.now_s + wait_s)

    def start(self, name: str) -> None:
        """Starts or restarts a host, each time with a new incarnation."""
        number = next(self._ids)
        offset_s = self.network.rng.uniform(0, 1000)
        state = shares.create_state(
            name,
            incarnation=number,
            seed=number,
            now_s=self.now_s + offset_s,
        )
        host = Host(name, state, offset_s)
        self.hosts[name] = host
        self.handle(host, self.settings)
        self._announce_live_peers()
        first_s = self.network.rng.uniform(0, TICK_S)
        self.network.at(
            self.now_s + first_s, functools.partial(self._run_tick, host)
        )

    def stop(self, name: str) -> None:
        """Kills a host; the others are notified ``DEATH_DETECTION_S`` later."""
        self.hosts.pop(name)
        self.network.at(
            self.now_s + DEATH_DETECTION_S, self._announce_live_peers
        )

    def resume(self, name: str) -> None:
        """Resumes a paused host, which then handles its backlog."""
        host = self.hosts[name]
        host.paused = False
        backlog = host.backlog
        host.backlog = []
        for message in backlog:
            self.handle(host, message)

    def request(self, name: str, workspace: str, budget_s: float) -> str:
        """Sends a request to a host; returns its id."""
        request_id = str(next(self._ids))
        self.record.workspace_of[request_id] = workspace
        self.arrive(name, AdmitRequest(request_id, workspace, budget_s))
        return request_id

    def is_running(self, host: Host) -> bool:
        """Returns whether a host runs and was not restarted since."""
        return any(host is running for running in self.hosts.values())

    def handle(self, host: Host, message: Any) -> None:
        """Passes a message to a host and sends the outgoing messages."""
        if not self.is_running(host):
            return
        if host.paused:
            host.backlog.append(message)
            return
        now_s = self.now_s + host.offset_s
        for outgoing in rates.decide(message, host.state, now_s):
            send(outgoing, self, host)

    def arrive(self, name: str, message: Any) -> None:
        """Delivers a message to the current incarnation of a host, if any."""
        host = self.hosts.get(name)
        if host is not None:
            self.handle(host, message)

    def serve_store(self, host: Host, message: Any) -> None:
        """Applies a request of a host to the table and sends the answer."""
        answer = apply(message, self)
        if self.network.rng.random() < self.network.faults.answers_lost:
            return
        arrive = functools.partial(self.handle, host, answer)
        self.network.link(STORE, host.name, arrive)

    def record_answer(self, host: Host, reply: Reply) -> None:
        """Records an answer; charges the oracle if the request is admitted."""
        workspace = self.record.workspace_of[reply.request_id]
        admitted = reply.message.__class__ is Admitted
        self.record.answers[reply.request_id] = Answer(
            host.name,
            workspace,
            admitted,
            self.now_s,
        )
        if admitted:
            self.record.oracles[workspace].charge(self.now_s)

    def _announce_live_peers(self) -> None:
        for host in list(self.hosts.values()):
            self.handle(host, LivePeers(tuple(self.hosts)))

    def _run_tick(self, host: Host) -> None:
        if not self.is_running(host):
            return
        if not host.paused:
            self.handle(host, Tick())
        self.network.at(
            self.now_s + TICK_S, functools.partial(self._run_tick, host)
        )


@functools.singledispatch
def send(outgoing: Outgoing, fleet: Fleet, host: Host) -> None:
    """Sends an outgoing message to its destination."""
    raise TypeError(type(outgoing).__name__)


@send.register
def _(outgoing: ToHost, fleet: Fleet, host: Host) -> None:
    fleet.network.messages += 1
    arrive = functools.partial(fleet.arrive, outgoing.host, outgoing.message)
    fleet.network.link(host.name, outgoing.host, arrive)


@send.register
def _(outgoing: ToStore, fleet: Fleet, host: Host) -> None:
    serve = functools.partial(fleet.serve_store, host, outgoing.message)
    fleet.network.link(host.name, STORE, serve)


@send.register
def _(outgoing: Reply, fleet: Fleet, host: Host) -> None:
    fleet.record_answer(host, outgoing)


@functools.singledispatch
def apply(message: Any, fleet: Fleet) -> Any:
    """Applies a request to the table and returns the answer."""
    raise TypeError(type(message).__name__)


@apply.register
def _(message: ReadRows, fleet: Fleet) -> RowsRead:
    rows = tuple(fleet.table.read(key) for key in message.keys)
    return RowsRead(rows, fleet.now_s)


@apply.register
def _(message: Commit, fleet: Fleet) -> CommitResult:
    condition = message.conditions[0]
    row = fleet.table.read(condition.key)
    committed = condition.version == row.version
    if committed:
        fleet.table.writes += 1
        content = message.writes[0].content
        row = Row(row.key, row.version + 1, content)
        fleet.table.rows[row.key] = row
    return CommitResult(committed, (row,), fleet.now_s)
