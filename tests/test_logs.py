"""Guards the log against secrets and lines that programs cannot read."""

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


def test_marked_secret_never_comes_out() -> None:
    """A secret in any field, name, nested value or exception would leak."""
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


def test_unknown_key_is_replaced_without_being_known() -> None:
    """Callers' keys are not in the list of known secrets."""
    stream = io.StringIO()
    logs.Log(stream, wall_s=lambda: 1.5).info('e', reason='key pk_b_unknown99')
    assert 'unknown99' not in stream.getvalue()


def test_only_fixed_fields_are_written() -> None:
    """A statement's values must not be written under a new field name."""
    stream = io.StringIO()
    create_log(stream).info('e', text='insert')  # type: ignore[call-arg]
    assert read_lines(stream)[0]['omitted'] == ['text']
    assert 'insert' not in stream.getvalue()


@given(st.text(), st.text())
def test_one_json_object_a_line(event: str, reason: str) -> None:
    """A line break or odd character would split or break a line."""
    stream = io.StringIO()
    create_log(stream).info(event, reason=reason)
    assert len(stream.getvalue().splitlines()) == 1
    assert read_lines(stream)[0]['level'] == 'INFO'


def test_bound_fields_do_not_reach_other_logs() -> None:
    """Two requests must not share the fields of their log lines."""
    stream = io.StringIO()
    log = create_log(stream)
    log.bind(request_id='r1').info('a')
    log.info('b')
    assert 'request_id' not in read_lines(stream)[1]


def test_libraries_write_neither_text_nor_traceback() -> None:
    """The event loop logs failed tasks with their text and traceback."""
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
