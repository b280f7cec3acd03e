"""Load generator: callers whose sessions roam between the hosts.

The load is open loop: each request has a planned time that no slow answer
moves, and its latency counts from there. A seed gives the same plan in every
run. At the end the generator counts the effects of each write and says
whether a session missed its own write, a write was lost or one was doubled.
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
    LOST,
    Exchange,
    ExchangeResult,
    HttpTransport,
    Transport,
)

LEDGER_BUFFER = 1024
SCAN_ATTEMPTS = 20
SCAN_PAUSE_S = 0.5
REPEAT_PAUSE_S = 0.05
RUN_BYTES = 4
LISTS = {
    'host': 'NAME=IP:PORT of the callers of a host',
    'workspace': 'NAME=RATE=KEY, requests a second',
    'route': 'NAME=SHARE=read, write or once',
}
DEFAULTS: dict[str, str | int | float] = {
    'scan-route': 'stock',
    'duration': 10.0,
    'seed': 1,
    'sessions': 32,
    'deadline-ms': 2000,
    'repeats': 2,
}


class LoadRoute(NamedTuple):
    """A route of the mix.

    Attributes:
        name: Route of the workspace.
        share: Weight of the route in the mix.
        write: Whether requests on it write.
        repeat: Whether a request without a known outcome may be repeated.
    """

    name: str
    share: float
    write: bool
    repeat: bool = True


class Tenant(NamedTuple):
    """The load of one workspace.

    Attributes:
        workspace: Its name.
        key: Key of its callers.
        rate: Offered requests a second.
        routes: Mix of its requests.
        sessions: Sessions, each with one request at a time.
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
        hosts: Hosts that the sessions roam between.
        duration_s: Time in which requests are planned.
        seed: Seed of the planned times, routes and hosts.
        run: Prefix of the keys, unique among runs on the same database.
        deadline_ms: Deadline of each request.
        repeats: Repeats of a request whose outcome is not known.
        scan_route: Route that reads the effects from the primary.
    """

    tenants: tuple[Tenant, ...]
    hosts: tuple[str, ...]
    duration_s: float
    seed: int
    run: str
    deadline_ms: int = 2000
    repeats: int = 2
    scan_route: str = 'stock'


class Arrival(NamedTuple):
    """A planned request; ``hosts`` are those of its attempts in order."""

    at_s: float
    route: LoadRoute
    hosts: tuple[str, ...]


class Attempt(NamedTuple):
    """Last attempt of a request.

    Attributes:
        host: Host that it was sent to.
        found: What became of it.
        number: Attempts so far.
        may_have_run: Whether any attempt may have had an effect.
    """

    host: str
    found: ExchangeResult
    number: int = 0
    may_have_run: bool = False


class CallerSession(TypedDict):
    """One session; owned by the task that runs it.

    Attributes:
        name: Prefix of the keys that it writes.
        token: Session token of the last answer.
        written: Last key whose write was acknowledged.
        number: Requests so far.
    """

    name: str
    token: str
    written: str
    number: int


class Run(NamedTuple):
    """What the tasks of a run share; none of it changes.

    Attributes:
        plan: The plan.
        transport: Carries the attempts.
        notes: Inbox of the ledger.
        now_s: Monotonic clock in seconds.
        started_s: Start of the run on that clock.
    """

    plan: Plan
    transport: Transport
    notes: MemoryObjectSendStream[object]
    now_s: Callable[[], float]
    started_s: float


def plan_arrivals(plan: Plan, tenant: Tenant) -> list[Arrival]:
    """Returns the Poisson arrivals of a workspace, the same for a seed."""
    source = random.Random(f'{plan.seed} {tenant.workspace}')
    shares = [route.share for route in tenant.routes]
    arrivals = []
    at_s = source.expovariate(tenant.rate)
    while at_s < plan.duration_s:
        route = source.choices(tenant.routes, shares)[0]
        hosts = source.choices(plan.hosts, k=plan.repeats + 1)
        arrivals.append(Arrival(at_s, route, tuple(hosts)))
        at_s += source.expovariate(tenant.rate)
    return arrivals


async def run_load(
    plan: Plan,
    transport: Transport,
    now_s: Callable[[], float] = time.monotonic,
) -> LoadResult:
    """Runs a plan, counts the effects and returns the result."""
    state = ledger.create_state()
    ends = anyio.create_memory_object_stream[object](LEDGER_BUFFER)
    run = Run(plan, transport, ends[0], now_s, now_s())
    async with anyio.create_task_group() as group:
        group.start_soon(_keep_ledger, ends[1], state, now_s)
        async with ends[0]:
            await _run_tenants(run)
            for tenant in plan.tenants:
                await _read_effects(run, tenant)
    return ledger.summarize(state, plan.seed, plan.duration_s)


async def _keep_ledger(
    notes: MemoryObjectReceiveStream[object],
    state: ledger.LedgerState,
    now_s: Callable[[], float],
) -> None:
    async with notes:
        async for message in notes:
            ledger.decide(message, state, now_s())


async def _run_tenants(run: Run) -> None:
    async with anyio.create_task_group() as group:
        for tenant in run.plan.tenants:
            group.start_soon(_run_tenant, run, tenant)


async def _run_tenant(run: Run, tenant: Tenant) -> None:
    ends = anyio.create_memory_object_stream[Arrival](tenant.sessions)
    async with anyio.create_task_group() as group:
        async with ends[0]:
            _start_sessions(run, tenant, group, ends[1])
            for arrival in plan_arrivals(run.plan, tenant):
                elapsed_s = run.now_s() - run.started_s
                await anyio.sleep(max(arrival.at_s - elapsed_s, 0))
                await _offer(run, tenant, ends[0], arrival)


def _start_sessions(
    run: Run,
    tenant: Tenant,
    group: TaskGroup,
    arrivals: MemoryObjectReceiveStream[Arrival],
) -> None:
    with arrivals:
        for number in range(tenant.sessions):
            session = CallerSession(
                name=_name_session(run.plan, number),
                token='',
                written='',
                number=0,
            )
            own = arrivals.clone()
            group.start_soon(_run_session, run, tenant, session, own)


async def _offer(
    run: Run,
    tenant: Tenant,
    arrivals: MemoryObjectSendStream[Arrival],
    arrival: Arrival,
) -> None:
    try:
        arrivals.send_nowait(arrival)
    except anyio.WouldBlock:
        await run.notes.send(RequestUnsent(tenant.workspace))


async def _run_session(
    run: Run,
    tenant: Tenant,
    session: CallerSession,
    arrivals: MemoryObjectReceiveStream[Arrival],
) -> None:
    async with arrivals:
        async for arrival in arrivals:
            await run.notes.send(
                await _serve_arrival(run, tenant, session, arrival),
            )


async def _serve_arrival(
    run: Run,
    tenant: Tenant,
    session: CallerSession,
    arrival: Arrival,
) -> RequestDone:
    session['number'] += 1
    own_key = f'{session["name"]}{session["number"]}'
    key = own_key if arrival.route.write else session['written'] or own_key
    last = await _repeat(
        run,
        session,
        arrival,
        _build_exchange(run.plan, tenant, session, arrival, key),
    )
    if arrival.route.write and last.found.code == ledger.SERVED:
        session['written'] = key
    return RequestDone(
        at=arrival.at_s,
        latency_s=run.now_s() - run.started_s - arrival.at_s,
        workspace=tenant.workspace,
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


async def _repeat(
    run: Run,
    session: CallerSession,
    arrival: Arrival,
    exchange: Exchange,
) -> Attempt:
    """Sends a request, and again while its outcome is not known."""
    last = Attempt('', ExchangeResult(LOST))
    for number, host in enumerate(arrival.hosts, 1):
        found = await run.transport.send(
            host,
            exchange._replace(session=session['token']),
        )
        may_have_run = last.may_have_run or found.may_have_run
        last = Attempt(host, found, number, may_have_run)
        session['token'] = found.session or session['token']
        if not arrival.route.repeat or not _is_open(found):
            break
        await anyio.sleep(REPEAT_PAUSE_S)
    return last


def _build_exchange(
    plan: Plan,
    tenant: Tenant,
    session: CallerSession,
    arrival: Arrival,
    key: str,
) -> Exchange:
    statement = f'ADD {key} 1' if arrival.route.write else f'GET {key}'
    return Exchange(
        workspace=tenant.workspace,
        key=tenant.key,
        session=session['token'],
        request_id=f'{session["name"]}{session["number"]}',
        route=arrival.route.name,
        statement=statement,
        deadline_ms=plan.deadline_ms,
    )


def _is_open(found: ExchangeResult) -> bool:
    """Returns whether a repeat may find out what became of a request."""
    return found.may_have_run or found.code == LOST


async def _read_effects(run: Run, tenant: Tenant) -> None:
    """Reads the keys of every session from the primary."""
    for number in range(tenant.sessions):
        prefix = _name_session(run.plan, number)
        found = await _scan(run, tenant, prefix)
        complete = found.code == ledger.SERVED
        await run.notes.send(EffectsRead(tenant.workspace, complete))
        for key, text in found.rows.items():
            await run.notes.send(EffectSeen(tenant.workspace, key, int(text)))


async def _scan(run: Run, tenant: Tenant, prefix: str) -> ExchangeResult:
    found = ExchangeResult(LOST)
    for attempt in range(SCAN_ATTEMPTS):
        host = run.plan.hosts[attempt % len(run.plan.hosts)]
        exchange = Exchange(
            workspace=tenant.workspace,
            key=tenant.key,
            session='',
            request_id=f'{prefix}scan-{attempt}',
            route=run.plan.scan_route,
            statement=f'SCAN {prefix}',
            deadline_ms=run.plan.deadline_ms,
        )
        found = await run.transport.send(host, exchange)
        if found.code == ledger.SERVED:
            break
        await anyio.sleep(SCAN_PAUSE_S)
    return found


def _name_session(plan: Plan, number: int) -> str:
    return f'{plan.run}.{number}.'


def read_arguments(arguments: list[str]) -> argparse.Namespace:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(prog='load', description=__doc__)
    for name, purpose in LISTS.items():
        parser.add_argument(
            f'--{name}',
            action='append',
            required=True,
            help=f'{purpose}; repeatable',
        )
    for flag, default in DEFAULTS.items():
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
        tenants=tuple(_read_tenants(options)),
        hosts=tuple(_read_hosts(options)),
        duration_s=options.duration,
        seed=options.seed,
        run=secrets.token_hex(RUN_BYTES),
        deadline_ms=options.deadline_ms,
        repeats=options.repeats,
        scan_route=options.scan_route,
    )


def _read_hosts(options: argparse.Namespace) -> dict[str, str]:
    return dict(entry.split('=', 1) for entry in options.host)


def _read_tenants(options: argparse.Namespace) -> list[Tenant]:
    routes = tuple(_read_route(entry) for entry in options.route)
    tenants = []
    for entry in options.workspace:
        name, rate, key = entry.split('=', 2)
        tenants.append(
            Tenant(name, key, float(rate), routes, options.sessions),
        )
    return tenants


def _read_route(entry: str) -> LoadRoute:
    name, share, kind = entry.split('=')
    return LoadRoute(
        name,
        float(share),
        write=kind != 'read',
        repeat=kind != 'once',
    )


async def run_command(arguments: list[str]) -> int:
    """Runs the load of a command line; returns 1 after a violation."""
    options = read_arguments(arguments)
    async with HttpTransport(_read_hosts(options)) as transport:
        found = await run_load(create_plan(options), transport)
    text = json.dumps(codec.to_object(found), indent=2)
    sys.stdout.write(f'{text}\n')
    return 0 if found.passed else 1


if __name__ == '__main__':
    sys.exit(anyio.run(run_command, sys.argv[1:]))
