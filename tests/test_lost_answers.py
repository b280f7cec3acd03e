"""Load pattern: an endpoint runs statements, but some answers are lost."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import AnswerCode
from poplarspoke.relay.messages import Forward
from tests.relay_simulation import PRIMARY, RelaySimulation, find

OBJECTIVE_S = 0.2


def test_second_attempt_can_answer_within_the_objective() -> None:
    """A read whose answer was lost was sent again too late to meet it."""
    simulation = RelaySimulation()
    simulation.observe(Position(3, 7))
    simulation.start(1, 'bounded')
    losing = simulation.locate(simulation.forward(simulation.read(1)))
    outgoing = simulation.tick(OBJECTIVE_S / 2 + 0.05)
    second = simulation.forward(outgoing)
    assert simulation.locate(second) != losing
    assert simulation.answer(simulation.reply(second)).code is AnswerCode.DONE


def test_endpoint_that_loses_answers_gets_fewer_reads() -> None:
    """The average latency ignored lost answers, so the endpoint looked fast."""
    simulation = RelaySimulation()
    simulation.observe(Position(3, 7))
    simulation.start(1, 'bounded')
    first = simulation.forward(simulation.read(1))
    losing = simulation.locate(first)
    before_s = simulation.state['endpoints'][losing]['latency_s']
    outgoing = simulation.tick(OBJECTIVE_S / 2 + 0.05)
    assert simulation.locate(simulation.forward(outgoing)) != losing
    assert simulation.state['endpoints'][losing]['latency_s'] > before_s


def test_write_without_an_answer_is_not_sent_again() -> None:
    """It may have run, so sending it again could run it twice."""
    simulation = RelaySimulation()
    simulation.start(1, 'primary')
    first = simulation.forward(simulation.write(1))
    assert simulation.locate(first) == PRIMARY
    assert not find(simulation.tick(OBJECTIVE_S), Forward)
