"""Longer randomized runs, started by ``make soak`` and not by CI.

Every state machine of the tests runs with more examples and with the seed from
the environment variable SEED, which also draws a sample of the fault matrix.
The variable EXAMPLES sets the number of examples of each state machine.
"""

import os

import hypothesis
import pytest
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

from tests import (
    fault_matrix,
    test_failover,
    test_queues,
    test_rates,
    test_request_path,
    test_sessions,
    test_transactions,
)

SEED = int(os.environ.get('SEED', '0'))
EXAMPLES = int(os.environ.get('EXAMPLES', '300'))
STEPS = 60
CELLS = 2 * EXAMPLES
STATE_MACHINES: tuple[type[RuleBasedStateMachine], ...] = (
    test_failover.FailoverMachine,
    test_queues.QueueMachine,
    test_rates.RatesMachine,
    test_request_path.RequestMachine,
    test_sessions.FailoverMachine,
    test_transactions.PoolMachine,
)


@pytest.fixture(autouse=True)
def _show_seed(capsys: pytest.CaptureFixture[str]) -> None:
    """Prints the seed, so that a failed run can be repeated."""
    with capsys.disabled():
        print(f'\nSEED={SEED} EXAMPLES={EXAMPLES}')  # noqa: WPS421


@pytest.mark.parametrize(
    'machine',
    STATE_MACHINES,
    ids=lambda machine: f'{machine.__module__}.{machine.__name__}',
)
def test_machine(machine: type[RuleBasedStateMachine]) -> None:
    """Guards the invariants of a state machine in orders CI does not run."""
    soak_settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=False,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(SEED)(machine)
    run_state_machine_as_test(seeded, settings=soak_settings)


def test_matrix_sample() -> None:
    """Guards the requirements under pairs of faults CI does not draw."""
    broken = []
    for cell in fault_matrix.draw_pair_cells(SEED, CELLS):
        verdict = fault_matrix.run_cell(cell)
        if verdict.verdict == fault_matrix.BROKEN:
            broken.append(f'{cell.name}: {verdict.detail}')
    assert not broken, '\n'.join(broken)
