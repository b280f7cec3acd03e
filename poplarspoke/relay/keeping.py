"""Limit on what a session keeps: its values and its prepared statements.

They travel with each statement to a gateway, so they must fit into a frame.
"""

from poplarspoke.generated.relay import PrepareStatement, SetValue
from poplarspoke.relay.state import Connection, Session

# Two messages of the longest permitted length, and the overhead of some names.
MAX_KEPT_BYTES = 2359296
# Memory that an entry takes in addition to its text; limits their number.
ENTRY_BYTES = 1024
# An idle connection whose values take more is closed rather than kept for
# another session, which seldom has the same.
MAX_IDLE_VALUE_BYTES = 65536


def reserve_value(session: Session, statement: SetValue) -> bool:
    """Counts a value that a session is about to keep.

    Args:
        session: The session; what it keeps is measured again.
        statement: The statement that sets the value.

    Returns:
        Whether the session may keep it.
    """
    replaced = session['values'].get(statement.name)
    return _reserve(session, statement.name, statement.content, replaced)


def reserve_prepared(session: Session, statement: PrepareStatement) -> bool:
    """Counts a prepared statement that a session is about to keep.

    Args:
        session: The session; what it keeps is measured again.
        statement: The statement to keep.

    Returns:
        Whether the session may keep it.
    """
    known = session['prepared'].get(statement.name)
    replaced = None if known is None else known.shape
    return _reserve(session, statement.name, statement.shape, replaced)


def is_laden(connection: Connection) -> bool:
    """Returns whether the values on a connection take too much memory."""
    total = sum(map(len, connection['values'].values()))
    return total > MAX_IDLE_VALUE_BYTES


def _reserve(
    session: Session, name: str, text: str, replaced: str | None
) -> bool:
    kept_bytes = _measure(session) + _measure_entry(name, text)
    if replaced is not None:
        kept_bytes -= _measure_entry(name, replaced)
    if kept_bytes > MAX_KEPT_BYTES:
        return False
    session['kept_bytes'] = kept_bytes
    return True


def _measure(session: Session) -> int:
    entries = [
        *session['values'].items(),
        *((one.name, one.shape) for one in session['prepared'].values()),
    ]
    return sum(_measure_entry(name, text) for name, text in entries)


def _measure_entry(name: str, text: str) -> int:
    return ENTRY_BYTES + len(name) + len(text)
