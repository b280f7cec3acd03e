"""Converts messages to and from capnp bytes and JSON objects.

The generated modules register a codec for each message type. Input is
untrusted: decoding has a traversal and a nesting limit, and each field of a
JSON object is checked.
"""

import enum
import functools
import math
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import capnp

SCHEMA_DIR = pathlib.Path(__file__).parent / 'schema'
# A word has 8 bytes; 1 MiB covers the largest frame that ``wire`` accepts.
TRAVERSAL_LIMIT_WORDS = 131072
NESTING_LIMIT = 16
SHOWN_NAME_CHARACTERS = 64
MAX_INTEGER = 0xFFFFFFFFFFFFFFFF
# Lone surrogates are valid in JSON but not in UTF-8.
SURROGATES_START = '\ud800'
SURROGATES_END = '\udfff'

Message = TypeVar('Message')
Parse = Callable[[Mapping[str, Any], str], Message]


class FormatError(ValueError):
    """Input that is not a valid message; the text names the field."""


class Codec(NamedTuple):
    """Conversion functions of one message type.

    Attributes:
        name: Name of the struct.
        module: Name of the schema file, without its suffix.
        fill: Copies a message into a capnp builder.
        read: Returns the message that a capnp reader holds.
        parse: Returns the message of a JSON object; None for messages with a
            union.
    """

    name: str
    module: str
    fill: Callable[[Any, Any], None]
    read: Callable[[Any], Any]
    parse: Callable[[Mapping[str, Any], str], Any] | None


_codecs: dict[Any, Codec] = {}


def register(
    message_type: type,
    module: str,
    fill: Callable[[Any, Any], None],
    read: Callable[[Any], Any],
    parse: Callable[[Mapping[str, Any], str], Any] | None,
) -> None:
    """Registers the codec of a message type; called by generated code."""
    _codecs[message_type] = Codec(
        message_type.__name__,
        module,
        fill,
        read,
        parse,
    )


def load_struct(message_type: Any) -> Any:
    """Returns the capnp struct of a message type."""
    codec = _codecs[message_type]
    return _load_struct(codec.module, codec.name)


@functools.cache
def _load_struct(module: str, name: str) -> Any:
    return getattr(_load_schema(module), name)


@functools.cache
def _load_schema(module: str) -> Any:
    path = SCHEMA_DIR / f'{module}.capnp'
    return capnp.load(str(path), imports=[str(SCHEMA_DIR)])


def encode(message: Any) -> bytes:
    """Returns the capnp bytes of a message."""
    builder = load_struct(type(message)).new_message()
    _codecs[type(message)].fill(builder, message)
    return bytes(builder.to_bytes())


def decode(message_type: type[Message], payload: bytes) -> Message:
    """Returns the message that the capnp bytes hold.

    Raises:
        FormatError: The bytes are not a valid message of this type.
    """
    try:
        return _decode(message_type, payload)
    except (capnp.KjException, ValueError) as exc:
        raise FormatError(
            f'{message_type.__name__} cannot be decoded; '
            'run the same version on all hosts',
        ) from exc


def _decode(message_type: type[Message], payload: bytes) -> Message:
    struct = load_struct(message_type)
    with struct.from_bytes(
        payload,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        nesting_limit=NESTING_LIMIT,
    ) as reader:
        message: Message = _codecs[message_type].read(reader)
        return message


def parse(message_type: type[Message], source: Any) -> Message:
    """Returns the message that a JSON object holds.

    Raises:
        FormatError: The message type has no JSON form, or a field is unknown
            or has the wrong type.
    """
    parse_message = _codecs[message_type].parse
    if parse_message is None:
        raise FormatError(f'{message_type.__name__} has no JSON form')
    if not isinstance(source, dict):
        raise FormatError('the body must be a JSON object')
    message: Message = parse_message(source, '')
    return message


@functools.singledispatch
def to_object(node: Any) -> Any:
    """Returns the JSON form of a message or of plain data."""
    return node


@to_object.register
def _(node: tuple) -> Any:  # type: ignore[type-arg]
    fields = getattr(node, '_fields', None)
    if fields is None:
        return [to_object(entry) for entry in node]
    return {name: to_object(getattr(node, name)) for name in fields}


@to_object.register
def _(node: list) -> Any:  # type: ignore[type-arg]
    return [to_object(entry) for entry in node]


@to_object.register
def _(node: dict) -> Any:  # type: ignore[type-arg]
    return {str(name): to_object(entry) for name, entry in node.items()}


@to_object.register
def _(node: enum.Enum) -> Any:
    return node.name.lower()


