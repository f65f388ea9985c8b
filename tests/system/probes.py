"""Sends periodic reads and measures how long each key was unavailable."""

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

PROBE_INTERVAL_SECONDS = 0.1
CALLER_TIMEOUT_SECONDS = 9.0


class Key(typing.NamedTuple):
    """Names a key of a service."""

    service: str
    key: str


class Probes:
    """Reads keys periodically from a thread, used as a context manager.

    Parameters
    ----------
    hosts : list of balancer.EntryHost
        Entry hosts that receive the probes.
    keys : list of Key
        Keys to read.
    seconds : float
        How long probes are sent; leaving the context waits for the end.
    seed : int
        Seed of the start times; part of the request identifiers.

    Attributes
    ----------
    records : list of load.Record
        Outcomes of all probes, once the context was left.
    started : float
        `time.monotonic()` from which start times are counted.
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
        self._requests = _plan_requests(keys, seconds, seed)
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
        entry_balancer = balancer.Balancer(self._hosts)
        await entry_balancer.check_readiness()
        readiness_task = asyncio.create_task(entry_balancer.poll_readiness())
        self.started = time.monotonic()
        self._ready.set()
        records = await load.run(entry_balancer, self._requests, self.started)
        readiness_task.cancel()
        entry_balancer.client.close()
        return records

    def unavailable_times(self, since: float) -> dict[Key, float]:
        """Return the longest period without an answer, seconds by key.

        A period starts at `since` or when a probe is answered, and ends
        when the next probe is answered or at the planned end.

        Parameters
        ----------
        since : float
            `time.monotonic()`; earlier probes are left out.
        """
        offset = since - self.started
        answer_times: dict[Key, list[float]] = {key: [] for key in self._keys}
        for record in self.records_since(since):
            if record.answered:
                key = Key(record.request.service, record.request.key)
                answer_times[key].append(record.finished)
        return {
            key: max(
                later - earlier
                for earlier, later in itertools.pairwise(
                    [offset, *sorted(times), max(self._seconds, *times, 0.0)]
                )
            )
            for key, times in answer_times.items()
        }

    def records_since(self, since: float) -> list[load.Record]:
        """Return the probes started since a time, by start time."""
        offset = since - self.started
        records = [
            record for record in self.records if record.request.start >= offset
        ]
        return sorted(records, key=lambda record: record.request.start)

    def assert_served(self, since: float, bound: float) -> None:
        """Assert that no key is unavailable for longer than a bound.

        Parameters
        ----------
        since : float
            `time.monotonic()` at the fault.
        bound : float
            Longest permitted period without an answer, seconds.
        """
        unavailable_times = self.unavailable_times(since)
        longest = max(unavailable_times.values())
        print(f"longest period without an answer: {longest:.2f} s")
        exceeding = {
            key: round(seconds, 2)
            for key, seconds in unavailable_times.items()
            if seconds > bound
        }
        assert not exceeding, (exceeding, self.count_results(since))

    def assert_none_interrupted(self) -> None:
        """Assert that each probe was answered or refused without being run."""
        interrupted = [
            (item.request.number, item.code, item.failure)
            for item in self.records
            if not item.answered and item.run != "not-run"
        ]
        assert not interrupted

    def count_results(self, since: float) -> dict[str, int]:
        """Return how often each result occurred since a time."""
        return dict(verdict.count_results(self.records_since(since)))


def _plan_requests(
    keys: list[Key], seconds: float, seed: int
) -> list[load.Request]:
    generator = random.Random(seed)
    requests: list[load.Request] = []
    for key in keys:
        start = generator.random() * PROBE_INTERVAL_SECONDS
        while start < seconds:
            requests.append(
                load.Request(
                    start,
                    f"{seed}-{'-'.join(key)}-{len(requests)}",
                    *key,
                    "GET",
                    b"",
                    0,
                    CALLER_TIMEOUT_SECONDS,
                    load.PROBE,
                )
            )
            start += PROBE_INTERVAL_SECONDS
    return sorted(requests, key=lambda request: request.start)
