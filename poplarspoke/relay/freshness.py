"""Positions that a read needs, from observations of the primary.

An observation holds every commit that was acknowledged before its question was
sent. A read that tolerates a staleness needs the position of any observation
whose question was sent no earlier than the arrival of the read less that
staleness. The oldest of these is the easiest one for a replica to have.
"""

from collections import deque

from poplarspoke.generated.common import Position
from poplarspoke.relay.state import NO_POSITION, Observation, RelayState

# The longest staleness that a site tolerates is 2.5 s; older ones are useless.
KEEP_S = 4.0
# Observations closer than this add nothing to the choice.
SPACING_S = 0.02
# The staleness that a read may use less this; covers the rounding of clocks.
MARGIN_S = 0.02


def observe(
    state: RelayState,
    service: str,
    asked_s: float,
    position: Position,
) -> None:
    """Keeps the position that a primary answered with.

    Args:
        state: State of the relay.
        service: Group whose primary answered under a valid lease.
        asked_s: When the statement was sent.
        position: Position of the primary's log.
    """
    known = state['observations'].setdefault(service, deque())
    if known and asked_s - known[-1].asked_s < SPACING_S:
        return
    known.append(Observation(asked_s, position))
    while asked_s - known[0].asked_s > KEEP_S:
        known.popleft()


def find_position(
    state: RelayState,
    service: str,
    *,
    since_s: float,
) -> Position:
    """Returns the position that holds all commits before ``since_s``.

    Returns:
        The oldest suitable position; term 0 if no observation is new enough.
    """
    for known in state['observations'].get(service, ()):
        if known.asked_s >= since_s + MARGIN_S:
            return known.position
    return NO_POSITION
