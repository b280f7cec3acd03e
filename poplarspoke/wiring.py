"""Routes messages of peers to tasks and handles messages to the daemon."""

import functools
import json
from typing import Any, Protocol

import anyio

from poplarspoke import endpoint_tasks, shares
from poplarspoke.endpoint_tasks import EndpointTasks
from poplarspoke.generated.configuration import (
    FetchSettings,
    SettingsFreshness,
    SettingsInForce,
    SettingsSnapshot,
)
from poplarspoke.generated.drains import (
    ReadyChanged,
    ShutdownFinished,
    StopAccepting,
)
from poplarspoke.generated.failover import (
    CandidateRank,
    DrainingEndpoints,
    FailoverReason,
    PrimaryAnnounced,
)
from poplarspoke.generated.membership import (
    EndpointViews,
    Heartbeat,
    HostsChanged,
)
from poplarspoke.generated.operators import SettingsObserved
from poplarspoke.generated.rates import (
    BorrowTokens,
    LeasePromised,
    LendTokens,
    LivePeers,
    PromiseLease,
    RateSettings,
    WorkspaceRate,
)
from poplarspoke.generated.settings import Document
from poplarspoke.generated.transactions import TransactionEnded
from poplarspoke.tasks import MessageBus


class FleetSettings:
    """Version and hosts of the settings in force.

    Attributes:
        version: Version in force, 0 before the first.
        hosts: Hosts that the settings list.
        hosts_changed_at_s: Time when that list changed, monotonic clock in
            seconds.
        is_history_complete: Whether every version since the first was in
            force here.
    """

    def __init__(self, now_s: float) -> None:
        """Starts without settings."""
        self.version = 0
        self.hosts: tuple[str, ...] = ()
        self.hosts_changed_at_s = now_s
        self.is_history_complete = True

    def update(
        self,
        snapshot: SettingsSnapshot,
        hosts: tuple[str, ...],
        now_s: float,
    ) -> None:
        """Stores the hosts of a version that has come into force."""
        self.is_history_complete &= snapshot.version == self.version + 1
        self.version = snapshot.version
        if hosts == self.hosts:
            return
        # Before the first list of hosts no host had a share of a rate, so the
        # first list needs no ``SETTINGS_SWITCH_S`` to come into use.
        is_first = self.is_history_complete and not self.hosts
        age_s = shares.SETTINGS_SWITCH_S if is_first else snapshot.age_s
        self.hosts = hosts
        self.hosts_changed_at_s = now_s - age_s


class Daemon(Protocol):
    """Interface of the daemon that the functions of this module use.

    Attributes:
        name: Name of the host.
        bus: Message bus between its tasks.
        endpoint_tasks: Tasks of its databases and endpoints.
        fleet: Version and hosts of the settings in force.
        finished: Set when the shutdown is complete.
    """

    name: str
    bus: MessageBus
    endpoint_tasks: EndpointTasks
    fleet: FleetSettings
    finished: anyio.Event

    def now_s(self) -> float:
        """Returns the monotonic clock in seconds."""

    def record_action(self, event: str, subject: str, evidence: str) -> None:
        """Logs an automatic action and records it for the operators."""

    def connect_peers(self, addresses: dict[str, str]) -> None:
        """Connects to the hosts of the fleet."""

    def publish_readiness(self, ready: ReadyChanged) -> None:
        """Publishes the readiness to the load balancer."""

    def begin_shutdown(self) -> None:
        """Closes each caller's connection after its current answer."""


@functools.singledispatch
def route_message(message: Any, bus: MessageBus) -> None:
    """Passes a one-way message of a peer to the task that handles it."""


@route_message.register
def _(message: Heartbeat, bus: MessageBus) -> None:
    bus.post('membership', message)
    bus.post('dispatch', EndpointViews(message.endpoints))


@route_message.register
def _(
    message: BorrowTokens | LendTokens | PromiseLease | LeasePromised,
    bus: MessageBus,
) -> None:
    bus.post('rates', message)


