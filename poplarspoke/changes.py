"""Checks an operator's change and applies it to the settings document.

A path is a list of names joined by ``/``. A change is applied to a copy, so a
refused change leaves the document unchanged. No error message contains a key.
"""

import copy
import difflib
import functools
import json
import math
import re
from collections.abc import Iterator
from typing import Any, NamedTuple, NoReturn, TypeAlias

from poplarspoke import errors
from poplarspoke.codec import SCHEMA_DIR
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.configuration import ChangeSettings
from poplarspoke.generated.settings import Database, Document, Team

# A snapshot must fit into one frame of at most 1 MiB.
MAX_DOCUMENT_CHARACTERS = 786432
MAX_VALUE_CHARACTERS = 80
MAX_TEXT_CHARACTERS = 1000
TEAMS = 'teams'
TEAM_DEPTH = 2  # Number of names in ``teams/<team>``.
KEY_DEPTH = 6  # Number of names in ``teams/T/workspaces/W/keys/K``.
NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
# The id ends at the second underscore of ``pk_<key id>_<secret>``.
KEY_ID_PATTERN = re.compile('[A-Za-z0-9]{1,32}')
KEY_PREFIX_PATTERN = re.compile('pk_[A-Za-z0-9]+_')
KEY_HINT = 'keys are never part of a change, only their SHA-256 digest'

Path: TypeAlias = tuple[str, ...]
Node: TypeAlias = Any


class ForbiddenError(errors.SettingsError):
    """A change outside the subtree of the team that requested it."""

    code = ErrorCode.FORBIDDEN


class Added(NamedTuple):
    """A value that only the new document has; ``content`` is plain data."""

    path: str
    content: Any


class Removed(NamedTuple):
    """A value that only the old document had; ``content`` is plain data."""

    path: str
    content: Any


class Replaced(NamedTuple):
    """A leaf whose value differs between the documents."""

    path: str
    before: Any
    after: Any


Difference: TypeAlias = Added | Removed | Replaced


class KeyEntry(NamedTuple):
    """A key of the document, with its team and workspace."""

    key_id: str
    team: str
    workspace: str
    digest: str
    revoked: bool


def create_document() -> Document:
    """Returns the document before the first change."""
    return Document(teams={})


def split_path(path: str) -> Path:
    """Returns the names of a path; the empty path names the document."""
    return tuple(path.split('/')) if path else ()


def apply_change(document: Document, change: ChangeSettings) -> Document:
    """Returns a changed copy of the document.

    Args:
        document: Settings that the change is based on; not modified.
        change: The change; its content is JSON, ``null`` removes the path.

    Raises:
        errors.SettingsError: The change violates the schema or a rule.
        ForbiddenError: The path belongs to another team.
    """
    _check_texts(change)
    path = split_path(change.path)
    _check_owner(document, change, path)
    changed: Document = _set_value(document, path, _parse_content(change))
    check_document(changed)
    return changed


def check_document(document: Any) -> None:
    """Checks a whole document: schema, names, references and size.

    Raises:
        errors.SettingsError: The document violates the schema or a rule; the
            message has the path, the value found and what is allowed.
    """
    _check_schema(document)
    _check_names(document, ())
    _check_references(document)
    _check_unique(document)
    size = len(json.dumps(document))
    if size > MAX_DOCUMENT_CHARACTERS:
        _refuse(
            (),
            f'{size} characters of JSON',
            f'at most {MAX_DOCUMENT_CHARACTERS}',
            'remove what is not used any more',
        )


def compare_documents(before: Any, after: Any) -> list[Difference]:
    """Returns the differences between two documents, ordered by path."""
    return list(_compare(before, after, ()))


def list_keys(document: Document) -> Iterator[KeyEntry]:
    """Returns every key of a document."""
    for team_name, team in document['teams'].items():
        yield from _list_team_keys(team_name, team)


def list_withdrawn_keys(before: Document, after: Document) -> tuple[str, ...]:
    """Returns the ids of keys that ``after`` no longer accepts."""
    kept = {entry for entry in list_keys(after) if not entry.revoked}
    return tuple(
        entry.key_id
        for entry in list_keys(before)
        if not entry.revoked and entry not in kept
    )


def _list_team_keys(team_name: str, team: Team) -> Iterator[KeyEntry]:
    for name, workspace in team.get('workspaces', {}).items():
        for key_id, key in workspace.get('keys', {}).items():
            yield KeyEntry(
                key_id,
                team_name,
                name,
                key['digest'],
                key['revoked'],
            )


