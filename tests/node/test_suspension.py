"""Tests of times that span suspensions of the machine."""

from __future__ import annotations

import pytest

from agatestile.node import suspension


class _Clocks:
    def __init__(self) -> None:
        self.now, self.boot = 10.0, 1000.0
        self.tracker = suspension.SuspensionTracker(
            lambda: self.now, lambda: self.boot
        )
        self.tracker.observe()

    def run(self, seconds: float) -> None:
        self.now += seconds
        self.boot += seconds


def test_running_clocks_show_no_suspension() -> None:
    """Guards against ages that grow with the time since boot."""
    clocks = _Clocks()
    clocks.run(100.0)
    assert clocks.tracker.observe() == 0.0
    assert clocks.tracker.corrected(50.0) == 50.0


def test_times_before_suspensions_are_corrected_by_their_sum() -> None:
    """Guards against a second suspension that hides the first."""
    clocks = _Clocks()
    for seconds in (3.0, 4.0):
        clocks.boot += seconds
        assert clocks.tracker.observe() == seconds
        assert clocks.tracker.observe() == 0.0
        clocks.run(1.0)
    assert clocks.tracker.corrected(9.0) == 2.0
    assert clocks.tracker.corrected(10.5) == 6.5
    assert clocks.tracker.corrected(11.5) == 11.5


@pytest.mark.parametrize("pause", [0.2, 5.0])
def test_pause_between_the_two_reads_hides_no_suspension(pause: float) -> None:
    """Guards against a clock that was read late and then compared with."""
    clocks = _Clocks()
    # The boot clock was read before the pause, the other one after it.
    clocks.now += pause
    assert clocks.tracker.observe() == 0.0
    clocks.boot += pause + 6.0
    assert clocks.tracker.observe() >= 6.0


def test_without_a_boot_clock_there_are_no_suspensions() -> None:
    """Guards against reads of a clock that a caller did not give."""
    tracker = suspension.SuspensionTracker(lambda: 1.0, None)
    assert tracker.observe() == 0.0
    assert tracker.corrected(1.0) == 1.0
