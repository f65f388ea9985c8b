"""What one host knows of the load and speed of a backend server."""

from __future__ import annotations

import math
import typing

REPORT_FADE_SECONDS = 0.5
"""Time in which a server's report of its load loses most of its weight;
the work of other hosts changes within a few requests."""

SPEED_WEIGHT = 0.15
"""Weight of one answer in the mean time of service."""

FAILURE_WEIGHT = 0.12
"""Weight of one answer in the share of failures."""

REMOTE_WEIGHT = 0.03
"""Weight of one answer that another host measured."""

SUSPEND_SECONDS = 0.5
"""First pause after a server could not be reached."""

SUSPEND_LIMIT_SECONDS = 1.0
"""Longest pause after a server could not be reached."""

SLOWDOWN_LIMIT = 5.0
"""Largest momentary slowdown that is believed."""

SLOWDOWN_SECONDS = 0.4
"""How long a report of momentary slowdown holds."""


SILENCE_FACTOR = 4.0
"""Multiple of the expected time after which a server counts as silent."""

SILENCE_SECONDS = 0.4
"""Least time without an answer that counts as silence."""


class LoadReport(typing.NamedTuple):
    """Load that a server reports with an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests at work, in the queue, and the bound of the first.
    slowdown : float
        Time that work takes now, relative to the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class Samples(typing.NamedTuple):
    """Answers of one server since the last report.

    Attributes
    ----------
    answered : int
        Requests that were answered.
    mean_time : float
        Mean time that they were at work, seconds; 0 without any.
    failed : int
        Requests that failed or were refused.
    """

    answered: int
    mean_time: float
    failed: int


class ServerLoad:
    """Load and speed of one server, as this host sees them.

    Parameters
    ----------
    slots : int
        Requests that the server works on at the same time.
    service_time : float
        First estimate of the time that one request takes, seconds.

    Attributes
    ----------
    in_flight : int
        Requests of this host that are at the server.
    service_time : float
        Mean time of a request once it is at work, seconds.
    failure_share : float
        Recent share of failed requests, 0 to 1.
    """

    def __init__(self, slots: int, service_time: float) -> None:
        self.slots = max(1, slots)
        self.service_time = service_time
        self.in_flight = 0
        self.failure_share = 0.0
        self.answered = 0
        self._sampled = 0
        self._sampled_time = 0.0
        self._failed = 0
        self._others = 0.0
        self._reported = -math.inf
        self._slowdown = 1.0
        self._suspended_until = -math.inf
        self._suspension = 0.0
        self._waiting_since = math.inf

    def is_suspended(self, now: float) -> bool:
        """Tell whether the server is left out after failures to reach it."""
        return now < self._suspended_until

    def is_silent(self, now: float) -> bool:
        """Tell whether requests are unanswered for long."""
        if now - self._waiting_since < SILENCE_SECONDS:
            return False
        limit = SILENCE_FACTOR * self.expected_time(now)
        return now - self._waiting_since > limit

    def slowdown(self, now: float) -> float:
        """Return the last reported slowdown while it holds."""
        if now - self._reported > SLOWDOWN_SECONDS:
            return 1.0
        return self._slowdown

    def report_age(self, now: float) -> float:
        """Return the age of the last report, seconds."""
        return now - self._reported

    def occupancy(self, now: float) -> float:
        """Return the requests that are probably at the server."""
        age = max(0.0, now - self._reported)
        fade = math.exp(-age / REPORT_FADE_SECONDS)
        return self.in_flight + self._others * fade

    def expected_wait(self, now: float) -> float:
        """Return the time until a request sent now starts, seconds."""
        ahead = self.occupancy(now) + 1.0 - self.slots
        if ahead <= 0.0:
            return 0.0
        pace = self.service_time * self.slowdown(now) / self.slots
        return ahead * pace

    def expected_time(self, now: float) -> float:
        """Return the time until a request sent now is answered, seconds."""
        work = self.service_time * self.slowdown(now)
        return self.expected_wait(now) + work

    def on_sent(self, now: float) -> None:
        """Count a request that starts."""
        if not self.in_flight:
            self._waiting_since = now
        self.in_flight += 1

    def on_done(self) -> None:
        """Count a request that ended in any way."""
        self.in_flight -= 1
        if not self.in_flight:
            self._waiting_since = math.inf

    def on_response(
        self,
        now: float,
        elapsed: float,
        wait: float,
        report: LoadReport | None,
    ) -> None:
        """Learn from an answer of work that ran.

        Parameters
        ----------
        now : float
            The runtime's clock, seconds.
        elapsed : float
            Time from the request to its answer, seconds.
        wait : float
            The wait that was expected when it was sent, seconds.
        report : LoadReport or None
            Load in the answer.
        """
        slowdown = self.slowdown(now)
        self.on_report(now, report)
        self.on_reached()
        self.answered += 1
        work = max(elapsed - wait, 0.25 * elapsed)
        if report is not None:
            slowdown = (slowdown + min(report.slowdown, SLOWDOWN_LIMIT)) / 2
        sample = work / max(1.0, slowdown)
        self._sampled += 1
        self._sampled_time += sample
        self.service_time += SPEED_WEIGHT * (sample - self.service_time)
        self.failure_share -= FAILURE_WEIGHT * self.failure_share

    def on_report(self, now: float, report: LoadReport | None) -> None:
        """Take the load that a server reports."""
        self._waiting_since = now if self.in_flight else math.inf
        if report is None:
            return
        self._reported = now
        # The report may still count the request that it answers.
        others = report.running + report.waiting - self.in_flight
        self._others = max(0.0, float(others))
        self._slowdown = min(max(report.slowdown, 0.2), SLOWDOWN_LIMIT)
        if report.slots > 0:
            self.slots = report.slots

    def on_failure(self) -> None:
        """Learn from a failed or refused request."""
        self._failed += 1
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)

    def take_samples(self) -> Samples | None:
        """Return what was measured since the last call, None for nothing."""
        if not self._sampled and not self._failed:
            return None
        samples = Samples(
            self._sampled,
            self._sampled_time / max(1, self._sampled),
            self._failed,
        )
        self._sampled = self._failed = 0
        self._sampled_time = 0.0
        return samples

    def merge_samples(self, samples: Samples) -> None:
        """Take what another host measured."""
        if samples.answered:
            weight = 1.0 - (1.0 - REMOTE_WEIGHT) ** samples.answered
            self.service_time += weight * (
                samples.mean_time - self.service_time
            )
            self.answered = max(self.answered, 1)
        count = samples.answered + samples.failed
        share = samples.failed / count
        weight = 1.0 - (1.0 - REMOTE_WEIGHT) ** count
        self.failure_share += weight * (share - self.failure_share)

    def on_unreachable(self, now: float) -> None:
        """Leave the server out for a while, longer each time."""
        self.on_failure()
        self._suspension = min(
            max(SUSPEND_SECONDS, 2 * self._suspension), SUSPEND_LIMIT_SECONDS
        )
        self._suspended_until = now + self._suspension

    def on_reached(self) -> None:
        """End the pause."""
        self._suspended_until = -math.inf
        self._suspension = 0.0
