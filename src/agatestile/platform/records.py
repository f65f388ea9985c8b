"""Decodes the records of service discovery and of the operator."""

from __future__ import annotations

import ipaddress

import msgspec

from agatestile.catalog import configuration
from agatestile.catalog import directory
from agatestile.results import decoding

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


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Match(msgspec.Struct):
    pathPrefix: str


class _Action(msgspec.Struct):
    timeoutMs: float
    maxAttempts: int = 1
    service: str = ""
    trafficSplit: list[_Target] = []


class _Rule(msgspec.Struct):
    name: str
    routeType: str
    match: _Match
    action: _Action
    targetLatencyMs: float = 0
    priority: int = 0


class _Listener(msgspec.Struct):
    host: str
    rules: list[_Rule]


class _Cluster(msgspec.Struct):
    name: str
    healthPath: str = ""
    maxConnections: int = 0
    warmupS: float = 0
    warmupPerS: float = 0
    sharded: bool = False


class _Limits(msgspec.Struct):
    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class _Manifest(msgspec.Struct):
    version: str
    listeners: list[_Listener]
    clusters: list[_Cluster]
    limits: _Limits | None = None


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


def decode_configuration(value: bytes) -> configuration.Configuration | str:
    """Return the configuration, or the reason why it is invalid."""
    try:
        manifest = msgspec.json.decode(value, type=_Manifest)
        version = int(manifest.version.removeprefix("r"))
        routes: dict[str, dict[str, configuration.Route]] = {}
        for listener in manifest.listeners:
            by_prefix = routes.setdefault(listener.host.lower(), {})
            for rule in listener.rules:
                by_prefix[rule.match.pathPrefix] = _to_route(rule)
    except decoding.DECODE_ERRORS as error:
        return str(error)
    return configuration.Configuration(
        version=version,
        routes=routes,
        services_by_name={
            cluster.name: _to_service(cluster) for cluster in manifest.clusters
        },
        limits=_to_limits(manifest.limits),
    )


def _to_route(rule: _Rule) -> configuration.Route:
    action = rule.action
    if action.trafficSplit:
        targets = tuple(
            configuration.Target(target.service, target.weight)
            for target in action.trafficSplit
        )
    else:
        targets = (configuration.Target(action.service, 1.0),)
    return configuration.Route(
        name=rule.name,
        kind=configuration.RouteKind(rule.routeType),
        targets=targets,
        timeout=action.timeoutMs / 1000.0,
        latency_objective=rule.targetLatencyMs / 1000.0,
        max_attempts=max(1, action.maxAttempts),
        priority=rule.priority,
    )


def _to_service(cluster: _Cluster) -> configuration.Service:
    return configuration.Service(
        name=cluster.name,
        health_path=cluster.healthPath,
        max_connections=cluster.maxConnections,
        warmup_seconds=cluster.warmupS,
        warmup_rate=cluster.warmupPerS,
        is_partitioned=cluster.sharded,
    )


def _to_limits(limits: _Limits | None) -> configuration.CallerLimits:
    if limits is None:
        return configuration.CallerLimits()
    return configuration.CallerLimits(
        header_bytes=limits.maxHeaderBytes,
        body_bytes=limits.maxBodyBytes,
        header_timeout=limits.headerTimeoutMs / 1000.0,
        idle_timeout=limits.idleTimeoutMs / 1000.0,
    )


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
        return decode_configuration(value)

    def is_configuration(self, key: str) -> bool:
        """Return whether the record with this key is the configuration."""
        return key == CONFIGURATION_KEY

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that the record evacuates, if any."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)
