"""Two of three machines of a zone are stopped, one after the other."""

from __future__ import annotations

import asyncio
import math
import pathlib
import random
import signal
import sys
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

GRACE_SECONDS = 6.0
SHORTEST_LIMIT_SECONDS = 2.0
LATE_SECONDS = 3.0
"""Time after a SIGTERM up to which the rule excuses a request whose upstream
is still at work in the last sixth of the grace time."""

GAP_SECONDS = 1.0
REQUESTS_PER_SECOND = 240
"""80 for each machine, as on the site at its usual load."""

UPLOAD_SHARE = 0.3
ROUNDS = 8


class SiteUpstream(harness.Upstream):
    """Works as long as the site file says.

    Sharded upstreams do so as for `job-lookup`, the others as for
    `site-photo`: mean, spread and longest time in seconds.
    """

    LOOKUP = (0.090, 0.5, 0.540)
    PHOTO = (0.110, 0.8, 0.810)
    SPEEDS = (0.5, 1.0, 1.0, 1.5)
    has_noise = True
    speed = 1.0

    def draw_work(self) -> float:
        mean, spread, longest = self.LOOKUP if self.is_sharded else self.PHOTO
        median = mean * math.exp(-(spread**2) / 2)
        drawn = random.lognormvariate(math.log(median), spread)
        return min(drawn, longest) / self.speed


class StopCase(harness.Case):
    """Sends requests as the platform's balancer forwards them."""

    upstream_type = SiteUpstream

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.stopped_at: dict[str, float] = {}
        self._misses: dict[str, int] = {}
        self._dropped_at: dict[str, float] = {}

    def on_dropped(self, upstream: harness.Upstream, name: str) -> None:
        super().on_dropped(upstream, name)
        self._dropped_at[name] = time.monotonic()

    def manifest(self) -> dict[str, typing.Any]:
        manifest = super().manifest()
        manifest["listeners"][0]["rules"][1]["routeType"] = "upload"
        return manifest

    async def check_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._check(one) for one in self.machines))
            await asyncio.sleep(1.0)

    async def _check(self, machine: harness.Machine) -> None:
        answer = await harness.call(
            machine.ready, "GET", "/readyz", {"Host": "platform"}, timeout=1.0
        )
        is_ready = isinstance(answer, harness.Answer) and answer.status == 200
        misses = self._misses.get(machine.name, 0)
        self._misses[machine.name] = 0 if is_ready else misses + 1

    def _choose(self) -> harness.Machine:
        """Return the machine that gets the next connection.

        Two misses take a machine out. If fewer than half of the zone's
        machines are in rotation, all of them are used.
        """
        ready = [
            one for one in self.machines if self._misses.get(one.name, 0) < 2
        ]
        if 2 * len(ready) < len(self.machines):
            ready = self.machines
        return random.choice(ready)

    async def restart(self, machine: harness.Machine) -> None:
        """Stop a machine as the platform does, and start it again."""
        self.stopped_at[machine.name] = time.monotonic()
        machine.send(signal.SIGTERM)
        async with asyncio.timeout(GRACE_SECONDS):
            await machine.wait()
        self.record.write(f"{machine.name} ended: {machine.exit_status}")
        del self.stopped_at[machine.name]
        await machine.start(self.seeds())

    async def load(self) -> None:
        sent: set[asyncio.Task[None]] = set()
        while True:
            task = asyncio.ensure_future(self._send())
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))

    async def _send(self) -> None:
        machine = self._choose()
        stopped = self.stopped_at.get(machine.name)
        sent = time.monotonic()
        if random.random() < UPLOAD_SHARE:
            name, answer = await self.named_request(
                machine, "POST", "/ledger/1", {}, 2.5
            )
        else:
            key = {"X-Shard-Key": str(random.randrange(65536))}
            name, answer = await self.named_request(
                machine, "GET", "/sheets/1", key, 2.0
            )
        ended = time.monotonic()
        is_upstreams = (
            isinstance(answer, harness.Answer)
            and "x-upstream-signature" in answer.headers
        )
        # The upstream notices the end of its connection a little later.
        await asyncio.sleep(0.2)
        dropped = self._dropped_at.get(name)
        if is_upstreams or stopped is None or dropped is None:
            return
        if ended - sent >= SHORTEST_LIMIT_SECONDS - 0.1:
            return
        last_sixth = stopped + GRACE_SECONDS * 5 / 6
        if sent <= stopped + LATE_SECONDS and dropped >= last_sixth:
            return
        shown = answer if isinstance(answer, str) else answer.status
        self.record.violation(
            f"LOST: {name}, sent {sent - stopped:.2f} s after the SIGTERM of"
            f" {machine.name}, was passed on and got {shown} after"
            f" {ended - sent:.2f} s, its upstream was at work"
        )


async def scenario(case: harness.Case, has_trouble: bool) -> None:
    assert isinstance(case, StopCase)
    await case.start(machines=3, sharded=12, plain=16)
    for number, one in enumerate(case.upstreams):
        assert isinstance(one, SiteUpstream)
        one.speed = one.SPEEDS[number % len(one.SPEEDS)]
    case.background(case.check_readiness())
    case.background(case.load())
    await asyncio.sleep(4.0)
    for _ in range(ROUNDS):
        if has_trouble:
            stopping = random.sample(case.machines, 2)
            first = asyncio.ensure_future(case.restart(stopping[0]))
            await asyncio.sleep(GAP_SECONDS)
            await asyncio.gather(first, case.restart(stopping[1]))
        await asyncio.sleep(5.0)
        if case.record.broken:
            return


harness.main(__file__, scenario, StopCase)
