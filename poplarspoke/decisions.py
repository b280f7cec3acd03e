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
# Tasks that are notified of settings versions and of their freshness.
SETTINGS_SUBSCRIBERS = ('keys', 'membership', 'drains', 'dispatch', 'daemon')


class TaskParameters(NamedTuple):
    """Parameters from which the tasks of a daemon are created.

    Attributes:
        settings: Settings of the process.
        incarnation: Number of this start, higher after each restart.
        now_s: Time of the start, monotonic clock in seconds.
    """

    settings: DaemonSettings
    incarnation: int
    now_s: float


def create_tasks(parameters: TaskParameters) -> tuple[Task, ...]:
    """Returns the tasks of a daemon with their initial states."""
    return (
        *_create_control_tasks(parameters),
        *_create_request_tasks(parameters),
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


def _create_control_tasks(parameters: TaskParameters) -> tuple[Task, ...]:
    settings = parameters.settings
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
                subscribers=SETTINGS_SUBSCRIBERS,
                now_s=parameters.now_s,
            ),
            tick_s=TICK_S,
        ),
        Task(
            'membership',
            membership.decide,
            gossip.create_state(
                host=settings['name'],
                zone=settings['zone'],
                incarnation=parameters.incarnation,
                seeds=seeds,
                subscribers=('dispatch', 'daemon'),
                now_s=parameters.now_s,
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


def _create_request_tasks(parameters: TaskParameters) -> tuple[Task, ...]:
    name = parameters.settings['name']
    seed = parameters.incarnation
    return (
        Task('keys', keys.decide, keys.create_state(), tick_s=TICK_S),
        Task(
            'rates',
            rates.decide,
            shares.create_state(
                name,
                incarnation=parameters.incarnation,
                seed=seed,
                now_s=parameters.now_s,
            ),
            tick_s=RATES_TICK_S,
        ),
        Task(
            'dispatch',
            dispatch.decide,
            placement.create_state(
                name, parameters.settings['zone'], seed=seed
            ),
            tick_s=TICK_S,
        ),
        Task(
            'transactions',
            transactions.decide,
            transactions.create_state(
                name,
                parameters.incarnation,
                log_task='daemon',
            ),
            tick_s=TICK_S,
        ),
    )
