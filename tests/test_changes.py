"""Guards the checks of operators' changes and their error texts."""

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
def test_refused_change_names_the_fault(
    path: str, content: Any, team: str, texts: list[str]
) -> None:
    """A refusal without path, value and remedy leaves operators guessing."""
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
    """A team must not change the workspaces of another one."""
    with pytest.raises(changes.ForbiddenError):
        changes.apply_change(DOCUMENT, change(path, None, team))


def test_key_never_shows() -> None:
    """A key that an operator puts into a change must not reach any log."""
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
    """A difference that misses a revocation would keep the key working."""
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
    """Hostile paths and values must never raise anything but a refusal."""
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
    """The validator would use up memory in daemons that check no change."""
    code = 'import sys, poplarspoke.changes; print("jsonschema" in sys.modules)'
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    assert done.stdout.strip() == b'False'


@pytest.mark.parametrize('name', ['rate', 'burst'])
@pytest.mark.parametrize('text', ['Infinity', 'NaN', '1e400', '1e308'])
def test_number_without_bound_is_refused(name: str, text: str) -> None:
    """Such a rate ended every daemon, and again after each restart."""
    path = f'teams/red/workspaces/w1/{name}'
    asked = change(path, 1, 'red')._replace(content=text)
    with pytest.raises(errors.SettingsError):
        changes.apply_change(DOCUMENT, asked)
