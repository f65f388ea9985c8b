"""Elects the leader through group membership in the store.

Only the leader stays a member, so that the store does not move the
leadership when it rebalances partitions among members. A host that finds the
group empty joins it, takes the leadership if the store assigns it the first
partition, and leaves the group otherwise.
"""

from __future__ import annotations

import math
import typing

import anyio

from agatestile.observability import events
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.assignment import coordinator as coordinator_module
    from agatestile.store import port

GROUP = "agatestile.leader"
"""Name of the group and of the topic whose first partition represents the
leadership."""

LEADER_PARTITION = 0

JOIN_INTERVAL_SECONDS = 0.5
"""Interval between joins, which renew the membership."""

MEMBERSHIP_TTL_SECONDS = 1.5
"""Time without a join after which the store assigns the leadership to another
host; the rest of the servers' hold time is left for the takeover."""

CONFIRMATION_MAX_AGE_SECONDS = 1.2
"""Age of the last successful join above which other hosts are told to look
for another leader."""


TAKEOVER_BYTES = 64 * 1024
"""About what a new leader sends to each host: owners of keys, servers and a
configuration."""

MAX_HEAD_START_SECONDS = 0.75
"""Longest delay of a campaign in favour of hosts with faster links. Hosts
notice the loss of a leader up to `LEADER_CHECK_INTERVAL_SECONDS` after one
another, and one of the faster ones has to be first."""

RESTORATION_HEAD_START_SECONDS = 2.0
"""Delay of campaigns once the store was restored: a leader, whose last join
may have to time out first, can restore the assignment, while keys lapse if
another host takes over."""

YIELD_DELAY_SECONDS = 1.0
"""Time for which a leader's own link has to be slow before it resigns."""

YIELD_PAUSE_SECONDS = 1.5
"""Time for which it then leaves the leadership to others; the key leases of
servers last longer."""


def head_start(link_rate: float | None, host_count: int) -> float:
    """Return how long a host lets hosts with faster links campaign first.

    It is the time by which its link would delay the takeover.

    Parameters
    ----------
    link_rate : float or None
        Rate of the host's link, bytes per second; None if unknown.
    host_count : int
        Number of hosts.

    Returns
    -------
    float
        Delay of its campaigns, seconds.
    """
    if not link_rate:
        return 0.0
    takeover = TAKEOVER_BYTES * host_count / link_rate
    return min(MAX_HEAD_START_SECONDS, takeover)


