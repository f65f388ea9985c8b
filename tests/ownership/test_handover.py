"""Moves of ranges through the log."""

from __future__ import annotations

import collections

from msgspec import structs
import pytest

from agatestile.ownership import handover
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from tests.ownership import support


class Moves:
    """A leader that writes to the log of its own state."""

    def __init__(self, domain: support.LeaderSimulation) -> None:
        self.domain = domain
        self.writer = handover.Handover(domain.leader)
        self.written: list[str] = []

    def step(self, now: float) -> records.Record | None:
        """Append the next record, if there is one."""
        record = self.writer.next_record(now)
        if record is None:
            return None
        known = self.domain.state
        result = known.apply(known.offset + 1, record)
        self.written.append(type(record).__name__)
        if isinstance(result, cluster.Applied):
            self.writer.note_applied(record, result.offset, now)
        return record

    def run(self, start: float, end: float, until: str = "") -> float:
        now = start
        while now < end:
            now = self.domain.run(now, now + 0.05)
            self.step(now)
            if until and until in self.written:
                break
        return now


def move_to(server: str) -> tuple[records.RangeChange, ...]:
    return (support.change(0, support.MIDDLE, 2, server),)


def test_move_goes_through_intent_release_and_assign() -> None:
    """Guards against an Assign before the gate released the range."""
    moves = Moves(support.LeaderSimulation(support.state(), 100.0))
    now = moves.run(100.0, 101.0)
    moves.writer.propose(move_to("p3"))
    now = moves.run(now, now + 1.0, until="Intent")
    permit = moves.domain.gates.enter("p1", 5, now)
    assert not isinstance(permit, outcomes.Refusal)
    now = moves.run(now, now + 1.0)
    assert moves.written == ["Lead", "Intent", "Lead"]
    moves.domain.gates.leave(permit)
    moves.run(now, now + 1.0)
    assert moves.written == ["Lead", "Intent", "Lead", "Assign"]
    assert moves.domain.state.ranges_by_service["price"].find(5).server == "p3"


@pytest.mark.parametrize("last", ["Intent", "Assign"])
def test_next_leader_continues_from_an_open_intent(last: str) -> None:
    """Guards against ranges that stay released after a leader is lost."""
    known = support.state()
    first = Moves(support.LeaderSimulation(known, 100.0))
    first.writer.propose(move_to("p3"))
    now = first.run(100.0, 102.0, until=last)
    second = Moves(
        support.LeaderSimulation(
            known,
            now + 1.0,
            "h2#b",
            first.domain.books,
            records.Term(known.domain(support.DOMAIN).lead_offset, 9, "h2#b"),
        )
    )
    second.domain.gates = first.domain.gates
    second.run(now + 1.0, now + 3.0)
    assert known.ranges_by_service["price"].find(5).server == "p3"
    assert known.intents.by_offset == {}
    assert second.written.count("Assign") == (last == "Intent")


def test_late_assign_of_an_old_leader_is_refused() -> None:
    """Guards against a record that was on its way when the term ended."""
    known = support.state()
    first = Moves(support.LeaderSimulation(known, 100.0))
    first.writer.propose(move_to("p3"))
    now = first.run(100.0, 102.0, until="Intent")
    while not isinstance(
        late := first.writer.next_record(now), records.Assign
    ):
        first.step(now)
        now = first.domain.run(now, now + 0.05)
    support.append(
        known,
        records.Lead(
            "l2",
            support.DOMAIN,
            records.Term(known.domain(support.DOMAIN).lead_offset, 9, "h2#b"),
        ),
    )
    refusal = known.apply(known.offset + 1, late)
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code is codes.ResultCode.TERM_STALE


def test_lost_answer_of_an_assign_changes_nothing_twice() -> None:
    """Guards against a repeated Assign that undoes a later change."""
    known = support.state()
    moves = Moves(support.LeaderSimulation(known, 100.0))
    moves.writer.propose(move_to("p3"))
    now = moves.run(100.0, 102.0, until="Intent")
    while not isinstance(
        lost := moves.writer.next_record(now), records.Assign
    ):
        moves.step(now)
        now = moves.domain.run(now, now + 0.05)
    assert isinstance(moves.writer.next_record(now), records.Assign)
    applied = support.append(known, lost)
    assert moves.writer.next_record(now) is None
    assert isinstance(known.apply(known.offset + 1, lost), outcomes.Refusal)
    current = known.ranges_by_service["price"].find(5)
    assert (current.server, current.version) == ("p3", applied)