def _check_texts(change: ChangeSettings) -> None:
    for field in ('change_id', 'who', 'why', 'path', 'content'):
        text = getattr(change, field)
        if KEY_PREFIX_PATTERN.search(text):
            raise errors.SettingsError(
                f'field {field!r} holds a key; {KEY_HINT}'
            )
    for required in ('change_id', 'who', 'why'):
        length = len(getattr(change, required))
        if not 1 <= length <= MAX_TEXT_CHARACTERS:
            raise errors.SettingsError(
                f'field {required!r} has {length} characters; allowed are 1 to '
                f'{MAX_TEXT_CHARACTERS}; state who makes the change and why',
            )


def _check_owner(
    document: Document,
    change: ChangeSettings,
    path: Path,
) -> None:
    own_path = (TEAMS, change.team)
    if change.team:
        if path[:TEAM_DEPTH] == own_path:
            return
        _forbid(change, f'{TEAMS}/{change.team}')
    if not path:
        if document != create_document():
            _refuse(
                path,
                'the whole document',
                'a path below it',
                'name the part that changes',
            )
        return
    if path[0] == TEAMS and len(path) != TEAM_DEPTH:
        _forbid(change, 'shared paths and whole teams')


def _forbid(change: ChangeSettings, allowed: str) -> NoReturn:
    raise ForbiddenError(
        f'path {_format_path(split_path(change.path))!r} cannot be changed for '
        f'team {change.team[:MAX_VALUE_CHARACTERS]!r}; allowed: {allowed}',
    )


def _parse_content(change: ChangeSettings) -> Node:
    try:
        return json.loads(
            change.content,
            parse_float=_parse_finite,
            parse_constant=_parse_finite,
        )
    except (ValueError, RecursionError):
        _refuse(
            split_path(change.path),
            'text that is no JSON',
            'JSON, or null to remove the path',
            'correct the content',
        )


def _parse_finite(text: str) -> float:
    """Returns a finite number; the schema's limits do not exclude NaN.

    Raises:
        ValueError: The number is infinite or NaN.
    """
    number = float(text)
    if math.isfinite(number):
        return number
    raise ValueError(f'{text} is not a finite number')


def _set_value(document: Document, path: Path, content: Node) -> Any:
    """Returns a copy with the value set at a path, or removed for None."""
    changed: Node = copy.deepcopy(document)
    if not path:
        return content
    node = changed
    for depth, name in enumerate(path[:-1], start=1):
        if not isinstance(node.setdefault(name, {}), dict):
            _refuse(
                path[:depth],
                _format_value(node[name]),
                'an object, to have names below it',
                'shorten the path',
            )
        node = node[name]
    if content is not None:
        node[path[-1]] = content
        return changed
    if path[-1] not in node:
        _refuse(
            path, 'absent', _format_names(node), 'remove a name that exists'
        )
    node.pop(path[-1])
    return changed


@functools.cache
def _load_validator() -> Any:
    # Imported on first use to save memory: a daemon has 32 MB for control and
    # rarely checks a change.
    import jsonschema  # noqa: WPS433, PLC0415

    schema = json.loads((SCHEMA_DIR / 'settings.json').read_text())
    return jsonschema.Draft202012Validator(schema)


def _check_schema(document: Any) -> None:
    for fault in _load_validator().iter_errors(document):
        path = tuple(str(name) for name in fault.absolute_path)
        _check_unknown_name(fault, path)
        _refuse(
            path,
            _format_value(fault.instance),
            _format_rule(fault),
            'correct the value',
        )


def _check_unknown_name(fault: Any, path: Path) -> None:
    if fault.validator != 'additionalProperties':
        return
    known = list(fault.schema['properties'])
    unknown = [name for name in fault.instance if name not in known]
    nearest = difflib.get_close_matches(unknown[0], known, 1, 0)
    remedy = f'use {nearest[0]!r}' if nearest else 'use a known name'
    _refuse(
        (*path, unknown[0]),
        'an unknown name',
        ', '.join(known),
        remedy,
    )


def _format_rule(fault: Any) -> str:
    rules = {
        'required': 'an object with',
        'enum': 'one of',
        'type': 'type',
        'pattern': 'text that matches',
        'minimum': 'at least',
        'maximum': 'at most',
        'exclusiveMinimum': 'more than',
    }
    rule = rules.get(fault.validator, fault.validator)
    return f'{rule} {fault.validator_value}'


