"""HTTP/1.1 front end for callers.

It parses HTTP requests into ``CallerRequest`` messages and renders
``CallerAnswer`` messages as responses; all decisions are made in the proxy.
"""

import http
import json
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from poplarspoke import errors, web
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.requests import (
    CallerAnswer,
    CallerRequest,
    RequestBody,
    TransactionStep,
)

REQUESTS_PATH = '/v1/requests'
TRANSACTIONS_PATH = '/v1/transactions'
KEY_HEADER = 'authorization'
KEY_SCHEME = 'Bearer '
WORKSPACE_HEADER = 'poplarspoke-workspace'
SESSION_HEADER = 'poplarspoke-session'
REQUEST_ID_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'poplarspoke-deadline-ms'
DEFAULT_DEADLINE_MS = 5000
MAX_DEADLINE_MS = 60000
MAX_NAME_CHARACTERS = 128
MS_PER_S = 1000
STEPS = {
    'commit': TransactionStep.COMMIT,
    'rollback': TransactionStep.ROLLBACK,
}

HandleRequest: TypeAlias = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class BadRequestError(errors.PoplarspokeError):
    """A header or the method of a caller's request is not valid."""

    code = ErrorCode.BAD_REQUEST


class UnknownPathError(errors.PoplarspokeError):
    """The path does not exist in the callers' interface."""

    code = ErrorCode.UNKNOWN_ROUTE


class Target(NamedTuple):
    """Step and transaction that the path of a request names.

    Attributes:
        step: What the request does to its transaction.
        transaction: Transaction id, empty outside of one.
    """

    step: TransactionStep
    transaction: str


class CallerInterface:
    """Handles the HTTP requests of callers for one daemon."""

    def __init__(self, handle_request: HandleRequest, host: str) -> None:
        """Creates a front end.

        Args:
            handle_request: Runs a request and returns its answer.
            host: Name of this host.
        """
        self._handle_request = handle_request
        self._host = host

    async def handle(self, request: web.Request) -> web.Response:
        """Returns the response to one HTTP request."""
        try:
            caller_request = parse_request(request)
        except (errors.PoplarspokeError, ValueError) as exc:
            refusal = errors.refuse_from(exc)
            answer = CallerAnswer(
                host=self._host,
                refused=True,
                refusal=refusal,
            )
            return render_answer(answer)
        return render_answer(await self._handle_request(caller_request))


def parse_request(request: web.Request) -> CallerRequest:
    """Returns the message for an HTTP request.

    Raises:
        BadRequestError: A header or the method is not valid.
        UnknownPathError: The path does not exist.
        codec.FormatError: The body is not valid.
    """
    target = _parse_target(request)
    body = RequestBody()
    if request.body:
        body = web.read_json(RequestBody, request.body)
    step = target.step
    if step is TransactionStep.SINGLE and body.transaction:
        step = TransactionStep.INSIDE
    return CallerRequest(
        request_id=_read_name(request, REQUEST_ID_HEADER)
        or secrets.token_hex(8),
        key=_read_key(request),
        session_token=request.find_header(SESSION_HEADER),
        workspace=_read_name(request, WORKSPACE_HEADER),
        route=body.route,
        text=body.statement,
        parameters=body.parameters,
        transaction=target.transaction or body.transaction,
        step=step,
        budget_s=_read_deadline_ms(request) / MS_PER_S,
    )


def render_answer(answer: CallerAnswer) -> web.Response:
    """Returns the HTTP response for an answer."""
    headers = []
    if answer.session_token:
        headers.append(web.Header(SESSION_HEADER, answer.session_token))
    if answer.refused:
        return _render_refusal(answer, headers)
    content = {
        'request_id': answer.request_id,
        'rows': json.loads(answer.rows or '[]'),
        'host': answer.host,
        'endpoint': answer.endpoint,
        'replica': answer.replica,
        'age_s': answer.age_s,
        'repeated': answer.repeated,
        'transaction': answer.transaction,
        'settings_version': answer.settings_version,
    }
    body = web.write_json(content)
    return web.Response(http.HTTPStatus.OK, body, tuple(headers))


def _render_refusal(
    answer: CallerAnswer,
    headers: list[web.Header],
) -> web.Response:
    refusal = answer.refusal
    if refusal.retry_after_s > 0:
        seconds = str(max(1, round(refusal.retry_after_s)))
        headers.append(web.Header('retry-after', seconds))
    content = {
        'request_id': answer.request_id,
        'host': answer.host,
        'transaction': answer.transaction,
        'settings_version': answer.settings_version,
        'error': refusal,
    }
    status = errors.ERROR_KINDS[refusal.code].status
    return web.Response(status, web.write_json(content), tuple(headers))


def _parse_target(request: web.Request) -> Target:
    if request.method != 'POST':
        raise BadRequestError(f'method {request.method} is not supported')
    if request.path == REQUESTS_PATH:
        return Target(TransactionStep.SINGLE, '')
    if request.path == TRANSACTIONS_PATH:
        return Target(TransactionStep.BEGIN, '')
    prefix, _, rest = request.path.partition(f'{TRANSACTIONS_PATH}/')
    transaction, _, verb = rest.partition('/')
    if prefix or not transaction or verb not in STEPS:
        shown = request.path[:MAX_NAME_CHARACTERS]
        raise UnknownPathError(f'path {shown!r} does not exist')
    return Target(STEPS[verb], transaction)


def _read_name(request: web.Request, header: str) -> str:
    name = request.find_header(header)
    if len(name) > MAX_NAME_CHARACTERS or not name.isascii():
        raise BadRequestError(
            f'header {header} must have at most {MAX_NAME_CHARACTERS} '
            'ASCII characters',
        )
    return name


def _read_key(request: web.Request) -> str:
    header = request.find_header(KEY_HEADER)
    if header and not header.startswith(KEY_SCHEME):
        raise BadRequestError('header authorization must be "Bearer KEY"')
    return header.removeprefix(KEY_SCHEME)


def _read_deadline_ms(request: web.Request) -> int:
    text = request.find_header(DEADLINE_HEADER) or str(DEFAULT_DEADLINE_MS)
    deadline_ms = int(text) if text.isascii() and text.isdigit() else 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequestError(
            f'header {DEADLINE_HEADER} must be a whole number of '
            f'milliseconds from 1 to {MAX_DEADLINE_MS}',
        )
    return deadline_ms
