"""Reports of hosts to the coordinator, and its answers."""

from __future__ import annotations

import collections
import math
import typing

import anyio
import msgspec

from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.node import messages as peer_messages
from agatestile.node import seat
from agatestile.observability import events
from agatestile.results import outcomes
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.assignment import coordinator as coordinator_module
    from agatestile.entry import fleet as fleet_module
    from agatestile.store import port
    from agatestile.transport import client

REPORT_SECONDS = 0.25
"""Longest interval of reports. The coordinator answers at once if the
assignment changes."""

REPORT_TIMEOUT = 1.0
"""Longest wait for the coordinator's answer, seconds."""

CHECK_SECONDS = 0.7
"""Interval of looking for another holder of an unconfirmed seat."""

STORED_SECONDS = 1.0
"""Interval of reads of the stored assignment while the coordinator can't be
reached although the store confirms it."""

SEARCH_SECONDS = 0.3
"""Pause between searches for the coordinator."""

RELAY_SECONDS = 1.0
"""Age of the last confirmed instructions from which a host reads service
discovery itself."""

MEMBER_SECONDS = 12.0
"""Silence after which a host does not count as a member any more. A host
that is only cut off from the coordinator goes on sending to servers."""

SUPERSEDE_TIMEOUT = 0.6
"""Longest wait for the earlier holder of the seat, seconds."""

REPORT_TARGET = b"/report"
SUPERSEDE_TARGET = b"/supersede"


