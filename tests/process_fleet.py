"""Helpers of the tests with real processes: retries, reads and waits."""

import functools
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from poplarspoke import fleet, web
from poplarspoke.generated.members import MemberFaults
from poplarspoke.generated.platform import PlatformFaults

# Long enough for a loaded computer; no test asserts a time.
TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.1
DEADLINE_MS = 2000
CONNECTION_ERRORS = (web.NotSentError, web.AnswerLostError)
NO_RESPONSE = fleet.Answer(
    status=0,
    body={'error': {'code': 'no_answer', 'outcome': 'unknown'}},
    session='',
)


async def send(
    caller: fleet.Caller,
    host: str,
    body: dict[str, Any],
    **options: Any,
) -> fleet.Answer:
    """Sends one request; a failed connection gives the status 0."""
    options = {'deadline_ms': DEADLINE_MS, **options}
    try:
        return await caller.send(host, body, **options)
    except CONNECTION_ERRORS:
        return NO_RESPONSE


async def retry(
    caller: fleet.Caller,
    hosts: list[str],
    body: dict[str, Any],
    **options: Any,
) -> fleet.Answer:
    """Sends a request to the hosts in turn until one serves it."""
    answer = NO_RESPONSE
    with anyio.move_on_after(TIMEOUT_S):
        for host in itertools.cycle(hosts):
            answer = await send(caller, host, body, **options)
            if answer['status'] == fleet.HTTP_OK:
                return answer
            await anyio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'no success within {TIMEOUT_S} s: {answer}')


async def wait_for(
    condition: Callable[[], Awaitable[bool]],
    what: str,
) -> None:
    """Waits until a condition holds."""
    with anyio.move_on_after(TIMEOUT_S):
        while not await condition():
            await anyio.sleep(POLL_INTERVAL_S)
        return
    raise AssertionError(f'not within {TIMEOUT_S} s: {what}')


def write(statement: str, route: str = 'release') -> dict[str, Any]:
    """Returns the body of a write."""
    return {'route': route, 'statement': statement}


def read(key: str, route: str = 'stock') -> dict[str, Any]:
    """Returns the body of a read of one key."""
    return {'route': route, 'statement': f'GET {key}'}


def read_value(answer: fleet.Answer) -> str | None:
    """Returns the value of the only row, None if there is no row."""
    rows = answer['body']['rows']
    return rows[0]['value'] if rows else None


async def read_latest(
    local: fleet.Fleet,
    hosts: list[str],
    key: str,
) -> str | None:
    """Returns the value of a key, confirmed by a majority."""
    return read_value(await retry(fleet.Caller(local), hosts, read(key)))


async def find_owner(local: fleet.Fleet, host: str) -> str:
    """Returns the host that owns the primary and runs its statements."""
    request_id = f'owner-{time.monotonic_ns()}'
    body = read('counter')
    await retry(fleet.Caller(local), [host], body, request_id=request_id)
    path = f'/requests/{request_id}'
    response = await local.send_operator_request(host, 'GET', path)
    steps = json.loads(response.body)['steps']
    sent = [step['subject'] for step in steps if step['step'] == 'sent']
    return str(sent[-1])


async def set_member_faults(
    local: fleet.Fleet,
    member: str,
    **faults: Any,
) -> None:
    """Sets the faults of a member; without arguments it clears them."""
    port = local.members[member]
    await local.set_faults(port, MemberFaults(**faults))


async def set_platform_faults(local: fleet.Fleet, **faults: Any) -> None:
    """Sets the faults of the platform; without arguments it clears them."""
    await local.set_faults(local.platform, PlatformFaults(**faults))


async def fetch(port: int, path: str) -> bytes:
    """Returns the body of a GET request to a loopback port."""
    async with await web.connect(f'{fleet.LOOPBACK}:{port}') as connection:
        request = web.Request('GET', path)
        response = await connection.send(request, timeout_s=TIMEOUT_S)
    return response.body


async def is_ready(local: fleet.Fleet, host: str) -> bool:
    """Returns whether a host reports to the load balancer that it is ready."""
    try:
        response = await local.send_operator_request(host, 'GET', '/ready')
    except CONNECTION_ERRORS:
        return False
    return response.status == fleet.HTTP_OK


async def wait_until_ready(local: fleet.Fleet, host: str) -> None:
    """Waits until a host is ready."""
    await wait_for(
        functools.partial(is_ready, local, host),
        f'{host} is ready',
    )
