"""Findings of the checks."""

import enum
import functools
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from poplarspoke.generated.rules import EndpointEntry, Ruleset

# Names and indices that lead from the root to a part of a configuration. The
# checks name the fields of a ``Ruleset``; the platform's adapter translates them
# to those of its document.
Place = tuple[str | int, ...]
WHOLE: Place = ()
MS_PER_S = 1000
# Time of the shortest statement. The capacity of endpoints is at most what they
# run of these, so a rate above it is wrong for any load. Operators can state
# the time of their own statements.
DEFAULT_STATEMENT_S = 0.001


class Severity(enum.Enum):
    """How a finding affects the service."""

    # Accepted by the hosts, but probably not what was meant.
    WARNING = enum.auto()
    # Refused by the hosts, or a part of it never takes effect, never serves or
    # means something else to them.
    ERROR = enum.auto()


class FindingCode(enum.Enum):
    """Stable codes of the findings, the same in every release."""

    NOT_JSON = enum.auto()
    MISSING_FIELD = enum.auto()
    INVALID_FIELD = enum.auto()
    INEXACT_FIELD = enum.auto()
    REPEATED_NAME = enum.auto()
    SIMILAR_NAME = enum.auto()
    SECOND_ROUTE = enum.auto()
    SECOND_SERVICE = enum.auto()
    SECOND_WORKSPACE = enum.auto()
    UNUSED_SERVICE = enum.auto()
    UNKNOWN_SERVICE = enum.auto()
    SHARED_KEY = enum.auto()
    REPEATED_KEY = enum.auto()
    NO_KEYS = enum.auto()
    UNUSED_STALENESS = enum.auto()
    NO_STALENESS = enum.auto()
    NO_TIMEOUT = enum.auto()
    NO_OBJECTIVE = enum.auto()
    SHORT_TIMEOUT = enum.auto()
    NO_CONNECTIONS = enum.auto()
    FEW_CONNECTIONS = enum.auto()
    NO_IDLE_TIME = enum.auto()
    NO_RATE = enum.auto()
    SMALL_BURST = enum.auto()
    EXCESSIVE_RATE = enum.auto()
    NO_ENDPOINTS = enum.auto()
    FEW_REPLICAS = enum.auto()
    UNDECLARED_ENDPOINTS = enum.auto()
    OLD_VERSION = enum.auto()
    UNREADABLE_BASE = enum.auto()


WARNINGS = frozenset(
    (
        FindingCode.SIMILAR_NAME,
        FindingCode.UNUSED_SERVICE,
        FindingCode.REPEATED_KEY,
        FindingCode.NO_KEYS,
        FindingCode.UNUSED_STALENESS,
        FindingCode.NO_STALENESS,
        FindingCode.SHORT_TIMEOUT,
        FindingCode.FEW_CONNECTIONS,
        FindingCode.NO_IDLE_TIME,
        FindingCode.NO_RATE,
        FindingCode.SMALL_BURST,
        FindingCode.EXCESSIVE_RATE,
        # Members may register after the configuration is in force.
        FindingCode.NO_ENDPOINTS,
        FindingCode.FEW_REPLICAS,
        FindingCode.UNDECLARED_ENDPOINTS,
        FindingCode.UNREADABLE_BASE,
    ),
)


class Finding(NamedTuple):
    """Something wrong in a configuration.

    Attributes:
        code: Stable code.
        severity: How it affects the service.
        place: Where it is.
        message: What is wrong and what to do, without keys.
    """

    code: FindingCode
    severity: Severity
    place: Place
    message: str


class Difference(NamedTuple):
    """A difference from another version.

    Attributes:
        place: Where it is; in the other version for what is absent here.
        subject: Entry that differs, such as ``workspace baguette``.
        name: What differs in the entry; empty for the whole entry.
        before: Description of the other version; empty if it lacks this.
        after: Description of this version; empty if it lacks this.
    """

    place: Place
    subject: str
    name: str
    before: str
    after: str


class Deployment(NamedTuple):
    """What is known of the deployment that a configuration is for.

    Attributes:
        keys: Workspaces have keys.
        rates: Workspaces have a rate and a burst.
        endpoints: Endpoints that are registered; None if they are not known.
        statement_s: Time that a statement takes on average.
    """

    keys: bool = True
    rates: bool = True
    endpoints: tuple[EndpointEntry, ...] | None = None
    statement_s: float = DEFAULT_STATEMENT_S


# Yields the findings of one check.
Check = Callable[[Ruleset, Deployment], Iterator[Finding]]


def create_finding(code: FindingCode, place: Place, message: str) -> Finding:
    """Returns a finding with the severity of its code."""
    severity = Severity.WARNING if code in WARNINGS else Severity.ERROR
    return Finding(code, severity, place, message)


def find_highest(findings: Iterable[Finding]) -> Severity | None:
    """Returns the highest severity; None without findings."""
    found = {finding.severity for finding in findings}
    if Severity.ERROR in found:
        return Severity.ERROR
    return Severity.WARNING if found else None


def format_ms(time_s: float) -> str:
    """Returns a time as text."""
    return f'{format_number(time_s * MS_PER_S)} ms'


def format_number(number: float) -> str:
    """Returns a number as text, without the rounding errors of its unit."""
    return f'{number:.10g}'


def format_place(place: Place) -> str:
    """Returns a place as a JSON path (RFC 9535)."""
    return ''.join(['$', *map(_format_step, place)])


@functools.singledispatch
def _format_step(step: str | int) -> str:
    return f'[{step}]'


@_format_step.register
def _(step: str) -> str:
    if step.isidentifier():
        return f'.{step}'
    quoted = step.replace('\\', r'\\').replace("'", r'\'')
    return f"['{quoted}']"
