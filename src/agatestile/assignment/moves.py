"""Execution of moves of keys from one server to another."""

from __future__ import annotations

import collections
import math
import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import state
from agatestile.observability import events

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.assignment import grant_sender as grant_sender_module

ROUTE_UPDATE_SECONDS = 0.03
"""Time that hosts get to stop sending to the source before it is told to
release the keys; requests still in transit then are rejected."""

RELEASE_TIMEOUT_SECONDS = 2.5
"""Timeout of a release, which the server answers when it has finished its
requests for the keys."""

RETRY_DELAY_SECONDS = 0.3
"""Delay before an unanswered order is repeated."""

LATE_RELEASE_SECONDS = 10.0
"""Time after the end of a lease for which a source that has not confirmed its
release is told to release its keys: a process that was paused takes a grant
that came meanwhile, and its lease starts only then."""


class Revocation(typing.NamedTuple):
    """How it became certain that a source holds its keys no longer.

    Attributes
    ----------
    proof : str
        "released", "released by a later incarnation" or "lease expired";
        empty if nothing had to be revoked.
    handover : str or None
        State that the source handed over.
    """

    proof: str
    handover: str | None = None


class MoveExecutor:
    """Executes moves that have been stored.

    Parameters
    ----------
    leader : state.Leader
        Leadership of this host.
    fleet : state.Fleet
        Servers known from service discovery.
    grant_sender : grant_sender.GrantSender
        Sends grants to servers.
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
        self._moves_in_progress: set[tuple[str, int, int]] = set()
        self._recipients_by_server: dict[str, ports.Recipient] = {}
        self._late_releases: collections.Counter[str] = collections.Counter()
        self._late_locks_by_server: dict[str, anyio.Lock] = {}

    def start_epoch(self) -> None:
        """Forget the moves of an earlier epoch."""
        self._moves_in_progress.clear()

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
        return self._late_releases[server_id] > 0

    def is_moving(self, service: str, key_range: ranges.KeyRange) -> bool:
        """Return whether a range is being moved."""
        return (
            service,
            key_range.first,
            key_range.last,
        ) in self._moves_in_progress

    def start(
        self,
        service: str,
        change: ranges.KeyRange,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Start executing a stored move."""
        self._moves_in_progress.add((service, change.first, change.last))
        tasks.start_soon(self._move, service, change, tasks)

    def resume(self, service: str, tasks: anyio.abc.TaskGroup) -> None:
        """Resume moves that a previous leader started."""
        for key_range in self._leader.services[service].key_map.ranges:
            if key_range.source == ranges.UNOWNED:
                continue
            if not self.is_moving(service, key_range):
                self.start(service, key_range, tasks)

    async def _move(
        self,
        service: str,
        change: ranges.KeyRange,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            await self._execute(service, change, self._leader.epoch, tasks)
        finally:
            self._moves_in_progress.discard(
                (service, change.first, change.last)
            )

    async def _execute(
        self,
        service: str,
        change: ranges.KeyRange,
        epoch: int,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        revocation = Revocation("")
        started = self._now()
        if change.source != ranges.UNOWNED:
            await anyio.sleep(ROUTE_UPDATE_SECONDS)
            revocation = await self._revoke_source(
                service, change, epoch, tasks
            )
        target = leases.instance_of(change.owner)
        while epoch == self._leader.epoch and self._leader.is_active:
            server = state.find_server(self._fleet, service, target)
            is_owned = self._leader.services[service].is_owned(change)
            if server is None or not is_owned:
                break
            async with self._grant_sender.lock_of(target[0]):
                if not self._grant_sender.may_send(server, change):
                    renewed = self._leader.renew_fence(service, change)
                    if renewed is None:
                        break
                    change = renewed
                result = await self._grant_sender.grant(
                    server, change, revocation.handover
                )
            if result is None:
                return
            if result.reply is ports.Reply.FENCED:
                self._leader.lose_leadership(
                    f"server {target[0]} has seen a higher fencing token"
                )
                return
            if result.reply is ports.Reply.DONE:
                break
            if self._grant_sender.is_unresponsive(target):
                break
            await anyio.sleep(RETRY_DELAY_SECONDS)
        self._complete(service, change, epoch, revocation, started)

    def _complete(
        self,
        service: str,
        change: ranges.KeyRange,
        epoch: int,
        revocation: Revocation,
        started: float,
    ) -> None:
        if epoch != self._leader.epoch:
            return
        service_state = self._leader.services[service]
        if not service_state.is_owned(change):
            return
        service_state.key_map = service_state.key_map.replace(
            [change._replace(source=ranges.UNOWNED)]
        )
        self._leader.publish(may_wait=True)
        events.emit(
            "keys_moved",
            service=service,
            first=change.first,
            last=change.last,
            source=change.source.server_id,
            target=change.owner.server_id,
            fence=change.owner.fence,
            handover=revocation.handover is not None,
            revoked=revocation.proof,
            seconds=round(self._now() - started, 3),
            rate=round(service_state.load.rate(change.first, change.last), 1),
            epoch=epoch,
        )

    async def _revoke_source(
        self,
        service: str,
        change: ranges.KeyRange,
        epoch: int,
        tasks: anyio.abc.TaskGroup,
    ) -> Revocation:
        """Return once the source certainly holds no keys.

        That is so when its leases have expired, except for grants that it
        takes late, which a release in the background undoes, or when it has
        released the keys. A later incarnation may hold them by a grant that
        was meant for the earlier one, so it has to release them too. Entries
        of service discovery prove nothing, as other writers leave some too.
        """
        instance = leases.instance_of(change.source)
        if instance[0] == change.owner.server_id:
            # The new token replaces the grants of all incarnations.
            return Revocation("")
        order = change._replace(
            owner=change.source._replace(fence=change.owner.fence)
        )
        async with self._grant_sender.lock_of(instance[0]):
            # Later grants no longer cover these keys.
            held_until = self._grant_sender.key_leases.until(instance[0])
        while epoch == self._leader.epoch:
            if self._now() >= held_until:
                self._late_releases[instance[0]] += 1
                tasks.start_soon(self._release_late, service, order, epoch)
                return Revocation("lease expired")
            server = self._fleet.registered_server(service, instance[0])
            if server is None or not self._grant_sender.may_send_new_tokens():
                # A release is never refused, so that of a leader without a
                # recent confirmation could undo a grant of a successor.
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            remaining = max(0.01, held_until - self._now())
            result = await self._orders.release(
                server.recipient,
                order,
                min(RELEASE_TIMEOUT_SECONDS, remaining),
            )
            if result.reply is ports.Reply.DONE:
                if server.recipient[:2] != instance:
                    return Revocation("released by a later incarnation")
                return Revocation("released", result.handover)
            await anyio.sleep(min(RETRY_DELAY_SECONDS, max(0.0, remaining)))
        return Revocation("")

    async def _release_late(
        self, service: str, order: ranges.KeyRange, epoch: int
    ) -> None:
        """Release keys of a source whose lease counts as expired.

        It refuses late grants once it has seen the token of the release, and
        drops what it took by them before.
        """
        server_id = order.owner.server_id
        recipient = self._recipients_by_server.get(server_id)
        started = self._now()
        lock = self._late_locks_by_server.setdefault(server_id, anyio.Lock())
        try:
            while (
                epoch == self._leader.epoch
                and self._leader.is_active
                and self._now() < started + LATE_RELEASE_SECONDS
            ):
                server = self._fleet.registered_server(service, server_id)
                if server is not None:
                    recipient = server.recipient
                may_release = self._grant_sender.may_send_new_tokens()
                if recipient is None or not may_release:
                    await anyio.sleep(RETRY_DELAY_SECONDS)
                    continue
                # A server that is gone is tried for all its keys at once.
                async with lock:
                    is_reachable = await self._is_reachable(recipient)
                if not is_reachable:
                    continue
                result = await self._orders.release(
                    recipient, order, RELEASE_TIMEOUT_SECONDS
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
                await anyio.sleep(RETRY_DELAY_SECONDS)
        finally:
            self._late_releases[server_id] -= 1
            if not self._late_releases[server_id]:
                del self._late_releases[server_id]
                del self._late_locks_by_server[server_id]

    async def _is_reachable(self, recipient: ports.Recipient) -> bool:
        """Return whether a server can be connected to; wait if it can't."""
        if self._orders.is_connected(recipient, math.inf):
            return True
        if not await self._orders.connect(recipient):
            return True
        await anyio.sleep(RETRY_DELAY_SECONDS)
        return False
