"""Result codes and their documentation."""

from __future__ import annotations

import pytest

from agatestile.entry import refusals
from agatestile.gateway import responses
from agatestile.results import codes
from tests import documents


def test_documentation_lists_each_code_with_its_number() -> None:
    """Guards against codes that operators cannot look up."""
    rows = documents.table_rows("result-codes.md", "| number | name |")
    assert [(int(row[0]), row[1]) for row in rows] == [
        (int(code), code.name) for code in codes.ResultCode
    ]
    assert all(row[2] for row in rows)


@pytest.mark.parametrize("code", codes.ResultCode)
def test_status_of_a_request_that_may_have_run_guarantees_nothing(
    code: codes.ResultCode,
) -> None:
    """Guards against a 408, 429 or 503 for a request that may have run."""
    if not codes.did_not_run(code):
        statuses = (
            refusals.STATUS_BY_CODE.get(code),
            responses.status_of(code),
        )
        assert not refusals.NOT_RUN_STATUSES.intersection(statuses)
