"""State of one stand-in backend server: slots, warm-up and counters."""

from __future__ import annotations

import asyncio
import collections
import random
import secrets
import time
import typing

from standins import backend_grants

if typing.TYPE_CHECKING:
    from standins import backend_settings

COLD_BURST_REQUESTS = 4.0
"""Requests that a cold server bears at once, above its rate."""


class Sample(typing.NamedTuple):
    """Figures that /health and /load report after a lag."""

    taken_at: float
    running: int
    started: int
    status: str


class BackendServer:
    """State and counters of one server, without input or output."""

    def __init__(self, settings: backend_settings.ServerSettings) -> None:
        self.settings = settings
        self.executions_by_id: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.highest_running = 0
        self.highest_offered = 0
        self.running = 0
        self.draining = False
        self.down_until = 0.0
        self.slow_factor = 1.0
        self.slow_until = 0.0
        self.frozen_until = 0.0
        self.truncations_left = 0
        self.clients: set[tuple[str, int]] = set()
        self.ignored_clients: set[tuple[str, int]] = set()
        self.samples: collections.deque[Sample] = collections.deque()
        self._random = random.Random(settings.name)
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation, cold if the settings say so."""
        self.incarnation = secrets.token_hex(6)
        self.grants = backend_grants.Grants(time.monotonic())
        self.draining = False
        self.become_cold()

    def become_cold(self) -> None:
        """Become cold, so that a small load crashes the server."""
        self.cold = self.settings.cold_seconds > 0
        self._first_cold_request = 0.0
        self._load_level = 0.0
        self._load_level_time = 0.0

    def check_admission(
        self, fence: str | None, now: float
    ) -> tuple[int, str] | None:
        """Return HTTP status and reason if a request may not run now."""
        if self.settings.fenced and not self.grants.accepts(fence, now):
            self.counts["fence"] += 1
            return 409, "fence"
        if self.draining:
            self.counts["draining"] += 1
            return 503, "shed"
        offered = self.running + 1
        self.highest_offered = max(self.highest_offered, offered)
        if offered > self.settings.slots:
            self.counts["shed"] += 1
            return 503, "shed"
        if self.cold and offered > 1:
            self.counts["shed_cold"] += 1
            return 503, "shed"
        return None

    def exceeds_cold_capacity(self, now: float) -> bool:
        """Count a request; return whether it exceeds the cold capacity.

        The capacity of a cold server is a leaky bucket whose rate doubles
        each second.
        """
        if not self.cold:
            return False
        if not self._first_cold_request:
            self._first_cold_request = self._load_level_time = now
        age = now - self._first_cold_request
        if age >= self.settings.cold_seconds:
            self.cold = False
            return False
        rate = self.settings.cold_rate * 2.0**age
        elapsed = now - self._load_level_time
        self._load_level = max(0.0, self._load_level - elapsed * rate) + 1.0
        self._load_level_time = now
        return self._load_level > COLD_BURST_REQUESTS

    def acquire_slot(self) -> None:
        """Occupy a slot."""
        self.running += 1
        self.highest_running = max(self.highest_running, self.running)

    def release_slot(self) -> None:
        """Free a slot."""
        self.running -= 1

    def count_execution(self, request_id: str) -> None:
        """Count a request that starts to run, once its body was received."""
        self.counts["executed"] += 1
        if request_id:
            self.executions_by_id[request_id] += 1

    def draw_service_time(self, now: float) -> float:
        """Return a random service time for one request, seconds."""
        mean = self.settings.service_ms / 1000
        if now < self.slow_until:
            mean = max(mean, 0.001) * self.slow_factor
        if not mean:
            return 0.0
        return mean * (0.5 + self._random.random())

    def ignore_open_connections(self, exempt: tuple[str, int]) -> None:
        """Stop responding on the connections that are open now.

        Parameters
        ----------
        exempt : tuple of str and int
            Address of the client that still gets responses.
        """
        self.ignored_clients = self.clients - {exempt}

    async def wait_while_frozen(self) -> None:
        """Wait while the server is frozen."""
        while (remaining := self.frozen_until - time.monotonic()) > 0:
            await asyncio.sleep(remaining)

    def status(self) -> str:
        """Return "down", "draining", "cold" or "warm"."""
        if time.monotonic() < self.down_until:
            return "down"
        if self.draining:
            return "draining"
        return "cold" if self.cold else "warm"

    def take_sample(self) -> None:
        """Record the present figures for later reports."""
        now = time.monotonic()
        self.samples.append(
            Sample(now, self.running, self.counts["executed"], self.status())
        )
        lag = self.settings.lag_seconds
        while len(self.samples) > 2 and self.samples[1].taken_at <= now - lag:
            self.samples.popleft()

    def delayed_report(self) -> dict[str, object]:
        """Return the figures with the lag of the settings."""
        if not self.samples:
            self.take_sample()
        first = self.samples[0]
        second = self.samples[min(1, len(self.samples) - 1)]
        interval = second.taken_at - first.taken_at
        rate = (second.started - first.started) / interval if interval else 0.0
        return {
            "status": first.status,
            "running": first.running,
            "requests_per_second": round(rate, 3),
            "age_ms": round((time.monotonic() - first.taken_at) * 1000),
        }

    def report(self) -> dict[str, object]:
        """Return the present state and all counters, without lag."""
        return {
            "name": self.settings.name,
            "status": self.status(),
            "incarnation": self.incarnation,
            "slots": self.settings.slots,
            "running": self.running,
            "highest_running": self.highest_running,
            "highest_offered": self.highest_offered,
            "connections": len(self.clients),
            "fence": self.grants.fence,
            "gate": self.grants.gate,
            "counts": dict(self.counts),
            "grants_refused": dict(self.grants.refused_by_reason),
        }

    def reset(self) -> None:
        """Reset executions and counters."""
        self.executions_by_id.clear()
        self.counts.clear()
        self.highest_running = self.highest_offered = self.running
