"""Timing and races of reading back, on a simulated clock."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import trio
from trio import testing

from agatestile.log import appender
from agatestile.log import client as log_client
from agatestile.log import follower as log_follower
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import records
from standins import log as log_standin
from tests.state import helpers

RECORD = records.HostChange("h", "anna", "e1", "leaving", -1)
UNKNOWN = outcomes.Refusal(codes.ResultCode.LOG_OUTCOME_UNKNOWN, "no answer")


class MemoryLog(log_client.LogClient):
    """A log in memory that stores, duplicates or loses appended records.

    Attributes
    ----------
    copies : int
        How often an appended record is stored.
    responds : bool
        Whether an append gets a response.
    delay : float
        Time that a read takes in addition to its wait, seconds.
    outage : bool
        Whether reads fail.
    """

    def __init__(self, copies: int, responds: bool) -> None:
        super().__init__("http://127.0.0.1:1")
        self.log = log_standin.Log()
        self.copies = copies
        self.responds = responds
        self.delay = 0.0
        self.outage = False

    async def append(self, stream: str, body: bytes) -> int | outcomes.Refusal:
        offset = self.log.stream(stream).tail
        for _ in range(self.copies):
            self.log.stream(stream).append(body)
        return offset if self.responds else UNKNOWN

    async def read(
        self, stream: str, start: int, wait: float, limit: int = 9
    ) -> log_client.Batch | outcomes.Refusal:
        await anyio.sleep(self.delay + wait)
        if self.outage:
            return outcomes.Refusal(codes.ResultCode.LOG_UNAVAILABLE, "down")
        found = self.log.stream(stream)
        return log_client.Batch(
            found.first, found.tail, found.read(start, limit)
        )


def run(
    log: MemoryLog,
    scenario: collections.abc.Callable[
        [log_follower.Follower, appender.Appender],
        collections.abc.Awaitable[typing.Any],
    ],
) -> typing.Any:
    """Run a scenario while a follower is running."""

    async def main() -> typing.Any:
        follower = log_follower.Follower(log, cluster.ClusterState())
        writer = appender.Appender(
            log, follower, timeout=10.0, settle_time=3.0
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            result = await scenario(follower, writer)
            tasks.cancel_scope.cancel()
        return result

    return trio.run(main, clock=testing.MockClock(autojump_threshold=0))


def test_last_read_is_the_start_of_the_read() -> None:
    """Guards against extending a permit by the time of a slow response."""
    log = MemoryLog(1, True)
    log.delay = 5.0

    async def scenario(
        follower: log_follower.Follower, _: appender.Appender
    ) -> float:
        started = anyio.current_time()
        while not follower.ready:
            await follower.wait_for_step()
        return follower.last_read - started

    # The first 5 s are the read of the checkpoints, before the records.
    assert run(log, scenario) == 5.0


def test_lost_append_is_reported_once_it_can_no_longer_appear() -> None:
    """Guards against an early "not appended" and an endless wait.

    The record may still appear for 3 s; if the log cannot be read, the
    append ends after 10 s with an unknown outcome.
    """
    log = MemoryLog(0, False)

    async def scenario(
        follower: log_follower.Follower, writer: appender.Appender
    ) -> None:
        started = anyio.current_time()
        code = helpers.refusal_code(await writer.append(RECORD))
        assert code is codes.ResultCode.LOG_UNAVAILABLE
        assert 3.0 <= follower.last_read - started <= 3.5
        log.outage = True
        started = anyio.current_time()
        code = helpers.refusal_code(await writer.append(RECORD))
        assert code is codes.ResultCode.LOG_OUTCOME_UNKNOWN
        assert anyio.current_time() - started == 10.0

    run(log, scenario)


def test_append_duplicated_by_the_log_is_reported_as_applied() -> None:
    """Guards against reporting the refusal of the second copy."""
    for responds in (True, False):
        log = MemoryLog(2, responds)

        async def scenario(
            _: log_follower.Follower, writer: appender.Appender
        ) -> object:
            return await writer.append(RECORD)

        assert run(log, scenario) == 0


def test_outcome_is_unknown_if_the_state_is_replaced_while_reading_back() -> (
    None
):
    """Guards against "not appended" for a record that a checkpoint covers."""
    for responds in (True, False):
        log = MemoryLog(1, responds)

        async def scenario(
            follower: log_follower.Follower, writer: appender.Appender
        ) -> codes.ResultCode:
            newer = cluster.ClusterState()
            newer.apply(0, RECORD)
            started = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(replace, follower, newer)
                answer = await writer.append(RECORD)
            assert anyio.current_time() - started < 3.0
            return helpers.refusal_code(answer)

        async def replace(
            follower: log_follower.Follower, newer: cluster.ClusterState
        ) -> None:
            follower._adopt(newer, "checkpoint")

        found = run(log, scenario)
        assert found is codes.ResultCode.LOG_OUTCOME_UNKNOWN
