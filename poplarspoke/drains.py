"""Decisions on drains of zones and endpoints and on the host's shutdown.

Zones and endpoints out of service get no new work once the settings are in
force. Messages name the setting or event behind them.
"""

import functools
import json
from typing import Any, NamedTuple, TypedDict

from poplarspoke import invariants
from poplarspoke.generated.common import Tick
from poplarspoke.generated.configuration import (
    SettingsFreshness,
    SettingsInForce,
)
from poplarspoke.generated.drains import (
    BeginShutdown,
    EndpointLeaving,
    EndpointWeight,
    EndTransactions,
    ReadyChanged,
    ReleaseLeases,
    ShutdownFinished,
    ShutdownPhase,
    StopAccepting,
    WeightsChanged,
    WorkCount,
)
from poplarspoke.generated.membership import LeaveFleet
from poplarspoke.generated.settings import Document
from poplarspoke.tasks import Outgoing, ToTask

GRACE_S = 10.0
RAMP_S = 30.0
INITIAL_WEIGHT = 0.1
LOAD_BALANCER_WAIT_S = 2.0


class ServedEndpoint(NamedTuple):
    """Service state of an endpoint, from the settings and its own reports.

    Attributes:
        endpoint: Name of the endpoint.
        database: Name of its database.
        out_reason: Why it gets no new work, empty if it is in service.
        changed_at_s: Time at which it left or returned, 0 if it never left.
        ended: Whether the end of its transactions was requested.
    """

    endpoint: str
    database: str
    out_reason: str
    changed_at_s: float
    ended: bool = False


class DrainsState(TypedDict):
    """State of drains and of the shutdown of one host.

    Attributes:
        zone: Zone of this host.
        subscribers: Tasks to notify of the weights of endpoints.
        version: Settings version of the document.
        document: Zones and databases of the settings.
        served: Endpoints by name.
        moving: Endpoints whose weight was below 1 at the last publication.
        stale: Whether ``served`` has changed since the last publication.
        leaving: Endpoints that reported that they leave.
        weights: Last published weights.
        ready: Last published readiness.
        phase: Phase of the shutdown of this host.
        phase_at_s: Start of that phase.
        work: Number of open requests and transactions by task.
    """

    zone: str
    subscribers: tuple[str, ...]
    version: int
    document: Document
    served: dict[str, ServedEndpoint]
    moving: tuple[str, ...]
    stale: bool
    leaving: set[str]
    weights: tuple[EndpointWeight, ...]
    ready: ReadyChanged
    phase: ShutdownPhase
    phase_at_s: float
    work: dict[str, int]


def create_state(*, zone: str, subscribers: tuple[str, ...]) -> DrainsState:
    """Returns the state of a host without settings.

    Args:
        zone: Zone of this host.
        subscribers: Tasks to notify of the weights of endpoints.
    """
    return DrainsState(
        zone=zone,
        subscribers=subscribers,
        version=0,
        document=Document(teams={}),
        served={},
        moving=(),
        stale=False,
        leaving=set(),
        weights=(),
        ready=ReadyChanged(),
        phase=ShutdownPhase.SERVING,
        phase_at_s=0,
        work={},
    )


def decide(message: Any, state: DrainsState, now_s: float) -> list[Outgoing]:
    """Handles one message.

    Args:
        message: Settings, a report on endpoints or work, or a shutdown.
        state: State that is changed in place.
        now_s: Monotonic clock in seconds.
    """
    handle(message, state, now_s)
    return [
        *_publish_weights(state, now_s),
        *_publish_readiness(state),
        *_end_transactions(state, now_s),
        *_advance_shutdown(state, now_s),
    ]


@functools.singledispatch
def handle(message: Any, state: DrainsState, now_s: float) -> None:
    """Updates the state by one message; ``decide`` returns what to send."""
    raise TypeError(f'drains cannot handle {type(message).__name__}')


@handle.register
def _(message: Tick, state: DrainsState, now_s: float) -> None:
    """Changes nothing; ``decide`` evaluates the new time."""


@handle.register
def _(message: SettingsFreshness, state: DrainsState, now_s: float) -> None:
    """Changes nothing; drains continue with unconfirmed settings."""


@handle.register
def _(message: SettingsInForce, state: DrainsState, now_s: float) -> None:
    if message.snapshot.version <= state['version']:
        return
    state['version'] = message.snapshot.version
    document: Document = json.loads(message.snapshot.document)
    # The teams, most of the document, are not needed here.
    state['document'] = Document(
        teams={},
        zones=document.get('zones', {}),
        databases=document.get('databases', {}),
    )
    _update_served(state, now_s)


@handle.register
def _(message: EndpointLeaving, state: DrainsState, now_s: float) -> None:
    state['leaving'].discard(message.endpoint)
    if message.leaving:
        state['leaving'].add(message.endpoint)
    _update_served(state, now_s)


@handle.register
def _(message: WorkCount, state: DrainsState, now_s: float) -> None:
    state['work'][message.task] = message.open