def test_step_is_made_permanent() -> None:
    """Guards against a failover that is lost with its leader."""
    known = support.state()
    moves = Moves(support.LeaderSimulation(known, 100.0))
    now = moves.run(100.0, 101.0)
    moves.domain.silent.add("p1")
    moves.run(now, now + 4.0)
    assert known.ranges_by_service["price"].find(5).server == "p2"
    assert list(moves.domain.leader.steps) == []
    assert moves.written == ["Lead", "Intent", "Lead", "Assign"]


@pytest.mark.parametrize("what", ["domain", "server"])
def test_ranges_leave_what_goes_out_of_service(what: str) -> None:
    """Guards against ranges left on a server that is to be ended."""
    known = support.state()
    moves = Moves(support.LeaderSimulation(known, 100.0))
    now = moves.run(100.0, 101.0)
    if what == "domain":
        support.append(
            known, records.DomainChange("d", "op", support.DOMAIN, "out", -1)
        )
    else:
        rows = list(support.table())
        leaving = {
            name: getattr(rows[1], name) for name in rows[1].__struct_fields__
        }
        rows[1] = records.TableRow(**{**leaving, "state": "leaving"})
        support.append(known, records.TableChange("t2", "op", 0, tuple(rows)))
    moves.run(now, now + 2.5)
    owners = known.ranges_by_service["price"].owners()
    assert owners == {"q1"} if what == "domain" else "p1" not in owners


def test_initial_assignment_spreads_ranges_by_weight() -> None:
    """Guards against servers without ranges and successors elsewhere."""
    known = cluster.ClusterState()
    rows = list(support.table())
    support.append(known, records.TableChange("t", "op", -1, tuple(rows)))
    changes = handover.initial_assignment(known, support.DOMAIN)
    assert len(changes) == 8 * 4
    assert changes[0].start == 0
    assert changes[-1].end == ranges.END
    counts = collections.Counter(change.server for change in changes)
    assert set(counts) == {"p1", "p2", "p3", "q1"}
    for change in changes:
        assert len(change.successors) == (0 if change.server == "q1" else 2)
        domains = {
            known.table.domain_of(name)
            for name in (change.server, *change.successors)
        }
        assert len(domains) == 1
        assert change.server not in change.successors
    assert changes == handover.initial_assignment(known, support.DOMAIN)
    support.append(
        known, records.Lead("l", support.DOMAIN, support.LEADER_TERM)
    )
    support.append(
        known,
        records.Assign("a", support.DOMAIN, support.LEADER_TERM, changes),
    )
    assert handover.initial_assignment(known, support.DOMAIN) == ()


@pytest.mark.parametrize("heavy", [1, 3])
def test_initial_assignment_keeps_the_bound_on_loads(heavy: int) -> None:
    """Guards against servers above 1.25 of their share from the start."""
    for number in range(10):
        service = f"price{number}"
        rows = [
            structs.replace(row, service=service) for row in support.table()
        ]
        rows[1] = structs.replace(rows[1], weight=heavy)
        known = cluster.ClusterState()
        support.append(known, records.TableChange("t", "op", -1, tuple(rows)))
        counts = collections.Counter(
            change.server
            for change in handover.initial_assignment(known, support.DOMAIN)
        )
        assert counts.total() == 32
        assert counts["p1"] <= 1.25 * 32 * heavy / (heavy + 3) + 1
        for name in ("p2", "p3", "q1"):
            assert counts[name] <= 1.25 * 32 / (heavy + 3) + 1


def test_range_without_a_successor_moves_through_the_log() -> None:
    """Guards against keys that wait for a lost server to return."""
    known = support.state()
    support.append(
        known,
        records.Assign(
            "b", support.DOMAIN, support.LEADER_TERM, move_to("p1")
        ),
    )
    moves = Moves(support.LeaderSimulation(known, 100.0))
    now = moves.run(100.0, 101.0)
    moves.domain.silent.add("p1")
    now = moves.run(now, now + 1.5)
    assert known.ranges_by_service["price"].find(5).server == "p1"
    moves.run(now, now + 2.0)
    assert known.ranges_by_service["price"].find(5).server in ("p2", "p3")


def test_log_outage_does_not_raise_the_term() -> None:
    """Guards against a new term with each attempt to write."""
    known = support.state()
    moves = Moves(support.LeaderSimulation(known, 100.0))
    now = moves.run(100.0, 101.0)
    moves.writer.propose(move_to("p3"))
    moves.run(now, now + 1.0, until="Intent")
    lead = moves.writer.next_record(now)
    term = moves.domain.votes.term
    assert isinstance(lead, records.Lead)
    assert moves.writer.next_record(now) != lead
    assert moves.domain.votes.term == term == lead.term