@route_message.register
def _(message: FetchSettings | SettingsSnapshot, bus: MessageBus) -> None:
    bus.post('configuration', message)


@route_message.register
def _(message: PrimaryAnnounced, bus: MessageBus) -> None:
    bus.post(endpoint_tasks.name_failover(message.database), message)
    bus.post('dispatch', message)


@functools.singledispatch
def handle_message(message: Any, daemon: Daemon) -> None:
    """Handles a message from a task to the daemon itself."""
    raise TypeError(f'{type(message).__name__} is not handled by the daemon')


@handle_message.register
def _(message: SettingsInForce, daemon: Daemon) -> None:
    document: Document = json.loads(message.snapshot.document)
    now_s = daemon.now_s()
    snapshot = message.snapshot
    daemon.endpoint_tasks.update(document, now_s)
    # Makes dispatch send the candidate ranks again: those for failover tasks
    # that did not exist yet were dropped.
    daemon.bus.post('dispatch', message)
    hosts = tuple(sorted(document.get('hosts', {})))
    daemon.fleet.update(snapshot, hosts, now_s)
    daemon.bus.post(
        'rates',
        RateSettings(
            version=snapshot.version,
            hosts=hosts,
            workspaces=_list_rates(document),
            hosts_changed_ago_s=now_s - daemon.fleet.hosts_changed_at_s,
        ),
    )
    daemon.record_action(
        'settings_in_force',
        snapshot.path,
        f'version {snapshot.version} by {snapshot.who}: {snapshot.why}',
    )


@handle_message.register
def _(message: CandidateRank | DrainingEndpoints, daemon: Daemon) -> None:
    daemon.endpoint_tasks.send_to_failover(message, daemon.now_s())


@handle_message.register
def _(message: SettingsFreshness, daemon: Daemon) -> None:
    confirmed_ago_s = daemon.now_s() - message.confirmed_at_s
    daemon.bus.post(
        'metrics',
        SettingsObserved(message.version, max(confirmed_ago_s, 0)),
    )


@handle_message.register
def _(message: HostsChanged, daemon: Daemon) -> None:
    addresses = {
        entry.host: entry.address for entry in message.hosts if entry.address
    }
    daemon.connect_peers(addresses)
    live = tuple(entry.host for entry in message.hosts if entry.live)
    daemon.bus.post('rates', LivePeers(live))


@handle_message.register
def _(message: PrimaryAnnounced, daemon: Daemon) -> None:
    if message.sender != daemon.name:
        return
    if message.reason is FailoverReason.NONE:
        return
    daemon.record_action(
        'primary_changed',
        message.database,
        f'{message.primary} in term {message.term}, '
        f'{message.reason.name.lower()}: {message.evidence}',
    )


@handle_message.register
def _(message: TransactionEnded, daemon: Daemon) -> None:
    daemon.record_action(
        'transaction_ended',
        message.endpoint,
        message.reason.name.lower(),
    )


@handle_message.register
def _(message: ReadyChanged, daemon: Daemon) -> None:
    daemon.publish_readiness(message)
    daemon.record_action('readiness_changed', daemon.name, message.reason)


@handle_message.register
def _(message: StopAccepting, daemon: Daemon) -> None:
    daemon.begin_shutdown()


@handle_message.register
def _(message: ShutdownFinished, daemon: Daemon) -> None:
    daemon.record_action(
        'shutdown_finished',
        daemon.name,
        f'{message.open_work} open requests or transactions were ended',
    )
    daemon.finished.set()


def _list_rates(document: Document) -> tuple[WorkspaceRate, ...]:
    found: list[WorkspaceRate] = []
    for team in document['teams'].values():
        for name, workspace in team.get('workspaces', {}).items():
            rate = WorkspaceRate(name, workspace['rate'], workspace['burst'])
            found.append(rate)
    return tuple(found)
