"""Decodes the operator's configuration, entry by entry.

An entry that cannot be used does not affect the others: another version of
this program may know more words than this one. Requests for it are refused
as long as it is part of the configuration.
"""

from __future__ import annotations

import math
import typing

import msgspec

from agatestile.catalog import configuration
from agatestile.catalog import tenants
from agatestile.results import decoding

MAX_MILLISECONDS = 3_600_000.0
"""Longest timeout of a route and of a caller's limits."""

MAX_PROBLEMS = 20
"""Number of problems that are named one by one."""

_KINDS_BY_NAME: dict[str, configuration.RouteKind] = {
    kind.value: kind
    for kind in configuration.RouteKind
    if kind is not configuration.RouteKind.UNKNOWN
}

_Entry = typing.TypeVar("_Entry")


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


class _RulePlace(msgspec.Struct):
    match: _Match


class _Rule(msgspec.Struct):
    name: str
    routeType: str
    match: _Match
    action: _Action
    targetLatencyMs: float = 0
    priority: int = 0
    public: bool = False


class _Listener(msgspec.Struct):
    host: str
    rules: list[msgspec.Raw]


class _Named(msgspec.Struct):
    name: str


class _Cluster(msgspec.Struct):
    name: str
    healthPath: str = ""
    maxConnections: int = 0
    warmupS: float = 0
    warmupPerS: float = 0
    sharded: bool = False


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None
    ratePerS: float | None = None
    burst: float | None = None


class _TenantKeys(msgspec.Struct):
    name: str
    apiKeys: list[str] = []


class _Limits(msgspec.Struct):
    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class _Manifest(msgspec.Struct):
    version: str
    listeners: list[msgspec.Raw]
    clusters: list[msgspec.Raw]
    tenants: list[msgspec.Raw] | None = None
    limits: msgspec.Raw = msgspec.Raw(b"null")


def decode_configuration(value: bytes) -> configuration.Configuration | str:
    """Return the configuration, or the reason why none of it is usable."""
    try:
        manifest = msgspec.json.decode(value, type=_Manifest)
        version = int(manifest.version.removeprefix("r"))
    except decoding.DECODE_ERRORS as error:
        return str(error)
    return _EntryReader(manifest).read(version)


