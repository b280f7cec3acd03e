"""The state of each task as JSON, for ``GET /dump``.

A field whose name stands in ``MOMENTS`` or ends in one of
``MOMENT_SUFFIXES`` holds a moment on the monotonic clock. It is printed as an
age in seconds with the name ``..._age_s``, negative for a moment to come. Every other name stays as it is, so that programs can rely on
the names. Secrets are replaced by the name of their field and by their form.
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
# Entries of each list or mapping; the first limit is taken whose output fits
# into one answer of the operators' interface.
ENTRY_LIMITS = (1000, 100, 10, 1)
MAX_DUMP_BYTES = 200000
MAX_TEXT_CHARACTERS = 512
AGE_DIGITS = 3
SECONDS_SUFFIX = '_s'
MOMENT_SUFFIXES = ('_at_s', '_until_s', '_since_s', '_after_s')
# Moments of the decision modules whose names have no such suffix.
MOMENTS = frozenset(
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
# On the clock of the table, or a duration.
FOREIGN_MOMENTS = frozenset(('accepted_at_s', 'retry_after_s'))
# Fields of messages that hold secrets or a caller's values.
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


class Scope(NamedTuple):
    """What the conversion of a state depends on.

    Attributes:
        now_s: Monotonic clock in seconds.
        redactor: Replaces the secrets that this process knows.
        entries: Entries of each list or mapping that are shown.
        depth: Levels above the value.
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
        secrets: Texts that must never come out.
    """
    scope = Scope(now_s, logs.Redactor(secrets), ENTRY_LIMITS[0])
    payload = b''
    for entries in ENTRY_LIMITS:
        payload = _write(states, scope._replace(entries=entries))
        if len(payload) <= MAX_DUMP_BYTES:
            break
    return payload


def _write(states: Mapping[str, Any], scope: Scope) -> bytes:
    tasks = {name: convert(state, scope) for name, state in states.items()}
    return json.dumps({'tasks': tasks}, indent=1, sort_keys=True).encode()


@functools.singledispatch
def convert(node: Any, scope: Scope) -> Any:
    """Returns plain data; an unknown type is shown by its name only."""
    return f'[{type(node).__name__}]'


@convert.register(bool)
@convert.register(int)
@convert.register(type(None))
def _(node: Any, scope: Scope) -> Any:
    return node


@convert.register
def _(node: float, scope: Scope) -> Any:
    return node if math.isfinite(node) else str(node)


@convert.register
def _(node: str, scope: Scope) -> Any:
    text = DIGEST_PATTERN.sub(logs.REPLACEMENT, scope.redactor.redact(node))
    return text[:MAX_TEXT_CHARACTERS]


@convert.register
def _(node: bytes, scope: Scope) -> Any:
    return f'[{len(node)} bytes]'


# An IntEnum is an int first, so it is registered on its own.
@convert.register(enum.IntEnum)
@convert.register(enum.Enum)
def _(node: Any, scope: Scope) -> Any:
    return node.name.lower()


@convert.register
def _(node: tuple, scope: Scope) -> Any:  # type: ignore[type-arg]
    names = getattr(node, '_fields', None)
    if names is None:
        return _convert_entries(node, scope)
    return _convert_fields(zip(names, node, strict=True), len(names), scope)


@convert.register(list)
@convert.register(collections.deque)
def _(node: Any, scope: Scope) -> Any:
    return _convert_entries(node, scope)


@convert.register(set)
@convert.register(frozenset)
def _(node: Any, scope: Scope) -> Any:
    return _convert_entries(sorted(node, key=repr), scope)


@convert.register(collections.abc.Mapping)
def _(node: Any, scope: Scope) -> Any:
    return _convert_fields(node.items(), len(node), scope)


def _convert_entries(entries: Any, scope: Scope) -> Any:
    if scope.depth >= MAX_DEPTH:
        return OMITTED
    inner = scope._replace(depth=scope.depth + 1)
    shown: list[Any] = []
    for entry in entries:
        if len(shown) >= scope.entries:
            shown.append(f'{OMITTED} {len(entries) - scope.entries} more')
            break
        shown.append(convert(entry, inner))
    return shown


def _convert_fields(fields: Any, count: int, scope: Scope) -> Any:
    if scope.depth >= MAX_DEPTH:
        return OMITTED
    inner = scope._replace(depth=scope.depth + 1)
    shown: dict[str, Any] = {}
    for name, entry in fields:
        if len(shown) >= scope.entries:
            shown[OMITTED] = f'{count - scope.entries} more'
            break
        field = _convert_name(name, inner)
        if field in SECRET_FIELDS:
            shown[field] = logs.REPLACEMENT if entry else entry
        elif _is_moment(field, entry):
            stem = field.removesuffix(SECONDS_SUFFIX).removesuffix('_at')
            age_s = round(scope.now_s - entry, AGE_DIGITS)
            shown[f'{stem}{AGE_SUFFIX}'] = convert(age_s, inner)
        else:
            shown[field] = convert(entry, inner)
    return shown


@functools.singledispatch
def _convert_name(name: Any, scope: Scope) -> str:
    return str(convert(name, scope))


@_convert_name.register
def _(name: tuple, scope: Scope) -> str:  # type: ignore[type-arg]
    return '/'.join(_convert_name(part, scope) for part in name)


def _is_moment(field: str, entry: Any) -> bool:
    if field in FOREIGN_MOMENTS or not isinstance(entry, float | int):
        return False
    return field in MOMENTS or field.endswith(MOMENT_SUFFIXES)
