"""Processes that are lost, and how soon keys are served again."""

from __future__ import annotations

import typing

import pytest

from tests.system import scene as scenes

if typing.TYPE_CHECKING:
    from tests.system.scene import Scene

pytestmark = pytest.mark.slow

SERVED_AGAIN = 3.0  # seconds, section 5 of the design
DOMAIN = "north"
SERVER = "lookup-1"
"""A server of the domain."""

SUCCESSOR = "lookup-4"
"""The other server of the same service in the domain."""


def test_gate_host_lost(warm_scene: Scene) -> None:
    """Guards against keys that stay with a lost gate."""
    scene = warm_scene
    leaders = {scene.leader(name) for name in ("north", "south", "west")}
    gates = {scene.gate(name) for name in scene.ports_by_server}
    host = min(gates - leaders)
    owners = scene.owners()
    with scene.probe(6.0) as probes:
        lost = scene.kill(host)
    probes.assert_served(lost, SERVED_AGAIN)
    assert scene.owners() == owners
    assert host not in {scene.gate(name) for name in scene.ports_by_server}
    scene.check_invariants(probes.records)


def test_leader_lost(warm_scene: Scene) -> None:
    """Guards against a domain that nobody leads."""
    scene = warm_scene
    host = scene.leader(DOMAIN)
    with scene.probe(6.0) as probes:
        lost = scene.kill(host)
    probes.assert_served(lost, SERVED_AGAIN)
    assert scene.leader(DOMAIN) not in {host, "None"}
    scene.check_invariants(probes.records)


def test_owner_lost(warm_scene: Scene) -> None:
    """Guards against keys that stay with a lost server."""
    scene = warm_scene
    with scene.probe(6.0) as probes:
        lost = scene.kill(SERVER)
    probes.assert_served(lost, SERVED_AGAIN)
    assert SERVER not in scene.owners().values()
    scene.check_invariants(probes.records)


def _domain_and_owner(scene: Scene, *, gate_lost: bool) -> tuple[str, str]:
    """Return a domain and an owner in it.

    `gate_lost` tells whether the domain's leader is the gate of the
    owner's successor.
    """
    for server in scene.servers:
        other = next(
            item.name
            for item in scene.servers
            if (item.service, item.domain) == (server.service, server.domain)
            and item.name != server.name
        )
        if (scene.gate(other) == scene.leader(server.domain)) == gate_lost:
            return server.domain, server.name
    raise AssertionError("no leader and successor's gate of this kind")


@pytest.mark.parametrize("gate_lost", [False, True])
def test_leader_and_owner_lost(warm_scene: Scene, gate_lost: bool) -> None:
    """Guards against a new leader that waits too long for the old one.

    A gate of the successor that is lost with the leader takes with it
    what is known of the server's warmth.
    """
    scene = warm_scene
    domain, server = _domain_and_owner(scene, gate_lost=gate_lost)
    host = scene.leader(domain)
    with scene.probe(7.0) as probes:
        lost = scene.kill(host, server)
    probes.assert_served(lost, SERVED_AGAIN)
    assert server not in scene.owners().values()
    scene.check_invariants(probes.records)


def test_owner_lost_in_log_outage(warm_scene: Scene) -> None:
    """Guards against succession that needs the log, or never enters it."""
    scene = warm_scene
    key = scene.key_of(SERVER)
    before = scene.explain(*key)
    scene.control("log", outage=True)
    with scene.probe(6.0) as probes:
        lost = scene.kill(SERVER)
    probes.assert_served(lost, SERVED_AGAIN)
    during = scene.explain(*key)
    assert during["owner"] == SUCCESSOR
    assert during["since"] == before["since"]
    scene.control("log", outage=False)
    scene.wait_until(
        "assignment in the log",
        lambda: scene.explain(*key)["why"] == "assigned",
        7.0,
    )
    after = scene.explain(*key)
    assert after["owner"] == SUCCESSOR
    assert after["since"] > before["since"]
    scene.check_invariants(probes.records)


def test_all_daemons_replaced(scene: Scene) -> None:
    """Guards against assignments that are only in memory."""
    before = {key: scene.explain(*key) for key in scene.keys}
    version = scenes.answered(scene.admin().table())["version"]
    scene.kill(*scene.hosts)
    for host in scene.hosts:
        scene.restart(host)
    scene.wait_ready()
    scene.wait_served()
    for key, found in before.items():
        after = scene.explain(*key)
        assert after["owner"] == found["owner"]
        assert after["since"] == found["since"]
    assert scenes.answered(scene.admin().table())["version"] == version
    scene.check_invariants([])


def test_daemon_started_in_log_outage(scene: Scene) -> None:
    """Guards against a new host that waits for the log or has old state."""
    leaders = {scene.leader(name) for name in ("north", "south", "west")}
    host = next(name for name in scene.hosts if name not in leaders)
    scene.kill(host)
    # A change that no checkpoint contains.
    scenes.answered(scene.admin().set_domain("west", "out"))
    offset = max((scene.status(name) or {})["offset"] for name in scene.live())
    scene.control("log", outage=True)
    scene.restart(host)
    scene.wait_until("new host that is ready", scene.all_ready, 5.0)
    status = scene.status(host)
    assert status is not None
    assert status["offset"] >= offset
    assert status["domains"]["west"] == "out"
    with scene.probe(2.0) as probes:
        pass
    hosts = {item.host for item in probes.records if item.answered}
    assert host in hosts
    scene.control("log", outage=False)
    scene.check_invariants(probes.records)
