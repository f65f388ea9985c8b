"""Deduplication of requests that must not be run twice."""

from __future__ import annotations

import collections
import typing

from agatestile.results import codes
from agatestile.results import outcomes

RETENTION_SECONDS = 120.0
"""Time for which the identifier of a finished request is kept."""
MAX_IDENTIFIERS = 10_000
"""Identifiers kept for one server, of running and finished requests."""
ANSWER_LIMIT_BYTES = 2048
"""Largest answer body that is kept for repeated requests, bytes."""
TOTAL_ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024
"""Total size of the answers kept for one server, bytes. Beyond it, only
the fact that a request ran is kept."""

_CODES = codes.ResultCode


class Answer(typing.NamedTuple):
    """Answer of the server, kept for repetitions of the request.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers as passed on to the caller.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def size(self) -> int:
        """Return the size of headers and body in bytes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )


class _Finished(typing.NamedTuple):
    time: float
    answer: Answer | None


class Deduplication:
    """Recent request identifiers seen by the gate of one server.

    Parameters
    ----------
    capacity : int
        Maximum number of identifiers.

    Attributes
    ----------
    takeover_time : float or None
        Clock of the event loop when this host became the gate, seconds.
    """

    def __init__(self, capacity: int = MAX_IDENTIFIERS) -> None:
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
        """Register a request before it is sent to the server.

        Parameters
        ----------
        identifier : str
            Identifier chosen by the caller, the same for all attempts.
        attempt : int
            Number of the attempt, above 1 if the caller marked the request
            as repeated.
        now : float
            Clock of the event loop, seconds.

        Returns
        -------
        Answer or Refusal or None
            None if the request may run, otherwise the kept answer of an
            earlier attempt or a refusal with the code
            ``DUPLICATE_RUNNING``, ``OUTCOME_UNKNOWN`` (an earlier attempt
            ran or may have run, but its answer is not kept),
            ``REPEATED_AFTER_TAKEOVER`` or ``QUEUE_FULL``.
        """
        self._drop_expired(now)
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
        if attempt > 1 and self._has_recent_takeover(now):
            return outcomes.Refusal(
                _CODES.REPEATED_AFTER_TAKEOVER,
                "an earlier attempt may have run before this host "
                "became the gate",
            )
        if len(self) >= self._capacity:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL, "too many request identifiers are kept"
            )
        self._running.add(identifier)
        return None

    def forget(self, identifier: str) -> None:
        """Remove the identifier of a request that certainly did not run."""
        self._running.discard(identifier)

    def finish(
        self, identifier: str, now: float, answer: Answer | None
    ) -> None:
        """Keep the identifier of a request that ran or may have run."""
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

    def _has_recent_takeover(self, now: float) -> bool:
        takeover_time = self.takeover_time
        return (
            takeover_time is not None
            and now - takeover_time < RETENTION_SECONDS
        )

    def _drop_expired(self, now: float) -> None:
        while self._finished:
            identifier = next(iter(self._finished))
            finished = self._finished[identifier]
            if now - finished.time < RETENTION_SECONDS:
                return
            del self._finished[identifier]
            if finished.answer is not None:
                self._answer_bytes -= finished.answer.size()
