"""Two of three machines of a zone are stopped while clients send requests."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

GRACE_SECONDS = 6.0
ROUTE_TIMEOUT_SECONDS = 2.5
LATE_SECONDS = 3.0
"""Time after a SIGTERM up to which the rule excuses a request whose upstream
is still at work in the last sixth of the grace time."""

REQUESTS_PER_SECOND = 90
ROUNDS = 5


class StopCase(harness.Case):
    """Sends unsafe requests as the platform's balancer forwards them."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.stopped_at: dict[str, float] = {}
        self._misses: dict[str, int] = {}
        self._dropped_at: dict[str, float] = {}

    def on_dropped(self, upstream: harness.Upstream, name: str) -> None:
        super().on_dropped(upstream, name)
        self._dropped_at[name] = time.monotonic()

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
        name, answer = await self.named_request(
            machine, "POST", "/ledger/1", {}, 2.5
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
        if ended - sent >= ROUTE_TIMEOUT_SECONDS - 0.1:
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
    await case.start(machines=3, sharded=2, plain=16)
    for one in case.upstreams:
        if not one.is_sharded:
            one.work, one.has_noise = 0.2, True
    case.background(case.check_readiness())
    case.background(case.load())
    await asyncio.sleep(4.0)
    for _ in range(ROUNDS):
        if has_trouble:
            stopping = random.sample(case.machines, 2)
            for one in stopping:
                case.stopped_at[one.name] = time.monotonic()
                one.send(signal.SIGTERM)
            async with asyncio.timeout(GRACE_SECONDS):
                for one in stopping:
                    await one.wait()
            for one in stopping:
                case.record.write(f"{one.name} ended: {one.exit_status}")
                del case.stopped_at[one.name]
                await one.start(case.seeds())
        await asyncio.sleep(5.0)


harness.main(__file__, scenario, StopCase)
