"""A failover doesn't wait for the replica that has the acknowledged log."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import standins

SERVICE = 'huvo11a'
DATABASE = 'lepu270'
KEY = 'u6wsjnbanfqasnmgkcuy'
ZONES = {'piraeus': 'attica', 'marousi': 'attica', 'elefsina': 'attica'}
MACHINES = {
    'front-piraeus-1': 'piraeus',
    'front-marousi-1': 'marousi',
    'front-elefsina-1': 'elefsina',
}
SETTLE_S = 3.0
# The site's replicas receive nothing for up to 6.5 s (replica_lag deaf crash).
DEAF_S = 6.5
# The site's longest crash of a replica is 4.91 s.
REPLICA_DOWN_S = 4.9
REPLICA_CRASH_AFTER_S = 2.5
PRIMARY_CRASH_AFTER_S = 0.5
PRIMARY_DOWN_S = 6.5
OBSERVE_S = 12.0


async def case(record):
    """Plays the case; returns 1 if the rule was broken."""
    group = standins.Group(
        record,
        lambda *row: store.put(*row),
        lambda *key: store.remove(*key),
        SERVICE,
        sync=1,
    )
    store = standins.Store(record, lambda _, name: group.promote(name))
    port = await store.start()
    configuration = standins.create_configuration(
        7, SERVICE, sync=1, keys=[KEY]
    )
    store.put('op', 'config', configuration)
    for name, zone, role in (
        ('i-1', 'piraeus', 'primary'),
        ('i-2', 'marousi', 'replica'),
        ('i-3', 'elefsina', 'replica'),
    ):
        await group.add(name, zone, role).start()
    machines = standins.Machines(record)
    ports = dict.fromkeys(MACHINES, port)
    machines.describe(MACHINES, ZONES, ports, ports)
    stop = asyncio.Event()
    try:
        for name in MACHINES:
            await machines.start(name)
        if not await machines.wait_ready():
            return 2
        writers = [
            asyncio.ensure_future(
                standins.keep_writing(
                    record,
                    f'client-{index}',
                    machines.ports[name],
                    DATABASE,
                    KEY,
                    f'{index}x',
                    stop,
                )
            )
            for index, name in enumerate(MACHINES)
        ]
        await asyncio.sleep(SETTLE_S)
        if standins.has_trouble():
            await disrupt(record, group)
        await asyncio.sleep(OBSERVE_S)
        stop.set()
        acknowledged = set()
        for writer in writers:
            acknowledged.update(item for _, item in await writer)
    finally:
        await machines.end()
    return judge(record, group, acknowledged)


async def disrupt(record, group):
    """Makes a replica deaf and lets the primary crash meanwhile."""
    deaf = group.members['i-3']
    deaf.deaf = True
    record.write('i-3', f'receives nothing for {DEAF_S} s')
    asyncio.get_running_loop().call_later(DEAF_S, hear, record, group)
    await asyncio.sleep(REPLICA_CRASH_AFTER_S)
    replica = group.members['i-2']
    replica.crash()
    asyncio.get_running_loop().call_later(
        REPLICA_DOWN_S,
        lambda: asyncio.ensure_future(replica.come_back()),
    )
    await asyncio.sleep(PRIMARY_CRASH_AFTER_S)
    primary = group.members['i-1']
    primary.crash()
    asyncio.get_running_loop().call_later(
        PRIMARY_DOWN_S,
        lambda: asyncio.ensure_future(primary.come_back()),
    )


def hear(record, group):
    """Ends the time in which the replica receives nothing."""
    record.write('i-3', 'receives again')
    primaries = [
        member
        for member in group.members.values()
        if member.role == 'primary' and member.running
    ]
    if primaries:
        newest = max(primaries, key=lambda member: member.term)
        group.members['i-3'].catch_up(newest)
    group.members['i-3'].deaf = False


def judge(record, group, acknowledged):
    """Checks the rule LOST for a service with syncReplicas."""
    lost = set()
    for at_s, name, term in group.promotions:
        log = group.promoted_logs[term]
        for entry in group.list_entries():
            if entry.term >= term or entry in log:
                continue
            if entry.item in acknowledged and entry not in lost:
                lost.add(entry)
                record.write(
                    'check',
                    f'LOST: {entry.item}, committed at {entry.member} at '
                    f'{entry.committed_s:.3f} and acknowledged, is not in the '
                    f'log of {name}, promoted at {at_s:.3f}',
                )
    record.write(
        'check',
        f'{len(acknowledged)} writes acknowledged, {len(lost)} lost; '
        f'{len(group.promotions)} promotions',
    )
    return 1 if lost else 0


if __name__ == '__main__':
    standins.run(case, pathlib.Path(__file__).resolve().parent)
