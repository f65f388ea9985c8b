"""What a leader keeps about each server and each host."""

from __future__ import annotations

import math
import typing

from agatestile.charts import interpreter
from agatestile.ownership import permits
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import leases
    from agatestile.ownership import terms
    from agatestile.state import records


class HostRecord:
    """What the heartbeats of one host say.

    Attributes
    ----------
    instance : str
        Changes with each start of the host's process.
    seen : float
        When the last heartbeat arrived, seconds.
    claims : dict of str to str
        Fences, by server, of the gates that the host held when it first
        knew of this leader, or later.
    released : set of permits.Reference
        Ranges that the host has released.
    """

    def __init__(self, heartbeat: ttypes.Heartbeat) -> None:
        self.name: str = heartbeat.host
        self.instance: str = heartbeat.instance
        self.domain = ""
        self.forward_address = ""
        self.offset = -1
        self.leaving = False
        self.seen = -math.inf
        self.claims: dict[str, str] = {}
        self.released: set[permits.Reference] = set()

    def update(self, heartbeat: ttypes.Heartbeat, now: float) -> None:
        """Take a heartbeat."""
        self.domain = heartbeat.host_domain or ""
        self.forward_address = heartbeat.forward_address or ""
        self.offset = heartbeat.offset
        self.leaving = bool(heartbeat.leaving)
        self.seen = now
        self.released = {
            permits.Reference.from_thrift(reference)
            for reference in heartbeat.released or ()
        }

    def is_live(self, now: float, timing: terms.Timing) -> bool:
        """Tell whether the host's heartbeats arrive."""
        return now - self.seen < timing.silence


class GateRecord:
    """The gate of one server, as its leader sees it.

    Attributes
    ----------
    row : records.TableRow
        The server's row of the table.
    lease : leases.ServerLease
        Leases of the server.
    fence : str
        Fence in the grants that are sent, empty for none.
    host, instance : str
        Host that is the gate with this fence.
    is_told : bool
        Whether a host was told that it is the gate with this fence.
    warm_incarnation : str
        Incarnation that a gate last used at full capacity.
    chart : interpreter.StatechartRun
        State of the server.
    """

    def __init__(
        self, row: records.TableRow, lease: leases.ServerLease
    ) -> None:
        self.row = row
        self.lease = lease
        self.fence = ""
        self.host = ""
        self.instance = ""
        self.is_told = False
        self.warm_incarnation = ""
        self.chart = interpreter.StatechartRun("server")

    def note_report(self, report: ttypes.GateReport) -> None:
        """Take the report of the host that is the gate."""
        if report.fence == self.fence:
            self.warm_incarnation = report.warm_incarnation or ""

    def to_grant(self) -> ttypes.GateGrant:
        """Return the message that tells the host of its gate.

        A gate that takes over a warm server need not start slowly, unless
        the server was started again in the meantime.
        """
        reply = self.lease.reply
        if reply is None:
            return ttypes.GateGrant(self.row.server, self.fence, 0, "")
        is_warm = reply.incarnation == self.warm_incarnation
        return ttypes.GateGrant(
            self.row.server,
            self.fence,
            reply.running,
            self.warm_incarnation if is_warm else "",
        )

    @property
    def is_settled(self) -> bool:
        """Whether no gate of an earlier leader is left unknown.

        Such a gate may serve ranges that the earlier leader stepped.
        """
        return self.chart.state != "unsettled"

    @property
    def is_lost(self) -> bool:
        """Whether the server is silent and its lease has ended."""
        return self.chart.state == "lost"

    @property
    def is_confirmed(self) -> bool:
        """Whether the server accepted the fence, if it checks fences."""
        if not self.row.fenced:
            return bool(self.fence)
        reply = self.lease.reply
        return bool(
            self.fence
            and reply
            and reply.accepted
            and self.fence == reply.fence
        )

    def place(self, fence: str, host: HostRecord) -> None:
        """Name the gate."""
        self.fence, self.host = fence, host.name
        self.instance = host.instance
        self.is_told = False

    def clear(self) -> None:
        """Name no gate."""
        self.fence = self.host = self.instance = ""
        self.is_told = False


def choose_host(
    hosts: collections.abc.Iterable[HostRecord],
    counts: collections.abc.Mapping[str, int],
    domain: str,
) -> HostRecord | None:
    """Return the host for the next gate of a domain.

    Prefers hosts of the domain itself, then those with fewest gates.
    """
    return min(
        hosts,
        key=lambda host: (
            host.domain != domain,
            counts.get(host.name, 0),
            host.name,
        ),
        default=None,
    )
