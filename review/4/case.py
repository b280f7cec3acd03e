"""A restarted machine takes a superseded primary from a peer and reads there."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import standins

SERVICE = 'huvo11a'
DATABASE = 'lepu270'
KEY = 'u6wsjnbanfqasnmgkcuy'
ZONES = {'piraeus': 'attica', 'marousi': 'attica', 'elefsina': 'attica'}
MACHINES = {
    'front-piraeus-1': 'piraeus',
    'front-piraeus-2': 'piraeus',
    'front-marousi-1': 'marousi',
    'front-marousi-2': 'marousi',
    'front-marousi-3': 'marousi',
    'front-elefsina-1': 'elefsina',
}
# Two of six machines are turned away by the store, for up to 9 s in the site.
REFUSED_S = 9.0
# A seed that was replaced before; seeds may be stale or down.
GONE_SEED = 'front-gone-1'
SETTLE_S = 3.0
# The store refuses them this long before the old primary drains.
REFUSE_AHEAD_S = 0.2
KILL_AFTER_S = 0.1
RESTART_DELAY_S = 0.3
OBSERVE_S = 12.0


async def case(record):
    """Plays the case; returns 1 if the rule was broken."""
    group = standins.Group(
        record,
        lambda *row: store.put(*row),
        lambda *key: store.remove(*key),
        SERVICE,
        sync=0,
    )
    store = standins.Store(record, lambda _, name: group.promote(name))
    ports = {name: await store.start(name) for name in MACHINES}
    configuration = standins.create_configuration(
        7, SERVICE, sync=0, keys=[KEY]
    )
    store.put('op', 'config', configuration)
    for name, zone, role in (
        ('i-1', 'piraeus', 'primary'),
        ('i-2', 'marousi', 'replica'),
        ('i-3', 'elefsina', 'replica'),
    ):
        await group.add(name, zone, role).start()
    machines = standins.Machines(record)
    machines.describe(MACHINES, ZONES, ports, ports)
    stop = asyncio.Event()
    try:
        for name in MACHINES:
            await machines.start(name)
        if not await machines.wait_ready():
            return 2
        await asyncio.sleep(SETTLE_S)
        await group.release('i-1', 'i-4')
        while not group.promotions:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_S)
        # Two machines that don't lead.
        leader = store.orders[-1][1]
        killed, peer = [name for name in MACHINES if name != leader][1:3]
        machines.set_seeds(killed, (killed, peer, GONE_SEED))
        old = group.promotions[-1][1]
        others = [name for name in MACHINES if name not in {killed, peer}]
        writers = [
            asyncio.ensure_future(
                standins.keep_writing(
                    record,
                    f'writer-{index}',
                    machines.ports[name],
                    DATABASE,
                    KEY,
                    f'{index}x',
                    stop,
                )
            )
            for index, name in enumerate(others)
        ]
        await asyncio.sleep(SETTLE_S)
        balancer = Balancer(record, machines, killed)
        prober = asyncio.ensure_future(balancer.probe())
        reader = asyncio.ensure_future(
            keep_reading(record, balancer, machines.ports[killed], stop)
        )
        release = asyncio.ensure_future(group.release(old, 'i-5'))
        await asyncio.sleep(standins.START_AHEAD_S - REFUSE_AHEAD_S)
        if standins.has_trouble():
            record.write('store', f'refuses {killed} and {peer}')
            store.refuse((killed, peer))
            asyncio.get_running_loop().call_later(REFUSED_S, store.refuse, ())
        await release
        while len(group.promotions) < 2:
            await asyncio.sleep(0.05)
        if standins.has_trouble():
            await asyncio.sleep(KILL_AFTER_S)
            await machines.restart(killed, RESTART_DELAY_S)
        await asyncio.sleep(OBSERVE_S)
        stop.set()
        acknowledged = {}
        for writer in writers:
            for at_s, item in await writer:
                acknowledged[item] = at_s
        reads = await reader
        prober.cancel()
        if {killed, peer} & {order[1] for order in store.orders[1:]}:
            record.write('case', 'a refused machine led the failover')
            return 2
    finally:
        await machines.end()
    return judge(record, group, acknowledged, reads)


class Balancer:
    """Takes a machine out of rotation after two probes without a 200."""

    def __init__(self, record, machines, name):
        self.record = record
        self.in_rotation = True
        self._machines = machines
        self._name = name

    async def probe(self):
        """Probes the machine once a second."""
        misses = 0
        while True:
            await asyncio.sleep(1)
            misses = 0 if await self._machines.probe(self._name) else misses + 1
            in_rotation = misses < 2
            if in_rotation != self.in_rotation:
                self.record.write(
                    'balancer', f'{self._name} in rotation: {in_rotation}'
                )
            self.in_rotation = in_rotation


async def keep_reading(record, balancer, port, stop):
    """Reads through one machine; returns the reads as (request, sent).

    It connects only while the machine is in rotation; an open session stays.
    """
    client = standins.Client(record, 'reader', port, DATABASE, KEY)
    is_open = False
    reads = []
    while not stop.is_set():
        await asyncio.sleep(0.02)
        if not is_open and not balancer.in_rotation:
            continue
        try:
            if not is_open:
                answer = await client.open()
                is_open = answer.startswith('READY')
                if not is_open:
                    record.write('reader', f'START: {answer}')
                    client.close()
                    await asyncio.sleep(0.1)
                    continue
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            client.close()
            await asyncio.sleep(0.1)
            continue
        word, _, _, phase = await client.send('READ 0x1')
        if word == 'DONE':
            reads.append(client.last)
        elif phase != 'I':
            client.close()
            is_open = False
    client.close()
    return reads


def judge(record, group, acknowledged, reads):
    """Checks the rule STALE for a primary route."""
    positions = {}
    for member in group.members.values():
        positions.update(member.read_positions)
    rolled_back = set(group.rolled_back)
    entries = [
        entry
        for entry in group.list_entries()
        if entry.item in acknowledged and entry not in rolled_back
    ]
    broken = 0
    for request, sent_s in reads:
        term, applied, name = positions[request]
        missing = [
            entry
            for entry in entries
            if acknowledged[entry.item] < sent_s and entry.number > applied
        ]
        if not missing:
            continue
        broken += 1
        newest = missing[-1]
        record.write(
            'check',
            f'STALE: read {request}, sent {sent_s:.3f}, ran at {name} on '
            f'{term}.{applied}, which lacks {newest.term}.{newest.number}, '
            f'acknowledged {acknowledged[newest.item]:.3f}, and '
            f'{len(missing) - 1} more',
        )
    record.write('check', f'{len(reads)} reads, {broken} of them stale')
    return 1 if broken else 0


if __name__ == '__main__':
    standins.run(case, pathlib.Path(__file__).resolve().parent)
