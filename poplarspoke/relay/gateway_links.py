"""Answers of gateways, and links to gateways that fail.

A forwarded statement that only reads or begins a transaction goes to the next
host when its link fails. A write or commit then has an unknown outcome, since
the gateway may have run it.
"""

import functools
from typing import Any

from poplarspoke.generated.gateways import (
    CloseChannel,
    ForwardedAnswer,
    GatewayLeaving,
    LinkReady,
    ProbeLink,
)
from poplarspoke.generated.relay import (
    AnswerCode,
    Hop,
    LogDecision,
    SendAnswer,
    SessionPhase,
)
from poplarspoke.relay import (
    admissions,
    answers,
    forwarding,
    operations,
    outcomes,
    shutdown,
    usage,
)
from poplarspoke.relay.messages import CloseGatewayLink, ToGateway
from poplarspoke.relay.state import Operation, RelayState

# A gateway that leaves statements unanswered and sends nothing for this long is
# probed. Most statements take less.
PROBE_AFTER_S = 0.15
# Time to answer a probe. A frozen host is detected before the latency
# objectives of most statements have passed twice.
PROBE_TIMEOUT_S = 0.3
# Time in which a gateway must accept a new link; it does so at once unless it
# has just started.
OPEN_TIMEOUT_S = 0.5
# Backoff before a link is reopened, doubled with each failure.
BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
MAX_DOUBLINGS = 4
# A gateway answers when the statement timeout has passed; the answer may take
# this much longer.
ANSWER_MARGIN_S = 0.1


@functools.singledispatch
def handle(
    body: Any,
    state: RelayState,
    host: str,
    now_s: float,
) -> list[Any]:
    """Handles a frame of a gateway."""
    return [
        LogDecision(
            event='frame dropped',
            outcome=type(body).__name__,
            gateway=host,
            reason='a gateway does not send it',
        ),
    ]


@handle.register
def _(body: LinkReady, state: RelayState, host: str, now_s: float) -> list[Any]:
    link = state['gateway_links'][host]
    link['probed_s'] = 0
    if link['usable'] or not link['opening']:
        return []
    link['usable'] = True
    link['opening'] = False
    link['failures'] = 0
    line = LogDecision(event='gateway usable', gateway=host)
    return [line, *_place_unassigned(state, now_s)]


@handle.register
def _(
    body: GatewayLeaving, state: RelayState, host: str, now_s: float
) -> list[Any]:
    link = state['gateway_links'][host]
    link['usable'] = False
    link['opening'] = False
    # The process ends within its grace period, which closes the link.
    link['retry_s'] = now_s + state['settings'].grace_s
    line = LogDecision(event='gateway unusable', gateway=host, reason='leaving')
    return [line, *_place_unassigned(state, now_s)]


@handle.register
def _(
    body: ForwardedAnswer, state: RelayState, host: str, now_s: float
) -> list[Any]:
    operation = state['operations'].get(body.channel)
    if operation is None or operation['gateway'] != host:
        return []
    if operation['sequence'] != body.sequence:
        return []
    state['operations'].pop(body.channel)
    # An earlier gateway, whose link was lost, may have run it.
    if body.untried and operation['attempts'] == 1:
        admissions.return_token(state, operation, now_s)
    usage.withdraw_refused(state, operation, body.code)
    _update_session(state, operation, host, body, now_s)
    session = state['sessions'][body.channel]
    ended = outcomes.summarize_operation(
        operation, session, body.code, now_s, replica=body.replica
    )
    outgoing: list[Any] = [
        SendAnswer(body.channel, body.code, body.rows, body.detail, body.phase),
        ended._replace(hop=Hop.SENT),
    ]
    if body.code is not AnswerCode.DONE:
        reason = f'gateway answered {body.detail}'
        outgoing.append(
            outcomes.log_operation(
                operation, 'failed', body.code, reason, now_s
            ),
        )
    return outgoing


def record_frame(state: RelayState, host: str, now_s: float) -> bool:
    """Records that a gateway sent a frame; False if its link is unknown."""
    link = state['gateway_links'].get(host)
    if link is None:
        return False
    link['heard_s'] = now_s
    return True


def handle_loss(
    state: RelayState,
    host: str,
    now_s: float,
    reason: str,
) -> list[Any]:
    """Ends what was forwarded to a gateway and places it again if it may."""
    link = state['gateway_links'].get(host)
    if link is None:
        return []
    backoff_s = BACKOFF_S * 2 ** min(link['failures'], MAX_DOUBLINGS)
    backoff_s = min(backoff_s, MAX_BACKOFF_S)
    # Jitter keeps the hosts of a zone from reopening all links at once.
    link['retry_s'] = now_s + backoff_s * state['rng'].uniform(0.5, 1)
    link['failures'] += 1
    link['usable'] = False
    link['opening'] = False
    link['probed_s'] = 0
    outgoing: list[Any] = [
        LogDecision(
            event='gateway unusable',
            gateway=host,
            reason=reason,
            age_s=now_s - link['heard_s'],
        ),
    ]
    in_transaction: set[int] = set()
    for session in state['sessions'].values():
        if session['gateway'] == host:
            session['gateway'] = ''
            in_transaction.add(session['session'])
    for operation in list(state['operations'].values()):
        if operation['gateway'] != host:
            continue
        pinned = operation['session'] in in_transaction
        outgoing.extend(
            _fail_operation(state, operation, now_s, reason, pinned=pinned),
        )
    outgoing.extend(_place_unassigned(state, now_s))
    return outgoing


