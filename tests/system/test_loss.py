"""Tests of how soon keys are served again after processes are lost."""

from __future__ import annotations

import typing

import pytest

from tests.system import clusters

if typing.TYPE_CHECKING:
    from tests.system.clusters import Cluster

pytestmark = pytest.mark.slow

MAX_UNAVAILABLE_SECONDS = 3.0  # section 5 of docs/design.md
DOMAIN = "north"
SERVER = "lookup-1"
"""A server in the domain."""

SUCCESSOR = "lookup-4"
"""The other server of the same service in the domain."""


def test_keys_are_served_after_loss_of_the_gate_host(
    warm_cluster: Cluster,
) -> None:
    """Guards against servers that keep a lost host as their gate."""
    cluster = warm_cluster
    leaders = {cluster.leader(name) for name in ("north", "south", "west")}
    gates = {cluster.gate_host(name) for name in cluster.ports_by_server}
    host = min(gates - leaders)
    owners = cluster.owners()
    with cluster.probe(6.0) as probes:
        lost = cluster.kill(host)
    probes.assert_served(lost, MAX_UNAVAILABLE_SECONDS)
    assert cluster.owners() == owners
    assert host not in {
        cluster.gate_host(name) for name in cluster.ports_by_server
    }
    cluster.assert_invariants(probes.records)


def test_keys_are_served_after_loss_of_the_leader(
    warm_cluster: Cluster,
) -> None:
    """Guards against a domain that stays without a leader after a loss."""
    cluster = warm_cluster
    host = cluster.leader(DOMAIN)
    with cluster.probe(6.0) as probes:
        lost = cluster.kill(host)
    probes.assert_served(lost, MAX_UNAVAILABLE_SECONDS)
    assert cluster.leader(DOMAIN) not in {host, "None"}
    cluster.assert_invariants(probes.records)


def test_keys_are_served_after_loss_of_the_owner(
    warm_cluster: Cluster,
) -> None:
    """Guards against keys that stay assigned to a lost server."""
    cluster = warm_cluster
    with cluster.probe(6.0) as probes:
        lost = cluster.kill(SERVER)
    probes.assert_served(lost, MAX_UNAVAILABLE_SECONDS)
    assert SERVER not in cluster.owners().values()
    cluster.assert_invariants(probes.records)


def _domain_and_owner(cluster: Cluster, *, gate_lost: bool) -> tuple[str, str]:
    """Return a domain and an owner in it.

    Parameters
    ----------
    gate_lost : bool
        Whether the domain's leader is also the gate of the owner's
        successor.
    """
    for server in cluster.servers:
        successor = next(
            item.name
            for item in cluster.servers
            if (item.service, item.domain) == (server.service, server.domain)
            and item.name != server.name
        )
        if (
            cluster.gate_host(successor) == cluster.leader(server.domain)
        ) == gate_lost:
            return server.domain, server.name
    raise AssertionError(f"no owner found with gate_lost={gate_lost}")


@pytest.mark.parametrize("gate_lost", [False, True])
def test_keys_are_served_after_loss_of_leader_and_owner(
    warm_cluster: Cluster, gate_lost: bool
) -> None:
    """Guards against a new leader that waits too long for the old one.

    If the successor's gate is lost with the leader, so is the knowledge
    whether the successor is warm.
    """
    cluster = warm_cluster
    domain, server = _domain_and_owner(cluster, gate_lost=gate_lost)
    host = cluster.leader(domain)
    with cluster.probe(7.0) as probes:
        lost = cluster.kill(host, server)
    probes.assert_served(lost, MAX_UNAVAILABLE_SECONDS)
    assert server not in cluster.owners().values()
    cluster.assert_invariants(probes.records)


def test_keys_are_served_after_loss_of_the_owner_in_a_log_outage(
    warm_cluster: Cluster,
) -> None:
    """Guards against succession that needs the log or is never logged."""
    cluster = warm_cluster
    key = cluster.key_owned_by(SERVER)
    before = cluster.explain(*key)
    cluster.control("log", outage=True)
    with cluster.probe(6.0) as probes:
        lost = cluster.kill(SERVER)
    probes.assert_served(lost, MAX_UNAVAILABLE_SECONDS)
    during = cluster.explain(*key)
    assert during["owner"] == SUCCESSOR
    assert during["since"] == before["since"]
    cluster.control("log", outage=False)
    cluster.wait_until(
        "assignment recorded in the log",
        lambda: cluster.explain(*key)["why"] == "assigned",
        7.0,
    )
    after = cluster.explain(*key)
    assert after["owner"] == SUCCESSOR
    assert after["since"] > before["since"]
    cluster.assert_invariants(probes.records)


def test_assignments_survive_replacement_of_all_daemons(
    cluster: Cluster,
) -> None:
    """Guards against assignments that are kept only in memory.

    All daemons are killed and new ones started.
    """
    before = {key: cluster.explain(*key) for key in cluster.keys}
    version = clusters.expect_success(cluster.admin().table())["version"]
    cluster.kill(*cluster.hosts)
    for host in cluster.hosts:
        cluster.restart(host)
    cluster.wait_ready()
    cluster.wait_served()
    for key, found in before.items():
        after = cluster.explain(*key)
        assert after["owner"] == found["owner"]
        assert after["since"] == found["since"]
    assert (
        clusters.expect_success(cluster.admin().table())["version"] == version
    )
    cluster.assert_invariants([])


def test_daemon_starts_with_current_state_in_a_log_outage(
    cluster: Cluster,
) -> None:
    """Guards against a new host that waits for the log or has stale state."""
    leaders = {cluster.leader(name) for name in ("north", "south", "west")}
    host = next(name for name in cluster.hosts if name not in leaders)
    cluster.kill(host)
    # A change that no checkpoint contains.
    clusters.expect_success(cluster.admin().set_domain("west", "out"))
    offset = max(
        (cluster.status(name) or {})["offset"] for name in cluster.live_hosts()
    )
    cluster.control("log", outage=True)
    cluster.restart(host)
    cluster.wait_until("new host that is ready", cluster.all_ready, 5.0)
    status = cluster.status(host)
    assert status is not None
    assert status["offset"] >= offset
    assert status["domains"]["west"] == "out"
    with cluster.probe(2.0) as probes:
        pass
    hosts = {item.host for item in probes.records if item.answered}
    assert host in hosts
    cluster.control("log", outage=False)
    cluster.assert_invariants(probes.records)
