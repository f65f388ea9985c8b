"""Routes that the router finds for keys."""

from __future__ import annotations

import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.routing import router
from agatestile.routing import views
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import cluster
from agatestile.state import records

CODES = codes.ResultCode
HALF = 1 << 61
END = 1 << 62


def _state() -> cluster.ClusterState:
    """Return a state in which p1 owns the lower half since version 2."""
    rows = (
        records.TableRow(kind="service", service="prices", timeout_ms=500),
        *(
            records.TableRow(
                kind="server",
                service="prices",
                server=name,
                domain="radom",
                address=f"127.0.0.1:{port}",
                slots=2,
                connections=130,
            )
            for name, port in (("p1", 9001), ("p2", 9002))
        ),
    )
    term = records.Term(0, 1, "a")
    change = records.RangeChange("prices", 0, HALF, (0,), "p1", ("p2",))
    state = cluster.ClusterState()
    state.apply(0, records.TableChange("1", "o", -1, rows))
    state.apply(1, records.Lead("2", "radom", term))
    state.apply(2, records.Assign("3", "radom", term, (change,)))
    return state


def _route_views(version: int | None = None) -> views.RouteViews:
    """Return gates of p1 and p2, with a failover to p2 if version is set."""
    steps = []
    if version is not None:
        steps = [ttypes.RangeStep("prices", 0, HALF, version, 1, "p2")]
    gates = [
        ttypes.GateAddress(name, f"host-{name}", "127.0.0.1:1")
        for name in ("p1", "p2")
    ]
    announced = views.RouteViews()
    announced.update(
        ttypes.RouteView("radom", ttypes.Term(0, 1, "a"), 1, gates, steps)
    )
    return announced


def test_route_names_owner_gate_and_fence() -> None:
    """Guards against a route that is composed of the wrong records."""
    route = router.Router(_state(), _route_views()).route_position("prices", 5)
    assert isinstance(route, router.Route)
    assert (route.server, route.domain) == ("p1", "radom")
    assert route.gate.host == "host-p1"
    assert (route.fence, route.version) == ((2, 0), 2)


def test_failover_of_the_current_assignment_routes_to_the_successor() -> None:
    """Guards against requests to a lost server.

    A failover is announced before the log contains the new assignment.
    """
    key_router = router.Router(_state(), _route_views(version=2))
    route = key_router.route_position("prices", 5)
    assert isinstance(route, router.Route)
    assert (route.server, route.fence) == ("p2", (2, 1))


@pytest.mark.parametrize("version", [0, 1, 3])
def test_failover_of_another_assignment_is_ignored(version: int) -> None:
    """Guards against an outdated failover.

    The range was assigned anew after it.
    """
    key_router = router.Router(_state(), _route_views(version=version))
    route = key_router.route_position("prices", 5)
    assert isinstance(route, router.Route)
    assert route.server == "p1"


@pytest.mark.parametrize(
    ("state", "route_views", "service", "position", "code"),
    [
        (cluster.ClusterState(), _route_views(), "prices", 5, CODES.NOT_READY),
        (_state(), _route_views(), "nothing", 5, CODES.UNKNOWN_SERVICE),
        (_state(), _route_views(), "prices", HALF, CODES.NO_OWNER),
        (_state(), views.RouteViews(), "prices", 5, CODES.NO_GATE),
    ],
)
def test_missing_state_owner_or_gate_has_its_own_code(
    state: cluster.ClusterState,
    route_views: views.RouteViews,
    service: str,
    position: int,
    code: int,
) -> None:
    """Guards against a refusal whose code hides what is missing."""
    key_router = router.Router(state, route_views)
    route = key_router.route_position(service, position)
    assert isinstance(route, outcomes.Refusal)
    assert route.code == code


def test_key_is_routed_only_within_the_owned_range() -> None:
    """Guards against a route to a server that does not own the key."""
    key_router = router.Router(_state(), _route_views())
    for number in range(100):
        route = key_router.route("prices", f"item-{number}")
        if isinstance(route, router.Route):
            assert 0 <= route.position < HALF
