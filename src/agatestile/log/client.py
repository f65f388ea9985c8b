"""HTTP client of the platform log."""

from __future__ import annotations

import typing

import anyio
import httpcore
import msgspec

from agatestile.results import codes
from agatestile.results import outcomes

BATCH_LIMIT = 200
"""Largest number of records of one read, by default."""

BEYOND_TAIL = 2**53
"""Start offset above the tail of any stream."""

_MAX_CONNECTIONS = 4
# Below the 5 s after which common servers close an idle connection. An
# append on a connection that the server closes has an unknown outcome.
_IDLE_SECONDS = 2.0
# Raised before a request is written, so the request had no effect.
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
    TimeoutError,
)


class Batch(msgspec.Struct, frozen=True):
    """Part of a stream.

    Attributes
    ----------
    first : int
        Oldest offset that the log still has.
    tail : int
        Offset that the next appended record gets.
    records : list of (int, bytes)
        Offsets and contents.
    """

    first: int
    tail: int
    records: list[tuple[int, bytes]]


class _Appended(msgspec.Struct, frozen=True):
    offset: int


_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)
_APPENDED_DECODER = msgspec.json.Decoder(_Appended)


class Response(typing.NamedTuple):
    """Status and body of a complete HTTP response."""

    status: int
    body: bytes


class LogClient:
    """Appends to and reads streams of the platform log.

    Parameters
    ----------
    url : str
        Base address, such as ``http://127.0.0.1:8001``.
    timeout : float
        Longest time for one request, not counting the time that it may
        wait for records, seconds.
    """

    def __init__(self, url: str, timeout: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_IDLE_SECONDS,
        )

    async def append(self, stream: str, body: bytes) -> int | outcomes.Refusal:
        """Append one record.

        Returns
        -------
        int or Refusal
            The record's offset. ``LOG_UNAVAILABLE`` if the record was
            certainly not appended, ``LOG_OUTCOME_UNKNOWN`` if it may have
            been.
        """
        try:
            response = await self._request(
                "POST", f"/streams/{stream}/records", body, 0.0
            )
        except _NOT_SENT as error:
            return _unavailable(error)
        except _FAILURES as error:
            return _unknown_outcome(f"{type(error).__name__} {error}".rstrip())
        if response.status == 503:
            return outcomes.Refusal(
                codes.ResultCode.LOG_UNAVAILABLE,
                "the log responded with status 503",
            )
        if response.status != 201:
            return _unknown_outcome(
                f"the log responded with status {response.status}"
            )
        try:
            return _APPENDED_DECODER.decode(response.body).offset
        except msgspec.MsgspecError as error:
            return _unknown_outcome(str(error))

    async def read(
        self, stream: str, start: int, wait: float, limit: int = BATCH_LIMIT
    ) -> Batch | outcomes.Refusal:
        """Read records in order, starting at an offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        start : int
            First offset to return. If the log has discarded it, records
            are returned from the oldest one on.
        wait : float
            How long the log waits if it has no such record yet, seconds.
        limit : int
            Largest number of records to return.

        Returns
        -------
        Batch or Refusal
            ``LOG_UNAVAILABLE`` if the log gave no valid response.
        """
        target = (
            f"/streams/{stream}/records?start={start}"
            f"&wait_ms={round(wait * 1000)}&limit={limit}"
        )
        try:
            response = await self._request("GET", target, b"", wait)
            if response.status == 200:
                return _BATCH_DECODER.decode(response.body)
        except (*_FAILURES, msgspec.MsgspecError) as error:
            return _unavailable(error)
        return outcomes.Refusal(
            codes.ResultCode.LOG_UNAVAILABLE,
            f"the log responded with status {response.status}",
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _request(
        self, method: str, target: str, body: bytes, wait: float
    ) -> Response:
        # The pool closes the connection of a request that fails or times
        # out, so the next request does not reuse an unresponsive one. The
        # time to connect is shorter than that for the whole request, so
        # that an append without a connection is known not to have been
        # sent.
        timeouts = {
            "connect": self._timeout / 2,
            "pool": self._timeout / 2,
            "write": self._timeout,
            "read": self._timeout + wait,
        }
        with anyio.fail_after(self._timeout + wait):
            response = await self._pool.request(
                method,
                self._url + target,
                content=body or None,
                extensions={"timeout": timeouts},
            )
        return Response(response.status, response.content)


def _unavailable(error: Exception) -> outcomes.Refusal:
    return outcomes.Refusal(
        codes.ResultCode.LOG_UNAVAILABLE,
        f"{type(error).__name__} {error}".rstrip(),
    )


def _unknown_outcome(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.LOG_OUTCOME_UNKNOWN, reason)