@handle.register
def _(message: BeginShutdown, state: DrainsState, now_s: float) -> None:
    if state['phase'] is ShutdownPhase.SERVING:
        state['phase'] = ShutdownPhase.WAITING
        state['phase_at_s'] = now_s


def get_weight(served: ServedEndpoint, now_s: float) -> float:
    """Returns the weight for new work, which ramps up after a return."""
    if served.out_reason:
        return 0
    if not served.changed_at_s:
        return 1
    grown = (now_s - served.changed_at_s) / RAMP_S
    return min(INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * grown, 1)


def _update_served(state: DrainsState, now_s: float) -> None:
    served = {}
    for database, group in state['document'].get('databases', {}).items():
        for name in group['endpoints']:
            reason = _find_out_reason(state, database, name)
            before = state['served'].get(name)
            served[name] = ServedEndpoint(name, database, reason, 0)
            if before is not None or reason:
                served[name] = _update_endpoint(served[name], before, now_s)
    state['served'] = served
    state['moving'] = _list_moving(state, now_s)
    state['stale'] = True


def _list_moving(state: DrainsState, now_s: float) -> tuple[str, ...]:
    return tuple(
        name
        for name, entry in state['served'].items()
        if get_weight(entry, now_s) < 1
    )


def _update_endpoint(
    served: ServedEndpoint,
    before: ServedEndpoint | None,
    now_s: float,
) -> ServedEndpoint:
    if before is None:
        return served._replace(changed_at_s=now_s)
    if bool(before.out_reason) != bool(served.out_reason):
        return served._replace(changed_at_s=now_s)
    return before._replace(out_reason=served.out_reason)


def _find_out_reason(state: DrainsState, database: str, name: str) -> str:
    document = state['document']
    endpoint = document['databases'][database]['endpoints'][name]
    zone = endpoint['zone']
    if not endpoint['in_service']:
        return (
            f'databases/{database}/endpoints/{name}/in_service is false in '
            f'version {state["version"]}'
        )
    if not document.get('zones', {})[zone]['in_service']:
        return f'zones/{zone}/in_service is false in version {state["version"]}'
    if name in state['leaving']:
        return f'endpoint {name} said that it leaves'
    return ''


def _publish_weights(state: DrainsState, now_s: float) -> list[Outgoing]:
    # Comparing 1890 weights for each message took 0.7 ms.
    if not state['stale'] and not state['moving']:
        return []
    state['stale'] = False
    state['moving'] = _list_moving(state, now_s)
    weights = tuple(
        EndpointWeight(
            served.endpoint,
            served.database,
            get_weight(served, now_s),
            served.out_reason,
        )
        for served in state['served'].values()
    )
    if weights == state['weights']:
        return []
    state['weights'] = weights
    changed = WeightsChanged(weights)
    return [ToTask(name, changed) for name in state['subscribers']]


def _publish_readiness(state: DrainsState) -> list[Outgoing]:
    ready = _describe_readiness(state)
    if ready == state['ready']:
        return []
    state['ready'] = ready
    return [ToTask('operators', ready)]


def _describe_readiness(state: DrainsState) -> ReadyChanged:
    if state['phase'] is not ShutdownPhase.SERVING:
        return ReadyChanged(ready=False, reason='the host shuts down')
    if not state['version']:
        return ReadyChanged(ready=False, reason='no settings are known')
    zone = state['document'].get('zones', {}).get(state['zone'])
    if zone is not None and not zone['in_service']:
        reason = f'zones/{state["zone"]}/in_service is false'
        return ReadyChanged(ready=False, reason=reason)
    return ReadyChanged(ready=True)


def _end_transactions(state: DrainsState, now_s: float) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    for name in state['moving']:
        served = state['served'][name]
        if not served.out_reason or served.ended:
            continue
        if now_s - served.changed_at_s < GRACE_S:
            continue
        state['served'][name] = served._replace(ended=True)
        request = EndTransactions(name, served.out_reason)
        outgoing.append(ToTask('transactions', request))
    return outgoing


def _advance_shutdown(state: DrainsState, now_s: float) -> list[Outgoing]:
    waited_s = now_s - state['phase_at_s']
    if state['phase'] is ShutdownPhase.WAITING:
        if waited_s < LOAD_BALANCER_WAIT_S:
            return []
        state['phase'] = ShutdownPhase.FINISHING
        state['phase_at_s'] = now_s
        return [
            ToTask('callers', StopAccepting()),
            ToTask('membership', LeaveFleet()),
        ]
    if state['phase'] is not ShutdownPhase.FINISHING:
        return []
    open_work = sum(state['work'].values())
    if open_work and waited_s < GRACE_S:
        return []
    invariants.check(
        holds=not open_work or waited_s >= GRACE_S,
        code='R13',
        detail=f'the host would leave {open_work} requests after '
        f'{waited_s:.1f} s',
    )
    state['phase'] = ShutdownPhase.FINISHED
    outgoing: list[Outgoing] = [
        ToTask('rates', ReleaseLeases()),
        ToTask('daemon', ShutdownFinished(open_work)),
    ]
    if open_work:
        request = EndTransactions(reason='the host shuts down')
        outgoing.insert(0, ToTask('transactions', request))
    return outgoing
