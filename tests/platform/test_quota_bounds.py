"""Tests of the bounds on quotas in the settings."""

from __future__ import annotations

from agatestile.node import settings as node_settings
from agatestile.platform import settings

TEXT = """
nodeName = "host-1"
ip = "127.0.0.1"
zone = "anna"
bounds = %s
[listen]
edgeAddr = "127.0.0.1:1"
ready = "127.0.0.1:2"
control = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
"""


def test_bounds_on_quotas_are_read() -> None:
    """Guards against bounds that keep their defaults."""
    names = '["quotaWindowS=4", "quotaOverage=0.2", "quotaSlack=7"]'
    decoded = settings.decode(TEXT % names, "local.toml")
    assert isinstance(decoded, node_settings.NodeSettings)
    bounds = decoded.bounds
    assert bounds.quota_window == 4.0
    assert bounds.quota_overage == 0.2
    assert bounds.quota_slack == 7.0


def test_bounds_on_quotas_have_defaults() -> None:
    """Guards against a deployment without them that does not start."""
    decoded = settings.decode(TEXT % "[]", "local.toml")
    assert isinstance(decoded, node_settings.NodeSettings)
    assert decoded.bounds == node_settings.Bounds()
    assert node_settings.Bounds().quota_slack == 20.0
