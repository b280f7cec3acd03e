"""Load pattern: replicas lag for seconds and refuse the reads of all hosts."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import AnswerCode
from tests.relay_world import PRIMARY, RelayWorld

READS_PER_S = 50
LAG_S = 6


def run_reads(world: RelayWorld) -> int:
    """Runs reads while all replicas lag; returns how many were refused."""
    refused = 0
    position = 100
    for number in range(LAG_S * READS_PER_S):
        world.lease(PRIMARY)
        session = number + 1
        position += 1
        world.observe(Position(3, position))
        world.start(session, 'bounded')
        forward = world.forward(world.read(session))
        while world.locate(forward) != PRIMARY:
            refused += 1
            lagging = Position(3, 7)
            answers = world.reply(forward, AnswerCode.LAGGING, position=lagging)
            forward = world.forward(answers)
        world.reply(forward, position=Position(3, position))
        world.tick(1 / READS_PER_S)
    return refused


def test_lagging_replicas_are_tried_rarely() -> None:
    """Each refused read costs a round trip and delays the answer."""
    refused = run_reads(RelayWorld())
    # Two replicas, each tried again after 0.15, 0.3, 0.6 and then every 1.2 s.
    assert refused <= 2 * 9


def test_replica_that_caught_up_is_used_at_once() -> None:
    """A replica that has caught up must not be skipped any longer."""
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
