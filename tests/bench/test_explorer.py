"""Tests of the explorer of who owns keys, and schedules that it found."""

from __future__ import annotations

import pytest

from bench.explorer import checker
from bench.explorer import run
from bench.explorer import schedule as schedule_module

Event = schedule_module.Event

FIRST_SEED = 1
SEED_COUNT = 10

SCHEDULES_BY_FAULT = {
    "leader restarts beside a paused server": schedule_module.Schedule(
        31,
        (
            Event(18.140147644621507, "pause", "e", 12.0),
            Event(19.868926512348548, "kill", "leader", 0.3),
        ),
    ),
    "leader is replaced beside a paused server": schedule_module.Schedule(
        43,
        (
            Event(17.093508993582557, "pause", "e", 9.0),
            Event(18.828684510577666, "cut_store", "leader", 3.0),
        ),
    ),
    "first leader restarts beside a paused server": schedule_module.Schedule(
        44,
        (
            Event(6.0, "pause", "c", 12.0),
            Event(7.42501724055277, "kill", "leader", 0.3),
        ),
    ),
    "leader is replaced beside a server paused late": schedule_module.Schedule(
        59,
        (
            Event(31.153286855686133, "pause", "a", 12.0),
            Event(33.04404838085844, "cut_store", "leader", 3.0),
        ),
    ),
    "leader's link is full as keys move": schedule_module.Schedule(
        97,
        (
            Event(25.94548787627245, "cut_registration", "c", 9.0),
            Event(
                26.470320461704404,
                "fill_link",
                "leader",
                2.5,
                amount=2.042990978037414,
            ),
            Event(29.289786252606053, "cut_link", "h3", 9.0, "c"),
        ),
    ),
}
"""Schedules with two holders of the same keys on ba5cce6."""

BLOCKED_SERVER = schedule_module.Schedule(
    3, (Event(26.427817241053727, "block", "a", 7.0),)
)
PAUSED_AND_CUT_SERVER = schedule_module.Schedule(
    54,
    (
        Event(27.967536189728875, "pause", "d", 2.5),
        Event(30.753364507370307, "cut_link", "h1", 9.0, "d"),
    ),
)
SMALL_FLEET_BEHIND_FULL_LINK = schedule_module.Schedule(
    94,
    (
        Event(20.2288397289977, "cut_registration", "a", 9.0),
        Event(
            21.44817118581108,
            "fill_link",
            "leader",
            5.0,
            amount=1.4861373604381902,
        ),
        Event(24.030706783513924, "cut_link", "h2", 9.0, "a"),
    ),
)


SCHEDULE_BY_GUARD = {
    "arrival_slack": (11, "lost_server"),
    "clock_error": (4, "lost_server"),
    "recent_confirmation": (3, "isolated_leader"),
    "confirmation_by_read": (17, "isolated_leader"),
    "old_connections": (20, "isolated_leader"),
    "wait_for_predecessor": (1, "divided_hosts"),
    "late_releases": (1, "paused_server"),
    "stored_recipients": (5, "paused_server"),
    "release_with_new_fence": (3, None),
    "later_incarnation_releases": (4, None),
    "leases_of_predecessor": (3, None),
}
"""Seed and motif that break the rule once a guard is taken out."""

SCHEDULE_BY_ERA_GUARD = {
    "era_of_epochs": (14, "restored_store"),
    "unknown_holders": (11, "restored_store"),
    "era_of_leadership": (11, "restored_store"),
    "proof_of_owners": (6, "lost_successor"),
    "era_in_keys": (12, "late_append"),
    "report_delay": (3, "late_reports"),
}
"""The same for guards of a store that was restored or is late. Tokens that are
used twice show as grants below those of others."""


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_random_schedule_keeps_owners_apart(seed: int) -> None:
    """Guards against two holders of a key, and against idle runs."""
    schedule = schedule_module.Schedule.from_seed(seed)
    result = run.play(schedule)
    assert result.violations == []
    assert result.epoch_count and result.holding_count


@pytest.mark.parametrize(
    "motif",
    schedule_module.ERA_MOTIF_BY_NAME | schedule_module.REPORT_MOTIF_BY_NAME,
)
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + 4))
def test_restored_store_keeps_owners_apart(seed: int, motif: str) -> None:
    """Guards against what a store forgets, or carries out late."""
    schedule = schedule_module.Schedule.from_seed(seed, motif)
    result = run.play(schedule)
    assert result.violations == []
    assert result.holding_count


