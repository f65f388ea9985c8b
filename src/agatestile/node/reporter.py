"""Reports of a host to the coordinator and the assignments in response."""

from __future__ import annotations

import collections
import math
import typing

import anyio
import msgspec

from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.entry import server_notices
from agatestile.node import content_history
from agatestile.node import leadership
from agatestile.node import messages as peer_messages
from agatestile.node import peers
from agatestile.node import quota_exchange
from agatestile.node import relayed_directory
from agatestile.observability import events
from agatestile.results import decoding
from agatestile.results import outcomes
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.entry import fleet as fleet_module
    from agatestile.entry import view as view_module
    from agatestile.store import port
    from agatestile.transport import client

REPORT_TIMEOUT_SECONDS = 1.0
"""Longest wait for the coordinator's response."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response of the coordinator, bytes. It has the assignment, the
servers and the operator's records if this host has none of them."""

LEADER_CHECK_INTERVAL_SECONDS = 0.7
"""Interval between searches for another leader while the coordinator is not
confirmed."""

STORED_READ_INTERVAL_SECONDS = 1.0
"""Interval between reads of the stored assignment while the coordinator can't
be reached although the store confirms it."""

SEARCH_PAUSE_SECONDS = 0.3
"""Pause between searches for the coordinator."""

RELAY_MAX_AGE_SECONDS = 1.0
"""Age of the last confirmed response above which a host acts as without a
coordinator."""

DIRECTORY_RELAY_SHARE = 0.6
"""Share of the bound on requests to leaving servers above which the age of
the relayed directory makes a host read service discovery itself."""


