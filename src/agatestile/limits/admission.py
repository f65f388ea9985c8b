"""Concurrency limit of a backend server, with a queue for its slots."""

from __future__ import annotations

import heapq
import math
import typing

import anyio

from agatestile.limits import latency
from agatestile.limits import ramp
from agatestile.limits import wait_queue
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants

MIN_WAIT_SECONDS = 0.001
"""Shortest wait for capacity, as timers are not more precise."""

_CODES = codes.ResultCode

_EVICTED = outcomes.Refusal(
    _CODES.QUEUE_FULL,
    "a request of higher priority took its place in the queue",
)


class Observation(typing.NamedTuple):
    """Outcome of a request that releases its slot.

    Attributes
    ----------
    now : float
        Clock of the event loop, seconds.
    latency : float or None
        Seconds from sending the request to the head of the answer, None
        without an answer.
    shed : bool
        Whether the server refused the request for lack of capacity.
    hold_until : float
        Clock, in seconds, until which the server may still run the request
        although nobody waits for it; 0.0 if it certainly does not.
    """

    now: float
    latency: float | None = None
    shed: bool = False
    hold_until: float = 0.0


class Slot(typing.NamedTuple):
    """Permission to run one request on the server.

    Attributes
    ----------
    number : int
        Number that is unique among the slots of this gate.
    """

    number: int


class Limits(typing.NamedTuple):
    """Limits of a server from the services table.

    Attributes
    ----------
    slots : int
        Maximum number of requests that the server runs concurrently.
    queue : int
        Maximum number of requests that wait for a slot.
    queue_seconds : float
        Longest wait for a slot, seconds.
    """

    slots: int
    queue: int
    queue_seconds: float


