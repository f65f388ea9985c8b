"""Structured log of events."""

from __future__ import annotations

import json
import os

from agatestile.observability import events


def _read(descriptor: int) -> list[dict[str, object]]:
    return [
        json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()
    ]


def test_line_has_time_host_event_and_fields() -> None:
    reader, writer = os.pipe()
    log = events.EventLog(writer, "host-1", lambda: 5.0)
    log.emit("request_refused", {"request": "id", "code": 217})
    log.flush()
    assert _read(reader) == [
        {
            "time": 5.0,
            "host": "host-1",
            "event": "request_refused",
            "request": "id",
            "code": 217,
        }
    ]


def test_volume_is_bounded_and_omitted_lines_are_counted() -> None:
    """Guards against a log volume that grows with the load."""
    reader, writer = os.pipe()
    now = [5.0]
    log = events.EventLog(writer, "host-1", lambda: now[0])
    for _ in range(events.LINES_PER_SECOND + 30):
        log.emit("request_answered", {})
    now[0] = 6.0
    log.emit("request_answered", {})
    log.flush()
    lines = _read(reader)
    assert len(lines) == events.LINES_PER_SECOND + 1
    assert lines[-1]["left_out"] == 30


def test_stalled_reader_drops_lines_without_blocking() -> None:
    """Guards against an event loop that blocks on a full pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, True)
    now = [0.0]
    log = events.EventLog(writer, "host-1", lambda: now[0])
    for second in range(100):
        now[0] = float(second)
        for _ in range(100):
            log.emit("request_answered", {"reason": "x" * 100})
    log.flush()
    assert len(os.read(reader, 1 << 20)) <= 1 << 16


def test_control_characters_do_not_split_a_line() -> None:
    """Guards against keys with line breaks that forge log lines."""
    reader, writer = os.pipe()
    log = events.EventLog(writer, "host-1", lambda: 5.0)
    log.emit("request_refused", {"reason": "a\nb\x00"})
    log.flush()
    assert _read(reader)[0]["reason"] == "a\nb\x00"
