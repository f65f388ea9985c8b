"""Concurrency slots of one backend server and the queue for them."""

from __future__ import annotations

import heapq
import math
import typing

import anyio

from agatestile.limits import latency
from agatestile.limits import ramp as ramps
from agatestile.limits import waiting as queues
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants

TICK_SECONDS = 0.001
"""Shortest wait for capacity; timers are not more precise."""

_CODES = codes.ResultCode


_EVICTED = outcomes.Refusal(
    _CODES.QUEUE_FULL, "a request of higher priority took its place"
)


class Observation(typing.NamedTuple):
    """What is known when a request leaves its slot.

    Attributes
    ----------
    now : float
        Runtime's clock, seconds.
    latency : float or None
        Seconds from sending to the head of the answer, None without one.
    shed : bool
        Whether the server refused for want of capacity.
    hold_until : float
        Until when the server may still run the request although nobody
        waits for it; 0.0 if it certainly does not.
    """

    now: float
    latency: float | None = None
    shed: bool = False
    hold_until: float = 0.0


class Slot(typing.NamedTuple):
    """Permission to run one request on the server."""

    number: int


class Limits(typing.NamedTuple):
    """Bounds from the table.

    Attributes
    ----------
    slots : int
        Requests that the server runs at the same time.
    queue : int
        Requests that may wait.
    queue_seconds : float
        Longest wait, seconds.
    """

    slots: int
    queue: int
    queue_seconds: float


