"""Paths, differences and last changes of a settings document.

Pure functions. A path has its names joined by ``/``; the empty path is the
whole document.
"""

import copy
import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from poplarspoke import errors, files
from poplarspoke.generated.operators import ChangeRecord


class Difference(NamedTuple):
    """A value that differs between two documents; None where it is absent."""

    path: str
    before: Any
    after: Any


class Blame(NamedTuple):
    """The change behind a value; version 0 if the history lacks it."""

    path: str
    content: Any
    record: ChangeRecord


class Plan(NamedTuple):
    """What makes the settings in force equal to files.

    Attributes:
        path: Path of the one change that carries all differences.
        content: New value at the path.
        differences: What differs.
        kept: Paths that stay as they are in force.
    """

    path: str
    content: Any
    differences: tuple[Difference, ...]
    kept: tuple[str, ...]


def split_path(path: str) -> list[str]:
    """Returns the names in a path."""
    return [name for name in path.split('/') if name]


def find_at(document: Any, path: str) -> Any:
    """Returns the value at a path, None if there is none."""
    for name in split_path(path):
        if not isinstance(document, dict) or name not in document:
            return None
        document = document[name]
    return document


def replace_at(document: Any, path: str, content: Any) -> Any:
    """Returns a copy of the document with a value set, or removed by None."""
    names = split_path(path)
    if not names:
        return content
    changed = copy.deepcopy(document)
    target = changed
    for name in names[:-1]:
        target = target.setdefault(name, {})
        if not isinstance(target, dict):
            raise errors.SettingsError(f'{path}: {name} holds no names')
    if content is None:
        target.pop(names[-1], None)
    else:
        target[names[-1]] = content
    return changed


def parse_value(path: str, text: str) -> Any:
    """Returns the value that a text means at a path of the document.

    The schema decides the type, so ``true`` stays text where text is wanted.

    Raises:
        errors.SettingsError: The path is unknown or the value has another type.
    """
    if text == 'null':
        return None
    kind = files.find_kind(path)
    if kind == 'string':
        return text
    content = files.read_text(text.encode(errors='replace'), 'VALUE')
    if kind == 'object' and not isinstance(content, dict):
        raise errors.SettingsError(
            f'{path}: a mapping is wanted; write it as {{name: value}}',
        )
    return content


def list_differences(
    before: Any,
    after: Any,
    path: str = '',
) -> list[Difference]:
    """Returns each leaf that differs, sorted by path."""
    if before == after:
        return []
    if not isinstance(before, dict) or not isinstance(after, dict):
        return [Difference(path, before, after)]
    found = []
    for name in sorted(before.keys() | after.keys()):
        inner = f'{path}/{name}' if path else name
        found.extend(
            list_differences(before.get(name), after.get(name), inner),
        )
    return found


def find_common_path(paths: Sequence[str]) -> str:
    """Returns the longest path that contains all paths."""
    common = split_path(paths[0])
    for path in paths[1:]:
        names = split_path(path)
        while common != names[: len(common)]:
            common.pop()
    return '/'.join(common)


def create_plan(in_force: Any, wanted: Any) -> Plan:
    """Returns the plan that makes what is in force equal to files.

    Keys are created and revoked by commands: a workspace of the files without
    ``keys`` keeps those in force, and a revoked key stays revoked.
    """
    wanted = copy.deepcopy(wanted)
    kept = []
    for path, workspace in list_workspaces(in_force):
        keys = workspace.get('keys')
        target = find_at(wanted, path)
        if target is None or not keys:
            continue
        if 'keys' not in target:
            target['keys'] = copy.deepcopy(keys)
            kept.append(f'{path}/keys')
            continue
        kept.extend(_keep_revoked(keys, target['keys'], f'{path}/keys'))
    differences = list_differences(in_force, wanted)
    changed = ''
    if differences:
        changed = find_common_path([entry.path for entry in differences])
    return Plan(
        changed,
        find_at(wanted, changed),
        tuple(differences),
        tuple(kept),
    )


def _keep_revoked(keys: Any, target: Any, path: str) -> list[str]:
    kept = []
    for key_id, key in keys.items():
        wanted = target.get(key_id)
        if wanted is None or wanted['revoked'] or not key['revoked']:
            continue
        wanted['revoked'] = True
        kept.append(f'{path}/{key_id}/revoked')
    return kept


def list_workspaces(document: Any) -> list[tuple[str, Any]]:
    """Returns path and value of every workspace."""
    found = []
    for team, subtree in document.get('teams', {}).items():
        for name, workspace in subtree.get('workspaces', {}).items():
            found.append((f'teams/{team}/workspaces/{name}', workspace))
    return found


def find_blame(
    document: Any,
    path: str,
    records: Iterable[ChangeRecord],
) -> list[Blame]:
    """Returns the last change of each leaf under a path.

    Args:
        document: The document in force.
        path: Path whose leaves are shown.
        records: Changes, the newest first.
    """
    history = list(records)
    return [
        Blame(leaf, content, _find_last(leaf, history))
        for leaf, content in files.list_paths(find_at(document, path), path)
    ]


def _find_last(leaf: str, history: list[ChangeRecord]) -> ChangeRecord:
    names = split_path(leaf)
    for record in history:
        changed = split_path(record.path)
        if changed != names[: len(changed)]:
            continue
        inner = '/'.join(names[len(changed) :])
        before = find_at(_read(record.before), inner)
        after = find_at(_read(record.after), inner)
        if before != after or not inner:
            return record
    return ChangeRecord(who='unknown', why='older than the history')


def _read(text: str) -> Any:
    try:
        return json.loads(text or 'null')
    except (ValueError, RecursionError):
        return None
