"""Result codes and their documentation."""

from __future__ import annotations

from agatestile.results import codes
from tests import documents


def test_documentation_lists_each_code_with_its_number() -> None:
    """Guards against codes that operators cannot look up."""
    rows = documents.table_rows("result-codes.md", "| number | name |")
    assert [(int(row[0]), row[1]) for row in rows] == [
        (int(code), code.name) for code in codes.ResultCode
    ]
    assert all(row[2] for row in rows)
