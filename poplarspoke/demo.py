"""A demonstration on loopback, from a first write to a failover."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TextIO, TypeAlias

import anyio

from poplarspoke import fleet
from poplarspoke.context import Context
from poplarspoke.status import ExitStatus

HTTP_UNAUTHORIZED = 401
RETRY_BACKOFF_S = 0.1
REPLICA_READS = 20
FAILOVER_TIMEOUT_S = 20.0
FIRST, SECOND, THIRD = ('sfax-1', 'sousse-1', 'monastir-1')


class StepError(Exception):
    """A step of the demonstration did not give the expected result."""


class Setup(NamedTuple):
    """Fleet, caller and program context for the steps."""

    fleet: fleet.Fleet
    caller: fleet.Caller
    context: Context


Step: TypeAlias = Callable[[Setup], Awaitable[str]]


async def write_and_read(setup: Setup) -> str:
    """Writes through one host and reads the row through another."""
    body = {
        'route': 'release',
        'statement': 'PUT lot-7 ?',
        'parameters': ['released'],
    }
    written = await setup.caller.send(FIRST, body)
    _require_success(written)
    read = await _read_on_replica(setup)
    kind = 'replica' if read['body']['replica'] else 'primary'
    return (
        f'wrote lot-7 through {FIRST} (primary '
        f'{written["body"]["endpoint"]}), read it through {SECOND} from '
        f'{kind} {read["body"]["endpoint"]}'
    )


async def _read_on_replica(setup: Setup) -> fleet.Answer:
    """Reads until a replica answers; every answer must show the write.

    Raises:
        StepError: An answer lacks the write.
    """
    body = {'route': 'catalogue', 'statement': 'GET lot-7'}
    for _ in range(REPLICA_READS):
        read = await setup.caller.send(SECOND, body)
        _require_success(read)
        if read['body']['rows'][0]['value'] != 'released':
            raise StepError(f'the read missed the write: {read["body"]}')
        if read['body']['replica']:
            break
        # Hosts of a new fleet know its replicas after the next heartbeats.
        await anyio.sleep(RETRY_BACKOFF_S)
    return read


async def revoke_key(setup: Setup) -> str:
    """Revokes a key and shows that a caller that used it is refused."""
    issued = setup.fleet.issue_key('old')
    path = f'{fleet.KEYS_PATH}/old'
    record = {'digest': issued.record.digest, 'revoked': False}
    why = 'a key for the demonstration'
    version = await setup.fleet.change(path, record, who='amina', why=why)
    await setup.fleet.wait_in_force(version)
    caller = fleet.Caller(setup.fleet, issued.key)
    body = {'route': 'catalogue', 'statement': 'GET lot-7'}
    _require_success(await caller.send(THIRD, body))
    record = {'digest': issued.record.digest, 'revoked': True}
    why = 'the key leaked'
    version = await setup.fleet.change(path, record, who='amina', why=why)
    await setup.fleet.wait_in_force(version)
    refused = await caller.send(THIRD, body)
    if refused['status'] != HTTP_UNAUTHORIZED:
        raise StepError(f'a revoked key was accepted: {refused["body"]}')
    error = refused['body']['error']
    return f'{THIRD} refused it: {error["code"]} ({error["outcome"]})'


async def show_settings(setup: Setup) -> str:
    """Shows the change that is in force, with its author and reason."""
    response = await setup.fleet.send_operator_request(
        SECOND, 'GET', '/settings'
    )
    shown = json.loads(response.body)['snapshot']
    return (
        f'version {shown["version"]} is in force on {SECOND}: '
        f'{shown["path"]} changed by {shown["who"]}, "{shown["why"]}"'
    )


async def fail_over(setup: Setup) -> str:
    """Kills the primary and continues with the same session."""
    primary = await setup.fleet.find_primary()
    await setup.fleet.kill(primary)
    failed_s = setup.context.now_s()
    body = {
        'route': 'release',
        'statement': 'PUT lot-8 ?',
        'parameters': ['released'],
    }
    # Repeats use the same request id, so the write is executed once.
    request_id = 'demo-lot-8'
    while True:
        answer = await setup.caller.send(FIRST, body, request_id=request_id)
        gap_s = setup.context.now_s() - failed_s
        if answer['status'] == fleet.HTTP_OK:
            break
        if gap_s > FAILOVER_TIMEOUT_S:
            raise StepError(f'no new primary: {answer["body"]}')
        await anyio.sleep(RETRY_BACKOFF_S)
    read = await setup.caller.send(
        THIRD,
        {'route': 'stock', 'statement': 'SCAN lot-'},
    )
    _require_success(read)
    keys = [row['key'] for row in read['body']['rows']]
    if keys != ['lot-7', 'lot-8']:
        raise StepError(f'a write was lost: {keys}')
    return (
        f'killed {primary}; {answer["body"]["endpoint"]} took over and '
        f'acknowledged the next write {gap_s:.1f} s later; the session '
        f'still reads {" and ".join(keys)}'
    )


STEPS: tuple[tuple[str, Step], ...] = (
    ('Read your writes', write_and_read),
    ('Revoked key', revoke_key),
    ('Settings in force', show_settings),
    ('Failover', fail_over),
)


def run(context: Context) -> ExitStatus:
    """Runs the demonstration; returns its exit status."""
    return anyio.run(_run_steps, context)


async def _run_steps(context: Context) -> ExitStatus:
    _print_step(
        context.stdout, 'Starting', 'a platform, 3 members and 3 daemons'
    )
    local = fleet.Fleet()
    async with local:
        await _wait_for_primary(local)
        setup = Setup(local, fleet.Caller(local), context)
        for title, step in STEPS:
            try:
                _print_step(context.stdout, title, await step(setup))
            except (StepError, fleet.FleetError) as exc:
                _print_step(context.stdout, title, f'FAILED: {exc}')
                return ExitStatus.INTERNAL
    _print_step(context.stdout, 'Done', 'every process has ended')
    return ExitStatus.SUCCESS


async def _wait_for_primary(local: fleet.Fleet) -> None:
    with anyio.fail_after(FAILOVER_TIMEOUT_S):
        while not await local.find_primary():
            await anyio.sleep(RETRY_BACKOFF_S)


def _require_success(answer: fleet.Answer) -> None:
    if answer['status'] != fleet.HTTP_OK:
        raise StepError(f'the request was refused: {answer["body"]}')


def _print_step(stream: TextIO, title: str, text: Any) -> None:
    stream.write(f'{title:>18}  {text}\n')
    stream.flush()
