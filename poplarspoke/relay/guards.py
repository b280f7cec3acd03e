"""Closes the connections that the budgets choose, with a log line and a count.

Transports register each accepted connection with a function that closes it at
once and discards what it holds.
"""

from collections.abc import Callable
from typing import Self

from prometheus_client import CollectorRegistry, Counter, Gauge

from poplarspoke.generated.relay import LogDecision
from poplarspoke.relay import budgets
from poplarspoke.relay.budgets import Budget, Closing, Holder, Limits, Port


class GuardMetrics:
    """Metrics of the budgets."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Creates the metrics, all zero."""
        self.closed = Counter(
            'poplarspoke_connections_closed_total',
            'Connections closed by a budget or a time limit.',
            ('port', 'reason'),
            registry=registry,
        )
        self._held = Gauge(
            'poplarspoke_held_bytes',
            'Bytes held for connections: input, statements, unsent answers.',
            registry=registry,
        )
        self._limit = Gauge(
            'poplarspoke_held_bytes_limit',
            'Budget of the bytes held for connections.',
            registry=registry,
        )
        self._open = Gauge(
            'poplarspoke_accepted_connections',
            'Open connections by port.',
            ('port',),
            registry=registry,
        )

    def observe(self, budget: Budget) -> None:
        """Sets the gauges from the budget."""
        self._held.set(budget['held_bytes'])
        self._limit.set(budget['limits'].held_bytes)
        for port, number in budget['counts'].items():
            self._open.labels(port.value).set(number)


class Guard:
    """Owns the budget of a process and closes what exceeds it.

    Attributes:
        budget: The budget.
        metrics: Metrics of the budgets.
    """

    def __init__(
        self,
        limits: Limits,
        *,
        now_s: Callable[[], float],
        log: Callable[[LogDecision], None],
        registry: CollectorRegistry,
    ) -> None:
        """Creates a guard without connections.

        Args:
            limits: Limits in force.
            now_s: Clock in seconds.
            log: Writes a log line.
            registry: Registry that its metrics are added to.
        """
        self.budget = budgets.create_budget(limits)
        self.metrics = GuardMetrics(registry)
        self.now_s = now_s
        self._log = log
        self._closers: dict[int, Callable[[], None]] = {}

    def open(self, port: Port, group: str, close: Callable[[], None]) -> Holder:
        """Registers an accepted connection.

        Args:
            port: Port that it was accepted on.
            group: Address of the client.
            close: Closes it at once and discards what it holds.
        """
        holder = budgets.add_holder(self.budget, port, group, self.now_s())
        self._closers[holder['number']] = close
        self._carry_out(budgets.choose_connection_closing(self.budget, port))
        return holder

    def end(self, holder: Holder) -> None:
        """Forgets a connection that has ended."""
        budgets.remove_holder(self.budget, holder['number'])
        self._closers.pop(holder['number'], None)

    def charge(self, holder: Holder, held_bytes: int) -> None:
        """Sets what a connection holds; closes the largest if it is too much.

        The connection itself may be closed.
        """
        if budgets.charge(self.budget, holder, held_bytes):
            self._carry_out(budgets.choose_memory_closings(self.budget))

    def check(self) -> None:
        """Closes the connections that are over a time limit."""
        self._carry_out(budgets.find_overdue(self.budget, self.now_s()))

    def observe(self) -> None:
        """Sets the gauges from the budget."""
        self.metrics.observe(self.budget)

    def _carry_out(self, chosen: list[Closing]) -> None:
        for closing in chosen:
            holder = self.budget['holders'].get(closing.number)
            if holder is None:
                continue
            held = f'{holder["group"]} held {holder["held_bytes"]} bytes'
            budgets.remove_holder(self.budget, closing.number)
            port = holder['port'].value
            reason = closing.reason.value
            self.metrics.closed.labels(port, reason).inc()
            self._log(
                LogDecision(
                    event='connection closed',
                    outcome=port,
                    reason=f'{reason}: {held}',
                ),
            )
            self._closers.pop(closing.number)()


class RequestHolder:
    """What one connection to an HTTP server makes the process hold.

    A context manager; without a guard nothing is limited.
    """

    def __init__(
        self,
        guard: Guard | None,
        port: Port,
        group: str = '',
        close: Callable[[], None] | None = None,
    ) -> None:
        """Creates the entry; see ``Guard.open``."""
        self._guard = guard
        self._holder: Holder | None = None
        if guard is not None and close is not None:
            self._holder = guard.open(port, group, close)

    def __enter__(self) -> Self:
        """Returns the entry."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """Removes the connection from the budgets."""
        if self._guard is not None and self._holder is not None:
            self._guard.end(self._holder)

    def charge(self, held_bytes: int) -> None:
        """Sets the bytes that the connection holds."""
        if self._guard is not None and self._holder is not None:
            self._guard.charge(self._holder, held_bytes)

    def begin(self) -> None:
        """Records that a request is complete; the connection is in use."""
        if self._holder is not None:
            self._holder['started'] = True

    def finish(self) -> None:
        """Records that a response was sent; the connection is idle."""
        if self._guard is not None and self._holder is not None:
            self._guard.charge(self._holder, 0)
            self._holder['started'] = False
            self._holder['opened_s'] = self._guard.now_s()
