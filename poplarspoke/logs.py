"""Structured log with one JSON object a line.

A line has only the fields of ``LogFields``; a field with another name is left
out and its name is listed. No field is meant for a key, a token, a statement or
its parameters. Exceptions are written as their type, code and place, since
their text may quote a caller's values.
"""

import copy
import functools
import io
import json
import logging
import os
import re
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import Any, Self, TextIO, TypedDict, Unpack

import logbook

from poplarspoke import codec

MAX_TEXT_CHARACTERS = 512
MAX_FRAMES = 6
MAX_UNWRITTEN_BYTES = 65536  # Size of a pipe.
MIN_SECRET_CHARACTERS = 8
REPLACEMENT = '[secret]'
# Keys are pk_<key id>_<secret>; the id may be shown, the secret may not.
KEY_PATTERN = re.compile(r'(pk_[^_\s]*_)\S+')
BEARER_PATTERN = re.compile(r'(?i)(bearer\s+)\S+')


class LogFields(TypedDict, total=False):
    """Names of all fields that a log line may have.

    ``reason`` and ``evidence`` are texts of this program, never of a caller or
    an endpoint.
    """

    age_s: float
    change_id: str
    code: str
    connection: int
    count: int
    database: str
    duration_s: float
    endpoint: str
    error: str
    evidence: str
    frames: list[str]
    host: str
    library: str
    outcome: str
    path: str
    peer: str
    port: int
    reason: str
    request_id: str
    role: str
    route: str
    setting: str
    settings_version: int
    status: int
    task: str
    term: int
    transaction: str
    who: str
    workspace: str
    zone: str


FIELD_NAMES = frozenset(LogFields.__annotations__)


class Redactor:
    """Replaces secrets in texts."""

    def __init__(self, secrets: Iterable[str] = ()) -> None:
        """Takes the secrets that this process knows."""
        self._secrets = tuple(
            secret for secret in secrets if len(secret) >= MIN_SECRET_CHARACTERS
        )

    def redact(self, text: str) -> str:
        """Returns the text without keys, bearer tokens and known secrets."""
        for secret in self._secrets:
            text = text.replace(secret, REPLACEMENT)
        text = KEY_PATTERN.sub(rf'\1{REPLACEMENT}', text)
        return BEARER_PATTERN.sub(rf'\1{REPLACEMENT}', text)


@functools.singledispatch
def redact_all(node: Any, redactor: Redactor) -> Any:
    """Returns plain data with every text in it redacted."""
    return node


@redact_all.register
def _(node: str, redactor: Redactor) -> Any:
    return redactor.redact(node)[:MAX_TEXT_CHARACTERS]


@redact_all.register
def _(node: list, redactor: Redactor) -> Any:  # type: ignore[type-arg]
    return [redact_all(entry, redactor) for entry in node]


@redact_all.register
def _(node: dict, redactor: Redactor) -> Any:  # type: ignore[type-arg]
    return {
        redactor.redact(str(name)): redact_all(entry, redactor)
        for name, entry in node.items()
    }


