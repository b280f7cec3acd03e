"""Guards error reports: each error once, with a remedy, no traceback."""

import io
import random

import pytest

from poplarspoke import context as contexts
from poplarspoke import core, errors, logs
from poplarspoke.cli import execution
from poplarspoke.generated.common import ErrorCode
from poplarspoke.status import ExitStatus


def create_context(**environment: str) -> contexts.Context:
    """Returns a context with a fixed clock, seed and streams in memory."""
    stderr = io.StringIO()
    return contexts.Context(
        now_s=float,
        wall_s=float,
        random=random.Random(0),
        stdin=io.StringIO(),
        stdout=io.StringIO(),
        stderr=stderr,
        environment=environment,
        settings=None,
        log=logs.Log(stderr, wall_s=float),
    )


def read_output(context: contexts.Context) -> tuple[str, str]:
    """Returns standard output and standard error."""
    assert isinstance(context.stdout, io.StringIO)
    assert isinstance(context.stderr, io.StringIO)
    return context.stdout.getvalue(), context.stderr.getvalue()


@pytest.mark.parametrize(
    ('args', 'status', 'expected'),
    [
        (['shwo'], ExitStatus.USAGE, "did you mean 'show'"),
        (['show', '--jsn'], ExitStatus.USAGE, '--jsn'),
        (['hosts'], ExitStatus.USAGE, 'POPLARSPOKE_AT'),
        (['change', 'a'], ExitStatus.USAGE, 'lacks --value, --who'),
        (['check', '/no/file'], ExitStatus.REFUSED, 'No such file'),
        (['daemon'], ExitStatus.USAGE, 'lacks --file'),
    ],
)
def test_error_is_reported_once(
    args: list[str],
    status: ExitStatus,
    expected: str,
) -> None:
    """Guards against errors reported twice, on stdout or without a remedy."""
    context = create_context()
    assert core.run(args, context) is status
    output, report = read_output(context)
    assert not output
    assert report.startswith('poplarspoke: error: ')
    assert report.count('error:') == 1
    assert expected in report
    assert ';' in report


def test_unexpected_error_shows_no_traceback(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against leaked error texts, which may hold statements or keys."""
    monkeypatch.setattr(execution, 'run', _fail)
    context = create_context()
    assert core.run(['hosts'], context) is ExitStatus.INTERNAL
    report = read_output(context)[1]
    assert 'internal fault ValueError at test_core.py' in report
    assert 'Traceback' not in report
    assert 'MARKED' not in report


def _fail(*_args: object) -> ExitStatus:
    raise ValueError('MARKED')


def test_cause_inside_groups_is_reported() -> None:
    """Guards against a report of the group that task groups raise."""
    cause = errors.SettingsError('zone lacks')
    group = ExceptionGroup('a', [ExceptionGroup('b', [cause])])
    assert core.find_root_cause(group) is cause


@pytest.mark.parametrize('code', list(ErrorCode))
def test_every_code_has_a_status_and_remedy(code: ErrorCode) -> None:
    """Guards against a refusal that is reported as success."""
    exc = errors.RefusedError(errors.refuse(code, 'what'))
    assert core.get_exit_status(exc) is not ExitStatus.SUCCESS
    assert core.describe(exc).startswith('what; ')


def test_mistyped_key_is_not_in_the_report() -> None:
    """Guards against printing a key that was typed as a command."""
    context = create_context()
    core.run(['pk_a_MARKEDSECRET'], context)
    assert 'MARKEDSECRET' not in read_output(context)[1]
