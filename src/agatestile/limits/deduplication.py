"""Request identifiers of requests that may not be repeated."""

from __future__ import annotations

import collections
import typing

from agatestile.results import codes
from agatestile.results import outcomes

KEEP_SECONDS = 120.0
CAPACITY = 10_000
ANSWER_LIMIT_BYTES = 2048
"""Largest answer body that is kept for a repetition, bytes."""
TOTAL_ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024
"""Bytes of all answers kept for one server. Above it only the fact that
the request ran is kept."""

_CODES = codes.ResultCode


class Answer(typing.NamedTuple):
    """Answer of the server that a repetition gets.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers as they were passed on.
    body : bytes
        The whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def size(self) -> int:
        """Return the bytes that the answer takes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )


class _Finished(typing.NamedTuple):
    at: float
    answer: Answer | None


class Deduplication:
    """Identifiers that one server's gate has seen.

    Attributes
    ----------
    takeover_time : float or None
        Runtime's clock when this host became the gate.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._running: set[str] = set()
        self._finished: collections.OrderedDict[str, _Finished] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0
        self.takeover_time: float | None = None

    def __len__(self) -> int:
        return len(self._running) + len(self._finished)

    def begin(
        self, identifier: str, attempt: int, now: float
    ) -> Answer | outcomes.Refusal | None:
        """Register a request before it runs.

        Parameters
        ----------
        identifier : str
            Chosen by the caller, the same for all attempts.
        attempt : int
            Above 1 for an attempt that the caller marked as repeated.
        now : float
            Runtime's clock, seconds.

        Returns
        -------
        Answer or Refusal or None
            None if the request may run. The kept answer of an earlier
            attempt, or ``DUPLICATE_RUNNING``, ``OUTCOME_UNKNOWN`` (it ran
            but the answer is not kept), ``REPEATED_AFTER_TAKEOVER`` or
            ``QUEUE_FULL``.
        """
        self._expire(now)
        if identifier in self._running:
            return outcomes.Refusal(
                _CODES.DUPLICATE_RUNNING,
                "a request with this identifier is running",
            )
        finished = self._finished.get(identifier)
        if finished is not None:
            return finished.answer or outcomes.Refusal(
                _CODES.OUTCOME_UNKNOWN,
                "a request with this identifier was sent before, "
                "and its answer is not kept",
            )
        if attempt > 1 and self._is_recent_takeover(now):
            return outcomes.Refusal(
                _CODES.REPEATED_AFTER_TAKEOVER,
                "an earlier attempt may have run before this host "
                "became the gate",
            )
        if len(self) >= self._capacity:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL, "no room for another request identifier"
            )
        self._running.add(identifier)
        return None

    def forget(self, identifier: str) -> None:
        """Remove a request that certainly did not run."""
        self._running.discard(identifier)

    def finish(
        self, identifier: str, now: float, answer: Answer | None
    ) -> None:
        """Keep a request that ran or may have run."""
        self._running.discard(identifier)
        if answer is not None and not self._has_room(answer):
            answer = None
        if answer is not None:
            self._answer_bytes += answer.size()
        self._finished[identifier] = _Finished(now, answer)

    def _has_room(self, answer: Answer) -> bool:
        size = answer.size()
        return (
            len(answer.body) <= ANSWER_LIMIT_BYTES
            and size <= 2 * ANSWER_LIMIT_BYTES
            and self._answer_bytes + size <= TOTAL_ANSWERS_LIMIT_BYTES
        )

    def _is_recent_takeover(self, now: float) -> bool:
        takeover_time = self.takeover_time
        return takeover_time is not None and now - takeover_time < KEEP_SECONDS

    def _expire(self, now: float) -> None:
        while self._finished:
            identifier = next(iter(self._finished))
            finished = self._finished[identifier]
            if now - finished.at < KEEP_SECONDS:
                return
            del self._finished[identifier]
            if finished.answer is not None:
                self._answer_bytes -= finished.answer.size()
