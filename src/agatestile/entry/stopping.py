"""Admission of requests while a host stops."""

from __future__ import annotations

import math
import typing


class StopSchedule(typing.NamedTuple):
    """Times of a planned stop, on the clock of the event loop.

    Attributes
    ----------
    noticed_at : float
        Time until which callers may not know that the host stops, seconds.
    ends_at : float
        Time at which requests in progress are ended, seconds.
    """

    noticed_at: float
    ends_at: float

    def admits(
        self, now: float, deadline: float, objective: float | None
    ) -> bool:
        """Return whether a request may be sent to a server.

        A request may take until its deadline, so one whose deadline is later
        than the end would be cut off while its server works on it. Until
        callers have noticed the stop, the time in which its route aims to
        respond has to suffice: all their requests come here, and few take
        much longer.

        Parameters
        ----------
        now : float
            Current time, seconds.
        deadline : float
            Time at which the response is due, seconds.
        objective : float or None
            Time in which the route of the request aims to respond, seconds.
        """
        if deadline <= self.ends_at:
            return True
        if now > self.noticed_at or not objective:
            return False
        return now + objective <= self.ends_at


NOT_STOPPING = StopSchedule(math.inf, math.inf)
