"""Copies of deployments to other ports."""

from __future__ import annotations

import pathlib
import socket

import pytest

from agatestile.results import outcomes
from agatestile.settings import loader
from agatestile.state import table
from bench import deployment_copies
from bench import deployments
from standins import backend_settings


def test_all_files_agree_on_the_shifted_ports(tmp_path: pathlib.Path) -> None:
    """Guards against a copy that still uses a port of its source."""
    source = deployments.ROOT / "mazowsze"
    shift = deployment_copies.copy_to_free_ports(source, tmp_path)
    original = loader.load(source / "entry-1.yaml")
    copied = loader.load(tmp_path / "entry-1.yaml")
    assert not isinstance(original, outcomes.Refusal), original
    assert not isinstance(copied, outcomes.Refusal), copied
    for before, after in zip(original.listen, copied.listen, strict=True):
        assert after.port == before.port + shift
    for url, new in zip(original.platform, copied.platform, strict=True):
        assert new.port == url.port + shift
    rows = table.from_csv((tmp_path / "table.csv").read_text())
    assert not isinstance(rows, outcomes.Refusal), rows
    addresses = {row.server: row.address for row in rows if row.server}
    servers = backend_settings.load(tmp_path / "servers.yaml")
    assert addresses == {
        server.name: f"127.0.0.1:{server.port}" for server in servers
    }
    listed = (tmp_path / "hosts.yaml").read_text()
    assert str(copied.listen.peers) in listed
    assert str(original.listen.peers) not in listed


def test_ports_in_use_are_passed_over(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a copy that can't be started."""
    source = tmp_path / "source"
    source.mkdir()
    (source / "one.yaml").write_text("listen: 127.0.0.1:8501\n")
    shift = deployment_copies.copy_to_free_ports(source, tmp_path / "first")
    port = 8501 + shift
    monkeypatch.setattr(deployment_copies, "LOWEST_PORT", port)
    monkeypatch.setattr(deployment_copies, "HIGHEST_PORT", port + 3)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", port))
        taken.listen()
        for number in range(10):
            found = deployment_copies.copy_to_free_ports(
                source, tmp_path / str(number)
            )
            assert found in {shift + 1, shift + 2}
