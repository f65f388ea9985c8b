"""Weighted rendezvous hashing, with and without a bound on loads."""

from __future__ import annotations

import collections

from agatestile.placement import rendezvous

ITEMS = [f"price/{number}" for number in range(4000)]
SERVERS = [
    rendezvous.Candidate(f"s{number}", f"d{number % 3}", 1 + number % 2)
    for number in range(9)
]


def test_shares_follow_weights() -> None:
    """Guards against shares that are not proportional to the weights."""
    placed = rendezvous.place(ITEMS, SERVERS)
    counts = collections.Counter(item.server for item in placed)
    total = sum(server.weight for server in SERVERS)
    for server in SERVERS:
        share = len(ITEMS) * server.weight / total
        assert 0.8 * share < counts[server.name] < 1.2 * share


def test_removing_a_server_moves_only_its_own_items() -> None:
    """Guards against a table change that moves keys of all servers."""
    before = rendezvous.place(ITEMS, SERVERS)
    after = rendezvous.place(ITEMS, SERVERS[1:])
    for old, new in zip(before, after):
        assert new.server == old.server or old.server == "s0"


def test_bound_holds_and_successors_share_the_domain() -> None:
    """Guards against overloaded owners and successors of other domains."""
    domains = {server.name: server.domain for server in SERVERS}
    placed = rendezvous.place(ITEMS[:72], SERVERS, bound=1.25)
    counts = collections.Counter(item.server for item in placed)
    total = sum(server.weight for server in SERVERS)
    for server in SERVERS:
        assert counts[server.name] <= 1.25 * 72 * server.weight / total + 1
    for item in placed:
        assert len({item.server, *item.successors}) == 3
        assert {domains[name] for name in item.successors} == {
            domains[item.server]
        }


def test_few_items_fit_within_a_tight_bound() -> None:
    """Guards against a bound below one item that leaves an item unplaced."""
    assert len(rendezvous.place(ITEMS[:2], SERVERS, bound=1.0)) == 2


def test_bound_counts_items_that_servers_already_own() -> None:
    """Guards against placing more unowned ranges on a server at its bound."""
    owned = {"s1": 20, "s3": 1}
    placed = rendezvous.place(ITEMS[:3], SERVERS, 1.25, owned)
    assert "s1" not in {item.server for item in placed}
    alone = rendezvous.place(ITEMS[:3], SERVERS[1:2], 1.25, owned)
    assert [item.server for item in alone] == ["s1"] * 3
