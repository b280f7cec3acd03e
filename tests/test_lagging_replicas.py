"""Load pattern: replicas lag for seconds, and every host tries them in vain."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import AnswerCode
from tests.relay_world import PRIMARY, RelayWorld

READS_PER_S = 50
LAG_S = 6


def play_reads(world: RelayWorld) -> int:
    """Plays reads while all replicas lag; returns how many were in vain."""
    rejected = 0
    position = 100
    for number in range(LAG_S * READS_PER_S):
        world.lease(PRIMARY)
        session = number + 1
        position += 1
        world.observe(Position(3, position))
        world.start(session, 'bounded')
        forward = world.forward(world.read(session))
        while world.locate(forward) != PRIMARY:
            rejected += 1
            lagging = Position(3, 7)
            answers = world.reply(forward, AnswerCode.LAGGING, position=lagging)
            forward = world.forward(answers)
        world.reply(forward, position=Position(3, position))
        world.tick(1 / READS_PER_S)
    return rejected


def test_lagging_replicas_are_tried_rarely() -> None:
    """A read that is rejected costs a round trip and delays its answer."""
    rejected = play_reads(RelayWorld())
    # Two replicas, each tried after 0.15, 0.3, 0.6 and then 1.2 s.
    assert rejected <= 2 * 9


def test_replica_with_the_position_is_used_at_once() -> None:
    """A replica that has caught up must not be left out longer."""
    world = RelayWorld()
    world.observe(Position(3, 7))
    world.start(1, 'bounded')
    first = world.forward(world.read(1))
    replica = world.locate(first)
    world.reply(first, AnswerCode.LAGGING, position=Position(3, 6))
    world.state['endpoints'][replica]['position'] = Position(3, 9)
    for name in world.state['endpoints']:
        if name not in {replica, PRIMARY}:
            world.state['endpoints'][name]['lagging_until_s'] = world.now_s + 9
    world.start(2, 'bounded')
    assert world.locate(world.forward(world.read(2))) == replica
