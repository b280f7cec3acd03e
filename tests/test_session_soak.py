"""A short run of the randomized faults against real processes."""

from pathlib import Path

import pytest

from tests import session_soak

SHORT_S = 4


@pytest.mark.processes
@pytest.mark.parametrize('seed', [1, *session_soak.REGRESSIONS])
def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Guards what callers are promised while processes and links fail."""
    soak = session_soak.play(seed, tmp_path, seconds=SHORT_S, hosts=2)
    assert soak.found == []
    assert soak.answered
