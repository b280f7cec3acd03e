"""Rank of this host among the possible successors of the leader."""

import xxhash

from poplarspoke.control.state import ControlState

# Hosts that may succeed the leader, and that report to it what all hosts read
# from the store. There are several, since the store may refuse some of them.
MAX_SUCCESSORS = 8


def find_rank(state: ControlState) -> int:
    """Returns the rank of this host; the number of hosts if it is not one."""
    own = state['settings'].name
    leader = state['duty'].record.holder
    if own not in state['hosts']:
        return len(state['hosts'])
    own_rank = _rank(own)
    return sum(
        _rank(name) < own_rank
        for name, host in state['hosts'].items()
        if name != leader and not host.retired
    )


def list_successors(state: ControlState) -> list[str]:
    """Returns the hosts that may succeed the leader, first in rank first."""
    leader = state['duty'].record.holder
    names = [
        name
        for name, host in state['hosts'].items()
        if name != leader and not host.retired
    ]
    return sorted(names, key=_rank)


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(f'duty/{name}')
