"""Stand-in of a sound upstream whose downloads are large."""

import asyncio
import json
import time

import deployment
import http_ as http

SLOTS = 6


class Upstream:
    """An upstream of a service that is not divided by key."""

    def __init__(self, name, service, download_bytes, work, store, note):
        self.id, self.service = name, service
        self._download_bytes, self._work = download_bytes, work
        self._store, self._note = store, note
        self._sequence, self._born = 0, int(time.time() * 1000)

    async def start(self):
        port = deployment.free_port()
        self._address = f"{deployment.HOST}:{port}"
        self._server = http.Server(self._handle)
        await self._server.start(deployment.HOST, port)
        self._task = asyncio.create_task(self._report())

    async def stop(self):
        self._task.cancel()
        await self._server.stop()

    async def _report(self):
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self._address,
                "zone": "tema",
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": self._sequence,
                "born": self._born,
            }
            body = json.dumps(entry).encode()
            self._store.put("keyed.servers", self.id, body)
            await asyncio.sleep(0.8)

    async def _handle(self, request):
        target = request.get("x-target-instance")
        if target is not None and target != self.id:
            return 421, [("X-Upstream-Instance", self.id)], b""
        notices = [
            ("X-Upstream-Instance", self.id),
            ("X-Upstream-Load", f"1,0,{SLOTS}"),
        ]
        name = request.get("x-request-id")
        if name is None:
            return 200, notices, b""
        self._note("run", id=name, server=self.id)
        await asyncio.sleep(self._work)
        size = 400
        if request.target.startswith("/izpisi"):
            size = self._download_bytes
        signed = [("X-Upstream-Signature", f"{self.id}.{name}"), *notices]
        return 200, [("X-Request-Id", name), *signed], b"x" * size
