"""Hosts that leave or stop while requests run."""

from __future__ import annotations

import concurrent.futures
import time
import typing

import pytest

from tests.system import uploads

if typing.TYPE_CHECKING:
    from tests.system.scene import Scene

pytestmark = pytest.mark.slow

SERVED_AGAIN = 3.0  # seconds, section 5 of the design
STOP_TIMEOUT = 12.0  # seconds


@pytest.mark.parametrize("way", ["leave", "sigterm"])
def test_upload_during_departure(warm_scene: Scene, way: str) -> None:
    """Guards against an upload that is cut when its gate's host leaves."""
    scene = warm_scene
    server = "order-1"
    host = scene.gate(server)
    key = scene.key_of(server)
    with (
        concurrent.futures.ThreadPoolExecutor(1) as pool,
        scene.probe(8.0) as probes,
    ):
        upload = pool.submit(uploads.send, scene, host, "/".join(("", *key)))
        time.sleep(1.0)
        left = time.monotonic()
        if way == "leave":
            scene.console(host, "host", "leave", host)
        else:
            scene.terminate(host)
        found = upload.result()
    uploads.check(scene, server, found)
    if way == "leave":
        assert not scene.all_ready()
        assert host not in {scene.gate(item) for item in scene.ports_by_server}
    else:
        assert scene.exit_status(host, STOP_TIMEOUT) == 0
    probes.assert_none_cut()
    probes.assert_served(left, SERVED_AGAIN)
    scene.check_invariants(probes.records)
