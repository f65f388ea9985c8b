"""Open-loop load: requests are sent at a fixed rate to one port."""

from __future__ import annotations

import asyncio
import collections
import re
import time
import typing

from hdrh import histogram

HIGHEST_MICROSECONDS = 60_000_000
_CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class Result(typing.NamedTuple):
    """Figures of one run.

    Attributes
    ----------
    offered, achieved : float
        Requests a second that were planned and that were answered.
    answered, failed : int
        Number of responses with status 200, and of all other requests.
    latencies : histogram.HdrHistogram
        Microseconds from the planned start of a request to its response.
        They include the wait for a free connection, so that a stall counts
        for every request due during it (no coordinated omission).
    """

    offered: float
    achieved: float
    answered: int
    failed: int
    latencies: histogram.HdrHistogram

    def milliseconds(self, percentile: float) -> float:
        """Return a percentile of the latencies, milliseconds."""
        microseconds = self.latencies.get_value_at_percentile(percentile)
        return float(microseconds) / 1000.0


class _Connection(asyncio.Protocol):
    def __init__(self, load: _Load) -> None:
        self._load = load
        self._buffer = b""
        self.planned = 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def start(self, planned: float) -> None:
        """Send the request with the given planned start."""
        assert self.transport is not None
        self.planned = planned
        self.transport.write(self._load.request)

    def data_received(self, data: bytes) -> None:
        data = self._buffer + data
        end = data.find(b"\r\n\r\n")
        length = _CONTENT_LENGTH.search(data, 0, end) if end >= 0 else None
        if length is None or len(data) < end + 4 + int(length[1]):
            self._buffer = data
            return
        self._buffer = b""
        planned, self.planned = self.planned, 0.0
        self._load.on_response(self, planned, data.startswith(b"HTTP/1.1 200"))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.planned:
            self._load.on_lost()


class _Load:
    def __init__(self, request: bytes, total: int) -> None:
        self.request = request
        self.latencies = histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
        self.idle: list[_Connection] = []
        self.due: collections.deque[float] = collections.deque()
        self.answered = self.failed = 0
        self.done = asyncio.Event()
        self.last_response_at = 0.0
        self._total = total

    def offer(self, planned: float) -> None:
        if self.idle:
            self.idle.pop().start(planned)
        else:
            self.due.append(planned)

    def on_response(
        self, connection: _Connection, planned: float, is_ok: bool
    ) -> None:
        self.last_response_at = time.perf_counter()
        microseconds = int((self.last_response_at - planned) * 1e6)
        self.latencies.record_value(min(microseconds, HIGHEST_MICROSECONDS))
        if is_ok:
            self.answered += 1
        else:
            self.failed += 1
        if self.answered + self.failed >= self._total:
            self.done.set()
        elif self.due:
            connection.start(self.due.popleft())
        else:
            self.idle.append(connection)

    def on_lost(self) -> None:
        if self.done.is_set():
            return
        self.failed += 1
        if self.answered + self.failed >= self._total:
            self.done.set()


async def run(
    port: int, request: bytes, rate: float, seconds: float, connections: int
) -> Result:
    """Send requests at a fixed rate and return the figures.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1 to send to.
    request : bytes
        The request as sent, with its headers.
    rate : float
        Requests a second, evenly spaced.
    seconds : float
        Length of the run.
    connections : int
        Number of connections to use.
    """
    total = int(rate * seconds)
    load = _Load(request, total)
    loop = asyncio.get_running_loop()
    opened: list[_Connection] = []
    for _ in range(connections):
        _, connection = await loop.create_connection(
            lambda: _Connection(load), "127.0.0.1", port
        )
        opened.append(connection)
    load.idle.extend(opened)
    start = time.perf_counter() + 0.05
    sent = 0
    while sent < total:
        now = time.perf_counter()
        while sent < total and start + sent / rate <= now:
            load.offer(start + sent / rate)
            sent += 1
        await asyncio.sleep(0.0005)
    try:
        await asyncio.wait_for(load.done.wait(), 30.0)
    except TimeoutError:
        load.failed = total - load.answered
    answered, failed = load.answered, load.failed
    for connection in opened:
        if connection.transport is not None:
            connection.transport.close()
    elapsed = max(load.last_response_at - start, 1e-9)
    return Result(rate, answered / elapsed, answered, failed, load.latencies)
