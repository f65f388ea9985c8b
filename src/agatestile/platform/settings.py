"""Settings that the platform gives to a process."""

from __future__ import annotations

import os
import tomllib
import typing

import msgspec

from agatestile.node import settings as node_settings
from agatestile.results import codes
from agatestile.results import outcomes

PATH_VARIABLE = "AGATESTILE_BOOT"
METRICS_VARIABLE = "AGATESTILE_METRICS_PORT"
DEFAULT_PATH = "/etc/agatestile/local.toml"


class _Listen(msgspec.Struct):
    edgeAddr: str
    ready: str
    control: str = ""


class _Platform(msgspec.Struct):
    address: str


class _Boot(msgspec.Struct):
    nodeName: str
    ip: str
    # The failure domain.
    zone: str
    listen: _Listen
    platform: _Platform
    # Control addresses of at most three hosts, which may be gone.
    seeds: list[str] = []
    # Bounds as texts of the form name=value.
    bounds: list[str] | str = []
    internalPorts: list[int] = []


_BOUND_FIELDS = {
    "graceS": "grace",
    "retryBudgetRatio": "retry_ratio",
    "retryWindowS": "retry_window",
    "retryBudgetSlack": "retry_slack",
    "warmupOvershoot": "cold_ratio",
    "warmupSlack": "cold_slack",
}

_MILLISECOND_FIELDS = {
    "drainMs": "drain",
    "evacuateMs": "evacuate",
}


def load() -> node_settings.NodeSettings | outcomes.Refusal:
    """Read the settings file that the environment names."""
    path = os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, "rb") as file:
            return decode(file.read().decode(), path)
    except (OSError, UnicodeDecodeError) as error:
        return outcomes.Refusal(
            codes.ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
        )


def decode(
    text: str, path: str
) -> node_settings.NodeSettings | outcomes.Refusal:
    """Return the settings in a text."""
    try:
        boot = msgspec.convert(tomllib.loads(text), _Boot)
        return node_settings.NodeSettings(
            host=boot.nodeName,
            failure_domain=boot.zone,
            callers=parse_address(boot.listen.edgeAddr),
            readiness=parse_address(boot.listen.ready),
            peers=parse_address(boot.listen.control),
            seeds=tuple(boot.seeds),
            store=parse_address(boot.platform.address),
            bounds=_bounds(boot.bounds),
            metrics=_metrics(boot.ip),
        )
    except tomllib.TOMLDecodeError as error:
        return outcomes.Refusal(
            codes.ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
        )
    except (msgspec.ValidationError, ValueError) as error:
        return outcomes.Refusal(
            codes.ResultCode.SETTINGS_WRONG_TYPE, f"{path}: {error}"
        )


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and port in a text.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is not an IP address and port")
    return host, int(port)


def _metrics(ip: str) -> tuple[str, int] | None:
    port = os.environ.get(METRICS_VARIABLE, "")
    return (ip, int(port)) if port else None


def _bounds(texts: list[str] | str) -> node_settings.Bounds:
    if isinstance(texts, str):
        texts = texts.split(",")
    values: dict[str, typing.Any] = {}
    for text in texts:
        name, _, value = text.strip().partition("=")
        if name in _BOUND_FIELDS:
            values[_BOUND_FIELDS[name]] = float(value)
        elif name in _MILLISECOND_FIELDS:
            values[_MILLISECOND_FIELDS[name]] = float(value) / 1000.0
    return node_settings.Bounds(**values)
