"""Medians with their spread, and tables."""

from __future__ import annotations

import pytest

from bench import spread


def test_table_shows_median_and_spread_of_each_column() -> None:
    """Guards against figures of one seed or column in another's place."""
    columns = (spread.Column("p99, ms", 1), spread.Column("answered, %", 2))
    figures = {
        ("none", "agatestile"): [[9.0, 100.0], [3.26, 99.5], [4.0, 99.875]],
        ("none", "baseline"): [[7.0, 50.0]],
    }
    shown = spread.table(columns, figures, ["case", "system"])
    assert shown.splitlines() == [
        "| case | system | p99, ms | answered, % |",
        "|---|---|---|---|",
        "| none | agatestile | 4.0 (3.3-9.0) | 99.88 (99.50-100.00) |",
        "| none | baseline | 7.0 (7.0-7.0) | 50.00 (50.00-50.00) |",
    ]


def test_table_refuses_a_seed_without_all_figures() -> None:
    """Guards against a column that silently lacks a seed."""
    columns = (spread.Column("a", 0), spread.Column("b", 0))
    with pytest.raises(ValueError):
        spread.table(columns, {("row",): [[1.0, 2.0], [3.0]]}, ["case"])
