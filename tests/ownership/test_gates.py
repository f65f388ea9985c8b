"""Permits of a host's gates."""

from __future__ import annotations

from agatestile.observability import invariants
from agatestile.ownership import gates
from agatestile.ownership import permits
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import ranges
from agatestile.state import records
from tests.ownership import support

FENCE = records.Fence(support.LEADER_TERM, 1).to_text()


def reply(
    stamp: float,
    fence: str = FENCE,
    sequence: int = 1,
    steps: tuple[ttypes.RangeStep, ...] = (),
    release: tuple[ttypes.RangeReference, ...] = (),
    term: records.Term = support.LEADER_TERM,
) -> ttypes.HeartbeatReply:
    return ttypes.HeartbeatReply(
        leads=True,
        leader="h1",
        term=terms.to_thrift(term),
        stamp=stamp,
        grants=[ttypes.GateGrant("p1", fence)],
        release=list(release),
        view=ttypes.RouteView(
            support.DOMAIN, terms.to_thrift(term), sequence, [], list(steps)
        ),
    )


def gate_table(**options: bool) -> gates.GateTable:
    return gates.GateTable(
        support.state(**options), support.TIMING, invariants.Invariants()
    )


def code(answer: permits.Permit | outcomes.Refusal) -> codes.ResultCode:
    if isinstance(answer, permits.Permit):
        return codes.ResultCode.ANSWERED
    return answer.code


def test_gate_paused_past_its_lease_refuses() -> None:
    """Guards against a request sent after the lease expired.

    The process is paused between the permit and the sending.
    """
    table = gate_table()
    table.apply_reply(support.DOMAIN, reply(10.0))
    permit = table.enter("p1", 5, 11.5)
    assert isinstance(permit, permits.Permit)
    assert permit.expires == 11.6
    assert code(table.check(permit, 11.7)) is codes.ResultCode.LEASE_LAPSED
    assert code(table.permit("p1", 5, 11.7)) is codes.ResultCode.LEASE_LAPSED


def test_lease_runs_from_the_stamp_and_not_from_the_answer() -> None:
    """Guards against a lease extended by a reply that was buffered."""
    table = gate_table()
    table.apply_reply(support.DOMAIN, reply(10.0))
    assert code(table.permit("p1", 5, 12.0)) is codes.ResultCode.LEASE_LAPSED


def test_gate_serves_only_positions_of_the_server() -> None:
    """Guards against requests that a stale route sends to the wrong owner."""
    table = gate_table()
    table.apply_reply(support.DOMAIN, reply(10.0))
    other = table.permit("p1", support.MIDDLE, 10.1)
    assert code(other) is codes.ResultCode.NO_OWNER
    assert code(table.permit("p2", 5, 10.1)) is codes.ResultCode.NOT_GATE


def test_stepped_range_is_refused_for_the_former_owner() -> None:
    """Guards against a lost owner that serves its former range again."""
    table = gate_table()
    step = ttypes.RangeStep("price", 0, support.MIDDLE, 2, 1, "p2")
    table.apply_reply(support.DOMAIN, reply(10.0, steps=(step,)))
    assert code(table.permit("p1", 5, 10.1)) is codes.ResultCode.NO_OWNER


def test_step_still_holds_when_an_intent_raised_the_version() -> None:
    """Guards against an Intent that undoes a step until its Assign.

    The Intent gives the range a version above that of the step.
    """
    known = support.state()
    table = gates.GateTable(known, support.TIMING, invariants.Invariants())
    step = ttypes.RangeStep("price", 0, support.MIDDLE, 2, 1, "p2")
    table.apply_reply(support.DOMAIN, reply(10.0, steps=(step,)))
    move = support.change(0, support.MIDDLE, 2, "p2", "p3")
    support.append(
        known,
        records.Intent("i", support.DOMAIN, support.LEADER_TERM, (move,)),
    )
    assert table.owner_of("price", 5) == "p2"
    move = support.change(0, support.MIDDLE, 3, "p3")
    support.append(
        known,
        records.Assign("a", support.DOMAIN, support.LEADER_TERM, (move,)),
    )
    assert table.owner_of("price", 5) == "p3"


def test_range_counts_as_released_only_after_its_last_request() -> None:
    """Guards against a new owner while the former one still runs a request."""
    table = gate_table()
    table.apply_reply(support.DOMAIN, reply(10.0))
    permit = table.enter("p1", 5, 10.1)
    assert isinstance(permit, permits.Permit)
    reference = permits.Reference("price", 0, support.MIDDLE, 2)
    table.apply_reply(
        support.DOMAIN, reply(10.2, release=(reference.to_thrift(),))
    )
    assert code(table.enter("p1", 6, 10.3)) is codes.ResultCode.RANGE_MOVING
    assert code(table.check(permit, 10.3)) is codes.ResultCode.ANSWERED
    assert table.released() == []
    table.leave(permit)
    assert table.released() == [reference]


def test_new_gate_does_not_serve_a_range_with_an_open_intent() -> None:
    """Guards against a new gate that serves a released range.

    It cannot know whether the previous gate had released the range.
    """
    known = support.state()
    table = gates.GateTable(known, support.TIMING, invariants.Invariants())
    move = support.change(0, support.MIDDLE, 2, "p3")
    support.append(
        known,
        records.Intent("i", support.DOMAIN, support.LEADER_TERM, (move,)),
    )
    table.apply_reply(support.DOMAIN, reply(10.0))
    assert code(table.permit("p1", 5, 10.1)) is codes.ResultCode.RANGE_MOVING
    assert table.released() == [
        permits.Reference("price", 0, support.MIDDLE, 3)
    ]


def test_answer_of_an_earlier_leader_is_ignored() -> None:
    """Guards against gates granted by a leader that returns after a freeze."""
    table = gate_table()
    table.note_term(support.DOMAIN, records.Term(1, 2, "h2#b"))
    assert table.apply_reply(support.DOMAIN, reply(10.0)) is None
    assert code(table.permit("p1", 5, 10.1)) is codes.ResultCode.NOT_GATE


def test_domain_taken_out_gets_no_work_within_the_bound() -> None:
    """Guards against requests more than 3 s after a domain was taken out."""
    known = support.state()
    table = gates.GateTable(known, support.TIMING, invariants.Invariants())
    support.append(
        known, records.DomainChange("d", "op", support.DOMAIN, "out", -1)
    )
    table.update_leaving(10.5)
    table.apply_reply(support.DOMAIN, reply(12.0))
    assert code(table.permit("p1", 5, 12.4)) is codes.ResultCode.ANSWERED
    assert code(table.permit("p1", 5, 12.9)) is codes.ResultCode.DOMAIN_OUT


def test_whole_range_map_has_one_owner() -> None:
    """Guards against positions at the edges that have no owner."""
    table = gate_table()
    assert table.owner_of("price", ranges.END - 1) == "p2"
    assert table.owner_of("unknown", 0) == ""


def test_stamp_from_the_future_is_a_violation() -> None:
    """Guards against a lease that a stamp from the future extends."""
    checks = invariants.Invariants()
    table = gates.GateTable(support.state(), support.TIMING, checks)
    table.apply_reply(support.DOMAIN, reply(50.0))
    assert code(table.permit("p1", 5, 10.0)) is codes.ResultCode.LEASE_LAPSED
    assert checks.violations_by_name["gate-permits-in-lease"] == 1
