"""Measures the cost of a daemon as a function of its cost drivers.

``python -m bench.capacity [WORD ...]`` runs all series, or those whose names
contain one of the words. Each series prints a table and writes JSON under
``out/capacity/``; docs/CAPACITY.md extrapolates the target from the slopes.
"""

import json
import pathlib
import sys

from bench import capacity_control, capacity_path
from bench.capacity_measure import Sample, Series, fit, measure

OUT_DIR = pathlib.Path('out/capacity')
COLUMNS = ('cpu_us', 'messages', 'sent_bytes', 'state_bytes')


def run(series: Series) -> None:
    """Measures a series, prints its table and writes its JSON."""
    samples = [measure(series, size) for size in series.sizes]
    print(f'{series.name}: figures per {series.unit}')
    for sample in samples:
        print(_format(series, sample))
    sizes = [float(one.size) for one in samples]
    slopes = {}
    for column in COLUMNS:
        figures = [float(getattr(one, column)) for one in samples]
        line = fit(sizes, figures)
        slopes[column] = line._asdict()
        print(
            f'  {column}: {line.base:.1f} + {line.slope:.4f} * '
            f'{series.driver}, worst residual {line.worst_residual:.0%}',
        )
    report = {
        'series': series.name,
        'driver': series.driver,
        'unit': series.unit,
        'samples': [one._asdict() for one in samples],
        'slopes': slopes,
    }
    name = series.name.replace(' ', '-')
    (OUT_DIR / f'{name}.json').write_text(json.dumps(report, indent=1))


def _format(series: Series, sample: Sample) -> str:
    return (
        f'  {sample.size:5} {series.driver}: {sample.cpu_us:11.1f} us '
        f'[{sample.cpu_low_us:.1f}, {sample.cpu_high_us:.1f}], '
        f'{sample.messages:8.1f} messages, {sample.sent_bytes:10.0f} bytes, '
        f'state {sample.state_bytes:10}'
    )


def main() -> None:
    """Runs the series whose names contain a word of the command line."""
    words = sys.argv[1:]
    OUT_DIR.mkdir(parents=True, exist_ok=True)
    for series in (*capacity_control.SERIES, *capacity_path.SERIES):
        if not words or any(word in series.name for word in words):
            run(series)


if __name__ == '__main__':
    main()
