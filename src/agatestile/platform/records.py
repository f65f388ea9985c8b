"""Topics and formats of the platform's records."""

from __future__ import annotations

import ipaddress
import typing

import msgspec

from agatestile.catalog import directory
from agatestile.platform import manifest
from agatestile.results import decoding

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration

SERVERS_TOPIC = "servers"
OPERATOR_TOPIC = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

MAX_COUNT = 2**53
"""Largest start time and number of a heartbeat. Larger ones lose digits in
JSON decoders, and the messages between hosts are limited to 64 bits."""

MAX_SLOTS = 10_000

MAX_WARMUP_MS = 3_600_000.0

_DRAINING_BY_STATE = {"ready": False, "draining": True}


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    # Failure domain.
    zone: str
    slots: int
    state: str
    seq: int
    # Remaining time for which the server is slow, although the name refers
    # to traffic.
    warmupLeftMs: float = 0
    # Start as Unix time in milliseconds, used as the incarnation.
    born: int = 0


def decode_server(key: str, value: bytes) -> directory.ServerEntry | str:
    """Return the entry of a server, or the reason why it is invalid."""
    try:
        heartbeat = msgspec.json.decode(value, type=_Heartbeat)
    except decoding.DECODE_ERRORS as error:
        return str(error)
    is_draining = _DRAINING_BY_STATE.get(heartbeat.state)
    if is_draining is None:
        return f"unknown state {heartbeat.state!r}"
    address = _parse_address(heartbeat.address)
    if address is None:
        return f"address {heartbeat.address!r} is not of the form IP:PORT"
    if not heartbeat.service or not heartbeat.zone:
        return "service or zone is empty"
    if not key.isascii() or not key.isprintable() or not key:
        # It is sent in a header.
        return f"key {key!r} is empty or has characters other than ASCII"
    reason = _out_of_range(heartbeat)
    if reason is not None:
        return reason
    return directory.ServerEntry(
        id=key,
        incarnation=heartbeat.born,
        sequence=heartbeat.seq,
        service=heartbeat.service,
        address=address,
        failure_domain=heartbeat.zone,
        slots=heartbeat.slots,
        is_draining=is_draining,
        warmup_left=heartbeat.warmupLeftMs / 1000.0,
    )


def _parse_address(text: str) -> tuple[str, int] | None:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    if not port.isascii() or not port.isdigit() or len(port) > 5:
        return None
    return (host, int(port)) if 0 < int(port) < 65536 else None


def _out_of_range(heartbeat: _Heartbeat) -> str | None:
    """Return why a number can't be right, None if all may be."""
    for name, number, lowest, highest in (
        ("slots", heartbeat.slots, 1, MAX_SLOTS),
        ("seq", heartbeat.seq, 0, MAX_COUNT),
        ("born", heartbeat.born, 0, MAX_COUNT),
        ("warmupLeftMs", heartbeat.warmupLeftMs, 0, MAX_WARMUP_MS),
    ):
        if not lowest <= number <= highest:
            return f"{name} is not from {lowest} to {highest:g}"
    return None


class PlatformRecordFormat:
    """Topics and formats of the platform's records."""

    servers_topic = SERVERS_TOPIC
    operator_topic = OPERATOR_TOPIC

    def decode_server(
        self, key: str, value: bytes
    ) -> directory.ServerEntry | str:
        """Return the entry of a server, or the reason why it is invalid."""
        return decode_server(key, value)

    def decode_configuration(
        self, value: bytes
    ) -> configuration.Configuration | str:
        """Return the configuration, or the reason why it is invalid."""
        return manifest.decode_configuration(value)

    def is_configuration(self, key: str) -> bool:
        """Return whether the record with this key is the configuration."""
        return key == CONFIGURATION_KEY

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that the record evacuates, if any."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)
