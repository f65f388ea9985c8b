"""Keeps the leadership by a membership in the store.

Only the leader is a member for long, so that the store's dealing
among members does not move the leadership without need. A host that finds the
group empty joins it, takes the leadership if the store deals it the first
partition, and leaves again otherwise.
"""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import records
from agatestile.observability import events
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.assignment import coordinator as coordinator_module
    from agatestile.store import port

GROUP = "agatestile.leader"
"""Group, and topic whose first partition stands for the leadership."""

LEADER_PARTITION = 0

JOIN_INTERVAL_SECONDS = 0.5
"""Interval of joins."""

MEMBERSHIP_TTL_SECONDS = 1.5
"""Silence after which the store deals the leadership to another host; the
rest of the servers' holds is left to take over."""

CONFIRMATION_MAX_AGE_SECONDS = 1.2
"""Age of the last successful join from which other hosts are told to look
for another holder."""


class LeaderElector:
    """Takes and keeps the leadership.

    Parameters
    ----------
    store : port.Store
        Deals the leadership.
    coordinator : coordinator.Coordinator
        Decides while this host leads.
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
        self._joined_at = 0.0
        self._is_candidate = False
        self._is_leaving = False
        self._wanted = anyio.Event()

    def is_confirmed(self) -> bool:
        """Tell whether the store answered this host lately."""
        return self._now() < self._joined_at + CONFIRMATION_MAX_AGE_SECONDS

    def campaign(self) -> None:
        """Try to take the leadership, as nobody has it."""
        if not self._is_leaving:
            self._is_candidate = True
            self._wanted.set()

    async def run(self) -> None:
        """Join at intervals while this host leads or wants to."""
        while not self._is_leaving:
            if not self._coordinator.epoch and not self._is_candidate:
                await self._wanted.wait()
            self._wanted = anyio.Event()
            await self.join_once()
            await anyio.sleep(JOIN_INTERVAL_SECONDS)

    async def join_once(self) -> None:
        """Join once and act on the result."""
        sent = self._now()
        joined = await self._store.join(
            GROUP, self._member, MEMBERSHIP_TTL_SECONDS, self._generation
        )
        if isinstance(joined, outcomes.Refusal) or self._is_leaving:
            if not self._coordinator.epoch:
                self._is_candidate = False
            return
        self._generation = joined.generation
        self._joined_at = sent
        has_part = LEADER_PARTITION in joined.partitions
        if not self._coordinator.epoch:
            await self._take_or_leave(has_part, joined.generation)
        elif has_part and joined.generation == self._confirmed_generation:
            self._coordinator.leader_lease.confirm(sent)
        else:
            await self._verify(joined.generation)

    async def leave(self) -> None:
        """Give up the leadership and the membership."""
        self._is_leaving = True
        was_member = self._is_candidate or self._coordinator.epoch
        await self._coordinator.resign()
        if was_member:
            await self._store.leave(GROUP, self._member)

    async def _take_or_leave(self, has_part: bool, generation: int) -> None:
        self._is_candidate = False
        if has_part:
            refusal = await self._coordinator.take_leadership()
            if refusal is None:
                self._confirmed_generation = generation
                return
            events.emit("leadership_not_taken", reason=str(refusal))
        await self._store.leave(GROUP, self._member)

    async def _verify(self, generation: int) -> None:
        """Confirm the leadership after the group changed."""
        sent = self._now()
        page = await self._store.read_newest(records.TOPIC)
        if isinstance(page, outcomes.Refusal):
            return
        stored = records.decode(page)
        if isinstance(stored, str):
            events.emit("assignments_unreadable", reason=stored)
            return
        leadership = stored.leadership
        if (leadership.epoch, leadership.host) == (
            self._coordinator.epoch,
            self._member,
        ):
            self._coordinator.leader_lease.confirm(sent)
            self._confirmed_generation = generation
        else:
            self._coordinator.lose_leadership(
                f"{leadership.host} has taken the leadership"
            )
