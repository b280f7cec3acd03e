"""Detects that this zone is isolated from all others.

Callers still reach an isolated zone, but most of their statements need a
primary elsewhere. A zone is isolated if no host of the other zones answers and
some of their endpoints do not answer either. Its hosts then do not claim
leadership. If less than half of the primaries are in the zone, they are not
ready: the platform sends callers to other zones once no host of the zone is
ready. So the hosts of the zone notify each other, and the relay closes idle
sessions, which would otherwise stay. A zone with half of the primaries or more
continues to serve.
"""

from typing import Any

from poplarspoke.control import contact, offers
from poplarspoke.control.state import ControlState
from poplarspoke.control.tables import RELAY
from poplarspoke.generated.control import (
    Confirmation,
    ZoneCut,
)
from poplarspoke.generated.relay import LogDecision, ReadinessChanged
from poplarspoke.tasks import ToHost, ToTask

# Hosts of other zones that are queried with each tick of 0.1 s.
QUERIED_HOSTS = 3
# Three ticks without an answer; a round trip between zones takes 3 ms.
ISOLATION_TIMEOUT_S = 0.3
# Backoff after a suspicion that was wrong; unresponsive endpoints are common.
SUSPICION_BACKOFF_S = 0.5
# How long a notification of another host of the zone is valid; hosts with
# little traffic detect no unresponsive endpoint themselves.
MAX_REPORT_AGE_S = 1.0
# Longer than the interval of the queries of watchers, so that a host without
# signs of isolation sends no query here.
CONTACT_TIMEOUT_S = 3.0
ANSWERS_REASON = 'answers of hosts in other zones'


def check(state: ControlState, now_s: float) -> list[Any]:
    """Queries hosts of other zones if there are signs of isolation."""
    if not _has_remote_hosts(state):
        state['suspected_s'] = 0
        return _end_isolation(state, 'other zones have no hosts', 0)
    if not state['suspected_s']:
        if now_s < state['next_suspicion_s'] or not _may_be_isolated(
            state, now_s
        ):
            return []
        state['suspected_s'] = now_s
    outgoing: list[Any] = []
    waited_s = now_s - state['suspected_s']
    if waited_s >= ISOLATION_TIMEOUT_S and not state['isolated']:
        state['isolated'] = _are_endpoints_unresponsive(state, now_s)
        if state['isolated']:
            outgoing.extend(_notify_zone(state))
            state['has_few_primaries'] = _has_few_primaries(state)
            outcome = 'ready' if is_ready(state) else 'not ready'
            line = _log('zone isolated', outcome, ANSWERS_REASON, waited_s)
            outgoing.append(line)
            outgoing.append(_notify_relay(state))
    query = offers.create_query(state, now_s)
    remote = _list_remote_hosts(state)
    recipients = state['rng'].sample(remote, min(QUERIED_HOSTS, len(remote)))
    outgoing.extend(ToHost(name, query) for name in recipients)
    return outgoing


def handle_answer(
    state: ControlState,
    message: Confirmation,
    now_s: float,
) -> list[Any]:
    """Ends the suspicion when a host of another zone answers."""
    host = state['hosts'].get(message.sender)
    if host is None or host.zone == state['settings'].zone:
        return []
    state['remote_last_response_s'] = now_s
    if not state['suspected_s'] or message.asked_s < state['suspected_s']:
        return []
    waited_s = now_s - state['suspected_s']
    state['suspected_s'] = 0
    state['next_suspicion_s'] = now_s + SUSPICION_BACKOFF_S
    return _end_isolation(state, ANSWERS_REASON, waited_s)


def _end_isolation(state: ControlState, reason: str, age_s: float) -> list[Any]:
    if not state['isolated']:
        return []
    state['isolated'] = False
    line = _log('zone no longer isolated', 'ready', reason, age_s)
    return [line, _notify_relay(state)]


def _notify_relay(state: ControlState) -> ToTask:
    return ToTask(RELAY, ReadinessChanged(is_ready(state)))


def _has_remote_hosts(state: ControlState) -> bool:
    zone = state['settings'].zone
    return any(
        host.zone != zone and not host.retired
        for host in state['hosts'].values()
    )


def _list_remote_hosts(state: ControlState) -> list[str]:
    zone = state['settings'].zone
    return sorted(
        name
        for name, host in state['hosts'].items()
        if host.zone != zone and not host.retired
    )


def _may_be_isolated(state: ControlState, now_s: float) -> bool:
    if (
        state['remote_last_response_s']
        and now_s - state['remote_last_response_s'] > CONTACT_TIMEOUT_S
    ):
        return True
    return _are_endpoints_unresponsive(state, now_s)


def is_ready(state: ControlState) -> bool:
    """Returns whether callers are served here as well as elsewhere.

    Where primary leases need contact with other zones, an isolated zone loses its
    own primaries, too.
    """
    if state['partitioned']:
        return False
    loses_primaries = state['has_few_primaries'] or contact.is_required(
        state['settings']
    )
    return not (state['isolated'] and loses_primaries)


def check_contact(state: ControlState, now_s: float) -> list[Any]:
    """Queries other zones and notifies the relay when the contact changes."""
    outgoing: list[Any] = contact.check(state, now_s)
    if not contact.update_partition(state, now_s):
        return outgoing
    if state['partitioned']:
        event, outcome = 'contact with other zones lost', 'no primary leases'
    else:
        event, outcome = 'contact with other zones regained', 'ready'
    age_s = now_s - max(state['zone_contact_s'].values())
    line = _log(event, outcome, ANSWERS_REASON, age_s)
    return [*outgoing, line, _notify_relay(state)]


def handle_notification(
    state: ControlState, message: ZoneCut, now_s: float
) -> list[Any]:
    """Records that another host reports the zone as isolated."""
    host = state['hosts'].get(message.sender)
    if host is None or host.zone != state['settings'].zone:
        return []
    state['isolation_reported_s'] = now_s
    state['suspected_s'] = state['suspected_s'] or now_s
    return []


def _notify_zone(state: ControlState) -> list[Any]:
    own = state['settings']
    return [
        ToHost(name, ZoneCut(own.name))
        for name, host in state['hosts'].items()
        if host.zone == own.zone and name != own.name
    ]


def _are_endpoints_unresponsive(state: ControlState, now_s: float) -> bool:
    """Returns whether endpoints of other zones are unresponsive too."""
    if (
        state['isolation_reported_s']
        and now_s - state['isolation_reported_s'] < MAX_REPORT_AGE_S
    ):
        return True
    return any(_is_remote(state, endpoint) for endpoint in state['silent'])


def _has_few_primaries(state: ControlState) -> bool:
    primaries = len(state['primaries'])
    local = primaries - len(_list_remote_primaries(state))
    return local * 2 < primaries


def _list_remote_primaries(state: ControlState) -> list[str]:
    primaries = [known.record.endpoint for known in state['primaries'].values()]
    return [name for name in primaries if _is_remote(state, name)]


def _is_remote(state: ControlState, endpoint: str) -> bool:
    entry = state['endpoints'].get(endpoint)
    return entry is not None and entry.zone != state['settings'].zone


def _log(
    event: str,
    outcome: str,
    reason: str,
    age_s: float,
) -> LogDecision:
    return LogDecision(
        event=event,
        outcome=outcome,
        reason=reason,
        age_s=age_s,
    )
