"""Records that conflict, arrive late or arrive twice."""

from __future__ import annotations

import typing

import hypothesis
from hypothesis import strategies
import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from tests.state import helpers

HALF = ranges.END // 2


def test_conflicting_table_change_is_refused_with_the_current_version() -> (
    None
):
    """Guards against the later of two concurrent edits undoing the first."""
    state = helpers.state_with_leaders()
    rows = helpers.rows(helpers.CSV.replace("500,stay", "400,stay"))
    helpers.apply_accepted(state, 5, records.TableChange("x", "anna", 0, rows))
    late = state.apply(6, records.TableChange("y", "jan", 0, helpers.rows()))
    assert isinstance(late, outcomes.Refusal)
    assert late.code is codes.ResultCode.TABLE_CONFLICT
    assert "version 5" in late.reason
    assert state.table.rows == rows


def test_repeated_and_reordered_appends_change_nothing() -> None:
    """Guards against applying retries of an append that took effect."""
    state = helpers.state_with_leaders()
    first = helpers.assign(
        "warszawa-a", helpers.change("prices", 0, HALF, (3,), "p2", "p1")
    )
    second = helpers.assign(
        "warszawa-a", helpers.change("prices", 0, HALF, (5,), "p1", "p2")
    )
    helpers.apply_accepted(state, 5, first)
    helpers.apply_accepted(state, 6, second)
    assert (
        helpers.apply_refused(state, 7, first)
        is codes.ResultCode.RANGE_CONFLICT
    )
    assert (
        helpers.apply_refused(state, 8, second)
        is codes.ResultCode.RANGE_CONFLICT
    )
    assert (
        helpers.apply_refused(state, 9, first) is codes.ResultCode.RECORD_STALE
    )
    found = state.ranges_by_service["prices"].find(0)
    assert found == ranges.Range(0, HALF, "p1", ("p2",), 6, -1)


def test_offset_that_was_applied_is_not_applied_again() -> None:
    """Guards against a late batch of records reverting the state."""
    state = helpers.state_with_leaders()
    stale = records.TableChange("x", "anna", 0, helpers.rows())
    assert (
        helpers.apply_refused(state, 4, stale) is codes.ResultCode.RECORD_STALE
    )
    assert state == helpers.state_with_leaders()


def test_late_record_of_an_old_term_is_refused() -> None:
    """Guards against records of a leader that resumes after its successor."""
    state = helpers.state_with_leaders()
    move = helpers.change("prices", 0, HALF, (3,), "p2")
    new = records.Lead("l", "warszawa-a", records.Term(1, 2, "other#1"))
    helpers.apply_accepted(state, 5, new)
    late = helpers.assign("warszawa-a", move)
    assert helpers.apply_refused(state, 6, late) is codes.ResultCode.TERM_STALE
    old = records.Lead("l1", "warszawa-a", helpers.TERMS["warszawa-a"])
    assert helpers.apply_refused(state, 7, old) is codes.ResultCode.TERM_STALE


def test_repeated_lead_and_lead_with_a_future_epoch_are_refused() -> None:
    """Guards against epochs that advance without a new leader."""
    state = helpers.state_with_leaders()
    before = state.domain("radom")
    for name, term in (
        ("copy", helpers.TERMS["radom"]),
        ("future", records.Term(3, 1, "radom#2")),
    ):
        record = records.Lead(name, "radom", term)
        helpers.apply_refused(state, state.offset + 1, record)
        after = state.domain("radom")
        assert after._replace(heard=before.heard) == before


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ([(0, 9, "p1"), (8, 20, "p2")], codes.ResultCode.RANGE_CONFLICT),
        ([(0, 9, "p1", "p3")], codes.ResultCode.RANGE_CONFLICT),
        ([(0, 9, "p1", "p1")], codes.ResultCode.RANGE_CONFLICT),
        ([(9, 9, "p1")], codes.ResultCode.RANGE_CONFLICT),
        ([(0, ranges.END + 1, "p1")], codes.ResultCode.RANGE_CONFLICT),
        ([(0, 9, "q1")], codes.ResultCode.NAME_UNKNOWN),
        ([(0, 9, "p9")], codes.ResultCode.NAME_UNKNOWN),
        ([(0, 9, "", "p1")], codes.ResultCode.NAME_UNKNOWN),
    ],
)
def test_one_invalid_change_refuses_the_whole_record(
    changes: list[typing.Any], code: codes.ResultCode
) -> None:
    """Guards against overlaps and owners that cannot serve the range."""
    state = helpers.state_with_leaders()
    good = helpers.change("promotions", 0, 9, (4,), "q1")
    wrong = [
        helpers.change("prices", start, end, (3,), *names)
        for start, end, *names in changes
    ]
    record = helpers.assign("warszawa-a", good, *wrong)
    assert helpers.apply_refused(state, 5, record) is code
    assert len(state.ranges_by_service["promotions"]) == 1


