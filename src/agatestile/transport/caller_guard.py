"""Limits that all connections of a listener's callers share."""

from __future__ import annotations

import asyncio
import math
import resource
import typing

from agatestile.limits import retry_after as retry_after_module
from agatestile.observability import events
from agatestile.transport import caller_memory
from agatestile.transport import memory_pressure
from agatestile.transport import messages
from agatestile.transport import parsing_turns
from agatestile.transport import unread_responses

RESERVED_DESCRIPTORS = 200
"""Descriptors that are not used for callers and their requests: files, and
connections to the store and to other hosts."""

MIN_CONNECTIONS = 16
"""Connections that are accepted however few descriptors there are."""

PEER_SHARE = 0.5
"""Share of the memory to which the limits for other hosts are applied."""

CHECK_SHARE = 1.0 / 16.0
"""Share of the memory to which the limits for readiness checks and for metrics
are applied."""

RETRY_AFTER = 0.5
"""Retry-after time of a request that is refused for memory or connections,
seconds: twice the time after which progress counts half."""


class Connection(typing.Protocol):
    """A connection of a caller."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    @property
    def unread(self) -> unread_responses.UnreadResponses:
        """What its caller has not read."""

    def refuse(self, status: int, cause: str) -> None:
        """Refuse the request that is received, or close the connection."""

    def abort_for(self, cause: str) -> None:
        """Close the connection immediately."""


def ignore_deadlines(headers: messages.Headers) -> float | None:
    """Return that a request names no deadline."""
    return None


def standard_headers(retry_after: float | None) -> messages.Headers:
    """Return the header for a retry-after time in whole seconds."""
    if retry_after is None:
        return []
    return [(b"retry-after", b"%d" % max(1, round(retry_after)))]


class CallerGuard:
    """Keeps callers within the memory and the descriptors of the machine.

    Parameters
    ----------
    memory : int or None, optional
        Memory that the process may use, bytes; None if unknown.
    descriptors : int or None, optional
        Descriptors that the process may open; None to use the limit of the
        system.
    time_left : callable, optional
        Returns how long the caller of a request with these headers waits,
        seconds, None if it does not say.
    refusal_headers : callable, optional
        Returns the headers of a refusal for a retry-after time.
    count : callable, optional
        Called with "refused" or "closed" and a cause for each caller.
    pressure : memory_pressure.MemoryPressure, optional
        Measures the memory of the process.
    other_connections : callable, optional
        Returns how many connections others than callers have opened.

    Attributes
    ----------
    max_connections : int
        Connections of callers while others have opened none.
    """

    def __init__(
        self,
        memory: int | None = None,
        descriptors: int | None = None,
        time_left: typing.Callable[
            [messages.Headers], float | None
        ] = ignore_deadlines,
        refusal_headers: typing.Callable[
            [float | None], messages.Headers
        ] = standard_headers,
        count: typing.Callable[[str, str], None] = lambda action, cause: None,
        pressure: memory_pressure.MemoryPressure | None = None,
        other_connections: typing.Callable[[], int] = lambda: 0,
    ) -> None:
        self.requests: caller_memory.CallerMemory[Connection] = (
            caller_memory.CallerMemory.for_requests(memory)
        )
        self.responses: caller_memory.CallerMemory[Connection] = (
            caller_memory.CallerMemory.for_responses(memory)
        )
        self.pressure = pressure or memory_pressure.MemoryPressure(None)
        self._held_limit: float = (
            self.requests.limit + self.responses.limit
            if memory is None
            else memory * caller_memory.HELD_MEMORY_SHARE
        )
        self._request_cap = math.inf
        self._response_cap = math.inf
        self.turns = parsing_turns.TurnQueue(
            lambda run: asyncio.get_running_loop().call_soon(run)
        )
        self.max_connections = max_connections(descriptors)
        self._other_connections = other_connections
        self.time_left = time_left
        self._refusal_headers = refusal_headers
        self._count = count

    @classmethod
    def for_peers(
        cls,
        memory: int | None,
        descriptors: int | None,
        pressure: memory_pressure.MemoryPressure,
    ) -> CallerGuard:
        """Create the limits of the listener for other hosts.

        Parameters
        ----------
        memory, descriptors, pressure
            As for the class.
        """
        share = None if memory is None else int(memory * PEER_SHARE)
        guard = cls(share, descriptors, pressure=pressure)
        guard.max_connections = max(
            MIN_CONNECTIONS, guard.max_connections // 2
        )
        return guard

    @classmethod
    def for_checks(
        cls, memory: int | None, pressure: memory_pressure.MemoryPressure
    ) -> CallerGuard:
        """Create the limits of a listener for readiness checks or metrics.

        Parameters
        ----------
        memory, pressure
            As for the class.
        """
        share = None if memory is None else int(memory * CHECK_SHARE)
        guard = cls(share, pressure=pressure)
        guard.max_connections = MIN_CONNECTIONS
        return guard

    @property
    def connection_limit(self) -> int:
        """Connections that are accepted now."""
        # A caller takes two descriptors, the others one.
        others = self._other_connections() // 2
        least = min(MIN_CONNECTIONS, self.max_connections)
        return max(least, self.max_connections - others)

    def refusal_headers(
        self, status: int, time_left: float | None
    ) -> messages.Headers:
        """Return the headers of a refusal.

        Parameters
        ----------
        status : int
            Status of the refusal.
        time_left : float or None
            How long the caller waits, seconds; None if unknown.
        """
        if status != 503:
            return self._refusal_headers(None)
        if time_left is None:
            return self._refusal_headers(RETRY_AFTER)
        return self._refusal_headers(
            retry_after_module.bounded(RETRY_AFTER, time_left)
        )

    def on_ended(self, action: str, cause: str, **fields: object) -> None:
        """Count and log a caller that was refused or closed."""
        self._count(action, cause)
        events.emit(f"caller_{action}", cause=cause, **fields)

    def on_request_memory(
        self,
        connection: Connection,
        size: int,
        progress: int,
        now: float,
        is_unfinished: bool,
    ) -> None:
        """Record what the requests of a connection take.

        Parameters
        ----------
        connection : Connection
            The connection.
        size : int
            What its requests take, bytes.
        progress : int
            Bytes received since the last call.
        now : float
            Clock, seconds.
        is_unfinished : bool
            Whether a request is being received.
        """
        self.requests.update(connection, size, progress, now, is_unfinished)
        self._allow_requests(progress, now)
        while True:
            chosen = self.requests.excess(connection, now)
            if chosen is None:
                return
            self.requests.discard(chosen)
            chosen.refuse(503, "memory")

    def on_unread(self, connection: Connection, now: float) -> None:
        """Record that a caller does not read its response at present.

        Parameters
        ----------
        connection : Connection
            The connection.
        now : float
            Clock, seconds.
        """
        size = connection.unread.memory
        # The size counts as progress: the caller could not read it yet.
        self.responses.update(connection, size, size, now)
        self._allow_responses(size, now)
        if self.responses.excess(connection, now) is None:
            return
        for other in self.responses.callers():
            self.responses.update(
                other, other.unread.memory, other.unread.take_progress(), now
            )
        while True:
            chosen = self.responses.excess(connection, now)
            if chosen is None:
                return
            self.responses.discard(chosen)
            chosen.abort_for("unread_responses")

    def _allow_requests(self, growth: int, now: float) -> None:
        """Apply the limit of requests beside the unread responses.

        As much as those take is left for the answers to come, so that new
        requests are refused before responses are cut off.
        """
        self._measure(growth, now)
        spare = self._held_limit - 2 * self.responses.total
        self.requests.allow(min(self.requests.limit, spare, self._request_cap))

    def _allow_responses(self, growth: int, now: float) -> None:
        """Apply the limit of unread responses beside the requests."""
        self._measure(growth, now)
        spare = self._held_limit - self.requests.total
        self.responses.allow(
            min(max(self.responses.limit, spare), self._response_cap)
        )

    def _measure(self, growth: int, now: float) -> None:
        """Cap what is held if the process takes too much memory.

        Requests that are not complete end first.
        """
        if not self.pressure.measure(growth, now):
            return
        excess = self.pressure.excess
        self._request_cap = self._response_cap = math.inf
        if excess:
            # What is left of the reserve stays for small requests.
            requests = self.requests
            self._request_cap = requests.total + requests.reserve - excess
            self._response_cap = self.responses.total
        if excess > self.requests.total:
            self._response_cap -= excess - self.requests.total

    def discard(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self.requests.discard(connection)
        self.responses.discard(connection)


def max_connections(descriptors: int | None) -> int:
    """Return how many callers may be connected.

    Each may have a request at a server, which takes another descriptor.

    Parameters
    ----------
    descriptors : int or None
        Descriptors that the process may open; None to use the limit of the
        system.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors is not None:
        allowed = min(allowed, descriptors)
    return max(MIN_CONNECTIONS, (allowed - RESERVED_DESCRIPTORS) // 2)
