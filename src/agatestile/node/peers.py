"""Calls between hosts, as the called host answers them."""

from __future__ import annotations

import typing

import msgspec

from agatestile.assignment import ports
from agatestile.assignment import records
from agatestile.node import messages as peer_messages
from agatestile.observability import events
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.assignment import coordinator as coordinator_module
    from agatestile.entry import fleet as fleet_module
    from agatestile.node import reporter as reporter_module
    from agatestile.transport import client

REPORT_WAIT_SECONDS = 0.25
"""Longest interval of reports. The coordinator answers at once if the
assignment changes."""

HOST_EXPIRY_SECONDS = 12.0
"""Silence after which a host does not count as a member any more. A host
that is only cut off from the coordinator goes on sending to servers."""

SUPERSEDE_TIMEOUT_SECONDS = 0.6
"""Longest wait for the earlier leader, seconds."""

REPORT_TARGET = b"/report"
SUPERSEDE_TARGET = b"/supersede"


class PeerService:
    """Answers other hosts.

    Parameters
    ----------
    coordinator : coordinator.Coordinator
        Decides if this host leads.
    fleet : fleet.Fleet
        Takes what other hosts measured.
    reporter : reporter.Reporter
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
        reporter: reporter_module.Reporter,
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

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer a report."""
        if request.target == SUPERSEDE_TARGET:
            return self._supersede(request)
        if request.target != REPORT_TARGET:
            return messages.Response(404, [], b"")
        try:
            report = msgspec.msgpack.decode(
                request.body, type=peer_messages.Report
            )
        except msgspec.DecodeError as error:
            events.emit("report_unreadable", reason=str(error))
            return messages.Response(400, [], b"")
        if not self._coordinator.is_active:
            redirect = peer_messages.Redirect(self._reporter.coordinator)
            return messages.Response(503, [], msgspec.msgpack.encode(redirect))
        instructions = await self.handle_report(report)
        return messages.Response(200, [], msgspec.msgpack.encode(instructions))

    def _supersede(self, request: messages.Request) -> messages.Response:
        try:
            told = msgspec.msgpack.decode(
                request.body, type=peer_messages.SupersedeRequest
            )
        except msgspec.DecodeError as error:
            events.emit("report_unreadable", reason=str(error))
            return messages.Response(400, [], b"")
        answered = self._coordinator.supersede(told.epoch)
        reply = peer_messages.SupersedeResponse(
            answered.was_holder, answered.remaining_leases
        )
        return messages.Response(200, [], msgspec.msgpack.encode(reply))

    async def handle_report(
        self, report: peer_messages.Report
    ) -> peer_messages.ReportResponse:
        """Take a report and return the assignment once it is newer."""
        now = self._now()
        self._seen_by_host[report.host] = now
        for service, counts in report.requests.items():
            self._coordinator.count_requests(service, counts)
        if report.host != self._reporter.member:
            for server_id, samples in report.servers.items():
                self._fleet.merge_samples(server_id, samples)
        if report.epoch > self._coordinator.epoch:
            self._coordinator.lose_leadership(
                f"{report.host} knows a later one"
            )
        if report.epoch == self._coordinator.epoch:
            await self._coordinator.wait_changed(
                report.version, REPORT_WAIT_SECONDS
            )
        return self._instructions(report)

    def _instructions(
        self, report: peer_messages.Report
    ) -> peer_messages.ReportResponse:
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
        return peer_messages.ReportResponse(
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
            if now - seen > HOST_EXPIRY_SECONDS:
                del self._seen_by_host[host]
        return sorted(self._seen_by_host)


class PeerClient:
    """Calls to other hosts that the coordinator makes.

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
        """Tell a host that it lost the leadership; None without an answer."""
        ip, _, port_text = host.rpartition(":")
        body = msgspec.msgpack.encode(peer_messages.SupersedeRequest(epoch))
        answer = await self._pool.call(
            (ip, int(port_text)),
            messages.Request(b"POST", SUPERSEDE_TARGET, [], body),
            SUPERSEDE_TIMEOUT_SECONDS,
        )
        if isinstance(answer, messages.Failure) or answer.status != 200:
            return None
        try:
            reply = msgspec.msgpack.decode(
                answer.body, type=peer_messages.SupersedeResponse
            )
        except msgspec.DecodeError as error:
            events.emit("report_unreadable", reason=str(error))
            return None
        return ports.SupersedeReply(reply.was_holder, reply.holds)