@pytest.mark.parametrize("fault", SCHEDULES_BY_FAULT)
def test_schedule_that_failed_keeps_owners_apart(fault: str) -> None:
    """Guards against the return of faults that were mended."""
    assert run.play(SCHEDULES_BY_FAULT[fault]).violations == []


def test_paused_server_without_connections_gives_its_keys_up() -> None:
    """Guards against a late grant of a server with a full accept queue."""
    assert run.play(BLOCKED_SERVER).violations == []


def test_paused_server_that_is_cut_off_afterwards_gives_its_keys_up() -> None:
    """Guards against a late grant of a server that no release reaches."""
    assert run.play(PAUSED_AND_CUT_SERVER).violations == []


def test_small_fleet_outlasts_grants_in_a_full_link() -> None:
    """Guards against a full link that too few orders show."""
    assert run.play(SMALL_FLEET_BEHIND_FULL_LINK).violations == []


def test_run_repeats_exactly() -> None:
    """Guards against failures that can't be repeated from their seed."""
    schedule = schedule_module.Schedule.from_seed(2)
    assert run.play(schedule) == run.play(schedule)


def test_shrinking_keeps_what_fails() -> None:
    """Guards against shrunk schedules that lack an event of the failure."""
    schedule = schedule_module.Schedule.from_seed(1)
    needed = {schedule.events[3], schedule.events[-2]}
    small = run.shrink(schedule, lambda one: needed <= set(one.events))
    assert set(small.events) == needed


def _holding(
    server: str, first: int, last: int, start: float, end: float
) -> checker.Holding:
    return checker.Holding(server, first, last, 1, start, end)


def test_checker_joins_renewed_holdings() -> None:
    """Guards against an overlap that renewals and splits hide."""
    overlaps = checker.find_overlaps(
        [
            _holding("a", 0, 99, 0.0, 10.0),
            _holding("b", 50, 149, 4.0, 4.4),
            _holding("b", 50, 79, 4.4, 4.9),
            _holding("b", 60, 79, 6.0, 6.1),
            _holding("c", 100, 149, 0.0, 4.0),
        ]
    )
    longest = max(overlaps)
    assert (longest.servers, longest.key) == (("a", "b"), 60)
    assert longest.seconds == pytest.approx(0.9)
    assert {one.servers for one in overlaps} == {("a", "b")}


def test_checker_tells_lower_tokens_from_repeats_and_late_ones() -> None:
    """Guards against grants below another server's that go unnoticed."""
    takings = [
        checker.Taking(1.0, "a", 0, 9, 5, 0.9),
        checker.Taking(2.0, "b", 5, 9, 7, 1.9),
        checker.Taking(3.0, "a", 0, 9, 5, 2.9),
        checker.Taking(4.0, "c", 9, 9, 6, 1.5),
        checker.Taking(5.0, "d", 9, 20, 7, 4.9),
        # The next life of a server repeats its token.
        checker.Taking(6.0, "d", 10, 20, 7, 5.9, 2),
        checker.Taking(7.0, "d", 10, 20, 7, 6.9, 2),
    ]
    found = checker.find_lower_tokens(takings)
    assert [(one.taking.server, one.is_late) for one in found] == [
        ("c", True),
        ("d", False),
        ("d", False),
    ]


@pytest.mark.parametrize("guard", SCHEDULE_BY_GUARD)
def test_explorer_finds_that_a_guard_is_missing(guard: str) -> None:
    """Guards against an explorer that has become blind to a rule."""
    schedule = schedule_module.Schedule.from_seed(*SCHEDULE_BY_GUARD[guard])
    assert run.play(schedule, guard).overlaps
    assert run.play(schedule).violations == []


@pytest.mark.parametrize("guard", SCHEDULE_BY_ERA_GUARD)
def test_explorer_finds_that_a_guard_of_eras_is_missing(guard: str) -> None:
    """Guards against an explorer that is blind to a restored store."""
    seed, motif = SCHEDULE_BY_ERA_GUARD[guard]
    schedule = schedule_module.Schedule.from_seed(seed, motif)
    assert run.play(schedule, guard).violations
    assert run.play(schedule).violations == []
