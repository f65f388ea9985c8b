"""Keeps the state current by following the configuration stream."""

from __future__ import annotations

import collections.abc
import logging
import random
import typing

import anyio
import msgspec

from agatestile.log import checkpoints
from agatestile.results import outcomes
from agatestile.state import checkpoint
from agatestile.state import cluster
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.log import client as log_client

LOG = logging.getLogger(__name__)

STREAM = "config"
_RETRY_SECONDS = 0.25
# Records applied before other tasks get to run.
_RECORDS_AT_ONCE = 20

Subscriber = collections.abc.Callable[[cluster.Applied | None], None]
Observer = collections.abc.Callable[
    [int, records.Record, cluster.Applied | outcomes.Refusal], None
]
SnapshotFetcher = collections.abc.Callable[
    [], collections.abc.Awaitable[collections.abc.Sequence[tuple[int, bytes]]]
]


class Follower:
    """Applies the records of the configuration stream in order.

    Parameters
    ----------
    client : log_client.LogClient
        The log.
    state : cluster.ClusterState
        Updated in place.
    fetch_snapshots : callable, optional
        Asks peers for their states and returns pairs of an offset and the
        bytes of a checkpoint. Called when the log cannot provide a state.
    wait : float
        How long the log waits for a new record, seconds.

    Attributes
    ----------
    ready : bool
        Whether the state has, since the start, been read up to the end of
        the log or been taken from a peer.
    last_read : float
        Clock at the start of the last read that brought the state to the
        end of the log, seconds. Reads that leave the state behind do not
        count, since it may lack an eviction or a new leader.
    replacement_count : int
        How often the whole state was replaced.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        state: cluster.ClusterState,
        fetch_snapshots: SnapshotFetcher | None = None,
        wait: float = 0.5,
    ) -> None:
        self.state = state
        self.ready = False
        self.last_read = float("-inf")
        self.replacement_count = 0
        self._client = client
        self._fetch_snapshots = fetch_snapshots
        self._wait = wait
        self._has_base = False
        self._reachable = True
        self._subscribers: list[Subscriber] = []
        self._observers: list[Observer] = []
        self._step_done = anyio.Event()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a subscriber after each applied record.

        Its argument is None if the whole state was replaced.
        """
        self._subscribers.append(subscriber)

    def observe(self, observer: Observer) -> None:
        """Call an observer after each record, applied or refused."""
        self._observers.append(observer)

    async def wait_for_step(self) -> None:
        """Wait until the next read has ended and its records are applied."""
        await self._step_done.wait()

    async def run(self) -> typing.NoReturn:
        """Follow the log until cancelled."""
        while True:
            current = await self.step()
            event, self._step_done = self._step_done, anyio.Event()
            event.set()
            if not current:
                # Random, so that hosts do not all retry at the same time.
                await anyio.sleep(_RETRY_SECONDS * random.uniform(1.0, 2.0))

    async def step(self) -> bool:
        """Read once and apply the records read.

        Returns
        -------
        bool
            False if the log could not be read, or if its records do not
            continue the state.
        """
        if not self._has_base:
            self._has_base = await self._load_checkpoint()
            if not self._has_base:
                await self._load_from_peers()
                return False
        started = anyio.current_time()
        batch = await self._client.read(
            STREAM, self.state.offset + 1, self._wait
        )
        if isinstance(batch, outcomes.Refusal):
            self._log_availability(batch)
            if not self.ready:
                await self._load_from_peers()
            return False
        self._log_availability(None)
        if batch.first > self.state.offset + 1:
            return await self._recover_from_gap(batch.first)
        if batch.tail <= self.state.offset:
            LOG.error(
                "log: tail %d is not above the state's offset %d",
                batch.tail,
                self.state.offset,
            )
            return False
        if not await self._apply(batch.records):
            return False
        if self.state.offset + 1 >= batch.tail:
            self.last_read = started
            self.ready = True
        return True

    async def _apply(self, entries: list[tuple[int, bytes]]) -> bool:
        for count, (offset, body) in enumerate(entries, start=1):
            if offset <= self.state.offset:
                continue
            if offset != self.state.offset + 1:
                LOG.error(
                    "log: offset %d does not follow offset %d",
                    offset,
                    self.state.offset,
                )
                return False
            self._apply_record(offset, body)
            if count % _RECORDS_AT_ONCE == 0:
                await anyio.sleep(0)
        return True

    def _apply_record(self, offset: int, body: bytes) -> None:
        try:
            record = records.decode(body)
        except msgspec.MsgspecError as error:
            LOG.error("log: skipped unreadable record %d: %s", offset, error)
            self.state.skip(offset)
            return
        result = self.state.apply(offset, record)
        for observer in self._observers:
            observer(offset, record, result)
        if isinstance(result, outcomes.Refusal):
            LOG.info("state: record %d refused: %s", offset, result)
            return
        for subscriber in self._subscribers:
            subscriber(result)

    async def _recover_from_gap(self, first: int) -> bool:
        """Load a newer state after the log discarded the next records."""
        LOG.warning(
            "log: oldest offset %d does not continue the state's offset %d",
            first,
            self.state.offset,
        )
        await self._load_checkpoint()
        if self.state.offset + 1 < first:
            await self._load_from_peers()
        if self.state.offset + 1 < first:
            LOG.error(
                "log: no checkpoint or peer state reaches offset %d",
                first,
            )
            return False
        return True

    async def _load_checkpoint(self) -> bool:
        """Load the last checkpoint. Return False if the log is unavailable."""
        last = await checkpoints.read_last(self._client)
        self._log_availability(
            last if isinstance(last, outcomes.Refusal) else None
        )
        if isinstance(last, outcomes.Refusal):
            return False
        if last is not None:
            self._adopt(last, "checkpoint")
        return True

    async def _load_from_peers(self) -> None:
        if self._fetch_snapshots is None:
            return
        snapshots = await self._fetch_snapshots()
        for offset, body in sorted(snapshots, reverse=True):
            if offset <= self.state.offset:
                return
            try:
                state = checkpoint.load(body)
            except ValueError as error:
                LOG.error("log: unusable snapshot of a peer: %s", error)
                continue
            if self._adopt(state, "peer"):
                self._has_base = self.ready = True
                return

    def _adopt(self, other: cluster.ClusterState, source: str) -> bool:
        before = self.state.offset
        if not self.state.adopt(other):
            return False
        self.replacement_count += 1
        LOG.info(
            "log: state replaced by offset %d from %s, was at offset %d",
            other.offset,
            source,
            before,
        )
        for subscriber in self._subscribers:
            subscriber(None)
        return True

    def _log_availability(self, refusal: outcomes.Refusal | None) -> None:
        """Log the start and the end of an outage, not each failed read."""
        reachable = refusal is None
        if reachable != self._reachable:
            self._reachable = reachable
            LOG.warning("log: %s", refusal or "reachable again")
