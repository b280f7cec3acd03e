"""Metrics of the usage reports in the Prometheus format."""

from prometheus_client import CollectorRegistry, Gauge

from poplarspoke.control import usage_reporting, usage_rows
from poplarspoke.control.state import ControlState


class UsageMetrics:
    """Gauges of the usage reports, as this host knows them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Creates the gauges in a registry, all zero."""
        self._windows = Gauge(
            'poplarspoke_usage_windows',
            'Windows that this process has reported, estimated or omitted, '
            'and ended ones that are outstanding.',
            ('state',),
            registry=registry,
        )
        self._offset = Gauge(
            'poplarspoke_usage_clock_error_seconds',
            'Wall clock of this host less the true time that hosts agree on.',
            registry=registry,
        )

    def observe(self, state: ControlState, now_s: float) -> None:
        """Sets the gauges from the state."""
        if not state['settings'].usage.window_s:
            return
        usage = state['usage']
        tally = usage['tally']
        self._windows.labels('reported').set(tally['reported'])
        self._windows.labels('estimated').set(tally['estimated'])
        self._windows.labels('omitted').set(tally['omitted'])
        current = usage_rows.find_window(state, now_s)
        undecided = max(current - usage_rows.find_next(state, now_s), 0)
        outstanding = len(usage_reporting.list_outstanding(state))
        self._windows.labels('outstanding').set(undecided + outstanding)
        if usage['offset_s'] is not None:
            self._offset.set(usage['wall_offset_s'] - usage['offset_s'])
