"""Evictions of ranges of a domain that is cut off, section 5.6."""

from __future__ import annotations

import pytest

from agatestile.results import codes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from tests.state import scenes

MOVE = scenes.change("promotions", 0, ranges.END, (4,), "q2")
ANNOUNCED = scenes.change("promotions", 0, ranges.END, (5,), "q2")
OWNER = scenes.TERMS["warszawa-a"]


def evicting_state() -> cluster.ClusterState:
    """Return a state in which radom announced an eviction at offset 5."""
    state = scenes.led_state()
    scenes.applied(state, 5, scenes.intent("radom", MOVE))
    return state


def owner_of(state: cluster.ClusterState) -> ranges.Range:
    """Return the range that is evicted."""
    return state.ranges_by_service["promotions"].find(0)


def test_announced_eviction_without_objection_takes_the_range() -> None:
    """Guards against keys that stay with a domain that is cut off."""
    state = evicting_state()
    assert state.evicting_domain(owner_of(state)) == "radom"
    other = records.Lead("l", "kaneshie", records.Term(0, 1, "k#1"))
    state.apply(6, other)
    scenes.applied(state, 7, scenes.assign("radom", ANNOUNCED))
    assert owner_of(state).server == "q2"
    assert state.evicting_domain(owner_of(state)) == ""
    scenes.refused(state, 8, scenes.assign("warszawa-a", ANNOUNCED))


@pytest.mark.parametrize(
    "objection",
    [
        records.Intent("o1", "warszawa-a", OWNER, ()),
        records.Assign("o2", "warszawa-a", OWNER, (MOVE,)),
        records.Lead("o3", "warszawa-a", records.Term(1, 1, "new#1")),
        records.Lead("o4", "warszawa-a", OWNER),
    ],
    ids=["empty intent", "refused assign", "new leader", "lead again"],
)
def test_any_record_of_the_owning_leader_is_an_objection(
    objection: records.Record,
) -> None:
    """Guards against two owners while the owning domain is reachable."""
    state = evicting_state()
    assert state.intent_of(owner_of(state)) is not None
    state.apply(6, objection)
    assert state.evicting_domain(owner_of(state)) == ""
    assert state.intent_of(owner_of(state)) is None
    code = scenes.refused(state, 7, scenes.assign("radom", ANNOUNCED))
    assert code is codes.ResultCode.TERM_STALE
    assert owner_of(state).server == "q1"


def test_record_of_an_earlier_leader_is_no_objection() -> None:
    """Guards against a late record of a lost leader keeping its keys."""
    state = scenes.led_state()
    new = records.Lead("n", "warszawa-a", records.Term(1, 2, "new#1"))
    state.apply(5, new)
    state.apply(6, scenes.intent("radom", MOVE))
    state.apply(7, records.Intent("late", "warszawa-a", OWNER, ()))
    assert state.evicting_domain(owner_of(state)) == "radom"


def test_eviction_needs_its_own_intent() -> None:
    """Guards against an eviction that skips the announcement."""
    for intent in (None, scenes.intent("warszawa-a", MOVE)):
        state = scenes.led_state()
        base = MOVE
        if intent is not None:
            state.apply(5, intent)
            base = ANNOUNCED
        code = scenes.refused(state, 6, scenes.assign("radom", base))
        assert code is codes.ResultCode.TERM_STALE


def test_later_eviction_replaces_the_earlier_one() -> None:
    """Guards against two domains that both take the range."""
    state = evicting_state()
    term = records.Term(0, 1, "k#1")
    state.apply(6, records.Lead("l", "kaneshie", term))
    second = records.Intent("second", "kaneshie", term, (ANNOUNCED,))
    scenes.applied(state, 7, second)
    scenes.refused(state, 8, scenes.assign("radom", ANNOUNCED))
    assert state.evicting_domain(owner_of(state)) == "kaneshie"


def test_service_that_stays_is_not_evicted_after_a_table_change() -> None:
    """Guards against an eviction under a rule no longer in force."""
    state = evicting_state()
    rows = scenes.rows(scenes.CSV.replace("move", "stay"))
    state.apply(6, records.TableChange("t2", "anna", 0, rows))
    scenes.refused(state, 7, scenes.assign("radom", ANNOUNCED))
    assert owner_of(state).server == "q1"
