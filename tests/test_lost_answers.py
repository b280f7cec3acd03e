"""Load pattern: an endpoint runs statements, but some answers are lost."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import AnswerCode
from poplarspoke.relay.messages import Forward
from tests.relay_simulation import PRIMARY, RelaySimulation, find_messages

OBJECTIVE_S = 0.2


def test_second_attempt_can_answer_within_the_objective() -> None:
    """A read whose answer was lost was sent again too late to meet it."""
    simulation = RelaySimulation()
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'bounded')
    losing = simulation.get_endpoint(
        simulation.get_forward(simulation.send_read(1))
    )
    outgoing = simulation.advance(OBJECTIVE_S / 2 + 0.05)
    second = simulation.get_forward(outgoing)
    assert simulation.get_endpoint(second) != losing
    assert (
        simulation.get_answer(simulation.reply(second)).code is AnswerCode.DONE
    )


def test_endpoint_that_loses_answers_gets_fewer_reads() -> None:
    """The average latency ignored lost answers, so the endpoint looked fast."""
    simulation = RelaySimulation()
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'bounded')
    first = simulation.get_forward(simulation.send_read(1))
    losing = simulation.get_endpoint(first)
    before_s = simulation.state['endpoints'][losing]['latency_s']
    outgoing = simulation.advance(OBJECTIVE_S / 2 + 0.05)
    assert simulation.get_endpoint(simulation.get_forward(outgoing)) != losing
    assert simulation.state['endpoints'][losing]['latency_s'] > before_s


def test_write_without_an_answer_is_not_sent_again() -> None:
    """It may have run, so sending it again could run it twice."""
    simulation = RelaySimulation()
    simulation.start_session(1, 'primary')
    first = simulation.get_forward(simulation.send_write(1))
    assert simulation.get_endpoint(first) == PRIMARY
    assert not find_messages(simulation.advance(OBJECTIVE_S), Forward)
