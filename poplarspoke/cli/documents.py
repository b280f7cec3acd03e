"""Paths, differences and last changes of a settings document.

Pure functions. A path has its names joined by ``/``; the empty path is the
whole document.
"""

import copy
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from poplarspoke import errors, files
from poplarspoke.generated.configuration import ChangeRecord

TEAMS = 'teams'
# Shared parts of the document, each before those that refer to it.
GROWING = ('zones', 'databases', 'hosts', 'keys')


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


class Step(NamedTuple):
    """One change of a plan; ``team`` is empty for a shared path."""

    path: str
    content: Any
    team: str = ''


class Plan(NamedTuple):
    """What makes the settings in force equal to files.

    Attributes:
        steps: Changes in their order.
        kept: Paths that stay as they are in force.
    """

    steps: tuple[Step, ...]
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
    kind = files.get_schema_type(path)
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
    return Plan(tuple(_list_steps(in_force, wanted)), tuple(kept))


def _list_steps(in_force: Any, wanted: Any) -> list[Step]:
    """Returns the changes in an order in which each refers to what exists.

    Shared parts grow first, then teams change, then shared parts shrink.
    """
    if in_force == {TEAMS: {}}:
        return [] if wanted == in_force else [Step('', wanted)]
    steps = []
    for name in GROWING:
        grown = _merge(in_force.get(name), wanted.get(name))
        if grown != in_force.get(name):
            steps.append(Step(name, grown))
    steps.extend(_list_team_steps(in_force[TEAMS], wanted[TEAMS]))
    for shrinking in reversed(GROWING):
        content = wanted.get(shrinking)
        if content != _merge(in_force.get(shrinking), content):
            steps.append(Step(shrinking, content))
    return steps


def _list_team_steps(in_force: Any, wanted: Any) -> list[Step]:
    """Returns a change for each team; a removed team goes first.

    Its workspaces can then belong to another team.
    """
    removed = sorted(in_force.keys() - wanted.keys())
    changed = [
        name for name in sorted(wanted) if wanted[name] != in_force.get(name)
    ]
    return [
        Step(f'{TEAMS}/{name}', wanted.get(name), name)
        for name in (*removed, *changed)
    ]


def _merge(before: Any, after: Any) -> Any:
    """Returns ``after`` with the names that only ``before`` has."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        return before if after is None else after
    return {
        name: _merge(before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
    }


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
    """Returns the change since which the leaf has its value."""
    last = ChangeRecord(who='unknown', why='older than the history')
    covering = [record for record in history if _contains(record.path, leaf)]
    for record in covering:
        if last.version and _find_in(record, leaf) != _find_in(last, leaf):
            break
        last = record
        if not record.content:
            # A long value is not in the history, so older ones may differ.
            break
    return last


def _find_in(record: ChangeRecord, leaf: str) -> Any:
    names = split_path(leaf)[len(split_path(record.path)) :]
    return find_at(_read(record.content), '/'.join(names))


def _contains(path: str, leaf: str) -> bool:
    names = split_path(path)
    return names == split_path(leaf)[: len(names)]


def _read(text: str) -> Any:
    try:
        return json.loads(text or 'null')
    except (ValueError, RecursionError):
        return None
