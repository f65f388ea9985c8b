"""Releases of keys from servers whose leases count as expired."""

from __future__ import annotations

import collections
import math
import typing

import anyio

from agatestile.assignment import moves
from agatestile.assignment import ports
from agatestile.observability import events

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.assignment import grant_sender as grant_sender_module
    from agatestile.assignment import ranges
    from agatestile.assignment import state

LATE_RELEASE_SECONDS = 10.0
"""Time after the end of a lease for which a source that has not confirmed its
release is told to release its keys: a process that was paused takes a grant
that came meanwhile, and its lease starts only then."""


class LateReleases:
    """Tells sources to release keys that were moved without a release.

    Parameters
    ----------
    leader : state.Leader
        Leadership of this host.
    fleet : state.Fleet
        Servers known from service discovery.
    grant_sender : grant_sender.GrantSender
        Knows whether this host surely leads.
    orders : ports.Orders
        Sends releases to servers.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state.Leader,
        fleet: state.Fleet,
        grant_sender: grant_sender_module.GrantSender,
        orders: ports.Orders,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._fleet = fleet
        self._grant_sender = grant_sender
        self._orders = orders
        self._now = now
        self._recipients_by_server: dict[str, ports.Recipient] = {}
        self._unconfirmed_by_server: collections.Counter[str] = (
            collections.Counter()
        )
        self._locks_by_server: dict[str, anyio.Lock] = {}

    def remember(
        self, servers: dict[str, state.RegisteredServer], mapped: set[str]
    ) -> None:
        """Keep the addresses of servers that service discovery may drop.

        Parameters
        ----------
        servers : dict of str to state.RegisteredServer
            Registered servers by identifier.
        mapped : set of str
            Servers in the range maps; the others are forgotten.
        """
        for server_id in self._recipients_by_server.keys() - mapped:
            del self._recipients_by_server[server_id]
        for server_id in servers.keys() & mapped:
            self._recipients_by_server[server_id] = servers[
                server_id
            ].recipient

    def may_hold_late_grants(self, server_id: str) -> bool:
        """Return whether a server still has to confirm a release.

        It gets no keys meanwhile, as the release could undo their grant.
        """
        return self._unconfirmed_by_server[server_id] > 0

    def start(
        self,
        service: str,
        order: ranges.KeyRange,
        epoch: int,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Start to release a range from the server that `order` names."""
        self._unconfirmed_by_server[order.owner.server_id] += 1
        tasks.start_soon(self._release, service, order, epoch)

    async def _release(
        self, service: str, order: ranges.KeyRange, epoch: int
    ) -> None:
        """Release keys of a source whose lease counts as expired.

        It refuses late grants once it has seen the token of the release, and
        drops what it took by them before.
        """
        server_id = order.owner.server_id
        recipient = self._recipients_by_server.get(server_id)
        started = self._now()
        lock = self._locks_by_server.setdefault(server_id, anyio.Lock())
        try:
            while (
                epoch == self._leader.epoch
                and self._leader.is_active
                and self._now() < started + LATE_RELEASE_SECONDS
            ):
                server = self._fleet.registered_server(service, server_id)
                if server is not None:
                    recipient = server.recipient
                may_release = self._grant_sender.is_surely_leading()
                if recipient is None or not may_release:
                    await anyio.sleep(moves.RETRY_DELAY_SECONDS)
                    continue
                # A server that is gone is tried for all its keys at once.
                async with lock:
                    is_reachable = await self._is_reachable(recipient)
                if not is_reachable:
                    continue
                result = await self._orders.release(
                    recipient, order, moves.RELEASE_TIMEOUT_SECONDS
                )
                if result.reply is ports.Reply.DONE:
                    events.emit(
                        "released_late",
                        server=server_id,
                        first=order.first,
                        last=order.last,
                        fence=order.owner.fence,
                        seconds=round(self._now() - started, 3),
                    )
                    return
                await anyio.sleep(moves.RETRY_DELAY_SECONDS)
        finally:
            self._unconfirmed_by_server[server_id] -= 1
            if not self._unconfirmed_by_server[server_id]:
                del self._unconfirmed_by_server[server_id]
                del self._locks_by_server[server_id]

    async def _is_reachable(self, recipient: ports.Recipient) -> bool:
        """Return whether a server can be connected to; wait if it can't."""
        if self._orders.is_connected(recipient, math.inf):
            return True
        if not await self._orders.connect(recipient):
            return True
        await anyio.sleep(moves.RETRY_DELAY_SECONDS)
        return False
