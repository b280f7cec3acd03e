"""Requests that a partition holds up and that were given up meanwhile.

The kernel sends the bytes of a closed connection until they are acknowledged, so a
request could take effect long after its sender has decided otherwise.
"""

import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import anyio
import pytest

from poplarspoke import delivery, web
from poplarspoke.control.queries import Queries
from poplarspoke.generated.control import (
    EndpointState,
    OrderPromotion,
    QueryEndpoint,
)
from poplarspoke.platform import __main__ as adapter
from poplarspoke.platform.metadata import Metadata
from poplarspoke.standins.metadata import MetadataStandIn
from poplarspoke.standins.partition import PartitionedPath
from poplarspoke.standins.session_member import Service
from tests.test_session_host import Site, run_steps

TEST_TIMEOUT_S = 60  # Ends a test that hangs; tests may run on a busy machine.
ORDER = OrderPromotion('group', 'm2', 'h0', 1, expires_s=0.2)
# Time for bytes that were held up to arrive after the partition.
DELIVERY_S = 0.3
ORDER_PROGRAM = """
import anyio
from poplarspoke.generated.control import OrderPromotion
from poplarspoke.platform.metadata import Metadata

async def order():
    async with Metadata({store!r}, {path!r}) as client:
        order = OrderPromotion('group', 'm2', 'h0', 1, expires_s=60)
        await client.promote(order, now_s=lambda: 0)

anyio.run(order)
"""


def zero() -> float:
    """Stands for a clock that has not advanced."""
    return 0


class Harness:
    """The platform behind a path that can be partitioned."""

    def __init__(self, stack: AsyncExitStack) -> None:
        """Creates a platform that has not started.

        Args:
            stack: Owns the stand-ins.
        """
        self._stack = stack
        self.platform = MetadataStandIn(lambda member: None)

    async def start(self) -> None:
        """Starts the platform; the path holds up the first order."""
        await self._stack.enter_async_context(self.platform)
        self.path = await self._stack.enter_async_context(
            PartitionedPath(self.platform.address)
        )
        self.path.cut_before(b'POST /promote')

    async def wait_until_cut(self) -> None:
        """Waits until an order is held up."""
        while not self.path.is_cut:
            await anyio.sleep(0.01)

    async def end_partition(self) -> None:
        """Ends the partition and waits for what was held up."""
        self.path.heal()
        await anyio.sleep(DELIVERY_S)


def run_harness(steps: Callable[[Harness], Awaitable[None]]) -> None:
    """Runs steps with a started platform; fails the test if they hang."""

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with AsyncExitStack() as stack:
                harness = Harness(stack)
                await harness.start()
                await steps(harness)

    anyio.run(run)


# Guards against an order that deposes the primary that a later leader ordered.
def test_order_that_was_given_up_is_not_delivered() -> None:
    """A new leader orders as soon as the former one cannot any more."""

    async def steps(harness: Harness) -> None:
        address = harness.platform.address
        async with Metadata(address, harness.path.address) as client:
            with pytest.raises(web.AnswerLostError):
                await client.promote(ORDER, now_s=zero)
        assert harness.path.held_bytes
        await harness.end_partition()
        assert not harness.platform.promotions

    run_harness(steps)


# Guards against an order that outlives the process that sent it.
def test_order_of_a_killed_process_is_not_delivered() -> None:
    """A process that is killed cannot withdraw what it has sent."""

    async def steps(harness: Harness) -> None:
        program = ORDER_PROGRAM.format(
            store=harness.platform.address, path=harness.path.address
        )
        command = [sys.executable, '-c', program]
        async with await anyio.open_process(command) as process:
            await harness.wait_until_cut()
            process.send_signal(signal.SIGKILL)
            await process.wait()
        await harness.end_partition()
        assert not harness.platform.promotions

    run_harness(steps)


# Guards against an order that is sent after the wait of the next leader.
def test_expired_order_is_not_sent() -> None:
    """The host may be suspended while the connection is being opened."""

    async def steps(harness: Harness) -> None:
        address = harness.platform.address
        async with Metadata(address, address) as client:
            with pytest.raises(web.NotSentError):
                await client.promote(ORDER, now_s=lambda: ORDER.expires_s)
        assert not harness.platform.calls

    run_harness(steps)


# Guards against an order that the kernel delivers for a frozen process.
def test_kernel_withdraws_an_order_that_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A process that is frozen closes nothing."""
    limits_s: list[float] = []
    limit_delivery = delivery.limit_delivery

    def record(raw: delivery.SocketOptions, limit_s: float) -> None:
        limits_s.append(limit_s)
        limit_delivery(raw, limit_s)

    monkeypatch.setattr(delivery, 'limit_delivery', record)

    async def steps(harness: Harness) -> None:
        address = harness.platform.address
        async with Metadata(address, address) as client:
            await client.promote(ORDER, now_s=zero)
        assert limits_s[-1] == ORDER.expires_s

    run_harness(steps)


# Guards against a demotion that reaches the primary of a later failover.
def test_demotion_that_was_given_up_is_not_delivered() -> None:
    """The next failover may have kept or chosen the same member."""

    async def run() -> None:
        posted: list[EndpointState] = []

        def post(message: EndpointState) -> bool:
            posted.append(message)
            return True

        async with AsyncExitStack() as stack:
            service = Service('group', ('m1',))
            await stack.enter_async_context(service)
            member = f'127.0.0.1:{service.members[0].port}'
            path = PartitionedPath(member)
            await stack.enter_async_context(path)
            path.cut_before(b'DEMOTE')
            queries = Queries(adapter.create_query_codec(), post=post)
            await stack.enter_async_context(queries)
            queries.send(QueryEndpoint('group', 'm1', path.address, 5))
            while not posted:
                await anyio.sleep(0.01)
            path.heal()
            await anyio.sleep(DELIVERY_S)
            assert not posted[0].answered
            assert path.held_bytes
            assert path.lost_bytes == path.held_bytes

    anyio.run(run)


# Guards against a write that runs after later ones of the same caller.
def test_write_that_was_given_up_is_not_delivered() -> None:
    """Its caller was told that the outcome is unknown and may write again."""

    async def steps(site: Site) -> None:
        member = f'127.0.0.1:{site.service.members[0].port}'
        async with PartitionedPath(member) as path:
            site.addresses['m1'] = path.address
            site.write_entry('m1')
            relay = site.hosts[0].relay.state
            await site.wait(
                lambda: (
                    relay['endpoints']['m1']['entry'].address == path.address
                )
            )
            caller = await site.connect()
            await caller.start('primary')
            path.cut_before(b'WRITE')
            answer = await caller.query('WRITE 1 a')
            assert answer[0].startswith('ERROR INDOUBT')
            path.heal()
            await anyio.sleep(DELIVERY_S)
            assert path.held_bytes
            assert path.lost_bytes == path.held_bytes

    run_steps(1, steps)