def test_leader_may_not_move_ranges_of_another_domain() -> None:
    """Guards against two domains giving one range to two owners."""
    state = helpers.state_with_leaders()
    move = helpers.change("prices", 0, ranges.END, (3,), "p3")
    for record in (
        helpers.assign("radom", move),
        helpers.intent("radom", move),
    ):
        code = helpers.apply_refused(state, state.offset + 1, record)
        assert code is codes.ResultCode.TERM_STALE


def test_assign_after_an_intent_must_be_based_on_the_intent() -> None:
    """Guards against an assignment that was planned before the intent."""
    state = helpers.state_with_leaders()
    changes = helpers.change("prices", 0, HALF, (3,), "p2", "p1")
    helpers.apply_accepted(state, 5, helpers.intent("warszawa-a", changes))
    marked = state.ranges_by_service["prices"].find(7)
    assert marked == ranges.Range(0, HALF, "p1", ("p2",), 5, 5)
    assert state.ranges_by_service["prices"].find(HALF).version == 3
    assert list(state.intents.by_offset) == [5]
    code = helpers.apply_refused(
        state, 6, helpers.assign("warszawa-a", changes)
    )
    assert code is codes.ResultCode.RANGE_CONFLICT
    for offset, start, end in ((7, 10, 20), (8, 0, 10), (9, 20, HALF)):
        assert list(state.intents.by_offset) == [5]
        part = helpers.change("prices", start, end, (5,), "p2")
        helpers.apply_accepted(
            state, offset, helpers.assign("warszawa-a", part)
        )
    assert not state.intents.by_offset


def test_server_that_owns_ranges_cannot_be_removed_or_relocated() -> None:
    """Guards against keys whose owner is no longer in the table."""
    state = helpers.state_with_leaders()
    lines = helpers.CSV.splitlines()
    without = "\n".join(line for line in lines if ",p1," not in line)
    moved = helpers.CSV.replace("p1,warszawa-a", "p1,radom")
    for name, text in (("x", without), ("y", moved)):
        record = records.TableChange(name, "anna", 0, helpers.rows(text))
        code = helpers.apply_refused(state, state.offset + 1, record)
        assert code is codes.ResultCode.SERVER_OWNS_RANGES


def test_copy_of_a_refused_record_stays_refused() -> None:
    """Guards against a retry taking effect after its writer was refused."""
    state = helpers.state_with_leaders()
    lines = helpers.CSV.splitlines()
    rows = helpers.rows(
        "\n".join(line for line in lines if ",p1," not in line)
    )
    record = records.TableChange("x", "anna", 0, rows)
    code = helpers.apply_refused(state, 5, record)
    assert code is codes.ResultCode.SERVER_OWNS_RANGES
    move = helpers.change("prices", 0, ranges.END, (3,), "p2")
    helpers.apply_accepted(state, 6, helpers.assign("warszawa-a", move))
    assert (
        helpers.apply_refused(state, 7, record)
        is codes.ResultCode.RECORD_STALE
    )
    assert state.table.version == 0
    helpers.apply_accepted(state, 8, records.TableChange("y", "anna", 0, rows))


def test_successor_that_leaves_the_domain_is_dropped() -> None:
    """Guards against failover to a server of another domain."""
    state = helpers.state_with_leaders()
    text = helpers.CSV.replace("p2,warszawa-a", "p2,radom")
    helpers.apply_accepted(
        state, 5, records.TableChange("x", "a", 0, helpers.rows(text))
    )
    found = state.ranges_by_service["prices"].find(0)
    assert (found.server, found.successors) == ("p1", ())


