"""Statement language of the member stand-in, over a key-value map.

``GET key``, ``PUT key value``, ``ADD key number`` and ``SCAN prefix``; each
``?`` is replaced by the next parameter.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeAlias

from poplarspoke import errors
from poplarspoke.generated.common import ErrorCode

PLACEHOLDER = '?'


class StatementError(errors.PoplarspokeError):
    """The member cannot execute a statement."""

    code = ErrorCode.STATEMENT_FAILED


class KeyValue(NamedTuple):
    """One row of an answer."""

    key: str
    value: str


class Evaluation(NamedTuple):
    """Result of evaluating a statement.

    Attributes:
        rows: Rows of the answer.
        effect: Values that the statement writes.
        reads: Keys that the statement reads.
    """

    rows: tuple[KeyValue, ...] = ()
    effect: tuple[KeyValue, ...] = ()
    reads: tuple[str, ...] = ()


class Verb(NamedTuple):
    """Number of arguments of a verb and the function that evaluates it."""

    arity: int
    evaluate: Callable[..., Evaluation]


Values: TypeAlias = Mapping[str, str]


def split_statement(text: str, parameters: tuple[str, ...]) -> list[str]:
    """Returns the verb and its arguments with the parameters filled in.

    Raises:
        StatementError: The numbers of placeholders and parameters differ.
    """
    words = text.split()
    if words.count(PLACEHOLDER) != len(parameters):
        raise StatementError(
            f'statement has {words.count(PLACEHOLDER)} placeholders '
            f'and {len(parameters)} parameters',
        )
    remaining = iter(parameters)
    return [next(remaining) if word == PLACEHOLDER else word for word in words]


def evaluate(
    text: str,
    parameters: tuple[str, ...],
    values: Values,
) -> Evaluation:
    """Returns the rows and the effect of a statement without applying it.

    Raises:
        StatementError: The statement is malformed.
    """
    words = split_statement(text, parameters)
    verb = VERBS.get(words[0].upper()) if words else None
    if verb is None or len(words) != verb.arity + 1:
        raise StatementError(
            'statement is none of: GET key, PUT key value, ADD key number, '
            'SCAN prefix',
        )
    return verb.evaluate(values, *words[1:])


def _get(values: Values, key: str) -> Evaluation:
    if key not in values:
        return Evaluation(reads=(key,))
    return Evaluation(rows=(KeyValue(key, values[key]),), reads=(key,))


def _put(values: Values, key: str, value: str) -> Evaluation:
    return Evaluation(effect=(KeyValue(key, value),))


def _add(values: Values, key: str, number: str) -> Evaluation:
    try:
        total = int(values.get(key, '0')) + int(number)
    except ValueError as exc:
        raise StatementError('ADD needs integers') from exc
    changed = KeyValue(key, str(total))
    return Evaluation(rows=(changed,), effect=(changed,), reads=(key,))


def _scan(values: Values, prefix: str) -> Evaluation:
    found = sorted(key for key in values if key.startswith(prefix))
    rows = tuple(KeyValue(key, values[key]) for key in found)
    return Evaluation(rows=rows, reads=tuple(found))


VERBS = {
    'GET': Verb(1, _get),
    'PUT': Verb(2, _put),
    'ADD': Verb(2, _add),
    'SCAN': Verb(1, _scan),
}
