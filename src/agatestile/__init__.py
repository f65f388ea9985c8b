"""Router for backend servers that own keys exclusively.

The exported names are the parts that other programs may embed. They perform
no I/O: the embedding program passes messages in and carries out the decisions
that they return. Each name is imported on first use, so that the command line
does not load modules that it does not need.
"""

from __future__ import annotations

import importlib
import typing

if typing.TYPE_CHECKING:
    from agatestile.limits.admission import Admission
    from agatestile.limits.admission import Limits
    from agatestile.limits.admission import Observation
    from agatestile.limits.admission import Slot
    from agatestile.limits.budget import RetryBudget
    from agatestile.limits.deduplication import Deduplication
    from agatestile.observability.invariants import Invariants
    from agatestile.ownership.gates import GateTable
    from agatestile.ownership.grants import GrantBook
    from agatestile.ownership.grants import GrantReply
    from agatestile.ownership.grants import GrantRequest
    from agatestile.ownership.leases import ServerLease
    from agatestile.ownership.leases import Votes
    from agatestile.ownership.permits import Permit
    from agatestile.ownership.terms import Timing
    from agatestile.results.codes import ResultCode
    from agatestile.results.outcomes import Refusal
    from agatestile.routing.keys import position_of
    from agatestile.routing.router import Route
    from agatestile.routing.router import Router
    from agatestile.routing.views import RouteViews
    from agatestile.state.cluster import Applied
    from agatestile.state.cluster import ClusterState
    from agatestile.state.ranges import Range
    from agatestile.state.ranges import RangeMap
    from agatestile.state.records import Assign
    from agatestile.state.records import DomainChange
    from agatestile.state.records import Fence
    from agatestile.state.records import HostChange
    from agatestile.state.records import Intent
    from agatestile.state.records import Lead
    from agatestile.state.records import RangeChange
    from agatestile.state.records import TableChange
    from agatestile.state.records import TableRow
    from agatestile.state.records import Term

__all__ = [
    "Admission",
    "Applied",
    "Assign",
    "ClusterState",
    "Deduplication",
    "DomainChange",
    "Fence",
    "GateTable",
    "GrantBook",
    "GrantReply",
    "GrantRequest",
    "HostChange",
    "Intent",
    "Invariants",
    "Lead",
    "Limits",
    "Observation",
    "Permit",
    "Range",
    "RangeChange",
    "RangeMap",
    "Refusal",
    "ResultCode",
    "RetryBudget",
    "Route",
    "RouteViews",
    "Router",
    "ServerLease",
    "Slot",
    "TableChange",
    "TableRow",
    "Term",
    "Timing",
    "Votes",
    "position_of",
]

_MODULES_BY_NAME = {
    "Admission": "limits.admission",
    "Applied": "state.cluster",
    "Assign": "state.records",
    "ClusterState": "state.cluster",
    "Deduplication": "limits.deduplication",
    "DomainChange": "state.records",
    "Fence": "state.records",
    "GateTable": "ownership.gates",
    "GrantBook": "ownership.grants",
    "GrantReply": "ownership.grants",
    "GrantRequest": "ownership.grants",
    "HostChange": "state.records",
    "Intent": "state.records",
    "Invariants": "observability.invariants",
    "Lead": "state.records",
    "Limits": "limits.admission",
    "Observation": "limits.admission",
    "Permit": "ownership.permits",
    "Range": "state.ranges",
    "RangeChange": "state.records",
    "RangeMap": "state.ranges",
    "Refusal": "results.outcomes",
    "ResultCode": "results.codes",
    "RetryBudget": "limits.budget",
    "Route": "routing.router",
    "RouteViews": "routing.views",
    "Router": "routing.router",
    "ServerLease": "ownership.leases",
    "Slot": "limits.admission",
    "TableChange": "state.records",
    "TableRow": "state.records",
    "Term": "state.records",
    "Timing": "ownership.terms",
    "Votes": "ownership.leases",
    "position_of": "routing.keys",
}


def __getattr__(name: str) -> typing.Any:
    module = _MODULES_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


def __dir__() -> list[str]:
    return sorted({*globals(), *_MODULES_BY_NAME})
