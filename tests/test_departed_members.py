"""Members of a service with synchronous replicas that leave, over sockets."""

import anyio

from tests.test_session_host import Site, run_steps

# Longer than a failover takes, with the delay until an entry counts as gone.
FAILOVER_S = 6.0


# Guards against a failover that drops commits of a replica that left as planned: the
# one that remains has received nothing.
def test_failover_waits_for_the_successor_of_a_departed_replica() -> None:
    """The primary crashes as the replica ends; its successor starts later."""

    async def steps(site: Site) -> None:
        site.service.sync_replicas = 1
        site.configure(2)
        caller = await site.connect()
        await caller.start('primary')
        await site.retry(lambda: caller.query('WRITE 1 one'), 'COMPLETE')
        site.service.deafen('m3')
        assert (await caller.query('WRITE 1 two'))[0] == 'COMPLETE m1'
        site.write_entry('m2', 'draining')
        await anyio.sleep(1)
        await site.service.stop('m2')
        site.store.drop('servers', 'm2')
        await site.service.stop('m1')
        site.store.drop('servers', 'm1')
        await anyio.sleep(FAILOVER_S)
        assert not site.store.promotions
        site.service.replace('m2', 'm4')
        site.write_entry('m4')
        await site.wait(lambda: bool(site.store.promotions))
        assert {order.member for order in site.store.promotions} == {'m4'}
        site.write_entry('m4')
        late = await site.connect()
        await late.start('primary')
        lines = await site.retry(lambda: late.query('READ 1'), 'ROW')
        assert lines[0] == 'ROW two'

    run_steps(2, steps)
