"""Reads and writes the stream of checkpoints."""

from __future__ import annotations

import logging
import typing

import anyio

from agatestile.log import client as log_client
from agatestile.results import outcomes
from agatestile.state import checkpoint

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import cluster

LOG = logging.getLogger(__name__)

STREAM = "checkpoints"


async def read_last(
    client: log_client.LogClient,
) -> cluster.ClusterState | outcomes.Refusal | None:
    """Return the state of the last intact checkpoint.

    Returns
    -------
    ClusterState, Refusal or None
        None if the stream has no usable checkpoint, ``LOG_UNAVAILABLE``
        if the stream could not be read.
    """
    bounds = await client.read(STREAM, log_client.BEYOND_TAIL, 0.0, limit=1)
    if isinstance(bounds, outcomes.Refusal):
        return bounds
    for offset in range(bounds.tail - 1, bounds.first - 1, -1):
        batch = await client.read(STREAM, offset, 0.0, limit=1)
        if isinstance(batch, outcomes.Refusal):
            return batch
        for _, body in batch.records[:1]:
            try:
                return checkpoint.load(body)
            except ValueError as error:
                LOG.error(
                    "log: checkpoint record %d is unusable: %s", offset, error
                )
    return None


class Checkpointer:
    """Writes checkpoints while this host leads a failure domain.

    Parameters
    ----------
    client : log_client.LogClient
        The log.
    state : cluster.ClusterState
        State to write.
    policy : checkpoint.Policy
        Decides when to write.
    rank : callable
        Returns the index of the domain that this host leads among all
        domains in order of their names, None while it leads none.
    interval : float
        Time between two checks whether a checkpoint is due, seconds.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        state: cluster.ClusterState,
        policy: checkpoint.Policy,
        rank: collections.abc.Callable[[], int | None],
        interval: float = 1.0,
    ) -> None:
        self._client = client
        self._state = state
        self._policy = policy
        self._rank = rank
        self._interval = interval
        self._last_offset = -1
        self._learned_at = float("-inf")

    async def run(self) -> typing.NoReturn:
        """Write checkpoints until cancelled."""
        self._learned_at = anyio.current_time()
        while True:
            await anyio.sleep(self._interval)
            await self.step(anyio.current_time())

    async def step(self, now: float) -> bool:
        """Write a checkpoint if one is due. Return whether it was written."""
        if not self._is_due(now):
            return False
        # Another leader may have written one in the meantime.
        last = await read_last(self._client)
        if isinstance(last, outcomes.Refusal):
            return False
        if last is not None and last.offset > self._last_offset:
            self._note_checkpoint(last.offset, now)
            if not self._is_due(now):
                return False
        return await self._write(now)

    def _is_due(self, now: float) -> bool:
        rank = self._rank()
        return rank is not None and self._policy.is_due(
            rank, self._state.offset, self._last_offset, now - self._learned_at
        )

    async def _write(self, now: float) -> bool:
        offset = self._state.offset
        parts = []
        for part in checkpoint.dump_parts(self._state):
            parts.append(part)
            await anyio.sleep(0)
        body = b"".join(parts)
        result = await self._client.append(STREAM, body)
        if isinstance(result, outcomes.Refusal):
            LOG.warning(
                "log: checkpoint of offset %d was not written: %s",
                offset,
                result,
            )
            return False
        LOG.info(
            "log: wrote checkpoint of offset %d, %d bytes", offset, len(body)
        )
        self._note_checkpoint(offset, now)
        return True

    def _note_checkpoint(self, offset: int, now: float) -> None:
        self._last_offset = offset
        self._learned_at = now
