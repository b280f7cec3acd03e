"""Outgoing TCP connections that deliver nothing after they were given up.

The kernel goes on sending the bytes of a connection that was closed, also after
its process has ended. A partition can hold them up, so that a request takes
effect long after its sender has decided otherwise.
"""

import socket
import struct
from typing import Protocol

# The kernel drops a connection whose sent bytes are unacknowledged for this long,
# also while its process is frozen.
UNACKNOWLEDGED_LIMIT_S = 2.0
MS_PER_S = 1000
# A lingering time of 0 s: closing resets the connection and discards its bytes.
NO_LINGER = struct.pack('ii', 1, 0)


class SocketOptions(Protocol):
    """A socket, or what a transport shows of its socket."""

    def setsockopt(self, level: int, name: int, value: int | bytes) -> None:
        """Sets an option of the socket."""


def discard_on_close(raw: SocketOptions) -> None:
    """Lets a connection discard undelivered bytes when it ends.

    Closing it, also by the end of its process, resets it.

    Raises:
        OSError: The connection has already ended.
    """
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    limit_delivery(raw, UNACKNOWLEDGED_LIMIT_S)


def limit_delivery(raw: SocketOptions, limit_s: float) -> None:
    """Lets the kernel drop a connection that delivers nothing for a time.

    Args:
        raw: Socket of the connection.
        limit_s: Time in seconds after which unacknowledged bytes are discarded.

    Raises:
        OSError: The connection has already ended.
    """
    limit_ms = max(1, int(limit_s * MS_PER_S))
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
