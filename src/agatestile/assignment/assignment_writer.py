"""Stores the assignments of the leader."""

from __future__ import annotations

import typing

from agatestile.assignment import records
from agatestile.observability import events
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.assignment import journal as journal_module
    from agatestile.assignment import late_releases as late_releases_module
    from agatestile.assignment import leases
    from agatestile.assignment import ranges
    from agatestile.assignment import state as state_module
    from agatestile.results import outcomes
    from agatestile.store import port

STORE_RETRY_DELAY_SECONDS = 1.0
"""Delay before the next append after the store refused one."""


class AssignmentWriter:
    """Appends what the leader has to store before it acts on it.

    Parameters
    ----------
    leader : state.Leader
        Leadership of this host.
    journal : journal.Journal
        Appends records if no other host has.
    leader_lease : leases.LeaderLease
        Extended by each append.
    late_releases : late_releases.LateReleases
        Knows the addresses of servers.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state_module.Leader,
        journal: journal_module.Journal,
        leader_lease: leases.LeaderLease,
        late_releases: late_releases_module.LateReleases,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._journal = journal
        self._leader_lease = leader_lease
        self._late_releases = late_releases
        self._now = now
        self._retry_at = 0.0

    async def write_all(
        self,
        leadership: records.Leadership,
        services: dict[str, state_module.ServiceState],
        maps: dict[str, ranges.RangeMap],
    ) -> outcomes.Refusal | None:
        """Store the leadership and all assignments in one append.

        Parameters
        ----------
        leadership : records.Leadership
            The leadership, last in the append.
        services : dict of str to state.ServiceState
            What else is known, by service.
        maps : dict of str to ranges.RangeMap
            Range maps to store by service.
        """
        added = []
        for service, key_map in maps.items():
            state = services[service]
            state.stored_servers = self._servers_of(service, state, key_map)
            added.append(records.encode_map(service, key_map))
            added.append(records.encode_servers(service, state.stored_servers))
        added.append(records.encode_leadership(leadership))
        return await self._journal.append(*added)

    async def write_assignment(
        self,
        service: str,
        state: state_module.ServiceState,
        key_map: ranges.RangeMap,
    ) -> bool:
        """Store an assignment; return whether this host may act on it."""
        servers = self._servers_of(service, state, key_map)
        added = [records.encode_map(service, key_map)]
        if servers != state.stored_servers:
            added.append(records.encode_servers(service, servers))
        if not await self.append(*added):
            return False
        state.stored_servers = servers
        return True

    def _servers_of(
        self,
        service: str,
        state: state_module.ServiceState,
        key_map: ranges.RangeMap,
    ) -> records.ServiceServers:
        """Return the servers that a successor may have to reach."""
        names = {owed.server_id for owed in state.owed_releases}
        for key_range in key_map.ranges:
            names.add(key_range.owner.server_id)
            names.add(key_range.source.server_id)
        recipients = (
            self._late_releases.recipient_of(service, name) for name in names
        )
        return records.ServiceServers.from_state(
            (one for one in recipients if one is not None),
            state.owed_releases,
        )

    async def append(self, *added: port.Record) -> bool:
        """Store records; return whether this host may act on them."""
        return await self._store(
            added[0].key, lambda: self._journal.append(*added)
        )

    async def store_settled(self, leadership: records.Leadership) -> bool:
        """Store a settled leadership; return whether this was possible.

        By then, no append of an earlier leader is in progress.
        """
        return await self._store(
            records.LEADER_KEY,
            lambda: self._journal.forget_earlier_eras(leadership),
        )

    async def _store(
        self,
        name: str,
        append: typing.Callable[[], typing.Awaitable[outcomes.Refusal | None]],
    ) -> bool:
        epoch = self._leader.epoch
        if not epoch or self._now() < self._retry_at:
            return False
        if self._leader_lease.is_withheld():
            return False
        sent = self._now()
        refusal = await append()
        if epoch != self._leader.epoch:
            return False
        if refusal is None:
            self._leader_lease.confirm(sent)
            return True
        self._retry_at = self._now() + STORE_RETRY_DELAY_SECONDS
        events.emit("assignment_not_stored", record=name, reason=str(refusal))
        if refusal.code == codes.ResultCode.RECORD_STALE:
            # The condition also fails if an unanswered append of this host
            # was applied late; taking the leadership again reads it.
            self._leader.lose_leadership(
                "stored assignments were changed by another append"
            )
        elif refusal.code == codes.ResultCode.LOG_OUTCOME_UNKNOWN:
            if await self._journal.is_current() is False:
                self._leader.lose_leadership(
                    f"unanswered append of {name} was applied late"
                )
        return False
