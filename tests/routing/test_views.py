"""Route views of the leaders."""

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
    # A delayed message of a lost leader would send to a lost gate.
    made = views.RouteViews()
    assert made.update(_view("radom", 2, 5, "p1", "h2"))
    for step, sequence in ((1, 9), (2, 4), (2, 5)):
        assert not made.update(_view("radom", step, sequence, "p1", "h1"))
    gate = made.gate_of("p1")
    assert gate is not None
    assert gate.host == "h2"
    assert made.update(_view("radom", 3, 1, "p2", "h3"))
    assert made.gate_of("p1") is None


def test_views_of_domains_stand_side_by_side() -> None:
    made = views.RouteViews()
    made.update(_view("radom", 1, 1, "p1", "h1"))
    made.update(_view("warszawa-a", 9, 1, "p2", "h2"))
    gates = [made.gate_of(server) for server in ("p1", "p2")]
    assert [gate and gate.host for gate in gates] == ["h1", "h2"]


def test_step_covers_its_positions_only() -> None:
    made = views.RouteViews()
    made.update(_view("radom", 1, 1, "p1", "h1"))
    steps = [made.step_of("prices", position) for position in (9, 10, 19, 20)]
    servers = [step and step.server for step in steps]
    assert servers == [None, "p1-next", "p1-next", None]
    assert made.step_of("ledger", 15) is None
