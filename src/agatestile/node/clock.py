"""Clocks of a host."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return a clock that goes on while the machine is suspended, seconds.

    Leases are measured with it, as a suspension does not stop the clocks
    of the servers that hold them.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
