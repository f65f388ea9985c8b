"""Permits to send requests, and ranges that gates release."""

from __future__ import annotations

import typing

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import ranges

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import cluster


class Permit(typing.NamedTuple):
    """Permission to send one request to a server.

    Attributes
    ----------
    server : str
        The server.
    fence : str
        Fencing token for the request.
    expires : float
        When the gate's lease expires, on the clock of the event loop,
        seconds.
    service : str
        Service of the server.
    position : int
        Position of the request's key.
    running : int
        Requests that the server was running when this host became its
        gate.
    warm_incarnation : str
        Incarnation that the previous gate used at full capacity; empty if
        the server may be cold.
    """

    server: str
    fence: str
    expires: float
    service: str
    position: int
    running: int = 0
    warm_incarnation: str = ""


class Reference(typing.NamedTuple):
    """A range, at one version, that a gate releases or has released."""

    service: str
    start: int
    end: int
    version: int

    @classmethod
    def from_thrift(cls, reference: ttypes.RangeReference) -> Reference:
        """Return the reference in a message."""
        return cls(
            reference.service_name,
            reference.start,
            reference.end,
            reference.version,
        )

    def to_thrift(self) -> ttypes.RangeReference:
        """Return the form used in messages."""
        return ttypes.RangeReference(*self)


class ReleasedRanges:
    """Ranges that this host no longer serves.

    A range is dropped once the log shows a later version of all its
    positions.

    Parameters
    ----------
    state : cluster.ClusterState
        This host's copy of the state.
    """

    def __init__(self, state: cluster.ClusterState) -> None:
        self._state = state
        self._references: set[Reference] = set()

    def __iter__(self) -> collections.abc.Iterator[Reference]:
        self._discard_moved()
        return iter(tuple(self._references))

    def add(self, reference: Reference) -> None:
        """Add a released range."""
        self._references.add(reference)

    def add_open_intents(self, service: str) -> None:
        """Add all ranges of a service that have an open Intent."""
        for current in self._state.ranges_by_service[service]:
            if current.intent != ranges.NO_INTENT:
                self.add(Reference(service, *current[:2], current.version))

    def covers(self, service: str, position: int) -> bool:
        """Return whether a position is in a released range."""
        if not self._references:
            return False
        range_map = self._state.ranges_by_service[service]
        version = range_map.find(position).version
        return any(
            reference.service == service
            and reference.start <= position < reference.end
            and reference.version >= version
            for reference in self._references
        )

    def _discard_moved(self) -> None:
        for reference in tuple(self._references):
            range_map = self._state.ranges_by_service.get(reference.service)
            if range_map is None or all(
                current.version > reference.version
                for current in range_map.overlapping(
                    reference.start, reference.end
                )
            ):
                self._references.discard(reference)


def refuse(code: codes.ResultCode, server: str) -> outcomes.Refusal:
    """Return a gate's refusal to send a request to a server."""
    reasons = {
        codes.ResultCode.NOT_GATE: "this host is not the gate",
        codes.ResultCode.LEASE_LAPSED: "the gate's lease has expired",
        codes.ResultCode.DOMAIN_OUT: "the server or its domain is leaving",
        codes.ResultCode.NO_OWNER: "the server does not own the position",
        codes.ResultCode.RANGE_MOVING: "the range is being moved",
    }
    return outcomes.Refusal(code, f"{server}: {reasons[code]}")
