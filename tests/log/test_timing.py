"""Times and races of reading back, on a clock that tests control."""

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
    """A log whose appends are made, repeated or lost as a test says."""

    def __init__(self, copies: int, answers: bool) -> None:
        super().__init__("http://127.0.0.1:1")
        self.log = log_standin.Log()
        self.copies = copies
        self.answers = answers
        self.delay = 0.0
        self.outage = False

    async def append(self, stream: str, body: bytes) -> int | outcomes.Refusal:
        offset = self.log.stream(stream).tail
        for _ in range(self.copies):
            self.log.stream(stream).append(body)
        return offset if self.answers else UNKNOWN

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
    memory: MemoryLog,
    scenario: collections.abc.Callable[
        [log_follower.Follower, appender.Appender],
        collections.abc.Awaitable[typing.Any],
    ],
) -> typing.Any:
    """Run a scenario beside a running follower."""

    async def main() -> typing.Any:
        follower = log_follower.Follower(memory, cluster.ClusterState())
        writer = appender.Appender(
            memory, follower, timeout=10.0, settle_time=3.0
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            result = await scenario(follower, writer)
            tasks.cancel_scope.cancel()
        return result

    return trio.run(main, clock=testing.MockClock(autojump_threshold=0))


def test_last_read_is_the_start_of_the_read() -> None:
    """Guards against a permit lengthened by a slow answer."""
    memory = MemoryLog(1, True)
    memory.delay = 5.0

    async def scenario(
        follower: log_follower.Follower, _: appender.Appender
    ) -> float:
        begun = anyio.current_time()
        while not follower.ready:
            await follower.wait_for_step()
        return follower.last_read - begun

    # One read of the checkpoints precedes the read of the records.
    assert run(memory, scenario) == 5.0


def test_lost_append_is_reported_once_it_can_no_longer_appear() -> None:
    """Guards against an early "not appended" and an endless unknown."""
    memory = MemoryLog(0, False)

    async def scenario(
        follower: log_follower.Follower, writer: appender.Appender
    ) -> None:
        begun = anyio.current_time()
        code = helpers.refusal_code(await writer.append(RECORD))
        assert code is codes.ResultCode.LOG_UNAVAILABLE
        assert 3.0 <= follower.last_read - begun <= 3.5
        memory.outage = True
        begun = anyio.current_time()
        code = helpers.refusal_code(await writer.append(RECORD))
        assert code is codes.ResultCode.LOG_OUTCOME_UNKNOWN
        assert anyio.current_time() - begun == 10.0

    run(memory, scenario)


def test_append_duplicated_by_the_log_is_reported_as_applied() -> None:
    """Guards against reporting the refusal of the second copy."""
    for answers in (True, False):
        memory = MemoryLog(2, answers)

        async def scenario(
            _: log_follower.Follower, writer: appender.Appender
        ) -> object:
            return await writer.append(RECORD)

        assert run(memory, scenario) == 0


def test_outcome_is_unknown_if_the_state_is_replaced_while_reading_back() -> (
    None
):
    """Guards against "not appended" for a record a checkpoint covers."""
    for answers in (True, False):
        memory = MemoryLog(1, answers)

        async def scenario(
            follower: log_follower.Follower, writer: appender.Appender
        ) -> codes.ResultCode:
            newer = cluster.ClusterState()
            newer.apply(0, RECORD)
            begun = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(replace, follower, newer)
                answer = await writer.append(RECORD)
            assert anyio.current_time() - begun < 3.0
            return helpers.refusal_code(answer)

        async def replace(
            follower: log_follower.Follower, newer: cluster.ClusterState
        ) -> None:
            follower._adopt(newer, "checkpoint")

        found = run(memory, scenario)
        assert found is codes.ResultCode.LOG_OUTCOME_UNKNOWN
