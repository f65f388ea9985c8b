"""Log lines of a request and their context."""

from __future__ import annotations

import json

from agatestile.observability import timeline


def _line(time: float, host: str, event: str, **fields: object) -> str:
    line = {"time": time, "host": host, "event": event, **fields}
    return "collector: " + json.dumps(line, separators=(",", ":"))


LOGS = [
    _line(9.0, "c", "server_silent", server="s1", reason="no answer"),
    _line(
        9.5,
        "c",
        "keys_moved",
        service="p",
        first=0,
        last=9,
        source="s1",
        target="s2",
    ),
    _line(9.6, "c", "keys_moved", service="p", first=10, last=19),
    _line(9.9, "a", "request_answered", request="other", key=5),
    _line(
        10.0,
        "a",
        "request_refused",
        request="id",
        service="p",
        key=5,
        reason="owner s1 of key 5 does not answer",
    ),
    _line(11.0, "c", "server_silent", server="s1", reason="later"),
    "not a line",
    '{"time": broken',
]


def test_request_lines_include_their_context() -> None:
    """Guards against a trace without the cause, or with unrelated lines."""
    lines = timeline.lines_of_request("id", reversed(LOGS))
    assert [line["event"] for line in lines] == [
        "server_silent",
        "keys_moved",
        "request_refused",
    ]


def test_unknown_request_has_no_lines() -> None:
    assert timeline.lines_of_request("nobody", LOGS) == []
