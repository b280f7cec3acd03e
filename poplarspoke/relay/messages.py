"""Messages of the relay that carry a statement of any type."""

from typing import Any, NamedTuple

from poplarspoke.generated.common import Position


class Forward(NamedTuple):
    """Has an endpoint run a statement.

    Attributes:
        connection: Connection that it runs on.
        statement: Statement of a caller, or of the system.
        after: Position that the endpoint must have; term 0 for none.
        alias: Name of the prepared statement on the connection.
    """

    connection: int
    statement: Any
    after: Position
    alias: str
