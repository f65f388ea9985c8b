"""Tests of processes that resume after a pause longer than all leases."""

from __future__ import annotations

import time
import typing

import pytest

from bench import http_client
from tests.system import clusters

if typing.TYPE_CHECKING:
    from tests.system.clusters import Cluster

pytestmark = pytest.mark.slow

MAX_UNAVAILABLE_SECONDS = 3.0  # section 5 of docs/design.md
MAX_ACTIVATION_SECONDS = 7.0  # invariant 4, section 1.1 of docs/design.md
PAUSE_SECONDS = 5.0  # longer than all leases


def _send_with_fence(
    cluster: Cluster, server: str, fence: str
) -> http_client.Response:
    """Send a request with a fencing token to a server, as a gate would."""
    answer = cluster.request(server, "GET", "/orders/own", {"x-fence": fence})
    assert isinstance(answer, http_client.Response)
    return answer


def test_fence_of_a_paused_gate_host_is_refused(warm_cluster: Cluster) -> None:
    """Guards against a gate that keeps using an expired lease.

    Its host is paused until another host has become the gate.
    """
    cluster = warm_cluster
    server = "order-1"
    host = cluster.gate_host(server)
    fence = cluster.server_state(server)["fence"]
    assert _send_with_fence(cluster, server, fence).status == 200
    with cluster.probe(10.0) as probes:
        stopped = cluster.pause(host)
        time.sleep(PAUSE_SECONDS)
        assert cluster.gate_host(server) != host
        cluster.resume(host)
        refused = _send_with_fence(cluster, server, fence)
        assert refused.status == 409
        assert refused.headers["x-refused"] == "fence"
    probes.assert_served(stopped, MAX_UNAVAILABLE_SECONDS)
    cluster.assert_invariants(probes.records)


def test_resumed_server_refuses_requests_buffered_in_its_pause(
    warm_cluster: Cluster,
) -> None:
    """Guards against a server that runs outdated requests after a pause.

    They wait in its buffers with a fencing token that has expired since.
    """
    cluster = warm_cluster
    server = "order-1"
    before = cluster.server_state(server)["counts"].get("fence", 0)
    with cluster.probe(10.0) as probes:
        stopped = cluster.pause(server)
        time.sleep(PAUSE_SECONDS)
        assert server not in cluster.owners().values()
        cluster.resume(server)
        time.sleep(1.0)
        refused = (
            cluster.server_state(server)["counts"].get("fence", 0) - before
        )
    # With none, the pause met no request and the test shows nothing.
    assert refused > 0
    probes.assert_served(stopped, MAX_UNAVAILABLE_SECONDS)
    cluster.assert_invariants(probes.records)


def test_resumed_host_applies_a_change_made_during_its_pause(
    cluster: Cluster,
) -> None:
    """Guards against a resumed host that keeps an outdated table."""
    host = cluster.hosts[-1]
    original = clusters.expect_success(cluster.admin().table())
    cluster.pause(host)
    csv_text = original["csv"].replace("always,40,200", "always,41,200")
    answer = clusters.expect_success(
        cluster.admin().apply_table(csv_text, "current")
    )
    assert answer["offset"] > original["version"]
    assert host not in answer["in_force"]
    assert host in {*answer["pending"], *answer["unreachable"]}
    time.sleep(2.0)
    cluster.resume(host)
    cluster.wait_until(
        "change on the resumed host",
        lambda: _table_version(cluster, host) == answer["offset"],
        MAX_ACTIVATION_SECONDS,
    )
    time.sleep(1.0)
    versions = {name: _table_version(cluster, name) for name in cluster.hosts}
    assert set(versions.values()) == {answer["offset"]}, versions
    cluster.assert_invariants([])


def _table_version(cluster: Cluster, host: str) -> int:
    return int(clusters.expect_success(cluster.admin(host).table())["version"])
