"""Prints results: text for people, JSON for programs."""

import datetime
import functools
import json
from typing import Any, NamedTuple, TextIO

from poplarspoke import codec
from poplarspoke.cli.documents import Blame, Difference
from poplarspoke.generated.configuration import ChangeRecord, HistoryShown
from poplarspoke.generated.membership import HostsShown, HostStatus
from poplarspoke.generated.operators import Events, RequestTrace

INDENT = 2


class Checked(NamedTuple):
    """A file without errors."""

    file: str


class Shown(NamedTuple):
    """Settings in force at a path."""

    version: int
    accepted_at_s: float
    who: str
    why: str
    path: str
    content: Any


class Blamed(NamedTuple):
    """The last change of each value."""

    values: tuple[Blame, ...]


class Planned(NamedTuple):
    """Differences that a change makes to the settings in force."""

    base_version: int
    differences: tuple[Difference, ...]
    kept: tuple[str, ...]


class Accepted(NamedTuple):
    """An accepted change; a new key is printed only here."""

    version: int
    change_id: str
    key: str


class InForce(NamedTuple):
    """Number of hosts, and those on which a version is not in force."""

    version: int
    hosts: int
    missing: tuple[HostStatus, ...]


class Printer:
    """Writes results to a stream, as text or as JSON."""

    def __init__(self, stream: TextIO, *, as_json: bool) -> None:
        """Stores the stream and the format."""
        self._stream = stream
        self._as_json = as_json

    def write(self, message: Any) -> None:
        """Writes a result as one JSON object per line, or as lines of text."""
        if self._as_json:
            form = {
                'kind': type(message).__name__,
                **codec.to_object(message),
            }
            self._stream.write(f'{json.dumps(form)}\n')
        else:
            self.write_text('\n'.join(format_lines(message)))
        self._stream.flush()

    def write_text(self, text: str) -> None:
        """Writes lines with control characters escaped."""
        for line in text.split('\n'):
            self._stream.write(f'{make_printable(line)}\n')


def make_printable(text: str) -> str:
    """Returns the text with control characters escaped.

    Names, reasons and evidence come from other operators and hosts and must
    not control the terminal.
    """
    if text.isprintable():
        return text
    return ''.join(
        char if char.isprintable() else repr(char)[1:-1] for char in text
    )


def list_missing_hosts(hosts: HostsShown, version: int) -> list[HostStatus]:
    """Returns the hosts on which a version is not known to be in force."""
    return [
        host
        for host in hosts.hosts
        if host.settings_version < version or not (host.live or host.leaving)
    ]


@functools.singledispatch
def format_lines(message: Any) -> list[str]:
    """Returns the lines of text for a result."""
    return [_format_value(message)]


@format_lines.register
def _(message: Checked) -> list[str]:
    return [f'{message.file}: correct']


@format_lines.register
def _(message: Shown) -> list[str]:
    return [
        f'version {message.version} since {_format_time(message.accepted_at_s)}'
        f' by {message.who}: {message.why}',
        json.dumps(message.content, indent=INDENT),
    ]


@format_lines.register
def _(message: Blamed) -> list[str]:
    return [
        f'{entry.path} = {_format_value(entry.content)}  '
        f'{_format_record(entry.record)}'
        for entry in message.values
    ]


@format_lines.register
def _(message: HistoryShown) -> list[str]:
    if not message.changes:
        return ['no change under this path']
    return [
        f'{record.path} = {record.content or "a long value"}  '
        f'{_format_record(record)}'
        for record in message.changes
    ]


@format_lines.register
def _(message: Planned) -> list[str]:
    lines = [
        f'{entry.path}: {_format_value(entry.before)} -> '
        f'{_format_value(entry.after)}'
        for entry in message.differences
    ]
    if not lines:
        lines.append(f'no difference to version {message.base_version}')
    lines.extend(f'{path}: kept as in force' for path in message.kept)
    return lines


@format_lines.register
def _(message: Accepted) -> list[str]:
    lines = [f'accepted as version {message.version}']
    if message.key:
        lines.append(f'key, shown only now: {message.key}')
    return lines


@format_lines.register
def _(message: InForce) -> list[str]:
    missing = len(message.missing)
    lines = [
        f'version {message.version} is in force on '
        f'{message.hosts - missing} of {message.hosts} hosts',
    ]
    lines.extend(f'missing: {_format_host(host)}' for host in message.missing)
    return lines


@format_lines.register
def _(message: HostsShown) -> list[str]:
    return [_format_host(host) for host in message.hosts]


@format_lines.register
def _(message: Events) -> list[str]:
    return [
        f'{_format_time(act.at_s)} {act.host} {act.event} {act.subject}: '
        f'{act.evidence}; setting {act.setting or "none"} '
        f'of version {act.settings_version}'
        for act in message.events
    ]


@format_lines.register
def _(message: RequestTrace) -> list[str]:
    lines = [
        f'request {message.request_id} on {message.host}: workspace '
        f'{message.workspace}, route {message.route}, '
        f'settings version {message.settings_version}',
    ]
    lines.extend(
        f'  {step.at_s:.3f} s {step.step} {step.subject}: {step.evidence}'
        for step in message.steps
    )
    if message.refused:
        code = codec.to_object(message.code)
        outcome = codec.to_object(message.outcome)
        lines.append(f'  refused: {code}, outcome {outcome}')
    return lines


def _format_value(content: Any) -> str:
    return 'nothing' if content is None else json.dumps(content)


def _format_record(record: ChangeRecord) -> str:
    return (
        f'[version {record.version}, {_format_time(record.accepted_at_s)}, '
        f'{record.who}: {record.why}]'
    )


def _format_host(host: HostStatus) -> str:
    state = 'live' if host.live else 'not live'
    leaving = ', leaving' if host.leaving else ''
    return (
        f'{host.host} in {host.zone}: version {host.settings_version}, '
        f'{state}{leaving}, heard {host.heard_ago_s:.1f} s ago'
    )


def _format_time(at_s: float) -> str:
    try:
        at = datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return f'{at_s} s'
    return at.isoformat(sep=' ', timespec='seconds')
