"""Several hosts of the rates in virtual time, with a fake table.

Messages take a latency and may be lost, repeated or late; pairs of hosts, and
hosts and the table, can be cut off from each other; hosts can pause, die and
restart. One seeded random source decides, so that a run repeats exactly.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from poplarspoke import leases, rates, shares
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


class Answer(NamedTuple):
    """Answer to a request at a time of the fleet."""

    host: str
    workspace: str
    admitted: bool
    time_s: float


class Oracle:
    """One bucket for the whole fleet; its level shows any excess."""

    def __init__(self, rate: float, burst: float) -> None:
        """Starts with a full bucket."""
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.lowest = burst
        self.now_s = 0.0

    def settle(self, now_s: float) -> float:
        """Returns the tokens at a time."""
        refill = max(now_s - self.now_s, 0) * self.rate
        self.now_s = max(now_s, self.now_s)
        self.level = min(self.level + refill, self.burst)
        return self.level

    def charge(self, now_s: float) -> None:
        """Takes a token, also below zero.

        The level is below zero exactly if some interval has more admitted
        requests than burst + rate * length.
        """
        self.settle(now_s)
        self.level -= 1
        self.lowest = min(self.lowest, self.level)


class Host:
    """One host: its state, and what arrived while it was paused."""

    def __init__(self, name: str, state: rates.Rates, offset_s: float) -> None:
        """Takes the state; the offset is the difference of its clock."""
        self.name = name
        self.state = state
        self.offset_s = offset_s
        self.paused = False
        self.backlog: list[Any] = []


class Fleet:
    """Hosts, links, table and the event queue."""

    def __init__(
        self,
        names: tuple[str, ...],
        workspaces: tuple[WorkspaceRate, ...],
        *,
        seed: int,
    ) -> None:
        """Starts all hosts with the same settings."""
        self.names = names
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.hosts: dict[str, Host] = {}
        self.row = Row(key=leases.LEASE_KEY)
        self.cuts: set[frozenset[str]] = set()
        self.lost = 0.0
        self.repeated = 0.0
        self.late_s = 0.0
        self.answers_lost = 0.0
        self.messages = 0
        self.writes = 0
        self.answers: dict[str, Answer] = {}
        self.asked: dict[str, str] = {}
        self.oracles = {
            entry.workspace: Oracle(entry.rate, entry.burst)
            for entry in workspaces
        }
        self.settings = RateSettings(1, names, workspaces, 60)
        self._ids = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        for name in names:
            self.start(name)

    def at(self, time_s: float, act: Callable[[], None]) -> None:
        """Schedules an act."""
        heapq.heappush(self._events, (time_s, next(self._ids), act))

    def run(self, until_s: float) -> None:
        """Runs the events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            time_s, _, act = heapq.heappop(self._events)
            self.now_s = time_s
            act()
        self.now_s = until_s

    def start(self, name: str) -> None:
        """Starts a host, also again with a new incarnation."""
        number = next(self._ids)
        offset_s = self.rng.uniform(0, 1000)
        state = shares.create_state(
            name,
            incarnation=number,
            seed=number,
            now_s=self.now_s + offset_s,
        )
        host = Host(name, state, offset_s)
        self.hosts[name] = host
        self.handle(host, self.settings)
        for other in self.hosts.values():
            self.handle(other, LivePeers(tuple(self.hosts)))
        self.at(self.now_s + self.rng.uniform(0, TICK_S), self._tick(host))

    def stop(self, name: str) -> None:
        """Kills a host."""
        self.hosts.pop(name)

    def resume(self, name: str) -> None:
        """Lets a paused host handle what arrived meanwhile."""
        host = self.hosts[name]
        host.paused = False
        backlog = host.backlog
        host.backlog = []
        for message in backlog:
            self.handle(host, message)

    def request(self, name: str, workspace: str, budget_s: float) -> str:
        """Sends a request to a host; returns its id."""
        request_id = str(next(self._ids))
        self.asked[request_id] = workspace
        if name in self.hosts:
            message = AdmitRequest(request_id, workspace, budget_s)
            self.handle(self.hosts[name], message)
        return request_id

    def handle(self, host: Host, message: Any) -> None:
        """Lets a host decide and sends what it returns."""
        if self.hosts.get(host.name) is not host:
            return
        if host.paused:
            host.backlog.append(message)
            return
        now_s = self.now_s + host.offset_s
        for outgoing in rates.decide(message, host.state, now_s):
            send(outgoing, self, host)

    def link(self, source: str, target: str, act: Callable[[], None]) -> None:
        """Schedules an arrival unless the link is cut or loses it."""
        if frozenset((source, target)) in self.cuts:
            return
        if self.rng.random() < self.lost:
            return
        copies = 2 if self.rng.random() < self.repeated else 1
        for _ in range(copies):
            delay_s = LATENCY_S * (1 + self.rng.uniform(-JITTER, JITTER))
            delay_s += self.rng.uniform(0, self.late_s)
            self.at(self.now_s + delay_s, act)

    def arrive(self, name: str, message: Any) -> None:
        """Delivers a message to whatever process runs on a host."""
        if name in self.hosts:
            self.handle(self.hosts[name], message)

    def serve_store(self, host: Host, message: Any) -> None:
        """Answers a request to the table."""
        answer = apply(message, self)
        if self.rng.random() < self.answers_lost:
            return
        arrive = functools.partial(self.handle, host, answer)
        self.link(STORE, host.name, arrive)

    def take(self, host: Host, reply: Reply) -> None:
        """Notes an answer and charges an admitted request."""
        workspace = self.asked[reply.request_id]
        admitted = reply.message.__class__ is Admitted
        self.answers[reply.request_id] = Answer(
            host.name,
            workspace,
            admitted,
            self.now_s,
        )
        if admitted:
            self.oracles[workspace].charge(self.now_s)

    def _tick(self, host: Host) -> Callable[[], None]:
        return functools.partial(self._run_tick, host)

    def _run_tick(self, host: Host) -> None:
        if self.hosts.get(host.name) is not host:
            return
        if not host.paused:
            self.handle(host, Tick())
        self.at(self.now_s + TICK_S, self._tick(host))


@functools.singledispatch
def send(outgoing: Outgoing, fleet: Fleet, host: Host) -> None:
    """Sends an outgoing message by its type."""
    raise TypeError(type(outgoing).__name__)


@send.register
def _(outgoing: ToHost, fleet: Fleet, host: Host) -> None:
    fleet.messages += 1
    arrive = functools.partial(fleet.arrive, outgoing.host, outgoing.message)
    fleet.link(host.name, outgoing.host, arrive)


@send.register
def _(outgoing: ToStore, fleet: Fleet, host: Host) -> None:
    serve = functools.partial(fleet.serve_store, host, outgoing.message)
    fleet.link(host.name, STORE, serve)


@send.register
def _(outgoing: Reply, fleet: Fleet, host: Host) -> None:
    fleet.take(host, outgoing)


@functools.singledispatch
def apply(message: Any, fleet: Fleet) -> Any:
    """Applies a request to the fake table and returns the answer."""
    raise TypeError(type(message).__name__)


@apply.register
def _(message: ReadRows, fleet: Fleet) -> RowsRead:
    return RowsRead((fleet.row,), fleet.now_s)


@apply.register
def _(message: Commit, fleet: Fleet) -> CommitResult:
    committed = message.conditions[0].version == fleet.row.version
    if committed:
        fleet.writes += 1
        content = message.writes[0].content
        fleet.row = Row(leases.LEASE_KEY, fleet.row.version + 1, content)
    return CommitResult(committed, (fleet.row,), fleet.now_s)
