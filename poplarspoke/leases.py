"""Rate leases: units of a group of hosts, held in one row of the table.

All writes of the row are compare-and-set on its version. The duration of a
lease is counted from before its commit was sent. A host reclaims another host's
entry once it has been unchanged for longer than a lease. It measures this on
its own clock, so that clocks of different hosts are never compared.
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
# Exceeds the lease by 5%, so that the lease ends first on its holder's clock
# even if the clocks drift.
RECLAIM_DELAY_S = 10.5
# A holder cannot ask hosts that joined after its last renewal for a promise.
# These hosts wait until promises can no longer extend its lease.
MAX_PROMISED_EXTENSION_S = 3600.0
NEWCOMER_RECLAIM_DELAY_S = 3780.0


class PendingCommit(NamedTuple):
    """Commit whose outcome is not known yet.

    Attributes:
        sequence: Sequence number that it writes into this host's entry.
        sent_s: Time before it was sent.
        condition: Row version that it replaces.
        units: Units that it writes for this host, by workspace.
        reclaims: Whether it removes entries of other hosts.
    """

    sequence: int
    sent_s: float
    condition: int
    units: dict[str, int]
    reclaims: bool


class ObservedEntry(NamedTuple):
    """Last change of a host's entry that this host observed.

    Attributes:
        incarnation: Incarnation in the entry.
        sequence: Sequence number in the entry.
        since_s: When this host first read the entry with these values.
    """

    incarnation: int
    sequence: int
    since_s: float


class PromiseRound(NamedTuple):
    """Requests for promises that together extend the lease.

    Attributes:
        promise_id: Number of the round.
        sent_s: Time before the requests were sent; the lease counts from it.
        missing: Incarnation of each holder that has not promised yet.
    """

    promise_id: int
    sent_s: float
    missing: dict[str, int]


class Leases(TypedDict):
    """State of the lease of one host in one row.

    Attributes:
        key: Key of the row; empty if the settings do not list this host.
        host: Name of this host.
        incarnation: Incarnation of this process.
        version: Row version of ``holders``.
        known: Whether the row was read.
        sequence: Number of the last commit planned.
        holders: Entries of the row by host.
        observed: Last observed change of each entry.
        sent: Commits whose outcome is not known.
        committed_s: Time from which the last commit known to have taken effect
            counts.
        lease_until_s: End of the lease.
        promised: Time until which this host must not reclaim another host's
            units.
        round: Current round of requests for promises.
        leaving: Whether the host releases its units and its entry.
    """

    key: str
    host: str
    incarnation: int
    version: int
    known: bool
    sequence: int
    holders: dict[str, LeaseHolder]
    observed: dict[str, ObservedEntry]
    sent: list[PendingCommit]
    committed_s: float
    lease_until_s: float
    promised: dict[str, float]
    round: PromiseRound
    leaving: bool


def create_leases(key: str, host: str, incarnation: int) -> Leases:
    """Returns the state of a host that holds no units."""
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


def list_usable_units(leases: Leases) -> dict[str, int]:
    """Returns the units that may be used while the lease lasts, by workspace.

    A commit without an answer may still take effect, so the usable units are
    the minimum of those in the row and in all such commits.
    """
    if leases['leaving']:
        return {}
    usable = _get_own_units(leases)
    for sent in leases['sent']:
        for workspace, count in usable.items():
            usable[workspace] = min(count, sent.units.get(workspace, 0))
    return usable


def count_usable_units(leases: Leases, workspace: str) -> int:
    """Returns the number of units that may be used for one workspace."""
    return list_usable_units(leases).get(workspace, 0)


def adopt_row(leases: Leases, row: Row, now_s: float) -> bool:
    """Adopts a row that is newer than the known one and well-formed.

    Returns whether the row was adopted.
    """
    if row.key != leases['key']:
        return False
    if leases['known'] and row.version <= leases['version']:
        return False
    try:
        content = _parse_row(row)
    except ValueError:
        # A row of another format: only the guaranteed rate remains.
        return False
    leases['known'] = True
    leases['version'] = row.version
    leases['holders'] = {holder.host: holder for holder in content.holders}
    units.check_units(leases['holders'])
    _update_observed(leases, now_s)
    _update_lease_end(leases)
    # A commit on an older version can no longer take effect.
    leases['sent'] = [
        sent for sent in leases['sent'] if sent.condition >= row.version
    ]
    return True


def plan_commit(
    leases: Leases,
    demand: Mapping[str, float],
    locked: frozenset[str],
    now_s: float,
) -> Commit:
    """Returns the commit that renews, reclaims and redistributes units.

    Args:
        leases: State; the commit is added to ``sent``.
        demand: Requests per second of each workspace in the settings.
        locked: Workspaces whose units must not decrease now.
        now_s: Time before the commit is sent.
    """
    others, reclaims = _select_holders(leases, now_s)
    planned = {}
    held = _get_own_units(leases)
    held_by_others = units.index_holders(others.values())
    for workspace, wanted in demand.items():
        planned[workspace] = units.plan_units(
            leases['host'],
            held.get(workspace, 0),
            WorkspaceUnits(workspace=workspace, demand=wanted),
            held_by_others,
            can_shrink=workspace not in locked,
        )
    if leases['leaving']:
        planned = {}
    leases['sequence'] += 1
    leases['sent'].append(
        PendingCommit(
            leases['sequence'], now_s, leases['version'], planned, reclaims
        ),
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
    """Returns whether the last commit took effect according to the row."""
    own = find_own_entry(leases)
    if own is None:
        return leases['leaving']
    return own.sequence == leases['sequence']


def start_promise_round(
    leases: Leases, promise_id: int, now_s: float
) -> list[str]:
    """Starts a round of promises, which extend the lease without the store.

    Returns the hosts to request promises from: all other holders in the row. A
    host that joined later waits for ``NEWCOMER_RECLAIM_DELAY_S``. The list is
    empty if there is no other holder or if the lease would exceed its last
    commit by more than ``MAX_PROMISED_EXTENSION_S``.
    """
    own = find_own_entry(leases)
    if own is None:
        return []
    if now_s + LEASE_S > leases['committed_s'] + MAX_PROMISED_EXTENSION_S:
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

    The promise is refused while a commit that reclaims units may take effect.
    """
    own = find_own_entry(leases)
    entry = leases['holders'].get(message.sender)
    promised = own is not None
    if not _has_incarnation(entry, message.incarnation):
        promised = False
    if any(sent.reclaims for sent in leases['sent']):
        promised = False
    if promised:
        leases['promised'][message.sender] = now_s + RECLAIM_DELAY_S
    return LeasePromised(
        sender=leases['host'],
        promise_id=message.promise_id,
        incarnation=leases['incarnation'],
        holder=message.incarnation,
        promised=promised,
    )


