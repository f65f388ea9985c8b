"""Tests of hosts that leave or stop while requests run."""

from __future__ import annotations

import concurrent.futures
import time
import typing

import pytest

from tests.system import uploads

if typing.TYPE_CHECKING:
    from tests.system.clusters import Cluster

pytestmark = pytest.mark.slow

MAX_UNAVAILABLE_SECONDS = 3.0  # section 5 of docs/design.md
STOP_TIMEOUT_SECONDS = 12.0


@pytest.mark.parametrize("way", ["leave", "sigterm"])
def test_upload_during_departure(warm_cluster: Cluster, way: str) -> None:
    """Guards against an upload interrupted when its gate's host leaves."""
    cluster = warm_cluster
    server = "order-1"
    host = cluster.gate_host(server)
    key = cluster.key_owned_by(server)
    with (
        concurrent.futures.ThreadPoolExecutor(1) as pool,
        cluster.probe(8.0) as probes,
    ):
        upload = pool.submit(uploads.send, cluster, host, "/".join(("", *key)))
        time.sleep(1.0)
        left = time.monotonic()
        if way == "leave":
            cluster.run_command(host, "host", "leave", host)
        else:
            cluster.terminate(host)
        response = upload.result()
    uploads.assert_received_once(cluster, server, response)
    if way == "leave":
        assert not cluster.all_ready()
        assert host not in {
            cluster.gate_host(item) for item in cluster.ports_by_server
        }
    else:
        assert cluster.wait_for_exit(host, STOP_TIMEOUT_SECONDS) == 0
    probes.assert_none_interrupted()
    probes.assert_served(left, MAX_UNAVAILABLE_SECONDS)
    cluster.assert_invariants(probes.records)
