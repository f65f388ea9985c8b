"""Checks of the invariants on recorded requests."""

from __future__ import annotations

import pytest

from bench import load
from bench import verdict

RULES = {"price": "always", "ledger": "never", "photo": "safe"}


def _record(
    number: str,
    service: str = "ledger",
    method: str = "POST",
    code: int = 0,
    start: float = 0.0,
    **more: object,
) -> load.Record:
    request = load.Request(
        start, number, service, "p1", method, b"", 0, 1.0, load.PROBE
    )
    run = "run" if code == 0 else "not-run"
    record = load.Record(
        request, start + 0.1, 200, code, run, "s1", "e1", 1, "", ""
    )
    return record._replace(**more)


def _broken(
    records: list[load.Record],
    executions: dict[str, int],
    offered: int = 2,
    violations: dict[str, int] | None = {},
) -> list[str]:
    server = verdict.ServerReport("s1", 2, 1, offered, {}, executions)
    checks = verdict.check(records, [server], {"e1": violations}, RULES)
    return [check.name for check in checks if check.broken]


def test_nothing_is_broken_by_a_sound_run() -> None:
    """Guards against a demo that always fails."""
    records = [_record("a"), _record("b", "price"), _record("c", code=204)]
    assert _broken(records, {"a": 1, "b": 2}) == []


@pytest.mark.parametrize(
    ("service", "method", "broken"),
    [
        ("ledger", "GET", True),
        ("photo", "PUT", True),
        ("photo", "GET", False),
        ("price", "POST", False),
    ],
)
def test_second_execution_is_noticed(
    service: str, method: str, broken: bool
) -> None:
    """Guards against a duplicate that the table forbids."""
    found = _broken([_record("a", service, method)], {"a": 2})
    assert bool(found) is broken


def test_each_other_fault_is_noticed() -> None:
    """Guards against a check that never fails."""
    assert _broken([_record("a", code=204)], {"a": 1})
    assert _broken([_record("a", wrong="id is 'b'")], {"a": 1})
    assert _broken([], {}, offered=3)
    assert _broken([], {}, violations={"one owner": 1})
    assert _broken([], {}, violations=None)


def test_unavailable_time_spans_the_failed_requests() -> None:
    """Guards against a gap that ends at the last failure."""
    records = [
        _record("a", start=1.0),
        _record("b", start=1.2, code=201),
        _record("c", start=2.0, code=-1, failure="timeout"),
        _record("d", start=3.0),
        _record("e", start=4.0),
    ]
    gaps = verdict.unavailable_times(records)
    assert gaps == {("ledger", "p1"): pytest.approx(1.9)}
