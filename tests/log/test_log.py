"""Client, follower and appender on a log stand-in with faults."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import anyio
import pytest

from agatestile.log import appender
from agatestile.log import checkpoints
from agatestile.log import client as log_client
from agatestile.log import follower as log_follower
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import checkpoint
from agatestile.state import cluster
from agatestile.state import records
from standins import log as log_standin
from standins import serving
from tests.state import helpers

pytestmark = pytest.mark.anyio


class LogSetup:
    """A log stand-in with a client, a follower and an appender."""

    def __init__(self, log: log_standin.Log, port: int) -> None:
        self.log = log
        self.client = log_client.LogClient(f"http://127.0.0.1:{port}", 1.0)
        self.follower = self.follow(cluster.ClusterState())
        self.appender = appender.Appender(
            self.client, self.follower, timeout=3.0, settle_time=0.2
        )

    def follow(
        self,
        state: cluster.ClusterState,
        fetch_snapshots: log_follower.SnapshotFetcher | None = None,
    ) -> log_follower.Follower:
        """Return another follower of the log."""
        return log_follower.Follower(
            self.client, state, fetch_snapshots, wait=0.05
        )

    async def fill(self, bodies: list[bytes]) -> None:
        """Append records without reading them back."""
        for body in bodies:
            assert isinstance(await self.client.append("config", body), int)


@contextlib.asynccontextmanager
async def running_log() -> collections.abc.AsyncIterator[LogSetup]:
    """Serve a log stand-in while the context is active."""
    log = log_standin.Log()
    async with serving.running(log) as port:
        setup = LogSetup(log, port)
        yield setup
        await setup.client.close()


def host_change(number: int, base: int = -1) -> records.HostChange:
    """Return a change whose request identifier and host have a number."""
    name = f"h{number}"
    return records.HostChange(name, "anna", f"e{number}", "leaving", base)


def host_changes(count: int) -> list[bytes]:
    """Return the bytes of records that can all be applied in order."""
    return [records.encode(host_change(n)) for n in range(count)]


async def test_append_whose_response_is_lost_is_read_back() -> None:
    """Guards against reporting a change as failed although it took effect."""
    async with running_log() as setup, anyio.create_task_group() as tasks:
        tasks.start_soon(setup.follower.run)
        setup.log.control.lose_answers = 1
        assert await setup.appender.append(host_change(0)) == 0
        assert setup.follower.state.hosts_by_name["e0"].state == "leaving"
        assert setup.log.stream("config").tail == 1
        tasks.cancel_scope.cancel()


async def test_slow_append_is_read_back_after_its_call_timed_out() -> None:
    """Guards against giving up before a slow append takes effect."""
    async with running_log() as setup, anyio.create_task_group() as tasks:
        impatient_client = log_client.LogClient(setup.client._url, 0.05)
        slow = appender.Appender(
            impatient_client, setup.follower, 3.0, settle_time=1.0
        )
        tasks.start_soon(setup.follower.run)
        setup.log.control.delay_ms = 150
        assert await slow.append(host_change(0)) == 0
        await impatient_client.close()
        tasks.cancel_scope.cancel()


async def test_one_of_two_concurrent_changes_is_refused() -> None:
    """Guards against accepting both of two edits based on one version."""
    async with running_log() as setup, anyio.create_task_group() as tasks:
        tasks.start_soon(setup.follower.run)
        answers: list[int | outcomes.Refusal] = []

        async def edit(name: str) -> None:
            change = records.TableChange(name, name, -1, helpers.rows())
            answers.append(await setup.appender.append(change))

        async with anyio.create_task_group() as operators:
            operators.start_soon(edit, "anna")
            operators.start_soon(edit, "jan")
        refusals = [a for a in answers if isinstance(a, outcomes.Refusal)]
        assert len(refusals) == 1
        assert refusals[0].code is codes.ResultCode.TABLE_CONFLICT
        assert setup.follower.state.table.version == 0
        tasks.cancel_scope.cancel()


async def test_append_to_an_unavailable_log_is_reported_as_not_appended() -> (
    None
):
    """Guards against reporting an outage as an unknown outcome."""
    async with running_log() as setup:
        setup.log.control.outage = True
        code = helpers.refusal_code(await setup.client.append("config", b"x"))
        assert code is codes.ResultCode.LOG_UNAVAILABLE
    closed = log_client.LogClient("http://127.0.0.1:1", 0.5)
    code = helpers.refusal_code(await closed.append("config", b"x"))
    assert code is codes.ResultCode.LOG_UNAVAILABLE


async def test_start_from_an_old_checkpoint_reads_to_the_end_of_the_log() -> (
    None
):
    """Guards against a new host serving the old state of a checkpoint."""
    async with running_log() as setup:
        await setup.fill(host_changes(5))
        old = cluster.ClusterState()
        for number in range(2):
            old.apply(number, host_change(number))
        await setup.client.append(checkpoints.STREAM, checkpoint.dump(old))
        await setup.client.append(checkpoints.STREAM, b"damaged")
        seen: list[cluster.Applied | None] = []
        setup.follower.subscribe(seen.append)
        assert await setup.follower.step()
        assert setup.follower.state.offset == 4 and setup.follower.ready
        assert len(setup.follower.state.hosts_by_name) == 5
        assert seen[0] is None and len(seen) == 4


async def test_follower_behind_the_tail_does_not_update_last_read() -> None:
    """Guards against renewing a permit by a read that lacks new records."""
    async with running_log() as setup:
        await setup.fill(host_changes(log_client.BATCH_LIMIT + 1))
        assert await setup.follower.step()
        assert not setup.follower.ready
        assert setup.follower.last_read == float("-inf")
        assert await setup.follower.step()
        assert setup.follower.ready
        assert setup.follower.last_read <= anyio.current_time()


async def test_follower_overtaken_by_retention_loads_the_checkpoint() -> None:
    """Guards against a paused host that skips records the log discarded."""
    async with running_log() as setup:
        await setup.fill(host_changes(2))
        assert await setup.follower.step()
        other = setup.follow(cluster.ClusterState())
        await setup.fill(host_changes(12)[2:])
        assert await other.step()
        setup.log.control.retention = 3
        setup.log.stream("config").retain(3)
        assert not await setup.follower.step()
        assert setup.follower.state.offset == 1
        body = checkpoint.dump(other.state)
        await setup.client.append(checkpoints.STREAM, body)
        assert await setup.follower.step()
        assert setup.follower.state == other.state
        assert await setup.follower.step()


async def test_older_checkpoint_does_not_revert_the_state() -> None:
    """Guards against reloading a checkpoint that is older than the state."""
    async with running_log() as setup:
        await setup.fill(host_changes(4))
        assert await setup.follower.step()
        old = cluster.ClusterState()
        old.apply(0, host_change(0))
        await setup.client.append(checkpoints.STREAM, checkpoint.dump(old))
        await setup.fill(host_changes(8)[4:])
        setup.log.stream("config").retain(2)
        assert not await setup.follower.step()
        assert setup.follower.state.offset == 3
        assert setup.follower.ready


async def test_start_during_a_log_outage_loads_the_newest_peer_state() -> None:
    """Guards against a start that waits for the log, perhaps for an hour."""
    states = []
    for count in (4, 2):
        state = cluster.ClusterState()
        for number in range(count):
            state.apply(number, host_change(number))
        states.append((state.offset, checkpoint.dump(state)))

    async def fetch_snapshots() -> list[tuple[int, bytes]]:
        return [(9, b"damaged"), *reversed(states)]

    async with running_log() as setup:
        setup.log.control.outage = True
        follower = setup.follow(cluster.ClusterState(), fetch_snapshots)
        assert not await follower.step()
        assert follower.ready and follower.state.offset == 3
        setup.log.control.outage = False
        await setup.fill(host_changes(6))
        assert await follower.step()
        assert follower.state.offset == 5
        setup.log.control.outage = True
        assert not await follower.step()
        assert follower.state.offset == 5


async def test_log_that_lost_its_records_does_not_revert_the_state() -> None:
    """Guards against reverting accepted changes when the log loses records."""
    async with running_log() as setup:
        await setup.fill(host_changes(3))
        assert await setup.follower.step()
        setup.log.streams_by_name.clear()
        await setup.fill(host_changes(1))
        assert not await setup.follower.step()
        assert setup.follower.state.offset == 2


async def test_unreadable_record_is_skipped_and_later_ones_apply() -> None:
    """Guards against one unreadable record stopping all hosts."""
    async with running_log() as setup:
        await setup.fill([b"\xff", *host_changes(1)])
        assert await setup.follower.step()
        assert setup.follower.state.offset == 1
        assert "e0" in setup.follower.state.hosts_by_name


async def test_only_one_leader_writes_a_due_checkpoint() -> None:
    """Guards against no checkpoint, and against one from each leader."""
    async with running_log() as setup:
        await setup.fill(host_changes(30))
        assert await setup.follower.step()
        policy = checkpoint.Policy(retention=1000.0, records=20)
        ranks: list[typing.Any] = [1, 0, 0, None]
        writers = [
            checkpoints.Checkpointer(
                setup.client, setup.follower.state, policy, lambda r=rank: r
            )
            for rank in ranks
        ]
        written = [await writer.step(0.0) for writer in writers]
        assert written == [True, False, False, False]
        assert setup.log.stream(checkpoints.STREAM).tail == 1
