"""Client of the operators' interface of a daemon."""

import json
import pathlib
from typing import NamedTuple, Self, TypeVar
from urllib import parse as url

import anyio

from poplarspoke import codec, errors, web
from poplarspoke.cli.definitions import Options
from poplarspoke.context import Context
from poplarspoke.generated.common import Refusal
from poplarspoke.generated.configuration import ChangeSettings, SettingsChanged
from poplarspoke.status import ExitStatus

RESPONSE_TIMEOUT_S = 5.0
CHANGE_ATTEMPTS = 3
CHANGE_BACKOFF_S = 0.2
FIRST_ERROR_STATUS = 400
NOT_FOUND = 404

Message = TypeVar('Message')


class CommandError(errors.PoplarspokeError):
    """A command that failed.

    Attributes:
        status: Exit status of the program.
    """

    def __init__(self, message: str, status: ExitStatus) -> None:
        """Stores the message, which says what to do, and the exit status."""
        super().__init__(message)
        self.status = status


class Access(NamedTuple):
    """Address of an operators' interface and its secret."""

    address: str
    secret: str


class Client:
    """One connection to the operators' interface; an async context manager."""

    def __init__(self, access: Access) -> None:
        """Stores the address and the secret."""
        self._access = access
        self._connection: web.HttpConnection | None = None

    async def __aenter__(self) -> Self:
        """Returns the client; the connection opens at the first request."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the connection."""
        await self._close()

    async def fetch(self, message_type: type[Message], path: str) -> Message:
        """Sends a GET request and returns the message of the response."""
        return _read_message(
            message_type, await self._send(web.Request('GET', path))
        )

    async def fetch_bytes(self, path: str) -> bytes:
        """Sends a GET request and returns the body of the response."""
        response = await self._send(web.Request('GET', path))
        return response.body

    async def submit(self, change: ChangeSettings) -> SettingsChanged:
        """Submits a change; retries with the same change id if no answer comes.

        Raises:
            CommandError: No attempt was answered.
        """
        request = web.Request(
            'POST',
            '/changes',
            body=web.write_json(change),
        )
        for attempt in range(CHANGE_ATTEMPTS):
            await anyio.sleep(attempt * CHANGE_BACKOFF_S)
            try:
                response = await self._send(request)
            except CommandError:
                continue
            return _read_message(SettingsChanged, response)
        raise CommandError(
            f'no answer to change {change.change_id}, it may be in force; '
            'compare with "history" before you repeat it',
            ExitStatus.UNREACHABLE,
        )

    async def _send(self, request: web.Request) -> web.Response:
        bearer = web.Header('authorization', f'Bearer {self._access.secret}')
        request = request._replace(headers=(bearer,))
        try:
            response = await self._exchange(request)
        except (web.NotSentError, web.AnswerLostError) as exc:
            await self._close()
            raise CommandError(
                f'{exc}; check --at and that the daemon runs, '
                'or ask another host',
                ExitStatus.UNREACHABLE,
            ) from exc
        if response.status >= FIRST_ERROR_STATUS:
            raise _read_error(response, request.path)
        return response

    async def _exchange(self, request: web.Request) -> web.Response:
        if self._connection is None:
            self._connection = await web.connect(self._access.address)
        return await self._connection.send(
            request, timeout_s=RESPONSE_TIMEOUT_S
        )

    async def _close(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.__aexit__(None, None, None)


def find_access(options: Options, context: Context) -> Access:
    """Returns the address and secret from the options or the environment.

    Raises:
        CommandError: One of them is missing or invalid.
    """
    address = options.at or context.environment.get('POPLARSPOKE_AT', '')
    if not address.rpartition(':')[2].isdecimal():
        raise CommandError(
            'no address of a daemon; give --at IP:port of its operators '
            'listener or set POPLARSPOKE_AT',
            ExitStatus.USAGE,
        )
    file = options.secret_file or context.environment.get(
        'POPLARSPOKE_SECRET_FILE',
        '',
    )
    if not file:
        raise CommandError(
            'no operator secret; give --secret-file FILE or set '
            'POPLARSPOKE_SECRET_FILE',
            ExitStatus.USAGE,
        )
    return Access(address, _read_secret(file))


def quote(text: str) -> str:
    """Returns a text quoted for one component of a request path."""
    return url.quote(text, safe='')


def _read_secret(file: str) -> str:
    try:
        secret = pathlib.Path(file).read_text(encoding='ascii').strip()
    except (OSError, ValueError) as exc:
        raise CommandError(
            f'{file} cannot be read; give a file with the operator secret',
            ExitStatus.USAGE,
        ) from exc
    if secret.isprintable():
        return secret
    raise CommandError(
        f'{file} has more than one line; leave only the operator secret',
        ExitStatus.USAGE,
    )


def _read_message(
    message_type: type[Message], response: web.Response
) -> Message:
    try:
        return web.read_json(message_type, response.body)
    except codec.FormatError as exc:
        raise CommandError(
            f'the daemon answered in another format: {exc}; '
            'use the same version as the daemon',
            ExitStatus.INTERNAL,
        ) from exc


def _read_error(
    response: web.Response,
    path: str,
) -> errors.PoplarspokeError:
    if response.status == NOT_FOUND:
        return CommandError(
            f'the daemon has nothing at {path}; check the name, or ask the '
            'host that the answer to the caller names',
            ExitStatus.NOT_FOUND,
        )
    refusal = _parse_refusal(response.body)
    if refusal is None:
        return CommandError(
            f'the daemon answered with status {response.status}; '
            'check that --at is its listener for operators',
            ExitStatus.INTERNAL,
        )
    return errors.RefusedError(refusal)


def _parse_refusal(body: bytes) -> Refusal | None:
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(answer, dict):
        return None
    try:
        return codec.parse(Refusal, answer.get('error'))
    except codec.FormatError:
        return None
