"""Steps of a failover: probes, evidence, claim, grants, promotion, outcome."""

import xxhash

from poplarspoke import invariants, majorities, suspicion
from poplarspoke.attempts import (
    ACTING_RANKS,
    SWITCHOVER_INTERVAL_S,
    Attempt,
    FailoverState,
    build_row,
    call_member,
    commit_row,
    enter_step,
    parse_row,
    record_event,
)
from poplarspoke.generated.failover import (
    EndpointAnswered,
    FailoverReason,
    FailoverStep,
    PrimaryAnnounced,
)
from poplarspoke.generated.members import (
    Adopt,
    FetchStatus,
    Follow,
    MemberStatus,
    Promote,
    Role,
)
from poplarspoke.generated.platform import (
    ReadRows,
    Row,
)
from poplarspoke.suspicion import MemberView, Suspicion
from poplarspoke.tasks import Outgoing, ToEndpoint, ToHost, ToStore, ToTask

RANK_WAIT_S = 0.5
# Backoff after a failed attempt or a higher term of another candidate.
BACKOFF_S = 0.5
JITTER_S = 0.25
JITTER_STEPS = 256
INELIGIBLE_WAIT_S = 2.0
CLAIM_TIMEOUT_S = 0.3
STEP_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 3.0
CATCH_UP_PROBE_INTERVAL_S = 0.1
# Log entries that a replica may lack when a switchover claims its term.
CATCH_UP_ENTRIES = 64
# Wait for grants of members in service before a draining one is promoted.
GRANTS_WAIT_S = 0.3
RESEND_INTERVAL_S = 0.2
RECORD_INTERVAL_S = 1.0
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD_S = 1.0


def read_row(state: FailoverState) -> list[Outgoing]:
    """Returns the query for the database row, once after each start."""
    if state['is_row_read']:
        return []
    state['is_row_read'] = True
    return [ToStore(ReadRows((state['row'].key,)))]


def probe_members(state: FailoverState, now_s: float) -> list[Outgoing]:
    """Sends the probes that are due and counts those that timed out."""
    if state['rank'] >= ACTING_RANKS:
        return []
    attempt = state['attempt']
    interval_s = suspicion.PROBE_INTERVAL_S
    if attempt and attempt['step'] is FailoverStep.CATCH_UP:
        interval_s = CATCH_UP_PROBE_INTERVAL_S
    outgoing: list[Outgoing] = []
    for endpoint, view in state['views'].items():
        waited_s = now_s - view['sent_s']
        if view['waiting'] and waited_s >= suspicion.PROBE_TIMEOUT_S:
            view['waiting'] = False
            view['failures'] += 1
            waited_s = interval_s
        if not view['waiting'] and waited_s >= interval_s:
            outgoing.append(_send_probe(endpoint, view, state, now_s))
    return outgoing


def _send_probe(
    endpoint: str,
    view: MemberView,
    state: FailoverState,
    now_s: float,
) -> ToEndpoint:
    view['call_id'] = state['next_call']
    view['sent_s'] = now_s
    view['waiting'] = True
    return call_member(
        endpoint,
        FetchStatus(),
        state,
        timeout_s=suspicion.PROBE_TIMEOUT_S,
        new_connection=view['failures'] > 0,
    )


