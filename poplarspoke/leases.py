"""Leased units of the rates, in one row of the table for a group of hosts.

All writes of the row are compare-and-set on its version. The duration of a
lease is counted from before its commit was sent. A host reclaims an entry after
it saw it unchanged for longer than a lease, on its own clock, so that no clocks
are compared.
"""

import json
from collections.abc import Mapping
from typing import NamedTuple, TypedDict

from poplarspoke import codec, units
from poplarspoke.generated.platform import Commit, Row, RowCondition, RowWrite
from poplarspoke.generated.rates import (
    LeaseHolder,
    LeasePromised,
    LeaseRow,
    PromiseLease,
    WorkspaceUnits,
)

LEASE_S = 10.0
# A lease ends on its holder's clock first, also with a drift of 5%.
RECLAIM_AFTER_S = 10.5
# A holder cannot ask hosts for promises that joined after its last renewal;
# those wait until promises no longer extend its lease.
MAX_PROMISED_S = 3600.0
NEWCOMER_RECLAIM_S = 3780.0


class Sent(NamedTuple):
    """Commit whose effect is not known yet.

    Attributes:
        sequence: Number that it writes into the own entry.
        sent_s: Time before it was sent.
        condition: Row version that it replaces.
        units: Own units that it writes.
        reclaims: Whether it removes entries of other hosts.
    """

    sequence: int
    sent_s: float
    condition: int
    units: dict[str, int]
    reclaims: bool


class Observed(NamedTuple):
    """Entry of another host since it was last seen to change."""

    incarnation: int
    sequence: int
    since_s: float


class PromiseRound(NamedTuple):
    """Request for promises; the lease counts from ``sent_s``."""

    promise_id: int
    sent_s: float
    missing: dict[str, int]


class Leases(TypedDict):
    """State of the leases of one host."""

    key: str
    host: str
    incarnation: int
    version: int
    known: bool
    sequence: int
    holders: dict[str, LeaseHolder]
    observed: dict[str, Observed]
    sent: list[Sent]
    committed_s: float
    lease_until_s: float
    promised: dict[str, float]
    round: PromiseRound
    leaving: bool


def create_leases(key: str, host: str, incarnation: int) -> Leases:
    """Returns the state of a host that holds nothing."""
    return Leases(
        key=key,
        host=host,
        incarnation=incarnation,
        version=0,
        known=False,
        sequence=0,
        holders={},
        observed={},
        sent=[],
        committed_s=0,
        lease_until_s=0,
        promised={},
        round=PromiseRound(0, 0, {}),
        leaving=False,
    )


def list_usable(leases: Leases) -> dict[str, int]:
    """Returns the units that may be used while the lease lasts, by workspace.

    A commit without an answer may still take effect, so the lower of its units
    and those of the row count.
    """
    if leases['leaving']:
        return {}
    usable = _own_units(leases)
    for sent in leases['sent']:
        for workspace, count in usable.items():
            usable[workspace] = min(count, sent.units.get(workspace, 0))
    return usable


def usable_units(leases: Leases, workspace: str) -> int:
    """Returns the units of one workspace that may be used."""
    return list_usable(leases).get(workspace, 0)


def adopt_row(leases: Leases, row: Row, now_s: float) -> bool:
    """Takes a row over unless a newer one is known; returns whether it did."""
    if row.key != leases['key']:
        return False
    if leases['known'] and row.version <= leases['version']:
        return False
    try:
        content = _parse_row(row)
    except ValueError:
        # A row of another format: without it only the floors remain.
        return False
    leases['known'] = True
    leases['version'] = row.version
    leases['holders'] = {holder.host: holder for holder in content.holders}
    units.check_units(leases['holders'])
    _observe(leases, now_s)
    _count_lease(leases)
    # A commit on an older version can no longer take effect.
    leases['sent'] = [
        sent for sent in leases['sent'] if sent.condition >= row.version
    ]
    return True


def plan_commit(
    leases: Leases,
    demand: Mapping[str, float],
    bound: frozenset[str],
    now_s: float,
) -> Commit:
    """Returns the commit that renews, reclaims and redistributes units.

    Args:
        leases: State; the commit is noted as sent.
        demand: Requests a second of each workspace in the settings.
        bound: Workspaces whose units must not shrink now.
        now_s: Time before the commit is sent.
    """
    others, reclaims = _keep_holders(leases, now_s)
    planned = {}
    held = _own_units(leases)
    held_by_others = units.index_holders(others.values())
    for workspace, wanted in demand.items():
        planned[workspace] = units.plan_workspace(
            leases['host'],
            held.get(workspace, 0),
            WorkspaceUnits(workspace=workspace, demand=wanted),
            held_by_others,
            can_shrink=workspace not in bound,
        )
    if leases['leaving']:
        planned = {}
    leases['sequence'] += 1
    leases['sent'].append(
        Sent(leases['sequence'], now_s, leases['version'], planned, reclaims),
    )
    holders = list(others.values())
    if not leases['leaving']:
        holders.append(_create_entry(leases, planned, demand))
    units.check_units({holder.host: holder for holder in holders})
    row = codec.to_object(LeaseRow(tuple(holders)))
    return Commit(
        conditions=(RowCondition(leases['key'], leases['version']),),
        writes=(RowWrite(leases['key'], json.dumps(row)),),
    )


