"""Renewal of grants, which does not need the store."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import state

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.assignment import grant_sender as grant_sender_module

CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks for renewals that are due."""


class GrantRenewer:
    """Renews the grants of all owners while this host is the leader.

    Parameters
    ----------
    leader : state.Leader
        Leadership of this host.
    fleet : state.Fleet
        Servers known from service discovery.
    grant_sender : grant_sender.GrantSender
        Sends grants to servers.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state.Leader,
        fleet: state.Fleet,
        grant_sender: grant_sender_module.GrantSender,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._fleet = fleet
        self._grant_sender = grant_sender
        self._now = now
        self._next_renewal_by_instance: dict[leases.Instance, float] = {}

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Renew grants until cancelled; calls run in a task group."""
        next_renewal_by_instance = self._next_renewal_by_instance
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._leader.is_active:
                continue
            now = self._now()
            instances: set[leases.Instance] = set()
            for service, service_state in self._leader.services.items():
                for instance in service_state.key_map.by_owner():
                    if instance in instances:
                        continue
                    instances.add(instance)
                    if now >= next_renewal_by_instance.get(instance, 0.0):
                        next_renewal_by_instance[instance] = (
                            now + leases.RENEWAL_INTERVAL_SECONDS
                        )
                        tasks.start_soon(self._renew, service, instance)
            unresponsive = (
                self._grant_sender.unresponsive_instances() - instances
            )
            for instance in unresponsive:
                if now >= next_renewal_by_instance.get(instance, 0.0):
                    next_renewal_by_instance[instance] = (
                        now + leases.RENEWAL_INTERVAL_SECONDS
                    )
                    tasks.start_soon(self._readmit, instance)
            for instance in list(next_renewal_by_instance):
                if instance not in instances and instance not in unresponsive:
                    del next_renewal_by_instance[instance]

    async def _readmit(self, instance: leases.Instance) -> None:
        for service in self._fleet.services():
            server = state.find_server(self._fleet, service, instance)
            if server is not None:
                await self._grant_sender.readmit(server.recipient)

    async def _renew(self, service: str, instance: leases.Instance) -> None:
        epoch = self._leader.epoch
        async with self._grant_sender.lock_of(instance[0]):
            key_map = self._leader.services[service].key_map
            for key_range in key_map.by_owner().get(instance, ()):
                if key_range.source != ranges.UNOWNED:
                    continue
                server = state.find_server(self._fleet, service, instance)
                if server is None or epoch != self._leader.epoch:
                    return
                if not self._leader.services[service].is_owned(key_range):
                    continue
                if self._is_withheld(server, key_range):
                    # Renewed as soon as the store confirms the leadership.
                    self._next_renewal_by_instance[instance] = self._now()
                    return
                sendable = self._sendable(service, server, key_range)
                if sendable is None:
                    await self._grant_sender.check_reachable(server.recipient)
                    self._plan_if_unresponsive(instance)
                    return
                if not await self._renew_range(server, sendable):
                    return

    def _is_withheld(
        self, server: state.RegisteredServer, key_range: ranges.KeyRange
    ) -> bool:
        """Return whether a renewal needs a token that may not be sent yet."""
        sender = self._grant_sender
        return not sender.is_surely_leading() and (
            sender.is_new(key_range)
            or (
                not sender.may_send(server, key_range)
                and sender.needs_new_fence(server.recipient.server_id)
            )
        )

    def _sendable(
        self,
        service: str,
        server: state.RegisteredServer,
        key_range: ranges.KeyRange,
    ) -> ranges.KeyRange | None:
        """Return a range with a token that may be sent now; None to wait.

        After its connection was lost, a server normally reports the same
        incarnation in time. A new token is the exception, as it would give
        the keys to a later incarnation that is cold.
        """
        if self._grant_sender.may_send(server, key_range):
            return key_range
        if not self._grant_sender.needs_new_fence(server.recipient.server_id):
            return None
        return self._leader.renew_fence(service, key_range)

    async def _renew_range(
        self, server: state.RegisteredServer, key_range: ranges.KeyRange
    ) -> bool:
        recipient = server.recipient
        result = await self._grant_sender.grant(server, key_range, None)
        if result is None:
            return False
        if result.reply is ports.Reply.DONE:
            return True
        if result.reply is ports.Reply.FENCED:
            self._leader.lose_leadership(
                f"server {recipient.server_id} has seen a higher fencing token"
            )
        else:
            self._plan_if_unresponsive(recipient[:2])
        return False

    def _plan_if_unresponsive(self, instance: leases.Instance) -> None:
        if self._grant_sender.is_unresponsive(instance):
            self._leader.request_plan()
