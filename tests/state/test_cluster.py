"""Records that conflict, arrive late or twice."""

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
from tests.state import scenes

HALF = ranges.END // 2


def test_second_of_two_operators_gets_the_current_version() -> None:
    """Guards against the later of two racing edits undoing the first."""
    state = scenes.led_state()
    rows = scenes.rows(scenes.CSV.replace("500,stay", "400,stay"))
    scenes.applied(state, 5, records.TableChange("x", "anna", 0, rows))
    late = state.apply(6, records.TableChange("y", "jan", 0, scenes.rows()))
    assert isinstance(late, outcomes.Refusal)
    assert late.code is codes.ResultCode.TABLE_CONFLICT
    assert "version 5" in late.reason
    assert state.table.rows == rows


def test_repeated_and_reordered_appends_change_nothing() -> None:
    """Guards against retries of an append that already took effect."""
    state = scenes.led_state()
    first = scenes.assign(
        "warszawa-a", scenes.change("prices", 0, HALF, (3,), "p2", "p1")
    )
    second = scenes.assign(
        "warszawa-a", scenes.change("prices", 0, HALF, (5,), "p1", "p2")
    )
    scenes.applied(state, 5, first)
    scenes.applied(state, 6, second)
    assert scenes.refused(state, 7, first) is codes.ResultCode.RANGE_CONFLICT
    assert scenes.refused(state, 8, second) is codes.ResultCode.RANGE_CONFLICT
    assert scenes.refused(state, 9, first) is codes.ResultCode.RECORD_STALE
    found = state.ranges_by_service["prices"].find(0)
    assert found == ranges.Range(0, HALF, "p1", ("p2",), 6, -1)


def test_offset_that_was_applied_is_not_applied_again() -> None:
    """Guards against a late batch taking the state back."""
    state = scenes.led_state()
    stale = records.TableChange("x", "anna", 0, scenes.rows())
    assert scenes.refused(state, 4, stale) is codes.ResultCode.RECORD_STALE
    assert state == scenes.led_state()


def test_late_record_of_an_old_term_is_refused() -> None:
    """Guards against a paused leader that resumes after its successor."""
    state = scenes.led_state()
    move = scenes.change("prices", 0, HALF, (3,), "p2")
    new = records.Lead("l", "warszawa-a", records.Term(1, 2, "other#1"))
    scenes.applied(state, 5, new)
    late = scenes.assign("warszawa-a", move)
    assert scenes.refused(state, 6, late) is codes.ResultCode.TERM_STALE
    old = records.Lead("l1", "warszawa-a", scenes.TERMS["warszawa-a"])
    assert scenes.refused(state, 7, old) is codes.ResultCode.TERM_STALE


def test_copy_of_a_lead_and_one_from_the_future_are_refused() -> None:
    """Guards against epochs that move on without a new leader."""
    state = scenes.led_state()
    before = state.domain("radom")
    for name, term in (
        ("copy", scenes.TERMS["radom"]),
        ("future", records.Term(3, 1, "radom#2")),
    ):
        record = records.Lead(name, "radom", term)
        scenes.refused(state, state.offset + 1, record)
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
def test_one_wrong_change_refuses_the_whole_record(
    changes: list[typing.Any], code: codes.ResultCode
) -> None:
    """Guards against overlaps and owners that cannot serve the range."""
    state = scenes.led_state()
    good = scenes.change("promotions", 0, 9, (4,), "q1")
    wrong = [
        scenes.change("prices", start, end, (3,), *names)
        for start, end, *names in changes
    ]
    record = scenes.assign("warszawa-a", good, *wrong)
    assert scenes.refused(state, 5, record) is code
    assert len(state.ranges_by_service["promotions"]) == 1


def test_leader_may_not_move_ranges_of_another_domain() -> None:
    """Guards against two domains giving one range to two owners."""
    state = scenes.led_state()
    move = scenes.change("prices", 0, ranges.END, (3,), "p3")
    for record in (
        scenes.assign("radom", move),
        scenes.intent("radom", move),
    ):
        code = scenes.refused(state, state.offset + 1, record)
        assert code is codes.ResultCode.TERM_STALE


def test_intent_marks_ranges_and_the_assign_names_it_as_base() -> None:
    """Guards against an assignment planned before the intent."""
    state = scenes.led_state()
    changes = scenes.change("prices", 0, HALF, (3,), "p2", "p1")
    scenes.applied(state, 5, scenes.intent("warszawa-a", changes))
    marked = state.ranges_by_service["prices"].find(7)
    assert marked == ranges.Range(0, HALF, "p1", ("p2",), 5, 5)
    assert state.ranges_by_service["prices"].find(HALF).version == 3
    assert list(state.intents.by_offset) == [5]
    code = scenes.refused(state, 6, scenes.assign("warszawa-a", changes))
    assert code is codes.ResultCode.RANGE_CONFLICT
    for offset, start, end in ((7, 10, 20), (8, 0, 10), (9, 20, HALF)):
        assert list(state.intents.by_offset) == [5]
        part = scenes.change("prices", start, end, (5,), "p2")
        scenes.applied(state, offset, scenes.assign("warszawa-a", part))
    assert not state.intents.by_offset


