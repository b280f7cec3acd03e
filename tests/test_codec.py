"""Guards against messages that change when encoded and decoded."""

import enum
import types
import typing
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarspoke import codec
from poplarspoke.generated import common, membership, peers

SCALARS: dict[Any, st.SearchStrategy[Any]] = {
    str: st.text(st.characters(codec='utf-8'), max_size=9),
    int: st.integers(0, 2**32 - 1),
    float: st.floats(0, 1e6),
    bool: st.booleans(),
    bytes: st.binary(max_size=9),
}


def build_strategy(kind: Any) -> st.SearchStrategy[Any]:
    """Returns a strategy for a message type with all its fields."""
    if kind in SCALARS:
        return SCALARS[kind]
    if typing.get_origin(kind) is tuple:
        entries = build_strategy(typing.get_args(kind)[0])
        return st.lists(entries, max_size=2).map(tuple)
    if typing.get_origin(kind) is types.UnionType:
        return st.one_of(*map(build_strategy, typing.get_args(kind)))
    if issubclass(kind, enum.IntEnum):
        return st.sampled_from(kind)
    hints = typing.get_type_hints(kind)
    fields = {name: build_strategy(hint) for name, hint in hints.items()}
    return st.builds(kind, **fields)


@given(build_strategy(peers.PeerFrame))
def test_capnp_round_trip(frame: peers.PeerFrame) -> None:
    """Guards against lost fields and wrong union members."""
    assert codec.decode(peers.PeerFrame, codec.encode(frame)) == frame


@given(build_strategy(membership.Heartbeat))
def test_json_round_trip(heartbeat: membership.Heartbeat) -> None:
    """Guards against fields that the JSON form drops or renames."""
    parsed = codec.parse(membership.Heartbeat, codec.to_object(heartbeat))
    assert parsed == heartbeat


@given(st.binary(max_size=400))
def test_invalid_bytes_raise_format_error(payload: bytes) -> None:
    """Guards the task that reads a peer's socket against other errors."""
    try:
        codec.decode(peers.PeerFrame, payload)
    except codec.FormatError:
        return


@pytest.mark.parametrize(
    'source',
    [
        [],
        {'unknown': 1},
        {'code': 'no_such_code'},
        {'retry_after_s': True},
        {'message': 5},
        {'message': '\ud800'},
        {'retry_after_s': float('nan')},
    ],
)
def test_invalid_json_field_is_rejected(source: object) -> None:
    """Guards against invalid fields that are ignored."""
    with pytest.raises(codec.FormatError):
        codec.parse(common.Refusal, source)
