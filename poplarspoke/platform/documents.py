"""Checks the platform's document of the configuration before it is sent.

The hosts' own decoder reads the document, the checks of this project judge what
it yields, and their places are translated to the document's fields.
"""

import functools
import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from poplarspoke import logs
from poplarspoke.checks import differences, review
from poplarspoke.checks.findings import (
    Deployment,
    Difference,
    Finding,
    FindingCode,
    create_finding,
)
from poplarspoke.generated.rules import Ruleset
from poplarspoke.platform import rows, spelling
from poplarspoke.platform.fields import (
    DECODE_ERRORS,
    FieldError,
    InvalidField,
    InvalidText,
    MissingField,
    Place,
    describe_kind,
)

# Fields of this project's types by their names in the document.
IDLE_TIME: Place = ('limits', 'txIdleMs')
PLACES: dict[Place, Place] = {('transaction_idle_s',): IDLE_TIME}
SECTION_NAMES = {'workspaces': 'tenants'}
FIELD_NAMES: dict[tuple[str, str], str] = {
    ('routes', 'database'): 'host',
    ('routes', 'kind'): 'routeType',
    ('routes', 'statement_timeout_s'): 'timeoutMs',
    ('routes', 'target_latency_s'): 'targetLatencyMs',
    ('routes', 'staleness_s'): 'maxStalenessMs',
    ('routes', 'open'): 'public',
    ('services', 'max_connections'): 'maxConns',
    ('services', 'sync_replicas'): 'syncReplicas',
    ('workspaces', 'keys'): 'apiKeys',
    ('workspaces', 'rate'): 'ratePerS',
}
# Fields by which entries of two versions are matched, and the fields that are
# compared as those of this project's types. Others have no effect on hosts.
IDENTIFIERS = {'routes': 'host', 'services': 'name', 'tenants': 'name'}
COMPARED = frozenset((*FIELD_NAMES.values(), 'service', 'burst'))
COMPARED_PRIORITY = 'routes'
SUBJECTS = {
    'routes': 'route of database',
    'services': 'service',
    'tenants': 'workspace',
}


class Review(NamedTuple):
    """Result of a check, with places in the document.

    Attributes:
        version: Version of the document; 0 if it has errors of decoding.
        findings: What is wrong.
        compared: Whether the differences were determined.
        base_version: Version that it was compared with.
        differences: Differences from that version.
    """

    version: int
    findings: tuple[Finding, ...]
    compared: bool = False
    base_version: int = 0
    differences: tuple[Difference, ...] = ()


class Base(NamedTuple):
    """Another version of the document.

    Attributes:
        content: JSON text.
        name: Where it is from, for messages.
    """

    content: str
    name: str


def review_document(
    content: str,
    deployment: Deployment,
    base: Base | None = None,
) -> Review:
    """Checks a document.

    Args:
        content: JSON text.
        deployment: Deployment that it is for.
        base: Version to compare with, usually the one in force.
    """
    expected = rows.RuleFields(deployment.keys, deployment.rates)
    decoded = rows.inspect_rules(content, expected)
    findings = [
        *map(_report_error, decoded.errors),
        *spelling.find_misread(content),
    ]
    found = Review(0, ())
    if decoded.ruleset is not None:
        judged = review.list_findings(decoded.ruleset, deployment)
        findings.extend(map(_translate, judged))
        found = found._replace(version=decoded.ruleset.version)
    if base is not None:
        found = _compare(found, decoded.ruleset, content, base, expected)
    contents = [content] if base is None else [content, base.content]
    redactor = logs.Redactor(_list_keys(contents))
    return found._replace(
        findings=tuple(
            _redact_finding(finding, redactor)
            for finding in (*findings, *found.findings)
        ),
        differences=tuple(
            _redact_difference(entry, redactor) for entry in found.differences
        ),
    )


def names_document(names: Iterable[str]) -> bool:
    """Returns whether some of the top-level names are those of a document."""
    return bool(spelling.KNOWN_FIELDS[''].intersection(names))


@functools.singledispatch
def _report_error(error: FieldError) -> Finding:
    """Returns the finding for an error of decoding."""
    raise TypeError(f'no finding for {type(error).__name__}')


@_report_error.register
def _(error: InvalidText) -> Finding:
    return create_finding(
        FindingCode.NOT_JSON,
        error.place,
        f'{error.problem}; correct the JSON at this place',
    )


@_report_error.register
def _(error: MissingField) -> Finding:
    return create_finding(
        FindingCode.MISSING_FIELD,
        error.place,
        'the field is missing; add it, or name with --settings the settings of '
        'a host if the deployment does without',
    )


