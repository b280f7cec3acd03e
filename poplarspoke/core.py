"""Runs the command line and reports its errors.

Every error is reported once, here, as ``poplarspoke: error: what; what to do``.
No traceback reaches an operator.
"""

import functools
import sys
from collections.abc import Sequence

from poplarspoke import errors, logs
from poplarspoke.cli import arguments, client, execution
from poplarspoke.context import Context, create_context
from poplarspoke.generated.common import ErrorCode
from poplarspoke.status import ExitStatus

PROGRAM = 'poplarspoke'
EXIT_STATUSES: dict[ErrorCode, ExitStatus] = {
    ErrorCode.INTERNAL: ExitStatus.INTERNAL,
    ErrorCode.CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.STORE_UNAVAILABLE: ExitStatus.UNREACHABLE,
    ErrorCode.OUTCOME_UNKNOWN: ExitStatus.UNREACHABLE,
    ErrorCode.NO_ENDPOINT: ExitStatus.UNREACHABLE,
}


def main() -> ExitStatus:
    """Runs the command line of this process and returns its exit status."""
    context = create_context()
    with logs.LibraryCapture(context.log):
        return run(sys.argv[1:], context)


def run(args: Sequence[str], context: Context) -> ExitStatus:
    """Runs a command line and reports its error, if any.

    Args:
        args: Arguments without the name of the program.
        context: Clock, random source, streams and log.
    """
    try:
        return execution.run(arguments.parse(args), context)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output closed the pipe, so nothing can be shown.
        return ExitStatus.INTERNAL
    except Exception as exc:
        cause = find_root_cause(exc)
        text = logs.Redactor().redact(describe(cause))
        context.stderr.write(f'{PROGRAM}: error: {text}\n')
        return get_exit_status(cause)


def find_root_cause(exc: BaseException) -> BaseException:
    """Returns the error inside the exception groups of task groups."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


@functools.singledispatch
def describe(exc: BaseException) -> str:
    """Returns what is wrong and what to do.

    The text of an unexpected exception is omitted, since it may quote a
    statement or a key.
    """
    place = ' < '.join(reversed(logs.list_frames(exc)))
    remedy = errors.ERROR_KINDS[ErrorCode.INTERNAL].remedy
    return f'internal fault {type(exc).__name__} at {place}; {remedy}'


@describe.register
def _(exc: errors.PoplarspokeError) -> str:
    return errors.refuse_from(exc).message


@describe.register
def _(exc: arguments.UsageError) -> str:
    return str(exc)


@describe.register
def _(exc: client.CommandError) -> str:
    return str(exc)


@functools.singledispatch
def get_exit_status(exc: BaseException) -> ExitStatus:
    """Returns the exit status for an error."""
    return ExitStatus.INTERNAL


@get_exit_status.register
def _(exc: errors.PoplarspokeError) -> ExitStatus:
    return EXIT_STATUSES.get(exc.code, ExitStatus.REFUSED)


@get_exit_status.register
def _(exc: arguments.UsageError) -> ExitStatus:
    return ExitStatus.USAGE


@get_exit_status.register
def _(exc: client.CommandError) -> ExitStatus:
    return exc.status
