"""The simulated world: servers, links, the store, and events that strike."""

from __future__ import annotations

import bisect
import collections
import math
import random
import typing

import trio

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from bench.explorer import schedule as schedule_module
from bench.explorer import servers as servers_module

if typing.TYPE_CHECKING:
    from bench.explorer import hosts

ENTRY_SECONDS = 2.4
"""Time without a heartbeat after which the store drops an entry."""

FIRST_ERA = 1
HEARTBEAT_SECONDS = 0.8

REPORT_DELAYS_SECONDS = (0.9, 6.0)
"""Delays of reports that the store carries out late."""

SLOWEST_CLOCK_RATE = 1.02
STORE_UNAVAILABLE = outcomes.Refusal(
    codes.ResultCode.LOG_UNAVAILABLE, "the store can't be reached"
)


class Store:
    """One topic, one group and the entries of servers; linearizable."""

    def __init__(self) -> None:
        self.records: list[port.Record] = []
        self.era = FIRST_ERA
        self.generation = 0
        self._appended_at: list[float] = []
        self._expiry_by_member: dict[str, float] = {}
        self._entry_by_server: dict[str, servers_module.Entry] = {}

    def newest(self) -> port.Page:
        by_key = {record.key: record for record in self.records}
        return port.Page(
            list(by_key.values()), len(self.records), era=self.era
        )

    def since(self, start: int) -> port.Page | outcomes.Refusal:
        if start > len(self.records):
            return outcomes.Refusal(
                codes.ResultCode.LOG_HISTORY_GONE, "no such offset"
            )
        return port.Page(self.records[start:], len(self.records), era=self.era)

    def restore(self, age: float) -> None:
        """Return to the copy of some seconds ago, without any members."""
        copied_at = trio.current_time() - age
        self.truncate(bisect.bisect_right(self._appended_at, copied_at))

    def truncate(self, end: int) -> None:
        """Return to the copy that ends at an offset, without any members."""
        del self.records[end:]
        del self._appended_at[end:]
        self._expiry_by_member.clear()
        self.generation = 0
        self.era += 1

    def append(
        self, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        if expected_end != len(self.records):
            return outcomes.Refusal(codes.ResultCode.RECORD_STALE, "moved on")
        self.records += records
        self._appended_at += [trio.current_time()] * len(records)
        return len(self.records)

    def join(self, member: str, ttl: float) -> port.Membership:
        self._expire()
        if member not in self._expiry_by_member:
            self.generation += 1
        self._expiry_by_member[member] = trio.current_time() + ttl
        partitions = frozenset((0,) if self.member() == member else ())
        return port.Membership(self.generation, partitions, self.era)

    def leave(self, member: str) -> None:
        if self._expiry_by_member.pop(member, None) is not None:
            self.generation += 1

    def member(self) -> str | None:
        """Return the member that has the partition."""
        self._expire()
        return next(iter(self._expiry_by_member), None)

    def revoke(self) -> None:
        """Take the partition away without any request."""
        self._expiry_by_member.clear()
        self.generation += 1

    def write_entry(self, entry: servers_module.Entry) -> None:
        self._entry_by_server[entry.server] = entry

    def entries(self) -> dict[str, servers_module.Entry]:
        now = trio.current_time()
        return {
            name: entry
            for name, entry in self._entry_by_server.items()
            if now < entry.expires_at
        }

    def _expire(self) -> None:
        now = trio.current_time()
        for member, expires_at in list(self._expiry_by_member.items()):
            if now >= expires_at:
                self.leave(member)


class Link:
    """Faults that begin now and end at a time, by what they strike."""

    def __init__(self) -> None:
        self._until_by_key: dict[typing.Hashable, float] = {}

    def fail(self, key: typing.Hashable, seconds: float) -> None:
        until = trio.current_time() + seconds
        self._until_by_key[key] = max(until, self.fails_until(key))

    def fails(self, key: typing.Hashable) -> bool:
        return trio.current_time() < self.fails_until(key)

    def fails_until(self, key: typing.Hashable) -> float:
        return self._until_by_key.get(key, -math.inf)

    def end(self, key: typing.Hashable) -> None:
        self._until_by_key.pop(key, None)


class World:
    """Everything outside the hosts.

    Parameters
    ----------
    schedule : schedule.Schedule
        Events, and the seed of what else is random.
    tasks : trio.Nursery
        Runs what goes on whatever happens to its sender.
    """

    def __init__(
        self, schedule: schedule_module.Schedule, tasks: trio.Nursery
    ) -> None:
        self.schedule = schedule
        self.tasks = tasks
        self.store = Store()
        self.log: list[str] = []
        self.hosts: dict[str, hosts.Host] = {}
        draw = self.random("clocks")
        self.servers = {
            name: servers_module.Server(
                name, draw.choice((1.0, SLOWEST_CLOCK_RATE))
            )
            for name in schedule_module.SERVERS
        }
        self.store_cuts = Link()
        self.slow_stores = Link()
        self.delayed_appends = Link()
        self.late_reports = Link()
        self.held_appends = Link()
        self.held_end: int | None = None
        self.server_cuts = Link()
        self.host_cuts = Link()
        self.delayed_orders = Link()
        self.lags = Link()
        self.mutings = Link()
        self.suspensions = Link()
        self.hesitations = Link()
        self.full_links = Link()
        self.queue_by_host: dict[str, float] = {}
        self.last_departure_by_host: dict[str, float] = (
            collections.defaultdict(lambda: -math.inf)
        )

    def random(self, name: str) -> random.Random:
        """Return draws that other parts of the world don't change."""
        return random.Random(f"{self.schedule.seed} {name}")

    def note(self, text: str) -> None:
        self.log.append(f"{trio.current_time():7.3f} {text}")

    async def run(self) -> None:
        """Play the schedule."""
        for server in self.servers.values():
            self.tasks.start_soon(self._register, server)
        for event in self.schedule.events:
            await trio.sleep_until(event.at)
            for target in self._resolve(event.target):
                self.note(f"{event.kind} {target} {event[3:]}")
                handler: typing.Callable[..., None] = getattr(
                    self, f"_{event.kind}"
                )
                handler(event._replace(target=target))

    def _resolve(self, target: str) -> list[str]:
        """Return the servers or hosts that an event strikes."""
        if target not in (schedule_module.LEADER, schedule_module.FOLLOWERS):
            return [target]
        epochs = {
            name: host.coordinator.epoch for name, host in self.hosts.items()
        }
        leader = max(epochs, key=lambda name: epochs[name])
        if not epochs[leader]:
            return []
        if target == schedule_module.LEADER:
            return [leader]
        return [name for name in epochs if name != leader]

    async def _register(self, server: servers_module.Server) -> None:
        draw = self.random(f"heartbeats {server.name}")
        await trio.sleep(draw.uniform(0.0, HEARTBEAT_SECONDS))
        while True:
            if (
                server.is_running()
                and trio.current_time() >= server.unregistered_until
                and not self.store_cuts.fails("all")
            ):
                server.seq += 1
                entry = servers_module.Entry(
                    server.name,
                    server.life,
                    server.seq,
                    server.capacity,
                    trio.current_time() + ENTRY_SECONDS,
                )
                if self.late_reports.fails(server.name):
                    delay = draw.uniform(*REPORT_DELAYS_SECONDS)
                    self.tasks.start_soon(self._write_late, entry, delay)
                else:
                    self.store.write_entry(entry)
            await trio.sleep(HEARTBEAT_SECONDS * draw.uniform(0.95, 1.05))

    async def _write_late(
        self, entry: servers_module.Entry, delay: float
    ) -> None:
        await trio.sleep(delay)
        expires_at = trio.current_time() + ENTRY_SECONDS
        self.store.write_entry(entry._replace(expires_at=expires_at))

    def departure_of(self, host: str) -> float:
        """Return when bytes leave a host, which is in their sequence."""
        now = trio.current_time()
        left = self.full_links.fails_until(host) - now
        queue = max(0.0, min(self.queue_by_host.get(host, 0.0), left))
        at = max(now + queue, self.last_departure_by_host[host])
        self.last_departure_by_host[host] = at
        return at

    # Events

    def _restart(self, event: schedule_module.Event) -> None:
        async def start() -> None:
            await trio.sleep(event.seconds)
            server.is_up = True

        server = self.servers[event.target]
        if server.is_up:
            server.stop()
            self.tasks.start_soon(start)

    def _pause(self, event: schedule_module.Event) -> None:
        server = self.servers[event.target]
        until = trio.current_time() + event.seconds
        server.paused_until = max(server.paused_until, until)

    def _block(self, event: schedule_module.Event) -> None:
        self._pause(event)
        server = self.servers[event.target]
        until = trio.current_time() + event.seconds
        server.blocked_until = max(server.blocked_until, until)

    def _lag(self, event: schedule_module.Event) -> None:
        self.lags.fail(event.target, event.seconds)

    def _mute(self, event: schedule_module.Event) -> None:
        self.mutings.fail(event.target, event.seconds)

    def _cut_store(self, event: schedule_module.Event) -> None:
        self.store_cuts.fail(event.target, event.seconds)

    def _stop_store(self, event: schedule_module.Event) -> None:
        self.store_cuts.fail("all", event.seconds)

    def _restore_store(self, event: schedule_module.Event) -> None:
        """Stop the store, and start it from a copy of before the stop."""

        async def start() -> None:
            await trio.sleep(event.seconds)
            self.store.restore(event.seconds + event.amount)
            self.note(f"store in era {self.store.era}")

        self.store_cuts.fail("all", event.seconds)
        self.tasks.start_soon(start)

    def _restore_before_held(self, event: schedule_module.Event) -> None:
        """Stop the store, and start it from a copy older than a held append.

        The copy lacks some records before the offset at which that append is
        carried out.
        """

        async def start() -> None:
            await trio.sleep(event.seconds)
            if self.held_end is not None:
                self.store.truncate(max(0, self.held_end - int(event.amount)))
                self.note(f"store in era {self.store.era}")

        self.store_cuts.fail("all", event.seconds)
        self.tasks.start_soon(start)

    def _delay_reports(self, event: schedule_module.Event) -> None:
        self.late_reports.fail(event.target, event.seconds)

    def _slow_store(self, event: schedule_module.Event) -> None:
        self.slow_stores.fail(event.target, event.seconds)

    def _delay_appends(self, event: schedule_module.Event) -> None:
        self.delayed_appends.fail(event.target, event.seconds)

    def _hold_append(self, event: schedule_module.Event) -> None:
        self.held_appends.fail(event.target, event.seconds)

    def _revoke(self, event: schedule_module.Event) -> None:
        self.store.revoke()

    def _cut_link(self, event: schedule_module.Event) -> None:
        self.server_cuts.fail((event.target, event.peer), event.seconds)

    def _cut_hosts(self, event: schedule_module.Event) -> None:
        self.host_cuts.fail(
            frozenset((event.target, event.peer)), event.seconds
        )

    def _delay_orders(self, event: schedule_module.Event) -> None:
        self.delayed_orders.fail(event.target, event.seconds)

    def _cut_registration(self, event: schedule_module.Event) -> None:
        server = self.servers[event.target]
        until = trio.current_time() + event.seconds
        server.unregistered_until = max(server.unregistered_until, until)

    def _change_capacity(self, event: schedule_module.Event) -> None:
        self.servers[event.target].capacity = event.amount

    def _change_work(self, event: schedule_module.Event) -> None:
        self.servers[event.target].work_seconds = event.amount

    def _kill(self, event: schedule_module.Event) -> None:
        self.hosts[event.target].kill(event.seconds)

    def _suspend(self, event: schedule_module.Event) -> None:
        self.suspensions.fail(event.target, event.seconds)

    def _hesitate(self, event: schedule_module.Event) -> None:
        self.hesitations.fail(event.target, event.seconds)

    def _fill_link(self, event: schedule_module.Event) -> None:
        self.full_links.fail(event.target, event.seconds)
        self.queue_by_host[event.target] = event.amount
