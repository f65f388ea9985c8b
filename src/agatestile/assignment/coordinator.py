"""Assigns keys to servers while this host is the leader."""

from __future__ import annotations

import math
import typing

import anyio
import msgspec

from agatestile.assignment import admission
from agatestile.assignment import announcements
from agatestile.assignment import assignment_writer
from agatestile.assignment import era_keys
from agatestile.assignment import eras
from agatestile.assignment import grant_sender
from agatestile.assignment import journal
from agatestile.assignment import late_releases
from agatestile.assignment import leases
from agatestile.assignment import moves as moves_module
from agatestile.assignment import planner
from agatestile.assignment import ports
from agatestile.assignment import predecessors
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.assignment import renewals
from agatestile.assignment import restoration
from agatestile.assignment import state as state_module
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.store import port

PLAN_INTERVAL_SECONDS = 0.3
"""Interval between plans; a hot range of keys lasts only a few seconds."""

INITIAL_REGISTRATION_SECONDS = 1.5
"""Time that the first assignment of a service waits for further servers
after the first one has registered."""


class Coordinator:
    """Assigns keys to servers while this host is the leader.

    Parameters
    ----------
    store : port.Store
        Persistent storage of the assignments.
    orders : ports.Orders
        Sends grants and releases to servers.
    hosts : ports.Hosts
        Sends messages to earlier leaders.
    fleet : state.Fleet
        Servers known from service discovery.
    address : str
        Control address of this host.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    """

    def __init__(
        self,
        store: port.Store,
        orders: ports.Orders,
        hosts: ports.Hosts,
        fleet: state_module.Fleet,
        address: str,
        now: typing.Callable[[], float],
    ) -> None:
        self._journal = journal.Journal(store)
        self._grant_sender = grant_sender.GrantSender(
            orders, now, self._is_withheld
        )
        self._hosts = hosts
        self._fleet = fleet
        self._address = address
        self._now = now
        self._last_own_epoch = 0
        self._leadership_lock = anyio.Lock()
        self._leadership = self.previous = records.Leadership(0, address)
        self._settles_at = 0.0
        self._uncertain_until = -math.inf
        self._superseded_by_epoch = 0
        self._fencing_tokens = leases.FencingTokens(0)
        self._grant_renewer = renewals.GrantRenewer(
            self, fleet, self._grant_sender, now
        )
        self._late_releases = late_releases.LateReleases(
            self, fleet, self._grant_sender, orders, now
        )
        self._moves = moves_module.MoveExecutor(
            self, fleet, self._grant_sender, self._late_releases, now
        )
        self._writer = assignment_writer.AssignmentWriter(
            self, self._journal, self.leader_lease, self._late_releases, now
        )
        self._restoration = restoration.Restoration(
            self, self._journal, self._writer, self._grant_sender, now
        )
        self._announcements = announcements.Announcements(now)
        self._plan_requested = anyio.Event()
        self.epoch = 0
        self.services: dict[str, state_module.ServiceState] = {}

    @property
    def version(self) -> int:
        """Number of changes of the assignment that hosts were told of."""
        return self._announcements.version

    @property
    def late_record_count(self) -> int:
        """Number of records that appends of earlier eras have left."""
        return self._journal.late_record_count

    @property
    def leader_lease(self) -> leases.LeaderLease:
        """Lease of this host on the leadership."""
        return self._grant_sender.leader_lease

    @property
    def is_active(self) -> bool:
        """Whether this host is the leader and its lease is valid."""
        return self.epoch > 0 and self.leader_lease.is_valid(self._now())

    @property
    def leadership(self) -> records.Leadership:
        """Latest stored leadership of this host."""
        return self._leadership

    @property
    def is_settled(self) -> bool:
        """Whether no earlier leader responds to hosts any longer."""
        return self._leadership.is_settled

    @property
    def is_link_slow(self) -> bool:
        """Whether this host leads and delays its orders itself."""
        return self.is_active and self._grant_sender.is_link_slow()

    async def take_leadership(self) -> outcomes.Refusal | None:
        """Become the leader; return the refusal if that fails."""
        stored = await self._journal.read()
        if isinstance(stored, outcomes.Refusal):
            return stored
        era = self._journal.era
        is_outdated = eras.is_outdated(stored.leadership, era)
        leadership = eras.successor(
            stored.leadership, stored.maps, era, self._address
        )
        sent = self._now()
        refusal = await self._journal.take_over(stored, leadership)
        if refusal is not None:
            return refusal
        now = appended_at = self._now()
        self._settles_at = now + predecessors.SETTLING_SECONDS
        self._fencing_tokens = leases.FencingTokens(leadership.epoch)
        services = self._to_services(stored, is_outdated)
        recipients = [
            recipient
            for servers in stored.servers.values()
            for recipient in servers.to_recipients()
        ]
        self._uncertain_until = -math.inf
        if (
            is_outdated
            or stored.leadership.epoch != self._last_own_epoch
            or not self._last_own_epoch
        ):
            predecessor = predecessors.UNKNOWN
            if not is_outdated:
                predecessor = await predecessors.query(
                    self._hosts, stored.leadership, leadership
                )
            now = self._now()
            self._grant_sender.key_leases.take_over(now, predecessor)
            if era > era_keys.FIRST_ERA and not predecessor.is_settled:
                self._assume_unknown_holders(now)
            if predecessor.is_settled:
                leadership = leadership.settled()
                sent = self._now()
                refusal = await self._journal.append(
                    records.encode_leadership(leadership)
                )
            else:
                await self._outlast_earlier_leaders(appended_at)
                sent = self._now()
                if is_outdated:
                    leadership = msgspec.structs.replace(leadership, era=era)
                    self._late_releases.start_epoch(recipients)
                    maps = {
                        name: state.key_map for name, state in services.items()
                    }
                    refusal = await self._writer.write_all(
                        leadership, services, maps
                    )
                else:
                    refusal = await self._journal.check_current()
            if refusal is not None:
                return refusal
        if self._superseded_by_epoch > leadership.epoch:
            return outcomes.Refusal(
                codes.ResultCode.RECORD_STALE,
                f"superseded by epoch {self._superseded_by_epoch}",
            )
        self.previous = stored.leadership
        self._start_epoch(leadership, services, recipients)
        self.leader_lease.confirm(sent)
        self.publish()
        events.emit(
            "leadership_taken",
            epoch=leadership.epoch,
            predecessor=stored.leadership.host,
            resigned=stored.leadership.is_resigned,
            era=era,
            stored_era=stored.leadership.era,
            wait=round(
                self._grant_sender.key_leases.unlisted_remaining(self._now()),
                2,
            ),
        )
        return None

    def _to_services(
        self, stored: records.StoredAssignments, is_outdated: bool
    ) -> dict[str, state_module.ServiceState]:
        """Return what is stored, with new fencing tokens."""
        maps = stored.maps
        if is_outdated:
            known = dict.fromkeys(self._fleet.services(), ranges.RangeMap())
            maps = {
                name: eras.with_unknown_holders(key_map)
                for name, key_map in (known | maps).items()
            }
        return {
            name: state_module.ServiceState(
                self._fencing_tokens.renew_all(key_map),
                self._now(),
                stored.servers.get(name, records.NO_SERVERS),
            )
            for name, key_map in maps.items()
        }

    def _start_epoch(
        self,
        leadership: records.Leadership,
        services: dict[str, state_module.ServiceState],
        recipients: list[ports.Recipient],
    ) -> None:
        """Act as the leader of an epoch.

        Parameters
        ----------
        leadership : records.Leadership
            The stored leadership of this host.
        services : dict of str to state.ServiceState
            Assignments by service, with tokens of the epoch.
        recipients : list of ports.Recipient
            Servers that the stored assignments name.
        """
        self._last_own_epoch = leadership.epoch
        self._leadership = leadership
        self._grant_sender.start_epoch(leadership.epoch)
        self._moves.start_epoch()
        self._late_releases.start_epoch(recipients)
        self.services = services
        self.epoch = leadership.epoch

    def _is_withheld(self) -> bool:
        """Return whether the store lacks what this host has stored."""
        return self._leadership.era != self._journal.newest_era

    def _assume_unknown_holders(self, since: float) -> None:
        """Assume that any server may hold keys of which nothing is known.

        Parameters
        ----------
        since : float
            Time after which the store confirmed no earlier leader, seconds.
        """
        until = leases.renewed_until(since, predecessors.SETTLING_SECONDS)
        self._uncertain_until = until
        self._grant_sender.key_leases.assume_held(
            ranges.UNKNOWN.server_id, until
        )

    def _apply_restored(self, restored: restoration.Restored) -> None:
        """Continue in the epoch under which the state was stored again."""
        now = self._now()
        self._settles_at = now + predecessors.SETTLING_SECONDS
        # A leader that was lost with the store may still respond to hosts.
        self.previous = records.Leadership(0, "")
        self._assume_unknown_holders(restored.noticed_at)
        self._fencing_tokens = restored.fencing_tokens
        for name, state in self.services.items():
            state.key_map = restored.maps.get(
                name, eras.with_unknown_holders(state.key_map)
            )
        self._start_epoch(restored.leadership, self.services, [])
        self.leader_lease.confirm(restored.sent_at)
        self.publish()
        events.emit(
            "restoration_finished",
            era=restored.leadership.era,
            epoch=self.epoch,
            uncertain_ranges=restored.uncertain_ranges,
            wait=round(self._uncertain_until - now, 2),
            seconds=round(now - restored.noticed_at, 3),
        )

    async def _outlast_earlier_leaders(self, appended_at: float) -> None:
        """Wait until no earlier leader may send new tokens.

        Parameters
        ----------
        appended_at : float
            Time after which the store confirmed no earlier leader, seconds.
        """
        until = (
            appended_at
            + leases.SURE_LEADERSHIP_SECONDS
            + leases.SURE_LEADERSHIP_MARGIN_SECONDS
        )
        await anyio.sleep(max(0.0, until - self._now()))

    async def confirm(self) -> None:
        """Extend the leader lease if the store confirms the leadership.

        Being a member of the group is no confirmation: another host may
        have taken the leadership since and have lost its own membership.
        """
        epoch = self.epoch
        sent = self._now()
        is_current = None
        if not self._is_withheld():
            is_current = await self._journal.is_current()
        if not epoch or epoch != self.epoch:
            return
        if self._is_withheld():
            async with self._leadership_lock:
                restored = await self._restoration.attempt(self._leadership)
                if restored is not None:
                    self._apply_restored(restored)
        elif is_current:
            self.leader_lease.confirm(sent)
        elif is_current is not None:
            self.lose_leadership(
                "stored assignments were changed by another append"
            )

    def next_fence(self) -> int:
        """Return a fencing token that is higher than all earlier ones."""
        return self._fencing_tokens.next()

    def renew_fence(
        self, service: str, key_range: ranges.KeyRange
    ) -> ranges.KeyRange | None:
        """Replace the fencing token of a range by one that was never sent.

        Returns
        -------
        ranges.KeyRange or None
            None if the range has changed or is about to: a token that is
            newer than that of a move must not reach the source.
        """
        state = self.services[service]
        if not state.is_owned(key_range) or state.is_being_changed(key_range):
            return None
        renewed = self._fencing_tokens.renew(key_range)
        state.key_map = state.key_map.replace([renewed])
        events.emit(
            "fence_renewed",
            service=service,
            server=renewed.owner.server_id,
            incarnation=renewed.owner.incarnation,
            first=renewed.first,
            last=renewed.last,
            fence=renewed.owner.fence,
            earlier=key_range.owner.fence,
        )
        return renewed

    async def _settle(self) -> None:
        """Record that no earlier leader can renew grants any longer."""
        async with self._leadership_lock:
            settled = self._leadership.settled()
            if await self._writer.store_settled(settled):
                self._leadership = settled

    async def store_quota_hosts(self, epoch: int, hosts: list[str]) -> bool:
        """Store the hosts that may use shares in the quotas of tenants."""
        async with self._leadership_lock:
            changed = msgspec.structs.replace(
                self._leadership, quota_hosts=hosts
            )
            if epoch != self.epoch or not await self._writer.append(
                records.encode_leadership(changed)
            ):
                return False
            self._leadership = changed
            return True

    def supersede(self, epoch: int) -> ports.SupersedeReply:
        """Give up the leadership to a later epoch and return the leases.

        A host that is about to lead gives it up too.
        """
        self._superseded_by_epoch = max(self._superseded_by_epoch, epoch)
        if not self.epoch or self.epoch >= epoch:
            return ports.SupersedeReply(False, [])
        self.lose_leadership(f"superseded by epoch {epoch}")
        return ports.SupersedeReply(True, self._remaining_leases())

    def _remaining_leases(self) -> list[tuple[str, int, float]]:
        mapped = {leases.instance_of(one) for one in self._mapped_owners()}
        return self._grant_sender.remaining_leases(mapped)

    def lose_leadership(self, reason: str) -> None:
        """Stop acting as the leader."""
        if self.epoch:
            events.emit("leadership_lost", epoch=self.epoch, reason=reason)
        self.epoch = 0
        self.leader_lease.end()
        self.publish()

    async def resign(self) -> None:
        """Resign and store the leases, so that the successor need not wait."""
        if not self.is_active:
            return
        self.lose_leadership("host is shutting down")
        leadership = msgspec.structs.replace(
            self._leadership,
            is_resigned=True,
            remaining_leases=self._remaining_leases(),
        )
        refusal = await self._journal.append(
            records.encode_leadership(leadership)
        )
        if refusal is not None:
            events.emit("resignation_failed", reason=str(refusal))

    def count_requests(self, service: str, counts: dict[int, int]) -> None:
        """Add request counts by key to the load of a service."""
        state = self.services.get(service)
        if state is not None:
            state.load.add(counts)

    def admitted_shares(self) -> dict[str, dict[int, float]]:
        """Return the admitted shares of hot keys by service and key."""
        return {
            name: state.admitted_shares
            for name, state in self.services.items()
            if state.admitted_shares
        }

    def request_plan(self) -> None:
        """Plan without waiting, as servers or failure domains have changed."""
        self._plan_requested.set()

    async def wait_changed(self, version: int, timeout: float) -> None:
        """Wait until the assignment is newer than a version, or a timeout."""
        await self._announcements.wait_changed(version, timeout)

    async def run(self) -> None:
        """Renew grants and plan moves until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._grant_renewer.run, tasks)
            while True:
                with anyio.move_on_after(PLAN_INTERVAL_SECONDS):
                    await self._plan_requested.wait()
                self._plan_requested = anyio.Event()
                if self.is_active:
                    await self._plan_all(tasks)

    def publish(self, may_wait: bool = False) -> None:
        """Notify hosts of a changed assignment.

        Parameters
        ----------
        may_wait : bool
            Whether hosts may learn it with the changes of the same round.
        """
        self._announcements.publish(may_wait)

    # Planning

    def _mapped_owners(self) -> set[ranges.Owner]:
        owners: set[ranges.Owner] = set()
        for state in self.services.values():
            for key_range in state.key_map.ranges:
                owners.add(key_range.owner)
                owners.add(key_range.source)
        owners.discard(ranges.UNOWNED)
        return owners

    def _possible_holders(self) -> set[str]:
        """Return the servers that may hold keys of any service."""
        owing = {
            owed.server_id
            for state in self.services.values()
            for owed in state.owed_releases
        }
        return owing | {owner.server_id for owner in self._mapped_owners()}

    def _registered_instances(self) -> set[leases.Instance]:
        return {
            server.recipient[:2]
            for service in self._fleet.services()
            for server in self._fleet.registered_servers(service).values()
        }

    async def _plan_all(self, tasks: anyio.abc.TaskGroup) -> None:
        now = self._now()
        if not self._leadership.is_settled and now >= self._settles_at:
            await self._settle()
        for service in self._fleet.services():
            state = self.services.get(service)
            if state is None:
                key_map = ranges.RangeMap()
                if now < self._uncertain_until:
                    key_map = eras.with_unknown_holders(key_map)
                    self._grant_sender.key_leases.assume_held(
                        ranges.UNKNOWN.server_id, self._uncertain_until
                    )
                state = state_module.ServiceState(key_map, now)
                self.services[service] = state
            await self._plan(service, state, tasks)
        self._grant_sender.discard_unused(
            self._mapped_owners(), self._registered_instances()
        )

    async def _plan(
        self,
        service: str,
        state: state_module.ServiceState,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        now = self._now()
        servers = self._fleet.registered_servers(service)
        self._late_releases.remember(servers, self._possible_holders())
        self._late_releases.resume(service, tasks)
        if not self._is_ready(state, servers, now):
            return
        state.load.advance(now)
        owing = {owed.server_id for owed in state.owed_releases}
        candidates = {
            name: self._exclude_if_unresponsive(
                server.candidate, name in owing
            )
            for name, server in servers.items()
        }

        def is_frozen(key_range: ranges.KeyRange) -> bool:
            return self._moves.is_moving(service, key_range)

        state.admitted_shares = admission.admitted_shares(
            state.key_map,
            {name: server.answer_rate for name, server in servers.items()},
            state.load,
        )
        self._moves.resume(service, tasks)
        moves = planner.plan(state.key_map, candidates, state.load, is_frozen)
        if moves:
            await self._start_moves(service, state, moves, servers, tasks)

    def _is_ready(
        self,
        state: state_module.ServiceState,
        servers: dict[str, state_module.RegisteredServer],
        now: float,
    ) -> bool:
        if state.has_owners:
            return True
        if not servers:
            return False
        if state.first_server_seen_at is None:
            state.first_server_seen_at = now
        if now < state.first_server_seen_at + INITIAL_REGISTRATION_SECONDS:
            return False
        state.has_owners = True
        return True

    def _exclude_if_unresponsive(
        self, candidate: planner.OwnerCandidate, owes_release: bool
    ) -> planner.OwnerCandidate:
        if self._grant_sender.is_unresponsive(
            (candidate.id, candidate.incarnation)
        ):
            return candidate._replace(
                accepts_keys=False, must_release_keys=True
            )
        if owes_release:
            # The release could undo a newer grant.
            return candidate._replace(accepts_keys=False)
        return candidate

    async def _start_moves(
        self,
        service: str,
        state: state_module.ServiceState,
        moves: list[planner.Move],
        servers: dict[str, state_module.RegisteredServer],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        changes = []
        for move in moves:
            target = servers[move.target].candidate
            owner = ranges.Owner(
                target.id, target.incarnation, self._fencing_tokens.next()
            )
            current = state.key_map.find(move.first)
            # A restarted move keeps the server instance that may still hold
            # the keys as its source.
            source = current.owner
            changes.append(
                ranges.KeyRange(move.first, move.last, owner, source)
            )
        self._late_releases.remember_targets(
            servers[change.owner.server_id].recipient for change in changes
        )
        state.changes_being_stored = changes
        try:
            is_stored = await self._writer.write_assignment(
                service, state, state.key_map.replace(changes)
            )
        finally:
            state.changes_being_stored = []
        if not is_stored:
            return
        # Other ranges may have changed meanwhile.
        state.key_map = state.key_map.replace(changes)
        self.publish()
        for change in changes:
            self._moves.start(service, change, tasks)
