"""Eviction of ranges of a cut-off domain, section 5.6 of docs/design.md."""

from __future__ import annotations

import pytest

from agatestile.results import codes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from tests.state import helpers

EVICTION = helpers.change("promotions", 0, ranges.END, (4,), "q2")
EVICTION_AFTER_INTENT = helpers.change("promotions", 0, ranges.END, (5,), "q2")
OWNER_TERM = helpers.TERMS["warszawa-a"]


def evicting_state() -> cluster.ClusterState:
    """Return a state in which radom announced an eviction at offset 5."""
    state = helpers.state_with_leaders()
    helpers.apply_accepted(state, 5, helpers.intent("radom", EVICTION))
    return state


def evicted_range(state: cluster.ClusterState) -> ranges.Range:
    """Return the range that is being evicted."""
    return state.ranges_by_service["promotions"].find(0)


def test_announced_eviction_without_objection_takes_the_range() -> None:
    """Guards against keys that stay with a domain that is cut off."""
    state = evicting_state()
    assert state.evicting_domain(evicted_range(state)) == "radom"
    other = records.Lead("l", "kaneshie", records.Term(0, 1, "k#1"))
    state.apply(6, other)
    helpers.apply_accepted(
        state, 7, helpers.assign("radom", EVICTION_AFTER_INTENT)
    )
    assert evicted_range(state).server == "q2"
    assert state.evicting_domain(evicted_range(state)) == ""
    helpers.apply_refused(
        state, 8, helpers.assign("warszawa-a", EVICTION_AFTER_INTENT)
    )


@pytest.mark.parametrize(
    "objection",
    [
        records.Intent("o1", "warszawa-a", OWNER_TERM, ()),
        records.Assign("o2", "warszawa-a", OWNER_TERM, (EVICTION,)),
        records.Lead("o3", "warszawa-a", records.Term(1, 1, "new#1")),
        records.Lead("o4", "warszawa-a", OWNER_TERM),
    ],
    ids=["empty intent", "refused assign", "new leader", "lead again"],
)
def test_any_record_by_the_owning_leader_is_an_objection(
    objection: records.Record,
) -> None:
    """Guards against two owners while the owning domain is reachable."""
    state = evicting_state()
    assert state.intent_of(evicted_range(state)) is not None
    state.apply(6, objection)
    assert state.evicting_domain(evicted_range(state)) == ""
    assert state.intent_of(evicted_range(state)) is None
    code = helpers.apply_refused(
        state, 7, helpers.assign("radom", EVICTION_AFTER_INTENT)
    )
    assert code is codes.ResultCode.TERM_STALE
    assert evicted_range(state).server == "q1"


def test_record_by_an_earlier_leader_is_not_an_objection() -> None:
    """Guards against a late record of a lost leader stopping an eviction."""
    state = helpers.state_with_leaders()
    new = records.Lead("n", "warszawa-a", records.Term(1, 2, "new#1"))
    state.apply(5, new)
    state.apply(6, helpers.intent("radom", EVICTION))
    state.apply(7, records.Intent("late", "warszawa-a", OWNER_TERM, ()))
    assert state.evicting_domain(evicted_range(state)) == "radom"


def test_eviction_needs_its_own_intent() -> None:
    """Guards against an eviction without an announcement."""
    for intent in (None, helpers.intent("warszawa-a", EVICTION)):
        state = helpers.state_with_leaders()
        base = EVICTION
        if intent is not None:
            state.apply(5, intent)
            base = EVICTION_AFTER_INTENT
        code = helpers.apply_refused(state, 6, helpers.assign("radom", base))
        assert code is codes.ResultCode.TERM_STALE


def test_later_eviction_replaces_the_earlier_one() -> None:
    """Guards against two domains that both take the range."""
    state = evicting_state()
    term = records.Term(0, 1, "k#1")
    state.apply(6, records.Lead("l", "kaneshie", term))
    second = records.Intent(
        "second", "kaneshie", term, (EVICTION_AFTER_INTENT,)
    )
    helpers.apply_accepted(state, 7, second)
    helpers.apply_refused(
        state, 8, helpers.assign("radom", EVICTION_AFTER_INTENT)
    )
    assert state.evicting_domain(evicted_range(state)) == "kaneshie"


def test_changing_on_cut_to_stay_stops_an_announced_eviction() -> None:
    """Guards against an eviction after ``on_cut=move`` was revoked."""
    state = evicting_state()
    rows = helpers.rows(helpers.CSV.replace("move", "stay"))
    state.apply(6, records.TableChange("t2", "anna", 0, rows))
    helpers.apply_refused(
        state, 7, helpers.assign("radom", EVICTION_AFTER_INTENT)
    )
    assert evicted_range(state).server == "q1"
