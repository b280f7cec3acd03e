"""Lifecycle of the tasks for databases and endpoints on this host.

Failover tasks run only for databases for which this host's rank lets it act.
Tasks for endpoints and acknowledgements start on first use, since a host opens
connections only to the endpoints whose statements it runs.
"""

import functools
from contextlib import AsyncExitStack
from typing import Any, NamedTuple, Self

from anyio.abc import TaskGroup

from poplarspoke import (
    acknowledgements,
    attempts,
    connections,
    endpoints,
    failover,
    pools,
    queues,
    transactions,
)
from poplarspoke.execution import EndpointUnit
from poplarspoke.generated.dispatch import EndpointObserved
from poplarspoke.generated.failover import (
    CallEndpoint,
    CandidateRank,
    DrainingEndpoints,
    EndpointAnswered,
)
from poplarspoke.generated.members import MemberStatus, Role
from poplarspoke.generated.membership import EndpointView
from poplarspoke.generated.settings import Database, Document
from poplarspoke.sockets import EndpointSockets
from poplarspoke.tasks import MessageBus, Task

FAILOVER_TICK_S = 0.1
QUEUE_TICK_S = 0.05
POOL_TICK_S = 0.1
ACKNOWLEDGEMENT_TICK_S = 0.02
TRANSACTIONS_TASK = 'transactions'


class LinkKey(NamedTuple):
    """Key of a control link: the calling task and the endpoint."""

    task: str
    endpoint: str


