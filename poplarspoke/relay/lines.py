"""Connections of callers and endpoints, which exchange lines.

A caller's lines are decoded one at a time: while a statement is under way, or
its answers are not read, further lines stay in the buffer as they were
received, and reading is paused. So what a caller sends ahead takes the memory
of its bytes, which the guard charges to it.
"""

import asyncio
from typing import Any, Protocol, cast

from poplarspoke import delivery
from poplarspoke.generated.relay import (
    AnswerCode,
    AnswersPaused,
    ConnectionLost,
    ConnectionReady,
    EndpointAnswered,
    LogDecision,
    OpenConnection,
    SessionClosed,
    SessionPhase,
)
from poplarspoke.relay.budgets import Port
from poplarspoke.relay.buffers import (
    LINE_END,
    Codec,
    LineBuffer,
    decode_text,
)
from poplarspoke.relay.guards import Guard
from poplarspoke.relay.state import RelayState

# Bytes that a caller may send ahead of a statement that is under way.
READ_AHEAD_BYTES = 65536
# Lines of one caller that are handled before others get their turn.
MAX_LINES_PER_PASS = 64
# Statements under way of less than this are not charged.
MIN_CHARGED_BYTES = 4096
# Longest answer of an endpoint: four rows of the longest permitted line. It has
# to fit into one frame to another host.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Memory that each row takes in addition to its text.
ROW_OVERHEAD_BYTES = 64


class Owner(Protocol):
    """What a connection needs of the relay that owns it."""

    state: RelayState
    codec: Codec
    guard: Guard
    unread: set['CallerProtocol']
    closing: set['CallerProtocol']
    endpoints: dict[int, asyncio.Transport | None]

    def handle(self, message: Any) -> bool:
        """Decides on a message and carries out the resulting messages."""

    def write_log(self, line: LogDecision) -> None:
        """Logs a decision."""

    def accept(self, caller: 'CallerProtocol') -> int:
        """Registers the connection of a caller and returns its session."""

    def remove(self, session: int) -> None:
        """Forgets the connection of a caller."""


