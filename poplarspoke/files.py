"""Reads settings files and reports each fault with its place and remedy.

``yaml`` and ``jsonschema`` are imported at their first use: a running daemon
does not need them and has 32 MB for control.
"""

import difflib
import functools
import importlib
import ipaddress
import json
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from poplarspoke import codec, errors
from poplarspoke.generated.daemon import DaemonSettings
from poplarspoke.generated.settings import Document

MAX_FILE_BYTES = 8388608
MAX_VALUE_CHARACTERS = 80
MAX_NAMES_SHOWN = 12
MAX_PORT = 65535
YAML_SUFFIXES = frozenset(('.yaml', '.yml'))
SECRET_NAMES = frozenset(('secrets', 'digest'))
DAEMON_SCHEMA = 'daemon'
DOCUMENT_SCHEMA = 'settings'


class Fault(NamedTuple):
    """A violation of the schema or a rule in a settings file.

    Attributes:
        file: Name of the file.
        path: Path inside the file, such as ``teams/tills/workspaces``.
        found: Description of the value at the path, without secrets.
        allowed: Description of the values allowed there.
        nearest: Known name that resembles the one found; empty if none does.
        remedy: How to correct the fault.
    """

    file: str
    path: str
    found: str
    allowed: str
    nearest: str = ''
    remedy: str = 'correct the value'


class SourceFile(NamedTuple):
    """One file of a settings document, with its plain data."""

    file: str
    source: Any


def load_daemon(path: str) -> DaemonSettings:
    """Returns the settings of a daemon process.

    Args:
        path: Path of a YAML file with the schema ``daemon.json``.

    Raises:
        errors.SettingsError: The file is missing or invalid.
    """
    source = _read_file(pathlib.Path(path))
    _raise_faults(find_all_faults(DAEMON_SCHEMA, source, path))
    settings: DaemonSettings = source
    return settings


def load_document(path: str) -> Document:
    """Returns a settings document.

    Args:
        path: Path of a YAML file, or of a directory whose YAML files are
            merged; no two files may set the same value.

    Raises:
        errors.SettingsError: A file is missing or invalid.
    """
    origin = pathlib.Path(path)
    files = [origin]
    if origin.is_dir():
        files = sorted(
            file for file in origin.rglob('*') if file.suffix in YAML_SUFFIXES
        )
    if not files:
        raise errors.SettingsError(
            f'{path}: no YAML file; add a file that ends in .yaml',
        )
    sources = [SourceFile(str(file), _read_file(file)) for file in files]
    merged: dict[str, Any] = {}
    for entry in sources:
        if not isinstance(entry.source, dict):
            _raise_faults(
                find_faults(DOCUMENT_SCHEMA, entry.source, entry.file)
            )
            continue
        _merge(merged, entry.source, entry.file, '')
    _raise_faults(
        [
            fault._replace(file=_find_file(sources, fault.path))
            for fault in find_all_faults(DOCUMENT_SCHEMA, merged, path)
        ]
    )
    document: Document = merged  # type: ignore[assignment]
    return document


def _find_file(sources: list[SourceFile], path: str) -> str:
    """Returns the file that holds the longest part of a path."""
    depths = [_measure_depth(entry.source, path) for entry in sources]
    return sources[depths.index(max(depths))].file


def _measure_depth(source: Any, path: str) -> int:
    depth = 0
    for name in path.split('/'):
        if not isinstance(source, dict) or name not in source:
            break
        source = source[name]
        depth += 1
    return depth


def list_names(path: str) -> set[str]:
    """Returns the top-level names of a YAML file.

    Raises:
        errors.SettingsError: The file is missing or not valid YAML.
    """
    source = _read_file(pathlib.Path(path))
    return set(source) if isinstance(source, dict) else set()


def find_all_faults(schema: str, source: Any, file: str) -> list[Fault]:
    """Returns the violations of the schema; if none, the wrong addresses.

    Args:
        schema: Name of a JSON schema of this package.
        source: Plain data.
        file: Name of the file, for the faults.
    """
    faults = find_faults(schema, source, file)
    return faults or _find_address_faults(source, file, '')


