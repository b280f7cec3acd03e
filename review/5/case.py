"""An entry of another writer keeps a service without a primary."""

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
OBSERVE_S = 45.0


async def case(record):
    """Plays the case; returns 1 if the rule was broken."""
    group = standins.Group(
        record, lambda *row: store.put(*row), SERVICE, sync=0
    )
    store = standins.Store(record, lambda _, name: group.promote(name))
    port = await store.start()
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
    if standins.has_trouble():
        [closed] = standins.find_ports(1)
        # Version, coldRemainingMs, seq and born are missing.
        store.put(
            'servers',
            'i-9',
            {
                'service': SERVICE,
                'address': f'{standins.LOOPBACK}:{closed}',
                'zone': 'marousi',
                'slots': 2,
                'state': 'ready',
                'dbRole': 'primary',
            },
        )
        record.write('other', 'wrote servers/i-9 with fields missing')
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
        await asyncio.sleep(OBSERVE_S)
        stop.set()
        served = 0
        for writer in writers:
            served += len(await writer)
    finally:
        await machines.end()
    record.write('check', f'{served} writes served in {OBSERVE_S} s')
    return 0 if served else 1


if __name__ == '__main__':
    standins.run(case, pathlib.Path(__file__).resolve().parent)
