"""One malformed message or unexpected error must not end a process.

Each test feeds input that nobody in the fleet sends on purpose, and then checks
that the task or the host which received it still works.
"""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from poplarspoke import errors, invariants, tasks, web
from poplarspoke.control import decisions
from poplarspoke.control.state import ENDPOINTS, RECORDS
from poplarspoke.control.views import VIEW_PATH
from poplarspoke.generated.common import ErrorCode, Tick
from poplarspoke.generated.control import TableRow, TableRows, WriteRecords
from poplarspoke.generated.relay import EndpointsUpdated, LogDecision
from poplarspoke.platform.metadata import Metadata, MetadataError
from tests import control_simulation
from tests.test_session_host import Site, run_steps

TIMEOUT_S = 10
HTTP_OK = 200


async def send_post(address: str, path: str, body: bytes) -> web.Response:
    """Sends a POST request."""
    async with await web.connect(address) as connection:
        request = web.Request('POST', path, body=body)
        return await connection.send(request, timeout_s=1)


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'{"host": 1}'])
def test_malformed_view_request_does_not_stop_a_host(body: bytes) -> None:
    """Any peer of another version may send one to the control port."""

    async def steps(site: Site) -> None:
        address = site.settings[0].control_address
        answer = await send_post(address, VIEW_PATH, body)
        assert answer.status == 400
        caller = await site.connect()
        assert await caller.start('read_own') == ['READY I -']
        assert (await caller.query('WRITE 1 one'))[0] == 'COMPLETE m1'

    run_steps(1, steps)


def test_failed_handler_does_not_stop_the_http_server() -> None:
    """A control task that answers too late must not end the process."""
    failures = [
        errors.RefusedError(errors.refuse(ErrorCode.INTERNAL, 'late')),
        KeyError('unexpected'),
    ]

    async def serve(_request: web.Request) -> web.Response:
        if failures:
            raise failures.pop()
        return web.Response(HTTP_OK)

    async def steps() -> None:
        async with web.HttpServer(serve, host='127.0.0.1', port=0) as server:
            address = f'127.0.0.1:{server.port}'
            statuses = [
                (await send_post(address, '/', b'')).status for _ in range(3)
            ]
        assert statuses == [500, 500, HTTP_OK]

    run_limited(steps)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff',
        b'[]',
        b'{}',
        b'{"ver": 1, "rows": [{"ver": 2}], "hasMore": false}',
        b'{"ver": "1", "rows": 7, "hasMore": false}',
    ],
)
def test_malformed_answer_of_the_store_is_a_failed_call(body: bytes) -> None:
    """The feeds retry a failed call; any other error would end the process."""

    async def steps() -> None:
        async with web.HttpServer(
            lambda request: answer_with(body), host='127.0.0.1', port=0
        ) as server:
            address = f'127.0.0.1:{server.port}'
            async with Metadata(address, address) as client:
                with pytest.raises(MetadataError):
                    await client.read_table(RECORDS, timeout_s=1)
                with pytest.raises(MetadataError):
                    await client.watch_table(RECORDS, 0, wait_s=1, timeout_s=1)

    run_limited(steps)


def test_malformed_answer_to_a_write_is_a_failed_call() -> None:
    """The write may have taken effect; its row is read through the watch."""

    async def steps() -> None:
        async with web.HttpServer(
            lambda request: answer_with(b'[]'), host='127.0.0.1', port=0
        ) as server:
            address = f'127.0.0.1:{server.port}'
            async with Metadata(address, address) as client:
                with pytest.raises(MetadataError):
                    await client.write(WriteRecords(1), timeout_s=1)

    run_limited(steps)


def test_row_with_invalid_base64_leaves_the_others_in_force() -> None:
    """One unreadable row of another writer must not hide the whole table."""
    rows = [
        {'key': 'a', 'ver': 1, 'value': '*'},
        {'key': 'b', 'ver': 2, 'value': 'e30='},
    ]
    body = json.dumps({'ver': 2, 'rows': rows, 'hasMore': False}).encode()

    async def steps() -> None:
        async with web.HttpServer(
            lambda request: answer_with(body), host='127.0.0.1', port=0
        ) as server:
            address = f'127.0.0.1:{server.port}'
            async with Metadata(address, address) as client:
                found = await client.read_table(RECORDS, timeout_s=1)
        assert [(row.key, row.content) for row in found.rows] == [
            ('a', ''),
            ('b', '{}'),
        ]

    run_limited(steps)


