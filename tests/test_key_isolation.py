"""Tests R5: a key goes no further than the key check of the entry host."""

import random
from typing import Any

import anyio
import pytest

from poplarspoke import proxy
from poplarspoke.generated import members, peers
from poplarspoke.generated.dispatch import PlanStatement, StatementPlan
from poplarspoke.generated.keys import CheckKey, KeyAccepted
from poplarspoke.generated.rates import AdmitRequest, Admitted
from poplarspoke.generated.requests import (
    CallerRequest,
    Statement,
    StatementResult,
    TransactionStep,
)
from poplarspoke.generated.routing import RouteChoice
from poplarspoke.tasks import MessageBus, Task

KEY = 'pk_marker_0123456789abcdefghijkl'
TRANSACTION = 'h1~1~1'


class FakeTask(Task):
    """A task that answers at once and records the messages it receives."""

    def __init__(self, name: str, messages: list[Any]) -> None:
        """Takes the task's name and the list that records its messages."""
        self.name = name
        self.messages = messages

    def post(self, message: Any) -> bool:
        """Records a message."""
        self.messages.append(message)
        return True

    async def ask(self, message: Any, *, timeout_s: float) -> Any:
        """Answers like a task that accepts every request."""
        match message:
            case CheckKey():
                return KeyAccepted(message.request_id, message.workspace)
            case AdmitRequest():
                self.messages.append(message)
                return Admitted(message.request_id)
            case PlanStatement():
                self.messages.append(message)
                statement = Statement(endpoint='e1', database='d')
                choice = RouteChoice(endpoint='e1')
                return StatementPlan(statement, 'h1', choice)
        self.messages.append(message)
        return None


def run_request(step: TransactionStep, transaction: str) -> list[Any]:
    """Runs a request; returns all messages except the key check."""
    messages: list[Any] = []

    async def run_statement(owner: str, statement: Statement) -> Any:
        messages.append(statement)
        return StatementResult(statement.request_id, 'e1')

    async def run() -> None:
        message_bus = MessageBus(
            send_to_host=lambda host, message: messages.append(message),
            send_to_store=lambda task, message: messages.append(message),
            now_s=float,
        )
        for name in ('keys', 'rates', 'dispatch', 'metrics', 'traces'):
            message_bus.tasks[name] = FakeTask(name, messages)
        entry = proxy.Proxy(
            proxy.Identity('h1', 'za', ('secret',)),
            message_bus,
            run_statement,
            float,
            random.Random(1),
        )
        request = CallerRequest(
            request_id='r',
            key=KEY,
            workspace='w',
            route='read',
            text='GET n',
            transaction=transaction,
            step=step,
            budget_s=1,
        )
        messages.append(await entry.handle(request))

    anyio.run(run)
    return messages


@pytest.mark.parametrize(
    ('step', 'transaction'),
    [
        (TransactionStep.SINGLE, ''),
        (TransactionStep.BEGIN, ''),
        (TransactionStep.INSIDE, TRANSACTION),
        (TransactionStep.COMMIT, TRANSACTION),
    ],
)
def test_key_stays_on_the_entry_host(
    step: TransactionStep, transaction: str
) -> None:
    """Guards against a key in a statement, a trace, a count or an answer."""
    messages = run_request(step, transaction)
    assert any(isinstance(message, Statement) for message in messages)
    assert all(KEY not in repr(message) for message in messages)


@pytest.mark.parametrize(
    'message',
    [Statement, members.Execute, members.TransactionControl],
)
def test_no_field_for_a_key(message: type[Any]) -> None:
    """Guards against a message to an owner or endpoint that can hold a key."""
    names = ' '.join(message._fields)
    assert 'key' not in names
    assert 'secret' not in names


def test_peers_get_no_caller_request() -> None:
    """Guards against the caller's request as a message between daemons."""
    names = repr(peers.__dict__)
    assert 'CallerRequest' not in names
    assert 'CheckKey' not in names
