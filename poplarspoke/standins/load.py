"""Load generator whose sessions move between the hosts.

The load is open loop: each request has a planned time, which slow answers do
not delay, and its latency is measured from that time. The same seed gives the
same plan in every run. At the end the generator counts the effects of each
write and reports sessions that did not read their own writes, lost writes and
writes that took effect twice.
"""

import argparse
import json
import random
import secrets
import sys
import time
from collections.abc import Callable
from typing import NamedTuple, TypedDict

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from poplarspoke import codec
from poplarspoke.generated.load import (
    EffectSeen,
    EffectsRead,
    LoadResult,
    RequestDone,
    RequestUnsent,
)
from poplarspoke.standins import ledger
from poplarspoke.standins.exchanges import (
    CONNECTION_LOST,
    Exchange,
    ExchangeResult,
    HttpTransport,
    Transport,
)

LEDGER_BUFFER_MESSAGES = 1024
SCAN_ATTEMPTS = 20
SCAN_BACKOFF_S = 0.5
REPEAT_BACKOFF_S = 0.05
RUN_ID_BYTES = 4
LIST_OPTIONS = {
    'host': 'NAME=IP:PORT of the callers of a host',
    'workspace': 'NAME=RATE=KEY, requests a second',
    'route': 'NAME=SHARE=read, write or once',
}
OPTION_DEFAULTS: dict[str, str | int | float] = {
    'scan-route': 'stock',
    'duration': 10.0,
    'seed': 1,
    'sessions': 32,
    'deadline-ms': 2000,
    'repeats': 2,
}


class LoadRoute(NamedTuple):
    """A route in the mix of requests.

    Attributes:
        name: Route of the workspace.
        share: Weight of the route in the mix.
        write: Whether its requests write.
        repeat: Whether a request with an unresolved outcome may be repeated.
    """

    name: str
    share: float
    write: bool
    repeat: bool = True


class WorkspaceLoad(NamedTuple):
    """The load of one workspace.

    Attributes:
        workspace: Name of the workspace.
        key: API key of its callers.
        rate: Offered load in requests per second.
        routes: Mix of its requests.
        sessions: Number of sessions; each sends one request at a time.
    """

    workspace: str
    key: str
    rate: float
    routes: tuple[LoadRoute, ...]
    sessions: int = 32


class Plan(NamedTuple):
    """One run of the generator.

    Attributes:
        tenants: Load of each workspace.
        hosts: Hosts that the sessions move between.
        duration_s: Length of the plan in seconds.
        seed: Seed of the planned times, routes and hosts.
        run: Prefix of the keys, unique among runs on the same database.
        deadline_ms: Deadline of each request in milliseconds.
        repeats: Maximum repeats of a request with an unresolved outcome.
        scan_route: Route that reads the effects from the primary.
    """

    tenants: tuple[WorkspaceLoad, ...]
    hosts: tuple[str, ...]
    duration_s: float
    seed: int
    run: str
    deadline_ms: int = 2000
    repeats: int = 2
    scan_route: str = 'stock'


class Arrival(NamedTuple):
    """A planned request.

    Attributes:
        at_s: Planned time in seconds from the start of the run.
        route: Route of the request.
        hosts: Host of each attempt, in order.
    """

    at_s: float
    route: LoadRoute
    hosts: tuple[str, ...]


class Attempt(NamedTuple):
    """Last attempt of a request.

    Attributes:
        host: Host that it was sent to.
        found: Result of the attempt.
        number: Number of attempts so far.
        may_have_run: Whether any attempt may have taken effect.
    """

    host: str
    found: ExchangeResult
    number: int = 0
    may_have_run: bool = False


class CallerSession(TypedDict):
    """One session, owned by the task that runs it.

    Attributes:
        name: Prefix of the keys that it writes.
        token: Session token of the last answer.
        written: Last key whose write was acknowledged.
        number: Number of requests so far.
    """

    name: str
    token: str
    written: str
    number: int


class Run(NamedTuple):
    """Values that the tasks of a run share; none of them changes.

    Attributes:
        plan: Plan of the run.
        transport: Sends the attempts.
        ledger_inbox: Stream of messages to the ledger.
        now_s: Returns the time of a monotonic clock in seconds.
        started_s: Start of the run on that clock.
    """

    plan: Plan
    transport: Transport
    ledger_inbox: MemoryObjectSendStream[object]
    now_s: Callable[[], float]
    started_s: float