@_report_error.register
def _(error: InvalidField) -> Finding:
    return create_finding(
        FindingCode.INVALID_FIELD,
        error.place,
        f'{error.problem}; correct the value',
    )


def _compare(
    found: Review,
    ruleset: Ruleset | None,
    content: str,
    base: Base,
    expected: rows.RuleFields,
) -> Review:
    decoded = rows.inspect_rules(base.content, expected)
    if decoded.ruleset is None:
        finding = create_finding(
            FindingCode.UNREADABLE_BASE,
            (),
            f'{base.name} has no valid configuration, so the differences are '
            'not known; check it on its own',
        )
        return found._replace(findings=(finding,))
    if ruleset is None:
        return found
    old = differences.find_old_version(decoded.ruleset, ruleset)
    listed = differences.list_differences(decoded.ruleset, ruleset)
    return found._replace(
        findings=tuple(map(_translate, old)),
        compared=True,
        base_version=decoded.ruleset.version,
        differences=(
            *(
                entry._replace(place=_translate_place(entry.place))
                for entry in listed
            ),
            *_list_unread(json.loads(base.content), json.loads(content)),
        ),
    )


def _translate(finding: Finding) -> Finding:
    return finding._replace(place=_translate_place(finding.place))


def _translate_place(place: Place) -> Place:
    """Returns the place in the document of a place in a ``Ruleset``."""
    if not place or place in PLACES:
        return PLACES.get(place, place)
    section = str(place[0])
    return (
        SECTION_NAMES.get(section, section),
        *(FIELD_NAMES.get((section, str(step)), step) for step in place[1:]),
    )


def _list_unread(base: Any, document: Any) -> Iterator[Difference]:
    """Yields the differences in fields that hosts do not read.

    Other readers of the document may use them. Texts are not shown.
    """
    for section, identifier in IDENTIFIERS.items():
        old = _index_objects(base, section, identifier)
        new = _index_objects(document, section, identifier)
        for name in sorted(new.keys() & old.keys()):
            yield from _compare_unread(
                old[name].fields,
                new[name].fields,
                (section, new[name].position),
                f'{SUBJECTS[section]} {name}',
            )
    yield from _compare_unread(
        _find_limits(base),
        _find_limits(document),
        ('limits',),
        'limits',
    )


def _index_objects(
    document: Any,
    section: str,
    identifier: str,
) -> dict[str, spelling.ListedObject]:
    """Returns the objects of a section by name."""
    return {
        str(entry.fields.get(identifier)): entry
        for entry in spelling.list_objects(document, section)
    }


def _find_limits(document: Any) -> dict[str, Any]:
    limits = dict(document['limits'])
    limits.pop('txIdleMs')
    return limits


def _compare_unread(
    old: dict[str, Any],
    new: dict[str, Any],
    place: Place,
    subject: str,
) -> Iterator[Difference]:
    for name in sorted(old.keys() | new.keys()):
        if _is_compared(name, place) or old.get(name) == new.get(name):
            continue
        before = _show(old, name)
        after = _show(new, name)
        if before == after:
            after = f'{after}, another one'
        yield Difference((*place, name), subject, name, before, after)


def _is_compared(name: str, place: Place) -> bool:
    if name == 'priority':
        return place[0] == COMPARED_PRIORITY
    return name in COMPARED


def _show(fields: dict[str, Any], name: str) -> str:
    """Returns a number or truth value, or the kind of another value."""
    if name not in fields:
        return ''
    found = fields[name]
    if isinstance(found, bool | int | float):
        return json.dumps(found)
    return describe_kind(found)


def _redact_finding(finding: Finding, redactor: logs.Redactor) -> Finding:
    return finding._replace(
        message=redactor.redact(finding.message),
        place=tuple(_redact_step(step, redactor) for step in finding.place),
    )


def _redact_difference(
    entry: Difference,
    redactor: logs.Redactor,
) -> Difference:
    place = tuple(_redact_step(step, redactor) for step in entry.place)
    return Difference(place, *map(redactor.redact, entry[1:]))


def _redact_step(step: str | int, redactor: logs.Redactor) -> str | int:
    return redactor.redact(step) if isinstance(step, str) else step


def _list_keys(contents: Iterable[str]) -> Iterator[str]:
    """Yields the keys in JSON texts, which may be invalid."""
    for content in contents:
        try:
            document = json.loads(content)
        except DECODE_ERRORS:
            continue
        for _, workspace in spelling.list_objects(document, 'tenants'):
            yield from _list_texts(workspace.get('apiKeys'))


def _list_texts(found: Any) -> Iterator[str]:
    if isinstance(found, str):
        yield found
    if isinstance(found, list | dict):
        yield from (entry for entry in found if isinstance(entry, str))
