"""Checks committed deployments against section 1.5 of docs/design.md."""

from __future__ import annotations

import collections
import pathlib

import pytest
import yaml

from agatestile.results import outcomes
from agatestile.settings import loader
from agatestile.settings import schema
from agatestile.state import table
from bench import relocation
from standins import backend_settings

ROOT = pathlib.Path(__file__).parents[2] / "deployments"
SIZES_BY_NAME = {
    "mazowsze": ([17, 12, 6, 6], 2, 130),
    "accra-metro": ([18, 8, 6, 6], 3, 120),
}


def _settings(name: str) -> list[schema.Settings]:
    loaded = []
    for path in sorted((ROOT / name).glob("entry-*.yaml")):
        settings = loader.load(path)
        assert not isinstance(settings, outcomes.Refusal), settings
        loaded.append(settings)
    return loaded


@pytest.mark.parametrize("name", SIZES_BY_NAME)
def test_table_and_stand_in_servers_agree(name: str) -> None:
    """Guards against a table with servers that the stand-ins lack.

    Addresses, slots, connections and fences have to agree as well.
    """
    counts, slots, connections = SIZES_BY_NAME[name]
    rows = table.from_csv((ROOT / name / "table.csv").read_text())
    assert not isinstance(rows, outcomes.Refusal), rows
    rows_by_server = {row.server: row for row in rows if row.server}
    servers = backend_settings.load(ROOT / name / "servers.yaml")
    assert {server.name for server in servers} == set(rows_by_server)
    for server in servers:
        row = rows_by_server[server.name]
        assert row.address == f"127.0.0.1:{server.port}"
        assert (row.slots, row.connections) == (slots, connections)
        assert (server.slots, server.connections) == (slots, connections)
        assert server.fenced == row.fenced
        assert (server.service, server.domain) == (row.service, row.domain)
    by_service = collections.Counter(server.service for server in servers)
    assert list(by_service.values()) == counts


@pytest.mark.parametrize("name", SIZES_BY_NAME)
def test_membership_list_agrees_with_settings(name: str) -> None:
    """Guards against a membership list with other hosts or addresses."""
    members = yaml.safe_load((ROOT / name / "hosts.yaml").read_text())
    assert members == [
        {
            "host": settings.host,
            "failure_domain": settings.failure_domain,
            "peers": str(settings.listen.peers),
            "forward": str(settings.listen.forward),
            "admin": str(settings.listen.admin),
            "state": "live",
        }
        for settings in _settings(name)
    ]
    domains = collections.Counter(host["failure_domain"] for host in members)
    assert sorted(domains.values()) == [1, 2, 2]


def test_no_port_is_used_twice() -> None:
    """Guards against deployments that can't run at the same time."""
    ports: list[int] = []
    for name in SIZES_BY_NAME:
        ports += [
            server.port
            for server in backend_settings.load(ROOT / name / "servers.yaml")
        ]
        hosts = _settings(name)
        ports += [address.port for host in hosts for address in host.listen]
        ports += [address.port for address in hosts[0].platform]
    assert len(ports) == len(set(ports))


def test_copy_on_free_ports_is_consistent(tmp_path: pathlib.Path) -> None:
    """Guards against a copy whose files disagree about a port."""
    relocation.relocate(ROOT / "mazowsze", tmp_path / "copy")
    servers = backend_settings.load(tmp_path / "copy" / "servers.yaml")
    rows = table.from_csv((tmp_path / "copy" / "table.csv").read_text())
    assert not isinstance(rows, outcomes.Refusal), rows
    assert {row.address for row in rows if row.server} == {
        f"127.0.0.1:{server.port}" for server in servers
    }
    assert all(server.port >= 10_000 for server in servers)
    settings = loader.load(tmp_path / "copy" / "entry-1.yaml")
    assert not isinstance(settings, outcomes.Refusal), settings
    hosts = (tmp_path / "copy" / "hosts.yaml").read_text()
    assert str(settings.listen.peers) in hosts
