"""Load pattern: an endpoint runs statements, but some answers are lost."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import AnswerCode
from poplarspoke.relay.messages import Forward
from tests.relay_world import PRIMARY, RelayWorld, find

OBJECTIVE_S = 0.2


def test_second_attempt_can_answer_within_the_objective() -> None:
    """A read whose answer was lost was sent again too late to meet it."""
    world = RelayWorld()
    world.observe(Position(3, 7))
    world.start(1, 'bounded')
    losing = world.locate(world.forward(world.read(1)))
    outgoing = world.tick(OBJECTIVE_S / 2 + 0.05)
    second = world.forward(outgoing)
    assert world.locate(second) != losing
    assert world.answer(world.reply(second)).code is AnswerCode.DONE


def test_endpoint_that_loses_answers_gets_fewer_reads() -> None:
    """The average latency ignored lost answers, so the endpoint looked fast."""
    world = RelayWorld()
    world.observe(Position(3, 7))
    world.start(1, 'bounded')
    first = world.forward(world.read(1))
    losing = world.locate(first)
    before_s = world.state['endpoints'][losing]['latency_s']
    outgoing = world.tick(OBJECTIVE_S / 2 + 0.05)
    assert world.locate(world.forward(outgoing)) != losing
    assert world.state['endpoints'][losing]['latency_s'] > before_s


def test_write_without_an_answer_is_not_sent_again() -> None:
    """It may have run, so sending it again could run it twice."""
    world = RelayWorld()
    world.start(1, 'primary')
    first = world.forward(world.write(1))
    assert world.locate(first) == PRIMARY
    assert not find(world.tick(OBJECTIVE_S), Forward)
