"""Addresses of listeners in the form ``IP:port``."""

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """Address of a listener.

    Attributes:
        host: IP address.
        port: Port, from 1 to 65535.
    """

    host: str
    port: int


def split_address(address: str) -> Address:
    """Returns the parts of an address.

    Raises:
        ValueError: There is no port, or it is out of range, which a connection
            attempt would report as another error.
    """
    host, _, port = address.rpartition(':')
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'port {number} is out of range')
    return Address(host, number)
