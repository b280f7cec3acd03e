"""Passes statements of this host's callers to gateways.

The host that a caller reached checks its key, route and rate and keeps its
session. The gateway chooses the endpoint and runs the statement.
"""

import functools
from typing import Any

from poplarspoke.generated.gateways import (
    ChannelStart,
    ForwardStatement,
    SessionValue,
)
from poplarspoke.generated.relay import ExecutePrepared, PrepareStatement
from poplarspoke.relay import usage
from poplarspoke.relay.messages import OpenGatewayLink, ToGateway
from poplarspoke.relay.state import (
    GatewayLink,
    Operation,
    RelayState,
    Session,
)


def start(
    state: RelayState,
    operation: Operation,
    gateway: str,
    now_s: float,
) -> list[Any]:
    """Passes a statement that starts an operation to a gateway.

    Without a usable link the statement stays unassigned, and is placed again
    when the link is usable or has failed.
    """
    link = state['gateway_links'].get(gateway)
    if link is None:
        return open_link(state, gateway, now_s)
    if not link['usable']:
        return []
    session = state['sessions'][operation['session']]
    values = tuple(
        SessionValue(name, content)
        for name, content in session['values'].items()
    )
    operation['attempts'] += 1
    usage.count(state, operation, now_s)
    channel_start = ChannelStart(
        operation['workspace'],
        operation['route'],
        values,
        session['position'],
        session['position_unknown'],
        now_s - session['wrote_s'],
    )
    return _send(state, operation, gateway, (channel_start,), now_s)


def continue_transaction(
    state: RelayState,
    operation: Operation,
    now_s: float,
) -> list[Any]:
    """Passes a further statement to the gateway that holds the transaction."""
    session = state['sessions'][operation['session']]
    return _send(state, operation, session['gateway'], (), now_s)


def open_link(state: RelayState, host: str, now_s: float) -> list[Any]:
    """Starts to open the link to a host of this zone."""
    address = state['zone_peers'].get(host)
    if address is None:
        return []
    known = state['gateway_links'].get(host)
    state['gateway_links'][host] = GatewayLink(
        usable=False,
        opening=True,
        opened_s=now_s,
        heard_s=now_s,
        probed_s=0,
        failures=known['failures'] if known else 0,
        retry_s=0,
    )
    return [OpenGatewayLink(host, address)]


def _send(
    state: RelayState,
    operation: Operation,
    gateway: str,
    starts: tuple[ChannelStart, ...],
    now_s: float,
) -> list[Any]:
    session = state['sessions'][operation['session']]
    operation['gateway'] = gateway
    operation['sent_s'] = now_s
    operation['sequence'] = state['next_sequence']
    state['next_sequence'] += 1
    statement = operation['statement']
    frame = ForwardStatement(
        session['session'],
        operation['sequence'],
        max(operation['deadline_s'] - now_s, 0),
        starts,
        _list_prepared(statement, session),
        statement,
    )
    return [ToGateway(gateway, frame)]


@functools.singledispatch
def _list_prepared(
    statement: Any, session: Session
) -> tuple[PrepareStatement, ...]:
    """Returns the prepared statement that a statement executes, if any."""
    return ()


@_list_prepared.register
def _(
    statement: ExecutePrepared, session: Session
) -> tuple[PrepareStatement, ...]:
    prepared = session['prepared'].get(statement.name)
    return () if prepared is None else (prepared,)
