"""Load pattern: a saturated endpoint refuses statements of many hosts."""

from poplarspoke.generated.relay import AnswerCode
from poplarspoke.relay.messages import Forward
from tests.relay_simulation import RelaySimulation, find_messages

OBJECTIVE_S = 0.2
STEP_S = 0.025


def test_refused_statement_backs_off() -> None:
    """Each host sent each waiting statement again with every tick."""
    simulation = RelaySimulation()
    simulation.start_session(1, 'primary')
    forwards = [simulation.get_forward(simulation.send_write(1))]
    attempts = 0
    waited_s = float(0)
    while waited_s < OBJECTIVE_S:
        for forward in forwards:
            attempts += 1
            simulation.reply(forward, AnswerCode.BUSY)
        forwards = find_messages(simulation.advance(STEP_S), Forward)
        waited_s += STEP_S
    assert 2 <= attempts <= 5
