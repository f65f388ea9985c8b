"""Planned moves of ranges through the log."""

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


class LogWriter:
    """A simulated leader whose records are applied to its own state."""

    def __init__(self, domain: support.LeaderSimulation) -> None:
        self.domain = domain
        self.handover = handover.Handover(domain.leader)
        self.written: list[str] = []

    def append_next(self, now: float) -> records.Record | None:
        """Append the next record, if there is one."""
        record = self.handover.next_record(now)
        if record is None:
            return None
        known = self.domain.state
        result = known.apply(known.offset + 1, record)
        self.written.append(type(record).__name__)
        if isinstance(result, cluster.Applied):
            self.handover.note_applied(record, result.offset, now)
        return record

    def run(self, start: float, end: float, until: str = "") -> float:
        now = start
        while now < end:
            now = self.domain.run(now, now + 0.05)
            self.append_next(now)
            if until and until in self.written:
                break
        return now


def move_to(server: str) -> tuple[records.RangeChange, ...]:
    return (support.change(0, support.MIDDLE, 2, server),)


def test_move_goes_through_intent_release_and_assign() -> None:
    """Guards against an Assign before the gate released the range.

    The gate still runs a request in the range.
    """
    writer = LogWriter(support.LeaderSimulation(support.state(), 100.0))
    now = writer.run(100.0, 101.0)
    writer.handover.propose(move_to("p3"))
    now = writer.run(now, now + 1.0, until="Intent")
    permit = writer.domain.gates.enter("p1", 5, now)
    assert not isinstance(permit, outcomes.Refusal)
    now = writer.run(now, now + 1.0)
    assert writer.written == ["Lead", "Intent", "Lead"]
    writer.domain.gates.leave(permit)
    writer.run(now, now + 1.0)
    assert writer.written == ["Lead", "Intent", "Lead", "Assign"]
    assert (
        writer.domain.state.ranges_by_service["price"].find(5).server == "p3"
    )


@pytest.mark.parametrize("last", ["Intent", "Assign"])
def test_next_leader_continues_from_an_open_intent(last: str) -> None:
    """Guards against ranges that stay released after a leader is lost."""
    known = support.state()
    first = LogWriter(support.LeaderSimulation(known, 100.0))
    first.handover.propose(move_to("p3"))
    now = first.run(100.0, 102.0, until=last)
    second = LogWriter(
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
    """Guards against an Assign that arrives after its term ended.

    The next leader registered while the record was in transit.
    """
    known = support.state()
    first = LogWriter(support.LeaderSimulation(known, 100.0))
    first.handover.propose(move_to("p3"))
    now = first.run(100.0, 102.0, until="Intent")
    while not isinstance(
        late := first.handover.next_record(now), records.Assign
    ):
        first.append_next(now)
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


def test_assign_is_applied_once_when_its_reply_is_lost() -> None:
    """Guards against a repeated Assign that undoes a later change.

    The reply to the first one was lost.
    """
    known = support.state()
    writer = LogWriter(support.LeaderSimulation(known, 100.0))
    writer.handover.propose(move_to("p3"))
    now = writer.run(100.0, 102.0, until="Intent")
    while not isinstance(
        lost := writer.handover.next_record(now), records.Assign
    ):
        writer.append_next(now)
        now = writer.domain.run(now, now + 0.05)
    assert isinstance(writer.handover.next_record(now), records.Assign)
    applied = support.append(known, lost)
    assert writer.handover.next_record(now) is None
    assert isinstance(known.apply(known.offset + 1, lost), outcomes.Refusal)
    current = known.ranges_by_service["price"].find(5)
    assert (current.server, current.version) == ("p3", applied)


def test_step_is_made_permanent() -> None:
    """Guards against a failover that is lost with its leader."""
    known = support.state()
    writer = LogWriter(support.LeaderSimulation(known, 100.0))
    now = writer.run(100.0, 101.0)
    writer.domain.silent.add("p1")
    writer.run(now, now + 4.0)
    assert known.ranges_by_service["price"].find(5).server == "p2"
    assert list(writer.domain.leader.steps) == []
    assert writer.written == ["Lead", "Intent", "Lead", "Assign"]


@pytest.mark.parametrize("what", ["domain", "server"])
def test_ranges_move_off_leaving_servers_and_domains(what: str) -> None:
    """Guards against ranges left on a server about to be stopped."""
    known = support.state()
    writer = LogWriter(support.LeaderSimulation(known, 100.0))
    now = writer.run(100.0, 101.0)
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
    writer.run(now, now + 2.5)
    owners = known.ranges_by_service["price"].owners()
    assert owners == {"q1"} if what == "domain" else "p1" not in owners


def test_initial_assignment_spreads_ranges_by_weight() -> None:
    """Guards against servers without ranges, and foreign successors."""
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
    """Guards against servers that start with more than 1.25 of their share."""
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
    """Guards against keys that stay unserved until a lost server returns."""
    known = support.state()
    support.append(
        known,
        records.Assign(
            "b", support.DOMAIN, support.LEADER_TERM, move_to("p1")
        ),
    )
    writer = LogWriter(support.LeaderSimulation(known, 100.0))
    now = writer.run(100.0, 101.0)
    writer.domain.silent.add("p1")
    now = writer.run(now, now + 1.5)
    assert known.ranges_by_service["price"].find(5).server == "p1"
    writer.run(now, now + 2.0)
    assert known.ranges_by_service["price"].find(5).server in ("p2", "p3")


def test_log_outage_does_not_raise_the_term() -> None:
    """Guards against a higher term with each attempt to write."""
    known = support.state()
    writer = LogWriter(support.LeaderSimulation(known, 100.0))
    now = writer.run(100.0, 101.0)
    writer.handover.propose(move_to("p3"))
    writer.run(now, now + 1.0, until="Intent")
    lead = writer.handover.next_record(now)
    term = writer.domain.votes.term
    assert isinstance(lead, records.Lead)
    assert writer.handover.next_record(now) != lead
    assert writer.domain.votes.term == term == lead.term
