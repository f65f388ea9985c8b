"""Watches service discovery and the operator's records in the store."""

from __future__ import annotations

import logging
import math
import typing

import anyio

from agatestile.catalog import configuration
from agatestile.catalog import directory
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port

LOG = logging.getLogger(__name__)

DISCOVERY_INTERVAL_SECONDS = 0.6
"""Interval between reads of service discovery. All servers together report
several times a second, so a read that waits for the next record would never
pause."""

OPERATOR_WAIT_SECONDS = 28.0
"""How long a read of the operator's records waits for a new one while the
coordinator reports records that the read misses."""

OPERATOR_UNRELAYED_WAIT_SECONDS = 1.0
"""The same wait without the coordinator. It is short because only its end
shows whether the connection has gone silent."""

OPERATOR_READ_LIMIT_BYTES = 256 * 1024
"""Size of the operator's records after which a read ends: the largest size of
a record. A burst of large configurations would occupy a slow link for seconds
although only the newest one is used."""

LARGE_PAGE_BYTES = 64 * 1024
LARGE_PAGE_PAUSE_SECONDS = 0.7
"""Pause between reads of the operator's records after a page of at least
`LARGE_PAGE_BYTES`. It skips some of several large configurations in quick
succession, which leaves bandwidth of a slow link to requests."""

UNANSWERED_MARGIN_SECONDS = 0.5
"""Time after the end of a wait from which a read counts as unanswered."""

RETRY_PAUSE_SECONDS = 0.5
"""Pause before a failed read is retried."""

SLOW_READ_SECONDS = 0.3
"""Duration from which a read of service discovery is logged."""

OUTAGE_FAILURE_COUNT = 2
"""Number of consecutive failed reads that count as an outage."""


class ReadState:
    """Progress and failures of the reads of one topic.

    Attributes
    ----------
    end : int or None
        Offset of the next read, None before the first.
    last_success : float or None
        Time of the last successful read, in seconds.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.end: int | None = None
        self.last_success: float | None = None
        self._failures = 0

    def on_failure(self, refusal: outcomes.Refusal) -> None:
        """Count a failed read."""
        self._failures += 1
        if self._failures == OUTAGE_FAILURE_COUNT:
            events.emit(
                "dependency_lost", dependency=self.name, reason=str(refusal)
            )

    def unseen_since(self, now: float) -> float:
        """Return the earliest time at which a record read now was written.

        Without failed reads a record is read as soon as it is written. The
        time is in seconds, minus infinity before the first read.
        """
        if self.last_success is None:
            return -math.inf
        return self.last_success if self._failures else now

    def on_success(self, now: float) -> bool:
        """Record a successful read; return whether it ended an outage."""
        was_outage = self._failures >= OUTAGE_FAILURE_COUNT
        if was_outage:
            events.emit(
                "dependency_regained",
                dependency=self.name,
                failed_reads=self._failures,
            )
        self._failures = 0
        self.last_success = now
        return was_outage


class RecordFormat(typing.Protocol):
    """Topics and formats of the records in the store."""

    servers_topic: str
    operator_topic: str

    def decode_server(
        self, key: str, value: bytes
    ) -> directory.ServerEntry | str:
        """Return the entry of a server, or the reason why it is invalid."""

    def decode_configuration(
        self, value: bytes
    ) -> configuration.Configuration | str:
        """Return the configuration, or the reason why it is invalid."""

    def is_configuration(self, key: str) -> bool:
        """Return whether the record with this key is the configuration."""

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that the record evacuates, if any."""


