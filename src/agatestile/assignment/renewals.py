"""Renewals of grants, which need no store."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import state

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.assignment import grant_sender as grantor_module

CHECK_SECONDS = 0.1
"""Interval of looking for renewals that are due."""


class Renewals:
    """Repeats the grants of all owners while this host leads.

    Parameters
    ----------
    leader : state.Leader
        The leadership of this host.
    fleet : state.Fleet
        Known servers.
    grantor : grant_sender.Grantor
        Sends grants.
    now : callable
        Clock that goes on while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state.Leader,
        fleet: state.Fleet,
        grantor: grantor_module.Grantor,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._fleet = fleet
        self._grantor = grantor
        self._now = now

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Renew until cancelled; calls run in a task group."""
        next_by_life: dict[leases.Life, float] = {}
        while True:
            await anyio.sleep(CHECK_SECONDS)
            if not self._leader.is_active:
                continue
            now = self._now()
            lives: set[leases.Life] = set()
            for service, known in self._leader.services.items():
                for one in known.key_map.ranges:
                    if one.owner == ranges.UNOWNED:
                        continue
                    life = leases.life_of(one.owner)
                    if life in lives:
                        continue
                    lives.add(life)
                    if now >= next_by_life.get(life, 0.0):
                        next_by_life[life] = now + leases.RENEW_SECONDS
                        tasks.start_soon(self._renew, service, life)
            silent = self._grantor.silent_lives() - lives
            for life in silent:
                if now >= next_by_life.get(life, 0.0):
                    next_by_life[life] = now + leases.RENEW_SECONDS
                    tasks.start_soon(self._readmit, life)
            for life in list(next_by_life):
                if life not in lives and life not in silent:
                    del next_by_life[life]

    async def _readmit(self, life: leases.Life) -> None:
        for service in self._fleet.services():
            server = state.find_server(self._fleet, service, life)
            if server is not None:
                await self._grantor.readmit(server.recipient)

    async def _renew(self, service: str, life: leases.Life) -> None:
        epoch = self._leader.epoch
        async with self._grantor.lock_of(life):
            for one in list(self._leader.services[service].key_map.ranges):
                if leases.life_of(one.owner) != life:
                    continue
                if one.source != ranges.UNOWNED:
                    continue
                server = state.find_server(self._fleet, service, life)
                if server is None or epoch != self._leader.epoch:
                    return
                if not self._leader.services[service].is_owned(one):
                    continue
                if not self._grantor.is_same_life(
                    server.recipient, server.report_age
                ):
                    await self._grantor.check_reachable(server.recipient)
                    self._plan_if_silent(life)
                    return
                if not await self._renew_range(server, one):
                    return

    async def _renew_range(
        self, server: state.RegisteredServer, key_range: ranges.KeyRange
    ) -> bool:
        recipient = server.recipient
        result = await self._grantor.grant(recipient, key_range, None)
        if result is None:
            return False
        if result.reply is ports.Reply.DONE:
            return True
        if result.reply is ports.Reply.FENCED:
            self._leader.lose_leadership(
                f"a higher fence was used at {recipient.server_id}"
            )
        else:
            self._plan_if_silent(recipient[:2])
        return False

    def _plan_if_silent(self, life: leases.Life) -> None:
        if self._grantor.is_silent(life):
            self._leader.request_plan()
