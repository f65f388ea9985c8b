"""Drills in which the store returns from an older copy."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

from bench import ownership_faults
from standins import platform_log

AWAY_SECONDS = (0.1, 0.6)
"""Time for which the store is away in a drill."""

OLDEST_COPY_SECONDS = 9.0
COPY_AGE_SECONDS = (0.5, 5.0)

LOST_RECORDS = range(3, 7)
"""Records between the end of a copy and the offset at which an append that
got no answer is carried out; a leader stores three to begin with."""

DRILL_SECONDS = 8.0
"""Time in which a leader has stored its state again."""


class StoreFaults:
    """Restores the store, perhaps under an append that got no answer.

    Parameters
    ----------
    generator : random.Random
        Draws times and copies.
    log : platform_log.PlatformLog
        Store of the run.
    servers : dict
        Running servers and their tasks, by identifier.
    unsettle : callable
        Returns a context in which removals of servers are excused.
    write_configuration : callable
        Writes what the operator has written.
    """

    def __init__(
        self,
        generator: random.Random,
        log: platform_log.PlatformLog,
        servers: ownership_faults.Running,
        unsettle: typing.Callable[
            [float], contextlib.AbstractContextManager[None]
        ],
        write_configuration: typing.Callable[[], None],
    ) -> None:
        self._random = generator
        self._log = log
        self._servers = servers
        self._unsettle = unsettle
        self._write_configuration = write_configuration
        self._lock = asyncio.Lock()

    async def restore_store(self) -> None:
        """Restore a copy some seconds old."""
        if self._lock.locked():
            return
        async with self._lock:
            await self._drill([self._random.uniform(*COPY_AGE_SECONDS)])

    async def restore_store_under_append(self) -> None:
        """Carry an append out after the drill in which it was lost.

        Servers leave and return around it, so that it names other owners.
        """
        if self._lock.locked():
            return
        async with self._lock:
            self._log.hold_next_append()
            for pause in (0.9, 0.6):
                await self._move_keys()
                await asyncio.sleep(self._random.uniform(pause, 2 * pause))
            await self._drill(
                self._log.copies_before_held(LOST_RECORDS, OLDEST_COPY_SECONDS)
            )
            while self._log.holds_append:
                await asyncio.sleep(0.1)

    async def _move_keys(self) -> None:
        """Let service discovery drop a server, which returns soon."""
        keyed = ownership_faults.running_keyed_servers(self._servers)
        if not keyed:
            return
        server = self._random.choice(keyed)
        server.is_registered = False
        self._log.put("keyed.servers", server.id, b"")
        await asyncio.sleep(self._random.uniform(0.3, 0.8))
        server.is_registered = True

    async def _drill(self, copy_ages: list[float]) -> None:
        if not copy_ages:
            return
        age = self._random.choice(copy_ages)
        with self._unsettle(DRILL_SECONDS):
            self._log.is_down = True
            away = self._random.uniform(*AWAY_SECONDS)
            await asyncio.sleep(away)
            self._log.restore(age + away)
            self._log.is_down = False
            self._write_again()

    def _write_again(self) -> None:
        """Write what the operator and the servers have written since."""
        self._write_configuration()
        for name in self._log.keys("keyed.servers") - self._servers.keys():
            self._log.put("keyed.servers", name, b"")
