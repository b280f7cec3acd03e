"""Tests the checks of operators' changes and their error messages."""

import copy
import json
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import changes, errors
from poplarspoke.generated.configuration import ChangeSettings

DIGEST = 'ab' * 32
WORKSPACE = {
    'rate': 5,
    'burst': 10,
    'keys': {'k1': {'digest': DIGEST, 'revoked': False}},
    'routes': {
        'read': {'database': 'd1', 'write': False, 'repeat': 'safe'},
    },
}
DOCUMENT: Any = {
    'teams': {'red': {'workspaces': {'w1': WORKSPACE}}, 'blue': {}},
    'zones': {'z1': {'in_service': True}},
    'databases': {
        'd1': {
            'slots': 2,
            'connections': 5,
            'endpoints': {
                'e1': {
                    'zone': 'z1',
                    'address': '127.0.0.1:1',
                    'in_service': True,
                },
            },
        },
    },
}
KEY_PATH = 'teams/red/workspaces/w1/keys/k1'


def change(path: str, content: Any, team: str = '') -> ChangeSettings:
    """Returns a change with its content as JSON."""
    return ChangeSettings('c1', team, path, json.dumps(content), 'ann', 'test')


@pytest.mark.parametrize(
    ('path', 'content', 'team', 'texts'),
    [
        ('zones/z1/in_servce', True, '', ['zones/z1', "use 'in_service'"]),
        ('zones/z1/in_service', 'no', '', ["'no'", 'boolean']),
        ('databases/d1/slots', 0, '', ['databases/d1/slots', 'at least 1']),
        ('databases/d1/endpoints/e1/zone', 'z9', '', ["'z9'", 'z1']),
        ('zones/z1', None, '', ['endpoints/e1/zone', 'nothing']),
        ('zones/z9', None, '', ['absent', 'z1']),
        ('teams/blue/workspaces/w1', WORKSPACE, 'blue', ['second workspace']),
        (
            'teams/red/workspaces/w1/routes/read/write',
            True,
            'red',
            ['recorded, never'],
        ),
        (f'{KEY_PATH}/digest', 'short', 'red', ["'short'", '[0-9a-f]']),
        (f'{KEY_PATH}/revoked/x', True, 'red', ['k1/revoked', 'object']),
        ('', DOCUMENT, '', ['whole document']),
        ('teams/a b', {}, '', ['rename it']),
    ],
)
def test_refusal_has_path_value_and_remedy(
    path: str, content: Any, team: str, texts: list[str]
) -> None:
    """Guards against a refusal without the path, the value or a remedy."""
    before = copy.deepcopy(DOCUMENT)
    with pytest.raises(errors.SettingsError) as caught:
        changes.apply_change(DOCUMENT, change(path, content, team))
    for text in texts:
        assert text in str(caught.value)
    assert before == DOCUMENT


@pytest.mark.parametrize(
    ('path', 'team'),
    [
        (KEY_PATH, 'blue'),
        ('zones/z1', 'red'),
        ('teams', 'red'),
        ('', 'red'),
        (KEY_PATH, ''),
    ],
)
def test_other_teams_subtree_is_forbidden(path: str, team: str) -> None:
    """Guards against a team that changes another team's workspaces."""
    with pytest.raises(changes.ForbiddenError):
        changes.apply_change(DOCUMENT, change(path, None, team))


def test_error_message_has_no_key() -> None:
    """Guards against a key in a change that reaches an error message or log."""
    key = 'pk_k2_verysecret'
    attempts = [
        change(f'teams/red/workspaces/w1/keys/{key}', {}, 'red'),
        change(f'{KEY_PATH}/digest', key, 'red'),
        change(f'{KEY_PATH}/revoked', {'x': key}, 'red'),
        change(KEY_PATH, None, 'red')._replace(why=f'lost {key}'),
    ]
    for attempt in attempts:
        with pytest.raises(errors.SettingsError) as caught:
            changes.apply_change(DOCUMENT, attempt)
        assert 'verysecret' not in str(caught.value)


def test_revocation_is_a_typed_difference() -> None:
    """Guards against a difference without the revocation of a key."""
    revoke = change(f'{KEY_PATH}/revoked', True, 'red')
    after = changes.apply_change(DOCUMENT, revoke)
    assert changes.compare_documents(DOCUMENT, after) == [
        changes.Replaced(f'{KEY_PATH}/revoked', False, True),
    ]
    assert changes.list_withdrawn_keys(DOCUMENT, after) == ('k1',)
    removed = changes.apply_change(DOCUMENT, change(KEY_PATH, None, 'red'))
    assert changes.list_withdrawn_keys(DOCUMENT, removed) == ('k1',)


@given(
    path=st.lists(
        st.sampled_from(
            ['teams', 'red', 'workspaces', 'w1', 'zones', 'z1', 'keys', ''],
        ),
        max_size=6,
    ),
    content=st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=4),
        lambda below: st.dictionaries(st.text(max_size=4), below, max_size=2),
    ),
    team=st.sampled_from(['', 'red']),
)
def test_any_change_is_applied_or_refused(
    path: list[str], content: Any, team: str
) -> None:
    """Guards against any exception but a refusal on malformed input."""
    before = copy.deepcopy(DOCUMENT)
    try:
        after = changes.apply_change(
            DOCUMENT, change('/'.join(path), content, team)
        )
    except errors.SettingsError:
        after = None
    assert before == DOCUMENT
    if after is not None:
        changes.check_document(after)


def test_jsonschema_is_not_imported_at_start() -> None:
    """Guards against memory use by a validator that daemons rarely need."""
    code = 'import sys, poplarspoke.changes; print("jsonschema" in sys.modules)'
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    assert done.stdout.strip() == b'False'


@pytest.mark.parametrize('name', ['rate', 'burst'])
@pytest.mark.parametrize('text', ['Infinity', 'NaN', '1e400', '1e308'])
def test_unbounded_number_is_refused(name: str, text: str) -> None:
    """Guards against a rate that crashes every daemon, also after restarts."""
    path = f'teams/red/workspaces/w1/{name}'
    unbounded = change(path, 1, 'red')._replace(content=text)
    with pytest.raises(errors.SettingsError):
        changes.apply_change(DOCUMENT, unbounded)
