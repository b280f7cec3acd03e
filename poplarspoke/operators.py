"""HTTP/1.1 interface for operators.

It translates requests into messages to the tasks of the daemon and their
replies into JSON; it decides nothing.
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
from poplarspoke.tasks import Mesh

REPLY_TIMEOUT_S = 5.0
SCHEME = 'Bearer '
REQUESTS_PATH = '/requests/'


class ForbiddenError(errors.PoplarspokeError):
    """A request without the operator secret."""

    code = ErrorCode.FORBIDDEN


class NotFoundError(errors.PoplarspokeError):
    """A path that the interface does not have."""

    code = ErrorCode.UNKNOWN_ROUTE


class Question(NamedTuple):
    """A message to a task whose reply is the answer."""

    task: str
    message: Any


class OperatorFront:
    """Handles the HTTP requests of operators for one daemon.

    Attributes:
        ready: Last readiness that the drains published.
    """

    def __init__(
        self,
        host: str,
        secrets: tuple[str, ...],
        mesh: Mesh,
        now_s: Callable[[], float],
    ) -> None:
        """Takes the host's name, its secrets, its tasks and its clock.

        Args:
            host: Name of this host.
            secrets: Operator secret first, then those to keep out of dumps.
            mesh: Tasks that answer.
            now_s: Monotonic clock in seconds.
        """
        self.ready = ReadyChanged(ready=False, reason='the daemon starts')
        self._host = host
        self._secrets = secrets
        self._mesh = mesh
        self._now_s = now_s
        self._numbers = itertools.count(1)

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
            self._mesh.post('drains', BeginShutdown('an operator asked for it'))
            return web.Response(http.HTTPStatus.OK, b'{}')
        question = self._find_question(request)
        task = self._mesh.tasks[question.task]
        reply = await task.ask(question.message, timeout_s=REPLY_TIMEOUT_S)
        return render(reply)

    def _find_question(self, request: web.Request) -> Question:
        path, _, query = request.path.partition('?')
        number = f'operator-{next(self._numbers)}'
        if (request.method, path) == ('POST', '/changes'):
            change = web.read_json(ChangeSettings, request.body)
            return Question(
                'configuration',
                change._replace(request_id=number),
            )
        if request.method != 'GET':
            raise NotFoundError(f'{request.method} {path} does not exist')
        if path.startswith(REQUESTS_PATH):
            name = unquote(path.removeprefix(REQUESTS_PATH))
            return Question('traces', ShowTrace(number, name))
        questions = {
            '/settings': Question('configuration', ShowSettings(number)),
            '/history': Question(
                'configuration',
                ShowHistory(number, _read_path(query)),
            ),
            '/hosts': Question('membership', ShowHosts(number)),
            '/events': Question('traces', ShowEvents(number)),
        }
        if path not in questions:
            raise NotFoundError(f'{path} does not exist')
        return questions[path]

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
        question = ShowMetrics(f'operator-{next(self._numbers)}')
        reply: MetricsShown = await self._mesh.tasks['metrics'].ask(
            question,
            timeout_s=REPLY_TIMEOUT_S,
        )
        return web.Response(
            http.HTTPStatus.OK,
            reply.text.encode(),
            content_type=metrics.CONTENT_TYPE,
        )

    def _show_dump(self) -> web.Response:
        # Between two messages no task is inside decide, so each state is whole.
        states = {name: task.state for name, task in self._mesh.tasks.items()}
        body = dump_states(states, self._now_s(), self._secrets)
        return web.Response(http.HTTPStatus.OK, body)


@functools.singledispatch
def render(reply: Any) -> web.Response:
    """Returns the response that carries the reply of a task."""
    return web.Response(http.HTTPStatus.OK, web.write_json(reply))


@render.register
def _(reply: Refusal) -> web.Response:
    return _refuse(reply)


def _refuse(refusal: Refusal) -> web.Response:
    status = errors.ERROR_KINDS[refusal.code].status
    return web.Response(status, web.write_json({'error': refusal}))


def _read_path(query: str) -> str:
    fields = parse_qs(query)
    return fields.get('path', [''])[0]
