"""Releases of keys from servers whose leases count as expired."""

from __future__ import annotations

import math
import typing

import anyio

from agatestile.assignment import moves
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.observability import events

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.assignment import grant_sender as grant_sender_module
    from agatestile.assignment import state

LATE_RELEASE_SECONDS = 60.0
"""Time for which a server that has not confirmed its release is told to
release its keys: a process that was paused takes a grant that came meanwhile,
and its lease starts only then."""

MIN_PAUSE_SECONDS = 0.05
"""Shortest pause between two attempts to reach a server."""

REJECTED_RETRY_DELAY_SECONDS = 2.0
"""Delay before a release is repeated that another server at the address
rejected."""


ServerKey = tuple[str, str]
"""Name of a service and identifier of one of its servers."""


class LateRelease:
    """A release that a server has not confirmed.

    Parameters
    ----------
    order : ranges.KeyRange
        The keys, the server and the token of the release.
    started : float
        Time at which it started, seconds.

    Attributes
    ----------
    retry_at : float
        Time from which it may be sent, seconds; infinite while it is sent.
    confirmed_by : ports.Recipient or None
        The server instance that has released the keys.
    handover : str or None
        State that it handed over.
    """

    def __init__(self, order: ranges.KeyRange, started: float) -> None:
        self.order = order
        self.started = started
        self.retry_at = started
        self.confirmed_by: ports.Recipient | None = None
        self.handover: str | None = None


