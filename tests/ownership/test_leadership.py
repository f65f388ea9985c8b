"""Decisions of a simulated leader."""

from __future__ import annotations

import pytest

from agatestile.observability import invariants
from agatestile.ownership import gates
from agatestile.ownership import permits
from agatestile.ownership import succession
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import records
from tests.ownership import support


def served(domain: support.LeaderSimulation, server: str, now: float) -> bool:
    """Return whether a request for position 5 runs on a server."""
    permit = domain.gates.permit(server, 5, now)
    return isinstance(permit, permits.Permit) and domain.books[server].accepts(
        permit.fence, now
    )


def test_frozen_leader_that_returns_does_nothing() -> None:
    """Guards against grants by a leader whose majority lapsed.

    It was frozen until then.
    """
    domain = support.LeaderSimulation(support.state(), 100.0)
    domain.run(100.0, 101.0)
    assert domain.leader.may_act(101.5)
    assert not domain.leader.may_act(102.5)
    assert not domain.send_heartbeat(102.5).leads
    domain.leader.tick(102.5)
    assert domain.leader.next_grant("p1", 102.5) is None
    counts = domain.checks.violations_by_name
    assert counts["grant-with-majority"] == 1


def test_owner_steps_only_after_its_lease_lapsed() -> None:
    """Guards against a new owner while the lost one may still serve."""
    domain = support.LeaderSimulation(support.state(), 100.0)
    now = domain.run(100.0, 102.0)
    assert served(domain, "p1", now)
    domain.silent.add("p1")
    last = domain.votes.by_server["p1"].replied_at
    while not served(domain, "p2", now):
        assert now < last + 3
        now = domain.run(now, now + 0.05)
    assert now >= last + support.TIMING.serve_lease
    assert not domain.books["p1"].accepts(
        domain.leader.gates_by_server["p1"].fence or "0.0.0.x", now
    )


def test_failover_needs_no_log() -> None:
    """Guards against keys that are not served during a log outage.

    Their owner is lost while the log is down.
    """
    state = support.state()
    domain = support.LeaderSimulation(state, 100.0)
    domain.run(100.0, 101.0)
    domain.silent.add("p1")
    now = domain.run(101.0, 103.2)
    assert state.offset == 2
    assert served(domain, "p2", now)
    domain.silent.clear()
    now = domain.run(now, now + 1)
    assert served(domain, "p2", now)
    assert not served(domain, "p1", now)


def test_range_with_an_open_intent_is_not_stepped() -> None:
    """Guards against a step that conflicts with an Assign.

    The open Intent means that the Assign may already be in the log.
    """
    state = support.state()
    move = support.change(0, support.MIDDLE, 2, "p3")
    support.append(
        state,
        records.Intent("i", support.DOMAIN, support.LEADER_TERM, (move,)),
    )
    domain = support.LeaderSimulation(state, 100.0)
    domain.run(100.0, 101.0)
    domain.silent.add("p1")
    domain.run(101.0, 104.0)
    assert domain.leader.gates_by_server["p1"].is_lost
    assert list(domain.leader.steps) == []


def test_leader_whose_state_lags_does_not_step() -> None:
    """Guards against a step that ignores an Intent the leader has not read."""
    domain = support.LeaderSimulation(support.state(), 100.0)
    domain.run(100.0, 101.0)
    domain.votes.highest_epoch = 7
    domain.silent.add("p1")
    domain.run(101.0, 104.0)
    assert domain.leader.gates_by_server["p1"].is_lost
    assert list(domain.leader.steps) == []


def test_host_whose_state_lags_gets_no_new_gate() -> None:
    """Guards against a gate that serves a moved range since its state lags."""
    domain = support.LeaderSimulation(support.state(), 100.0)
    domain.votes.highest_epoch = 2
    for tenth in range(10):
        now = 100.0 + tenth / 10
        domain.exchange_grants(now)
        reply = domain.send_heartbeat(now, offset=1)
    assert reply.leads
    assert reply.grants == []


@pytest.mark.parametrize("knows", [True, False])
def test_next_leader_learns_steps_before_the_owner_serves(
    knows: bool,
) -> None:
    """Guards against a returned owner that serves a range it lost.

    An earlier leader stepped the range, which the log does not show.
    """
    state = support.state()
    first = support.LeaderSimulation(state, 100.0)
    first.run(100.0, 101.0)
    first.silent.add("p1")
    now = first.run(101.0, 103.2)
    assert served(first, "p2", now)
    second = support.LeaderSimulation(
        state,
        now + 1.0,
        "h2#b",
        first.books,
        records.Term(1, 3, "h2#b"),
    )
    assert second.leader.may_act(now + 1.0)
    if knows:
        second.gates = first.gates
    ended = second.run(now + 1.0, now + 1.2)
    assert not served(second, "p1", ended)
    if not knows:
        return
    assert [step.server for step in second.leader.steps] == ["p2"]
    ended = second.run(ended, ended + 1.0)
    assert served(second, "p2", ended)
    assert not served(second, "p1", ended)


