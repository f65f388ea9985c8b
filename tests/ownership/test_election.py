"""Candidates, voters and campaigns."""

from __future__ import annotations

from agatestile.ownership import election
from agatestile.ownership import grants
from agatestile.ownership import leases
from agatestile.ownership import ports
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import records
from tests.ownership import support


def campaign(instance: str, now: float) -> election.Campaign:
    known = support.state()
    votes = leases.Votes(support.DOMAIN, instance, support.TIMING)
    votes.set_servers(support.table()[1:4])
    return election.Campaign(votes, known, now)


def send(
    one: election.Campaign,
    books: dict[str, grants.GrantBook],
    now: float,
    names: tuple[str, ...] = ("p1", "p2", "p3"),
) -> None:
    for name in names:
        sent, exchange = one.next_grant(name, now)
        one.receive(name, exchange, books[name].handle(sent, now), now)


def books() -> dict[str, grants.GrantBook]:
    return {
        name: grants.GrantBook(f"{name}#1", 0.0) for name in ("p1", "p2", "p3")
    }


def test_candidates_are_the_domains_hosts_first() -> None:
    """Guards against a leader outside a domain that has hosts of its own."""
    hosts = [
        ports.Host("h4", "warszawa", ""),
        ports.Host("h2", support.DOMAIN, ""),
        ports.Host("h1", support.DOMAIN, ""),
        ports.Host("h3", "warszawa", ""),
    ]
    order = election.candidates(support.DOMAIN, hosts)
    assert order[:2] == ["h1", "h2"]
    assert order == election.candidates(support.DOMAIN, reversed(hosts))


def test_split_of_the_servers_leaves_one_leader() -> None:
    """Guards against two leaders, each with a part of the servers.

    The servers are split between two candidates.
    """
    servers = books()
    one, two = campaign("h1#a", 10.0), campaign("h2#b", 10.0)
    for each, names in ((one, ("p1",)), (two, ("p2", "p3"))):
        send(each, servers, 10.0, names)
    assert isinstance(one.remaining_lease(), outcomes.Refusal)
    assert two.remaining_lease() == 0
    for each, names in ((one, ("p1",)), (two, ("p2", "p3"))):
        each.start_voting()
        send(each, servers, 10.0, names)
    assert not one.votes.is_held(10.1)
    assert two.votes.is_held(10.1)


def test_candidate_waits_for_the_present_lease() -> None:
    """Guards against a campaign that asks for votes too early.

    Servers refuse them while the current leader's lease is in force.
    """
    servers = books()
    one = campaign("h1#a", 10.0)
    send(one, servers, 10.0)
    one.start_voting()
    send(one, servers, 10.0)
    two = campaign("h2#b", 10.4)
    send(two, servers, 10.4)
    wait = two.remaining_lease()
    assert not isinstance(wait, outcomes.Refusal)
    assert abs(wait - 0.6) < 1e-9
    assert two.current_leader() == "h1"
    two.start_voting()
    assert two.votes.term > one.votes.term
    send(two, servers, 10.4)
    assert not two.votes.is_held(10.4)


def test_too_few_answers_give_no_majority() -> None:
    """Guards against a majority of only the servers that replied."""
    one = campaign("h1#a", 10.0)
    send(one, books(), 10.0, ("p2",))
    refusal = one.remaining_lease()
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code is codes.ResultCode.NO_MAJORITY


def test_term_is_above_the_one_in_the_log() -> None:
    """Guards against a Lead that the log refuses since its term is too low.

    After a restart of all servers only the log knows the earlier term.
    """
    one = campaign("h0#z", 10.0)
    send(one, books(), 10.0)
    one.start_voting()
    assert one.votes.term > support.LEADER_TERM
    assert one.votes.term == records.Term(1, 2, "h0#z")


def _two_voters() -> cluster.ClusterState:
    """Return a state in which one domain has two fence-checking servers."""
    known = cluster.ClusterState()
    rows = tuple(row for row in support.table() if row.server != "p3")
    support.append(known, records.TableChange("t", "op", -1, rows))
    return known


def test_two_voters_get_a_witness() -> None:
    """Guards against a domain without a majority after one loss.

    Of two servers both are needed, so a witness has to vote.
    """
    names = [
        row.server
        for row in election.voters(_two_voters().table, support.DOMAIN)
    ]
    assert names == ["p1", "p2", "q1"]
    whole = election.voters(support.state().table, support.DOMAIN)
    assert [row.server for row in whole] == ["p1", "p2", "p3"]


def test_leader_is_elected_with_the_witness() -> None:
    """Guards against a domain that elects no leader after two losses.

    The leader and one of two servers are lost together. The witness also
    votes in its own domain at the same time.
    """
    known = _two_voters()
    servers = {
        name: grants.GrantBook(f"{name}#1", 0.0) for name in ("p1", "q1")
    }
    own = leases.Votes("warszawa", "h3#c", support.TIMING)
    own.set_servers(election.voters(known.table, "warszawa"))
    votes = leases.Votes(support.DOMAIN, "h2#b", support.TIMING)
    votes.set_servers(election.voters(known.table, support.DOMAIN))
    for each, names in ((own, ("q1",)), (votes, ("p1", "q1"))):
        one = election.Campaign(each, known, 10.0)
        send(one, servers, 10.0, names)
        assert one.remaining_lease() == 0
        one.start_voting()
        send(one, servers, 10.01, names)
        assert each.is_held(10.1)


def test_leader_keeps_its_majority_with_the_witness() -> None:
    """Guards against a leader that does not send grants to its witness.

    It would lose its majority with the first of its two servers.
    """
    known = _two_voters()
    servers = {
        name: grants.GrantBook(f"{name}#1", 0.0) for name in ("p1", "p2", "q1")
    }
    domain = support.LeaderSimulation(known, 10.0, books=servers)
    assert [row.server for row in domain.leader.witnesses()] == ["q1"]
    domain.silent.add("p2")
    now = domain.run(10.1, 12.5)
    assert domain.leader.may_act(now)
