"""Tests of a member's log, terms, ages and transactions."""

from typing import Any

import pytest

from poplarspoke import tasks, web
from poplarspoke.generated import members as schema
from poplarspoke.generated.common import ErrorCode, Position
from poplarspoke.standins import database, member, member_state, replication

MEMBERS = ('m1', 'm2', 'm3')


@pytest.fixture
def anyio_backend() -> str:
    """Selects the event loop that the daemons use."""
    return 'asyncio'


def send(
    state: member_state.MemberState,
    body: Any,
    now_s: float = 1.0,
    connection: str = 'c',
) -> Any:
    """Returns a member's answer to a request."""
    call = schema.MemberCall('r', connection, 0, body)
    for outgoing in replication.decide(call, state, now_s):
        if isinstance(outgoing, tasks.Reply):
            return outgoing.message
    return None


def create_primary(term: int = 1) -> member_state.MemberState:
    """Returns a member that is the primary of a term."""
    state = member_state.create_state('m1', MEMBERS, 0)
    send(state, schema.Adopt(term, 'h-1'))
    send(state, schema.Promote(term, 'h-1'))
    return state


def execute(text: str, request_id: str = 'w1') -> schema.Execute:
    """Returns a recorded write of term 1."""
    return schema.Execute(
        request_id=request_id,
        workspace='w',
        term=1,
        text=text,
        write=True,
        record=True,
    )


def test_term_is_granted_to_one_candidate() -> None:
    """Guards against a term granted to two candidates, and so two primaries."""
    state = member_state.create_state('m1', MEMBERS, 0)
    assert send(state, schema.Adopt(2, 'h1-1')).granted
    assert send(state, schema.Adopt(2, 'h1-1')).granted
    assert not send(state, schema.Adopt(2, 'h2-1')).granted
    assert not send(state, schema.Adopt(1, 'h1-1')).granted
    assert send(state, schema.Promote(2, 'h2-1')).role is schema.Role.REPLICA


def test_superseded_primary_refuses() -> None:
    """Guards against a write in a superseded term, which would be lost."""
    state = create_primary()
    position = send(state, execute('PUT k v')).position
    assert send(state, schema.Confirm(position)).confirmed
    send(state, schema.Adopt(2, 'h-2'))
    refused = send(state, execute('PUT k x', 'w2'))
    assert refused.refusal.code is ErrorCode.NOT_PRIMARY
    assert not send(state, schema.Confirm(position)).confirmed


def test_diverging_tail_is_truncated() -> None:
    """Guards against entries that no majority held outlasting a failover.

    Their recorded answers and values must be removed as well.
    """
    state = create_primary()
    send(state, execute('PUT k old'))
    entry = schema.LogEntry(Position(2, 2))
    message = schema.Replicate(
        2, 'm2', Position(1, 1), (entry,), Position(2, 2)
    )
    assert send(state, message).accepted
    assert member_state.find_last_position(state) == Position(2, 2)
    assert database.find_recorded_entry(state['database'], 'w', 'w1') is None
    assert not state['database']['tables']['']
    late = message._replace(term=1, primary='m1')
    assert not send(state, late).accepted


def test_recorded_write_runs_once() -> None:
    """Guards against a repeated write that takes effect again."""
    state = create_primary()
    first = send(state, execute('ADD n 1'))
    second = send(state, execute('ADD n 1'))
    assert second.rows == first.rows
    assert second.repeated
    assert state['database']['tables']['w'] == {'n': '1'}


def test_delayed_message_is_not_fresh() -> None:
    """Guards against a replica that counts a delayed message as current."""
    state = member_state.create_state('m2', MEMBERS, 0)
    send(state, schema.Replicate(1, 'm1', round=1), 5.0)
    late = schema.Replicate(1, 'm1', round=2, answered_round=1, age_s=0.5)
    send(state, late, 60.0)
    assert replication.build_status(state, 60.0).age_s == pytest.approx(55.5)


def test_age_of_primary_without_majority_grows() -> None:
    """Guards against a partitioned primary that reports itself up to date."""
    state = create_primary()
    answered = schema.Replicated(True, 1, Position(1, 1), 1)
    replication.decide(
        schema.ReplicateAnswered('m2', False, answered), state, 2
    )
    assert replication.build_status(state, 9.0).age_s == pytest.approx(8)


def test_transactions_are_isolated() -> None:
    """Guards against writes visible before the commit and lost updates."""
    state = create_primary()
    control = schema.TransactionControl('t', 'w', 1)
    for connection in ('a', 'b'):
        send(state, schema.BeginTransaction(control), connection=connection)
        send(state, execute('ADD n 1'), connection=connection)
    assert not state['database']['tables'].get('w')
    commit = schema.CommitTransaction(control)
    assert not send(state, commit, connection='a').refused
    lost = send(state, commit, connection='b')
    assert lost.refusal.code is ErrorCode.CONFLICT
    send(state, schema.BeginTransaction(control), connection='c')
    replication.decide(schema.ConnectionClosed('c'), state, 1)
    ended = send(state, commit, connection='c')
    assert ended.refusal.code is ErrorCode.TRANSACTION_ENDED
    assert state['database']['tables']['w'] == {'n': '1'}


async def post(
    connection: web.HttpConnection,
    path: str,
    body: Any,
) -> web.Response:
    """Sends a message to a member process."""
    request = web.Request('POST', path, body=web.write_json(body))
    return await connection.send(request, timeout_s=10)


@pytest.mark.anyio
async def test_lost_answer_follows_its_effect() -> None:
    """Guards the fault that loses the answer of a statement that ran."""
    members = {'m1': '127.0.0.1:1'}
    settings = member.Settings('m1', 0, 'z', 'd', members)
    async with member.Member(settings) as process:
        address = f'127.0.0.1:{process.port}'
        async with await web.connect(address) as connection:
            await post(connection, '/adopt', schema.Adopt(1, 'h'))
            await post(connection, '/promote', schema.Promote(1, 'h'))
            faults = schema.MemberFaults(lost_answers=1, lost_path='/execute')
            await post(connection, '/faults', faults)
            with pytest.raises(web.AnswerLostError):
                await post(connection, '/execute', execute('PUT k v'))
        async with await web.connect(address) as connection:
            response = await post(connection, '/execute', execute('PUT k v'))
            answer = web.read_json(schema.MemberAnswer, response.body)
            assert answer.repeated
            seen = await connection.send(
                web.Request('GET', '/seen?path=/execute'),
                timeout_s=10,
            )
            assert seen.body.count(b'PUT k v') == 2