class Admission:
    """Exact count of requests at one server, kept at its only gate.

    Parameters
    ----------
    server : str
        Name of the server.
    limits : Limits
        Bounds from the table.
    checks : invariants.Invariants
        Counts broken invariants.

    Attributes
    ----------
    in_flight : int
        Requests that hold a slot.
    ramp : ramp.Ramp
        State of the server's cold start.
    quantiles : latency.DecayingQuantiles
        Latencies of the server's answers.
    """

    def __init__(
        self,
        server: str,
        limits: Limits,
        checks: invariants.Invariants,
    ) -> None:
        self._server = server
        self._limits = limits
        self._checks = checks
        self.in_flight = 0
        self.ramp = ramps.Ramp(server)
        self.quantiles = latency.DecayingQuantiles()
        self._jumps = latency.JumpDetector()
        self._holds: list[float] = []
        self._queue = queues.WaitQueue()
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    def set_limits(self, limits: Limits) -> None:
        """Follow a change of the table."""
        self._limits = limits

    def hold(self, count: int, until: float) -> None:
        """Count slots as used by requests that this gate did not send."""
        for _ in range(count):
            heapq.heappush(self._holds, until)

    def try_enter(
        self, now: float, deadline: float
    ) -> Slot | outcomes.Refusal | None:
        """Return a slot if one is free and nobody waits, else None."""
        if now >= deadline:
            return _refuse_deadline()
        if self._queue or not self._has_capacity(now):
            return None
        return self._grant(now)

    async def enter(
        self, deadline: float, priority: int
    ) -> Slot | outcomes.Refusal:
        """Wait for a slot.

        Parameters
        ----------
        deadline : float
            Runtime's clock at which the request is of no use any more.
        priority : int
            Higher is served first.

        Returns
        -------
        Slot or Refusal
            ``QUEUE_FULL``, ``QUEUE_TIMEOUT`` or ``DEADLINE_PASSED``.
        """
        now = anyio.current_time()
        entered = self.try_enter(now, deadline)
        if entered is not None:
            return entered
        waiter = self.join(now, deadline, priority)
        if isinstance(waiter, outcomes.Refusal):
            return waiter
        try:
            return await self._wait(waiter)
        except BaseException:
            self._abandon(waiter)
            raise

    def join(
        self, now: float, deadline: float, priority: int
    ) -> queues.Waiter | outcomes.Refusal:
        """Take a place in the queue.

        When the queue is full, a request of higher priority takes the
        place of the last one of the lowest priority.
        """
        self.poll(now)
        refusal = self._refuse_early(now, deadline, priority)
        if refusal is not None:
            return refusal
        self._sequence += 1
        expires = min(deadline, now + self._limits.queue_seconds)
        waiter = queues.Waiter((-priority, self._sequence), expires, deadline)
        self._queue.push(waiter)
        self.poll(now)
        return waiter

    def leave(self, slot: Slot, observation: Observation) -> None:
        """Give a slot back.

        Parameters
        ----------
        slot : Slot
            From `enter` or `try_enter`.
        observation : Observation
            What the request showed about the server.
        """
        now = observation.now
        self.in_flight -= 1
        self._checks.check(
            "slots", self.in_flight >= 0, f"{self._server}: slot left twice"
        )
        if observation.hold_until > now:
            heapq.heappush(self._holds, observation.hold_until)
        if observation.shed:
            self.ramp.on_shed(now)
        elif observation.latency is not None:
            self._observe(observation.latency, now)
        self.poll(now)

    def poll(self, now: float) -> None:
        """Hand free slots to waiters and drop those that waited too long."""
        self._serve_queue(now)
        self._queue.nudge()

    def next_change(self, now: float) -> float:
        """Return when capacity may come up without a request leaving."""
        if not self._has_slot(now):
            return self._holds[0] if self._holds else math.inf
        return self.ramp.next_send()

    async def _wait(self, waiter: queues.Waiter) -> Slot | outcomes.Refusal:
        while waiter.answer is None:
            now = anyio.current_time()
            wake = waiter.expires
            if waiter is self._queue.first:
                # Only the first one looks at the time: with a timer each,
                # a long queue took most of the process's time.
                soonest = max(self.next_change(now), now + TICK_SECONDS)
                wake = min(wake, soonest)
            with anyio.CancelScope(deadline=wake):
                await waiter.event.wait()
            if waiter.answer is not None:
                break
            waiter.event = anyio.Event()
            now = anyio.current_time()
            if now >= waiter.expires:
                self._queue.remove(waiter)
                return _refuse_wait(now, waiter.deadline)
            self._serve_queue(now)
            if waiter.answer is not None:
                self._queue.nudge()
        return waiter.answer

    def _serve_queue(self, now: float) -> None:
        while self._queue:
            waiter = self._queue.first
            if now >= waiter.expires:
                answer: Slot | outcomes.Refusal = _refuse_wait(
                    now, waiter.deadline
                )
            elif self._has_capacity(now):
                answer = self._grant(now)
            else:
                return
            self._queue.pop().finish(answer)

    def _grant(self, now: float) -> Slot | outcomes.Refusal:
        used = self.in_flight + len(self._holds) + 1
        allowed = self._checks.check(
            "slots",
            used <= self._limits.slots,
            f"{self._server}: {used} of {self._limits.slots} slots",
        )
        if not allowed:
            return outcomes.Refusal(_CODES.QUEUE_FULL, "no slot is free")
        self.in_flight += 1
        self._sequence += 1
        self.ramp.on_sent(now)
        return Slot(self._sequence)

    def _has_capacity(self, now: float) -> bool:
        return self._has_slot(now) and self.ramp.allows(now)

    def _has_slot(self, now: float) -> bool:
        while self._holds and self._holds[0] <= now:
            heapq.heappop(self._holds)
        used = self.in_flight + len(self._holds)
        return used < self.ramp.slots(self._limits.slots)

    def _observe(self, seconds: float, now: float) -> None:
        if self._jumps.is_jump(seconds, self.quantiles, now):
            self.ramp.mark_cold(now, "its latency jumped")
            self.quantiles.clear()
        self.quantiles.observe(seconds, now)
        if self.ramp.is_cold:
            typical = max(self.quantiles.quantile(0.5, now), 1e-4)
            self.ramp.on_answer(now, self._limits.slots / typical)
            if not self.ramp.is_cold:
                # Answers of a server that runs one request at a time say
                # little about those when all its slots are in use.
                self.quantiles.clear()

    def _refuse_early(
        self, now: float, deadline: float, priority: int
    ) -> outcomes.Refusal | None:
        count = len(self._queue)
        if count >= self._limits.queue:
            if not self._queue.evict(priority, _EVICTED):
                return outcomes.Refusal(
                    _CODES.QUEUE_FULL, f"{count} requests wait already"
                )
        elif count:
            typical = self.quantiles.quantile(0.5, now)
            slots = self.ramp.slots(self._limits.slots)
            expected = count * typical / max(slots, 1)
            longest = min(deadline - now, self._limits.queue_seconds)
            if expected > longest:
                return outcomes.Refusal(
                    _CODES.QUEUE_FULL,
                    f"the expected wait is {expected * 1000:.0f} ms",
                )
        return None

    def _abandon(self, waiter: queues.Waiter) -> None:
        self._queue.remove(waiter)
        if isinstance(waiter.answer, Slot):
            self.leave(waiter.answer, Observation(anyio.current_time()))


def _refuse_wait(now: float, deadline: float) -> outcomes.Refusal:
    if now >= deadline:
        return _refuse_deadline()
    return outcomes.Refusal(_CODES.QUEUE_TIMEOUT, "no slot was free in time")


def _refuse_deadline() -> outcomes.Refusal:
    return outcomes.Refusal(
        _CODES.DEADLINE_PASSED, "the deadline passed before it was sent"
    )
