"""Errors with a stable code, the outcome of the request and a remedy.

Errors are raised where a problem is detected and reported once, by the interface
for callers or operators.
"""

import functools
import http
import pathlib
import traceback
from typing import NamedTuple

from poplarspoke import codec
from poplarspoke.generated.common import ErrorCode, Outcome, Refusal


class ErrorKind(NamedTuple):
    """Fixed properties of an error code.

    Attributes:
        outcome: Whether the request was not run, failed, or may have run.
        status: HTTP status of the response.
        remedy: What the caller or operator can do.
    """

    outcome: Outcome
    status: int
    remedy: str


ERROR_KINDS: dict[ErrorCode, ErrorKind] = {
    ErrorCode.INTERNAL: ErrorKind(
        Outcome.UNKNOWN,
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        'report it with the request id and the state dump of the host',
    ),
    ErrorCode.BAD_REQUEST: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.BAD_REQUEST,
        'correct the request; docs/interface.md describes it',
    ),
    ErrorCode.TOO_LARGE: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'send smaller headers or a smaller body',
    ),
    ErrorCode.UNKNOWN_ROUTE: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.NOT_FOUND,
        'use a route of the workspace; operators list them with "show"',
    ),
    ErrorCode.KEY_REFUSED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.UNAUTHORIZED,
        'use a current key of this workspace; ask an operator for a new one',
    ),
    ErrorCode.KEY_STATUS_UNKNOWN: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'repeat on a host of another zone; this one cannot learn of '
        'revoked keys',
    ),
    ErrorCode.TOKEN_REFUSED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.BAD_REQUEST,
        'send the session token of the last answer, unchanged, or none',
    ),
    ErrorCode.RATE_EXCEEDED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        'repeat after the given delay or ask an operator for a higher rate',
    ),
    ErrorCode.OVERLOADED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'repeat after a short delay or with a longer deadline',
    ),
    ErrorCode.DEADLINE_EXCEEDED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'repeat with a longer deadline',
    ),
    ErrorCode.NO_ENDPOINT: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'repeat after a short delay; no endpoint can serve it at present',
    ),
    ErrorCode.NOT_PRIMARY: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'repeat after a short delay; the primary is changing',
    ),
    ErrorCode.STATEMENT_FAILED: ErrorKind(
        Outcome.FAILED,
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        'correct the statement',
    ),
    ErrorCode.OUTCOME_UNKNOWN: ErrorKind(
        Outcome.UNKNOWN,
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'repeat with the same Idempotency-Key to learn the outcome',
    ),
    ErrorCode.TRANSACTION_ENDED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.CONFLICT,
        'begin a new transaction; this one has ended',
    ),
    ErrorCode.CONFLICT: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.CONFLICT,
        'read the current version, repeat the change on top of it',
    ),
    ErrorCode.SETTINGS_REFUSED: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        'correct the settings; nothing was changed',
    ),
    ErrorCode.FORBIDDEN: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.FORBIDDEN,
        'change only the subtree of your own team',
    ),
    ErrorCode.STORE_UNAVAILABLE: ErrorKind(
        Outcome.UNKNOWN,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'repeat with the same change id when the platform answers again',
    ),
    ErrorCode.HOST_LEAVING: ErrorKind(
        Outcome.NOT_RUN,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'repeat on another host; this one or its zone leaves service',
    ),
}


# Errors of an attempt to connect. The address may be malformed if another writer
# has left it in a row.
CONNECT_ERRORS = (OSError, TimeoutError, ValueError)


class PoplarspokeError(Exception):
    """Base class of the errors of this project.

    Attributes:
        code: Stable code, the same in every release.
        retry_after_s: Seconds to wait before a retry, 0 if unknown.
    """

    code = ErrorCode.INTERNAL

    def __init__(self, message: str, *, retry_after_s: float = 0) -> None:
        """Stores the message, which says what is wrong and what to do."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class TooLargeError(PoplarspokeError):
    """Input that exceeds a size limit."""

    code = ErrorCode.TOO_LARGE


class TokenError(PoplarspokeError):
    """A session token that was altered or belongs to another workspace."""

    code = ErrorCode.TOKEN_REFUSED


class SettingsError(PoplarspokeError):
    """Settings that violate the schema or a rule."""

    code = ErrorCode.SETTINGS_REFUSED


class StoreError(PoplarspokeError):
    """The platform did not answer; a change may have taken effect."""

    code = ErrorCode.STORE_UNAVAILABLE


class RefusedError(PoplarspokeError):
    """A refusal by another task or host."""

    def __init__(self, refusal: Refusal) -> None:
        """Copies the code and the text of a refusal message."""
        super().__init__(
            refusal.message,
            retry_after_s=refusal.retry_after_s,
        )
        self.code = refusal.code
        self.refusal = refusal


def refuse(
    code: ErrorCode,
    detail: str,
    *,
    outcome: Outcome | None = None,
    retry_after_s: float = 0,
) -> Refusal:
    """Returns a refusal that states the problem and the remedy.

    Args:
        code: Stable error code.
        detail: What is wrong, without secrets.
        outcome: Outcome to report instead of the default for the code.
        retry_after_s: Seconds to wait before a retry, 0 if unknown.
    """
    kind = ERROR_KINDS[code]
    return Refusal(
        code=code,
        outcome=kind.outcome if outcome is None else outcome,
        message=f'{detail}; {kind.remedy}',
        retry_after_s=retry_after_s,
    )


@functools.singledispatch
def refuse_from(exc: Exception) -> Refusal:
    """Returns the refusal that reports an error."""
    return refuse(ErrorCode.INTERNAL, type(exc).__name__)


@refuse_from.register
def _(exc: PoplarspokeError) -> Refusal:
    return refuse(exc.code, str(exc), retry_after_s=exc.retry_after_s)


@refuse_from.register
def _(exc: RefusedError) -> Refusal:
    return exc.refusal


@refuse_from.register
def _(exc: codec.FormatError) -> Refusal:
    return refuse(ErrorCode.BAD_REQUEST, str(exc))


def describe_unexpected(exc: Exception) -> str:
    """Returns the type of an unexpected error and where it was raised.

    The text of the error is left out: it may hold a key or a value.
    """
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return type(exc).__name__
    raised = frames[-1]
    file_name = pathlib.PurePath(raised.filename).name
    return f'{type(exc).__name__} in {file_name}:{raised.lineno}'
