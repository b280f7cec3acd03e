"""Workloads of the request path: the cost of a statement in each module.

A unit is a statement, unless the series names another one. Request ids are
unique, as those of callers are.
"""

import functools
import itertools
from typing import Any, NamedTuple

from bench import capacity_topology as topologies
from bench.capacity_measure import Round, Series, Work, receive
from poplarspoke import (
    acknowledgements,
    codec,
    connections,
    dispatch,
    keys,
    metrics,
    placement,
    pools,
    queues,
    rates,
    shares,
    tokens,
    traces,
    transactions,
)
from poplarspoke.generated.acknowledgements import AwaitMajority
from poplarspoke.generated.common import DatabasePosition, Position, Tick
from poplarspoke.generated.connections import (
    Acquire,
    ConnectionOpened,
    EndExchange,
    Release,
    StartExchange,
)
from poplarspoke.generated.dispatch import PlanStatement
from poplarspoke.generated.failover import EndpointAnswered
from poplarspoke.generated.keys import CheckKey
from poplarspoke.generated.members import Confirmed
from poplarspoke.generated.membership import EndpointViews
from poplarspoke.generated.operators import (
    AdmissionCounted,
    ReadCounted,
    RequestStep,
    RequestTrace,
    ServiceCounted,
)
from poplarspoke.generated.peers import PeerFrame
from poplarspoke.generated.queues import Enqueue, Finish
from poplarspoke.generated.rates import (
    AdmitRequest,
    LivePeers,
    RateSettings,
    WorkspaceRate,
)
from poplarspoke.generated.requests import (
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.sessions import Session
from poplarspoke.generated.transactions import (
    BeginTransaction,
    StatementEnded,
    UseTransaction,
)

BATCH = 200
NOW_S = topologies.START_S
STEP_S = 0.001
HUGE_RATE = 1e9
BUDGET_S = 2.0
ENDPOINT = 'database-000-m1'
WORKSPACE = 'workspace-0000'
SECRETS = ('first secret of 32 bytes for tokens',)
DATABASE_SIZES = (63, 210, 630)
TEXT = 'SELECT price, stock FROM catalogue WHERE shop = $1 AND item = $2'
ROWS = '[["4.50", "17"], ["5.20", "3"], ["6.00", "0"]]'
ids = itertools.count(1)


class RequestPath(NamedTuple):
    """States that a statement uses on its entry host and its owner."""

    keys: keys.KeysState
    rates: shares.RatesState
    dispatch: placement.DispatchState
    queue: queues.QueueState
    pool: pools.PoolState


def create_keys(databases: int) -> keys.KeysState:
    """Returns the state of a key check with fresh settings."""
    state = keys.create_state()
    keys.decide(
        topologies.create_in_force(topologies.create_topology(8, databases)),
        state,
        NOW_S,
    )
    state['freshness'] = state['freshness']._replace(
        version=1, confirmed=True, confirmed_at_s=NOW_S
    )
    return state


def create_rates(workspaces: int) -> shares.RatesState:
    """Returns the rates of a single host, which admit every request."""
    topology = topologies.create_topology(1, 1, workspaces)
    state = shares.create_state('h000.z0', incarnation=1, seed=1, now_s=0)
    entries = tuple(
        WorkspaceRate(name, HUGE_RATE, HUGE_RATE)
        for name in topology.workspaces
    )
    settings = RateSettings(1, ('h000.z0',), entries, 60)
    rates.decide(settings, state, 0)
    rates.decide(LivePeers(('h000.z0',)), state, 0)
    rates.decide(Tick(), state, NOW_S)
    return state


def create_dispatch(hosts: int, databases: int) -> placement.DispatchState:
    """Returns a dispatcher with views of all endpoints and all hosts live."""
    topology = topologies.create_topology(hosts, databases)
    name = next(iter(topology.hosts))
    state = placement.create_state(name, 'zone-0', seed=1)
    state['hosts'] = tuple(sorted(topology.hosts))
    dispatch.decide(topologies.create_in_force(topology), state, NOW_S)
    views = EndpointViews(topologies.list_views(topology.databases))
    dispatch.decide(views, state, NOW_S)
    return state


def create_pool(size: int) -> pools.PoolState:
    """Returns a pool whose connections are open and idle."""
    state = pools.create_state(
        ENDPOINT,
        limit=size + pools.RESERVED_CONNECTIONS,
        socket_task='sockets',
        holder_task='transactions',
    )
    connections.decide(Tick(), state, NOW_S)
    names = [f'warm {index}' for index in range(size)]
    for name in names:
        connections.decide(Acquire(name, 'w', budget_s=BUDGET_S), state, NOW_S)
    acquired = {}
    for number in range(1, size + 1):
        for reply in connections.decide(ConnectionOpened(number), state, NOW_S):
            acquired[getattr(reply, 'request_id', '')] = number
    for name, number in acquired.items():
        run_exchange(state, name, number)
    return state


def run_exchange(
    state: pools.PoolState,
    holder: str,
    number: int,
) -> None:
    """Runs an exchange on an acquired connection and releases it."""
    start = StartExchange(number, holder, holder, BUDGET_S)
    connections.decide(start, state, NOW_S)
    end = EndExchange(holder, number, holder, clean=True)
    connections.decide(end, state, NOW_S)
    connections.decide(Release(number, holder), state, NOW_S)


def use_pooled_connection(state: pools.PoolState) -> None:
    """Acquires a connection of a pool and runs a statement on it."""
    holder = f'h000.z0.{next(ids)}'
    acquire = Acquire(holder, WORKSPACE, budget_s=BUDGET_S)
    reply: Any = connections.decide(acquire, state, NOW_S)[0]
    run_exchange(state, holder, reply.message.connection)


def create_path() -> RequestPath:
    """Returns the states at the sizes of the target."""
    return RequestPath(
        create_keys(topologies.DATABASES),
        create_rates(
            round(topologies.DATABASES * topologies.WORKSPACES_PER_DATABASE)
        ),
        create_dispatch(topologies.HOSTS, topologies.DATABASES),
        queues.create_state(ENDPOINT),
        create_pool(6),
    )


def run_path(path: RequestPath, key: str) -> Statement:
    """Runs all decisions of the path for one read."""
    name = f'h000.z0-{next(ids)}'
    check = CheckKey(name, key, WORKSPACE, 'catalogue')
    keys.decide(check, path.keys, NOW_S)
    rates.decide(AdmitRequest(name, WORKSPACE, BUDGET_S), path.rates, NOW_S)
    planned: Any = dispatch.decide(
        PlanStatement(name, WORKSPACE, 'catalogue'), path.dispatch, NOW_S
    )[0]
    statement: Statement = planned.message.statement._replace(
        request_id=name, text=TEXT, parameters=('shop-4', 'item-17')
    )
    queues.decide(Enqueue(name, WORKSPACE, BUDGET_S), path.queue, NOW_S)
    use_pooled_connection(path.pool)
    queues.decide(Finish(name), path.queue, NOW_S + STEP_S)
    return statement


def create_statement() -> Statement:
    """Returns a read in the form that an entry host forwards."""
    return Statement(
        request_id='h000.z0-100000',
        workspace=WORKSPACE,
        route='catalogue',
        database='database-000',
        text=TEXT,
        parameters=('shop-4', 'item-17'),
        minimum=Position(topologies.TERM, 99999),
        max_age_s=5,
        budget_s=BUDGET_S,
        endpoint=ENDPOINT,
        term=topologies.TERM,
    )


def create_result() -> StatementResult:
    """Returns the result of the read of ``create_statement``."""
    return StatementResult(
        request_id='h000.z0-100000',
        endpoint=ENDPOINT,
        position=Position(topologies.TERM, 100000),
        age_s=0.1,
        rows=ROWS,
        replica=True,
        database='database-000',
    )


def forward(statement: Statement, result: StatementResult) -> int:
    """Encodes and decodes a statement and its result; returns their bytes."""
    sent = codec.encode(PeerFrame(1, statement))
    receive(sent)
    answered = codec.encode(PeerFrame(1, result))
    receive(answered)
    return len(sent) + len(answered) + 8


def _run_forward(result: Any, statement: Any) -> Work:
    size = sum(forward(statement, result) for _ in range(BATCH))
    return Work(BATCH, 2 * BATCH, size)


def build_forward(parameters: int) -> tuple[Any, Round]:
    """Statement and its result, sent between two daemons."""
    statement = create_statement()._replace(parameters=('x' * 10,) * parameters)
    result = create_result()

    return statement, functools.partial(_run_forward, result, statement)


def _run_keys(key: Any, state: Any) -> Work:
    for _ in range(BATCH):
        check = CheckKey(str(next(ids)), key, WORKSPACE, 'catalogue')
        keys.decide(check, state, NOW_S)
    return Work(BATCH)


def build_keys(databases: int) -> tuple[Any, Round]:
    """Check of a key."""
    state = create_keys(databases)
    key = topologies.issue_key(0, 0).key

    return state, functools.partial(_run_keys, key, state)


def _run_rates(state: Any) -> Work:
    for _ in range(BATCH):
        request = AdmitRequest(str(next(ids)), WORKSPACE, BUDGET_S)
        rates.decide(request, state, NOW_S)
    return Work(BATCH)


def build_rates(workspaces: int) -> tuple[Any, Round]:
    """Admission from the host's own bucket."""
    state = create_rates(workspaces)

    return state, functools.partial(_run_rates, state)


def build_plan(databases: int) -> tuple[Any, Round]:
    """Plan with 410 live hosts."""
    return _build_plan(topologies.HOSTS, databases)


def build_plan_hosts(hosts: int) -> tuple[Any, Round]:
    """Plan with 630 databases."""
    return _build_plan(hosts, topologies.DATABASES)


def _run_plan(databases: Any, state: Any) -> Work:
    for number in range(BATCH):
        name = f'workspace-{number % databases:04}'
        plan = PlanStatement(str(next(ids)), name, 'catalogue')
        dispatch.decide(plan, state, NOW_S)
    return Work(BATCH)


def _build_plan(hosts: int, databases: int) -> tuple[Any, Round]:
    state = create_dispatch(hosts, databases)

    return state, functools.partial(_run_plan, databases, state)


def _run_acknowledgements(
    clock: Any, members: Any, pending: Any, state: Any
) -> Work:
    for _ in range(BATCH // pending):
        _confirm_batch(state, clock, members[0], pending)
    return Work(BATCH // pending * pending)


def build_acknowledgements(pending: int) -> tuple[Any, Round]:
    """Write with its confirmations while others are pending."""
    members = topologies.list_endpoints('database-000')
    state = acknowledgements.create_state('database-000', members)
    clock = [NOW_S]

    return state, functools.partial(
        _run_acknowledgements, clock, members, pending, state
    )


def _confirm_batch(
    state: acknowledgements.AcknowledgementState,
    clock: list[float],
    primary: str,
    pending: int,
) -> None:
    calls: list[Any] = []
    for _ in range(pending):
        number = next(ids)
        waiting = AwaitMajority(
            str(number), primary, Position(topologies.TERM, number), BUDGET_S
        )
        calls.extend(acknowledgements.decide(waiting, state, clock[0]))
    while calls:
        call = calls.pop(0)
        if not getattr(call, 'endpoint', ''):
            continue
        answer = EndpointAnswered(
            call.message.call_id,
            call.endpoint,
            body=Confirmed(confirmed=True, adopted_term=topologies.TERM),
        )
        calls.extend(acknowledgements.decide(answer, state, clock[0]))


def _run_queue(clock: Any, state: Any, waiting: Any, workspaces: Any) -> Work:
    for index in range(BATCH):
        clock[0] += STEP_S
        name = f'workspace-{index % workspaces:04}'
        _enqueue(state, name, clock, waiting)
        running = next(iter(state['running']))
        queues.decide(Finish(running), state, clock[0])
    return Work(BATCH)


def build_queue(workspaces: int) -> tuple[Any, Round]:
    """Statement through a queue in which every workspace waits."""
    state = queues.create_state(ENDPOINT)
    clock = [NOW_S]
    waiting: list[str] = []
    for index in range(workspaces):
        _enqueue(state, f'workspace-{index:04}', clock, waiting)

    return state, functools.partial(
        _run_queue, clock, state, waiting, workspaces
    )


def _enqueue(
    state: queues.QueueState,
    workspace: str,
    clock: list[float],
    waiting: list[str],
) -> None:
    name = str(next(ids))
    waiting.append(name)
    queues.decide(Enqueue(name, workspace, 1e6), state, clock[0])


def _run_pool(state: Any) -> Work:
    for _ in range(BATCH):
        use_pooled_connection(state)
    return Work(BATCH)


def build_pool(size: int) -> tuple[Any, Round]:
    """Statement on a pool with ``size`` connections."""
    state = create_pool(size)

    return state, functools.partial(_run_pool, state)


def _run_pool_ticks(state: Any) -> Work:
    for _ in range(BATCH):
        connections.decide(Tick(), state, NOW_S)
    return Work(BATCH)


def build_pool_ticks(size: int) -> tuple[Any, Round]:
    """Tick of a pool with ``size`` connections."""
    state = create_pool(size)

    return state, functools.partial(_run_pool_ticks, state)


def _run_transactions(names: Any, opened: Any, state: Any) -> Work:
    for number in range(BATCH):
        name = names[number % opened]
        use = UseTransaction(
            str(number), name, WORKSPACE, TransactionStep.INSIDE
        )
        transactions.decide(use, state, NOW_S)
        ended = StatementEnded(str(number), name, answered=True, open=True)
        transactions.decide(ended, state, NOW_S)
    return Work(BATCH)


def build_transactions(opened: int) -> tuple[Any, Round]:
    """Statement of a transaction while ``opened`` ones are open."""
    state = transactions.create_state('h000.z0', 1, log_task='traces')
    names = []
    for number in range(opened):
        begin = BeginTransaction(
            str(number), WORKSPACE, 'database-000', ENDPOINT, number, 'h', 3
        )
        begun: Any = transactions.decide(begin, state, NOW_S)[0]
        names.append(begun.message.transaction)

    return state, functools.partial(_run_transactions, names, opened, state)


def _run_transaction_ticks(state: Any) -> Work:
    for _ in range(BATCH):
        transactions.decide(Tick(), state, NOW_S)
    return Work(BATCH)


def build_transaction_ticks(opened: int) -> tuple[Any, Round]:
    """Tick with ``opened`` open transactions."""
    state = build_transactions(opened)[0]

    return state, functools.partial(_run_transaction_ticks, state)


def _run_traces(state: Any, steps: Any) -> Work:
    for _ in range(BATCH):
        traces.decide(_create_trace(steps), state, NOW_S)
    return Work(BATCH)


def build_traces(stored: int) -> tuple[Any, Round]:
    """Trace added to a state that stores ``stored`` traces."""
    state = traces.create_state()
    steps = [
        (0.001, 'admitted', WORKSPACE, ''),
        (0.002, 'planned', ENDPOINT, 'own_zone_replica'),
        (0.003, 'sent', 'h123.z4', ENDPOINT),
    ]
    for _ in range(stored):
        traces.decide(_create_trace(steps), state, NOW_S)

    return state, functools.partial(_run_traces, state, steps)


def _create_trace(steps: list[tuple[float, str, str, str]]) -> RequestTrace:
    return RequestTrace(
        request_id=f'{next(ids):032x}',
        host='h000.z0',
        workspace=WORKSPACE,
        route='catalogue',
        settings_version=7,
        steps=tuple(RequestStep(*step) for step in steps),
    )


def _run_counts(names: Any, state: Any) -> Work:
    for number in range(BATCH):
        name = names[number % len(names)]
        metrics.decide(AdmissionCounted(name, admitted=True), state, NOW_S)
        metrics.decide(ServiceCounted('zone-0', name), state, NOW_S)
        metrics.decide(ReadCounted(replica=True), state, NOW_S)
    return Work(BATCH)


def build_counts(workspaces: int) -> tuple[Any, Round]:
    """Metrics updates of one statement."""
    state = metrics.create_metrics()
    names = [f'workspace-{index:04}' for index in range(workspaces)]
    return state, functools.partial(_run_counts, names, state)


def _run_tokens(token: Any) -> Work:
    for _ in range(BATCH):
        verified = tokens.verify(token, WORKSPACE, SECRETS)
        tokens.sign(verified, WORKSPACE, SECRETS)
    return Work(BATCH, 0, len(token) * BATCH)


def build_tokens(positions: int) -> tuple[Any, Round]:
    """Verification of a session token and signing of the next one."""
    session = Session(
        tuple(
            DatabasePosition(
                f'database-{index:03}', Position(3, 100000 + index)
            )
            for index in range(positions)
        ),
    )
    token = tokens.sign(session, WORKSPACE, SECRETS)

    return token, functools.partial(_run_tokens, token)


SERIES = (
    Series('path keys', 'databases', 'statement', DATABASE_SIZES, build_keys),
    Series(
        'path rates', 'workspaces', 'statement', (168, 560, 1680), build_rates
    ),
    Series(
        'path dispatch', 'databases', 'statement', DATABASE_SIZES, build_plan
    ),
    Series(
        'path dispatch hosts',
        'hosts',
        'statement',
        topologies.CURVE_HOSTS,
        build_plan_hosts,
    ),
    Series(
        'path queue', 'workspaces waiting', 'statement', (1, 4, 16), build_queue
    ),
    Series(
        'path connections', 'connections', 'statement', (3, 6, 48), build_pool
    ),
    Series(
        'path connections tick',
        'connections',
        'tick',
        (3, 6, 48),
        build_pool_ticks,
    ),
    Series(
        'path acknowledgements',
        'pending',
        'write',
        (1, 8, 64),
        build_acknowledgements,
    ),
    Series(
        'path transactions',
        'open',
        'statement',
        (2, 20, 200),
        build_transactions,
    ),
    Series(
        'path transactions tick',
        'open',
        'tick',
        (2, 20, 200),
        build_transaction_ticks,
    ),
    Series('path traces', 'stored', 'trace', (250, 500, 1000), build_traces),
    Series(
        'path metrics', 'workspaces', 'statement', (64, 128, 256), build_counts
    ),
    Series('path tokens', 'positions', 'statement', (1, 4, 16), build_tokens),
    Series('path forward', 'parameters', 'statement', (1, 2, 8), build_forward),
)
