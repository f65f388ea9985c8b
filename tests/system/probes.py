"""Reads keys at an interval and tells how long each was unavailable."""

from __future__ import annotations

import asyncio
import random
import threading
import time
import typing

import uvloop

from bench import balancer
from bench import load
from bench import verdict

PROBE_INTERVAL = 0.1
CALLER_TIMEOUT = 9.0


class Key(typing.NamedTuple):
    """A key of a service."""

    service: str
    key: str


class Probes:
    """Reads keys of all services at an interval, in a thread.

    Parameters
    ----------
    hosts : list of balancer.EntryHost
        Where to send the probes.
    keys : list of Key
        What to read.
    seconds : float
        How long to send; leaving the block waits for the end.
    seed : int
        Seed of the starts; part of the request identifiers.

    Attributes
    ----------
    records : list of load.Record
        All outcomes, after the end.
    started : float
        `time.monotonic()` at the start.
    """

    def __init__(
        self,
        hosts: list[balancer.EntryHost],
        keys: list[Key],
        seconds: float,
        seed: int,
    ) -> None:
        self._requests = _plan(keys, seconds, seed)
        self._hosts = hosts
        self._thread = threading.Thread(target=self._send)
        self._ready = threading.Event()
        self.records: list[load.Record] = []
        self.started = 0.0

    def __enter__(self) -> Probes:
        self._thread.start()
        self._ready.wait(5.0)
        return self

    def __exit__(self, *unused: object) -> None:
        self._thread.join()

    def _send(self) -> None:
        self.records = uvloop.run(self._run())

    async def _run(self) -> list[load.Record]:
        spread = balancer.Balancer(self._hosts)
        await spread.look()
        watch = asyncio.create_task(spread.watch())
        self.started = time.monotonic()
        self._ready.set()
        records = await load.run(spread, self._requests, self.started)
        watch.cancel()
        spread.client.close()
        return records

    def recovery(self, lost: float) -> dict[Key, float]:
        """Return how long after a loss each key was served again.

        It is the end of the first answered probe after the first failed
        one, 0 if no probe failed, infinite if none was answered again.

        Parameters
        ----------
        lost : float
            `time.monotonic()` of the loss.
        """
        by_key: dict[Key, list[load.Record]] = {}
        for record in self.after(lost):
            key = Key(record.request.service, record.request.key)
            by_key.setdefault(key, []).append(record)
        return {
            key: _first_recovery(records, lost - self.started)
            for key, records in by_key.items()
        }

    def after(self, moment: float) -> list[load.Record]:
        """Return the probes that started after a moment, in order."""
        start = moment - self.started
        later = [
            record for record in self.records if record.request.start >= start
        ]
        return sorted(later, key=lambda record: record.request.start)

    def assert_served_within(self, lost: float, bound: float) -> None:
        """Assert that each key is served again in time and stays so."""
        found = [
            *self.recovery(lost).items(),
            *verdict.unavailable(self.after(lost)).items(),
        ]
        slow = {
            key: round(seconds, 2) for key, seconds in found if seconds > bound
        }
        longest = max(seconds for _, seconds in found)
        print(f"longest time without an answer: {longest:.2f} s")
        assert not slow, (slow, self.results(lost))

    def results(self, moment: float) -> dict[str, int]:
        """Return the numbers of results after a moment."""
        return dict(verdict.count_results(self.after(moment)))


def _plan(keys: list[Key], seconds: float, seed: int) -> list[load.Request]:
    draw = random.Random(seed)
    requests: list[load.Request] = []
    for key in keys:
        start = draw.random() * PROBE_INTERVAL
        while start < seconds:
            requests.append(
                load.Request(
                    start,
                    f"{seed}-{'-'.join(key)}-{len(requests)}",
                    *key,
                    "GET",
                    b"",
                    0,
                    CALLER_TIMEOUT,
                    load.PROBE,
                )
            )
            start += PROBE_INTERVAL
    return sorted(requests, key=lambda request: request.start)


def _first_recovery(records: list[load.Record], lost: float) -> float:
    failed = False
    for record in records:
        if not record.answered:
            failed = True
        elif failed:
            return record.finished - lost
    return float("inf") if failed else 0.0
