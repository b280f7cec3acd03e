"""Structured log with one JSON object per line.

A line has only the fields of ``LogFields``; other fields are omitted and their
names are listed as ``omitted``. No field holds a key, a token, a statement or
its parameters. Exceptions are logged with type, code and stack frames, without
their text, which may quote a caller's values.
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
MAX_STACK_FRAMES = 6
MAX_UNWRITTEN_BYTES = 65536  # Default capacity of a Linux pipe.
MIN_SECRET_CHARACTERS = 8
REPLACEMENT = '[secret]'
# Keys have the form pk_<key id>_<secret>; only the id may be logged.
KEY_PATTERN = re.compile(r'(pk_[^_\s]*_)\S+')
BEARER_PATTERN = re.compile(r'(?i)(bearer\s+)\S+')


class LogFields(TypedDict, total=False):
    """All fields that a log line may have.

    ``reason`` and ``evidence`` are texts of this program, never input of a
    caller or an endpoint.
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
    gateway: str
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
        """Stores the secrets that this process knows; ignores short ones."""
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
def redact_nested(node: Any, redactor: Redactor) -> Any:
    """Returns plain data with every text in it redacted and truncated."""
    return node


@redact_nested.register
def _(node: str, redactor: Redactor) -> Any:
    return redactor.redact(node)[:MAX_TEXT_CHARACTERS]


@redact_nested.register
def _(node: list, redactor: Redactor) -> Any:  # type: ignore[type-arg]
    return [redact_nested(entry, redactor) for entry in node]


@redact_nested.register
def _(node: dict, redactor: Redactor) -> Any:  # type: ignore[type-arg]
    return {
        redactor.redact(str(name)): redact_nested(entry, redactor)
        for name, entry in node.items()
    }


class BoundedStream(io.TextIOBase):
    """Writes lines to a file descriptor without blocking.

    Lines are dropped while the pipe is full and the buffer has reached its
    limit: a reader that stops reading must not block the process.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes the open file descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b''
        self._dropped = 0

    def write(self, text: str) -> int:
        """Writes whole lines, or drops them if the buffer is full."""
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._dropped += 1
            self._flush()
            return len(text)
        if self._dropped:
            notice = {'event': 'log_lines_dropped', 'count': self._dropped}
            text = f'{json.dumps(notice)}\n{text}'
            self._dropped = 0
        self._unwritten += text.encode()
        self._flush()
        return len(text)

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            # The unwritten bytes stay in the buffer.
            return
        self._unwritten = self._unwritten[written:]


class Log:
    """Writes events to a stream, one JSON object per line."""

    def __init__(
        self,
        stream: TextIO | BoundedStream,
        *,
        wall_s: Callable[[], float],
        level: str = 'INFO',
        secrets: Iterable[str] = (),
    ) -> None:
        """Creates a log.

        Args:
            stream: Stream to which the lines are written.
            wall_s: Wall clock in seconds since 1970.
            level: Minimum level to log.
            secrets: Texts to redact.
        """
        self._logger = _JsonLogger(stream, level)
        self._wall_s = wall_s
        self._redactor = Redactor(secrets)
        self._fields = LogFields()

    def bind(self, **fields: Unpack[LogFields]) -> Self:
        """Returns a log that adds these fields to each line."""
        bound = copy.copy(self)
        bound._fields = {**self._fields, **fields}
        return bound

    def debug(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Logs an event that helps to trace a single request."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Logs an event of normal operation."""
        self._write(logbook.INFO, event, fields)

    def warning(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Logs an event that may require action by operators."""
        self._write(logbook.WARNING, event, fields)

    def error(self, event: str, **fields: Unpack[LogFields]) -> None:
        """Logs an event that requires action by operators."""
        self._write(logbook.ERROR, event, fields)

    def failure(
        self,
        event: str,
        exc: BaseException,
        **fields: Unpack[LogFields],
    ) -> None:
        """Logs an exception with type, code and stack frames, without its text."""
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
        plain = redact_nested(codec.to_object(line), self._redactor)
        self._logger.log(level, json.dumps(plain, default=_get_type_name))


class _JsonLogger(logbook.Logger):  # type: ignore[misc]
    """Logger with a single handler, independent of logbook's global stack."""

    def __init__(self, stream: TextIO | BoundedStream, level: str) -> None:
        """Creates the handler, which writes messages as they are."""
        super().__init__('poplarspoke', logbook.lookup_level(level))
        self._handler = logbook.StreamHandler(stream, level=self.level)
        self._handler.format_string = '{record.message}'

    def call_handlers(self, record: logbook.LogRecord) -> None:
        """Passes a record to the handler."""
        self._handler.handle(record)


class LibraryCapture(logging.Handler):
    """Redirects log messages of libraries to the log; a context manager.

    Libraries log values and tracebacks, which may hold secrets. Only the name
    of the library and the type, code and stack frames of an exception are
    logged.
    """

    def __init__(self, log: Log) -> None:
        """Stores the log to which messages are redirected."""
        super().__init__(logging.WARNING)
        self._log = log
        self._unraisable = sys.unraisablehook

    def __enter__(self) -> Self:
        """Installs the handlers."""
        logging.getLogger().addHandler(self)
        sys.unraisablehook = self._write_unraisable
        return self

    def __exit__(self, *_exc: object) -> None:
        """Removes the handlers."""
        logging.getLogger().removeHandler(self)
        sys.unraisablehook = self._unraisable

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the library of a message, without its text."""
        exc = record.exc_info[1] if record.exc_info else None
        if exc is None:
            self._log.warning('library_message', library=record.name)
            return
        self._log.failure('library_failure', exc, library=record.name)

    def _write_unraisable(self, unraisable: 'sys.UnraisableHookArgs') -> None:
        if unraisable.exc_value is not None:
            self._log.failure('unraisable', unraisable.exc_value)


def _get_type_name(node: object) -> str:
    """Returns the name of the type; an unknown object may hold a secret."""
    return type(node).__name__


def list_frames(exc: BaseException) -> list[str]:
    """Returns file, line and function of the innermost frames."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_STACK_FRAMES:]
    return [
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno} {frame.name}'
        for frame in frames
    ]