def test_server_that_owns_ranges_cannot_be_removed_or_relocated() -> None:
    """Guards against keys whose owner is no longer in the table."""
    state = scenes.led_state()
    lines = scenes.CSV.splitlines()
    without = "\n".join(line for line in lines if ",p1," not in line)
    moved = scenes.CSV.replace("p1,warszawa-a", "p1,radom")
    for name, text in (("x", without), ("y", moved)):
        record = records.TableChange(name, "anna", 0, scenes.rows(text))
        code = scenes.refused(state, state.offset + 1, record)
        assert code is codes.ResultCode.SERVER_OWNS_RANGES


def test_copy_of_a_refused_record_stays_refused() -> None:
    """Guards against a retry taking effect after its writer was refused."""
    state = scenes.led_state()
    lines = scenes.CSV.splitlines()
    rows = scenes.rows("\n".join(line for line in lines if ",p1," not in line))
    record = records.TableChange("x", "anna", 0, rows)
    code = scenes.refused(state, 5, record)
    assert code is codes.ResultCode.SERVER_OWNS_RANGES
    move = scenes.change("prices", 0, ranges.END, (3,), "p2")
    scenes.applied(state, 6, scenes.assign("warszawa-a", move))
    assert scenes.refused(state, 7, record) is codes.ResultCode.RECORD_STALE
    assert state.table.version == 0
    scenes.applied(state, 8, records.TableChange("y", "anna", 0, rows))


def test_successor_that_leaves_the_domain_is_forgotten() -> None:
    """Guards against a failover to a server of another domain."""
    state = scenes.led_state()
    text = scenes.CSV.replace("p2,warszawa-a", "p2,radom")
    scenes.applied(
        state, 5, records.TableChange("x", "a", 0, scenes.rows(text))
    )
    found = state.ranges_by_service["prices"].find(0)
    assert (found.server, found.successors) == ("p1", ())


def test_removed_service_comes_back_unowned_with_a_new_version() -> None:
    """Guards against a late record that names the earlier ranges."""
    state = scenes.led_state()
    release = scenes.change("promotions", 0, ranges.END, (4,), "")
    scenes.applied(state, 5, scenes.assign("warszawa-a", release))
    lines = scenes.CSV.splitlines()
    text = "\n".join(line for line in lines if "promotions" not in line)
    scenes.applied(
        state, 6, records.TableChange("x", "a", 0, scenes.rows(text))
    )
    scenes.applied(state, 7, records.TableChange("y", "a", 6, scenes.rows()))
    late = scenes.change("promotions", 0, ranges.END, (0,), "q1")
    code = scenes.refused(state, 8, scenes.assign("warszawa-a", late))
    assert code is codes.ResultCode.RANGE_CONFLICT
    found = state.ranges_by_service["promotions"].find(1)
    assert found == ranges.Range(0, ranges.END, "", (), 7, -1)


def test_domain_and_host_changes_are_conditional() -> None:
    """Guards against an old edit returning a domain to service."""
    state = scenes.led_state()
    scenes.applied(
        state, 5, records.DomainChange("d", "a", "radom", "out", -1)
    )
    late = records.DomainChange("e", "b", "radom", "in", -1)
    assert scenes.refused(state, 6, late) is codes.ResultCode.TABLE_CONFLICT
    unknown = records.DomainChange("f", "b", "rdaom", "out", -1)
    assert scenes.refused(state, 7, unknown) is codes.ResultCode.NAME_UNKNOWN
    scenes.applied(state, 8, records.HostChange("h", "a", "e1", "leaving", -1))
    again = records.HostChange("i", "b", "e1", "active", -1)
    assert scenes.refused(state, 9, again) is codes.ResultCode.TABLE_CONFLICT
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
    kind = draw(strategies.sampled_from([scenes.assign, scenes.intent]))
    return kind, draw(strategies.sampled_from(scenes.DOMAINS)), changes


@hypothesis.given(strategies.lists(moves(), max_size=25))
@hypothesis.settings(max_examples=150, deadline=None)
def test_any_records_keep_the_partition(drawn: list[typing.Any]) -> None:
    """Guards against lost positions and against hosts that disagree."""
    state, other = scenes.led_state(), scenes.led_state()
    for kind, domain, rows in drawn:
        changes = []
        for service, start, end, server, fresh in rows:
            current = state.ranges_by_service[service]
            bases = tuple(
                row.version
                for row in current.overlapping(start, end)
                if start < end
            )
            changes.append(
                scenes.change(
                    service, start, end, bases if fresh else (3,), server
                )
            )
        record = kind(domain, *changes)
        body = records.encode(record)
        answer = state.apply(state.offset + 1, record)
        again = other.apply(other.offset + 1, records.decode(body))
        assert type(answer) is type(again)
        assert state == other
        covered = set()
        for range_map in state.ranges_by_service.values():
            assert range_map.is_partition()
            covered |= {row.intent for row in range_map} - {-1}
        assert covered == set(state.intents.by_offset)
    assert not state.checks.violations_by_name
