"""Metrics of the control task in the Prometheus format."""

from prometheus_client import CollectorRegistry, Gauge

from poplarspoke.control import members, offers, revisions, sources
from poplarspoke.control.state import RECORDS, ControlState, Table
from poplarspoke.control.usage_metrics import UsageMetrics


class ControlMetrics:
    """Gauges of what this host knows of the metadata store."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Creates the gauges in a registry, all zero."""
        self._age = Gauge(
            'poplarspoke_control_table_age_seconds',
            'Time since the request whose answer confirmed the table.',
            ('table',),
            registry=registry,
        )
        self._version = Gauge(
            'poplarspoke_control_table_version',
            'Newest version of the store that the table covers.',
            ('table',),
            registry=registry,
        )
        self._era = Gauge(
            'poplarspoke_control_store_era',
            'Era of the store; it rises when the store is restored.',
            registry=registry,
        )
        self._unwritten = Gauge(
            'poplarspoke_control_unwritten_records',
            'Records that a restored store lacks and this host knows.',
            registry=registry,
        )
        self._awaited = Gauge(
            'poplarspoke_control_awaited_candidates',
            'Failovers of this host that wait for a member with the log.',
            registry=registry,
        )
        self._departed = Gauge(
            'poplarspoke_control_departed_members',
            'Members that left and whose log a failover may need.',
            ('service',),
            registry=registry,
        )
        self._configuration = Gauge(
            'poplarspoke_control_configuration_version',
            'Version of the configuration in force.',
            registry=registry,
        )
        self._missing = Gauge(
            'poplarspoke_control_missing_rows_seconds',
            'Time for which a peer is known to have newer rows; 0 if none is.',
            ('table',),
            registry=registry,
        )
        self._offered = Gauge(
            'poplarspoke_control_offered_version',
            'Newest version of the store whose rows a peer is known to have.',
            ('table',),
            registry=registry,
        )
        self._access = Gauge(
            'poplarspoke_control_store_access',
            'Whether the store answers this host: 1 yes, 2 no, 3 not watched.',
            registry=registry,
        )
        self._usage = UsageMetrics(registry)

    def observe(self, state: ControlState, now_s: float) -> None:
        """Sets the gauges from the state."""
        for name, table in state['tables'].items():
            self._observe_table(state, name, table, now_s)
        self._access.set(sources.find_access(state, now_s))
        era = revisions.find_era(state['tables'][RECORDS]['version'])
        self._era.set(era)
        awaited = [
            ongoing
            for ongoing in state['changes'].values()
            if ongoing['awaited']
        ]
        self._awaited.set(len(awaited))
        for service in state['groups']:
            departed = members.list_departed(state, service)
            self._departed.labels(service).set(len(departed))
        self._unwritten.set(len(state['unwritten']))
        self._configuration.set(state['ruleset'].version)
        self._usage.observe(state, now_s)

    def _observe_table(
        self, state: ControlState, name: str, table: Table, now_s: float
    ) -> None:
        self._age.labels(name).set(now_s - table['confirmed_s'])
        version = table['version']
        self._version.labels(name).set(revisions.find_version(version))
        missing = state['missing'].get(name)
        offered = missing['revision'] if missing else version
        self._offered.labels(name).set(revisions.find_version(offered))
        self._missing.labels(name).set(offers.find_age(state, name, now_s))
