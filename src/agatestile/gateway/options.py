"""Limits on callers' requests, from the settings."""

from __future__ import annotations

import typing


class Options(typing.NamedTuple):
    """Limits on callers' requests.

    Attributes
    ----------
    header_limit : int
        Maximum size of the head of a request, bytes.
    body_memory : int
        Maximum part of a body that is kept in memory, bytes.
    head_timeout : float
        Longest time from the first to the last byte of a head, seconds.
    body_idle_timeout : float
        Longest wait for the next part of a body, seconds.
    """

    header_limit: int = 16 * 1024
    body_memory: int = 256 * 1024
    head_timeout: float = 5.0
    body_idle_timeout: float = 10.0
