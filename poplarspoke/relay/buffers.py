"""Codec of the session protocol, and received bytes that hold its lines."""

from collections.abc import Callable
from typing import Any, NamedTuple

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import (
    OpenConnection,
    RefuseSession,
    SendAnswer,
)

LINE_END = b'\r\n'


class Codec(NamedTuple):
    """Functions that encode and decode the session protocol.

    Attributes:
        decode_caller_line: Returns the message in a line of a session.
        encode_answer: Returns the lines of an answer to a caller.
        encode_started: Returns the answer to a session that has started.
        encode_refusal: Returns the answer to a session that may not start.
        encode_start: Returns the first message on a connection to an endpoint.
        encode_statement: Returns the message that runs a statement on an
            endpoint, given the required position and the alias.
        create_reader: Returns a reader of an endpoint's answers on a
            connection.
        error: Exception that these raise for malformed input.
        max_message_bytes: Maximum length of one message.
    """

    decode_caller_line: Callable[[int, str], Any]
    encode_answer: Callable[[SendAnswer], bytes]
    encode_started: Callable[[], bytes]
    encode_refusal: Callable[[RefuseSession], bytes]
    encode_start: Callable[[OpenConnection], bytes]
    encode_statement: Callable[[Any, Position, str], bytes]
    create_reader: Callable[[int], Any]
    error: type[Exception]
    max_message_bytes: int


def decode_text(received: bytes | bytearray, codec: Codec) -> str:
    """Returns the text of a line that was received without its end.

    Raises:
        ValueError: The line holds a stray line break, which could smuggle a
            second message into the first.
    """
    line = received.decode('latin-1')
    if '\n' in line or '\r' in line:
        raise codec.error('stray line break')
    return line


class LineBuffer:
    """Received bytes that are taken out line by line.

    Attributes:
        content: The bytes that have not been taken.
    """

    def __init__(self, codec: Codec) -> None:
        """Starts with an empty buffer."""
        self._codec = codec
        self.content = bytearray()
        # Bytes at the start that are known to hold no end of a line.
        self._searched = 0

    def add(self, received: bytes) -> None:
        """Appends received bytes."""
        self.content += received

    def clear(self) -> None:
        """Discards all bytes."""
        self.content = bytearray()
        self._searched = 0

    def take(self) -> str | None:
        """Removes the first line and returns it, None if it is incomplete.

        Raises:
            ValueError: The line is too long or holds a stray line break.
        """
        end = self.content.find(LINE_END, self._searched)
        length = len(self.content) if end < 0 else end
        if length > self._codec.max_message_bytes:
            raise self._codec.error('message too long')
        if end < 0:
            # The end may have been received in part.
            self._searched = max(length - 1, 0)
            return None
        following = end + len(LINE_END)
        line = decode_text(self.content[:end], self._codec)
        # Unlike a slice, this does not copy what remains.
        del self.content[:following]  # noqa: WPS420
        self._searched = 0
        return line
