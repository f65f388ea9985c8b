"""Calls between hosts: the service on each host and its client."""

from __future__ import annotations

import typing

import msgspec

from agatestile.assignment import ports
from agatestile.assignment import records
from agatestile.limits import shares
from agatestile.node import content_history
from agatestile.node import messages as peer_messages
from agatestile.node import quota_exchange
from agatestile.observability import events
from agatestile.results import decoding
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.assignment import coordinator as coordinator_module
    from agatestile.entry import fleet as fleet_module
    from agatestile.node import reporter as reporter_module
    from agatestile.transport import client

REPORT_WAIT_SECONDS = 0.25
"""Longest time for which the coordinator holds a report, and so the longest
interval between reports. It responds at once if the assignment changes."""

HOST_EXPIRY_SECONDS = 12.0
"""Time without a report after which a host no longer counts as a member. It is
long because a host that is only cut off from the coordinator continues to
send requests to servers."""

SUPERSEDE_TIMEOUT_SECONDS = 0.6
"""Longest wait for the previous leader."""

MAX_SUPERSEDE_RESPONSE_BYTES = 4 * 1024 * 1024
"""Largest response of the previous leader, bytes. It has about 40 bytes for
each server."""

RETAINED_ASSIGNMENTS = 16
"""Number of assignments that are kept as bases of patches."""

REPORT_TARGET = b"/report"
SUPERSEDE_TARGET = b"/supersede"


class OperatorRelay(typing.Protocol):
    """Operator's records as hosts relay them to each other."""

    def relay_to(
        self, known_version: int | None
    ) -> peer_messages.OperatorState:
        """Return what this host knows, with a patch for another host."""

    def apply_relayed(
        self, state: peer_messages.OperatorState, sent_at: float
    ) -> None:
        """Apply what another host knew at `sent_at`."""


class Members:
    """Hosts that reported recently, with their places in sorted order.

    Attributes
    ----------
    ranks : dict of str to int
        Index of each host in the sorted addresses of all.
    """

    def __init__(self) -> None:
        # The host that reported longest ago is first.
        self._last_report_by_host: dict[str, float] = {}
        self.ranks: dict[str, int] = {}

    def on_report(self, host: str, now: float) -> None:
        """Record a report of a host."""
        is_new = self._last_report_by_host.pop(host, None) is None
        self._last_report_by_host[host] = now
        if is_new:
            self._update_ranks()

    def expire(self, now: float) -> list[str]:
        """Remove and return the hosts that have not reported for long."""
        expired = []
        for host, last_report in self._last_report_by_host.items():
            if now - last_report <= HOST_EXPIRY_SECONDS:
                break
            expired.append(host)
        if expired:
            for host in expired:
                del self._last_report_by_host[host]
            self._update_ranks()
        return expired

    def _update_ranks(self) -> None:
        hosts = sorted(self._last_report_by_host)
        self.ranks = {host: index for index, host in enumerate(hosts)}


