"""Bound on retries as a share of recent requests."""

from __future__ import annotations

import collections

SHARE = 0.1
"""Retries for each request of a host that has a budget of its own."""

WINDOW_SECONDS = 10.0

FLOOR = 3
"""Retries always allowed in a window: with a few requests a second, a
share of 10% would forbid the first retry."""

JOINT_RATIO_SHARE = 0.95
"""Part of a joint ratio that is used; requests of other hosts may be
counted in another window."""

JOINT_SLACK_SHARE = 0.7
"""Part of a joint slack that is divided among the hosts."""


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    slack : float
        Retries beside the ratio, of all hosts together.
    window : float
        Sliding time over which both are counted, seconds.
    floor : int
        Retries that are always allowed in a window.
    """

    def __init__(
        self,
        ratio: float = SHARE,
        slack: float = 0.0,
        window: float = WINDOW_SECONDS,
        floor: int = FLOOR,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._floor = floor
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    @classmethod
    def for_host(
        cls, ratio: float, slack: float, window: float
    ) -> RetryBudget:
        """Return a host's part of a bound on all hosts together."""
        return cls(
            ratio * JOINT_RATIO_SHARE, slack * JOINT_SLACK_SHARE, window, 0
        )

    def on_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        _drop_before(self._requests, now - self._window)

    def allows(self, now: float, hosts: int = 1) -> bool:
        """Tell whether a retry may be sent.

        Parameters
        ----------
        now : float
            Clock, seconds.
        hosts : int
            Number of hosts that share the slack.
        """
        start = now - self._window
        _drop_before(self._requests, start)
        _drop_before(self._retries, start)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, hosts)
        return len(self._retries) + 1 <= max(allowed, self._floor)

    def on_retry(self, now: float) -> None:
        """Count a retry that is sent."""
        self._retries.append(now)

    def spend(self, now: float) -> bool:
        """Count a retry if the budget allows it.

        Returns
        -------
        bool
            False if the budget is spent; the retry must not be made then.
        """
        if not self.allows(now):
            return False
        self.on_retry(now)
        return True


def _drop_before(times: collections.deque[float], start: float) -> None:
    while times and times[0] <= start:
        times.popleft()
