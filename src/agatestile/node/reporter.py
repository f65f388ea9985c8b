"""Reports of a host to the coordinator, whose answers it takes."""

from __future__ import annotations

import collections
import math
import typing

import anyio
import msgspec

from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.node import leadership
from agatestile.node import messages as peer_messages
from agatestile.node import peers
from agatestile.observability import events
from agatestile.results import outcomes
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.entry import fleet as fleet_module
    from agatestile.entry import view as view_module
    from agatestile.store import port
    from agatestile.transport import client

REPORT_TIMEOUT_SECONDS = 1.0
"""Longest wait for the coordinator's answer, seconds."""

LEADER_CHECK_INTERVAL_SECONDS = 0.7
"""Interval of looking for another leader while none is confirmed."""

STORED_READ_INTERVAL_SECONDS = 1.0
"""Interval of reads of the stored assignment while the coordinator can't be
reached although the store confirms it."""

SEARCH_PAUSE_SECONDS = 0.3
"""Pause between searches for the coordinator."""

RELAY_MAX_AGE_SECONDS = 1.0
"""Age of the last confirmed instructions from which a host reads service
discovery itself."""


class Reporter:
    """Reports to the coordinator and takes its assignment.

    Parameters
    ----------
    pool : client.Pool
        Connections to other hosts.
    store : port.Store
        Tells who is the leader.
    fleet : fleet.Fleet
        Gives what this host measured.
    view : view.AssignmentView
        Takes the assignment.
    member : str
        Peer address of this host.
    seeds : tuple of str
        Peer addresses to ask first.
    elector : leadership.LeaderElector
        Stands for the leadership if nobody has it.
    now : callable
        The runtime's clock, seconds.

    Attributes
    ----------
    member : str
        Peer address of this host.
    coordinator : str
        Peer address of the coordinator, empty while it is unknown.
    """

    def __init__(
        self,
        pool: client.Pool,
        store: port.Store,
        fleet: fleet_module.Fleet,
        view: view_module.AssignmentView,
        member: str,
        seeds: tuple[str, ...],
        elector: leadership.LeaderElector,
        now: typing.Callable[[], float],
    ) -> None:
        self._elector = elector
        self._now = now
        self._checked = 0.0
        self._pool = pool
        self._store = store
        self._fleet = fleet
        self._view = view
        self.member = member
        self._seeds = [seed for seed in seeds if seed != member]
        self._local: peers.PeerService | None = None
        self._requests: dict[str, collections.Counter[int]] = {}
        self._changed = anyio.Event()
        self._has_coordinator = False
        self._directory_version = 0
        self._directory_epoch = 0
        self._relayed_at = -math.inf
        self._operator_end = 0
        self._lost = ""
        self._stored_at = -math.inf
        self.coordinator = ""

    def set_local_service(self, service: peers.PeerService) -> None:
        """Set the service that answers if this host leads."""
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
                self.coordinator = self.member
                self._take(await self._local.handle_report(report))
                continue
            if not await self._send(report):
                self._return(report)
                await self._search()
                await anyio.sleep(SEARCH_PAUSE_SECONDS)

    async def _send(self, report: peer_messages.Report) -> bool:
        target = self.coordinator
        if not target or target == self.member:
            return False
        answer = await self._ask(target, report)
        if isinstance(answer, peer_messages.ReportResponse):
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
        if self._now() < self._stored_at + STORED_READ_INTERVAL_SECONDS:
            return
        self._stored_at = self._now()
        page = await self._store.read_newest(records.TOPIC)
        if isinstance(page, outcomes.Refusal):
            return
        stored = records.decode(page)
        if isinstance(stored, str):
            events.emit("assignment_unreadable", reason=stored)
            return
        self._view.load_stored(stored.leadership.epoch, stored.maps)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _ask(
        self, target: str, report: peer_messages.Report
    ) -> peer_messages.ReportResponse | str:
        host, _, port = target.rpartition(":")
        request = messages.Request(
            b"POST", peers.REPORT_TARGET, [], msgspec.msgpack.encode(report)
        )
        answer = await self._pool.call(
            (host, int(port)), request, REPORT_TIMEOUT_SECONDS
        )
        if isinstance(answer, messages.Failure):
            return answer.reason
        try:
            if answer.status == 200:
                return msgspec.msgpack.decode(
                    answer.body, type=peer_messages.ReportResponse
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
        """Look for another leader while the store can't confirm this one."""
        if self._now() < self._checked + LEADER_CHECK_INTERVAL_SECONDS:
            return
        self._checked = self._now()
        await self._find_member()

    async def _find_member(self) -> str | None | outcomes.Refusal:
        found = await self._store.member_of(
            leadership.GROUP, leadership.LEADER_PARTITION
        )
        if isinstance(found, str):
            self.coordinator = found
        elif found is None:
            self._elector.campaign()
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

    def _take(self, instructions: peer_messages.ReportResponse) -> None:
        self._fleet.update_host_count(instructions.host_count, self._now())
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
        return self._now() < self._relayed_at + RELAY_MAX_AGE_SECONDS

    def operator_end(self) -> int | None:
        """Return the end of the coordinator's reads of operators' records.

        Returns
        -------
        int or None
            None without news of the coordinator.
        """
        return self._operator_end if self.is_relayed() else None

    def _take_servers(
        self, instructions: peer_messages.ReportResponse
    ) -> None:
        now = self._now()
        servers = self._fleet.directory
        for relayed in instructions.servers:
            servers.put(relayed.entry(), now)
            if relayed.leaving_age is not None:
                servers.mark_leaving(
                    relayed.id, now - relayed.leaving_age, relayed.is_missing
                )
        self._directory_version = instructions.directory
        self._directory_epoch = instructions.epoch
        self._operator_end = instructions.operator_end
        if instructions.is_confirmed:
            self._relayed_at = now

    def _report(self) -> peer_messages.Report:
        requests, self._requests = self._requests, {}
        return peer_messages.Report(
            self.member,
            self._view.epoch,
            self._view.version,
            self._known_directory(),
            {name: dict(counts) for name, counts in requests.items()},
            self._fleet.take_samples(),
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
