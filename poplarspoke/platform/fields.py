"""Reads fields of JSON objects and collects those that are invalid.

The problems name the kind of what was found, never its content, which may be a
key.
"""

import functools
import json
import math
from collections.abc import Callable
from typing import Any, NamedTuple

# Names and indices that lead from the root of a document to a part of it.
Place = tuple[str | int, ...]
# Deep nesting exceeds the recursion limit of the parser; a number such as 1e999
# is infinite and overflows as an integer.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
    OverflowError,
)
KIND_NAMES: dict[type, str] = {
    type(None): 'null',
    bool: 'a truth value',
    int: 'an integer',
    float: 'a number',
    str: 'a text',
    list: 'a list',
    dict: 'an object',
}
# Default of a field that has none.
REQUIRED = object()


class InvalidText(NamedTuple):
    """A document that is not JSON."""

    place: Place
    problem: str


class MissingField(NamedTuple):
    """A required field that is missing."""

    place: Place


class InvalidField(NamedTuple):
    """A value that a host cannot use.

    Attributes:
        place: Where it is.
        problem: What is needed there, and what kind of value was found.
    """

    place: Place
    problem: str


FieldError = InvalidText | MissingField | InvalidField


class Section(NamedTuple):
    """A JSON object of a document.

    Attributes:
        fields: The object; None if another value stands in its place, which is
            among the errors.
        place: Where it is.
        errors: Errors found so far, shared by the sections of a document.
    """

    fields: dict[str, Any] | None
    place: Place
    errors: list[FieldError]

    def read(
        self,
        name: str,
        parse: Callable[[Any], Any],
        default: Any = REQUIRED,
    ) -> Any:
        """Returns a field; None if it is invalid, which is then recorded.

        Args:
            name: Name of the field.
            parse: Returns the value of the field or raises one of
                ``DECODE_ERRORS``.
            default: Stands for a missing field.
        """
        if self.fields is None:
            return None
        found = self.fields.get(name, default)
        if found is REQUIRED:
            self.errors.append(MissingField((*self.place, name)))
            return None
        try:
            return parse(found)
        except DECODE_ERRORS as exc:
            problem = _describe(exc, found)
            self.errors.append(InvalidField((*self.place, name), problem))
        return None

    def enter(self, name: str) -> 'Section':
        """Returns the section in a field."""
        found = self.read(name, _keep)
        place = (*self.place, name)
        if self.fields is None or name not in self.fields:
            return Section(None, place, self.errors)
        return open_section(found, place, self.errors)

    def list_sections(self, name: str) -> list['Section']:
        """Returns the sections in a field that holds a list of them."""
        found = self.read(name, parse_list) or ()
        place = (*self.place, name)
        return [
            open_section(entry, (*place, index), self.errors)
            for index, entry in enumerate(found)
        ]

    def list_texts(self, name: str) -> tuple[str, ...]:
        """Returns the texts in a field that holds a list of them."""
        found = self.read(name, list_items) or ()
        texts: list[str] = []
        for index, entry in enumerate(found):
            try:
                texts.append(parse_text(entry))
            except DECODE_ERRORS as exc:
                place = (*self.place, name, index)
                problem = _describe(exc, entry)
                self.errors.append(InvalidField(place, problem))
        return tuple(texts)


def open_document(content: str, errors: list[FieldError]) -> Section:
    """Returns the section of a whole document.

    Args:
        content: JSON object.
        errors: Receives the errors of the document and of its sections.
    """
    try:
        found = json.loads(content)
    except json.JSONDecodeError as exc:
        problem = f'line {exc.lineno}, column {exc.colno}: {exc.msg}'
    except DECODE_ERRORS:
        problem = 'nested too deeply, or a number with too many digits'
    else:
        return open_section(found, (), errors)
    errors.append(InvalidText((), problem))
    return Section(None, (), errors)


def open_section(
    found: Any,
    place: Place,
    errors: list[FieldError],
) -> Section:
    """Returns a section; an error is recorded if there is no object."""
    if isinstance(found, dict):
        return Section(found, place, errors)
    errors.append(
        InvalidField(
            place, f'an object is needed, found {describe_kind(found)}'
        ),
    )
    return Section(None, place, errors)


def describe_kind(found: Any) -> str:
    """Returns the kind of a JSON value, without its content."""
    return KIND_NAMES.get(type(found), 'another value')


def list_items(found: Any) -> list[Any]:
    """Returns the items of a list.

    A text stands for its characters and an object for its names: hosts of
    earlier versions read them so, and all hosts have to agree on a
    configuration.
    """
    if not isinstance(found, list | str | dict):
        raise ValueError('a list is needed')
    return list(found)


def parse_list(found: Any) -> list[Any]:
    """Returns a list; an empty text or object counts as an empty one."""
    if not isinstance(found, list) and list_items(found):
        raise ValueError('a list is needed')
    return list(found)


def parse_text(found: Any) -> str:
    """Returns a text that is not empty."""
    if not isinstance(found, str) or not found:
        raise ValueError('a non-empty text is needed')
    return found


def parse_count(found: Any, limit: int) -> int:
    """Returns an integer from 0 to a limit."""
    if not isinstance(found, int) or isinstance(found, bool):
        raise ValueError('an integer is needed')
    if not 0 <= found <= limit:
        raise ValueError(f'an integer from 0 to {limit} is needed')
    return found


def parse_number(found: Any) -> float:
    """Returns a finite number that is not negative."""
    if not isinstance(found, int | float) or isinstance(found, bool):
        raise ValueError('a number is needed')
    if not math.isfinite(found) or found < 0:
        raise ValueError('a finite number from 0 is needed')
    return float(found)


def _keep(found: Any) -> Any:
    return found


def _describe(exc: Exception, found: Any) -> str:
    return f'{_describe_need(exc)}, found {describe_kind(found)}'


@functools.singledispatch
def _describe_need(exc: Exception) -> str:
    return 'a smaller value is needed'


@_describe_need.register
def _(exc: ValueError) -> str:
    return str(exc)