def plan_arrivals(plan: Plan, load: WorkspaceLoad) -> list[Arrival]:
    """Returns the Poisson arrivals of a workspace, the same for one seed."""
    rng = random.Random(f'{plan.seed} {load.workspace}')
    shares = [route.share for route in load.routes]
    arrivals = []
    at_s = rng.expovariate(load.rate)
    while at_s < plan.duration_s:
        route = rng.choices(load.routes, shares)[0]
        hosts = rng.choices(plan.hosts, k=plan.repeats + 1)
        arrivals.append(Arrival(at_s, route, tuple(hosts)))
        at_s += rng.expovariate(load.rate)
    return arrivals


async def run_load(
    plan: Plan,
    transport: Transport,
    now_s: Callable[[], float] = time.monotonic,
) -> LoadResult:
    """Runs a plan, counts the effects of its writes and returns the result."""
    state = ledger.create_state()
    ends = anyio.create_memory_object_stream[object](LEDGER_BUFFER_MESSAGES)
    run = Run(plan, transport, ends[0], now_s, now_s())
    async with anyio.create_task_group() as group:
        group.start_soon(_run_ledger, ends[1], state, now_s)
        async with ends[0]:
            await _run_workspaces(run)
            for load in plan.tenants:
                await _count_effects(run, load)
    return ledger.summarize(state, plan.seed, plan.duration_s)


async def _run_ledger(
    ledger_inbox: MemoryObjectReceiveStream[object],
    state: ledger.LedgerState,
    now_s: Callable[[], float],
) -> None:
    async with ledger_inbox:
        async for message in ledger_inbox:
            ledger.decide(message, state, now_s())


async def _run_workspaces(run: Run) -> None:
    async with anyio.create_task_group() as group:
        for load in run.plan.tenants:
            group.start_soon(_run_workspace, run, load)


async def _run_workspace(run: Run, load: WorkspaceLoad) -> None:
    ends = anyio.create_memory_object_stream[Arrival](load.sessions)
    async with anyio.create_task_group() as group:
        async with ends[0]:
            _start_sessions(run, load, group, ends[1])
            for arrival in plan_arrivals(run.plan, load):
                elapsed_s = run.now_s() - run.started_s
                await anyio.sleep(max(arrival.at_s - elapsed_s, 0))
                await _queue_arrival(run, load, ends[0], arrival)


def _start_sessions(
    run: Run,
    load: WorkspaceLoad,
    group: TaskGroup,
    arrivals: MemoryObjectReceiveStream[Arrival],
) -> None:
    with arrivals:
        for number in range(load.sessions):
            session = CallerSession(
                name=_name_session(run.plan, number),
                token='',
                written='',
                number=0,
            )
            own_arrivals = arrivals.clone()
            group.start_soon(_run_session, run, load, session, own_arrivals)


async def _queue_arrival(
    run: Run,
    load: WorkspaceLoad,
    arrivals: MemoryObjectSendStream[Arrival],
    arrival: Arrival,
) -> None:
    try:
        arrivals.send_nowait(arrival)
    except anyio.WouldBlock:
        await run.ledger_inbox.send(RequestUnsent(load.workspace))


async def _run_session(
    run: Run,
    load: WorkspaceLoad,
    session: CallerSession,
    arrivals: MemoryObjectReceiveStream[Arrival],
) -> None:
    async with arrivals:
        async for arrival in arrivals:
            await run.ledger_inbox.send(
                await _run_arrival(run, load, session, arrival),
            )


async def _run_arrival(
    run: Run,
    load: WorkspaceLoad,
    session: CallerSession,
    arrival: Arrival,
) -> RequestDone:
    session['number'] += 1
    own_key = f'{session["name"]}{session["number"]}'
    key = own_key if arrival.route.write else session['written'] or own_key
    last = await _send_with_repeats(
        run,
        session,
        arrival,
        _build_exchange(run.plan, load, session, arrival, key),
    )
    if arrival.route.write and last.found.code == ledger.SERVED:
        session['written'] = key
    return RequestDone(
        at=arrival.at_s,
        latency_s=run.now_s() - run.started_s - arrival.at_s,
        workspace=load.workspace,
        session=session['name'],
        route=arrival.route.name,
        host=last.host,
        key=key,
        write=arrival.route.write,
        code=last.found.code,
        may_have_run=last.may_have_run,
        endpoint=last.found.endpoint,
        replica=last.found.replica,
        found=key in last.found.rows,
        attempts=last.number,
    )


async def _send_with_repeats(
    run: Run,
    session: CallerSession,
    arrival: Arrival,
    exchange: Exchange,
) -> Attempt:
    """Sends a request and repeats it while its outcome is unresolved."""
    last = Attempt('', ExchangeResult(CONNECTION_LOST))
    for number, host in enumerate(arrival.hosts, 1):
        found = await run.transport.send(
            host,
            exchange._replace(session=session['token']),
        )
        may_have_run = last.may_have_run or found.may_have_run
        last = Attempt(host, found, number, may_have_run)
        session['token'] = found.session or session['token']
        if not arrival.route.repeat or not _is_unresolved(found):
            break
        await anyio.sleep(REPEAT_BACKOFF_S)
    return last


