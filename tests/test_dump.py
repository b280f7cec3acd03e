"""Guards the state dump against secrets and oversized or invalid output."""

import collections
import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import dump as state_dump
from poplarspoke.generated import keys, members, peers, requests
from poplarspoke.generated.common import ErrorCode

SECRET = 'MARKED-SECRET-0123456789'
KEY = f'pk_a1_{SECRET}'


def read_dump(state: object, now_s: float = 100) -> Any:
    """Returns the dump of one state."""
    dumped = json.loads(state_dump.dump({'t': state}, now_s, (SECRET,)))
    return dumped['tasks']['t']


@pytest.mark.parametrize(
    'message',
    [
        requests.CallerRequest(
            key='MARKED', session_token='MARKED', parameters=('MARKED',)
        ),
        requests.Statement(text='MARKED', parameters=('MARKED',)),
        requests.StatementResult(rows='MARKED'),
        requests.CallerAnswer(session_token='MARKED', rows='MARKED'),
        keys.CheckKey(key='MARKED'),
        keys.KeyRecord(digest='MARKED'),
        members.Execute(text='MARKED', parameters=('MARKED',)),
        members.MemberAnswer(rows='MARKED'),
        members.LogEntry(effect='MARKED', answer='MARKED'),
        peers.Hello(nonce=b'MARKED', proof=b'MARKED'),
        {'secrets': {'peer': 'MARKED'}, 'a': [{'token': 'MARKED'}]},
    ],
)
def test_secret_fields_are_redacted(message: object) -> None:
    """Guards against leaked keys and statements from queued messages."""
    assert 'MARKED' not in json.dumps(read_dump({'waiting': [message]}))


@pytest.mark.parametrize(
    'state',
    [
        {'reason': f'said {SECRET}'},
        {SECRET: 1, KEY: {'x': KEY}},
        {(KEY, 'a'): 1},
        [collections.deque([KEY]), {KEY}, frozenset((SECRET,))],
        {'note': 'Bearer MARKED-SECRET-other'},
        {'by_digest': {'ab' * 32: 1}},
        SECRET.encode(),
        ValueError(SECRET),
    ],
)
def test_secrets_are_redacted_in_any_place(state: object) -> None:
    """Guards against secrets in names, reasons and unknown objects."""
    shown = json.dumps(read_dump(state))
    assert 'MARKED' not in shown
    assert 'abab' not in shown


def test_timestamps_become_ages() -> None:
    """Guards against raw times of a clock that operators cannot read."""
    shown = read_dump(
        {
            'heard_at_s': 98.5,
            'arrived_s': 99,
            'lease_until_s': 103.0,
            'accepted_at_s': 5.0,
            'wait_s': 2.0,
        },
    )
    assert shown == {
        'heard_age_s': 1.5,
        'arrived_age_s': 1,
        'lease_until_age_s': -3.0,
        'accepted_at_s': 5.0,
        'wait_s': 2.0,
    }


def test_state_is_plain_json() -> None:
    """Guards against a value without a JSON form, which fails the dump."""
    shown = read_dump(
        {
            'code': ErrorCode.OVERLOADED,
            'random': random.Random(0),
            'limit': float('inf'),
            ('sfax', 7): {3, 1},
            'many': list(range(1005)),
        },
    )
    assert shown['code'] == 'overloaded'
    assert shown['random'] == '[Random]'
    assert shown['limit'] == 'inf'
    assert shown['sfax/7'] == [1, 3]
    assert shown['many'][-1] == '[omitted] 5 more'


def test_large_state_fits_into_one_response() -> None:
    """Guards against a dump over the size limit of a response."""
    state = {number: {'note': 'x' * 400} for number in range(5000)}
    payload = state_dump.dump({'t': state}, 1, ())
    assert len(payload) <= state_dump.MAX_DUMP_BYTES
    assert json.loads(payload)['tasks']['t'][state_dump.OMITTED]


def test_cyclic_state_is_truncated() -> None:
    """Guards against endless recursion in a state that contains itself."""
    state: dict[str, Any] = {}
    state['self'] = state
    assert state_dump.OMITTED in json.dumps(read_dump(state))


PLAIN = st.one_of(st.none(), st.booleans(), st.floats(), st.text())
NODES = st.recursive(
    PLAIN,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.one_of(st.text(), st.integers()), inner, max_size=3),
    ),
)


@given(NODES)
def test_every_state_can_be_dumped(state: object) -> None:
    """Guards against a dump that fails on an unexpected state."""
    read_dump(state)
