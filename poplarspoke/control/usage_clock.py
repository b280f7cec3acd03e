"""True time, from the wall clocks of the hosts.

A wall clock may step, the boot clock does not. The offset between true time and
the boot clock of this host is therefore kept, and changes only with the median
of several hosts.
"""

import statistics

from poplarspoke.control.state import ControlState
from poplarspoke.control.usage_state import ClockVote

VOTE_TTL_S = 3.0
# Hosts whose median is trusted; all hosts if there are fewer.
MIN_VOTES = 3
# A host that gets no offset for this long follows its own wall clock.
START_WAIT_S = 3.0
# Changes below this are jitter of the network, which is smoothed.
MAX_JITTER_S = 0.25
SMOOTHING = 0.25
# Wall clocks that step back within this time change nothing.
JUMP_AFTER_S = 10.0
# An answer that took longer says too little of the clock of its sender.
MAX_ROUND_TRIP_S = 0.5


def record_own(state: ControlState, offset_s: float, now_s: float) -> None:
    """Records the offset between the own wall clock and the boot clock."""
    usage = state['usage']
    usage['clocked_s'] = usage['clocked_s'] or now_s
    usage['wall_offset_s'] = offset_s
    usage['votes'] = {
        name: vote
        for name, vote in usage['votes'].items()
        if now_s - vote.received_s < VOTE_TTL_S
    }
    usage['votes'][state['settings'].name] = ClockVote(offset_s, now_s)
    if usage['offset_s'] is None and now_s - usage['clocked_s'] >= START_WAIT_S:
        usage['offset_s'] = offset_s


def record_vote(
    state: ControlState, sender: str, wall_s: float, now_s: float
) -> None:
    """Records the wall clock that another host has sent."""
    state['usage']['votes'][sender] = ClockVote(wall_s - now_s, now_s)


def follow_median(state: ControlState, now_s: float) -> None:
    """Moves the offset of the leader towards the median of the hosts."""
    usage = state['usage']
    votes = usage['votes']
    live = [host for host in state['hosts'].values() if not host.retired]
    if not votes or len(votes) < min(MIN_VOTES, len(live)):
        return
    median_s = statistics.median(vote.offset_s for vote in votes.values())
    known_s = usage['offset_s']
    is_near = known_s is None or abs(median_s - known_s) <= MAX_JITTER_S
    if is_near or usage['agreed'] < MIN_VOTES <= len(votes):
        usage['jump_since_s'] = 0
        usage['agreed'] = len(votes)
        _approach(state, median_s)
        return
    usage['jump_since_s'] = usage['jump_since_s'] or now_s
    if now_s - usage['jump_since_s'] >= JUMP_AFTER_S:
        usage['jump_since_s'] = 0
        usage['offset_s'] = median_s


def follow_leader(
    state: ControlState, true_s: float, asked_s: float, now_s: float
) -> None:
    """Adopts the true time that the leader has answered.

    Args:
        state: State of the control task.
        true_s: True time when the leader answered; 0 if it does not know it.
        asked_s: When this host sent its report.
        now_s: Boot clock in seconds.
    """
    round_trip_s = now_s - asked_s
    if not true_s or not 0 <= round_trip_s < MAX_ROUND_TRIP_S:
        return
    state['usage']['agreed'] = MIN_VOTES
    _approach(state, true_s + round_trip_s / 2 - now_s)


def find_true_time(state: ControlState, now_s: float) -> float:
    """Returns the true time; 0 if it is not known."""
    offset_s = state['usage']['offset_s']
    return 0 if offset_s is None else now_s + offset_s


def _approach(state: ControlState, offset_s: float) -> None:
    usage = state['usage']
    known_s = usage['offset_s']
    if known_s is None or abs(offset_s - known_s) > MAX_JITTER_S:
        usage['offset_s'] = offset_s
        return
    usage['offset_s'] = known_s + (offset_s - known_s) * SMOOTHING
