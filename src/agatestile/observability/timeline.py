"""Collects the log lines of one request from the logs of all hosts."""

from __future__ import annotations

import typing

import msgspec

CONTEXT_SECONDS = 5.0
"""How long before a request state changes are included."""

REQUEST_EVENTS = frozenset(
    ("request_answered", "request_refused", "request_failed")
)

Line = dict[str, typing.Any]


def parse_line(text: str) -> Line | None:
    """Return the event of a log line, None if it contains none.

    Log collectors may prepend text to a line.
    """
    start = text.find('{"time"')
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:].encode())
    except msgspec.DecodeError:
        return None
    if not isinstance(line, dict) or not isinstance(line.get("time"), float):
        return None
    return line


def lines_of_request(
    request_id: str, texts: typing.Iterable[str]
) -> list[Line]:
    """Return the lines of a request and their context, ordered by time.

    The context is the state changes from `CONTEXT_SECONDS` before the first
    to the last of these lines that may have affected the request: those of
    a server that its lines name, moves of its key, and those of its host.
    """
    lines = [line for line in map(parse_line, texts) if line is not None]
    request_lines = [
        line for line in lines if line.get("request") == request_id
    ]
    if not request_lines:
        return []
    end = max(line["time"] for line in request_lines)
    start = min(line["time"] for line in request_lines) - CONTEXT_SECONDS
    context = [
        line
        for line in lines
        if start <= line["time"] <= end
        and line["event"] not in REQUEST_EVENTS
        and any(_may_affect(line, request) for request in request_lines)
    ]
    return sorted(request_lines + context, key=lambda line: line["time"])


def _may_affect(line: Line, request: Line) -> bool:
    event = line["event"]
    reason = str(request.get("reason", ""))
    mentioned = (line.get(role) for role in ("server", "source", "target"))
    servers = {str(name) for name in mentioned if name}
    if any(name in reason for name in servers):
        return True
    if request.get("server") in servers:
        return True
    if event == "keys_moved" and "key" in request:
        is_same_service = line.get("service") == request.get("service")
        return (
            is_same_service and line["first"] <= request["key"] <= line["last"]
        )
    is_same_host = line["host"] == request["host"]
    return is_same_host and event in (
        "configuration_in_force",
        "readiness",
        "start",
        "stopping",
        "dependency_lost",
        "dependency_regained",
        "evacuations",
    )
