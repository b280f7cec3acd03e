"""Promises of failovers while orders, releases and hosts come in any order.

The store refuses some hosts, performs writes late, hosts restart, a partition holds
up orders until they expire, and replicas receive nothing, crash, leave and are
replaced.
"""

import functools
import os
from typing import Any, NamedTuple, TypeAlias

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarspoke.control.failover import HTTP_CONFLICT, HTTP_OK
from poplarspoke.generated.common import Position
from poplarspoke.generated.control import (
    EndpointState,
    OrderPromotion,
    PromotionAnswered,
    RecordsWritten,
    WriteRecords,
)
from poplarspoke.generated.relay import EndpointUnresponsive
from poplarspoke.generated.rules import EndpointEntry, EndpointRole
from tests.control_simulation import SERVICE, TICK_S, ControlSimulation

HOSTS = ('h0', 'h1', 'h2', 'h3')
HOST_COUNT = len(HOSTS)
MEMBERS = ('m1', 'm2', 'm3')
FIRST = Position(1, 1)
# Longer than all waits of a failover.
QUIET_S = 40.0
LONG = bool(os.environ.get('SOAK'))


class Run(NamedTuple):
    """Time passes, while callers write."""

    seconds: float


class Refuse(NamedTuple):
    """The store refuses two hosts, named by their rank."""

    ranks: tuple[int, int]


class Isolate(NamedTuple):
    """A host reaches no other host, or gets no answers to its writes."""

    rank: int
    kind: str


class Restart(NamedTuple):
    """A host starts again and knows only one other host."""

    rank: int
    seed: int


class Hold(NamedTuple):
    """A partition begins with the next order of the leader, and holds it up."""


class Delay(NamedTuple):
    """The store performs the writes of a host late."""

    rank: int


class Deliver(NamedTuple):
    """What was held up arrives, unless it was given up before."""


class Drain(NamedTuple):
    """The primary drains, and the other members do not."""


class Crash(NamedTuple):
    """A member crashes; it keeps its log. The primary has rank 0."""

    rank: int


class Deafen(NamedTuple):
    """A replica receives nothing any more."""

    rank: int


class Leave(NamedTuple):
    """A replica ends for good, after it has drained if that is planned."""

    rank: int
    is_planned: bool


class Replace(NamedTuple):
    """A member starts at the address of one that left, with its log."""


class Lapse(NamedTuple):
    """The entry of a member expires, although it runs."""

    rank: int


class Revive(NamedTuple):
    """A member is back, or receives again."""

    rank: int


Action: TypeAlias = (
    Run
    | Refuse
    | Isolate
    | Restart
    | Hold
    | Delay
    | Deliver
    | Drain
    | Crash
    | Deafen
    | Leave
    | Replace
    | Lapse
    | Revive
)
# The leader has rank 0.
HOST_RANKS = st.integers(0, len(HOSTS) - 1)
MEMBER_RANKS = st.integers(0, len(MEMBERS) - 1)
ACTIONS = st.one_of(
    st.builds(Run, st.sampled_from((0.2, 1.0, 4.0))),
    st.builds(Refuse, st.sampled_from(((0, 1), (1, 2), (2, 3)))),
    st.builds(Isolate, HOST_RANKS, st.sampled_from(('hosts', 'answers'))),
    st.builds(Restart, HOST_RANKS, HOST_RANKS),
    st.builds(Hold),
    st.builds(Delay, HOST_RANKS),
    st.builds(Deliver),
    st.builds(Drain),
    st.builds(Crash, MEMBER_RANKS),
    st.builds(Deafen, st.integers(1, 2)),
    st.builds(Leave, st.integers(1, 2), st.booleans()),
    st.builds(Replace),
    st.builds(Lapse, MEMBER_RANKS),
    st.builds(Revive, MEMBER_RANKS),
)


