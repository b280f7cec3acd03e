"""Requests of the load generator to a host, and their HTTP transport."""

import json
from collections.abc import Mapping
from typing import NamedTuple, Protocol, Self

from poplarspoke import callers, web
from poplarspoke.standins import ledger

CONNECTION_LOST = 'connection_lost'
OUTCOME_NOT_RUN = 'not_run'
HTTP_OK = 200
MS_PER_S = 1000
# Margin after the deadline, by which a host answers at the latest.
GRACE_S = 1.0


class Exchange(NamedTuple):
    """One attempt of a request."""

    workspace: str
    key: str
    session: str
    request_id: str
    route: str
    statement: str
    deadline_ms: int


class ExchangeResult(NamedTuple):
    """Result of an attempt.

    Attributes:
        code: ``served``, an error code or ``connection_lost``.
        may_have_run: Whether the statement may have taken effect.
        session: Session token of the answer.
        endpoint: Endpoint that served it.
        replica: Whether a replica served it.
        rows: Values of the answer by key.
    """

    code: str
    may_have_run: bool = False
    session: str = ''
    endpoint: str = ''
    replica: bool = False
    rows: Mapping[str, str] = {}


class Transport(Protocol):
    """Sends attempts to hosts."""

    async def send(self, host: str, exchange: Exchange) -> ExchangeResult:
        """Sends one attempt; a lost connection is a result, not an error."""


class HttpTransport:
    """Transport over persistent connections, as an async context manager."""

    def __init__(self, addresses: Mapping[str, str]) -> None:
        """Creates a transport without connections.

        Args:
            addresses: Address (IP:port) for callers, by host.
        """
        self._addresses = addresses
        self._idle: dict[str, list[web.HttpConnection]] = {}

    async def __aenter__(self) -> Self:
        """Returns the transport."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.__aexit__()

    async def send(self, host: str, exchange: Exchange) -> ExchangeResult:
        """Sends one attempt over an idle or a new connection."""
        idle = self._idle.setdefault(host, [])
        try:
            connection = (
                idle.pop() if idle else await web.connect(self._addresses[host])
            )
        except web.NotSentError:
            return ExchangeResult(CONNECTION_LOST)
        try:
            response = await connection.send(
                _build_request(exchange),
                timeout_s=exchange.deadline_ms / MS_PER_S + GRACE_S,
            )
        except web.AnswerLostError:
            await connection.__aexit__()
            return ExchangeResult(CONNECTION_LOST, may_have_run=True)
        if response.find_header('connection') == 'close':
            await connection.__aexit__()
        else:
            idle.append(connection)
        return _read_response(response)


def _build_request(exchange: Exchange) -> web.Request:
    headers = [
        web.Header('authorization', f'Bearer {exchange.key}'),
        web.Header(callers.WORKSPACE_HEADER, exchange.workspace),
        web.Header(callers.REQUEST_ID_HEADER, exchange.request_id),
        web.Header(callers.DEADLINE_HEADER, str(exchange.deadline_ms)),
    ]
    if exchange.session:
        headers.append(web.Header(callers.SESSION_HEADER, exchange.session))
    body = {'route': exchange.route, 'statement': exchange.statement}
    return web.Request(
        'POST',
        callers.REQUESTS_PATH,
        tuple(headers),
        json.dumps(body).encode(),
    )


def _read_response(response: web.Response) -> ExchangeResult:
    body = json.loads(response.body)
    session = response.find_header(callers.SESSION_HEADER)
    if response.status != HTTP_OK:
        error = body['error']
        return ExchangeResult(
            error['code'],
            may_have_run=error['outcome'] != OUTCOME_NOT_RUN,
            session=session,
        )
    return ExchangeResult(
        ledger.SERVED,
        session=session,
        endpoint=body['endpoint'],
        replica=body['replica'],
        rows={row['key']: row['value'] for row in body['rows']},
    )