class CallerProtocol(asyncio.Protocol):
    """Connection of a caller."""

    def __init__(self, relay: Owner) -> None:
        """Starts with an empty buffer."""
        self._relay = relay
        self._buffer = LineBuffer(relay.codec)
        self._running_bytes = 0
        self._kept_bytes = 0
        self._unread = False
        self._paused = False
        # Whether lines are being handled, or will be in the next pass.
        self._busy = False
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers a new session."""
        self._transport = cast(asyncio.Transport, transport)
        self._session = self._relay.accept(self)
        address = transport.get_extra_info('peername')
        self._holder = self._relay.guard.open(
            Port.CALLERS, str(address[0]) if address else '', self.discard
        )

    def data_received(self, data: bytes) -> None:
        """Handles the complete lines as far as the session may go on."""
        if self._ended:
            return
        if self._is_single_line(data):
            self._handle_line(data)
            return
        self._buffer.add(data)
        if not self._busy:
            self._handle_lines()

    def pause_writing(self) -> None:
        """Stops handling the lines of a caller that does not read."""
        self._unread = True
        self._relay.unread.add(self)
        self._holder['unread_since_s'] = self._relay.guard.now_s()
        self._relay.handle(AnswersPaused(self._session, paused=True))
        self.account()

    def resume_writing(self) -> None:
        """Goes on once the caller has read."""
        self._unread = False
        self._relay.unread.discard(self)
        self._holder['unread_since_s'] = 0
        self._relay.handle(AnswersPaused(self._session))
        self._continue()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the session."""
        self._ended = True
        self._buffer.clear()
        self._relay.unread.discard(self)
        self._relay.closing.discard(self)
        self._relay.guard.end(self._holder)
        self._relay.remove(self._session)
        self._relay.handle(SessionClosed(self._session))

    def write(self, answer: bytes) -> None:
        """Sends an answer and goes on with the next line."""
        self._transport.write(answer)
        self._running_bytes = 0
        if self._buffer.content or self._holder['held_bytes']:
            self._continue()

    def start(self, group: str) -> None:
        """Sends the answer to the first message.

        Args:
            group: Workspace or database that the session counts against.
        """
        self._holder['started'] = True
        self._holder['group'] = group
        self.write(self._relay.codec.encode_started())

    def close(self) -> None:
        """Closes the connection once what has been written is delivered."""
        self._ended = True
        self._buffer.clear()
        if self._transport.get_write_buffer_size():
            self._relay.closing.add(self)
            self._holder['unread_since_s'] = self._relay.guard.now_s()
        self._transport.close()

    def discard(self) -> None:
        """Closes the connection at once; discards what is not delivered."""
        self._ended = True
        self._buffer.clear()
        self._transport.abort()

    def is_busy(self) -> bool:
        """Returns whether lines are to be handled, or answers to be delivered."""
        return self._busy or self._transport.get_write_buffer_size() > 0

    def account(self) -> None:
        """Charges what the connection holds, and pauses or resumes reading."""
        if self._ended:
            return
        size = len(self._buffer.content)
        is_blocked = size > READ_AHEAD_BYTES and self._is_blocked()
        if is_blocked is not self._paused:
            self._paused = is_blocked
            if is_blocked:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        held_bytes = size + self._running_bytes
        session = self._relay.state['sessions'].get(self._session)
        if session is not None:
            self._kept_bytes = session['kept_bytes']
        held_bytes += self._kept_bytes
        if self._unread:
            held_bytes += self._transport.get_write_buffer_size()
        if held_bytes != self._holder['held_bytes']:
            self._relay.guard.charge(self._holder, held_bytes)

    def _is_single_line(self, data: bytes) -> bool:
        """Returns whether it is a short line that needs no buffer."""
        if self._buffer.content or self._busy or self._is_blocked():
            return False
        size = len(data)
        if size > MIN_CHARGED_BYTES:
            return False
        return data.find(LINE_END) == size - len(LINE_END)

    def _handle_line(self, data: bytes) -> None:
        self._busy = True
        try:
            self._decode(decode_text(data[: -len(LINE_END)], self._relay.codec))
        except self._relay.codec.error:
            self._end_malformed()
        finally:
            self._busy = False
        session = self._relay.state['sessions'].get(self._session)
        if session is not None and session['kept_bytes'] != self._kept_bytes:
            self.account()

    def _decode(self, line: str) -> None:
        decode = self._relay.codec.decode_caller_line
        self._relay.handle(decode(self._session, line))

    def _end_malformed(self) -> None:
        self._relay.write_log(
            LogDecision(event='session closed', reason='malformed input'),
        )
        self.discard()

    def _is_blocked(self) -> bool:
        return self._unread or self._session in self._relay.state['operations']

    def _continue(self) -> None:
        """Handles further lines after the messages that are carried out now."""
        if self._busy or self._ended:
            return
        self._busy = True
        asyncio.get_running_loop().call_soon(self._handle_next)

    def _handle_next(self) -> None:
        self._busy = False
        if self._ended:
            return
        try:
            self._handle_lines()
        except Exception:
            # As in a callback of the transport.
            self.discard()
            raise

    def _handle_lines(self) -> None:
        self._busy = True
        try:
            lines = self._take_lines()
        except self._relay.codec.error:
            self._end_malformed()
            return
        finally:
            self._busy = False
        self._note_incomplete(progress=lines > 0)
        self.account()
        if lines == MAX_LINES_PER_PASS:
            self._continue()

    def _take_lines(self) -> int:
        """Handles lines until a statement is under way; returns their number."""
        operations = self._relay.state['operations']
        for number in range(MAX_LINES_PER_PASS):
            if self._unread or self._session in operations or self._ended:
                return number
            line = self._buffer.take()
            if line is None:
                return number
            self._decode(line)
            if len(line) > MIN_CHARGED_BYTES and self._session in operations:
                self._running_bytes = len(line)
        return MAX_LINES_PER_PASS

    def _note_incomplete(self, *, progress: bool) -> None:
        if self._ended or not self._buffer.content or self._is_blocked():
            self._holder['incomplete_since_s'] = 0
        elif progress or not self._holder['incomplete_since_s']:
            self._holder['incomplete_since_s'] = self._relay.guard.now_s()