class _EntryReader:
    """Reads the entries of a manifest and collects their problems."""

    def __init__(self, manifest: _Manifest) -> None:
        self._manifest = manifest
        self._problems: list[str] = []
        self._invalid_services: set[str] = set()

    def read(self, version: int) -> configuration.Configuration:
        """Return the configuration that the manifest describes."""
        manifest = self._manifest
        services_by_name = self._read_services()
        routes: dict[str, dict[str, configuration.Route]] = {}
        for index, raw in enumerate(manifest.listeners):
            place = f"listeners[{index}]"
            listener = _decode(raw, _Listener)
            if isinstance(listener, str):
                self._add_problem(place, listener)
                continue
            by_prefix = routes.setdefault(listener.host.lower(), {})
            for number, raw_rule in enumerate(listener.rules):
                self._read_rule(
                    f"{place}.rules[{number}]", raw_rule, by_prefix
                )
        found_tenants = self._read_tenants()
        limits = self._read_limits()
        return configuration.Configuration(
            version=version,
            routes=routes,
            services_by_name=services_by_name,
            limits=limits,
            tenants=found_tenants,
            problems=self._named_problems(),
            invalid_services=frozenset(self._invalid_services),
        )

    def _add_problem(self, place: str, reason: str) -> None:
        self._problems.append(f"{place}: {reason}")

    def _named_problems(self) -> tuple[str, ...]:
        left_out = len(self._problems) - MAX_PROBLEMS
        if left_out <= 0:
            return tuple(self._problems)
        return (*self._problems[:MAX_PROBLEMS], f"{left_out} more problems")

    # Services

    def _read_services(self) -> dict[str, configuration.Service]:
        found = {}
        for index, raw in enumerate(self._manifest.clusters):
            cluster = _decode(raw, _Cluster)
            if isinstance(cluster, str):
                self._add_problem(f"clusters[{index}]", cluster)
                named = _decode(raw, _Named)
                if not isinstance(named, str):
                    self._invalid_services.add(named.name)
                continue
            found[cluster.name] = configuration.Service(
                name=cluster.name,
                health_path=cluster.healthPath,
                max_connections=cluster.maxConnections,
                warmup_seconds=cluster.warmupS,
                warmup_rate=cluster.warmupPerS,
                is_partitioned=cluster.sharded,
            )
        return found

    # Routes

    def _read_rule(
        self,
        place: str,
        raw: msgspec.Raw,
        by_prefix: dict[str, configuration.Route],
    ) -> None:
        rule = _decode(raw, _Rule)
        reason = rule if isinstance(rule, str) else _rule_problem(rule)
        if not isinstance(rule, str) and not reason:
            by_prefix[rule.match.pathPrefix] = self._to_route(place, rule)
            return
        self._add_problem(place, reason)
        located = _decode(raw, _RulePlace)
        if not isinstance(located, str):
            by_prefix[located.match.pathPrefix] = configuration.Route.invalid(
                place, reason
            )

    def _to_route(self, place: str, rule: _Rule) -> configuration.Route:
        action = rule.action
        kind = _KINDS_BY_NAME.get(rule.routeType)
        if kind is None:
            kind = configuration.RouteKind.UNKNOWN
            self._add_problem(
                place,
                f"route type {rule.routeType!r} is unknown; its requests are"
                " not repeated",
            )
        if action.trafficSplit:
            targets = tuple(
                configuration.Target(target.service, target.weight)
                for target in action.trafficSplit
            )
        else:
            targets = (configuration.Target(action.service, 1.0),)
        return configuration.Route(
            name=rule.name,
            kind=kind,
            targets=targets,
            timeout=action.timeoutMs / 1000.0,
            latency_objective=rule.targetLatencyMs / 1000.0,
            max_attempts=max(1, action.maxAttempts),
            priority=rule.priority,
            is_public=rule.public,
        )

    # Tenants

    def _read_tenants(self) -> tenants.Tenants | None:
        if not self._manifest.tenants:
            return None
        entries: list[tuple[tenants.Tenant, list[str]]] = []
        is_complete = True
        for index, raw in enumerate(self._manifest.tenants):
            place = f"tenants[{index}]"
            entry = _decode(raw, _Tenant)
            if not isinstance(entry, str):
                reason = _tenant_problem(entry)
                tenant = tenants.Tenant(
                    entry.name,
                    entry.priority,
                    entry.ratePerS or 0.0,
                    entry.burst or 0.0,
                    f"{place}: {reason}" if reason else "",
                )
                entries.append((tenant, entry.apiKeys))
                if reason:
                    self._add_problem(place, reason)
                continue
            self._add_problem(place, entry)
            keys = _decode(raw, _TenantKeys)
            if isinstance(keys, str):
                is_complete = False
                continue
            tenant = tenants.Tenant(
                keys.name, invalid_reason=f"{place}: {entry}"
            )
            entries.append((tenant, keys.apiKeys))
        found = tenants.Tenants.from_entries(entries, is_complete=is_complete)
        if found.ambiguous_keys:
            self._add_problem(
                "tenants",
                f"{len(found.ambiguous_keys)} keys belong to several tenants",
            )
        return found

    # Limits

    def _read_limits(self) -> configuration.CallerLimits:
        raw = self._manifest.limits
        if bytes(raw) == b"null":
            return configuration.CallerLimits()
        limits = _decode(raw, _Limits)
        reason = limits if isinstance(limits, str) else _limits_problem(limits)
        if isinstance(limits, str) or reason:
            self._add_problem("limits", f"{reason}; the defaults apply")
            return configuration.CallerLimits()
        return configuration.CallerLimits(
            header_bytes=limits.maxHeaderBytes,
            body_bytes=limits.maxBodyBytes,
            header_timeout=limits.headerTimeoutMs / 1000.0,
            idle_timeout=limits.idleTimeoutMs / 1000.0,
        )


def _decode(raw: msgspec.Raw, form: type[_Entry]) -> _Entry | str:
    try:
        return msgspec.json.decode(raw, type=form)
    except decoding.DECODE_ERRORS as error:
        return str(error)


def _rule_problem(rule: _Rule) -> str:
    """Return why a rule cannot be used, empty if it can be."""
    action = rule.action
    if not 0 < action.timeoutMs <= MAX_MILLISECONDS:
        return f"timeoutMs is not from 0 to {MAX_MILLISECONDS:g}"
    if rule.targetLatencyMs < 0:
        return "targetLatencyMs is negative"
    if not action.trafficSplit:
        return "" if action.service else "no service is named"
    weights = [target.weight for target in action.trafficSplit]
    if min(weights) < 0 or not 0 < math.fsum(weights) < math.inf:
        return "the weights of trafficSplit have no positive sum"
    return ""


def _tenant_problem(tenant: _Tenant) -> str:
    """Return why a tenant cannot be used, empty if it can be."""
    if not _is_header_value(tenant.name):
        return "the name is empty or has characters other than ASCII"
    if (tenant.ratePerS or 0.0) < 0 or (tenant.burst or 0.0) < 0:
        return "ratePerS or burst is negative"
    return ""


def _limits_problem(limits: _Limits) -> str:
    """Return why limits cannot be used, empty if they can be."""
    for name, number in (
        ("maxHeaderBytes", limits.maxHeaderBytes),
        ("maxBodyBytes", limits.maxBodyBytes),
        ("headerTimeoutMs", limits.headerTimeoutMs),
        ("idleTimeoutMs", limits.idleTimeoutMs),
    ):
        if number <= 0:
            return f"{name} is not positive"
    return ""


def _is_header_value(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable()
