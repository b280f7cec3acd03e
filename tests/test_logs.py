"""Guards the log against secrets and lines that are not valid JSON."""

import io
import json
import logging
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import logs

SECRET = 'MARKED-SECRET-0123456789'
KEY = f'pk_a1_{SECRET}'


def read_lines(stream: io.StringIO) -> list[Any]:
    """Returns the JSON object of each line."""
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def create_log(stream: io.StringIO) -> logs.Log:
    """Returns a log that knows the marked secret."""
    return logs.Log(
        stream,
        wall_s=lambda: 1.5,
        level='DEBUG',
        secrets=(SECRET,),
    )


def test_known_secret_is_never_logged() -> None:
    """Guards against secrets in fields, names, nested values and exceptions."""
    stream = io.StringIO()
    log = create_log(stream).bind(host=SECRET)
    log.info(f'event {SECRET}', reason=f'Bearer {SECRET}', request_id=KEY)
    log.warning('nested', frames=[KEY, f'x{SECRET}y'])
    log.debug('name', **{SECRET: 'x', 'parameters': [SECRET]})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match=SECRET) as caught:
        int(SECRET)
    log.failure('failed', caught.value, workspace='w')
    assert SECRET not in stream.getvalue()
    assert len(read_lines(stream)) == 4


def test_key_is_redacted_by_its_form() -> None:
    """Guards against logged keys of callers, which are not known secrets."""
    stream = io.StringIO()
    logs.Log(stream, wall_s=lambda: 1.5).info('e', reason='key pk_b_unknown99')
    assert 'unknown99' not in stream.getvalue()


def test_only_fixed_fields_are_written() -> None:
    """Guards against statement values logged under a new field name."""
    stream = io.StringIO()
    create_log(stream).info('e', text='insert')  # type: ignore[call-arg]
    assert read_lines(stream)[0]['omitted'] == ['text']
    assert 'insert' not in stream.getvalue()


@given(st.text(), st.text())
def test_one_json_object_per_line(event: str, reason: str) -> None:
    """Guards against characters that split a line or break its JSON."""
    stream = io.StringIO()
    create_log(stream).info(event, reason=reason)
    assert len(stream.getvalue().splitlines()) == 1
    assert read_lines(stream)[0]['level'] == 'INFO'


def test_bound_fields_do_not_reach_other_logs() -> None:
    """Guards against log fields shared between requests."""
    stream = io.StringIO()
    log = create_log(stream)
    log.bind(request_id='r1').info('a')
    log.info('b')
    assert 'request_id' not in read_lines(stream)[1]


def test_library_texts_and_tracebacks_are_not_logged() -> None:
    """Guards against leaks by the event loop.

    It logs failed tasks with the error text and the traceback.
    """
    stream = io.StringIO()
    library = logging.getLogger('asyncio')
    exc = ValueError(SECRET)
    with logs.LibraryCapture(create_log(stream)):
        library.error('statement %s', 'MARKED-VALUE', exc_info=exc)
        library.warning('MARKED-VALUE')
    failure, message = read_lines(stream)
    assert (failure['library'], failure['error']) == ('asyncio', 'ValueError')
    assert message['event'] == 'library_message'
    assert 'MARKED' not in stream.getvalue()