class EndpointTasks:
    """Creates and owns the tasks of databases and endpoints."""

    def __init__(self, host: str, incarnation: int, bus: MessageBus) -> None:
        """Stores the identity of this daemon start and the message bus."""
        self._host = host
        self._incarnation = incarnation
        self._bus = bus
        self._document = Document(teams={})
        self._links: dict[LinkKey, endpoints.ControlLink] = {}
        self._units: dict[str, EndpointUnit] = {}
        self._ranks: dict[str, CandidateRank] = {}
        self._draining: dict[str, DrainingEndpoints] = {}
        self._group: TaskGroup
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Returns the object; ``attach`` must precede the first task."""
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *exc: Any) -> None:
        """Closes the links, sockets and inboxes."""
        await self._stack.__aexit__(*exc)

    def attach(self, group: TaskGroup) -> None:
        """Sets the task group in which tasks run."""
        self._group = group

    def update(self, document: Document, now_s: float) -> None:
        """Stops tasks of changed databases; starts missing failover tasks."""
        before = self._document.get('databases', {})
        self._document = document
        databases = document.get('databases', {})
        for name in before:
            if _is_changed(before[name], databases.get(name)):
                self._stop_database(name)
        for name in self._ranks:
            self._start_failover(name, now_s)

    def send_to_failover(
        self,
        message: CandidateRank | DrainingEndpoints,
        now_s: float,
    ) -> None:
        """Sends a message to a failover task, which is started if it may act.

        A task for each of 630 databases would take 38% of a core, while a host
        has a rank that may act for about 5 of them.
        """
        store_message(message, self)
        if not self._bus.post(name_failover(message.database), message):
            self._start_failover(message.database, now_s)

    def store_rank(self, message: CandidateRank) -> None:
        """Stores the rank of this host; stops a task that may not act."""
        self._ranks[message.database] = message
        if message.rank >= attempts.ACTING_RANKS:
            self._stop_task(name_failover(message.database))

    def store_draining(self, message: DrainingEndpoints) -> None:
        """Stores the draining endpoints of a database."""
        self._draining[message.database] = message

    def call(self, task: str, endpoint: str, message: CallEndpoint) -> None:
        """Sends a control call of a task to an endpoint."""
        link = self._links.get(LinkKey(task, endpoint))
        if link is not None:
            link.post(message)

    async def find_unit(self, endpoint: str) -> EndpointUnit | None:
        """Returns the tasks of an endpoint, which are started if necessary."""
        known = self._units.get(endpoint)
        if known is not None:
            return known
        for name, database in self._document.get('databases', {}).items():
            if endpoint in database['endpoints']:
                unit = self._start_endpoint(endpoint, name, database)
                self._units[endpoint] = unit
                return unit
        return None

    def _start_failover(self, name: str, now_s: float) -> None:
        database = self._document.get('databases', {}).get(name)
        rank = self._ranks.get(name)
        task = name_failover(name)
        if database is None or rank is None or task in self._bus.tasks:
            return
        if rank.rank >= attempts.ACTING_RANKS:
            return
        locations = _list_locations(database)
        state = attempts.create_state(
            self._host,
            self._incarnation,
            name,
            locations,
            listeners=('dispatch', 'daemon'),
            now_s=now_s,
        )
        started = self._start(task, failover.decide, state, FAILOVER_TICK_S)
        self._open_links(task, name, locations)
        started.post(rank)
        started.post(self._draining.get(name, DrainingEndpoints(database=name)))

    def _stop_database(self, name: str) -> None:
        self._stop_task(name_failover(name))
        self._stop_task(name_acknowledgements(name))
        for endpoint, unit in list(self._units.items()):
            if unit.database == name:
                self._units.pop(endpoint)

    def _find_acknowledgements(self, name: str, database: Database) -> Task:
        """Returns the acknowledgement task of a database, started on first use.

        The ticks of a task for each of 630 databases would take a whole core.
        """
        task = name_acknowledgements(name)
        known = self._bus.tasks.get(task)
        if known is not None:
            return known
        locations = _list_locations(database)
        members = tuple(location.endpoint for location in locations)
        started = self._start(
            task,
            acknowledgements.decide,
            acknowledgements.create_state(name, members),
            ACKNOWLEDGEMENT_TICK_S,
        )
        self._open_links(task, name, locations)
        return started

    def _stop_task(self, task: str) -> None:
        self._bus.stop(task)
        stopped = [link for link in self._links if link.task == task]
        for link in stopped:
            self._links.pop(link).stop()

    def _start_endpoint(
        self,
        endpoint: str,
        name: str,
        database: Database,
    ) -> EndpointUnit:
        pool = transactions.name_pool(endpoint)
        socket_task = f'sockets {endpoint}'
        sockets = EndpointSockets(
            database['endpoints'][endpoint]['address'],
            pool=pool,
            post=self._bus.post,
        )
        self._stack.push_async_exit(sockets)
        self._bus.register(socket_task, sockets.post)
        self._group.start_soon(sockets.run, self._group)
        pool_state = pools.create_state(
            endpoint,
            limit=database['connections'],
            socket_task=socket_task,
            holder_task=TRANSACTIONS_TASK,
        )
        return EndpointUnit(
            endpoint=endpoint,
            database=name,
            queue=self._start(
                f'queue {endpoint}',
                queues.decide,
                queues.create_state(endpoint, database['slots']),
                QUEUE_TICK_S,
            ),
            pool=self._start(pool, connections.decide, pool_state, POOL_TICK_S),
            sockets=sockets,
            acknowledgements=self._find_acknowledgements(name, database),
        )

    def _start(self, name: str, decide: Any, state: Any, tick_s: float) -> Task:
        task = Task(name, decide, state, tick_s=tick_s)
        self._stack.enter_context(task)
        self._bus.start(task, self._group)
        return task

    def _open_links(
        self,
        task: str,
        database: str,
        locations: tuple[attempts.MemberLocation, ...],
    ) -> None:
        for location in locations:
            link = endpoints.ControlLink(
                location.endpoint,
                location.address,
                functools.partial(self._forward_answer, task, database),
            )
            self._stack.push_async_exit(link)
            self._links[LinkKey(task, location.endpoint)] = link
            self._group.start_soon(link.run)

    def _forward_answer(
        self,
        task: str,
        database: str,
        answer: EndpointAnswered,
    ) -> None:
        self._bus.post(task, answer)
        if isinstance(answer.body, MemberStatus) and not answer.lost:
            view = build_view(database, answer.body)
            self._bus.post('dispatch', EndpointObserved(view))


@functools.singledispatch
def store_message(message: Any, endpoint_tasks: EndpointTasks) -> None:
    """Stores a message that a failover task needs when it starts."""
    raise TypeError(f'{type(message).__name__} is not for a failover task')


@store_message.register
def _(message: CandidateRank, endpoint_tasks: EndpointTasks) -> None:
    endpoint_tasks.store_rank(message)


@store_message.register
def _(message: DrainingEndpoints, endpoint_tasks: EndpointTasks) -> None:
    endpoint_tasks.store_draining(message)


def name_failover(database: str) -> str:
    """Returns the name of the failover task of a database."""
    return f'failover:{database}'


def name_acknowledgements(database: str) -> str:
    """Returns the name of the acknowledgement task of a database."""
    return f'acknowledgements:{database}'


def build_view(database: str, status: MemberStatus) -> EndpointView:
    """Returns the view of an endpoint from its status."""
    return EndpointView(
        endpoint=status.endpoint,
        database=database,
        last=status.last,
        age_s=status.age_s,
        primary=status.role is Role.PRIMARY,
        queued=status.queued,
        reachable=True,
    )


def _is_changed(before: Database, database: Database | None) -> bool:
    """Returns whether members of a database or their locations changed."""
    if database is None:
        return True
    return _list_locations(before) != _list_locations(database)


def _list_locations(database: Database) -> tuple[attempts.MemberLocation, ...]:
    return tuple(
        attempts.MemberLocation(
            endpoint=name,
            zone=endpoint['zone'],
            address=endpoint['address'],
        )
        for name, endpoint in sorted(database['endpoints'].items())
    )
