"""Complete hosts while the metadata store is restored from a copy.

Versions go back and are given out again, and what was written after the copy is
lost. The operators and the endpoints write theirs again.
"""

from functools import partial

from tests.test_session_host import KEY, Site, run_steps

OTHER_KEY = 'other-key-of-blue'


def is_in_force(site: Site, version: int) -> bool:
    """Returns whether all hosts have a version of the configuration."""
    return all(
        host.control.state['ruleset'].version == version for host in site.hosts
    )


async def replace_primary(site: Site) -> None:
    """Lets the primary leave, so that another member is promoted."""
    before = len(site.store.promotions)
    old = site.service.log['primary']
    site.write_entry(old, 'draining')
    await site.wait(lambda: len(site.store.promotions) > before)
    write_entries(site)
    site.write_entry(old, 'draining')


def write_entries(site: Site) -> None:
    """Writes the entries of all members again, as they do after a restore."""
    for member in site.service.members:
        site.write_entry(member.name)


# Guards against a change that is dropped since its version was given out before.
def test_change_at_a_version_given_out_again_is_applied() -> None:
    """The row of the lost change has the same key and version."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        copy = site.store.copy()
        site.configure(2, keys=(KEY, OTHER_KEY))
        await site.wait(lambda: is_in_force(site, 2))
        site.store.restore(copy)
        site.configure(4, keys=())
        await site.retry(partial(caller.query, 'READ 1'), 'ERROR NOAUTH')
        await site.wait(lambda: is_in_force(site, 4))

    run_steps(2, steps)


# Guards against a withdrawn key that is accepted again after a restore.
def test_withdrawn_key_stays_withdrawn() -> None:
    """The copy still has the configuration that allowed the key."""

    async def steps(site: Site) -> None:
        caller = await site.connect()
        await caller.start('primary')
        copy = site.store.copy()
        site.configure(2, keys=())
        await site.wait(lambda: is_in_force(site, 2))
        site.store.restore(copy)
        await site.wait(lambda: 'restored table read' in site.log.getvalue())
        assert (await caller.query('READ 1'))[0].startswith('ERROR NOAUTH')
        assert is_in_force(site, 2)

    run_steps(2, steps)


# Guards against writes to a superseded primary that the copy names.
def test_lost_failover_is_not_undone() -> None:
    """A host that starts after the restore knows only the copy."""

    async def steps(site: Site) -> None:
        copy = site.store.copy()
        await replace_primary(site)
        caller = await site.connect()
        await caller.start('primary')
        primary = site.service.log['primary']
        await site.retry(partial(caller.query, 'WRITE 1 a'), 'COMPLETE')
        site.store.restore(copy)
        write_entries(site)
        await site.start_host(len(site.hosts))
        for number, _ in enumerate(site.hosts):
            other = await site.connect(number)
            await other.start('primary')
            answer = await site.retry(
                partial(other.query, 'WRITE 1 b'), 'COMPLETE'
            )
            assert answer[0] == f'COMPLETE {primary}'

    run_steps(2, steps)


# Guards against a fencing token that is lower than one the platform has seen.
def test_fencing_tokens_do_not_decrease() -> None:
    """The claims of leadership that gave out the tokens are lost."""

    async def steps(site: Site) -> None:
        copy = site.store.copy()
        await replace_primary(site)
        site.store.restore(copy)
        write_entries(site)
        await site.start_host(len(site.hosts))
        await replace_primary(site)
        tokens = [order.token for order in site.store.promotions]
        assert tokens == sorted(tokens)
        assert len(tokens) > 1

    run_steps(2, steps)


# Guards against a failover that does not wait for a host whose row was lost.
def test_lost_registration_is_written_again() -> None:
    """The copy was made before the second host had registered."""

    async def steps(site: Site) -> None:
        copy = site.store.copy()
        await site.start_host(len(site.hosts))
        site.store.restore(copy)
        key = ('poplarspoke', 'host/h1')
        await site.wait(lambda: key in site.store.copy().rows)

    run_steps(1, steps)
