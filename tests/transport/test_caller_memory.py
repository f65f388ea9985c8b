"""Which callers end when their requests take too much memory."""

from __future__ import annotations

import pytest

from agatestile.transport import caller_memory

MB = 1_000_000
LEAST_MEMORY = 160 * MB
LARGEST_BODY = 64 * 1024 * 1024
HEAD_BYTES = 16 * 1024
READ_BYTES = 256 * 1024
LARGEST_RESPONSE = 16 * 1024 * 1024


def _memory() -> caller_memory.CallerMemory[str]:
    return caller_memory.CallerMemory(10 * MB, 1 * MB)


def test_stalled_caller_ends_before_those_that_send() -> None:
    """Guards against stalled bodies that keep the memory of others."""
    memory = _memory()
    memory.update("stalled", 6 * MB, 6 * MB, 0.0)
    memory.update("sending", 2 * MB, 2 * MB, 1.9)
    memory.update("new", 2 * MB, 100_000, 2.0)
    assert memory.excess("new", 2.0) == "stalled"
    memory.discard("stalled")
    assert memory.excess("new", 2.0) is None
    assert memory.total == 4 * MB


def test_caller_that_trickles_counts_as_stalled() -> None:
    """Guards against single bytes that protect a large body."""
    memory = _memory()
    for step in range(30):
        progress = 6 * MB if not step else 1
        memory.update("trickle", 6 * MB + step, progress, step / 10)
    memory.update("sending", 4 * MB, 64_000, 3.0)
    assert memory.excess("sending", 3.0) == "trickle"


def test_small_requests_use_the_reserve() -> None:
    """Guards against large bodies that leave nothing for ordinary callers."""
    memory = _memory()
    memory.update("large", 9 * MB, 9 * MB, 0.0)
    for number in range(20):
        memory.update(f"small{number}", 50_000, 0, 0.0)
        assert memory.excess(f"small{number}", 0.0) is None
    memory.update("small", 1_000, 0, 0.0)
    assert memory.excess("small", 0.0) != "large"


def test_large_body_does_not_use_the_reserve() -> None:
    """Guards against a reserve that a large body fills."""
    memory = _memory()
    memory.update("small", 50_000, 0, 0.0)
    memory.update("large", 9 * MB + 1, MB, 0.0)
    assert memory.excess("large", 0.0) == "large"


def test_complete_requests_go_on() -> None:
    """Guards against requests that end although a server may run them."""
    memory = _memory()
    memory.update("handled", 8 * MB, 8 * MB, 0.0, is_unfinished=False)
    memory.update("new", 3 * MB, 3 * MB, 60.0)
    assert memory.excess("new", 60.0) == "new"


def test_waiting_requests_end_if_there_are_no_others() -> None:
    """Guards against requests sent ahead that exceed the limit."""
    memory = _memory()
    memory.update("handled", 8 * MB, 8 * MB, 0.0, is_unfinished=False)
    memory.update("ahead", 3 * MB, 3 * MB, 0.0, is_unfinished=False)
    assert memory.excess("ahead", 0.0) == "ahead"


def test_changes_keep_the_total() -> None:
    """Guards against a total that drifts and refuses everything."""
    memory = _memory()
    for size in (10, 100_000, 5 * MB, 100, 0):
        memory.update("a", size, 0, 0.0)
        assert memory.total == size == memory.size("a")
    memory.update("a", 9 * MB, 0, 0.0)
    memory.discard("a")
    memory.discard("a")
    memory.update("b", 9 * MB, 0, 0.0)
    assert memory.excess("b", 0.0) is None


@pytest.mark.parametrize("machine", [None, LEAST_MEMORY, 820 * MB])
def test_largest_request_alone_is_within_the_limit(
    machine: int | None,
) -> None:
    """Guards against a default that a caller within the limits reaches."""
    memory: caller_memory.CallerMemory[str] = (
        caller_memory.CallerMemory.for_requests(machine)
    )
    largest = LARGEST_BODY + HEAD_BYTES + READ_BYTES
    memory.update("alone", largest, 0, 0.0)
    assert memory.excess("alone", 1.0) is None
    responses: caller_memory.CallerMemory[str] = (
        caller_memory.CallerMemory.for_responses(machine)
    )
    responses.update("alone", LARGEST_RESPONSE + HEAD_BYTES, 0, 0.0)
    assert responses.excess("alone", 1.0) is None


def test_limits_leave_memory_for_the_program() -> None:
    """Guards against limits that together take a small machine's memory."""
    requests: caller_memory.CallerMemory[str] = (
        caller_memory.CallerMemory.for_requests(LEAST_MEMORY)
    )
    responses: caller_memory.CallerMemory[str] = (
        caller_memory.CallerMemory.for_responses(LEAST_MEMORY)
    )
    # An eighth is for responses of servers that are not complete.
    taken = requests.limit + responses.limit + LEAST_MEMORY // 8
    assert LEAST_MEMORY - taken >= 45 * MB
