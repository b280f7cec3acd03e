"""Messages of the relay that hold a statement of any type."""

from typing import Any, NamedTuple

from poplarspoke.generated.common import Position
from poplarspoke.generated.control import QueryReachability
from poplarspoke.generated.loads import LoadReport
from poplarspoke.generated.rates import BorrowTokens, LendTokens
from poplarspoke.generated.relay import ReleaseIdle

# Datagrams of other hosts that the relay handles.
RelayDatagram = (
    QueryReachability | BorrowTokens | LendTokens | ReleaseIdle | LoadReport
)


class Forward(NamedTuple):
    """Sends a statement to an endpoint.

    Attributes:
        connection: Connection to send it on.
        statement: Statement of a caller, or a setup statement.
        after: Log position that the endpoint must have applied; term 0 if any
            will do.
        alias: Name of the prepared statement on the connection, '' for none.
    """

    connection: int
    statement: Any
    after: Position
    alias: str


class OpenGatewayLink(NamedTuple):
    """Opens a link to a gateway; address is IP:port."""

    host: str
    address: str


class CloseGatewayLink(NamedTuple):
    """Closes the link to a gateway."""

    host: str


class ToGateway(NamedTuple):
    """Sends a frame on the link to a gateway."""

    host: str
    body: Any


class ToPeer(NamedTuple):
    """Sends a frame on a link that another host has opened."""

    link: int
    body: Any


class GatewayFrame(NamedTuple):
    """A frame of a gateway has arrived."""

    host: str
    body: Any


class GatewayLost(NamedTuple):
    """The link to a gateway has failed to open or has ended."""

    host: str
    reason: str


class PeerFrame(NamedTuple):
    """A frame of a host that uses this one as its gateway has arrived."""

    link: int
    body: Any


class PeerLost(NamedTuple):
    """A link that another host had opened has ended."""

    link: int
