"""Codec of the session protocol that callers and endpoints speak.

A message is a line: a keyword and its fields, separated by spaces; the last
field extends to the end of the line.
"""

import functools
from collections.abc import Callable
from typing import Any

from poplarspoke.generated.common import Position
from poplarspoke.generated.control import EndpointState, QueryEndpoint
from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    CommitTransaction,
    DeallocateStatement,
    EndpointAnswered,
    ExecutePrepared,
    OpenConnection,
    PrepareStatement,
    ReadItem,
    RefuseSession,
    RollBackTransaction,
    SendAnswer,
    SessionClosed,
    SessionPhase,
    SetValue,
    StartSession,
    UnknownStatement,
    WriteItem,
)
from poplarspoke.generated.rules import EndpointRole

MAX_MESSAGE_BYTES = 1048576  # Limit of the protocol.
SYSTEM_REQUEST_ID = '-'
UNKNOWN_POSITION = '-'
CODE_WORDS = {
    AnswerCode.BUSY: 'BUSY',
    AnswerCode.ABORTED: 'ABORTED',
    AnswerCode.LAGGING: 'LAGGING',
    AnswerCode.READ_ONLY: 'READONLY',
    AnswerCode.MISROUTED: 'MISROUTED',
    AnswerCode.TOO_MANY: 'TOOMANY',
    AnswerCode.FAILED: 'FAILED',
    AnswerCode.NO_STATEMENT: 'NOSTMT',
    AnswerCode.TIMEOUT: 'TIMEOUT',
    AnswerCode.KEY_REFUSED: 'NOAUTH',
    AnswerCode.UNKNOWN_DATABASE: 'NODB',
    AnswerCode.TOO_LARGE: 'TOOLARGE',
    AnswerCode.MALFORMED: 'MALFORMED',
    AnswerCode.UNKNOWN_OUTCOME: 'INDOUBT',
}
CODES = {word: code for code, word in CODE_WORDS.items()}
PHASES = {
    'I': SessionPhase.IDLE,
    'T': SessionPhase.OPEN,
    'E': SessionPhase.FAILED,
}
ROLES = {'primary': EndpointRole.PRIMARY, 'replica': EndpointRole.REPLICA}
STATE_FIELDS = 7
PHASE_WORDS = {phase: word for word, phase in PHASES.items()}


class ProtocolError(ValueError):
    """A caller or an endpoint sent an invalid message."""


def decode_caller_line(session: int, line: str) -> Any:
    """Returns the message of a caller's line.

    Raises:
        ProtocolError: The line is not a message that a caller may send.
    """
    word, _, rest = line.partition(' ')
    if word == 'QUERY':
        return _decode_query(session, rest)
    if word == 'START':
        database, _, key = rest.partition(' ')
        return StartSession(session, database, key)
    if word == 'TERMINATE':
        return SessionClosed(session)
    raise ProtocolError('unknown message')


def _decode_query(session: int, rest: str) -> Any:
    request_id, _, text = rest.partition(' ')
    verb, _, fields = text.partition(' ')
    decode = STATEMENTS.get(verb)
    message = decode and decode(session, request_id, text, fields)
    return message or UnknownStatement(session, request_id)


def encode_answer(answer: SendAnswer) -> bytes:
    """Returns the lines of an answer to a caller."""
    lines = [f'ROW {row}' for row in answer.rows]
    if answer.code is AnswerCode.DONE:
        lines.append(f'COMPLETE {answer.detail or "-"}')
    else:
        lines.append(f'ERROR {CODE_WORDS[answer.code]} {answer.detail}')
    # Positions are not part of the interface for callers.
    lines.append(f'READY {PHASE_WORDS[answer.phase]} {UNKNOWN_POSITION}\r\n')
    return '\r\n'.join(lines).encode('latin-1', 'replace')


def encode_started() -> bytes:
    """Returns the answer to a session that has started."""
    return b'READY I -\r\n'


def encode_refusal(refusal: RefuseSession) -> bytes:
    """Returns the answer to a session that is refused."""
    return f'ERROR {CODE_WORDS[refusal.code]} {refusal.detail}\r\n'.encode(
        'latin-1'
    )


def encode_start(message: OpenConnection) -> bytes:
    """Returns the first message on a connection to an endpoint."""
    # Endpoints receive the name of the workspace, never its key.
    name = message.workspace or SYSTEM_REQUEST_ID
    line = f'START {message.service} {name} {message.endpoint}\r\n'
    return line.encode('latin-1')


def encode_statement(statement: Any, after: Position, alias: str) -> bytes:
    """Returns the message that makes an endpoint run a statement.

    Args:
        statement: Statement of a caller, or of the system with the id ``-``.
        after: Position that the endpoint must have reached; term 0 for none.
        alias: Name of the prepared statement on this connection.
    """
    text = render_text(statement, alias)
    prefix = ''
    if after.term:
        prefix = f'AFTER {after.term}.{after.position} '
    line = f'QUERY {statement.request_id} {prefix}{text}\r\n'
    return line.encode('latin-1')


def encode_state_query(demote_term: int) -> bytes:
    """Returns the query of an endpoint's state, or its demotion."""
    text = f'DEMOTE {demote_term}' if demote_term else 'STATUS'
    return f'QUERY {SYSTEM_REQUEST_ID} {text}\r\n'.encode()


def decode_state(query: QueryEndpoint, row: str) -> EndpointState:
    """Returns the state in an endpoint's answer.

    Raises:
        ProtocolError: The row is not a state.
    """
    fields = row.split()
    if len(fields) < STATE_FIELDS or fields[0] not in ROLES:
        raise ProtocolError('invalid endpoint state')
    received = decode_position(fields[2])
    return EndpointState(
        query.service,
        query.endpoint,
        answered=True,
        role=ROLES[fields[0]],
        # The second field is the newest term that the endpoint knows.
        term=int(fields[1]),
        received=received,
        asked_s=query.asked_s,
    )


