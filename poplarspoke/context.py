"""Dependencies of a run: clocks, random source, streams and log.

Nothing else reads a clock, a random source or a standard stream, so that tests
can pass their own.
"""

import os
import random
import sys
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple, TextIO

from poplarspoke import logs
from poplarspoke.generated.daemon import DaemonSettings


class Context(NamedTuple):
    """Dependencies of a run on its environment.

    Attributes:
        now_s: Monotonic clock in seconds, for durations and ages.
        wall_s: Wall clock in seconds since 1970, for output and to number the
            starts of a daemon; it may jump, so no duration is taken from it.
        random: Random source; tests pass a seeded one.
        stdin: Input of the operator.
        stdout: Results.
        stderr: Errors and log lines.
        environment: Environment variables; a daemon does not read them.
        settings: Settings of the daemon, None in a command.
        log: Structured log.
    """

    now_s: Callable[[], float]
    wall_s: Callable[[], float]
    random: random.Random
    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    environment: Mapping[str, str]
    settings: DaemonSettings | None
    log: logs.Log


def create_context() -> Context:
    """Returns the context of this process, without daemon settings."""
    return Context(
        now_s=time.monotonic,
        wall_s=time.time,
        random=random.SystemRandom(),
        stdin=sys.stdin,
        stdout=sys.stdout,
        stderr=sys.stderr,
        environment=os.environ,
        settings=None,
        log=logs.Log(sys.stderr, wall_s=time.time),
    )


def add_settings(context: Context, settings: DaemonSettings) -> Context:
    """Returns the context of a daemon, whose log names host and zone."""
    log = logs.Log(
        context.stderr,
        wall_s=context.wall_s,
        level=settings.get('log_level', 'INFO'),
        secrets=tuple(map(str, settings['secrets'].values())),
    )
    return context._replace(
        settings=settings,
        log=log.bind(host=settings['name'], zone=settings['zone']),
    )
