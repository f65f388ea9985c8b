"""Tests the HTTP requests of the admin interface."""

from __future__ import annotations

import collections.abc
import json

import httpcore
import pytest

from agatestile.admin import application
from tests.admin import support


@pytest.fixture(scope="module")
def address() -> collections.abc.Iterator[str]:
    with support.serve(support.OperationsHarness().with_table()) as address:
        yield address


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "name"),
    [
        ("GET", "nowhere", b"", 400, "BAD_REQUEST"),
        ("GET", "explain?service=prices", b"", 400, "BAD_REQUEST"),
        ("GET", "explain?service=no&key=k", b"", 404, "UNKNOWN_SERVICE"),
        ("GET", "confirmations?offset=x", b"", 400, "BAD_REQUEST"),
        ("GET", "status?%ff=%ff", b"", 200, None),
        ("PUT", "table?base=0", b"", 405, "METHOD_NOT_ALLOWED"),
        ("POST", "table", b"", 400, "BAD_REQUEST"),
        ("POST", "table?base=0", b"\xff", 400, "BAD_REQUEST"),
        ("POST", "table?base=0", b"kinds", 400, "TABLE_INVALID"),
        (
            "POST",
            "table?base=5",
            support.TABLE_CSV.encode(),
            409,
            "TABLE_CONFLICT",
        ),
        ("POST", "domains/none?state=out", b"", 404, "NAME_UNKNOWN"),
        ("POST", "domains/radom?state=off", b"", 400, "BAD_REQUEST"),
        ("POST", "hosts/entry-1?state=gone", b"", 400, "BAD_REQUEST"),
        (
            "POST",
            "table?base=0",
            bytes(application.MAX_BODY_BYTES + 1),
            413,
            "BODY_TOO_LARGE",
        ),
    ],
)
def test_bad_request_is_refused_with_code_and_reason(
    address: str,
    method: str,
    path: str,
    body: bytes,
    status: int,
    name: str | None,
) -> None:
    """Guards against errors that are answered with status 500 and no code."""
    response = httpcore.request(
        method, f"http://{address}/{path}", content=body
    )
    content = json.loads(response.content)
    assert response.status == status
    assert content.get("name") == name
    if name is not None:
        assert content["reason"]
        assert content["version"] == 0


@pytest.mark.parametrize(
    ("state", "status"), [("active", 200), ("leaving", 503)]
)
def test_leaving_host_is_not_ready_for_the_balancer(
    state: str, status: int
) -> None:
    """Guards against a balancer that sends requests to a leaving host."""
    harness = support.OperationsHarness().with_table()
    with support.serve(harness) as address:
        httpcore.request(
            "POST", f"http://{address}/hosts/entry-1?state={state}"
        )
        response = httpcore.request("GET", f"http://{address}/ready")
    assert response.status == status