class LeaderElector:
    """Campaigns for the leadership and renews it.

    Parameters
    ----------
    store : port.Store
        Assigns the leadership.
    coordinator : coordinator.Coordinator
        Assigns keys while this host is the leader.
    member : str
        Peer address of this host.
    now : callable
        Clock that includes the time of a suspension, in seconds.
    campaign_delay : callable, optional
        Returns the time for which other hosts may take the leadership first,
        in seconds; 0 by default.
    """

    def __init__(
        self,
        store: port.Store,
        coordinator: coordinator_module.Coordinator,
        member: str,
        now: typing.Callable[[], float],
        campaign_delay: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._campaign_delay = campaign_delay
        self._store = store
        self._coordinator = coordinator
        self._member = member
        self._now = now
        self._generation = 0
        self._joined_era: int | None = None
        self._seen_era = 0
        self._waits_until = -math.inf
        self._last_joined = 0.0
        self._is_candidate = False
        self._is_leaving = False
        self._campaign_requested = anyio.Event()
        self._slow_since: float | None = None

    def is_confirmed(self) -> bool:
        """Return whether the store renewed the membership recently."""
        return self._now() < self._last_joined + CONFIRMATION_MAX_AGE_SECONDS

    def note_era(self) -> None:
        """Let an earlier leader join first if the store was restored."""
        era = self._store.era
        if self._seen_era and era > self._seen_era:
            self._waits_until = self._now() + RESTORATION_HEAD_START_SECONDS
        self._seen_era = era

    def campaign(self) -> None:
        """Request an attempt to take the leadership, which no host holds."""
        if not self._is_leaving:
            self._is_candidate = True
            self._campaign_requested.set()

    async def run(self) -> None:
        """Join at intervals while this host is leader or candidate."""
        while not self._is_leaving:
            if not self._coordinator.epoch:
                if not self._is_candidate:
                    await self._campaign_requested.wait()
                self._campaign_requested = anyio.Event()
                self._is_candidate = await self._is_still_vacant()
                if not self._is_candidate:
                    continue
            was_leader = self._coordinator.epoch > 0
            await self.join_once()
            if self._coordinator.epoch and not was_leader:
                # The takeover may have used up the time for new tokens.
                await self.join_once()
            await anyio.sleep(JOIN_INTERVAL_SECONDS)
            if self._must_yield():
                await self._yield_leadership()

    async def _is_still_vacant(self) -> bool:
        """Let other hosts campaign first; return whether none has won."""
        await anyio.sleep(self._campaign_delay())
        while True:
            leader = await self._store.member_of(GROUP, LEADER_PARTITION)
            self.note_era()
            left = self._waits_until - self._now()
            if leader is not None or self._is_leaving:
                return False
            if left <= 0.0:
                return True
            await anyio.sleep(left)

    async def join_once(self) -> None:
        """Renew the leadership, or join the group to take it."""
        if self._coordinator.epoch:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._join)
                tasks.start_soon(self._coordinator.confirm)
            return
        joined = await self._join()
        if joined is None or self._is_leaving:
            self._is_candidate = False
            return
        await self._lead_or_leave(LEADER_PARTITION in joined.partitions)

    async def _join(self) -> port.Membership | None:
        """Renew the membership; return None if the store refuses it."""
        if self._is_leaving:
            return None
        started = self._now()
        joined = await self._store.join(
            GROUP, self._member, MEMBERSHIP_TTL_SECONDS, self._generation
        )
        if isinstance(joined, outcomes.Refusal):
            return None
        is_first = self._joined_era is None
        if joined.era != self._joined_era:
            self._joined_era = joined.era
            if not is_first:
                # The generation that was sent is of an earlier era, so that
                # the response proves nothing.
                self._generation = 0
                return await self._join()
        self._generation = joined.generation
        self._last_joined = started
        return joined

    async def leave(self) -> None:
        """Resign the leadership and leave the group."""
        self._is_leaving = True
        was_member = self._is_candidate or self._coordinator.epoch
        await self._coordinator.resign()
        if was_member:
            await self._store.leave(GROUP, self._member)

    def _must_yield(self) -> bool:
        """Return whether this leader has been slow for too long.

        One that the store does not confirm may be cut off with its failure
        domain, where nobody else could renew grants.
        """
        if not self._coordinator.is_link_slow or not self.is_confirmed():
            self._slow_since = None
            return False
        now = self._now()
        if self._slow_since is None:
            self._slow_since = now
        return now >= self._slow_since + YIELD_DELAY_SECONDS

    async def _yield_leadership(self) -> None:
        """Resign and let other hosts lead, which may be faster."""
        self._slow_since = None
        events.emit("leadership_yielded", epoch=self._coordinator.epoch)
        await self._coordinator.resign()
        await self._store.leave(GROUP, self._member)
        await anyio.sleep(YIELD_PAUSE_SECONDS)

    async def _lead_or_leave(self, has_leader_partition: bool) -> None:
        self._is_candidate = False
        if has_leader_partition:
            refusal = await self._take_leadership()
            if refusal is None:
                return
            events.emit("leadership_not_taken", reason=str(refusal))
        await self._store.leave(GROUP, self._member)

    async def _take_leadership(self) -> outcomes.Refusal | None:
        """Take the leadership and stay a member meanwhile."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_membership)
            refusal = await self._coordinator.take_leadership()
            tasks.cancel_scope.cancel()
        return refusal

    async def _keep_membership(self) -> None:
        while True:
            await anyio.sleep(JOIN_INTERVAL_SECONDS)
            await self._join()
