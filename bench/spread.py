"""Markdown tables of medians over seeds, with lowest and highest value."""

from __future__ import annotations

import statistics
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


class Column(typing.NamedTuple):
    """A column of a table, with the number of decimals to show."""

    title: str
    digits: int


def cell(values: Sequence[float], digits: int) -> str:
    """Return the median with the lowest and highest in parentheses."""
    median = statistics.median(values)
    return (
        f"{median:.{digits}f}"
        f" ({min(values):.{digits}f}-{max(values):.{digits}f})"
    )


def table(
    columns: Sequence[Column],
    figures_by_row: Mapping[tuple[str, ...], Sequence[Sequence[float]]],
    labels: Sequence[str],
) -> str:
    """Return a Markdown table.

    Parameters
    ----------
    columns : sequence of Column
        Columns of the figures, in the order of the figures of a seed.
    figures_by_row : mapping
        One sequence of figures per seed, by the cells that name a row.
    labels : sequence of str
        Titles of the columns that name a row.

    Raises
    ------
    ValueError
        If a seed has no figure for a column.
    """
    titles = [*labels, *(column.title for column in columns)]
    lines = [f"| {' | '.join(titles)} |", "|---" * len(titles) + "|"]
    for row, by_seed in figures_by_row.items():
        cells = list(row)
        by_column = zip(*by_seed, strict=True)
        for column, values in zip(columns, by_column, strict=True):
            cells.append(cell(values, column.digits))
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)
