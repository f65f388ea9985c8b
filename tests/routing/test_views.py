"""Route views that the leaders announce."""

from __future__ import annotations

from agatestile.routing import views
from agatestile.rpc.generated.agatestile_rpc import ttypes


def _view(
    domain: str, step: int, sequence: int, server: str, host: str
) -> ttypes.RouteView:
    return ttypes.RouteView(
        domain,
        ttypes.Term(1, step, "a"),
        sequence,
        [ttypes.GateAddress(server, host, "127.0.0.1:1")],
        [ttypes.RangeStep("prices", 10, 20, 7, 1, f"{server}-next")],
    )


def test_older_view_never_replaces_a_newer_one() -> None:
    """Guards against requests to a host that is no longer the gate.

    A message of an earlier leader may arrive after those of its successor.
    """
    route_views = views.RouteViews()
    assert route_views.update(_view("radom", 2, 5, "p1", "h2"))
    for step, sequence in ((1, 9), (2, 4), (2, 5)):
        assert not route_views.update(
            _view("radom", step, sequence, "p1", "h1")
        )
    gate = route_views.gate_of("p1")
    assert gate is not None
    assert gate.host == "h2"
    assert route_views.update(_view("radom", 3, 1, "p2", "h3"))
    assert route_views.gate_of("p1") is None


def test_view_of_a_domain_keeps_those_of_other_domains() -> None:
    """Guards against an update that drops the gates of other domains."""
    route_views = views.RouteViews()
    route_views.update(_view("radom", 1, 1, "p1", "h1"))
    route_views.update(_view("warszawa-a", 9, 1, "p2", "h2"))
    gates = [route_views.gate_of(server) for server in ("p1", "p2")]
    assert [gate and gate.host for gate in gates] == ["h1", "h2"]


def test_failover_applies_to_its_positions_only() -> None:
    """Guards against a failover that redirects adjacent ranges."""
    route_views = views.RouteViews()
    route_views.update(_view("radom", 1, 1, "p1", "h1"))
    steps = [
        route_views.step_of("prices", position) for position in (9, 10, 19, 20)
    ]
    servers = [step and step.server for step in steps]
    assert servers == [None, "p1-next", "p1-next", None]
    assert route_views.step_of("ledger", 15) is None
