"""Runs all cells of the fault matrix, which guard the requirements."""

import pytest

from tests import fault_matrix
from tests.fault_matrix import Cell


@pytest.mark.parametrize(
    'cell',
    [*fault_matrix.list_single_cells(), *fault_matrix.list_pair_cells()],
    ids=lambda cell: cell.name.replace(' ', '-'),
)
def test_cell(cell: Cell) -> None:
    """Guards against a fault that breaks a requirement of the work."""
    verdict = fault_matrix.run_cell(cell)
    assert verdict.verdict != fault_matrix.BROKEN, verdict.detail
    if verdict.verdict == fault_matrix.NOT_APPLICABLE:
        assert verdict.detail


def test_every_fault_of_the_design_is_a_column() -> None:
    """Guards against a fault that an area drops without a reason."""
    for kind in fault_matrix.KINDS.values():
        known = {*kind.area.faults, *kind.area.reasons}
        assert known == set(fault_matrix.FAULTS)