class BoundedStream(io.TextIOBase):
    """Writes lines to a descriptor and drops them while nobody reads it.

    A full pipe must not stop the process that writes its log to it.
    """

    def __init__(self, descriptor: int) -> None:
        """Takes an open descriptor and makes it non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''
        self._dropped = 0

    def write(self, text: str) -> int:
        """Writes text that ends with a line, or drops it."""
        if len(self._rest) > MAX_UNWRITTEN_BYTES:
            self._dropped += 1
            self._flush()
            return len(text)
        if self._dropped:
            note = {'event': 'log_lines_dropped', 'count': self._dropped}
            text = f'{json.dumps(note)}\n{text}'
            self._dropped = 0
        self._rest += text.encode()
        self._flush()
        return len(text)

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            # What could not be written is kept up to its bound.
            return
        self._rest = self._rest[written:]


class Log:
    """Writes events to a stream, one JSON object a line."""

    def __init__(
        self,
        stream: TextIO | BoundedStream,
        *,
        wall_s: Callable[[], float],
        level: str = 'INFO',
        secrets: Iterable[str] = (),
    ) -> None:
        """Keeps where lines go.

        Args:
            stream: Stream that the lines are written to.
            wall_s: Wall clock in seconds since 1970.
            level: Lowest level that is written.
            secrets: Texts that must never be written.
        """
        self._logger = _JsonLogger(stream, level)
        self._wall_s = wall_s
        self._redactor = Redactor(secrets)
        self._fields = LogFields()

    def bind(self, **fields: Unpack[LogFields]) -> Self:
        """Returns a log whose lines also have these fields."""
        bound = copy.copy(self)
        bound._fields = {**self._fields, **fields}
        return bound

    def debug(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Writes an event that helps to follow one request."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Writes an event of normal operation."""
        self._write(logbook.INFO, event, fields)

    def warning(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Writes an event that operators may have to act on."""
        self._write(logbook.WARNING, event, fields)

    def error(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Writes an event that operators have to act on."""
        self._write(logbook.ERROR, event, fields)

    def failure(
        self,
        event: str,
        exc: BaseException,
        **fields: Unpack[LogFields],
    ) -> None:
        """Writes an error with its type, code and place, without its text."""
        fields['error'] = type(exc).__name__
        fields['frames'] = list_frames(exc)
        code = getattr(exc, 'code', None)
        if code is not None:
            fields['code'] = str(codec.to_object(code))
        self._write(logbook.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: LogFields) -> None:
        if level < self._logger.level:
            return
        line: dict[str, Any] = {
            'time_s': round(self._wall_s(), 3),
            'level': logbook.get_level_name(level),
            'event': event,
        }
        omitted: list[str] = []
        for name, entry in {**self._fields, **fields}.items():
            if name not in FIELD_NAMES:
                omitted.append(name)
                continue
            line[name] = entry
        if omitted:
            line['omitted'] = sorted(omitted)
        plain = redact_all(codec.to_object(line), self._redactor)
        self._logger.log(level, json.dumps(plain, default=_name_type))


class _JsonLogger(logbook.Logger):  # type: ignore[misc]
    """Logger with one handler, independent of logbook's global stack."""

    def __init__(self, stream: TextIO | BoundedStream, level: str) -> None:
        """Creates the handler; the message is already one JSON object."""
        super().__init__('poplarspoke', logbook.lookup_level(level))
        self._handler = logbook.StreamHandler(stream, level=self.level)
        self._handler.format_string = '{record.message}'

    def call_handlers(self, record: logbook.LogRecord) -> None:
        """Passes a record to the one handler."""
        self._handler.handle(record)


class LibraryCapture(logging.Handler):
    """Sends the messages of libraries to the log; a context manager.

    Libraries write tracebacks and values; only their name, level and the type
    of an exception are kept.
    """

    def __init__(self, log: Log) -> None:
        """Keeps the log that the messages go to."""
        super().__init__(logging.WARNING)
        self._log = log
        self._unraisable = sys.unraisablehook

    def __enter__(self) -> Self:
        """Starts to receive the messages of libraries."""
        logging.getLogger().addHandler(self)
        sys.unraisablehook = self._write_unraisable
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stops receiving messages."""
        logging.getLogger().removeHandler(self)
        sys.unraisablehook = self._unraisable

    def emit(self, record: logging.LogRecord) -> None:
        """Writes the origin of a message, without its text."""
        exc = record.exc_info[1] if record.exc_info else None
        if exc is None:
            self._log.warning('library_message', library=record.name)
            return
        self._log.failure('library_failure', exc, library=record.name)

    def _write_unraisable(self, unraisable: 'sys.UnraisableHookArgs') -> None:
        if unraisable.exc_value is not None:
            self._log.failure('unraisable', unraisable.exc_value)


def _name_type(node: object) -> str:
    """Returns the type's name, since an unknown value may be a secret."""
    return type(node).__name__


def list_frames(exc: BaseException) -> list[str]:
    """Returns file, line and function of the innermost frames."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    return [
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno} {frame.name}'
        for frame in frames
    ]