def record_promise(leases: Leases, message: LeasePromised) -> None:
    """Records a promise; the last one missing extends the lease."""
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


def find_own_entry(leases: Leases) -> LeaseHolder | None:
    """Returns the entry of this process in the row, or None."""
    own = leases['holders'].get(leases['host'])
    if own is None or own.incarnation != leases['incarnation']:
        return None
    return own


def _has_incarnation(holder: LeaseHolder | None, incarnation: int) -> bool:
    return holder is not None and holder.incarnation == incarnation


def _get_own_units(leases: Leases) -> dict[str, int]:
    own = find_own_entry(leases)
    if own is None:
        return {}
    return {entry.workspace: entry.units for entry in own.units}


def _update_observed(leases: Leases, now_s: float) -> None:
    observed = {}
    for host, holder in leases['holders'].items():
        observed_entry = leases['observed'].get(host)
        state = (holder.incarnation, holder.sequence)
        if (
            observed_entry is None
            or (observed_entry.incarnation, observed_entry.sequence) != state
        ):
            observed_entry = ObservedEntry(
                holder.incarnation, holder.sequence, now_s
            )
        observed[host] = observed_entry
    leases['observed'] = observed


def _update_lease_end(leases: Leases) -> None:
    own = find_own_entry(leases)
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


def _select_holders(
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
    own = find_own_entry(leases)
    wait_s = NEWCOMER_RECLAIM_DELAY_S
    if own is not None and own.joined < holder.renewed:
        wait_s = RECLAIM_DELAY_S
    if now_s < leases['promised'].get(holder.host, now_s):
        return False
    return now_s - leases['observed'][holder.host].since_s > wait_s


def _create_entry(
    leases: Leases,
    planned: Mapping[str, int],
    demand: Mapping[str, float],
) -> LeaseHolder:
    own = find_own_entry(leases)
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
