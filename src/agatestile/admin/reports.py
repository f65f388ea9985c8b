"""Section of a host's status that describes its gates."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.limits import admission as limits_admission


class Gate(typing.Protocol):
    """Gate of a server (`gateway.servers.ServerGate`)."""

    @property
    def admission(self) -> limits_admission.Admission:
        """Concurrency slots and queue of the server."""


class LimitsStatus(typing.TypedDict):
    """Usage of the limits of one server.

    ``rate`` is in requests per second, None unless the server is cold.
    """

    in_flight: int
    waiting: int
    cold: bool
    rate: float | None


def limits(
    gates_by_server: collections.abc.Mapping[str, Gate],
) -> dict[str, LimitsStatus]:
    """Return the usage of the limits by server."""
    return {
        server: {
            "in_flight": gate.admission.in_flight,
            "waiting": gate.admission.waiting,
            "cold": gate.admission.ramp.is_cold,
            "rate": (
                gate.admission.ramp.rate
                if gate.admission.ramp.is_cold
                else None
            ),
        }
        for server, gate in gates_by_server.items()
    }
