"""Guard on the memory that a process really takes."""

from __future__ import annotations

import os
import typing

from agatestile.observability import events

RELEASE_SHARE = 0.8
"""Share of the memory of a machine from which free blocks are returned to the
system."""

REFUSE_SHARE = 0.87
"""Share of the memory of a machine from which callers are refused."""

CHECK_SHARE = 1.0 / 64.0
"""Growth after which the memory is measured, as a share of the machine's."""

CHECK_SECONDS = 0.25
"""Longest interval between two measurements while callers send."""

RELEASE_SECONDS = 0.5
"""Shortest interval between two releases of free blocks."""

_STATM = "/proc/self/statm"


def resident_bytes() -> int:
    """Return the resident memory of the process, bytes.

    Returns
    -------
    int
        0 where the system does not tell.
    """
    try:
        with open(_STATM, "rb", buffering=0) as statm:
            pages = int(statm.read().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


class MemoryPressure:
    """Measures how far a process is above what callers may fill.

    The sums of what is held for callers don't contain what the allocator
    and the interpreter take beside it.

    Parameters
    ----------
    memory : int or None
        Memory that the process may use, bytes; None if unknown, and nothing
        is measured.
    resident : callable, optional
        Returns the resident memory, bytes.
    release : callable, optional
        Returns free blocks to the system.

    Attributes
    ----------
    excess : int
        Bytes above the share from which callers are refused, 0 below.
    """

    def __init__(
        self,
        memory: int | None,
        resident: typing.Callable[[], int] = resident_bytes,
        release: typing.Callable[[], object] = lambda: None,
    ) -> None:
        self.excess = 0
        self._memory = memory
        self._resident = resident
        self._release = release
        self._growth = 0
        self._next_check = 0.0
        self._next_release = 0.0

    def measure(self, growth: int, now: float) -> bool:
        """Measure the memory, if much was received or some time has passed.

        Parameters
        ----------
        growth : int
            Bytes received or kept since the last call.
        now : float
            Clock, seconds.

        Returns
        -------
        bool
            Whether it was measured.
        """
        if self._memory is None:
            return False
        self._growth += growth
        is_due = self._growth >= self._memory * CHECK_SHARE
        if not is_due and now < self._next_check:
            return False
        self._growth = 0
        self._next_check = now + CHECK_SECONDS
        resident = self._resident()
        if (
            resident >= self._memory * RELEASE_SHARE
            and now >= self._next_release
        ):
            self._next_release = now + RELEASE_SECONDS
            self._release()
            resident = self._resident()
        excess = max(0, resident - int(self._memory * REFUSE_SHARE))
        if bool(excess) != bool(self.excess):
            events.emit(
                "memory_pressure",
                is_refusing=bool(excess),
                resident_bytes=resident,
            )
        self.excess = excess
        return True
