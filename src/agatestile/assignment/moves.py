"""Execution of moves of keys from one server to another."""

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

    from agatestile.assignment import grant_sender as grant_sender_module
    from agatestile.assignment import late_releases as late_releases_module

ROUTE_UPDATE_SECONDS = 0.03
"""Time that hosts get to stop sending to the source before it is told to
release the keys; requests still in transit then are rejected."""

RELEASE_TIMEOUT_SECONDS = 2.5
"""Timeout of a release, which the server answers when it has finished its
requests for the keys."""

RETRY_DELAY_SECONDS = 0.3
"""Delay before an unanswered order is repeated."""


class Revocation(typing.NamedTuple):
    """How it became certain that a source holds its keys no longer.

    Attributes
    ----------
    proof : str
        "released", "released by a later incarnation", "lease expired" or
        "leases of unknown holders expired"; empty if nothing had to be
        revoked.
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
        Sends orders to servers.
    late_releases : late_releases.LateReleases
        Releases keys of sources whose leases count as expired.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state.Leader,
        fleet: state.Fleet,
        grant_sender: grant_sender_module.GrantSender,
        late_releases: late_releases_module.LateReleases,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._fleet = fleet
        self._grant_sender = grant_sender
        self._now = now
        self._moves_in_progress: set[tuple[str, int, int]] = set()
        self._late_releases = late_releases

    def start_epoch(self) -> None:
        """Forget the moves of an earlier epoch."""
        self._moves_in_progress.clear()

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
        epoch = self._leader.epoch
        try:
            await self._execute(service, change, epoch, tasks)
        finally:
            # A later epoch may execute a move of the same range.
            if epoch == self._leader.epoch:
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
        if change.source == ranges.UNKNOWN:
            return await self._outlast_unknown_holders(epoch)
        order = change._replace(
            owner=change.source._replace(fence=change.owner.fence)
        )
        owed = ranges.OwedRelease(instance[0], change.first, change.last)
        late_release: late_releases_module.LateRelease | None = None
        async with self._grant_sender.lock_of(instance[0]):
            # Later grants no longer cover these keys.
            held_until = self._grant_sender.key_leases.until(instance[0])
        while epoch == self._leader.epoch:
            if late_release is not None and late_release.confirmed_by:
                return _revocation_by(
                    late_release.confirmed_by, instance, late_release.handover
                )
            # That its grants were delayed may show only now.
            held_until = max(
                held_until,
                self._grant_sender.key_leases.delayed_until(instance[0]),
            )
            remaining = held_until - self._now()
            if remaining <= 0.0:
                self._late_releases.start(service, owed, tasks)
                return Revocation("lease expired")
            remaining = max(0.01, remaining)
            server = self._fleet.registered_server(service, instance[0])
            if server is None:
                # The release has to be in its socket before the lease ends.
                late_release = self._late_releases.start(service, owed, tasks)
            if server is None or not self._grant_sender.is_surely_leading():
                await anyio.sleep(min(RETRY_DELAY_SECONDS, remaining))
                continue
            result = await self._grant_sender.release(
                server.recipient,
                order,
                min(RELEASE_TIMEOUT_SECONDS, remaining),
            )
            if result.reply is ports.Reply.DONE:
                if epoch == self._leader.epoch:
                    self._late_releases.confirm(
                        service, owed, server.recipient, result.handover
                    )
                return _revocation_by(
                    server.recipient, instance, result.handover
                )
            await anyio.sleep(min(RETRY_DELAY_SECONDS, remaining))
        return Revocation("")

    async def _outlast_unknown_holders(self, epoch: int) -> Revocation:
        """Return once no server holds keys of which the store lost track."""
        key_leases = self._grant_sender.key_leases
        while epoch == self._leader.epoch:
            held_until = key_leases.until(ranges.UNKNOWN.server_id)
            remaining = held_until - self._now()
            if remaining <= 0.0:
                break
            await anyio.sleep(min(RETRY_DELAY_SECONDS, remaining))
        return Revocation("leases of unknown holders expired")


def _revocation_by(
    recipient: ports.Recipient,
    instance: leases.Instance,
    handover: str | None,
) -> Revocation:
    """Return the revocation that a release by a server instance proves."""
    if recipient[:2] != instance:
        return Revocation("released by a later incarnation")
    return Revocation("released", handover)
