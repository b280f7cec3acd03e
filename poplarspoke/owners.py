"""The tasks that serve databases and endpoints on this host.

A daemon decides on the primary of every database, but opens connections only
to the endpoints whose statements it runs, so those tasks start on first use.
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
    AvoidEndpoints,
    CallEndpoint,
    CandidateRank,
    EndpointAnswered,
)
from poplarspoke.generated.members import MemberStatus, Role
from poplarspoke.generated.membership import EndpointView
from poplarspoke.generated.settings import Database, Document
from poplarspoke.sockets import EndpointSockets
from poplarspoke.tasks import Mesh, Task

FAILOVER_TICK_S = 0.1
QUEUE_TICK_S = 0.05
POOL_TICK_S = 0.1
ACKNOWLEDGEMENT_TICK_S = 0.02
TRANSACTIONS_TASK = 'transactions'


class LinkName(NamedTuple):
    """A control link: the task that calls and the endpoint."""

    task: str
    endpoint: str


class Owners:
    """Creates the tasks of databases and endpoints; owns them all."""

    def __init__(self, host: str, incarnation: int, mesh: Mesh) -> None:
        """Takes the identity of this start of the daemon and its tasks."""
        self._host = host
        self._incarnation = incarnation
        self._mesh = mesh
        self._document = Document(teams={})
        self._links: dict[LinkName, endpoints.ControlLink] = {}
        self._units: dict[str, EndpointUnit] = {}
        self._ranks: dict[str, CandidateRank] = {}
        self._avoided: dict[str, AvoidEndpoints] = {}
        self._group: TaskGroup
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Returns the owner of no task yet."""
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *exc: Any) -> None:
        """Closes the links, sockets and inboxes."""
        await self._stack.__aexit__(*exc)

    def attach(self, group: TaskGroup) -> None:
        """Takes the task group in which tasks run."""
        self._group = group

    def update(self, document: Document, now_s: float) -> None:
        """Starts the tasks of new databases; restarts those that changed."""
        before = self._document.get('databases', {})
        self._document = document
        databases = document.get('databases', {})
        for name in before:
            if _differ(before[name], databases.get(name)):
                self._stop_database(name)
        for name in self._ranks:
            self._start_failover(name, now_s)

    def instruct(
        self,
        message: CandidateRank | AvoidEndpoints,
        now_s: float,
    ) -> None:
        """Passes a message to a failover task, started once it may act.

        A task for each of 630 databases would take 38% of a core, and a host
        has one of the ranks that act for about 5 of them.
        """
        keep(message, self)
        if not self._mesh.post(name_failover(message.database), message):
            self._start_failover(message.database, now_s)

    def keep_rank(self, message: CandidateRank) -> None:
        """Remembers the rank of this host; stops a task that may not act."""
        self._ranks[message.database] = message
        if message.rank >= attempts.ACTING_RANKS:
            self._stop_task(name_failover(message.database))

    def keep_avoided(self, message: AvoidEndpoints) -> None:
        """Remembers the endpoints that must not keep a primary."""
        self._avoided[message.database] = message

    def call(self, task: str, endpoint: str, message: CallEndpoint) -> None:
        """Carries a control call of a task to an endpoint."""
        link = self._links.get(LinkName(task, endpoint))
        if link is not None:
            link.post(message)

    async def find_unit(self, endpoint: str) -> EndpointUnit | None:
        """Returns the tasks of an endpoint, started if need be."""
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
        if database is None or rank is None or task in self._mesh.tasks:
            return
        if rank.rank >= attempts.ACTING_RANKS:
            return
        places = _list_places(database)
        state = attempts.create_state(
            self._host,
            self._incarnation,
            name,
            places,
            listeners=('dispatch', 'daemon'),
            now_s=now_s,
        )
        started = self._start(task, failover.decide, state, FAILOVER_TICK_S)
        self._open_links(task, name, places)
        started.post(rank)
        started.post(self._avoided.get(name, AvoidEndpoints(database=name)))

    def _stop_database(self, name: str) -> None:
        self._stop_task(name_failover(name))
        self._stop_task(name_acknowledgements(name))
        for endpoint, unit in list(self._units.items()):
            if unit.database == name:
                self._units.pop(endpoint)

    def _find_acknowledgements(self, name: str, database: Database) -> Task:
        """Returns the task that counts the majorities of a database.

        It starts with the first statement, since its ticks for 630 databases
        would take a whole core of each daemon.
        """
        task = name_acknowledgements(name)
        known = self._mesh.tasks.get(task)
        if known is not None:
            return known
        places = _list_places(database)
        members = tuple(place.endpoint for place in places)
        started = self._start(
            task,
            acknowledgements.decide,
            acknowledgements.create_state(name, members),
            ACKNOWLEDGEMENT_TICK_S,
        )
        self._open_links(task, name, places)
        return started

    def _stop_task(self, task: str) -> None:
        self._mesh.stop(task)
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
            post=self._mesh.post,
        )
        self._stack.push_async_exit(sockets)
        self._mesh.register(socket_task, sockets.post)
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
        self._mesh.start(task, self._group)
        return task

    def _open_links(
        self,
        task: str,
        database: str,
        places: tuple[attempts.MemberLocation, ...],
    ) -> None:
        for place in places:
            link = endpoints.ControlLink(
                place.endpoint,
                place.address,
                functools.partial(self._take_answer, task, database),
            )
            self._stack.push_async_exit(link)
            self._links[LinkName(task, place.endpoint)] = link
            self._group.start_soon(link.run)

    def _take_answer(
        self,
        task: str,
        database: str,
        answer: EndpointAnswered,
    ) -> None:
        self._mesh.post(task, answer)
        if isinstance(answer.body, MemberStatus) and not answer.lost:
            view = build_view(database, answer.body)
            self._mesh.post('dispatch', EndpointObserved(view))


@functools.singledispatch
def keep(message: Any, owners: Owners) -> None:
    """Remembers what a failover task must know when it starts."""
    raise TypeError(f'{type(message).__name__} is not for a failover task')


@keep.register
def _(message: CandidateRank, owners: Owners) -> None:
    owners.keep_rank(message)


@keep.register
def _(message: AvoidEndpoints, owners: Owners) -> None:
    owners.keep_avoided(message)


def name_failover(database: str) -> str:
    """Returns the name of the failover task of a database."""
    return f'failover:{database}'


def name_acknowledgements(database: str) -> str:
    """Returns the name of the acknowledgement task of a database."""
    return f'acknowledgements:{database}'


def build_view(database: str, status: MemberStatus) -> EndpointView:
    """Returns the view of an endpoint that its status gives."""
    return EndpointView(
        endpoint=status.endpoint,
        database=database,
        last=status.last,
        age_s=status.age_s,
        primary=status.role is Role.PRIMARY,
        queued=status.queued,
        reachable=True,
    )


def _differ(before: Database, database: Database | None) -> bool:
    """Returns whether the members of a database or their places differ."""
    if database is None:
        return True
    return _list_places(before) != _list_places(database)


def _list_places(database: Database) -> tuple[attempts.MemberLocation, ...]:
    return tuple(
        attempts.MemberLocation(
            endpoint=name,
            zone=endpoint['zone'],
            address=endpoint['address'],
        )
        for name, endpoint in sorted(database['endpoints'].items())
    )
