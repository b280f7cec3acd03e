"""Reads YAML into plain data without implicit type conversion.

Names stay text: ``on: 1`` and ``1e5: 2`` have the names ``on`` and ``1e5``.
All unquoted values except ``true``, ``false``, ``null`` and JSON numbers are
text. Aliases, tags and duplicate names are refused. Imported only at start-up
and by commands, since a daemon has 32 MB for control.
"""

import functools
import json
import re
from typing import Any

import yaml

from poplarspoke import errors

MAX_DEPTH = 32
NUMBER_PATTERN = re.compile(
    r'-?(0|[1-9][0-9]{0,15})(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?',
)
JSON_WORDS = ('true', 'false', 'null')
STANDARD_TAG = 'tag:yaml.org,2002:'


def read(text: str, file: str) -> Any:
    """Returns the plain data of a YAML text.

    Args:
        text: The YAML text.
        file: Name of the file, for errors.

    Raises:
        errors.SettingsError: The text is not in the YAML subset for settings.
    """
    try:
        node = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        raise _create_error(file, mark, exc.problem or 'no valid YAML') from exc
    except yaml.YAMLError as exc:
        raise _create_error(
            file, None, 'a character that YAML forbids'
        ) from exc
    except RecursionError as exc:
        raise _create_error(
            file, None, f'nested over {MAX_DEPTH} levels'
        ) from exc
    if node is None:
        return {}
    return convert(node, file, 0)


class _Loader(yaml.SafeLoader):
    """Safe loader that refuses aliases and explicit tags."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Composes a node that is neither an alias nor explicitly tagged.

        Raises:
            yaml.MarkedYAMLError: The node is an alias or has a tag.
        """
        event = self.peek_event()  # type: ignore[no-untyped-call]
        is_alias = isinstance(event, yaml.AliasEvent)
        if is_alias or getattr(event, 'tag', None):
            raise yaml.MarkedYAMLError(
                problem='aliases and tags are not allowed',
                problem_mark=event.start_mark,
            )
        return super().compose_node(parent, index)


@functools.singledispatch
def convert(node: yaml.Node, file: str, depth: int) -> Any:
    """Returns the plain data of a YAML node."""
    raise _create_error(file, node.start_mark, 'an unknown kind of node')


@convert.register
def _(node: yaml.ScalarNode, file: str, depth: int) -> Any:
    plain = node.style is None
    if plain and not node.value:
        return None
    is_number = NUMBER_PATTERN.fullmatch(node.value) is not None
    if plain and (is_number or node.value in JSON_WORDS):
        return json.loads(node.value)
    return node.value


@convert.register
def _(node: yaml.SequenceNode, file: str, depth: int) -> Any:
    _check_depth(node, file, depth)
    return [convert(entry, file, depth + 1) for entry in node.value]


@convert.register
def _(node: yaml.MappingNode, file: str, depth: int) -> Any:
    _check_depth(node, file, depth)
    found: dict[str, Any] = {}
    for name, entry in node.value:
        if not isinstance(name, yaml.ScalarNode):
            raise _create_error(file, name.start_mark, 'a name that is no text')
        if name.value in found:
            raise _create_error(file, name.start_mark, f'{name.value!r} twice')
        found[name.value] = convert(entry, file, depth + 1)
    return found


def _check_depth(node: yaml.Node, file: str, depth: int) -> None:
    if depth >= MAX_DEPTH:
        raise _create_error(
            file, node.start_mark, f'nested over {MAX_DEPTH} levels'
        )


def _create_error(file: str, mark: Any, problem: str) -> errors.SettingsError:
    place = ''
    if mark is not None:
        place = f' line {mark.line + 1}, column {mark.column + 1}'
    return errors.SettingsError(
        f'{file}{place}: {problem}; correct the YAML at this place',
    )
