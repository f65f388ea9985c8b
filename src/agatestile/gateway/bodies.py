"""Request bodies, read from the caller with bounded memory."""

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
"""Divisor of the memory for a body. The quotient is filled before the request
takes a slot, so that a slow sender of a small body occupies no slot of a
server. The rest is left for the buffers of the connections on both sides."""

_CODES = codes.ResultCode


class BodyError(Exception):
    """The body of a request cannot be read to its end.

    Attributes
    ----------
    refusal : Refusal
        Refusal to send to the caller.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class CallerDisconnected(Exception):
    """The caller closed its connection while its body was read."""


class Body:
    """Body of one request, read once from the caller.

    The first part is kept in memory, so that a short body can be sent
    again; a longer one is streamed.

    Parameters
    ----------
    receive : asgi.Receive
        Receives the parts of the body from the caller.
    length : int or None
        Declared length in bytes, None if it is not declared.
    limit : int
        Maximum length in bytes.
    options : options.Options
        Limits on requests from the settings.

    Attributes
    ----------
    is_read : bool
        Whether the end of the body was received.
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
        """Whether the body can be sent again in a retry."""
        return not self._is_streamed

    def check_length(self) -> outcomes.Refusal | None:
        """Return a refusal if the declared length is above the limit."""
        if self._length is not None and self._length > self._limit:
            return _too_large(self._limit)
        return None

    async def prefetch(self) -> None:
        """Read the start of the body into memory.

        Raises
        ------
        BodyError, CallerLeft
            If the body cannot be read to its end.
        """
        while not self.is_read and self._received < self._prefetch_bytes:
            part = await self._read_part()
            if part:
                self._prefetched.append(part)

    def content(self) -> bytes | collections.abc.AsyncIterable[bytes]:
        """Return the body to send: bytes if complete, else a stream."""
        if self.is_read and not self._is_streamed:
            return b"".join(self._prefetched)
        return self

    def framing_header(self, method: str) -> tuple[bytes, bytes] | None:
        """Return the header that delimits the body, None for no body."""
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
                    f"no part of the body arrived in {self._idle_timeout:g} s",
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
