"""Clock that leases are measured with."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the time since boot including suspension, in seconds.

    Leases are measured with it because a suspension of this host does not
    stop the clocks of the servers that hold them.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
