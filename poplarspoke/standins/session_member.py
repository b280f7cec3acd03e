"""Stand-in of a database service that speaks the session protocol.

All members of the service run in one process and share one log, so that
replicas see each commit immediately.
"""

import functools
from typing import Any, NamedTuple, Self, TypedDict

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

MAX_LINE_BYTES = 1048576
LINE_END = b'\r\n'


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
        self._names = members
        self._group: TaskGroup

    async def __aenter__(self) -> Self:
        """Binds a listener for each member."""
        self._group = await anyio.create_task_group().__aenter__()
        for name in self._names:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            address = listener.extra(SocketAttribute.local_address)
            self.members.append(Member(name, int(address[1])))
            serve = functools.partial(self._serve, name)
            self._group.start_soon(listener.serve, serve)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the listeners and connections."""
        self._group.cancel_scope.cancel()
        await self._group.__aexit__(None, None, None)

    def promote(self, name: str) -> None:
        """Makes a member the primary of the next term."""
        self.log['primary'] = name
        self.log['term'] += 1

    async def _serve(self, member: str, stream: ByteStream) -> None:
        lines = BufferedByteReceiveStream(stream)
        session = Session(
            member=member, phase='I', written={}, prepared={}, request=''
        )
        async with stream:
            try:
                await self._serve_lines(session, stream, lines)
            except (
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

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
        await stream.send(f'READY I {_format_position(self.log)}\r\n'.encode())
        while True:
            line = await _receive_line(lines)
            answer = self._answer(session, line)
            ready = f'READY {session["phase"]} {_format_position(self.log)}'
            text = '\r\n'.join((*answer, ready, ''))
            await stream.send(text.encode())

    def _answer(self, session: Session, line: str) -> list[str]:
        _word, request, text = line.split(' ', 2)
        session['request'] = request
        verb, _, fields = text.partition(' ')
        if verb == 'AFTER':
            _position, _, text = fields.partition(' ')
            verb, _, fields = text.partition(' ')
        if verb == 'EXECUTE':
            name, _, fields = fields.partition(' ')
            if name not in session['prepared']:
                return ['ERROR NOSTMT unknown name']
            verb = session['prepared'][name]
        run = STATEMENTS.get(verb, _acknowledge)
        answer: list[str] = run(self.log, session, fields)
        return answer


async def _receive_line(lines: BufferedByteReceiveStream) -> str:
    line = await lines.receive_until(LINE_END, MAX_LINE_BYTES)
    return line.decode()


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
    'DEMOTE': _report_status,
}