def find_faults(schema: str, source: Any, file: str) -> list[Fault]:
    """Returns all violations of a schema in plain data.

    Args:
        schema: Name of a JSON schema of this package.
        source: Plain data.
        file: Name of the file, for the faults.
    """
    validator = _load_validator(schema)
    found = sorted(
        validator.iter_errors(source),
        key=lambda error: [str(part) for part in error.absolute_path],
    )
    return [_describe(error, file) for error in found]


def format_fault(fault: Fault) -> str:
    """Returns a fault as one line for an operator."""
    nearest = f'; did you mean {fault.nearest!r}?' if fault.nearest else ''
    return (
        f'{fault.file}: {fault.path or "the whole file"}: '
        f'found {fault.found}, allowed: {fault.allowed}{nearest}'
        f'; {fault.remedy}'
    )


def find_nearest(name: str, known: Iterable[str]) -> str:
    """Returns the known name that resembles a name, empty if none does."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else ''


def _raise_faults(faults: list[Fault]) -> None:
    if not faults:
        return
    raise errors.SettingsError('\n'.join(map(format_fault, faults)))


def read_bytes(path: pathlib.Path) -> bytes:
    """Returns the content of a file of bounded size.

    Raises:
        errors.SettingsError: The file is missing, unreadable or too large.
    """
    try:
        payload = path.read_bytes()
    except (OSError, ValueError) as exc:
        reason = getattr(exc, 'strerror', None) or 'no valid file name'
        raise errors.SettingsError(
            f'{path}: {reason}; give a readable file',
        ) from exc
    if len(payload) > MAX_FILE_BYTES:
        raise errors.SettingsError(
            f'{path}: over {MAX_FILE_BYTES} bytes; split it into several files',
        )
    return payload


def _read_file(path: pathlib.Path) -> Any:
    return read_text(read_bytes(path), str(path))


def read_text(payload: bytes, file: str) -> Any:
    """Returns the plain data of YAML bytes.

    Raises:
        errors.SettingsError: The bytes are not in the YAML subset for settings.
    """
    try:
        text = payload.decode()
    except UnicodeDecodeError as exc:
        raise errors.SettingsError(
            f'{file}: byte {exc.start} is not valid UTF-8; save the file as UTF-8',
        ) from exc
    return _import('poplarspoke.yaml_reader').read(text, file)


@functools.cache
def _load_validator(schema: str) -> Any:
    path = codec.SCHEMA_DIR / f'{schema}.json'
    return _import('jsonschema').Draft202012Validator(
        json.loads(path.read_text()),
    )


def _import(name: str) -> Any:
    return importlib.import_module(name)


def _merge(
    target: dict[str, Any],
    source: dict[str, Any],
    file: str,
    path: str,
) -> None:
    for name, entry in source.items():
        present = target.get(name)
        if name not in target:
            target[name] = entry
            continue
        if isinstance(present, dict) and isinstance(entry, dict):
            _merge(present, entry, file, f'{path}{name}/')
            continue
        fault = Fault(
            file,
            f'{path}{name}',
            _format_value(entry, [name]),
            'one value in all files together',
            remedy='remove one of the two; another file sets it as well',
        )
        _raise_faults([fault])


def _find_address_faults(source: Any, file: str, path: str) -> list[Fault]:
    """Returns invalid addresses that the pattern of the schema accepts."""
    if isinstance(source, dict):
        return [
            fault
            for name, entry in source.items()
            for fault in _find_address_faults(entry, file, f'{path}/{name}')
        ]
    parts = path.strip('/').split('/')
    named = {'callers', 'operators', 'peers', 'platform', 'address'}
    is_address = parts[-1] in named or parts[0] == 'seeds'
    if not is_address or not isinstance(source, str):
        return []
    if _is_address(source):
        return []
    return [
        Fault(
            file,
            path.strip('/'),
            _format_value(source, []),
            f'IP:port with a port from 1 to {MAX_PORT}',
        ),
    ]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def _describe(error: Any, file: str) -> Fault:
    parts = [str(part) for part in error.absolute_path]
    describe = FAULT_DESCRIBERS.get(error.validator, _describe_other)
    return describe(error, file, parts)


def _describe_unknown_name(error: Any, file: str, parts: list[str]) -> Fault:
    known = list(error.schema.get('properties', ()))
    names = [name for name in error.instance if name not in known]
    return Fault(
        file,
        '/'.join((*parts, names[0])),
        f'unknown name {_format_value(names[0], [])}',
        _format_names(known),
        find_nearest(names[0], known),
        'use a known name or remove it',
    )


def _describe_missing_name(error: Any, file: str, parts: list[str]) -> Fault:
    missing = [
        name for name in error.validator_value if name not in error.instance
    ]
    return Fault(
        file,
        '/'.join(parts),
        f'no {", ".join(missing)}',
        f'all of {_format_names(error.validator_value)}',
        remedy=f'add {", ".join(missing)}',
    )


def _describe_choice(error: Any, file: str, parts: list[str]) -> Fault:
    allowed = [str(choice) for choice in error.validator_value]
    return Fault(
        file,
        '/'.join(parts),
        _format_value(error.instance, parts),
        f'one of {_format_names(allowed)}',
        find_nearest(str(error.instance), allowed),
    )


def _describe_other(error: Any, file: str, parts: list[str]) -> Fault:
    return Fault(
        file,
        '/'.join(parts),
        _format_value(error.instance, parts),
        RULE_TEXTS.get(error.validator, '{0}').format(error.validator_value),
    )


FAULT_DESCRIBERS = {
    'additionalProperties': _describe_unknown_name,
    'required': _describe_missing_name,
    'enum': _describe_choice,
}
RULE_TEXTS = {
    'type': 'a value of type {0}',
    'pattern': 'text that matches {0}',
    'minLength': 'text of at least {0} characters',
    'minimum': 'a number of at least {0}',
    'maximum': 'a number of at most {0}',
    'exclusiveMinimum': 'a number over {0}',
}


# Their content is not shown: it may have secrets in the wrong place.
CONTAINER_NAMES: dict[type, str] = {dict: 'a mapping', list: 'a list'}


def _format_names(names: Iterable[str]) -> str:
    listed = list(names)
    if len(listed) <= MAX_NAMES_SHOWN:
        return ', '.join(listed)
    return f'{", ".join(listed[:MAX_NAMES_SHOWN])}, ...'


def _format_value(found: Any, parts: Iterable[str]) -> str:
    """Returns a value as text; omits values that may be secrets."""
    if SECRET_NAMES.intersection(parts):
        return 'a secret that is not shown'
    kind = CONTAINER_NAMES.get(type(found))
    if kind is not None:
        return kind
    shown = json.dumps(found, default=str)
    if len(shown) > MAX_VALUE_CHARACTERS:
        return f'{shown[:MAX_VALUE_CHARACTERS]}...'
    return shown


def list_paths(source: Any, path: str = '') -> Iterator[tuple[str, Any]]:
    """Yields the path and value of every leaf of plain data."""
    if not isinstance(source, dict) or not source:
        yield path, source
        return
    for name, entry in source.items():
        yield from list_paths(entry, f'{path}/{name}' if path else name)


def get_schema_type(path: str) -> str:
    """Returns the JSON type that the settings schema requires at a path.

    Raises:
        errors.SettingsError: The path names something that does not exist.
    """
    schema = _load_validator(DOCUMENT_SCHEMA).schema
    rule = schema
    seen: list[str] = []
    for name in filter(None, path.split('/')):
        known = rule.get('properties', {})
        inner = known.get(name, rule.get('additionalProperties'))
        if not isinstance(inner, dict):
            fault = Fault(
                'settings',
                '/'.join((*seen, name)),
                f'unknown name {_format_value(name, [])}',
                _format_names(known) or 'no name below a value',
                find_nearest(name, known),
                'use a known path; "show" lists them',
            )
            _raise_faults([fault])
            break
        reference = inner.get('$ref', '').rpartition('/')[2]
        rule = schema['$defs'][reference] if reference else inner
        seen.append(name)
    return str(rule.get('type', 'string'))