def test_service_added_again_is_unowned_with_a_new_version() -> None:
    """Guards against applying a late record based on the removed ranges."""
    state = helpers.state_with_leaders()
    release = helpers.change("promotions", 0, ranges.END, (4,), "")
    helpers.apply_accepted(state, 5, helpers.assign("warszawa-a", release))
    lines = helpers.CSV.splitlines()
    text = "\n".join(line for line in lines if "promotions" not in line)
    helpers.apply_accepted(
        state, 6, records.TableChange("x", "a", 0, helpers.rows(text))
    )
    helpers.apply_accepted(
        state, 7, records.TableChange("y", "a", 6, helpers.rows())
    )
    late = helpers.change("promotions", 0, ranges.END, (0,), "q1")
    code = helpers.apply_refused(state, 8, helpers.assign("warszawa-a", late))
    assert code is codes.ResultCode.RANGE_CONFLICT
    found = state.ranges_by_service["promotions"].find(1)
    assert found == ranges.Range(0, ranges.END, "", (), 7, -1)


def test_domain_and_host_changes_need_the_current_version() -> None:
    """Guards against an outdated edit returning a domain to service."""
    state = helpers.state_with_leaders()
    helpers.apply_accepted(
        state, 5, records.DomainChange("d", "a", "radom", "out", -1)
    )
    late = records.DomainChange("e", "b", "radom", "in", -1)
    assert (
        helpers.apply_refused(state, 6, late)
        is codes.ResultCode.TABLE_CONFLICT
    )
    unknown = records.DomainChange("f", "b", "rdaom", "out", -1)
    assert (
        helpers.apply_refused(state, 7, unknown)
        is codes.ResultCode.NAME_UNKNOWN
    )
    helpers.apply_accepted(
        state, 8, records.HostChange("h", "a", "e1", "leaving", -1)
    )
    repeated = records.HostChange("i", "b", "e1", "active", -1)
    assert (
        helpers.apply_refused(state, 9, repeated)
        is codes.ResultCode.TABLE_CONFLICT
    )
    assert state.domain("radom").state == "out"
    assert state.hosts_by_name["e1"] == cluster.Host("leaving", 8)


POSITIONS = strategies.integers(0, 12).map(lambda n: n * (ranges.END // 12))


@strategies.composite
def moves(draw: strategies.DrawFn) -> tuple[typing.Any, ...]:
    """Draw the kind of a record, its writer and its changes."""
    changes = draw(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["prices", "promotions"]),
                POSITIONS,
                POSITIONS,
                strategies.sampled_from(["p1", "p2", "p3", "q1", "q2", ""]),
                strategies.booleans(),
            ),
            max_size=3,
        )
    )
    kind = draw(strategies.sampled_from([helpers.assign, helpers.intent]))
    return kind, draw(strategies.sampled_from(helpers.DOMAINS)), changes


@hypothesis.given(strategies.lists(moves(), max_size=25))
@hypothesis.settings(max_examples=150, deadline=None)
def test_any_records_keep_the_partition(drawn: list[typing.Any]) -> None:
    """Guards against lost positions and against hosts that disagree."""
    state, other = helpers.state_with_leaders(), helpers.state_with_leaders()
    for kind, domain, rows in drawn:
        changes = []
        for service, start, end, server, is_current in rows:
            current = state.ranges_by_service[service]
            bases = tuple(
                row.version
                for row in current.overlapping(start, end)
                if start < end
            )
            changes.append(
                helpers.change(
                    service, start, end, bases if is_current else (3,), server
                )
            )
        record = kind(domain, *changes)
        body = records.encode(record)
        result = state.apply(state.offset + 1, record)
        other_result = other.apply(other.offset + 1, records.decode(body))
        assert type(result) is type(other_result)
        assert state == other
        covered = set()
        for range_map in state.ranges_by_service.values():
            assert range_map.is_partition()
            covered |= {row.intent for row in range_map} - {-1}
        assert covered == set(state.intents.by_offset)
    assert not state.checks.violations_by_name