class Admission:
    """Limits the concurrent requests to a server, at its only gate.

    All requests to the server pass its gate, so the count is exact.

    Parameters
    ----------
    server : str
        Name of the server.
    limits : Limits
        Limits from the services table.
    checks : invariants.Invariants
        Counts violated invariants.

    Attributes
    ----------
    in_flight : int
        Requests that hold a slot.
    ramp : ramp.Ramp
        Slow start of the server while it is cold.
    quantiles : latency.DecayingQuantiles
        Latencies of the server's answers, seconds.
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
        self.ramp = ramp.Ramp(server)
        self.quantiles = latency.DecayingQuantiles()
        self._jump_detector = latency.JumpDetector()
        self._holds: list[float] = []
        self._queue = wait_queue.WaitQueue()
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    def set_limits(self, limits: Limits) -> None:
        """Apply limits that changed in the services table."""
        self._limits = limits

    def hold(self, count: int, until: float) -> None:
        """Count slots as used by requests that this gate did not send.

        Parameters
        ----------
        count : int
            Number of slots.
        until : float
            Clock at which the slots become free, seconds.
        """
        for _ in range(count):
            heapq.heappush(self._holds, until)

    def try_enter(
        self, now: float, deadline: float
    ) -> Slot | outcomes.Refusal | None:
        """Return a slot if one is free and no request waits, else None."""
        if now >= deadline:
            return _refuse_deadline()
        if self._queue or not self._has_capacity(now):
            return None
        return self._grant(now)

    async def enter(
        self, deadline: float, priority: int
    ) -> Slot | outcomes.Refusal:
        """Wait for a slot and take it.

        Parameters
        ----------
        deadline : float
            Clock after which the answer is of no use, seconds.
        priority : int
            Requests of higher priority are served first.

        Returns
        -------
        Slot or Refusal
            The refusal has the code ``QUEUE_FULL``, ``QUEUE_TIMEOUT`` or
            ``DEADLINE_PASSED``.
        """
        now = anyio.current_time()
        entered = self.try_enter(now, deadline)
        if entered is not None:
            return entered
        waiter = self.enqueue(now, deadline, priority)
        if isinstance(waiter, outcomes.Refusal):
            return waiter
        try:
            return await self._wait(waiter)
        except BaseException:
            self._cancel_wait(waiter)
            raise

    def enqueue(
        self, now: float, deadline: float, priority: int
    ) -> wait_queue.Waiter | outcomes.Refusal:
        """Add a request to the queue.

        If the queue is full, a request of higher priority takes the place
        of the last request of the lowest priority.
        """
        self.poll(now)
        refusal = self._refuse_early(now, deadline, priority)
        if refusal is not None:
            return refusal
        self._sequence += 1
        expires = min(deadline, now + self._limits.queue_seconds)
        waiter = wait_queue.Waiter(
            (-priority, self._sequence), expires, deadline
        )
        self._queue.push(waiter)
        self.poll(now)
        return waiter

    def leave(self, slot: Slot, observation: Observation) -> None:
        """Release a slot.

        Parameters
        ----------
        slot : Slot
            Slot returned by `enter` or `try_enter`.
        observation : Observation
            Outcome of the request that used the slot.
        """
        now = observation.now
        self.in_flight -= 1
        self._checks.check(
            "slots",
            self.in_flight >= 0,
            f"{self._server}: a slot was released twice",
        )
        if observation.hold_until > now:
            heapq.heappush(self._holds, observation.hold_until)
        if observation.shed:
            self.ramp.on_shed(now)
        elif observation.latency is not None:
            self._observe_latency(observation.latency, now)
        self.poll(now)

    def poll(self, now: float) -> None:
        """Give free slots to waiters and refuse those whose wait expired."""
        self._serve_queue(now)
        self._queue.wake_first()

    def next_capacity_time(self, now: float) -> float:
        """Return when capacity may free up without a release, seconds."""
        if not self._has_slot(now):
            return self._holds[0] if self._holds else math.inf
        return self.ramp.next_send()

    async def _wait(
        self, waiter: wait_queue.Waiter
    ) -> Slot | outcomes.Refusal:
        while waiter.answer is None:
            now = anyio.current_time()
            wake = waiter.expires
            if waiter is self._queue.first:
                # Only the first waiter checks for capacity on a timer: when
                # each waiter did, a long queue took most of the time of the
                # process.
                soonest = max(
                    self.next_capacity_time(now), now + MIN_WAIT_SECONDS
                )
                wake = min(wake, soonest)
            with anyio.CancelScope(deadline=wake):
                await waiter.event.wait()
            if waiter.answer is not None:
                break
            waiter.event = anyio.Event()
            now = anyio.current_time()
            if now >= waiter.expires:
                self._queue.remove(waiter)
                return _refuse_expired(now, waiter.deadline)
            self._serve_queue(now)
            if waiter.answer is not None:
                self._queue.wake_first()
        return waiter.answer

    def _serve_queue(self, now: float) -> None:
        while self._queue:
            waiter = self._queue.first
            if now >= waiter.expires:
                answer: Slot | outcomes.Refusal = _refuse_expired(
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
            f"{self._server}: {used} of {self._limits.slots} slots in use",
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

    def _observe_latency(self, seconds: float, now: float) -> None:
        if self._jump_detector.is_jump(seconds, self.quantiles, now):
            self.ramp.mark_cold(now, "its latency jumped")
            self.quantiles.clear()
        self.quantiles.observe(seconds, now)
        if self.ramp.is_cold:
            median = max(self.quantiles.quantile(0.5, now), 1e-4)
            self.ramp.on_answer(now, self._limits.slots / median)
            if not self.ramp.is_cold:
                # Latencies of a server that runs one request at a time say
                # little about its latencies with all slots in use.
                self.quantiles.clear()

    def _refuse_early(
        self, now: float, deadline: float, priority: int
    ) -> outcomes.Refusal | None:
        count = len(self._queue)
        if count >= self._limits.queue:
            if not self._queue.evict(priority, _EVICTED):
                return outcomes.Refusal(
                    _CODES.QUEUE_FULL,
                    f"{count} requests wait in the full queue already",
                )
        elif count:
            median = self.quantiles.quantile(0.5, now)
            slots = self.ramp.slots(self._limits.slots)
            expected_wait = count * median / max(slots, 1)
            longest_wait = min(deadline - now, self._limits.queue_seconds)
            if expected_wait > longest_wait:
                return outcomes.Refusal(
                    _CODES.QUEUE_FULL,
                    f"the expected wait is {expected_wait * 1000:.0f} ms",
                )
        return None

    def _cancel_wait(self, waiter: wait_queue.Waiter) -> None:
        self._queue.remove(waiter)
        if isinstance(waiter.answer, Slot):
            self.leave(waiter.answer, Observation(anyio.current_time()))


def _refuse_expired(now: float, deadline: float) -> outcomes.Refusal:
    if now >= deadline:
        return _refuse_deadline()
    return outcomes.Refusal(
        _CODES.QUEUE_TIMEOUT, "no slot became free in time"
    )


def _refuse_deadline() -> outcomes.Refusal:
    return outcomes.Refusal(
        _CODES.DEADLINE_PASSED,
        "the deadline passed before the request was sent",
    )
