"""Metrics of one daemon: counters, gauges and histograms.

Messages update the metrics by their type; ``render`` returns the text format of
Prometheus. The number of label values is limited, since the settings may list
any number of workspaces.
"""

import functools
from collections.abc import Sequence
from typing import Any, NamedTuple

import prometheus_client as prometheus

from poplarspoke import codec
from poplarspoke.generated.common import Tick
from poplarspoke.generated.operators import (
    AdmissionCounted,
    CallersObserved,
    ConnectionsObserved,
    FailoverCounted,
    LeaseObserved,
    MetricsShown,
    QueueTimeCounted,
    ReadCounted,
    ServiceCounted,
    SettingsObserved,
    ShowMetrics,
)
from poplarspoke.tasks import Outgoing, Reply

TASK = 'metrics'
# A workspace has about 20 time series, each at most 1 KiB as text.
MAX_WORKSPACES = 256
# At the target size, 410 hosts own 1890 endpoints, fewer than 50 each.
MAX_ENDPOINTS = 256
MAX_ZONES = 32
OVERFLOW_LABEL = 'other'
GAP_BUCKETS_S = (0.25, 0.5, 1, 2, 3, 4, 5, 7.5, 10, 30)
WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 1, 5)
CONTENT_TYPE = prometheus.CONTENT_TYPE_LATEST


class Labels:
    """Values of one label; further values share the value ``other``."""

    def __init__(self, limit: int) -> None:
        """Stores the maximum number of distinct values."""
        self._limit = limit
        self._known: set[str] = set()

    def limit_value(self, name: str) -> str:
        """Returns the name, or ``other`` if the limit has been reached."""
        if name in self._known:
            return name
        if len(self._known) >= self._limit:
            return OVERFLOW_LABEL
        self._known.add(name)
        return name


class Metrics(NamedTuple):
    """Metrics of one daemon in a separate registry.

    The library's default registry is shared by the whole process.
    """

    registry: prometheus.CollectorRegistry
    workspaces: Labels
    endpoints: Labels
    zones: Labels
    reads: prometheus.Counter
    failover_gap_s: prometheus.Histogram
    admitted: prometheus.Counter
    refused: prometheus.Counter
    wrongful: prometheus.Counter
    queue_wait_s: prometheus.Histogram
    service: prometheus.Counter
    connections: prometheus.Gauge
    callers: prometheus.Gauge
    leases: prometheus.Gauge
    settings_version: prometheus.Gauge
    settings_confirmed_ago_s: prometheus.Gauge


def create_metrics() -> Metrics:
    """Returns metrics that start at zero."""
    # The creation time of each series would double the output.
    prometheus.disable_created_metrics()  # type: ignore[no-untyped-call]
    registry = prometheus.CollectorRegistry()
    create = functools.partial(_create_metric, registry)
    return Metrics(
        registry=registry,
        workspaces=Labels(MAX_WORKSPACES),
        endpoints=Labels(MAX_ENDPOINTS),
        zones=Labels(MAX_ZONES),
        reads=create(
            prometheus.Counter,
            'reads',
            'Reads by the role of the endpoint that served them.',
            ('role',),
        ),
        failover_gap_s=prometheus.Histogram(
            'poplarspoke_failover_gap_seconds',
            'Time from a failure to the first acknowledged write after it.',
            ('reason',),
            buckets=GAP_BUCKETS_S,
            registry=registry,
        ),
        admitted=create(
            prometheus.Counter,
            'admitted',
            'Requests admitted under the rate of the workspace.',
            ('workspace',),
        ),
        refused=create(
            prometheus.Counter,
            'rate_refused',
            'Requests refused for the rate of the workspace.',
            ('workspace',),
        ),
        wrongful=create(
            prometheus.Counter,
            'wrongful_refused',
            'Refusals within the rate, as far as this host can know.',
            ('workspace',),
        ),
        queue_wait_s=prometheus.Histogram(
            'poplarspoke_queue_wait_seconds',
            'Time that statements waited for a slot.',
            ('workspace',),
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        ),
        service=create(
            prometheus.Counter,
            'answers',
            'Answers to callers by the zone of the endpoint and the code.',
            ('zone', 'code'),
        ),
        connections=create(
            prometheus.Gauge,
            'connections',
            'Connections of this host to an endpoint.',
            ('endpoint', 'state'),
        ),
        callers=create(
            prometheus.Gauge,
            'caller_connections',
            'Connections of callers to this host.',
        ),
        leases=create(
            prometheus.Gauge,
            'leased_rate',
            'Leased requests a second that this host may spend.',
            ('workspace',),
        ),
        settings_version=create(
            prometheus.Gauge,
            'settings_version',
            'Settings version in force on this host.',
        ),
        settings_confirmed_ago_s=create(
            prometheus.Gauge,
            'settings_confirmed_ago_seconds',
            'Time since the settings version was known to be current.',
        ),
    )


