"""Times of the requests that this host sent to servers."""

from __future__ import annotations

import collections
import typing

from agatestile.limits import shares

if typing.TYPE_CHECKING:
    from agatestile.catalog import directory


class SendTimes:
    """Times of recent requests by server instance.

    They are kept for all servers, as any of them may turn out to be cold or
    to have a rate limit, and for as long as the longest window of a limit.
    """

    def __init__(self) -> None:
        self._times_by_instance: dict[
            directory.Instance, collections.deque[float]
        ] = {}

    def add(self, instance: directory.Instance, now: float) -> None:
        """Add a request."""
        times = self._times_by_instance.setdefault(
            instance, collections.deque()
        )
        while times and times[0] < now - shares.WINDOW_SECONDS:
            times.popleft()
        times.append(now)

    def count_since(self, instance: directory.Instance, start: float) -> int:
        """Return how many requests were sent since a time."""
        count = 0
        for sent in reversed(self._times_by_instance.get(instance, ())):
            if sent < start:
                break
            count += 1
        return count

    def nth_last(self, instance: directory.Instance, number: int) -> float:
        """Return when the request was sent that `number - 1` others followed.

        Raises
        ------
        IndexError, KeyError
            If fewer requests are known.
        """
        return self._times_by_instance[instance][-number]

    def retain(self, instances: set[directory.Instance]) -> None:
        """Forget all other instances."""
        for instance in list(self._times_by_instance):
            if instance not in instances:
                del self._times_by_instance[instance]
