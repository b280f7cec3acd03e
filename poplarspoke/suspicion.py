"""Evidence for a change of the primary of one database.

Each member is probed for its status. A change needs evidence that is recent,
that was seen by this host, and that a majority of the members confirms.
"""

from typing import NamedTuple, TypedDict

from poplarspoke import majorities
from poplarspoke.generated.failover import FailoverReason
from poplarspoke.generated.members import MemberStatus, Role

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# The second attempt is made on a new connection.
FAILED_PROBES = 2
# A status older than this says nothing about the present.
STATUS_VALID_S = 1.5
NOT_HEARD_S = 1.0
REQUIRED_ZONES = 2


class MemberView(TypedDict):
    """What this host knows about a member.

    Attributes:
        zone: Availability zone of the member.
        call_id: The last probe.
        sent_s: When it was sent.
        waiting: Whether its answer is outstanding.
        failures: Probes without an answer since the last answer.
        status: Last status.
        status_s: When the probe with that status was sent.
    """

    zone: str
    call_id: int
    sent_s: float
    waiting: bool
    failures: int
    status: MemberStatus
    status_s: float


class Suspicion(NamedTuple):
    """Reason for a change of the primary, with its evidence."""

    reason: FailoverReason = FailoverReason.NONE
    evidence: str = ''


Views = dict[str, MemberView]


def create_views(zones: dict[str, str], now_s: float) -> Views:
    """Returns the views of members that were not probed yet."""
    return {
        endpoint: MemberView(
            zone=zone,
            call_id=0,
            sent_s=now_s - PROBE_INTERVAL_S,
            waiting=False,
            failures=0,
            status=MemberStatus(),
            status_s=now_s - STATUS_VALID_S,
        )
        for endpoint, zone in zones.items()
    }


def forget_probes(views: Views, now_s: float) -> None:
    """Discards evidence; after a pause it says nothing about the members."""
    for view in views.values():
        view['waiting'] = False
        view['failures'] = 0
        view['sent_s'] = now_s - PROBE_INTERVAL_S
        view['status_s'] = now_s - STATUS_VALID_S


def is_recent(view: MemberView, now_s: float) -> bool:
    """Returns whether the member's status is valid evidence."""
    return now_s - view['status_s'] < STATUS_VALID_S


def find_highest_term(views: Views) -> int:
    """Returns the highest term that a member is known to have adopted."""
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
    deaf = _find_deaf(views, primary, now_s)
    zones = {views[name]['zone'] for name in deaf}
    all_zones = {view['zone'] for view in views.values()}
    has_majority = len(deaf) >= majorities.count_majority(len(views))
    has_zones = len(zones) >= min(REQUIRED_ZONES, len(all_zones))
    if has_majority and has_zones:
        return _judge_primary(views, primary, term, deaf, now_s)
    return _find_barred(views, primary, term, now_s)


def _find_deaf(views: Views, primary: str, now_s: float) -> list[str]:
    """Returns the replicas that report that they hear no primary."""
    deaf = []
    for name, view in views.items():
        if name == primary or not _is_recent_replica(view, now_s):
            continue
        if view['status'].primary_heard_s >= NOT_HEARD_S:
            deaf.append(name)
    return deaf


def _judge_primary(
    views: Views,
    primary: str,
    term: int,
    deaf: list[str],
    now_s: float,
) -> Suspicion:
    reports = ', '.join(
        f'{name} has not heard it for '
        f'{views[name]["status"].primary_heard_s:.1f} s'
        for name in deaf
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
    ahead = [name for name in deaf if _is_ahead(views[name], term)]
    if len(ahead) >= majorities.count_majority(len(views)):
        return Suspicion(
            FailoverReason.SUPERSEDED,
            f'{primary} leads term {term}, which a majority has left; '
            f'{reports}',
        )
    return Suspicion()


def _find_barred(
    views: Views,
    primary: str,
    term: int,
    now_s: float,
) -> Suspicion:
    """Finds a member that refuses its primary because of a higher term."""
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
    """Returns whether a primary says that no majority answers it."""
    if not is_recent(view, now_s):
        return False
    status = view['status']
    return status.role is Role.PRIMARY and status.age_s >= NOT_HEARD_S


def _is_recent_replica(view: MemberView, now_s: float) -> bool:
    return is_recent(view, now_s) and view['status'].role is Role.REPLICA


def _is_ahead(view: MemberView, term: int) -> bool:
    return view['status'].adopted_term > term
