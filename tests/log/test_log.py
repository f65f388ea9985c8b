"""The log's client, follower and appender against the stand-in's faults."""

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


class Bench:
    """The stand-in's log with a client, a follower and an appender."""

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
        snapshots: log_follower.SnapshotFetcher | None = None,
    ) -> log_follower.Follower:
        """Return another follower of the log."""
        return log_follower.Follower(self.client, state, snapshots, wait=0.05)

    async def fill(self, bodies: list[bytes]) -> None:
        """Append records without reading them back."""
        for body in bodies:
            assert isinstance(await self.client.append("config", body), int)


@contextlib.asynccontextmanager
async def running_log() -> collections.abc.AsyncIterator[Bench]:
    """Serve a log for the length of a test."""
    log = log_standin.Log()
    async with serving.running(log) as port:
        bench = Bench(log, port)
        yield bench
        await bench.client.close()


def host_change(number: int, base: int = -1) -> records.HostChange:
    """Return a change with an identifier of its own."""
    name = f"h{number}"
    return records.HostChange(name, "anna", f"e{number}", "leaving", base)


def host_changes(count: int) -> list[bytes]:
    """Return records that all apply."""
    return [records.encode(host_change(n)) for n in range(count)]


async def test_append_whose_response_is_lost_is_read_back() -> None:
    """Guards against reporting a change as failed that took effect."""
    async with running_log() as bench, anyio.create_task_group() as tasks:
        tasks.start_soon(bench.follower.run)
        bench.log.control.lose_answers = 1
        assert await bench.appender.append(host_change(0)) == 0
        assert bench.follower.state.hosts_by_name["e0"].state == "leaving"
        assert bench.log.stream("config").tail == 1
        tasks.cancel_scope.cancel()


async def test_slow_append_is_read_back_after_its_call_timed_out() -> None:
    """Guards against giving up before a slow append takes effect."""
    async with running_log() as bench, anyio.create_task_group() as tasks:
        hasty = log_client.LogClient(bench.client._url, 0.05)
        slow = appender.Appender(hasty, bench.follower, 3.0, settle_time=1.0)
        tasks.start_soon(bench.follower.run)
        bench.log.control.delay_ms = 150
        assert await slow.append(host_change(0)) == 0
        await hasty.close()
        tasks.cancel_scope.cancel()


async def test_one_of_two_concurrent_changes_is_refused() -> None:
    """Guards against both of two racing edits being acknowledged."""
    async with running_log() as bench, anyio.create_task_group() as tasks:
        tasks.start_soon(bench.follower.run)
        answers: list[int | outcomes.Refusal] = []

        async def edit(name: str) -> None:
            change = records.TableChange(name, name, -1, helpers.rows())
            answers.append(await bench.appender.append(change))

        async with anyio.create_task_group() as operators:
            operators.start_soon(edit, "anna")
            operators.start_soon(edit, "jan")
        refusals = [a for a in answers if isinstance(a, outcomes.Refusal)]
        assert len(refusals) == 1
        assert refusals[0].code is codes.ResultCode.TABLE_CONFLICT
        assert bench.follower.state.table.version == 0
        tasks.cancel_scope.cancel()


async def test_append_to_an_unavailable_log_is_reported_as_not_appended() -> (
    None
):
    """Guards against an outage reported as an unknown outcome."""
    async with running_log() as bench:
        bench.log.control.outage = True
        code = helpers.refusal_code(await bench.client.append("config", b"x"))
        assert code is codes.ResultCode.LOG_UNAVAILABLE
    closed = log_client.LogClient("http://127.0.0.1:1", 0.5)
    code = helpers.refusal_code(await closed.append("config", b"x"))
    assert code is codes.ResultCode.LOG_UNAVAILABLE


async def test_start_from_an_old_checkpoint_reads_to_the_end_of_the_log() -> (
    None
):
    """Guards against a new host serving the checkpoint's old state."""
    async with running_log() as bench:
        await bench.fill(host_changes(5))
        old = cluster.ClusterState()
        for number in range(2):
            old.apply(number, host_change(number))
        await bench.client.append(checkpoints.STREAM, checkpoint.dump(old))
        await bench.client.append(checkpoints.STREAM, b"damaged")
        seen: list[cluster.Applied | None] = []
        bench.follower.subscribe(seen.append)
        assert await bench.follower.step()
        assert bench.follower.state.offset == 4 and bench.follower.ready
        assert len(bench.follower.state.hosts_by_name) == 5
        assert seen[0] is None and len(seen) == 4


