"""Reads the command line.

``fire`` binds and converts the arguments. It would guess the type of a value,
take the word after a switch as its value, and open a console after ``--``, so
it gets every argument as ``--name=value`` and no type but text and switch.
"""

import contextlib
import importlib
import io
from collections.abc import Sequence
from typing import Any, NamedTuple

from poplarspoke import errors, files
from poplarspoke.cli.definitions import (
    ARGUMENT_HELP,
    DEFINITIONS,
    Definition,
    Options,
)
from poplarspoke.generated.common import ErrorCode

HELP_NAMES = frozenset(('-h', '--help', 'help'))
HELP_WIDTH = 18
TRUE = 'True'


class UsageError(errors.PoplarspokeError):
    """A command line that cannot be understood."""

    code = ErrorCode.BAD_REQUEST


class Help(NamedTuple):
    """Asks for a help text."""

    text: str


class Call(NamedTuple):
    """A command with its arguments and the common options."""

    command: Any
    options: Options


class _Split(NamedTuple):
    """Arguments of the two receivers, each as ``--name=value``."""

    options: list[str]
    command: list[str]


def parse(args: Sequence[str]) -> Call:
    """Returns the command that the arguments ask for.

    Raises:
        UsageError: The arguments fit no command.
    """
    if not args or args[0] in HELP_NAMES:
        return Call(Help(format_overview()), Options())
    definition = _find_definition(args[0])
    if HELP_NAMES.intersection(args[1:]) - {'help'}:
        return Call(Help(format_help(definition)), Options())
    split = _split(definition, args[1:])
    return Call(
        _bind(definition.command, split.command, definition),
        _bind(Options, split.options, definition),
    )


def format_overview() -> str:
    """Returns the list of all commands."""
    lines = ['usage: poplarspoke COMMAND [ARGUMENTS]', '']
    for definition in DEFINITIONS:
        purpose = definition.command.__doc__
        lines.append(f'  {definition.name:{HELP_WIDTH}}{purpose}')
    lines.append('')
    lines.append('"poplarspoke COMMAND --help" describes one command.')
    return '\n'.join(lines)


def format_help(definition: Definition) -> str:
    """Returns the help text of one command, with an example."""
    places = ' '.join(name.upper() for name in definition.positional)
    lines = [
        f'usage: poplarspoke {definition.name} {places} [OPTIONS]',
        '',
        definition.command.__doc__,
        '',
    ]
    for receiver in (definition.command, Options):
        lines.extend(_list_help(receiver, definition.positional))
    lines.append('')
    lines.append(f'example: poplarspoke {definition.example}')
    return '\n'.join(lines)


def _list_help(receiver: Any, positional: tuple[str, ...]) -> list[str]:
    lines = []
    for name in receiver._fields:
        shown = name.upper() if name in positional else _show_name(name)
        need = '' if name in receiver._field_defaults else ' (required)'
        lines.append(f'  {shown:{HELP_WIDTH}}{ARGUMENT_HELP[name]}{need}')
    return lines


def _find_definition(name: str) -> Definition:
    names = [definition.name for definition in DEFINITIONS]
    for definition in DEFINITIONS:
        if definition.name == name:
            return definition
    raise UsageError(
        f'no command {name!r}{_hint(files.find_nearest(name, names))}; '
        '"poplarspoke help" lists all commands',
    )


def _split(definition: Definition, args: Sequence[str]) -> _Split:
    """Gives each argument its name and its receiver."""
    split = _Split([], [])
    places = list(definition.positional)
    rest = list(args)
    while rest:
        word = rest.pop(0)
        if not word.startswith('--'):
            name = _take_place(places, word, definition)
            split.command.append(f'{_show_name(name)}={word}')
            continue
        name, equals, text = word[2:].partition('=')
        name = name.replace('-', '_')
        if not equals:
            text = _take_text(name, rest, definition)
        if name in places:
            places.remove(name)
        _find_receiver(split, name, definition).append(
            f'{_show_name(name)}={text}',
        )
    return split


def _find_receiver(
    split: _Split,
    name: str,
    definition: Definition,
) -> list[str]:
    _check_name(name, definition)
    if name in definition.command._fields:
        return split.command
    return split.options


def _take_place(places: list[str], word: str, definition: Definition) -> str:
    if places:
        return places.pop(0)
    raise UsageError(
        f'{definition.name} has no place for {word!r}; {_see(definition)}',
    )


def _take_text(name: str, rest: list[str], definition: Definition) -> str:
    if _check_name(name, definition) is bool:
        return TRUE
    if rest and not rest[0].startswith('--'):
        return rest.pop(0)
    raise UsageError(
        f'{_show_name(name)} needs a value; {_see(definition)}',
    )


def _check_name(name: str, definition: Definition) -> type:
    kinds = {**Options.__annotations__, **definition.command.__annotations__}
    kind: type | None = kinds.get(name)
    if kind is not None:
        return kind
    raise UsageError(
        f'{definition.name} has no option {_show_name(name)}'
        f'{_hint(files.find_nearest(name, kinds))}; {_see(definition)}',
    )


def _bind(receiver: Any, args: list[str], definition: Definition) -> Any:
    """Returns the receiver with the arguments, bound by ``fire``."""
    if definition.lean:
        return _bind_lean(receiver, args, definition)
    fire = importlib.import_module('fire')
    switches = {
        name: _is_true
        for name, kind in receiver.__annotations__.items()
        if kind is bool
    }
    fire.decorators.SetParseFns(**switches)(receiver)
    fire.decorators.SetParseFn(str)(receiver)
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output):
            with contextlib.redirect_stderr(output):
                return fire.Fire(receiver, args, name=definition.name)
    except fire.core.FireExit as exc:
        raise UsageError(
            f'{definition.name} {_find_missing(receiver, args)}; '
            f'{_see(definition)}',
        ) from exc


def _bind_lean(receiver: Any, args: list[str], definition: Definition) -> Any:
    texts = {}
    for word in args:
        name, _, text = word[2:].partition('=')
        texts[name.replace('-', '_')] = text
    try:
        return receiver(**texts)
    except TypeError as exc:
        raise UsageError(
            f'{definition.name} {_find_missing(receiver, args)}; '
            f'{_see(definition)}',
        ) from exc


def _find_missing(receiver: Any, args: list[str]) -> str:
    given = {word[2:].partition('=')[0].replace('-', '_') for word in args}
    missing = [
        _show_name(name)
        for name in receiver._fields
        if name not in given and name not in receiver._field_defaults
    ]
    return f'lacks {", ".join(missing)}' if missing else 'cannot be read'


def _is_true(text: str) -> bool:
    return text.lower() == 'true'


def _show_name(name: str) -> str:
    return f'--{name.replace("_", "-")}'


def _hint(nearest: str) -> str:
    return f', did you mean {nearest!r}?' if nearest else ''


def _see(definition: Definition) -> str:
    return f'see "poplarspoke {definition.name} --help"'
