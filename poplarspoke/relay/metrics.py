"""Metrics of the relay in the Prometheus format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from poplarspoke.generated.relay import Hop, OperationEnded, RefusalCause
from poplarspoke.relay.loads import count_others, find_age
from poplarspoke.relay.speeds import find_speed
from poplarspoke.relay.state import RelayState

# Latency objectives of routes lie between 0.12 s and 0.4 s.
BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 1.5, 3)

# Name, label and text of the gauges of services whose load is shared.
LOAD_GAUGES = (
    (
        'believed_load',
        'endpoint',
        'Statements that other hosts are believed to have at an endpoint.',
    ),
    (
        'load_age_seconds',
        'endpoint',
        'Age of the newest report about an endpoint; absent without one.',
    ),
    (
        'endpoint_pace',
        'endpoint',
        'Latency of an endpoint relative to the usual one, without its load.',
    ),
    (
        'endpoint_failing',
        'endpoint',
        'Fraction of the statements at an endpoint that failed lately.',
    ),
    (
        'spill_share',
        'service',
        'Fraction of the reads of a service that leave their region.',
    ),
)


class RelayMetrics:
    """Metrics of one relay.

    Attributes:
        registry: Registry that the metrics are collected from.
    """

    def __init__(self) -> None:
        """Creates the metrics, all zero."""
        self.registry = CollectorRegistry()
        self._ended = Counter(
            'poplarspoke_relay_statements_total',
            'Statements by route kind, outcome and role of the endpoint.',
            ('kind', 'outcome', 'role'),
            registry=self.registry,
        )
        self._latency = Histogram(
            'poplarspoke_relay_latency_seconds',
            'Time from reading a statement to its answer.',
            ('kind',),
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self._hops = Histogram(
            'poplarspoke_relay_hop_seconds',
            'Time of statements that a gateway ran, by part of this host.',
            ('hop', 'outcome'),
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self._refusals = Counter(
            'poplarspoke_relay_refusals_total',
            'Operations that this host refused as not run, by cause.',
            ('kind', 'cause'),
            registry=self.registry,
        )
        self._sessions = Gauge(
            'poplarspoke_relay_sessions',
            'Sessions of callers.',
            registry=self.registry,
        )
        self._connections = Gauge(
            'poplarspoke_relay_connections',
            'Connections to endpoints.',
            registry=self.registry,
        )
        self._waiting = Gauge(
            'poplarspoke_relay_statements_open',
            'Statements without an answer.',
            registry=self.registry,
        )
        self._loads = {
            name: Gauge(
                f'poplarspoke_relay_{name}',
                text,
                (label,),
                registry=self.registry,
            )
            for name, label, text in LOAD_GAUGES
        }

    def count(self, ended: OperationEnded) -> None:
        """Counts an answered statement and its latency.

        A statement of another host's caller counts there, and here as a hop.
        """
        kind = ended.kind.name.lower()
        if ended.cause is not RefusalCause.NONE:
            self._refusals.labels(kind, ended.cause.name.lower()).inc()
        if ended.hop is not Hop.NONE:
            hop = ended.hop.name.lower()
            outcome = ended.code.name.lower()
            self._hops.labels(hop, outcome).observe(ended.latency_s)
        if ended.hop is Hop.SERVED:
            return
        role = 'replica' if ended.replica else 'primary'
        self._ended.labels(kind, ended.code.name.lower(), role).inc()
        self._latency.labels(kind).observe(ended.latency_s)

    def observe(self, state: RelayState, now_s: float) -> None:
        """Sets the gauges from the state; boot clock in seconds."""
        self._observe_loads(state, now_s)
        self._sessions.set(len(state['sessions']))
        self._connections.set(len(state['connections']))
        self._waiting.set(len(state['operations']))

    def _observe_loads(self, state: RelayState, now_s: float) -> None:
        """Sets the gauges of endpoints that this host uses."""
        for gauge in self._loads.values():
            gauge.clear()
        for name in state['loads']['speeds']:
            speed = find_speed(state, name, now_s)
            others = count_others(state, name, now_s)
            self._loads['believed_load'].labels(name).set(others)
            self._loads['endpoint_pace'].labels(name).set(speed.pace)
            self._loads['endpoint_failing'].labels(name).set(speed.failing)
            age_s = find_age(state, name, now_s)
            if age_s is not None:
                self._loads['load_age_seconds'].labels(name).set(age_s)
        for service, spill in state['loads']['spills'].items():
            self._loads['spill_share'].labels(service).set(spill.share)

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self.registry)
