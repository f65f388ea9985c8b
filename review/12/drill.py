"""A drill of the store while one unanswered append is still on its way."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

import deployment  # noqa: E402
import http_ as http  # noqa: E402
import store as store_module  # noqa: E402
import upstream as upstream_module  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRILL = TROUBLE and os.environ.get("DRILL", "1") != "0"
LATE = TROUBLE and os.environ.get("LATE", "1") != "0"

TOPIC = "keyed.agatestile"
SERVICE = "jobsheets"
ZONES = ("tema", "madina")
REQUESTS_PER_SECOND = 80
WORK_SECONDS = 0.03
UPSTREAMS = 12
ADDED = 3
"""Upstreams that are added at once, a quarter of those there are."""
AWAY_SECONDS = 0.3
LATEST_SECONDS = 6.0
"""An unanswered call may be executed seconds later."""
OLDEST_SECONDS = 9.0
"""The copy is some seconds old."""
OVERLAP_SECONDS = 0.5
"""OWNER: two upstreams that are up hold the same keys for over half a second."""


class Run:
    def __init__(self, folder):
        self.record = deployment.Record(HERE / "record.txt")
        self.note = self.record.note
        self.store = store_module.Store(self.note)
        self.folder = folder
        self.upstreams = []
        self.daemons = []
        self.held = None
        self.served = self.sent = 0
        self.violations = []
        self.lose_next = False

    async def add_upstream(self, name):
        one = upstream_module.Upstream(
            name, SERVICE, "tema", WORK_SECONDS, self.store, self.note
        )
        await one.start(deployment.HOST, deployment.free_port())
        self.upstreams.append(one)
        self.note("upstream_started", server=name)
        return one

    # The unanswered append

    def on_append(self, name, query, records):
        """Take the next append of a map and leave it unanswered."""
        is_map = any(r[1 : 1 + r[0]].startswith(b"service/") for r in records)
        if not self.lose_next or name != TOPIC or not is_map:
            return False
        self.lose_next = False
        self.held = (query["asOf"], records, time.monotonic())
        self.note("append_unanswered", as_of=query["asOf"], n=len(records))
        return True

    def execute_late(self):
        """Execute it once its condition holds after the drill."""
        if self.held is None or self.store.era == 1:
            return
        as_of, records, sent = self.held
        late = time.monotonic() - sent
        end = len(self.store.topic(TOPIC).records)
        if late > LATEST_SECONDS:
            self.note("append_dropped", end=end)
            self.held = None
        elif end == int(as_of):
            self.held = None
            self.note("append_executed_late", seconds=round(late, 2))
            self.store.append(TOPIC, as_of, records)

    # What is checked

    async def watch(self):
        """OWNER: no two upstreams hold the same keys for over 0.5 s."""
        since = {}
        while True:
            now = time.monotonic()
            rows = sorted(
                (first, last, one.id, fence)
                for one in self.upstreams
                if one.is_up
                for first, last, fence in one.holds(now)
            )
            current = set()
            for index, a in enumerate(rows):
                for b in rows[index + 1 :]:
                    if b[0] > a[1]:
                        break
                    if a[2] != b[2]:
                        keys = (max(a[0], b[0]), min(a[1], b[1]))
                        current.add((*sorted((a[2], b[2])), *keys))
            for pair in current:
                since.setdefault(pair, now)
                if now - since[pair] > OVERLAP_SECONDS:
                    if pair not in self.violations:
                        self.violations.append(pair)
                        self.note(
                            "OWNER_BROKEN",
                            servers=pair[:2],
                            keys=pair[2:],
                            seconds=round(now - since[pair], 2),
                        )
            for pair in set(since) - current:
                began = since.pop(pair)
                if now - began > 0.05:
                    self.note(
                        "overlap_ends",
                        servers=pair[:2],
                        keys=pair[2:],
                        seconds=round(now - began, 2),
                    )
            self.execute_late()
            await asyncio.sleep(0.02)

    async def load(self):
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while True:
                number += 1
                tasks.create_task(self.request(number))
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def request(self, number):
        name = f"{number:016x}"
        key = (number * 40503) % 65536
        daemon = self.daemons[number % len(self.daemons)]
        self.sent += 1
        self.note("sent", id=name, key=key, daemon=daemon.name)
        answer = await http.call(
            daemon.callers,
            "GET",
            f"/leny950/{number}",
            [
                ("Host", "hulo84.example"),
                ("X-Request-Id", name),
                ("X-Deadline-Ms", "2000"),
                ("X-Shard-Key", str(key)),
            ],
        )
        status = None if answer is None else answer[0]
        self.note("answered", id=name, status=status)
        if status == 200:
            self.served += 1

    # The scenario

    async def run(self):
        port = deployment.free_port()
        await self.store.start(deployment.HOST, port)
        self.store.on_append = self.on_append
        self.store.put(
            "keyed.op",
            "config",
            deployment.manifest(
                12, [("/leny950/", "safe", SERVICE, 1000)], [(SERVICE, True)]
            ),
        )
        for number, zone in enumerate(ZONES):
            self.daemons.append(
                deployment.Daemon(number, ZONES, zone, port, self.folder)
            )
        seeds = [one.control for one in self.daemons]
        for one in self.daemons:
            one.configure(seeds)
            await one.start()
        for number in range(UPSTREAMS):
            await self.add_upstream(f"i-{number:02x}a7c")
        tasks = [asyncio.create_task(self.watch())]
        await asyncio.sleep(4.0)
        tasks.append(asyncio.create_task(self.load()))
        try:
            await asyncio.sleep(8.0)
            if self.served < self.sent / 2:
                return 2
            await self.disturb()
            await asyncio.sleep(14.0)
        finally:
            for task in tasks:
                task.cancel()
        self.note(
            "end",
            sent=self.sent,
            served=self.served,
            broken=len(self.violations),
            late=self.held is None,
        )
        if self.violations:
            return 1
        return 0

    async def disturb(self):
        # Planned work: one upstream leaves, others are added.
        self.upstreams[0].is_draining = True
        self.upstreams[0].report()
        self.note("upstream_drains", server=self.upstreams[0].id)
        await asyncio.sleep(2.5)
        await self.add_upstream("i-10b3f")
        await asyncio.sleep(2.0)
        self.lose_next = LATE
        await self.add_upstream("i-11b3f")
        await asyncio.sleep(0.9)
        for number in range(ADDED):
            await self.add_upstream(f"i-2{number}b3f")
        await asyncio.sleep(1.3)
        if not DRILL:
            return
        copied_at = self.copy_time()
        if copied_at is None:
            self.note("no_copy")
            return
        self.store.is_down = True
        self.note("store_away")
        await asyncio.sleep(AWAY_SECONDS)
        self.store.restore(copied_at)
        self.store.is_down = False
        self.note(
            "store_back",
            era=self.store.era,
            copy_age=round(time.monotonic() - copied_at, 2),
            end=len(self.store.topic(TOPIC).records),
        )
        # They write again what they wrote since the copy.
        self.store.put(
            "keyed.op",
            "config",
            deployment.manifest(
                12, [("/leny950/", "safe", SERVICE, 1000)], [(SERVICE, True)]
            ),
        )
        for one in self.upstreams:
            one.report()

    def copy_time(self):
        """Return the time of a copy some seconds old."""
        now = time.monotonic()
        boundaries = self.store.topic(TOPIC).boundaries
        self.note("boundaries", ends=[e for _, e in boundaries])
        wanted = None
        if self.held is not None:
            wanted = int(self.held[0]) - 3
        for (at, end), after in zip(boundaries, [*boundaries[1:], (now, 0)]):
            if wanted is None or end == wanted:
                copied = max(at + 0.001, after[0] - 0.2)
                if now - copied <= OLDEST_SECONDS:
                    return copied
        return None


async def main():
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        run = Run(pathlib.Path(folder))
        try:
            async with asyncio.timeout(100):
                return await run.run()
        except TimeoutError:
            return 2
        finally:
            for one in run.daemons:
                await one.end()
            for one in run.upstreams:
                await one.stop()
            await run.store.stop()
            if os.environ.get("KEEP"):
                import shutil

                shutil.copytree(folder, os.environ["KEEP"], dirs_exist_ok=True)


sys.exit(asyncio.run(main()))
