"""What a leader keeps about each server and each host."""

from __future__ import annotations

import math
import typing

from agatestile.ownership import gates
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import grants
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
    released : set of gates.Reference
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
        self.released: set[gates.Reference] = set()

    def update(self, heartbeat: ttypes.Heartbeat, now: float) -> None:
        """Take a heartbeat."""
        self.domain = heartbeat.host_domain or ""
        self.forward_address = heartbeat.forward_address or ""
        self.offset = heartbeat.offset
        self.leaving = bool(heartbeat.leaving)
        self.seen = now
        self.released = {
            gates.Reference.from_thrift(reference)
            for reference in heartbeat.released or ()
        }

    def is_live(self, now: float, timing: terms.Timing) -> bool:
        """Tell whether the host's heartbeats arrive."""
        return now - self.seen < timing.silence


class Post:
    """The gate of one server, as its leader sees it.

    Attributes
    ----------
    row : records.TableRow
        The server's row of the table.
    lease : grants.ServerLease
        Leases of the server.
    fence : str
        Fence in the grants that are sent, empty for none.
    host, instance : str
        Host that is the gate with this fence.
    is_settled : bool
        Whether no gate of an earlier leader can reach the server any more
        without this leader knowing it.
    is_told : bool
        Whether a host was told that it is the gate with this fence.
    is_lost : bool
        Whether the server does not answer and its lease has ended.
    probed_at : float
        When a server that does not check fences last answered, seconds.
    """

    def __init__(
        self, row: records.TableRow, lease: grants.ServerLease
    ) -> None:
        self.row = row
        self.lease = lease
        self.fence = ""
        self.host = ""
        self.instance = ""
        self.is_settled = False
        self.is_told = False
        self.is_lost = False

    @property
    def is_confirmed(self) -> bool:
        """Whether the server accepted the fence, if it checks fences."""
        if not self.row.fenced:
            return True
        reply = self.lease.reply
        return bool(
            reply and reply.accepted and self.fence == (reply.fence or "")
        )

    def place(self, fence: str, host: HostRecord) -> None:
        """Name the gate."""
        self.fence, self.host = fence, host.name
        self.instance = host.instance
        self.is_told = False
        self.is_lost = False

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
