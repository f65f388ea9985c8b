"""Request bodies, read from the caller in bounded parts."""

from __future__ import annotations

import typing

import anyio

from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi
    from agatestile.gateway import options as gateway_options

PREFETCH_DIVISOR = 4
"""Part of the memory for a body that is filled before a request takes a
slot, so that a slow sender of a small body holds no slot of a server. The
rest is for what the connections on both sides buffer."""

_CODES = codes.ResultCode


class BodyError(Exception):
    """The caller's body cannot be read to its end.

    Attributes
    ----------
    refusal : Refusal
        What is wrong.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class Body:
    """Body of one request.

    Parameters
    ----------
    receive : asgi.Receive
        The caller.
    length : int or None
        Declared length, None if it is not declared.
    limit : int
        Largest body, bytes.
    options : options.Options
        Bounds from the settings.

    Attributes
    ----------
    is_read : bool
        Whether the end was received.
    """

    def __init__(
        self,
        receive: asgi.Receive,
        length: int | None,
        limit: int,
        options: gateway_options.Options,
    ) -> None:
        self._receive = receive
        self._length = length
        self._limit = limit
        self._idle_timeout = options.body_idle_timeout
        self._prefetch_bytes = options.body_memory // PREFETCH_DIVISOR
        self._prefetched: list[bytes] = []
        self._received = 0
        self._is_streamed = False
        self.is_read = length == 0

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent again."""
        return not self._is_streamed

    def check_length(self) -> outcomes.Refusal | None:
        """Refuse a declared length above the limit before reading."""
        if self._length is not None and self._length > self._limit:
            return _too_large(self._limit)
        return None

    async def prefetch(self) -> None:
        """Read the body up to a bounded size.

        Raises
        ------
        BodyError, CallerLeft
            If the body cannot be read.
        """
        while not self.is_read and self._received < self._prefetch_bytes:
            part = await self._read_part()
            if part:
                self._prefetched.append(part)

    def content(self) -> bytes | collections.abc.AsyncIterable[bytes]:
        """Return the body to send, from its start."""
        if self.is_read and not self._is_streamed:
            return b"".join(self._prefetched)
        return self

    def framing_header(self, method: str) -> tuple[bytes, bytes] | None:
        """Return the header that tells where the body ends, if any."""
        if self.is_read and not self._is_streamed:
            if self._received or method in ("POST", "PUT", "PATCH"):
                return (b"content-length", b"%d" % self._received)
            return None
        if self._length is not None:
            return (b"content-length", b"%d" % self._length)
        return (b"transfer-encoding", b"chunked")

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        self._is_streamed = True
        if self._prefetched:
            return self._prefetched.pop(0)
        while not self.is_read:
            part = await self._read_part()
            if part:
                return part
        raise StopAsyncIteration

    async def _read_part(self) -> bytes:
        message = None
        with anyio.move_on_after(self._idle_timeout):
            message = await self._receive()
        if message is None:
            raise BodyError(
                outcomes.Refusal(
                    _CODES.SLOW_SENDER,
                    f"no part of the body came in {self._idle_timeout:g} s",
                )
            )
        if message["type"] != "http.request":
            raise CallerDisconnected
        part: bytes = message.get("body", b"")
        self._received += len(part)
        if self._received > self._limit:
            raise BodyError(_too_large(self._limit))
        self.is_read = not message.get("more_body", False)
        return part


def _too_large(limit: int) -> outcomes.Refusal:
    return outcomes.Refusal(
        _CODES.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
    )
