"""Reads the settings file that the platform provides to a process."""

from __future__ import annotations

import os
import tomllib
import typing

import msgspec

from agatestile.node import settings as node_settings
from agatestile.results import codes
from agatestile.results import decoding
from agatestile.results import outcomes

PATH_VARIABLE = "AGATESTILE_BOOT"
METRICS_VARIABLE = "AGATESTILE_METRICS_PORT"
DEFAULT_PATH = "/etc/agatestile/local.toml"


class _Listen(msgspec.Struct):
    edgeAddr: str
    ready: str
    # Address for other hosts.
    control: str = ""


class _Platform(msgspec.Struct):
    # Address of the store.
    address: str


class _Limits(msgspec.Struct):
    # Rate of the host's own link, in 10^6 bits per second.
    linkMbps: float | None = None
    # Memory of the host, in 10^6 bytes.
    memoryMb: float | None = None
    # Descriptors that the process may open.
    maxFds: int | None = None


class _SettingsFile(msgspec.Struct):
    nodeName: str
    ip: str
    # Failure domain.
    zone: str
    listen: _Listen
    platform: _Platform
    # Peer addresses of at most three hosts, which may no longer exist.
    seeds: list[str] = []
    # Bounds of the form NAME=VALUE, as a list or separated by commas.
    bounds: list[str] | str = []
    internalPorts: list[int] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_FIELDS_BY_BOUND = {
    "graceS": "grace",
    "retryBudgetRatio": "retry_ratio",
    "retryWindowS": "retry_window",
    "retryBudgetSlack": "retry_slack",
    "warmupOvershoot": "cold_ratio",
    "warmupSlack": "cold_slack",
    "quotaWindowS": "quota_window",
    "quotaOverage": "quota_overage",
    "quotaSlack": "quota_slack",
}

_FIELDS_BY_MILLISECOND_BOUND = {
    "drainMs": "drain",
    "evacuateMs": "evacuate",
    "configApplyMs": "configuration",
    "revokeMs": "revoke",
}

_FIELDS_BY_BOOLEAN_BOUND = {"strictRevoke": "strict_revoke"}


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
    """Decode the settings in TOML text; `path` appears in refusals."""
    try:
        decoded = msgspec.convert(tomllib.loads(text), _SettingsFile)
        return node_settings.NodeSettings(
            host=decoded.nodeName,
            failure_domain=decoded.zone,
            callers=parse_address(decoded.listen.edgeAddr),
            readiness=parse_address(decoded.listen.ready),
            peers=parse_address(decoded.listen.control),
            seeds=tuple(decoded.seeds),
            store=parse_address(decoded.platform.address),
            bounds=_parse_bounds(decoded.bounds),
            metrics=_metrics_address(decoded.ip),
            link_rate=_bytes_per_second(decoded.limits.linkMbps),
            memory=_bytes(decoded.limits.memoryMb),
            descriptors=decoded.limits.maxFds,
        )
    except tomllib.TOMLDecodeError as error:
        return outcomes.Refusal(
            codes.ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
        )
    except decoding.DECODE_ERRORS as error:
        return outcomes.Refusal(
            codes.ResultCode.SETTINGS_WRONG_TYPE, f"{path}: {error}"
        )


def parse_address(text: str) -> tuple[str, int]:
    """Parse an address of the form IP:PORT.

    Raises
    ------
    ValueError
        If the text does not have this form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form IP:PORT")
    if not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} has no port from 1 to 65535")
    return host, int(port)


def _metrics_address(ip: str) -> tuple[str, int] | None:
    port = os.environ.get(METRICS_VARIABLE, "")
    return (ip, int(port)) if port else None


def _bytes_per_second(megabits: float | None) -> float | None:
    return None if megabits is None else megabits * 1e6 / 8


def _bytes(megabytes: float | None) -> int | None:
    return None if megabytes is None else int(megabytes * 1e6)


def _parse_bounds(texts: list[str] | str) -> node_settings.Bounds:
    if isinstance(texts, str):
        texts = texts.split(",")
    values: dict[str, typing.Any] = {}
    for text in texts:
        name, _, value = text.strip().partition("=")
        if name in _FIELDS_BY_BOUND:
            values[_FIELDS_BY_BOUND[name]] = float(value)
        elif name in _FIELDS_BY_MILLISECOND_BOUND:
            values[_FIELDS_BY_MILLISECOND_BOUND[name]] = float(value) / 1000.0
        elif name in _FIELDS_BY_BOOLEAN_BOUND:
            values[_FIELDS_BY_BOOLEAN_BOUND[name]] = _parse_boolean(value)
    return node_settings.Bounds(**values)


def _parse_boolean(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither true nor false")
    return text == "true"