class Reporter:
    """Reports to the coordinator and applies its responses.

    Parameters
    ----------
    pool : client.Pool
        Connections to other hosts.
    store : port.Store
        Names the leader and holds the last stored assignment.
    fleet : fleet.Fleet
        Provides the samples of this host and receives the servers.
    view : view.AssignmentView
        Receives the assignment.
    member : str
        Peer address of this host.
    seeds : tuple of str
        Peer addresses to ask while the store does not respond.
    elector : leadership.LeaderElector
        Campaigns for the leadership if no host holds it.
    relay : peers.OperatorRelay
        Operator's records that this host knows.
    now : callable
        Clock of the event loop, in seconds.
    quotas : quota_exchange.QuotaExchange, optional
        Quotas of tenants.

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
        relay: peers.OperatorRelay,
        now: typing.Callable[[], float],
        quotas: quota_exchange.QuotaExchange | None = None,
    ) -> None:
        self._quotas = quotas
        self._relay = relay
        self._elector = elector
        self._now = now
        self._last_leader_check = 0.0
        self._pool = pool
        self._store = store
        self._fleet = fleet
        self._view = view
        self.member = member
        self._seeds = [seed for seed in seeds if seed != member]
        self._local_service: peers.PeerService | None = None
        self._received_assignment = content_history.ContentHistory(1)
        self._decoded_by_service: dict[str, records.DecodedRanges] = {}
        self._requests: dict[str, collections.Counter[int]] = {}
        self._changed = anyio.Event()
        self._has_coordinator = False
        self._last_relayed = -math.inf
        self._relayed_directory = relayed_directory.RelayedDirectory(
            fleet.directory, now
        )
        self._operator_end = 0
        self._coordinator_version: int | None = None
        self._lost_coordinator = ""
        self._last_stored_read = -math.inf
        self.coordinator = ""

    def set_local_service(self, service: peers.PeerService) -> None:
        """Set the service that handles reports while this host leads."""
        self._local_service = service

    def count(self, service: str, key: int) -> None:
        """Count a request for a key of a service."""
        counts = self._requests.get(service)
        if counts is None:
            counts = self._requests[service] = collections.Counter()
        counts[key] += 1

    async def wait_changed(self, timeout: float) -> bool:
        """Wait for a newer assignment; return whether one arrived."""
        changed = self._changed
        with anyio.move_on_after(timeout):
            await changed.wait()
            return True
        return False

    async def run(self, is_coordinator: typing.Callable[[], bool]) -> None:
        """Report until cancelled."""
        while True:
            started = self._now()
            report = self._build_report()
            if is_coordinator() and self._local_service is not None:
                self.coordinator = self.member
                response = await self._local_service.handle_report(report)
                self._apply(response, self._now() - started)
                continue
            if not await self._send(report):
                self._restore_counts(report)
                self._fleet.notices.restore(
                    server_notices.Notices(
                        report.departures, report.rate_limits
                    ),
                    started,
                )
                await self._find_coordinator()
                await anyio.sleep(SEARCH_PAUSE_SECONDS)

    async def _send(self, report: peer_messages.Report) -> bool:
        target = self.coordinator
        if not target or target == self.member:
            return False
        started = self._now()
        response = await self._post_report(target, report)
        if isinstance(response, peer_messages.ReportResponse):
            if not self._has_coordinator:
                self._has_coordinator = True
                events.emit(
                    "dependency_regained",
                    dependency="coordinator",
                    coordinator=target,
                )
            self._apply(response, self._now() - started)
            self._apply_servers(response, started)
            if response.operator is not None:
                self._coordinator_version = response.operator.version
                self._relay.apply_relayed(response.operator, started)
            if not response.is_confirmed:
                await self._check_leader()
            return True
        if self._has_coordinator:
            self._has_coordinator = False
            events.emit(
                "dependency_lost", dependency="coordinator", reason=response
            )
        events.emit(
            "report_failed",
            coordinator=target,
            reason=response,
            seconds=round(self._now() - started, 3),
            relay_age=round(min(self._now() - self._last_relayed, 1e6), 3),
        )
        self._lost_coordinator = target
        self._coordinator_version = None
        self.coordinator = ""
        return False

    async def _read_stored_assignment(self) -> None:
        """Read the stored assignment, as its coordinator is unreachable."""
        if self._now() < self._last_stored_read + STORED_READ_INTERVAL_SECONDS:
            return
        self._last_stored_read = self._now()
        page = await self._store.read_newest(records.TOPIC)
        if isinstance(page, outcomes.Refusal):
            return
        stored = records.decode(page)
        if isinstance(stored, str):
            events.emit("assignment_unreadable", reason=stored)
            return
        self._view.load_stored(stored.leadership.epoch, stored.maps)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _post_report(
        self, target: str, report: peer_messages.Report
    ) -> peer_messages.ReportResponse | str:
        """Send a report; return the response or why there is none."""
        ip, _, port_text = target.rpartition(":")
        request = messages.Request(
            b"POST", peers.REPORT_TARGET, [], peer_messages.encode(report)
        )
        response = await self._pool.call(
            (ip, int(port_text)),
            request,
            REPORT_TIMEOUT_SECONDS,
            connect_timeout=REPORT_TIMEOUT_SECONDS,
            data_timeout=REPORT_TIMEOUT_SECONDS,
            max_body=MAX_RESPONSE_BYTES,
        )
        if isinstance(response, messages.Failure):
            return response.reason
        try:
            if response.status == 200:
                return msgspec.msgpack.decode(
                    response.body, type=peer_messages.ReportResponse
                )
            redirect = msgspec.msgpack.decode(
                response.body, type=peer_messages.Redirect
            )
        except decoding.DECODE_ERRORS as error:
            return f"{target} sent an invalid response: {error}"
        if redirect.coordinator and redirect.coordinator != target:
            self._seeds.insert(0, redirect.coordinator)
            del self._seeds[8:]
        return f"{target} is not the coordinator"

    async def _check_leader(self) -> None:
        """Look up the leader again while the store can't confirm this one."""
        if (
            self._now()
            < self._last_leader_check + LEADER_CHECK_INTERVAL_SECONDS
        ):
            return
        self._last_leader_check = self._now()
        await self._look_up_leader()

    async def _look_up_leader(self) -> str | None | outcomes.Refusal:
        found = await self._store.member_of(
            leadership.GROUP, leadership.LEADER_PARTITION
        )
        if isinstance(found, str):
            self.coordinator = found
        elif found is None:
            self._elector.campaign()
        return found

    async def _find_coordinator(self) -> None:
        """Look up the coordinator in the store, or else try the next seed."""
        lost = self._lost_coordinator
        found = await self._look_up_leader()
        if isinstance(found, str) and found == lost:
            await self._read_stored_assignment()
        if isinstance(found, outcomes.Refusal) and self._seeds:
            seed = self._seeds.pop(0)
            self._seeds.append(seed)
            self.coordinator = seed

    def _apply(
        self, response: peer_messages.ReportResponse, age: float = 0.0
    ) -> None:
        """Apply a response.

        Parameters
        ----------
        response : messages.ReportResponse
            The response.
        age : float
            Time since the report, seconds.
        """
        self._fleet.update_hosts(
            response.host_count, response.host_rank, self._now()
        )
        self._fleet.set_shares(response.shares, age)
        if self._quotas is not None:
            self._quotas.apply(response.quotas)
        self._view.set_admitted_shares(response.admitted_shares, self._now())
        if response.assignment is not None:
            content = self._received_assignment.apply(response.assignment)
        elif response.services is not None:
            # The coordinator runs an earlier release.
            content = msgspec.msgpack.encode(response.services)
        else:
            return
        self._apply_assignment(response, content)

    def _apply_assignment(
        self, response: peer_messages.ReportResponse, content: bytes | str
    ) -> None:
        """Apply an encoded assignment.

        Parameters
        ----------
        response : messages.ReportResponse
            Response with the assignment.
        content : bytes or str
            The assignment, or why it can't be read.
        """
        decoded = _decode_assignment(content, self._decoded_by_service)
        if isinstance(content, str) or isinstance(decoded, str):
            self._received_assignment = content_history.ContentHistory(1)
            events.emit(
                "assignment_unreadable",
                reason=decoded,
                version=response.version,
            )
            return
        maps = {name: one.key_map for name, one in decoded.items()}
        if self._view.update(
            response.epoch, response.version, maps, self._now()
        ):
            self._decoded_by_service = decoded
            # Versions of another coordinator may be lower.
            self._received_assignment = content_history.ContentHistory(1)
            self._received_assignment.add(response.version, content)
            self._notify_waiters()

    def is_directory_relayed(self) -> bool:
        """Return whether the coordinator relays all servers in time."""
        longest = DIRECTORY_RELAY_SHARE * self._fleet.bounds.drain
        return self._now() < self._relayed_directory.confirmed_at + longest

    def is_relayed(self) -> bool:
        """Return whether a confirmed coordinator responded recently."""
        return self._now() < self._last_relayed + RELAY_MAX_AGE_SECONDS

    def operator_end(self) -> int | None:
        """Return how far the coordinator has read the operator's records.

        Returns
        -------
        int or None
            Offset of its next read, None without a recent response.
        """
        return self._operator_end if self.is_relayed() else None

    def _apply_servers(
        self, response: peer_messages.ReportResponse, sent_at: float
    ) -> None:
        self._operator_end = response.operator_end
        if response.is_confirmed:
            self._last_relayed = self._now()
        self._relayed_directory.apply(response, sent_at)

    def _build_report(self) -> peer_messages.Report:
        notices = self._fleet.notices.take()
        requests, self._requests = self._requests, {}
        return peer_messages.Report(
            self.member,
            self._view.epoch,
            self._view.version,
            self._relayed_directory.known_version(self._view.epoch),
            {name: dict(counts) for name, counts in requests.items()},
            self._fleet.take_samples(),
            self._relay.relay_to(self._coordinator_version),
            notices.departures,
            notices.rate_limits,
            self._fleet.take_demand(),
            self._received_assignment_version(),
            self._relayed_directory.reported_age(),
            self._fleet.applied_shares(),
            None if self._quotas is None else self._quotas.report(),
        )

    def _received_assignment_version(self) -> int:
        """Return the version to which a patch can be applied.

        An assignment that was loaded from the store is not one.
        """
        received = self._received_assignment.version
        if received != self._view.version:
            return content_history.NO_VERSION
        return received

    def _restore_counts(self, report: peer_messages.Report) -> None:
        """Add the counts of an undelivered report to the next one."""
        for name, counts in report.requests.items():
            kept = self._requests.setdefault(name, collections.Counter())
            if len(kept) < ranges.KEY_COUNT // 16:
                kept.update(counts)


def _decode_assignment(
    content: bytes | str, earlier: dict[str, records.DecodedRanges]
) -> dict[str, records.DecodedRanges] | str:
    """Return the range maps by service, or why they can't be read.

    Parameters
    ----------
    content : bytes or str
        Encoded assignment, or why there is none.
    earlier : dict of str to records.DecodedRanges
        Range maps whose unchanged ranges are used.
    """
    if isinstance(content, str):
        return content
    try:
        services = msgspec.msgpack.decode(
            content, type=dict[str, records.ServiceRanges]
        )
        return {
            name: records.DecodedRanges(
                stored, stored.to_map(earlier.get(name))
            )
            for name, stored in services.items()
        }
    except decoding.DECODE_ERRORS as error:
        return str(error)
