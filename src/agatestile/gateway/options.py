"""Bounds on callers' requests, from the settings."""

from __future__ import annotations

import typing


class Options(typing.NamedTuple):
    """Bounds on callers' requests.

    Attributes
    ----------
    header_limit : int
        Largest head of a request, bytes.
    body_memory : int
        Largest part of a body in memory, bytes.
    head_timeout : float
        Longest time from the first byte of a head to its last, seconds.
    body_idle_timeout : float
        Longest wait for the next part of a body, seconds.
    """

    header_limit: int = 16 * 1024
    body_memory: int = 256 * 1024
    head_timeout: float = 5.0
    body_idle_timeout: float = 10.0
