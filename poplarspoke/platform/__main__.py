"""Runs one host on the platform."""

import functools
import os
import random
import sys
import time

import anyio

from poplarspoke import errors, logs, session_host
from poplarspoke.control.queries import QueryCodec
from poplarspoke.control.state import Decoders
from poplarspoke.platform import boot, rows, statements
from poplarspoke.platform.metadata import Metadata
from poplarspoke.relay.buffers import Codec
from poplarspoke.status import ExitStatus

READY_PATH = '/readiness'


def main() -> ExitStatus:
    """Reads the settings and runs until the platform stops the process."""
    path = os.environ.get(boot.SETTINGS_VARIABLE, '')
    try:
        dependencies = create_dependencies(path)
    except errors.PoplarspokeError as exc:
        sys.stderr.write(f'poplarspoke: error: {exc}\n')
        return ExitStatus.REFUSED
    anyio.run(session_host.run, dependencies)
    return ExitStatus.SUCCESS


def create_dependencies(path: str) -> session_host.Dependencies:
    """Returns the dependencies of a host on this platform.

    Raises:
        boot.BootError: The settings file cannot be used.
    """
    settings = boot.read_settings(path)
    expected = rows.RuleFields(
        keys=not settings.keys_unused,
        rates=not settings.rates_unlimited,
    )
    stream = logs.BoundedStream(sys.stdout.fileno())
    log = logs.Log(stream, wall_s=time.time)
    return session_host.Dependencies(
        settings=settings,
        codec=create_codec(),
        query_codec=create_query_codec(),
        decoders=Decoders(
            functools.partial(rows.decode_rules, expected=expected),
            rows.decode_endpoint,
        ),
        connect=lambda: Metadata(
            settings.store_address,
            settings.duty_address,
        ),
        ready_path=READY_PATH,
        # Unlike the monotonic clock, it includes the time of suspensions.
        now_s=lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
        wall_s=time.time,
        rng=random.Random(),
        log=log.bind(host=settings.name, zone=settings.zone),
    )


def create_codec() -> Codec:
    """Returns the codec of the session protocol."""
    return Codec(
        decode_caller_line=statements.decode_caller_line,
        encode_answer=statements.encode_answer,
        encode_started=statements.encode_started,
        encode_refusal=statements.encode_refusal,
        encode_start=statements.encode_start,
        encode_statement=statements.encode_statement,
        create_reader=statements.AnswerReader,
        error=statements.ProtocolError,
        max_message_bytes=statements.MAX_MESSAGE_BYTES,
    )


def create_query_codec() -> QueryCodec:
    """Returns the codec of the queries of endpoints."""
    return QueryCodec(
        encode_start=statements.encode_start,
        encode_query=statements.encode_state_query,
        decode_state=statements.decode_state,
        create_reader=statements.AnswerReader,
    )


if __name__ == '__main__':
    sys.exit(main())
