"""A key that was taken away goes on working inside an open transaction."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import standins

SERVICE = 'huvo11a'
DATABASE = 'lepu270'
KEY = 'u6wsjnbanfqasnmgkcuy'
OTHER_KEY = 'j8pjbvk9m68k7b2ex5wa'
ZONES = {'piraeus': 'attica', 'marousi': 'attica', 'elefsina': 'attica'}
MACHINES = {
    'front-piraeus-1': 'piraeus',
    'front-marousi-1': 'marousi',
    'front-elefsina-1': 'elefsina',
}
# configApplyMs of the site.
APPLY_S = 3.0
SETTLE_S = 2.0
# A transaction has up to 12 statements; one that rests for txIdleMs, 3 s, may be
# ended.
STATEMENTS = 10
PAUSE_S = 2.0
REVOKE_AFTER = 2


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
        7, SERVICE, sync=0, keys=[KEY, OTHER_KEY]
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
    try:
        for name in MACHINES:
            await machines.start(name)
        if not await machines.wait_ready():
            return 2
        await asyncio.sleep(SETTLE_S)
        sessions = [
            await open_transaction(record, machines.ports[name], index)
            for index, name in enumerate(MACHINES)
        ]
        if not all(sessions):
            return 2
        revoked_s = 0
        late = {}
        for number in range(STATEMENTS):
            if number == REVOKE_AFTER:
                keys = [OTHER_KEY] if standins.has_trouble() else [KEY]
                store.put(
                    'op',
                    'config',
                    standins.create_configuration(
                        9, SERVICE, sync=0, keys=[*keys, OTHER_KEY]
                    ),
                )
                revoked_s = record.now()
                record.write('operator', f'version 9 holds the keys {keys}')
            await asyncio.sleep(PAUSE_S)
            for index, client in enumerate(sessions):
                await run(record, client, f'WRITE {index}x{number} v', late)
        for client in sessions:
            await run(record, client, 'COMMIT', late)
        in_force = await check_in_force(record, machines)
    finally:
        await machines.end()
    return judge(record, group, late, revoked_s, in_force)


async def open_transaction(record, port, index):
    """Returns a session with an open transaction."""
    client = standins.Client(record, f'client-{index}', port, DATABASE, KEY)
    await client.open()
    for _ in range(20):
        word, _, _, _ = await client.send('BEGIN')
        if word == 'DONE':
            return client
        await asyncio.sleep(0.3)
    return None


async def run(record, client, text, late):
    """Runs a statement and keeps when it was sent if it succeeded."""
    sent_s = record.now()
    word, detail, _, _ = await client.send(text)
    if word == 'DONE':
        late[detail.partition('.')[2]] = (sent_s, client.name, text)


async def check_in_force(record, machines):
    """Returns whether new sessions with the key are refused."""
    refused = True
    for name, port in machines.ports.items():
        client = standins.Client(record, f'new-{name}', port, DATABASE, KEY)
        answer = await client.open()
        client.close()
        record.write(f'new-{name}', f'START with the key: {answer}')
        refused = refused and answer.startswith('ERROR NOAUTH')
    return refused


def judge(record, group, late, revoked_s, in_force):
    """Checks the rule CONFIG: nothing runs with a dropped key."""
    runs = {
        request
        for member in group.members.values()
        for _, request, _, _ in member.runs
    }
    broken = 0
    if standins.has_trouble():
        for request, (sent_s, name, text) in late.items():
            if sent_s <= revoked_s + APPLY_S or request not in runs:
                continue
            broken += 1
            record.write(
                'check',
                f'CONFIG: {name} sent {text!r} {sent_s - revoked_s:.1f} s '
                'after its key was taken away; a member ran it',
            )
    committed = sum(
        len(member.log) for member in group.members.values()
    ) // len(group.members)
    record.write(
        'check',
        f'{broken} statements with a dropped key; {committed} writes '
        f'committed; new sessions refused: {in_force}',
    )
    return 1 if broken else 0


if __name__ == '__main__':
    standins.run(case, pathlib.Path(__file__).resolve().parent)
