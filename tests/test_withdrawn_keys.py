"""Keys that are withdrawn while a transaction of their caller is open.

A withdrawn key stops working within seconds, also for connected callers. A
transaction may last long, since only its pauses are limited.
"""

from typing import Any

import pytest

from poplarspoke.generated.relay import (
    AnswerCode,
    BeginTransaction,
    CloseConnection,
    CommitTransaction,
    ExecutePrepared,
    PrepareStatement,
    ReadItem,
    RollBackTransaction,
    SendAnswer,
    SessionPhase,
    SetValue,
    WriteItem,
)
from poplarspoke.generated.rules import Ruleset, WorkspaceRule
from poplarspoke.relay.messages import Forward
from tests.gateway_simulation import ZoneSimulation
from tests.relay_simulation import (
    KEY,
    RelaySimulation,
    create_rules,
    find_messages,
)

PREPARE = PrepareStatement(1, 'r0', 's1', True, 'q2c')
STATEMENTS = (
    ReadItem(1, 'r2', 'READ 1'),
    WriteItem(1, 'r3', 'WRITE 1 x'),
    ExecutePrepared(1, 'r4', 's1', '1a4 data'),
    SetValue(1, 'r5', 'lang', 'fr'),
    CommitTransaction(1, 'r6'),
)


def withdraw(*workspaces: WorkspaceRule) -> Ruleset:
    """Returns newer rules with these workspaces only."""
    return create_rules(2)._replace(workspaces=workspaces)


@pytest.fixture
def simulation() -> RelaySimulation:
    """Returns a host with an open transaction that has written."""
    simulation = RelaySimulation()
    simulation.start_session(1, 'primary')
    simulation.post(PREPARE)
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    write = simulation.get_forward(simulation.send_write(1))
    simulation.reply(write, phase=SessionPhase.OPEN)
    return simulation


# Guards against statements that a member runs with a withdrawn key.
@pytest.mark.parametrize('statement', STATEMENTS)
def test_statement_of_an_open_transaction_is_refused(
    simulation: RelaySimulation, statement: Any
) -> None:
    """The transaction is rolled back with its connection."""
    simulation.post(withdraw())
    outgoing = simulation.post(statement)
    assert not find_messages(outgoing, Forward)
    assert find_messages(outgoing, CloseConnection)
    answer = simulation.get_answer(outgoing)
    assert answer.code is AnswerCode.KEY_REFUSED
    expected = SessionPhase.FAILED
    if isinstance(statement, CommitTransaction):
        expected = SessionPhase.IDLE
    assert answer.phase is expected


# Guards against a transaction that holds its locks until it is idle for too long.
def test_transaction_ends_without_a_further_statement(
    simulation: RelaySimulation,
) -> None:
    """Its caller may pause for seconds."""
    simulation.post(withdraw())
    outgoing = simulation.advance(0.05)
    assert find_messages(outgoing, CloseConnection)
    assert not find_messages(outgoing, SendAnswer)
    answer = simulation.get_answer(simulation.send_write(1))
    assert answer.code is AnswerCode.KEY_REFUSED
    ended = simulation.get_answer(simulation.post(RollBackTransaction(1, 'e')))
    assert (ended.code, ended.phase) == (AnswerCode.DONE, SessionPhase.IDLE)


# Guards against a transaction that goes on for a workspace that lost its key.
def test_key_of_another_workspace_does_not_continue(
    simulation: RelaySimulation,
) -> None:
    """The operators have given the key to another workspace."""
    simulation.post(withdraw(WorkspaceRule('green', (KEY,), 100, 100)))
    outgoing = simulation.send_write(1)
    assert not find_messages(outgoing, Forward)
    assert simulation.get_answer(outgoing).code is AnswerCode.KEY_REFUSED


# Guards against transactions that are ended although their key is valid.
def test_transaction_with_another_key_continues(
    simulation: RelaySimulation,
) -> None:
    """Only one of the keys of the workspace is withdrawn."""
    simulation.post(withdraw(WorkspaceRule('blue', (KEY, 'other'), 100, 100)))
    simulation.advance(0.2)
    assert simulation.get_forward(simulation.send_write(1))


# Guards against transactions of open routes that are ended for lack of a key.
def test_transaction_of_an_open_route_continues() -> None:
    """An open route needs no key."""
    simulation = RelaySimulation()
    rules = create_rules(2)
    routes = tuple(route._replace(open=True) for route in rules.routes)
    simulation.post(rules._replace(routes=routes))
    simulation.start_session(1, 'primary', '')
    begin = simulation.get_forward(simulation.post(BeginTransaction(1, 'b')))
    simulation.reply(begin, phase=SessionPhase.OPEN)
    simulation.post(rules._replace(version=3, workspaces=()))
    simulation.advance(0.2)
    assert simulation.get_forward(simulation.send_write(1))


# Guards against statements that a gateway runs with a withdrawn key, which it does
# not know.
@pytest.mark.parametrize('pause_s', [0, 0.05])
def test_transaction_at_a_gateway_ends(pause_s: float) -> None:
    """The host that the caller reached checks the key."""
    zone = ZoneSimulation()
    host = zone.find_other()
    zone.start_session(host, 1, 'primary')
    zone.post(host, BeginTransaction(1, 'b'))
    runner, begin = zone.find_forward()
    zone.reply(runner, begin, phase=SessionPhase.OPEN)
    sent = len(zone.sent[runner])
    zone.post(host, withdraw())
    zone.advance(pause_s)
    outgoing = zone.post(host, WriteItem(1, 'r3', 'WRITE 1 x'))
    codes = [entry.code for entry in find_messages(outgoing, SendAnswer)]
    assert codes == [AnswerCode.KEY_REFUSED]
    assert not find_messages(zone.sent[runner][sent:], Forward)
    assert find_messages(zone.sent[runner][sent:], CloseConnection)
