"""Process of the platform stand-in, which serves ``table`` as JSON over HTTP.

Run it as ``python -m poplarspoke.standins.platform --port N``; it prints one
line, ``ready PORT``, when it accepts HTTP/1.1 connections.
"""

import argparse
import contextvars
import functools
import http
import time
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import unquote

import anyio

from poplarspoke import codec, errors, web
from poplarspoke.generated.common import ErrorCode
from poplarspoke.generated.platform import (
    Commit,
    FetchCounts,
    FetchHosts,
    FetchObject,
    HostEntry,
    PlatformFaults,
    ReadRows,
    StoredObject,
)
from poplarspoke.standins import table
from poplarspoke.tasks import Reply

LOOPBACK = '127.0.0.1'
OBJECTS_PATH = '/objects/'

# Each connection is served by its own task and so has its own context.
_connection: contextvars.ContextVar[int] = contextvars.ContextVar(
    'connection',
    default=0,
)


class Route(NamedTuple):
    """Method and path of a request."""

    method: str
    path: str


BODY_TYPES: dict[Route, type] = {
    Route('POST', '/read'): ReadRows,
    Route('POST', '/commit'): Commit,
    Route('POST', '/hosts'): HostEntry,
    Route('POST', '/faults'): PlatformFaults,
}
QUERIES: dict[Route, Any] = {
    Route('GET', '/hosts'): FetchHosts(),
    Route('GET', '/counts'): FetchCounts(),
}


class Platform:
    """Answers the requests of all connections and injects faults.

    Attributes:
        state: State of the table, the object store and the host list.
        faults: Faults that are set.
    """

    def __init__(self) -> None:
        """Creates an empty platform without faults."""
        self.state = table.create_state()
        self.faults = PlatformFaults()
        self._connections = 0
        self._last_unresponsive = 0

    async def handle(self, request: web.Request) -> web.Response:
        """Answers one request.

        Raises:
            anyio.EndOfStream: A fault closes the connection without an answer.
        """
        number = self._number_connection()
        try:
            message = _read_message(request)
        except codec.FormatError as exc:
            return _build_refusal(errors.refuse_from(exc))
        if message is None:
            return _build_refusal(
                errors.refuse(
                    ErrorCode.BAD_REQUEST,
                    f'{request.method} {request.path} does not exist',
                ),
            )
        return await answer(message, self, number)

    async def apply_faults(self, number: int) -> None:
        """Injects the faults that precede the effect of a request.

        Args:
            number: Number of the connection.

        Raises:
            anyio.EndOfStream: The platform is down.
        """
        if number <= self._last_unresponsive:
            await anyio.sleep_forever()
        if self.faults.slow_s:
            await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            raise anyio.EndOfStream

    def drop_answer(self) -> None:
        """Closes the connection after an effect if that fault is set.

        Raises:
            anyio.EndOfStream: The answer must be lost.
        """
        lost_answers = self.faults.lost_answers
        if lost_answers:
            self.faults = self.faults._replace(lost_answers=lost_answers - 1)
            raise anyio.EndOfStream

    def replace_faults(self, faults: PlatformFaults) -> None:
        """Replaces the faults; the calling connection remains usable."""
        self.faults = faults
        if faults.silence:
            self._last_unresponsive = self._connections
            self._number_connection(renew=True)

    def run(self, message: Any) -> web.Response:
        """Runs a request and returns its answer."""
        # Operators see the times of the table, so it uses the wall clock.
        for outgoing in table.decide(message, self.state, time.time()):
            if isinstance(outgoing, Reply):
                return web.Response(
                    http.HTTPStatus.OK,
                    web.write_json(outgoing.message),
                )
        raise TypeError(f'{type(message).__name__} was not answered')

    def _number_connection(self, *, renew: bool = False) -> int:
        number = _connection.get()
        if number and not renew:
            return number
        self._connections += 1
        _connection.set(self._connections)
        return self._connections


@functools.singledispatch
async def answer(message: Any, platform: Platform, number: int) -> web.Response:
    """Answers a message, subject to the faults that are set.

    Args:
        message: Request to the platform.
        platform: Platform that runs it.
        number: Number of the connection.
    """
    await platform.apply_faults(number)
    return platform.run(message)


@answer.register
async def _(
    message: Commit | HostEntry | StoredObject,
    platform: Platform,
    number: int,
) -> web.Response:
    await platform.apply_faults(number)
    response = platform.run(message)
    platform.drop_answer()
    return response


@answer.register
async def _(
    message: FetchCounts,
    platform: Platform,
    number: int,
) -> web.Response:
    return platform.run(message)


@answer.register
async def _(
    message: PlatformFaults,
    platform: Platform,
    number: int,
) -> web.Response:
    platform.replace_faults(message)
    return platform.run(message)


def _read_message(request: web.Request) -> Any:
    """Returns the message of a request, None if the path is unknown."""
    route = Route(request.method, request.path)
    body_type = BODY_TYPES.get(route)
    if body_type is not None:
        return web.read_json(body_type, request.body)
    if request.path.startswith(OBJECTS_PATH):
        name = unquote(request.path.removeprefix(OBJECTS_PATH))
        if request.method == 'GET':
            return FetchObject(name)
        if request.method == 'PUT':
            stored = web.read_json(StoredObject, request.body)
            return stored._replace(name=name)
    return QUERIES.get(route)


def _build_refusal(refusal: Any) -> web.Response:
    kind = errors.ERROR_KINDS[refusal.code]
    return web.Response(kind.status, web.write_json({'error': refusal}))


async def serve(port: int) -> None:
    """Serves on the loopback address until cancelled."""
    platform = Platform()
    async with web.HttpServer(
        platform.handle,
        host=LOOPBACK,
        port=port,
    ) as server:
        print(f'ready {server.port}', flush=True)  # noqa: WPS421
        await anyio.sleep_forever()


def main(arguments: Sequence[str] | None = None) -> None:
    """Parses the command line and serves until interrupted."""
    parser = argparse.ArgumentParser(description='Platform stand-in.')
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args(arguments)
    try:
        anyio.run(functools.partial(serve, options.port))
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    main()