class EndpointProtocol(asyncio.Protocol):
    """Connection to an endpoint."""

    def __init__(self, relay: Owner, message: OpenConnection) -> None:
        """Starts with an endpoint that has not answered yet.

        Args:
            relay: Relay that owns the connection.
            message: Request that the connection is opened for.
        """
        self._relay = relay
        self._buffer = LineBuffer(relay.codec)
        self._message = message
        self._reader = relay.codec.create_reader(message.connection)
        self._started = False
        self._answer_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the start of the session to the endpoint."""
        self._transport = cast(asyncio.Transport, transport)
        number = self._message.connection
        self._holder = self._relay.guard.open(
            Port.ENDPOINTS, self._message.workspace, self._transport.abort
        )
        if number not in self._relay.endpoints:
            # A decision closed it while it was being opened.
            self._transport.abort()
            return
        # A statement that was given up must not run after its caller's next one.
        delivery.discard_on_close(transport.get_extra_info('socket'))
        self._relay.endpoints[number] = self._transport
        self._transport.write(self._relay.codec.encode_start(self._message))

    def data_received(self, data: bytes) -> None:
        """Handles all complete answers; aborts on malformed input."""
        try:
            self._receive(data)
        except self._relay.codec.error:
            self._relay.write_log(
                LogDecision(
                    event='connection closed',
                    reason='malformed answer',
                    endpoint=self._message.endpoint,
                ),
            )
            self._transport.abort()
        held_bytes = len(self._buffer.content) + self._answer_bytes
        if held_bytes != self._holder['held_bytes']:
            self._relay.guard.charge(self._holder, held_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the lost connection, with the code of a refused session."""
        self._relay.guard.end(self._holder)
        self._relay.endpoints.pop(self._message.connection, None)
        code = AnswerCode.DONE
        if not self._started:
            code = self._reader.refusal
        lost = ConnectionLost(self._message.connection, code, self._started)
        self._relay.handle(lost)

    def _receive(self, data: bytes) -> None:
        if not self._buffer.content and data.endswith(LINE_END):
            # Complete answers, which are the most, need no buffer.
            for part in data[: -len(LINE_END)].split(LINE_END):
                self._read_line(decode_text(part, self._relay.codec))
            return
        self._buffer.add(data)
        line = self._buffer.take()
        while line is not None:
            self._read_line(line)
            line = self._buffer.take()

    def _read_line(self, line: str) -> None:
        self._answer_bytes += len(line) + ROW_OVERHEAD_BYTES
        answer = self._reader.read_line(line)
        if answer is not None:
            self._handle_answer(answer)
        elif self._answer_bytes > MAX_ANSWER_BYTES:
            self._reader.discard_rows()

    def _handle_answer(self, answer: EndpointAnswered) -> None:
        too_long = self._answer_bytes > MAX_ANSWER_BYTES
        self._answer_bytes = 0
        if not self._started:
            self._start(answer.phase)
            return
        if too_long:
            # A truncated answer must not pass for a complete one.
            answer = answer._replace(
                code=AnswerCode.TOO_LARGE, rows=(), detail='answer too long'
            )
        self._relay.handle(answer)

    def _start(self, phase: SessionPhase) -> None:
        self._started = True
        if phase is SessionPhase.IDLE:
            self._relay.handle(ConnectionReady(self._message.connection))