class LateReleases:
    """Tells servers to release keys that were moved without a release.

    What is owed is part of the stored assignment, so that a successor
    continues with it. One task for each server connects to it and sends its
    releases.

    Parameters
    ----------
    leader : state.Leader
        Leadership of this host.
    fleet : state.Fleet
        Servers known from service discovery.
    grant_sender : grant_sender.GrantSender
        Sends orders to servers while this host surely leads.
    orders : ports.Orders
        Connects to servers.
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
        self._releases_by_server: dict[
            ServerKey, dict[ranges.OwedRelease, LateRelease]
        ] = {}
        self._epoch_by_task: dict[ServerKey, int] = {}

    def start_epoch(self, stored: typing.Iterable[ports.Recipient]) -> None:
        """Forget the releases of an earlier epoch.

        Parameters
        ----------
        stored : iterable of ports.Recipient
            Servers that the stored assignment names.
        """
        self._releases_by_server.clear()
        self._epoch_by_task.clear()
        for recipient in stored:
            known = self._recipients_by_server.get(recipient.server_id)
            if known is None or known.incarnation <= recipient.incarnation:
                self._recipients_by_server[recipient.server_id] = recipient

    def remember(
        self, servers: dict[str, state.RegisteredServer], needed: set[str]
    ) -> None:
        """Keep the addresses of servers that service discovery may drop.

        Parameters
        ----------
        servers : dict of str to state.RegisteredServer
            Registered servers by identifier.
        needed : set of str
            Servers that may hold keys; the others are forgotten.
        """
        for server_id in self._recipients_by_server.keys() - needed:
            del self._recipients_by_server[server_id]
        self.remember_targets(
            servers[server_id].recipient
            for server_id in servers.keys() & needed
        )

    def remember_targets(
        self, recipients: typing.Iterable[ports.Recipient]
    ) -> None:
        """Keep the addresses of servers that are about to get keys."""
        for recipient in recipients:
            self._recipients_by_server[recipient.server_id] = recipient

    def recipient_of(
        self, service: str, server_id: str
    ) -> ports.Recipient | None:
        """Return the newest known instance of a server."""
        server = self._fleet.registered_server(service, server_id)
        if server is not None:
            return server.recipient
        return self._recipients_by_server.get(server_id)

    def resume(self, service: str, tasks: anyio.abc.TaskGroup) -> None:
        """Continue with the releases that are owed, also by predecessors."""
        for owed in list(self._leader.services[service].owed_releases):
            self.start(service, owed, tasks)

    def start(
        self,
        service: str,
        owed: ranges.OwedRelease,
        tasks: anyio.abc.TaskGroup,
    ) -> LateRelease:
        """Start a release unless it is in progress; return it."""
        self._leader.services[service].owed_releases.add(owed)
        server_key = (service, owed.server_id)
        releases = self._releases_by_server.setdefault(server_key, {})
        release = releases.get(owed)
        if release is None:
            owner = ranges.Owner(owed.server_id, 0, self._leader.next_fence())
            release = LateRelease(
                ranges.KeyRange(owed.first, owed.last, owner), self._now()
            )
            releases[owed] = release
            self._log("late_release_started", release)
        if server_key not in self._epoch_by_task:
            epoch = self._leader.epoch
            self._epoch_by_task[server_key] = epoch
            tasks.start_soon(self._run, server_key, epoch, releases, tasks)
        return release

    def confirm(
        self,
        service: str,
        owed: ranges.OwedRelease,
        recipient: ports.Recipient,
        handover: str | None,
    ) -> None:
        """End a release, as the server has released the keys."""
        release = self._end(service, owed, "released_late")
        if release is not None:
            release.confirmed_by = recipient
            release.handover = handover

    def _end(
        self, service: str, owed: ranges.OwedRelease, event: str
    ) -> LateRelease | None:
        releases = self._releases_by_server.get((service, owed.server_id), {})
        release = releases.pop(owed, None)
        if release is not None:
            self._leader.services[service].owed_releases.discard(owed)
            self._log(event, release)
        return release

    async def _run(
        self,
        server_key: ServerKey,
        epoch: int,
        releases: dict[ranges.OwedRelease, LateRelease],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Send the releases of a server until none is left."""
        try:
            while epoch == self._leader.epoch and self._leader.is_active:
                self._abandon_overdue(server_key, releases)
                if not releases:
                    del self._releases_by_server[server_key]
                    return
                started = self._now()
                await self._send_due(server_key, releases, tasks)
                left = started + moves.RETRY_DELAY_SECONDS - self._now()
                await anyio.sleep(max(MIN_PAUSE_SECONDS, left))
        finally:
            if self._epoch_by_task.get(server_key) == epoch:
                del self._epoch_by_task[server_key]

    def _abandon_overdue(
        self,
        server_key: ServerKey,
        releases: dict[ranges.OwedRelease, LateRelease],
    ) -> None:
        oldest = self._now() - LATE_RELEASE_SECONDS
        for owed, release in list(releases.items()):
            if release.started <= oldest:
                self._end(server_key[0], owed, "late_release_abandoned")

    async def _send_due(
        self,
        server_key: ServerKey,
        releases: dict[ranges.OwedRelease, LateRelease],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Send the releases that are due if the server can be connected to.

        It refuses late grants once it has seen the token of a release, and
        drops what it took by them before.
        """
        now = self._now()
        due = {
            owed: release
            for owed, release in releases.items()
            if release.retry_at <= now
        }
        recipient = self.recipient_of(*server_key)
        if not due or recipient is None:
            return
        if not self._grant_sender.is_surely_leading():
            return
        if not self._orders.is_connected(recipient, math.inf):
            reason = "timeout"
            # A server that resumes does not see an attempt from before.
            with anyio.move_on_after(moves.RETRY_DELAY_SECONDS):
                reason = await self._orders.connect(recipient)
            if reason:
                return
        for owed, release in due.items():
            release.retry_at = math.inf
            tasks.start_soon(self._send, server_key, owed, release, recipient)

    async def _send(
        self,
        server_key: ServerKey,
        owed: ranges.OwedRelease,
        release: LateRelease,
        recipient: ports.Recipient,
    ) -> None:
        result = await self._grant_sender.release(
            recipient, release.order, moves.RELEASE_TIMEOUT_SECONDS
        )
        release.retry_at = self._now()
        if result.reply is ports.Reply.REJECTED:
            release.retry_at += REJECTED_RETRY_DELAY_SECONDS
        # The release of an earlier epoch may end only now.
        releases = self._releases_by_server.get(server_key, {})
        if result.reply is ports.Reply.DONE and releases.get(owed) is release:
            self.confirm(server_key[0], owed, recipient, result.handover)

    def _log(self, event: str, release: LateRelease) -> None:
        order = release.order
        events.emit(
            event,
            server=order.owner.server_id,
            first=order.first,
            last=order.last,
            fence=order.owner.fence,
            seconds=round(self._now() - release.started, 3),
        )
