"""Stand-in of a database service that speaks the session protocol.

All members of the service run in one process and share one log, so that
replicas see each commit immediately. A member that receives nothing keeps a copy of
the log from before. With synchronous replicas, a commit is acknowledged once as many
members share the log.
"""

import functools
from typing import Any, NamedTuple, Self, TypedDict

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

MAX_LINE_BYTES = 1048576
LINE_END = b'\r\n'
RECEIVE_INTERVAL_S = 0.005


class Member(NamedTuple):
    """Name of a member and the port that it listens on."""

    name: str
    port: int


class Log(TypedDict):
    """Log of a service, shared by its members.

    Attributes:
        primary: Name of the primary.
        term: Term of the primary; each promotion increments it.
        number: Position of the last commit.
        items: Committed value of each item.
        runs: Request ids of the committed writes.
        workspaces: Workspaces for which connections were started.
    """

    primary: str
    term: int
    number: int
    items: dict[str, str]
    runs: list[str]
    workspaces: set[str]


class Session(TypedDict):
    """One connection to a member.

    Attributes:
        member: Name of the member.
        phase: ``I``, ``T`` or ``E`` as in the protocol.
        written: Writes of the open transaction.
        prepared: Verb of each prepared statement.
        request: Id of the current request.
    """

    member: str
    phase: str
    written: dict[str, str]
    prepared: dict[str, str]
    request: str


