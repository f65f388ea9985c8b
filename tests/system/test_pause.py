"""Processes that are paused and resume as if nothing had happened."""

from __future__ import annotations

import time
import typing

import pytest

from bench import http_client
from tests.system import scene as scenes

if typing.TYPE_CHECKING:
    from tests.system.scene import Scene

pytestmark = pytest.mark.slow

SERVED_AGAIN = 3.0  # seconds, section 5 of the design
IN_FORCE = 7.0  # seconds, invariant 4 of the design
PAUSE = 5.0  # seconds, longer than all leases


def _send_with(scene: Scene, server: str, fence: str) -> http_client.Response:
    """Send a request to a server as a gate would."""
    answer = scene.ask(server, "GET", "/orders/own", {"x-fence": fence})
    assert isinstance(answer, http_client.Response)
    return answer


def test_gate_host_paused(warm_scene: Scene) -> None:
    """Guards against a gate that goes on with a lease that has ended."""
    scene = warm_scene
    server = "order-1"
    host = scene.gate(server)
    fence = scene.state(server)["fence"]
    assert _send_with(scene, server, fence).status == 200
    with scene.probe(10.0) as probes:
        stopped = scene.stop(host)
        time.sleep(PAUSE)
        assert scene.gate(server) != host
        scene.resume(host)
        refused = _send_with(scene, server, fence)
        assert refused.status == 409
        assert refused.headers["x-refused"] == "fence"
    probes.assert_served(stopped, SERVED_AGAIN)
    scene.check_invariants(probes.records)


def test_server_paused(warm_scene: Scene) -> None:
    """Guards against a server that runs what it got before the pause."""
    scene = warm_scene
    server = "order-1"
    before = scene.state(server)["counts"].get("fence", 0)
    with scene.probe(10.0) as probes:
        stopped = scene.stop(server)
        time.sleep(PAUSE)
        assert server not in scene.owners().values()
        scene.resume(server)
        time.sleep(1.0)
        refused = scene.state(server)["counts"].get("fence", 0) - before
    # Otherwise the pause met no request, and the test shows nothing.
    assert refused > 0
    probes.assert_served(stopped, SERVED_AGAIN)
    scene.check_invariants(probes.records)


def test_change_during_pause_of_a_host(scene: Scene) -> None:
    """Guards against a resumed host with an old table that it keeps."""
    host = scene.hosts[-1]
    first = scenes.answered(scene.admin().table())
    scene.stop(host)
    sheet = first["csv"].replace("always,40,200", "always,41,200")
    answer = scenes.answered(scene.admin().apply_table(sheet, "current"))
    assert answer["offset"] > first["version"]
    assert host not in answer["in_force"]
    assert host in {*answer["pending"], *answer["unreachable"]}
    time.sleep(2.0)
    scene.resume(host)
    scene.wait_until(
        "change on the resumed host",
        lambda: _version(scene, host) == answer["offset"],
        IN_FORCE,
    )
    time.sleep(1.0)
    versions = {name: _version(scene, name) for name in scene.hosts}
    assert set(versions.values()) == {answer["offset"]}, versions
    scene.check_invariants([])


def _version(scene: Scene, host: str) -> int:
    return int(scenes.answered(scene.admin(host).table())["version"])
