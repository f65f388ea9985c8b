"""Grants, renews and moves keys for as long as this host leads."""

from __future__ import annotations

import logging
import typing

import anyio
import msgspec

from agatestile.assignment import grantor
from agatestile.assignment import heat as heat_module
from agatestile.assignment import journal
from agatestile.assignment import leases
from agatestile.assignment import planner
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.store import port

LOG = logging.getLogger(__name__)

PLAN_SECONDS = 0.3
"""Interval of plans; a hot stretch of keys lasts a few seconds."""

SETTLE_SECONDS = 0.03
"""Time that hosts get to stop sending to a source before it is told to
release; requests that are under way then are rejected."""

RELEASE_TIMEOUT = 2.5
"""Longest wait for the answer to a release, which comes when the work on
the keys has ended, seconds."""

STORE_RETRY_SECONDS = 1.0
"""Pause after an append that the store refused."""

RETRY_SECONDS = 0.3
"""Pause before an unanswered order is repeated."""

FIRST_SERVERS_SECONDS = 1.5
"""How long the first assignment of a service waits for more servers to
register after the first."""


class Placement(typing.NamedTuple):
    """What the coordinator needs to know of a server.

    Attributes
    ----------
    address : tuple of (str, int)
        Where orders go.
    holder : planner.Holder
        What the planner needs.
    heard : float
        Age of its newest report to service discovery, seconds.
    """

    address: tuple[str, int]
    holder: planner.Holder
    heard: float

    @property
    def recipient(self) -> ports.Recipient:
        """The life of the server that orders are meant for."""
        return ports.Recipient(
            self.holder.id, self.holder.incarnation, self.address
        )


class Fleet(typing.Protocol):
    """Servers of the partitioned services, as discovery shows them."""

    def services(self) -> list[str]:
        """Return the services divided by key."""

    def placements(self, service: str) -> dict[str, Placement]:
        """Return the servers of a service by identifier."""

    def placement(self, service: str, server_id: str) -> Placement | None:
        """Return one server, None if it is not of the service."""

    def is_replaced(self, life: leases.Life) -> bool:
        """Tell whether a life has surely ended, as a later one shows."""


