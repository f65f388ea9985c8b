"""State of one stand-in backend server: slots, warmth and counters."""

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

BURST_BORNE_COLD = 4.0


class Sample(typing.NamedTuple):
    """Figures that /health and /load give out after a lag."""

    taken: float
    running: int
    started: int
    status: str


class BackendServer:
    """What one server knows and counts; performs no I/O."""

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
        self.cuts = 0
        self.clients: set[tuple[str, int]] = set()
        self.silent_clients: set[tuple[str, int]] = set()
        self.samples: collections.deque[Sample] = collections.deque()
        self._random = random.Random(settings.name)
        self.restart()

    def restart(self) -> None:
        """Begin a new incarnation, cold if the settings say so."""
        self.incarnation = secrets.token_hex(6)
        self.grants = backend_grants.Grants(time.monotonic())
        self.draining = False
        self.turn_cold()

    def turn_cold(self) -> None:
        """Bear only few requests until warm again."""
        self.cold = self.settings.cold_seconds > 0
        self._first_cold = 0.0
        self._level = 0.0
        self._level_time = 0.0

    def refusal(self, fence: str | None, now: float) -> tuple[int, str] | None:
        """Return status and reason if a request may not run now."""
        if self.settings.fenced and not self.grants.admits(fence, now):
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

    def falls_over(self, now: float) -> bool:
        """Count a request against what a cold server bears."""
        if not self.cold:
            return False
        if not self._first_cold:
            self._first_cold = self._level_time = now
        age = now - self._first_cold
        if age >= self.settings.cold_seconds:
            self.cold = False
            return False
        rate = self.settings.cold_rate * 2.0**age
        passed = now - self._level_time
        self._level = max(0.0, self._level - passed * rate) + 1.0
        self._level_time = now
        return self._level > BURST_BORNE_COLD

    def enter(self) -> None:
        """Take a slot."""
        self.running += 1
        self.highest_running = max(self.highest_running, self.running)

    def leave(self) -> None:
        """Give the slot back."""
        self.running -= 1

    def count_execution(self, request_id: str) -> None:
        """Count that a request with its whole body began to run."""
        self.counts["executed"] += 1
        if request_id:
            self.executions_by_id[request_id] += 1

    def work_seconds(self, now: float) -> float:
        """Draw the time for one request."""
        mean = self.settings.service_ms / 1000
        if now < self.slow_until:
            mean = max(mean, 0.001) * self.slow_factor
        if not mean:
            return 0.0
        return mean * (0.5 + self._random.random())

    def silence(self, exempt: tuple[str, int]) -> None:
        """Never answer again on the connections that are open now."""
        self.silent_clients = self.clients - {exempt}

    async def thawed(self) -> None:
        """Wait while the server is frozen."""
        while (left := self.frozen_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    def status(self) -> str:
        """Return the state in one word."""
        if time.monotonic() < self.down_until:
            return "down"
        if self.draining:
            return "draining"
        return "cold" if self.cold else "warm"

    def take_sample(self) -> None:
        """Keep the present figures for later answers."""
        now = time.monotonic()
        self.samples.append(
            Sample(now, self.running, self.counts["executed"], self.status())
        )
        lag = self.settings.lag_seconds
        while len(self.samples) > 2 and self.samples[1].taken <= now - lag:
            self.samples.popleft()

    def lagging(self) -> dict[str, object]:
        """Return figures as they were some time ago."""
        if not self.samples:
            self.take_sample()
        first = self.samples[0]
        second = self.samples[min(1, len(self.samples) - 1)]
        span = second.taken - first.taken
        rate = (second.started - first.started) / span if span else 0.0
        return {
            "status": first.status,
            "running": first.running,
            "requests_per_second": round(rate, 3),
            "age_ms": round((time.monotonic() - first.taken) * 1000),
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
        """Forget executions and counters."""
        self.executions_by_id.clear()
        self.counts.clear()
        self.highest_running = self.highest_offered = self.running