class DisturbedFleet(ControlSimulation):
    """Hosts over members with logs; it checks each promotion.

    Attributes:
        logs: Positions in the log of each member.
        acknowledged: Positions that were acknowledged to callers.
        names: Members that have not left.
    """

    def __init__(
        self,
        sync_replicas: int,
        *,
        hosts: int = HOST_COUNT,
        zones: int = 1,
        tolerates_zones: bool = False,
    ) -> None:
        """Starts the hosts over members with the same log."""
        self.logs = {name: [FIRST] for name in MEMBERS}
        self.acknowledged: set[Position] = set()
        self.names = list(MEMBERS)
        self._lapsed: dict[str, EndpointEntry] = {}
        self._vacant: list[EndpointEntry] = []
        self._started = len(MEMBERS)
        self._deaf: set[str] = set()
        self._may_hold = False
        self._held: list[tuple[int, OrderPromotion]] = []
        self._arrived: list[OrderPromotion] = []
        self._incarnation = 1
        super().__init__(hosts, zones=zones, tolerates_zones=tolerates_zones)
        for name in MEMBERS:
            self._update(name)
        self.sync_replicas = sync_replicas
        self.configure(2)
        self.run(1)

    def run(self, seconds: float) -> None:
        """Advances the clock, while callers read and write at all hosts."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            for host in self.hosts:
                for member in self.list_unresponsive(host):
                    self.post(host, EndpointUnresponsive(member, SERVICE))
            super().run(TICK_S)
            for host in self.hosts:
                self._write(host)

    def list_unresponsive(self, host: str) -> set[str]:
        """Returns the members that do not answer a host."""
        return self.dead

    def perform(self, name: str, outgoing: Any) -> None:
        """Carries out a message; an order may be held up.

        A request to a store that does not answer ends without an answer.
        """
        message = getattr(outgoing, 'message', None)
        if isinstance(message, OrderPromotion):
            self._receive_order(name, message)
            return
        is_lost = name in self.store_unreachable
        if is_lost and isinstance(message, WriteRecords):
            self.post(name, RecordsWritten(message.correlation))
            return
        super().perform(name, outgoing)

    def find_host(self, rank: int) -> str:
        """Returns a host; the leader is the first one."""
        leader = self.read_record('duty')['holder']
        hosts = sorted(self.hosts, key=lambda host: (host != leader, host))
        return hosts[rank]

    def find_member(self, rank: int) -> str:
        """Returns a member; the primary is the first one."""
        primary = self.find_primary()
        names = sorted(self.names, key=lambda name: (name != primary, name))
        return names[min(rank, len(names) - 1)]

    def set_entry(self, name: str, **changed: Any) -> None:
        """Changes the entry of a member, which may have expired."""
        if name not in self._lapsed:
            super().set_entry(name, **changed)
            return
        self._lapsed[name] = self._lapsed[name]._replace(**changed)

    def drain(self) -> None:
        """Lets the primary drain."""
        primary = self.find_primary()
        for name in self.names:
            self.set_entry(name, draining=name == primary)

    def leave(self, member: str, *, is_planned: bool) -> None:
        """Ends a replica for good."""
        if member == self.find_primary():
            return
        if is_planned:
            self.set_entry(member, draining=True)
            self.run(1)
        if member == self.find_primary():
            return
        self.register(member)
        self.version += 1
        self._vacant.append(self.entries.pop(member))
        self.names.remove(member)
        self.dead.add(member)

    def replace(self) -> None:
        """Starts the successor of the member that left first."""
        if not self._vacant:
            return
        entry = self._vacant.pop(0)
        self._started += 1
        name = f'm{self._started}'
        self.logs[name] = list(self.logs[entry.endpoint])
        former = self.members[entry.endpoint]
        self.members[name] = former._replace(
            endpoint=name, role=EndpointRole.REPLICA
        )
        self.version += 1
        self.entries[name] = entry._replace(
            endpoint=name, draining=False, role=EndpointRole.REPLICA
        )
        self.names.append(name)

    def lapse(self, member: str) -> None:
        """Removes the entry of a member that runs."""
        if member in self.entries:
            self.version += 1
            self._lapsed[member] = self.entries.pop(member)

    def register(self, member: str) -> None:
        """Writes the entry of a member again."""
        if member in self._lapsed:
            self.version += 1
            self.entries[member] = self._lapsed.pop(member)

    def crash(self, member: str) -> None:
        """Stops a member."""
        self.dead.add(member)

    def deafen(self, member: str) -> None:
        """Cuts a replica off from the others."""
        self._deaf.add(member)

    def revive(self, member: str) -> None:
        """Brings a member back; it follows the newest primary."""
        self.register(member)
        self.dead.discard(member)
        self._deaf.discard(member)
        newest = self.find_primary()
        if newest == member or newest in self.dead:
            return
        if self.members[newest].role is EndpointRole.PRIMARY:
            self._follow(member, newest)

    def restart(self, host: str, seed: str) -> None:
        """Starts a host that knows nothing but another one."""
        self._incarnation += 1
        self.start(host, self._incarnation, seeds=(seed,))

    def hold(self) -> None:
        """Lets a partition begin with the next order."""
        self._may_hold = True

    def deliver(self) -> None:
        """Delivers what was held up; an order only until it expires."""
        held = self._held
        self._held = []
        self._may_hold = False
        running = {state['incarnation'] for state in self.hosts.values()}
        for incarnation, order in held:
            # The kernel discards the order of a process that has ended.
            if self.now_s < order.expires_s and incarnation in running:
                self._carry_out(order)
            self.post(order.holder, PromotionAnswered(SERVICE, order.endpoint))
        self.perform_writes()

    def heal(self) -> None:
        """Ends all disturbances."""
        self.deliver()
        self.store_unreachable.clear()
        self.unreachable.clear()
        self.unanswered.clear()
        for name in self.names:
            self.revive(name)
            self.set_entry(name, draining=False)

    def find_primary(self) -> str:
        """Returns the member that leads the newest term."""
        newest = max(
            self.members.values(),
            key=lambda state: (state.term, state.role),
        )
        return newest.endpoint

    def _receive_order(self, name: str, order: OrderPromotion) -> None:
        if self._may_hold:
            self._may_hold = False
            self._held.append((self.hosts[name]['incarnation'], order))
            self.store_unreachable.add(name)
            return
        if name in self.store_unreachable:
            self.post(name, PromotionAnswered(SERVICE, order.endpoint))
            return
        self.post(name, self._carry_out(order))

    def _carry_out(self, order: OrderPromotion) -> PromotionAnswered:
        tokens = [earlier.token for earlier in self._arrived]
        assert order.token >= max(tokens, default=0), 'a lower token arrives'
        self._arrived.append(order)
        candidate = self.members[order.endpoint]
        if order.endpoint in self.dead:
            return PromotionAnswered(SERVICE, order.endpoint, HTTP_CONFLICT)
        is_primary = candidate.role is EndpointRole.PRIMARY
        if not is_primary or order.endpoint != self.find_primary():
            self._check(order.endpoint)
            self._lead(order.endpoint)
        return PromotionAnswered(SERVICE, order.endpoint, HTTP_OK)

    def _check(self, promoted: str) -> None:
        for host in self.hosts:
            leased = self.find_leased_primary(host)
            assert leased in {'', promoted}, (
                f'{host} uses {leased} while {promoted} is promoted'
            )
        lost = self.acknowledged.difference(self.logs[promoted])
        assert not lost or not self.sync_replicas, (
            f'{promoted} lacks {sorted(lost)}'
        )
        self.acknowledged.difference_update(lost)

    def _write(self, host: str) -> None:
        """Reads and writes at the primary that a host uses."""
        primary = self.find_leased_primary(host)
        if not primary or primary in self.list_unresponsive(host):
            return
        missing = self.acknowledged.difference(self.logs[primary])
        assert not missing, f'{host} reads without {sorted(missing)}'
        leader = self.members[primary]
        if leader.role is not EndpointRole.PRIMARY:
            return
        log = self.logs[primary]
        log.append(Position(leader.term, log[-1].position + 1))
        self._update(primary)
        receivers = self._list_followers(primary)
        for name in receivers:
            self.logs[name] = list(log)
            self._update(name)
        if len(receivers) >= self.sync_replicas:
            self.acknowledged.update(log)

    def _lead(self, promoted: str) -> None:
        terms = [state.term for state in self.members.values()]
        self.members[promoted] = self.members[promoted]._replace(
            role=EndpointRole.PRIMARY, term=max(terms) + 1
        )
        self.set_entry(promoted, role=EndpointRole.PRIMARY)
        for name in self._list_followers(promoted):
            self._follow(name, promoted)

    def _list_followers(self, primary: str) -> list[str]:
        if primary in self._deaf:
            return []
        return [
            name
            for name, state in self.members.items()
            if name not in {primary, *self.dead, *self._deaf}
            and state.role is EndpointRole.REPLICA
            and state.term <= self.members[primary].term
        ]

    def _follow(self, name: str, primary: str) -> None:
        self.logs[name] = list(self.logs[primary])
        self.members[name] = self.members[name]._replace(
            role=EndpointRole.REPLICA, term=self.members[primary].term
        )
        self.set_entry(name, role=EndpointRole.REPLICA)
        self._update(name)

    def _update(self, name: str) -> None:
        known: EndpointState = self.members[name]
        self.members[name] = known._replace(received=self.logs[name][-1])


@functools.singledispatch
def carry_out(action: Any, fleet: DisturbedFleet) -> None:
    """Carries out one action."""
    raise TypeError(f'{type(action).__name__} is not an action')


@carry_out.register
def _(action: Run, fleet: DisturbedFleet) -> None:
    fleet.run(action.seconds)


@carry_out.register
def _(action: Refuse, fleet: DisturbedFleet) -> None:
    fleet.store_unreachable.update(map(fleet.find_host, action.ranks))


@carry_out.register
def _(action: Isolate, fleet: DisturbedFleet) -> None:
    cuts = {'hosts': fleet.unreachable, 'answers': fleet.unanswered}
    cuts[action.kind].add(fleet.find_host(action.rank))


@carry_out.register
def _(action: Restart, fleet: DisturbedFleet) -> None:
    fleet.restart(fleet.find_host(action.rank), fleet.find_host(action.seed))


@carry_out.register
def _(action: Hold, fleet: DisturbedFleet) -> None:
    fleet.hold()


@carry_out.register
def _(action: Delay, fleet: DisturbedFleet) -> None:
    fleet.delayed.add(fleet.find_host(action.rank))


@carry_out.register
def _(action: Deliver, fleet: DisturbedFleet) -> None:
    fleet.deliver()


@carry_out.register
def _(action: Drain, fleet: DisturbedFleet) -> None:
    fleet.drain()


@carry_out.register
def _(action: Crash, fleet: DisturbedFleet) -> None:
    fleet.crash(fleet.find_member(action.rank))


@carry_out.register
def _(action: Deafen, fleet: DisturbedFleet) -> None:
    fleet.deafen(fleet.find_member(action.rank))


@carry_out.register
def _(action: Leave, fleet: DisturbedFleet) -> None:
    fleet.leave(fleet.find_member(action.rank), is_planned=action.is_planned)


@carry_out.register
def _(action: Replace, fleet: DisturbedFleet) -> None:
    fleet.replace()


@carry_out.register
def _(action: Lapse, fleet: DisturbedFleet) -> None:
    fleet.lapse(fleet.find_member(action.rank))


@carry_out.register
def _(action: Revive, fleet: DisturbedFleet) -> None:
    fleet.revive(fleet.find_member(action.rank))


def play(sync_replicas: int, actions: list[Action]) -> None:
    """Plays actions; afterwards all hosts must use the newest primary."""
    fleet = DisturbedFleet(sync_replicas)
    for action in actions:
        carry_out(action, fleet)
        fleet.run(TICK_S)
    fleet.heal()
    fleet.run(QUIET_S)
    primary = fleet.find_primary()
    for name in fleet.hosts:
        assert fleet.find_leased_primary(name) == primary


# Guards against two primaries in use, reads at a superseded one, a lower token that
# arrives after a higher one, and acknowledged commits that a promotion drops.
@pytest.mark.parametrize('sync_replicas', [0, 1])
@settings(max_examples=2000 if LONG else 100)
@given(actions=st.lists(ACTIONS, min_size=4, max_size=24))
def test_failovers_keep_their_promises(
    sync_replicas: int, actions: list[Action]
) -> None:
    """Disturbances and planned work in any order."""
    play(sync_replicas, actions)


# Guards against the same, in the orders of events that the review found.
@pytest.mark.parametrize('sync_replicas', [0, 1])
@pytest.mark.parametrize(
    'actions',
    [
        [Hold(), Drain(), Run(4.0), Run(4.0), Deliver()],
        [Deafen(2), Run(1.0), Crash(1), Crash(0), Run(4.0), Revive(1)],
        [Refuse((2, 3)), Drain(), Run(1.0), Restart(2, 3), Run(4.0)],
        [Deafen(2), Run(1.0), Leave(1, True), Crash(0), Run(4.0), Replace()],
        [Deafen(2), Run(1.0), Leave(1, True), Run(4.0), Drain(), Run(4.0)],
    ],
    ids=[
        'held order',
        'deaf replica',
        'restarted host',
        'departed replica',
        'departed replica in a switchover',
    ],
)
def test_failovers_of_the_review(
    sync_replicas: int, actions: list[Action]
) -> None:
    """Each needs several disturbances within seconds."""
    play(sync_replicas, actions)
