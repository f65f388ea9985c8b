"""Grants, renews and moves keys for as long as this host leads."""

from __future__ import annotations

import typing

import anyio
import msgspec

from agatestile.assignment import grant_sender
from agatestile.assignment import journal
from agatestile.assignment import leases
from agatestile.assignment import moves as moves_module
from agatestile.assignment import planner
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.assignment import renewals
from agatestile.assignment import state as state_module
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.store import port

PLAN_SECONDS = 0.3
"""Interval of plans; a hot stretch of keys lasts a few seconds."""

STORE_RETRY_SECONDS = 1.0
"""Pause after an append that the store refused."""

FIRST_SERVERS_SECONDS = 1.5
"""How long the first assignment of a service waits for more servers to
register after the first."""


class Coordinator:
    """Decides about assignments while it leads.

    Parameters
    ----------
    store : port.Store
        Where assignments are kept.
    orders : ports.Orders
        Sends grants and releases.
    hosts : ports.Hosts
        Asks earlier leaders.
    fleet : state.Fleet
        Known servers.
    address : str
        Control address of this host.
    now : callable
        Clock that goes on while the machine is suspended, seconds.
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
        self._grantor = grant_sender.Grantor(orders, now)
        self._hosts = hosts
        self._fleet = fleet
        self._address = address
        self._now = now
        self._own_epoch = 0
        self._store_retry_at = 0.0
        self._fences = leases.Fences(0)
        self._renewals = renewals.Renewals(self, fleet, self._grantor, now)
        self._moves = moves_module.Moves(
            self, fleet, self._grantor, orders, now
        )
        self._changed = anyio.Event()
        self._plan_wanted = anyio.Event()
        self.epoch = 0
        self.version = 0
        self.services: dict[str, state_module.ServiceState] = {}

    @property
    def leader_lease(self) -> leases.LeaderLease:
        """Right of this host to decide."""
        return self._grantor.leader_lease

    @property
    def is_active(self) -> bool:
        """Whether this host leads and may decide."""
        return self.epoch > 0 and self.leader_lease.is_valid(self._now())

    async def take_leadership(self) -> outcomes.Refusal | None:
        """Become the leader; return why not."""
        sent = self._now()
        stored = await self._journal.read()
        if isinstance(stored, outcomes.Refusal):
            return stored
        leadership = records.Leadership(
            stored.leadership.epoch + 1, self._address
        )
        refusal = await self._journal.append(
            records.encode_leadership(leadership)
        )
        if refusal is not None:
            return refusal
        now = self._now()
        self._fences = leases.Fences(leadership.epoch)
        if stored.leadership.epoch != self._own_epoch or not self._own_epoch:
            predecessor = await self._ask(stored.leadership, leadership.epoch)
            self._grantor.holds.take_over(self._now(), predecessor)
            if predecessor.renews_for < leases.LEADER_LEASE_SECONDS:
                refusal = await self._settle(leadership)
                if refusal is not None:
                    return refusal
        self._own_epoch = leadership.epoch
        self._grantor.start_epoch()
        self._moves.start_epoch()
        self.services = {
            name: state_module.ServiceState(key_map, now)
            for name, key_map in stored.maps.items()
        }
        self.epoch = leadership.epoch
        self.leader_lease.confirm(sent)
        self.publish()
        events.emit(
            "leadership_taken",
            epoch=leadership.epoch,
            predecessor=stored.leadership.host,
            resigned=stored.leadership.is_resigned,
            wait=round(self._grantor.holds.unknown_left(self._now()), 2),
        )
        return None

    async def _ask(
        self, before: records.Leadership, epoch: int
    ) -> leases.Predecessor:
        """Return what is known of the last leader."""
        if not before.epoch:
            return leases.NO_PREDECESSOR
        if before.is_resigned:
            return leases.Predecessor(before.remaining_leases, 0.0)
        ended = leases.Predecessor(None, leases.ORDER_SECONDS)
        unknown = leases.Predecessor(None, leases.LEADER_LEASE_SECONDS)
        if not before.is_settled:
            # A holder before it may still renew.
            ended = unknown
        if before.host == self._address:
            # An earlier process of this host; it renews nothing any more.
            return ended
        answered = await self._hosts.supersede(before.host, epoch)
        if answered is None:
            return unknown
        if answered.was_holder:
            return leases.Predecessor(answered.remaining_leases, 0.0)
        return ended

    async def _settle(
        self, leadership: records.Leadership
    ) -> outcomes.Refusal | None:
        """Record that no earlier leader renews grants any more."""
        settled = msgspec.structs.replace(leadership, is_settled=True)
        return await self._journal.append(records.encode_leadership(settled))

    def supersede(self, epoch: int) -> ports.SupersedeReply:
        """Give way to a later epoch and tell what servers hold."""
        if not self.epoch or self.epoch >= epoch:
            return ports.SupersedeReply(False, [])
        self.lose_leadership(f"epoch {epoch} has begun")
        return ports.SupersedeReply(True, self._left())

    def _left(self) -> list[tuple[str, int, float]]:
        return self._grantor.holds.left(
            self._named_lives(), self._grantor.busy_lives(), self._now()
        )

    def lose_leadership(self, reason: str) -> None:
        """Stop to decide."""
        if self.epoch:
            events.emit("leadership_lost", epoch=self.epoch, reason=reason)
        self.epoch = 0
        self.leader_lease.end()
        self.publish()

    async def resign(self) -> None:
        """Leave the leadership to another host, which need not wait then."""
        if not self.is_active:
            return
        epoch = self.epoch
        self.lose_leadership("this host stops")
        holds = self._left()
        leadership = records.Leadership(
            epoch, self._address, is_resigned=True, remaining_leases=holds
        )
        refusal = await self._journal.append(
            records.encode_leadership(leadership)
        )
        if refusal is not None:
            events.emit("resignation_failed", reason=str(refusal))

    def count_requests(self, service: str, counts: dict[int, int]) -> None:
        """Count requests by key."""
        state = self.services.get(service)
        if state is not None:
            state.heat.add(counts)

    def request_plan(self) -> None:
        """Plan soon, as servers or zones have changed."""
        self._plan_wanted.set()

    async def wait_changed(self, version: int, timeout: float) -> None:
        """Wait until the assignment differs from a version."""
        with anyio.move_on_after(timeout):
            while self.version == version:
                await self._changed.wait()

    async def run(self) -> None:
        """Renew and plan until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renewals.run, tasks)
            while True:
                with anyio.move_on_after(PLAN_SECONDS):
                    await self._plan_wanted.wait()
                self._plan_wanted = anyio.Event()
                if self.is_active:
                    await self._plan_all(tasks)

    def publish(self) -> None:
        """Tell hosts of a changed assignment."""
        self.version += 1
        self._changed.set()
        self._changed = anyio.Event()

    # Plans

    def _named_lives(self) -> set[leases.Life]:
        named: set[leases.Life] = set()
        for state in self.services.values():
            for one in state.key_map.ranges:
                named.add(leases.life_of(one.owner))
                named.add(leases.life_of(one.source))
        named.discard(leases.life_of(ranges.UNOWNED))
        return named

    def _placed_lives(self) -> set[leases.Life]:
        return {
            server.recipient[:2]
            for service in self._fleet.services()
            for server in self._fleet.registered_servers(service).values()
        }

    async def _plan_all(self, tasks: anyio.abc.TaskGroup) -> None:
        now = self._now()
        for service in self._fleet.services():
            state = self.services.get(service)
            if state is None:
                state = state_module.ServiceState(ranges.RangeMap(), now)
                self.services[service] = state
            await self._plan(service, state, tasks)
        self._grantor.forget(self._named_lives(), self._placed_lives())

    async def _plan(
        self,
        service: str,
        state: state_module.ServiceState,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        now = self._now()
        servers = self._fleet.registered_servers(service)
        if not self._is_ready(state, servers, now):
            return
        state.heat.advance(now)
        candidates = {
            name: self._with_silence(one.candidate)
            for name, one in servers.items()
        }

        def is_frozen(one: ranges.KeyRange) -> bool:
            return self._moves.is_moving(service, one)

        self._moves.resume(service, tasks)
        moves = planner.plan(state.key_map, candidates, state.heat, is_frozen)
        if moves:
            await self._start_moves(service, state, moves, candidates, tasks)

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
        if state.first_seen is None:
            state.first_seen = now
        if now < state.first_seen + FIRST_SERVERS_SECONDS:
            return False
        state.has_owners = True
        return True

    def _with_silence(
        self, candidate: planner.OwnerCandidate
    ) -> planner.OwnerCandidate:
        if not self._grantor.is_silent((candidate.id, candidate.incarnation)):
            return candidate
        return candidate._replace(accepts_keys=False, must_release_keys=True)

    async def _start_moves(
        self,
        service: str,
        state: state_module.ServiceState,
        moves: list[planner.Move],
        candidates: dict[str, planner.OwnerCandidate],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        changes = []
        for move in moves:
            target = candidates[move.target]
            owner = ranges.Owner(
                target.id, target.incarnation, self._fences.next()
            )
            old = state.key_map.find(move.first)
            # A move that is taken up anew keeps the life that may still
            # hold the keys.
            source = old.owner
            changes.append(
                ranges.KeyRange(move.first, move.last, owner, source)
            )
        key_map = state.key_map.replace(changes)
        if not await self._persist(service, key_map):
            return
        state.key_map = key_map
        self.publish()
        for change in changes:
            self._moves.start(service, change, tasks)

    async def _persist(self, service: str, key_map: ranges.RangeMap) -> bool:
        if self._now() < self._store_retry_at:
            return False
        epoch = self.epoch
        sent = self._now()
        record = records.encode_map(service, key_map)
        refusal = await self._journal.append(record)
        if epoch != self.epoch:
            return False
        if refusal is None:
            self.leader_lease.confirm(sent)
            return True
        self._store_retry_at = self._now() + STORE_RETRY_SECONDS
        events.emit(
            "assignment_not_stored", service=service, reason=str(refusal)
        )
        if refusal.code == codes.ResultCode.RECORD_STALE:
            # The condition fails also if an unanswered append of this host
            # was carried out late; taking the leadership anew reads it.
            self.lose_leadership("the assignments were changed meanwhile")
        elif refusal.code == codes.ResultCode.LOG_OUTCOME_UNKNOWN:
            if await self._journal.has_changed():
                self.lose_leadership(
                    f"an append for {service} was carried out late"
                )
        return False
