"""A leader's records of the gates and of the hosts that hold them."""

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
    """State of one host, from its heartbeats.

    Attributes
    ----------
    instance : str
        Identifies one start of the host's process.
    last_seen_at : float
        When the last heartbeat arrived, seconds.
    claimed_fences : dict of str to str
        Fences, by server, of the gates that the host held when it first
        knew of this leader, or later.
    released : set of permits.Reference
        Ranges that the host released.
    """

    def __init__(self, heartbeat: ttypes.Heartbeat) -> None:
        self.name: str = heartbeat.host
        self.instance: str = heartbeat.instance
        self.domain = ""
        self.forward_address = ""
        self.offset = -1
        self.leaving = False
        self.last_seen_at = -math.inf
        self.claimed_fences: dict[str, str] = {}
        self.released: set[permits.Reference] = set()

    def update(self, heartbeat: ttypes.Heartbeat, now: float) -> None:
        """Apply a heartbeat."""
        self.domain = heartbeat.host_domain or ""
        self.forward_address = heartbeat.forward_address or ""
        self.offset = heartbeat.offset
        self.leaving = bool(heartbeat.leaving)
        self.last_seen_at = now
        self.released = {
            permits.Reference.from_thrift(reference)
            for reference in heartbeat.released or ()
        }

    def is_live(self, now: float, timing: terms.Timing) -> bool:
        """Return whether a heartbeat arrived within `Timing.silence`."""
        return now - self.last_seen_at < timing.silence


class GateRecord:
    """The gate of one server, as the leader of its domain records it.

    Attributes
    ----------
    row : records.TableRow
        The server's row in the table.
    lease : leases.ServerLease
        Leases of the server.
    fence : str
        Fence in the grants that are sent, empty for none.
    host, instance : str
        Name and instance of the host that is the gate with this fence.
    is_granted : bool
        Whether the host was granted the gate with this fence.
    warm_incarnation : str
        Incarnation of the server that a gate last used at full capacity.
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
        self.is_granted = False
        self.warm_incarnation = ""
        self.chart = interpreter.StatechartRun("server")

    def apply_report(self, report: ttypes.GateReport) -> None:
        """Apply a report of the host that is the gate."""
        if report.fence == self.fence:
            self.warm_incarnation = report.warm_incarnation or ""

    def to_grant(self) -> ttypes.GateGrant:
        """Return the message that grants the gate to its host.

        A gate that takes over a warm server skips the slow start, unless
        the server has restarted since.
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
        """Whether no gate of an earlier leader can be unknown.

        An unknown gate may serve ranges that the earlier leader stepped.
        """
        return self.chart.state != "unsettled"

    @property
    def is_lost(self) -> bool:
        """Whether the server is silent and its serve lease has expired."""
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

    def assign(self, fence: str, host: HostRecord) -> None:
        """Make a host the gate with a new fence."""
        self.fence, self.host = fence, host.name
        self.instance = host.instance
        self.is_granted = False

    def unassign(self) -> None:
        """Leave the server without a gate."""
        self.fence = self.host = self.instance = ""
        self.is_granted = False


def choose_host(
    hosts: collections.abc.Iterable[HostRecord],
    counts: collections.abc.Mapping[str, int],
    domain: str,
) -> HostRecord | None:
    """Return the best host for a gate of a domain, None without hosts.

    Prefers hosts of the domain itself, then those with the fewest gates.
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