@pytest.mark.parametrize('key', ['host/h9', 'duty', 'primary/other'])
@pytest.mark.parametrize('content', ['', '[]', '{"name": 3}', '\ufffd'])
def test_malformed_record_is_skipped(key: str, content: str) -> None:
    """A process of another version may write a row that this one misreads."""
    simulation = control_simulation.ControlSimulation(3)
    host = simulation.hosts['h0']
    before = (dict(host['hosts']), host['duty'], dict(host['primaries']))
    version = host['tables'][RECORDS]['version'] + 1
    row = TableRow(key=key, version=version, content=content)
    outgoing = decisions.decide(
        TableRows(RECORDS, (row,), version), host, simulation.now_s
    )
    lines = [line for line in outgoing if isinstance(line, LogDecision)]
    assert [line.event for line in lines] == ['row skipped']
    after = (dict(host['hosts']), host['duty'], dict(host['primaries']))
    assert after == before


# Guards against rows that are known but were never applied.
def test_row_that_cannot_be_applied_leaves_the_others_in_force() -> None:
    """An unexpected error in one row of an answer is logged."""
    fleet = control_simulation.ControlSimulation()
    host = fleet.hosts['h0']
    decode = host['decoders'].decode_endpoint

    def fail_for_odd(key: str, content: str) -> Any:
        if key == 'i-odd':
            raise MemoryError(key)
        return decode(key, content)

    host['decoders'] = host['decoders']._replace(decode_endpoint=fail_for_odd)
    fleet.entries['m9'] = fleet.entries['m3']._replace(endpoint='m9')
    version = fleet.version + 1
    changed = tuple(
        TableRow(key, version, content='{}') for key in ('i-odd', 'm9')
    )
    outgoing = decisions.decide(
        TableRows(ENDPOINTS, changed, version), host, fleet.now_s
    )
    updated = control_simulation.find_messages(outgoing, EndpointsUpdated)[-1]
    assert 'm9' in {entry.endpoint for entry in updated.endpoints}
    lines = control_simulation.find_messages(outgoing, LogDecision)
    assert [line.event for line in lines] == ['row skipped']


def test_task_continues_after_an_unexpected_error() -> None:
    """A message that cannot be handled is dropped and logged."""
    handled: list[Any] = []
    logged: list[Any] = []

    def decide(message: Any, state: Any, now_s: float) -> list[Any]:
        if message == 'bad':
            raise KeyError(message)
        handled.append(message)
        return []

    async def steps() -> None:
        with tasks.Task('test', decide, None, tick_s=0.01) as task:
            task.post('bad')
            task.post('good')
            with anyio.move_on_after(0.2):
                await task.run(
                    lambda outgoing, _task: logged.append(outgoing),
                    anyio.current_time,
                )

    run_limited(steps)
    assert 'good' in handled
    assert Tick() in handled
    assert [(line.event, line.outcome) for line in logged] == [
        ('message dropped', 'str')
    ]
    assert 'KeyError' in logged[0].reason


def test_broken_invariant_ends_the_task() -> None:
    """A process whose state cannot be trusted must not go on with it."""

    def decide(message: Any, state: Any, now_s: float) -> list[Any]:
        invariants.check(holds=False, code='R7', detail='too many tokens')
        return []

    async def steps() -> None:
        with tasks.Task('test', decide, None, tick_s=0.01) as task:
            with pytest.raises(invariants.InvariantError):
                await task.run(lambda outgoing, _task: None, anyio.current_time)

    run_limited(steps)


def test_relay_continues_after_an_unexpected_error() -> None:
    """A tick that fails must not end the host and its sessions."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        assert await caller.start('read_own') == ['READY I -']
        relay = site.hosts[0].relay
        relay.receive(object())
        states = relay.state['gateway_links']
        relay.state['gateway_links'] = None  # type: ignore[typeddict-item]
        await anyio.sleep(0.3)
        relay.state['gateway_links'] = states
        assert (await caller.query('WRITE 1 one'))[0] == 'COMPLETE m1'
        assert '"message dropped"' in site.log.getvalue()

    run_steps(1, steps)


async def answer_with(body: bytes) -> web.Response:
    """Returns a successful response with a body."""
    return web.Response(HTTP_OK, body)


def run_limited(steps: Callable[[], Awaitable[None]]) -> None:
    """Runs steps; fails the test if they hang."""

    async def run() -> None:
        with anyio.fail_after(TIMEOUT_S):
            await steps()

    anyio.run(run)
