"""Tests the key check and revocations during network partitions."""

import json
from typing import Any

import pytest

from poplarspoke import errors, keys
from poplarspoke.generated.configuration import (
    ResendSettings,
    SettingsFreshness,
    SettingsInForce,
    SettingsSnapshot,
    UnresolvedChange,
)
from poplarspoke.generated.keys import CheckKey, KeyAccepted
from poplarspoke.tasks import Reply, ToTask
from tests import fleet as fleets

ISSUED = keys.create_key('k1', 'w1', 's' * 30)
OTHER = keys.create_key('k1', 'w1', 't' * 30)
DOCUMENT: Any = {
    'teams': {
        'red': {
            'workspaces': {
                'w1': {
                    'rate': 1,
                    'burst': 1,
                    'keys': {
                        'k1': {
                            'digest': ISSUED.record.digest,
                            'revoked': False,
                        },
                    },
                    'routes': {
                        'public': {
                            'database': 'd',
                            'write': False,
                            'repeat': 'safe',
                            'open': True,
                        },
                    },
                },
                'w2': {'rate': 1, 'burst': 1},
            },
        },
    },
}


@pytest.fixture
def state() -> keys.KeysState:
    """Returns the state of a host whose settings were confirmed at 100 s."""
    created = keys.create_state()
    snapshot = SettingsSnapshot(version=3, document=json.dumps(DOCUMENT))
    freshness = SettingsFreshness(3, True, 100)
    keys.decide(SettingsInForce(snapshot), created, 100)
    keys.decide(freshness, created, 100)
    return created


def check(
    state: keys.KeysState,
    key: str,
    workspace: str = 'w1',
    route: str = 'read',
    now_s: float = 101,
) -> Any:
    """Returns the answer to one key check."""
    message = CheckKey('r1', key, workspace, route)
    reply = keys.decide(message, state, now_s)[0]
    assert isinstance(reply, Reply)
    return reply.message


@pytest.mark.parametrize(
    ('key', 'workspace', 'accepted'),
    [
        (ISSUED.key, 'w1', True),
        (ISSUED.key, 'w2', False),
        (OTHER.key, 'w1', False),
        (ISSUED.key + 'x', 'w1', False),
        (ISSUED.record.digest, 'w1', False),
        ('', 'w1', False),
        ('', '', False),
    ],
)
def test_invalid_key_is_refused(
    state: keys.KeysState, key: str, workspace: str, accepted: bool
) -> None:
    """R4: guards against accepting a wrong, absent or malformed key."""
    answer = check(state, key, workspace)
    assert isinstance(answer, KeyAccepted) == accepted


def test_open_route_needs_no_key(state: keys.KeysState) -> None:
    """Guards against open routes that depend on keys or fresh settings."""
    answer = check(state, '', route='public', now_s=200)
    assert isinstance(answer, KeyAccepted)
    assert not isinstance(check(state, '', 'w2', 'public'), KeyAccepted)


def test_stale_settings_refuse_as_unknown(state: keys.KeysState) -> None:
    """R6: guards against accepting keys after 5 s without a confirmation."""
    assert isinstance(check(state, ISSUED.key, now_s=104.9), KeyAccepted)
    assert check(state, ISSUED.key, now_s=105).status_unknown
    state['policy'] = 'none'
    assert isinstance(check(state, ISSUED.key, now_s=900), KeyAccepted)


def test_dropped_settings_are_requested_again(state: keys.KeysState) -> None:
    """Guards against trusting a confirmation of settings that were dropped."""
    sent = keys.decide(SettingsFreshness(4, True, 101), state, 101)
    assert sent == [ToTask('configuration', ResendSettings('keys'))]
    assert check(state, ISSUED.key).status_unknown


def test_unresolved_revocation_refuses(state: keys.KeysState) -> None:
    """Guards against accepting a key whose revocation may have committed."""
    doubts = (UnresolvedChange('c', 4, ('k1',)),)
    fresh = SettingsFreshness(3, True, 101, doubts=doubts)
    keys.decide(fresh, state, 101)
    assert check(state, ISSUED.key).status_unknown


def test_no_key_in_state_or_answer(state: keys.KeysState) -> None:
    """Guards against a key that reaches logs by a state dump or an answer."""
    answers = [
        check(state, ISSUED.key, now_s=now_s) for now_s in (101.0, 110.0)
    ]
    text = repr((state, answers))
    assert ISSUED.key not in text
    assert 's' * 30 not in text


def test_weak_secret_is_refused() -> None:
    """Guards against a secret that is short enough to guess."""
    with pytest.raises(errors.SettingsError) as caught:
        keys.create_key('k1', 'w1', 'hunter2')
    assert 'hunter2' not in str(caught.value)


def test_isolated_zone_refuses_keys() -> None:
    """R6: guards against keys in a zone that no revocation can reach."""
    fleet = fleets.start_fleet()
    for other in ('b', 'c', fleets.PLATFORM):
        fleet.partitions.add(frozenset(('a', other)))
    fleet.revoke('bh0', 'k1', 'r1')
    fleet.run(10)
    assert 'k1' in fleet.revoked_at_s
    assert not fleet.accepts('ah0', 'k2')
    assert fleet.accepts('bh0', 'k2')
    fleet.partitions.clear()
    fleet.run(5)
    assert fleet.accepts('ah0', 'k2')
    assert not fleet.accepts('ah0', 'k1')


def test_revocation_with_lost_answer_before_outage() -> None:
    """R6: guards against a revocation that only the table has."""
    fleet = fleets.start_fleet()
    fleet.lost_answers = 1
    fleet.revoke('ah0', 'k1', 'r1')
    while fleet.lost_answers:
        fleet.run(0.01)
    fleet.store_down = True
    fleet.run(20)
    for host in fleet.zone_of:
        assert not fleet.accepts(host, 'k1')
        assert fleet.accepts(host, 'k2')


def test_delayed_heartbeats_confirm_nothing() -> None:
    """R6: guards against confirmations by heartbeats that took seconds."""
    fleet = fleets.start_fleet()
    fleet.partitions.add(frozenset(('a', fleets.PLATFORM)))
    fleet.link_delay_s = 8
    fleet.run(3)
    fleet.revoke('bh0', 'k1', 'r1')
    fleet.run(15)
    assert 'k1' in fleet.revoked_at_s
    assert not fleet.accepts('ah0', 'k2')


def test_store_outage_alone_refuses_no_key() -> None:
    """Guards against refused keys while only the store is down."""
    fleet = fleets.start_fleet()
    fleet.store_down = True
    for step_s in (0.5,) * 60:
        fleet.run(step_s)
        assert all(fleet.accepts(host, 'k1') for host in fleet.zone_of)
    fleet.partitions.add(frozenset(('a', 'b')))
    fleet.run(10)
    # Zone c reaches both zones and passes its confirmation on.
    assert fleet.accepts('ah0', 'k1')
    fleet.partitions.add(frozenset(('a', 'c')))
    fleet.run(10)
    assert not fleet.accepts('ah0', 'k1')
    assert not fleet.accepts('bh0', 'k1')


def test_majority_policy_accepts_keys_with_a_zone_isolated() -> None:
    """Guards against ``majority_of_zones`` having no effect."""
    fleet = fleets.start_fleet()
    fleet.submit('ah0', 'p', 'keys/confirmation', 'majority_of_zones')
    fleet.run(3)
    fleet.store_down = True
    for zone in ('a', 'b'):
        fleet.partitions.add(frozenset(('c', zone)))
    fleet.run(20)
    assert fleet.accepts('ah0', 'k1')
    assert not fleet.accepts('ch0', 'k1')
