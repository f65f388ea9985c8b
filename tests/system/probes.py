"""Reads keys at an interval and tells how long each was unavailable."""

from __future__ import annotations

import asyncio
import itertools
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
        self._keys = keys
        self._seconds = seconds
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
        await spread.check_readiness()
        watch = asyncio.create_task(spread.poll_readiness())
        self.started = time.monotonic()
        self._ready.set()
        records = await load.run(spread, self._requests, self.started)
        watch.cancel()
        spread.client.close()
        return records

    def silences(self, since: float) -> dict[Key, float]:
        """Return the longest time without an answer of each key.

        Times without an answer start at `since` or at the end of an
        answered probe, and end at the end of the next answered one or at
        the planned end.

        Parameters
        ----------
        since : float
            `time.monotonic()`; earlier probes are left out.
        """
        begin = since - self.started
        ends: dict[Key, list[float]] = {key: [] for key in self._keys}
        for record in self.after(since):
            if record.answered:
                key = Key(record.request.service, record.request.key)
                ends[key].append(record.finished)
        return {
            key: max(
                later - earlier
                for earlier, later in itertools.pairwise(
                    [begin, *sorted(found), max(self._seconds, *found, 0.0)]
                )
            )
            for key, found in ends.items()
        }

    def after(self, moment: float) -> list[load.Record]:
        """Return the probes that started after a moment, in order."""
        start = moment - self.started
        later = [
            record for record in self.records if record.request.start >= start
        ]
        return sorted(later, key=lambda record: record.request.start)

    def assert_served(self, since: float, bound: float) -> None:
        """Assert that no key is without answers longer than a bound.

        Parameters
        ----------
        since : float
            `time.monotonic()` of the fault.
        bound : float
            Seconds.
        """
        silences = self.silences(since)
        longest = max(silences.values())
        print(f"longest time without an answer: {longest:.2f} s")
        slow = {
            key: round(seconds, 2)
            for key, seconds in silences.items()
            if seconds > bound
        }
        assert not slow, (slow, self.results(since))

    def assert_none_cut(self) -> None:
        """Assert that each probe was answered or refused as not run."""
        cut = [
            (item.request.number, item.code, item.failure)
            for item in self.records
            if not item.answered and item.run != "not-run"
        ]
        assert not cut

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
