"""Tests that headers of any content are parsed without errors."""

from __future__ import annotations

import math

import hypothesis
from hypothesis import strategies
import pytest

from agatestile.platform import headers
from agatestile.transport import messages

NAMES = strategies.sampled_from(
    [
        b"x-request-id",
        b"x-deadline-ms",
        b"x-target-instance",
        b"x-shard-key",
        b"x-api-key",
        b"x-tenant-id",
        b"x-upstream-load",
        b"x-upstream-signature",
        b"x-not-executed",
        b"server-leaving",
        b"x-upstream-instance",
        b"retry-after",
        b"server-limit",
    ]
)
NUMBERS = strategies.floats().map(lambda value: str(value).encode())
VALUES = strategies.one_of(
    strategies.binary(max_size=30),
    NUMBERS,
    strategies.lists(NUMBERS, max_size=5).map(b",".join),
)
HEADERS = strategies.lists(strategies.tuples(NAMES, VALUES), max_size=8)


@hypothesis.given(HEADERS)
def test_headers_of_a_caller_are_read_or_ignored(
    given: messages.Headers,
) -> None:
    facts = headers.PlatformHeaders().read_request(given)
    assert facts.key is None or 0 <= facts.key < 65536
    assert facts.time_left is None or 0 <= facts.time_left < math.inf


@hypothesis.given(strategies.integers(100, 599), HEADERS)
def test_headers_of_a_server_are_read_or_ignored(
    status: int, given: messages.Headers
) -> None:
    response = messages.Response(status, given, b"")
    facts = headers.PlatformHeaders().read_response(response)
    if facts.report is not None:
        assert facts.report.running >= 0 and facts.report.waiting >= 0
        assert 0.0 <= facts.report.slowdown < math.inf
    assert facts.pause is None or 0 <= facts.pause < math.inf


@pytest.mark.parametrize(
    "value", [b"nan,0,2", b"1,inf,2", b"0,0,-1e400", b"1,2,3,nan", b"-5,0,2"]
)
def test_invalid_load_report_is_ignored(value: bytes) -> None:
    """Guards against requests that fail on a server's invalid report."""
    response = messages.Response(200, [(b"x-upstream-load", value)], b"")
    assert headers.PlatformHeaders().read_response(response).report is None


@pytest.mark.parametrize(
    ("value", "is_leaving"), [(b"1", True), (b"0", False)]
)
def test_leaving_server_is_recognised(value: bytes, is_leaving: bool) -> None:
    response = messages.Response(200, [(b"server-leaving", value)], b"")
    facts = headers.PlatformHeaders().read_response(response)
    assert facts.is_leaving is is_leaving


@pytest.mark.parametrize(
    ("status", "value", "pause"),
    [
        (503, b"1.5", 1.5),
        (503, b"soon", None),
        (503, b"-1", None),
        (429, b"1.5", None),
    ],
)
def test_pause_is_read_from_a_503_only(
    status: int, value: bytes, pause: float | None
) -> None:
    response = messages.Response(status, [(b"retry-after", value)], b"")
    assert headers.PlatformHeaders().read_response(response).pause == pause


@pytest.mark.parametrize(
    ("value", "rate"), [(b"2.6", 2.6), (b"0", 0.0), (b"nan", None)]
)
def test_rate_limit_is_a_decimal_number(
    value: bytes, rate: float | None
) -> None:
    response = messages.Response(503, [(b"server-limit", value)], b"")
    assert headers.PlatformHeaders().read_response(response).rate_limit == rate


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1500", 1.5), (b"0", 0.0), (b"soon", None), (b"9e8", None)],
)
def test_warmup_is_read_in_milliseconds(
    value: bytes, seconds: float | None
) -> None:
    """Guards against a server that never counts as warm again."""
    response = messages.Response(200, [(b"x-warmup-ms", value)], b"")
    parsed = headers.PlatformHeaders().read_response(response)
    assert parsed.warmup_left == seconds