class DiscoveryWatcher:
    """Reads service discovery at intervals.

    Parameters
    ----------
    store : port.Store
        Holds the heartbeats of servers.
    record_format : RecordFormat
        Topics and formats of the records.
    servers : directory.Directory
        Receives the entries.
    now : callable
        Clock of the event loop, in seconds.
    on_change : callable
        Called after servers were added, changed or removed.
    interval : callable
        Returns the interval between reads, in seconds.
    is_relayed : callable
        Returns whether the coordinator relays servers to this host.
    """

    def __init__(
        self,
        store: port.Store,
        record_format: RecordFormat,
        servers: directory.Directory,
        now: typing.Callable[[], float],
        on_change: typing.Callable[[], None],
        interval: typing.Callable[[], float] = lambda: (
            DISCOVERY_INTERVAL_SECONDS
        ),
        is_relayed: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._format = record_format
        self._servers = servers
        self._now = now
        self._on_change = on_change
        self._interval = interval
        self._is_relayed = is_relayed
        self._unreadable: set[str] = set()
        self.read_state = ReadState("service discovery")

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            started = self._now()
            if self._is_relayed():
                # The last offset will be too old to continue from, so the
                # next read lists all servers again.
                self.read_state.end = None
            else:
                await self.poll()
            elapsed = self._now() - started
            await anyio.sleep(max(0.05, self._interval() - elapsed))

    async def poll(self) -> None:
        """Read once and apply the records."""
        started = self._now()
        version = self._servers.version
        read_state = self.read_state
        is_listing = read_state.end is None
        if read_state.end is None:
            page = await self._store.read_newest(self._format.servers_topic)
        else:
            page = await self._store.read(
                self._format.servers_topic, read_state.end, 0.0
            )
        now = self._now()
        if now - started >= SLOW_READ_SECONDS:
            self._log_slow_read(page, now - started, is_listing)
        if isinstance(page, outcomes.Refusal):
            if page.code == codes.ResultCode.LOG_HISTORY_GONE:
                read_state.end = None
                await self.poll()
            else:
                read_state.on_failure(page)
            return
        if read_state.on_success(now):
            self._servers.on_outage_end(now)
        read_state.end = page.end
        self._apply(page, now)
        if is_listing:
            self._remove_unlisted(page, now)
        for server_id in self._servers.expire(now):
            events.emit("server_gone", server=server_id)
        if self._servers.version != version:
            self._on_change()

    def _log_slow_read(
        self,
        page: port.Page | outcomes.Refusal,
        seconds: float,
        is_listing: bool,
    ) -> None:
        fields: dict[str, object] = {"outcome": str(page)}
        if isinstance(page, port.Page):
            fields["outcome"] = "listed" if is_listing else "read"
            fields["records"] = len(page.records)
            fields["bytes"] = sum(len(one.value) for one in page.records)
        events.emit("discovery_read", seconds=round(seconds, 3), **fields)

    def _apply(self, page: port.Page, now: float) -> None:
        for record in page.records:
            if not record.value:
                self._servers.remove(record.key, now)
                continue
            entry = self._format.decode_server(record.key, record.value)
            if isinstance(entry, str):
                self._report_unreadable(record.key, entry)
                continue
            if self._servers.put(entry, now):
                events.emit(
                    "server_seen",
                    server=entry.id,
                    service=entry.service,
                    domain=entry.failure_domain,
                    address=f"{entry.address[0]}:{entry.address[1]}",
                    incarnation=entry.incarnation,
                    sequence=entry.sequence,
                    draining=entry.is_draining,
                    warmup_left=entry.warmup_left,
                )

    def _remove_unlisted(self, page: port.Page, now: float) -> None:
        listed = {record.key for record in page.records}
        for server_id in list(self._servers.by_id):
            if server_id not in listed:
                self._servers.remove(server_id, now)

    def _report_unreadable(self, key: str, reason: str) -> None:
        if key not in self._unreadable:
            self._unreadable.add(key)
            events.emit("server_unreadable", key=key, reason=reason)


class OperatorWatcher:
    """Reads the operator's records as soon as they are written.

    Parameters
    ----------
    store : port.Store
        Holds the operator's records.
    record_format : RecordFormat
        Topics and formats of the records.
    now : callable
        Clock of the event loop, in seconds.
    on_configuration : callable
        Called with a newer configuration.
    on_evacuations : callable
        Called with the evacuated failure domains and the earliest time at
        which new ones may have been evacuated, in seconds.
    is_relayed : callable
        Returns whether the coordinator reports new records to this host.
    """

    def __init__(
        self,
        store: port.Store,
        record_format: RecordFormat,
        now: typing.Callable[[], float],
        on_configuration: typing.Callable[[configuration.Configuration], None],
        on_evacuations: typing.Callable[[set[str], float], None],
        is_relayed: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._format = record_format
        self._now = now
        self._on_configuration = on_configuration
        self._on_evacuations = on_evacuations
        self._is_relayed = is_relayed
        self._version = -1
        self._evacuated: set[str] = set()
        self._scope: anyio.CancelScope | None = None
        self._started = 0.0
        self._is_behind = False
        self._is_waiting = False
        self._skip_wait = False
        self._coordinator_end: int | None = None
        self._pause = 0.0
        self.read_state = ReadState("operator's records")

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            succeeded = True
            self._started = self._now()
            with anyio.CancelScope() as scope:
                self._scope = scope
                succeeded = await self.poll()
            if scope.cancelled_caught:
                self._log_read("cancelled", None)
            self._is_waiting = False
            if not succeeded:
                await anyio.sleep(RETRY_PAUSE_SECONDS)
            elif self._pause:
                await anyio.sleep(self._pause)

    def check_wait(self, coordinator_end: int | None) -> None:
        """Cancel a wait that misses records or got no response in time.

        Parameters
        ----------
        coordinator_end : int or None
            Offset of the coordinator's next read, None if unknown.
        """
        self._coordinator_end = coordinator_end
        elapsed = self._now() - self._started
        if coordinator_end is None:
            is_late = (
                elapsed
                > OPERATOR_UNRELAYED_WAIT_SECONDS + UNANSWERED_MARGIN_SECONDS
            )
        else:
            end = self.read_state.end
            was_behind = self._is_behind
            self._is_behind = end is not None and coordinator_end > end
            # At one check only, the record may still be in transit.
            is_late = was_behind and self._is_behind
        if is_late and self._is_waiting and self._scope is not None:
            # The next read does not wait and so is not cancelled: while new
            # records arrive, a slow read would otherwise never complete.
            self._skip_wait = True
            self._scope.cancel()

    async def poll(self) -> bool:
        """Read once and apply the records; return whether it succeeded."""
        read_state = self.read_state
        self._pause = 0.0
        topic = self._format.operator_topic
        is_listing = read_state.end is None or self._is_several_behind(
            read_state.end
        )
        if read_state.end is None or is_listing:
            page = await self._store.read_newest(topic)
        else:
            wait = 0.0 if self._skip_wait else self._wait_seconds()
            self._is_waiting = wait > 0.0
            page = await self._store.read(
                topic, read_state.end, wait, OPERATOR_READ_LIMIT_BYTES
            )
        if isinstance(page, outcomes.Refusal):
            self._log_read(str(page), None)
            if page.code == codes.ResultCode.LOG_HISTORY_GONE:
                read_state.end = None
                return await self.poll()
            read_state.on_failure(page)
            return False
        self._log_read("listed" if is_listing else "read", page)
        unseen_since = read_state.unseen_since(self._now())
        read_state.on_success(self._now())
        # After a partial page the next read lists the newest record of each
        # key, which replaces all records in between.
        read_state.end = page.end if page.is_last else None
        self._skip_wait = False
        if (
            sum(len(record.value) for record in page.records)
            >= LARGE_PAGE_BYTES
        ):
            self._pause = LARGE_PAGE_PAUSE_SECONDS
        evacuated = set() if is_listing else set(self._evacuated)
        for record in page.records:
            self._apply(record, evacuated)
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            events.emit("evacuations", domains=sorted(evacuated))
            self._on_evacuations(evacuated, unseen_since)
        return True

    def _log_read(self, outcome: str, page: port.Page | None) -> None:
        """Log a read that returned records, failed or was cancelled."""
        fields: dict[str, object] = {}
        if page is not None:
            if not page.records:
                return
            fields["records"] = len(page.records)
            fields["bytes"] = sum(len(one.value) for one in page.records)
            fields["is_last"] = page.is_last
            fields["next_offset"] = page.end
        events.emit(
            "operator_read",
            outcome=outcome,
            offset=self.read_state.end,
            coordinator_offset=self._coordinator_end,
            seconds=round(self._now() - self._started, 3),
            waits=self._is_waiting,
            **fields,
        )

    def _is_several_behind(self, end: int) -> bool:
        return (
            self._coordinator_end is not None
            and self._coordinator_end > end + 1
        )

    def _wait_seconds(self) -> float:
        if self._is_relayed():
            return OPERATOR_WAIT_SECONDS
        return OPERATOR_UNRELAYED_WAIT_SECONDS

    def _apply(self, record: port.Record, evacuated: set[str]) -> None:
        domain = self._format.evacuated_domain(record.key)
        if domain is not None:
            if record.value:
                evacuated.add(domain)
            else:
                evacuated.discard(domain)
            return
        if not self._format.is_configuration(record.key) or not record.value:
            return
        decoded = self._format.decode_configuration(record.value)
        if isinstance(decoded, str):
            events.emit("configuration_unreadable", reason=decoded)
            return
        if decoded.version <= self._version:
            events.emit(
                "configuration_ignored",
                version=decoded.version,
                in_force=self._version,
            )
            return
        self._version = decoded.version
        events.emit(
            "configuration_in_force",
            version=decoded.version,
            routes=sum(
                len(by_prefix) for by_prefix in decoded.routes.values()
            ),
            services=len(decoded.services_by_name),
        )
        self._on_configuration(decoded)
