"""Follows the operator's records, from the store and from other hosts."""

from __future__ import annotations

import math
import typing

import anyio

from agatestile.node import content_history
from agatestile.node import messages as peer_messages
from agatestile.node import suspension
from agatestile.node import watchers
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration
    from agatestile.store import port

OPERATOR_WAIT_SECONDS = 0.5
"""How long a read of the operator's records waits for a new one. It is short
because only its end shows that the records are complete and the connection
has not gone silent."""

OPERATOR_READ_LIMIT_BYTES = 256 * 1024
"""Size of the operator's records after which a read ends: the largest size of
a record. A burst of large configurations would occupy a slow link for seconds
although only the newest one is used."""

LARGE_PAGE_BYTES = 64 * 1024

LARGE_PAGE_PAUSE_SECONDS = 0.7
"""Longest pause between reads of the operator's records after a page of at
least `LARGE_PAGE_BYTES`. It skips some of several large configurations in
quick succession, which leaves bandwidth of a slow link to requests."""

SLOW_PAGE_SECONDS = 0.1
"""Time to receive a large page from which a read does not wait."""

RELAY_MAX_AGE_SECONDS = 1.0
"""Age of what the coordinator relays above which a host reads the store
itself. Calls to the store are billed, and one host suffices to notice a
change."""

UNRELAYED_MAX_AGE_SECONDS = 0.4
"""The same for hosts whose reads are slow, while the coordinator does not
relay to them: changes arrive in their reports."""

RELAY_CHECK_SECONDS = 0.05
"""Interval at which a host that relies on others checks this age."""

UNANSWERED_MARGIN_SECONDS = 0.5
"""Time after the end of a wait from which a read counts as unanswered."""

RETRY_PAUSE_SECONDS = 0.5
"""Pause before a failed read is retried."""

SEARCHED_RECORDS = 256
"""Number of the operator's last records that a starting host searches for a
configuration if it can't use the newest one."""

RETAINED_CONFIGURATIONS = 4
"""Number of configurations that are kept as bases of patches."""

EVACUATION_GRACE_SECONDS = 30.0
"""Time after the store was restored for which evacuations remain whose records
are missing. The operator writes them again within seconds; a domain that is
evacuated for too long costs capacity only."""

USED_BOUND_SHARE = 0.8
"""Share of the bound on changes of the configuration within which two reads
and the pause between them have to end."""


