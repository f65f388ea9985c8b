"""Follows service discovery and the operator's records in the store."""

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

if typing.TYPE_CHECKING:
    from agatestile.store import port

LOG = logging.getLogger(__name__)

DISCOVERY_INTERVAL_SECONDS = 0.6
"""Interval of reads of service discovery. Servers report several times a
second altogether, so that waiting for the next record would never pause."""

OPERATOR_WAIT_SECONDS = 28.0
"""How long a read of the operator's records waits for a new one while the
coordinator would tell of one that the read misses."""

OPERATOR_UNRELAYED_WAIT_SECONDS = 1.0
"""The same without the coordinator: a connection may have gone silent, which
only the end of the wait shows."""

OPERATOR_READ_LIMIT_BYTES = 256 * 1024
"""Bytes of the operator's records after which a read ends, the largest size
of a record: a storm of large configurations would take a slow link for
seconds, although only the newest one counts."""

LARGE_PAGE_BYTES = 64 * 1024
LARGE_PAGE_PAUSE_SECONDS = 0.7
"""Pause of the operator's reads after a page of this size or more: of large
configurations in quick succession only some have to be read, which leaves
a slow link room for requests."""

UNANSWERED_MARGIN_SECONDS = 0.5
"""Time beyond a wait from which a read counts as unanswered."""

RETRY_PAUSE_SECONDS = 0.5
"""Pause after a failed read."""

OUTAGE_FAILURE_COUNT = 2
"""Failed reads in a row that count as an outage."""


class ReadState:
    """State of the reads of one topic.

    Attributes
    ----------
    end : int or None
        Offset of the next read, None before the first.
    last_success : float or None
        Clock of the last successful read, seconds.
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
        """Return since when a record that is read now may exist, seconds.

        Without failed reads a record is read as soon as it exists.
        """
        if self.last_success is None:
            return -math.inf
        return self.last_success if self._failures else now

    def on_success(self, now: float) -> bool:
        """Note a successful read; tell whether it ended an outage."""
        was_away = self._failures >= OUTAGE_FAILURE_COUNT
        if was_away:
            events.emit(
                "dependency_regained",
                dependency=self.name,
                failed_reads=self._failures,
            )
        self._failures = 0
        self.last_success = now
        return was_away


class RecordFormat(typing.Protocol):
    """Topics and formats of the records."""

    servers_topic: str
    operator_topic: str

    def decode_server(
        self, key: str, value: bytes
    ) -> directory.ServerEntry | str:
        """Return the entry of a server, or why it can't be used."""

    def decode_configuration(
        self, value: bytes
    ) -> configuration.Configuration | str:
        """Return a configuration, or why it can't be used."""

    def is_configuration(self, key: str) -> bool:
        """Tell whether a record holds the configuration."""

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a record evacuates."""


class DiscoveryWatcher:
    """Reads service discovery at intervals.

    Parameters
    ----------
    store : port.Store
        Where servers report.
    record_format : RecordFormat
        Formats of records.
    servers : directory.Directory
        Gets the entries.
    now : callable
        The runtime's clock, seconds.
    on_change : callable
        Called after servers came, changed or left.
    interval : callable
        Returns the interval of reads, seconds.
    is_relayed : callable
        Tells whether another host reads for this one.
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
                # What was read last is too old to go on from.
                self.read_state.end = None
            else:
                await self.poll()
            elapsed = self._now() - started
            await anyio.sleep(max(0.05, self._interval() - elapsed))

    async def poll(self) -> None:
        """Read once."""
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

    def _apply(self, page: port.Page, now: float) -> None:
        for record in page.records:
            if not record.value:
                self._servers.remove(record.key, now)
                continue
            entry = self._format.decode_server(record.key, record.value)
            if isinstance(entry, str):
                self._note_unreadable(record.key, entry)
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

    def _note_unreadable(self, key: str, reason: str) -> None:
        if key not in self._unreadable:
            self._unreadable.add(key)
            events.emit("server_unreadable", key=key, reason=reason)


class OperatorWatcher:
    """Waits for the operator's records.

    Parameters
    ----------
    store : port.Store
        Where the operator writes.
    record_format : RecordFormat
        Formats of records.
    now : callable
        The runtime's clock, seconds.
    on_configuration : callable
        Called with a newer configuration.
    on_evacuations : callable
        Called with the evacuated failure domains and since when new ones
        may have been evacuated, seconds.
    is_relayed : callable
        Tells whether the coordinator would tell of new records.
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
        self._must_catch_up = False
        self._coordinator_end: int | None = None
        self._pause = 0.0
        self.read_state = ReadState("operator's records")

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            is_done = True
            self._started = self._now()
            with anyio.CancelScope() as scope:
                self._scope = scope
                is_done = await self.poll()
            self._is_waiting = False
            if not is_done:
                await anyio.sleep(RETRY_PAUSE_SECONDS)
            elif self._pause:
                await anyio.sleep(self._pause)

    def check_wait(self, coordinator_end: int | None) -> None:
        """Give up a wait that misses records.

        Parameters
        ----------
        coordinator_end : int or None
            Where the coordinator's reads ended, None without its news.
        """
        self._coordinator_end = coordinator_end
        waited = self._now() - self._started
        if coordinator_end is None:
            is_late = (
                waited
                > OPERATOR_UNRELAYED_WAIT_SECONDS + UNANSWERED_MARGIN_SECONDS
            )
        else:
            end = self.read_state.end
            was_behind = self._is_behind
            self._is_behind = end is not None and coordinator_end > end
            # The record may be on its way over the connection.
            is_late = was_behind and self._is_behind
        if is_late and self._is_waiting and self._scope is not None:
            # The next read doesn't wait and so is not given up: a slow one
            # would otherwise never end while records come.
            self._must_catch_up = True
            self._scope.cancel()

    async def poll(self) -> bool:
        """Read once; return whether the store answered."""
        read_state = self.read_state
        self._pause = 0.0
        topic = self._format.operator_topic
        is_listing = read_state.end is None or self._misses_several(
            read_state.end
        )
        if read_state.end is None or is_listing:
            page = await self._store.read_newest(topic)
        else:
            wait = 0.0 if self._must_catch_up else self._wait()
            self._is_waiting = wait > 0.0
            page = await self._store.read(
                topic, read_state.end, wait, OPERATOR_READ_LIMIT_BYTES
            )
        if isinstance(page, outcomes.Refusal):
            if page.code == codes.ResultCode.LOG_HISTORY_GONE:
                read_state.end = None
                return await self.poll()
            read_state.on_failure(page)
            return False
        unseen_since = read_state.unseen_since(self._now())
        read_state.on_success(self._now())
        # The newest record of each key replaces all that were missed.
        read_state.end = page.end if page.is_last else None
        self._must_catch_up = False
        if sum(len(one.value) for one in page.records) >= LARGE_PAGE_BYTES:
            self._pause = LARGE_PAGE_PAUSE_SECONDS
        evacuated = set() if is_listing else set(self._evacuated)
        for record in page.records:
            self._apply(record, evacuated)
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            events.emit("evacuations", domains=sorted(evacuated))
            self._on_evacuations(evacuated, unseen_since)
        return True

    def _misses_several(self, end: int) -> bool:
        return (
            self._coordinator_end is not None
            and self._coordinator_end > end + 1
        )

    def _wait(self) -> float:
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
            routes=sum(len(one) for one in decoded.routes.values()),
            services=len(decoded.services_by_name),
        )
        self._on_configuration(decoded)
