"""A promotion order that a partition holds up arrives after its successor's."""

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
# The site's longest partition of a leader from the store (core_cut).
CUT_S = 5.5
RELEASE_GAP_S = 1.5
SETTLE_S = 3.0
OBSERVE_S = 8.0


class Cut:
    """Cuts the machine off that orders the first promotion, as it orders."""

    def __init__(self, record, paths):
        self.record = record
        self.machine = ''
        self._paths = paths

    def watch(self):
        """Watches the paths to the promotion call."""
        for name, paths in self._paths.items():
            paths[1].on_request = self._create_observer(name)

    def _create_observer(self, name):
        def observe(received):
            if self.machine or b'POST /promote' not in received:
                return
            self.machine = name
            if not standins.has_trouble():
                return
            self.record.write(name, f'cut off from the platform for {CUT_S} s')
            for path in self._paths[name]:
                path.cut()
            asyncio.get_running_loop().call_later(CUT_S, self._heal)

        return observe

    def _heal(self):
        self.record.write(self.machine, 'reaches the platform again')
        for path in self._paths[self.machine]:
            path.heal()


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
    paths = {}
    for name in MACHINES:
        paths[name] = (
            standins.Path(record, f'{name}/s', port),
            standins.Path(record, f'{name}/c', port),
        )
        for path in paths[name]:
            await path.start()
    machines = standins.Machines(record)
    machines.describe(
        MACHINES,
        ZONES,
        {name: pair[0].port for name, pair in paths.items()},
        {name: pair[1].port for name, pair in paths.items()},
    )
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
        cut = Cut(record, paths)
        cut.watch()
        first = asyncio.ensure_future(group.release('i-1', 'i-4'))
        await asyncio.sleep(RELEASE_GAP_S)
        second = asyncio.ensure_future(group.release('i-2', 'i-5'))
        await asyncio.gather(first, second, wait_for_order(cut))
        await asyncio.sleep(CUT_S + OBSERVE_S)
        stop.set()
        # Writes through the machine that was cut off are not judged.
        acknowledged = {}
        for name, writer in zip(MACHINES, writers, strict=True):
            for at_s, item in await writer:
                if name != cut.machine:
                    acknowledged[item] = at_s
    finally:
        await machines.end()
    return judge(record, group, store, acknowledged)


async def wait_for_order(cut):
    """Waits until a machine orders the first promotion."""
    while not cut.machine:
        await asyncio.sleep(0.05)


def judge(record, group, store, acknowledged):
    """Checks the rule ONE as it is written."""
    broken = 0
    seen = 0
    for at_s, holder, token, _, name in store.orders:
        if token < seen:
            broken = 1
            record.write(
                'check',
                f'ONE: at {at_s:.3f} {holder} ordered {name} with token '
                f'{token}, lower than {seen} that the platform had seen',
            )
        seen = max(seen, token)
    lost = 0
    for at_s, name, _ in group.promotions:
        term = find_term(group, at_s)
        for entry in group.list_entries():
            if entry.term >= term or entry.committed_s <= at_s:
                continue
            if entry.item in acknowledged:
                lost += 1
                record.write(
                    'check',
                    f'ONE: {entry.item} committed at {entry.member} at '
                    f'{entry.committed_s:.3f}, after {name} was promoted '
                    f'at {at_s:.3f}, and acknowledged',
                )
    rolled_back = {entry.item for entry in group.rolled_back}
    gone = sorted(rolled_back & acknowledged.keys())
    record.write(
        'check',
        f'{len(acknowledged)} writes acknowledged, {len(gone)} of them rolled '
        f'back by a promotion; {len(group.promotions)} promotions',
    )
    return 1 if broken or lost else 0


def find_term(group, at_s):
    """Returns the term that a promotion at this time started."""
    return max(term for time_s, _, term in group.promotions if time_s <= at_s)


if __name__ == '__main__':
    standins.run(case, pathlib.Path(__file__).resolve().parent)