async def test_follower_behind_the_tail_does_not_update_last_read() -> None:
    """Guards against a permit renewed by a read that shows old records."""
    async with running_log() as bench:
        await bench.fill(host_changes(log_client.BATCH_LIMIT + 1))
        assert await bench.follower.step()
        assert not bench.follower.ready
        assert bench.follower.last_read == float("-inf")
        assert await bench.follower.step()
        assert bench.follower.ready
        assert bench.follower.last_read <= anyio.current_time()


async def test_follower_overtaken_by_retention_loads_the_checkpoint() -> None:
    """Guards against a paused host that applies records with a gap."""
    async with running_log() as bench:
        await bench.fill(host_changes(2))
        assert await bench.follower.step()
        other = bench.follow(cluster.ClusterState())
        await bench.fill(host_changes(12)[2:])
        assert await other.step()
        bench.log.control.retention = 3
        bench.log.stream("config").retain(3)
        assert not await bench.follower.step()
        assert bench.follower.state.offset == 1
        body = checkpoint.dump(other.state)
        await bench.client.append(checkpoints.STREAM, body)
        assert await bench.follower.step()
        assert bench.follower.state == other.state
        assert await bench.follower.step()


async def test_older_checkpoint_does_not_revert_the_state() -> None:
    """Guards against a restart from a checkpoint that lags the host."""
    async with running_log() as bench:
        await bench.fill(host_changes(4))
        assert await bench.follower.step()
        old = cluster.ClusterState()
        old.apply(0, host_change(0))
        await bench.client.append(checkpoints.STREAM, checkpoint.dump(old))
        await bench.fill(host_changes(8)[4:])
        bench.log.stream("config").retain(2)
        assert not await bench.follower.step()
        assert bench.follower.state.offset == 3
        assert bench.follower.ready


async def test_start_during_a_log_outage_loads_the_newest_peer_state() -> None:
    """Guards against a start that waits an hour for the log."""
    states = []
    for count in (4, 2):
        state = cluster.ClusterState()
        for number in range(count):
            state.apply(number, host_change(number))
        states.append((state.offset, checkpoint.dump(state)))

    async def snapshots() -> list[tuple[int, bytes]]:
        return [(9, b"damaged"), *reversed(states)]

    async with running_log() as bench:
        bench.log.control.outage = True
        follower = bench.follow(cluster.ClusterState(), snapshots)
        assert not await follower.step()
        assert follower.ready and follower.state.offset == 3
        bench.log.control.outage = False
        await bench.fill(host_changes(6))
        assert await follower.step()
        assert follower.state.offset == 5
        bench.log.control.outage = True
        assert not await follower.step()
        assert follower.state.offset == 5


async def test_log_that_lost_its_records_does_not_revert_the_state() -> None:
    """Guards against accepted changes reverting."""
    async with running_log() as bench:
        await bench.fill(host_changes(3))
        assert await bench.follower.step()
        bench.log.streams_by_name.clear()
        await bench.fill(host_changes(1))
        assert not await bench.follower.step()
        assert bench.follower.state.offset == 2


async def test_unreadable_record_is_skipped_and_later_ones_apply() -> None:
    """Guards against one bad record stopping all hosts."""
    async with running_log() as bench:
        await bench.fill([b"\xff", *host_changes(1)])
        assert await bench.follower.step()
        assert bench.follower.state.offset == 1
        assert "e0" in bench.follower.state.hosts_by_name


async def test_only_one_leader_writes_a_due_checkpoint() -> None:
    """Guards against no checkpoint, and against one from each leader."""
    async with running_log() as bench:
        await bench.fill(host_changes(30))
        assert await bench.follower.step()
        policy = checkpoint.Policy(retention=1000.0, records=20)
        ranks: list[typing.Any] = [1, 0, 0, None]
        writers = [
            checkpoints.Checkpointer(
                bench.client, bench.follower.state, policy, lambda r=rank: r
            )
            for rank in ranks
        ]
        written = [await writer.step(0.0) for writer in writers]
        assert written == [True, False, False, False]
        assert bench.log.stream(checkpoints.STREAM).tail == 1
