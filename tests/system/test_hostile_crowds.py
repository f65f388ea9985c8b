"""Crowds of callers that cost a host more than the bytes of their bodies.

As in `test_hostile_callers`, no check depends on the speed of the machine. The
crowds are processes of their own and stay connected throughout; an ordinary
request and the readiness check are to be answered while they send and after.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import sys
import typing

import pytest

from tests.system import hostile_crowd
from tests.system import hostile_host

pytestmark = [pytest.mark.anyio, pytest.mark.slow]

DEPLOYED_DESCRIPTORS = 1638
"""Fewest descriptors that hosts have."""

SLOTS = 360
"""Slots of the server in cases in which it is not what limits callers."""

EVENT_SECONDS = 60.0


class _Case(typing.NamedTuple):
    kind: str
    count: int
    port: int = hostile_host.CALLERS
    descriptors: int = DEPLOYED_DESCRIPTORS
    ends: bool = True


CASES = {
    "one-byte-chunks": _Case("one-byte-chunks", 10, ends=False),
    "one-byte-chunks-short": _Case("one-byte-chunks-short", 60, ends=False),
    "chunk-extensions": _Case("chunk-extensions", 10, ends=False),
    "small-bodies": _Case("small-bodies", 400),
    "small-bodies-short": _Case("small-bodies-short", 700),
    "pipelined": _Case("pipelined", 300, ends=False),
    "downloads": _Case("downloads", 200),
    "peers-large-bodies": _Case(
        "large-bodies-short", 24, hostile_host.PEERS, ends=False
    ),
    "ready-large-bodies": _Case(
        "large-bodies-short", 24, hostile_host.READY, ends=False
    ),
    "metrics-large-bodies": _Case(
        "large-bodies-short", 24, hostile_host.METRICS, ends=False
    ),
    "ready-silent": _Case(
        "silent", 600, hostile_host.READY, hostile_host.MAX_DESCRIPTORS
    ),
    "peers-silent": _Case(
        "silent", 600, hostile_host.PEERS, hostile_host.MAX_DESCRIPTORS
    ),
    "metrics-silent": _Case(
        "silent", 600, hostile_host.METRICS, hostile_host.MAX_DESCRIPTORS
    ),
}


class _RunningCrowd:
    """A crowd in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def wait(self, event: str) -> dict[str, int]:
        """Wait until the crowd reports an event; return its fields."""
        assert self._process.stdout is not None
        async with asyncio.timeout(EVENT_SECONDS):
            while True:
                line = await self._process.stdout.readline()
                fields = json.loads(line)
                if fields.pop("event") == event:
                    return typing.cast(dict[str, int], fields)


@contextlib.asynccontextmanager
async def _crowd(
    kind: str, port: int, count: int
) -> typing.AsyncIterator[_RunningCrowd]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        hostile_crowd.__name__,
        kind,
        str(port),
        str(count),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield _RunningCrowd(process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@pytest.mark.parametrize("name", CASES)
async def test_host_answers_beside_a_crowd(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a crowd that takes a host's time, memory or sockets."""
    case = CASES[name]
    async with (
        hostile_host.Host(
            tmp_path, descriptors=case.descriptors, slots=SLOTS
        ) as host,
        _crowd(case.kind, host.ports[case.port], case.count) as crowd,
    ):
        await crowd.wait("sending")
        answers_meanwhile = await host.answers()
        if case.ends:
            print(await crowd.wait("done"))
        answers_afterwards = await host.answers()
        host.check()
        assert answers_meanwhile
        assert answers_afterwards


async def test_answers_for_slow_readers_are_not_cut_off(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against answers that are taken for callers cut off later."""
    async with (
        hostile_host.Host(
            tmp_path,
            memory=hostile_host.LEAST_DEPLOYED_MEMORY_MB,
            descriptors=DEPLOYED_DESCRIPTORS,
            slots=SLOTS,
        ) as host,
        _crowd("slow-readers", host.ports[hostile_host.CALLERS], 30) as crowd,
    ):
        await crowd.wait("sending")
        assert await host.answers()
        outcomes = await crowd.wait("done")
        print(outcomes)
        host.check()
        assert outcomes.get("whole")
        assert outcomes.keys() <= {"whole", "refused"}
