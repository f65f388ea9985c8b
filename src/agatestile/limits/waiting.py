"""Queue of requests that wait for a slot."""

from __future__ import annotations

import heapq
import typing

import anyio

if typing.TYPE_CHECKING:
    from agatestile.limits import admission
    from agatestile.results import outcomes


class Waiter:
    """One request that waits.

    Attributes
    ----------
    order : tuple of (int, int)
        Priority, negated, and number of the request; lowest is first.
    expires : float
        Runtime's clock at which it gives up, seconds.
    deadline : float
        Its deadline, at or after `expires`.
    event : anyio.Event
        Set to make it look again.
    answer : Slot or Refusal or None
        None while it waits.
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
        """Set the answer and wake the request."""
        self.answer = answer
        self.event.set()


class WaitQueue:
    """Waiters by priority, then by arrival."""

    def __init__(self) -> None:
        self._heap: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def first(self) -> Waiter:
        """The waiter that is served next; there must be one."""
        return self._heap[0]

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        heapq.heappush(self._heap, waiter)

    def pop(self) -> Waiter:
        """Remove the first waiter."""
        return heapq.heappop(self._heap)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is there."""
        if waiter not in self._heap:
            return
        self._heap.remove(waiter)
        heapq.heapify(self._heap)
        self.nudge()

    def nudge(self) -> None:
        """Let the first waiter look again when capacity may come up."""
        if self._heap:
            self._heap[0].event.set()

    def evict(self, priority: int, refusal: outcomes.Refusal) -> bool:
        """Refuse the last waiter if its priority is lower.

        Returns
        -------
        bool
            Whether there is room now.
        """
        if not self._heap:
            return False
        last = max(self._heap)
        if -last.order[0] >= priority:
            return False
        self.remove(last)
        last.finish(refusal)
        return True
