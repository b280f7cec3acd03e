"""Simulates requests to several hosts on a virtual clock and network.

The members and the failover are those of ``failover_simulation``. Each host has the
decision modules of the request path, which ``request_flow`` calls in the order
of the proxy. The invariants are checked on each message that concerns them.
"""

import json
import random
from collections.abc import Callable
from typing import Any

from poplarspoke import (
    acknowledgements,
    attempts,
    connections,
    dispatch,
    drains,
    failover,
    invariants,
    keys,
    placement,
    pools,
    retries,
    tasks,
    transactions,
)
from poplarspoke.generated import connections as pool_messages
from poplarspoke.generated import drains as drain_messages
from poplarspoke.generated import failover as calls
from poplarspoke.generated import members as schema
from poplarspoke.generated import membership
from poplarspoke.generated import transactions as transaction_messages
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import (
    SettingsFreshness,
    SettingsInForce,
    SettingsSnapshot,
)
from poplarspoke.generated.dispatch import EndpointObserved
from poplarspoke.standins import database
from tests.failover_simulation import (
    HOSTS,
    MEMBERS,
    STORE,
    ZONES,
    FailoverSimulation,
)

DATABASE = 'db'
WORKSPACE = 'w'
HOST_ZONES = {'h1': 'za', 'h2': 'zb', 'h3': 'zc'}
KEY = keys.create_key('k1', WORKSPACE, 's' * 30)
SECRETS = ('session secret',)
CONNECTIONS = 5
OPEN_DELAY_S = 0.01  # Until a connection to a member is open.
OBSERVE_INTERVAL_S = 0.75
# Three times the tick of the failover tests, to limit the run time of the many
# cells of the fault matrix.
TICK_S = 0.15
DAEMON_TICK_S = 0.3
SETTINGS_DELAY_S = (0.1, 0.8)  # Until new settings reach a host.
DEATH_DETECTION_S = 5.0  # Until the other hosts know that a host has died.
IN_FORCE_LIMIT_S = 5.0  # Until a change of the settings must be in force.
DECIDE: dict[str, tasks.Decide] = {
    'keys': keys.decide,
    'dispatch': dispatch.decide,
    'drains': drains.decide,
    'transactions': transactions.decide,
    'acknowledgements': acknowledgements.decide,
}


def create_document() -> dict[str, Any]:
    """Returns the settings of one database and one workspace."""
    routes = {
        'read': {'write': False, 'repeat': 'safe', 'max_age_s': 5},
        'strict': {'write': False, 'repeat': 'safe', 'max_age_s': 0},
        'recorded': {'write': True, 'repeat': 'recorded'},
        'never': {'write': True, 'repeat': 'never'},
    }
    workspace = {
        'rate': 100,
        'burst': 100,
        'keys': {'k1': {'digest': KEY.record.digest, 'revoked': False}},
        'routes': {
            name: {'database': DATABASE, **route}
            for name, route in routes.items()
        },
    }
    endpoints = {
        name: {'zone': ZONES[name], 'address': '', 'in_service': True}
        for name in MEMBERS
    }
    return {
        'teams': {'red': {'workspaces': {WORKSPACE: workspace}}},
        'zones': {zone: {'in_service': True} for zone in ZONES.values()},
        'databases': {
            DATABASE: {
                'slots': 2,
                'connections': CONNECTIONS,
                'endpoints': endpoints,
            },
        },
    }


