"""Replaces an unresponsive leader before a failover needs one.

Otherwise the failure of a leader would be detected only during a failover,
which would then wait until a successor may order promotions. So leadership
passes on beforehand: to the first host if there is no leader, to the new
process of a leader that restarted, and to another host if the leader does not
answer or the store does not answer the leader.
"""

from typing import Any

from poplarspoke.control import leadership, offers, ranks
from poplarspoke.control.state import ControlState
from poplarspoke.generated.control import Confirmation
from poplarspoke.tasks import ToHost

# Hosts query the leader each second; after two queries without an answer they
# query it with each tick.
PROBE_AFTER_S = 2.5
# The leader is replaced if it does not answer for this much longer while other
# hosts do.
PROBE_TIMEOUT_S = 0.8
# Successors claim in the order of their rank, this long apart, so that they do
# not compete.
SUCCESSOR_DELAY_S = 0.6


def check(state: ControlState, now_s: float) -> list[Any]:
    """Claims leadership if this host is next in rank."""
    known = state['hosts'].get(state['settings'].name)
    if known is None or known.retired or state['leaving']:
        return []
    if not state['primaries'] or leadership.is_leader(state):
        state['leader_suspected_s'] = 0
        return []
    leader = state['duty'].record.holder
    own = state['settings'].name
    if leader == own or (not leader and ranks.find_rank(state) == 0):
        return leadership.claim(state, now_s)
    if not leader or now_s - state['leader_last_contact_s'] < PROBE_AFTER_S:
        state['leader_suspected_s'] = 0
        return []
    return _probe_leader(state, leader, now_s)


def record_answer(
    state: ControlState, message: Confirmation, now_s: float
) -> None:
    """Records an answer of the leader, or of another host."""
    if message.sender == state['duty'].record.holder and message.holds:
        state['leader_last_contact_s'] = now_s
        state['leader_suspected_s'] = 0
        return
    suspected_s = state['leader_suspected_s']
    if suspected_s and message.asked_s >= suspected_s:
        state['others_last_contact_s'] = now_s


def _probe_leader(state: ControlState, leader: str, now_s: float) -> list[Any]:
    if not state['leader_suspected_s']:
        state['leader_suspected_s'] = now_s
        state['others_last_contact_s'] = 0
    rank = ranks.find_rank(state)
    waited_s = now_s - state['leader_suspected_s']
    if rank >= ranks.MAX_SUCCESSORS:
        return []
    # A host that no other host answers may itself be partitioned.
    if (
        waited_s > PROBE_TIMEOUT_S + rank * SUCCESSOR_DELAY_S
        and state['others_last_contact_s']
    ):
        return leadership.claim(state, now_s)
    own = state['settings'].name
    others = sorted(state['hosts'].keys() - {own, leader})
    recipients = {leader, state['rng'].choice(others)} if others else {leader}
    query = offers.create_query(state, now_s)
    return [ToHost(name, query) for name in sorted(recipients)]
