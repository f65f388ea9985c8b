"""Appends records and determines whether they were applied."""

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


class _PendingAppend:
    """Append whose outcome has not been read back yet."""

    def __init__(self, request_id: str, replacement_count: int) -> None:
        self.request_id = request_id
        self.replacement_count = replacement_count
        self.result: int | outcomes.Refusal | None = None


class Appender:
    """Appends to the configuration stream and reads outcomes back.

    Parameters
    ----------
    client : log_client.LogClient
        The log.
    follower : log_follower.Follower
        Follows the configuration stream. It must be running.
    timeout : float
        Longest time to wait for one append and its outcome, seconds.
    settle_time : float
        How long after a failed call the log may still append the record,
        seconds.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        follower: log_follower.Follower,
        timeout: float = 10.0,
        settle_time: float = 3.0,
    ) -> None:
        self._client = client
        self._follower = follower
        self._timeout = timeout
        self._settle_time = settle_time
        self._pending: list[_PendingAppend] = []
        follower.observe(self._observe)

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        """Append a record that has a unique request identifier.

        Returns
        -------
        int or Refusal
            The offset at which the record was applied, or the refusal by
            the state. ``LOG_UNAVAILABLE`` if the record is certainly not
            in the log, ``LOG_OUTCOME_UNKNOWN`` if that could not be
            determined.
        """
        pending = _PendingAppend(
            record.request_id, self._follower.replacement_count
        )
        self._pending.append(pending)
        try:
            with anyio.move_on_after(self._timeout):
                return await self._append(record, pending)
        finally:
            self._pending.remove(pending)
        return _unknown_outcome(f"not read back within {self._timeout} s")

    async def _append(
        self, record: records.Record, pending: _PendingAppend
    ) -> int | outcomes.Refusal:
        appended = await self._client.append(
            log_follower.STREAM, records.encode(record)
        )
        if isinstance(appended, outcomes.Refusal):
            if appended.code is codes.ResultCode.LOG_UNAVAILABLE:
                return appended
            return await self._read_until_settled(pending, appended)
        while pending.result is None:
            if self._follower.state.offset >= appended:
                return _unknown_outcome(
                    f"the state was replaced past offset {appended}"
                )
            await self._follower.wait_for_step()
        return pending.result

    async def _read_until_settled(
        self, pending: _PendingAppend, failure: outcomes.Refusal
    ) -> int | outcomes.Refusal:
        """Wait until the record is read back or can no longer appear."""
        settled = anyio.current_time() + self._settle_time
        while pending.result is None:
            if self._follower.replacement_count != pending.replacement_count:
                return _unknown_outcome(
                    "the state was replaced while reading back"
                )
            if self._follower.last_read >= settled:
                return outcomes.Refusal(
                    codes.ResultCode.LOG_UNAVAILABLE,
                    f"not appended: {failure.reason}",
                )
            await self._follower.wait_for_step()
        return pending.result

    def _observe(
        self,
        offset: int,
        record: records.Record,
        result: cluster.Applied | outcomes.Refusal,
    ) -> None:
        # The first copy decides, since the state refuses any later copy.
        for pending in self._pending:
            if (
                pending.request_id == record.request_id
                and pending.result is None
            ):
                pending.result = (
                    result if isinstance(result, outcomes.Refusal) else offset
                )


def _unknown_outcome(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.LOG_OUTCOME_UNKNOWN, reason)