class Daemon:
    """The tasks of one host and the handlers of their replies.

    Attributes:
        host: Name of the host.
        number: Unique for each start.
        states: State of each task by its name.
        pools: Names of the tasks that own the connection pools.
        budget: Retry budget.
        replies: Handlers of replies by request id.
        sockets: Names of the connections that members accepted.
        open_requests: Requests of callers that have no answer yet.
        accepting: Whether it accepts new requests.
        finished: Whether its shutdown has finished.
        ticked_s: When its tasks received their last tick.
    """

    def __init__(self, host: str, number: int, now_s: float) -> None:
        """Creates the states of a host without settings or observations."""
        self.host = host
        self.number = number
        self.states: dict[str, Any] = {
            'keys': keys.create_state(),
            'dispatch': placement.create_state(
                host, HOST_ZONES[host], seed=number
            ),
            'drains': drains.create_state(
                zone=HOST_ZONES[host], subscribers=('dispatch',)
            ),
            'transactions': transactions.create_state(
                host, number, log_task='logs'
            ),
            'acknowledgements': acknowledgements.create_state(
                DATABASE, MEMBERS
            ),
        }
        self.pools = tuple(transactions.name_pool(name) for name in MEMBERS)
        for name, endpoint in zip(self.pools, MEMBERS, strict=True):
            self.states[name] = pools.create_state(
                endpoint,
                limit=CONNECTIONS,
                socket_task=f'sockets {endpoint}',
                holder_task='transactions',
            )
        self.budget = retries.create_budget(now_s)
        self.replies: dict[str, Callable[[Any], None]] = {}
        self.sockets: set[str] = set()
        self.open_requests: set[str] = set()
        self.accepting = True
        self.finished = False
        self.ticked_s = now_s

    def name_socket(self, number: int) -> str:
        """Returns the name by which a member knows a connection."""
        return f'{self.host}/{self.number}/{number}'


