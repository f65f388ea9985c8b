"""Tests of the checks of invariants on recorded requests."""

from __future__ import annotations

import pytest

from bench import load
from bench import verdict

REPEATABLE_BY_SERVICE = {"price": "always", "ledger": "never", "photo": "safe"}


def _record(
    number: str,
    service: str = "ledger",
    method: str = "POST",
    code: int = 0,
    start: float = 0.0,
    **changes: object,
) -> load.Record:
    request = load.Request(
        start, number, service, "p1", method, b"", 0, 1.0, load.PROBE
    )
    run = "run" if code == 0 else "not-run"
    record = load.Record(
        request, start + 0.1, 200, code, run, "s1", "e1", 1, "", ""
    )
    return record._replace(**changes)


def _failed_checks(
    records: list[load.Record],
    executions: dict[str, int],
    offered: int = 2,
    violations: dict[str, int] | None = {},
) -> list[str]:
    server = verdict.ServerReport("s1", 2, 1, offered, {}, executions)
    checks = verdict.check(
        records, [server], {"e1": violations}, REPEATABLE_BY_SERVICE
    )
    return [check.name for check in checks if check.broken]


def test_valid_records_pass_all_checks() -> None:
    """Guards against checks that report valid requests as violations."""
    records = [_record("a"), _record("b", "price"), _record("c", code=204)]
    assert _failed_checks(records, {"a": 1, "b": 2}) == []


@pytest.mark.parametrize(
    ("service", "method", "broken"),
    [
        ("ledger", "GET", True),
        ("photo", "PUT", True),
        ("photo", "GET", False),
        ("price", "POST", False),
    ],
)
def test_forbidden_second_execution_is_reported(
    service: str, method: str, broken: bool
) -> None:
    """Guards against a missed duplicate execution.

    The services table says which requests may be executed twice.
    """
    failed = _failed_checks([_record("a", service, method)], {"a": 2})
    assert bool(failed) is broken


def test_every_other_violation_is_reported() -> None:
    """Guards against checks that never fail.

    A refused request that was executed, a wrong response, an overloaded
    server, and violations or a missing status of a daemon are reported.
    """
    assert _failed_checks([_record("a", code=204)], {"a": 1})
    assert _failed_checks([_record("a", wrong="id is 'b'")], {"a": 1})
    assert _failed_checks([], {}, offered=3)
    assert _failed_checks([], {}, violations={"one owner": 1})
    assert _failed_checks([], {}, violations=None)


def test_unavailable_time_spans_the_failed_requests() -> None:
    """Guards against an unavailable time that ends at the last failure.

    The key is available again at the end of the next answered request.
    """
    records = [
        _record("a", start=1.0),
        _record("b", start=1.2, code=201),
        _record("c", start=2.0, code=-1, failure="timeout"),
        _record("d", start=3.0),
        _record("e", start=4.0),
    ]
    times = verdict.unavailable_times(records)
    assert times == {("ledger", "p1"): pytest.approx(1.9)}
