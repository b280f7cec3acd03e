"""Guards the links between daemons: authentication and results."""

import functools
from contextlib import AsyncExitStack

import anyio
import pytest

from poplarspoke import peers, wire
from poplarspoke.generated.common import ErrorCode, Outcome
from poplarspoke.generated.membership import Heartbeat
from poplarspoke.generated.peers import Hello
from poplarspoke.generated.requests import Statement, StatementResult

pytestmark = pytest.mark.anyio
LOOPBACK = '127.0.0.1'
SECRET = b'peer-secret-of-tests'


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on the event loop that the daemons use."""
    return 'asyncio'


async def reverse(statement: Statement) -> StatementResult:
    """Answers later statements first, so that results are out of order."""
    await anyio.sleep(0.002 * (20 - int(statement.request_id)))
    return StatementResult(statement.request_id, rows=statement.text)


async def never(statement: Statement) -> StatementResult:
    """Never answers."""
    await anyio.sleep_forever()
    raise AssertionError


def open_peers(
    name: str,
    on_statement: peers.OnStatement,
    secret: bytes = SECRET,
    messages: list[tuple[str, object]] | None = None,
) -> peers.Peers:
    """Returns a peer listener on a free port."""
    received: list[tuple[str, object]] = [] if messages is None else messages
    return peers.Peers(
        name=name,
        secret=secret,
        listen=(LOOPBACK, 0),
        on_message=lambda sender, message: received.append((sender, message)),
        on_statement=on_statement,
    )


async def link(sender: peers.Peers, receiver: peers.Peers) -> None:
    """Connects one daemon to another."""
    sender.set_addresses({'b': f'{LOOPBACK}:{receiver.port}'})
    with anyio.fail_after(10):
        while not sender.is_connected('b'):
            await anyio.sleep(0.01)


async def test_results_reach_their_own_statement() -> None:
    """Guards against a result that is returned to another caller."""
    found: dict[int, str] = {}

    async def forward(sender: peers.Peers, number: int) -> None:
        statement = Statement(str(number), text=f'text {number}', budget_s=10)
        found[number] = (await sender.forward('b', statement)).rows

    async with AsyncExitStack() as stack:
        sender = await stack.enter_async_context(open_peers('a', reverse))
        receiver = await stack.enter_async_context(open_peers('b', reverse))
        await link(sender, receiver)
        async with anyio.create_task_group() as group:
            for number in range(20):
                group.start_soon(functools.partial(forward, sender, number))
    assert found == {number: f'text {number}' for number in range(20)}


async def test_wrong_secret_gets_no_link() -> None:
    """Guards against frames from a daemon without the peer secret."""
    messages: list[tuple[str, object]] = []
    async with AsyncExitStack() as stack:
        impostor = open_peers('a', never, b'another-secret-of-it')
        await stack.enter_async_context(impostor)
        receiver = open_peers('b', never, messages=messages)
        await stack.enter_async_context(receiver)
        impostor.set_addresses({'b': f'{LOOPBACK}:{receiver.port}'})
        await anyio.sleep(0.3)
        impostor.send('b', Heartbeat(sender='a'))
        outcome = await impostor.forward('b', Statement('1', budget_s=1))
        assert not impostor.is_connected('b')
    assert outcome.refusal.outcome is Outcome.NOT_RUN
    assert not messages


async def test_missing_result_is_unknown() -> None:
    """Guards against "not run" as the outcome of a statement that was sent."""
    async with AsyncExitStack() as stack:
        sender = await stack.enter_async_context(open_peers('a', never))
        async with open_peers('b', never) as receiver:
            await link(sender, receiver)
            statement = Statement('1', budget_s=0.2)
            outcome = await sender.forward('b', statement)
    assert outcome.refusal.code is ErrorCode.OUTCOME_UNKNOWN


async def test_replayed_handshake_fails() -> None:
    """Guards against a recorded proof that is valid for another nonce."""
    identity = wire.LinkIdentity('a', SECRET, b'n' * wire.NONCE_BYTES)
    first = Hello('b', b'1' * wire.NONCE_BYTES, b'')
    second = Hello('b', b'2' * wire.NONCE_BYTES, b'')
    proofs = {
        wire.compute_proof(
            identity,
            hello,
            prover='a',
            connector_nonce=identity.nonce,
        )
        for hello in (first, second)
    }
    assert len(proofs) == 2


async def test_forwarded_statements_are_counted_until_answered() -> None:
    """Guards against a shutdown that interrupts forwarded statements (R13)."""
    async with AsyncExitStack() as stack:
        sender = await stack.enter_async_context(open_peers('a', reverse))
        receiver = await stack.enter_async_context(open_peers('b', reverse))
        await link(sender, receiver)
        seen: list[int] = []

        async def watch(statement: Statement) -> StatementResult:
            seen.append(receiver.active)
            return StatementResult(statement.request_id)

        receiver._on_statement = watch  # noqa: SLF001
        await sender.forward('b', Statement('1', budget_s=10))
        with anyio.fail_after(10):
            while receiver.active:
                await anyio.sleep(0.01)
    assert seen == [1]
