"""Removes the rows of hosts that are gone for good.

A change of primary waits out the lease of each registered host that does not
answer. The holder of the duty marks such a host as retired: if it lives, it
sees the mark, has no leases, and registers again. A row that has been marked
for longer than a lease is removed, so that no later change waits for it.
"""

from typing import Any

from poplarspoke.control import duty, records
from poplarspoke.control.state import ControlState, RetireHost
from poplarspoke.control.tables import LEASE_S
from poplarspoke.generated.relay import LogDecision

# A lease may have been taken just before the mark was read.
REMOVE_S = LEASE_S + 2
# Writes that were lost are repeated after this time.
AGAIN_S = 2.0


def check(state: ControlState, now_s: float) -> list[Any]:
    """Marks hosts that did not answer and removes those that stay marked."""
    if not duty.is_holder(state) or now_s < state['retire_s']:
        return []
    outgoing: list[Any] = []
    for name in sorted(state['hosts']):
        outgoing.extend(_retire(state, name, now_s))
    if outgoing:
        state['retire_s'] = now_s + AGAIN_S
    return outgoing


def _retire(state: ControlState, name: str, now_s: float) -> list[Any]:
    record = state['hosts'][name]
    since_s = state['retired_since_s'].get(name)
    if since_s is None and name in state['unanswered']:
        write = records.write_host(state, record._replace(retired=True))
        line = LogDecision(event='host retired', outcome=name)
    elif since_s is not None and now_s - since_s > REMOVE_S:
        write = records.write_host(state, record)._replace(removed=True)
        line = LogDecision(event='host removed', outcome=name)
    else:
        return []
    state['unanswered'].discard(name)
    return [line, records.write(state, RetireHost(name), write)]
