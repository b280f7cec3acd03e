"""Messages of the relay that hold a statement of any type."""

from typing import Any, NamedTuple

from poplarspoke.generated.common import Position


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
