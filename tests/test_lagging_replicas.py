"""Load pattern: replicas lag for seconds and refuse the reads of all hosts."""

from poplarspoke.generated.common import Position
from poplarspoke.generated.relay import AnswerCode
from tests.relay_simulation import PRIMARY, RelaySimulation

READS_PER_S = 50
LAG_S = 6


def run_reads(simulation: RelaySimulation) -> int:
    """Runs reads while all replicas lag; returns how many were refused."""
    refused = 0
    position = 100
    for number in range(LAG_S * READS_PER_S):
        simulation.grant_lease(PRIMARY)
        session = number + 1
        position += 1
        simulation.observe_position(Position(3, position))
        simulation.start_session(session, 'bounded')
        forward = simulation.get_forward(simulation.send_read(session))
        while simulation.get_endpoint(forward) != PRIMARY:
            refused += 1
            lagging = Position(3, 7)
            answers = simulation.reply(
                forward, AnswerCode.LAGGING, position=lagging
            )
            forward = simulation.get_forward(answers)
        simulation.reply(forward, position=Position(3, position))
        simulation.advance(1 / READS_PER_S)
    return refused


def test_lagging_replicas_are_tried_rarely() -> None:
    """Each refused read costs a round trip and delays the answer."""
    refused = run_reads(RelaySimulation())
    # Two replicas, each tried again after 0.15, 0.3, 0.6 and then every 1.2 s.
    assert refused <= 2 * 9


def test_replica_that_caught_up_is_used_at_once() -> None:
    """A replica that has caught up must not be skipped any longer."""
    simulation = RelaySimulation()
    simulation.observe_position(Position(3, 7))
    simulation.start_session(1, 'bounded')
    first = simulation.get_forward(simulation.send_read(1))
    replica = simulation.get_endpoint(first)
    simulation.reply(first, AnswerCode.LAGGING, position=Position(3, 6))
    simulation.state['endpoints'][replica]['position'] = Position(3, 9)
    for name in simulation.state['endpoints']:
        if name not in {replica, PRIMARY}:
            simulation.state['endpoints'][name]['lagging_until_s'] = (
                simulation.now_s + 9
            )
    simulation.start_session(2, 'bounded')
    assert (
        simulation.get_endpoint(simulation.get_forward(simulation.send_read(2)))
        == replica
    )
