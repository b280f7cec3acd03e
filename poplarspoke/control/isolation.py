"""Notices that this zone is cut off from all others.

Callers still reach a zone that is cut off, but most of what they ask needs a
primary elsewhere. A zone is cut off if no host of the others answers and some
of their endpoints do not either. Its hosts do not claim the duty then, and if
less than half of the primaries are in it, they are not ready: the platform
sends the callers to other zones once no host of the zone is ready. So hosts
tell each other, and the relay closes idle sessions, which would stay. A zone
that leads half of the services or more goes on.
"""

from typing import Any

from poplarspoke.control.state import ControlState
from poplarspoke.control.tables import RELAY
from poplarspoke.generated.control import AskConfirmed, Confirmed, ZoneCut
from poplarspoke.generated.relay import LogDecision, ReadinessChanged
from poplarspoke.tasks import ToHost, ToTask

# Hosts of other zones that are asked in each round of 0.1 s.
ASKED_HOSTS = 3
# Three rounds without an answer; a round trip between zones takes 3 ms.
UNANSWERED_S = 0.3
# Endpoints that do not answer are common; hosts are asked again after this.
SUSPECT_AGAIN_S = 0.5
# What another host of the zone has noticed counts for so long; hosts that have
# little traffic notice no silent endpoint themselves.
TOLD_S = 1.0
# Longer than readers are asked in, so that a calm host asks nobody here.
QUIET_S = 3.0
ANSWERS = 'answers of hosts in other zones'


def check(state: ControlState, now_s: float) -> list[Any]:
    """Asks hosts of other zones if there is a sign of a cut."""
    far = _list_far_hosts(state)
    if not far:
        state['suspected_s'] = 0
        return _end(state, 'other zones have no hosts', 0)
    if not state['suspected_s']:
        if now_s < state['suspect_s'] or not _is_suspicious(state, now_s):
            return []
        state['suspected_s'] = now_s
    outgoing: list[Any] = []
    asked_for_s = now_s - state['suspected_s']
    if asked_for_s >= UNANSWERED_S and not state['isolated']:
        state['isolated'] = _are_endpoints_silent(state, now_s)
        if state['isolated']:
            outgoing.extend(_tell_zone(state))
            state['leads_few'] = _leads_few(state)
            outcome = 'not ready' if state['leads_few'] else 'ready'
            line = _log('zone cut off', outcome, ANSWERS, asked_for_s)
            outgoing.append(line)
            outgoing.append(_tell_relay(state))
    own = state['settings'].name
    asked = state['rng'].sample(far, min(ASKED_HOSTS, len(far)))
    outgoing.extend(ToHost(name, AskConfirmed(own, now_s)) for name in asked)
    return outgoing


def take_answer(
    state: ControlState,
    message: Confirmed,
    now_s: float,
) -> list[Any]:
    """Ends the suspicion when a host of another zone answers."""
    host = state['hosts'].get(message.sender)
    if host is None or host.zone == state['settings'].zone:
        return []
    state['far_heard_s'] = now_s
    if not state['suspected_s'] or message.asked_s < state['suspected_s']:
        return []
    asked_for_s = now_s - state['suspected_s']
    state['suspected_s'] = 0
    state['suspect_s'] = now_s + SUSPECT_AGAIN_S
    return _end(state, ANSWERS, asked_for_s)


def _end(state: ControlState, reason: str, age_s: float) -> list[Any]:
    if not state['isolated']:
        return []
    state['isolated'] = False
    line = _log('zone reached again', 'ready', reason, age_s)
    return [line, _tell_relay(state)]


def _tell_relay(state: ControlState) -> ToTask:
    return ToTask(RELAY, ReadinessChanged(is_ready(state)))


def _list_far_hosts(state: ControlState) -> list[str]:
    zone = state['settings'].zone
    return sorted(
        name
        for name, host in state['hosts'].items()
        if host.zone != zone and not host.retired
    )


def _is_suspicious(state: ControlState, now_s: float) -> bool:
    if state['far_heard_s'] and now_s - state['far_heard_s'] > QUIET_S:
        return True
    return _are_endpoints_silent(state, now_s)


def is_ready(state: ControlState) -> bool:
    """Returns whether callers are served here as well as elsewhere."""
    return not (state['isolated'] and state['leads_few'])


def take_hint(state: ControlState, message: ZoneCut, now_s: float) -> list[Any]:
    """Notes what another host of the zone has noticed."""
    host = state['hosts'].get(message.sender)
    if host is None or host.zone != state['settings'].zone:
        return []
    state['told_s'] = now_s
    state['suspected_s'] = state['suspected_s'] or now_s
    return []


def _tell_zone(state: ControlState) -> list[Any]:
    own = state['settings']
    return [
        ToHost(name, ZoneCut(own.name))
        for name, host in state['hosts'].items()
        if host.zone == own.zone and name != own.name
    ]


def _are_endpoints_silent(state: ControlState, now_s: float) -> bool:
    """Returns whether endpoints of other zones do not answer either."""
    if state['told_s'] and now_s - state['told_s'] < TOLD_S:
        return True
    return any(_is_far(state, endpoint) for endpoint in state['silent'])


def _leads_few(state: ControlState) -> bool:
    primaries = len(state['primaries'])
    near = primaries - len(_list_far_primaries(state))
    return near * 2 < primaries


def _list_far_primaries(state: ControlState) -> list[str]:
    primaries = [known.record.endpoint for known in state['primaries'].values()]
    return [name for name in primaries if _is_far(state, name)]


def _is_far(state: ControlState, endpoint: str) -> bool:
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
