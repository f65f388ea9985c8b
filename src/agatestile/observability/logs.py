"""Log lines on standard error.

A message starts with the prefix of its component. Lines are buffered and
written in batches. If the reader of standard error stops reading, lines are
dropped, but the event loop never blocks.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import time
import typing

import anyio
import msgspec

if typing.TYPE_CHECKING:
    from agatestile.settings import schema

DESCRIPTIONS_BY_PREFIX = {
    "log": "reads and appends of the platform's log",
    "state": "records applied or refused, checkpoints, snapshots",
    "lead": "elections, grants, successions and planned moves",
    "gate": "servers that this host gates, leases, fences",
    "route": "the routing decision for each request",
    "limit": "slots, queues, cold starts, retries, duplicates",
    "lane": "connections to servers and to other daemons",
    "table": "changes of the services table, domains and hosts",
    "admin": "requests of operators",
    "daemon": "start and stop of a daemon and its parts",
    "membership": "reads of the platform's list of hosts",
    "rpc": "malformed calls between daemons",
    "invariant": "broken invariants; always an error",
    "logs": "log lines that were dropped",
}

FLUSH_INTERVAL = 0.1  # seconds
BUFFER_BYTES = 1024 * 1024  # further lines are dropped
# A pipe that polls as writable accepts this many bytes without blocking.
WRITE_BYTES = select.PIPE_BUF

_JSON = msgspec.json.Encoder()


class _Record(logging.LogRecord):
    """Log record without the fields that no formatter here uses.

    Filling them would take 4 of the 14 microseconds of a line.
    """

    pathname = filename = module = ""
    funcName = threadName = ""
    lineno = 0
    process = processName = thread = taskName = None
    stack_info = exc_text = None
    msecs = relativeCreated = 0.0

    def __init__(
        self,
        name: str,
        level: int,
        pathname: str,
        lineno: int,
        msg: object,
        args: typing.Any,
        exc_info: typing.Any,
        *_: typing.Any,
        **__: typing.Any,
    ) -> None:
        # As in `logging`, a single mapping is used for named placeholders.
        if args and len(args) == 1 and args[0] and isinstance(args[0], dict):
            args = args[0]
        self.name = name
        self.levelno = level
        self.levelname = logging.getLevelName(level)
        self.msg = typing.cast(str, msg)
        self.args = args
        self.exc_info = exc_info
        self.created = time.time()


class _TimeFormatter:
    """Formats times, the part up to the second once per second."""

    def __init__(self) -> None:
        self._second = -1
        self._text = ""

    def text(self, created: float) -> str:
        second = int(created)
        if second != self._second:
            self._second = second
            self._text = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(second)
            )
        return f"{self._text}.{int((created - second) * 1000):03d}Z"


class TextFormatter(logging.Formatter):
    """Formats a record as a line of time, level and message."""

    def __init__(self) -> None:
        super().__init__()
        self._times = _TimeFormatter()

    def format(self, record: logging.LogRecord) -> str:
        message = record.getMessage()
        # Callers choose the keys; a line break in a key must not start a
        # new line.
        if not message.isprintable():
            message = message.encode("unicode_escape").decode("ascii")
        line = (
            f"{self._times.text(record.created)} {record.levelname} {message}"
        )
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return line


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object on one line."""

    def __init__(self) -> None:
        super().__init__()
        self._times = _TimeFormatter()

    def format(self, record: logging.LogRecord) -> str:
        component, _, message = record.getMessage().partition(": ")
        if component not in DESCRIPTIONS_BY_PREFIX:
            component, message = "", record.getMessage()
        fields = {
            "time": self._times.text(record.created),
            "level": record.levelname.lower(),
            "component": component,
            "message": message,
        }
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return _JSON.encode(fields).decode()


class StderrHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines are written immediately until `run` is started. From then on they
    are written at intervals, but warnings and errors immediately.

    Parameters
    ----------
    descriptor : int
        File descriptor of a pipe, terminal or socket.

    Attributes
    ----------
    dropped : int
        Number of lines dropped because the descriptor was not read.
    """

    def __init__(self, descriptor: int = 2) -> None:
        super().__init__()
        self.dropped = 0
        self._reported_drops = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: list[str] = []
        self._buffered_size = 0
        self._unwritten = b""
        self._is_buffering = False

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self._buffered_size + len(line) > BUFFER_BYTES:
            self.flush()
        if self._buffered_size + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_size += len(line) + 1
        if not self._is_buffering or record.levelno >= logging.WARNING:
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self.acquire()
        try:
            self._flush()
        finally:
            self.release()

    def _flush(self) -> None:
        if self._lines:
            text = "\n".join(self._lines) + "\n"
            self._unwritten += text.encode("utf-8", "backslashreplace")
            self._lines.clear()
        view, start = memoryview(self._unwritten), 0
        try:
            while start < len(view) and self._poll.poll(0):
                chunk = view[start : start + WRITE_BYTES]
                start += os.write(self._descriptor, chunk)
            self._unwritten = bytes(view[start:])
        except OSError:
            # The reader has closed standard error.
            self._unwritten = b""
        self._buffered_size = len(self._unwritten)
        if self.dropped > self._reported_drops and not self._unwritten:
            newly_dropped, self._reported_drops = (
                self.dropped - self._reported_drops,
                self.dropped,
            )
            self._lines.append(
                f"logs: {newly_dropped} lines dropped, stderr not read"
            )

    async def run(self) -> None:
        """Write buffered lines at intervals until cancelled."""
        self._is_buffering = True
        try:
            while True:
                await anyio.sleep(FLUSH_INTERVAL)
                if self._lines or self._unwritten:
                    self.flush()
        finally:
            self._is_buffering = False
            self.flush()


def configure(settings: schema.Logging, descriptor: int = 2) -> StderrHandler:
    """Direct all log records of the process to one handler.

    Parameters
    ----------
    settings : schema.Logging
        Level and format.
    descriptor : int
        File descriptor to write to.

    Returns
    -------
    StderrHandler
        The handler, whose `run` the daemon runs while it serves.
    """
    # Otherwise `logging` looks up the calling function for each record, which
    # no formatter here shows.
    logging._srcfile = None
    logging.setLogRecordFactory(_Record)
    handler = StderrHandler(descriptor)
    handler.setFormatter(
        JsonFormatter() if settings.format == "json" else TextFormatter()
    )
    logging.basicConfig(
        level=settings.level.upper(), handlers=[handler], force=True
    )
    for library in ("httpcore", "uvicorn", "asyncio"):
        logging.getLogger(library).setLevel(logging.WARNING)
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    return handler


def _log_uncaught(
    kind: type[BaseException],
    error: BaseException,
    traceback: typing.Any,
) -> None:
    if issubclass(kind, KeyboardInterrupt):
        return
    logging.getLogger(__name__).critical(
        "daemon: stopped by %s", kind.__name__, exc_info=error
    )
