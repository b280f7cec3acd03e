"""Steps of a change of primary: evidence, attempt, promotion and record."""

import xxhash

from poplarspoke import invariants, majorities, suspicion
from poplarspoke.attempts import (
    ACTING_RANKS,
    HANDOVER_INTERVAL_S,
    Attempt,
    FailoverState,
    call_member,
    commit_row,
    describe,
    enter,
    note_event,
    read_content,
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
# Wait after another candidate's term was seen or an own attempt failed.
QUIET_S = 0.5
JITTER_S = 0.25
JITTER_STEPS = 256
BARRED_WAIT_S = 2.0
CLAIM_TIMEOUT_S = 0.3
STEP_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 3.0
CATCH_UP_PROBE_S = 0.1
# Entries that a replica may lack when a planned handover begins.
CATCH_UP_ENTRIES = 64
# Wait for members that stay in service before one that leaves is promoted.
GATHER_S = 0.3
RESEND_S = 0.2
RECORD_INTERVAL_S = 1.0
# A longer time between two ticks means that this process was paused.
PAUSE_S = 1.0


def read_row(state: FailoverState) -> list[Outgoing]:
    if state['is_row_read']:
        return []
    state['is_row_read'] = True
    return [ToStore(ReadRows((state['row'].key,)))]


def probe(state: FailoverState, now_s: float) -> list[Outgoing]:
    """Sends the probes that are due and counts those without an answer."""
    if state['rank'] >= ACTING_RANKS:
        return []
    attempt = state['attempt']
    interval_s = suspicion.PROBE_INTERVAL_S
    if attempt and attempt['step'] is FailoverStep.CATCH_UP:
        interval_s = CATCH_UP_PROBE_S
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


def note_lost(
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


def consider(state: FailoverState, now_s: float) -> list[Outgoing]:
    """Begins an attempt if there has been a reason for long enough."""
    if state['rank'] >= ACTING_RANKS:
        # Without probes there is no evidence; most databases are such.
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
        wait_s += BARRED_WAIT_S
    ready_s = max(state['suspected_s'] + wait_s, state['quiet_until_s'])
    if found.reason is FailoverReason.DRAIN:
        ready_s = max(ready_s, state['handover_s'] + HANDOVER_INTERVAL_S)
    if now_s < ready_s:
        return []
    return _begin(found, state, now_s)


def _find_reason(state: FailoverState, now_s: float) -> Suspicion:
    found = suspicion.find_suspicion(
        state['views'],
        state['primary'],
        state['term'],
        now_s,
    )
    is_avoided = state['primary'] in state['avoided'].endpoints
    if found.reason is not FailoverReason.NONE or not is_avoided:
        return found
    if not _list_staying(state, now_s):
        return found
    return Suspicion(FailoverReason.DRAIN, state['avoided'].evidence)


def _list_staying(state: FailoverState, now_s: float) -> list[MemberView]:
    """Returns the reachable members that a drain can move the primary to."""
    staying = []
    for endpoint, view in state['views'].items():
        if endpoint in state['avoided'].endpoints:
            continue
        if suspicion.is_recent(view, now_s):
            staying.append(view)
    return staying


def _begin(
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
    note_event(state, now_s, f'begin {found.reason.name}', found.evidence)
    if is_drain:
        state['handover_s'] = now_s
        return []
    return _claim(attempt, state, now_s)


def _claim(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    row = read_content(state['row'])
    highest = max(state['term'], state['highest_term'], row.term)
    attempt['term'] = highest + 1
    state['highest_term'] = attempt['term']
    enter(attempt, FailoverStep.CLAIM, now_s)
    return [commit_row(describe(attempt), state)]


def judge_claim(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Decides on a claim by the row, since the answer may have been lost."""
    row = read_content(state['row'])
    if row.candidate == attempt['candidate']:
        return _adopt(attempt, state, now_s)
    if row.term >= attempt['term']:
        abandon(state, now_s, f'{row.candidate} claimed term {row.term}')
        return []
    return [commit_row(describe(attempt), state)]


def _adopt(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    enter(attempt, FailoverStep.ADOPT, now_s)
    return _send_adopts(attempt, state, now_s)


def _send_adopts(
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
    """Promotes the highest member once a majority has granted the term."""
    grants = attempt['grants']
    avoided = _list_avoided(attempt, state)
    members = len(state['views'])
    staying = [name for name in grants if name not in avoided]
    enough = len(staying) >= majorities.count_majority(members)
    is_late = now_s - attempt['step_s'] >= GATHER_S
    if not enough and not is_late and len(grants) < members:
        return []
    chosen = majorities.select_primary(grants, avoided, members)
    if not chosen:
        return []
    invariants.check(
        holds=not attempt['chosen'],
        code='R2',
        detail=f'attempt {attempt["candidate"]} promotes a second member',
    )
    attempt['chosen'] = chosen
    enter(attempt, FailoverStep.PROMOTE, now_s)
    return _send_promote(attempt, state, now_s)


def _list_avoided(
    attempt: Attempt,
    state: FailoverState,
) -> tuple[str, ...]:
    """Returns the members that are promoted only if no majority is left.

    An isolated primary still answers the hosts and often has the highest log,
    so it would be promoted again and acknowledge nothing.
    """
    avoided = state['avoided'].endpoints
    if attempt['suspicion'].reason is FailoverReason.PRIMARY_ISOLATED:
        return (*avoided, state['primary'])
    return avoided


def _send_promote(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    attempt['sent_s'] = now_s
    message = Promote(attempt['term'], attempt['candidate'])
    return [call_member(attempt['chosen'], message, state)]


def is_promotion(attempt: Attempt, message: EndpointAnswered) -> bool:
    is_own = message.call_id >= attempt['first_call']
    is_chosen = message.endpoint == attempt['chosen']
    return is_own and is_chosen and attempt['step'] is FailoverStep.PROMOTE


def judge_promotion(
    status: MemberStatus,
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    if status.adopted_term > attempt['term']:
        abandon(state, now_s, f'term {status.adopted_term} was adopted')
        return []
    is_leading = status.role is Role.PRIMARY
    if not is_leading or status.adopted_term != attempt['term']:
        # A status from before the promotion; the promotion is sent again.
        return []
    return _finish(attempt, state, now_s)


def _finish(
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
    state['unrecorded'] = describe(attempt)
    state['recorded_s'] = now_s - RECORD_INTERVAL_S
    note_event(state, now_s, f'promoted {attempt["chosen"]}', '')
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
        *learn_primary(announcement, state, now_s),
        *(ToHost(peer, announcement) for peer in state['peers']),
        *record(state, now_s),
    ]


def advance(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Continues an attempt that waits: sends again, goes on or gives up."""
    in_step_s = now_s - attempt['step_s']
    match attempt['step']:
        case FailoverStep.CATCH_UP:
            return _advance_catch_up(attempt, state, now_s)
        case FailoverStep.CLAIM:
            if in_step_s < CLAIM_TIMEOUT_S:
                return []
            return _adopt(attempt, state, now_s)
    if in_step_s < STEP_TIMEOUT_S:
        return _repeat_calls(attempt, state, now_s)
    abandon(state, now_s, f'no answers in step {attempt["step"].name}')
    return []


def _repeat_calls(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    is_due = now_s - attempt['sent_s'] >= RESEND_S
    if attempt['step'] is FailoverStep.PROMOTE:
        return _send_promote(attempt, state, now_s) if is_due else []
    promotion = try_promote(attempt, state, now_s)
    if promotion or not is_due:
        return promotion
    return _send_adopts(attempt, state, now_s)


def _advance_catch_up(
    attempt: Attempt,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Waits until a member that stays has nearly the whole log."""
    staying = _list_staying(state, now_s)
    if not staying or state['primary'] not in state['avoided'].endpoints:
        abandon(state, now_s, 'the handover has no target or is not needed')
        return []
    last = state['views'][state['primary']]['status'].last
    highest = max(view['status'].last for view in staying)
    behind = last.position - highest.position
    is_near = highest.term == last.term and behind <= CATCH_UP_ENTRIES
    if is_near or now_s - attempt['step_s'] >= CATCH_UP_TIMEOUT_S:
        return _claim(attempt, state, now_s)
    return []


def abandon(state: FailoverState, now_s: float, why: str) -> None:
    """Ends an attempt; the next one has a new term and a new name."""
    attempt = state['attempt']
    if attempt is None:
        return
    state['attempt'] = None
    state['suspected_s'] = now_s
    note_event(state, now_s, 'gave up', why)
    _stay_quiet(state, now_s)


def _stay_quiet(state: FailoverState, now_s: float) -> None:
    """Leaves time to another candidate, a different one on each host."""
    name = f'{state["host"]}-{state["attempts"]}'
    step = xxhash.xxh32_intdigest(name) % JITTER_STEPS
    jitter_s = JITTER_S * step / JITTER_STEPS
    wait_s = QUIET_S + state['rank'] * RANK_WAIT_S + jitter_s
    state['quiet_until_s'] = now_s + wait_s


def note_term(state: FailoverState, term: int, now_s: float) -> None:
    if term <= state['highest_term']:
        return
    state['highest_term'] = term
    _stay_quiet(state, now_s)


def learn_primary(
    message: PrimaryAnnounced,
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    """Takes over a primary of a higher term and tells the other tasks."""
    if message.term == state['term'] and state['primary']:
        invariants.check(
            holds=message.primary == state['primary'],
            code='R2',
            detail=f'{message.primary} and {state["primary"]} '
            f'are primaries of term {message.term}',
        )
    if message.term <= state['term'] or message.primary not in state['views']:
        return []
    note_term(state, message.term, now_s)
    state['term'] = message.term
    state['primary'] = message.primary
    state['suspicion'] = Suspicion()
    # What was seen before says nothing about the new primary.
    suspicion.forget_probes(state['views'], now_s)
    attempt = state['attempt']
    if attempt is not None and attempt['term'] <= message.term:
        abandon(state, now_s, f'{message.primary} leads {message.term}')
    return [ToTask(listener, message) for listener in state['listeners']]


def note_rows(
    rows: tuple[Row, ...],
    state: FailoverState,
    now_s: float,
) -> list[Outgoing]:
    for row in rows:
        if row.key != state['row'].key or row.version < state['row'].version:
            continue
        state['row'] = row
    content = read_content(state['row'])
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
    return learn_primary(announcement, state, now_s)


def record(state: FailoverState, now_s: float) -> list[Outgoing]:
    """Writes the outcome to the table until it is there."""
    unrecorded = state['unrecorded']
    if unrecorded is None:
        return []
    if now_s - state['recorded_s'] < RECORD_INTERVAL_S:
        return []
    state['recorded_s'] = now_s
    return [commit_row(unrecorded, state)]


def note_recorded(state: FailoverState) -> None:
    unrecorded = state['unrecorded']
    content = read_content(state['row'])
    if unrecorded is None:
        return
    if content == unrecorded or content.term > unrecorded.term:
        state['unrecorded'] = None
