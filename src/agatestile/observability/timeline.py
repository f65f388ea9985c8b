"""Joins the lines that concern one request, from the logs of all hosts."""

from __future__ import annotations

import typing

import msgspec

CONTEXT_SECONDS = 5.0
"""How long before a request changes of belief are shown."""

ABOUT_REQUESTS = frozenset(
    ("request_answered", "request_refused", "request_failed")
)

Line = dict[str, typing.Any]


def parse(text: str) -> Line | None:
    """Return the event of a line, None if it holds none.

    Log collectors put their own words before a line.
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
    """Return the lines of a request and what explains them, in order.

    Changes of belief count if they name the server, or hold the key, that
    decided, and came shortly before.
    """
    lines = [line for line in map(parse, texts) if line is not None]
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return []
    end = max(line["time"] for line in own)
    start = min(line["time"] for line in own) - CONTEXT_SECONDS
    context = [
        line
        for line in lines
        if start <= line["time"] <= end
        and line["event"] not in ABOUT_REQUESTS
        and any(_concerns(line, one) for one in own)
    ]
    return sorted(own + context, key=lambda line: line["time"])


def _concerns(line: Line, request: Line) -> bool:
    event = line["event"]
    reason = str(request.get("reason", ""))
    named = (line.get(role) for role in ("server", "source", "target"))
    servers = {str(name) for name in named if name}
    if any(name in reason for name in servers):
        return True
    if request.get("server") in servers:
        return True
    if event == "keys_moved" and "key" in request:
        is_same = line.get("service") == request.get("service")
        return is_same and line["first"] <= request["key"] <= line["last"]
    is_local = line["host"] == request["host"]
    return is_local and event in (
        "configuration_in_force",
        "readiness",
        "start",
        "stopping",
        "dependency_lost",
        "dependency_regained",
        "evacuations",
    )