class OperatorWatcher:
    """Follows the operator's records as soon as they are written.

    Parameters
    ----------
    store : port.Store
        Holds the operator's records.
    record_format : watchers.RecordFormat
        Topics and formats of the records.
    now : callable
        Clock of the event loop, seconds.
    on_configuration : callable
        Called with a newer configuration.
    on_evacuations : callable
        Called with the evacuated failure domains and the earliest time at
        which new ones may have been evacuated, seconds.
    is_relayed : callable
        Returns whether the coordinator reports new records to this host.
    apply_bound : callable
        Returns the time within which a configuration has to be in force,
        seconds.
    boot_time : callable, optional
        Clock that includes the time of a suspension, seconds; without it,
        none is noticed.

    Attributes
    ----------
    end : int or None
        Offset up to which the records are known, None before the first.
    era : int
        Era of the store to which `end` belongs; 0 without one.
    """

    def __init__(
        self,
        store: port.Store,
        record_format: watchers.RecordFormat,
        now: typing.Callable[[], float],
        on_configuration: typing.Callable[[configuration.Configuration], None],
        on_evacuations: typing.Callable[[set[str], float], None],
        is_relayed: typing.Callable[[], bool] = lambda: False,
        apply_bound: typing.Callable[[], float] = lambda: 2.0,
        boot_time: typing.Callable[[], float] | None = None,
    ) -> None:
        self._store = store
        self._format = record_format
        self._now = now
        self._on_configuration = on_configuration
        self._on_evacuations = on_evacuations
        self._is_relayed = is_relayed
        self._apply_bound = apply_bound
        self._history = content_history.ContentHistory(RETAINED_CONFIGURATIONS)
        self._evacuated: set[str] = set()
        # Evacuations of an earlier era without a record in this one.
        self._retained: set[str] = set()
        self._retained_until = -math.inf
        self._scope: anyio.CancelScope | None = None
        self._started = 0.0
        self._is_behind = False
        self._wait = 0.0
        self._is_receiving = False
        self._skip_wait = False
        self._unanswered_reads = 0
        self._must_list = False
        self._coordinator_end: int | None = None
        self._pause = 0.0
        self._large_page_seconds = 0.0
        self._read_state = watchers.ReadState("operator's records")
        self.end: int | None = None
        self._confirmed_at = -math.inf
        self._suspensions = suspension.SuspensionTracker(now, boot_time)
        self.era = 0

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            if self._relies_on_relay():
                await anyio.sleep(RELAY_CHECK_SECONDS)
                continue
            succeeded = True
            with anyio.CancelScope() as scope:
                self._scope = scope
                succeeded = await self.poll()
            self._scope = None
            if scope.cancelled_caught:
                self._log_read("cancelled", None)
            self._wait = 0.0
            if not succeeded:
                await anyio.sleep(RETRY_PAUSE_SECONDS)
            elif self._pause:
                await anyio.sleep(self._pause)

    @property
    def confirmed_at(self) -> float:
        """Latest time at which the records were certainly complete, seconds.

        Minus infinity before the first read. Its difference to the clock
        includes the time for which the machine was suspended since then,
        during which the operator may have written records.
        """
        self._confirmed_at -= self._suspensions.observe()
        return self._confirmed_at

    def check_wait(self, coordinator_end: int | None) -> None:
        """Cancel a wait that misses records or got no response in time.

        Parameters
        ----------
        coordinator_end : int or None
            Offset of the coordinator's next read, None if unknown.
        """
        self._release_evacuations()
        self._coordinator_end = coordinator_end
        elapsed = self._now() - self._started
        if coordinator_end is None:
            is_late = (
                elapsed > OPERATOR_WAIT_SECONDS + UNANSWERED_MARGIN_SECONDS
            )
        else:
            was_behind = self._is_behind
            self._is_behind = (
                self.end is not None and coordinator_end > self.end
            )
            # At one check only, the record may still be in transit.
            is_late = was_behind and self._is_behind
        is_waiting = self._wait > 0.0 and not self._is_receiving
        if self._is_behind and self._is_unanswered(elapsed):
            self._unanswered_reads += 1
            is_waiting = True
        if is_late and is_waiting and self._scope is not None:
            # The next read does not wait and so is not cancelled: while new
            # records arrive, a slow read would otherwise never complete.
            self._skip_wait = True
            self._scope.cancel()

    def _is_unanswered(self, elapsed: float) -> bool:
        """Return whether a read that does not wait may have gone silent.

        Each read is given twice the time of the one before it.
        """
        longest = UNANSWERED_MARGIN_SECONDS * 2**self._unanswered_reads
        return (
            not self._wait
            and not self._is_receiving
            and not self._has_slow_reads()
            and elapsed > longest
        )

    async def poll(self) -> bool:
        """Read once and apply the records; return whether it succeeded."""
        self._started = self._now()
        self._is_receiving = False
        self._wait = 0.0
        self._pause = 0.0
        topic = self._format.operator_topic
        is_listing = self.end is None or self._must_list_all(self.end)
        if self.end is None or is_listing:
            page = await self._store.read_newest(topic)
        else:
            self._wait = 0.0 if self._skip_wait else self._wait_seconds()
            page = await self._store.read(
                topic,
                self.end,
                self._wait,
                OPERATOR_READ_LIMIT_BYTES,
                self._on_data,
            )
        if isinstance(page, outcomes.Refusal):
            self._log_read(str(page), None)
            if page.code == codes.ResultCode.LOG_HISTORY_GONE:
                self._must_list = True
                return await self.poll()
            self._read_state.on_failure(page)
            return False
        if page.era < self.era:
            # Another host has relayed records of a later era meanwhile.
            self._must_list = True
            return False
        if page.era > self.era:
            self._start_era(page.era)
            if not is_listing:
                # The offset belongs to the earlier era.
                return await self.poll()
        self._log_read("listed" if is_listing else "read", page)
        self._read_state.on_success(self._now())
        # After a partial page the next read lists the newest record of each
        # key, which replaces all records in between.
        self._must_list = not page.is_last
        self._skip_wait = False
        self._unanswered_reads = 0
        self._measure(page)
        # Another host may have relayed later records meanwhile.
        if self.end is None or page.end >= self.end:
            self._apply_page(page, is_listing)
        if is_listing and self._lacks_configuration(page):
            await self._search_configuration(page.end)
        if page.is_last and not page.records:
            # The store has waited from when it got the request.
            self._confirm(min(self._started + self._wait, self._now()))
        elif page.is_last:
            self._confirm(self._started)
        return True

    # Relaying

    def relay_to(
        self, known_version: int | None
    ) -> peer_messages.OperatorState:
        """Return what this host knows, with a patch for another host.

        Parameters
        ----------
        known_version : int or None
            Version of the configuration that the other host has, None if
            it needs no patch.
        """
        state = peer_messages.OperatorState(
            self.end or 0,
            self._now() - self.confirmed_at,
            self._history.version,
            sorted(self._evacuated),
            era=self.era,
        )
        if known_version is not None:
            patch = self._history.patch_from(known_version)
            if patch is not None:
                state.base_version, state.patch = patch
        return state

    def apply_relayed(
        self, state: peer_messages.OperatorState, sent_at: float
    ) -> None:
        """Apply the state of the records that another host has.

        Parameters
        ----------
        state : OperatorState
            State of the other host.
        sent_at : float
            Latest time at which `state.age` was certainly valid, seconds.
        """
        if state.version == content_history.NO_VERSION or self._is_older(
            state
        ):
            return
        if state.version > self._history.version:
            if not state.patch:
                return
            content = self._history.apply(
                content_history.ContentPatch(state.base_version, state.patch)
            )
            if isinstance(content, str):
                events.emit(
                    "configuration_patch_rejected",
                    version=state.version,
                    base_version=state.base_version,
                    reason=content,
                )
                return
            self._apply_configuration(content, is_relayed=True)
            if self._history.version < state.version:
                return
        if state.era > self.era:
            self._start_era(state.era)
        self._apply_evacuations(set(state.evacuated), self.confirmed_at)
        has_progressed = self.end is None or state.end > self.end
        is_transferring = self._is_receiving or not self._wait
        self.end = state.end
        self._must_list = False
        self._confirm(sent_at - state.age)
        if has_progressed and is_transferring and self._scope is not None:
            # What this read would return has arrived from the other host.
            self._scope.cancel()

    def _is_older(self, state: peer_messages.OperatorState) -> bool:
        """Return whether a host knows less of the records than this one."""
        if state.era != self.era:
            return state.era < self.era
        return self.end is not None and state.end < self.end

    def _start_era(self, era: int) -> None:
        """Continue in a store that was restored from an older copy.

        Offsets are assigned again. Evacuations remain until the records say
        otherwise or the grace period is over.
        """
        is_restored = self.end is not None
        earlier, self.era = self.era, era
        self.end = None
        self._coordinator_end = None
        self._is_behind = False
        if not is_restored:
            return
        self._retained |= self._evacuated
        self._retained_until = self._now() + EVACUATION_GRACE_SECONDS
        events.emit(
            "operator_records_restored",
            era=era,
            earlier=earlier,
            version=self._history.version,
            retained=sorted(self._retained),
        )

    def _release_evacuations(self) -> None:
        """End evacuations whose records are missing after the grace period."""
        if not self._retained or self._now() < self._retained_until:
            return
        ended, self._retained = self._retained, set()
        events.emit("evacuations_expired", domains=sorted(ended))
        self._apply_evacuations(self._evacuated - ended, self.confirmed_at)

    def _relies_on_relay(self) -> bool:
        age = self._now() - self.confirmed_at
        if self._is_relayed():
            return not self._is_behind and age < RELAY_MAX_AGE_SECONDS
        return self._has_slow_reads() and age < UNRELAYED_MAX_AGE_SECONDS

    def _has_slow_reads(self) -> bool:
        return (
            self._large_page_seconds >= SLOW_PAGE_SECONDS
            and self._history.newest_size() >= LARGE_PAGE_BYTES
        )

    def _confirm(self, time: float) -> None:
        self._confirmed_at = max(
            self.confirmed_at, self._suspensions.corrected(time)
        )

    # Reads

    def _log_read(self, outcome: str, page: port.Page | None) -> None:
        """Log a read that returned records, failed or was cancelled."""
        fields: dict[str, object] = {}
        if page is not None:
            if not page.records:
                return
            fields["records"] = len(page.records)
            fields["bytes"] = _size(page)
            fields["is_last"] = page.is_last
            fields["next_offset"] = page.end
            fields["receive_seconds"] = round(page.receive_seconds, 3)
        events.emit(
            "operator_read",
            outcome=outcome,
            offset=self.end,
            coordinator_offset=self._coordinator_end,
            seconds=round(self._now() - self._started, 3),
            wait=self._wait,
            age=round(min(self._now() - self.confirmed_at, 1e6), 3),
            **fields,
        )

    def _measure(self, page: port.Page) -> None:
        """Note how long a large page took, and set the pause after it."""
        if _size(page) < LARGE_PAGE_BYTES:
            return
        self._large_page_seconds = page.receive_seconds
        longest = USED_BOUND_SHARE * self._apply_bound()
        self._pause = min(
            LARGE_PAGE_PAUSE_SECONDS,
            max(0.0, longest - 2 * self._large_page_seconds),
        )

    def _on_data(self) -> None:
        self._is_receiving = True

    def _must_list_all(self, end: int) -> bool:
        is_several_behind = (
            self._coordinator_end is not None
            and self._coordinator_end > end + 1
        )
        return self._must_list or is_several_behind

    def _wait_seconds(self) -> float:
        return 0.0 if self._has_slow_reads() else OPERATOR_WAIT_SECONDS

    # Records

    def _apply_page(self, page: port.Page, is_listing: bool) -> None:
        evacuated = set() if is_listing else self._evacuated - self._retained
        unseen_since = self.confirmed_at
        self.end = page.end
        for record in page.records:
            domain = self._format.evacuated_domain(record.key)
            if domain is not None and record.value:
                evacuated.add(domain)
            elif domain is not None:
                evacuated.discard(domain)
                self._retained.discard(domain)
            elif self._format.is_configuration(record.key) and record.value:
                self._apply_configuration(record.value, is_relayed=False)
        self._apply_evacuations(evacuated, unseen_since)

    def _lacks_configuration(self, page: port.Page) -> bool:
        """Return whether the only configuration of a page can't be used."""
        return self._history.version == content_history.NO_VERSION and any(
            self._format.is_configuration(record.key) and record.value
            for record in page.records
        )

    async def _search_configuration(self, end: int) -> None:
        """Apply the last usable configuration that the store still has."""
        page = await self._store.read(
            self._format.operator_topic,
            max(0, end - SEARCHED_RECORDS),
            0.0,
            OPERATOR_READ_LIMIT_BYTES,
        )
        if isinstance(page, outcomes.Refusal):
            self._log_read(str(page), None)
            return
        for record in reversed(page.records):
            if self._format.is_configuration(record.key) and record.value:
                self._apply_configuration(record.value, is_relayed=False)
                if self._history.version != content_history.NO_VERSION:
                    return

    def _apply_evacuations(
        self, evacuated: set[str], unseen_since: float
    ) -> None:
        self._retained -= evacuated
        evacuated = evacuated | self._retained
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        events.emit(
            "evacuations",
            domains=sorted(evacuated),
            age=round(min(self._now() - unseen_since, 1e6), 3),
        )
        self._on_evacuations(evacuated, unseen_since)

    def _apply_configuration(self, content: bytes, is_relayed: bool) -> None:
        decoded = self._format.decode_configuration(content)
        if isinstance(decoded, str):
            events.emit("configuration_unreadable", reason=decoded)
            return
        if decoded.version <= self._history.version:
            events.emit(
                "configuration_ignored",
                version=decoded.version,
                in_force=self._history.version,
            )
            return
        self._history.add(decoded.version, content)
        events.emit(
            "configuration_in_force",
            version=decoded.version,
            is_relayed=is_relayed,
            routes=sum(
                len(by_prefix) for by_prefix in decoded.routes.values()
            ),
            services=len(decoded.services_by_name),
            tenants=len(decoded.tenants.by_name) if decoded.tenants else 0,
            problems=len(decoded.problems),
        )
        for problem in decoded.problems:
            events.emit(
                "configuration_entry_invalid",
                version=decoded.version,
                reason=problem,
            )
        self._on_configuration(decoded)


def _size(page: port.Page) -> int:
    return sum(len(record.value) for record in page.records)
