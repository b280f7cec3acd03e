"""Evidence for a failover of one database group.

Each member is probed for its status. A failover needs recent evidence that
this host observed itself and that a majority of the members confirms.
"""

from typing import NamedTuple, TypedDict

from poplarspoke import majorities
from poplarspoke.generated.failover import FailoverReason
from poplarspoke.generated.members import MemberStatus, Role

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# Failures that count as evidence; the second probe uses a new connection.
FAILED_PROBES = 2
# An older status is no evidence of the member's current state.
MAX_STATUS_AGE_S = 1.5
CONTACT_TIMEOUT_S = 1.0
REQUIRED_ZONES = 2


class MemberView(TypedDict):
    """What this host knows about a member.

    Attributes:
        zone: Availability zone of the member.
        call_id: Call id of the last probe.
        sent_s: Time at which that probe was sent.
        waiting: Whether its answer is outstanding.
        failures: Consecutive probes without an answer.
        status: Last reported status.
        status_s: Time at which the probe for that status was sent.
    """

    zone: str
    call_id: int
    sent_s: float
    waiting: bool
    failures: int
    status: MemberStatus
    status_s: float


class Suspicion(NamedTuple):
    """Reason for a failover, with its evidence."""

    reason: FailoverReason = FailoverReason.NONE
    evidence: str = ''


Views = dict[str, MemberView]


def create_views(zones: dict[str, str], now_s: float) -> Views:
    """Returns the views of members that have not been probed."""
    return {
        endpoint: MemberView(
            zone=zone,
            call_id=0,
            sent_s=now_s - PROBE_INTERVAL_S,
            waiting=False,
            failures=0,
            status=MemberStatus(),
            status_s=now_s - MAX_STATUS_AGE_S,
        )
        for endpoint, zone in zones.items()
    }


def reset_probes(views: Views, now_s: float) -> None:
    """Discards all evidence, which is outdated after a pause or failover."""
    for view in views.values():
        view['waiting'] = False
        view['failures'] = 0
        view['sent_s'] = now_s - PROBE_INTERVAL_S
        view['status_s'] = now_s - MAX_STATUS_AGE_S


def is_recent(view: MemberView, now_s: float) -> bool:
    """Returns whether the member's status is recent enough as evidence."""
    return now_s - view['status_s'] < MAX_STATUS_AGE_S


def find_highest_term(views: Views) -> int:
    """Returns the highest term that any member reported as adopted."""
    return max(view['status'].adopted_term for view in views.values())


def find_suspicion(
    views: Views,
    primary: str,
    term: int,
    now_s: float,
) -> Suspicion:
    """Returns the reason to replace a primary, if there is one.

    Args:
        views: The members.
        primary: Known primary, empty if there is none.
        term: Term of that primary.
        now_s: Monotonic clock in seconds.
    """
    disconnected = _list_disconnected(views, primary, now_s)
    zones = {views[name]['zone'] for name in disconnected}
    all_zones = {view['zone'] for view in views.values()}
    has_majority = len(disconnected) >= majorities.count_majority(len(views))
    has_zones = len(zones) >= min(REQUIRED_ZONES, len(all_zones))
    if has_majority and has_zones:
        return _assess_primary(views, primary, term, disconnected, now_s)
    return _find_ineligible(views, primary, term, now_s)


def _list_disconnected(views: Views, primary: str, now_s: float) -> list[str]:
    """Returns the replicas that report a loss of contact with the primary."""
    disconnected = []
    for name, view in views.items():
        if name == primary or not _is_recent_replica(view, now_s):
            continue
        if view['status'].primary_heard_s >= CONTACT_TIMEOUT_S:
            disconnected.append(name)
    return disconnected


def _assess_primary(
    views: Views,
    primary: str,
    term: int,
    disconnected: list[str],
    now_s: float,
) -> Suspicion:
    reports = ', '.join(
        f'{name} has not heard it for '
        f'{views[name]["status"].primary_heard_s:.1f} s'
        for name in disconnected
    )
    view = views.get(primary)
    if view is None or _is_recent_replica(view, now_s):
        return Suspicion(FailoverReason.NO_PRIMARY, reports)
    if view['failures'] >= FAILED_PROBES:
        return Suspicion(
            FailoverReason.PRIMARY_LOST,
            f'{primary} gave no answer to {view["failures"]} probes; {reports}',
        )
    if _is_isolated(view, now_s):
        return Suspicion(
            FailoverReason.PRIMARY_ISOLATED,
            f'no majority has answered {primary} for '
            f'{view["status"].age_s:.1f} s; {reports}',
        )
    ahead = [name for name in disconnected if _is_ahead(views[name], term)]
    if len(ahead) >= majorities.count_majority(len(views)):
        return Suspicion(
            FailoverReason.SUPERSEDED,
            f'{primary} leads term {term}, which a majority has left; '
            f'{reports}',
        )
    return Suspicion()


def _find_ineligible(
    views: Views,
    primary: str,
    term: int,
    now_s: float,
) -> Suspicion:
    """Finds a replica whose higher adopted term keeps it from following."""
    for name, view in views.items():
        if not primary or not _is_recent_replica(view, now_s):
            continue
        if _is_ahead(view, term):
            adopted = view['status'].adopted_term
            return Suspicion(
                FailoverReason.MEMBER_BARRED,
                f'{name} has adopted term {adopted} and cannot follow '
                f'{primary} in term {term}',
            )
    return Suspicion()


def _is_isolated(view: MemberView, now_s: float) -> bool:
    """Returns whether a primary reports that no majority answers it."""
    if not is_recent(view, now_s):
        return False
    status = view['status']
    return status.role is Role.PRIMARY and status.age_s >= CONTACT_TIMEOUT_S


def _is_recent_replica(view: MemberView, now_s: float) -> bool:
    return is_recent(view, now_s) and view['status'].role is Role.REPLICA


def _is_ahead(view: MemberView, term: int) -> bool:
    return view['status'].adopted_term > term
