"""Runs the stand-in of a keyed backend server as a process of its own.

Its reports, holdings and begun requests are written to the standard output,
one JSON object a line.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
import typing

import msgspec

from agatestile.transport import messages
from standins import platform_log
from standins import platform_server

STANDARD_OUTPUT = 1


class Notice(msgspec.Struct, omit_defaults=True):
    """A line of the output; times are of the monotonic clock, seconds."""

    at: float
    is_report: bool = False
    leases: list[tuple[int, int, int, float]] | None = None
    taken: tuple[int, int, int] | None = None
    started: tuple[int, str] | None = None


def _write(notice: Notice) -> None:
    # Written before the answer that depends on it, and in one piece.
    os.write(STANDARD_OUTPUT, msgspec.json.encode(notice) + b"\n")


class _Checker(platform_server.InvariantChecker):
    """Passes on which requests the server begins."""

    def on_started(
        self,
        running: platform_server.PlatformServer,
        key: int,
        request: str,
        started_at: float | None = None,
    ) -> None:
        _write(Notice(time.monotonic(), started=(key, request)))


class _Server(platform_server.PlatformServer):
    """Passes on what it holds, and when it reports to the store."""

    def _report_if_connected(self, log: platform_log.PlatformLog) -> None:
        _write(Notice(time.monotonic(), is_report=True))

    def _grant(
        self,
        order: dict[str, typing.Any],
        arrived: float,
        is_late: bool = False,
    ) -> messages.Response:
        response = super()._grant(order, arrived, is_late)
        if response.status == 200:
            taken = order["from"], order["to"], order["fence"]
            self._write_leases(arrived, taken)
        return response

    async def _release(
        self, order: dict[str, typing.Any]
    ) -> messages.Response:
        self._remove_leases(order["from"], order["to"])
        self._write_leases(time.monotonic(), None)
        return await super()._release(order)

    def _write_leases(
        self, at: float, taken: tuple[int, int, int] | None
    ) -> None:
        leases = [
            (lease.first, lease.last, lease.fence, lease.until)
            for lease in self._leases
        ]
        _write(Notice(at, leases=leases, taken=taken))


async def _run(
    name: str, port: str, service_time: str, clock_rate: str
) -> None:
    running = _Server(name, "keyed", True, _Checker(), float(service_time))
    running.clock_rate = float(clock_rate)
    await running.run(platform_log.PlatformLog(), int(port))


if __name__ == "__main__":
    asyncio.run(_run(*sys.argv[1:]))
