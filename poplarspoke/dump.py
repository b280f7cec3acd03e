"""Converts the state of each task to JSON for ``GET /dump``.

A field that is listed in ``TIMESTAMP_FIELDS`` or ends in one of
``TIMESTAMP_SUFFIXES`` holds a time on the monotonic clock. It is printed as an
age in seconds named ``..._age_s``, negative for a time in the future. All other
names stay unchanged, so that programs can rely on them. Secrets are recognized
by the names of their fields and by their format, and replaced.
"""

import collections
import enum
import functools
import json
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from poplarspoke import logs

MAX_DEPTH = 24
# Maximum entries of each list or mapping, tried in this order until the output
# fits into one response of the operators' interface.
ENTRY_LIMITS = (1000, 100, 10, 1)
MAX_DUMP_BYTES = 200000
MAX_TEXT_CHARACTERS = 512
AGE_DIGITS = 3
SECONDS_SUFFIX = '_s'
TIMESTAMP_SUFFIXES = ('_at_s', '_until_s', '_since_s', '_after_s')
# Timestamps of the decision modules without such a suffix.
TIMESTAMP_FIELDS = frozenset(
    (
        'arrived_s',
        'deadline_s',
        'granted_s',
        'heard_s',
        'observed_s',
        'sent_s',
        'settled_s',
        'since_s',
        'until_s',
    )
)
AGE_SUFFIX = '_age_s'
OMITTED = '[omitted]'
# Not times on the monotonic clock: one is on the clock of the platform's table,
# the other is a duration.
EXCLUDED_FIELDS = frozenset(('accepted_at_s', 'retry_after_s'))
# Fields that hold secrets or values of a caller.
SECRET_FIELDS = frozenset(
    (
        'answer',
        'digest',
        'effect',
        'key',
        'nonce',
        'operator',
        'parameters',
        'proof',
        'rows',
        'secret',
        'secrets',
        'session',
        'session_token',
        'text',
        'token',
    )
)
DIGEST_PATTERN = re.compile('[0-9a-f]{64}')


class Conversion(NamedTuple):
    """Parameters of a conversion.

    Attributes:
        now_s: Monotonic clock in seconds.
        redactor: Replaces the secrets that this process knows.
        entries: Maximum entries shown of each list or mapping.
        depth: Nesting level of the value.
    """

    now_s: float
    redactor: logs.Redactor
    entries: int
    depth: int = 0


def dump(
    states: Mapping[str, Any],
    now_s: float,
    secrets: Iterable[str] = (),
) -> bytes:
    """Returns the states of tasks as JSON.

    Args:
        states: State by the name of its task.
        now_s: Monotonic clock in seconds.
        secrets: Texts to redact.
    """
    conversion = Conversion(now_s, logs.Redactor(secrets), ENTRY_LIMITS[0])
    payload = b''
    for entries in ENTRY_LIMITS:
        payload = _serialize(states, conversion._replace(entries=entries))
        if len(payload) <= MAX_DUMP_BYTES:
            break
    return payload


def _serialize(states: Mapping[str, Any], conversion: Conversion) -> bytes:
    tasks = {name: convert(state, conversion) for name, state in states.items()}
    return json.dumps({'tasks': tasks}, indent=1, sort_keys=True).encode()


@functools.singledispatch
def convert(node: Any, conversion: Conversion) -> Any:
    """Returns plain data; for an unknown type only its name."""
    return f'[{type(node).__name__}]'


@convert.register(bool)
@convert.register(int)
@convert.register(type(None))
def _(node: Any, conversion: Conversion) -> Any:
    return node


@convert.register
def _(node: float, conversion: Conversion) -> Any:
    return node if math.isfinite(node) else str(node)


@convert.register
def _(node: str, conversion: Conversion) -> Any:
    text = DIGEST_PATTERN.sub(
        logs.REPLACEMENT, conversion.redactor.redact(node)
    )
    return text[:MAX_TEXT_CHARACTERS]


@convert.register
def _(node: bytes, conversion: Conversion) -> Any:
    return f'[{len(node)} bytes]'


# An IntEnum would dispatch to int, so it is registered separately.
@convert.register(enum.IntEnum)
@convert.register(enum.Enum)
def _(node: Any, conversion: Conversion) -> Any:
    return node.name.lower()


@convert.register
def _(node: tuple, conversion: Conversion) -> Any:  # type: ignore[type-arg]
    names = getattr(node, '_fields', None)
    if names is None:
        return _convert_entries(node, conversion)
    return _convert_fields(
        zip(names, node, strict=True), len(names), conversion
    )


@convert.register(list)
@convert.register(collections.deque)
def _(node: Any, conversion: Conversion) -> Any:
    return _convert_entries(node, conversion)


@convert.register(set)
@convert.register(frozenset)
def _(node: Any, conversion: Conversion) -> Any:
    return _convert_entries(sorted(node, key=repr), conversion)


@convert.register(collections.abc.Mapping)
def _(node: Any, conversion: Conversion) -> Any:
    return _convert_fields(node.items(), len(node), conversion)


def _convert_entries(entries: Any, conversion: Conversion) -> Any:
    if conversion.depth >= MAX_DEPTH:
        return OMITTED
    nested = conversion._replace(depth=conversion.depth + 1)
    shown: list[Any] = []
    for entry in entries:
        if len(shown) >= conversion.entries:
            shown.append(f'{OMITTED} {len(entries) - conversion.entries} more')
            break
        shown.append(convert(entry, nested))
    return shown


def _convert_fields(fields: Any, count: int, conversion: Conversion) -> Any:
    if conversion.depth >= MAX_DEPTH:
        return OMITTED
    nested = conversion._replace(depth=conversion.depth + 1)
    shown: dict[str, Any] = {}
    for name, entry in fields:
        if len(shown) >= conversion.entries:
            shown[OMITTED] = f'{count - conversion.entries} more'
            break
        field = _convert_key(name, nested)
        if field in SECRET_FIELDS:
            shown[field] = logs.REPLACEMENT if entry else entry
        elif _is_timestamp(field, entry):
            stem = field.removesuffix(SECONDS_SUFFIX).removesuffix('_at')
            age_s = round(conversion.now_s - entry, AGE_DIGITS)
            shown[f'{stem}{AGE_SUFFIX}'] = convert(age_s, nested)
        else:
            shown[field] = convert(entry, nested)
    return shown


@functools.singledispatch
def _convert_key(name: Any, conversion: Conversion) -> str:
    return str(convert(name, conversion))


@_convert_key.register
def _(name: tuple, conversion: Conversion) -> str:  # type: ignore[type-arg]
    return '/'.join(_convert_key(part, conversion) for part in name)


def _is_timestamp(field: str, entry: Any) -> bool:
    if field in EXCLUDED_FIELDS or not isinstance(entry, float | int):
        return False
    return field in TIMESTAMP_FIELDS or field.endswith(TIMESTAMP_SUFFIXES)