class ServiceState:
    """Assignment of one service."""

    def __init__(self, key_map: ranges.RangeMap, now: float) -> None:
        self.key_map = key_map
        self.heat = heat_module.KeyHeat(now)
        self.is_new = True
        self.first_seen: float | None = None
        self.has_owners = any(
            one.owner != ranges.NOBODY for one in key_map.ranges
        )


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
    fleet : Fleet
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
        fleet: Fleet,
        address: str,
        now: typing.Callable[[], float],
    ) -> None:
        self._journal = journal.Journal(store)
        self._grantor = grantor.Grantor(orders, now)
        self._orders = orders
        self._hosts = hosts
        self._fleet = fleet
        self._address = address
        self._now = now
        self._own_epoch = 0
        self._store_retry_at = 0.0
        self._fences = leases.Fences(0)
        self._moving: dict[tuple[str, int, int], None] = {}
        self._changed = anyio.Event()
        self._plan_wanted = anyio.Event()
        self.epoch = 0
        self.version = 0
        self.services: dict[str, ServiceState] = {}

    @property
    def tenure(self) -> leases.Tenure:
        """Right of this host to decide."""
        return self._grantor.tenure

    @property
    def is_active(self) -> bool:
        """Whether this host leads and may decide."""
        return self.epoch > 0 and self.tenure.holds(self._now())

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
            if predecessor.renews_for < leases.TENURE_SECONDS:
                refusal = await self._settle(leadership)
                if refusal is not None:
                    return refusal
        self._own_epoch = leadership.epoch
        self._grantor.start_epoch()
        self._moving.clear()
        self.services = {
            name: ServiceState(key_map, now)
            for name, key_map in stored.maps.items()
        }
        self.epoch = leadership.epoch
        self.tenure.confirm(sent)
        self._publish()
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
            return leases.Predecessor(before.holds, 0.0)
        ended = leases.Predecessor(None, leases.ORDER_SECONDS)
        unknown = leases.Predecessor(None, leases.TENURE_SECONDS)
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
            return leases.Predecessor(answered.holds, 0.0)
        return ended

    async def _settle(
        self, leadership: records.Leadership
    ) -> outcomes.Refusal | None:
        """Record that no earlier leader renews grants any more."""
        settled = msgspec.structs.replace(leadership, is_settled=True)
        return await self._journal.append(records.encode_leadership(settled))

    def supersede(self, epoch: int) -> ports.Answered:
        """Give way to a later epoch and tell what servers hold."""
        if not self.epoch or self.epoch >= epoch:
            return ports.Answered(False, [])
        self.lose_leadership(f"epoch {epoch} has begun")
        return ports.Answered(True, self._left())

    def _left(self) -> list[tuple[str, int, float]]:
        return self._grantor.holds.left(
            self._named_lives(), self._grantor.busy_lives(), self._now()
        )

    def lose_leadership(self, reason: str) -> None:
        """Stop to decide."""
        if self.epoch:
            events.emit("leadership_lost", epoch=self.epoch, reason=reason)
        self.epoch = 0
        self.tenure.end()
        self._publish()

    async def resign(self) -> None:
        """Leave the leadership to another host, which need not wait then."""
        if not self.is_active:
            return
        epoch = self.epoch
        self.lose_leadership("this host stops")
        holds = self._left()
        leadership = records.Leadership(
            epoch, self._address, is_resigned=True, holds=holds
        )
        refusal = await self._journal.append(
            records.encode_leadership(leadership)
        )
        if refusal is not None:
            events.emit("resignation_failed", reason=str(refusal))

    def add_heat(self, service: str, counts: dict[int, int]) -> None:
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
            tasks.start_soon(self._renew_always, tasks)
            while True:
                with anyio.move_on_after(PLAN_SECONDS):
                    await self._plan_wanted.wait()
                self._plan_wanted = anyio.Event()
                if self.is_active:
                    await self._plan_all(tasks)

    def _publish(self) -> None:
        self.version += 1
        self._changed.set()
        self._changed = anyio.Event()

    # Renewals

    async def _renew_always(self, tasks: typing.Any) -> None:
        next_by_life: dict[leases.Life, float] = {}
        while True:
            await anyio.sleep(0.1)
            if not self.is_active:
                continue
            now = self._now()
            lives: set[leases.Life] = set()
            for service, state in self.services.items():
                for one in state.key_map.ranges:
                    if one.owner == ranges.NOBODY:
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
            placement = self._placement(service, life)
            if placement is not None:
                await self._grantor.readmit(placement.recipient)

    async def _renew(self, service: str, life: leases.Life) -> None:
        epoch = self.epoch
        async with self._grantor.lock_of(life):
            for one in list(self.services[service].key_map.ranges):
                if leases.life_of(one.owner) != life:
                    continue
                if one.source != ranges.NOBODY:
                    continue
                placement = self._placement(service, life)
                if placement is None or epoch != self.epoch:
                    return
                if not self._still_owned(service, one):
                    continue
                if not self._grantor.is_same_life(
                    placement.recipient, placement.heard
                ):
                    await self._grantor.check_reachable(placement.recipient)
                    self._plan_if_silent(life)
                    return
                if not await self._renew_range(placement, one):
                    return

    async def _renew_range(
        self, placement: Placement, key_range: ranges.KeyRange
    ) -> bool:
        recipient = placement.recipient
        result = await self._grantor.grant(recipient, key_range, None)
        if result is None:
            return False
        if result.reply is ports.Reply.DONE:
            return True
        if result.reply is ports.Reply.FENCED:
            self.lose_leadership(
                f"a higher fence was used at {recipient.server_id}"
            )
        else:
            self._plan_if_silent(recipient[:2])
        return False

    def _plan_if_silent(self, life: leases.Life) -> None:
        if self._grantor.is_silent(life):
            self.request_plan()

    def _still_owned(self, service: str, one: ranges.KeyRange) -> bool:
        return self.services[service].key_map.find(one.first) == one

    def _placement(self, service: str, life: leases.Life) -> Placement | None:
        placement = self._fleet.placement(service, life[0])
        if placement is None or placement.holder.incarnation != life[1]:
            return None
        return placement

    # Plans

    def _named_lives(self) -> set[leases.Life]:
        named: set[leases.Life] = set()
        for state in self.services.values():
            for one in state.key_map.ranges:
                named.add(leases.life_of(one.owner))
                named.add(leases.life_of(one.source))
        named.discard(leases.life_of(ranges.NOBODY))
        return named

    def _placed_lives(self) -> set[leases.Life]:
        return {
            placement.recipient[:2]
            for service in self._fleet.services()
            for placement in self._fleet.placements(service).values()
        }

    async def _plan_all(self, tasks: typing.Any) -> None:
        now = self._now()
        for service in self._fleet.services():
            state = self.services.get(service)
            if state is None:
                state = ServiceState(ranges.RangeMap(), now)
                self.services[service] = state
            await self._plan(service, state, tasks)
        self._grantor.forget(self._named_lives(), self._placed_lives())

    async def _plan(
        self, service: str, state: ServiceState, tasks: typing.Any
    ) -> None:
        now = self._now()
        placements = self._fleet.placements(service)
        if not self._is_ready(state, placements, now):
            return
        state.heat.advance(now)
        holders = {
            name: self._with_silence(one.holder)
            for name, one in placements.items()
        }

        def is_frozen(one: ranges.KeyRange) -> bool:
            return (service, one.first, one.last) in self._moving

        self._resume_moves(service, state, tasks)
        moves = planner.plan(state.key_map, holders, state.heat, is_frozen)
        if moves:
            await self._start_moves(service, state, moves, holders, tasks)

    def _is_ready(
        self,
        state: ServiceState,
        placements: dict[str, Placement],
        now: float,
    ) -> bool:
        if state.has_owners:
            return True
        if not placements:
            return False
        if state.first_seen is None:
            state.first_seen = now
        if now < state.first_seen + FIRST_SERVERS_SECONDS:
            return False
        state.has_owners = True
        return True

    def _with_silence(self, holder: planner.Holder) -> planner.Holder:
        if not self._grantor.is_silent((holder.id, holder.incarnation)):
            return holder
        return holder._replace(can_take=False, must_leave=True)

    async def _start_moves(
        self,
        service: str,
        state: ServiceState,
        moves: list[planner.Move],
        holders: dict[str, planner.Holder],
        tasks: typing.Any,
    ) -> None:
        changes = []
        for move in moves:
            target = holders[move.target]
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
        self._publish()
        for change in changes:
            self._start_move(service, change, tasks)

    def _start_move(
        self, service: str, change: ranges.KeyRange, tasks: typing.Any
    ) -> None:
        self._moving[service, change.first, change.last] = None
        tasks.start_soon(self._move, service, change)

    def _resume_moves(
        self, service: str, state: ServiceState, tasks: typing.Any
    ) -> None:
        """Go on with moves that a predecessor began."""
        for one in state.key_map.ranges:
            if one.source == ranges.NOBODY:
                continue
            if (service, one.first, one.last) not in self._moving:
                self._start_move(service, one, tasks)

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
            self.tenure.confirm(sent)
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

    # Moves

    async def _move(self, service: str, change: ranges.KeyRange) -> None:
        try:
            await self._carry_out(service, change, self.epoch)
        finally:
            self._moving.pop((service, change.first, change.last), None)

    async def _carry_out(
        self, service: str, change: ranges.KeyRange, epoch: int
    ) -> None:
        handover = None
        started = self._now()
        if change.source != ranges.NOBODY:
            await anyio.sleep(SETTLE_SECONDS)
            handover = await self._take_back(service, change, epoch)
        target = leases.life_of(change.owner)
        while epoch == self.epoch and self.is_active:
            placement = self._placement(service, target)
            if placement is None:
                break
            async with self._grantor.lock_of(target):
                result = await self._grantor.grant(
                    placement.recipient, change, handover
                )
            if result is None:
                return
            if result.reply is ports.Reply.FENCED:
                self.lose_leadership(f"a higher fence was used at {target[0]}")
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
        if epoch != self.epoch:
            return
        state = self.services[service]
        if not self._still_owned(service, change):
            return
        state.key_map = state.key_map.replace(
            [change._replace(source=ranges.NOBODY)]
        )
        self._publish()
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
            rate=round(state.heat.rate(change.first, change.last), 1),
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
        while epoch == self.epoch:
            if self._now() >= held_until or self._fleet.is_replaced(life):
                return None
            placement = self._placement(service, life)
            if placement is None or not self.is_active:
                # A release is never refused, so one that is sent after the
                # tenure could undo a successor's grant.
                await anyio.sleep(RETRY_SECONDS)
                continue
            left = max(0.01, held_until - self._now())
            result = await self._orders.release(
                placement.recipient, order, min(RELEASE_TIMEOUT, left)
            )
            if result.reply is ports.Reply.DONE:
                return result.handover
            await anyio.sleep(min(RETRY_SECONDS, max(0.0, left)))
        return None
