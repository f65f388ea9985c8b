"""Slow start of a backend server that may be cold."""

from __future__ import annotations

import logging

LOG = logging.getLogger(__name__)

FIRST_RATE = 2.0
"""Requests a second at first (section 8.2 of the design)."""

STEP_SECONDS = 1.0

HIGHEST_RATE = 1024.0
"""Rate at which a server counts as warm whatever its latency is."""


class Ramp:
    """State machine of a cold start.

    While it is cold, a server gets one slot and a bounded rate. The rate
    doubles after each second in which the server answered and shed
    nothing; without an answer there is no sign that it warmed up.

    Parameters
    ----------
    server : str
        Name of the server, for log lines.

    Attributes
    ----------
    is_cold : bool
        Whether the bounds are in force.
    rate : float
        Requests a second while cold.
    """

    def __init__(self, server: str) -> None:
        self._server = server
        self.is_cold = False
        self.rate = FIRST_RATE
        self._step_start = 0.0
        self._next_send = 0.0

    def mark_cold(self, now: float, reason: str) -> None:
        """Start from the first rate."""
        if not self.is_cold or self.rate > FIRST_RATE:
            LOG.info("limit: %s counts as cold: %s", self._server, reason)
        self.is_cold = True
        self.rate = FIRST_RATE
        self._step_start = now
        self._next_send = max(self._next_send, now)

    def slots(self, slots: int) -> int:
        """Return how many of the server's slots may be used."""
        return min(slots, 1) if self.is_cold else slots

    def allows(self, now: float) -> bool:
        """Tell whether the rate allows a request now."""
        return not self.is_cold or now >= self._next_send

    def next_send(self) -> float:
        """Return from when the rate allows a request, seconds."""
        return self._next_send if self.is_cold else 0.0

    def on_sent(self, now: float) -> None:
        """Count a request that starts."""
        if self.is_cold:
            self._next_send = now + 1.0 / self.rate

    def on_shed(self, now: float) -> None:
        """Start again, since the server was out of capacity."""
        self.mark_cold(now, "it shed a request")
        # The request that was shed counts against the first rate.
        self._next_send = max(self._next_send, now + 1.0 / FIRST_RATE)

    def on_answer(self, now: float, full_rate: float) -> None:
        """Count an answer and raise the rate when its second is over.

        Parameters
        ----------
        now : float
            Runtime's clock, seconds.
        full_rate : float
            Requests a second that all slots can serve.
        """
        if not self.is_cold:
            return
        if now - self._step_start < STEP_SECONDS:
            return
        self._step_start = now
        self.rate *= 2.0
        if self.rate >= min(full_rate, HIGHEST_RATE):
            self.is_cold = False
            LOG.info("limit: %s is at full capacity", self._server)
