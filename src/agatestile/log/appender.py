"""Appends records and finds out what became of them."""

from __future__ import annotations

import typing

import anyio

from agatestile.log import follower as log_follower
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.log import client as log_client


class _Pending:
    def __init__(self, request_id: str, jumps: int) -> None:
        self.request_id = request_id
        self.jumps = jumps
        self.result: int | outcomes.Refusal | None = None


class Appender:
    """Appends to the configuration stream and reads the outcome back.

    Parameters
    ----------
    client : log_client.LogClient
        The log.
    follower : log_follower.Follower
        Follows the configuration stream; must be running.
    limit : float
        Longest time for one append and its outcome, seconds.
    settle : float
        Time after a failed call in which the log may still carry it out,
        seconds.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        follower: log_follower.Follower,
        limit: float = 10.0,
        settle: float = 3.0,
    ) -> None:
        self._client = client
        self._follower = follower
        self._limit = limit
        self._settle = settle
        self._pending: list[_Pending] = []
        follower.observe(self._observe)

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        """Append a record with a request identifier of its own.

        Returns
        -------
        int or Refusal
            The offset at which the record was applied, or the refusal of
            the state. ``LOG_UNAVAILABLE`` if it is certainly not in the
            log, ``LOG_OUTCOME_UNKNOWN`` if that could not be found out.
        """
        pending = _Pending(record.request_id, self._follower.jumps)
        self._pending.append(pending)
        try:
            with anyio.move_on_after(self._limit):
                return await self._append(record, pending)
        finally:
            self._pending.remove(pending)
        return _unknown(f"not read back within {self._limit} s")

    async def _append(
        self, record: records.Record, pending: _Pending
    ) -> int | outcomes.Refusal:
        answer = await self._client.append(
            log_follower.STREAM, records.encode(record)
        )
        if isinstance(answer, outcomes.Refusal):
            if answer.code is codes.ResultCode.LOG_UNAVAILABLE:
                return answer
            return await self._read_on(pending, answer)
        while pending.result is None:
            if self._follower.state.offset >= answer:
                return _unknown(f"the state was replaced past offset {answer}")
            await self._follower.stepped()
        return pending.result

    async def _read_on(
        self, pending: _Pending, failure: outcomes.Refusal
    ) -> int | outcomes.Refusal:
        """Wait until the record is read or can no longer appear."""
        settled = anyio.current_time() + self._settle
        while pending.result is None:
            if self._follower.jumps != pending.jumps:
                return _unknown("the state was replaced while reading on")
            if self._follower.last_read >= settled:
                return outcomes.Refusal(
                    codes.ResultCode.LOG_UNAVAILABLE,
                    f"not appended: {failure.reason}",
                )
            await self._follower.stepped()
        return pending.result

    def _observe(
        self,
        offset: int,
        record: records.Record,
        answer: cluster.Applied | outcomes.Refusal,
    ) -> None:
        # The first copy decides: state refuses the copies that follow.
        for pending in self._pending:
            if (
                pending.request_id == record.request_id
                and pending.result is None
            ):
                pending.result = (
                    answer if isinstance(answer, outcomes.Refusal) else offset
                )


def _unknown(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.LOG_OUTCOME_UNKNOWN, reason)
