"""Planned moves of ranges: when, how many and to which server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from agatestile.placement import planner

LIMITS = planner.Limits()
WEIGHTS = {"a": 1, "b": 1, "c": 1}


def _planner(limits: planner.Limits = LIMITS) -> planner.Planner:
    return planner.Planner("price", limits, planner.MoveBudget(limits))


def _ranges(*loads: tuple[str, float]) -> list[planner.OwnedRange]:
    return [
        planner.OwnedRange(100 * index, 100 * index + 100, server, load)
        for index, (server, load) in enumerate(loads)
    ]


UNEVEN = _ranges(
    ("a", 30), ("a", 30), ("a", 20), ("b", 25), ("b", 10), ("c", 5)
)


def test_ranges_move_only_after_a_lasting_imbalance() -> None:
    """Guards against moving ranges because of a short load peak."""
    plan = _planner()
    balanced = _ranges(("a", 30), ("b", 30), ("c", 30))
    assert not plan.plan(0, WEIGHTS, UNEVEN)
    assert not plan.plan(10, WEIGHTS, UNEVEN)
    assert not plan.plan(20, WEIGHTS, balanced)
    assert not plan.plan(30, WEIGHTS, UNEVEN)
    assert not plan.plan(40, WEIGHTS, UNEVEN)
    assert plan.plan(50, WEIGHTS, UNEVEN) == [
        planner.Move("price", 0, 100, "a", "c")
    ]


def test_range_does_not_return_within_a_minute() -> None:
    """Guards against a range that oscillates between two servers."""
    plan = _planner(LIMITS._replace(rounds=1))
    assert plan.plan(0, WEIGHTS, UNEVEN)[0].target == "c"
    back = _ranges(("c", 45), ("a", 1), ("b", 2), ("c", 60))
    assert plan.plan(10, WEIGHTS, back)[0].start == 300
    assert plan.plan(70, WEIGHTS, back)[0].start == 0


def test_budget_limits_the_moves_within_its_window() -> None:
    """Guards against too many moves at a time over a domain's services."""
    budget = planner.MoveBudget(LIMITS)
    assert [budget.take(float(n)) for n in range(5)] == [True] * 4 + [False]
    assert budget.remaining(60.5) == 1


def test_hot_key_moves_alone() -> None:
    """Guards against moving a whole range because of one hot key."""
    plan = _planner(LIMITS._replace(rounds=1))
    owned = _ranges(("a", 90), ("a", 20), ("b", 40), ("c", 10))
    hot = [planner.HotKey(42, 45.0), planner.HotKey(43, 5.0)]
    moves = plan.plan(0, WEIGHTS, owned, hot)
    assert moves[0] == planner.Move("price", 42, 43, "a", "c")


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.floats(0, 100, allow_nan=False),
        ),
        max_size=24,
    )
)
def test_moves_even_out_the_loads(loads: list[tuple[str, float]]) -> None:
    """Guards against plans that make another server the hottest."""
    owned = _ranges(*loads)
    moves = _planner(LIMITS._replace(rounds=1)).plan(0, WEIGHTS, owned)
    targets = {move.start: move.target for move in moves}
    before = dict.fromkeys(WEIGHTS, 0.0)
    after = dict.fromkeys(WEIGHTS, 0.0)
    for item in owned:
        before[item.server] += item.load
        after[targets.get(item.start, item.server)] += item.load
    assert len(moves) <= LIMITS.moves
    assert max(after.values()) <= max(before.values()) + 1e-9
    # Of two servers with the highest load, perhaps only one has a range
    # that can move, so the sum of squares is compared.
    squares = [sum(x * x for x in loads.values()) for loads in (before, after)]
    assert squares[1] < squares[0] if moves else after == before
