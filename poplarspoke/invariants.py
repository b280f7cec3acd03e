"""Invariants that the program asserts while it runs."""


class InvariantError(Exception):
    """A violated invariant; the task that raises it must stop.

    Attributes:
        code: Requirement number of docs/design.md, such as ``R7``.
    """

    def __init__(self, code: str, detail: str) -> None:
        """Stores the requirement number; the detail says what was observed."""
        super().__init__(
            f'invariant {code} broken: {detail}; '
            'keep the state dump of this host and report it',
        )
        self.code = code


def check(*, holds: bool, code: str, detail: str) -> None:
    """Raises unless an invariant holds.

    Args:
        holds: Whether the invariant holds.
        code: Requirement number of docs/design.md, such as ``R7``.
        detail: What was observed, without secrets.

    Raises:
        InvariantError: The invariant does not hold.
    """
    if not holds:
        raise InvariantError(code, detail)
