"""Tests of the example settings, which operators copy."""

import pathlib
from typing import Any

import pytest

from poplarspoke import files

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


def load(name: str) -> Any:
    """Returns an example document."""
    return files.load_document(str(EXAMPLES / name))


@pytest.mark.parametrize(
    ('name', 'zones', 'connections'),
    [
        ('tn-east.yaml', {'Sfax', 'Sousse', 'Monastir'}, 5),
        ('attica.yaml', {'Piraeus', 'Marousi', 'Elefsina'}, 8),
    ],
)
def test_site_has_the_sizes_of_the_design(
    name: str,
    zones: set[str],
    connections: int,
) -> None:
    """Guards against an example with other sizes than the design states.

    Its headroom would then differ from that of a real site.
    """
    document = load(name)
    assert set(document['zones']) == zones
    assert 6 <= len(document['hosts']) <= 8
    assert {host['zone'] for host in document['hosts'].values()} == zones
    assert len(document['databases']) == 3
    for database in document['databases'].values():
        found = {member['zone'] for member in database['endpoints'].values()}
        assert found == zones
        assert len(database['endpoints']) == 3
        assert database['slots'] == 2
        assert database['connections'] == connections


@pytest.mark.parametrize('name', ['tn-east.yaml', 'attica.yaml'])
def test_workspaces_and_routes_fit_together(name: str) -> None:
    """Guards against a route to a missing database or a write marked safe."""
    document = load(name)
    workspaces = [
        workspace
        for team in document['teams'].values()
        for workspace in team['workspaces'].values()
    ]
    assert len(document['teams']) >= 3
    assert len(workspaces) == 8
    for workspace in workspaces:
        for route in workspace['routes'].values():
            assert route['database'] in document['databases']
            assert route['write'] == (route['repeat'] != 'safe')
            assert route['write'] == ('max_age_s' not in route)


@pytest.mark.parametrize('name', ['tn-east.yaml', 'attica.yaml'])
def test_names_and_addresses_are_unique(name: str) -> None:
    """Guards against duplicate names; commands select by name alone."""
    document = load(name)
    names: list[str] = []
    addresses = [host['address'] for host in document['hosts'].values()]
    for team in document['teams'].values():
        names.extend(team['workspaces'])
    for database in document['databases'].values():
        names.extend(database['endpoints'])
        addresses.extend(
            member['address'] for member in database['endpoints'].values()
        )
    assert len(names) == len(set(names))
    assert len(addresses) == len(set(addresses))


def test_daemon_file_names_a_host_of_a_site() -> None:
    """Guards against a daemon file that does not match the document."""
    settings = files.load_daemon(str(EXAMPLES / 'daemon.yaml'))
    host = load('tn-east.yaml')['hosts'][settings['name']]
    assert host['zone'] == settings['zone']
    assert settings['operators'].startswith('127.')