def _build_exchange(
    plan: Plan,
    load: WorkspaceLoad,
    session: CallerSession,
    arrival: Arrival,
    key: str,
) -> Exchange:
    statement = f'ADD {key} 1' if arrival.route.write else f'GET {key}'
    return Exchange(
        workspace=load.workspace,
        key=load.key,
        session=session['token'],
        request_id=f'{session["name"]}{session["number"]}',
        route=arrival.route.name,
        statement=statement,
        deadline_ms=plan.deadline_ms,
    )


def _is_unresolved(found: ExchangeResult) -> bool:
    """Returns whether a repeat may resolve the outcome of a request."""
    return found.may_have_run or found.code == CONNECTION_LOST


async def _count_effects(run: Run, load: WorkspaceLoad) -> None:
    """Reads the effects of every session's writes from the primary."""
    for number in range(load.sessions):
        prefix = _name_session(run.plan, number)
        found = await _scan(run, load, prefix)
        complete = found.code == ledger.SERVED
        await run.ledger_inbox.send(EffectsRead(load.workspace, complete))
        for key, text in found.rows.items():
            await run.ledger_inbox.send(
                EffectSeen(load.workspace, key, int(text))
            )


async def _scan(run: Run, load: WorkspaceLoad, prefix: str) -> ExchangeResult:
    found = ExchangeResult(CONNECTION_LOST)
    for attempt in range(SCAN_ATTEMPTS):
        host = run.plan.hosts[attempt % len(run.plan.hosts)]
        exchange = Exchange(
            workspace=load.workspace,
            key=load.key,
            session='',
            request_id=f'{prefix}scan-{attempt}',
            route=run.plan.scan_route,
            statement=f'SCAN {prefix}',
            deadline_ms=run.plan.deadline_ms,
        )
        found = await run.transport.send(host, exchange)
        if found.code == ledger.SERVED:
            break
        await anyio.sleep(SCAN_BACKOFF_S)
    return found


def _name_session(plan: Plan, number: int) -> str:
    return f'{plan.run}.{number}.'


def read_arguments(arguments: list[str]) -> argparse.Namespace:
    """Returns the parsed options of the command line."""
    parser = argparse.ArgumentParser(prog='load', description=__doc__)
    for name, purpose in LIST_OPTIONS.items():
        parser.add_argument(
            f'--{name}',
            action='append',
            required=True,
            help=f'{purpose}; repeatable',
        )
    for flag, default in OPTION_DEFAULTS.items():
        parser.add_argument(
            f'--{flag}',
            type=type(default),
            default=default,
            help='default: %(default)s',
        )
    return parser.parse_args(arguments)


def create_plan(options: argparse.Namespace) -> Plan:
    """Returns the plan that the options describe."""
    return Plan(
        tenants=tuple(_read_loads(options)),
        hosts=tuple(_read_hosts(options)),
        duration_s=options.duration,
        seed=options.seed,
        run=secrets.token_hex(RUN_ID_BYTES),
        deadline_ms=options.deadline_ms,
        repeats=options.repeats,
        scan_route=options.scan_route,
    )


def _read_hosts(options: argparse.Namespace) -> dict[str, str]:
    return dict(entry.split('=', 1) for entry in options.host)


def _read_loads(options: argparse.Namespace) -> list[WorkspaceLoad]:
    routes = tuple(_read_route(entry) for entry in options.route)
    loads = []
    for entry in options.workspace:
        name, rate, key = entry.split('=', 2)
        loads.append(
            WorkspaceLoad(name, key, float(rate), routes, options.sessions),
        )
    return loads


def _read_route(entry: str) -> LoadRoute:
    name, share, kind = entry.split('=')
    return LoadRoute(
        name,
        float(share),
        write=kind != 'read',
        repeat=kind != 'once',
    )


async def run_command(arguments: list[str]) -> int:
    """Runs the load of a command line and returns the exit status.

    It is 1 if a check failed or the effects could not all be read.
    """
    options = read_arguments(arguments)
    async with HttpTransport(_read_hosts(options)) as transport:
        found = await run_load(create_plan(options), transport)
    text = json.dumps(codec.to_object(found), indent=2)
    sys.stdout.write(f'{text}\n')
    return 0 if found.passed else 1


if __name__ == '__main__':
    sys.exit(anyio.run(run_command, sys.argv[1:]))
