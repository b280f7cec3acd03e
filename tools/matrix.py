"""Writes docs/fault-matrix.md from a run of the fault matrix.

``python -m tools.matrix`` runs all cells and writes the page; with ``--check``
it compares the page with the run and fails if they differ.
"""

import pathlib
import sys
from collections import Counter
from collections.abc import Iterable, Sequence

from tests import conftest, fault_matrix
from tests.fault_matrix import BROKEN, HOLDS, NOT_APPLICABLE, Cell, Verdict

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs/fault-matrix.md'
SYMBOLS = {HOLDS: 'holds', NOT_APPLICABLE: 'n/a', BROKEN: '**broken**'}
HEAD = """# Fault matrix

Written by `python -m tools.matrix` from a run; `--check` compares. A cell runs
the decision code of several hosts on a virtual clock with small fakes, injects
its fault when the work reaches the step, lets the system go on, ends the fault,
and then checks the requirements of the work (R1 to R14 of `design.md`). Each
cell is a test in `tests/test_fault_matrix.py`.

`holds`: no requirement was seen broken, and the group served again afterwards.
It is no proof: a cell is one run with one order of messages. `n/a`: the reason
is given below. No real process, socket or clock takes part.
"""

Verdicts = dict[Cell, Verdict]


def run_cells(cells: Iterable[Cell]) -> Verdicts:
    """Runs the cells in sequence and returns their verdicts."""
    return {cell: fault_matrix.run_cell(cell) for cell in cells}


def render_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    rule = ['---' for _ in head]
    lines = [f'| {" | ".join(row)} |' for row in (head, rule, *rows)]
    return '\n'.join(lines)


def describe_faults() -> str:
    """Returns the table that explains the columns."""
    rows = [(f'`{name}`', text) for name, text in fault_matrix.FAULTS.items()]
    return render_table(('Column', 'Fault'), rows)


def describe_kind(name: str, verdicts: Verdicts) -> str:
    """Returns the section of a kind of work with one fault per cell."""
    kind = fault_matrix.KINDS[name]
    rows: list[list[str]] = []
    for step in kind.steps:
        row = [step]
        for fault in fault_matrix.FAULTS:
            verdict = verdicts[Cell(name, step, (fault,))]
            row.append(SYMBOLS[verdict.verdict])
        rows.append(row)
    parts = [
        f'## {name.capitalize()}',
        f'Requirements: {", ".join(kind.codes)}.',
        render_table(('Step', *fault_matrix.FAULTS), rows),
    ]
    parts.extend(
        f'`{fault}` does not apply: {reason}.'
        for fault, reason in kind.area.reasons.items()
    )
    return '\n\n'.join(parts)


def describe_pairs(verdicts: Verdicts) -> str:
    """Returns the section of the cells with two faults."""
    counts: dict[str, Counter[str]] = {}
    for cell, verdict in verdicts.items():
        counts.setdefault(cell.kind, Counter())[verdict.verdict] += 1
    rows = [
        (name, str(counted[HOLDS]), str(counted[BROKEN]))
        for name, counted in sorted(counts.items())
    ]
    broken = [
        f'- `{cell.name}`: {verdict.detail}'
        for cell, verdict in verdicts.items()
        if verdict.verdict == BROKEN
    ]
    parts = [
        '## Two faults',
        f'A sample of {len(verdicts)} cells (seed {fault_matrix.SEED}): a '
        'fault twice or two faults, the second after 0 to 2.5 s; kinds of '
        'work and pairs are shuffled, steps and delays drawn.',
        render_table(('Work', 'holds', 'broken'), rows),
    ]
    if broken:
        parts.append('\n'.join(broken))
    return '\n\n'.join(parts)


def render_page() -> str:
    """Runs the matrix and returns the page."""
    singles = run_cells(fault_matrix.list_single_cells())
    pairs = run_cells(fault_matrix.list_pair_cells())
    total = Counter(
        verdict.verdict for verdict in (*singles.values(), *pairs.values())
    )
    known = [f'- {entry}' for entry in conftest.read_known_red().values()]
    parts = [
        HEAD.strip(),
        f'{total[HOLDS]} cells hold, {total[BROKEN]} are broken, '
        f'{total[NOT_APPLICABLE]} do not apply.',
        describe_faults(),
        *(describe_kind(name, singles) for name in fault_matrix.KINDS),
        describe_pairs(pairs),
    ]
    if known:
        parts.append('## Known faults\n\nFrom `KNOWN-RED.txt`:')
        parts.append('\n'.join(known))
    return '\n\n'.join((*parts, ''))[:-1]


def main(arguments: list[str]) -> int:
    """Writes or checks the page; returns the exit status."""
    page = render_page()
    if '--check' not in arguments:
        PAGE.write_text(page)
        return 0
    if PAGE.exists() and PAGE.read_text() == page:
        return 0
    print('matrix: docs/fault-matrix.md differs from the run; write it again')
    return 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
