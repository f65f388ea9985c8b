"""Gates and failovers that the leaders of the failure domains announce."""

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
    """Range whose owner was replaced before the log shows it.

    Attributes
    ----------
    start, end : int
        First position, and the position after the last.
    version : int
        Version of the assignment that the step is based on.
    step : int
        Counts the replacements since that assignment.
    server : str
        Backend server that owns the range now.
    """

    start: int
    end: int
    version: int
    step: int
    server: str


class RouteViews:
    """The newest route view of each failure domain.

    Look-up tables are merged on update, since look-ups are far more
    frequent.
    """

    def __init__(self) -> None:
        self._orders_by_domain: dict[str, tuple[records.Term, int]] = {}
        self._gates_by_domain: dict[str, dict[str, GateAddress]] = {}
        self._steps_by_domain: dict[str, dict[str, list[RangeStep]]] = {}
        self._gates_by_server: dict[str, GateAddress] = {}
        self._steps_by_service: dict[str, list[RangeStep]] = {}
        self._starts_by_service: dict[str, list[int]] = {}

    def update(self, view: ttypes.RouteView) -> bool:
        """Take over a view if it is newer than the one of its domain.

        Returns
        -------
        bool
            False if the view is not newer; nothing changes then.
        """
        term = records.Term(
            view.term.epoch, view.term.step, view.term.instance
        )
        order = (term, view.sequence)
        known = self._orders_by_domain.get(view.domain)
        if known is not None and order <= known:
            return False
        self._orders_by_domain[view.domain] = order
        self._gates_by_domain[view.domain] = {
            gate.server: GateAddress(
                gate.server, gate.host, gate.forward_address
            )
            for gate in view.gates or ()
        }
        self._steps_by_domain[view.domain] = _steps_of(view)
        self._merge()
        return True

    def last_update_of(self, domain: str) -> tuple[records.Term, int] | None:
        """Return term and sequence of the view of a domain."""
        return self._orders_by_domain.get(domain)

    def gate_of(self, server: str) -> GateAddress | None:
        """Return the gate of a server, None if no leader named one."""
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

    def _merge(self) -> None:
        gates: dict[str, GateAddress] = {}
        steps: dict[str, list[RangeStep]] = {}
        for domain in sorted(self._orders_by_domain):
            gates.update(self._gates_by_domain[domain])
            for service, some in self._steps_by_domain[domain].items():
                steps.setdefault(service, []).extend(some)
        for some in steps.values():
            some.sort()
        self._gates_by_server = gates
        self._steps_by_service = steps
        self._starts_by_service = {
            service: [step.start for step in some]
            for service, some in steps.items()
        }


def _steps_of(view: ttypes.RouteView) -> dict[str, list[RangeStep]]:
    by_service: dict[str, list[RangeStep]] = {}
    for step in view.steps or ():
        by_service.setdefault(step.service_name, []).append(
            RangeStep(
                step.start, step.end, step.version, step.step, step.server
            )
        )
    return by_service
