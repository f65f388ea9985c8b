"""Structured log of decisions and state changes.

Each line is a JSON object. The volume is bounded: each kind of event has a
budget of lines per second, and the next line of that kind has the number of
lines left out. Writing never blocks on the reader of the output.
"""

from __future__ import annotations

import os
import select
import time
import typing

import msgspec

LINES_PER_SECOND = 200
"""Lines per second of one kind; a line takes about 20 microseconds."""

FAILURE_LINES_PER_SECOND = 400
"""The same for failures, which have priority over other events."""

BUFFER_BYTES = 256 * 1024
"""Bytes buffered for a slow reader before further lines are dropped."""

FLUSH_BYTES = 4096
"""Buffered size from which lines are written; a pipe that polls as writable
accepts this many bytes without blocking."""

_FAILURE_KINDS = frozenset(("request_failed", "request_refused", "error"))


class EventLog:
    """Writes events to a file descriptor.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    host : str
        Name of the host, written in each line.
    wall_clock : callable
        Returns the Unix time, seconds.
    """

    def __init__(
        self,
        descriptor: int = 1,
        host: str = "",
        wall_clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self._descriptor = descriptor
        self._host = host
        self._wall_clock = wall_clock
        self._encoder = msgspec.json.Encoder()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: list[bytes] = []
        self._size = 0
        self._second = 0
        self._count_by_kind: dict[str, int] = {}
        self._left_out_by_kind: dict[str, int] = {}

    def emit(self, kind: str, fields: dict[str, object]) -> None:
        """Buffer a line unless the budget of its kind is exhausted."""
        now = self._wall_clock()
        if not self._take_from_budget(kind, now):
            return
        line: dict[str, object] = {
            "time": round(now, 4),
            "host": self._host,
            "event": kind,
            **fields,
        }
        left_out = self._left_out_by_kind.pop(kind, 0)
        if left_out:
            line["left_out"] = left_out
        try:
            text = self._encoder.encode(line)
        except (TypeError, UnicodeEncodeError) as error:
            text = self._encoder.encode(
                {"event": "error", "reason": f"event {kind}: {error}"}
            )
        if self._size + len(text) > BUFFER_BYTES:
            self._count_left_out(kind)
            return
        self._lines.append(text)
        self._size += len(text) + 1
        if self._size >= FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        if not self._lines:
            return
        data = b"\n".join(self._lines) + b"\n"
        self._lines.clear()
        self._size = 0
        view = memoryview(data)
        try:
            while view and self._poll.poll(0):
                written = os.write(self._descriptor, view[:FLUSH_BYTES])
                view = view[written:]
        except OSError:
            # The reader has closed the output.
            return
        if view:
            self._lines.append(bytes(view).rstrip(b"\n"))
            self._size = len(view)

    def _take_from_budget(self, kind: str, now: float) -> bool:
        second = int(now)
        if second != self._second:
            self._second = second
            self._count_by_kind.clear()
        count = self._count_by_kind.get(kind, 0)
        limit = LINES_PER_SECOND
        if kind in _FAILURE_KINDS:
            limit = FAILURE_LINES_PER_SECOND
        if count >= limit:
            self._count_left_out(kind)
            return False
        self._count_by_kind[kind] = count + 1
        return True

    def _count_left_out(self, kind: str) -> None:
        self._left_out_by_kind[kind] = self._left_out_by_kind.get(kind, 0) + 1


_log: EventLog | None = None


def configure(log: EventLog | None) -> None:
    """Set the log that receives events; None discards them."""
    global _log
    _log = log


def emit(kind: str, **fields: object) -> None:
    """Write an event if a log is configured."""
    if _log is not None:
        _log.emit(kind, fields)


def flush() -> None:
    """Write buffered lines."""
    if _log is not None:
        _log.flush()
