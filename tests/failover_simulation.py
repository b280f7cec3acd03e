"""Simulation of members, hosts and the platform's table on a virtual clock.

Members run the decisions of the stand-in, hosts those of ``failover``. The
network can delay, lose and reorder messages. The invariants are checked when a
member is promoted and when a write is acknowledged.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple, TypeAlias

from poplarspoke import attempts, failover, majorities, tasks
from poplarspoke.generated import failover as calls
from poplarspoke.generated import members as schema
from poplarspoke.generated import platform
from poplarspoke.generated.common import Position, Tick
from poplarspoke.standins import database, member_state, replication

MEMBERS = ('m1', 'm2', 'm3')
HOSTS = ('h1', 'h2', 'h3')
ZONES = {'m1': 'za', 'm2': 'zb', 'm3': 'zc'}
STORE = 'store'
TICK_S = 0.05
Action: TypeAlias = Callable[[], None]
CALL_TIMEOUT_S = 1.0
CONFIRM_WAIT_S = 1.0


class Written(NamedTuple):
    """An executed write at its log position."""

    request_id: str
    position: Position


class FailoverSimulation:
    """One database group with its hosts; ``run`` advances the virtual clock.

    Attributes:
        now_s: Virtual clock.
        tick_s: Interval between two ticks of a process.
        random: Source of delays and losses.
        events: Scheduled actions by time.
        numbers: Source of ordered numbers for events and ids.
        partitions: Pairs of processes without a connection.
        loss: Share of messages that are lost.
        delay_s: Maximum network delay.
        store_delay_s: Time until the table executes a request.
        store_loses_answers: Whether the table's answers get lost.
        paused: Pending actions of each paused process.
        row: The database row of the table.
        members: State of each member.
        replies: Callback of each outstanding request to a member.
        hosts: State of each running host.
        primaries: Primary of each term.
        adoptions: Order, member and term of each adoption.
        acknowledged: Acknowledged writes in order.
        acknowledged_s: Time of the last acknowledgement.
        executions: Number of the event in which a primary first reported
            each write as executed.
    """

    def __init__(self, seed: int = 0) -> None:
        """Creates 3 members in 3 zones, 3 hosts and an empty table."""
        self.now_s = 100.0
        self.tick_s = TICK_S
        self.random = random.Random(seed)
        self.events: list[tuple[float, int, Action]] = []
        self.numbers = itertools.count(1)
        self.partitions: set[frozenset[str]] = set()
        self.loss: float = 0
        self.delay_s = 0.02
        self.store_delay_s = 0.01
        self.store_loses_answers = False
        self.paused: dict[str, list[Action]] = {}
        self.row = platform.Row(key='database/db')
        self.members = {
            name: member_state.create_state(name, MEMBERS, self.now_s)
            for name in MEMBERS
        }
        self.replies: dict[str, Callable[[Any], None]] = {}
        self.hosts: dict[str, attempts.FailoverState] = {}
        self.primaries: dict[int, str] = {}
        self.adoptions: list[tuple[int, str, int]] = []
        self.acknowledged: list[Written] = []
        self.acknowledged_s: float = 0
        self.executions: dict[Written, int] = {}
        for name in HOSTS:
            self.restart(name)
        for name in (*MEMBERS, *HOSTS):
            self.tick(name)

    def restart(self, host: str) -> None:
        """Starts a host with an empty state."""
        state = attempts.create_state(
            host,
            next(self.numbers),
            'db',
            tuple(
                attempts.MemberLocation(name, ZONES[name], '127.0.0.1:1')
                for name in MEMBERS
            ),
            listeners=('routing',),
            now_s=self.now_s,
        )
        self.hosts[host] = state
        peers = tuple(name for name in HOSTS if name != host)
        rank = calls.CandidateRank(HOSTS.index(host), peers)
        failover.decide(rank, state, self.now_s)

    def at(self, delay_s: float, action: Action) -> None:
        """Schedules an action."""
        event = (self.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def run(self, duration_s: float) -> None:
        """Advances the virtual clock and runs the actions that are due."""
        end_s = self.now_s + duration_s
        while self.events and self.events[0][0] <= end_s:
            event = heapq.heappop(self.events)
            self.now_s = event[0]
            event[2]()
        self.now_s = end_s

    def run_until(self, holds: Callable[[], bool], limit_s: float) -> bool:
        """Advances the clock until a condition holds, or up to the limit."""
        end_s = self.now_s + limit_s
        while self.now_s < end_s and not holds():
            self.run(TICK_S)
        return holds()

    def tick(self, name: str) -> None:
        """Delivers a tick to a process and schedules the next one."""
        self.at(self.tick_s, lambda: self.tick(name))
        if name in self.paused:
            return
        if name in self.members:
            self.deliver_to_member(name, Tick())
        elif name in self.hosts:
            self.deliver_to_host(name, Tick())

    def send(self, source: str, target: str, action: Action) -> None:
        """Runs an action at the target unless the network loses the message."""
        is_partitioned = frozenset((source, target)) in self.partitions
        if is_partitioned or self.random.random() < self.loss:
            return
        delay_s = self.random.uniform(0.001, self.delay_s)
        self.at(delay_s, lambda: self.arrive(target, action))

    def arrive(self, target: str, action: Action) -> None:
        """Runs an action at a process, or queues it if that is paused."""
        waiting = self.paused.get(target)
        if waiting is None:
            action()
        else:
            waiting.append(action)

    def pause(self, name: str) -> None:
        """Pauses a process; its messages are queued."""
        self.paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Resumes a process and delivers the queued messages."""
        for action in self.paused.pop(name, []):
            action()

    def deliver_to_host(self, host: str, message: Any) -> None:
        """Delivers a message to a host and sends its outgoing messages."""
        state = self.hosts.get(host)
        if state is None:
            return
        for outgoing in failover.decide(message, state, self.now_s):
            match outgoing:
                case tasks.ToStore():
                    self.send_to_store(host, outgoing.message)
                case tasks.ToHost():
                    self.send_announcement(host, outgoing)
                case tasks.ToEndpoint():
                    self.call(host, outgoing.endpoint, outgoing.message)

    def send_announcement(self, host: str, outgoing: tasks.ToHost) -> None:
        """Sends a notification from one host to another."""
        target, message = outgoing
        self.send(host, target, lambda: self.deliver_to_host(target, message))

    def send_to_store(self, host: str, message: Any) -> None:
        """Sends a request to the table and its answer back to the host."""
        incarnation = self.hosts[host]['incarnation']

        def action() -> None:
            result = self.execute_store(message)
            if self.store_loses_answers:
                return
            self.send(
                STORE,
                host,
                lambda: self.deliver_answer(host, incarnation, result),
            )

        self.send(host, STORE, lambda: self.at(self.store_delay_s, action))

    def execute_store(self, message: Any) -> Any:
        """Reads the row or writes it by compare-and-set."""
        if isinstance(message, platform.ReadRows):
            return platform.RowsRead((self.row,))
        committed = message.conditions[0].version == self.row.version
        if committed:
            content = message.writes[0].content
            version = self.row.version + 1
            self.row = platform.Row(self.row.key, version, content)
        return platform.CommitResult(committed, (self.row,), self.now_s)

    def deliver_answer(self, host: str, incarnation: int, message: Any) -> None:
        """Delivers an answer unless the host has restarted meanwhile."""
        state = self.hosts.get(host)
        if state is not None and state['incarnation'] == incarnation:
            self.deliver_to_host(host, message)

    def call(self, host: str, member: str, call: calls.CallEndpoint) -> None:
        """Calls a member for a host; a call without an answer times out."""
        incarnation = self.hosts[host]['incarnation']
        done: list[bool] = []

        def finish(body: Any, *, lost: bool = False) -> None:
            if done:
                return
            done.append(True)
            answered = calls.EndpointAnswered(call.call_id, member, lost, body)
            self.deliver_answer(host, incarnation, answered)

        def time_out() -> None:
            self.arrive(host, lambda: finish(schema.MemberStatus(), lost=True))

        self.at(call.timeout_s, time_out)
        self.query_member(host, member, call.body, finish)

    def query_member(
        self,
        source: str,
        member: str,
        body: Any,
        answered: Callable[[Any], None],
    ) -> None:
        """Sends a request to a member and passes its answer to a callback."""
        request_id = str(next(self.numbers))

        def reply(message: Any) -> None:
            self.send(member, source, lambda: answered(message))

        def action() -> None:
            self.replies[request_id] = reply
            message = schema.MemberCall(request_id, source, 0, body)
            self.deliver_to_member(member, message)

        self.send(source, member, action)

    def deliver_to_member(self, name: str, message: Any) -> None:
        """Delivers a message to a member and sends its outgoing messages."""
        state = self.members[name]
        adopted = state['adopted_term']
        outgoings = replication.decide(message, state, self.now_s)
        if state['adopted_term'] > adopted:
            event = (next(self.numbers), name, state['adopted_term'])
            self.adoptions.append(event)
        self.check_primary(name)
        for outgoing in outgoings:
            match outgoing:
                case tasks.Reply():
                    self.record_execution(outgoing.message)
                    reply = self.replies.pop(outgoing.request_id)
                    reply(outgoing.message)
                case tasks.ToEndpoint():
                    self.replicate(name, outgoing.endpoint, outgoing.message)

    def replicate(self, name: str, target: str, message: Any) -> None:
        """Sends log entries from one member to another."""

        def answered(answer: Any) -> None:
            self.deliver_to_member(
                name, schema.ReplicateAnswered(target, answer=answer)
            )

        self.query_member(name, target, message, answered)

    def write(self, host: str, request_id: str) -> None:
        """Sends a recorded write through a host, which then confirms it."""
        state = self.hosts.get(host)
        if state is None or not state['primary'] or host in self.paused:
            return
        primary = state['primary']
        statement = schema.Execute(
            request_id=request_id,
            workspace='w',
            term=state['term'],
            text='ADD n 1',
            write=True,
            record=True,
        )

        def answered(answer: schema.MemberAnswer) -> None:
            if not answer.refused:
                self.confirm(host, primary, answer)

        self.query_member(host, primary, statement, answered)

    def record_execution(self, message: Any) -> None:
        """Records when a primary first reported a write as executed."""
        if isinstance(message, schema.MemberAnswer) and not message.refused:
            written = Written(message.request_id, message.position)
            self.executions.setdefault(written, next(self.numbers))

    def confirm(
        self,
        host: str,
        primary: str,
        answer: schema.MemberAnswer,
    ) -> None:
        """Acknowledges a write by the rule of ``majorities``."""
        confirmations: dict[str, schema.Confirmed] = {}

        def evaluate() -> None:
            if majorities.is_acknowledged(
                answer.position,
                primary,
                confirmations,
                MEMBERS,
            ):
                self.acknowledge(answer)

        def query(member: str) -> None:
            def confirmed(message: schema.Confirmed) -> None:
                confirmations[member] = message
                evaluate()

            body = schema.Confirm(answer.position, CONFIRM_WAIT_S)
            self.query_member(host, member, body, confirmed)

        evaluate()
        for member in MEMBERS:
            if member != primary:
                query(member)

    def acknowledge(self, answer: schema.MemberAnswer) -> None:
        """Records an acknowledged write, which later primaries must have."""
        written = Written(answer.request_id, answer.position)
        if written in self.acknowledged:
            return
        self.acknowledged.append(written)
        self.acknowledged_s = self.now_s
        for term, name in self.primaries.items():
            if term > written.position.term:
                self.check_written(name, written)
        self.check_superseded(written)

    def check_primary(self, name: str) -> None:
        """Checks the invariants of a member that is a primary."""
        state = self.members[name]
        term = state['adopted_term']
        if state['role'] is not schema.Role.PRIMARY:
            return
        known = self.primaries.setdefault(term, name)
        assert known == name, f'{known} and {name} lead term {term}'
        for written in self.acknowledged:
            if written.position.term <= term:
                self.check_written(name, written)
        table = state['database']['tables'].get('w', {})
        recorded = len(state['database']['recorded'])
        assert int(table.get('n', '0')) == recorded, 'a write ran twice'

    def check_written(self, name: str, written: Written) -> None:
        """Checks that a member has an acknowledged write."""
        log = self.members[name]['database']
        found = database.find_recorded_entry(log, 'w', written.request_id)
        assert found is not None, f'{name} has lost {written}'
        assert database.has_entry(log, written.position), (
            f'{name} lost {written}'
        )

    def check_superseded(self, written: Written) -> None:
        """Checks that no majority had a higher term before the write ran."""
        executed = self.executions[written]
        superseding = {
            name
            for number, name, term in self.adoptions
            if number < executed and term > written.position.term
        }
        assert len(superseding) < majorities.count_majority(len(MEMBERS)), (
            f'{written} was acknowledged by a superseded primary'
        )