class RequestSimulation(FailoverSimulation):
    """Hosts that serve callers of one database group.

    Attributes:
        daemons: Running process of each host.
        leaving: Hosts that leave the fleet.
        unresponsive_sockets: Connections on which no answer arrives.
        document: Latest settings.
        version: Version of the latest settings.
        revoked_s: When the callers' key was revoked, infinite if it is valid.
        out_of_service_s: When each endpoint was taken out of service.
        visible_writes: Request ids of the writes that a member had when it
            executed a read, by member and request id.
        tracked: Request whose steps are reported to ``on_step``.
        on_step: Called with each step of the tracked request and its host.
        host_loss_handlers: Called with the name of each host that dies.
        closed: Names of closed connections.
    """

    def __init__(self, seed: int = 0) -> None:
        """Starts all members and hosts with the first settings."""
        self.daemons: dict[str, Daemon] = {}
        self.leaving: set[str] = set()
        self.unresponsive_sockets: set[str] = set()
        self.document = create_document()
        self.version = 1
        self.revoked_s = float('inf')
        self.out_of_service_s: dict[str, float] = {}
        self.visible_writes: dict[tuple[str, str], set[str]] = {}
        self.tracked = ''
        self.on_step: Callable[[str, str], None] = ignore_step
        self.host_loss_handlers: list[Callable[[str], None]] = []
        self.closed: set[str] = set()
        super().__init__(seed)
        self.tick_s = TICK_S
        self.rng = random.Random(seed)
        self.observe()

    def report_step(self, step: str, host: str, request_id: str) -> None:
        """Reports a step on a host if the request is the tracked one."""
        if request_id == self.tracked:
            self.on_step(step, host)

    # Hosts.

    def restart(self, host: str) -> None:
        """Starts a host with empty states; kills its present process first."""
        if host in self.daemons:
            self.kill(host)
        state = attempts.create_state(
            host,
            next(self.numbers),
            DATABASE,
            tuple(
                attempts.MemberLocation(name, ZONES[name], '127.0.0.1:1')
                for name in MEMBERS
            ),
            listeners=('dispatch',),
            now_s=self.now_s,
        )
        self.hosts[host] = state
        daemon = Daemon(host, state['incarnation'], self.now_s)
        self.daemons[host] = daemon
        self.leaving.discard(host)
        self.at_daemon(daemon, 0, lambda: self.apply_settings(daemon))
        self.at_daemon(daemon, 0, self.announce_hosts)

    def kill(self, host: str) -> None:
        """Kills a process; its connections close and its state is lost."""
        self.paused.pop(host, None)
        self.hosts.pop(host, None)
        daemon = self.daemons.pop(host)
        for endpoint in MEMBERS:
            for name in sorted(daemon.sockets):
                self.close_socket(host, endpoint, name)
        for handle_loss in list(self.host_loss_handlers):
            handle_loss(host)
        self.at(DEATH_DETECTION_S, self.announce_hosts)

    def close_socket(self, host: str, endpoint: str, name: str) -> None:
        """Notifies a member that a connection is closed."""
        self.closed.add(name)
        closed = schema.ConnectionClosed(name)
        self.send(
            host, endpoint, lambda: self.deliver_to_member(endpoint, closed)
        )

    def announce_hosts(self) -> None:
        """Notifies each host of the live hosts."""
        message = membership.HostsChanged(
            tuple(
                membership.HostStatus(
                    host,
                    HOST_ZONES[host],
                    live=True,
                    leaving=host in self.leaving,
                )
                for host in self.daemons
            ),
        )
        for host in list(self.daemons):
            self.arrive(host, self.bind(host, 'dispatch', message))

    def bind(self, host: str, task: str, message: Any) -> Callable[[], None]:
        """Returns the action that sends a message to a task of a process."""
        daemon = self.daemons[host]
        return lambda: self.send_to_task(daemon, task, message)

    def is_running(self, daemon: Daemon) -> bool:
        """Returns whether this process of a host still runs."""
        return self.daemons.get(daemon.host) is daemon

    def at_daemon(
        self, daemon: Daemon, delay_s: float, action: Callable[[], None]
    ) -> None:
        """Schedules an action, dropped if the process dies before it."""

        def run_if_running() -> None:
            if self.is_running(daemon):
                action()

        self.at(delay_s, lambda: self.arrive(daemon.host, run_if_running))

    def tick(self, name: str) -> None:
        """Sends ticks to a process and its tasks."""
        super().tick(name)
        daemon = self.daemons.get(name)
        if daemon is None or name in self.paused:
            return
        if daemon.states['acknowledgements']['pending']:
            self.send_to_task(daemon, 'acknowledgements', Tick())
        if self.now_s >= daemon.ticked_s + DAEMON_TICK_S:
            daemon.ticked_s = self.now_s
            self.tick_daemon(daemon)

    def tick_daemon(self, daemon: Daemon) -> None:
        """Reports the open work of a host and sends ticks to its tasks."""
        count = transactions.count_open(daemon.states['transactions'])
        for task, work in (
            ('callers', len(daemon.open_requests)),
            ('transactions', count),
        ):
            counted = drain_messages.WorkCount(task, work)
            self.send_to_task(daemon, 'drains', counted)
        for ticked in (*daemon.pools, 'transactions'):
            self.send_to_task(daemon, ticked, Tick())

    def observe(self) -> None:
        """Has each host query the members and confirm its settings."""
        self.at(OBSERVE_INTERVAL_S, self.observe)
        for host, daemon in self.daemons.items():
            if host in self.paused:
                continue
            self.confirm_settings(daemon)
            for endpoint in MEMBERS:
                self.observe_endpoint(daemon, endpoint)

    def observe_endpoint(self, daemon: Daemon, endpoint: str) -> None:
        """Queries the status of a member; a time-out makes it unreachable."""
        answers: list[bool] = []

        def record_status(status: schema.MemberStatus) -> None:
            answers.append(True)
            view = membership.EndpointView(
                endpoint,
                DATABASE,
                status.last,
                status.age_s,
                primary=status.role is schema.Role.PRIMARY,
                reachable=True,
            )
            self.at_daemon(daemon, 0, lambda: send_view(view))

        def send_view(view: membership.EndpointView) -> None:
            self.send_to_task(daemon, 'dispatch', EndpointObserved(view))

        def time_out() -> None:
            if not answers:
                send_view(membership.EndpointView(endpoint, DATABASE))

        self.query_member(
            daemon.host, endpoint, schema.FetchStatus(), record_status
        )
        self.at_daemon(daemon, 1.0, time_out)

    # Settings.

    def publish_settings(self) -> None:
        """Publishes the document as the next version to all hosts."""
        self.version += 1
        for daemon in self.daemons.values():
            delay_s = self.rng.uniform(*SETTINGS_DELAY_S)
            apply = self.bind_apply_settings(daemon)
            self.at_daemon(daemon, delay_s, apply)

    def bind_apply_settings(self, daemon: Daemon) -> Callable[[], None]:
        """Returns the action that applies the latest settings."""
        return lambda: self.apply_settings(daemon)

    def apply_settings(self, daemon: Daemon) -> None:
        """Applies the latest settings on a host."""
        snapshot = SettingsSnapshot('', self.version, json.dumps(self.document))
        in_force = SettingsInForce(snapshot)
        for task in ('keys', 'dispatch', 'drains'):
            self.send_to_task(daemon, task, in_force)
        self.confirm_settings(daemon)

    def confirm_settings(self, daemon: Daemon) -> None:
        """Confirms the settings of a host that has the latest version."""
        if daemon.states['keys']['version'] != self.version:
            return
        fresh = SettingsFreshness(self.version, True, self.now_s)
        self.send_to_task(daemon, 'keys', fresh)

    def revoke(self) -> None:
        """Revokes the key of the callers."""
        self.set_revoked(revoked=True)
        self.revoked_s = min(self.revoked_s, self.now_s)
        self.publish_settings()

    def set_revoked(self, *, revoked: bool) -> None:
        """Sets whether the callers' key is revoked in the document."""
        team = self.document['teams']['red']
        workspace = team['workspaces'][WORKSPACE]
        workspace['keys']['k1']['revoked'] = revoked

    def set_zone_service(self, zone: str, *, in_service: bool) -> None:
        """Takes a zone out of service or returns it to service."""
        self.document['zones'][zone]['in_service'] = in_service
        for endpoint in MEMBERS:
            if ZONES[endpoint] != zone:
                continue
            self.out_of_service_s.pop(endpoint, None)
            if not in_service:
                self.out_of_service_s[endpoint] = self.now_s
        self.publish_settings()

    # Tasks.

    def send_to_task(self, daemon: Daemon, task: str, message: Any) -> None:
        """Passes a message to a task and delivers its outgoing messages."""
        decide: tasks.Decide = DECIDE.get(task, connections.decide)
        for out in decide(message, daemon.states[task], self.now_s):
            self.deliver_outgoing(daemon, out)

    def query_task(
        self,
        daemon: Daemon,
        task: str,
        message: Any,
        answered: Callable[[Any], None],
    ) -> None:
        """Sends a request to a task, which replies at once or later."""
        daemon.replies[message.request_id] = answered
        self.send_to_task(daemon, task, message)

    def deliver_outgoing(self, daemon: Daemon, out: Any) -> None:
        """Delivers an outgoing message of a task."""
        match out:
            case tasks.Reply():
                answered = daemon.replies.pop(out.request_id, None)
                if answered is not None:
                    answered(out.message)
            case tasks.ToEndpoint():
                self.request_confirmation(daemon, out.endpoint, out.message)
            case tasks.ToTask():
                self.deliver_to_task(daemon, out.task, out.message)

    def deliver_to_task(self, daemon: Daemon, task: str, message: Any) -> None:
        """Delivers a message to another task of the host."""
        is_ending = isinstance(message, drain_messages.EndTransactions)
        if task in daemon.states and not is_ending:
            self.send_to_task(daemon, task, message)
        if isinstance(message, calls.CandidateRank | calls.DrainingEndpoints):
            self.deliver_to_host(daemon.host, message)
        match message:
            case pool_messages.OpenConnection():
                self.open_connection(daemon, task, message.connection)
            case pool_messages.CloseConnection():
                self.close_connection(daemon, task, message.connection)
            case drain_messages.StopAccepting():
                daemon.accepting = False
                self.report_step('finishing', daemon.host, 'shutdown')
            case membership.LeaveFleet():
                self.leaving.add(daemon.host)
                self.announce_hosts()
            case drain_messages.EndTransactions():
                drained = transaction_messages.DrainTransactions(
                    message.endpoint, 0
                )
                self.send_to_task(daemon, 'transactions', drained)
            case drain_messages.ShutdownFinished():
                self.finish_shutdown(daemon, message.open_work)

    def finish_shutdown(self, daemon: Daemon, open_work: int) -> None:
        """Ends the process; open work is allowed only after the grace period."""
        phase_s = self.now_s - daemon.states['drains']['phase_at_s']
        invariants.check(
            holds=not open_work or phase_s >= drains.GRACE_S,
            code='R13',
            detail=f'{daemon.host} leaves {open_work} requests',
        )
        daemon.finished = True
        self.report_step('finished', daemon.host, 'shutdown')
        if self.is_running(daemon):
            self.at_daemon(daemon, 0, lambda: self.kill(daemon.host))

    def open_connection(self, daemon: Daemon, task: str, number: int) -> None:
        """Opens a connection unless the endpoint cannot be reached."""
        endpoint = task.split()[1]
        opened = pool_messages.ConnectionOpened(number)

        def action() -> None:
            daemon.sockets.add(daemon.name_socket(number))
            pool = transactions.name_pool(endpoint)
            self.send_to_task(daemon, pool, opened)

        if frozenset((daemon.host, endpoint)) not in self.partitions:
            self.at_daemon(daemon, OPEN_DELAY_S, action)

    def close_connection(self, daemon: Daemon, task: str, number: int) -> None:
        """Closes a connection; the member rolls its transaction back."""
        endpoint = task.split()[1]
        closed = pool_messages.ConnectionClosed(number)
        pool = transactions.name_pool(endpoint)
        self.at_daemon(
            daemon, 0, lambda: self.send_to_task(daemon, pool, closed)
        )
        self.close_socket(daemon.host, endpoint, daemon.name_socket(number))

    def request_confirmation(
        self, daemon: Daemon, endpoint: str, call: Any
    ) -> None:
        """Requests a confirmation of a member; a time-out counts as lost."""
        done: list[bool] = []

        def finish(body: Any, *, lost: bool) -> None:
            if done or not self.is_running(daemon):
                return
            done.append(True)
            answered = calls.EndpointAnswered(
                call.call_id, endpoint, lost, body
            )
            self.send_to_task(daemon, 'acknowledgements', answered)

        def confirm(body: Any) -> None:
            finish(body, lost=False)

        self.query_member(daemon.host, endpoint, call.body, confirm)
        self.at_daemon(
            daemon,
            call.timeout_s,
            lambda: finish(schema.MemberStatus(), lost=True),
        )

    # Members.

    def call_on_connection(
        self,
        daemon: Daemon,
        endpoint: str,
        number: int,
        body: Any,
        answered: Callable[[Any], None],
    ) -> None:
        """Sends a message over a connection of a pool."""
        name = daemon.name_socket(number)
        call_id = str(next(self.numbers))
        self.check_service(endpoint, body)
        invariants.check(
            holds=KEY.key not in repr(body),
            code='R5',
            detail=f'{endpoint} would see a key',
        )

        def reply(message: Any) -> None:
            if name not in self.unresponsive_sockets:
                self.send(endpoint, daemon.host, lambda: receive_reply(message))

        def receive_reply(message: Any) -> None:
            if self.is_running(daemon):
                answered(message)

        def action() -> None:
            if name in self.unresponsive_sockets or name in self.closed:
                return
            self.replies[call_id] = reply
            message = schema.MemberCall(call_id, name, 0, body)
            self.deliver_to_member(endpoint, message)
            self.record_visible_writes(endpoint, body)

        self.send(daemon.host, endpoint, action)

    def check_service(self, endpoint: str, body: Any) -> None:
        """Checks that an endpoint out of service gets no new work."""
        is_inside = isinstance(body, schema.CommitTransaction)
        if is_inside or endpoint not in self.out_of_service_s:
            return
        out_for_s = self.now_s - self.out_of_service_s[endpoint]
        # An open transaction may continue for its grace period.
        limit_s = IN_FORCE_LIMIT_S
        if isinstance(body, schema.Execute) and body.write and not body.record:
            limit_s += drains.GRACE_S
        invariants.check(
            holds=out_for_s <= limit_s,
            code='R8',
            detail=f'{endpoint} got new work {out_for_s:.1f} s after it left',
        )

    def record_visible_writes(self, endpoint: str, body: Any) -> None:
        """Records which writes a read saw on its member."""
        if isinstance(body, schema.Execute) and not body.write:
            recorded = self.members[endpoint]['database']['recorded']
            self.visible_writes[endpoint, body.request_id] = {
                key.request_id for key in recorded
            }

    def deliver_to_host(self, host: str, message: Any) -> None:
        """Passes a message to the failover of a host; delivers the results."""
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
                case tasks.ToTask():
                    daemon = self.daemons[host]
                    self.deliver_to_task(
                        daemon, outgoing.task, outgoing.message
                    )
                    self.report_announcement(host, outgoing.message)
        if state['suspicion'].evidence:
            self.report_step('suspect', host, 'failover')
        attempt = state['attempt']
        if attempt is not None:
            self.report_step(attempt['step'].name.lower(), host, 'failover')

    def report_announcement(self, host: str, message: Any) -> None:
        """Reports the step at which a host learns of a new primary."""
        if isinstance(message, calls.PrimaryAnnounced) and message.term > 1:
            self.report_step('announce', host, 'failover')

    def find_primary(self) -> str:
        """Returns the primary of the highest term."""
        return self.primaries[max(self.primaries)]

    def list_recorded(self, member: str) -> set[str]:
        """Returns the request ids of the writes in a member's log."""
        recorded = self.members[member]['database']['recorded']
        return {key.request_id for key in recorded}

    def heal(self) -> None:
        """Ends every fault; hosts that died restart without their state."""
        for name in list(self.paused):
            self.resume(name)
        for host in HOSTS:
            if host not in self.daemons:
                self.restart(host)
        self.partitions.clear()
        self.loss = 0
        self.delay_s = 0.02
        self.store_delay_s = 0.01
        self.store_loses_answers = False
        for member in MEMBERS:
            self.deliver_to_member(member, schema.MemberFaults())
        for zone in self.document['zones']:
            self.set_zone_service(zone, in_service=True)
        self.set_revoked(revoked=False)
        self.revoked_s = float('inf')
        self.publish_settings()


def ignore_step(step: str, host: str) -> None:
    """Ignores a step, since no fault is to be injected."""


def partition(
    simulation: FailoverSimulation, name: str, others: tuple[str, ...]
) -> None:
    """Separates a process from others by a network partition."""
    simulation.partitions.update(
        frozenset((name, other)) for other in others if other != name
    )


def partition_primary(simulation: RequestSimulation, host: str) -> None:
    """Partitions the primary from everything but one host."""
    primary = simulation.find_primary()
    others = (*MEMBERS, *HOSTS, STORE)
    partition(
        simulation, primary, tuple(name for name in others if name != host)
    )


def count_effects(
    simulation: FailoverSimulation, member: str, request_id: str
) -> int:
    """Returns how often a request is in the log of a member."""
    log: database.Database = simulation.members[member]['database']
    return sum(entry.request_id == request_id for entry in log['log'])
