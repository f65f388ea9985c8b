"""Lifecycle of a host: start, serve, and stop without aborting requests."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import time
import typing

import anyio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.catalog import configuration
from agatestile.entry import fleet as fleet_module
from agatestile.entry import handler as handler_module
from agatestile.entry import picker as picker_module
from agatestile.entry import quota_check
from agatestile.entry import stopping
from agatestile.entry import view as view_module
from agatestile.node import allocator
from agatestile.node import clock
from agatestile.node import leadership as leadership_module
from agatestile.node import operator_watcher
from agatestile.node import peers
from agatestile.node import quota_exchange
from agatestile.node import reporter as reporter_module
from agatestile.node import supervision
from agatestile.node import watchers
from agatestile.observability import counters
from agatestile.observability import events
from agatestile.results import outcomes
from agatestile.transport import caller_guard
from agatestile.transport import client
from agatestile.transport import memory_pressure
from agatestile.transport import messages
from agatestile.transport import server

if typing.TYPE_CHECKING:
    from agatestile.assignment import ports
    from agatestile.entry import header_port
    from agatestile.node import settings as settings_module
    from agatestile.store import port
    from agatestile.transport import buffered_bytes

READINESS_NOTICE_SECONDS = 2.6
"""How long a stopping host accepts new connections: until the load balancer's
readiness check has failed twice."""

STOP_MARGIN_SECONDS = 0.5
"""Time before the kill at which a stopping host exits on its own."""

LAST_RESPONSES_SECONDS = 0.3
"""Time before this exit at which requests in progress end and the host stops
to listen, so that their responses are delivered."""

ACCEPTED_CONNECTION_SECONDS = 0.1
"""How long a host that has stopped to listen waits for the first request of
the connections that it had accepted."""

ASSIGNMENT_WAIT_SECONDS = 4.0
"""How long a starting host waits for an assignment of keys before it reports
ready without one."""

HOUSEKEEPING_INTERVAL_SECONDS = 0.25
"""Interval between flushes of events and closing of idle connections."""

REMOVED_SERVER_RETENTION_SECONDS = 30.0
"""How long removed servers are retained, as they may still hold keys."""

DISCOVERY_MAX_AGE_SECONDS = 1.2
"""Age of the coordinator's last read of service discovery above which other
hosts are told to read it themselves."""

COORDINATOR_DISCOVERY_INTERVAL_SECONDS = 0.35
"""Interval of the coordinator's reads of service discovery, shorter than that
of other hosts because it has to move the keys of leaving servers."""


class PlatformAdapter(typing.NamedTuple):
    """Components that the platform's adapter provides.

    Attributes
    ----------
    store : port.Store
        Durable storage.
    orders : ports.Orders
        Grants keys to servers and releases them.
    record_format : watchers.RecordFormat
        Topics and formats of the records in the store.
    header_format : header_port.HeaderFormat
        Names and formats of HTTP headers.
    load_settings : callable
        Reads the settings again for a reload.
    buffered : buffered_bytes.BufferedBytes
        Limit that all connections of the host share.
    """

    store: port.Store
    orders: ports.Orders
    record_format: watchers.RecordFormat
    header_format: header_port.HeaderFormat
    load_settings: typing.Callable[
        [], settings_module.NodeSettings | outcomes.Refusal
    ]
    buffered: buffered_bytes.BufferedBytes


class Node:
    """Builds the components of a host and runs them.

    Parameters
    ----------
    settings : settings.NodeSettings
        Settings of this host.
    platform : PlatformAdapter
        Components of the platform's adapter.
    """

    def __init__(
        self, settings: settings_module.NodeSettings, platform: PlatformAdapter
    ) -> None:
        self._settings = settings
        self._load_settings = platform.load_settings
        now = asyncio.get_running_loop().time
        self._now = now
        self._started = now()
        member = f"{settings.peers[0]}:{settings.peers[1]}"
        self.registry = counters.Registry()
        self.fleet = fleet_module.Fleet(
            settings.bounds, settings.failure_domain, now, clock.boot_time
        )
        self.view = view_module.AssignmentView()
        peer_pool = client.Pool(now, buffered=platform.buffered)
        self.coordinator = coordinator_module.Coordinator(
            platform.store,
            platform.orders,
            peers.PeerClient(peer_pool),
            self.fleet,
            member,
            clock.boot_time,
        )
        self.quota_exchange = quota_exchange.QuotaExchange(
            self.coordinator, settings.bounds, time.time_ns()
        )
        self.elector = leadership_module.LeaderElector(
            platform.store,
            self.coordinator,
            member,
            clock.boot_time,
            lambda: leadership_module.head_start(
                settings.link_rate, self.fleet.host_count
            ),
        )
        self.operator_watcher = operator_watcher.OperatorWatcher(
            platform.store,
            platform.record_format,
            now,
            self._on_configuration,
            self._on_evacuations,
            lambda: self.reporter.is_relayed(),
            lambda: self.fleet.bounds.configuration,
            clock.boot_time,
        )
        self.reporter = reporter_module.Reporter(
            peer_pool,
            platform.store,
            self.fleet,
            self.view,
            member,
            settings.seeds,
            self.elector,
            self.operator_watcher,
            now,
            self.quota_exchange,
        )
        self.peer_service = peers.PeerService(
            self.coordinator,
            self.fleet,
            self.reporter,
            self._is_confirmed,
            self.operator_watcher,
            now,
            self.quota_exchange,
        )
        self.reporter.set_local_service(self.peer_service)
        self.discovery_watcher = watchers.DiscoveryWatcher(
            platform.store,
            platform.record_format,
            self.fleet.directory,
            now,
            self.coordinator.request_plan,
            self._discovery_interval,
            self.reporter.is_directory_relayed,
            lambda: self.operator_watcher.confirmed_at,
        )
        self.server_pool = client.Pool(
            now, platform.header_format.echo_header, platform.buffered
        )
        self.handler = handler_module.Handler(
            self.fleet,
            picker_module.Picker(self.fleet, self.view, random.Random()),
            self.reporter,
            self.server_pool,
            platform.header_format,
            now,
            self.registry,
            lambda: self.operator_watcher.confirmed_at,
            clock.boot_time,
            quota_check.QuotaCheck(
                self.quota_exchange.quotas,
                self.quota_exchange,
                clock.boot_time,
                self.registry,
            ),
        )
        header_format = platform.header_format
        self.caller_guard = caller_guard.CallerGuard(
            settings.memory,
            settings.descriptors,
            lambda headers: header_format.read_request(headers).time_left,
            header_format.refusal_headers,
            self._count_ended_caller,
            _pressure(settings.memory),
            lambda: len(self.peer_listener.connections),
        )
        self.caller_listener = server.Listener(
            self.handler.handle, self._caller_limits, self.caller_guard
        )
        self.readiness_listener = server.Listener(
            self._on_readiness_check,
            self._caller_limits,
            caller_guard.CallerGuard.for_checks(
                settings.memory, _pressure(settings.memory)
            ),
        )
        self.peer_listener = server.Listener(
            self.peer_service.handle,
            self._caller_limits,
            caller_guard.CallerGuard.for_peers(
                settings.memory,
                settings.descriptors,
                _pressure(settings.memory),
            ),
        )
        self.metrics_listener = server.Listener(
            self._on_metrics,
            self._caller_limits,
            caller_guard.CallerGuard.for_checks(
                settings.memory, _pressure(settings.memory)
            ),
        )
        self._store = platform.store
        self._is_stopping = False
        self._add_gauges()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        settings = self._settings
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        events.emit(
            "start",
            domain=settings.failure_domain,
            callers=":".join(map(str, settings.callers)),
            bounds=settings.bounds._asdict(),
        )
        async with anyio.create_task_group() as tasks:
            addresses = [
                (self.readiness_listener, settings.readiness),
                (self.peer_listener, settings.peers),
                (self.caller_listener, settings.callers),
            ]
            if settings.metrics is not None:
                addresses.append((self.metrics_listener, settings.metrics))
            for listener, address in addresses:
                await listener.start(*address)
            for name, component in (
                ("housekeeping", self._run_housekeeping),
                ("operator's records", self.operator_watcher.run),
                ("service discovery", self.discovery_watcher.run),
                ("leadership", self.elector.run),
                ("reports", self._run_reporter),
                ("quotas", self.quota_exchange.run),
            ):
                tasks.start_soon(
                    supervision.supervise, name, component, self.registry
                )
            tasks.start_soon(
                supervision.supervise,
                "coordinator",
                self.coordinator.run,
                self.registry,
                self._on_coordinator_failure,
            )
            await stop.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        events.emit(
            "stop", open_requests=self.caller_listener.busy_connections
        )
        events.flush()

    def is_ready(self) -> bool:
        """Return whether the load balancer should route callers here."""
        if self._is_stopping or self.fleet.configuration is None:
            return False
        if self.fleet.directory.confirmed_at == -math.inf:
            return False
        if self.view.maps or not self.fleet.services():
            return True
        return self._now() > self._started + ASSIGNMENT_WAIT_SECONDS

    def _on_coordinator_failure(self) -> None:
        self.coordinator.lose_leadership("the coordinator failed")

    async def _run_reporter(self) -> None:
        await self.reporter.run(lambda: self.coordinator.is_active)

    async def _drain(self) -> None:
        """Fail the readiness check, then wait for the requests in progress.

        The load balancer may use a host that is not ready while too few
        others are, so callers come until the host stops to listen.
        """
        started = self._now()
        self._is_stopping = True
        events.emit(
            "stopping", open_requests=self.caller_listener.busy_connections
        )
        deadline = started + self._settings.bounds.grace - STOP_MARGIN_SECONDS
        last_responses = deadline - LAST_RESPONSES_SECONDS
        noticed_at = started + READINESS_NOTICE_SECONDS
        self.handler.stop_schedule = stopping.StopSchedule(
            noticed_at, last_responses
        )
        self.caller_listener.start_draining()
        with anyio.move_on_after(READINESS_NOTICE_SECONDS):
            await self.elector.leave()
        while self._now() < noticed_at:
            await anyio.sleep(0.05)
        await self._close_connections(last_responses)
        self.caller_listener.stop()
        await anyio.sleep(ACCEPTED_CONNECTION_SECONDS)
        await self._close_connections(deadline)

    async def _close_connections(self, until: float) -> None:
        """Close connections as they become idle, until none is left."""
        self.caller_listener.close_idle()
        while self._now() < until and self.caller_listener.connections:
            await anyio.sleep(0.05)
            self.caller_listener.close_idle()

    def _reload(self) -> None:
        """Apply the bounds of changed settings; addresses need a restart."""
        loaded = self._load_settings()
        if isinstance(loaded, outcomes.Refusal):
            events.emit("reload_refused", reason=str(loaded))
            return
        self.fleet.bounds = loaded.bounds
        restart_settings = loaded._replace(
            bounds=self._settings.bounds, seeds=()
        )
        needs_restart = restart_settings != self._settings._replace(seeds=())
        self._settings = self._settings._replace(bounds=loaded.bounds)
        events.emit(
            "reload",
            bounds=loaded.bounds._asdict(),
            needs_restart=needs_restart,
        )

    def _caller_limits(self) -> configuration.CallerLimits:
        current = self.fleet.configuration
        if current is None:
            return configuration.CallerLimits()
        return current.limits

    def _is_confirmed(self) -> bool:
        last_read = self.discovery_watcher.read_state.last_success
        is_fresh = (
            last_read is not None
            and self._now() < last_read + DISCOVERY_MAX_AGE_SECONDS
        )
        return is_fresh and self.elector.is_confirmed()

    def _discovery_interval(self) -> float:
        if self.coordinator.is_active:
            return COORDINATOR_DISCOVERY_INTERVAL_SECONDS
        return watchers.DISCOVERY_INTERVAL_SECONDS

    def _on_configuration(self, new: configuration.Configuration) -> None:
        self.fleet.configuration = new
        self.quota_exchange.on_configuration(new)
        self.coordinator.request_plan()
        self.coordinator.publish()

    def _on_evacuations(self, domains: set[str], since: float) -> None:
        if self.fleet.set_evacuated_domains(domains, self._now(), since):
            self.coordinator.request_plan()
            self.coordinator.publish()

    def _add_gauges(self) -> None:
        gauge = self.registry.gauge
        fleet = self.fleet

        def configuration_version() -> float:
            current = fleet.configuration
            return -1.0 if current is None else float(current.version)

        def configuration_problems() -> float:
            current = fleet.configuration
            return 0.0 if current is None else float(len(current.problems))

        gauge("ready", lambda: float(self.is_ready()))
        gauge(
            "open_connections", lambda: len(self.caller_listener.connections)
        )
        gauge(
            "requests_in_progress",
            lambda: self.caller_listener.busy_connections,
        )
        guard = self.caller_guard
        gauge("caller_request_bytes", lambda: guard.requests.total)
        gauge("caller_unread_bytes", lambda: guard.responses.total)
        gauge("callers_waiting_to_be_parsed", lambda: len(guard.turns))
        gauge("resident_bytes", memory_pressure.resident_bytes)
        gauge("configuration_version", configuration_version)
        gauge("configuration_problems", configuration_problems)
        gauge(
            "configuration_age_seconds",
            lambda: self._now() - self.operator_watcher.confirmed_at,
        )
        gauge(
            "directory_age_seconds",
            lambda: self._now() - fleet.directory.confirmed_at,
        )
        gauge(
            "services_with_rate_limits",
            lambda: len(fleet.directory.services_with_rate_limits()),
        )
        gauge("store_era", lambda: self._store.era)
        gauge("late_records_total", lambda: self.coordinator.late_record_count)
        gauge("servers_known", lambda: len(fleet.directory.by_id))
        gauge("hosts_known", lambda: fleet.host_count)
        gauge("assignment_epoch", lambda: self.view.epoch)
        gauge("is_leader", lambda: float(self.coordinator.is_active))
        gauge("server_connections_opened", lambda: self.server_pool.opened)
        self.quota_exchange.add_gauges(self.registry)

    def _count_ended_caller(self, action: str, cause: str) -> None:
        self.registry.count("callers_ended_total", action=action, cause=cause)

    async def _on_metrics(
        self, request: messages.Request
    ) -> messages.Response:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return messages.Response(200, headers, self.registry.render())

    async def _on_readiness_check(
        self, request: messages.Request
    ) -> messages.Response:
        return messages.Response(200 if self.is_ready() else 503, [], b"")

    async def _run_housekeeping(self) -> None:
        was_ready = False
        while True:
            await anyio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self.server_pool.close_expired()
            self.elector.note_era()
            self.operator_watcher.check_wait(self.reporter.operator_end())
            self.fleet.remove_missing(
                REMOVED_SERVER_RETENTION_SECONDS, self._now()
            )
            if self.is_ready() != was_ready:
                was_ready = not was_ready
                events.emit("readiness", ready=was_ready)
            events.flush()


def _pressure(memory: int | None) -> memory_pressure.MemoryPressure:
    return memory_pressure.MemoryPressure(
        memory, release=allocator.release_free_blocks
    )
