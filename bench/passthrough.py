"""Pass-through proxy on the daemon's HTTP server: the least a proxy can do.

``python -m bench.passthrough PORT MEMBER_ADDRESS TERM`` serves callers with
``web.HttpServer`` and forwards each request to the member over a persistent
connection, without key, rate, routing, queue, session or confirmation.
"""

import json
import sys

import anyio

from poplarspoke import callers, web
from poplarspoke.generated.members import Execute, MemberAnswer
from poplarspoke.generated.requests import CallerAnswer

LOOPBACK = '127.0.0.1'
WRITE_ROUTE = 'release'


class PassThrough:
    """Forwards requests to one member over persistent connections."""

    def __init__(self, address: str, term: int) -> None:
        """Sets the member's address and the term that writes carry."""
        self._address = address
        self._term = term
        self._idle: list[web.HttpConnection] = []

    async def handle(self, request: web.Request) -> web.Response:
        """Forwards one request and returns the member's answer."""
        parsed = callers.parse_request(request)
        write = parsed.route == WRITE_ROUTE
        execute = Execute(
            request_id=parsed.request_id,
            workspace=parsed.workspace,
            term=self._term if write else 0,
            text=parsed.text,
            parameters=parsed.parameters,
            write=write,
            record=write,
        )
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = await web.connect(self._address)
        response = await connection.send(
            web.Request('POST', '/execute', body=web.write_json(execute)),
            timeout_s=parsed.budget_s,
        )
        self._idle.append(connection)
        answer = web.read_json(MemberAnswer, response.body)
        return callers.render_answer(
            CallerAnswer(
                request_id=parsed.request_id,
                rows=answer.rows,
                refused=answer.refused,
                refusal=answer.refusal,
            ),
        )


async def serve(port: int, address: str, term: int) -> None:
    """Prints ``ready PORT`` and serves until the process is terminated."""
    server = web.HttpServer(
        PassThrough(address, term).handle,
        host=LOOPBACK,
        port=port,
    )
    async with server:
        sys.stdout.write(f'ready {json.dumps(server.port)}\n')
        sys.stdout.flush()
        await anyio.sleep_forever()


if __name__ == '__main__':
    anyio.run(serve, int(sys.argv[1]), sys.argv[2], int(sys.argv[3]))