class AnswerReader:
    """Collects the lines of an endpoint's answers."""

    def __init__(self, connection: int) -> None:
        """Creates a reader without any lines.

        Args:
            connection: Number of the connection, part of the answers.
        """
        self._connection = connection
        self._rows: list[str] = []
        self._code: AnswerCode | None = None
        self._detail = ''

    def read_line(self, line: str) -> EndpointAnswered | None:
        """Returns the complete answer after its last line, else None.

        Raises:
            ProtocolError: The line is not a message of an endpoint.
        """
        word, _, rest = line.partition(' ')
        if word == 'ROW':
            self._rows.append(rest)
        elif word == 'COMPLETE':
            self._code = AnswerCode.DONE
            self._detail = rest
        elif word == 'ERROR':
            name, _, detail = rest.partition(' ')
            self._detail = detail
            self._code = CODES.get(name, AnswerCode.FAILED)
        elif word == 'READY':
            return self._finish(rest)
        else:
            raise ProtocolError('unknown answer')
        return None

    def discard_rows(self) -> None:
        """Discards the rows that the current answer has had so far."""
        self._rows.clear()

    @property
    def refusal(self) -> AnswerCode:
        """Code of an error whose ``READY`` line has not arrived yet."""
        return self._code or AnswerCode.DONE

    def _finish(self, rest: str) -> EndpointAnswered:
        phase, _, position = rest.partition(' ')
        if phase not in PHASES:
            raise ProtocolError('unknown phase')
        answer = EndpointAnswered(
            self._connection,
            AnswerCode.DONE if self._code is None else self._code,
            tuple(self._rows),
            self._detail,
            PHASES[phase],
            decode_position(position),
        )
        self._rows = []
        self._code = None
        self._detail = ''
        return answer


def decode_position(text: str) -> Position:
    """Returns a log position; term 0 if it is unknown.

    Raises:
        ProtocolError: The text is not a position.
    """
    if text == UNKNOWN_POSITION:
        return Position()
    term, _, number = text.partition('.')
    try:
        return Position(int(term), int(number))
    except ValueError as exc:
        raise ProtocolError('invalid position') from exc


@functools.singledispatch
def render_text(statement: Any, alias: str) -> str:
    """Returns the text of a statement; callers' texts are unchanged."""
    raise TypeError(f'{type(statement).__name__} is not a statement')


@render_text.register
def _(statement: ReadItem, alias: str) -> str:
    return statement.text


@render_text.register
def _(statement: WriteItem, alias: str) -> str:
    return statement.text


@render_text.register
def _(statement: ExecutePrepared, alias: str) -> str:
    return f'EXECUTE {alias} {statement.arguments}'


@render_text.register
def _(statement: PrepareStatement, alias: str) -> str:
    verb = 'WRITE' if statement.writes else 'READ'
    return f'PREPARE {alias} {verb} {statement.shape}'


@render_text.register
def _(statement: SetValue, alias: str) -> str:
    return f'SET {statement.name} {statement.content}'


@render_text.register
def _(statement: BeginTransaction, alias: str) -> str:
    return 'BEGIN READ' if statement.read_only else 'BEGIN'


@render_text.register
def _(statement: CommitTransaction, alias: str) -> str:
    return 'COMMIT'


@render_text.register
def _(statement: RollBackTransaction, alias: str) -> str:
    return 'ROLLBACK'


def _decode_begin(session: int, request: str, text: str, fields: str) -> Any:
    if fields not in {'', 'READ'}:
        return None
    return BeginTransaction(session, request, fields == 'READ')


def _decode_commit(session: int, request: str, text: str, fields: str) -> Any:
    return None if fields else CommitTransaction(session, request)


def _decode_rollback(session: int, request: str, text: str, fields: str) -> Any:
    return None if fields else RollBackTransaction(session, request)


def _decode_read(session: int, request: str, text: str, fields: str) -> Any:
    return ReadItem(session, request, text) if fields else None


def _decode_write(session: int, request: str, text: str, fields: str) -> Any:
    return WriteItem(session, request, text) if fields else None


def _decode_set(session: int, request: str, text: str, fields: str) -> Any:
    name, _, content = fields.partition(' ')
    return SetValue(session, request, name, content) if name else None


def _decode_prepare(session: int, request: str, text: str, fields: str) -> Any:
    name, _, rest = fields.partition(' ')
    verb, _, shape = rest.partition(' ')
    if not name or not shape or verb not in {'READ', 'WRITE'}:
        return None
    return PrepareStatement(session, request, name, verb == 'WRITE', shape)


def _decode_execute(session: int, request: str, text: str, fields: str) -> Any:
    name, _, arguments = fields.partition(' ')
    if not name or not arguments:
        return None
    return ExecutePrepared(session, request, name, arguments)


def _decode_deallocate(
    session: int, request: str, text: str, fields: str
) -> Any:
    return DeallocateStatement(session, request, fields) if fields else None


STATEMENTS: dict[str, Callable[[int, str, str, str], Any]] = {
    'BEGIN': _decode_begin,
    'COMMIT': _decode_commit,
    'ROLLBACK': _decode_rollback,
    'READ': _decode_read,
    'WRITE': _decode_write,
    'SET': _decode_set,
    'PREPARE': _decode_prepare,
    'EXECUTE': _decode_execute,
    'DEALLOC': _decode_deallocate,
}
