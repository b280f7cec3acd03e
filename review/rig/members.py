"""Stand-in of a service: a primary and its replicas, with a log each.

Replication is asynchronous. A member that is promoted leads the next term with
what it has; the others take over its log. A member that starts again empty
knows nothing of before, so it sees itself as a replica, until it has received
the log of a primary.
"""

import asyncio
import functools
import time
from collections.abc import Callable
from typing import Any

LOOPBACK = '127.0.0.1'
HEARTBEAT_S = 1.2
REPLICATION_S = 0.02
PROMOTION_S = 0.3
OPENING_S = 0.012


class Commit:
    """An entry of the log."""

    def __init__(self, term: int, number: int, request: str, writes: dict):
        """Stores the position, the request and the written items."""
        self.term = term
        self.number = number
        self.request = request
        self.writes = writes

    @property
    def position(self) -> tuple[int, int]:
        """Term and number."""
        return self.term, self.number


class Member:
    """One member; its listener can be closed and opened again."""

    def __init__(self, service: 'Service', name: str, zone: str) -> None:
        """Creates a member that does not run yet."""
        self.service = service
        self.name = name
        self.zone = zone
        self.role = 'replica'
        self.term = 1
        self.log: list[Commit] = []
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.port = 0
        # Whether it receives nothing from the primary.
        self.is_deaf = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._last_beat_s = 0.0
        self._listed = False

    @property
    def is_up(self) -> bool:
        """Whether the member runs."""
        return self._server is not None

    def format_position(self) -> str:
        """Returns the end of the log as the protocol writes it."""
        if not self.log:
            return '-'
        return '{}.{}'.format(*self.log[-1].position)

    def find(self, item: str) -> str:
        """Returns the newest committed content of an item."""
        for commit in reversed(self.log):
            if item in commit.writes:
                return commit.writes[item]
        return '-'

    async def start(self) -> None:
        """Listens, at the same address as before.

        A primary that crashed is a replica if another one was promoted.
        """
        if self.service.leader is not self:
            self.role = 'replica'
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=1 << 21
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.report()

    def crash(self) -> None:
        """Ends the member; its connections are reset."""
        server = self._server
        self._server = None
        if server is not None:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def forget(self) -> None:
        """Loses all that the member had: it starts again under its id."""
        self.role = 'replica'
        self.term = 0
        self.log = []
        self.service.forget(self)
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)

    def report(self) -> None:
        """Writes the member's own entry to the store."""
        self.sequence += 1
        self._last_beat_s = time.monotonic()
        self._listed = True
        self.service.store.put(
            'servers',
            self.name,
            {
                'service': self.service.name,
                'address': f'{LOOPBACK}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 2,
                'state': self.state,
                'coldRemainingMs': 0,
                'seq': self.sequence,
                'dbRole': self.role,
                'born': self.born_ms,
            },
        )

    def leave(self) -> None:
        """Ends the member after its planned shutdown."""
        self.crash()
        self._listed = False
        self.service.store.drop('servers', self.name)

    def beat(self) -> None:
        """Reports again after the interval; an entry expires after three."""
        silent_s = time.monotonic() - self._last_beat_s
        if self.is_up and silent_s >= HEARTBEAT_S:
            self.report()
        elif not self.is_up and self._listed and silent_s >= 3 * HEARTBEAT_S:
            self._listed = False
            self.service.store.drop('servers', self.name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        session = Session(self)
        try:
            start = (await reader.readuntil(b'\r\n')).decode('latin-1')[:-2]
            words = start.split(' ')
            expected = words[3] if len(words) > 3 else self.name
            if words[1] != self.service.name or expected != self.name:
                writer.write(b'ERROR MISROUTED other member\r\n')
                return
            session.caller = words[2]
            await asyncio.sleep(OPENING_S)
            writer.write(f'READY I {self.format_position()}\r\n'.encode())
            while True:
                line = await reader.readuntil(b'\r\n')
                answer = await session.run(line.decode('latin-1')[:-2])
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            session.closed = True
            self._writers.discard(writer)
            writer.close()


class Session:
    """One connection to a member."""

    def __init__(self, member: Member) -> None:
        """Starts outside of a transaction."""
        self.member = member
        self.caller = ''
        self.phase = 'I'
        self.closed = False
        self._written: dict[str, str] = {}
        self._prepared: dict[str, str] = {}

    async def run(self, line: str) -> bytes:
        """Runs one statement and returns the lines of its answer."""
        _query, request, text = line.split(' ', 2)
        verb, _, fields = text.partition(' ')
        if verb == 'AFTER':
            position, _, text = fields.partition(' ')
            verb, _, fields = text.partition(' ')
            needed = tuple(int(part) for part in position.split('.'))
            log = self.member.log
            if not log or log[-1].position < needed:
                return self._close_answer('ERROR LAGGING behind')
        if verb == 'EXECUTE':
            name, _, fields = fields.partition(' ')
            if name not in self._prepared:
                return self._close_answer('ERROR NOSTMT unknown name')
            verb = self._prepared[name]
        return await self._run_verb(request, verb, fields)

    async def _run_verb(self, request: str, verb: str, fields: str) -> bytes:
        member = self.member
        if verb == 'BEGIN':
            if not fields and member.role != 'primary':
                return self._close_answer('ERROR READONLY ' + member.name)
            self.phase = 'T'
            return self._close_answer('COMPLETE -')
        if verb == 'READ':
            return await self._read(request, fields)
        if verb == 'WRITE':
            return await self._write(request, fields)
        if verb == 'COMMIT':
            if self._written and member.role != 'primary':
                self.phase = 'E'
                return self._close_answer('ERROR READONLY ' + member.name)
            await self._commit(request)
            return self._close_answer(f'COMPLETE {member.name}.sig')
        if verb == 'ROLLBACK':
            self._written = {}
            self.phase = 'I'
            return self._close_answer('COMPLETE -')
        if verb == 'PREPARE':
            name, kind, _shape = fields.split(' ', 2)
            self._prepared[name] = kind
            return self._close_answer('COMPLETE -')
        if verb == 'STATUS' or verb == 'DEMOTE':
            if verb == 'DEMOTE' and member.role == 'primary':
                if member.term < int(fields):
                    member.role = 'replica'
                    member.report()
            row = (
                f'ROW {member.role} {member.term} {member.format_position()}'
                f' {member.term} 0 0 1\r\n'
            )
            return row.encode() + self._close_answer('COMPLETE -')
        return self._close_answer('COMPLETE -')

    async def _read(self, request: str, item: str) -> bytes:
        member = self.member
        service = member.service
        service.log(
            f'{member.name} ({member.role}, log {member.format_position()}): '
            f'{request} READ {item}'
        )
        await asyncio.sleep(service.find_work_s(item))
        row = self._written.get(item, member.find(item))
        return f'ROW {row}\r\n'.encode() + self._close_answer(
            f'COMPLETE {member.name}.sig'
        )

    async def _write(self, request: str, fields: str) -> bytes:
        member = self.member
        item, _, content = fields.partition(' ')
        await asyncio.sleep(member.service.find_work_s(item))
        if self.closed:
            return b''
        if member.role != 'primary':
            if self.phase == 'T':
                self.phase = 'E'
            return self._close_answer('ERROR READONLY ' + member.name)
        self._written[item] = content
        if self.phase == 'I':
            await self._commit(request)
        return self._close_answer(f'COMPLETE {member.name}.sig')

    async def _commit(self, request: str) -> None:
        member = self.member
        if self._written:
            number = member.log[-1].number + 1 if member.log else 1
            commit = Commit(member.term, number, request, self._written)
            member.log.append(commit)
            member.service.log(
                f'{member.name} (primary, term {member.term}): {request} '
                f'commits {member.format_position()}'
            )
            self._written = {}
            while not member.service.is_received(commit):
                await asyncio.sleep(REPLICATION_S / 4)
        self._written = {}
        self.phase = 'I'

    def _close_answer(self, last: str) -> bytes:
        position = self.member.format_position()
        return f'{last}\r\nREADY {self.phase} {position}\r\n'.encode()


class Service:
    """A service with three members; an async context manager."""

    def __init__(
        self, name: str, zones: tuple[str, ...], log: Callable[[str], None]
    ) -> None:
        """Creates the members, the first primary first.

        Args:
            name: Name of the service.
            zones: Zone of each member.
            log: Writes a line of the record.
        """
        self.name = name
        self.log = log
        self.store: Any = None
        self.work_s: dict[str, float] = {}
        self.members = [
            Member(self, f'm{number + 1}', zone)
            for number, zone in enumerate(zones)
        ]
        self.members[0].role = 'primary'
        # The member that was promoted last, and its term.
        self.leader: Member | None = self.members[0]
        self.newest_term = 1
        self.rolled_back: list[Commit] = []
        self.sync_replicas = 0
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> 'Service':
        """Starts all members and their replication."""
        for member in self.members:
            await member.start()
        self._tasks.append(asyncio.create_task(self._replicate()))
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Ends all members."""
        for task in self._tasks:
            task.cancel()
        for member in self.members:
            member.crash()

    def forget(self, member: Member) -> None:
        """Notes that a member has started again without its log."""
        if self.leader is member:
            self.leader = None

    def find_work_s(self, item: str) -> float:
        """Returns how long a statement on an item takes."""
        return self.work_s.get(item, 0.005)

    def is_received(self, commit: Commit) -> bool:
        """Returns whether as many replicas as needed have a commit."""
        if not self.sync_replicas:
            return True
        holders = sum(
            commit in member.log
            for member in self.members
            if member.is_up and member.role == 'replica'
        )
        return holders >= self.sync_replicas

    def find_primary(self) -> Member | None:
        """Returns the running primary of the newest term."""
        primaries = [
            member
            for member in self.members
            if member.is_up and member.role == 'primary'
        ]
        return max(primaries, key=lambda one: one.term, default=None)

    def promote(self, service: str, name: str, holder: str, token: int) -> int:
        """Orders a promotion; returns the status of the answer."""
        found = [one for one in self.members if one.name == name]
        if service != self.name or not found or not found[0].is_up:
            return 409
        if found[0].role != 'primary':
            lead = functools.partial(self._lead, found[0])
            asyncio.get_running_loop().call_later(PROMOTION_S, lead)
        return 200

    def _lead(self, member: Member) -> None:
        if not member.is_up or member.role == 'primary':
            return
        self.leader = member
        self.newest_term += 1
        member.term = self.newest_term
        member.role = 'primary'
        self.log(
            f'{member.name} leads term {member.term} after '
            f'{member.format_position()}'
        )
        member.report()

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(REPLICATION_S)
            primary = self.find_primary()
            for member in self.members:
                member.beat()
                if primary is None or member is primary or not member.is_up:
                    continue
                if primary.term < member.term or member.is_deaf:
                    continue
                if member.role == 'primary':
                    member.role = 'replica'
                    member.report()
                member.term = primary.term
                kept = {id(commit) for commit in primary.log}
                for commit in member.log:
                    if id(commit) not in kept:
                        self.rolled_back.append(commit)
                member.log = list(primary.log)
