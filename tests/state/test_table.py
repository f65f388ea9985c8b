"""CSV sheets of the services table: export, import, invalid cells."""

from __future__ import annotations

import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import table
from tests.state import helpers


def test_exported_sheet_is_imported_unchanged() -> None:
    """Guards against an exported table that differs when it is applied."""
    rows = helpers.rows()
    assert helpers.rows(table.to_csv(rows)) == rows


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        (
            "server,prices,p1",
            "server,price,p1",
            "row 4, column service: found 'price', "
            "expected the name of a service row",
        ),
        ("9001,2", "9001,two", "row 4, column slots: found 'two'"),
        ("9001,2", "9001,0", "row 4, column slots: found 0"),
        ("127.0.0.1:9003", "db.example:9003", "row 6, column address"),
        ("127.0.0.1:9003", "127.0.0.1:9001", "a unique address"),
        ("prices,p2", "prices,p1", "row 5, column server: found 'p1'"),
        ("500,move", "500,away", "expected stay or move"),
        ("timeout_ms", "timeout", "column timeout: found 'timeout'"),
        ("500,move", ",move", "row 3, column timeout_ms: found 0"),
        ("9001,2,130,,", "9001,2,130,9,", "nothing in a server row"),
        ("9001,2,130,,", "9001,2,130,", "found 8 cells"),
    ],
)
def test_invalid_cell_is_named(old: str, new: str, reason: str) -> None:
    """Guards against a refusal that does not name the invalid cell."""
    assert old in helpers.CSV
    result = table.from_csv(helpers.CSV.replace(old, new, 1))
    assert isinstance(result, outcomes.Refusal)
    assert result.code is codes.ResultCode.TABLE_INVALID
    assert reason in result.reason
