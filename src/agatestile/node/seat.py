"""Keeps this host in the group that holds the coordinator's seat."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import records
from agatestile.observability import events
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.assignment import coordinator as coordinator_module
    from agatestile.store import port

GROUP = "agatestile.seat"
"""Group, and topic whose first partition stands for the seat."""

SEAT_PART = 0

JOIN_SECONDS = 0.6
"""Interval of joins."""

TTL_SECONDS = 2.0
"""Silence after which the store deals the seat to another host; the rest of
the servers' holds is left to take over."""


class SeatKeeper:
    """Takes and leaves the seat as the store deals it.

    Parameters
    ----------
    store : port.Store
        Deals the seat.
    coordinator : coordinator.Coordinator
        Decides while this host has the seat.
    member : str
        Peer address of this host.
    now : callable
        Clock that goes on while the machine is suspended, seconds.
    """

    def __init__(
        self,
        store: port.Store,
        coordinator: coordinator_module.Coordinator,
        member: str,
        now: typing.Callable[[], float],
    ) -> None:
        self._store = store
        self._coordinator = coordinator
        self._member = member
        self._now = now
        self._generation = 0
        self._confirmed_generation = -1
        self._is_leaving = False

    async def run(self) -> None:
        """Join at intervals until cancelled or left."""
        while not self._is_leaving:
            await self.step()
            await anyio.sleep(JOIN_SECONDS)

    async def step(self) -> None:
        """Join once and act on the result."""
        sent = self._now()
        joined = await self._store.join(
            GROUP, self._member, TTL_SECONDS, self._generation
        )
        if isinstance(joined, outcomes.Refusal) or self._is_leaving:
            return
        self._generation = joined.generation
        if SEAT_PART not in joined.parts:
            if self._coordinator.epoch:
                await self._coordinator.resign()
            return
        if not self._coordinator.epoch:
            refusal = await self._coordinator.take_seat()
            if refusal is not None:
                events.emit("seat_not_taken", reason=str(refusal))
            else:
                self._confirmed_generation = joined.generation
            return
        if joined.generation == self._confirmed_generation:
            self._coordinator.tenure.confirm(sent)
        else:
            await self._verify(joined.generation)

    async def leave(self) -> None:
        """Give up the seat and the membership."""
        self._is_leaving = True
        await self._coordinator.resign()
        await self._store.leave(GROUP, self._member)

    async def _verify(self, generation: int) -> None:
        """Confirm the seat after the group changed."""
        sent = self._now()
        page = await self._store.newest(records.TOPIC)
        if isinstance(page, outcomes.Refusal):
            return
        stored = records.decode(page)
        if isinstance(stored, str):
            events.emit("assignments_unreadable", reason=stored)
            return
        seat = stored.seat
        if (seat.epoch, seat.host) == (self._coordinator.epoch, self._member):
            self._coordinator.tenure.confirm(sent)
            self._confirmed_generation = generation
        else:
            self._coordinator.lose_seat(f"{seat.host} has taken the seat")
