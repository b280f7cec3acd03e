"""Finds what hosts read in another way than it was probably meant.

Hosts ignore unknown fields, as the platform may add some, and take the last one
of several equal names.
"""

import difflib
import functools
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from poplarspoke.checks.findings import Finding, FindingCode, create_finding
from poplarspoke.platform.fields import DECODE_ERRORS, Place, describe_kind

# Fields of the platform's document; hosts do not read all of them.
KNOWN_FIELDS: dict[str, frozenset[str]] = {
    '': frozenset(('version', 'routes', 'services', 'limits', 'tenants')),
    'routes': frozenset(
        (
            'name',
            'host',
            'prefix',
            'service',
            'routeType',
            'timeoutMs',
            'targetLatencyMs',
            'maxStalenessMs',
            'priority',
            'maxAttempts',
            'public',
        ),
    ),
    'services': frozenset(
        (
            'name',
            'maxConns',
            'syncReplicas',
            'healthPath',
            'protocol',
            'tls',
        ),
    ),
    'tenants': frozenset(('name', 'apiKeys', 'priority', 'ratePerS', 'burst')),
}
SHOWN_NAMES = frozenset(('txIdleMs',)).union(*KNOWN_FIELDS.values())
LISTS = ('routes', 'services', 'tenants')
# Names that differ by a letter or two are at least this similar; the known names
# of one object are less similar to each other.
SIMILARITY = 0.8


class ListedObject(NamedTuple):
    """An object and its index in a list."""

    position: int
    fields: dict[str, Any]


def find_misread(content: str) -> Iterator[Finding]:
    """Yields the parts of a document that hosts take in another way.

    Args:
        content: JSON text; nothing is yielded if it is invalid.
    """
    repeated: dict[int, list[str]] = {}
    build = functools.partial(_build_object, repeated=repeated)
    try:
        document = json.loads(content, object_pairs_hook=build)
    except DECODE_ERRORS:
        return
    yield from _find_repeated(document, (), repeated)
    yield from _find_misspelt(document)
    for name in LISTS:
        yield from _find_wrong_list(document, name)
    for index, route in list_objects(document, 'routes'):
        yield from _find_inexact_access(route, index)
    for number, workspace in list_objects(document, 'tenants'):
        yield from _find_inexact_keys(workspace, number)


def list_objects(document: Any, name: str) -> list[ListedObject]:
    """Returns the objects in a list of a document."""
    found = document.get(name) if isinstance(document, dict) else None
    if not isinstance(found, list):
        return []
    return [
        ListedObject(index, entry)
        for index, entry in enumerate(found)
        if isinstance(entry, dict)
    ]


def _build_object(
    pairs: list[tuple[str, Any]],
    repeated: dict[int, list[str]],
) -> dict[str, Any]:
    """Returns an object; records repeated names by its identity.

    The objects live on as parts of the document, so identities are unique.
    """
    built = dict(pairs)
    if len(built) < len(pairs):
        counts = Counter(name for name, _ in pairs)
        repeated[id(built)] = [
            name for name, count in counts.items() if count > 1
        ]
    return built


def _find_repeated(
    found: Any,
    place: Place,
    repeated: dict[int, list[str]],
) -> Iterator[Finding]:
    """Yields repeated names; unknown ones are not shown and not entered.

    An unknown name may be a key that is in the wrong place.
    """
    for name in repeated.get(id(found), ()):
        yield create_finding(
            FindingCode.REPEATED_NAME,
            (*place, name) if name in SHOWN_NAMES else place,
            'the object has a name more than once, and hosts use the last '
            'one; remove the others',
        )
    for step, entry in _list_parts(found):
        yield from _find_repeated(entry, (*place, step), repeated)


def _list_parts(found: Any) -> Iterable[tuple[str | int, Any]]:
    if isinstance(found, list):
        return list(enumerate(found))
    if not isinstance(found, dict):
        return []
    return [item for item in found.items() if item[0] in SHOWN_NAMES]


def _find_misspelt(document: Any) -> Iterator[Finding]:
    if isinstance(document, dict):
        yield from _find_similar(document, (), KNOWN_FIELDS[''])
    for name in LISTS:
        for index, entry in list_objects(document, name):
            yield from _find_similar(entry, (name, index), KNOWN_FIELDS[name])


def _find_similar(
    section: dict[str, Any],
    place: Place,
    known: frozenset[str],
) -> Iterator[Finding]:
    absent = sorted(known - section.keys())
    for name in sorted(section.keys() - known):
        nearest = difflib.get_close_matches(name, absent, 1, SIMILARITY)
        if not nearest:
            continue
        yield create_finding(
            FindingCode.SIMILAR_NAME,
            (*place, name),
            f'hosts ignore this field; rename it if {nearest[0]} is meant',
        )


def _find_wrong_list(document: Any, name: str) -> Iterator[Finding]:
    found = document.get(name, []) if isinstance(document, dict) else []
    if isinstance(found, str | dict) and not found:
        yield _create_inexact(
            (name,),
            f'a list is needed, found {describe_kind(found)}',
        )


def _find_inexact_access(
    route: dict[str, Any],
    index: int,
) -> Iterator[Finding]:
    public = route.get('public', False)
    if isinstance(public, bool):
        return
    effect = 'open to all' if public else 'not open to all'
    yield _create_inexact(
        ('routes', index, 'public'),
        f'true or false is needed, found {describe_kind(public)}; hosts take '
        f'the route as {effect}',
    )


def _find_inexact_keys(
    workspace: dict[str, Any],
    index: int,
) -> Iterator[Finding]:
    keys = workspace.get('apiKeys', [])
    if isinstance(keys, str | dict):
        yield _create_inexact(
            ('tenants', index, 'apiKeys'),
            f'a list is needed, found {describe_kind(keys)}; hosts take each '
            'character or name in it as a key',
        )


def _create_inexact(place: Place, problem: str) -> Finding:
    message = f'{problem}; correct the value'
    return create_finding(FindingCode.INEXACT_FIELD, place, message)
