"""Stand-in of the platform's side of usage reports, which checks their rule."""

from typing import NamedTuple

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429


class Call(NamedTuple):
    """A call that has reached the platform.

    Attributes:
        at_s: Time of arrival.
        holder: Name of the sender.
        token: Fencing token of the sender.
    """

    at_s: float
    holder: str
    token: int


class UsageLedger:
    """Reports that the platform has accepted, and violations of the rule.

    Attributes:
        reports: Counts by window.
        arrived_s: Time of the first report of each window.
        calls: Calls in the order of arrival.
        violations: What was wrong with calls.
    """

    def __init__(self, interval_s: float, calls_per_s: int) -> None:
        """Creates a ledger without reports.

        Args:
            interval_s: Holders may not act in the order A, B, A within it.
            calls_per_s: Calls a second that are accepted.
        """
        self.reports: dict[int, dict[str, int]] = {}
        self.arrived_s: dict[int, float] = {}
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self._interval_s = interval_s
        self._calls_per_s = calls_per_s

    def accept(self, call: Call, window: int, counts: dict[str, int]) -> int:
        """Returns the status of the answer to a report."""
        recent = [known for known in self.calls if known.at_s > call.at_s - 1]
        if len(recent) >= self._calls_per_s:
            return HTTP_TOO_MANY
        found = self._find_violations(call, window, counts)
        self.violations.extend(found)
        self.calls.append(call)
        if found:
            return HTTP_CONFLICT
        self.reports.setdefault(window, counts)
        self.arrived_s.setdefault(window, call.at_s)
        return HTTP_OK

    def _find_violations(
        self, call: Call, window: int, counts: dict[str, int]
    ) -> list[str]:
        found: list[str] = []
        if self.reports.get(window, counts) != counts:
            found.append(f'{window}: other counts by {call}')
        for known in self.calls:
            if known.token > call.token:
                found.append(f'{window}: {call} after {known}')
            if known.token == call.token and known.holder != call.holder:
                found.append(f'{window}: {call} shares its token with {known}')
        if self._returns_early(call):
            found.append(f'{window}: {call} returned within the interval')
        return found

    def _returns_early(self, call: Call) -> bool:
        """Returns whether another holder acted between two acts of this one."""
        others = False
        for known in reversed(self.calls):
            if known.at_s <= call.at_s - self._interval_s:
                return False
            if known.holder == call.holder and others:
                return True
            others = others or known.holder != call.holder
        return False
