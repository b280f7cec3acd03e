"""Guards the capacity benches, which CI does not run, against breakage."""

import pytest

from bench import capacity_control, capacity_path
from bench.capacity_measure import Series, fit

SERIES = (*capacity_control.SERIES, *capacity_path.SERIES)


@pytest.mark.parametrize('series', SERIES, ids=lambda series: series.name)
def test_series_run(series: Series) -> None:
    """Guards against a workload that no longer fits its decision module."""
    assert len(series.sizes) >= 3
    run_round = series.build(min(series.sizes))[1]
    assert run_round().units > 0


def test_line_through_samples() -> None:
    """Guards against a fit that hides a sample far from the line."""
    line = fit((1, 2, 3), (12, 14, 16))
    assert (line.base, line.slope) == pytest.approx((10, 2))
    residual = fit((1, 2, 3), (10, 10, 40)).worst_residual
    assert residual == pytest.approx(1)