class Service:
    """A service with several members, as an async context manager.

    Attributes:
        members: Members with their ports, the first primary first.
        log: Log that they share.
        sync_replicas: Replicas that have received an acknowledged commit.
    """

    def __init__(self, name: str, members: tuple[str, ...]) -> None:
        """Creates a service whose first member is the primary."""
        self.name = name
        self.log = Log(
            primary=members[0],
            term=1,
            number=1,
            items={},
            runs=[],
            workspaces=set(),
        )
        self.members: list[Member] = []
        self.sync_replicas = 0
        self._names = members
        self._deaf: set[str] = set()
        self._down: set[str] = set()
        # Logs of members that do not share the log now.
        self._copies: dict[str, Log] = {}
        self._streams: dict[str, set[ByteStream]] = {}
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Binds a listener for each member."""
        self._group = await anyio.create_task_group().__aenter__()
        for slot, name in enumerate(self._names):
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            address = listener.extra(SocketAttribute.local_address)
            self.members.append(Member(name, int(address[1])))
            serve = functools.partial(self._serve, slot)
            self._group.start_soon(listener.serve, serve)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listeners and connections."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def promote(self, name: str) -> None:
        """Makes a member the primary of the next term, with the log that it has."""
        if name in self._down:
            return
        term = self.log['term'] + 1
        own = self._copies.pop(name, self.log)
        self.log = Log(**{**own, 'primary': name, 'term': term})
        self._share()

    def deafen(self, name: str) -> None:
        """Lets a replica receive nothing from now on."""
        self._deaf.add(name)
        self._copies.setdefault(name, self._copy(name))

    def hear(self, name: str) -> None:
        """Lets a replica receive again."""
        self._deaf.discard(name)
        self._share()

    async def stop(self, name: str) -> None:
        """Ends a member; it keeps its log."""
        self._down.add(name)
        if name != self.log['primary']:
            self._copies.setdefault(name, self._copy(name))
        for stream in list(self._streams.pop(name, ())):
            await anyio.aclose_forcefully(stream)

    def start(self, name: str) -> None:
        """Starts a member again with its log."""
        self._down.discard(name)
        self._share()

    def replace(self, name: str, successor: str) -> None:
        """Starts a member at the address, and with the log, of one that ended."""
        slot = [member.name for member in self.members].index(name)
        self.members[slot] = Member(successor, self.members[slot].port)
        self._down.discard(name)
        self._deaf.discard(name)
        if name in self._copies:
            self._copies[successor] = self._copies.pop(name)
        self._share()

    def is_up(self, name: str) -> bool:
        """Returns whether a member runs."""
        return name not in self._down

    def _copy(self, name: str) -> Log:
        known = self._copies.get(name, self.log)
        copied = Log(**known)
        copied['items'] = dict(known['items'])
        copied['runs'] = list(known['runs'])
        return copied

    def _share(self) -> None:
        """Lets the members that receive take over the log of the primary."""
        if self.log['primary'] in self._down:
            return
        for name in list(self._copies):
            if name not in self._deaf and name not in self._down:
                self._copies.pop(name)

    def _is_received(self) -> bool:
        """Returns whether as many replicas as needed share the log."""
        sharing = [
            member.name
            for member in self.members
            if member.name not in self._copies
            and member.name not in self._down
            and member.name != self.log['primary']
        ]
        return len(sharing) >= self.sync_replicas

    async def _serve(self, slot: int, stream: ByteStream) -> None:
        member = self.members[slot].name
        if member in self._down:
            await anyio.aclose_forcefully(stream)
            return
        lines = BufferedByteReceiveStream(stream)
        session = Session(
            member=member, phase='I', written={}, prepared={}, request=''
        )
        self._streams.setdefault(member, set()).add(stream)
        async with stream:
            try:
                await self._serve_lines(session, stream, lines)
            except (
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            finally:
                self._streams.get(member, set()).discard(stream)

    async def _serve_lines(
        self,
        session: Session,
        stream: ByteStream,
        lines: BufferedByteReceiveStream,
    ) -> None:
        start = await _receive_line(lines)
        _word, service, workspace, *expected = start.split(' ')
        if service != self.name or expected[:1] not in (
            [],
            [session['member']],
        ):
            await stream.send(b'ERROR MISROUTED wrong member\r\n')
            return
        self.log['workspaces'].add(workspace)
        await self._send(session, stream, [])
        while True:
            line = await _receive_line(lines)
            number = self.log['number']
            answer = self._answer(session, line)
            if self.log['number'] > number:
                await self._wait_for_receivers(session)
            await self._send(session, stream, answer)

    async def _send(
        self, session: Session, stream: ByteStream, answer: list[str]
    ) -> None:
        position = _format_position(self._find_log(session))
        ready = f'READY {session["phase"]} {position}'
        text = '\r\n'.join((*answer, ready, ''))
        await stream.send(text.encode())

    async def _wait_for_receivers(self, session: Session) -> None:
        """Waits until a commit is received by as many replicas as needed."""
        term = self.log['term']
        while not self._is_received():
            await anyio.sleep(RECEIVE_INTERVAL_S)
            if session['member'] in self._down or self.log['term'] != term:
                raise anyio.ClosedResourceError

    def _find_log(self, session: Session) -> Log:
        """Returns the log of the member that a session is with."""
        copied = self._copies.get(session['member'])
        if copied is None:
            return self.log
        return Log(**{**copied, 'primary': self.log['primary']})

    def _answer(self, session: Session, line: str) -> list[str]:
        _word, request, text = line.split(' ', 2)
        session['request'] = request
        verb, _, fields = text.partition(' ')
        log = self._find_log(session)
        if verb == 'AFTER':
            position, _, text = fields.partition(' ')
            verb, _, fields = text.partition(' ')
            if _parse_position(position) > (log['term'], log['number']):
                return ['ERROR LAGGING behind']
        return _run(log, session, verb, fields)


def _run(log: Log, session: Session, verb: str, fields: str) -> list[str]:
    if verb == 'EXECUTE':
        name, _, fields = fields.partition(' ')
        if name not in session['prepared']:
            return ['ERROR NOSTMT unknown name']
        verb = session['prepared'][name]
    answer: list[str] = STATEMENTS.get(verb, _acknowledge)(log, session, fields)
    return answer


async def _receive_line(lines: BufferedByteReceiveStream) -> str:
    line = await lines.receive_until(LINE_END, MAX_LINE_BYTES)
    return line.decode()


def _parse_position(position: str) -> tuple[int, int]:
    term, _, number = position.partition('.')
    return int(term), int(number)


def _format_position(log: Log) -> str:
    return f'{log["term"]}.{log["number"]}'


def _acknowledge(log: Log, session: Session, fields: str) -> list[str]:
    return ['COMPLETE -']


def _begin(log: Log, session: Session, fields: str) -> list[str]:
    if fields != 'READ' and session['member'] != log['primary']:
        return ['ERROR READONLY replica']
    session['phase'] = 'T'
    return ['COMPLETE -']


def _read_item(log: Log, session: Session, fields: str) -> list[str]:
    found = session['written'].get(fields, log['items'].get(fields, '-'))
    return [f'ROW {found}', f'COMPLETE {session["member"]}']


def _write_item(log: Log, session: Session, fields: str) -> list[str]:
    if session['member'] != log['primary']:
        return ['ERROR READONLY replica']
    item, _, content = fields.partition(' ')
    session['written'][item] = content
    if session['phase'] == 'I':
        _apply(log, session)
    return [f'COMPLETE {session["member"]}']


def _commit(log: Log, session: Session, fields: str) -> list[str]:
    session['phase'] = 'I'
    _apply(log, session)
    return [f'COMPLETE {session["member"]}']


def _roll_back(log: Log, session: Session, fields: str) -> list[str]:
    session['phase'] = 'I'
    session['written'].clear()
    return ['COMPLETE -']


def _prepare(log: Log, session: Session, fields: str) -> list[str]:
    name, verb, _shape = fields.split(' ', 2)
    session['prepared'][name] = verb
    return ['COMPLETE -']


def _report_status(log: Log, session: Session, fields: str) -> list[str]:
    is_primary = session['member'] == log['primary']
    role = 'primary' if is_primary else 'replica'
    term = log['term']
    return [f'ROW {role} {term} {_format_position(log)} 0 0 0 1', 'COMPLETE -']


def _demote(log: Log, session: Session, fields: str) -> list[str]:
    is_primary = session['member'] == log['primary']
    if is_primary and int(fields) > log['term']:
        log['primary'] = ''
    return _report_status(log, session, fields)


def _apply(log: Log, session: Session) -> None:
    if session['written']:
        log['number'] += 1
        log['items'].update(session['written'])
        log['runs'].append(session['request'])
    session['written'].clear()


STATEMENTS: dict[str, Any] = {
    'BEGIN': _begin,
    'READ': _read_item,
    'WRITE': _write_item,
    'COMMIT': _commit,
    'ROLLBACK': _roll_back,
    'PREPARE': _prepare,
    'STATUS': _report_status,
    'DEMOTE': _demote,
}
