"""Processes that are lost, and how soon keys are served again."""

from __future__ import annotations

import typing

import pytest

if typing.TYPE_CHECKING:
    from tests.system.scene import Scene

pytestmark = pytest.mark.slow

SERVED_AGAIN = 3.0  # seconds, section 5 of the design
DOMAIN = "north"
SERVER = "lookup-1"
"""A server of the domain; lookup-4 is the other one of its service."""


def test_gate_host_lost(warm_scene: Scene) -> None:
    """Guards against keys that stay with a lost gate."""
    scene = warm_scene
    leaders = {scene.leader(name) for name in ("north", "south", "west")}
    gates = {scene.gate(name) for name in scene.ports_by_server}
    host = min(gates - leaders)
    owners = scene.owners()
    with scene.probe(6.0) as probes:
        lost = scene.kill(host)
    probes.assert_served_within(lost, SERVED_AGAIN)
    assert scene.owners() == owners
    assert host not in {scene.gate(name) for name in scene.ports_by_server}
    scene.check_invariants(probes.records)


def test_leader_lost(warm_scene: Scene) -> None:
    """Guards against a domain that nobody leads."""
    scene = warm_scene
    host = scene.leader(DOMAIN)
    with scene.probe(6.0) as probes:
        lost = scene.kill(host)
    probes.assert_served_within(lost, SERVED_AGAIN)
    assert scene.leader(DOMAIN) not in {host, "None"}
    scene.check_invariants(probes.records)


def test_owner_lost(warm_scene: Scene) -> None:
    """Guards against keys that stay with a lost server."""
    scene = warm_scene
    moved = [key for key, owner in scene.owners().items() if owner == SERVER]
    with scene.probe(6.0) as probes:
        lost = scene.kill(SERVER)
    probes.assert_served_within(lost, SERVED_AGAIN)
    owners = scene.owners()
    assert SERVER not in owners.values()
    assert moved, "no probed key belonged to the lost server"
    scene.check_invariants(probes.records)
