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

RELAY_CHECK_SECONDS = 0.1
"""Interval at which a host to which servers are relayed checks that they
still are."""

LONGEST_REPORT_DELAY_SECONDS = 6.5
"""Longest time from the sending of a report to its appearance in the store,
which may carry out a call without a response seconds later."""

SLOW_READ_SECONDS = 0.3
"""Duration from which a read of service discovery is logged."""

OUTAGE_FAILURE_COUNT = 2
"""Number of consecutive failed reads that are logged as an outage."""

OUTAGE_SECONDS = 2.0
"""Time without a read by any host from which entries may have expired because
servers could not renew them; shorter than three heartbeats."""


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

    def on_success(self, now: float) -> None:
        """Record a successful read."""
        if self._failures >= OUTAGE_FAILURE_COUNT:
            events.emit(
                "dependency_regained",
                dependency=self.name,
                failed_reads=self._failures,
            )
        self._failures = 0
        self.last_success = now


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
    store_confirmed_at : callable
        Returns the latest time, in seconds, at which the store responded to
        any host.
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
        store_confirmed_at: typing.Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._store_confirmed_at = store_confirmed_at
        self._longest_outage = 0.0
        self._store = store
        self._format = record_format
        self._servers = servers
        self._now = now
        self._on_change = on_change
        self._interval = interval
        self._is_relayed = is_relayed
        self._unreadable: set[str] = set()
        self._last_complete_read = -math.inf
        self.read_state = ReadState("service discovery")

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if self._is_relayed():
                # The last offset will be too old to continue from, so the
                # next read lists all servers again.
                self.read_state.end = None
                self._longest_outage = 0.0
                expire_missing(self._servers, self._now())
                await anyio.sleep(RELAY_CHECK_SECONDS)
                continue
            started = self._now()
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
                self._on_failure(page, now)
            return
        if page.era < self._servers.era:
            # The coordinator has relayed servers of a later era.
            read_state.end = None
            return
        if page.era > self._servers.era:
            self._start_era(page.era, started)
            if not is_listing:
                # The offset belongs to the earlier era.
                read_state.end = None
                await self.poll()
                return
        self._on_success(started, now)
        if self._servers.confirmed_at > started:
            # The coordinator relayed a more recent directory meanwhile.
            read_state.end = None
            return
        read_state.end = page.end
        # Changes in this page may be as old as the previous read.
        unseen_since = self._servers.confirmed_at
        self._apply(page, now, unseen_since)
        if is_listing:
            listed = {record.key for record in page.records}
            self._servers.remove_unlisted(listed, unseen_since)
        if page.is_last:
            self._last_complete_read = started
        self._servers.confirm(started)
        expire_missing(self._servers, now)
        if self._servers.version != version:
            self._servers.read_version = self._servers.version
            self._on_change()

    def _start_era(self, era: int, now: float) -> None:
        earlier = self._servers.era
        if self._servers.start_era(era, now):
            events.emit(
                "discovery_restored",
                era=era,
                earlier=earlier,
                servers=len(self._servers.by_id),
                missing=len(self._servers.missing_since_by_id()),
            )

    def _on_failure(self, refusal: outcomes.Refusal, now: float) -> None:
        self.read_state.on_failure(refusal)
        confirmed_at = max(
            self._servers.confirmed_at, self._store_confirmed_at()
        )
        self._longest_outage = max(self._longest_outage, now - confirmed_at)

    def _on_success(self, started: float, now: float) -> None:
        """Start a grace period unless the store refused only this host.

        It counts from the start of the read, when the store was back at the
        latest.
        """
        self.read_state.on_success(now)
        if self._longest_outage >= OUTAGE_SECONDS:
            self._servers.on_outage_end(started)
        self._longest_outage = 0.0

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

    def _apply(self, page: port.Page, now: float, unseen_since: float) -> None:
        for record in page.records:
            if not record.value:
                self._servers.remove(record.key, unseen_since)
                continue
            entry = self._format.decode_server(record.key, record.value)
            if isinstance(entry, str):
                self._report_unreadable(record.key, entry)
                continue
            # A report that an earlier read lacked may have been sent before.
            alive_at = self._last_complete_read - LONGEST_REPORT_DELAY_SECONDS
            if self._servers.put(entry, now, unseen_since, alive_at):
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
                    leaving_age=_age(self._servers.by_id[entry.id], now),
                )

    def _report_unreadable(self, key: str, reason: str) -> None:
        if key not in self._unreadable:
            self._unreadable.add(key)
            events.emit("server_unreadable", key=key, reason=reason)


def expire_missing(servers: directory.Directory, now: float) -> None:
    """Mark servers with missing entries as leaving, and log the new ones."""
    for server_id in servers.expire(now):
        events.emit(
            "server_gone",
            server=server_id,
            age=_age(servers.by_id[server_id], now),
        )


def _age(server: directory.Server, now: float) -> float | None:
    """Return how long a server may have been leaving, for the log."""
    if server.leaving_since is None:
        return None
    return round(min(now - server.leaving_since, 1e6), 3)
