"""Moves of keys from one server to another."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import state
from agatestile.observability import events

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.assignment import grant_sender as grantor_module

SETTLE_SECONDS = 0.03
"""Time that hosts get to stop sending to a source before it is told to
release; requests that are under way then are rejected."""

RELEASE_TIMEOUT = 2.5
"""Longest wait for the answer to a release, which comes when the work on
the keys has ended, seconds."""

RETRY_SECONDS = 0.3
"""Pause before an unanswered order is repeated."""


class Moves:
    """Carries out moves that are stored.

    Parameters
    ----------
    leader : state.Leader
        The leadership of this host.
    fleet : state.Fleet
        Known servers.
    grantor : grant_sender.Grantor
        Sends grants.
    orders : ports.Orders
        Sends releases.
    now : callable
        Clock that goes on while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state.Leader,
        fleet: state.Fleet,
        grantor: grantor_module.Grantor,
        orders: ports.Orders,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._fleet = fleet
        self._grantor = grantor
        self._orders = orders
        self._now = now
        self._moving: set[tuple[str, int, int]] = set()

    def start_epoch(self) -> None:
        """Forget the moves of an earlier leadership."""
        self._moving.clear()

    def is_moving(self, service: str, key_range: ranges.KeyRange) -> bool:
        """Tell whether a move of a range is under way."""
        return (service, key_range.first, key_range.last) in self._moving

    def start(
        self,
        service: str,
        change: ranges.KeyRange,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Begin to carry out a move that is stored."""
        self._moving.add((service, change.first, change.last))
        tasks.start_soon(self._move, service, change)

    def resume(self, service: str, tasks: anyio.abc.TaskGroup) -> None:
        """Go on with moves that a predecessor began."""
        for one in self._leader.services[service].key_map.ranges:
            if one.source == ranges.UNOWNED:
                continue
            if not self.is_moving(service, one):
                self.start(service, one, tasks)

    async def _move(self, service: str, change: ranges.KeyRange) -> None:
        try:
            await self._carry_out(service, change, self._leader.epoch)
        finally:
            self._moving.discard((service, change.first, change.last))

    async def _carry_out(
        self, service: str, change: ranges.KeyRange, epoch: int
    ) -> None:
        handover = None
        started = self._now()
        if change.source != ranges.UNOWNED:
            await anyio.sleep(SETTLE_SECONDS)
            handover = await self._take_back(service, change, epoch)
        target = leases.life_of(change.owner)
        while epoch == self._leader.epoch and self._leader.is_active:
            server = state.find_server(self._fleet, service, target)
            if server is None:
                break
            async with self._grantor.lock_of(target):
                result = await self._grantor.grant(
                    server.recipient, change, handover
                )
            if result is None:
                return
            if result.reply is ports.Reply.FENCED:
                self._leader.lose_leadership(
                    f"a higher fence was used at {target[0]}"
                )
                return
            if result.reply is ports.Reply.DONE:
                break
            if self._grantor.is_silent(target):
                break
            await anyio.sleep(RETRY_SECONDS)
        self._complete(service, change, epoch, handover, started)

    def _complete(
        self,
        service: str,
        change: ranges.KeyRange,
        epoch: int,
        handover: str | None,
        started: float,
    ) -> None:
        if epoch != self._leader.epoch:
            return
        known = self._leader.services[service]
        if not known.is_owned(change):
            return
        known.key_map = known.key_map.replace(
            [change._replace(source=ranges.UNOWNED)]
        )
        self._leader.publish()
        events.emit(
            "keys_moved",
            service=service,
            first=change.first,
            last=change.last,
            source=change.source.server_id,
            target=change.owner.server_id,
            fence=change.owner.fence,
            handover=handover is not None,
            seconds=round(self._now() - started, 3),
            rate=round(known.heat.rate(change.first, change.last), 1),
            epoch=epoch,
        )

    async def _take_back(
        self, service: str, change: ranges.KeyRange, epoch: int
    ) -> str | None:
        """Return the handover once the source surely holds nothing."""
        life = leases.life_of(change.source)
        order = change._replace(
            owner=change.source._replace(fence=change.owner.fence)
        )
        async with self._grantor.lock_of(life):
            # Later grants don't cover these keys any more.
            held_until = self._grantor.holds.until(life)
        while epoch == self._leader.epoch:
            if self._now() >= held_until or self._fleet.is_replaced(life):
                return None
            server = state.find_server(self._fleet, service, life)
            if server is None or not self._leader.is_active:
                # A release is never refused, so one that is sent after the
                # tenure could undo a successor's grant.
                await anyio.sleep(RETRY_SECONDS)
                continue
            left = max(0.01, held_until - self._now())
            result = await self._orders.release(
                server.recipient, order, min(RELEASE_TIMEOUT, left)
            )
            if result.reply is ports.Reply.DONE:
                return result.handover
            await anyio.sleep(min(RETRY_SECONDS, max(0.0, left)))
        return None
