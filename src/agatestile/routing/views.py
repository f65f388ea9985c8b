"""Gates and failovers that the leaders of failure domains announce."""

from __future__ import annotations

import bisect
import typing

from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.rpc.generated.agatestile_rpc import ttypes


class GateAddress(typing.NamedTuple):
    """Host that is the gate of a backend server.

    Attributes
    ----------
    server : str
        Name of the backend server.
    host : str
        Name of the host.
    forward_address : str
        IP address and port to which other hosts forward requests.
    """

    server: str
    host: str
    forward_address: str


class RangeStep(typing.NamedTuple):
    """Failover of a range that the log does not contain yet.

    Attributes
    ----------
    start, end : int
        First position of the range and the position after its last.
    version : int
        Version of the assignment that the failover is based on.
    step : int
        Number of failovers of the range since that assignment.
    server : str
        Backend server that owns the range after the failover.
    """

    start: int
    end: int
    version: int
    step: int
    server: str


class RouteViews:
    """Newest route view of each failure domain.

    The views are merged into lookup tables on each update, since lookups
    are far more frequent than updates.
    """

    def __init__(self) -> None:
        self._updates_by_domain: dict[str, tuple[records.Term, int]] = {}
        self._gates_by_domain: dict[str, dict[str, GateAddress]] = {}
        self._steps_by_domain: dict[str, dict[str, list[RangeStep]]] = {}
        self._gates_by_server: dict[str, GateAddress] = {}
        self._steps_by_service: dict[str, list[RangeStep]] = {}
        self._starts_by_service: dict[str, list[int]] = {}

    def update(self, view: ttypes.RouteView) -> bool:
        """Replace the view of a domain if the given one is newer.

        Returns
        -------
        bool
            False if the view is not newer and was ignored.
        """
        term = records.Term(
            view.term.epoch, view.term.step, view.term.instance
        )
        received = (term, view.sequence)
        last_update = self._updates_by_domain.get(view.domain)
        if last_update is not None and received <= last_update:
            return False
        self._updates_by_domain[view.domain] = received
        self._gates_by_domain[view.domain] = {
            gate.server: GateAddress(
                gate.server, gate.host, gate.forward_address
            )
            for gate in view.gates or ()
        }
        self._steps_by_domain[view.domain] = _group_steps(view)
        self._rebuild_lookup_tables()
        return True

    def last_update_of(self, domain: str) -> tuple[records.Term, int] | None:
        """Return term and sequence of the newest view of a domain."""
        return self._updates_by_domain.get(domain)

    def gate_of(self, server: str) -> GateAddress | None:
        """Return the gate of a server, None if no leader announced one."""
        return self._gates_by_server.get(server)

    def step_of(self, service: str, position: int) -> RangeStep | None:
        """Return the failover step that covers a position, if any."""
        starts = self._starts_by_service.get(service)
        if not starts:
            return None
        index = bisect.bisect_right(starts, position) - 1
        if index < 0:
            return None
        step = self._steps_by_service[service][index]
        return step if position < step.end else None

    def _rebuild_lookup_tables(self) -> None:
        gates: dict[str, GateAddress] = {}
        steps: dict[str, list[RangeStep]] = {}
        for domain in sorted(self._updates_by_domain):
            gates.update(self._gates_by_domain[domain])
            for service, domain_steps in self._steps_by_domain[domain].items():
                steps.setdefault(service, []).extend(domain_steps)
        for service_steps in steps.values():
            service_steps.sort()
        self._gates_by_server = gates
        self._steps_by_service = steps
        self._starts_by_service = {
            service: [step.start for step in service_steps]
            for service, service_steps in steps.items()
        }


def _group_steps(view: ttypes.RouteView) -> dict[str, list[RangeStep]]:
    by_service: dict[str, list[RangeStep]] = {}
    for step in view.steps or ():
        by_service.setdefault(step.service_name, []).append(
            RangeStep(
                step.start, step.end, step.version, step.step, step.server
            )
        )
    return by_service
