"""What a host does as its process takes more memory than it counts."""

from __future__ import annotations

import pathlib
import typing

import pytest

from agatestile.transport import caller_guard
from agatestile.transport import caller_memory
from agatestile.transport import memory_pressure

MB = 1_000_000
MACHINE = 160 * MB


class _Process:
    """Memory of a process, of which a release returns a part."""

    def __init__(self, resident: int) -> None:
        self.resident = resident
        self.free = 0
        self.measurements = 0

    def measure(self) -> int:
        self.measurements += 1
        return self.resident

    def release(self) -> None:
        self.resident -= self.free
        self.free = 0

    def pressure(self) -> memory_pressure.MemoryPressure:
        return memory_pressure.MemoryPressure(
            MACHINE, self.measure, self.release
        )


class _Caller:
    """A connection that records how it ends."""

    def __init__(self, unread: int = 0) -> None:
        self.ended: list[str] = []
        self.unread: typing.Any = self
        self.memory = unread

    def take_progress(self) -> int:
        return 0

    def refuse(self, status: int, cause: str) -> None:
        assert not self.ended, "the caller is ended again"
        self.ended.append(f"{status} {cause}")

    def abort_for(self, cause: str) -> None:
        self.ended.append(cause)


def test_resident_memory_of_this_process_is_read() -> None:
    """Guards against a guard that measures nothing."""
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(one for one in status.splitlines() if "VmRSS" in one)
    expected = int(line.split()[1]) * 1024
    assert abs(memory_pressure.resident_bytes() - expected) < 0.2 * expected


def test_memory_is_measured_after_growth_or_time() -> None:
    """Guards against a measurement for each piece of data, and none at all."""
    process = _Process(40 * MB)
    pressure = process.pressure()
    assert pressure.measure(1, 1.0)
    for _ in range(20):
        assert not pressure.measure(100_000, 1.1)
    assert pressure.measure(MB, 1.1)
    assert not pressure.measure(1, 1.2)
    assert pressure.measure(1, 1.1 + memory_pressure.CHECK_SECONDS)
    assert process.measurements == 3


def test_free_blocks_are_released_before_callers_are_refused() -> None:
    """Guards against refusals for memory that nothing uses."""
    process = _Process(150 * MB)
    process.free = 50 * MB
    pressure = process.pressure()
    pressure.measure(0, 1.0)
    assert not pressure.excess
    process.resident = 150 * MB
    pressure.measure(0, 2.0)
    assert pressure.excess == 150 * MB - int(
        MACHINE * memory_pressure.REFUSE_SHARE
    )


def test_excess_ends_unfinished_requests_first() -> None:
    """Guards against a process that grows beyond what is counted for it."""
    process = _Process(100 * MB)
    guard = caller_guard.CallerGuard(MACHINE, pressure=process.pressure())
    stalled, sending, handled = _Caller(), _Caller(), _Caller()
    guard.on_request_memory(handled, 8 * MB, 8 * MB, 1.0, False)
    guard.on_request_memory(stalled, 8 * MB, 8 * MB, 1.0, True)
    process.resident = 145 * MB
    guard.on_request_memory(sending, 8 * MB, 8 * MB, 3.0, True)
    assert stalled.ended == ["503 memory"]
    assert not sending.ended and not handled.ended
    process.resident = 100 * MB
    late = _Caller()
    guard.on_request_memory(late, 8 * MB, 8 * MB, 4.0, True)
    assert not late.ended


@pytest.mark.parametrize("size", [0, 200_000])
@pytest.mark.parametrize("is_peer", [False, True])
def test_lower_limit_does_not_end_complete_requests(
    size: int, is_peer: bool
) -> None:
    """Guards against a loop without end, and responses that are cut off.

    Callers that read slowly lower the limit below what requests take that
    servers work on (review, case 11). The request of the caller of the call
    is complete too, or has just been answered.
    """
    guard = caller_guard.CallerGuard(MACHINE)
    if is_peer:
        pressure = memory_pressure.MemoryPressure(None)
        guard = caller_guard.CallerGuard.for_peers(MACHINE, 1638, pressure)
    handled, answered = _Caller(), _Caller()
    guard.on_request_memory(handled, 20 * MB, 20 * MB, 1.0, False)
    guard.on_request_memory(answered, 200_000, 200_000, 1.0, False)
    for _ in range(20):
        guard.on_unread(_Caller(7 * MB), 1.0)
    guard.on_request_memory(answered, size, 0, 1.0, False)
    assert not handled.ended and not answered.ended
    stalled = _Caller()
    guard.on_request_memory(stalled, 200_000, 200_000, 2.0, True)
    assert stalled.ended == ["503 memory"]


def test_small_requests_are_served_under_pressure() -> None:
    """Guards against a host that refuses everybody."""
    process = _Process(159 * MB)
    guard = caller_guard.CallerGuard(MACHINE, pressure=process.pressure())
    ordinary = _Caller()
    guard.on_request_memory(ordinary, 17_000, 17_000, 1.0, True)
    assert not ordinary.ended


def test_unread_responses_use_what_requests_leave() -> None:
    """Guards against answers that are cut off while memory is free."""
    guard = caller_guard.CallerGuard(MACHINE)
    readers = [_Caller(2 * MB) for _ in range(30)]
    for reader in readers:
        guard.on_unread(reader, 1.0)
    assert not any(reader.ended for reader in readers)
    # A new large request is refused instead, a small one is not.
    large, small = _Caller(), _Caller()
    guard.on_request_memory(large, 8 * MB, 8 * MB, 1.0, True)
    guard.on_request_memory(small, 17_000, 17_000, 1.0, True)
    assert large.ended == ["503 memory"]
    assert not small.ended


def test_unread_responses_stay_within_the_memory() -> None:
    """Guards against callers that read nothing and take all memory."""
    guard = caller_guard.CallerGuard(MACHINE)
    readers = [_Caller(2 * MB) for _ in range(80)]
    for reader in readers:
        guard.on_unread(reader, 1.0)
    held = MACHINE * caller_memory.HELD_MEMORY_SHARE
    assert guard.responses.total <= held
    assert sum(1 for one in readers if one.ended) > 30
