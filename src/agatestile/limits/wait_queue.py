"""Priority queue of requests that wait for a slot."""

from __future__ import annotations

import heapq
import typing

import anyio

if typing.TYPE_CHECKING:
    from agatestile.limits import admission
    from agatestile.results import outcomes


class Waiter:
    """Request that waits for a slot.

    Attributes
    ----------
    order : tuple of (int, int)
        Negated priority and sequence number; the lowest is served first.
    expires : float
        Clock of the event loop at which the wait ends, seconds.
    deadline : float
        Deadline of the request, at or after `expires`, seconds.
    event : anyio.Event
        Set to make the waiter check for an answer or for capacity.
    answer : Slot or Refusal or None
        Result of the wait, None while it lasts.
    """

    __slots__ = ("answer", "deadline", "event", "expires", "order")

    def __init__(
        self, order: tuple[int, int], expires: float, deadline: float
    ) -> None:
        self.order = order
        self.expires = expires
        self.deadline = deadline
        self.event = anyio.Event()
        self.answer: admission.Slot | outcomes.Refusal | None = None

    def __lt__(self, other: Waiter) -> bool:
        return self.order < other.order

    def finish(self, answer: admission.Slot | outcomes.Refusal) -> None:
        """Set the answer and wake the waiter."""
        self.answer = answer
        self.event.set()


class WaitQueue:
    """Waiters ordered by priority, then by arrival."""

    def __init__(self) -> None:
        self._heap: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def first(self) -> Waiter:
        """Waiter that is served next; the queue must not be empty."""
        return self._heap[0]

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        heapq.heappush(self._heap, waiter)

    def pop(self) -> Waiter:
        """Remove the first waiter and return it."""
        return heapq.heappop(self._heap)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is in the queue."""
        if waiter not in self._heap:
            return
        self._heap.remove(waiter)
        heapq.heapify(self._heap)
        self.wake_first()

    def wake_first(self) -> None:
        """Wake the first waiter to check when capacity may free up."""
        if self._heap:
            self._heap[0].event.set()

    def evict(self, priority: int, refusal: outcomes.Refusal) -> bool:
        """Refuse the last waiter if its priority is lower than the given one.

        Returns
        -------
        bool
            Whether a place became free.
        """
        if not self._heap:
            return False
        last = max(self._heap)
        if -last.order[0] >= priority:
            return False
        self.remove(last)
        last.finish(refusal)
        return True
