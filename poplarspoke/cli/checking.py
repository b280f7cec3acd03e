"""Checks files before they are put in force.

Imported at the first check only, as a daemon needs none of it.
"""

import json
import math
import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import anyio

from poplarspoke import errors, files
from poplarspoke.addresses import split_address
from poplarspoke.checks.findings import (
    Deployment,
    Difference,
    Finding,
    Severity,
    find_highest,
    format_place,
)
from poplarspoke.cli import output, reviews
from poplarspoke.cli.client import CommandError
from poplarspoke.cli.definitions import Check
from poplarspoke.control.state import ENDPOINTS, RULES, RULES_KEY
from poplarspoke.generated.control import TableRow
from poplarspoke.generated.rules import EndpointEntry
from poplarspoke.platform import boot, documents, rows
from poplarspoke.platform.metadata import Metadata
from poplarspoke.status import ExitStatus

DAEMON_SETTINGS = frozenset(('callers', 'operators', 'peers', 'secrets'))
JSON_SUFFIX = '.json'
MS_PER_S = 1000
# An operator waits for the answer; a store that is up answers in milliseconds.
STORE_TIMEOUT_S = 5.0
STATUSES: dict[Severity | None, ExitStatus] = {
    None: ExitStatus.SUCCESS,
    Severity.WARNING: ExitStatus.WARNINGS_FOUND,
    Severity.ERROR: ExitStatus.ERRORS_FOUND,
}


class StoreContent(NamedTuple):
    """What the metadata store has of a deployment.

    Attributes:
        configuration: Row of the configuration in force; None without one.
        endpoints: Registered endpoints.
    """

    configuration: TableRow | None
    endpoints: tuple[EndpointEntry, ...]


def check(command: Check, printer: output.Printer) -> ExitStatus:
    """Checks a file and prints the findings.

    Raises:
        errors.PoplarspokeError: A file or the store cannot be read, or a YAML
            file is invalid.
    """
    path = pathlib.Path(command.file)
    if not path.is_dir():
        payload = files.read_bytes(path)
        if _is_platform_document(command, payload):
            return _check_document(command, payload, printer)
    _refuse_options(command)
    names = set() if path.is_dir() else files.list_names(command.file)
    if DAEMON_SETTINGS.intersection(names):
        files.load_daemon(command.file)
    else:
        files.load_document(command.file)
    printer.write(output.Checked(command.file))
    return ExitStatus.SUCCESS


def _is_platform_document(command: Check, payload: bytes) -> bool:
    """Returns whether a file is the document of the platform's table.

    A settings document may be JSON too, but has other names at its top level.
    """
    try:
        found = json.loads(payload)
    except (ValueError, RecursionError):
        # A document with an error of syntax; its place is then reported.
        return command.file.endswith(JSON_SUFFIX)
    names = found if isinstance(found, dict) else ()
    if documents.names_document(names):
        return True
    return command.file.endswith(JSON_SUFFIX) and not names


def _check_document(
    command: Check,
    payload: bytes,
    printer: output.Printer,
) -> ExitStatus:
    content = _decode(payload, command.file)
    deployment = _read_deployment(command)
    base = None
    if command.against:
        base_payload = files.read_bytes(pathlib.Path(command.against))
        base_content = _decode(base_payload, command.against)
        base = documents.Base(base_content, command.against)
    if command.store:
        stored = anyio.run(_read_store, command.store)
        deployment = deployment._replace(endpoints=stored.endpoints)
        row = stored.configuration
        # A file is compared with rather than the store, if both are given.
        if base is None and row is not None:
            base = documents.Base(row.content, command.store)
    found = documents.review_document(content, deployment, base)
    printer.write(_show(command, found, base))
    return STATUSES[find_highest(found.findings)]


def _refuse_options(command: Check) -> None:
    options = command[1:]
    if not any(options):
        return
    raise CommandError(
        f'{command.file} is no configuration of the platform, so only the file '
        'can be checked; omit the other options',
        ExitStatus.USAGE,
    )


def _decode(payload: bytes, file: str) -> str:
    try:
        return payload.decode()
    except UnicodeDecodeError as exc:
        raise errors.SettingsError(
            f'{file}: byte {exc.start} is not valid UTF-8; save the file as '
            'UTF-8',
        ) from exc


def _read_deployment(command: Check) -> Deployment:
    deployment = Deployment()
    if command.settings:
        settings = boot.read_settings(command.settings)
        deployment = deployment._replace(
            keys=not settings.keys_unused,
            rates=not settings.rates_unlimited,
        )
    if not command.statement_ms:
        return deployment
    statement_s = _parse_ms(command.statement_ms)
    return deployment._replace(statement_s=statement_s)


def _parse_ms(text: str) -> float:
    try:
        time_ms = float(text)
    except ValueError:
        time_ms = 0
    if math.isfinite(time_ms) and time_ms > 0:
        return time_ms / MS_PER_S
    raise CommandError(
        f'--statement-ms {text!r} is no time; give milliseconds above 0',
        ExitStatus.USAGE,
    )


async def _read_store(address: str) -> StoreContent:
    """Returns what the store has of the deployment."""
    try:
        split_address(address)
    except ValueError as exc:
        raise CommandError(
            f'--store {address!r} is no address; give IP:port',
            ExitStatus.USAGE,
        ) from exc
    try:
        async with Metadata(address, address) as store:
            row = await store.read_row(
                RULES, RULES_KEY, timeout_s=STORE_TIMEOUT_S
            )
            table = await store.read_table(ENDPOINTS, timeout_s=STORE_TIMEOUT_S)
    except errors.PoplarspokeError as exc:
        raise CommandError(
            f'the store at {address} cannot be read: {exc}; check --store, or '
            'compare with a file by --against',
            ExitStatus.UNREACHABLE,
        ) from exc
    return StoreContent(row, _decode_endpoints(table.rows))


def _decode_endpoints(found: Iterable[TableRow]) -> tuple[EndpointEntry, ...]:
    """Returns the valid entries; hosts skip the others too."""
    entries = (
        rows.decode_endpoint(row.key, row.content)
        for row in found
        if not row.removed
    )
    return tuple(entry for entry in entries if entry is not None)


def _show(
    command: Check,
    found: documents.Review,
    base: documents.Base | None,
) -> Any:
    return reviews.Reviewed(
        file=command.file,
        version=found.version,
        findings=tuple(map(_show_finding, found.findings)),
        compared=found.compared,
        base='' if base is None else base.name,
        base_version=found.base_version,
        differences=tuple(map(_show_difference, found.differences)),
    )


def _show_finding(finding: Finding) -> reviews.FindingShown:
    return reviews.FindingShown(
        finding.code,
        finding.severity,
        format_place(finding.place),
        finding.message,
    )


def _show_difference(entry: Difference) -> reviews.DifferenceShown:
    return reviews.DifferenceShown(
        format_place(entry.place),
        entry.subject,
        entry.name,
        entry.before,
        entry.after,
    )
