"""Rows that peers have and this host lacks.

Hosts name the newest version of each table that they have read in every query,
answer and notification. A host that lacks rows fetches them from a peer that has named
them, whether it watches the store or not, until it has the newest that was named. An
answer that is not newer changes nothing. Where the rows are expected from elsewhere, it
waits a moment first.

A version that any host has in force is so in force within ``MAX_LAG_S`` on each host
in touch with it: a host queries a watcher and the leader once a second, these fetch at
once or within 0.3 s, and notify their zone or name the version in their answers.
"""

from typing import Any

from poplarspoke.control import revisions, sources
from poplarspoke.control.state import (
    TABLES,
    ControlState,
    FailedFetch,
    MissingRows,
    Offer,
    Versions,
)
from poplarspoke.generated.control import (
    HostRecord,
    QueryConfirmation,
    SetWatch,
    ShowView,
    StoreAccess,
    ViewAnswered,
    ViewNeeded,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.tasks import ToTask

# Bound on how long a version that another host has in force is not in force here.
# The users' limit is 3 s after the acknowledgement on the smallest sites.
MAX_LAG_S = 2.5
# A watch that the store answers delivers rows earlier than a fetch, at most 0.25 s
# late from a slow store.
WATCH_WAIT_S = 0.3
# A watch that is behind a peer for this long has lost its connection.
RESTART_AFTER_S = 0.6
# Backoff after such a watch was restarted.
RESTART_BACKOFF_S = 2.0
# Watchers fetch rows from other zones and pass them on to their zone; the others
# wait for them this long, since a large configuration would fill the links.
REMOTE_WAIT_S = 0.6
# A second peer is asked if the first has not answered by then. A transfer of a large
# configuration takes longer when all hosts of a zone fetch it.
SECOND_FETCH_S = 0.6
MAX_FETCHES = 3
# Changes that follow each other are fetched together.
FETCH_INTERVAL_S = 0.1
# Requests for views end after 2 s.
MAX_FETCH_S = 3.0
# An offer of a peer is used for this long; a peer that failed is avoided as long.
OFFER_TTL_S = 2.0
FRESH_OFFER_S = 0.5
# Rows that have been missing for this long are fetched from any zone.
LATE_S = 1.2
# Rows arrive within a fraction of this, unless something is wrong.
REPORT_AFTER_S = 1.0
REPORT_INTERVAL_S = 2.0


def record(
    state: ControlState, peer: str, versions: Versions, now_s: float
) -> None:
    """Records in which tables a peer is ahead of this host."""
    if peer not in state['hosts']:
        return
    is_ahead = False
    for table, revision in zip(TABLES, versions, strict=True):
        if revision <= state['tables'][table]['version']:
            continue
        is_ahead = True
        missing = state['missing'].get(table)
        if missing is None:
            state['missing'][table] = MissingRows(
                revision=revision,
                peer=peer,
                named_s=now_s,
                known=state['tables'][table]['version'],
                since_s=now_s,
                restart_s=now_s,
                report_s=now_s + REPORT_AFTER_S,
            )
        elif revision > missing['revision']:
            missing['revision'] = revision
            missing['peer'] = peer
            missing['named_s'] = now_s
    if is_ahead:
        state['offers'][peer] = Offer(versions, now_s)


def create_query(state: ControlState, now_s: float) -> QueryConfirmation:
    """Returns a query that also names the versions of this host."""
    versions = find_versions(state)
    return QueryConfirmation(state['settings'].name, now_s, *versions)


def find_versions(state: ControlState) -> Versions:
    """Returns the revision of the newest change of each table.

    It is 0 for a table that has not been read as a whole, which views leave out.
    """
    tables = [state['tables'][table] for table in TABLES]
    return Versions._make(
        table['newest'] if table['complete'] else 0 for table in tables
    )


def update(state: ControlState) -> None:
    """Forgets missing rows that have arrived."""
    for table, missing in list(state['missing'].items()):
        version = state['tables'][table]['version']
        if version >= missing['revision']:
            state['missing'].pop(table)
        elif version > missing['known']:
            missing['known'] = version
            missing['since_s'] = missing['named_s']


def check(state: ControlState, now_s: float) -> list[Any]:
    """Fetches what is due, restarts dead watches, and logs what is missing."""
    for address, sent_s in list(state['fetches'].items()):
        if now_s - sent_s > MAX_FETCH_S:
            state['fetches'].pop(address)
    for peer, offer in list(state['offers'].items()):
        if now_s - offer.at_s > OFFER_TTL_S:
            state['offers'].pop(peer)
    return [*catch_up(state, now_s), *report(state, now_s)]


def catch_up(state: ControlState, now_s: float) -> list[Any]:
    """Fetches missing rows and restarts watches that miss them, if it is time to."""
    if not state['missing']:
        return []
    return [*_restart_watches(state, now_s), *_fetch(state, now_s)]


def delay_restart(state: ControlState, table: str, now_s: float) -> None:
    """Gives a watch that is just starting time to deliver missing rows."""
    missing = state['missing'].get(table)
    if missing is not None:
        missing['restart_s'] = now_s + RESTART_AFTER_S


def report(state: ControlState, now_s: float) -> list[Any]:
    """Logs which rows are still missing, and why."""
    outgoing: list[Any] = []
    for table, missing in state['missing'].items():
        if now_s < missing['report_s']:
            continue
        missing['report_s'] = now_s + REPORT_INTERVAL_S
        version = revisions.find_version(missing['revision'])
        line = LogDecision(
            event='rows missing',
            outcome=f'{table} {version} of {missing["peer"]}',
            reason=explain(state, now_s),
            age_s=now_s - missing['since_s'],
        )
        outgoing.append(line)
    return outgoing


def explain(state: ControlState, now_s: float) -> str:
    """Returns what keeps missing rows from arriving."""
    reasons: list[str] = []
    if sources.find_access(state, now_s) is StoreAccess.REFUSED:
        reasons.append('the store does not answer this host')
    failed = state['failed_fetch']
    if failed is not None and now_s - failed.at_s < REPORT_INTERVAL_S:
        reasons.append(f'{failed.address}: {failed.reason}')
    if state['fetches']:
        reasons.append(f'waiting for {", ".join(sorted(state["fetches"]))}')
    return '; '.join(reasons) or 'not fetched yet'


def find_age(state: ControlState, table: str, now_s: float) -> float:
    """Returns for how long rows of a table have been missing, in seconds."""
    missing = state['missing'].get(table)
    return now_s - missing['since_s'] if missing else 0


def handle_answer(
    state: ControlState, message: ViewAnswered, now_s: float
) -> list[Any]:
    """Records the outcome of a request for rows."""
    sent_s = state['fetches'].pop(message.address, now_s)
    state['next_fetch_s'] = now_s + FETCH_INTERVAL_S
    if not message.reason:
        _drop_offers(state, message.address)
        return []
    state['failed_fetch'] = FailedFetch(message.address, message.reason, now_s)
    line = LogDecision(
        event='fetch failed',
        outcome=message.address,
        reason=message.reason,
        age_s=now_s - sent_s,
    )
    return [line]


def _fetch(state: ControlState, now_s: float) -> list[Any]:
    """Requests missing rows from a peer that has them."""
    if len(state['fetches']) >= MAX_FETCHES:
        return []
    latest_s = max(state['fetches'].values(), default=0)
    if now_s < state['next_fetch_s'] or now_s - latest_s < SECOND_FETCH_S:
        return []
    addresses = _list_best(state, now_s)
    if not addresses:
        return []
    address = state['rng'].choice(addresses)
    state['fetches'][address] = now_s
    versions = [state['tables'][name]['version'] for name in TABLES]
    needed = ViewNeeded((address,), ShowView('', *versions))
    return [ToTask('views', needed)]


def _list_best(state: ControlState, now_s: float) -> list[str]:
    """Returns the addresses of the best peers to fetch from.

    Traffic between zones is billed, so peers of this zone come first, unless the rows
    are late. Peers that failed, or may have frozen since they were heard, come last.
    """
    since_s = min(entry['since_s'] for entry in state['missing'].values())
    is_late = now_s - since_s >= LATE_S
    found: dict[tuple[bool, bool, int], list[str]] = {}
    for peer, offer in state['offers'].items():
        host = state['hosts'].get(peer)
        if host is None or host.control_address in state['fetches']:
            continue
        if not _is_due(state, host, offer, now_s):
            continue
        is_billed = host.zone != state['settings'].zone and not is_late
        rank = (
            _is_doubtful(state, host, offer, now_s),
            is_billed,
            -max(offer.versions),
        )
        found.setdefault(rank, []).append(host.control_address)
    return found[min(found)] if found else []


def _is_due(
    state: ControlState, host: HostRecord, offer: Offer, now_s: float
) -> bool:
    """Returns whether rows that a peer offers are fetched now."""
    for table, revision in zip(TABLES, offer.versions, strict=True):
        missing = state['missing'].get(table)
        if missing is None or revision <= state['tables'][table]['version']:
            continue
        wait_s = _find_wait(state, table, host, now_s)
        if now_s - missing['since_s'] >= wait_s:
            return True
    return False


def _find_wait(
    state: ControlState, table: str, host: HostRecord, now_s: float
) -> float:
    """Returns how long rows are awaited that need not be fetched from a host."""
    own = state['settings']
    is_reading = sources.find_access(state, now_s) is StoreAccess.READING
    if is_reading and state['watches_s'][table]:
        return WATCH_WAIT_S
    if host.zone == own.zone or own.name in sources.list_watchers(state):
        return 0
    return 0 if sources.are_watchers_silent(state, now_s) else REMOTE_WAIT_S


def _drop_offers(state: ControlState, address: str) -> None:
    """Forgets what a peer has offered and sent."""
    for peer in list(state['offers']):
        host = state['hosts'].get(peer)
        if host is None or host.control_address == address:
            state['offers'].pop(peer)


def _is_doubtful(
    state: ControlState, host: HostRecord, offer: Offer, now_s: float
) -> bool:
    """Returns whether a peer may have frozen, or has failed to send its rows."""
    if now_s - offer.at_s > FRESH_OFFER_S:
        return True
    failed = state['failed_fetch']
    if failed is None or failed.address != host.control_address:
        return False
    return now_s - failed.at_s < OFFER_TTL_S


def _restart_watches(state: ControlState, now_s: float) -> list[Any]:
    """Restarts watches that the store seems to answer and that miss rows."""
    outgoing: list[Any] = []
    if sources.find_access(state, now_s) is not StoreAccess.READING:
        return []
    for table, missing in state['missing'].items():
        wait_s = state['watches_s'][table]
        behind_s = now_s - missing['since_s']
        if not wait_s or behind_s < RESTART_AFTER_S:
            continue
        if now_s < missing['restart_s']:
            continue
        missing['restart_s'] = now_s + RESTART_BACKOFF_S
        line = LogDecision(
            event='watch restarted',
            outcome=table,
            reason='a peer has newer rows',
            age_s=behind_s,
        )
        outgoing.extend((line, ToTask('feeds', SetWatch(table, wait_s))))
    return outgoing
