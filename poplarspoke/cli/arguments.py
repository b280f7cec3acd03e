"""Parses the command line.

``fire`` binds the arguments to the fields of a command. On its own it guesses
the type of a value, takes the word after a switch as its value and opens a
console after ``--``. So it gets each argument as ``--name=value``, and all
values but switches are text.
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
    """A command line that does not match any command."""

    code = ErrorCode.BAD_REQUEST


class Help(NamedTuple):
    """The command that prints a help text."""

    text: str


class Call(NamedTuple):
    """A command with its arguments and the common options."""

    command: Any
    options: Options


class _SplitArguments(NamedTuple):
    """Arguments for the options and the command, as ``--name=value``."""

    options: list[str]
    command: list[str]


def parse(args: Sequence[str]) -> Call:
    """Returns the command for the arguments.

    Raises:
        UsageError: The arguments do not match a command.
    """
    if not args or args[0] in HELP_NAMES:
        return Call(Help(format_overview()), Options())
    definition = _find_definition(args[0])
    if HELP_NAMES.intersection(args[1:]) - {'help'}:
        return Call(Help(format_help(definition)), Options())
    split = _split_arguments(definition, args[1:])
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
    positionals = ' '.join(name.upper() for name in definition.positional)
    lines = [
        f'usage: poplarspoke {definition.name} {positionals} [OPTIONS]',
        '',
        definition.command.__doc__,
        '',
    ]
    for target_type in (definition.command, Options):
        lines.extend(_list_argument_help(target_type, definition.positional))
    lines.append('')
    lines.append(f'example: poplarspoke {definition.example}')
    return '\n'.join(lines)


def _list_argument_help(
    target_type: Any, positional: tuple[str, ...]
) -> list[str]:
    lines = []
    for name in target_type._fields:
        shown = name.upper() if name in positional else _format_option(name)
        required_mark = (
            '' if name in target_type._field_defaults else ' (required)'
        )
        lines.append(
            f'  {shown:{HELP_WIDTH}}{ARGUMENT_HELP[name]}{required_mark}'
        )
    return lines


def _find_definition(name: str) -> Definition:
    names = [definition.name for definition in DEFINITIONS]
    for definition in DEFINITIONS:
        if definition.name == name:
            return definition
    raise UsageError(
        f'no command {name!r}{_format_suggestion(files.find_nearest(name, names))}; '
        '"poplarspoke help" lists all commands',
    )


def _split_arguments(
    definition: Definition, args: Sequence[str]
) -> _SplitArguments:
    """Names positional arguments and separates the common options."""
    split = _SplitArguments([], [])
    positionals = list(definition.positional)
    remaining = list(args)
    while remaining:
        word = remaining.pop(0)
        if not word.startswith('--'):
            name = _take_positional(positionals, word, definition)
            split.command.append(f'{_format_option(name)}={word}')
            continue
        name, equals, text = word[2:].partition('=')
        name = name.replace('-', '_')
        if not equals:
            text = _read_option_value(name, remaining, definition)
        if name in positionals:
            positionals.remove(name)
        _select_argument_list(split, name, definition).append(
            f'{_format_option(name)}={text}',
        )
    return split


def _select_argument_list(
    split: _SplitArguments,
    name: str,
    definition: Definition,
) -> list[str]:
    _find_option_type(name, definition)
    if name in definition.command._fields:
        return split.command
    return split.options


def _take_positional(
    positionals: list[str], word: str, definition: Definition
) -> str:
    if positionals:
        return positionals.pop(0)
    raise UsageError(
        f'{definition.name} has no place for {word!r}; {_format_help_hint(definition)}',
    )


def _read_option_value(
    name: str, remaining: list[str], definition: Definition
) -> str:
    if _find_option_type(name, definition) is bool:
        return TRUE
    if remaining and not remaining[0].startswith('--'):
        return remaining.pop(0)
    raise UsageError(
        f'{_format_option(name)} needs a value; {_format_help_hint(definition)}',
    )


def _find_option_type(name: str, definition: Definition) -> type:
    kinds = {**Options.__annotations__, **definition.command.__annotations__}
    kind: type | None = kinds.get(name)
    if kind is not None:
        return kind
    raise UsageError(
        f'{definition.name} has no option {_format_option(name)}'
        f'{_format_suggestion(files.find_nearest(name, kinds))}; {_format_help_hint(definition)}',
    )


def _bind(target_type: Any, args: list[str], definition: Definition) -> Any:
    """Returns an instance of the type with the arguments as its fields."""
    if definition.lean:
        return _bind_without_fire(target_type, args, definition)
    fire = importlib.import_module('fire')
    switches = {
        name: _parse_switch
        for name, kind in target_type.__annotations__.items()
        if kind is bool
    }
    fire.decorators.SetParseFns(**switches)(target_type)
    fire.decorators.SetParseFn(str)(target_type)
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output):
            with contextlib.redirect_stderr(output):
                return fire.Fire(target_type, args, name=definition.name)
    except fire.core.FireExit as exc:
        raise UsageError(
            f'{definition.name} {_describe_missing(target_type, args)}; '
            f'{_format_help_hint(definition)}',
        ) from exc


def _bind_without_fire(
    target_type: Any, args: list[str], definition: Definition
) -> Any:
    texts = {}
    for word in args:
        name, _, text = word[2:].partition('=')
        texts[name.replace('-', '_')] = text
    try:
        return target_type(**texts)
    except TypeError as exc:
        raise UsageError(
            f'{definition.name} {_describe_missing(target_type, args)}; '
            f'{_format_help_hint(definition)}',
        ) from exc


def _describe_missing(target_type: Any, args: list[str]) -> str:
    given = {word[2:].partition('=')[0].replace('-', '_') for word in args}
    missing = [
        _format_option(name)
        for name in target_type._fields
        if name not in given and name not in target_type._field_defaults
    ]
    return f'lacks {", ".join(missing)}' if missing else 'cannot be read'


def _parse_switch(text: str) -> bool:
    return text.lower() == 'true'


def _format_option(name: str) -> str:
    return f'--{name.replace("_", "-")}'


def _format_suggestion(nearest: str) -> str:
    return f', did you mean {nearest!r}?' if nearest else ''


def _format_help_hint(definition: Definition) -> str:
    return f'see "poplarspoke {definition.name} --help"'
