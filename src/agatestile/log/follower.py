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
_RETRY = 0.25
_RECORDS_AT_ONCE = 20

Subscriber = collections.abc.Callable[[cluster.Applied | None], None]
Observer = collections.abc.Callable[
    [int, records.Record, cluster.Applied | outcomes.Refusal], None
]
Snapshots = collections.abc.Callable[
    [], collections.abc.Awaitable[collections.abc.Sequence[tuple[int, bytes]]]
]


class Follower:
    """Applies the records of the configuration stream in order.

    Parameters
    ----------
    client : log_client.LogClient
        The log.
    state : cluster.ClusterState
        Kept current in place.
    snapshots : callable, optional
        Asks peers for their states; returns pairs of an offset and the
        bytes of a checkpoint. Used when the log cannot give a state.
    wait : float
        How long the log waits for a new record, seconds.

    Attributes
    ----------
    ready : bool
        Whether the state was read from the log to its end, or taken from
        a peer, since the start.
    last_read : float
        Clock at the start of the last read after which the state was at
        the end of the log, seconds. Reads that leave the state behind do
        not count, since it may lack an eviction or a new leader.
    jumps : int
        How often the state was replaced as a whole.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        state: cluster.ClusterState,
        snapshots: Snapshots | None = None,
        wait: float = 0.5,
    ) -> None:
        self.state = state
        self.ready = False
        self.last_read = float("-inf")
        self.jumps = 0
        self._client = client
        self._snapshots = snapshots
        self._wait = wait
        self._based = False
        self._reachable = True
        self._subscribers: list[Subscriber] = []
        self._observers: list[Observer] = []
        self._stepped = anyio.Event()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call back after each applied record.

        The argument is None if the state was replaced as a whole.
        """
        self._subscribers.append(subscriber)

    def observe(self, observer: Observer) -> None:
        """Call back after each record, applied or refused."""
        self._observers.append(observer)

    async def stepped(self) -> None:
        """Wait until the next read was tried and its records applied."""
        await self._stepped.wait()

    async def run(self) -> typing.NoReturn:
        """Follow the log until cancelled."""
        while True:
            current = await self.step()
            event, self._stepped = self._stepped, anyio.Event()
            event.set()
            if not current:
                # Spread out, so that hosts do not all retry together.
                await anyio.sleep(_RETRY * random.uniform(1.0, 2.0))

    async def step(self) -> bool:
        """Read once and apply what was read.

        Returns
        -------
        bool
            False if the log could not be read or does not reach back to
            the state.
        """
        if not self._based:
            self._based = await self._load_checkpoint()
            if not self._based:
                await self._ask_peers()
                return False
        started = anyio.current_time()
        batch = await self._client.read(
            STREAM, self.state.offset + 1, self._wait
        )
        if isinstance(batch, outcomes.Refusal):
            self._report(batch)
            if not self.ready:
                await self._ask_peers()
            return False
        self._report(None)
        if batch.first > self.state.offset + 1:
            return await self._restart(batch.first)
        if batch.tail <= self.state.offset:
            LOG.error(
                "log: ends at %d, before the state's offset %d",
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

    async def _apply(self, read: list[tuple[int, bytes]]) -> bool:
        for count, (offset, body) in enumerate(read, start=1):
            if offset <= self.state.offset:
                continue
            if offset != self.state.offset + 1:
                LOG.error(
                    "log: offset %d follows %d", offset, self.state.offset
                )
                return False
            self._apply_one(offset, body)
            if count % _RECORDS_AT_ONCE == 0:
                await anyio.sleep(0)
        return True

    def _apply_one(self, offset: int, body: bytes) -> None:
        try:
            record = records.decode(body)
        except msgspec.MsgspecError as error:
            LOG.error("log: record %d is skipped: %s", offset, error)
            self.state.skip(offset)
            return
        answer = self.state.apply(offset, record)
        for observer in self._observers:
            observer(offset, record, answer)
        if isinstance(answer, outcomes.Refusal):
            LOG.info("state: record %d refused: %s", offset, answer)
            return
        for subscriber in self._subscribers:
            subscriber(answer)

    async def _restart(self, first: int) -> bool:
        """Start again after retention overtook the state."""
        LOG.warning(
            "log: starts at %d, after the state's offset %d",
            first,
            self.state.offset,
        )
        await self._load_checkpoint()
        if self.state.offset + 1 < first:
            await self._ask_peers()
        if self.state.offset + 1 < first:
            LOG.error("log: no checkpoint reaches offset %d", first)
            return False
        return True

    async def _load_checkpoint(self) -> bool:
        """Take over the last checkpoint; False if the log is down."""
        last = await checkpoints.read_last(self._client)
        self._report(last if isinstance(last, outcomes.Refusal) else None)
        if isinstance(last, outcomes.Refusal):
            return False
        if last is not None:
            self._adopt(last, "checkpoint")
        return True

    async def _ask_peers(self) -> None:
        if self._snapshots is None:
            return
        found = await self._snapshots()
        for offset, body in sorted(found, reverse=True):
            if offset <= self.state.offset:
                return
            try:
                state = checkpoint.load(body)
            except ValueError as error:
                LOG.error("log: snapshot of a peer: %s", error)
                continue
            if self._adopt(state, "peer"):
                self._based = self.ready = True
                return

    def _adopt(self, other: cluster.ClusterState, source: str) -> bool:
        before = self.state.offset
        if not self.state.adopt(other):
            return False
        self.jumps += 1
        LOG.info(
            "log: state at offset %d from %s, was at %d",
            other.offset,
            source,
            before,
        )
        for subscriber in self._subscribers:
            subscriber(None)
        return True

    def _report(self, refusal: outcomes.Refusal | None) -> None:
        """Log the begin and the end of an outage, not each failed read."""
        reachable = refusal is None
        if reachable != self._reachable:
            self._reachable = reachable
            LOG.warning("log: %s", refusal or "reachable again")
