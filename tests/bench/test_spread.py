"""Tests of tables of medians with their spread."""

from __future__ import annotations

import pytest

from bench import spread


def test_table_shows_median_and_spread_of_each_column() -> None:
    """Guards against figures that appear for a wrong seed or column."""
    columns = (spread.Column("p99, ms", 1), spread.Column("answered, %", 2))
    figures = {
        ("none", "agatestile"): [[9.0, 100.0], [3.26, 99.5], [4.0, 99.875]],
        ("none", "baseline"): [[7.0, 50.0]],
    }
    markdown = spread.table(columns, figures, ["case", "system"])
    assert markdown.splitlines() == [
        "| case | system | p99, ms | answered, % |",
        "|---|---|---|---|",
        "| none | agatestile | 4.0 (3.3-9.0) | 99.88 (99.50-100.00) |",
        "| none | baseline | 7.0 (7.0-7.0) | 50.00 (50.00-50.00) |",
    ]


def test_table_rejects_a_seed_without_all_figures() -> None:
    """Guards against a column that silently omits a seed."""
    columns = (spread.Column("a", 0), spread.Column("b", 0))
    with pytest.raises(ValueError):
        spread.table(columns, {("row",): [[1.0, 2.0], [3.0]]}, ["case"])
