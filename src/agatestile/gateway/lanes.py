"""Connections to backend servers and to other daemons."""

from __future__ import annotations

import typing

import anyio
import httpcore

from agatestile.gateway import streams

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi

SUSPECT_AFTER = 1.0
"""Idle seconds after which a lane is not used for a request that may not
be repeated (section 8.4 of the design)."""

CLOSE_AFTER = 30.0
"""Idle seconds after which a lane is closed."""

CONNECT_TIMEOUT = 1.0
"""Seconds; a connection takes 1 ms to open (section 1.5)."""

_EXTENSIONS = {"timeout": {"connect": CONNECT_TIMEOUT}}


class Lane:
    """One connection, used for one request at a time.

    Attributes
    ----------
    is_fresh : bool
        Whether no request was sent on it before the present one.
    idle_since : float
        Runtime's clock when its last request ended.
    """

    def __init__(self, host: bytes, port: int) -> None:
        self._backend = streams.Backend()
        self._url_parts = (b"http", host, port)
        self._connection = httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host, port),
            network_backend=self._backend,
        )
        self._written_before = 0
        self.is_fresh = True
        self.idle_since = 0.0

    async def send(
        self,
        method: str,
        target: bytes,
        headers: asgi.Headers,
        content: bytes | collections.abc.AsyncIterable[bytes],
    ) -> httpcore.Response:
        """Send a request and return the head of its answer.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            If there is no connection; nothing was sent.
        httpcore.NetworkError, httpcore.ProtocolError
            If the connection failed or the answer is not HTTP.
        """
        stream = self._backend.stream
        self._written_before = 0 if stream is None else stream.bytes_written
        scheme, host, port = self._url_parts
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=scheme, host=host, port=port, target=target),
            headers=headers,
            content=content,
            extensions=_EXTENSIONS,
        )
        return await self._connection.handle_async_request(request)

    def sent_at(self, started: float) -> float:
        """Return when the present request began to be sent, seconds.

        Parameters
        ----------
        started : float
            Runtime's clock when the lane was taken, the answer for a lane
            that was open already.
        """
        stream = self._backend.stream
        if self.is_fresh and stream is not None:
            return stream.opened
        return started

    def was_written(self) -> bool:
        """Tell whether a part of the present request may have been sent."""
        stream = self._backend.stream
        return (
            stream is not None and stream.bytes_written > self._written_before
        )

    def is_usable(self) -> bool:
        """Tell whether the lane can take another request.

        Input after the end of an answer would be taken for the answer to
        the next request, so a lane with unread input is not usable.
        """
        connection = self._connection
        return (
            connection.is_available()
            and not connection.has_expired()
            and not _has_trailing_data(connection)
        )

    async def close(self) -> None:
        """Close the connection, also while being cancelled."""
        with anyio.CancelScope(shield=True):
            stream = self._backend.stream
            if stream is not None:
                await stream.aclose()


class Lanes:
    """The lanes to one address.

    Parameters
    ----------
    address : str
        IP address and port.
    limit : int
        Most lanes open at the same time.
    """

    def __init__(self, address: str, limit: int) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]").encode("ascii")
        self._port = int(port)
        self.address = address
        self.limit = limit
        self._idle: list[Lane] = []
        self._used = 0

    @property
    def open(self) -> int:
        """Number of lanes that are open or being opened."""
        return self._used + len(self._idle)

    async def take(
        self, now: float, fresh_only: bool, may_repeat: bool
    ) -> Lane | None:
        """Return a lane for one request.

        Parameters
        ----------
        now : float
            Runtime's clock, seconds.
        fresh_only : bool
            Whether to open a connection although idle ones exist, after
            another one failed.
        may_repeat : bool
            Whether the request may be repeated. Others do not use a lane
            that was idle for long, which the peer may be closing.

        Returns
        -------
        Lane or None
            None at the limit.
        """
        while self._idle and not fresh_only:
            lane = self._idle.pop()
            suspect = now - lane.idle_since > SUSPECT_AFTER
            if lane.is_usable() and (may_repeat or not suspect):
                lane.is_fresh = False
                self._used += 1
                return lane
            await lane.close()
        if self._used >= self.limit:
            return None
        while self.open >= self.limit:
            await self._idle.pop(0).close()
        self._used += 1
        return Lane(self._host, self._port)

    async def give_back(self, lane: Lane, now: float) -> None:
        """Keep a lane whose answer was read to its end."""
        self._used -= 1
        if not lane.is_usable():
            await lane.close()
            return
        lane.idle_since = now
        self._idle.append(lane)

    async def discard(self, lane: Lane) -> None:
        """Close a lane after anything else, so that it is never reused."""
        self._used -= 1
        await lane.close()

    async def close_idle(self, before: float) -> None:
        """Close the lanes that are idle since before a time."""
        old = [lane for lane in self._idle if lane.idle_since <= before]
        if old:
            self._idle = [
                lane for lane in self._idle if lane.idle_since > before
            ]
        for lane in old:
            await lane.close()


def _has_trailing_data(connection: httpcore.AsyncHTTPConnection) -> bool:
    # httpcore has no public access to input that its parser has buffered.
    inner = getattr(connection, "_connection", None)
    parser = getattr(inner, "_h11_state", None)
    return parser is not None and bool(parser.trailing_data[0])
