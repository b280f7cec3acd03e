"""Budgets for what connections make this process hold, as pure functions.

One budget of bytes covers incomplete messages, waiting statements, unsent
answers and unsent frames of all connections; each port has a budget of
connections. When a budget is exceeded, the largest consumers are closed first:
the group (a workspace, or the address of a client that has not started) that
holds most, and in it the connection that holds most.
"""

import collections
import enum
import operator
from typing import NamedTuple, TypedDict

from poplarspoke.generated.rules import ClientLimits, HostResources

BYTES_PER_MB = 1024 * 1024
# The smallest machines; assumed where the settings state no resources.
DEFAULT_MEMORY_MB = 200
DEFAULT_DESCRIPTORS = 4300
# An idle process takes 40 MB. What it holds takes up to half as much again in
# the allocator, and decoding one message of 1 MiB makes five copies of it.
HELD_FRACTION = 0.25
# The rest is for the metadata store, the endpoints and files.
CALLER_FRACTION = 0.65
PEER_FRACTION = 0.1
HTTP_FRACTION = 0.02
MIN_CONNECTIONS = 16
# Clients on frozen machines stop for seconds; a session is otherwise started
# as soon as it is connected.
START_LIMIT_S = 10.0
# A message of 1 MiB takes 1.7 s on a link of 5 Mbit/s.
MESSAGE_LIMIT_S = 30.0
UNREAD_LIMIT_S = 30.0
# Closing down to less than the budget avoids that each read closes one.
RELIEF_FRACTION = 0.9


class Port(enum.Enum):
    """Kind of a port, each with its own budget of connections."""

    CALLERS = 'callers'
    PEERS = 'peers'
    HTTP_READY = 'ready'
    HTTP_CONTROL = 'control'
    # Connections that this process has opened; their number is limited
    # elsewhere.
    ENDPOINTS = 'endpoints'
    GATEWAYS = 'gateways'


# Ports whose clients must send a first message in time. The HTTP server has
# time limits of its own, since a prober may keep an idle connection.
STARTING_PORTS = frozenset((Port.CALLERS, Port.PEERS))


class Reason(enum.Enum):
    """Why a connection is closed."""

    MEMORY = 'memory budget'
    CONNECTIONS = 'connection budget'
    START = 'not started in time'
    MESSAGE = 'incomplete message'
    UNREAD = 'answers not read'


class Limits(NamedTuple):
    """Limits in force.

    Attributes:
        held_bytes: Bytes held for all connections together.
        connections: Highest number of connections by port.
        start_s: Time from the connection to its first complete message.
        message_s: Time from the first to the last byte of a message.
        unread_s: Time for which answers may stay unsent.
    """

    held_bytes: int
    connections: dict[Port, int]
    start_s: float
    message_s: float
    unread_s: float


class Holder(TypedDict):
    """What one connection makes this process hold.

    Attributes:
        number: Number of the connection in the budget.
        port: Port that it was accepted on.
        group: Workspace, or address of a client that has not started.
        held_bytes: Bytes charged to it.
        started: Whether its first message was complete; with HTTP, whether a
            complete request is being answered.
        opened_s: When it was accepted; with HTTP, when it was last answered.
        incomplete_since_s: Since when a message is incomplete; 0 if none is.
        unread_since_s: Since when answers are unsent; 0 if none are.
    """

    number: int
    port: Port
    group: str
    held_bytes: int
    started: bool
    opened_s: float
    incomplete_since_s: float
    unread_since_s: float


class Budget(TypedDict):
    """Connections of a process and what they hold together.

    Attributes:
        limits: Limits in force.
        held_bytes: Sum of all holders.
        holders: Open connections by number, oldest first.
        counts: Number of open connections by port.
        next_number: Number of the next connection.
    """

    limits: Limits
    held_bytes: int
    holders: dict[int, Holder]
    counts: dict[Port, int]
    next_number: int


class Closing(NamedTuple):
    """A connection to close, and why."""

    number: int
    reason: Reason


def derive_limits(resources: HostResources, stated: ClientLimits) -> Limits:
    """Returns the limits; what is not stated follows from the resources."""
    memory_bytes = resources.memory_bytes or DEFAULT_MEMORY_MB * BYTES_PER_MB
    held_bytes = stated.held_bytes or int(memory_bytes * HELD_FRACTION)
    descriptors = resources.descriptors or DEFAULT_DESCRIPTORS
    callers = stated.connections or int(descriptors * CALLER_FRACTION)
    connections = dict.fromkeys(Port, descriptors)
    connections[Port.CALLERS] = max(callers, MIN_CONNECTIONS)
    peers = int(descriptors * PEER_FRACTION)
    connections[Port.PEERS] = max(peers, MIN_CONNECTIONS)
    for port in (Port.HTTP_READY, Port.HTTP_CONTROL):
        number = int(descriptors * HTTP_FRACTION)
        connections[port] = max(number, MIN_CONNECTIONS)
    return Limits(
        held_bytes,
        connections,
        stated.start_s or START_LIMIT_S,
        stated.message_s or MESSAGE_LIMIT_S,
        stated.unread_s or UNREAD_LIMIT_S,
    )