def check_operation(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Gives up a forwarded statement that its gateway does not answer."""
    if now_s < operation['deadline_s'] + ANSWER_MARGIN_S:
        return []
    session = state['sessions'][operation['session']]
    closing = ToGateway(operation['gateway'], CloseChannel(session['session']))
    pinned = bool(session['gateway'])
    session['gateway'] = ''
    reason = shutdown.explain_timeout(state, now_s)
    if pinned:
        lost = answers.handle_transaction_loss(state, operation, now_s, reason)
        return [closing, *lost]
    if not operation['may_repeat']:
        lost = outcomes.answer_unknown(state, operation, now_s, reason)
        return [closing, *lost]
    return [closing, *outcomes.time_out(state, operation, now_s, reason)]


def check_links(state: RelayState, now_s: float) -> list[Any]:
    """Probes gateways that do not answer and reopens links that failed."""
    waiting_since_s: dict[str, float] = {}
    for operation in state['operations'].values():
        host = operation['gateway']
        since_s = waiting_since_s.get(host, now_s)
        waiting_since_s[host] = min(since_s, operation['sent_s'])
    outgoing: list[Any] = []
    for host in list(state['gateway_links']):
        since_s = waiting_since_s.get(host, now_s)
        outgoing.extend(_check_link(state, host, since_s, now_s))
    return outgoing


def _update_session(
    state: RelayState,
    operation: Operation,
    host: str,
    answer: ForwardedAnswer,
    now_s: float,
) -> None:
    session = state['sessions'][operation['session']]
    is_open = answer.phase is not SessionPhase.IDLE
    session['phase'] = answer.phase
    session['used_s'] = now_s
    session['gateway'] = host if is_open else ''
    if answer.position.term:
        session['position'] = answer.position
        session['position_unknown'] = False
        session['wrote_s'] = now_s
    if answer.code is AnswerCode.UNKNOWN_OUTCOME:
        session['position_unknown'] = True
    if answer.code is AnswerCode.DONE:
        answers.apply_to_session(operation['statement'], session)


def _check_link(
    state: RelayState,
    host: str,
    waiting_since_s: float,
    now_s: float,
) -> list[Any]:
    link = state['gateway_links'][host]
    if link['opening']:
        if now_s - link['opened_s'] < OPEN_TIMEOUT_S:
            return []
        return _give_up(state, host, now_s, 'the link was not accepted')
    if link['usable'] or now_s < link['retry_s']:
        return _check_silence(state, host, waiting_since_s, now_s)
    if host in state['zone_peers']:
        return forwarding.open_link(state, host, now_s)
    state['gateway_links'].pop(host)
    return [CloseGatewayLink(host)]


def _check_silence(
    state: RelayState,
    host: str,
    waiting_since_s: float,
    now_s: float,
) -> list[Any]:
    link = state['gateway_links'][host]
    if link['probed_s']:
        if now_s - link['probed_s'] < PROBE_TIMEOUT_S:
            return []
        return _give_up(state, host, now_s, 'no answer to a probe')
    silent_s = now_s - max(link['heard_s'], waiting_since_s)
    if silent_s < PROBE_AFTER_S:
        return []
    link['probed_s'] = now_s
    return [ToGateway(host, ProbeLink())]


def _give_up(
    state: RelayState, host: str, now_s: float, reason: str
) -> list[Any]:
    closing = CloseGatewayLink(host)
    return [closing, *handle_loss(state, host, now_s, reason)]


def _fail_operation(
    state: RelayState,
    operation: Operation,
    now_s: float,
    reason: str,
    *,
    pinned: bool,
) -> list[Any]:
    if pinned:
        return answers.handle_transaction_loss(state, operation, now_s, reason)
    if not operation['may_repeat']:
        return outcomes.answer_unknown(state, operation, now_s, reason)
    operation['tried'].add(operation['gateway'])
    operation['gateway'] = ''
    operation['sent_s'] = 0
    if operation['attempts'] >= answers.MAX_ATTEMPTS:
        return outcomes.refuse_retryable(state, operation, now_s, reason)
    return []


def _place_unassigned(state: RelayState, now_s: float) -> list[Any]:
    outgoing: list[Any] = []
    services = {
        operation['route'].service
        for operation in state['operations'].values()
        if not operations.is_assigned(operation)
    }
    for service in sorted(services):
        outgoing.extend(operations.place_waiting(state, service, now_s))
    return outgoing
