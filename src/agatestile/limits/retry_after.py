"""Times after which refused callers are told to return."""

from __future__ import annotations

MIN_SECONDS = 0.05
"""Shortest retry-after time."""

MAX_SHARE = 1.0 / 3.0
"""Largest share of its time left that a caller waits before a retry."""


def bounded(wanted: float | None, time_left: float) -> float:
    """Return a retry-after time that leaves the caller time for a retry.

    Parameters
    ----------
    wanted : float or None
        Time after which a retry may succeed, seconds; None for the shortest.
    time_left : float
        How long the caller still waits for a response, seconds.
    """
    longest = max(MIN_SECONDS, time_left * MAX_SHARE * 0.9)
    if wanted is None:
        return MIN_SECONDS
    return min(max(MIN_SECONDS, wanted), longest)
