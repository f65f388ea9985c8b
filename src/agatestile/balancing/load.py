"""Load and speed of a backend server, as one host estimates them."""

from __future__ import annotations

import math
import typing

REPORT_DECAY_SECONDS = 0.5
"""Time constant with which a server's load report loses its weight: the
load from other hosts changes within a few requests. Seconds."""

SERVICE_TIME_WEIGHT = 0.15
"""Weight of one response in the mean service time."""

FAILURE_WEIGHT = 0.12
"""Weight of one response in the share of failures."""

REMOTE_SAMPLE_WEIGHT = 0.03
"""Weight of one response that another host measured."""

MIN_SUSPENSION_SECONDS = 0.5
"""First suspension after a server could not be reached."""

MAX_SUSPENSION_SECONDS = 1.0
"""Longest suspension after a server could not be reached."""

MAX_PAUSE_SECONDS = 300.0
"""Longest pause that a server may request."""

MAX_SLOWDOWN = 5.0
"""Largest reported momentary slowdown that is accepted."""

SLOWDOWN_VALIDITY_SECONDS = 0.4
"""How long a reported momentary slowdown is used."""

UNRESPONSIVE_FACTOR = 4.0
"""Multiple of the expected time without a response after which a server
counts as unresponsive."""

MIN_UNRESPONSIVE_SECONDS = 0.4
"""Shortest time without a response after which a server counts as
unresponsive."""


class LoadReport(typing.NamedTuple):
    """Load that a server reports with a response.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that are running, requests in the queue, and the largest
        number of running requests.
    slowdown : float
        Service time now, relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class Samples(typing.NamedTuple):
    """Measured responses of one server since the last report.

    Attributes
    ----------
    answered : int
        Requests that were answered.
    mean_time : float
        Mean service time, seconds; 0 if no request was answered.
    failed : int
        Requests that failed or were rejected.
    """

    answered: int
    mean_time: float
    failed: int


class ServerLoad:
    """Load and speed of one server, as this host estimates them.

    Parameters
    ----------
    slots : int
        Requests that the server processes at the same time.
    service_time : float
        Initial estimate of the service time, seconds.

    Attributes
    ----------
    in_flight : int
        Requests that this host sent and that have not ended.
    service_time : float
        Mean time of a request without its wait in the queue, seconds.
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
        self._other_requests = 0.0
        self._reported_at = -math.inf
        self._slowdown = 1.0
        self._suspended_until = -math.inf
        self._suspension_seconds = 0.0
        self._paused_until = -math.inf
        self._no_response_since = math.inf

    def pause_left(self, now: float) -> float:
        """Return for how long the server wants no requests, seconds."""
        return max(0.0, self._paused_until - now)

    def is_suspended(self, now: float) -> bool:
        """Return whether the server is excluded because it was unreachable."""
        return now < self._suspended_until

    def is_unresponsive(self, now: float) -> bool:
        """Return whether requests have had no response for too long."""
        if now - self._no_response_since < MIN_UNRESPONSIVE_SECONDS:
            return False
        limit = UNRESPONSIVE_FACTOR * self.expected_time(now)
        return now - self._no_response_since > limit

    def slowdown(self, now: float) -> float:
        """Return the last reported slowdown, 1 once it has expired."""
        if now - self._reported_at > SLOWDOWN_VALIDITY_SECONDS:
            return 1.0
        return self._slowdown

    def report_age(self, now: float) -> float:
        """Return the age of the last load report, seconds."""
        return now - self._reported_at

    def occupancy(self, now: float) -> float:
        """Return the estimated number of requests at the server."""
        age = max(0.0, now - self._reported_at)
        decay = math.exp(-age / REPORT_DECAY_SECONDS)
        return self.in_flight + self._other_requests * decay

    def expected_wait(self, now: float) -> float:
        """Return the queueing time of a request sent now, seconds."""
        queued = self.occupancy(now) + 1.0 - self.slots
        if queued <= 0.0:
            return 0.0
        time_per_request = self.service_time * self.slowdown(now) / self.slots
        return queued * time_per_request

    def expected_time(self, now: float) -> float:
        """Return the response time of a request sent now, seconds."""
        work = self.service_time * self.slowdown(now)
        return self.expected_wait(now) + work

    def on_sent(self, now: float) -> None:
        """Count a request that was sent."""
        if not self.in_flight:
            self._no_response_since = now
        self.in_flight += 1

    def on_done(self) -> None:
        """Count a request that ended in any way."""
        self.in_flight -= 1
        if not self.in_flight:
            self._no_response_since = math.inf

    def on_response(
        self,
        now: float,
        elapsed: float,
        wait: float,
        report: LoadReport | None,
    ) -> None:
        """Update the estimates from a response of a request that ran.

        Parameters
        ----------
        now : float
            Clock of the event loop, seconds.
        elapsed : float
            Time from the request to its response, seconds.
        wait : float
            Wait that was expected when the request was sent, seconds.
        report : LoadReport or None
            Load report in the response.
        """
        slowdown = self.slowdown(now)
        self.on_report(now, report)
        self.on_reached()
        self.answered += 1
        work = max(elapsed - wait, 0.25 * elapsed)
        if report is not None:
            slowdown = (slowdown + min(report.slowdown, MAX_SLOWDOWN)) / 2
        sample = work / max(1.0, slowdown)
        self._sampled += 1
        self._sampled_time += sample
        self.service_time += SERVICE_TIME_WEIGHT * (sample - self.service_time)
        self.failure_share -= FAILURE_WEIGHT * self.failure_share

    def on_report(self, now: float, report: LoadReport | None) -> None:
        """Update the load from a report of the server."""
        self._no_response_since = now if self.in_flight else math.inf
        if report is None:
            return
        self._reported_at = now
        # The report may still count the request that was just answered.
        other_requests = report.running + report.waiting - self.in_flight
        self._other_requests = max(0.0, float(other_requests))
        self._slowdown = min(max(report.slowdown, 0.2), MAX_SLOWDOWN)
        if report.slots > 0:
            self.slots = report.slots

    def on_pause(self, now: float, seconds: float) -> None:
        """Record that the server wants no requests for some time.

        Parameters
        ----------
        now : float
            Clock of the event loop, seconds.
        seconds : float
            Length of the pause, seconds.
        """
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        self._paused_until = max(self._paused_until, until)

    def on_failure(self) -> None:
        """Count a failed or rejected request."""
        self._failed += 1
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)

    def take_samples(self) -> Samples | None:
        """Return the samples since the last call, None if there are none."""
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
        """Merge the samples that another host measured."""
        if samples.answered:
            weight = 1.0 - (1.0 - REMOTE_SAMPLE_WEIGHT) ** samples.answered
            self.service_time += weight * (
                samples.mean_time - self.service_time
            )
            self.answered = max(self.answered, 1)
        count = samples.answered + samples.failed
        share = samples.failed / count
        weight = 1.0 - (1.0 - REMOTE_SAMPLE_WEIGHT) ** count
        self.failure_share += weight * (share - self.failure_share)

    def on_unreachable(self, now: float) -> None:
        """Suspend the server, for longer after each failure in a row."""
        self.on_failure()
        self._suspension_seconds = min(
            max(MIN_SUSPENSION_SECONDS, 2 * self._suspension_seconds),
            MAX_SUSPENSION_SECONDS,
        )
        self._suspended_until = now + self._suspension_seconds

    def on_reached(self) -> None:
        """End the suspension."""
        self._suspended_until = -math.inf
        self._suspension_seconds = 0.0
