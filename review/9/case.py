"""An upstream runs a request and answers 503 or 429 without X-Not-Executed.

Clients of an unsafe route are told by these statuses that the request has not
run and never will.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2")
)

import harness  # noqa: E402

REQUESTS = 240
UPSTREAMS = 8
"""One of them fails: a share of 0.125, below 0.14."""

FAILED_OF_TEN = 4
"""Requests that it fails, of ten: 0.4, below 0.45."""

CONCURRENCY = 12
PROMISES = (408, 421, 429, 503)


class Ledger(harness.Upstream):
    """Records a deposit; then fails part of its requests by itself."""

    disrupts = False

    async def serve(self, request, reader, writer):
        request_id = self.run(request)
        await asyncio.sleep(self.work)
        status, body = 200, request_id.encode()
        number = len(self.runs)
        if self.disrupts and number % 10 < FAILED_OF_TEN:
            # Run, and not stated otherwise: no X-Not-Executed.
            status, body = (503, 429)[number % 2], b"receipt not written"
        self.record(f"upstream {self.id} answers {request_id} {status}")
        writer.write(self.answer(request, status, body))


async def case(record, folder, disrupts):
    store = harness.Store()
    await store.start()
    store.put_json(
        "keyed.op",
        "config",
        harness.manifest(
            1,
            [harness.rule("/deposit/", "ledger", "unsafe")],
            [harness.cluster("ledger")],
        ),
    )
    upstreams = [
        Ledger(f"i-{n}", "ledger", record, 0.1, zone=f"z{1 + n % 2}")
        for n in range(UPSTREAMS)
    ]
    upstreams[0].disrupts = disrupts
    for upstream in upstreams:
        await upstream.start(store)
    daemon = harness.Daemon("edge-1", folder, store.port)
    daemon.configure([])
    broken = []
    served = []

    async def client(numbers):
        for number in numbers:
            request_id = f"deposit-{number}"
            answer = await harness.send(
                daemon.callers, "POST", "/deposit/1", request_id, b"amount=5"
            )
            runs = sum(one.runs.count(request_id) for one in upstreams)
            status = None if answer is None else answer.status
            record(f"client gets {request_id} {status}, runs: {runs}")
            if status == 200:
                served.append(request_id)
            if runs and status in PROMISES:
                broken.append(request_id)
            await asyncio.sleep(0.05)

    try:
        await daemon.start()
        await daemon.wait_ready()
        await asyncio.sleep(1.5)
        numbers = iter(range(REQUESTS))
        await asyncio.gather(*(client(numbers) for _ in range(CONCURRENCY)))
        await asyncio.sleep(0.5)
    finally:
        await daemon.kill()
        for upstream in upstreams:
            await upstream.stop()
    if not served:
        raise harness.CannotRun("no request was served")
    record(f"{len(served)} served; run and answered 'not run': {broken}")
    return not broken


harness.main(case, str(pathlib.Path(__file__).resolve().parent))
