"""Confirmation of the local tables through the zone watchers.

A few hosts of each zone, the zone watchers, watch the tables of the store
(``sources``). They notify the other hosts of their zone of the tables that have
changed; these fetch the changed rows (``offers``), and regularly query a host that
reads the store for rows that they have missed. So the calls of the store do not grow
with the number of hosts.
"""

from typing import Any

from poplarspoke.control import (
    contact,
    isolation,
    leadership,
    offers,
    releases,
    revisions,
    sources,
    tables,
)
from poplarspoke.control.state import (
    ENDPOINTS,
    NO_WATCH_S,
    RECORDS,
    RULES,
    TABLES,
    WATCHES_S,
    ControlState,
    Versions,
)
from poplarspoke.generated.control import (
    Confirmation,
    QueryConfirmation,
    RowsChanged,
    SetWatch,
    StoreAccess,
)
from poplarspoke.tasks import ToHost, ToTask

# Shortest interval of the queries of the leader, which all hosts query.
LEADER_INTERVAL_S = 0.4
# When a fleet starts, its hosts read the records before most have registered,
# and each is a watcher of the few hosts that it knows. Until this long after the
# first read a host watches the records only.
SETTLE_S = 1.0
# A host that gets no rows from peers for this long watches the store itself.
FETCH_LIMIT_S = 3.5
# A host that watches the store in place of the watchers continues for this long, so
# that it does not stop and start with each answer.
FALLBACK_WATCH_S = 10.0


def check(state: ControlState, now_s: float) -> list[Any]:
    """Queries a source, and sets the length of this host's own watches."""
    if not state['tables'][RECORDS]['complete']:
        return []
    # The time limits for the first answer start when the records were read.
    state['source_last_response_s'] = state['source_last_response_s'] or now_s
    state['settled_s'] = state['settled_s'] or now_s + SETTLE_S
    outgoing = _set_watches(state, now_s)
    if now_s < state['next_query_s']:
        return outgoing
    recipients = sources.choose(state, now_s)
    if now_s >= state['next_leader_query_s']:
        # The leader detects failed hosts by the absence of their queries.
        recipients.add(state['duty'].record.holder)
        state['next_leader_query_s'] = now_s + LEADER_INTERVAL_S
    recipients -= {state['settings'].name, ''}
    query = offers.create_query(state, now_s)
    return [*outgoing, *(ToHost(name, query) for name in sorted(recipients))]


def check_releases(state: ControlState, now_s: float) -> list[Any]:
    """Collects the releases of a failover, if this host is a watcher."""
    return releases.check(state, sources.list_watchers(state), now_s)


def handle_query(
    state: ControlState, message: QueryConfirmation, now_s: float
) -> list[Any]:
    """Answers with the versions that this host has read and their age."""
    theirs = Versions(message.rules, message.endpoints, message.records)
    offers.record(state, message.sender, theirs, now_s)
    newest = offers.find_versions(state)
    confirmed = Confirmation(
        state['settings'].name,
        message.asked_s,
        _compute_age(state, RECORDS, now_s),
        newest.rules,
        newest.endpoints,
        newest.records,
        holds=leadership.is_active_leader(state, now_s),
        extends=contact.may_extend(state, now_s),
        access=sources.find_access(state, now_s),
        rules_age_s=_compute_age(state, RULES, now_s),
        endpoints_age_s=_compute_age(state, ENDPOINTS, now_s),
        answered_ago_s=now_s - state['store_last_response_s'],
    )
    return [ToHost(message.sender, confirmed), *offers.catch_up(state, now_s)]


def handle_answer(
    state: ControlState, message: Confirmation, now_s: float
) -> list[Any]:
    """Renews the primary leases if the peer has no newer records."""
    outgoing = isolation.handle_answer(state, message, now_s)
    sources.record(state, message, now_s)
    theirs = Versions(message.rules, message.endpoints, message.records)
    offers.record(state, message.sender, theirs, now_s)
    outgoing.extend(offers.catch_up(state, now_s))
    _confirm_tables(state, message, theirs)
    is_extended = contact.record_answer(state, message)
    if _confirm_records(state, message) or is_extended:
        outgoing.append(tables.list_leases(state))
    return outgoing


