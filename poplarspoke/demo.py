"""A demonstration on loopback that ends with a failover."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TextIO, TypeAlias

import anyio

from poplarspoke import fleet
from poplarspoke.context import Context
from poplarspoke.status import ExitStatus

HTTP_UNAUTHORIZED = 401
RETRY_S = 0.1
REPLICA_READS = 20
FAILOVER_LIMIT_S = 20.0
FIRST, SECOND, THIRD = ('sfax-1', 'sousse-1', 'monastir-1')


class StepError(Exception):
    """A step of the demonstration did not show what it should."""


class Stage(NamedTuple):
    """What each step of the demonstration works with."""

    fleet: fleet.Fleet
    caller: fleet.Caller
    context: Context


Step: TypeAlias = Callable[[Stage], Awaitable[str]]


async def write_and_read(stage: Stage) -> str:
    """Writes through one host and reads it through another."""
    body = {
        'route': 'release',
        'statement': 'PUT lot-7 ?',
        'parameters': ['released'],
    }
    written = await stage.caller.send(FIRST, body)
    _expect(written)
    read = await _read_on_replica(stage)
    kind = 'replica' if read['body']['replica'] else 'primary'
    return (
        f'wrote lot-7 through {FIRST} (primary '
        f'{written["body"]["endpoint"]}), read it through {SECOND} from '
        f'{kind} {read["body"]["endpoint"]}'
    )


async def _read_on_replica(stage: Stage) -> fleet.Answer:
    """Reads until a replica serves it; every answer must show the write."""
    body = {'route': 'catalogue', 'statement': 'GET lot-7'}
    for _ in range(REPLICA_READS):
        read = await stage.caller.send(SECOND, body)
        _expect(read)
        if read['body']['rows'][0]['value'] != 'released':
            raise StepError(f'the read missed the write: {read["body"]}')
        if read['body']['replica']:
            break
        # A new fleet learns of its replicas with the next heartbeats.
        await anyio.sleep(RETRY_S)
    return read


async def use_revoked_key(stage: Stage) -> str:
    """Revokes a key and shows that a connected caller is refused."""
    issued = stage.fleet.issue_key('old')
    path = f'{fleet.KEYS_PATH}/old'
    record = {'digest': issued.record.digest, 'revoked': False}
    why = 'a key for the demonstration'
    version = await stage.fleet.change(path, record, who='amina', why=why)
    await stage.fleet.wait_in_force(version)
    caller = fleet.Caller(stage.fleet, issued.key)
    body = {'route': 'catalogue', 'statement': 'GET lot-7'}
    _expect(await caller.send(THIRD, body))
    record = {'digest': issued.record.digest, 'revoked': True}
    why = 'the key leaked'
    version = await stage.fleet.change(path, record, who='amina', why=why)
    await stage.fleet.wait_in_force(version)
    refused = await caller.send(THIRD, body)
    if refused['status'] != HTTP_UNAUTHORIZED:
        raise StepError(f'a revoked key was accepted: {refused["body"]}')
    error = refused['body']['error']
    return f'{THIRD} refused it: {error["code"]} ({error["outcome"]})'


async def show_change(stage: Stage) -> str:
    """Shows the last change that is in force, by whom and why."""
    response = await stage.fleet.ask_operator(SECOND, 'GET', '/settings')
    shown = json.loads(response.body)['snapshot']
    return (
        f'version {shown["version"]} is in force on {SECOND}: '
        f'{shown["path"]} changed by {shown["who"]}, "{shown["why"]}"'
    )


async def fail_over(stage: Stage) -> str:
    """Kills the primary and goes on with the same session."""
    primary = await stage.fleet.find_primary()
    await stage.fleet.kill(primary)
    failed_s = stage.context.now_s()
    body = {
        'route': 'release',
        'statement': 'PUT lot-8 ?',
        'parameters': ['released'],
    }
    # The same request id makes the repeated write land once.
    request_id = 'demo-lot-8'
    while True:
        answer = await stage.caller.send(FIRST, body, request_id=request_id)
        gap_s = stage.context.now_s() - failed_s
        if answer['status'] == fleet.HTTP_OK:
            break
        if gap_s > FAILOVER_LIMIT_S:
            raise StepError(f'no new primary: {answer["body"]}')
        await anyio.sleep(RETRY_S)
    read = await stage.caller.send(
        THIRD,
        {'route': 'stock', 'statement': 'SCAN lot-'},
    )
    _expect(read)
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
    ('Revoked key', use_revoked_key),
    ('Settings in force', show_change),
    ('Failover', fail_over),
)


def run(context: Context) -> ExitStatus:
    """Runs the demonstration; returns its exit status."""
    return anyio.run(_run, context)


async def _run(context: Context) -> ExitStatus:
    _write(context.stdout, 'Starting', 'a platform, 3 members and 3 daemons')
    local = fleet.Fleet()
    async with local:
        await _wait_for_primary(local)
        stage = Stage(local, fleet.Caller(local), context)
        for title, step in STEPS:
            try:
                _write(context.stdout, title, await step(stage))
            except (StepError, fleet.FleetError) as exc:
                _write(context.stdout, title, f'FAILED: {exc}')
                return ExitStatus.INTERNAL
    _write(context.stdout, 'Done', 'every process has ended')
    return ExitStatus.SUCCESS


async def _wait_for_primary(local: fleet.Fleet) -> None:
    with anyio.fail_after(FAILOVER_LIMIT_S):
        while not await local.find_primary():
            await anyio.sleep(RETRY_S)


def _expect(answer: fleet.Answer) -> None:
    if answer['status'] != fleet.HTTP_OK:
        raise StepError(f'the request was refused: {answer["body"]}')


def _write(stream: TextIO, title: str, text: Any) -> None:
    stream.write(f'{title:>18}  {text}\n')
    stream.flush()
