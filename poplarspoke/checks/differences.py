"""Differences of a configuration from another version of it."""

from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

from poplarspoke.checks.findings import (
    Difference,
    Finding,
    FindingCode,
    create_finding,
    format_ms,
    format_number,
)
from poplarspoke.generated.rules import (
    RouteKind,
    RouteRule,
    Ruleset,
    ServiceRule,
    WorkspaceRule,
)

PRESENT = 'present'


class Part(NamedTuple):
    """One kind of entries of a configuration.

    Attributes:
        section: Field of a ``Ruleset``.
        subject: Name of one such entry in texts.
        identifier: Field by which entries of two versions are matched.
    """

    section: str
    subject: str
    identifier: str


class Field(NamedTuple):
    """A field of an entry.

    Attributes:
        name: Field of the entry's type.
        title: Name of the field in texts.
        describe: Returns the text of its value.
    """

    name: str
    title: str
    describe: Callable[[Any], str]


class _Entry(NamedTuple):
    position: int
    rule: Any


def list_differences(base: Ruleset, ruleset: Ruleset) -> list[Difference]:
    """Returns the differences of a configuration from another version.

    Entries are matched by their names, so their order makes no difference.

    Args:
        base: Other version, usually the one in force.
        ruleset: Configuration.
    """
    found: list[Difference] = []
    for part in PARTS:
        found.extend(_compare_part(part, base, ruleset))
    if base.transaction_idle_s != ruleset.transaction_idle_s:
        found.append(
            Difference(
                ('transaction_idle_s',),
                'transactions',
                'idle time',
                format_ms(base.transaction_idle_s),
                format_ms(ruleset.transaction_idle_s),
            ),
        )
    return found


def find_old_version(base: Ruleset, ruleset: Ruleset) -> Iterator[Finding]:
    """Yields a version that hosts ignore, as they have it or a later one."""
    if ruleset.version > base.version:
        return
    if ruleset == base:
        return
    yield create_finding(
        FindingCode.OLD_VERSION,
        ('version',),
        f'hosts with version {base.version} ignore version {ruleset.version}; '
        f'give it version {base.version + 1} or higher',
    )


def _compare_part(
    part: Part,
    base: Ruleset,
    ruleset: Ruleset,
) -> Iterator[Difference]:
    old = _index_entries(part, getattr(base, part.section))
    new = _index_entries(part, getattr(ruleset, part.section))
    for name, entry in new.items():
        place = (part.section, entry.position)
        subject = f'{part.subject} {name}'
        if name not in old:
            yield Difference(place, subject, '', '', PRESENT)
            continue
        yield from _compare_entries(
            old[name].rule, entry, part.section, subject
        )
    for name, entry in old.items():
        if name not in new:
            place = (part.section, entry.position)
            yield Difference(place, f'{part.subject} {name}', '', PRESENT, '')


def _compare_entries(
    before: Any,
    entry: _Entry,
    section: str,
    subject: str,
) -> Iterator[Difference]:
    for field in FIELDS[type(entry.rule)]:
        old = getattr(before, field.name)
        new = getattr(entry.rule, field.name)
        if old == new:
            continue
        yield Difference(
            (section, entry.position, field.name),
            subject,
            field.title,
            field.describe(old),
            field.describe(new),
        )
    yield from _compare_keys(before, entry, section, subject)


def _compare_keys(
    before: Any,
    entry: _Entry,
    section: str,
    subject: str,
) -> Iterator[Difference]:
    """Yields the numbers of keys that differ, never the keys."""
    old = set(getattr(before, 'keys', ()))
    new = set(getattr(entry.rule, 'keys', ()))
    if old == new:
        return
    yield Difference(
        (section, entry.position, 'keys'),
        subject,
        'keys',
        f'{len(old)} ({len(old - new)} withdrawn)',
        f'{len(new)} ({len(new - old)} new)',
    )


def _index_entries(part: Part, rules: Sequence[Any]) -> dict[str, _Entry]:
    """Returns the entries by name; hosts use the last one of a name."""
    return {
        getattr(rule, part.identifier): _Entry(index, rule)
        for index, rule in enumerate(rules)
    }


def _format_kind(kind: RouteKind) -> str:
    return kind.name.lower()


def _format_access(is_open: object) -> str:
    return 'open to all' if is_open else 'only with a key'


PARTS = (
    Part('routes', 'route of database', 'database'),
    Part('services', 'service', 'name'),
    Part('workspaces', 'workspace', 'name'),
)
# Keys are compared apart, since they must not be shown.
FIELDS: dict[type, tuple[Field, ...]] = {
    RouteRule: (
        Field('service', 'service', str),
        Field('kind', 'type', _format_kind),
        Field('statement_timeout_s', 'timeout', format_ms),
        Field('target_latency_s', 'latency objective', format_ms),
        Field('staleness_s', 'tolerated staleness', format_ms),
        Field('priority', 'priority', str),
        Field('open', 'access', _format_access),
    ),
    ServiceRule: (
        Field('max_connections', 'connections to an endpoint', str),
        Field('sync_replicas', 'synchronous replicas', str),
    ),
    WorkspaceRule: (
        Field('rate', 'rate', format_number),
        Field('burst', 'burst', format_number),
    ),
}
