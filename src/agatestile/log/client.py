"""HTTP client of the platform log."""

from __future__ import annotations

import typing

import anyio
import httpcore
import msgspec

from agatestile.results import codes
from agatestile.results import outcomes

BATCH_LIMIT = 200
BEYOND_TAIL = 2**53
"""A start at which no stream has a record yet."""

_CONNECTIONS = 4
# Seconds. Below the 5 s after which common servers close an idle
# connection, which would turn an append into an unknown outcome.
_IDLE = 2.0
# Raised before a request is written, so that it cannot have taken effect.
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
        Oldest offset that the log retains.
    tail : int
        Offset that the next append gets.
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


class Answer(typing.NamedTuple):
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
        Longest time for one call without the time it may wait for
        records, seconds.
    """

    def __init__(self, url: str, timeout: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS, keepalive_expiry=_IDLE
        )

    async def append(self, stream: str, body: bytes) -> int | outcomes.Refusal:
        """Append one record.

        Returns
        -------
        int or Refusal
            The record's offset. ``LOG_UNAVAILABLE`` if it was certainly
            not appended, ``LOG_OUTCOME_UNKNOWN`` if it may have been.
        """
        try:
            answer = await self._call(
                "POST", f"/streams/{stream}/records", body, 0.0
            )
        except _NOT_SENT as error:
            return _unavailable(error)
        except _FAILURES as error:
            return _unknown(f"{type(error).__name__} {error}".rstrip())
        if answer.status == 503:
            return outcomes.Refusal(
                codes.ResultCode.LOG_UNAVAILABLE, "the log answered 503"
            )
        if answer.status != 201:
            return _unknown(f"the log answered {answer.status}")
        try:
            return _APPENDED_DECODER.decode(answer.body).offset
        except msgspec.MsgspecError as error:
            return _unknown(str(error))

    async def read(
        self, stream: str, start: int, wait: float, limit: int = BATCH_LIMIT
    ) -> Batch | outcomes.Refusal:
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        start : int
            First offset to return. If the log no longer has it, records
            from the oldest one on are returned.
        wait : float
            How long the log waits if it has no record there, seconds.
        limit : int
            Largest number of records to return.

        Returns
        -------
        Batch or Refusal
            ``LOG_UNAVAILABLE`` if the log did not answer properly.
        """
        target = (
            f"/streams/{stream}/records?start={start}"
            f"&wait_ms={round(wait * 1000)}&limit={limit}"
        )
        try:
            answer = await self._call("GET", target, b"", wait)
            if answer.status == 200:
                return _BATCH_DECODER.decode(answer.body)
        except (*_FAILURES, msgspec.MsgspecError) as error:
            return _unavailable(error)
        return outcomes.Refusal(
            codes.ResultCode.LOG_UNAVAILABLE,
            f"the log answered {answer.status}",
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _call(
        self, method: str, target: str, body: bytes, wait: float
    ) -> Answer:
        # The pool closes the connection of a call that fails or times out,
        # so the next call does not meet the same silent connection.
        # Connecting ends before the whole call does, so that an append
        # that found no connection is known not to have been made.
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
        return Answer(response.status, response.content)


def _unavailable(error: Exception) -> outcomes.Refusal:
    return outcomes.Refusal(
        codes.ResultCode.LOG_UNAVAILABLE,
        f"{type(error).__name__} {error}".rstrip(),
    )


def _unknown(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.LOG_OUTCOME_UNKNOWN, reason)
