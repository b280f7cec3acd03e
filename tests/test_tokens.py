"""Guards against forged, foreign and oversized session tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import errors, sessions, tokens
from poplarspoke.generated.common import DatabasePosition, Position
from poplarspoke.generated.sessions import Session

SECRETS = ('old-secret', 'new-secret')
MANY_DATABASES = 700

counters = st.integers(0, 2**64 - 1)
position_lists = st.lists(
    st.builds(
        DatabasePosition,
        st.text(st.characters(codec='ascii', categories=['Ll']), max_size=9),
        st.builds(Position, counters, counters),
    ),
    max_size=6,
).map(tuple)


@given(position_lists)
def test_token_round_trip_keeps_positions(
    positions: sessions.Positions,
) -> None:
    """Guards against positions that encoding or decoding changes."""
    session = Session(positions)
    token = tokens.sign(session, 'deli', SECRETS)
    assert tokens.verify(token, 'deli', SECRETS) == session


def test_refuses_other_workspace() -> None:
    """Guards against a token that another workspace can use."""
    token = tokens.sign(Session(), 'deli', SECRETS)
    with pytest.raises(errors.TokenError):
        tokens.verify(token, 'bakery', SECRETS)


@given(st.integers(0, 40), st.characters(codec='utf-8'))
def test_refuses_changed_token(index: int, character: str) -> None:
    """Guards against a caller that lowers a position in its token."""
    token = tokens.sign(Session(), 'deli', SECRETS)
    index %= len(token) - 1
    changed = f'{token[:index]}{character}{token[index + 1 :]}'
    if changed == token:
        return
    with pytest.raises(errors.TokenError):
        tokens.verify(changed, 'deli', SECRETS)


def test_accepts_rotated_secret() -> None:
    """Guards against sessions that break during the rotation of a secret."""
    token = tokens.sign(Session(), 'deli', ('old-secret',))
    assert tokens.verify(token, 'deli', SECRETS) == Session()
    with pytest.raises(errors.TokenError):
        tokens.verify(token, 'deli', ('new-secret',))


def test_omitted_position_makes_reads_strict() -> None:
    """Guards against a stale read of a database that the token leaves out."""
    positions = tuple(
        DatabasePosition(f'db-{number:04}', Position(number, number * 7919))
        for number in range(MANY_DATABASES)
    )
    token = tokens.sign(Session(positions), 'deli', SECRETS)
    assert len(token) <= tokens.MAX_TOKEN_BYTES
    session = tokens.verify(token, 'deli', SECRETS)
    assert session.overflowed
    omitted = positions[-1].database
    assert sessions.limit_age(session, omitted, 5) == 0
    assert sessions.limit_age(session, positions[0].database, 5) == 5


@pytest.mark.parametrize('token', ['x' * 4096, '.', 'a.b', '\ud800.\x00'])
def test_refuses_malformed_token(token: str) -> None:
    """Guards against an unexpected exception on hostile input."""
    with pytest.raises(errors.TokenError):
        tokens.verify(token, 'deli', SECRETS)
