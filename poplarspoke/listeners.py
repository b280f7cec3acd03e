"""Listeners that withstand a crowd of connections.

``asyncio`` accepts as many connections in one pass as may wait to be accepted.
A crowd would then take all descriptors before the first of it can be closed.
The listeners of ``anyio`` end with an error when no descriptor is left.
"""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

import anyio
from anyio.abc import Listener, SocketListener, SocketStream, TaskGroup

# Connections that may wait to be accepted.
LISTEN_BACKLOG = 512
# Connections that are accepted before those before them are handled.
ACCEPT_BATCH = 8
# Accepting goes on after this time when no descriptor was left.
ACCEPT_BACKOFF_S = 0.1


async def listen(
    create_protocol: Callable[[], asyncio.Protocol], host: str, port: int
) -> asyncio.Server:
    """Returns a server that listens on a TCP port.

    Args:
        create_protocol: Returns the protocol of an accepted connection.
        host: IP address.
        port: TCP port.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    raw = socket.create_server((host.strip('[]'), port), family=family)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        create_protocol, sock=raw, backlog=ACCEPT_BATCH
    )
    # The server has set the backlog of the socket to the size of a batch.
    raw.listen(LISTEN_BACKLOG)
    return server


async def serve(
    listener: Listener[SocketStream],
    handle: Callable[[SocketStream], Coroutine[Any, Any, None]],
    group: TaskGroup,
) -> None:
    """Starts a task for each connection, also after descriptors ran out.

    Args:
        listener: Listener on a TCP port.
        handle: Serves one connection.
        group: Owns the tasks.
    """
    while True:
        try:
            stream = await cast(SocketListener, listener).accept()
        except OSError:
            await anyio.sleep(ACCEPT_BACKOFF_S)
            continue
        group.start_soon(handle, stream)
