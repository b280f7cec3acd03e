"""Log positions that reads need, from observations of the primary.

The position in an answer of the primary includes every commit that was
acknowledged before the statement was sent. A read may use any position whose
statement was sent no earlier than the arrival of the read minus the tolerated
staleness. The oldest of these is the one that replicas reach first.
"""

from collections import deque

from poplarspoke.generated.common import Position
from poplarspoke.relay.state import NO_POSITION, Observation, RelayState

# Observations are kept for this time; routes tolerate a staleness of at most
# 2.5 s, so older ones are not needed.
RETENTION_S = 4.0
# Minimum time between two recorded observations; closer ones add nothing to the
# choice.
MIN_SPACING_S = 0.02
# Subtracted from the tolerated staleness to cover the rounding of clocks.
CLOCK_MARGIN_S = 0.02


def record_observation(
    state: RelayState,
    service: str,
    asked_s: float,
    position: Position,
) -> None:
    """Records the log position in an answer of a primary.

    Args:
        state: State of the relay.
        service: Service whose primary answered under a valid lease.
        asked_s: When the statement was sent; boot clock in seconds.
        position: Log position of the primary.
    """
    observations = state['observations'].setdefault(service, deque())
    if observations and asked_s - observations[-1].asked_s < MIN_SPACING_S:
        return
    observations.append(Observation(asked_s, position))
    while asked_s - observations[0].asked_s > RETENTION_S:
        observations.popleft()


def find_position(
    state: RelayState,
    service: str,
    *,
    since_s: float,
) -> Position:
    """Returns a position that includes all commits before ``since_s``.

    Args:
        state: State of the relay.
        service: Service whose primary was observed.
        since_s: Time of the boot clock in seconds.

    Returns:
        The oldest suitable position; term 0 if no observation is new enough.
    """
    for observation in state['observations'].get(service, ()):
        if observation.asked_s >= since_s + CLOCK_MARGIN_S:
            return observation.position
    return NO_POSITION
