"""Guards the log of a daemon, its imports and its error reports."""

import io
import os
import subprocess
import sys

import pytest

from poplarspoke import context as contexts
from poplarspoke.generated.daemon import DaemonSettings
from tests.test_core import create_context

SETTINGS = DaemonSettings(
    name='sfax-1',
    zone='Sfax',
    callers='127.0.0.1:7001',
    operators='127.0.0.1:7002',
    peers='127.0.0.1:7003',
    platform='127.0.0.1:9000',
    secrets={
        'peer': 'MARKED-peer-0123456789',
        'session': 'MARKED-session-0123456789',
        'operator': 'MARKED-operator-0123456789',
    },
    log_level='DEBUG',
)


def test_log_of_a_daemon_hides_its_secrets() -> None:
    """Guards against library errors that quote a shared secret."""
    stream = io.StringIO()
    context = create_context()._replace(stderr=stream)
    context = contexts.add_settings(context, SETTINGS)
    for secret in SETTINGS['secrets'].values():
        context.log.debug('e', reason=f'got {secret}')
    text = stream.getvalue()
    assert 'MARKED' not in text
    assert text.count('"host": "sfax-1", "zone": "Sfax"') == 3


@pytest.mark.processes
def test_start_imports_no_library_of_the_command_line() -> None:
    """Guards the 32 MB memory limit of a daemon for control.

    Modules imported at the start would stay in memory.
    """
    code = (
        'import sys; from poplarspoke import core; '
        'from poplarspoke.cli import arguments; '
        'arguments.parse(["daemon", "f"]); '
        'print({"fire", "yaml", "jsonschema"} & set(sys.modules))'
    )
    ended = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=True,
        text=True,
        timeout=60,
    )
    assert ended.stdout == 'set()\n'


@pytest.mark.processes
def test_program_reports_without_traceback() -> None:
    """Guards the exit status and the one-line report, which scripts read."""
    ended = subprocess.run(
        [sys.executable, '-m', 'poplarspoke', 'hosts', '--at', '127.0.0.1:1'],
        capture_output=True,
        check=False,
        text=True,
        timeout=60,
        env={
            **os.environ,
            'POPLARSPOKE_SECRET_FILE': __file__ + '.missing',
        },
    )
    assert ended.returncode == 2
    assert ended.stderr.startswith('poplarspoke: error: ')
    assert ended.stderr.count('\n') == 1
