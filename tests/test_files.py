"""Tests the settings reader: precise errors and no other exceptions."""

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import errors, files

DAEMON = """
name: sfax-1
zone: Sfax
callers: 127.0.0.1:8080
operators: 127.0.0.1:8081
peers: 127.0.0.1:8082
platform: 127.0.0.1:9000
secrets:
  peer: MARKED-peer-secret
  session: MARKED-session-secret
  operator: MARKED-operator-secret
"""
SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8)
)
NAMES = st.sampled_from(
    ('teams', 'workspaces', 'rate', 'hosts', 'address', 'zone', 'keys', 'a'),
)
DOCUMENTS = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(NAMES, inner, max_size=4),
    ),
)


def write(path: pathlib.Path, text: str) -> str:
    """Writes a file and returns its path as text."""
    path.write_text(text)
    return str(path)


def test_valid_daemon_file_is_loaded(tmp_path: pathlib.Path) -> None:
    """Guards against a valid file that is refused or loses values."""
    settings = files.load_daemon(write(tmp_path / 'd.yaml', DAEMON))
    assert settings['name'] == 'sfax-1'
    assert settings['secrets']['peer'] == 'MARKED-peer-secret'


@pytest.mark.parametrize(
    ('old', 'new', 'wanted'),
    [
        ('zone:', 'zoen:', ("did you mean 'zone'", 'zoen', 'd.yaml')),
        (':8080', ':99999', ('callers', 'port from 1 to 65535')),
        ('MARKED-peer-secret', 'MARKED-x', ('secrets/peer', '16')),
        ('name: sfax-1', 'name: [MARKED', ('line',)),
        ('name: sfax-1', 'name: [MARKED]', ('name: found a list',)),
        ('callers: 127.0.0.1', 'callers: 1', ('IP:port',)),
    ],
)
def test_error_names_place_and_remedy(
    tmp_path: pathlib.Path,
    old: str,
    new: str,
    wanted: tuple[str, ...],
) -> None:
    """Guards against an error without its place or remedy, or with a secret."""
    path = write(tmp_path / 'd.yaml', DAEMON.replace(old, new))
    with pytest.raises(errors.SettingsError) as caught:
        files.load_daemon(path)
    for part in wanted:
        assert part in str(caught.value)
    assert 'MARKED' not in str(caught.value)


def test_names_are_not_converted() -> None:
    """Guards against names that YAML 1.1 reads as numbers or booleans."""
    found = files.read_text(b'{1e5: a, true: b, on: off, 2001-01-01: 1_0}', 'f')
    assert found == {'1e5': 'a', 'true': 'b', 'on': 'off', '2001-01-01': '1_0'}


@pytest.mark.parametrize(
    'payload',
    [b'a: &x [1]\nb: *x', b'a: !!python/name:os 1', b'a: 1\na: 2', b'[' * 999],
)
def test_hostile_yaml_is_refused(payload: bytes) -> None:
    """Guards against aliases that expand without limit, and duplicate names."""
    with pytest.raises(errors.SettingsError):
        files.read_text(payload, 'f')


def test_directory_refuses_two_values(tmp_path: pathlib.Path) -> None:
    """Guards against a value that silently replaces one of another file."""
    write(tmp_path / 'a.yaml', 'teams: {}\nkeys: {confirmation: none}')
    write(tmp_path / 'b.yaml', 'keys: {confirmation: every_zone}')
    with pytest.raises(errors.SettingsError, match='keys/confirmation'):
        files.load_document(str(tmp_path))


def test_fault_in_a_directory_names_the_file(tmp_path: pathlib.Path) -> None:
    """Guards against a fault that does not name its file."""
    write(tmp_path / 'a.yaml', 'teams: {x: {workspaces: {w: {rate: 1}}}}')
    write(tmp_path / 'b.yaml', 'zones: {z: {in_service: 7}}')
    with pytest.raises(errors.SettingsError) as caught:
        files.load_document(str(tmp_path))
    lines = str(caught.value).splitlines()
    assert len(lines) == 2
    assert 'a.yaml: teams/x/workspaces/w: found no burst' in lines[0]
    assert 'b.yaml: zones/z/in_service: found 7' in lines[1]


@given(st.one_of(st.binary(), st.text().map(str.encode)))
def test_reader_raises_only_settings_errors(payload: bytes) -> None:
    """Guards against other exceptions, which look like a program error."""
    try:
        files.read_text(payload, 'f')
    except errors.SettingsError as exc:
        assert str(exc).startswith('f')


@given(DOCUMENTS)
def test_every_fault_of_a_document_is_described(source: object) -> None:
    """Guards against a fault that has no description."""
    for schema in ('settings', 'daemon'):
        for fault in files.find_all_faults(schema, source, 'f'):
            assert fault.allowed
            assert files.format_fault(fault).startswith('f: ')


@pytest.mark.parametrize(
    ('text', 'wanted'),
    [
        ('teams: {}\nhosts: {a: {zone: z, address: "1:2"}}', 'hosts/a/address'),
        ('teams: {}\nkeys: {confirmation: evry_zone}', "mean 'every_zone'"),
        ('teams: {}\nzones: {a: {in_service: yes}}', 'boolean'),
        ('- MARKED', 'the whole file: found a list'),
    ],
)
def test_document_faults(
    tmp_path: pathlib.Path, text: str, wanted: str
) -> None:
    """Guards against a fault without its place, or with a secret."""
    path = write(tmp_path / 's.yaml', text)
    with pytest.raises(errors.SettingsError) as caught:
        files.load_document(path)
    # The name of the directory contains the parameters of the test.
    report = str(caught.value).replace(path, '')
    assert wanted in report
    assert 'MARKED' not in report