def _confirm_tables(
    state: ControlState, message: Confirmation, theirs: Versions
) -> None:
    """Confirms the rules and the endpoints that a peer has no newer rows of."""
    if message.access is StoreAccess.UNSTATED:
        # A host of an earlier version states no ages.
        return
    for name, version, age_s in (
        (RULES, theirs.rules, message.rules_age_s),
        (ENDPOINTS, theirs.endpoints, message.endpoints_age_s),
    ):
        table = state['tables'][name]
        era = revisions.find_era(table['version'])
        if version <= table['version'] and revisions.find_era(version) == era:
            confirmed_s = message.asked_s - age_s
            table['confirmed_s'] = max(table['confirmed_s'], confirmed_s)


def _confirm_records(state: ControlState, message: Confirmation) -> bool:
    """Returns whether an answer confirms the records as of a later time."""
    records = state['tables'][RECORDS]
    if message.records > records['version']:
        return False
    if revisions.find_era(message.records) != revisions.find_era(
        records['version']
    ):
        # The peer has not learnt yet that the store was restored.
        return False
    confirmed_s = message.asked_s - message.age_s
    if confirmed_s <= records['confirmed_s']:
        return False
    records['confirmed_s'] = confirmed_s
    return True


def handle_update(
    state: ControlState,
    message: RowsChanged,
    now_s: float,
) -> list[Any]:
    """Fetches rows that a watcher has reported as changed."""
    theirs = Versions(message.rules, message.endpoints, message.records)
    offers.record(state, message.sender, theirs, now_s)
    return offers.catch_up(state, now_s)


def notify_zone(
    state: ControlState, before: Versions, now_s: float
) -> list[Any]:
    """Notifies the other hosts of this zone of changed tables.

    Only watchers and hosts that stand in for them send such updates, and only to hosts
    that do not watch the store or that it does not answer.

    Args:
        state: State of the control task.
        before: What ``offers.find_versions`` returned before the change.
        now_s: Boot clock in seconds.
    """
    newest = offers.find_versions(state)
    own = state['settings'].name
    watchers = sources.list_watchers(state)
    if newest == before:
        return []
    if own not in watchers and now_s >= state['watch_until_s']:
        return []
    update = RowsChanged(own, *newest)
    zone = state['settings'].zone
    reading = {own, *watchers} - set(sources.list_refused(state, now_s))
    return [
        ToHost(name, update)
        for name, host in state['hosts'].items()
        if host.zone == zone and name not in reading
    ]


def _set_watches(state: ControlState, now_s: float) -> list[Any]:
    outgoing: list[Any] = []
    for table, wait_s in _choose_waits(state, now_s).items():
        complete = state['tables'][table]['complete']
        if not complete or wait_s == state['watches_s'][table]:
            continue
        state['watches_s'][table] = wait_s
        offers.delay_restart(state, table, now_s)
        outgoing.append(ToTask('feeds', SetWatch(table, wait_s)))
    return outgoing


def _choose_waits(state: ControlState, now_s: float) -> dict[str, float]:
    """Returns the length of this host's watch of each table, in seconds."""
    fetching_s = max(offers.find_age(state, table, now_s) for table in TABLES)
    if fetching_s > FETCH_LIMIT_S or sources.may_stand_in(state, now_s):
        state['watch_until_s'] = now_s + FALLBACK_WATCH_S
    is_kept = now_s < state['watch_until_s'] or leadership.is_leader(state)
    own = state['settings'].name
    waits_s: dict[str, float] = dict.fromkeys(TABLES, NO_WATCH_S)
    if not is_kept and own not in sources.list_watchers(state):
        return waits_s
    if now_s >= state['settled_s']:
        return dict(WATCHES_S)
    waits_s[RECORDS] = WATCHES_S[RECORDS]
    return waits_s


def _compute_age(state: ControlState, table: str, now_s: float) -> float:
    return now_s - state['tables'][table]['confirmed_s']
