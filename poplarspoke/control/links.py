"""Datagrams between hosts.

A datagram may be lost or duplicated; every exchange is a request that its
sender repeats.
"""

import asyncio
import ipaddress
from collections.abc import Callable
from typing import Any, Self

from poplarspoke import codec
from poplarspoke.addresses import Address, split_address
from poplarspoke.generated.control import PeerAddresses, PeerDatagram
from poplarspoke.generated.relay import LogDecision

MAX_DATAGRAM_BYTES = 8192


class Links:
    """Owns the UDP socket of this host; an async context manager."""

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        receive: Callable[[Any], None],
        log: Callable[[LogDecision], None],
    ) -> None:
        """Creates a link that is not bound yet.

        Args:
            ip: Address to bind.
            port: UDP port to bind.
            receive: Handles the messages of other hosts.
            log: Writes a log line.
        """
        self._ip = ip
        self._port = port
        self._receive = receive
        self._log = log
        self._addresses: dict[str, Address] = {}

    async def __aenter__(self) -> Self:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: LinkProtocol(self._receive, self._log),
            local_addr=(self._ip, self._port),
        )
        self._transport = endpoint[0]
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the socket."""
        self._transport.close()

    def set_peers(self, message: PeerAddresses) -> None:
        """Replaces the addresses of the other hosts."""
        self._addresses = {}
        for host in message.hosts:
            try:
                self._addresses[host.name] = _parse_address(host.address)
            except ValueError as exc:
                line = LogDecision(
                    event='host skipped', outcome=host.name, reason=str(exc)
                )
                self._log(line)

    def send(self, host: str, message: Any) -> None:
        """Sends a message to a host; it may be lost."""
        address = self._addresses.get(host)
        if address is not None:
            payload = codec.encode(PeerDatagram(message))
            self._transport.sendto(payload, address)


class LinkProtocol(asyncio.DatagramProtocol):
    """Decodes what the socket receives."""

    def __init__(
        self,
        receive: Callable[[Any], None],
        log: Callable[[LogDecision], None],
    ) -> None:
        """Creates a protocol that passes messages to a function."""
        self._receive = receive
        self._log = log

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes on a message; one that cannot be decoded is logged."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            datagram = codec.decode(PeerDatagram, data)
        except codec.FormatError as exc:
            self._log(LogDecision(event='datagram dropped', reason=str(exc)))
            return
        self._receive(datagram.body)


def _parse_address(address: str) -> Address:
    """Returns the parts of an address; a name would need a lookup."""
    host, port = split_address(address)
    return Address(str(ipaddress.ip_address(host)), port)