def _check_names(node: Node, path: Path) -> None:
    if not isinstance(node, dict):
        return
    are_key_ids = len(path) == KEY_DEPTH - 1 and path[-1] == 'keys'
    allowed = KEY_ID_PATTERN if are_key_ids else NAME_PATTERN
    for name, below in node.items():
        if not allowed.fullmatch(name):
            _refuse(
                (*path, name),
                'a name',
                f'names that match {allowed.pattern}',
                'rename it',
            )
        _check_names(below, (*path, name))


def _check_references(document: Document) -> None:
    zones = document.get('zones', {})
    for host_name, host in document.get('hosts', {}).items():
        _check_reference(('hosts', host_name, 'zone'), host['zone'], zones)
    for name, database in document.get('databases', {}).items():
        _check_endpoints(name, database, zones)
    for team_name, team in document['teams'].items():
        _check_routes(team_name, team, document.get('databases', {}))


def _check_endpoints(name: str, database: Database, zones: Any) -> None:
    base = ('databases', name, 'endpoints')
    for endpoint_name, endpoint in database['endpoints'].items():
        path = (*base, endpoint_name, 'zone')
        _check_reference(path, endpoint['zone'], zones)


def _check_routes(team_name: str, team: Team, databases: Any) -> None:
    for name, workspace in team.get('workspaces', {}).items():
        base = (TEAMS, team_name, 'workspaces', name, 'routes')
        for route_name, route in workspace.get('routes', {}).items():
            _check_reference(
                (*base, route_name, 'database'),
                route['database'],
                databases,
            )
            if route['write'] and route['repeat'] == 'safe':
                _refuse(
                    (*base, route_name, 'repeat'),
                    'safe',
                    'recorded, never',
                    'a write must not be repeated unrecorded',
                )


def _check_reference(path: Path, name: str, known: Any) -> None:
    if name in known:
        return
    _refuse(
        path,
        _format_value(name),
        _format_names(known),
        'add what it refers to first, or name another',
    )


def _check_unique(document: Document) -> None:
    """Checks that names which requests use without a path are unique."""
    seen: dict[tuple[str, str], Path] = {}
    for kind, path in _list_unique_names(document):
        first = seen.setdefault((kind, path[-1]), path)
        if first != path:
            _refuse(
                path,
                f'the name of a second {kind}',
                f'one {kind} of this name, at {_format_path(first)}',
                'choose another name',
            )


def _list_unique_names(document: Document) -> Iterator[tuple[str, Path]]:
    for name, database in document.get('databases', {}).items():
        for endpoint in database['endpoints']:
            yield 'endpoint', ('databases', name, 'endpoints', endpoint)
    for team_name, team in document['teams'].items():
        for workspace in team.get('workspaces', {}):
            yield 'workspace', (TEAMS, team_name, 'workspaces', workspace)
    for key in list_keys(document):
        path = (TEAMS, key.team, 'workspaces', key.workspace, 'keys')
        yield 'key', (*path, key.key_id)


def _compare(before: Node, after: Node, path: Path) -> Iterator[Difference]:
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield Replaced('/'.join(path), before, after)
        return
    for name in sorted({*before, *after}):
        yield from _compare_name(before, after, (*path, name))


def _compare_name(
    before: dict[str, Node],
    after: dict[str, Node],
    path: Path,
) -> Iterator[Difference]:
    name = path[-1]
    if name not in before:
        yield Added('/'.join(path), after[name])
        return
    if name not in after:
        yield Removed('/'.join(path), before[name])
        return
    yield from _compare(before[name], after[name], path)


def _refuse(path: Path, value: str, allowed: str, remedy: str) -> NoReturn:
    raise errors.SettingsError(
        f'path {_format_path(path)!r}: found {value}; allowed: {allowed}; '
        f'{remedy}',
    )


def _format_path(path: Path) -> str:
    return '/'.join(_redact(name) for name in path)


def _redact(text: str) -> str:
    if KEY_PREFIX_PATTERN.search(text):
        return '(not shown)'
    return text[:MAX_VALUE_CHARACTERS]


@functools.singledispatch
def _format_value(found: Any) -> str:
    return json.dumps(found)[:MAX_VALUE_CHARACTERS]


@_format_value.register
def _(found: dict) -> str:  # type: ignore[type-arg]
    # A nested value may be a key that was put in the wrong place.
    return f'an object with the names {_format_names(found)}'


@_format_value.register
def _(found: list) -> str:  # type: ignore[type-arg]
    return f'a list of {len(found)}'


@_format_value.register
def _(found: str) -> str:
    return repr(_redact(found))


def _format_names(node: Any) -> str:
    names = ', '.join(_redact(str(name)) for name in node)
    return names[:MAX_VALUE_CHARACTERS] or 'nothing'