def render(metrics: Metrics) -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    return prometheus.generate_latest(metrics.registry)


@functools.singledispatch
def decide(message: Any, state: Metrics, now_s: float) -> list[Outgoing]:
    """Handles one message to the metrics task.

    Args:
        message: ``ShowMetrics``, or a message that ``record`` handles.
        state: Metrics, updated in place.
        now_s: Monotonic clock in seconds.
    """
    record(message, state)
    return []


@decide.register
def _(message: Tick, state: Metrics, now_s: float) -> list[Outgoing]:
    return []


@decide.register
def _(message: ShowMetrics, state: Metrics, now_s: float) -> list[Outgoing]:
    shown = MetricsShown(render(state).decode())
    return [Reply(message.request_id, shown)]


@functools.singledispatch
def record(message: Any, metrics: Metrics) -> None:
    """Updates the metrics from a message by its type."""
    raise TypeError(f'{type(message).__name__} updates no metric')


@record.register
def _(message: ReadCounted, metrics: Metrics) -> None:
    role = 'replica' if message.replica else 'primary'
    metrics.reads.labels(role).inc()


@record.register
def _(message: FailoverCounted, metrics: Metrics) -> None:
    reason = 'drain' if message.drain else 'failure'
    metrics.failover_gap_s.labels(reason).observe(message.gap_s)


@record.register
def _(message: AdmissionCounted, metrics: Metrics) -> None:
    workspace = metrics.workspaces.limit_value(message.workspace)
    counter = metrics.admitted if message.admitted else metrics.refused
    counter.labels(workspace).inc()
    if message.wrongful and not message.admitted:
        metrics.wrongful.labels(workspace).inc()


@record.register
def _(message: QueueTimeCounted, metrics: Metrics) -> None:
    workspace = metrics.workspaces.limit_value(message.workspace)
    metrics.queue_wait_s.labels(workspace).observe(message.wait_s)


@record.register
def _(message: ServiceCounted, metrics: Metrics) -> None:
    code = codec.to_object(message.code) if message.refused else 'served'
    metrics.service.labels(metrics.zones.limit_value(message.zone), code).inc()


@record.register
def _(message: ConnectionsObserved, metrics: Metrics) -> None:
    endpoint = metrics.endpoints.limit_value(message.endpoint)
    metrics.connections.labels(endpoint, 'open').set(message.open)
    metrics.connections.labels(endpoint, 'busy').set(message.busy)


@record.register
def _(message: CallersObserved, metrics: Metrics) -> None:
    metrics.callers.set(message.open)


@record.register
def _(message: LeaseObserved, metrics: Metrics) -> None:
    workspace = metrics.workspaces.limit_value(message.workspace)
    metrics.leases.labels(workspace).set(message.rate)


@record.register
def _(message: SettingsObserved, metrics: Metrics) -> None:
    metrics.settings_version.set(message.version)
    metrics.settings_confirmed_ago_s.set(message.confirmed_ago_s)


def _create_metric(
    registry: prometheus.CollectorRegistry,
    kind: Any,
    name: str,
    purpose: str,
    labels: Sequence[str] = (),
) -> Any:
    return kind(f'poplarspoke_{name}', purpose, labels, registry=registry)