def is_renewed(leases: Leases) -> bool:
    """Returns whether the row holds the effect of the last commit."""
    own = find_own(leases)
    if own is None:
        return leases['leaving']
    return own.sequence == leases['sequence']


def start_round(leases: Leases, promise_id: int, now_s: float) -> list[str]:
    """Returns the hosts whose promises would renew the lease without a store.

    These are all other holders in the row: whoever joined later waits for
    ``NEWCOMER_RECLAIM_S``. None are asked if there is no other holder or if
    promises have lasted for ``MAX_PROMISED_S``.
    """
    own = find_own(leases)
    if own is None:
        return []
    if now_s + LEASE_S > leases['committed_s'] + MAX_PROMISED_S:
        return []
    missing = {
        holder.host: holder.incarnation
        for holder in leases['holders'].values()
        if holder.host != own.host
    }
    leases['round'] = PromiseRound(promise_id, now_s, missing)
    return sorted(missing)


def give_promise(
    leases: Leases,
    message: PromiseLease,
    now_s: float,
) -> LeasePromised:
    """Returns the promise not to reclaim the sender's units, or its refusal.

    A commit that reclaims and is not known to have failed forbids it.
    """
    own = find_own(leases)
    entry = leases['holders'].get(message.sender)
    promised = own is not None
    if not _is_current(entry, message.incarnation):
        promised = False
    if any(sent.reclaims for sent in leases['sent']):
        promised = False
    if promised:
        leases['promised'][message.sender] = now_s + RECLAIM_AFTER_S
    return LeasePromised(
        sender=leases['host'],
        promise_id=message.promise_id,
        incarnation=leases['incarnation'],
        holder=message.incarnation,
        promised=promised,
    )


def take_promise(leases: Leases, message: LeasePromised) -> None:
    """Extends the lease when the last missing promise has come."""
    current = leases['round']
    if not message.promised or message.promise_id != current.promise_id:
        return
    if message.holder != leases['incarnation']:
        return
    if current.missing.get(message.sender) != message.incarnation:
        return
    current.missing.pop(message.sender)
    if current.missing:
        return
    until_s = current.sent_s + LEASE_S
    leases['lease_until_s'] = max(leases['lease_until_s'], until_s)


def _parse_row(row: Row) -> LeaseRow:
    if row.content:
        return codec.parse(LeaseRow, json.loads(row.content))
    return LeaseRow()


def find_own(leases: Leases) -> LeaseHolder | None:
    """Returns the entry of this process in the row, if there is one."""
    own = leases['holders'].get(leases['host'])
    if own is None or own.incarnation != leases['incarnation']:
        return None
    return own


def _is_current(holder: LeaseHolder | None, incarnation: int) -> bool:
    return holder is not None and holder.incarnation == incarnation


def _own_units(leases: Leases) -> dict[str, int]:
    own = find_own(leases)
    if own is None:
        return {}
    return {entry.workspace: entry.units for entry in own.units}


def _observe(leases: Leases, now_s: float) -> None:
    observed = {}
    for host, holder in leases['holders'].items():
        seen = leases['observed'].get(host)
        state = (holder.incarnation, holder.sequence)
        if seen is None or (seen.incarnation, seen.sequence) != state:
            seen = Observed(holder.incarnation, holder.sequence, now_s)
        observed[host] = seen
    leases['observed'] = observed


def _count_lease(leases: Leases) -> None:
    own = find_own(leases)
    if own is None:
        leases['lease_until_s'] = 0
        return
    for sent in leases['sent']:
        if sent.sequence != own.sequence:
            continue
        leases['committed_s'] = sent.sent_s
        leases['lease_until_s'] = max(
            leases['lease_until_s'],
            sent.sent_s + LEASE_S,
        )


def _keep_holders(
    leases: Leases,
    now_s: float,
) -> tuple[dict[str, LeaseHolder], bool]:
    kept = {}
    for host, holder in leases['holders'].items():
        if host == leases['host'] or _is_reclaimable(leases, holder, now_s):
            continue
        kept[host] = holder
    own = 1 if leases['host'] in leases['holders'] else 0
    return kept, len(kept) + own < len(leases['holders'])


def _is_reclaimable(
    leases: Leases,
    holder: LeaseHolder,
    now_s: float,
) -> bool:
    own = find_own(leases)
    wait_s = NEWCOMER_RECLAIM_S
    if own is not None and own.joined < holder.renewed:
        wait_s = RECLAIM_AFTER_S
    if now_s < leases['promised'].get(holder.host, now_s):
        return False
    return now_s - leases['observed'][holder.host].since_s > wait_s


def _create_entry(
    leases: Leases,
    planned: Mapping[str, int],
    demand: Mapping[str, float],
) -> LeaseHolder:
    own = find_own(leases)
    joined = leases['version'] if own is None else own.joined
    return LeaseHolder(
        host=leases['host'],
        incarnation=leases['incarnation'],
        sequence=leases['sequence'],
        joined=joined,
        renewed=leases['version'],
        units=tuple(
            WorkspaceUnits(workspace, planned[workspace], demand[workspace])
            for workspace in sorted(planned)
        ),
    )