def test_gate_is_kept_when_a_heartbeat_precedes_the_announcement() -> None:
    """Guards against a gate that its host gives up too early.

    The new leader does not count the claims of a host that has not yet
    received its term.
    """
    state = support.state()
    first = support.LeaderSimulation(state, 100.0)
    now = first.run(100.0, 101.0)
    before = first.gates.held(support.DOMAIN, now)
    assert before
    second = support.LeaderSimulation(
        state, now + 1.1, "h2#b", first.books, records.Term(1, 3, "h2#b")
    )
    second.gates = first.gates
    reply = second.send_heartbeat(now + 1.1, is_announced=False)
    assert reply.leads
    assert second.gates.held(support.DOMAIN, now + 1.1) == before
    ended = second.run(now + 1.1, now + 2.0)
    assert second.gates.held(support.DOMAIN, ended) == before


def test_lost_gate_is_replaced_with_a_higher_fence() -> None:
    """Guards against a lost gate that still sends beside the new one."""
    domain = support.LeaderSimulation(support.state(), 100.0)
    domain.run(100.0, 101.0)
    before = domain.leader.gates_by_server["p1"].fence
    other = gates.GateTable(
        domain.state, support.TIMING, invariants.Invariants()
    )
    for tenth in range(12):
        now = 101.0 + tenth / 10
        domain.exchange_grants(now)
        domain.send_heartbeat(now, "h2", other)
    after = domain.leader.gates_by_server["p1"].fence
    assert records.Fence.from_text(after) > records.Fence.from_text(before)
    assert isinstance(other.permit("p1", 5, now), permits.Permit)
    assert not domain.books["p1"].accepts(before, now)


def test_gate_of_an_unfenced_server_moves_after_its_lease() -> None:
    """Guards against two gates of a server that does not check fences."""
    state = support.state(fenced=False)
    domain = support.LeaderSimulation(state, 100.0)
    # Its lease would come from the log; the test holds votes instead.
    domain.votes.set_servers(support.table()[1:4])
    for tenth in range(20):
        now = 100.0 + tenth / 10
        for name, lease in domain.votes.by_server.items():
            lease.held_until = now + 1
            domain.leader.record_probe(name, now)
        domain.send_heartbeat(now)
    assert isinstance(domain.gates.permit("p1", 5, now), permits.Permit)
    last, other = now, gates.GateTable(state, support.TIMING, domain.checks)
    while not isinstance(other.permit("p1", 5, now), permits.Permit):
        now += 0.05
        assert now < last + 3
        for name, lease in domain.votes.by_server.items():
            lease.held_until = now + 1
            domain.leader.record_probe(name, now)
        domain.send_heartbeat(now, "h2", other)
    assert now >= last + support.TIMING.serve_wait
    assert not isinstance(domain.gates.permit("p1", 5, now), permits.Permit)


def test_view_changes_its_sequence_only_with_its_contents() -> None:
    """Guards against needless views, and changes that are not sent."""
    domain = support.LeaderSimulation(support.state(), 100.0)
    domain.run(100.0, 101.0)
    assert domain.send_heartbeat(101.0).view is None
    sequence = domain.leader.view().sequence
    domain.silent.add("p1")
    domain.run(101.0, 103.5)
    view = domain.leader.view()
    assert view.sequence > sequence
    assert isinstance(view.steps[0], ttypes.RangeStep)


def test_owner_waits_until_all_earlier_steps_are_known() -> None:
    """Guards against a returned owner beside an unknown successor.

    The new leader does not know the step while the successor is silent.
    """
    state = support.state()
    first = support.LeaderSimulation(state, 100.0)
    first.run(100.0, 101.0)
    first.silent.add("p1")
    now = first.run(101.0, 103.2)
    first.silent.clear()
    now = first.run(now, now + 0.5)
    second = support.LeaderSimulation(
        state, now + 0.85, "h2#b", first.books, records.Term(1, 3, "h2#b")
    )
    second.silent.add("p2")
    ended = second.run(now + 0.85, now + 1.25)
    permit = first.gates.permit("p2", 5, ended)
    assert isinstance(permit, permits.Permit)
    assert first.books["p2"].accepts(permit.fence, ended)
    assert not served(second, "p1", ended)


@pytest.mark.parametrize("after", [0.1, 1.0])
def test_old_view_of_a_returning_host_moves_no_range(after: float) -> None:
    """Guards against outdated steps in the view of a returning host.

    It was cut off for an hour.
    """
    domain = support.LeaderSimulation(support.state(), 100.0)
    now = domain.run(100.0, 100.0 + after)
    other = gates.GateTable(
        domain.state, support.TIMING, invariants.Invariants()
    )
    view = other.view(support.DOMAIN)
    view.route_term = records.Term(0, 1, "h0#z")
    view.steps.merge(succession.Step("price", 0, support.MIDDLE, 2, 1, "p2"))
    domain.send_heartbeat(now, "h9", other)
    assert list(domain.leader.steps) == []