def create_budget(limits: Limits) -> Budget:
    """Returns a budget without connections."""
    return Budget(
        limits=limits,
        held_bytes=0,
        holders={},
        counts=dict.fromkeys(Port, 0),
        next_number=1,
    )


def add_holder(budget: Budget, port: Port, group: str, now_s: float) -> Holder:
    """Adds a connection that was accepted and returns its entry."""
    holder = Holder(
        number=budget['next_number'],
        port=port,
        group=group,
        held_bytes=0,
        started=False,
        opened_s=now_s,
        incomplete_since_s=0,
        unread_since_s=0,
    )
    budget['next_number'] += 1
    budget['holders'][holder['number']] = holder
    budget['counts'][port] += 1
    return holder


def remove_holder(budget: Budget, number: int) -> Holder | None:
    """Removes a connection and returns its entry, None if it was removed."""
    holder = budget['holders'].pop(number, None)
    if holder is not None:
        budget['counts'][holder['port']] -= 1
        budget['held_bytes'] -= holder['held_bytes']
        holder['held_bytes'] = 0
    return holder


def charge(budget: Budget, holder: Holder, held_bytes: int) -> bool:
    """Sets what a connection holds.

    Returns:
        Whether the budget is exceeded, so that connections must be closed.
    """
    if holder['number'] not in budget['holders']:
        return False
    budget['held_bytes'] += held_bytes - holder['held_bytes']
    holder['held_bytes'] = held_bytes
    return budget['held_bytes'] > budget['limits'].held_bytes


def choose_memory_closings(budget: Budget) -> list[Closing]:
    """Returns the connections whose end brings the bytes under the budget."""
    held_bytes = budget['held_bytes']
    if held_bytes <= budget['limits'].held_bytes:
        return []
    target_bytes = budget['limits'].held_bytes * RELIEF_FRACTION
    groups = _group_by_bytes(budget)
    totals = {
        group: sum(holder['held_bytes'] for holder in members)
        for group, members in groups.items()
    }
    chosen: list[Closing] = []
    while totals and held_bytes > target_bytes:
        group = max(totals, key=totals.__getitem__)
        largest = groups[group].pop()
        totals[group] -= largest['held_bytes']
        if not groups[group]:
            totals.pop(group)
        held_bytes -= largest['held_bytes']
        chosen.append(Closing(largest['number'], Reason.MEMORY))
    return chosen


def choose_connection_closing(budget: Budget, port: Port) -> list[Closing]:
    """Returns the connection to close if a port has too many, else nothing.

    That is the oldest that has not started, except the newest of all, which
    had no time for it. Without any, it is the newest of the group that has the
    most connections, so that sessions which are in use stay.
    """
    if budget['counts'][port] <= budget['limits'].connections[port]:
        return []
    members = [
        holder
        for holder in budget['holders'].values()
        if holder['port'] is port
    ]
    waiting = [holder for holder in members[:-1] if not holder['started']]
    if waiting:
        oldest = min(waiting, key=lambda holder: holder['opened_s'])
        return [Closing(oldest['number'], Reason.CONNECTIONS)]
    groups = collections.Counter(holder['group'] for holder in members[:-1])
    group = max(groups, key=groups.__getitem__)
    for holder in reversed(members[:-1]):
        if holder['group'] == group:
            return [Closing(holder['number'], Reason.CONNECTIONS)]
    return []


def find_overdue(budget: Budget, now_s: float) -> list[Closing]:
    """Returns the connections that are over a time limit."""
    limits = budget['limits']
    chosen: list[Closing] = []
    for number, holder in budget['holders'].items():
        reason = _find_overdue_reason(holder, limits, now_s)
        if reason is not None:
            chosen.append(Closing(number, reason))
    return chosen


def _find_overdue_reason(
    holder: Holder, limits: Limits, now_s: float
) -> Reason | None:
    unread_since_s = holder['unread_since_s']
    if unread_since_s and now_s - unread_since_s > limits.unread_s:
        return Reason.UNREAD
    if not holder['started'] and holder['port'] in STARTING_PORTS:
        late = now_s - holder['opened_s'] > limits.start_s
        return Reason.START if late else None
    incomplete_since_s = holder['incomplete_since_s']
    if incomplete_since_s and now_s - incomplete_since_s > limits.message_s:
        return Reason.MESSAGE
    return None


def _group_by_bytes(budget: Budget) -> dict[str, list[Holder]]:
    """Returns the holders by group, those with the most bytes last."""
    groups: dict[str, list[Holder]] = {}
    for holder in budget['holders'].values():
        # The end of a link to a gateway would fail statements of others.
        if holder['held_bytes'] and holder['port'] is not Port.GATEWAYS:
            groups.setdefault(holder['group'], []).append(holder)
    for members in groups.values():
        members.sort(key=operator.itemgetter('held_bytes'))
    return groups
