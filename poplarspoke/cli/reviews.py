"""Printed result of the check of a platform's configuration."""

from typing import NamedTuple

from poplarspoke import codec
from poplarspoke.checks.findings import FindingCode, Severity
from poplarspoke.cli import output


class FindingShown(NamedTuple):
    """A finding; its place is a JSON path."""

    code: FindingCode
    severity: Severity
    place: str
    message: str


class DifferenceShown(NamedTuple):
    """A difference from another version; its place is a JSON path."""

    place: str
    subject: str
    name: str
    before: str
    after: str


class Reviewed(NamedTuple):
    """Result of the check of a platform's configuration.

    Attributes:
        file: File of the configuration.
        version: Its version; 0 if it cannot be decoded.
        findings: What is wrong.
        compared: Whether the differences are known.
        base: Where the other version is from; empty if none was given.
        base_version: The other version.
        differences: Differences from the other version.
    """

    file: str
    version: int
    findings: tuple[FindingShown, ...]
    compared: bool
    base: str
    base_version: int
    differences: tuple[DifferenceShown, ...]


@output.format_lines.register
def _(message: Reviewed) -> list[str]:
    lines = [
        f'{message.file}: {entry.place}: {codec.to_object(entry.severity)} '
        f'{codec.to_object(entry.code)}: {entry.message}'
        for entry in message.findings
    ]
    if not lines:
        lines.append(f'{message.file}: correct')
    if not message.compared:
        return lines
    if not message.differences:
        lines.append(
            f'no difference to version {message.base_version} '
            f'of {message.base}',
        )
        return lines
    lines.append(
        f'differences from version {message.base_version} of {message.base}:',
    )
    lines.extend(map(_format_difference, message.differences))
    return lines


def _format_difference(entry: DifferenceShown) -> str:
    name = f' {entry.name}' if entry.name else ''
    return (
        f'  {entry.place}: {entry.subject}{name}: '
        f'{entry.before or "absent"} -> {entry.after or "absent"}'
    )
