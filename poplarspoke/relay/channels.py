"""Runs statements of other hosts' callers, as the gateway of their database.

A channel is the session of a caller at the host that the caller reached. This
host has a session for it while an operation or transaction of it is open, and
runs it like one of its own, except that the other host has checked the key and
the rate.
"""

import functools
from typing import Any

from poplarspoke.generated.gateways import (
    ChannelStart,
    CloseChannel,
    ForwardStatement,
    GatewayLeaving,
    LinkReady,
    OpenLink,
    ProbeLink,
)
from poplarspoke.generated.relay import LogDecision
from poplarspoke.relay import outcomes, statements
from poplarspoke.relay.messages import ToPeer
from poplarspoke.relay.state import (
    Channel,
    RelayState,
    Session,
    create_session,
)


@functools.singledispatch
def handle(
    body: Any,
    state: RelayState,
    link: int,
    now_s: float,
) -> list[Any]:
    """Handles a frame of a host that uses this one as its gateway."""
    return [
        LogDecision(
            event='frame dropped',
            outcome=type(body).__name__,
            reason='a host that opens a link does not send it',
        ),
    ]


@handle.register
def _(body: OpenLink, state: RelayState, link: int, now_s: float) -> list[Any]:
    state['peer_links'].add(link)
    state['pending_links'].add(link)
    return accept_links(state, now_s)


@handle.register
def _(body: ProbeLink, state: RelayState, link: int, now_s: float) -> list[Any]:
    return [ToPeer(link, LinkReady())]


@handle.register
def _(
    body: CloseChannel, state: RelayState, link: int, now_s: float
) -> list[Any]:
    return _end_channel(state, Channel(link, body.channel))


@handle.register
def _(
    body: ForwardStatement, state: RelayState, link: int, now_s: float
) -> list[Any]:
    channel = Channel(link, body.channel)
    if link not in state['peer_links']:
        return [_log_out_of_turn(body, 'the link is not open')]
    if body.starts:
        outgoing = _end_channel(state, channel)
        session = _start_channel(state, channel, body.starts[0], now_s)
    else:
        outgoing = []
        number = state['channels'].get(channel, 0)
        known = state['sessions'].get(number)
        if known is None or number in state['operations']:
            return [_log_out_of_turn(body, 'no transaction waits for it')]
        session = known
    for prepared in body.prepared:
        session['prepared'][prepared.name] = prepared
    state['channel_sequences'][channel] = body.sequence
    session['used_s'] = now_s
    outgoing.extend(statements.run(body.body, state, session, now_s))
    operation = state['operations'].get(session['session'])
    if operation is not None:
        deadline_s = now_s + body.remaining_s
        operation['deadline_s'] = min(operation['deadline_s'], deadline_s)
    return outgoing


@functools.singledispatch
def find_session(body: Any, state: RelayState, link: int) -> int:
    """Returns the session that a frame brings a statement of, 0 if none."""
    return 0


@find_session.register
def _(body: ForwardStatement, state: RelayState, link: int) -> int:
    return state['channels'].get(Channel(link, body.channel), 0)


def accept_links(state: RelayState, now_s: float) -> list[Any]:
    """Tells waiting hosts that this one can serve statements, once it can."""
    if not state['pending_links'] or not _is_serving(state, now_s):
        return []
    outgoing = [ToPeer(link, LinkReady()) for link in state['pending_links']]
    state['pending_links'].clear()
    return list(outgoing)


def leave(state: RelayState) -> list[Any]:
    """Asks all hosts with a link to use another gateway."""
    return [ToPeer(link, GatewayLeaving()) for link in state['peer_links']]


def handle_loss(state: RelayState, link: int) -> list[Any]:
    """Rolls back what a host left open whose link has ended."""
    state['peer_links'].discard(link)
    state['pending_links'].discard(link)
    outgoing: list[Any] = []
    for channel in list(state['channels']):
        if channel.link == link:
            outgoing.extend(_end_channel(state, channel))
    return outgoing


def _is_serving(state: RelayState, now_s: float) -> bool:
    if state['shutdown_since_s'] or not state['rules'].version:
        return False
    leases = state['leases'].values()
    return any(now_s < lease.until_s for lease in leases)


def _start_channel(
    state: RelayState,
    channel: Channel,
    start: ChannelStart,
    now_s: float,
) -> Session:
    number = state['next_channel_session']
    state['next_channel_session'] += 1
    session = create_session(number, now_s)
    session['started'] = True
    session['channel'] = channel
    session['database'] = start.route.database
    session['route'] = start.route
    session['workspace'] = start.workspace
    session['values'] = {entry.name: entry.content for entry in start.values}
    session['position'] = start.position
    session['position_unknown'] = start.position_unknown
    session['wrote_s'] = now_s - start.since_write_s
    state['sessions'][number] = session
    state['channels'][channel] = number
    return session


def _end_channel(state: RelayState, channel: Channel) -> list[Any]:
    number = state['channels'].get(channel)
    session = state['sessions'].get(number or 0)
    if session is None:
        return []
    return outcomes.end_session(state, session)


def _log_out_of_turn(body: ForwardStatement, reason: str) -> LogDecision:
    return LogDecision(
        request_id=body.body.request_id,
        event='frame dropped',
        outcome=type(body).__name__,
        reason=reason,
    )
