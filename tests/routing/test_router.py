"""Routes of keys."""

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
    """Return a state in which p1 owns the lower half, version 2."""
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


def _views(version: int | None = None) -> views.RouteViews:
    steps = []
    if version is not None:
        steps = [ttypes.RangeStep("prices", 0, HALF, version, 1, "p2")]
    gates = [
        ttypes.GateAddress(name, f"host-{name}", "127.0.0.1:1")
        for name in ("p1", "p2")
    ]
    made = views.RouteViews()
    made.update(
        ttypes.RouteView("radom", ttypes.Term(0, 1, "a"), 1, gates, steps)
    )
    return made


def test_route_names_owner_gate_and_fence() -> None:
    found = router.Router(_state(), _views()).route_position("prices", 5)
    assert isinstance(found, router.Route)
    assert (found.server, found.domain) == ("p1", "radom")
    assert found.gate.host == "host-p1"
    assert (found.fence, found.version) == ((2, 0), 2)


def test_step_on_the_present_assignment_names_the_successor() -> None:
    made = router.Router(_state(), _views(version=2))
    found = made.route_position("prices", 5)
    assert isinstance(found, router.Route)
    assert (found.server, found.fence) == ("p2", (2, 1))


@pytest.mark.parametrize("version", [0, 1, 3])
def test_step_on_another_assignment_is_ignored(version: int) -> None:
    # The range was assigned anew since; the step is out of date.
    made = router.Router(_state(), _views(version=version))
    found = made.route_position("prices", 5)
    assert isinstance(found, router.Route)
    assert found.server == "p1"


@pytest.mark.parametrize(
    ("state", "route_views", "service", "position", "code"),
    [
        (cluster.ClusterState(), _views(), "prices", 5, CODES.NOT_READY),
        (_state(), _views(), "nothing", 5, CODES.UNKNOWN_SERVICE),
        (_state(), _views(), "prices", HALF, CODES.NO_OWNER),
        (_state(), views.RouteViews(), "prices", 5, CODES.NO_GATE),
    ],
)
def test_missing_parts_have_their_codes(
    state: cluster.ClusterState,
    route_views: views.RouteViews,
    service: str,
    position: int,
    code: int,
) -> None:
    made = router.Router(state, route_views)
    found = made.route_position(service, position)
    assert isinstance(found, outcomes.Refusal)
    assert found.code == code


def test_same_key_has_the_same_position_everywhere() -> None:
    made = router.Router(_state(), _views())
    for number in range(100):
        found = made.route("prices", f"item-{number}")
        if isinstance(found, router.Route):
            assert 0 <= found.position < HALF
