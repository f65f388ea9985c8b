"""Stand-in of an upstream that holds keys, after PROTOCOL.md."""

import asyncio
import json
import time

import http_ as http

HEARTBEAT_SECONDS = 0.8
SLOTS = 4


class Upstream:
    """One boot of an upstream of a service divided by key."""

    def __init__(self, name, service, zone, work, store, note):
        self.id, self.service, self.zone = name, service, zone
        self._work, self._store, self._note = work, store, note
        self.is_up = False
        self.is_draining = False
        self.is_registered = True
        self.begun = []
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._holds = []
        self._fences = []
        self._granted = []
        self._running = {}
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._releases = 0
        self._server = http.Server(self._handle)
        self._task = None

    async def start(self, host, port):
        self._address = f"{host}:{port}"
        await self._server.start(host, port)
        self.is_up = True
        self._task = asyncio.create_task(self._report())

    async def stop(self):
        self.is_up = False
        if self._task is not None:
            self._task.cancel()
        await self._server.stop()

    def holds(self, now):
        """Return the (first, last, fence) that it holds."""
        return [h[:3] for h in self._holds if h[3] > now]

    def granted(self):
        """Return the (first, last, fence) that it has taken."""
        return list(self._granted)

    async def _report(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def report(self):
        """Write the entry, as one does that reaches the store."""
        if self._store.is_down or not self.is_registered:
            return
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self._address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "warmupLeftMs": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        body = json.dumps(entry).encode()
        self._store.put("keyed.servers", self.id, body)

    async def _handle(self, request):
        target = request.get("x-target-instance")
        if target is not None and target != self.id:
            return 421, [("X-Upstream-Instance", self.id)], b""
        if request.target == "/grant":
            return self._grant(json.loads(request.body))
        if request.target == "/release":
            return await self._release(json.loads(request.body))
        if request.target == "/healthz":
            status = 503 if self.is_draining else 200
            return status, self._notices(), b""
        return await self._run(request)

    def _cut(self, first, last):
        kept = []
        for low, high, fence, until in self._holds:
            if high < first or low > last:
                kept.append((low, high, fence, until))
                continue
            if low < first:
                kept.append((low, first - 1, fence, until))
            if high > last:
                kept.append((last + 1, high, fence, until))
        self._holds = kept

    def _seen(self, first, last):
        return max(
            (f for a, b, f in self._fences if a <= last and first <= b),
            default=0,
        )

    def _grant(self, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        if self._seen(first, last) > fence:
            return 409, [], b""
        is_new = (first, last, fence) not in self._fences
        until = time.monotonic() + order["holdMs"] / 1000
        self._cut(first, last)
        self._holds.append((first, last, fence, until))
        if is_new:
            self._fences.append((first, last, fence))
            self._granted.append((first, last, fence))
            self._note(
                "grant", server=self.id, first=first, last=last, fence=fence
            )
        return 200, [], b""

    async def _release(self, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        self._cut(first, last)
        self._fences.append((first, last, max(fence, self._seen(first, last))))
        self._note(
            "release", server=self.id, first=first, last=last, fence=fence
        )
        while any(n and first <= k <= last for k, n in self._running.items()):
            await asyncio.sleep(0.005)
        self._releases += 1
        return 200, [("X-Handover", f"{self.id}-{self._releases}")], b""

    def _notices(self):
        running = sum(self._running.values())
        load = f"{running},{self._waiting},{SLOTS}"
        return [
            ("X-Upstream-Load", load),
            ("X-Upstream-Instance", self.id),
        ]

    async def _run(self, request):
        name = request.get("x-request-id", "")
        key = int(request.get("x-shard-key", "-1"))
        echo = [("X-Request-Id", name), *self._notices()]
        refused = [("X-Not-Executed", "1"), *echo]
        if self._waiting >= 12:
            return 503, refused, b""
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            now = time.monotonic()
            held = [h for h in self._holds if h[0] <= key <= h[1]]
            if not any(h[3] > now for h in held):
                return 421, refused, b""
            self.begun.append((now, key, name))
            self._note("run", id=name, key=key, server=self.id)
            self._running[key] = self._running.get(key, 0) + 1
            try:
                await asyncio.sleep(self._work)
            finally:
                self._running[key] -= 1
        finally:
            self._slots.release()
        signed = [("X-Upstream-Signature", f"{self.id}.{name}"), *echo]
        return 200, signed, f"{self.id} {name}".encode()