class PeerService:
    """Serves the requests of other hosts.

    Parameters
    ----------
    coordinator : coordinator.Coordinator
        Assigns keys while this host is the leader.
    fleet : fleet.Fleet
        Receives the samples of other hosts.
    reporter : reporter.Reporter
        Knows the coordinator if that is another host.
    is_confirmed : callable
        Returns whether the store responded to this host recently.
    relay : OperatorRelay
        Operator's records that this host knows.
    now : callable
        Clock of the event loop, in seconds.
    quotas : quota_exchange.QuotaExchange, optional
        Quotas of tenants.
    """

    def __init__(
        self,
        coordinator: coordinator_module.Coordinator,
        fleet: fleet_module.Fleet,
        reporter: reporter_module.Reporter,
        is_confirmed: typing.Callable[[], bool],
        relay: OperatorRelay,
        now: typing.Callable[[], float],
        quotas: quota_exchange.QuotaExchange | None = None,
    ) -> None:
        self._quotas = quotas or quota_exchange.QuotaExchange(coordinator)
        self._relay = relay
        self._is_confirmed = is_confirmed
        self._coordinator = coordinator
        self._fleet = fleet
        self._reporter = reporter
        self._now = now
        self._members = Members()
        self._epoch = 0
        self._start_epoch()

    def _start_epoch(self) -> None:
        self._shares = shares.ShareAllocator(
            self._now(), is_sole=self._coordinator.is_settled
        )
        self._assignments = content_history.ContentHistory(
            RETAINED_ASSIGNMENTS
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Respond to a report or to a supersede request."""
        if request.target == SUPERSEDE_TARGET:
            return self._supersede(request)
        if request.target != REPORT_TARGET:
            return messages.Response(404, [], b"")
        try:
            report = msgspec.msgpack.decode(
                request.body, type=peer_messages.Report
            )
        except decoding.DECODE_ERRORS as error:
            events.emit("report_unreadable", reason=str(error))
            return messages.Response(400, [], b"")
        if not self._coordinator.is_active:
            redirect = peer_messages.Redirect(self._reporter.coordinator)
            return messages.Response(503, [], msgspec.msgpack.encode(redirect))
        response = await self.handle_report(report)
        return messages.Response(200, [], peer_messages.encode(response))

    def _supersede(self, request: messages.Request) -> messages.Response:
        try:
            supersede = msgspec.msgpack.decode(
                request.body, type=peer_messages.SupersedeRequest
            )
        except decoding.DECODE_ERRORS as error:
            events.emit("report_unreadable", reason=str(error))
            return messages.Response(400, [], b"")
        reply = self._coordinator.supersede(supersede.epoch)
        response = peer_messages.SupersedeResponse(
            reply.was_holder, reply.remaining_leases
        )
        return messages.Response(200, [], msgspec.msgpack.encode(response))

    async def handle_report(
        self, report: peer_messages.Report
    ) -> peer_messages.ReportResponse:
        """Apply a report and respond once the assignment is newer.

        The response comes after `REPORT_WAIT_SECONDS` at the latest, and at
        once if the epochs differ or the host needs tokens of a tenant.
        """
        now = self._now()
        self._members.on_report(report.host, now)
        for host in self._members.expire(now):
            self._shares.discard(host)
        if self._epoch != self._coordinator.epoch:
            self._epoch = self._coordinator.epoch
            self._start_epoch()
        is_urgent = self._quotas.receive(report.host, report.quotas)
        self._shares.add_demand(report.host, report.demand, now, report.shares)
        for server_id, incarnation, rate, age in report.rate_limits:
            self._fleet.directory.set_rate_limit(
                (server_id, incarnation), rate, now - age
            )
        for service, counts in report.requests.items():
            self._coordinator.count_requests(service, counts)
        if report.operator is not None:
            self._relay.apply_relayed(report.operator, now)
        if report.host != self._reporter.member:
            for server_id, samples in report.servers.items():
                self._fleet.merge_samples(server_id, samples)
        for server_id, incarnation, age in report.departures:
            self._fleet.notices.on_departure(
                (server_id, incarnation), now - age
            )
            self._coordinator.request_plan()
        if report.epoch > self._coordinator.epoch:
            self._coordinator.lose_leadership(
                f"{report.host} reports the later epoch {report.epoch}"
            )
        if report.epoch == self._coordinator.epoch and not is_urgent:
            await self._coordinator.wait_changed(
                report.version, REPORT_WAIT_SECONDS
            )
        return self._build_response(report, now)

    def _build_response(
        self, report: peer_messages.Report, received_at: float
    ) -> peer_messages.ReportResponse:
        coordinator = self._coordinator
        reported = (report.epoch, report.version)
        services = assignment = None
        if reported != (coordinator.epoch, coordinator.version):
            if report.assignment_version is None:
                services = self._service_ranges()
            else:
                assignment = self._assignment_patch(
                    report.epoch, report.assignment_version
                )
        known = report.operator
        operator = self._relay.relay_to(
            None if known is None else known.version
        )
        directory = self._fleet.directory
        now = self._now()
        known_version = report.directory_version
        if report.epoch != coordinator.epoch:
            known_version = 0
        directory_version = known_version
        servers = []
        is_newer = directory.confirmed_at >= received_at - report.directory_age
        if is_newer:
            directory_version = directory.version
            servers = directory.changed_after(known_version)
        return peer_messages.ReportResponse(
            coordinator.epoch,
            coordinator.version,
            len(self._members.ranks),
            self._members.ranks[report.host],
            self._is_confirmed(),
            operator.end,
            directory_version,
            [
                peer_messages.RelayedServer.from_server(
                    server, directory.is_missing(server.entry.id), now
                )
                for server in servers
            ],
            services,
            operator,
            now - directory.confirmed_at,
            self._shares.shares_of(
                report.host, directory.services_with_rate_limits(), now
            ),
            assignment,
            is_newer and known_version == 0,
            coordinator.admitted_shares(),
            directory.era,
            self._quotas.grant(report.host, report.quotas),
        )

    def _service_ranges(self) -> dict[str, records.ServiceRanges]:
        return {
            name: records.ServiceRanges.from_map(state.key_map)
            for name, state in self._coordinator.services.items()
        }

    def _assignment_patch(
        self, epoch: int, version: int
    ) -> content_history.ContentPatch | None:
        """Return the assignment as a patch for a host that has another one.

        Parameters
        ----------
        epoch, version : int
            Epoch and version of the assignment that the host has.
        """
        current = self._coordinator.version
        if self._assignments.version != current:
            encoded = msgspec.msgpack.encode(self._service_ranges())
            self._assignments.add(current, encoded)
        if epoch != self._coordinator.epoch:
            version = content_history.NO_VERSION
        return self._assignments.patch_from(version)


class PeerClient:
    """Client for the coordinator's calls to other hosts.

    Parameters
    ----------
    pool : client.Pool
        Connections to other hosts.
    """

    def __init__(self, pool: client.Pool) -> None:
        self._pool = pool

    async def supersede(
        self, host: str, epoch: int
    ) -> ports.SupersedeReply | None:
        """Tell a host that a later epoch began; None without a response."""
        ip, _, port_text = host.rpartition(":")
        body = msgspec.msgpack.encode(peer_messages.SupersedeRequest(epoch))
        response = await self._pool.call(
            (ip, int(port_text)),
            messages.Request(b"POST", SUPERSEDE_TARGET, [], body),
            SUPERSEDE_TIMEOUT_SECONDS,
            max_body=MAX_SUPERSEDE_RESPONSE_BYTES,
        )
        if isinstance(response, messages.Failure) or response.status != 200:
            return None
        try:
            decoded = msgspec.msgpack.decode(
                response.body, type=peer_messages.SupersedeResponse
            )
        except decoding.DECODE_ERRORS as error:
            events.emit("report_unreadable", reason=str(error))
            return None
        return ports.SupersedeReply(
            decoded.was_holder, decoded.remaining_leases
        )