def handle_probe_loss(
    message: EndpointAnswered,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    view = state['views'][message.endpoint]
    if message.call_id != view['call_id'] or not view['waiting']:
        return []
    view['waiting'] = False
    view['failures'] += 1
    if view['failures'] < suspicion.FAILED_PROBES:
        return [_send_probe(message.endpoint, view, state, now_s)]
    return []


def evaluate_evidence(state: FailoverState, now_s: float) -> list[Outgoing]:
    """Begins an attempt once a reason has persisted for this host's delay.

    Hosts of a higher rank wait longer, so that they rarely compete.
    """
    if state['rank'] >= ACTING_RANKS:
        # A host probes only the few databases for which its rank is low.
        state['suspicion'] = Suspicion()
        return []
    found = _find_reason(state, now_s)
    if found.reason is not state['suspicion'].reason:
        state['suspected_s'] = now_s
    state['suspicion'] = found
    if found.reason is FailoverReason.NONE:
        return []
    wait_s = state['rank'] * RANK_WAIT_S
    if found.reason is FailoverReason.MEMBER_BARRED:
        wait_s += INELIGIBLE_WAIT_S
    ready_s = max(state['suspected_s'] + wait_s, state['quiet_until_s'])
    if found.reason is FailoverReason.DRAIN:
        ready_s = max(ready_s, state['handover_s'] + SWITCHOVER_INTERVAL_S)
    if now_s < ready_s:
        return []
    return _begin_attempt(found, state, now_s)


def _find_reason(state: FailoverState, now_s: float) -> Suspicion:
    found = suspicion.find_suspicion(
        state['views'],
        state['primary'],
        state['term'],
        now_s,
    )
    is_draining = state['primary'] in state['avoided'].endpoints
    if found.reason is not FailoverReason.NONE or not is_draining:
        return found
    if not _list_switchover_targets(state, now_s):
        return found
    return Suspicion(FailoverReason.DRAIN, state['avoided'].evidence)


def _list_switchover_targets(
    state: FailoverState, now_s: float
) -> list[MemberView]:
    """Returns the reachable members that a switchover can promote."""
    targets = []
    for endpoint, view in state['views'].items():
        if endpoint in state['avoided'].endpoints:
            continue
        if suspicion.is_recent(view, now_s):
            targets.append(view)
    return targets


def _begin_attempt(
    found: Suspicion,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    state['attempts'] += 1
    number = state['attempts']
    is_drain = found.reason is FailoverReason.DRAIN
    attempt = Attempt(
        candidate=f'{state["host"]}-{state["incarnation"]}-{number}',
        term=0,
        suspicion=found,
        step=FailoverStep.CATCH_UP,
        step_s=now_s,
        sent_s=now_s,
        first_call=state['next_call'],
        grants={},
        refusals=set(),
        chosen='',
    )
    state['attempt'] = attempt
    record_event(state, now_s, f'begin {found.reason.name}', found.evidence)
    if is_drain:
        state['handover_s'] = now_s
        return []
    return _claim_term(attempt, state, now_s)


def _claim_term(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    row = parse_row(state['row'])
    highest = max(state['term'], state['highest_term'], row.term)
    attempt['term'] = highest + 1
    state['highest_term'] = attempt['term']
    enter_step(attempt, FailoverStep.CLAIM, now_s)
    return [commit_row(build_row(attempt), state)]


def evaluate_claim(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Evaluates a claim by the row, since the commit's answer may be lost."""
    row = parse_row(state['row'])
    if row.candidate == attempt['candidate']:
        return _request_grants(attempt, state, now_s)
    if row.term >= attempt['term']:
        abandon_attempt(
            state, now_s, f'{row.candidate} claimed term {row.term}'
        )
        return []
    return [commit_row(build_row(attempt), state)]


def _request_grants(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    enter_step(attempt, FailoverStep.ADOPT, now_s)
    return _send_adopt_calls(attempt, state, now_s)


def _send_adopt_calls(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    attempt['sent_s'] = now_s
    message = Adopt(attempt['term'], attempt['candidate'])
    answered = attempt['refusals'].union(attempt['grants'])
    return [
        call_member(endpoint, message, state)
        for endpoint in state['views']
        if endpoint not in answered
    ]


def try_promote(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Promotes the member with the highest log of a majority of grants."""
    grants = attempt['grants']
    less_preferred = _list_less_preferred(attempt, state)
    members = len(state['views'])
    preferred = [name for name in grants if name not in less_preferred]
    has_majority = len(preferred) >= majorities.count_majority(members)
    has_waited = now_s - attempt['step_s'] >= GRANTS_WAIT_S
    if not has_majority and not has_waited and len(grants) < members:
        return []
    chosen = majorities.select_primary(grants, less_preferred, members)
    if not chosen:
        return []
    invariants.check(
        holds=not attempt['chosen'],
        code='R2',
        detail=f'attempt {attempt["candidate"]} would promote a second member',
    )
    attempt['chosen'] = chosen
    enter_step(attempt, FailoverStep.PROMOTE, now_s)
    return _send_promote_call(attempt, state, now_s)


def _list_less_preferred(
    attempt: Attempt,
    state: FailoverState,
) -> tuple[str, ...]:
    """Returns the members to promote only if the others lack a majority.

    An isolated primary still answers the hosts and often has the highest log.
    Promoted again, it could not get any write acknowledged.
    """
    draining = state['avoided'].endpoints
    if attempt['suspicion'].reason is FailoverReason.PRIMARY_ISOLATED:
        return (*draining, state['primary'])
    return draining


def _send_promote_call(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    attempt['sent_s'] = now_s
    message = Promote(attempt['term'], attempt['candidate'])
    return [call_member(attempt['chosen'], message, state)]


def is_promotion_answer(attempt: Attempt, message: EndpointAnswered) -> bool:
    is_own = message.call_id >= attempt['first_call']
    is_chosen = message.endpoint == attempt['chosen']
    return is_own and is_chosen and attempt['step'] is FailoverStep.PROMOTE


def evaluate_promotion(
    status: MemberStatus,
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    if status.adopted_term > attempt['term']:
        abandon_attempt(state, now_s, f'term {status.adopted_term} was adopted')
        return []
    is_primary = status.role is Role.PRIMARY
    if not is_primary or status.adopted_term != attempt['term']:
        # The status predates the promotion, which is sent again.
        return []
    return _finish_attempt(attempt, state, now_s)


def _finish_attempt(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    announcement = PrimaryAnnounced(
        sender=state['host'],
        database=state['database'],
        term=attempt['term'],
        primary=attempt['chosen'],
        reason=attempt['suspicion'].reason,
        evidence=attempt['suspicion'].evidence,
    )
    state['attempt'] = None
    state['unrecorded'] = build_row(attempt)
    state['recorded_s'] = now_s - RECORD_INTERVAL_S
    record_event(state, now_s, f'promoted {attempt["chosen"]}', '')
    follow = Follow(
        attempt['term'],
        attempt['chosen'],
        state['addresses'][attempt['chosen']],
    )
    return [
        *(
            call_member(endpoint, follow, state)
            for endpoint in state['views']
            if endpoint != attempt['chosen']
        ),
        *update_primary(announcement, state, now_s),
        *(ToHost(peer, announcement) for peer in state['peers']),
        *write_outcome(state, now_s),
    ]


def advance_attempt(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Continues an attempt: resends calls, goes to the next step or abandons."""
    in_step_s = now_s - attempt['step_s']
    match attempt['step']:
        case FailoverStep.CATCH_UP:
            return _advance_catch_up(attempt, state, now_s)
        case FailoverStep.CLAIM:
            if in_step_s < CLAIM_TIMEOUT_S:
                return []
            return _request_grants(attempt, state, now_s)
    if in_step_s < STEP_TIMEOUT_S:
        return _resend_calls(attempt, state, now_s)
    abandon_attempt(state, now_s, f'no answers in step {attempt["step"].name}')
    return []


def _resend_calls(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    is_due = now_s - attempt['sent_s'] >= RESEND_INTERVAL_S
    if attempt['step'] is FailoverStep.PROMOTE:
        return _send_promote_call(attempt, state, now_s) if is_due else []
    promotion = try_promote(attempt, state, now_s)
    if promotion or not is_due:
        return promotion
    return _send_adopt_calls(attempt, state, now_s)


def _advance_catch_up(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Claims a term once a switchover target has nearly the whole log."""
    targets = _list_switchover_targets(state, now_s)
    if not targets or state['primary'] not in state['avoided'].endpoints:
        abandon_attempt(
            state, now_s, 'the switchover has no target or is not needed'
        )
        return []
    last = state['views'][state['primary']]['status'].last
    highest = max(view['status'].last for view in targets)
    behind = last.position - highest.position
    is_caught_up = highest.term == last.term and behind <= CATCH_UP_ENTRIES
    if is_caught_up or now_s - attempt['step_s'] >= CATCH_UP_TIMEOUT_S:
        return _claim_term(attempt, state, now_s)
    return []


def abandon_attempt(state: FailoverState, now_s: float, reason: str) -> None:
    """Ends the attempt; the next one has a new term and candidate name."""
    attempt = state['attempt']
    if attempt is None:
        return
    state['attempt'] = None
    state['suspected_s'] = now_s
    record_event(state, now_s, 'abandoned', reason)
    _start_backoff(state, now_s)


def _start_backoff(state: FailoverState, now_s: float) -> None:
    """Delays this host's next attempt to leave time to another candidate.

    The jitter differs between hosts, so that they rarely compete again.
    """
    name = f'{state["host"]}-{state["attempts"]}'
    step = xxhash.xxh32_intdigest(name) % JITTER_STEPS
    jitter_s = JITTER_S * step / JITTER_STEPS
    wait_s = BACKOFF_S + state['rank'] * RANK_WAIT_S + jitter_s
    state['quiet_until_s'] = now_s + wait_s


def record_term(state: FailoverState, term: int, now_s: float) -> None:
    if term <= state['highest_term']:
        return
    state['highest_term'] = term
    _start_backoff(state, now_s)


def update_primary(
    message: PrimaryAnnounced,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Records a primary of a higher term and notifies the listeners."""
    if message.term == state['term'] and state['primary']:
        invariants.check(
            holds=message.primary == state['primary'],
            code='R2',
            detail=f'{message.primary} and {state["primary"]} '
            f'are primaries of term {message.term}',
        )
    if message.term <= state['term'] or message.primary not in state['views']:
        return []
    record_term(state, message.term, now_s)
    state['term'] = message.term
    state['primary'] = message.primary
    state['suspicion'] = Suspicion()
    # Earlier observations are no evidence about the new primary.
    suspicion.reset_probes(state['views'], now_s)
    attempt = state['attempt']
    if attempt is not None and attempt['term'] <= message.term:
        abandon_attempt(state, now_s, f'{message.primary} leads {message.term}')
    return [ToTask(listener, message) for listener in state['listeners']]


def update_row(
    rows: tuple[Row, ...],
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    for row in rows:
        if row.key != state['row'].key or row.version < state['row'].version:
            continue
        state['row'] = row
    content = parse_row(state['row'])
    if not content.primary:
        return []
    announcement = PrimaryAnnounced(
        sender=state['host'],
        database=state['database'],
        term=content.term,
        primary=content.primary,
        reason=content.reason,
        evidence=content.evidence,
    )
    return update_primary(announcement, state, now_s)


def write_outcome(state: FailoverState, now_s: float) -> list[Outgoing]:
    """Writes the outcome to the table, repeated until it is stored."""
    unrecorded = state['unrecorded']
    if unrecorded is None:
        return []
    if now_s - state['recorded_s'] < RECORD_INTERVAL_S:
        return []
    state['recorded_s'] = now_s
    return [commit_row(unrecorded, state)]


def discard_written_outcome(state: FailoverState) -> None:
    unrecorded = state['unrecorded']
    content = parse_row(state['row'])
    if unrecorded is None:
        return
    if content == unrecorded or content.term > unrecorded.term:
        state['unrecorded'] = None