@to_object.register
def _(node: bytes) -> Any:
    return node.hex()


@to_object.register
def _(node: set) -> Any:  # type: ignore[type-arg]
    return sorted(to_object(entry) for entry in node)


def unknown_variant(name: str) -> FormatError:
    """Returns the error for a union member that this version lacks."""
    return FormatError(
        f'message variant {name} is unknown; run the same version everywhere',
    )


def check_keys(
    source: Mapping[str, Any],
    known: tuple[str, ...],
    path: str,
) -> None:
    """Checks that a JSON object has no unknown fields.

    Raises:
        FormatError: A field is unknown.
    """
    for key in source:
        if key in known:
            continue
        names = ', '.join(known)
        raise FormatError(
            f'field {path}{str(key)[:SHOWN_NAME_CHARACTERS]!r} is unknown; use one of: {names}',
        )


def take_scalar(
    source: Mapping[str, Any],
    key: str,
    path: str,
    kind: Callable[[], Message],
) -> Message:
    """Returns a scalar field, or the zero value if it is absent."""
    if key not in source:
        return kind()
    return check_scalar(source[key], f'{path}{key}', kind)


def check_scalar(
    value: Any,
    path: str,
    kind: Callable[[], Message],
) -> Message:
    """Returns a value after a check of its scalar type.

    Raises:
        FormatError: The value has another type.
    """
    if kind is bytes and isinstance(value, str):
        value = _parse_hex(value, path)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if kind is float and is_integer:
        value = float(value)
    if value.__class__ is not kind or not _is_encodable(value):
        type_name = getattr(kind, '__name__', 'value')
        raise FormatError(f'field {path!r} must be a valid {type_name}')
    checked: Message = value
    return checked


@functools.singledispatch
def _is_encodable(value: Any) -> bool:
    """Returns whether capnp can encode a value read from JSON."""
    return True


@_is_encodable.register
def _(value: float) -> bool:
    return math.isfinite(value)


@_is_encodable.register
def _(value: int) -> bool:
    return 0 <= value <= MAX_INTEGER


@_is_encodable.register
def _(value: str) -> bool:
    return not any(SURROGATES_START <= char <= SURROGATES_END for char in value)


def finite(number: float) -> float:
    """Returns a number of a frame after a check that it is finite.

    NaN would break the comparisons of decision functions.

    Raises:
        FormatError: The number is infinite or not a number.
    """
    if math.isfinite(number):
        return number
    raise FormatError('a number in a frame must be finite')


def _parse_hex(text: str, path: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError as exc:
        raise FormatError(f'field {path!r} must be hex') from exc


def take_scalars(
    source: Mapping[str, Any],
    key: str,
    path: str,
    kind: Callable[[], Message],
) -> tuple[Message, ...]:
    """Returns a list field of scalars as a tuple."""
    return tuple(
        check_scalar(entry, f'{path}{key}', kind)
        for entry in _get_list(source, key, path)
    )


def take_struct(
    source: Mapping[str, Any],
    key: str,
    path: str,
    parse_struct: Parse[Message],
) -> Message:
    """Returns a nested message; zero values if it is absent."""
    return _parse_nested(source.get(key, {}), f'{path}{key}', parse_struct)


def take_structs(
    source: Mapping[str, Any],
    key: str,
    path: str,
    parse_struct: Parse[Message],
) -> tuple[Message, ...]:
    """Returns a list field of messages as a tuple."""
    return tuple(
        _parse_nested(entry, f'{path}{key}', parse_struct)
        for entry in _get_list(source, key, path)
    )


def take_enum(
    source: Mapping[str, Any],
    key: str,
    path: str,
    kind: type[enum.IntEnum],
) -> Any:
    """Returns the enumeration member with a lower-case name."""
    if key not in source:
        return kind(0)
    names = {member.name.lower(): member for member in kind}
    value = source[key]
    if not isinstance(value, str) or value not in names:
        allowed = ', '.join(names)
        raise FormatError(
            f'field {path}{key!r} must be one of: {allowed}',
        )
    return names[value]


def _parse_nested(
    value: Any,
    path: str,
    parse_struct: Parse[Message],
) -> Message:
    if not isinstance(value, dict):
        raise FormatError(f'field {path!r} must be a JSON object')
    return parse_struct(value, f'{path}.')


def _get_list(source: Mapping[str, Any], key: str, path: str) -> list[Any]:
    value = source.get(key, [])
    if not isinstance(value, list):
        raise FormatError(f'field {path}{key!r} must be a list')
    return value
