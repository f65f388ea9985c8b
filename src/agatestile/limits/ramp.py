"""Slow start of a cold backend server."""

from __future__ import annotations

import logging

LOG = logging.getLogger(__name__)

INITIAL_RATE = 2.0
"""Requests per second at the start, see section 8.2 of docs/design.md."""

RATE_STEP_SECONDS = 1.0
"""Shortest time between two increases of the rate."""

MAX_RATE = 1024.0
"""Requests per second at which a server counts as warm, whatever its
latency."""


class Ramp:
    """State machine of the slow start of a server.

    A cold server gets one slot and a limited rate. The rate doubles after
    each second in which the server answered and shed no request; without
    an answer there is no sign that the server warmed up.

    Parameters
    ----------
    server : str
        Name of the server, for log lines.

    Attributes
    ----------
    is_cold : bool
        Whether slots and rate of the server are limited.
    rate : float
        Requests per second while the server is cold.
    """

    def __init__(self, server: str) -> None:
        self._server = server
        self.is_cold = False
        self.rate = INITIAL_RATE
        self._step_start = 0.0
        self._next_send = 0.0

    def mark_cold(self, now: float, reason: str) -> None:
        """Start again from the initial rate."""
        if not self.is_cold or self.rate > INITIAL_RATE:
            LOG.info(
                "limit: server %s counts as cold: %s", self._server, reason
            )
        self.is_cold = True
        self.rate = INITIAL_RATE
        self._step_start = now
        self._next_send = max(self._next_send, now)

    def slots(self, slots: int) -> int:
        """Return how many of the given slots may be used."""
        return min(slots, 1) if self.is_cold else slots

    def allows(self, now: float) -> bool:
        """Return whether the rate allows a request now."""
        return not self.is_cold or now >= self._next_send

    def next_send(self) -> float:
        """Return the clock from which a request is allowed, seconds."""
        return self._next_send if self.is_cold else 0.0

    def on_sent(self, now: float) -> None:
        """Record that a request is sent."""
        if self.is_cold:
            self._next_send = now + 1.0 / self.rate

    def on_shed(self, now: float) -> None:
        """Start again after the server shed a request."""
        self.mark_cold(now, "it shed a request")
        # The request that was shed counts against the initial rate.
        self._next_send = max(self._next_send, now + 1.0 / INITIAL_RATE)

    def on_answer(self, now: float, full_rate: float) -> None:
        """Record an answer and raise the rate when a step is over.

        Parameters
        ----------
        now : float
            Clock of the event loop, seconds.
        full_rate : float
            Requests per second that the server can serve with all slots.
        """
        if not self.is_cold:
            return
        if now - self._step_start < RATE_STEP_SECONDS:
            return
        self._step_start = now
        self.rate *= 2.0
        if self.rate >= min(full_rate, MAX_RATE):
            self.is_cold = False
            LOG.info("limit: server %s is at full capacity", self._server)
