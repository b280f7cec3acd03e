"""Paths, differences and history of a settings document.

Pure functions. A path is a list of names joined by ``/``; the empty path is the
whole document.
"""

import copy
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from poplarspoke import errors, files
from poplarspoke.generated.configuration import ChangeRecord

TEAMS = 'teams'
# Parts outside the teams, each before the parts that refer to it.
SHARED_PARTS = ('zones', 'databases', 'hosts', 'keys')


class Difference(NamedTuple):
    """A value that differs between two documents; None where it is absent."""

    path: str
    before: Any
    after: Any


class Blame(NamedTuple):
    """The last change of a value; version 0 if the history lacks it."""

    path: str
    content: Any
    record: ChangeRecord


class Step(NamedTuple):
    """One change of a plan; ``team`` is empty for a shared path."""

    path: str
    content: Any
    team: str = ''


class Plan(NamedTuple):
    """Changes that make the settings in force equal to files.

    Attributes:
        steps: Changes in the order of submission.
        kept: Paths whose values in force are kept.
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
    """Returns a copy of the document with a value set; None removes it.

    Raises:
        errors.SettingsError: A name on the path is not a mapping.
    """
    names = split_path(path)
    if not names:
        return content
    changed = copy.deepcopy(document)
    target = changed
    for name in names[:-1]:
        target = target.setdefault(name, {})
        if not isinstance(target, dict):
            raise errors.SettingsError(f'{path}: {name} is not a mapping')
    if content is None:
        target.pop(names[-1], None)
    else:
        target[names[-1]] = content
    return changed


def parse_value(path: str, text: str) -> Any:
    """Returns the value of a text at a path of the document.

    The schema determines the type, so ``true`` stays text in a text field.

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
            f'{path}: the value must be a mapping; write it as {{name: value}}',
        )
    return content


def list_differences(
    before: Any,
    after: Any,
    path: str = '',
) -> list[Difference]:
    """Returns the leaves that differ, sorted by path."""
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


def create_plan(in_force: Any, desired: Any) -> Plan:
    """Returns the changes that make the settings in force equal to files.

    Keys are created and revoked by commands: a workspace without ``keys`` in
    the files keeps the keys in force, and a revoked key stays revoked.
    """
    desired = copy.deepcopy(desired)
    kept = []
    for path, workspace in list_workspaces(in_force):
        keys = workspace.get('keys')
        target = find_at(desired, path)
        if target is None or not keys:
            continue
        if 'keys' not in target:
            target['keys'] = copy.deepcopy(keys)
            kept.append(f'{path}/keys')
            continue
        kept.extend(_preserve_revocations(keys, target['keys'], f'{path}/keys'))
    return Plan(tuple(_list_steps(in_force, desired)), tuple(kept))


def _list_steps(in_force: Any, desired: Any) -> list[Step]:
    """Returns the changes in an order that keeps all references valid.

    Additions to shared parts come first, then the changes of teams, then the
    removals from shared parts.
    """
    if in_force == {TEAMS: {}}:
        return [] if desired == in_force else [Step('', desired)]
    steps = []
    for name in SHARED_PARTS:
        merged = _merge(in_force.get(name), desired.get(name))
        if merged != in_force.get(name):
            steps.append(Step(name, merged))
    steps.extend(_list_team_steps(in_force[TEAMS], desired[TEAMS]))
    for part in reversed(SHARED_PARTS):
        content = desired.get(part)
        if content != _merge(in_force.get(part), content):
            steps.append(Step(part, content))
    return steps


def _list_team_steps(in_force: Any, desired: Any) -> list[Step]:
    """Returns a change for each team, removed teams first.

    The workspaces of a removed team may then belong to another team.
    """
    removed = sorted(in_force.keys() - desired.keys())
    changed = [
        name for name in sorted(desired) if desired[name] != in_force.get(name)
    ]
    return [
        Step(f'{TEAMS}/{name}', desired.get(name), name)
        for name in (*removed, *changed)
    ]


def _merge(before: Any, after: Any) -> Any:
    """Returns ``after`` plus the names that only ``before`` has."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        return before if after is None else after
    return {
        name: _merge(before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
    }


def _preserve_revocations(keys: Any, target: Any, path: str) -> list[str]:
    kept = []
    for key_id, key in keys.items():
        desired = target.get(key_id)
        if desired is None or desired['revoked'] or not key['revoked']:
            continue
        desired['revoked'] = True
        kept.append(f'{path}/{key_id}/revoked')
    return kept


def list_workspaces(document: Any) -> list[tuple[str, Any]]:
    """Returns the path and value of each workspace."""
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
        document: Document in force.
        path: Path of the leaves.
        records: Changes, newest first.
    """
    history = list(records)
    return [
        Blame(leaf, content, _find_last_change(leaf, history))
        for leaf, content in files.list_paths(find_at(document, path), path)
    ]


def _find_last_change(leaf: str, history: list[ChangeRecord]) -> ChangeRecord:
    """Returns the change that set the current value of a leaf."""
    last = ChangeRecord(who='unknown', why='older than the history')
    covering = [record for record in history if _contains(record.path, leaf)]
    for record in covering:
        if last.version and _find_content(record, leaf) != _find_content(
            last, leaf
        ):
            break
        last = record
        if not record.content:
            # The history omits long values, so older ones may differ.
            break
    return last


def _find_content(record: ChangeRecord, leaf: str) -> Any:
    names = split_path(leaf)[len(split_path(record.path)) :]
    return find_at(_parse_content(record.content), '/'.join(names))


def _contains(path: str, leaf: str) -> bool:
    names = split_path(path)
    return names == split_path(leaf)[: len(names)]


def _parse_content(text: str) -> Any:
    try:
        return json.loads(text or 'null')
    except (ValueError, RecursionError):
        return None
