"""HTTP/1.1 interface for operators.

It translates requests into messages to the tasks of the daemon, and their
replies into JSON. It makes no decisions itself.
"""

import functools
import hmac
import http
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

from poplarspoke import errors, metrics, web
from poplarspoke.dump import dump as dump_states
from poplarspoke.generated.common import ErrorCode, Refusal
from poplarspoke.generated.configuration import (
    ChangeSettings,
    ShowHistory,
    ShowSettings,
)
from poplarspoke.generated.drains import BeginShutdown, ReadyChanged
from poplarspoke.generated.membership import ShowHosts
from poplarspoke.generated.operators import (
    MetricsShown,
    ShowEvents,
    ShowMetrics,
    ShowTrace,
)
from poplarspoke.tasks import MessageBus

REPLY_TIMEOUT_S = 5.0
SCHEME = 'Bearer '
REQUESTS_PATH = '/requests/'


class ForbiddenError(errors.PoplarspokeError):
    """A request without the operator secret."""

    code = ErrorCode.FORBIDDEN


class NotFoundError(errors.PoplarspokeError):
    """A request for a path or method that does not exist."""

    code = ErrorCode.UNKNOWN_ROUTE


class TaskQuery(NamedTuple):
    """A message to a task whose reply becomes the response."""

    task: str
    message: Any


class OperatorInterface:
    """Handles the HTTP requests of operators for one daemon.

    Attributes:
        ready: Latest readiness that the drains task published.
    """

    def __init__(
        self,
        host: str,
        secrets: tuple[str, ...],
        message_bus: MessageBus,
        now_s: Callable[[], float],
    ) -> None:
        """Sets what the interface depends on.

        Args:
            host: Name of this host.
            secrets: The operator secret first, then others to redact in dumps.
            message_bus: Tasks that answer.
            now_s: Monotonic clock in seconds.
        """
        self.ready = ReadyChanged(ready=False, reason='the daemon starts')
        self._host = host
        self._secrets = secrets
        self._message_bus = message_bus
        self._now_s = now_s
        self._request_numbers = itertools.count(1)

    async def handle(self, request: web.Request) -> web.Response:
        """Returns the response to one HTTP request."""
        try:
            return await self._handle(request)
        except (errors.PoplarspokeError, ValueError) as exc:
            return _refuse(errors.refuse_from(exc))

    async def _handle(self, request: web.Request) -> web.Response:
        if request.path == '/ready':
            return self._show_ready()
        if request.path == '/metrics':
            return await self._show_metrics()
        self._check_secret(request)
        if request.path == '/dump':
            return self._show_dump()
        if (request.method, request.path) == ('POST', '/drain'):
            self._message_bus.post(
                'drains', BeginShutdown('an operator asked for it')
            )
            return web.Response(http.HTTPStatus.OK, b'{}')
        query = self._create_query(request)
        task = self._message_bus.tasks[query.task]
        reply = await task.ask(query.message, timeout_s=REPLY_TIMEOUT_S)
        return create_response(reply)

    def _create_query(self, request: web.Request) -> TaskQuery:
        path, _, query_string = request.path.partition('?')
        request_id = f'operator-{next(self._request_numbers)}'
        if (request.method, path) == ('POST', '/changes'):
            change = web.read_json(ChangeSettings, request.body)
            return TaskQuery(
                'configuration',
                change._replace(request_id=request_id),
            )
        if request.method != 'GET':
            raise NotFoundError(f'{request.method} {path} does not exist')
        if path.startswith(REQUESTS_PATH):
            name = unquote(path.removeprefix(REQUESTS_PATH))
            return TaskQuery('traces', ShowTrace(request_id, name))
        queries = {
            '/settings': TaskQuery('configuration', ShowSettings(request_id)),
            '/history': TaskQuery(
                'configuration',
                ShowHistory(request_id, _read_path(query_string)),
            ),
            '/hosts': TaskQuery('membership', ShowHosts(request_id)),
            '/events': TaskQuery('traces', ShowEvents(request_id)),
        }
        if path not in queries:
            raise NotFoundError(f'{path} does not exist')
        return queries[path]

    def _check_secret(self, request: web.Request) -> None:
        header = request.find_header('authorization')
        expected = f'{SCHEME}{self._secrets[0]}'
        if not hmac.compare_digest(header.encode(), expected.encode()):
            raise ForbiddenError('the operator secret is missing or wrong')

    def _show_ready(self) -> web.Response:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self.ready.ready:
            status = http.HTTPStatus.OK
        return web.Response(status, web.write_json(self.ready))

    async def _show_metrics(self) -> web.Response:
        query = ShowMetrics(f'operator-{next(self._request_numbers)}')
        reply: MetricsShown = await self._message_bus.tasks['metrics'].ask(
            query,
            timeout_s=REPLY_TIMEOUT_S,
        )
        return web.Response(
            http.HTTPStatus.OK,
            reply.text.encode(),
            content_type=metrics.CONTENT_TYPE,
        )

    def _show_dump(self) -> web.Response:
        # This runs between two messages, never inside decide, so each state is
        # consistent.
        states = {
            name: task.state for name, task in self._message_bus.tasks.items()
        }
        body = dump_states(states, self._now_s(), self._secrets)
        return web.Response(http.HTTPStatus.OK, body)


@functools.singledispatch
def create_response(reply: Any) -> web.Response:
    """Returns the response for the reply of a task."""
    return web.Response(http.HTTPStatus.OK, web.write_json(reply))


@create_response.register
def _(reply: Refusal) -> web.Response:
    return _refuse(reply)


def _refuse(refusal: Refusal) -> web.Response:
    status = errors.ERROR_KINDS[refusal.code].status
    return web.Response(status, web.write_json({'error': refusal}))


def _read_path(query_string: str) -> str:
    fields = parse_qs(query_string)
    return fields.get('path', [''])[0]