class PeerService:
    """Answers other hosts.

    Parameters
    ----------
    coordinator : coordinator.Coordinator
        Decides if this host has the seat.
    fleet : fleet.Fleet
        Takes what other hosts measured.
    reporter : Reporter
        Knows the coordinator if it is another host.
    is_confirmed : callable
        Tells whether the store answered this host lately.
    operator_end : callable
        Returns where the reads of the operator's records ended.
    now : callable
        The runtime's clock, seconds.
    """

    def __init__(
        self,
        coordinator: coordinator_module.Coordinator,
        fleet: fleet_module.Fleet,
        reporter: Reporter,
        is_confirmed: typing.Callable[[], bool],
        operator_end: typing.Callable[[], int],
        now: typing.Callable[[], float],
    ) -> None:
        self._operator_end = operator_end
        self._is_confirmed = is_confirmed
        self._coordinator = coordinator
        self._fleet = fleet
        self._reporter = reporter
        self._now = now
        self._seen_by_host: dict[str, float] = {}

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Answer a report."""
        if request.target == SUPERSEDE_TARGET:
            return self._supersede(request)
        if request.target != REPORT_TARGET:
            return messages.Answer(404, [], b"")
        try:
            report = msgspec.msgpack.decode(
                request.body, type=peer_messages.Report
            )
        except msgspec.DecodeError as error:
            events.emit("report_unreadable", reason=str(error))
            return messages.Answer(400, [], b"")
        if not self._coordinator.is_active:
            redirect = peer_messages.Redirect(self._reporter.coordinator)
            return messages.Answer(503, [], msgspec.msgpack.encode(redirect))
        instructions = await self.answer(report)
        return messages.Answer(200, [], msgspec.msgpack.encode(instructions))

    def _supersede(self, request: messages.Request) -> messages.Answer:
        try:
            told = msgspec.msgpack.decode(
                request.body, type=peer_messages.Supersede
            )
        except msgspec.DecodeError as error:
            events.emit("report_unreadable", reason=str(error))
            return messages.Answer(400, [], b"")
        answered = self._coordinator.supersede(told.epoch)
        reply = peer_messages.Superseded(answered.was_holder, answered.holds)
        return messages.Answer(200, [], msgspec.msgpack.encode(reply))

    async def answer(
        self, report: peer_messages.Report
    ) -> peer_messages.Instructions:
        """Take a report and return the assignment once it is newer."""
        now = self._now()
        self._seen_by_host[report.host] = now
        for service, counts in report.requests.items():
            self._coordinator.add_heat(service, counts)
        for server_id, figures in report.servers.items():
            self._fleet.blend(
                server_id,
                figures.service_time,
                figures.failure_share,
                figures.answered,
            )
        if report.epoch > self._coordinator.epoch:
            self._coordinator.lose_seat(f"{report.host} knows a later one")
        if report.epoch == self._coordinator.epoch:
            await self._coordinator.wait_changed(
                report.version, REPORT_SECONDS
            )
        return self._instructions(report)

    def _instructions(
        self, report: peer_messages.Report
    ) -> peer_messages.Instructions:
        coordinator = self._coordinator
        known = (report.epoch, report.version)
        services = None
        if known != (coordinator.epoch, coordinator.version):
            services = {
                name: records.ServiceRanges.from_map(state.key_map)
                for name, state in coordinator.services.items()
            }
        members = self._members()
        servers = self._fleet.directory
        now = self._now()
        known_directory = report.directory
        if report.epoch != coordinator.epoch:
            known_directory = 0
        return peer_messages.Instructions(
            coordinator.epoch,
            coordinator.version,
            len(members),
            members.index(report.host),
            self._is_confirmed(),
            self._operator_end(),
            servers.version,
            [
                peer_messages.RelayedServer.from_server(
                    server, servers.is_missing(server.entry.id), now
                )
                for server in servers.changed_after(known_directory)
            ],
            services,
        )

    def _members(self) -> list[str]:
        now = self._now()
        for host, seen in list(self._seen_by_host.items()):
            if now - seen > MEMBER_SECONDS:
                del self._seen_by_host[host]
        return sorted(self._seen_by_host)


class Hosts:
    """Calls to other hosts that the coordinator makes.

    Parameters
    ----------
    pool : client.Pool
        Connections to other hosts.
    """

    def __init__(self, pool: client.Pool) -> None:
        self._pool = pool

    async def supersede(self, host: str, epoch: int) -> ports.Answered | None:
        """Tell a host that it lost the seat; None without an answer."""
        ip, _, port_text = host.rpartition(":")
        body = msgspec.msgpack.encode(peer_messages.Supersede(epoch))
        answer = await self._pool.call(
            (ip, int(port_text)),
            messages.Request(b"POST", SUPERSEDE_TARGET, [], body),
            SUPERSEDE_TIMEOUT,
        )
        if isinstance(answer, messages.Failure) or answer.status != 200:
            return None
        try:
            reply = msgspec.msgpack.decode(
                answer.body, type=peer_messages.Superseded
            )
        except msgspec.DecodeError as error:
            events.emit("report_unreadable", reason=str(error))
            return None
        return ports.Answered(reply.was_holder, reply.holds)


class Reporter:
    """Reports to the coordinator and takes its assignment.

    Parameters
    ----------
    pool : client.Pool
        Connections to other hosts.
    store : port.Store
        Tells who has the seat.
    fleet : fleet.Fleet
        Gives what this host measured.
    view : fleet.AssignmentView
        Takes the assignment.
    member : str
        Peer address of this host.
    seeds : tuple of str
        Peer addresses to ask first.
    seat_keeper : seat.SeatKeeper
        Stands for the seat if nobody has it.
    now : callable
        The runtime's clock, seconds.

    Attributes
    ----------
    coordinator : str
        Peer address of the coordinator, empty while it is unknown.
    """

    def __init__(
        self,
        pool: client.Pool,
        store: port.Store,
        fleet: fleet_module.Fleet,
        view: fleet_module.AssignmentView,
        member: str,
        seeds: tuple[str, ...],
        seat_keeper: seat.SeatKeeper,
        now: typing.Callable[[], float],
    ) -> None:
        self._seat = seat_keeper
        self._now = now
        self._checked = 0.0
        self._pool = pool
        self._store = store
        self._fleet = fleet
        self._view = view
        self._member = member
        self._seeds = [seed for seed in seeds if seed != member]
        self._local: PeerService | None = None
        self._requests: dict[str, collections.Counter[int]] = {}
        self._answered: dict[str, int] = {}
        self._changed = anyio.Event()
        self._has_coordinator = False
        self._directory_version = 0
        self._directory_epoch = 0
        self._relayed_at = -math.inf
        self._operator_end = 0
        self._lost = ""
        self._stored_at = -math.inf
        self.coordinator = ""

    def set_local(self, service: PeerService) -> None:
        """Set the service that answers if this host has the seat."""
        self._local = service

    def count(self, service: str, key: int) -> None:
        """Count a request for a key."""
        counts = self._requests.get(service)
        if counts is None:
            counts = self._requests[service] = collections.Counter()
        counts[key] += 1

    async def wait_changed(self, timeout: float) -> bool:
        """Wait for a newer assignment; return whether it came."""
        changed = self._changed
        with anyio.move_on_after(timeout):
            await changed.wait()
            return True
        return False

    async def run(self, is_coordinator: typing.Callable[[], bool]) -> None:
        """Report until cancelled."""
        while True:
            report = self._report()
            if is_coordinator() and self._local is not None:
                self.coordinator = self._member
                self._take(await self._local.answer(report))
                continue
            if not await self._send(report):
                self._return(report)
                await self._search()
                await anyio.sleep(SEARCH_SECONDS)

    async def _send(self, report: peer_messages.Report) -> bool:
        target = self.coordinator
        if not target or target == self._member:
            return False
        answer = await self._ask(target, report)
        if isinstance(answer, peer_messages.Instructions):
            if not self._has_coordinator:
                self._has_coordinator = True
                events.emit(
                    "dependency_regained",
                    dependency="coordinator",
                    coordinator=target,
                )
            self._take(answer)
            self._take_servers(answer)
            if not answer.is_confirmed:
                await self._check()
            return True
        if self._has_coordinator:
            self._has_coordinator = False
            events.emit(
                "dependency_lost", dependency="coordinator", reason=answer
            )
        self._lost = target
        self.coordinator = ""
        return False

    async def _read_stored(self) -> None:
        """Read the assignment, as its coordinator can't be reached."""
        if self._now() < self._stored_at + STORED_SECONDS:
            return
        self._stored_at = self._now()
        page = await self._store.newest(records.TOPIC)
        if isinstance(page, outcomes.Refusal):
            return
        stored = records.decode(page)
        if isinstance(stored, str):
            events.emit("assignment_unreadable", reason=stored)
            return
        self._view.take_stored(stored.seat.epoch, stored.maps)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _ask(
        self, target: str, report: peer_messages.Report
    ) -> peer_messages.Instructions | str:
        host, _, port = target.rpartition(":")
        request = messages.Request(
            b"POST", REPORT_TARGET, [], msgspec.msgpack.encode(report)
        )
        answer = await self._pool.call(
            (host, int(port)), request, REPORT_TIMEOUT
        )
        if isinstance(answer, messages.Failure):
            return answer.reason
        try:
            if answer.status == 200:
                return msgspec.msgpack.decode(
                    answer.body, type=peer_messages.Instructions
                )
            redirect = msgspec.msgpack.decode(
                answer.body, type=peer_messages.Redirect
            )
        except msgspec.DecodeError as error:
            return f"unreadable answer: {error}"
        if redirect.coordinator and redirect.coordinator != target:
            self._seeds.insert(0, redirect.coordinator)
            del self._seeds[8:]
        return f"{target} is not the coordinator"

    async def _check(self) -> None:
        """Look for another holder of a seat that the store can't confirm."""
        if self._now() < self._checked + CHECK_SECONDS:
            return
        self._checked = self._now()
        await self._find_member()

    async def _find_member(self) -> str | None | outcomes.Refusal:
        found = await self._store.member_of(seat.GROUP, seat.SEAT_PART)
        if isinstance(found, str):
            self.coordinator = found
        elif found is None:
            self._seat.stand()
        return found

    async def _search(self) -> None:
        """Find the coordinator in the store, else among known hosts."""
        lost = self._lost
        found = await self._find_member()
        if isinstance(found, str) and found == lost:
            await self._read_stored()
        if isinstance(found, outcomes.Refusal) and self._seeds:
            seed = self._seeds.pop(0)
            self._seeds.append(seed)
            self.coordinator = seed

    def _take(self, instructions: peer_messages.Instructions) -> None:
        self._fleet.host_count = max(1, instructions.host_count)
        self._fleet.host_rank = instructions.host_rank
        if instructions.services is None:
            return
        maps: dict[str, ranges.RangeMap] = {}
        try:
            for name, stored in instructions.services.items():
                maps[name] = stored.to_map()
        except ValueError as error:
            events.emit("assignment_unreadable", reason=str(error))
            return
        if self._view.update(
            instructions.epoch, instructions.version, maps, self._now()
        ):
            self._notify()

    def is_relayed(self) -> bool:
        """Tell whether the coordinator tells of all servers."""
        return self._now() < self._relayed_at + RELAY_SECONDS

    def operator_end(self) -> int | None:
        """Return the end of the coordinator's reads of operators' records.

        Returns
        -------
        int or None
            None without news of the coordinator.
        """
        return self._operator_end if self.is_relayed() else None

    def _take_servers(self, instructions: peer_messages.Instructions) -> None:
        now = self._now()
        servers = self._fleet.directory
        for relayed in instructions.servers:
            servers.put(relayed.entry(), now)
            if relayed.leaving_age is not None:
                servers.leave(
                    relayed.id, now - relayed.leaving_age, relayed.is_missing
                )
        self._directory_version = instructions.directory
        self._directory_epoch = instructions.epoch
        self._operator_end = instructions.operator_end
        if instructions.is_confirmed:
            self._relayed_at = now

    def _report(self) -> peer_messages.Report:
        requests, self._requests = self._requests, {}
        servers = {}
        known = self._fleet.directory.by_id
        for server_id in [one for one in self._answered if one not in known]:
            del self._answered[server_id]
        for server_id, load in self._fleet.loads_by_id().items():
            before = self._answered.get(server_id, 0)
            if load.answered > before:
                self._answered[server_id] = load.answered
                servers[server_id] = peer_messages.ServerFigures(
                    load.service_time,
                    load.failure_share,
                    load.answered - before,
                )
        return peer_messages.Report(
            self._member,
            self._view.epoch,
            self._view.version,
            self._known_directory(),
            {name: dict(counts) for name, counts in requests.items()},
            servers,
        )

    def _known_directory(self) -> int:
        if self._directory_epoch != self._view.epoch:
            return 0
        return self._directory_version

    def _return(self, report: peer_messages.Report) -> None:
        """Keep the counts of a report that was not delivered."""
        for name, counts in report.requests.items():
            kept = self._requests.setdefault(name, collections.Counter())
            if len(kept) < ranges.KEY_COUNT // 16:
                kept.update(counts)
