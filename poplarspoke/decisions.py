"""The decision tasks that every daemon runs."""

from typing import NamedTuple

from poplarspoke import (
    configuration,
    dispatch,
    drains,
    gossip,
    keys,
    membership,
    metrics,
    placement,
    rates,
    shares,
    traces,
    transactions,
    versions,
)
from poplarspoke.generated.daemon import DaemonSettings
from poplarspoke.generated.platform import HostEntry
from poplarspoke.tasks import Task

TICK_S = 0.1
RATES_TICK_S = 0.02
SLOW_TICK_S = 0.5
# Tasks that learn of settings versions and of their freshness.
SUBSCRIBERS = ('keys', 'membership', 'drains', 'dispatch', 'daemon')


class Start(NamedTuple):
    """One start of a daemon.

    Attributes:
        settings: Settings of the process.
        incarnation: Higher with each start of the same host.
        now_s: Monotonic clock in seconds.
    """

    settings: DaemonSettings
    incarnation: int
    now_s: float


def create_tasks(start: Start) -> tuple[Task, ...]:
    """Returns the tasks of a daemon that knows nothing yet."""
    return (
        *_create_control_tasks(start),
        *_create_request_tasks(start),
        Task(
            'traces', traces.decide, traces.create_state(), tick_s=SLOW_TICK_S
        ),
        Task(
            'metrics',
            metrics.decide,
            metrics.create_metrics(),
            tick_s=SLOW_TICK_S,
        ),
    )


def _create_control_tasks(start: Start) -> tuple[Task, ...]:
    settings = start.settings
    seeds = [
        HostEntry(name=name, address=address)
        for name, address in settings.get('seeds', {}).items()
    ]
    return (
        Task(
            'configuration',
            configuration.decide,
            versions.create_state(
                host=settings['name'],
                zone=settings['zone'],
                subscribers=SUBSCRIBERS,
                now_s=start.now_s,
            ),
            tick_s=TICK_S,
        ),
        Task(
            'membership',
            membership.decide,
            gossip.create_state(
                host=settings['name'],
                zone=settings['zone'],
                incarnation=start.incarnation,
                seeds=seeds,
                subscribers=('dispatch', 'daemon'),
                now_s=start.now_s,
            ),
            tick_s=TICK_S,
        ),
        Task(
            'drains',
            drains.decide,
            drains.create_state(
                zone=settings['zone'],
                subscribers=('dispatch',),
            ),
            tick_s=TICK_S,
        ),
    )


def _create_request_tasks(start: Start) -> tuple[Task, ...]:
    name = start.settings['name']
    seed = start.incarnation
    return (
        Task('keys', keys.decide, keys.create_state(), tick_s=TICK_S),
        Task(
            'rates',
            rates.decide,
            shares.create_state(
                name,
                incarnation=start.incarnation,
                seed=seed,
                now_s=start.now_s,
            ),
            tick_s=RATES_TICK_S,
        ),
        Task(
            'dispatch',
            dispatch.decide,
            placement.create_state(name, start.settings['zone'], seed=seed),
            tick_s=TICK_S,
        ),
        Task(
            'transactions',
            transactions.decide,
            transactions.create_state(
                name,
                start.incarnation,
                log_task='daemon',
            ),
            tick_s=TICK_S,
        ),
    )
