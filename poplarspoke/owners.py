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
    dispatch,
    endpoints,
    failover,
    queues,
    transactions,
)
from poplarspoke.execution import EndpointUnit
from poplarspoke.generated.dispatch import EndpointObserved
from poplarspoke.generated.failover import CallEndpoint, EndpointAnswered
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
        for name, database in document.get('databases', {}).items():
            known = before.get(name)
            if known and _list_places(known) == _list_places(database):
                continue
            self._stop_database(name)
            self._start_database(name, database, now_s)
        for name in before:
            if name not in document.get('databases', {}):
                self._stop_database(name)

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

    def _start_database(
        self,
        name: str,
        database: Database,
        now_s: float,
    ) -> None:
        places = _list_places(database)
        state = attempts.create_state(
            self._host,
            self._incarnation,
            name,
            places,
            listeners=('dispatch', 'daemon'),
            now_s=now_s,
        )
        task = name_failover(name)
        self._start(task, failover.decide, state, FAILOVER_TICK_S)
        self._open_links(task, name, places)
        members = tuple(place.endpoint for place in places)
        task = name_acknowledgements(name)
        self._start(
            task,
            acknowledgements.decide,
            acknowledgements.create_state(name, members),
            ACKNOWLEDGEMENT_TICK_S,
        )
        self._open_links(task, name, places)

    def _stop_database(self, name: str) -> None:
        for task in (name_failover(name), name_acknowledgements(name)):
            self._mesh.stop(task)
            stopped = [link for link in self._links if link.task == task]
            for link in stopped:
                self._links.pop(link).stop()
        for endpoint, unit in list(self._units.items()):
            if unit.database == name:
                self._units.pop(endpoint)

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
        pool_state = connections.create_state(
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
            acknowledgements=self._mesh.tasks[name_acknowledgements(name)],
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
        places: tuple[attempts.MemberPlace, ...],
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


def name_failover(database: str) -> str:
    """Returns the name of the failover task of a database."""
    return f'{dispatch.FAILOVER_TASK}:{database}'


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


def _list_places(database: Database) -> tuple[attempts.MemberPlace, ...]:
    return tuple(
        attempts.MemberPlace(
            endpoint=name,
            zone=endpoint['zone'],
            address=endpoint['address'],
        )
        for name, endpoint in sorted(database['endpoints'].items())
    )
